package app

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/savorytiller/savorytiller/internal/adapter/admin"
	"github.com/savorytiller/savorytiller/internal/app/parts"
)

// blockingServer is a backend server that answers requests for /checks only after release
// is closed.
type blockingServer struct {
	arrived, release chan struct{}
	mu               sync.Mutex
	keys             []string
}

func newBlockingServer() *blockingServer {
	return &blockingServer{arrived: make(chan struct{}, 16), release: make(chan struct{})}
}

func (h *blockingServer) serve(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	switch r.URL.Path {
	case "/health":
		_, _ = io.WriteString(w, `{"state": "warm", "load": 0.1}`)
	case "/checks":
		h.mu.Lock()
		h.keys = append(h.keys, r.Header.Get("Idempotency-Key"))
		h.mu.Unlock()
		h.arrived <- struct{}{}
		<-h.release
		_, _ = io.Copy(w, r.Body)
	default:
		_, _ = io.WriteString(w, "ok")
	}
}

type answer struct {
	status          int
	outcome, reason string
	body            string
	err             error
}

// request sends a request. If key is not empty, the request carries the key and the
// number of the attempt.
func (r *runningInstance) request(method, path, key string, attempt int, body string) answer {
	request, err := http.NewRequest(method, "http://"+r.Addresses().Requests.String()+path, strings.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	request.Host = "line-control.local"
	if key != "" {
		request.Header.Set("Idempotency-Key", key)
		request.Header.Set("Attempt", strconv.Itoa(attempt))
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return answer{err: err}
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return answer{response.StatusCode, response.Header.Get("Outcome"), response.Header.Get("Outcome-Reason"), string(data), err}
}

// startPair starts two instances with one blocking server, sends a request for /checks
// through the first instance and waits until the server has received it. The result
// channel receives the answer.
func startPair(t *testing.T) (first, second *runningInstance, server *blockingServer, result chan answer) {
	t.Helper()
	server = newBlockingServer()
	var once sync.Once
	t.Cleanup(func() { once.Do(func() { closeIfOpen(server.release) }) })
	p := newFakePlatform(t)
	p.note = releaseNote(map[string]*backend{"line-01": newBackend(t, server.serve)}, "halle-a")
	first, second = startInstance(t, p, "halle-a-1", "halle-a"), startInstance(t, p, "halle-a-2", "halle-a")
	first.waitReady(t, 2)
	second.waitReady(t, 2)
	result = make(chan answer, 1)
	go func() {
		// The outcome not-run means that a retry is safe. In its first second, an
		// instance may still have no usable slot of a cold server.
		for attempt := 1; ; attempt++ {
			a := first.request("POST", "/checks", "check-1", attempt, "the whole check")
			if a.outcome != "not-run" || a.reason != "overloaded" {
				result <- a
				return
			}
		}
	}()
	select {
	case <-server.arrived:
	case a := <-result:
		t.Fatalf("the check did not reach the server: %+v", a)
	case <-time.After(waitTimeout):
		t.Fatal("the check did not arrive")
	}
	return first, second, server, result
}

func closeIfOpen(c chan struct{}) {
	select {
	case <-c:
	default:
		close(c)
	}
}

// Guards against a shutdown that aborts a request in progress, accepts new requests
// after the notice time, or returns an error although every request was finished.
func TestGracefulShutdownFinishesTheRequestInProgress(t *testing.T) {
	first, second, server, result := startPair(t)
	first.leave()
	require.Eventually(t, func() bool {
		var problem admin.Problem
		return first.get(t, "/ready", &problem) == http.StatusServiceUnavailable && problem.Error == "shutting_down"
	}, waitTimeout, time.Millisecond)
	require.Eventually(t, func() bool {
		a := first.request("GET", "/status", "", 0, "")
		return a.err == nil && a.outcome == "not-run" && a.reason == "shutting_down"
	}, waitTimeout, time.Millisecond)
	select {
	case err := <-first.ended:
		t.Fatalf("ended with a request in progress: %v", err)
	default:
	}
	close(server.release)
	require.Equal(t, answer{status: http.StatusOK, outcome: "completed", reason: "none", body: "the whole check"}, <-result)
	require.NoError(t, <-first.ended)
	require.Equal(t, []string{"check-1"}, server.keys)
	require.Eventually(t, func() bool {
		a := second.request("GET", "/status", "", 0, "")
		return a.err == nil && a.outcome == "completed" && a.body == "ok"
	}, waitTimeout, time.Millisecond, "the other instance keeps serving")
}

// Guards against a shutdown that lasts forever because a request never completes, and
// against one that reports success although it aborted a request.
func TestSecondSignalEndsTheGracefulShutdown(t *testing.T) {
	first, _, server, result := startPair(t)
	first.leave()
	require.Eventually(t, func() bool { return first.get(t, "/ready", nil) != http.StatusOK }, waitTimeout, time.Millisecond)
	first.stop()
	require.ErrorIs(t, <-first.ended, ErrInterrupted)
	close(server.release)
	require.NotEqual(t, "not-run", (<-result).outcome, "the server had received the request")
}

// Guards against an instance that keeps running after a part has ended, or that stops
// without an error that names the part.
func TestEndOfAPartEndsTheInstance(t *testing.T) {
	p := newFakePlatform(t)
	p.note = releaseNote(nil, "halle-a")
	r := startInstance(t, p, "halle-a-1", "halle-a")
	require.NoError(t, r.sockets.operators.Close())
	err := <-r.ended
	require.ErrorIs(t, err, parts.ErrEnded)
	require.ErrorContains(t, err, "operators")
	require.NotErrorIs(t, err, context.Canceled)
}
