package steering

import (
	"math"
	"time"

	"github.com/savorytiller/savorytiller/internal/core/belief"
	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/core/room"
)

const (
	// maxViewAge is the age from which the view is not used, whatever it says. It is three of the
	// longest report intervals.
	maxViewAge = 3 * time.Second
	// trialInterval is the mean time between the trial flows of a failing server over all
	// instances of a zone. At one per second the trials of 30 s show whether it has recovered.
	trialInterval = time.Second
	// shortPerSlot is the number of own requests in progress for each slot of every server of the zone
	// above which the zone counts as short before a view shows it.
	shortPerSlot = 1.5
	// ownShare is the weight of the own requests in progress, times the instances of the zone, in the
	// estimate of those over all instances; the rest is that of the view. The own number is noisy
	// but current, so instances that each spread their own flows evenly do so together. The
	// view is older than most requests take, and choosing by it alone moves the load back and
	// forth. It shows what callers of other instances and zones send.
	ownShare = 0.75
	// leaveShare is the part of the saved time with which a flow leaves its zone. With 1, over half as
	// many flows more leave zones whose demand swings, and take as long.
	leaveShare = 0.5
)

// Placement is what is known of a server when a flow is placed.
type Placement struct {
	// InProgress is the number of requests in progress over all instances.
	InProgress float64
	// RelativeTime is the expected response time relative to the usual one, 1 with too few samples.
	RelativeTime float64
	// Samples is the faded number of answers of the last 30 s, and FailedShare the share of those
	// that failed.
	Samples, FailedShare float64
	// Failing is set if the server gets new flows only as trials because it fails many requests.
	Failing bool
}

// candidate is a server that may get a new flow.
type candidate struct {
	target  *target
	answers answers
	// inProgress is the number of requests in progress over all instances as of the view, and
	// completion the expected time until a new request ends. Its unit is the usual response time
	// of the route. rank is the completion by the estimate of ownShare, for the choice within the
	// preferred zone.
	inProgress, completion, rank float64
	failing                      bool
}

// request is a new flow to place. zone is preferred: the own zone, unless admission control sends
// the flow elsewhere. avoid is the server that did not answer an earlier SYN, or nil.
type request struct {
	service *Service
	route   Endpoint
	zone    model.Zone
	avoid   *target
}

// pick is the server chosen of one class so far.
type pick struct {
	candidate *candidate
	key       float64
}

// usableView returns the load of the fleet, or nil if it is not known well enough or the routes of
// the service state neither a goal nor different priorities.
func (s *Steerer) usableView(service string, now model.Time) *room.View {
	v := s.snapshot.Room
	if v == nil || !v.Usable || now.Sub(v.At) > maxViewAge || !s.classesOf(service).Act() {
		return nil
	}
	return v
}

// selectByCompletion returns the server of a new flow with the load of the fleet known, or nil, and
// its class. It
// selects in the given zone while a server there has a free slot, and otherwise where the flow
// is expected to end earlier by more than the round trip between the zones.
func (s *Steerer) selectByCompletion(r *request, view *room.View, load *serviceLoad, now model.Time) (*candidate, int) {
	s.candidates = s.candidates[:0]
	if n := len(r.service.Servers); n > scanLimit {
		for range sampleSize {
			s.addCandidate(r.service.Servers[s.random.IntN(n)], view, load, now)
		}
		s.seeLoad(load)
		if c, class := s.chooseCandidate(r, view, now); class <= classFar {
			return c, class
		}
		s.candidates = s.candidates[:0] // no sampled server is suitable
		s.restartPreview()
	}
	for _, server := range r.service.Servers {
		s.addCandidate(server, view, load, now)
	}
	s.seeLoad(load)
	return s.chooseCandidate(r, view, now)
}

// addCandidate adds a server with what is known of it.
func (s *Steerer) addCandidate(server *Server, view *room.View, load *serviceLoad, now model.Time) {
	s.candidates = append(s.candidates, s.describe(s.targetOf(server), view, load.perOpenFlow, now))
}

// seeLoad records the load of the candidates.
func (s *Steerer) seeLoad(load *serviceLoad) {
	flows, busy := 0, 0
	for i := range s.candidates {
		flows += s.candidates[i].target.flows
		busy += s.candidates[i].target.busy
	}
	load.see(flows, busy)
}

