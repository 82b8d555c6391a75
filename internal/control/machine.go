package control

import (
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/savorytiller/savorytiller/internal/core/configread"
	"github.com/savorytiller/savorytiller/internal/core/health"
	"github.com/savorytiller/savorytiller/internal/core/lease"
	"github.com/savorytiller/savorytiller/internal/core/member"
	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/core/placement"
	"github.com/savorytiller/savorytiller/internal/core/spread"
	"github.com/savorytiller/savorytiller/internal/core/view"
	"github.com/savorytiller/savorytiller/internal/port"
)

// Times of the control goroutine.
const (
	tickEvery = time.Second
	// wakeEvery bounds the sleep, so that a gap between two events shows a pause.
	wakeEvery = 250 * time.Millisecond
	// PauseLimit is the gap between two events that counts as a pause of the
	// process. It is shorter than ViewLease.
	PauseLimit = 2 * time.Second
	// revalidateLimit is how long a resumed instance waits for a peer or the
	// service before it acts on its own view again.
	revalidateLimit = time.Second
	// drainTime is how long the view stays stale after a pause at least. Traffic
	// drops meanwhile what was queued: peers have taken those flows over, so an
	// old first packet would place a flow a second time.
	drainTime = 200 * time.Millisecond
	// gossipEvery is the time between additional heartbeats while an update
	// is urgent.
	gossipEvery = 200 * time.Millisecond
	callTimeout = 400 * time.Millisecond
	// askTimeout leaves time for the helper's own probe.
	askTimeout   = time.Second
	fetchTimeout = 5 * time.Second
	// joinTime is how long a new instance waits for its peers' versions before
	// it reads the configuration service.
	joinTime = time.Second
	// unknownFleet stands for the size of the fleet before the first list.
	unknownFleet = 500
)

// DefaultSlotTakeoverDelay is the sum of the time to notice a dead holder, to
// spread it and of the lease of an outdated view.
const DefaultSlotTakeoverDelay = 8 * time.Second

// machine decides. It runs in the control goroutine only; it has no channel,
// lock or clock, so a test can drive it with simulated time and transport.
type machine struct {
	o       Options
	rng     *rand.Rand
	now     model.Time
	last    model.Time // of the previous event
	next    model.Time
	effects []effect
	pub     publisher
	view    *view.View
	rebuild bool
	leaving bool

	members *member.Table
	reader  *configread.Scheduler
	health  *health.Table
	notes   notes
	push    spread.Push
	pushing bool
	pushed  model.Version
	servers serverState

	started      model.Time
	tickAt       model.Time
	gossipAt     model.Time
	renewAt      model.Time
	listAt       model.Time
	listing      bool
	listed       bool
	listAge      model.Time // last successful read of the list
	joining      int        // join heartbeats without an answer
	joined       bool
	sourceSeen   model.Time // last time any instance read the service
	contact      model.Time // last answer of the service or a peer
	pauses       int
	revalidating bool
	confirmed    bool // the newest version was asked for after the last pause
	revalidateBy model.Time
	drained      model.Time // end of drainTime
	count        counts
}

// counts are the counters of control since its start.
type counts struct {
	Applied, Refused, Conflicts  uint64
	Reads, Watches, Lists, Calls uint64
	Pauses, Dead, SilentReplaced uint64
	ObservationsIgnored          uint64
}

func newMachine(o Options) *machine {
	if o.SlotTakeoverDelay == 0 {
		o.SlotTakeoverDelay = DefaultSlotTakeoverDelay
	}
	rng := rand.New(rand.NewPCG(o.Seed, uint64(o.Self.Incarnation)^placement.HashString(string(o.Self.ID))))
	m := &machine{o: o, rng: rng, members: member.New(o.Self, rng), reader: configread.New(rng),
		health: health.New(o.Self.Zone, o.AssumeWarm), push: spread.New(spread.Hybrid, pushRestarts, rng)}
	m.notes.stored = map[model.Version]stored{}
	m.servers.held = map[slotKey]model.Time{}
	m.servers.claims = map[model.ServerID]*lease.Holder{}
	return m
}

func (m *machine) takeEffects() []effect {
	f := m.effects
	m.effects = nil
	return f
}

func (m *machine) takeView() *view.View {
	v := m.view
	m.view = nil
	return v
}

