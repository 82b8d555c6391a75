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

// Intervals, timeouts and assumptions of the control goroutine.
const (
	tickInterval = time.Second
	// maxSleep is the longest time until the next timer event. A much longer gap
	// between two events means that the process was paused.
	maxSleep = 250 * time.Millisecond
	// PauseThreshold is the gap between two events that counts as a pause of the
	// process. It is shorter than ViewLifetime.
	PauseThreshold = 2 * time.Second
	// revalidationTimeout is how long an instance waits after a pause for an answer
	// of a peer or the service before it uses its own view again.
	revalidationTimeout = time.Second
	// drainTime is the minimum time for which the view stays stale after a pause.
	// In this time, traffic drops the packets that were queued during the pause.
	// Peers have taken over those flows, so a queued first packet would place a flow
	// a second time.
	drainTime = 200 * time.Millisecond
	// gossipInterval is the time between additional heartbeats while an update is
	// urgent.
	gossipInterval = 200 * time.Millisecond
	callTimeout    = 400 * time.Millisecond
	// indirectProbeTimeout includes the time for the probe that the other instance
	// sends.
	indirectProbeTimeout = time.Second
	fetchTimeout         = 5 * time.Second
	// joinTimeout is how long a new instance waits for the versions of its peers
	// before it reads the configuration service.
	joinTimeout = time.Second
	// assumedFleetSize is the minimum fleet size that is assumed until the instance
	// list has been read, so that a new instance does not use the read budget of the
	// whole fleet (configread.Input).
	assumedFleetSize = 500
)

// DefaultSlotTakeoverDelay is the sum of the time until a dead holder is detected,
// the time until all instances have that information, and the lifetime of an outdated
// view.
const DefaultSlotTakeoverDelay = 8 * time.Second

// machine is the state machine of the control goroutine and makes its decisions.
// Only that goroutine uses it. It has no channel, lock or clock, so that a test can
// drive it with simulated time and transport.
type machine struct {
	options   Options
	rng       *rand.Rand
	now       model.Time
	lastEvent model.Time // time of the previous event
	nextWake  model.Time
	effects   []effect
	publisher viewPublisher
	view      *view.View // built, but not yet returned by takeView
	rebuild   bool       // the servers in the next view must be built anew
	leaving   bool

	members      *member.Table
	scheduler    *configread.Scheduler
	health       *health.Table
	notes        noteState
	push         spread.Push
	pushInFlight bool
	pushVersion  model.Version
	servers      serverState

	started              model.Time
	tickAt               model.Time
	gossipAt             model.Time
	renewAt              model.Time
	listAt               model.Time
	listInFlight         bool
	hasList              bool
	listReadAt           model.Time // last successful read of the instance list
	pendingJoins         int        // join heartbeats that have not been answered
	joined               bool       // the join heartbeats are answered or joinTimeout is over
	lastSourceRead       model.Time // last known read of the service by any instance
	lastContact          model.Time // last answer of the service or message from a peer
	pauses               int
	revalidating         bool
	versionConfirmed     bool // a peer or the service has answered a request sent after the last pause
	revalidationDeadline model.Time
	drainEnd             model.Time // earliest end of the revalidation (drainTime)
	count                counts
}

// counts are the counters of control since the start of the process.
type counts struct {
	Applied, Refused, Conflicts  uint64
	Reads, Watches, Lists, Calls uint64
	// ReconnectedProbes counts probes that succeeded only in the retry over a new
	// connection.
	Pauses, ReconnectedProbes uint64
	ObservationsIgnored       uint64 // failures right after a pause
}

func newMachine(o Options) *machine {
	if o.SlotTakeoverDelay == 0 {
		o.SlotTakeoverDelay = DefaultSlotTakeoverDelay
	}
	rng := rand.New(rand.NewPCG(o.Seed, uint64(o.Self.Incarnation)^placement.HashString(string(o.Self.ID))))
	m := &machine{options: o, rng: rng, members: member.New(o.Self, rng), scheduler: configread.New(rng),
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

// handle processes one event. It never blocks.
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
		// port.ErrNotFound means that the server has no health endpoint. Like errBusy, it
		// is no evidence that the server has failed.
		if !errors.Is(e.err, port.ErrNotFound) && !errors.Is(e.err, errBusy) {
			m.health.ObserveEndpoint(now, e.server, e.report, e.err != nil)
		}
	}
	m.runDueTasks()
}

