package registry

import (
	"cmp"
	"errors"
	"slices"
	"time"

	"github.com/savorytiller/savorytiller/internal/core/catalog"
	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/port"
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

// read starts a listing or a watch unless one runs. An instance that does not watch
// reads what it knows to have missed.
func (m *machine) read() {
	f := &m.feed
	if f.running || f.listed && !m.watches() && m.behind == 0 {
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
		wait := watchWait
		if !m.watches() {
			wait = catchUpWait
		}
		m.effects = append(m.effects, effWatch{f.generation, f.revision, wait})
		return
	}
	m.counts.Lists++
	m.effects = append(m.effects, effList{f.generation})
}

// changes takes the result of a listing or a watch.
func (m *machine) changes(e evChanges) {
	f := &m.feed
	if e.generation != f.generation {
		return
	}
	f.running = false
	if e.err != nil {
		m.readFailed(e)
		return
	}
	f.retry = 0
	m.reached()
	if e.whole {
		m.takeListing(e.changes)
		m.behindAt = m.now // an old listing may lack what a watch brings
		return
	}
	// Changes that follow at once come with one more call.
	f.retryAt = m.now.Add(gatherTime)
	after := f.revision
	m.advance(e.changes.Entries, e.changes.Revision, false)
	if news := laterThan(after, e.changes.Entries); len(news) > 0 {
		m.share(newUpdate(after, false, news))
	}
}

// takeListing takes a complete listing. What it changes goes to the log and to
// others like changes that a watch brings.
func (m *machine) takeListing(whole catalog.Changes) {
	after := m.feed.revision
	changes := append(m.catalog.ImpliedRemovals(&whole), laterThan(after, whole.Entries)...)
	slices.SortStableFunc(changes, func(a, b catalog.Entry) int { return cmp.Compare(a.Revision, b.Revision) })
	m.feed.listed = true
	if after == 0 {
		m.peers.log.Reset(whole.Revision)
	}
	if m.advance(changes, whole.Revision, after != 0) && after != 0 && len(changes) > 0 {
		m.share(newUpdate(after, true, changes))
	}
}

// share passes on what this instance has read itself. Those without a duty only tell
// that there is something, because many of them may read the same at the same time.
func (m *machine) share(u *update) {
	if !m.watches() && !m.relays() {
		u = nil
	}
	m.tell(u, m.watches())
}

// laterThan returns the entries with a later revision.
func laterThan(revision uint64, entries []catalog.Entry) []catalog.Entry {
	var later []catalog.Entry
	for i := range entries {
		if entries[i].Revision > revision {
			later = append(later, entries[i])
		}
	}
	return later
}

// advance applies entries that complete the belief up to a revision; leaps says
// that they are what a listing shows. It reports false, and applies nothing from
// then on, if an entry lacks its base.
func (m *machine) advance(entries []catalog.Entry, revision uint64, leaps bool) bool {
	if !m.apply(entries) {
		return false
	}
	m.peers.log.SetServerCount(m.catalog.ServerCount())
	if leaps {
		m.peers.log.AddCompacted(m.feed.revision, revision, entries)
	} else {
		m.peers.log.Add(entries)
	}
	m.feed.revision = max(m.feed.revision, revision)
	if m.behind != 0 && m.feed.revision >= m.behind {
		m.behind = 0
		m.confirmAll(m.checkSent)
	}
	return true
}

// readFailed plans the next try.
func (m *machine) readFailed(e evChanges) {
	f := &m.feed
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

func (m *machine) apply(entries []catalog.Entry) bool {
	for i := range entries {
		e := &entries[i]
		switch effect := m.catalog.Apply(m.now, e); effect {
		case catalog.Unchanged:
		case catalog.MissingBase:
			return false
		case catalog.Ignored:
			m.counts.Ignored++
			m.log.Info("entry can't be used", "key", e.Key, "revision", e.Revision, "error", e.Err.Error())
		default:
			m.logEffect(effect, e)
		}
	}
	return true
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
// deliver what it names. An instance that does not watch checks only if the
// watcher's news stay away.
func (m *machine) check() {
	if m.behind != 0 && m.feed.listed {
		at := m.behindAt.Add(settleTime)
		if !m.watches() {
			at = m.behindAt.Add(catchUpTime)
		}
		if m.now.Before(at) {
			m.wake(at)
		} else {
			m.relist()
		}
	}
	if m.checking || !m.feed.listed {
		return
	}
	at := m.checkAt
	if !m.watches() {
		at = max(at, m.confirmed.Add(m.pace.stale+m.jitter))
		if !m.relays() {
			at = at.Add(relayLead)
		}
	}
	if m.now.Before(at) {
		m.wake(at)
		return
	}
	m.checking, m.checkSent = true, m.now
	m.counts.Checks++
	m.effects = append(m.effects, effCheck{})
}

// relist gives the watch up and lists the registry.
func (m *machine) relist() {
	m.counts.Missed++
	m.log.Info("a change was missed, listing again", "known", m.feed.revision, "revision", m.behind)
	m.startOver()
}

// startOver gives up what runs and lists the registry.
func (m *machine) startOver() {
	m.feed = feed{generation: m.feed.generation + 1, revision: m.feed.revision}
	m.effects = append(m.effects, effCancel{})
}

func (m *machine) checked(e evChecked) {
	m.checking = false
	m.checkAt = m.checkSent.Add(m.pace.check*3/4 + time.Duration(m.random.Int64N(int64(m.pace.check/2))))
	m.jitter = time.Duration(m.random.Int64N(int64(staleJitter)))
	if e.err != nil {
		m.checkFailed(e.err)
		return
	}
	m.reached()
	m.linkWorked(m.checkSent)
	switch {
	case !m.feed.listed:
	case e.revision <= m.feed.revision:
		m.behind = 0
		m.confirmAll(m.checkSent)
	default:
		if m.behind == 0 {
			m.behindAt = m.now
		}
		m.behind = e.revision
	}
}

func (m *machine) checkFailed(err error) {
	m.counts.Failures++
	m.failed++
	m.checkAt = m.now.Add(firstRetry + time.Duration(m.random.Int64N(int64(maxRetry))))
	if errors.Is(err, port.ErrBusy) || m.failed < lostAfter || !m.contact {
		return
	}
	m.contact = false
	m.catalog.SetRegistryReachable(m.now, false)
	m.log.Info("registry lost", "error", err.Error(), "confirmed_ms_ago", m.now.Sub(m.confirmed).Milliseconds())
	// Connections may be silent for good, that of the watch among them.
	m.effects = append(m.effects, effCancel{})
	m.feed.generation++
	m.feed.running = false
}

// reached notes that the registry answered.
func (m *machine) reached() {
	m.failed = 0
	if !m.contact {
		m.contact = true
		m.catalog.SetRegistryReachable(m.now, true)
		m.log.Info("registry reached")
	}
}

// confirm notes that the belief held everything at a time.
func (m *machine) confirm(at model.Time) { m.confirmed = max(m.confirmed, at) }

// confirmAll confirms by an own reading, which others learn too: all zones from the
// watcher, else the own one.
func (m *machine) confirmAll(at model.Time) {
	m.confirm(at)
	m.tell(nil, m.watches())
}
