package registry

import (
	"math/rand/v2"
	"time"

	"github.com/go-logr/logr"

	"github.com/savorytiller/savorytiller/internal/core/catalog"
	"github.com/savorytiller/savorytiller/internal/core/member"
	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/core/steering"
)

// Times of the control goroutine.
const (
	// settleTime is how long the watch may take to deliver what a check named.
	settleTime = 300 * time.Millisecond
	// watchWait is the longest wait of a watch. A watch that is silent for good
	// is noticed earlier, by a check.
	watchWait = 15 * time.Second
	// catchUpWait is the wait of an instance that reads for itself what it knows to be
	// there, and catchUpTime how long it may take before it lists instead.
	catchUpWait = 100 * time.Millisecond
	catchUpTime = 150 * time.Millisecond
	// gatherTime is the pause before the next watch after one that brought
	// changes, so that a series of changes takes a few calls.
	gatherTime = 100 * time.Millisecond
	// callLimit bounds a check.
	callLimit = 800 * time.Millisecond
	// firstRetry and maxRetry bound the pause after a call that failed.
	firstRetry = 100 * time.Millisecond
	maxRetry   = 800 * time.Millisecond
	// lostAfter is the number of failed checks in a row after which the registry
	// counts as out of contact.
	lostAfter = 2
	// probeLimit bounds a probe: many round trips between zones.
	probeLimit = 300 * time.Millisecond
	// maxProbes bounds the probes that run at a time: those of the servers of a zone
	// that is cut off, which all take probeLimit.
	maxProbes = 32
	// publishEvery bounds the age of what a snapshot says of the contact.
	publishEvery = 500 * time.Millisecond
	// stillAfter is the time without a wake-up after which the process has stood
	// still: it wakes at least every publishEvery, and timers fire slightly late.
	stillAfter = 2 * publishEvery
	// buildPause is the least time between two builds of the parts of a snapshot that
	// come from the registry, for each server, and maxBuildPause bounds it. A build
	// takes about 1.2 us a server (BenchmarkTableRebuild), so it costs at most 4 % of a core.
	buildPause    = 30 * time.Microsecond
	maxBuildPause = 200 * time.Millisecond
)

// pace holds the times that follow from the bound within which a configuration
// has to be in force.
type pace struct {
	// check is how often the registry's revision is read beside the watch, because
	// a watch may hear nothing although something changed. With settleTime and a
	// listing it stays below the bound.
	check time.Duration
	// stale is the age of the confirmation after which an instance that does not
	// watch reads the revision itself: longer than the time between two
	// confirmations by the watcher, with time left to list.
	stale time.Duration
}

func paceOf(bound time.Duration) pace { return pace{check: bound / 3, stale: bound / 2} }

// machine decides what to read from the registry and what it means. It runs in
// the control goroutine only; it has no channel, lock or clock.
type machine struct {
	zone    model.Zone
	random  *rand.Rand
	log     logr.Logger
	catalog *catalog.Catalog
	feed    feed
	effects []effect

	now  model.Time
	next model.Time

	pace    pace
	peers   peers
	changed bool // the snapshot needs to be built again

	checking   bool
	checkAt    model.Time
	checkSent  model.Time
	jitter     time.Duration
	failed     int
	contact    bool
	behind     uint64 // revision that a check named and the belief lacks; 0 for none
	behindAt   model.Time
	confirmed  model.Time
	expireAt   model.Time
	changesAt  model.Time
	publishAt  model.Time
	builtAt    model.Time
	sequence   uint64
	snapshot   *steering.Snapshot
	registered steering.Snapshot // the parts of the last snapshot from the registry
	probing    int
	// linkWorkedAt is when the last call of an instance or of the registry was sent
	// that got an answer in time.
	linkWorkedAt model.Time
	counts       Counts
}

// Counts are the calls and events since the start.
type Counts struct {
	Lists, Watches, Checks, Failures, Compactions, Missed, Ignored, Probes, Pulls uint64
}

func newMachine(o Options) *machine {
	random := rand.New(rand.NewPCG(o.Seed, o.Seed^0x9e3779b97f4a7c15))
	m := &machine{zone: o.Self.Zone, random: random, log: o.Log, catalog: catalog.New(o.Catalog),
		pace: paceOf(o.ConfigBound)}
	m.peers = peers{seeds: o.Seeds, table: member.New(o.Self, random), calls: map[uint32]*pendingCall{}, partials: map[model.InstanceID]*partial{}, silent: map[model.Zone]model.Time{}, told: map[model.ServerID]model.Time{},
		heard: map[model.Zone]model.Time{}}
	m.peers.place([]model.Member{o.Self})
	m.peers.table.SetDeadRetention(keepDead)
	return m
}

