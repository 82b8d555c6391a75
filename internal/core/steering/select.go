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
	classBusy             // no free slot; also another zone where the load of the fleet is not known
	classFar              // another zone
	classCold             // in its cold start, below the limit of coldAllowed
	classUnhealthy        // recent timeouts, a failed probe or a probe in progress
	classExcluded         // must not get a flow
)

// classNames are the names of the classes for operators.
var classNames = [...]string{classReady: "ready", classBusy: "busy", classFar: "far", classCold: "cold", classUnhealthy: "unhealthy", classExcluded: "excluded"}

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

// selectServer returns the server of a new flow, or nil if none may get it, and what is known of
// that server if the load of the fleet is. r.avoid is only selected if there is no other and it
// still accepts new flows.
func (s *Steerer) selectServer(r request, now model.Time) (*target, *Placement) {
	b := s.bestServer(&r, now)
	if b.failing {
		s.delayTrial(b.target, now)
	}
	if b.target == nil && r.avoid != nil && slices.Contains(r.service.Servers, r.avoid.server) && s.class(r.avoid, r.service, r.zone, 0, now) != classExcluded {
		b.target = r.avoid
	}
	if b.target != nil {
		b.target.StartTrial(now, 2*ResponseTimeout)
		s.countColdFlow(b.target, now)
	}
	return b.target, b.placement
}

// selected is the best server for a new flow, with its class. target is nil if there is none.
// placement and failing are set if the load of the fleet is known.
type selected struct {
	target    *target
	class     int
	placement *Placement
	failing   bool
}

// bestServer returns the best server for a new flow besides r.avoid and does not count a flow to it.
func (s *Steerer) bestServer(r *request, now model.Time) selected {
	s.restoreRandom()
	load := s.loads[r.service.Name]
	if load == nil {
		load = &serviceLoad{perOpenFlow: initialLoadPerFlow}
		s.loads[r.service.Name] = load
	}
	view := s.usableView(r.service.Name, now)
	if view == nil {
		c := s.selectByCount(r, load, now)
		return selected{target: c.best, class: c.class}
	}
	c, class := s.selectByCompletion(r, view, load, now)
	if c == nil {
		return selected{class: class}
	}
	return selected{c.target, class, c.placement(), c.failing}
}

// selectByCount chooses the server with the fewest requests in progress through this instance: in
// the given zone while it has free slots, otherwise in any zone.
func (s *Steerer) selectByCount(r *request, load *serviceLoad, now model.Time) choice {
	c := choice{zone: r.zone, avoid: r.avoid, class: math.MaxInt, score: math.Inf(1)}
	if n := len(r.service.Servers); n > scanLimit {
		for range sampleSize {
			s.consider(&c, r.service, load, r.service.Servers[s.random.IntN(n)], now)
		}
	}
	if c.class > classBusy { // there was no sampling, or no sampled server is suitable
		for _, server := range r.service.Servers {
			s.consider(&c, r.service, load, server, now)
		}
	}
	load.see(c.flows, c.busy)
	return c
}

// see records the open flows of some servers and how many of them have a request in progress.
func (l *serviceLoad) see(flows, busy int) {
	if flows > 0 {
		l.perOpenFlow += loadSmoothing * (float64(busy)/float64(flows) - l.perOpenFlow)
	}
}

// choice holds the best server of those considered so far.
type choice struct {
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
	if s.preview != nil {
		s.noteCandidate(t, class, score, score, nil, now)
	}
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
