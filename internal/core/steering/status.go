package steering

import (
	"cmp"
	"slices"

	"github.com/savorytiller/savorytiller/internal/core/model"
)

// Restriction is why a server gets no new flows or few.
type Restriction uint8

// Restrictions in the order in which they are reported if several hold.
const (
	Unrestricted Restriction = iota
	// RestrictedAmbiguous means that the server has no token of its own.
	RestrictedAmbiguous
	RestrictedEnded
	RestrictedDraining
	// RestrictedRestarted means that the run was seen to end and is still listed.
	RestrictedRestarted
	// RestrictedUnlisted means that the server does not accept flows for another reason: its
	// entry is missing, or its zone is out of service.
	RestrictedUnlisted
	// RestrictedCold means that the server is in its cold start and this instance may not send
	// it a flow now.
	RestrictedCold
	// RestrictedDoubted is RestrictedCold for a server that may have started again unnoticed.
	RestrictedDoubted
	RestrictedUnreachable
	RestrictedProbing
	RestrictedTimeouts
	// RestrictedFailing means that the server fails many more requests than the others.
	RestrictedFailing
)

// String returns the restriction in the form used in logs and status pages.
func (r Restriction) String() string {
	return [...]string{"none", "ambiguous_token", "ended", "draining", "restarted", "unlisted", "cold", "in_doubt", "unreachable",
		"probe_in_progress", "timeouts", "failing_answers"}[r]
}

// ServerStatus is what a Steerer knows of a server.
type ServerStatus struct {
	ID      model.ServerID
	Service string
	Zone    model.Zone
	Token   Token
	Placement
	// Flows and Busy are the open flows and the requests in progress through this instance.
	Flows, Busy int
	// AnsweredAt is when this instance last saw an answer that was measured; 0 for never.
	AnsweredAt  model.Time
	Restriction Restriction
}

// ServerStatus returns the status of all servers of the last snapshot, sorted by service and ID.
// It takes time in proportion to their number. Like all methods, it is for the goroutine that
// owns the Steerer.
func (s *Steerer) ServerStatus(now model.Time) []ServerStatus {
	if s.snapshot == nil {
		return nil
	}
	accepting := map[*Server]*Service{}
	for _, service := range s.snapshot.Services {
		for _, server := range service.Servers {
			accepting[server] = service
		}
	}
	all := s.snapshot.Servers.Sorted()
	for server := range accepting {
		if server.Token == 0 { // missing in the index
			all = append(all, server)
		}
	}
	status := make([]ServerStatus, 0, len(all))
	for _, server := range all {
		t := s.targets[server.Token]
		if t == nil {
			t = &target{server: server, path: &pathTime{}}
		}
		copied := *t // describe changes its target, and a question must not change decisions
		t = &copied
		perOpenFlow := initialLoadPerFlow
		if load := s.loads[server.Service]; load != nil {
			perOpenFlow = load.perOpenFlow
		}
		c := s.describe(t, s.usableView(server.Service, now), perOpenFlow, now)
		status = append(status, ServerStatus{ID: server.ID, Service: server.Service, Zone: server.Zone, Token: server.Token, Placement: *c.placement(),
			Flows: t.flows, Busy: t.busy, AnsweredAt: t.measured.lastAt, Restriction: s.restriction(t, accepting[server], now)})
	}
	slices.SortStableFunc(status, func(a, b ServerStatus) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.ID, b.ID))
	})
	return status
}

// restriction returns why a server gets no new flows or few. service is nil if it does not accept
// flows.
func (s *Steerer) restriction(t *target, service *Service, now model.Time) Restriction {
	held, _ := t.server.Held(now)
	switch {
	case t.server.Token == 0:
		return RestrictedAmbiguous
	case s.hasEnded(t, now):
		return RestrictedEnded
	case t.server.State == model.ServerDraining:
		return RestrictedDraining
	case held:
		return RestrictedRestarted
	case service == nil:
		return RestrictedUnlisted
	case t.server.ColdUntil.After(now) && !s.coldAllowed(t, service, now):
		if t.server.InDoubt {
			return RestrictedDoubted
		}
		return RestrictedCold
	case t.unreachable():
		return RestrictedUnreachable
	case t.server.ProbingSince != 0:
		return RestrictedProbing
	case t.server.ShouldAvoid(now, &t.Traffic):
		return RestrictedTimeouts
	case t.failingTrialAt != 0 && s.usableView(t.server.Service, now) != nil:
		return RestrictedFailing
	default:
		return Unrestricted
	}
}
