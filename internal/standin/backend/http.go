package backend

import (
	"context"
	"encoding/json"
	"fmt"
	"hash"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/savorytiller/savorytiller/internal/standin/deployment"
	"github.com/savorytiller/savorytiller/internal/standin/wire"
)

type acceptKey struct{}

// rememberAccept keeps the time at which a connection was accepted, for the
// fault that makes older connections silent.
func rememberAccept(ctx context.Context, _ net.Conn) context.Context {
	return context.WithValue(ctx, acceptKey{}, time.Now())
}

// front is the HTTP endpoint of a server.
type front struct {
	server *Server
	// seed and sequence make the work times repeatable for a given order.
	seed     uint64
	sequence atomic.Uint64
}

func newFront(s *Server, random *rand.Rand) *front {
	return &front{server: s, seed: random.Uint64()}
}

type healthReport struct {
	State string  `json:"state"`
	Load  float64 `json:"load"`
}

func (f *front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	condition := f.server.conditions.load()
	accepted, _ := r.Context().Value(acceptKey{}).(time.Time)
	if condition.Down {
		panic(http.ErrAbortHandler)
	}
	if accepted.Before(condition.SilentBefore) {
		// The request never reaches the server, so nothing runs. The handler
		// waits until the other end closes the connection.
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	if r.Method == http.MethodGet && r.URL.Path == "/health" {
		f.serveHealth(w, condition)
		return
	}
	f.serveRequest(w, r, condition)
}

// serveHealth reports the condition as it was healthLag ago.
func (f *front) serveHealth(w http.ResponseWriter, c *Condition) {
	report := healthReport{State: "warm"}
	before := time.Now().Add(-healthLag)
	switch {
	case c.LyingHealth:
	case !c.Draining.IsZero() && c.Draining.Before(before):
		report.State = "draining"
	case !c.Cold.IsZero() && c.Cold.Before(before) && time.Since(c.Cold) < 10*time.Second:
		report.State = "cold"
	}
	_ = json.NewEncoder(w).Encode(report)
}

func (f *front) serveRequest(w http.ResponseWriter, r *http.Request, condition *Condition) {
	w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	began := time.Now()
	reply := make(chan grant, 1)
	host, _, _ := strings.Cut(r.Host, ":")
	f.server.requests <- beginEvent{host, reply}
	granted := <-reply
	if !granted.ok {
		w.Header().Set("Request-Shed", "1")
		http.Error(w, "shed", http.StatusServiceUnavailable)
		return
	}
	end := endEvent{cancelled: true}
	defer func() {
		if !end.completed {
			f.server.requests <- end
		}
	}()

	body := xxhash.New()
	if _, err := io.Copy(body, r.Body); err != nil {
		panic(http.ErrAbortHandler) // the caller went away before the request was whole
	}
	key := r.Header.Get("Idempotency-Key")
	operation := key
	if operation == "" {
		operation = r.URL.RequestURI()
	}
	done := make(chan struct{})
	f.server.requests <- runEvent{operation, done}
	<-done

	kind := f.kind(r)
	work := time.NewTimer(f.workTime(kind) * time.Duration(granted.slowdown))
	defer work.Stop()
	var deadline <-chan time.Time
	if ms, err := strconv.Atoi(r.Header.Get("Request-Timeout-Ms")); err == nil {
		deadline = time.After(time.Duration(ms) * time.Millisecond)
	}
	select {
	case <-r.Context().Done():
		panic(http.ErrAbortHandler)
	case <-deadline:
		end = endEvent{expired: true}
		http.Error(w, "deadline passed", http.StatusGatewayTimeout)
		return
	case <-work.C:
	}
	if f.server.conditions.load().Crashed.After(began) {
		panic(http.ErrAbortHandler)
	}
	// The slot is free before the answer leaves, so that the next request of a
	// caller that counts slots is not refused.
	end = endEvent{completed: true}
	f.server.requests <- end
	f.answer(w, r, key, kind, body, condition)
}

func (f *front) answer(w http.ResponseWriter, r *http.Request, key string, kind *deployment.RequestKind, body hash.Hash64, c *Condition) {
	host, _, _ := strings.Cut(r.Host, ":")
	size := 64
	if kind != nil {
		size = kind.ResponsePadding
	}
	answer, _ := json.Marshal(wire.ResponseBody{
		Digest: fmt.Sprintf("%016x", wire.RequestDigest(host, r.Method, r.URL.RequestURI(), key, body.Sum64())),
		Server: f.server.Document.ID, Pad: strings.Repeat("x", size)})
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	if c.Truncating {
		_, _ = w.Write(answer[:len(answer)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(answer)
}

// kind returns the first kind whose method and path prefix match.
func (f *front) kind(r *http.Request) *deployment.RequestKind {
	for i := range f.server.service.Kinds {
		k := &f.server.service.Kinds[i]
		if k.Method == r.Method && strings.HasPrefix(r.URL.Path, k.PathPrefix) {
			return k
		}
	}
	return nil
}

// workTime varies by half around the mean of the kind.
func (f *front) workTime(kind *deployment.RequestKind) time.Duration {
	if kind == nil {
		return 0
	}
	random := rand.New(rand.NewPCG(f.seed, f.sequence.Add(1)))
	return kind.ProcessingTime/2 + time.Duration(random.Int64N(int64(kind.ProcessingTime)))
}
