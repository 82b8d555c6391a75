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
	tickInterval = time.Second
	// maxSleep bounds the sleep, so that a gap between two events shows a pause.
	maxSleep = 250 * time.Millisecond
	// PauseThreshold is the gap between two events that counts as a pause of the
	// process. It is shorter than ViewLease.
	PauseThreshold = 2 * time.Second
	// revalidationTimeout is how long a resumed instance waits for a peer or the
	// service before it acts on its own view again.
	revalidationTimeout = time.Second
	// drainTime is how long the view stays stale after a pause at least. Traffic
	// drops meanwhile what was queued: peers have taken those flows over, so an
	// old first packet would place a flow a second time.
	drainTime = 200 * time.Millisecond
	// gossipInterval is the time between additional heartbeats while an update
	// is urgent.
	gossipInterval = 200 * time.Millisecond
	callTimeout = 400 * time.Millisecond
	// indirectProbeTimeout leaves time for the helper's own probe.
	indirectProbeTimeout   = time.Second
	fetchTimeout = 5 * time.Second
	// joinTimeout is how long a new instance waits for its peers' versions before
	// it reads the configuration service.
	joinTimeout = time.Second
	// assumedFleetSize stands for the size of the fleet before the first list.
	assumedFleetSize = 500
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
	lastEvent    model.Time // of the previous event
	nextWake    model.Time
	effects []effect
	publisher     publisher
	view    *view.View
	rebuild bool
	leaving bool

	members *member.Table
	scheduler  *configread.Scheduler
	health  *health.Table
	notes   noteState
	push    spread.Push
	pushInFlight bool
	pushVersion  model.Version
	servers serverState

	started      model.Time
	tickAt       model.Time
	gossipAt     model.Time
	renewAt      model.Time
	listAt       model.Time
	listInFlight      bool
	hasList       bool
	listReadAt      model.Time // last successful read of the list
	pendingJoins      int        // join heartbeats without an answer
	joined       bool
	lastSourceRead   model.Time // last time any instance read the service
	lastContact      model.Time // last answer of the service or a peer
	pauses       int
	revalidating bool
	versionConfirmed    bool // the newest version was asked for after the last pause
	revalidationDeadline model.Time
	drainEnd      model.Time // end of drainTime
	count        counts
}

// counts are the counters of control since its start.
type counts struct {
	Applied, Refused, Conflicts  uint64
	Reads, Watches, Lists, Calls uint64
	Pauses, Dead, ReconnectedProbes uint64
	ObservationsIgnored          uint64
}

func newMachine(o Options) *machine {
	if o.SlotTakeoverDelay == 0 {
		o.SlotTakeoverDelay = DefaultSlotTakeoverDelay
	}
	rng := rand.New(rand.NewPCG(o.Seed, uint64(o.Self.Incarnation)^placement.HashString(string(o.Self.ID))))
	m := &machine{o: o, rng: rng, members: member.New(o.Self, rng), scheduler: configread.New(rng),
		health: health.New(o.Self.Zone, o.AssumeWarm), push: spread.New(spread.Hybrid, pushRestarts, rng)}
	m.notes.stored = map[model.Version]storedNote{}
	m.servers.slotsHeldSince = map[slotKey]model.Time{}
	m.servers.leases = map[model.ServerID]*lease.Holder{}
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
	if now.Sub(m.lastEvent) > PauseThreshold {
		m.handlePause(now)
	}
	m.now, m.lastEvent = now, now
	switch e := e.(type) {
	case evLeave:
		m.leaving, m.rebuild = true, true
		m.members.Leave()
	case evObservation:
		m.handleObservation(e.Observation)
	case evRequest:
		m.handleRequest(e)
	case evCalled:
		if e.err == nil {
			m.lastContact = now
		}
		e.call.done(m, e.err)
	case evRead:
		m.handleRead(e)
	case evWatched:
		m.handleWatched(e)
	case evInstances:
		m.handleInstances(e)
	case evHealth:
		m.servers.runningPolls--
		if !errors.Is(e.err, port.ErrNotFound) && !errors.Is(e.err, errBusy) {
			m.health.ObserveEndpoint(now, e.server, e.report, e.err != nil)
		}
	}
	m.runDueTasks()
}

