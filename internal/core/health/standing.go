package health

import (
	"slices"
	"strings"

	"github.com/savorytiller/savorytiller/internal/core/model"
)

// State is the state of a backend server as this instance sees it.
type State uint8

const (
	// Cold servers take the smallest allowance from their home instance only.
	Cold State = iota
	// Warming servers take a growing allowance from their home instance only.
	Warming
	// Warm servers take work from every instance within its share.
	Warm
	// Draining servers take no new work.
	Draining
	// Failed servers take no new work until the next try of their home instance.
	Failed
)

// String returns the name shown to operators.
func (s State) String() string {
	return [...]string{"cold", "warming", "warm", "draining", "failed"}[s]
}

// Alone returns the servers that only this instance may use, because they are
// cold and it is their home, sorted.
func (t *Table) Alone() []model.ServerID {
	var out []model.ServerID
	for id, s := range t.servers {
		if s.home && !s.out && !(s.record.Warm && s.record.WarmFlows) {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// Homes returns the servers whose home is this instance, sorted.
func (t *Table) Homes() []model.Server {
	var out []model.Server
	for _, s := range t.servers {
		if s.home && !s.out {
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

// Standing is what this instance may do with a server.
type Standing struct {
	State State
	// Alone is set while the server is cold: only the home instance sends it
	// requests. AloneFlows says the same of flows.
	Alone, AloneFlows bool
	// Home is set at the home instance.
	Home bool
	// Slots and Connections are the allowances of the whole fleet meanwhile.
	Slots       int
	Connections uint32
	// NewWork is false if the server must get nothing new.
	NewWork bool
	Reason  model.Reason
}

// Standing returns what this instance may do with a server of its zone.
func (t *Table) Standing(now model.Time, id model.ServerID) Standing {
	s, ok := t.servers[id]
	if !ok || s.out {
		return Standing{State: Cold, Alone: true, AloneFlows: true, Reason: model.ReasonServerCold}
	}
	requests, flows := &s.ramps[Request], &s.ramps[Connection]
	st := Standing{Home: s.home, Slots: requests.slots(&s.config), Connections: flows.connections(&s.config),
		// While a ramp settles, the home instance keeps its share only.
		Alone: !s.record.Warm && requests.settle == 0, AloneFlows: !s.record.WarmFlows && flows.settle == 0}
	if now.Before(s.homeFrom) {
		st.Connections = 0
	}
	switch {
	case s.config.State == model.ServerDraining || s.record.Draining:
		st.State, st.Reason = Draining, model.ReasonServerDraining
	case s.distrust != 0 || s.retryAt != 0 && now.Before(s.retryAt):
		st.State, st.Reason = Failed, model.ReasonServerFailed
	case s.record.Warm:
		st.State, st.NewWork = Warm, true
	case now.Before(s.quiet):
		st.Reason = model.ReasonServerCold
	default:
		st.Reason, st.NewWork = model.ReasonServerCold, s.home || s.record.WarmFlows
		if requests.level > 0 || requests.settle != 0 || flows.level > 0 {
			st.State = Warming
		}
	}
	return st
}