func (m *machine) start(now model.Time) {
	if now == 0 {
		now = 1 // 0 means unset
	}
	m.started, m.lastEvent, m.now = now, now, now
	m.lastSourceRead, m.lastContact, m.tickAt, m.listAt, m.renewAt = now, now, now, now, now
	m.servers.witness = lease.NewWitness(now)
	m.refreshMembers()
	for _, s := range m.options.Seeds {
		m.sendHeartbeat(s, true, nil)
	}
}

// handlePause starts the revalidation after a pause of the process: the view is not
// renewed until a peer or the service has answered and the newest version is in
// force, or until revalidationTimeout has passed.
func (m *machine) handlePause(now model.Time) {
	m.now = now
	m.count.Pauses++
	m.pauses++
	m.revalidating, m.versionConfirmed, m.revalidationDeadline = true, false, now.Add(revalidationTimeout)
	m.drainEnd = now.Add(drainTime)
	m.servers.ignoreFailuresUntil = now.Add(revalidationTimeout)
	m.options.Log.Info("process was paused", "gap", now.Sub(m.lastEvent).String())
	sent := 0
	for range 3 {
		if peer, ok := m.members.RandomNotDead(nil); ok {
			m.sendHeartbeat(peer, false, nil)
			sent++
		}
	}
	if sent == 0 {
		m.readLatestUnscheduled()
	}
}

// recordAnswer records an answer to a request that was sent after the given number
// of pauses. Only an answer to a request sent after the last pause confirms the
// newest version; any other may have been queued during the pause.
func (m *machine) recordAnswer(pauses int) {
	m.versionConfirmed = m.versionConfirmed || pauses == m.pauses
	m.tryEndRevalidation()
}

// tryEndRevalidation ends the revalidation after a pause if the newest known version
// is confirmed and in force and drainTime is over.
func (m *machine) tryEndRevalidation() {
	if m.revalidating && m.versionConfirmed && m.version() >= m.notes.newestKnown && !m.now.Before(m.drainEnd) {
		m.revalidating = false
		m.renewAt = m.now
	}
}

// runDueTasks runs everything that is due and sets the time of the next wake-up.
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
	m.tryEndRevalidation()
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

// tick runs once per second.
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

// readList reads the platform's instance list if that is due. The size of the list
// and the number of its readers grow with the fleet, so large fleets read it less
// often. A list that is minutes old does no harm, because new instances announce
// themselves and probes detect dead ones.
func (m *machine) readList() {
	if m.listInFlight || m.now.Before(m.listAt) {
		m.wakeUnless(m.listInFlight, m.listAt)
		return
	}
	m.listInFlight = true
	m.count.Lists++
	m.effects = append(m.effects, effInstances{})
}

func (m *machine) wakeUnless(busy bool, at model.Time) {
	if !busy {
		m.wakeBy(at)
	}
}

// Intervals between reads of the instance list. An entry has about 170 bytes. With
// listIntervalPerEntry, an instance reads 1 KB/s of the list whatever its size, and
// all instances together make at most 6 reads per second.
const (
	minListInterval      = 2 * time.Second
	listIntervalPerEntry = 170 * time.Millisecond
	// earlyListInterval is the minimum time between two reads in a large fleet if
	// another instance has a different list.
	earlyListInterval = 20 * time.Second
)

// readListEarly brings the next read of the list forward, because this instance and
// another one derived different witnesses from their lists.
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

// sendJoinHeartbeats asks up to three peers for the state that a new instance has
// missed.
func (m *machine) sendJoinHeartbeats() {
	asked := map[model.InstanceID]bool{}
	for range 8 {
		if p, ok := m.members.RandomNotDead(nil); ok && !asked[p.ID] && len(asked) < 3 {
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
	// Homes, slots and shares depend only on this instance's zone.
	sameZone := slices.DeleteFunc(all, func(a model.Member) bool { return a.Zone != m.options.Self.Zone })
	if !slices.EqualFunc(sameZone, m.servers.zoneMembers, func(a, b model.Member) bool { return a.ID == b.ID && a.Liveness == b.Liveness }) {
		m.servers.zoneMembers = sameZone
		m.health.KeepHomeOnly(m.now.Add(m.options.SlotTakeoverDelay))
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

// isWatcher reports whether this instance is one of the watchers of its zone, which
// watch release/latest for all instances.
func (m *machine) isWatcher() bool {
	self := m.options.Self
	ranked := m.publisher.members.Rank(nil, self.Zone, placement.HashString("watcher"), configread.WatchersPerZone, false)
	return slices.ContainsFunc(ranked, func(r *model.Member) bool { return r.ID == self.ID })
}

// schedulerInput returns the state that the scheduling of reads depends on.
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
