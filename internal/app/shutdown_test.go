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

// heldServer is a backend server that answers a check only once it is released.
type heldServer struct {
	arrived, release chan struct{}
	mu               sync.Mutex
	keys             []string
}

func newHeldServer() *heldServer {
	return &heldServer{arrived: make(chan struct{}, 16), release: make(chan struct{})}
}

func (h *heldServer) serve(w http.ResponseWriter, r *http.Request) {
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

// request sends a request; a key goes with the attempt's number.
func (r *running) request(method, path, key string, attempt int, body string) answer {
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

// startPair starts two instances before one server that holds its answers, and
// sends a check through the first one.
func startPair(t *testing.T) (first, second *running, server *heldServer, result chan answer) {
	t.Helper()
	server = newHeldServer()
	var once sync.Once
	t.Cleanup(func() { once.Do(func() { closeIfOpen(server.release) }) })
	p := newPlatform(t)
	p.note = noteFor(map[string]*backend{"line-01": newBackend(t, server.serve)}, "halle-a")
	first, second = startInstance(t, p, "halle-a-1", "halle-a"), startInstance(t, p, "halle-a-2", "halle-a")
	first.waitReady(t, 2)
	second.waitReady(t, 2)
	result = make(chan answer, 1)
	go func() {
		// A request that was not run may be repeated. The slots of a cold server
		// can be unknown to an instance in its first second.
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
	case <-time.After(limit):
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

// Guards against a shutdown that cuts a request in progress, accepts new ones
// after its notice, or ends with an error although everything was finished.
func TestGracefulShutdownFinishesTheRequestInProgress(t *testing.T) {
	first, second, server, result := startPair(t)
	first.leave()
	require.Eventually(t, func() bool {
		var problem admin.Problem
		return first.get(t, "/ready", &problem) == http.StatusServiceUnavailable && problem.Error == "shutting_down"
	}, limit, time.Millisecond)
	require.Eventually(t, func() bool {
		a := first.request("GET", "/status", "", 0, "")
		return a.err == nil && a.outcome == "not-run" && a.reason == "shutting_down"
	}, limit, time.Millisecond)
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
	}, limit, time.Millisecond, "the other instance goes on")
}

// Guards against a shutdown that a request without end blocks forever, and
// against one that reports success after it cut a request.
func TestSecondSignalEndsTheGracefulShutdown(t *testing.T) {
	first, _, server, result := startPair(t)
	first.leave()
	require.Eventually(t, func() bool { return first.get(t, "/ready", nil) != http.StatusOK }, limit, time.Millisecond)
	first.stop()
	require.ErrorIs(t, <-first.ended, ErrInterrupted)
	close(server.release)
	require.NotEqual(t, "not-run", (<-result).outcome, "the server has the request")
}

// Guards against an instance that ends its parts without being told why.
func TestEndOfAPartEndsTheInstance(t *testing.T) {
	p := newPlatform(t)
	p.note = noteFor(nil, "halle-a")
	r := startInstance(t, p, "halle-a-1", "halle-a")
	require.NoError(t, r.sockets.operators.Close())
	err := <-r.ended
	require.ErrorIs(t, err, parts.ErrEnded)
	require.ErrorContains(t, err, "operators")
	require.NotErrorIs(t, err, context.Canceled)
}
