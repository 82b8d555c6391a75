package registry

import (
	"math/rand/v2"
	"time"

	"github.com/go-logr/logr"

	"github.com/savorytiller/savorytiller/internal/core/belief"
	"github.com/savorytiller/savorytiller/internal/core/catalog"
	"github.com/savorytiller/savorytiller/internal/core/member"
	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/core/steering"
)

// Times and limits of the control goroutine.
const (
	// watchDeliveryTimeout is how long a watch may take to deliver the changes up to a
	// revision that a check returned.
	watchDeliveryTimeout = 300 * time.Millisecond
	// watchWait is how long a watch waits for changes. A check detects earlier that a
	// watch has stopped delivering.
	watchWait = 15 * time.Second
	// catchUpWait is the wait of the watch by which an instance other than the watcher
	// reads changes that a check has shown to be missing. After catchUpTimeout it lists
	// the registry instead.
	catchUpWait    = 100 * time.Millisecond
	catchUpTimeout = 150 * time.Millisecond
	// relayListingDelay and zoneListingDelay are how long a relay and another instance wait
	// after a restore of the registry for the listing of the watcher, which crosses zones and
	// then the tree of the zone.
	relayListingDelay = 250 * time.Millisecond
	zoneListingDelay  = 700 * time.Millisecond
	// batchPause is the pause after a successful watch, so that a burst of changes is read
	// in a few calls.
	batchPause = 100 * time.Millisecond
	// checkTimeout limits a check, which reads the current revision of the registry.
	checkTimeout = 800 * time.Millisecond
	// minRetryDelay and maxRetryDelay limit the mean delay before a failed listing or
	// watch is repeated, which doubles with each failure. A failed check is repeated
	// after minRetryDelay and a random time of up to maxRetryDelay. Instances other than the
	// relays double that with each failure, at most maxCheckDoublings times and up to the
	// interval of checks.
	minRetryDelay     = 100 * time.Millisecond
	maxRetryDelay     = 800 * time.Millisecond
	maxCheckDoublings = 3
	// failureThreshold is the number of consecutive failed checks after which the registry
	// counts as unreachable.
	failureThreshold = 2
	// probeTimeout limits a probe of a server. It allows for many round trips between
	// zones.
	probeTimeout = 300 * time.Millisecond
	// publishInterval limits the age of ConfirmedAt, CutOff and UnresponsiveSince in the
	// published snapshot.
	publishInterval = 500 * time.Millisecond
	// pauseThreshold is the time without a wake-up after which a pause of the process is
	// logged. The machine wakes up at least every publishInterval, and timers fire
	// slightly late.
	pauseThreshold = 2 * publishInterval
	// buildIntervalPerServer, multiplied by the number of servers, is the minimum time
	// between two builds of the registry's part of a snapshot, up to maxBuildInterval. A
	// build takes about 1.2 us per server (BenchmarkTableRebuild), so builds use at most
	// 4% of a core.
	buildIntervalPerServer = 30 * time.Microsecond
	maxBuildInterval       = 200 * time.Millisecond
)

// machine decides what to read from the registry and how to apply the results. It is used
// by the control goroutine only and has no channels, locks or clock of its own.
type machine struct {
	zone    model.Zone
	random  *rand.Rand
	log     logr.Logger
	catalog *catalog.Catalog
	feed    feed
	effects []effect

	now      model.Time
	nextWake model.Time

	timing  timing
	peers   peers
	changed bool // the snapshot must be rebuilt

	checking          bool
	checkAt           model.Time
	checkSentAt       model.Time
	checkJitter       time.Duration
	failedChecks      int
	registryReachable bool
	missing           catalog.Position // of the registry, while the catalog lacks it; zero for none
	missingAsOf       model.Time       // when the registry was at that position
	missingSince      model.Time
	restoredAt        model.Time // when the catalog last entered a new epoch; 0 for never
	confirmedAt       model.Time
	expireAt          model.Time
	changesAt         model.Time // when the snapshot next changes without an event; 0 for never
	publishAt         model.Time
	builtAt           model.Time
	builtAsHome       bool // knowsZone at builtAt
	sequence          uint64
	snapshot          *steering.Snapshot // the snapshot to publish; nil if there is no new one
	builtSnapshot     steering.Snapshot  // the last built snapshot, without the fields that publish sets
	runningProbes     int
	// probeLimit is the number of probes that may be in progress, and probeLimitCutAt when it
	// was last halved.
	probeLimit      int
	probeLimitCutAt model.Time
	lag             lagMeter
	// lastAnsweredCallAt is the latest send time of the checks of the registry and calls
	// to other instances that were answered in time.
	lastAnsweredCallAt model.Time
	counts             Counts
	lookups            lookups
	ends               ends
	loads              loads
	recoveries         recoveries
}