// handle takes one event. It never blocks.
func (m *machine) handle(now model.Time, e event) {
	if m.started == 0 {
		m.start(now)
	}
	if now.Sub(m.last) > PauseLimit {
		m.resumed(now)
	}
	m.now, m.last = now, now
	switch e := e.(type) {
	case evLeave:
		m.leaving, m.rebuild = true, true
		m.members.Leave()
	case evObservation:
		m.observe(e.Observation)
	case evRequest:
		m.request(e)
	case evCalled:
		if e.err == nil {
			m.contact = now
		}
		e.call.done(m, e.err)
	case evRead:
		m.handleRead(e)
	case evWatched:
		m.handleWatched(e)
	case evInstances:
		m.handleInstances(e)
	case evHealth:
		m.servers.polling--
		if !errors.Is(e.err, port.ErrNotFound) && !errors.Is(e.err, errBusy) {
			m.health.ObserveEndpoint(now, e.server, e.report, e.err != nil)
		}
	}
	m.work()
}

func (m *machine) start(now model.Time) {
	if now == 0 {
		now = 1 // 0 stands for never
	}
	m.started, m.last, m.now = now, now, now
	m.sourceSeen, m.contact, m.tickAt, m.listAt, m.renewAt = now, now, now, now, now
	m.servers.witness = lease.NewWitness(now)
	m.refreshMembers()
	for _, s := range m.o.Seeds {
		m.beat(s, true, nil)
	}
}

// resumed reacts to a pause of the process: until a peer or the service has
// told the newest version, the view's lease is not renewed.
func (m *machine) resumed(now model.Time) {
	m.now = now
	m.count.Pauses++
	m.pauses++
	m.revalidating, m.confirmed, m.revalidateBy = true, false, now.Add(revalidateLimit)
	m.drained = now.Add(drainTime)
	m.servers.ignoreUntil = now.Add(revalidateLimit)
	m.o.Log.Info("process was paused", "gap", now.Sub(m.last).String())
	asked := 0
	for range 3 {
		if peer, ok := m.members.RandomLive(nil); ok {
			m.beat(peer, false, nil)
			asked++
		}
	}
	if asked == 0 {
		m.askService()
	}
}

// answered takes an answer to a question from before or after a number of
// pauses. Only a question that was asked after the last pause confirms the
// newest version: other answers may have waited in a queue during the pause.
func (m *machine) answered(pauses int) {
	m.confirmed = m.confirmed || pauses == m.pauses
	m.revalidated()
}

// revalidated ends the wait after a pause once the newest version that was
// named is in force.
func (m *machine) revalidated() {
	if m.revalidating && m.confirmed && m.version() >= m.notes.wanted && !m.now.Before(m.drained) {
		m.revalidating = false
		m.renewAt = m.now
	}
}

// work does everything that is due and sets the next wake-up.
func (m *machine) work() {
	now := m.now
	m.next = now.Add(wakeEvery)
	if !now.Before(m.tickAt) {
		m.tickAt = now.Add(tickEvery)
		m.tick()
	}
	m.list()
	m.gossip()
	m.read()
	m.advance()
	m.pushNote()
	if m.members.TakeChanged() {
		m.refreshMembers()
	}
	if m.health.TakeChanged() || m.servers.due(now) {
		m.rebuild = true
	}
	m.claim()
	m.revalidated()
	if m.revalidating {
		m.wake(m.drained)
	}
	if m.revalidating && !now.Before(m.revalidateBy) {
		m.revalidating = false
		m.renewAt = now
	}
	if !m.revalidating && (m.rebuild || !now.Before(m.renewAt)) {
		m.publish()
	}
	m.wake(m.tickAt)
	if !m.revalidating {
		m.wake(m.renewAt)
	}
}

func (m *machine) wake(at model.Time) {
	if at.Before(m.next) {
		m.next = max(at, m.now.Add(time.Millisecond))
	}
}

func (m *machine) publish() {
	if m.rebuild {
		m.servers.beginRebuild()
	}
	m.view = m.pub.build(m.now, m.rebuild, m.leaving, m.fillServer)
	if m.rebuild {
		m.servers.endRebuild()
	}
	m.rebuild = false
	m.renewAt = m.now.Add(renewEvery)
}

// tick runs once a second.
func (m *machine) tick() {
	for _, target := range m.members.Tick(m.now) {
		m.beat(target, false, nil)
	}
	if !m.joined && m.now.Sub(m.started) >= joinTime {
		m.joined = true
	}
	m.health.Tick(m.now)
	m.servers.witness.Expire(m.now)
	m.pollHealth()
}

