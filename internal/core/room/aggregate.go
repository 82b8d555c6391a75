package room

import (
	"time"

	"github.com/savorytiller/savorytiller/internal/core/model"
)

// validIntervals is the number of its intervals for which a report is valid. Two reports in a row
// may be lost.
const validIntervals = 3

// Sender identifies a run of the instance that made a report.
type Sender struct {
	ID          model.InstanceID
	Incarnation model.Incarnation
}

// source is the newest report of a sender.
type source struct {
	sender Sender
	// sequence is the sequence number of the newest report, of which parts may still be missing.
	// partial and parts are what has arrived of it.
	sequence uint64
	partial  *Report
	parts    map[int]bool
	// report is the newest complete report, received at the given time.
	report  *Report
	at      model.Time
	servers servers
}

// validity returns how long a report is valid. The limit concerns the report of an instance that
// had no packets for long.
func (a *Aggregator) validity(r *Report) time.Duration {
	return validIntervals * min(r.Interval, a.longestInterval)
}

// valid reports whether the report of a source is recent.
func (a *Aggregator) valid(s *source, now model.Time) bool {
	return s.report != nil && now.Sub(s.at) < a.validity(s.report)
}

// receive records a part of a report. complete is set if it was the last missing one.
func (s *source) receive(now model.Time, sender Sender, r *Report, part, parts int) (complete bool) {
	sameRun := s.sender == sender
	if r.Interval <= 0 || sameRun && (r.Sequence < s.sequence || r.Sequence == s.sequence && s.partial == nil) || s.sender.ID == sender.ID && sender.Incarnation < s.sender.Incarnation {
		return false // older, repeated or complete already
	}
	if !sameRun {
		*s = source{sender: sender, servers: servers{}}
	}
	if s.partial == nil || r.Sequence != s.sequence {
		s.sequence, s.parts = r.Sequence, map[int]bool{}
		s.partial = &Report{Sequence: r.Sequence, Interval: r.Interval, Instances: r.Instances, Zones: r.Zones, Classes: map[Class]Counters{}}
	}
	s.parts[part] = true
	for class, counters := range r.Classes {
		s.partial.Classes[class] = counters
	}
	s.servers.replace(now, r.Servers)
	if len(s.parts) < parts {
		return false
	}
	s.report, s.partial, s.at = s.partial, nil, now
	return true
}

// addTo adds the load of the report to a sum. The counters are scaled to the interval of the sum.
func (s *source) addTo(sum *Report, now model.Time) {
	sum.Instances += s.report.Instances
	for zone, n := range s.report.Zones {
		sum.Zones[zone] += n
	}
	scale := float64(sum.Interval) / float64(s.report.Interval)
	for class, counters := range s.report.Classes {
		counters.scale(scale)
		total := sum.Classes[class]
		total.Add(&counters)
		sum.Classes[class] = total
	}
	s.servers.expire(now)
	s.servers.addTo(sum.Servers, now)
}

// Aggregator sums the load of this instance, of its children in the tree of its zone and, at the
// root of the tree, of the other zones. It is used by one goroutine.
type Aggregator struct {
	zone model.Zone
	// longestInterval is the longest interval between two reports of an instance.
	longestInterval time.Duration
	// own is the load of this instance, open what it reported since the last sum and newest its
	// last report, received at ownAt.
	own, open, newest *Report
	ownAt             model.Time
	servers           servers
	children          map[model.InstanceID]*source
	// zones holds the sums of the other zones, fleet that of all zones.
	zones   map[model.Zone]*source
	fleet   source
	history history
}

// NewAggregator returns an Aggregator of an instance in a zone. longestInterval is the longest
// interval between two reports of an instance.
func NewAggregator(zone model.Zone, longestInterval time.Duration) *Aggregator {
	return &Aggregator{zone: zone, longestInterval: longestInterval, servers: servers{}, children: map[model.InstanceID]*source{}, zones: map[model.Zone]*source{},
		fleet: source{servers: servers{}}, history: history{baselines: map[string]*baseline{}, rates: map[Class]Counters{}}}
}

// AddOwn adds a report of this instance.
func (a *Aggregator) AddOwn(now model.Time, r *Report) {
	if r.Interval <= 0 {
		return
	}
	a.servers.observe(now, r.Servers)
	a.newest, a.ownAt = r, now
	if a.open == nil {
		a.open = &Report{Instances: 1, Classes: map[Class]Counters{}}
	}
	// The numbers in progress are those of the newest report, so that a burst shows at once.
	for class, counters := range a.open.Classes {
		counters.InProgress = 0
		a.open.Classes[class] = counters
	}
	for class, counters := range r.Classes {
		sum := a.open.Classes[class]
		sum.Add(&counters)
		a.open.Classes[class] = sum
	}
	a.open.Interval += r.Interval
}

