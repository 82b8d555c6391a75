package steerstatus

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/netip"

	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/core/steering"
	"github.com/savorytiller/savorytiller/internal/port"
)

// Where is where a new flow would go now, and why.
type Where struct {
	Instance string `json:"instance"`
	Zone     string `json:"zone"`
	Ready    bool   `json:"ready"`
	Version  uint64 `json:"config_version"`
	// ConfirmedMsAgo is the time in milliseconds since the view was last confirmed to match the
	// registry.
	ConfirmedMsAgo int64 `json:"confirmed_ms_ago"`
	// Caller is the address that the answer is about: 0.0.0.0:0 if none was given.
	Caller string `json:"caller"`
	// Route is the route with its terms; nil if the configuration has none.
	Route *Route `json:"route,omitempty"`
	// Service is the service that the weights select for the caller. ServerStates is the number of
	// its servers by state, and Accepting the number of those that accept flows.
	Service      string         `json:"service,omitempty"`
	ServerStates map[string]int `json:"server_states"`
	Accepting    int            `json:"accepting"`
	// Action is deliver, drop, reset, or none if the route is not known. Reason is the code of the
	// decision.
	Action string `json:"action"`
	Reason string `json:"reason"`
	// Admission is the verdict of admission control; nil if it was not asked.
	Admission *Admission `json:"admission,omitempty"`
	// LoadUsable is set if the load of the fleet is used. LoadReason says why not.
	LoadUsable bool   `json:"load_usable"`
	LoadReason string `json:"load_reason,omitempty"`
	// Choice is the server that would get the flow, and RunnerUp the best of the others.
	Choice   string `json:"choice,omitempty"`
	RunnerUp string `json:"runner_up,omitempty"`
	// Candidates are the best of the considered servers, in the order of preference.
	Candidates []Candidate `json:"candidates"`
	Considered int         `json:"considered"`
}

// Admission is the verdict of admission control with the figures of the own zone on which it is
// based.
type Admission struct {
	// Reason is none if the zone is not short of capacity. Zone is the preferred zone.
	Reason             string  `json:"reason"`
	Zone               string  `json:"zone"`
	InProgress         float64 `json:"in_progress"`
	CompletedPerSecond float64 `json:"completed_per_s"`
	Slots              int     `json:"slots"`
	BaselineMs         float64 `json:"baseline_ms"`
	LoadAgeMs          int64   `json:"load_age_ms"`
	// Limit is the limit of the zone for the flow, Share the part of this instance, and Own the
	// number of its requests in progress.
	Limit float64 `json:"limit"`
	Share float64 `json:"share"`
	Own   int     `json:"own"`
}

// Candidate is a server that was considered.
type Candidate struct {
	ID    string  `json:"id"`
	Zone  string  `json:"zone"`
	State string  `json:"state"`
	Class string  `json:"class"`
	Score float64 `json:"score"`
	Slots int     `json:"slots"`
	// Flows and Busy count the open flows through this instance and, of these, the ones with a
	// request in progress.
	Flows int `json:"flows"`
	Busy  int `json:"busy"`
	// Probe is the result of the last probe. The times are those since it and since this
	// instance last saw a response, in milliseconds, or -1 for never. Timeouts counts the timeouts
	// since then.
	Probe          string `json:"probe"`
	ProbedMsAgo    int64  `json:"probed_ms_ago"`
	RespondedMsAgo int64  `json:"responded_ms_ago"`
	Timeouts       int    `json:"timeouts"`
	// Restriction is why the server gets few new flows; none otherwise.
	Restriction string `json:"restriction"`
	// Load is what the decision uses of the load of the fleet; nil if it uses none.
	Load *ServerLoad `json:"load,omitempty"`
}

var actionNames = map[steering.Action]string{steering.Deliver: "deliver", steering.Drop: "drop", steering.Reset: "reset"}

// serveWhere answers a question about the flow of a caller (parameter caller, optional) to a
// route (parameter route: its address and port, or its name).
func (s *Source) serveWhere(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	var caller netip.AddrPort
	if text := query.Get("caller"); text != "" {
		var err error
		if caller, err = netip.ParseAddrPort(text); err != nil {
			respond(w, http.StatusBadRequest, problem{"caller: not an IPv4 address and port"})
			return
		}
	} else {
		caller = netip.AddrPortFrom(netip.IPv4Unspecified(), 0)
	}
	p := &steering.Packet{Flags: steering.SYN}
	var ok bool
	if p.Key.Caller, ok = steering.EndpointOf(caller); !ok {
		respond(w, http.StatusBadRequest, problem{"caller: not an IPv4 address and port"})
		return
	}
	var known bool
	if p.Key.Route, known = findRoute(s.Snapshots.Snapshot(), query.Get("route")); !known {
		preview := &steering.Preview{Snapshot: s.Snapshots.Snapshot(), At: s.Clock.Now(), Decision: steering.Decision{Reason: model.ReasonUnknownService}}
		out := s.where(preview, p)
		out.Action = "none"
		respond(w, http.StatusOK, out)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), trafficTimeout)
	defer cancel()
	preview, err := s.Preview(ctx, p)
	switch {
	case errors.Is(err, port.ErrBusy):
		respond(w, http.StatusServiceUnavailable, problem{"too many questions wait for the traffic goroutine"})
	case err != nil:
		respond(w, http.StatusServiceUnavailable, problem{"the traffic goroutine does not answer"})
	default:
		respond(w, http.StatusOK, s.where(preview, p))
	}
}

