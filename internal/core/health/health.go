package health

import (
	"math/bits"
	"slices"
	"time"

	"github.com/savorytiller/savorytiller/internal/core/model"
)

// Parameters of the state decisions.
const (
	// connectionLevels is the number of doublings from the initial allowance of
	// 1/64 of a server's connections to all of them.
	connectionLevels = 6
	// consecutiveBadLimit is the number of consecutive bad observations that make
	// a warm server cold and a cold server failed.
	consecutiveBadLimit = 3
	// windowBadLimit is the number of bad observations among the last windowSize
	// that make a warm server cold.
	windowBadLimit = 8
	windowSize     = 16
	// A request counts as bad if it takes more than slowFactor times the average
	// latency and more than minSlowLatency. This applies only after maxLatencySamples
	// observations.
	slowFactor        = 4
	minSlowLatency    = 50 * time.Millisecond
	maxLatencySamples = 16 // observations in the moving average of the latency
	// trafficPrecedence is how long an observation of this instance's traffic
	// takes precedence over the health endpoint.
	trafficPrecedence = 10 * time.Second
	// ColdHoldDown is how long the home instance sends no new work to a server
	// that turned from warm to cold. Until the other instances have received the
	// record, they still use their shares, which would add to the allowance.
	ColdHoldDown = 3 * time.Second
	// minRetry and maxRetry bound the backoff before a failed server is tried again.
	minRetry = time.Second
	maxRetry = 30 * time.Second
	// observationMemory is how long observations count without a later one, and a backoff
	// after its end. Bad ones of an earlier outage say nothing about the server now.
	observationMemory = time.Minute
	// If an instance has made at least demotionLimit servers cold within
	// demotionWindow, and more than half of those it has used in that time, its own
	// network is the likely cause. It then stops using further bad servers for
	// demotionWindow, without making them cold for the other instances.
	demotionWindow = 10 * time.Second
	demotionLimit  = 3
	// MaxRecords is the maximum number of records in one message.
	MaxRecords = 16
	maxQueue   = 4096 // records waiting to be sent
)

// server is the state of one backend server.
type server struct {
	record           Record
	config           model.Server
	service          model.ServiceID
	withdrawn        bool       // its zone is withdrawn
	home             bool       // this instance is its home
	flowsFrom        model.Time // the home instance opens no flows before
	ramps            [2]ramp    // by Unit
	retryAt          model.Time // no new work before; 0 unless failed
	holdDownUntil    model.Time // no new work before; see ColdHoldDown
	backoff          time.Duration
	recent           uint16 // last observations, newest in the lowest bit; 1 is bad
	windowFill       uint8  // number of valid bits in recent
	consecutiveBad   uint8
	averageLatency   time.Duration
	latencySamples   uint8
	lastSuccess      model.Time
	lastObserved     model.Time
	avoidUntil       model.Time // this instance sends no new work before; other instances are not informed
	endpointFailures uint8      // consecutive failed reads of the health endpoint
	queued           bool       // its record is in Table.queue
	sendCount        int        // number of times the record was sent since it changed
}

// Table holds the health of the backend servers of one availability zone.
type Table struct {
	zone       model.Zone
	servers    map[model.ServerID]*server
	queue      []model.ServerID // servers whose records are waiting to be sent
	demotions  []model.Time     // times at which this instance made a server cold
	changed    bool
	hash       uint64 // sum of recordHash over all records
	assumeWarm bool
	// homeOnlyUntil is the earliest time at which a ramp may finish; see KeepHomeOnly.
	homeOnlyUntil model.Time
}

// New returns an empty table for the servers of a zone. If assumeWarm is set,
// new servers are warm instead of cold.
func New(zone model.Zone, assumeWarm bool) *Table {
	return &Table{zone: zone, servers: map[model.ServerID]*server{}, assumeWarm: assumeWarm}
}

// SetConfig applies a new configuration. New servers are cold, unless the table
// assumes warm servers. Servers become cold if their zone is withdrawn or if
// their address or service changes.
func (t *Table) SetConfig(now model.Time, c *model.Configuration) {
	withdrawn := c.Withdrawn(t.zone)
	present := make(map[model.ServerID]bool, len(t.servers))
	for i := range c.Services {
		for j := range c.Services[i].Servers {
			next := &c.Services[i].Servers[j]
			if next.Zone != t.zone {
				continue
			}
			present[next.ID] = true
			s, ok := t.servers[next.ID]
			if !ok {
				s = &server{record: Record{Server: next.ID, Warm: t.assumeWarm, WarmFlows: t.assumeWarm}}
				t.servers[next.ID] = s
			} else if s.service != c.Services[i].ID || s.config.FlowAddress != next.FlowAddress ||
				s.config.RequestAddress != next.RequestAddress || withdrawn && !s.withdrawn {
				t.resetToCold(now, s)
			}
			s.config, s.service, s.withdrawn = *next, c.Services[i].ID, withdrawn
		}
	}
	for id, s := range t.servers {
		if !present[id] {
			t.hash -= recordHash(&s.record)
			delete(t.servers, id)
		}
	}
	t.changed = true
}

