package registry

import (
	"errors"
	"math/rand/v2"
	"time"

	"github.com/go-logr/logr"

	"github.com/savorytiller/savorytiller/internal/core/catalog"
	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/core/steering"
	"github.com/savorytiller/savorytiller/internal/port"
)

// Times of the control goroutine.
const (
	// checkEvery is how often the registry's revision is read beside the watch,
	// because a watch may hear nothing although something changed. With settleTime
	// and a listing it stays below the time for a configuration to be in force.
	checkEvery = time.Second
	// settleTime is how long the watch may take to deliver what a check named.
	settleTime = 300 * time.Millisecond
	// watchWait is the longest wait of a watch. A watch that is silent for good
	// is noticed earlier, by a check.
	watchWait = 15 * time.Second
	// callLimit bounds a check and a listing.
	callLimit = 800 * time.Millisecond
	listLimit = 2 * time.Second
	// firstRetry and maxRetry bound the pause after a call that failed.
	firstRetry = 100 * time.Millisecond
	maxRetry   = 800 * time.Millisecond
	// lostAfter is the number of failed checks in a row after which the registry
	// counts as out of contact.
	lostAfter = 2
	// probeLimit bounds a probe: many round trips between zones.
	probeLimit = 300 * time.Millisecond
	// maxProbes bounds the probes that run at a time.
	maxProbes = 8
	// publishEvery bounds the age of what a snapshot says of the contact.
	publishEvery = 500 * time.Millisecond
)

// feed is the state of following the registry.
type feed struct {
	// listed is set once a listing was taken; revision is what the belief
	// is complete up to.
	listed   bool
	revision uint64
	// running is set while a listing or a watch runs. generation tells the
	// results of the present one from those of one that was given up.
	running    bool
	generation int
	retryAt    model.Time
	retry      time.Duration
}

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

	checking   bool
	checkAt    model.Time
	checkSent  model.Time
	failed     int
	contact    bool
	contactAt  model.Time
	behind     uint64 // revision that a check named and the belief lacks; 0 for none
	behindAt   model.Time
	confirmed  model.Time
	expireAt   model.Time
	changesAt  model.Time
	publishAt  model.Time
	sequence   uint64
	snapshot   *steering.Snapshot
	registered steering.Snapshot // the parts of the last snapshot from the registry
	probing    int
	counts     Counts
}

// Counts are the calls and events since the start.
type Counts struct {
	Lists, Watches, Checks, Failures, Compactions, Missed, Ignored, Probes uint64
}

func newMachine(o Options) *machine {
	return &machine{zone: o.Zone, random: rand.New(rand.NewPCG(o.Seed, o.Seed^0x9e3779b97f4a7c15)), log: o.Log,
		catalog: catalog.New(o.Catalog)}
}

// handle takes an event; nil stands for the timer.
func (m *machine) handle(now model.Time, e event) {
	m.now = now
	switch e := e.(type) {
	case evChanges:
		m.changes(e)
	case evChecked:
		m.checked(e)
	case evSuspect:
		m.catalog.Suspect(e.server, e.started)
	case evProbed:
		m.probed(e)
	}
	m.work()
}

// work starts what is due and sets the next wake-up.
func (m *machine) work() {
	m.next = m.now.Add(publishEvery)
	m.check()
	m.read()
	m.probe()
	if !m.now.Before(m.expireAt) {
		m.catalog.Expire(m.now)
		m.expireAt = m.now.Add(time.Second)
	}
	m.publish()
}

func (m *machine) wake(at model.Time) {
	if at.Before(m.next) {
		m.next = max(at, m.now.Add(time.Millisecond))
	}
}

// read starts a listing or a watch unless one runs.
func (m *machine) read() {
	f := &m.feed
	if f.running {
		return
	}
	if m.now.Before(f.retryAt) {
		m.wake(f.retryAt)
		return
	}
	f.running = true
	f.generation++
	if f.listed {
		m.counts.Watches++
		m.effects = append(m.effects, effWatch{f.generation, f.revision})
		return
	}
	m.counts.Lists++
	m.effects = append(m.effects, effList{f.generation})
}

// probe starts the probes that are due.
func (m *machine) probe() {
	due, next := m.catalog.DueProbes(m.now, maxProbes-m.probing)
	for _, p := range due {
		m.probing++
		m.counts.Probes++
		m.effects = append(m.effects, effProbe{p, m.now})
	}
	if next != 0 && m.probing < maxProbes {
		m.wake(next)
	}
}

func (m *machine) probed(e evProbed) {
	m.probing--
	if m.catalog.Probed(e.sentAt, m.now, e.server.ID, e.server.Started, e.reach) {
		m.log.Info("server probed", "server", e.server.ID, "zone", e.server.Zone, "reach", e.reach.String(),
			"after_ms", e.elapsed.Milliseconds())
	}
}

// changes takes the result of a listing or a watch.
func (m *machine) changes(e evChanges) {
	f := &m.feed
	if e.generation != f.generation {
		return
	}
	f.running = false
	if e.err != nil {
		m.readFailed(f, e)
		return
	}
	f.retry = 0
	m.reached()
	if e.whole {
		missing := m.catalog.Missing(&e.changes)
		m.apply(missing)
		f.listed = true
	}
	m.apply(e.changes.Entries)
	f.revision = max(f.revision, e.changes.Revision)
	if m.behind != 0 && f.revision >= m.behind {
		m.behind = 0
		m.confirm(m.checkSent)
	}
}

