package health

import (
	"slices"
	"strings"

	"github.com/savorytiller/savorytiller/internal/core/model"
)

// State is the state of a backend server as this instance sees it.
type State uint8

const (
	// Cold servers get the smallest allowance of new work, from their home instance only.
	Cold State = iota
	// Warming servers get a growing allowance of new work, from their home instance only.
	Warming
	// Warm servers get new work from every instance, within the instance's share.
	Warm
	// Draining servers get no new work.
	Draining
	// Failed servers get no new work until their home instance tries them again, or,
	// if only this instance avoids them, until demotionWindow has passed.
	Failed
)

// String returns the name shown to operators.
func (s State) String() string {
	return [...]string{"cold", "warming", "warm", "draining", "failed"}[s]
}

// ColdHomeServers returns the servers whose home is this instance and that are cold
// for requests, for flows or for both, sorted. Only this instance may send them the
// work for which they are cold.
func (t *Table) ColdHomeServers() []model.ServerID {
	var out []model.ServerID
	for id, s := range t.servers {
		if s.home && !s.withdrawn && !(s.record.Warm && s.record.WarmFlows) {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// HomeServers returns the servers whose home is this instance, sorted.
func (t *Table) HomeServers() []model.Server {
	var out []model.Server
	for _, s := range t.servers {
		if s.home && !s.withdrawn {
			out = append(out, s.config)
		}
	}
	slices.SortFunc(out, func(a, b model.Server) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return out
}

// Each calls f for every server of the zone.
func (t *Table) Each(f func(model.ServerID)) {
	for id := range t.servers {
		f(id)
	}
}

// Status is the state of a server and the limits of its use by this instance.
type Status struct {
	// State is Warm if the server is warm for requests, even if it is cold for flows.
	State State
	// RequestsHomeOnly is set while the server is cold for requests: only its home
	// instance may send it requests. FlowsHomeOnly is the same for flows.
	RequestsHomeOnly, FlowsHomeOnly bool
	// Home is set if this instance is the home of the server.
	Home bool
	// Slots and Connections are the allowances of the server over all instances. They
	// apply while only the home instance uses it.
	Slots       int
	Connections uint32
	// NewWork is false if this instance must not send new work to the server.
	NewWork bool
	// Reason is why the server is not warm; it is unset for warm servers.
	Reason model.Reason
}

// Status returns the status of a server. Servers that are not in the table or
// whose zone is withdrawn are cold and get no new work.
func (t *Table) Status(now model.Time, id model.ServerID) Status {
	s, ok := t.servers[id]
	if !ok || s.withdrawn {
		return Status{State: Cold, RequestsHomeOnly: true, FlowsHomeOnly: true, Reason: model.ReasonServerCold}
	}
	requests, flows := &s.ramps[Request], &s.ramps[Connection]
	st := Status{Home: s.home, Slots: requests.slots(&s.config), Connections: flows.connections(&s.config),
		// Once a ramp has finished, the home instance uses only its own share.
		RequestsHomeOnly: !s.record.Warm && requests.announceAt == 0, FlowsHomeOnly: !s.record.WarmFlows && flows.announceAt == 0}
	if now.Before(s.flowsFrom) {
		st.Connections = 0
	}
	switch {
	case s.config.State == model.ServerDraining || s.record.Draining:
		st.State, st.Reason = Draining, model.ReasonServerDraining
	case s.avoidUntil != 0 || s.retryAt != 0 && now.Before(s.retryAt):
		st.State, st.Reason = Failed, model.ReasonServerFailed
	case s.record.Warm:
		st.State, st.NewWork = Warm, true
	case now.Before(s.holdDownUntil):
		st.Reason = model.ReasonServerCold
	default:
		st.Reason, st.NewWork = model.ReasonServerCold, s.home || s.record.WarmFlows
		if requests.level > 0 || requests.announceAt != 0 || flows.level > 0 {
			st.State = Warming
		}
	}
	return st
}