// resetToCold makes a server cold and discards its observations.
func (t *Table) resetToCold(now model.Time, s *server) {
	if s.record.anyWarm() {
		s.holdDownUntil = now.Add(ColdHoldDown)
	}
	if s.record.Warm || s.record.Epoch > 0 {
		t.update(s, Record{Server: s.record.Server, Epoch: s.record.Epoch + 1})
	}
	s.clearObservations()
}

// clearObservations discards the observations of a server and what follows from
// them, such as its allowances.
func (s *server) clearObservations() {
	s.ramps = [2]ramp{}
	s.retryAt, s.backoff, s.recent, s.windowFill, s.consecutiveBad = 0, 0, 0, 0, 0
	s.latencySamples, s.averageLatency, s.avoidUntil = 0, 0, 0
}

// KeepHomeOnly keeps cold servers with their home instances at least until the
// given time, even if they carry their full load. After a change of membership
// the new slot holders have to wait before they use their slots, so a server that
// is announced as warm in that time would get no work.
func (t *Table) KeepHomeOnly(until model.Time) { t.homeOnlyUntil = max(t.homeOnlyUntil, until) }

// TakeChanged reports whether the status of a server may have changed since the
// last call.
func (t *Table) TakeChanged() bool {
	c := t.changed
	t.changed = false
	return c
}

// NewHomeFlowDelay is how long a new home instance opens no flows on a cold
// server. In this time the owners of the server's existing flows report them to
// the new home; without the delay it would count connections from 0 and exceed
// the allowance.
const NewHomeFlowDelay = 6 * time.Second

// SetHome sets whether this instance is the home of a server. A new home starts
// with the smallest allowance, and with flows only after NewHomeFlowDelay.
func (t *Table) SetHome(now model.Time, id model.ServerID, home bool) {
	s, ok := t.servers[id]
	if !ok || s.home == home {
		return
	}
	s.home, s.flowsFrom = home, now.Add(NewHomeFlowDelay)
	if s.record.anyWarm() {
		s.ramps = [2]ramp{}
	} else {
		s.clearObservations()
	}
	t.changed = true
}

// Observe processes an observation of traffic. It ignores servers that are not in the
// table or whose zone is withdrawn.
func (t *Table) Observe(now model.Time, o Observation) {
	s, ok := t.servers[o.Server]
	if !ok || s.withdrawn {
		return
	}
	bad := o.Result != Success || t.trackLatency(s, o)
	count := max(1, o.Count)
	if now.Sub(s.lastObserved) > observationMemory {
		s.recent, s.windowFill, s.consecutiveBad = 0, 0, 0
	}
	s.lastObserved = now
	if !bad {
		s.lastSuccess, s.consecutiveBad, s.endpointFailures = now, 0, 0
		s.recordResult(false, count)
		t.rampUp(now, s, o.Unit, count)
		return
	}
	s.recordResult(true, count)
	s.consecutiveBad = uint8(min(consecutiveBadLimit, uint32(s.consecutiveBad)+count))
	switch {
	case s.record.anyWarm():
		if s.consecutiveBad >= consecutiveBadLimit || s.windowFill >= windowSize && bits.OnesCount16(s.recent) >= windowBadLimit {
			t.demote(now, s)
		}
	case s.home:
		for i := range s.ramps {
			t.changed = s.ramps[i].failed() || t.changed
		}
		if s.consecutiveBad >= consecutiveBadLimit {
			t.markFailed(now, s)
		}
	}
}

// recordResult adds count equal observations to the window.
func (s *server) recordResult(bad bool, count uint32) {
	for range min(count, windowSize) {
		s.recent <<= 1
		if bad {
			s.recent |= 1
		}
	}
	s.windowFill = uint8(min(windowSize, uint32(s.windowFill)+count))
}

// trackLatency updates the average latency. If the observation is too slow, it
// returns true and leaves the average unchanged.
func (t *Table) trackLatency(s *server, o Observation) bool {
	if o.Latency <= 0 || o.Unit != Request {
		return false
	}
	if s.latencySamples >= maxLatencySamples && o.Latency > minSlowLatency && o.Latency > slowFactor*s.averageLatency {
		return true
	}
	if s.latencySamples < maxLatencySamples {
		s.latencySamples++
	}
	s.averageLatency += (o.Latency - s.averageLatency) / time.Duration(s.latencySamples)
	return false
}

