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

type acceptTimeKey struct{}

// withAcceptTime stores the time at which a connection was accepted, for the
// fault that leaves requests on older connections unanswered.
func withAcceptTime(ctx context.Context, _ net.Conn) context.Context {
	return context.WithValue(ctx, acceptTimeKey{}, time.Now())
}

// httpHandler serves the HTTP requests of a server.
type httpHandler struct {
	server *Server
	// seed and sequence make the processing times reproducible for a given order of
	// requests.
	seed     uint64
	sequence atomic.Uint64
}

func newHTTPHandler(s *Server, random *rand.Rand) *httpHandler {
	return &httpHandler{server: s, seed: random.Uint64()}
}

type healthReport struct {
	State string  `json:"state"`
	Load  float64 `json:"load"`
}

func (h *httpHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	condition := h.server.condition.load()
	acceptedAt, _ := r.Context().Value(acceptTimeKey{}).(time.Time)
	if condition.Down {
		panic(http.ErrAbortHandler)
	}
	if acceptedAt.Before(condition.SilentBefore) {
		// The request is treated as if it never reached the server, so nothing
		// runs. The handler waits until the peer closes the connection.
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	if r.Method == http.MethodGet && r.URL.Path == "/health" {
		h.serveHealth(w, condition)
		return
	}
	h.serveRequest(w, r, condition)
}

// serveHealth reports the condition as it was healthLag ago. A server reports that it
// is cold until 10 s after it became cold.
func (h *httpHandler) serveHealth(w http.ResponseWriter, c *Condition) {
	report := healthReport{State: "warm"}
	reportedTime := time.Now().Add(-healthLag)
	switch {
	case c.ReportsHealthy:
	case !c.DrainingSince.IsZero() && c.DrainingSince.Before(reportedTime):
		report.State = "draining"
	case !c.ColdSince.IsZero() && c.ColdSince.Before(reportedTime) && time.Since(c.ColdSince) < 10*time.Second:
		report.State = "cold"
	}
	_ = json.NewEncoder(w).Encode(report)
}

func (h *httpHandler) serveRequest(w http.ResponseWriter, r *http.Request, condition *Condition) {
	w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	startedAt := time.Now()
	reply := make(chan slotGrant, 1)
	host, _, _ := strings.Cut(r.Host, ":")
	h.server.requestEvents <- acquireEvent{host, reply}
	grant := <-reply
	if !grant.ok {
		w.Header().Set("Request-Shed", "1")
		http.Error(w, "shed", http.StatusServiceUnavailable)
		return
	}
	release := releaseEvent{cancelled: true}
	defer func() {
		if !release.completed {
			h.server.requestEvents <- release
		}
	}()

	body := xxhash.New()
	if _, err := io.Copy(body, r.Body); err != nil {
		panic(http.ErrAbortHandler) // the connection closed before the request was complete
	}
	key := r.Header.Get("Idempotency-Key")
	operation := key
	if operation == "" {
		operation = r.URL.RequestURI()
	}
	done := make(chan struct{})
	h.server.requestEvents <- runEvent{operation, done}
	<-done

	kind := h.matchKind(r)
	processing := time.NewTimer(h.processingTime(kind) * time.Duration(grant.slowdown))
	defer processing.Stop()
	var deadline <-chan time.Time
	if ms, err := strconv.Atoi(r.Header.Get("Request-Timeout-Ms")); err == nil {
		deadline = time.After(time.Duration(ms) * time.Millisecond)
	}
	select {
	case <-r.Context().Done():
		panic(http.ErrAbortHandler)
	case <-deadline:
		release = releaseEvent{expired: true}
		http.Error(w, "deadline passed", http.StatusGatewayTimeout)
		return
	case <-processing.C:
	}
	if h.server.condition.load().CrashedAt.After(startedAt) {
		panic(http.ErrAbortHandler)
	}
	// The slot is released before the response is sent, so that a client that
	// counts slots can send its next request without being refused.
	release = releaseEvent{completed: true}
	h.server.requestEvents <- release
	h.writeResponse(w, r, key, kind, body, condition)
}

func (h *httpHandler) writeResponse(w http.ResponseWriter, r *http.Request, key string, kind *deployment.RequestKind, body hash.Hash64, c *Condition) {
	host, _, _ := strings.Cut(r.Host, ":")
	size := 64
	if kind != nil {
		size = kind.ResponsePadding
	}
	encoded, _ := json.Marshal(wire.ResponseBody{
		Digest: fmt.Sprintf("%016x", wire.RequestDigest(host, r.Method, r.URL.RequestURI(), key, body.Sum64())),
		Server: h.server.Document.ID, Pad: strings.Repeat("x", size)})
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(encoded)))
	if c.TruncatesResponses {
		_, _ = w.Write(encoded[:len(encoded)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(encoded)
}

// matchKind returns the first request kind whose method and path prefix match, or nil.
func (h *httpHandler) matchKind(r *http.Request) *deployment.RequestKind {
	for i := range h.server.service.Kinds {
		k := &h.server.service.Kinds[i]
		if k.Method == r.Method && strings.HasPrefix(r.URL.Path, k.PathPrefix) {
			return k
		}
	}
	return nil
}

// processingTime returns a random time between 50 % and 150 % of the mean of the kind.
func (h *httpHandler) processingTime(kind *deployment.RequestKind) time.Duration {
	if kind == nil {
		return 0
	}
	random := rand.New(rand.NewPCG(h.seed, h.sequence.Add(1)))
	return kind.ProcessingTime/2 + time.Duration(random.Int64N(int64(kind.ProcessingTime)))
}