// Counts holds the numbers of calls and events since the start. Failures counts failed
// listings, watches and checks; Restores counts restores of
// the registry that the catalog has followed; Probes counts probes of servers, RepeatedProbes
// those of them that were repeated for an unreachable server, and LateProbes those that failed
// while this instance ran late.
type Counts struct {
	Lists, Watches, Checks, Failures, Compactions, Restores, MissedChanges, UnusableEntries, Probes, RepeatedProbes, LateProbes, Pulls uint64
	// LagMs is how late a timer of the control goroutine fired at most in the last seconds,
	// in milliseconds.
	LagMs uint64
}

func newMachine(o Options) *machine {
	random := rand.New(rand.NewPCG(o.Seed, o.Seed^0x9e3779b97f4a7c15))
	o.Catalog.NewFlowLimit = o.Bounds.newFlowLimit()
	m := &machine{zone: o.Self.Zone, random: random, log: o.Log, catalog: catalog.New(o.Catalog),
		timing: timingFor(o.Bounds), lookups: newLookups(), ends: newEnds(), recoveries: newRecoveries(), loads: newLoads(&o), probeLimit: maxConcurrentProbes}
	m.peers = peers{seeds: o.Seeds, table: member.New(o.Self, random), calls: map[uint32]*pendingCall{}, partials: map[model.InstanceID]*partialChanges{}, unresponsiveSince: map[model.Zone]model.Time{}, lostAt: map[model.InstanceID]model.Time{}, reportedAt: map[catalog.ServerRun]model.Time{},
		lastMessageAt: map[model.Zone]model.Time{}}
	m.peers.setMembers([]model.Member{o.Self})
	m.peers.table.SetDeadRetention(deadRetention)
	m.peers.table.LimitContacts(contactsPerZone, dutyKey)
	return m
}

// handle processes an event; nil means that the timer fired.
func (m *machine) handle(now model.Time, e event) {
	if gap := now.Sub(m.now); m.now != 0 && gap > pauseThreshold {
		m.log.Info("the process stood still", "for_ms", gap.Milliseconds())
	}
	m.now = now
	if e == nil && m.nextWake != 0 {
		m.recordLag(now.Sub(m.nextWake))
	}
	switch e := e.(type) {
	case evChanges:
		m.readDone(e)
	case evChecked:
		m.checkDone(e)
	case evMessage:
		m.receive(e.message)
	case evSeeds:
		m.peers.seeds = e.seeds
	case evLeave:
		m.peers.table.Leave()
	case evUnknownToken:
		m.unknownToken(e.token)
	case evSuspect:
		m.catalog.MarkSuspect(e.at, e.run)
	case evProbed:
		m.probeDone(e)
	case evLoad:
		m.addOwnLoad(e.report)
	case evMonitored:
		m.monitorDone(e)
	}
	m.runDue()
}

// runDue starts everything that is due and sets the time of the next wake-up.
func (m *machine) runDue() {
	m.nextWake = m.now.Add(publishInterval)
	m.maintainPeers()
	m.pull()
	m.startCheck()
	m.startRead()
	m.startProbes()
	m.startMonitors()
	if !m.now.Before(m.expireAt) {
		m.catalog.Expire(m.now)
		m.expireReports()
		m.expireAt = m.now.Add(time.Second)
	}
	m.releaseHeldZones()
	m.maintainLoads()
	m.publish()
	m.lookUpTokens()
	m.sendEndReports()
	m.sendRecoveries()
}

// scheduleWake schedules a wake-up at the given time unless an earlier one is scheduled.
func (m *machine) scheduleWake(at model.Time) {
	if at.Before(m.nextWake) {
		m.nextWake = max(at, m.now.Add(time.Millisecond))
	}
}

// startProbes starts the server probes that are due.
func (m *machine) startProbes() {
	due, next := m.catalog.DueProbes(m.now, max(0, m.probeLimit-m.runningProbes), m.zoneReachable)
	for _, p := range due {
		m.suspectZone(p.Server.Zone)
		m.runningProbes++
		m.counts.Probes++
		if p.Repeated {
			m.counts.RepeatedProbes++
		}
		m.effects = append(m.effects, effProbe{p, m.now})
	}
	if len(due) > 0 {
		// If another instance or the registry answers in the meantime, a failed probe was
		// not caused by the link of this instance or by a pause of its process.
		if to, ok := m.peers.table.RandomNotDead(nil); ok {
			m.probePeer(to)
		}
		if zoneMember := m.peers.members.OwnerExcept(m.zone, uint64(m.now), m.peers.table.Self().ID); zoneMember != nil {
			m.probePeer(*zoneMember)
		}
		if m.peers.members.LiveCount() <= 1 {
			m.checkAt = m.now // no other instance is live, so the registry has to answer
		}
	}
	if next != 0 && m.runningProbes < m.probeLimit {
		m.scheduleWake(next)
	}
}