// ReceiveChild records a part of the report of a child.
func (a *Aggregator) ReceiveChild(now model.Time, sender Sender, r *Report, part, parts int) {
	s := a.children[sender.ID]
	if s == nil {
		s = &source{}
		a.children[sender.ID] = s
	}
	s.receive(now, sender, r, part, parts)
}

// ReceiveZone records a part of the report of another zone. Reports of instances other than its
// relay, which known states, count only while there is no valid one.
func (a *Aggregator) ReceiveZone(now model.Time, zone model.Zone, sender Sender, known bool, r *Report, part, parts int) {
	s := a.zones[zone]
	if s == nil {
		s = &source{}
		a.zones[zone] = s
	}
	if s.sender == sender || known || !a.valid(s, now) {
		s.receive(now, sender, r, part, parts)
	}
}

// ReceiveFleet records a part of the sum of all zones, which the root of the tree of the zone made.
// Sums of other instances than the root, which known states, count only while there is no valid
// one. It reports whether the part was new, so that it has to be forwarded, and whether the sum is
// complete.
func (a *Aggregator) ReceiveFleet(now model.Time, sender Sender, known bool, r *Report, part, parts int) (isNew, complete bool) {
	s := &a.fleet
	if s.sender != sender && !known && a.valid(s, now) {
		return false, false
	}
	before, afterGap := len(s.parts), !a.valid(s, now)
	sequence, run := s.sequence, s.sender
	complete = s.receive(now, sender, r, part, parts)
	isNew = s.sender == sender && (run != sender || s.sequence != sequence || len(s.parts) != before)
	if complete {
		a.history.add(now, s.report, afterGap)
	}
	return isNew, complete
}

// Active reports whether there is any load to report, or was recently in the fleet.
func (a *Aggregator) Active(now model.Time) bool {
	if a.ownValid(now) || a.valid(&a.fleet, now) {
		return true
	}
	for _, s := range a.children {
		if a.valid(s, now) {
			return true
		}
	}
	for _, s := range a.zones {
		if a.valid(s, now) && s.report.Loaded() {
			return true
		}
	}
	return false
}

// ownValid reports whether the load of this instance is recent.
func (a *Aggregator) ownValid(now model.Time) bool {
	r := a.open
	if r == nil {
		r = a.own
	}
	return r != nil && now.Sub(a.ownAt) < a.validity(r)
}

// OwnInProgress returns the requests in progress through this instance in its last report, by
// service.
func (a *Aggregator) OwnInProgress(now model.Time) map[string]float64 {
	out := map[string]float64{}
	if !a.ownValid(now) {
		return out
	}
	for class, counters := range a.newest.Classes {
		out[class.Service] += counters.InProgress
	}
	return out
}

// Subtree returns the sum of this instance and of the children that are still such. An instance
// without traffic counts as one without load.
func (a *Aggregator) Subtree(now model.Time, interval time.Duration, isChild func(model.InstanceID) bool) *Report {
	sum := a.newSum(interval)
	if a.open != nil {
		a.own, a.open = a.open, nil
	}
	own := source{report: a.own, servers: a.servers}
	if !a.ownValid(now) {
		own.report = &Report{Interval: interval, Instances: 1}
		a.servers.observe(now, nil) // its requests in progress have ended
	}
	own.addTo(sum, now)
	for id, s := range a.children {
		switch {
		case !isChild(id) || !a.valid(s, now) && now.Sub(s.at) >= sampleLifetime:
			delete(a.children, id)
		case a.valid(s, now):
			s.addTo(sum, now)
		}
	}
	sum.Zones[a.zone] = sum.Instances
	return sum
}

// Fleet returns the sum of a zone's sum and of the valid ones of the other zones.
func (a *Aggregator) Fleet(now model.Time, own *Report) *Report {
	sum := a.newSum(own.Interval)
	for _, s := range a.zones {
		if a.valid(s, now) {
			s.addTo(sum, now)
		}
	}
	(&source{report: own}).addTo(sum, now)
	for token, load := range own.Servers {
		total := sum.Servers[token]
		total.Token = token
		total.add(&load)
		sum.Servers[token] = total
	}
	return sum
}

// newSum returns an empty report.
func (a *Aggregator) newSum(interval time.Duration) *Report {
	return &Report{Interval: interval, Classes: map[Class]Counters{}, Servers: map[uint32]ServerLoad{}, Zones: map[model.Zone]int{}}
}

// Over returns the report with counters that cover another interval.
func (r *Report) Over(interval time.Duration) *Report {
	out := *r
	out.Interval, out.Classes = interval, make(map[Class]Counters, len(r.Classes))
	for class, counters := range r.Classes {
		counters.scale(float64(interval) / float64(r.Interval))
		out.Classes[class] = counters
	}
	return &out
}

// Loaded reports whether the report has any load.
func (r *Report) Loaded() bool {
	for _, counters := range r.Classes {
		if counters != (Counters{}) {
			return true
		}
	}
	return false
}
