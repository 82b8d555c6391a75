package health

import (
	"math/bits"
	"slices"
	"time"

	"github.com/savorytiller/savorytiller/internal/core/model"
)

// Parameters of the decisions.
const (
	// connectionLevels is the number of doublings from 1/64 of the connections to all.
	connectionLevels = 6
	// badInARow turns a server cold, or failed if it is cold already.
	badInARow = 3
	// badOfWindow of the last window observations turn a server cold.
	badOfWindow = 8
	window      = 16
	// latencyFactor times the usual latency, if above minLatency, is a bad sign.
	latencyFactor = 4
	minLatency    = 50 * time.Millisecond
	latencyMemory = 16 // observations that the usual latency is averaged over
	// outranks is how long an own observation takes precedence over the endpoint.
	outranks = 10 * time.Second
	// ColdQuiet is the time after a warm server turned cold in which its home
	// instance leaves it alone, so that the others have learned it and their
	// shares do not add to the allowance.
	ColdQuiet = 3 * time.Second
	// minRetry and maxRetry bound the pause before a failed server is tried again.
	minRetry = time.Second
	maxRetry = 30 * time.Second
	// doubtTime is the window in which many demotions by one instance make it
	// doubt its own network instead of the servers.
	doubtTime = 10 * time.Second
	minDoubt  = 3
	// MaxRecords is the number of records in one message.
	MaxRecords = 16
	maxQueue   = 4096
)

type server struct {
	record   Record
	config   model.Server
	service  model.ServiceID
	out      bool // its zone is out of service
	home     bool
	homeFrom model.Time // the home takes flows from then on
	ramps    [2]ramp    // by Unit
	retryAt  model.Time // no new work before; 0 unless failed
	quiet    model.Time // no new work before, because others may still use their share
	backoff  time.Duration
	recent   uint16 // bad observations, newest in the lowest bit
	seen     uint8
	badRun   uint8
	latency  time.Duration // usual latency
	samples  uint8
	lastGood model.Time
	lastAny  model.Time
	distrust model.Time // local doubt that is not passed on
	silent   uint8      // failed reads of the endpoint in a row
	queued   bool
	sent     int
}

// Table is the health of the backend servers of one availability zone.
type Table struct {
	zone      model.Zone
	servers   map[model.ServerID]*server
	queue     []model.ServerID
	demotions []model.Time
	changed   bool
	hash      uint64
	warm      bool
	// aloneUntil is when the slot holders of the zone may use their slots.
	aloneUntil model.Time
}

// New returns an empty table for the servers of a zone. With assumeWarm set,
// servers are warm from the start.
func New(zone model.Zone, assumeWarm bool) *Table {
	return &Table{zone: zone, servers: map[model.ServerID]*server{}, warm: assumeWarm}
}

// SetConfig takes a new configuration. New servers are cold; servers whose
// zone is withdrawn, or whose address or service changes, become cold.
func (t *Table) SetConfig(now model.Time, c *model.Configuration) {
	out := c.Withdrawn(t.zone)
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
				s = &server{record: Record{Server: next.ID, Warm: t.warm, WarmFlows: t.warm}}
				t.servers[next.ID] = s
			} else if s.service != c.Services[i].ID || s.config.FlowAddress != next.FlowAddress ||
				s.config.RequestAddress != next.RequestAddress || out && !s.out {
				t.reset(now, s)
			}
			s.config, s.service, s.out = *next, c.Services[i].ID, out
		}
	}
	for id, s := range t.servers {
		if !present[id] {
			t.hash -= weight(&s.record)
			delete(t.servers, id)
		}
	}
	t.changed = true
}

func (t *Table) reset(now model.Time, s *server) {
	if s.record.partlyWarm() {
		s.quiet = now.Add(ColdQuiet)
	}
	if s.record.Warm || s.record.Epoch > 0 {
		t.update(s, Record{Server: s.record.Server, Epoch: s.record.Epoch + 1})
	}
	s.cool()
}

// cool forgets what was observed of a server.
func (s *server) cool() {
	s.ramps = [2]ramp{}
	s.retryAt, s.backoff, s.recent, s.seen, s.badRun = 0, 0, 0, 0, 0
	s.samples, s.latency, s.distrust = 0, 0, 0
}

// KeepAlone makes the home instances keep their servers until the given time,
// also those that carry their whole load. After a change of membership the new
// holders of slots wait, so a server announced as warm would stay unused.
func (t *Table) KeepAlone(until model.Time) { t.aloneUntil = max(t.aloneUntil, until) }

// TakeChanged reports whether a standing changed since the last call.
func (t *Table) TakeChanged() bool {
	c := t.changed
	t.changed = false
	return c
}

// HomeWait is how long a new home opens no flows on a cold server. In this time
// the owners of its flows tell the home of them; it would count from 0 otherwise.
const HomeWait = 6 * time.Second

// SetHome says whether this instance is the home of a server. A new home
// begins with the smallest allowance, for flows after HomeWait.
func (t *Table) SetHome(now model.Time, id model.ServerID, home bool) {
	s, ok := t.servers[id]
	if !ok || s.home == home {
		return
	}
	s.home, s.homeFrom = home, now.Add(HomeWait)
	if s.record.partlyWarm() {
		s.ramps = [2]ramp{}
	} else {
		s.cool()
	}
	t.changed = true
}