// list reads the platform's instance list, whose size and readers grow with
// the fleet. New instances announce themselves, and probes find dead ones, so
// a list that is minutes old does no harm.
func (m *machine) list() {
	if m.listing || m.now.Before(m.listAt) {
		m.wakeUnless(m.listing, m.listAt)
		return
	}
	m.listing = true
	m.count.Lists++
	m.effects = append(m.effects, effInstances{})
}

func (m *machine) wakeUnless(busy bool, at model.Time) {
	if !busy {
		m.wake(at)
	}
}

// Periods of reading the list. Each entry has about 170 bytes; with listPerEntry
// an instance reads 1 KB/s of it at any size, and all instances together make
// at most 6 reads a second.
const (
	listEvery    = 2 * time.Second
	listPerEntry = 170 * time.Millisecond
	// listSoon is the shortest time between two reads in a large fleet when
	// another instance is found to have a different list.
	listSoon = 20 * time.Second
)

// listDiffers reads the list soon, because a witness and a holder have
// different ones.
func (m *machine) listDiffers() {
	m.listAt = min(m.listAt, max(m.now, m.listAge.Add(listSoon)).Add(time.Duration(m.rng.Int64N(int64(listEvery)))))
}

func (m *machine) handleInstances(e evInstances) {
	m.listing = false
	period := max(listEvery, time.Duration(m.members.Len())*listPerEntry)
	m.listAt = m.now.Add(period/2 + time.Duration(m.rng.Int64N(int64(period))))
	if e.err != nil {
		m.listAt = min(m.listAt, m.now.Add(listSoon/2+time.Duration(m.rng.Int64N(int64(listSoon)))))
		return
	}
	first := !m.listed
	m.listed, m.listAge = true, m.now
	m.members.SetList(m.now, e.members)
	m.witnessesChanged()
	if first {
		m.join()
	}
}

// join asks some peers for what a new instance has missed.
func (m *machine) join() {
	asked := map[model.InstanceID]bool{}
	for range 8 {
		if p, ok := m.members.RandomLive(nil); ok && !asked[p.ID] && len(asked) < 3 {
			asked[p.ID] = true
			m.joining++
			m.beat(p, true, nil)
		}
	}
	if m.joining == 0 {
		m.joined = true // the first instance
	}
}

func (m *machine) refreshMembers() {
	all := m.members.Members()
	m.pub.self, m.pub.members = m.members.Self(), placement.NewMembers(all)
	m.servers.watcher = m.isWatcher()
	m.servers.zones = countZones(all)
	m.renewAt = m.now
	// Homes, slots and shares depend on the own zone only.
	near := slices.DeleteFunc(all, func(a model.Member) bool { return a.Zone != m.o.Self.Zone })
	if !slices.EqualFunc(near, m.servers.near, func(a, b model.Member) bool { return a.ID == b.ID && a.Liveness == b.Liveness }) {
		m.servers.near = near
		m.health.KeepHomeOnly(m.now.Add(m.o.SlotTakeoverDelay))
		m.refreshHomes()
	}
}

func countZones(all []model.Member) int {
	zones := map[model.Zone]bool{}
	for i := range all {
		zones[all[i].Zone] = true
	}
	return len(zones)
}

// isWatcher reports whether this instance is among the watchers of its zone.
func (m *machine) isWatcher() bool {
	self := m.o.Self
	ranked := m.pub.members.Rank(nil, self.Zone, placement.HashString("watcher"), configread.WatchersPerZone, false)
	return slices.ContainsFunc(ranked, func(r *model.Member) bool { return r.ID == self.ID })
}

// input is what the plan of reads depends on.
func (m *machine) input() configread.Input {
	fleet := m.members.Len()
	if !m.listed {
		fleet = max(fleet, unknownFleet)
	}
	return configread.Input{FleetSize: fleet, Zones: m.servers.zones, Watcher: m.servers.watcher && m.joined && m.listed,
		LastReadAge: m.now.Sub(m.sourceSeen), NeedsConfig: m.joined && m.version() == 0}
}

func (m *machine) call(f *effCall) {
	f.pauses = m.pauses
	m.count.Calls++
	m.effects = append(m.effects, f)
}
