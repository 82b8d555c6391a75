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

// feed is the state of reading the registry by listings and watches.
type feed struct {
	// listed is set while the catalog is complete up to revision, which belongs to epoch. A
	// new listing is needed if it is not set.
	listed          bool
	epoch, revision uint64
	// running is set while a listing or a watch is in progress. generation distinguishes
	// its result from the results of earlier ones that were cancelled.
	running    bool
	generation int
	// nextReadAt is the earliest time of the next listing or watch. It is set after a
	// failure and after each successful watch.
	nextReadAt model.Time
	// retryDelay is the mean delay after the last failure; 0 after a success.
	retryDelay time.Duration
}

// position returns how far the catalog goes.
func (f *feed) position() catalog.Position {
	return catalog.Position{Epoch: f.epoch, Revision: f.revision}
}

// startRead starts a listing or a watch unless one is in progress. Instances other than
// the watcher use a watch only to read changes that a check has shown to be missing.
func (m *machine) startRead() {
	f := &m.feed
	if f.running || f.listed && (m.missesEpoch() || !m.isWatcher() && !m.missesChanges()) {
		return
	}
	if m.now.Before(f.nextReadAt) {
		m.scheduleWake(f.nextReadAt)
		return
	}
	f.running = true
	f.generation++
	if f.listed {
		m.counts.Watches++
		wait := watchWait
		if !m.isWatcher() {
			wait = catchUpWait
		}
		m.effects = append(m.effects, effWatch{f.generation, f.revision, wait})
		return
	}
	m.counts.Lists++
	m.effects = append(m.effects, effList{f.generation})
}

// readDone processes the result of a listing or of a watch.
func (m *machine) readDone(e evChanges) {
	f := &m.feed
	if e.generation != f.generation {
		return
	}
	f.running = false
	if e.err == nil && e.changes.Epoch < f.epoch {
		e.err = errEarlierEpoch
	}
	if e.err != nil {
		m.readFailed(e)
		return
	}
	f.retryDelay = 0
	m.registryAnswered()
	if e.listing {
		m.log.Info("registry listed", "entries", len(e.changes.Entries), "revision", e.changes.Revision, "epoch", e.changes.Epoch,
			"config_version", configVersion(e.changes.Entries), "known_epoch", f.epoch, "known_revision", f.revision)
		if changes := m.applyListing(e.changes); changes != nil {
			m.distribute(changes)
		}
		m.missingSince = m.now // the listing may be older than the check; a watch delivers the rest
		return
	}
	if e.changes.Epoch > f.epoch {
		m.changesMissing(e.changes.Position(), 0)
		return
	}
	// After this pause, further changes of the same burst are read by a single call.
	f.nextReadAt = m.now.Add(batchPause)
	after := f.revision
	m.advance(e.changes.Entries, e.changes.Revision, false)
	if entries := entriesAfter(after, e.changes.Entries); len(entries) > 0 {
		m.distribute(newChangeSet(after, false, entries))
	}
}

// applyListing applies a complete listing and returns what other instances need; nil for
// nothing. The changes since the last known revision are added to the change log. The first
// listing of this instance is not for others, and the first one of an epoch is for all of
// them, whatever they know. The change log then starts at its revision.
func (m *machine) applyListing(listing catalog.Changes) *changeSet {
	after := m.feed.revision
	restored := after != 0 && listing.Epoch != m.feed.epoch
	if restored {
		m.enterEpoch(&listing)
		after = 0
	}
	newer := listing.Entries
	if after != 0 {
		newer = entriesAfter(after, newer)
	}
	changes := append(m.catalog.ImpliedRemovals(&listing), newer...)
	slices.SortStableFunc(changes, func(a, b catalog.Entry) int { return cmp.Compare(a.Revision, b.Revision) })
	m.feed.listed, m.feed.epoch = true, listing.Epoch
	if after == 0 {
		m.peers.log.Reset(listing.Revision)
	}
	applied := m.advance(changes, listing.Revision, after != 0)
	switch {
	case restored:
		m.log.Info("view moved to the restored registry", "epoch", listing.Epoch, "revision", listing.Revision,
			"config_version", m.catalog.ConfigVersion(), "listed_config_version", configVersion(listing.Entries),
			"zones_held", m.catalog.HeldZones(), "entries", len(listing.Entries))
		return newChangeSet(0, false, m.catalog.Entries())
	case applied && after != 0 && len(changes) > 0:
		return newChangeSet(after, true, changes)
	default:
		return nil
	}
}

// configVersion returns the version of the configuration among the entries, or 0.
func configVersion(entries []catalog.Entry) uint64 {
	for i := range entries {
		if c := entries[i].Config; c != nil {
			return c.Version
		}
	}
	return 0
}

