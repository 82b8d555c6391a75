package steering

import (
	"math"
	"slices"
	"time"

	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/core/placement"
)

// coldWindow is the time in which an instance sends a cold server at most the new flows
// that coldAllowed permits for one second. With the extra 200 ms, flows whose packets
// are delayed differently still reach the server at no more than that rate.
const coldWindow = 1200 * time.Millisecond

// Parameters of the load estimate and the score.
const (
	// loadSmoothing is the weight of a new observation in the moving average
	// serviceLoad.perOpenFlow.
	loadSmoothing = 0.02
	// initialLoadPerFlow is the average before the first observation. The callers are
	// feeds that send about one request per second and flow, each of which takes some
	// tens of milliseconds.
	initialLoadPerFlow = 0.05
	// jitter is the largest random addition to a score, so that instances without load
	// do not all choose the same server.
	jitter = 0.01
)

// Sampling of the servers of large services.
const (
	// scanLimit is the number of servers of a service up to which all of them are
	// considered for each new flow. Considering that many takes 10 us.
	scanLimit = 256
	// sampleSize is the number of randomly selected servers considered of a larger
	// service. With 19 zones of equal size, 6 or 7 of them are in the instance's zone.
	sampleSize = 128
)

// serviceLoad is the measured load of a service.
type serviceLoad struct {
	// perOpenFlow is the moving average of the requests in progress per open flow. It
	// is the expected load of a flow that has no request in progress now.
	perOpenFlow float64
}

// Classes of candidate servers in the order of preference.
const (
	classReady     = iota // preferred zone, with free slots
	classBusy             // another zone, or no free slot
	classCold             // in its cold start, below the limit of coldAllowed
	classUnhealthy        // recent timeouts, a failed probe or a probe in progress
	classExcluded         // must not get a flow
)

// crossZoneLoad is added to the score of servers in other zones, which matters once the
// own zone has no free slot. It stands for the round trip between zones, relative to
// the duration of a typical request.
const crossZoneLoad = 0.25

// selectService returns the service of a new flow according to the route's weights, or
// "" if all weights are 0. The weight of a route's only service is ignored.
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
	// All instances must select the same service for the retransmissions of a SYN.
	h := placement.Mix(uint64(key.Caller.Address)<<16|uint64(key.Caller.Port), uint64(key.Route.Address)<<16|uint64(key.Route.Port))
	point := int(h % uint64(total))
	for _, s := range r.Shares {
		if point -= s.Weight; point < 0 {
			return s.Service
		}
	}
	return ""
}

// selectServer returns the least loaded server for a new flow: in the given zone while it
// has free slots, otherwise in any zone. It returns nil if no server may get the flow.
// avoid is the server that did not answer an earlier SYN of this flow, or nil; it is
// only selected if there is no other and it still accepts new flows.
func (s *Steerer) selectServer(service *Service, zone model.Zone, avoid *target, now model.Time) *target {
	c := s.bestServer(service, zone, avoid, now)
	if c.best == nil && avoid != nil && slices.Contains(service.Servers, avoid.server) && s.class(avoid, service, zone, 0, now) != classExcluded {
		c.best = avoid
	}
	if c.best != nil {
		c.best.StartTrial(now, 2*ResponseTimeout)
		s.countColdFlow(c.best, now)
	}
	return c.best
}

// bestServer returns the least loaded server for a new flow besides avoid, with its class, and
// does not count a flow to it.
func (s *Steerer) bestServer(service *Service, zone model.Zone, avoid *target, now model.Time) choice {
	load := s.loads[service.Name]
	if load == nil {
		load = &serviceLoad{perOpenFlow: initialLoadPerFlow}
		s.loads[service.Name] = load
	}
	c := choice{zone: zone, avoid: avoid, class: math.MaxInt, score: math.Inf(1)}
	if n := len(service.Servers); n > scanLimit {
		for range sampleSize {
			s.consider(&c, service, load, service.Servers[s.random.IntN(n)], now)
		}
	}
	if c.class > classBusy { // there was no sampling, or no sampled server is suitable
		for _, server := range service.Servers {
			s.consider(&c, service, load, server, now)
		}
	}
	if c.flows > 0 {
		load.perOpenFlow += loadSmoothing * (float64(c.busy)/float64(c.flows) - load.perOpenFlow)
	}
	return c
}

// choice holds the best server of those considered so far.
type choice struct {
	// zone is preferred: the own zone, unless admission control sends the flow elsewhere.
	zone        model.Zone
	avoid, best *target
	class       int
	score       float64
	// flows and busy are the sums of target.flows and target.busy of the considered servers.
	flows, busy int
}

// consider compares a server with the best one so far and adds its load to the totals.
func (s *Steerer) consider(c *choice, service *Service, load *serviceLoad, server *Server, now model.Time) {
	t := s.targetOf(server)
	c.flows += t.flows
	c.busy += t.busy
	if t == c.avoid || server.Token == 0 {
		return // later packets could not name a server without a token of its own
	}
	score := s.score(t, load)
	class := s.class(t, service, c.zone, score, now)
	if class == classExcluded {
		return
	}
	if server.Zone != c.zone {
		score += crossZoneLoad
	}
	score += jitter * s.random.Float64()
	if class < c.class || class == c.class && score < c.score {
		c.best, c.class, c.score = t, class, score
	}
}

// score returns the load of a server per slot, assuming that each instance of the zone
// sends it as much as this one.
func (s *Steerer) score(t *target, load *serviceLoad) float64 {
	idle := float64(t.flows - t.busy)
	return (float64(t.busy) + idle*load.perOpenFlow) * float64(s.snapshot.InstancesInZone) / float64(t.server.Slots)
}

// class returns the preference class of a server for a flow that prefers a zone.
func (s *Steerer) class(t *target, service *Service, zone model.Zone, score float64, now model.Time) int {
	cold := t.server.ColdUntil.After(now)
	switch {
	case cold && !s.coldAllowed(t, service, now):
		return classExcluded
	case t.server.ShouldAvoid(now, &t.Traffic):
		return classUnhealthy
	case cold:
		return classCold
	case score < 1 && t.server.Zone == zone:
		return classReady
	default:
		return classBusy
	}
}

// coldAllowed reports whether a cold server may get a new flow from this instance.
func (s *Steerer) coldAllowed(t *target, service *Service, now model.Time) bool {
	if !t.server.ColdHome {
		return false
	}
	// While membership views differ, two instances may each act as the server's home,
	// so each uses only half of what the server can take.
	limit := int(service.ColdPerSecond+s.coldMargin) / 2
	return limit > 0 && (now.Sub(t.coldWindowStart) >= coldWindow || t.coldFlows < limit)
}

// countColdFlow counts a new flow against the limit of coldAllowed if the server is cold.
func (s *Steerer) countColdFlow(t *target, now model.Time) {
	if !t.server.ColdUntil.After(now) {
		return
	}
	if now.Sub(t.coldWindowStart) >= coldWindow {
		t.coldWindowStart, t.coldFlows = now, 0
	}
	t.coldFlows++
}