// findRoute returns the endpoint of a route by its address and port or its name. An address need
// not have a route; a name must, unless there is no configuration.
func findRoute(v *steering.Snapshot, route string) (at steering.Endpoint, ok bool) {
	if address, err := netip.ParseAddrPort(route); err == nil {
		return steering.EndpointOf(address)
	}
	if v == nil || v.Version == 0 {
		return steering.Endpoint{}, true
	}
	for endpoint, r := range v.Routes {
		if r.Name == route && (!ok || endpoint.Address < at.Address || endpoint.Address == at.Address && endpoint.Port < at.Port) {
			at, ok = endpoint, true
		}
	}
	return at, ok
}

// where describes a preview.
func (s *Source) where(preview *steering.Preview, p *steering.Packet) *Where {
	v, now, d := preview.Snapshot, preview.At, &preview.Decision
	out := &Where{Instance: s.Instance, Ready: s.Ready(), Caller: p.Key.Caller.AddrPort().String(), Action: actionNames[d.Action], Reason: d.Reason.String(),
		ServerStates: map[string]int{}, Candidates: []Candidate{}, Considered: preview.Considered}
	if v == nil {
		out.Reason = model.ReasonNoConfiguration.String()
		return out
	}
	out.Zone, out.Version, out.ConfirmedMsAgo = string(v.Zone), v.Version, now.Sub(v.ConfirmedAt).Milliseconds()
	out.LoadUsable, out.LoadReason = v.Room != nil && v.Room.Usable, unusableReason(v)
	if preview.Route != nil {
		route := routeOf(preview.Route)
		out.Route = &route
	}
	if preview.Service != nil {
		out.Service, out.Accepting = preview.Service.Name, len(preview.Service.Servers)
		for _, server := range v.Servers.Sorted() {
			if server.Service == out.Service {
				out.ServerStates[serverState(server, v, now)]++
			}
		}
	}
	out.Admission = admissionOf(preview)
	if d.Server != nil {
		out.Choice = string(d.Server.ID)
	}
	for i := range preview.Candidates {
		c := candidateOf(&preview.Candidates[i], v, now)
		if out.RunnerUp == "" && c.ID != out.Choice {
			out.RunnerUp = c.ID
		}
		out.Candidates = append(out.Candidates, c)
	}
	return out
}

func admissionOf(preview *steering.Preview) *Admission {
	verdict := preview.Verdict
	if verdict == nil {
		return nil
	}
	in := &verdict.Inputs
	return &Admission{Reason: verdict.Reason.String(), Zone: string(verdict.Zone), InProgress: round(in.InProgress), CompletedPerSecond: round(in.CompletedPerSecond),
		Slots: in.Slots, BaselineMs: milliseconds(in.BaseLatency), LoadAgeMs: in.ViewAge.Milliseconds(), Limit: round(in.Limit), Share: round(in.Share), Own: in.Own}
}

func candidateOf(c *steering.Candidate, v *steering.Snapshot, now model.Time) Candidate {
	s := c.Server
	return Candidate{ID: string(s.ID), Zone: string(s.Zone), State: serverState(s, v, now), Class: c.Class, Score: round(c.Score), Slots: s.Slots,
		Flows: c.Flows, Busy: c.Busy, Probe: s.ProbeResult.String(), ProbedMsAgo: millisecondsAgo(s.ProbeSentAt, now),
		RespondedMsAgo: millisecondsAgo(c.RespondedAt, now), Timeouts: c.Timeouts, Restriction: c.Restriction.String(), Load: placementLoad(c, now)}
}

// placementLoad returns what the decision uses of the load of the fleet, or nil if it uses none.
func placementLoad(c *steering.Candidate, now model.Time) *ServerLoad {
	p := c.Placement
	if p == nil {
		return nil
	}
	return &ServerLoad{InProgress: round(p.InProgress), Samples: round(p.Samples), FailedShare: round(p.FailedShare), RelativeLatency: round(p.RelativeTime),
		AgeMs: millisecondsAgo(c.MeasuredAt, now)}
}

// millisecondsAgo returns the time since an event, or -1 if there was none.
func millisecondsAgo(at, now model.Time) int64 {
	if at == 0 {
		return -1
	}
	return now.Sub(at).Milliseconds()
}

// problem is the body of a response without a result.
type problem struct {
	Error string `json:"error"`
}

func respond(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An error means that the client has closed the connection.
	_ = json.NewEncoder(w).Encode(body)
}