func (m *machine) start(now model.Time) {
	if now == 0 {
		now = 1 // 0 stands for never
	}
	m.started, m.lastEvent, m.now = now, now, now
	m.lastSourceRead, m.lastContact, m.tickAt, m.listAt, m.renewAt = now, now, now, now, now
	m.servers.witness = lease.NewWitness(now)
	m.refreshMembers()
	for _, s := range m.o.Seeds {
		m.sendHeartbeat(s, true, nil)
	}
}

// handlePause reacts to a pause of the process: until a peer or the service has
// told the newest version, the view's lease is not renewed.
func (m *machine) handlePause(now model.Time) {
	m.now = now
	m.count.Pauses++
	m.pauses++
	m.revalidating, m.versionConfirmed, m.revalidationDeadline = true, false, now.Add(revalidationTimeout)
	m.drainEnd = now.Add(drainTime)
	m.servers.ignoreFailuresUntil = now.Add(revalidationTimeout)
	m.o.Log.Info("process was paused", "gap", now.Sub(m.lastEvent).String())
	asked := 0
	for range 3 {
		if peer, ok := m.members.RandomLive(nil); ok {
			m.sendHeartbeat(peer, false, nil)
			asked++
		}
	}
	if asked == 0 {
		m.readLatestUnscheduled()
	}
}

// recordAnswer takes an answer to a question from before or after a number of
// pauses. Only a question that was asked after the last pause confirms the
// newest version: other answers may have waited in a queue during the pause.
func (m *machine) recordAnswer(pauses int) {
	m.versionConfirmed = m.versionConfirmed || pauses == m.pauses
	m.endRevalidation()
}

// endRevalidation ends the wait after a pause once the newest version that was
// named is in force.
func (m *machine) endRevalidation() {
	if m.revalidating && m.versionConfirmed && m.version() >= m.notes.newestKnown && !m.now.Before(m.drainEnd) {
		m.revalidating = false
		m.renewAt = m.now
	}
}

// runDueTasks does everything that is due and sets the next wake-up.
func (m *machine) runDueTasks() {
	now := m.now
	m.nextWake = now.Add(maxSleep)
	if !now.Before(m.tickAt) {
		m.tickAt = now.Add(tickInterval)
		m.tick()
	}
	m.readList()
	m.sendGossip()
	m.readOrWatch()
	m.startTransfer()
	m.pushNext()
	if m.members.TakeChanged() {
		m.refreshMembers()
	}
	if m.health.TakeChanged() || m.servers.changeDue(now) {
		m.rebuild = true
	}
	m.requestLeases()
	m.endRevalidation()
	if m.revalidating {
		m.wakeBy(m.drainEnd)
	}
	if m.revalidating && !now.Before(m.revalidationDeadline) {
		m.revalidating = false
		m.renewAt = now
	}
	if !m.revalidating && (m.rebuild || !now.Before(m.renewAt)) {
		m.publish()
	}
	m.wakeBy(m.tickAt)
	if !m.revalidating {
		m.wakeBy(m.renewAt)
	}
}

func (m *machine) wakeBy(at model.Time) {
	if at.Before(m.nextWake) {
		m.nextWake = max(at, m.now.Add(time.Millisecond))
	}
}

func (m *machine) publish() {
	if m.rebuild {
		m.servers.beginRebuild()
	}
	m.view = m.publisher.build(m.now, m.rebuild, m.leaving, m.fillServer)
	if m.rebuild {
		m.servers.endRebuild()
	}
	m.rebuild = false
	m.renewAt = m.now.Add(viewRenewInterval)
}

// tick runs once a second.
func (m *machine) tick() {
	for _, target := range m.members.Tick(m.now) {
		m.sendHeartbeat(target, false, nil)
	}
	if !m.joined && m.now.Sub(m.started) >= joinTimeout {
		m.joined = true
	}
	m.health.Tick(m.now)
	m.servers.witness.Expire(m.now)
	m.pollHealth()
}

