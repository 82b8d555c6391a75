package steering

import (
	"slices"
	"time"

	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/core/room"
)

// stalledAfter is the time without new data or an answer after which a request no longer counts in
// the reports. Its server has failed, or another instance gets the packets of the flow now: when
// the instances in rotation change, nearly all flows move. Queues of servers end within 450 ms.
const stalledAfter = 600 * time.Millisecond

// loadTally counts the load that a Steerer observes, until it is reported. The counters of each
// server and class are kept with the target and the class, so that a packet of a known flow costs
// no map access except for an answer.
type loadTally struct {
	// interval is the least time between two reports; 0 for no reports.
	interval time.Duration
	// now is the time of the packet being processed.
	now        model.Time
	reportedAt model.Time
	sequence   uint64
	classes    map[room.Class]*classLoad
	// active are the targets that were used since the last report or have requests in progress.
	active []*target
	// waiting are the requests that were counted, in the order in which they are checked.
	waiting []waitingRequest
}

func newLoadTally() loadTally {
	return loadTally{classes: map[room.Class]*classLoad{}}
}

// inProgress is a number of requests in progress and its integral over the time.
type inProgress struct {
	count     int
	sum       float64 // of count x nanoseconds, up to changedAt
	changedAt model.Time
}

// add changes the number of requests.
func (p *inProgress) add(now model.Time, n int) {
	p.sum += float64(p.count) * float64(now.Sub(p.changedAt))
	p.changedAt = now
	p.count += n
}

// takeMean returns the mean number of requests in progress in an interval that ends now, and
// starts the next interval.
func (p *inProgress) takeMean(now model.Time, interval time.Duration) float64 {
	p.add(now, 0)
	mean := p.sum / float64(interval)
	p.sum = 0
	return mean
}

// classLoad is the load of a class since the last report, except for InProgress of the counters,
// which is not used.
type classLoad struct {
	class room.Class
	inProgress
	room.Counters
	// targets is the number of targets that refer to the class.
	targets int
}

// targetLoad is the load of a target since the last report.
type targetLoad struct {
	inProgress
	samples, failed, logLatency float64
	// classes are the classes of the requests that the target has had, one for each priority.
	classes []*classLoad
	active  bool // set while the target is in loadTally.active
}

// SetReportInterval sets the least time between two reports of TakeReport; 0 for no reports.
func (s *Steerer) SetReportInterval(interval time.Duration) { s.load.interval = interval }

// classOf returns the class of the requests of a priority at a target.
func (l *loadTally) classOf(t *target, priority uint8) *classLoad {
	for _, c := range t.load.classes {
		if c.class.Priority == priority {
			return c
		}
	}
	c := l.class(room.Class{Service: t.server.Service, Zone: t.server.Zone, Priority: priority})
	c.targets++
	t.load.classes = append(t.load.classes, c)
	return c
}

// class returns a class and creates it if necessary.
func (l *loadTally) class(class room.Class) *classLoad {
	c := l.classes[class]
	if c == nil {
		c = &classLoad{class: class}
		l.classes[class] = c
	}
	return c
}

// forget drops the references of and to a target that is deleted.
func (l *loadTally) forget(t *target) {
	if t.load.active {
		t.load.active = false
		l.active = slices.DeleteFunc(l.active, func(other *target) bool { return other == t })
	}
	for _, c := range t.load.classes {
		c.targets--
	}
}

// waitingRequest identifies a request of a flow by when it was counted.
type waitingRequest struct {
	flow      *flow
	countedAt model.Time
}

// startRequest counts a request of a flow as in progress.
func (l *loadTally) startRequest(f *flow) {
	f.countedAt = l.now
	l.waiting = append(l.waiting, waitingRequest{f, l.now})
	l.change(f, 1)
}

// endRequest ends the request of a flow that is in progress, if it still counts.
func (l *loadTally) endRequest(f *flow) {
	if f.countedAt != 0 {
		f.countedAt = 0
		l.change(f, -1)
	}
}