// recordAnswer records that a call that was sent at the given time was answered.
func (m *machine) recordAnswer(sentAt model.Time) {
	m.lastAnsweredCallAt = max(m.lastAnsweredCallAt, sentAt)
}

// probeDone records the result of a server probe. A failure counts only if it was processed in
// time and some call that was sent since the start of the probe was answered. That of a
// repeated probe leaves what is known.
func (m *machine) probeDone(e evProbed) {
	m.runningProbes--
	inTime := m.probeInTime(&e)
	if e.repeated && e.result == belief.Unreachable {
		m.catalog.RecordFailedRepeat(e.sentAt, m.now, e.server.Run())
		m.leaveRepeats(&e.server)
		return
	}
	if e.repeated || e.result == belief.Reachable {
		m.reportRecovery(&e.server, e.result)
	}
	if e.result == belief.Unreachable && (!inTime || m.lastAnsweredCallAt.Before(e.sentAt)) {
		e.result = belief.ProbeUnknown
	}
	if m.recordProbe(&e.server, e.sentAt, e.result) {
		m.log.Info("server probed", "server", e.server.ID, "zone", e.server.Zone, "reach", e.result.String(),
			"after_ms", e.elapsed.Milliseconds(), "processed_ms", m.now.Sub(e.sentAt).Milliseconds())
	}
	if e.result == belief.ProbeUnknown && !inTime {
		m.catalog.MarkSuspect(m.now, e.server.Run())
	}
}

// recordProbe records what a probe or a monitor showed, and tells the other instances about a
// failure. It reports whether the result differs from the previous one.
func (m *machine) recordProbe(server *catalog.ServerEntry, sentAt model.Time, result belief.ProbeResult) bool {
	_, answeredBefore := m.catalog.EndSeen(server.Run())
	lostBefore := m.catalog.Lost(server.Run())
	changed := m.catalog.RecordProbe(sentAt, m.now, server.Run(), result)
	_, answered := m.catalog.EndSeen(server.Run())
	if lostBefore && result == belief.Reachable {
		m.reportDoubt(server)
	}
	if result == belief.Ended || answered && !answeredBefore {
		m.reportEnd(server)
	}
	if result == belief.Unreachable || result == belief.Ended {
		m.leaveRepeats(server)
		if changed {
			m.reportServer(server)
		}
	}
	return changed
}

// publish builds the next snapshot if anything changed, but not more often than
// buildIntervalPerServer allows. Otherwise it republishes the last one with current times
// every publishInterval.
func (m *machine) publish() {
	m.changed = m.catalog.TakeChanged() || m.changed || m.changesAt != 0 && !m.now.Before(m.changesAt) || m.knowsZone() != m.builtAsHome
	earliest := m.builtAt.Add(min(buildIntervalPerServer*time.Duration(m.catalog.ServerCount()), maxBuildInterval))
	build := m.changed && !m.now.Before(earliest)
	if m.changed && !build {
		m.scheduleWake(earliest)
	}
	if !build && !m.loads.changed && m.now.Before(m.publishAt) {
		m.scheduleWake(m.publishAt)
		m.scheduleNextChange()
		return
	}
	if build {
		m.changed, m.builtAt, m.builtAsHome = false, m.now, m.knowsZone()
		m.builtSnapshot = steering.Snapshot{Zone: m.zone, InstancesInZone: max(1, m.peers.members.LiveCountIn(m.zone))}
		m.changesAt = m.catalog.Fill(m.now, &m.builtSnapshot, m.isHome)
		m.slotsChanged()
	}
	m.publishAt = m.now.Add(publishInterval)
	m.scheduleNextChange()
	m.lookups.expire(m.now, m.builtSnapshot.Servers)
	if !m.catalog.Ready() {
		return
	}
	m.sequence++
	s := m.builtSnapshot
	s.Sequence, s.ConfirmedAt, s.CutOff = m.sequence, m.confirmedAt, m.peers.cutOff
	s.EndedTokens = m.lookups.endedTokens()
	s.Registry = steering.RegistryView{Epoch: m.feed.epoch, Revision: m.feed.revision, RestoredAt: m.restoredAt, HeldZones: m.catalog.HeldZones(),
		UnusableEntries: m.catalog.UnusableEntries()}
	s.Room, m.loads.changed = m.loads.view, false
	s.FreshFor, s.UnresponsiveSince = m.timing.staleAfter, m.unresponsiveZones()
	m.snapshot = &s
}

// scheduleNextChange schedules a wake-up for the next change of the snapshot that needs no
// event, such as the end of a cold start.
func (m *machine) scheduleNextChange() {
	if m.changesAt != 0 {
		m.scheduleWake(m.changesAt)
	}
}

func (m *machine) takeEffects() []effect {
	f := m.effects
	m.effects = nil
	return f
}

func (m *machine) takeSnapshot() *steering.Snapshot {
	s := m.snapshot
	m.snapshot = nil
	return s
}