// rampUp counts successes of a cold server and raises its allowance, if this
// instance is its home.
func (t *Table) rampUp(now model.Time, s *server, unit Unit, count uint32) {
	r := &s.ramps[unit]
	if s.record.warm(unit) || !s.home || r.announceAt != 0 {
		return
	}
	if s.retryAt != 0 {
		s.retryAt, s.backoff = 0, 0
		t.changed = true
	}
	t.changed = r.succeeded(now, unit, count, &s.config, t.homeOnlyUntil) || t.changed
}

// markFailed stops new work to a cold server for the time of an exponential backoff.
func (t *Table) markFailed(now model.Time, s *server) {
	if now.Sub(s.retryAt) > observationMemory {
		s.backoff = 0
	}
	s.backoff = min(maxRetry, max(minRetry, 2*s.backoff))
	s.retryAt = now.Add(s.backoff)
	s.ramps, s.consecutiveBad = [2]ramp{}, 0
	t.changed = true
}

// demote makes a warm server cold and queues its record for the zone. If this instance demotes
// so many servers that its own network is the likely cause, it only stops sending
// new work itself for demotionWindow.
func (t *Table) demote(now model.Time, s *server) {
	s.consecutiveBad = 0
	t.demotions = slices.DeleteFunc(t.demotions, func(at model.Time) bool { return now.Sub(at) > demotionWindow })
	active := 0
	for _, o := range t.servers {
		if o.lastObserved != 0 && now.Sub(o.lastObserved) < demotionWindow {
			active++
		}
	}
	if n := len(t.demotions); n >= demotionLimit && n > active/2 {
		s.avoidUntil = now.Add(demotionWindow)
		t.changed = true
		return
	}
	t.demotions = append(t.demotions, now)
	home := s.home
	s.clearObservations()
	s.home, s.holdDownUntil = home, now.Add(ColdHoldDown)
	t.update(s, Record{Server: s.record.Server, Epoch: s.record.Epoch + 1, Draining: s.record.Draining})
}

// ObserveEndpoint processes a report of the server's own health endpoint, or a
// failure to read it. A report never makes a server warm, and recent observations
// of traffic take precedence over it.
func (t *Table) ObserveEndpoint(now model.Time, id model.ServerID, r Report, failed bool) {
	s, ok := t.servers[id]
	if !ok || s.withdrawn {
		return
	}
	if failed {
		s.endpointFailures = min(consecutiveBadLimit, s.endpointFailures+1)
		if s.endpointFailures < consecutiveBadLimit || s.lastSuccess != 0 && now.Sub(s.lastSuccess) < trafficPrecedence {
			return
		}
		if s.record.anyWarm() {
			t.demote(now, s)
		}
		// After each backoff, traffic may try the server for trafficPrecedence
		// whatever the endpoint reports: the endpoint may be down permanently
		// while the server works.
		if !s.record.Warm && s.home && (s.retryAt == 0 || now.Sub(s.retryAt) >= trafficPrecedence) {
			t.markFailed(now, s)
		}
		return
	}
	s.endpointFailures = 0
	draining := r.State == EndpointDraining
	if draining != s.record.Draining && r.State != EndpointUnknown {
		next := s.record
		next.Epoch++
		next.Draining = draining
		t.update(s, next)
	}
	if r.State == EndpointCold && s.record.anyWarm() && (s.lastObserved == 0 || now.Sub(s.lastObserved) > trafficPrecedence) {
		t.demote(now, s)
	}
}

// Tick announces servers as warm whose WarmAnnounceDelay has ended, and ends
// backoffs and delays.
func (t *Table) Tick(now model.Time) {
	for _, s := range t.servers {
		for unit := range s.ramps {
			if s.ramps[unit].announceDue(now) && s.home && !s.withdrawn && !s.record.warm(Unit(unit)) {
				t.update(s, s.record.withWarm(Unit(unit)))
			}
		}
		if s.avoidUntil != 0 && !now.Before(s.avoidUntil) {
			s.avoidUntil = 0
			t.changed = true
		}
		if s.flowsFrom != 0 && !now.Before(s.flowsFrom) {
			s.flowsFrom = 0
			t.changed = true
		}
		if s.holdDownUntil != 0 && !now.Before(s.holdDownUntil) {
			s.holdDownUntil = 0
			t.changed = true
		}
		// retryAt stays set after the backoff, so the end of the backoff is reported
		// as a change only within 2 s after it.
		if s.retryAt != 0 && !now.Before(s.retryAt) && now.Sub(s.retryAt) < 2*time.Second {
			t.changed = true
		}
	}
}