// readFailed plans the next try.
func (m *machine) readFailed(f *feed, e evChanges) {
	m.counts.Failures++
	if errors.Is(e.err, port.ErrCompacted) {
		m.counts.Compactions++
		f.listed = false
		m.log.Info("history was compacted, listing again", "revision", f.revision)
		return
	}
	f.retry = min(max(firstRetry, 2*f.retry), maxRetry)
	f.retryAt = m.now.Add(f.retry/2 + time.Duration(m.random.Int64N(int64(f.retry))))
	m.log.V(1).Info("read failed", "whole", e.whole, "error", e.err.Error())
}

func (m *machine) apply(entries []catalog.Entry) {
	for i := range entries {
		e := &entries[i]
		switch effect := m.catalog.Apply(m.now, e); effect {
		case catalog.Unchanged:
		case catalog.Ignored:
			m.counts.Ignored++
			m.log.Info("entry can't be used", "key", e.Key, "revision", e.Revision, "error", e.Problem.Error())
		default:
			m.logEffect(effect, e)
		}
	}
}

func (m *machine) logEffect(effect catalog.Effect, e *catalog.Entry) {
	switch effect {
	case catalog.ConfigurationInForce:
		m.log.Info("configuration in force", "version", e.Config.Version, "revision", e.Revision,
			"routes", len(e.Config.Routes), "services", len(e.Config.Services))
	case catalog.ServerListed:
		s := e.Server
		m.log.Info("server listed", "server", s.ID, "service", s.Service, "zone", s.Zone, "state", s.State.String(),
			"cold_ms", s.ColdFor.Milliseconds(), "started", s.Started, "revision", e.Revision)
	case catalog.ServerRemoved:
		m.log.Info("server removed", "key", e.Key, "revision", e.Revision)
	case catalog.ZoneWithdrawn, catalog.ZoneReturned:
		m.log.Info("zone changed", "key", e.Key, "withdrawn", effect == catalog.ZoneWithdrawn, "revision", e.Revision)
	}
}

// check reads the registry's revision, and lists again if the watch does not
// deliver what it names.
func (m *machine) check() {
	if m.behind != 0 {
		if at := m.behindAt.Add(settleTime); m.now.Before(at) {
			m.wake(at)
		} else {
			m.relist()
		}
	}
	if m.checking {
		return
	}
	if m.now.Before(m.checkAt) {
		m.wake(m.checkAt)
		return
	}
	if !m.feed.listed {
		return
	}
	m.checking, m.checkSent = true, m.now
	m.counts.Checks++
	m.effects = append(m.effects, effCheck{})
}

// relist gives the watch up and lists the registry.
func (m *machine) relist() {
	m.counts.Missed++
	m.log.Info("watch missed a change, listing again", "known", m.feed.revision, "revision", m.behind)
	m.behindAt = m.now.Add(listLimit)
	m.feed = feed{generation: m.feed.generation + 1, revision: m.feed.revision}
	m.effects = append(m.effects, effCancel{})
}

func (m *machine) checked(e evChecked) {
	m.checking = false
	m.checkAt = m.checkSent.Add(checkEvery*3/4 + time.Duration(m.random.Int64N(int64(checkEvery/2))))
	if e.err != nil {
		m.checkFailed(e.err)
		return
	}
	m.reached()
	if e.revision <= m.feed.revision {
		m.behind = 0
		m.confirm(m.checkSent)
		return
	}
	if m.behind == 0 {
		m.behindAt = m.now
	}
	m.behind = e.revision
}

func (m *machine) checkFailed(err error) {
	m.counts.Failures++
	m.failed++
	m.checkAt = m.now.Add(firstRetry + time.Duration(m.random.Int64N(int64(maxRetry))))
	if errors.Is(err, port.ErrBusy) || m.failed < lostAfter || !m.contact {
		return
	}
	m.contact = false
	m.catalog.SetContact(m.now, false)
	m.log.Info("registry lost", "error", err.Error(), "confirmed_ms_ago", m.now.Sub(m.confirmed).Milliseconds())
	// Connections may be silent for good, watches among them.
	m.effects = append(m.effects, effCancel{})
	m.feed.generation++
	m.feed.running = false
}

// reached notes that the registry answered.
func (m *machine) reached() {
	m.failed = 0
	if !m.contact {
		m.contact, m.contactAt = true, m.now
		m.catalog.SetContact(m.now, true)
		m.log.Info("registry reached")
	}
}

// confirm notes that the belief held everything at a time.
func (m *machine) confirm(at model.Time) { m.confirmed = max(m.confirmed, at) }

// publish builds the next snapshot if there is something new.
func (m *machine) publish() {
	changed := m.catalog.TakeChanged() || m.changesAt != 0 && !m.now.Before(m.changesAt)
	if !changed && m.now.Before(m.publishAt) {
		m.wake(m.publishAt)
		m.wakeForChange()
		return
	}
	if changed {
		m.registered = steering.Snapshot{Zone: m.zone}
		m.changesAt = m.catalog.Fill(m.now, &m.registered)
	}
	m.publishAt = m.now.Add(publishEvery)
	m.wakeForChange()
	if !m.catalog.Complete() {
		return
	}
	m.sequence++
	s := m.registered
	s.Sequence, s.ConfirmedAt = m.sequence, m.confirmed
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