// describe returns what is known of a server. view may be nil.
func (s *Steerer) describe(t *target, view *room.View, perOpenFlow float64, now model.Time) candidate {
	if view == nil {
		t.viewNumber, t.fleet = 0, room.ServerLoad{}
	} else if t.viewNumber != s.viewNumber {
		t.viewNumber, t.fleet = s.viewNumber, view.Servers[uint32(t.server.Token)]
	}
	c := candidate{target: t, answers: t.answers(now)}
	c.inProgress = max(t.fleet.InProgress, float64(t.busy))
	idle := float64(t.flows-t.busy) * perOpenFlow
	timePerSlot := c.answers.relativeTime() / float64(t.server.Slots)
	c.completion = (c.inProgress + idle + 1) * timePerSlot
	estimate := ownShare*(float64(t.busy)+idle)*float64(s.snapshot.InstancesInZone) + (1-ownShare)*t.fleet.InProgress
	c.rank = (estimate + 1) * timePerSlot
	return c
}

// answers returns the answers of a server over the fleet, which include those that this instance
// saw, or only the latter if the view has fewer.
func (t *target) answers(now model.Time) answers {
	own := t.measured.sum(now)
	if t.fleet.Samples >= own.count {
		return answers{count: t.fleet.Samples, failed: t.fleet.Failed, logTime: t.fleet.LogLatency}
	}
	return own
}

// chooseCandidate returns one of the candidates and its class, or nil if none may get the flow.
//
// All instances of a zone see the same view, which is up to some report intervals old. If each
// chose the lowest expected completion, their flows of that time would all go to one server. So a
// server is chosen with a probability proportional to the inverse square of the completion. With the
// third power, flows of 128 instances herd at three quarters of the capacity (mean completion of 109
// instead of 84 ms in the model of the tests), and it saves little with 16.
func (s *Steerer) chooseCandidate(r *request, view *room.View, now model.Time) (*candidate, int) {
	s.markFailing(now)
	route := s.routes[routeOfService{r.route, r.service.Name}]
	free, leastBusy := false, math.Inf(1)
	var picks [classExcluded]pick
	for i := range s.candidates {
		c := &s.candidates[i]
		t := c.target
		if t == r.avoid || t.server.Token == 0 {
			continue
		}
		class := s.class(t, r.service, r.zone, c.inProgress/float64(t.server.Slots), now)
		if class == classExcluded {
			continue
		}
		if c.failing && now.Before(t.failingTrialAt) {
			class = classUnhealthy
		}
		if class == classReady {
			// A server whose slots were taken in the last interval is not excluded, because all
			// instances would send its flows to the others until the next one.
			free, class = true, classBusy
		}
		cost := c.rank * c.rank
		if t.server.Zone != r.zone {
			// Not squared, because the load of other zones is known from the view only.
			cost = c.completion + s.crossing(t, r.zone, route)
			if class == classBusy {
				class = classFar
			}
		} else if class == classBusy {
			leastBusy = min(leastBusy, t.busyPerSlot())
		}
		// The least of exponential variates with different rates has each index with a
		// probability proportional to its rate.
		key := cost * s.random.ExpFloat64()
		if picks[class].candidate == nil || key < picks[class].key {
			picks[class] = pick{c, key}
		}
		if s.preview != nil {
			s.noteCandidate(t, class, cost, key, c.placement(), now)
		}
	}
	near, far := &picks[classBusy], &picks[classFar]
	if near.candidate != nil && far.candidate != nil && !free && s.leavesZone(r, view.Services[r.service.Name], leastBusy, far.candidate.target, route) {
		return far.candidate, classFar
	}
	for class := range picks {
		if c := picks[class].candidate; c != nil {
			return c, class
		}
	}
	return nil, classExcluded
}

// crossing returns the round trip from a zone to that of a server relative to the usual response
// time of a route.
func (s *Steerer) crossing(t *target, zone model.Zone, route *routeMeasure) float64 {
	usual, path := route.usualTime(), s.pathTo(zone).time
	if usual == 0 || path == 0 || t.path.time == 0 {
		return crossZoneLoad
	}
	return max(0, float64(t.path.time-path)/float64(usual))
}

