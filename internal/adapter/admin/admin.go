package admin

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/port"
)

// Limits of the endpoints, so that a slow or broken client cannot hold memory.
const (
	headerTimeout   = 5 * time.Second
	answerTimeout   = 10 * time.Second
	maxHeaderBytes  = 16 << 10
	defaultLimit    = 100
	protocolNameTCP = "tcp"
	protocolNameUDP = "udp"
	protocolTCP     = 6
	protocolUDP     = 17
)

// Source gives what the endpoints show. All functions are safe for concurrent
// use; all but Explain return at once.
type Source struct {
	Clock     port.Clock
	Views     port.ViewReader
	Metrics   func() Metrics
	Decisions func() []port.Decision
	// Status returns everything but the parts that Status fills from the view.
	Status func() Status
	// Explain returns where a new flow goes. It may ask other instances.
	Explain func(ctx context.Context, key model.FlowKey) Flow
}

// Server returns the HTTP server of the endpoints. The caller starts it on a
// listener and closes it.
func (s Source) Server() *http.Server {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /ready", s.ready)
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) { answer(w, http.StatusOK, s.status()) })
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { answer(w, http.StatusOK, s.Metrics()) })
	mux.HandleFunc("GET /explain", s.explain)
	return &http.Server{
		Handler:           mux,
		ReadHeaderTimeout: headerTimeout,
		WriteTimeout:      answerTimeout,
		IdleTimeout:       answerTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

func (s Source) ready(w http.ResponseWriter, _ *http.Request) {
	if why := Unready(s.Views.View(), s.Clock.Now()); why != model.ReasonNone {
		answer(w, http.StatusServiceUnavailable, Problem{Error: why.String()})
		return
	}
	answer(w, http.StatusOK, map[string]bool{"ready": true})
}

func (s Source) explain(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	if query.Has("source") {
		key, err := s.flowKey(query.Get("service"), query.Get("protocol"), query.Get("source"))
		if err != nil {
			answer(w, http.StatusBadRequest, Problem{Error: err.Error()})
			return
		}
		flow := s.Explain(r.Context(), key)
		flow.Service, flow.Protocol = query.Get("service"), cmp.Or(query.Get("protocol"), protocolNameTCP)
		answer(w, http.StatusOK, Explanation{Flow: &flow})
		return
	}
	limit := defaultLimit
	if text := query.Get("limit"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 {
			answer(w, http.StatusBadRequest, Problem{Error: "limit: must be a positive number"})
			return
		}
		limit = n
	}
	answer(w, http.StatusOK, Explanation{Decisions: s.recent(query.Get("part"), query.Get("reason"), query.Get("subject"), limit)})
}

// recent returns the newest decisions that match, oldest first. Empty arguments
// match everything.
func (s Source) recent(part, reason, subject string, limit int) []Decision {
	now := s.Clock.Now()
	all := s.Decisions()
	out := []Decision{}
	for _, d := range all {
		if part != "" && d.Part != part || reason != "" && d.Reason.String() != reason || subject != "" && d.Subject != subject {
			continue
		}
		out = append(out, Decision{AgeMs: now.Sub(d.At).Milliseconds(), Part: d.Part, Reason: d.Reason.String(),
			Subject: d.Subject, Detail: d.Detail})
	}
	if len(out) > limit {
		out = out[len(out)-limit:]
	}
	return out
}

// flowKey builds the key of a flow from a service's name, number or virtual
// address, the protocol's name (TCP by default) and the caller's address.
func (s Source) flowKey(service, protocol, source string) (model.FlowKey, error) {
	var key model.FlowKey
	switch protocol {
	case "", protocolNameTCP:
		key.Protocol = protocolTCP
	case protocolNameUDP:
		key.Protocol = protocolUDP
	default:
		return key, fmt.Errorf("protocol %q: must be tcp or udp", protocol)
	}
	from, err := netip.ParseAddrPort(source)
	if err != nil || !from.Addr().Is4() {
		return key, fmt.Errorf("source %q: must be an IPv4 address and a port", source)
	}
	key.Source = from
	v := s.Views.View()
	if !v.Ready() {
		return key, fmt.Errorf("service %q: no release note is in force", service)
	}
	for i := range v.Config.Services {
		c := &v.Config.Services[i]
		if c.Name == service || strconv.Itoa(int(c.ID)) == service || c.VirtualAddress.String() == service {
			key.Service, key.Destination = c.ID, c.VirtualAddress
			return key, nil
		}
	}
	return key, fmt.Errorf("service %q: not in release note %d", service, v.Config.Version)
}

func answer(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		status, data = http.StatusInternalServerError, []byte(`{"error":"cannot encode the answer"}`)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(append(data, '\n')) // a client that is gone needs no answer
}