// expireRequests ends the requests that are stalled.
func (l *loadTally) expireRequests() {
	for len(l.waiting) > 0 && l.now.Sub(l.waiting[0].countedAt) >= stalledAfter {
		w := l.waiting[0]
		l.waiting = l.waiting[1:]
		switch {
		case w.flow.countedAt != w.countedAt: // it has ended
		case l.now.Sub(w.flow.sentAt) >= stalledAfter:
			l.endRequest(w.flow)
		default: // more data was sent since, as for an upload
			w.flow.countedAt = l.now
			l.waiting = append(l.waiting, waitingRequest{w.flow, l.now})
		}
	}
}

// change changes the requests in progress of a flow's target and class.
func (l *loadTally) change(f *flow, n int) {
	t := &f.target.load
	l.markActive(f.target)
	t.add(l.now, n)
	l.classOf(f.target, f.priority).add(l.now, n)
}

func (l *loadTally) markActive(t *target) {
	if !t.load.active {
		t.load.active = true
		l.active = append(l.active, t)
	}
}

// arrived counts a new flow.
func (l *loadTally) arrived(f *flow) { l.classOf(f.target, f.priority).Arrivals++ }

// refused counts a new flow that was refused or delayed for lack of capacity of a service in a
// zone.
func (l *loadTally) refused(service string, zone model.Zone, priority uint8) {
	l.class(room.Class{Service: service, Zone: zone, Priority: priority}).Refused++
}

// answered counts an answer to a request of a flow. logTime is the logarithm of its response time
// relative to the usual one, if measured is set.
func (l *loadTally) answered(f *flow, decision *Decision, logTime float64, measured bool) {
	t := &f.target.load
	l.markActive(f.target)
	c := l.classOf(f.target, f.priority)
	if decision.AnswerFailed {
		c.Failed++
		t.samples++
		t.failed++
		return
	}
	c.Completed++
	c.Latency += decision.ResponseTime
	if measured {
		t.samples++
		t.logLatency += logTime
	}
}

// priorityOf returns the priority of the requests of a route.
func (s *Steerer) priorityOf(route Endpoint) uint8 {
	if r := s.snapshot.Routes[route]; r != nil {
		return r.Terms.Priority
	}
	return model.LowestPriority
}

// TakeReport returns the load since the last report, or nil until the report interval has
// passed.
func (s *Steerer) TakeReport(now model.Time) *room.Report {
	l := &s.load
	interval := now.Sub(l.reportedAt)
	if l.interval == 0 || interval < l.interval {
		return nil
	}
	if l.reportedAt == 0 {
		interval = l.interval // the traffic began with this packet or shortly before it
	}
	l.reportedAt = now
	l.sequence++
	r := &room.Report{Sequence: l.sequence, Interval: interval, Instances: 1,
		Classes: make(map[room.Class]room.Counters, len(l.classes)), Servers: make(map[uint32]room.ServerLoad, len(l.active))}
	for class, c := range l.classes {
		if c.targets == 0 && c.Counters == (room.Counters{}) {
			delete(l.classes, class)
			continue
		}
		c.Counters.InProgress = c.takeMean(now, interval)
		if c.Counters != (room.Counters{}) {
			r.Classes[class] = c.Counters
		}
		c.Counters = room.Counters{}
	}
	l.takeServers(now, r)
	return r
}

// takeServers adds the load of the servers to a report.
func (l *loadTally) takeServers(now model.Time, r *room.Report) {
	stillActive := l.active[:0]
	for _, t := range l.active {
		load := &t.load
		r.Servers[uint32(t.server.Token)] = room.ServerLoad{Token: uint32(t.server.Token), InProgress: load.takeMean(now, r.Interval),
			Samples: load.samples, Failed: load.failed, LogLatency: load.logLatency}
		load.samples, load.failed, load.logLatency = 0, 0, 0
		if load.active = load.count > 0; load.active {
			stillActive = append(stillActive, t)
		}
	}
	clear(l.active[len(stillActive):])
	l.active = stillActive
}