// longFlows reports whether the flows of the route have many requests. Such a flow is exposed to
// each partition between its zones.
func (r *routeMeasure) longFlows() bool {
	return r != nil && r.requestsPerFlow() > longFlowRequests
}

// leavesZone reports whether a flow for whose zone no free slot is known goes to a server of another
// zone. The probability is proportional to the part of the expected time that it saves there, since
// all instances compare the same times: if all flows left as soon as the other zone were better,
// they would come back with the next view. leastBusy is the lowest number of own requests per
// slot of a server of the zone. It is not shared, and a burst may be over before the view shows
// it, so all flows leave by it.
func (s *Steerer) leavesZone(r *request, service *room.Service, leastBusy float64, far *target, route *routeMeasure) bool {
	if service == nil {
		return false
	}
	near, other := zoneLoad(service, r.zone), zoneLoad(service, far.server.Zone)
	short := near.short || leastBusy > shortPerSlot
	if !other.known || route.longFlows() && !short {
		return false
	}
	farTime := max(other.time, far.busyPerSlot()) + s.crossing(far, r.zone, route)
	return farTime < leastBusy || s.random.Float64() < leaveShare*(1-farTime/near.time)
}

// busyPerSlot returns the number of own requests per slot of the server.
func (t *target) busyPerSlot() float64 { return float64(t.busy) / float64(t.server.Slots) }

// zoneState is the load of the servers of a service in a zone.
type zoneState struct {
	// known is set if the instances of the zone report their load.
	known bool
	// short is set if the servers have more requests in progress than they need to be busy.
	short bool
	// time is the expected response time relative to the baseline one, or the number of requests
	// per slot while the latter is not known.
	time float64
}

// zoneLoad derives the state of a zone by Little's law. Delayed acknowledgements are part of both
// response times, so the difference is that of the queues.
func zoneLoad(service *room.Service, zone model.Zone) zoneState {
	z := service.Zones[zone]
	if z == nil {
		return zoneState{time: 1}
	}
	state := zoneState{known: z.Instances > 0, time: 1}
	slots, usual := float64(z.Slots), z.Total.Completed*service.BaseLatency.Seconds()
	switch {
	case usual > 0:
		state.short = z.Total.InProgress > z.ShortageThreshold(service.BaseLatency)
		state.time = max(1, z.Total.InProgress/usual)
	case slots > 0:
		state.time = max(1, z.Total.InProgress/slots)
	}
	return state
}

// markFailing marks the candidates that fail many requests and sets when they may get trials.
func (s *Steerer) markFailing(now model.Time) {
	suspected := false
	for i := range s.candidates {
		c := &s.candidates[i]
		suspected = suspected || belief.MayFail(c.answers.count, c.answers.failed)
	}
	s.answers = s.answers[:0]
	if suspected {
		for i := range s.candidates {
			c := &s.candidates[i]
			s.answers = append(s.answers, belief.Answers{Zone: c.target.server.Zone, Token: uint32(c.target.server.Token), Samples: c.answers.count, Failed: c.answers.failed})
		}
		s.failing.Mark(s.answers)
	}
	for i := range s.candidates {
		c := &s.candidates[i]
		c.failing = suspected && s.answers[i].Failing
		switch t := c.target; {
		case !c.failing:
			t.failingTrialAt = 0
		case t.failingTrialAt == 0:
			s.delayTrial(t, now)
		}
	}
}

// delayTrial sets when a failing server may get its next trial flow from this instance.
func (s *Steerer) delayTrial(t *target, now model.Time) {
	mean := float64(trialInterval) * float64(s.snapshot.InstancesInZone)
	t.failingTrialAt = now.Add(time.Duration(mean * 2 * s.random.Float64()))
}

// placement describes a candidate.
func (c *candidate) placement() *Placement {
	return &Placement{InProgress: c.inProgress, RelativeTime: c.answers.relativeTime(), Samples: c.answers.count,
		FailedShare: c.answers.failedShare(), Failing: c.target.failingTrialAt != 0}
}
