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

// Limits of the endpoints, so that a slow or faulty client cannot tie up memory.
const (
	headerTimeout    = 5 * time.Second
	responseTimeout  = 10 * time.Second
	maxHeaderBytes   = 16 << 10
	defaultDecisions = 100 // decisions in a response of /explain without a limit
	// Names of the protocols in queries, and their IANA protocol numbers.
	protocolNameTCP = "tcp"
	protocolNameUDP = "udp"
	protocolTCP     = 6
	protocolUDP     = 17
)

// Source provides the data of the endpoints. All functions are safe for
// concurrent use; all but Explain return without waiting.
type Source struct {
	Clock     port.Clock
	Views     port.ViewReader
	Metrics   func() Metrics
	Decisions func() []port.Decision
	// Status returns the fields of /status that do not come from the view.
	Status func() Status
	// Explain returns where a new flow would be sent. It may query other instances.
	Explain func(ctx context.Context, key model.FlowKey) Flow
}

// Server returns the HTTP server of the endpoints. The calling code starts it
// on a listener and closes it.
func (s Source) Server() *http.Server {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /ready", s.ready)
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, s.status()) })
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, s.Metrics()) })
	mux.HandleFunc("GET /explain", s.explain)
	return &http.Server{
		Handler:           mux,
		ReadHeaderTimeout: headerTimeout,
		WriteTimeout:      responseTimeout,
		IdleTimeout:       responseTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

func (s Source) ready(w http.ResponseWriter, _ *http.Request) {
	if reason := NotReadyReason(s.Views.View(), s.Clock.Now()); reason != model.ReasonNone {
		writeJSON(w, http.StatusServiceUnavailable, Problem{Error: reason.String()})
		return
	}
	writeJSON(w, http.StatusOK, map[string]bool{"ready": true})
}

func (s Source) explain(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	if query.Has("source") {
		key, err := s.flowKey(query.Get("service"), query.Get("protocol"), query.Get("source"))
		if err != nil {
			writeJSON(w, http.StatusBadRequest, Problem{Error: err.Error()})
			return
		}
		flow := s.Explain(r.Context(), key)
		flow.Service, flow.Protocol = query.Get("service"), cmp.Or(query.Get("protocol"), protocolNameTCP)
		writeJSON(w, http.StatusOK, Explanation{Flow: &flow})
		return
	}
	limit := defaultDecisions
	if text := query.Get("limit"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 {
			writeJSON(w, http.StatusBadRequest, Problem{Error: "limit: must be a positive number"})
			return
		}
		limit = n
	}
	writeJSON(w, http.StatusOK, Explanation{Decisions: s.recentDecisions(query.Get("part"), query.Get("reason"), query.Get("subject"), limit)})
}

// recentDecisions returns at most limit of the newest decisions that match, oldest
// first. Empty arguments match everything.
func (s Source) recentDecisions(part, reason, subject string, limit int) []Decision {
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
// address, the protocol's name (TCP by default) and the caller's IPv4 address and
// port. Its errors state which argument is wrong.
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

// writeJSON writes a response with the body encoded as JSON, or status 500 if
// that fails.
func writeJSON(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		status, data = http.StatusInternalServerError, []byte(`{"error":"cannot encode the answer"}`)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(append(data, '\n')) // an error means that the client has disconnected
}