// handle takes an event; nil stands for the timer.
func (m *machine) handle(now model.Time, e event) {
	if gap := now.Sub(m.now); m.now != 0 && gap > stillAfter {
		m.log.Info("the process stood still", "for_ms", gap.Milliseconds())
	}
	m.now = now
	switch e := e.(type) {
	case evChanges:
		m.changes(e)
	case evChecked:
		m.checked(e)
	case evMessage:
		m.receive(e.message)
	case evSeeds:
		m.peers.seeds = e.seeds
	case evLeave:
		m.peers.table.Leave()
	case evSuspect:
		m.catalog.MarkSuspect(e.server, e.started)
	case evProbed:
		m.probed(e)
	}
	m.work()
}

// work starts what is due and sets the next wake-up.
func (m *machine) work() {
	m.next = m.now.Add(publishEvery)
	m.exchange()
	m.pull()
	m.check()
	m.read()
	m.probe()
	if !m.now.Before(m.expireAt) {
		m.catalog.Expire(m.now)
		m.forgetTold()
		m.expireAt = m.now.Add(time.Second)
	}
	m.publish()
}

func (m *machine) wake(at model.Time) {
	if at.Before(m.next) {
		m.next = max(at, m.now.Add(time.Millisecond))
	}
}

// probe starts the probes that are due.
func (m *machine) probe() {
	due, next := m.catalog.DueProbes(m.now, maxProbes-m.probing, m.heardZone)
	for _, p := range due {
		m.doubt(p.Server.Zone)
		m.probing++
		m.counts.Probes++
		m.effects = append(m.effects, effProbe{p, m.now})
	}
	if len(due) > 0 {
		// Another instance or the registry that answers meanwhile shows that the
		// failure of a probe is not that of the own link or process.
		if to, ok := m.peers.table.RandomLive(nil); ok {
			m.probePeer(to)
		}
		if near := m.peers.placed.OwnerExcept(m.zone, uint64(m.now), m.peers.table.Self().ID); near != nil {
			m.probePeer(*near)
		}
		if m.peers.placed.LiveCount() <= 1 {
			m.checkAt = m.now // no instance can show it, so the registry has to
		}
	}
	if next != 0 && m.probing < maxProbes {
		m.wake(next)
	}
}

// linkWorked notes that something sent at the given time got an answer.
func (m *machine) linkWorked(sentAt model.Time) { m.linkWorkedAt = max(m.linkWorkedAt, sentAt) }

func (m *machine) probed(e evProbed) {
	m.probing--
	if e.reach == catalog.Unreachable && m.linkWorkedAt.Before(e.sentAt) {
		e.reach = catalog.ProbeUnknown
	}
	if m.catalog.RecordProbe(e.sentAt, m.now, e.server.ID, e.server.Started, e.reach) {
		m.log.Info("server probed", "server", e.server.ID, "zone", e.server.Zone, "reach", e.reach.String(),
			"after_ms", e.elapsed.Milliseconds())
		if e.reach == catalog.Unreachable || e.reach == catalog.Ended {
			m.tellSuspect(&e.server)
		}
	}
}

// publish builds the next snapshot if there is something new.
func (m *machine) publish() {
	m.changed = m.catalog.TakeChanged() || m.changed || m.changesAt != 0 && !m.now.Before(m.changesAt)
	buildAt := m.builtAt.Add(min(buildPause*time.Duration(m.catalog.ServerCount()), maxBuildPause))
	build := m.changed && !m.now.Before(buildAt)
	if m.changed && !build {
		m.wake(buildAt)
	}
	if !build && m.now.Before(m.publishAt) {
		m.wake(m.publishAt)
		m.wakeForChange()
		return
	}
	if build {
		m.changed, m.builtAt = false, m.now
		m.registered = steering.Snapshot{Zone: m.zone, InstancesInZone: max(1, m.peers.placed.LiveCountIn(m.zone))}
		m.changesAt = m.catalog.Fill(m.now, &m.registered, m.home)
	}
	m.publishAt = m.now.Add(publishEvery)
	m.wakeForChange()
	if !m.catalog.Ready() {
		return
	}
	m.sequence++
	s := m.registered
	s.Sequence, s.ConfirmedAt, s.CutOff = m.sequence, m.confirmed, m.peers.cut
	s.FreshFor, s.UnresponsiveSince = m.pace.stale, m.silence()
	m.snapshot = &s
}

func (m *machine) wakeForChange() {
	if m.changesAt != 0 {
		m.wake(m.changesAt)
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
