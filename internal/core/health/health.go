package health

import (
	"math/bits"
	"slices"
	"strings"
	"time"

	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/core/placement"
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

// Record is what instances of a zone tell each other about a server. A higher
// epoch wins; records of one epoch are joined.
type Record struct {
	Server model.ServerID
	Epoch  uint32
	// Warm and WarmFlows say that the server carries its whole load of requests
	// and of flows.
	Warm      bool
	WarmFlows bool
	Draining  bool
}

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
	if s.record.Warm || s.record.WarmFlows {
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

func weight(r *Record) uint64 {
	if r.Epoch == 0 {
		return 0
	}
	flags := uint64(r.Epoch) << 3
	if r.WarmFlows {
		flags |= 4
	}
	if r.Warm {
		flags |= 1
	}
	if r.Draining {
		flags |= 2
	}
	return placement.Mix(placement.HashString(string(r.Server)), flags)
}

// Hash summarises all records; equal hashes mean equal records.
func (t *Table) Hash() uint64 { return t.hash }

func (t *Table) rehash(s *server, change func()) {
	t.hash -= weight(&s.record)
	change()
	t.hash += weight(&s.record)
}

// update changes a record and passes it on.
func (t *Table) update(s *server, r Record) {
	t.rehash(s, func() { s.record = r })
	s.sent = 0
	if !s.queued && len(t.queue) < maxQueue {
		s.queued = true
		t.queue = append(t.queue, r.Server)
	}
	t.changed = true
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
	if s.record.Warm || s.record.WarmFlows {
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
	case s.record.Warm || s.record.WarmFlows:
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
		if s.record.Warm || s.record.WarmFlows {
			t.demote(now, s)
		}
		if !s.record.Warm && s.home && !now.Before(s.retryAt) {
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
	if r.State == EndpointCold && (s.record.Warm || s.record.WarmFlows) && (s.lastAny == 0 || now.Sub(s.lastAny) > outranks) {
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

// Merge takes records of other instances.
func (t *Table) Merge(now model.Time, records []Record) {
	for _, r := range records {
		s, ok := t.servers[r.Server]
		if !ok || s.out || r.Epoch < s.record.Epoch {
			continue
		}
		if r.Epoch == s.record.Epoch {
			r = r.joined(s.record)
		}
		if r == s.record {
			continue
		}
		colder := s.record.Warm && !r.Warm || s.record.WarmFlows && !r.WarmFlows
		t.update(s, r)
		if colder {
			s.cool()
			s.quiet = now.Add(ColdQuiet)
		}
	}
}

// Records returns records to pass on with a message; limit is how often each
// is sent by one instance.
func (t *Table) Records(limit int) []Record {
	var out []Record
	slices.SortStableFunc(t.queue, func(a, b model.ServerID) int { return t.sent(a) - t.sent(b) })
	for i := 0; i < len(t.queue) && len(out) < MaxRecords; i++ {
		if s, ok := t.servers[t.queue[i]]; ok {
			s.sent++
			out = append(out, s.record)
		}
	}
	t.queue = slices.DeleteFunc(t.queue, func(id model.ServerID) bool {
		s, ok := t.servers[id]
		if ok && s.sent < limit {
			return false
		}
		if ok {
			s.queued = false
		}
		return true
	})
	return out
}

func (t *Table) sent(id model.ServerID) int {
	if s, ok := t.servers[id]; ok {
		return s.sent
	}
	return 0
}

// Urgent reports whether a record waits that few have seen.
func (t *Table) Urgent(limit int) bool {
	return slices.ContainsFunc(t.queue, func(id model.ServerID) bool { return t.sent(id) < limit/2 })
}

// All returns all records with a history, sorted by server.
func (t *Table) All() []Record {
	var out []Record
	for _, s := range t.servers {
		if s.record.Epoch > 0 {
			out = append(out, s.record)
		}
	}
	slices.SortFunc(out, func(a, b Record) int { return strings.Compare(string(a.Server), string(b.Server)) })
	return out
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
