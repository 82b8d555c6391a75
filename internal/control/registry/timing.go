package registry

import (
	"time"

	"github.com/savorytiller/savorytiller/internal/core/steering"
)

// Bounds are the times within which instances that reach the registry must follow its
// changes, from their acknowledgment by the registry.
type Bounds struct {
	// ConfigApply is the time after which a new configuration must be in force, Drain the
	// one after which a leaving or removed server must not get new flows, and Evacuation
	// the one after which a zone that was taken out of service must not.
	ConfigApply, Drain, Evacuation time.Duration
}

// Parts of the time from a change of the registry to its last effect.
const (
	// registryAnswerTime is how long an undisturbed registry may take to answer a call,
	// on a shared link and with little processor time.
	registryAnswerTime = 100 * time.Millisecond
	// wakeDelay is how late timers may fire.
	wakeDelay = 50 * time.Millisecond
)

// timing holds the times that depend on the bounds.
type timing struct {
	// checkInterval is the mean time between checks by the watcher, which are needed
	// because a watch can miss changes. Checks are up to a quarter of it early or late.
	checkInterval time.Duration
	// staleAfter is the time since confirmedAt after which an instance that is not the
	// watcher does a check itself. It is longer than the time between two confirmations by
	// the watcher and leaves enough time for a listing.
	staleAfter time.Duration
	// checkJitter spreads the checks of instances without a confirmation from the
	// watcher. The first check that succeeds is announced to the others, which then need
	// none.
	checkJitter time.Duration
	// relayHeadStart is how much earlier a relay does such a check than the other
	// instances of its zone, so that they need none.
	relayHeadStart time.Duration
}

// Limits of timing.checkJitter and timing.relayHeadStart.
const (
	maxCheckJitter    = 300 * time.Millisecond
	maxRelayHeadStart = 200 * time.Millisecond
)

// timingFor derives the times from the shortest bound, because one read of the registry
// covers all kinds of changes.
func timingFor(b Bounds) timing {
	bound := min(b.ConfigApply, b.Drain, b.Evacuation)
	return timing{checkInterval: bound / 3, staleAfter: bound / 2, checkJitter: min(maxCheckJitter, bound/10),
		relayHeadStart: min(maxRelayHeadStart, bound/15)}
}

// learnTime returns the longest time from a change to when an instance that reaches the
// registry has it, if the watcher stops right after a check that just missed the change.
// The catalog was confirmed as of that check, so it counts as stale after staleAfter; the
// check that follows shows that a change is missing, and a watch delivers it, or a listing
// if the watch fails.
func (t timing) learnTime() time.Duration {
	return t.staleAfter + t.checkJitter + t.relayHeadStart + wakeDelay + registryAnswerTime + catchUpTimeout + registryAnswerTime
}

// missedWatchTime is the same while the watcher works but its watch does not deliver.
func (t timing) missedWatchTime() time.Duration {
	return t.checkInterval*5/4 + wakeDelay + registryAnswerTime + watchDeliveryTimeout + registryAnswerTime + pullDelay + pullTimeout
}

// effectTime is the longest time from when an instance has a change to when it is in effect
// for all packets: until the next build of the snapshot, and for copies of a SYN.
const effectTime = wakeDelay + maxBuildInterval + steering.ResponseTimeout

// FollowTime returns the longest time in which instances that reach the registry follow its
// changes, whatever happens to the instance that watches it. Bounds that are shorter cannot
// be kept while that instance fails.
func (b Bounds) FollowTime() time.Duration {
	t := timingFor(b)
	return max(t.learnTime(), t.missedWatchTime()) + effectTime
}

// newFlowLimit returns how long after the removal of its entry a server may get new flows.
func (b Bounds) newFlowLimit() time.Duration { return max(0, b.Drain-effectTime-wakeDelay) }