// distribute sends changes that this instance read itself to other instances. An instance
// that is neither relay nor watcher sends them only down the tree and announces its new
// revision, because many such instances may read the same changes at the same time.
func (m *machine) distribute(changes *changeSet) {
	if m.isWatcher() || m.isRelay() {
		m.broadcast(changes, m.isWatcher())
		return
	}
	self := m.peers.table.Self()
	m.forward(&self, changes)
	m.broadcast(nil, false)
}

// entriesAfter returns the entries with a revision greater than the given one.
func entriesAfter(revision uint64, entries []catalog.Entry) []catalog.Entry {
	var newer []catalog.Entry
	for i := range entries {
		if entries[i].Revision > revision {
			newer = append(newer, entries[i])
		}
	}
	return newer
}

// advance applies the entries that bring the catalog to a revision. compacted means that
// they were derived from a listing. If this is the revision that the last check returned,
// the catalog is confirmed. advance stops and returns false if an entry is a delta to a
// configuration that the catalog does not have.
func (m *machine) advance(entries []catalog.Entry, revision uint64, compacted bool) bool {
	if !m.applyEntries(entries) {
		return false
	}
	m.peers.log.SetServerCount(m.catalog.ServerCount())
	if compacted {
		m.peers.log.AddCompacted(m.feed.revision, revision, entries)
	} else {
		m.peers.log.Add(entries)
	}
	m.feed.revision = max(m.feed.revision, revision)
	// Changes arrive, so those that follow are probably in transit too.
	m.peers.pullAt = max(m.peers.pullAt, m.now.Add(pullDelay))
	if m.missing != (catalog.Position{}) && !m.missing.After(m.feed.position()) {
		m.missing = catalog.Position{}
		m.confirmAndBroadcast(m.missingAsOf)
	}
	return true
}

// readFailed schedules the next attempt. If the registry has compacted changes that a watch
// needs, the next attempt is a listing without delay.
func (m *machine) readFailed(e evChanges) {
	f := &m.feed
	m.counts.Failures++
	if errors.Is(e.err, port.ErrCompacted) {
		m.counts.Compactions++
		f.listed = false
		m.log.Info("registry history was compacted, listing again", "revision", f.revision)
		return
	}
	if errors.Is(e.err, port.ErrTooLarge) && !e.listing {
		// A listing has only the latest value of each key.
		f.listed = false
		m.log.Info("changes of the registry are too large, listing again", "revision", f.revision)
		return
	}
	f.retryDelay = min(max(minRetryDelay, 2*f.retryDelay), maxRetryDelay)
	f.nextReadAt = m.now.Add(f.retryDelay/2 + time.Duration(m.random.Int64N(int64(f.retryDelay))))
	m.log.V(1).Info("listing or watch failed", "whole", e.listing, "error", e.err.Error())
}

