package steering

import (
	"math"
	"time"

	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/core/placement"
)

// coldWindow is the time in which a cold server gets its allowance of a second
// at most. The difference covers what packets may be delayed.
const coldWindow = 1200 * time.Millisecond

// Load of an open flow between its requests.
const (
	// loadSmoothing is how fast the mean load of an open flow follows observations.
	loadSmoothing = 0.02
	// initialLoadPerFlow holds until there are observations: feeds ask about once a
	// second and are answered in some ten milliseconds.
	initialLoadPerFlow = 0.05
	// jitter spreads the choices of instances that see no load.
	jitter = 0.01
)

// Samples of large services.
const (
	// scanLimit is the number of servers up to which all of a service are considered:
	// 10 us a flow.
	scanLimit = 256
	// sampleSize is the number considered of a larger service. With 19 zones 6 or 7 of
	// them are in the own one.
	sampleSize = 128
)

// serviceLoad is what placement measured of a service.
type serviceLoad struct {
	// perOpenFlow is the mean number of requests in progress of an open flow.
	perOpenFlow float64
}

// Classes of candidates in the order of preference.
const (
	classReady     = iota // own zone, with a free slot
	classBusy             // another zone, or slots taken
	classCold             // cold, within its allowance
	classUnhealthy        // did not answer lately
	classExcluded         // must not get a flow
)

// crossZoneLoad is added to the load of servers of other zones once the own zone has no
// free slot: the round trip between zones, as a part of a usual request.
const crossZoneLoad = 0.25

// selectService selects the service of a new flow by the route's weights.
func selectService(r *Route, key FlowKey) string {
	if len(r.Shares) == 1 {
		return r.Shares[0].Service
	}
	total := 0
	for _, s := range r.Shares {
		total += s.Weight
	}
	if total == 0 {
		return ""
	}
	// Repetitions of a SYN must find the same service at any instance.
	h := placement.Mix(uint64(key.Caller.Address)<<16|uint64(key.Caller.Port), uint64(key.Route.Address)<<16|uint64(key.Route.Port))
	at := int(h % uint64(total))
	for _, s := range r.Shares {
		if at -= s.Weight; at < 0 {
			return s.Service
		}
	}
	return ""
}

// selectServer chooses the server of a new flow: in the own zone as long as a slot is
// free there, else in any, by the lowest load. avoid is a server that left this
// flow without an answer, or nil.
func (s *Steerer) selectServer(service *Service, avoid *target, now model.Time) *target {
	load := s.loads[service.Name]
	if load == nil {
		load = &serviceLoad{perOpenFlow: initialLoadPerFlow}
		s.loads[service.Name] = load
	}
	c := choice{avoid: avoid, class: math.MaxInt, score: math.Inf(1)}
	if n := len(service.Servers); n > scanLimit {
		for range sampleSize {
			s.consider(&c, service, load, service.Servers[s.random.IntN(n)], now)
		}
	}
	if c.class > classBusy { // no sample was taken, or none of it can take the flow well
		for _, server := range service.Servers {
			s.consider(&c, service, load, server, now)
		}
	}
	if c.flows > 0 {
		load.perOpenFlow += loadSmoothing * (float64(c.busy)/float64(c.flows) - load.perOpenFlow)
	}
	if c.best == nil && avoid != nil && s.class(avoid, service, 0, now) != classExcluded {
		c.best = avoid
	}
	if c.best != nil {
		c.best.startTrial(now)
		s.countColdFlow(c.best, now)
	}
	return c.best
}

// choice is the best server of those considered so far.
type choice struct {
	avoid, best *target
	class       int
	score       float64
	// flows and busy are the sums of the considered servers.
	flows, busy int
}

// consider compares a server with the best one so far.
func (s *Steerer) consider(c *choice, service *Service, load *serviceLoad, server *Server, now model.Time) {
	t := s.targetOf(server)
	c.flows += t.flows
	c.busy += t.busy
	if t == c.avoid || server.Token == 0 {
		return // without a token of its own its flows could not go on
	}
	score := s.score(t, load)
	class := s.class(t, service, score, now)
	if class == classExcluded {
		return
	}
	if server.Zone != s.snapshot.Zone {
		score += crossZoneLoad
	}
	score += jitter * s.random.Float64()
	if class < c.class || class == c.class && score < c.score {
		c.best, c.class, c.score = t, class, score
	}
}

// score returns the load of a server per slot, taking the other instances of the
// zone to send as much as this one.
func (s *Steerer) score(t *target, load *serviceLoad) float64 {
	idle := float64(t.flows - t.busy)
	return (float64(t.busy) + idle*load.perOpenFlow) * float64(s.snapshot.InstancesInZone) / float64(t.server.Slots)
}

// class ranks a server by how well it can take a flow.
func (s *Steerer) class(t *target, service *Service, score float64, now model.Time) int {
	cold := t.server.ColdUntil.After(now)
	switch {
	case cold && !s.coldAllowed(t, service, now):
		return classExcluded
	case t.unhealthy(now) || t.server.Probing:
		return classUnhealthy
	case cold:
		return classCold
	case score < 1 && t.server.Zone == s.snapshot.Zone:
		return classReady
	default:
		return classBusy
	}
}

// coldAllowed reports whether a cold server may get a flow from this instance.
func (s *Steerer) coldAllowed(t *target, service *Service, now model.Time) bool {
	if !t.server.ColdHome {
		return false
	}
	// Two instances may take themselves for the home for a while.
	allowance := int(service.ColdPerSecond+s.coldMargin) / 2
	return allowance > 0 && (now.Sub(t.coldWindowStart) >= coldWindow || t.coldFlows < allowance)
}

// countColdFlow counts a flow against the allowance of a cold server.
func (s *Steerer) countColdFlow(t *target, now model.Time) {
	if !t.server.ColdUntil.After(now) {
		return
	}
	if now.Sub(t.coldWindowStart) >= coldWindow {
		t.coldWindowStart, t.coldFlows = now, 0
	}
	t.coldFlows++
}