// readList reads the platform's instance readList, whose size and readers grow with
// the fleet. New instances announce themselves, and probes find dead ones, so
// a readList that is minutes old does no harm.
func (m *machine) readList() {
	if m.listInFlight || m.now.Before(m.listAt) {
		m.wakeByUnless(m.listInFlight, m.listAt)
		return
	}
	m.listInFlight = true
	m.count.Lists++
	m.effects = append(m.effects, effInstances{})
}

func (m *machine) wakeByUnless(busy bool, at model.Time) {
	if !busy {
		m.wakeBy(at)
	}
}

// Periods of reading the list. Each entry has about 170 bytes; with listIntervalPerEntry
// an instance reads 1 KB/s of it at any size, and all instances together make
// at most 6 reads a second.
const (
	minListInterval    = 2 * time.Second
	listIntervalPerEntry = 170 * time.Millisecond
	// earlyListInterval is the shortest time between two reads in a large fleet when
	// another instance is found to have a different list.
	earlyListInterval = 20 * time.Second
)

// readListEarly reads the list soon, because a witness and a holder have
// different ones.
func (m *machine) readListEarly() {
	m.listAt = min(m.listAt, max(m.now, m.listReadAt.Add(earlyListInterval)).Add(time.Duration(m.rng.Int64N(int64(minListInterval)))))
}

func (m *machine) handleInstances(e evInstances) {
	m.listInFlight = false
	period := max(minListInterval, time.Duration(m.members.Len())*listIntervalPerEntry)
	m.listAt = m.now.Add(period/2 + time.Duration(m.rng.Int64N(int64(period))))
	if e.err != nil {
		m.listAt = min(m.listAt, m.now.Add(earlyListInterval/2+time.Duration(m.rng.Int64N(int64(earlyListInterval)))))
		return
	}
	first := !m.hasList
	m.hasList, m.listReadAt = true, m.now
	m.members.SetList(m.now, e.members)
	m.updateWitnesses()
	if first {
		m.sendJoinHeartbeats()
	}
}

// sendJoinHeartbeats asks some peers for what a new instance has missed.
func (m *machine) sendJoinHeartbeats() {
	asked := map[model.InstanceID]bool{}
	for range 8 {
		if p, ok := m.members.RandomLive(nil); ok && !asked[p.ID] && len(asked) < 3 {
			asked[p.ID] = true
			m.pendingJoins++
			m.sendHeartbeat(p, true, nil)
		}
	}
	if m.pendingJoins == 0 {
		m.joined = true // the first instance
	}
}

func (m *machine) refreshMembers() {
	all := m.members.Members()
	m.publisher.self, m.publisher.members = m.members.Self(), placement.NewMembers(all)
	m.servers.watcher = m.isWatcher()
	m.servers.zoneCount = countZones(all)
	m.renewAt = m.now
	// Homes, slots and shares depend on the own zone only.
	sameZone := slices.DeleteFunc(all, func(a model.Member) bool { return a.Zone != m.o.Self.Zone })
	if !slices.EqualFunc(sameZone, m.servers.zoneMembers, func(a, b model.Member) bool { return a.ID == b.ID && a.Liveness == b.Liveness }) {
		m.servers.zoneMembers = sameZone
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
	ranked := m.publisher.members.Rank(nil, self.Zone, placement.HashString("watcher"), configread.WatchersPerZone, false)
	return slices.ContainsFunc(ranked, func(r *model.Member) bool { return r.ID == self.ID })
}

// schedulerInput is what the plan of reads depends on.
func (m *machine) schedulerInput() configread.Input {
	fleet := m.members.Len()
	if !m.hasList {
		fleet = max(fleet, assumedFleetSize)
	}
	return configread.Input{FleetSize: fleet, Zones: m.servers.zoneCount, Watcher: m.servers.watcher && m.joined && m.hasList,
		LastReadAge: m.now.Sub(m.lastSourceRead), NeedsConfig: m.joined && m.version() == 0}
}

func (m *machine) call(f *effCall) {
	f.pauses = m.pauses
	m.count.Calls++
	m.effects = append(m.effects, f)
}