// Observe takes an observation of traffic.
func (t *Table) Observe(now model.Time, o Observation) {
	s, ok := t.servers[o.Server]
	if !ok || s.out {
		return
	}
	bad := o.Kind != Success || t.slow(s, o)
	count := max(1, o.Count)
	s.lastAny = now
	if !bad {
		s.lastGood, s.badRun, s.silent = now, 0, 0
		s.note(false, count)
		t.succeeded(now, s, o.Unit, count)
		return
	}
	s.note(true, count)
	s.badRun = uint8(min(badInARow, uint32(s.badRun)+count))
	switch {
	case s.record.partlyWarm():
		if s.badRun >= badInARow || s.seen >= window && bits.OnesCount16(s.recent) >= badOfWindow {
			t.demote(now, s)
		}
	case s.home:
		for i := range s.ramps {
			t.changed = s.ramps[i].failed() || t.changed
		}
		if s.badRun >= badInARow {
			t.fail(now, s)
		}
	}
}

// note shifts observations into the window.
func (s *server) note(bad bool, count uint32) {
	for range min(count, window) {
		s.recent <<= 1
		if bad {
			s.recent |= 1
		}
	}
	s.seen = uint8(min(window, uint32(s.seen)+count))
}

// slow keeps the usual latency and reports a sudden increase.
func (t *Table) slow(s *server, o Observation) bool {
	if o.Latency <= 0 || o.Unit != Request {
		return false
	}
	if s.samples >= latencyMemory && o.Latency > minLatency && o.Latency > latencyFactor*s.latency {
		return true
	}
	if s.samples < latencyMemory {
		s.samples++
	}
	s.latency += (o.Latency - s.latency) / time.Duration(s.samples)
	return false
}

// succeeded raises the allowance of a cold server at its home instance.
func (t *Table) succeeded(now model.Time, s *server, unit Unit, count uint32) {
	r := &s.ramps[unit]
	if s.record.warm(unit) || !s.home || r.settle != 0 {
		return
	}
	if s.retryAt != 0 {
		s.retryAt, s.backoff = 0, 0
		t.changed = true
	}
	t.changed = r.succeeded(now, unit, count, &s.config, t.aloneUntil) || t.changed
}

// fail stops new work to a cold server for a growing pause.
func (t *Table) fail(now model.Time, s *server) {
	s.backoff = min(maxRetry, max(minRetry, 2*s.backoff))
	s.retryAt = now.Add(s.backoff)
	s.ramps, s.badRun = [2]ramp{}, 0
	t.changed = true
}

// demote returns a warm server to cold and tells the zone, unless this
// instance demotes so many that its own network is the likely cause.
func (t *Table) demote(now model.Time, s *server) {
	s.badRun = 0
	t.demotions = slices.DeleteFunc(t.demotions, func(at model.Time) bool { return now.Sub(at) > doubtTime })
	active := 0
	for _, o := range t.servers {
		if o.lastAny != 0 && now.Sub(o.lastAny) < doubtTime {
			active++
		}
	}
	if n := len(t.demotions); n >= minDoubt && n > active/2 {
		s.distrust = now.Add(doubtTime)
		t.changed = true
		return
	}
	t.demotions = append(t.demotions, now)
	home := s.home
	s.cool()
	s.home, s.quiet = home, now.Add(ColdQuiet)
	t.update(s, Record{Server: s.record.Server, Epoch: s.record.Epoch + 1, Draining: s.record.Draining})
}

// Reported takes an answer of the server's own health endpoint, or its failure.
// It never makes a server warm, and traffic outranks it where they disagree.
func (t *Table) Reported(now model.Time, id model.ServerID, r Report, failed bool) {
	s, ok := t.servers[id]
	if !ok || s.out {
		return
	}
	if failed {
		s.silent = min(badInARow, s.silent+1)
		if s.silent < badInARow || s.lastGood != 0 && now.Sub(s.lastGood) < outranks {
			return
		}
		if s.record.partlyWarm() {
			t.demote(now, s)
		}
		// After a pause traffic tries the server for a while, whatever the
		// endpoint says: an endpoint that is down for good proves nothing.
		if !s.record.Warm && s.home && (s.retryAt == 0 || now.Sub(s.retryAt) >= outranks) {
			t.fail(now, s)
		}
		return
	}
	s.silent = 0
	draining := r.State == EndpointDraining
	if draining != s.record.Draining && r.State != EndpointUnknown {
		next := s.record
		next.Epoch++
		next.Draining = draining
		t.update(s, next)
	}
	if r.State == EndpointCold && s.record.partlyWarm() && (s.lastAny == 0 || now.Sub(s.lastAny) > outranks) {
		t.demote(now, s)
	}
}

// Tick announces servers as warm whose home instance has stepped back, and
// ends pauses.
func (t *Table) Tick(now model.Time) {
	for _, s := range t.servers {
		for unit := range s.ramps {
			if s.ramps[unit].settled(now) && s.home && !s.out && !s.record.warm(Unit(unit)) {
				t.update(s, s.record.warmed(Unit(unit)))
			}
		}
		if s.distrust != 0 && !now.Before(s.distrust) {
			s.distrust = 0
			t.changed = true
		}
		if s.homeFrom != 0 && !now.Before(s.homeFrom) {
			s.homeFrom = 0
			t.changed = true
		}
		if s.quiet != 0 && !now.Before(s.quiet) {
			s.quiet = 0
			t.changed = true
		}
		if s.retryAt != 0 && !now.Before(s.retryAt) && now.Sub(s.retryAt) < 2*time.Second {
			t.changed = true
		}
	}
}