// applyEntries applies entries to the catalog and logs their effects. It stops and returns
// false if an entry is a delta to a configuration that the catalog does not have.
func (m *machine) applyEntries(entries []catalog.Entry) bool {
	if m.catalog.RecordLapse(m.now, entries) {
		m.log.Info("most servers lost their entries at once", "entries", len(entries))
	}
	for i := range entries {
		e := &entries[i]
		switch effect := m.catalog.Apply(m.now, e); effect {
		case catalog.Unchanged:
		case catalog.MissingBase:
			return false
		case catalog.Ignored:
			m.counts.UnusableEntries++
			m.log.Info("unusable entry ignored", "key", e.Key, "revision", e.Revision, "error", e.Err.Error())
		case catalog.IgnoredAgain: // logged before
			m.counts.UnusableEntries++
		default:
			if effect == catalog.ServerListed && e.Server.Zone == m.zone {
				m.ends.scanSoon()
			}
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

// startCheck starts a check if one is due. Instances other than the watcher do a check only
// if there was no confirmation for timing.staleAfter. If a watch did not deliver the
// changes up to the revision of the last check in time, startCheck also starts a listing.
func (m *machine) startCheck() {
	if m.missesChanges() && m.feed.listed {
		if at := m.missingSince.Add(m.listingDelay()); m.now.Before(at) {
			m.scheduleWake(at)
		} else {
			m.relistMissed()
		}
	}
	if m.checking || !m.feed.listed {
		return
	}
	at := m.checkAt
	if !m.isWatcher() {
		at = max(at, m.confirmedAt.Add(m.timing.staleAfter+m.checkJitter))
		if !m.isRelay() {
			at = at.Add(m.timing.relayHeadStart)
		}
	}
	if settlingAt := m.settlingCheckAt(); settlingAt != 0 {
		at = min(at, settlingAt)
	}
	if m.now.Before(at) {
		m.scheduleWake(at)
		return
	}
	m.checking, m.checkSentAt = true, m.now
	m.counts.Checks++
	m.effects = append(m.effects, effCheck{})
}

// relistMissed starts a listing because a watch missed a change or cannot deliver it.
func (m *machine) relistMissed() {
	if !m.missesEpoch() {
		m.counts.MissedChanges++
		m.log.Info("watch missed a change, listing again", "known", m.feed.revision, "revision", m.missing.Revision)
	}
	m.relist()
}

// relist cancels all calls in progress and starts a listing.
func (m *machine) relist() {
	m.feed = feed{generation: m.feed.generation + 1, epoch: m.feed.epoch, revision: m.feed.revision}
	m.effects = append(m.effects, effCancel{})
}

// checkDone processes the result of a check. If the catalog lacks the returned revision,
// the watch in progress, or one that startRead starts, has to deliver the changes.
func (m *machine) checkDone(e evChecked) {
	m.checking = false
	m.checkAt = m.checkSentAt.Add(m.timing.checkInterval*3/4 + time.Duration(m.random.Int64N(int64(m.timing.checkInterval/2))))
	m.checkJitter = time.Duration(m.random.Int64N(int64(m.timing.checkJitter)))
	if e.err == nil && e.position.Epoch < m.feed.epoch {
		e.err = errEarlierEpoch
	}
	if e.err != nil {
		if m.now.Sub(m.checkSentAt) < checkTimeout {
			m.catalog.RegistryRefused() // without an answer only the path may have failed
		}
		m.checkFailed(e.err)
		return
	}
	m.registryAnswered()
	m.recordAnswer(m.checkSentAt)
	switch {
	case !m.feed.listed:
	case e.position.After(m.feed.position()):
		m.changesMissing(e.position, m.checkSentAt)
	default:
		m.missing = catalog.Position{}
		m.confirmAndBroadcast(m.checkSentAt)
	}
}

// checkFailed schedules the next check. From failureThreshold consecutive failures on, the
// registry counts as unreachable, unless the last error is port.ErrBusy: a busy registry
// has responded.
func (m *machine) checkFailed(err error) {
	m.counts.Failures++
	m.failedChecks++
	delay := minRetryDelay + time.Duration(m.random.Int64N(int64(maxRetryDelay)))
	if !m.isRelay() {
		// The relays go on checking, and what they find reaches the other instances. Should
		// it not, the interval of the checks leaves time for a listing within the bound.
		delay = max(delay, min(delay<<min(m.failedChecks-1, maxCheckDoublings), m.timing.checkInterval))
	}
	m.checkAt = m.now.Add(delay)
	if errors.Is(err, port.ErrBusy) || m.failedChecks < failureThreshold || !m.registryReachable {
		return
	}
	m.registryReachable = false
	m.catalog.SetRegistryReachable(m.now, false)
	m.log.Info("registry lost", "error", err.Error(), "confirmed_ms_ago", m.now.Sub(m.confirmedAt).Milliseconds())
	// The connections, including that of the watch, may be dead without an error here.
	m.effects = append(m.effects, effCancel{})
	m.feed.generation++
	m.feed.running = false
}

// registryAnswered records that the registry responded.
func (m *machine) registryAnswered() {
	m.failedChecks = 0
	since := m.now
	if m.now.Sub(m.peers.started) < listingPatience {
		since = m.peers.started // it was undisturbed when this instance started
	}
	m.catalog.SetRegistryReachable(since, true)
	if !m.registryReachable {
		m.registryReachable = true
		m.log.Info("registry reached")
	}
}

// registryAnsweredOther records that the registry answered another instance at the given
// time. If that is later than the last failed check and the start, the registry is reachable.
func (m *machine) registryAnsweredOther(at model.Time) {
	if !m.registryReachable && at.After(max(m.checkSentAt, m.peers.started)) {
		m.registryAnswered()
	}
}

// confirm records that the catalog was up to date with the registry at the given time.
func (m *machine) confirm(at model.Time) {
	m.confirmedAt = max(m.confirmedAt, at)
	before, _ := m.catalog.ZoneInDoubt(m.now, m.zone)
	m.catalog.SetConfirmed(m.confirmedAt)
	if after, _ := m.catalog.ZoneInDoubt(m.now, m.zone); before && !after {
		m.log.Info("entries of the own zone are confirmed", "zone", m.zone, "after_ms", m.now.Sub(m.peers.started).Milliseconds())
	}
}

// confirmAndBroadcast records a confirmation by a check of this instance and announces it
// to its own zone and, if this is the watcher, to the relays of the other zones.
func (m *machine) confirmAndBroadcast(at model.Time) {
	m.confirm(at)
	m.broadcast(nil, m.isWatcher())
}
