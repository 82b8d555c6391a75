package registry

import (
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/savorytiller/savorytiller/internal/core/catalog"
	"github.com/savorytiller/savorytiller/internal/core/model"
)

// errEarlierEpoch means that the registry's answer is older than a restore that this instance
// knows of.
var errEarlierEpoch = merry.New("answer from before the registry was restored")

// enterEpoch prepares for the first listing of a new epoch. Its entries may be older than
// what the catalog knows.
func (m *machine) enterEpoch(listing *catalog.Changes) {
	m.counts.Restores++
	m.log.Info("registry restored from a copy", "epoch", listing.Epoch, "revision", listing.Revision, "known_epoch", m.feed.epoch,
		"known_revision", m.feed.revision, "confirmed_ms_ago", m.now.Sub(m.confirmedAt).Milliseconds())
	m.catalog.EnterEpoch(m.now)
	m.feed.revision, m.restoredAt = 0, m.now
	// A watch in progress continues from a revision of the previous epoch.
	m.feed.generation++
	m.feed.running = false
	for i := range listing.Entries {
		listing.Entries[i].Restored = true
	}
}

// releaseHeldZones returns zones to service that operators have not withdrawn again in time
// after a restore of the registry.
func (m *machine) releaseHeldZones() {
	removals, next := m.catalog.ReleaseHeld(m.now, m.feed.revision)
	m.applyEntries(removals)
	if next != 0 {
		m.scheduleWake(next)
	}
}

// missesChanges reports whether the registry is known to have more than the catalog.
func (m *machine) missesChanges() bool { return m.missing.After(m.feed.position()) }

// missesEpoch reports whether the registry is known to be in a later epoch than the catalog.
// Only a listing helps then, because a watch delivers changes of one epoch.
func (m *machine) missesEpoch() bool { return m.missing.Epoch > m.feed.epoch }

// changesMissing records that the registry is at a position that the catalog lacks, as of the
// send time of a check; 0 if no check showed it.
func (m *machine) changesMissing(position catalog.Position, asOf model.Time) {
	if !m.missesChanges() || position.Epoch > m.missing.Epoch {
		m.missingSince = m.now
	}
	m.missing, m.missingAsOf = position, asOf
}

// listingDelay is how long to wait for the missing changes before a listing. After a restore
// of the registry the watcher lists it at once. What it reads reaches the relays and then
// the other instances, each of which lists the registry only if that does not happen.
func (m *machine) listingDelay() time.Duration {
	switch {
	case m.missesEpoch() && m.isWatcher():
		return 0
	case m.missesEpoch() && m.isRelay():
		return relayListingDelay
	case m.missesEpoch():
		return zoneListingDelay + m.checkJitter
	case m.isWatcher():
		return watchDeliveryTimeout
	default:
		return catchUpTimeout
	}
}
