package belief

import (
	"time"

	"github.com/savorytiller/savorytiller/internal/core/model"
)

// An entry that is removed may be written again: entries expire during an outage of the
// registry, and live servers restore them after it. So a run without an entry passes through
// phases. Those in which it still gets new flows end at a time that is counted from the
// removal and not from when this instance learned of it. Since the registry does not say when
// an entry was removed, the earliest possible time counts.

// phase is how far the time since the removal of a run's entry has led.
type phase uint8

const (
	// listed means that the run has an entry.
	listed phase = iota
	// missing means that the entry may be restored. The server gets new flows.
	missing
	// closed means that the entry may be restored, but the server gets no new flows.
	closed
	// departed means that the entry was not restored in time, or never seen.
	departed
)

// Registry is what an instance knows of the registry's availability, and the limits that
// follow from it for runs without an entry.
type Registry struct {
	// ReachableSince is the time since which the registry has been reachable without
	// interruption or restore; 0 while it is unreachable.
	ReachableSince model.Time
	// Grace is how long an entry may be missing before it counts as gone.
	Grace time.Duration
	// NewFlowLimit is how long after the removal of its entry a server may get new flows at
	// the latest, whenever this instance learns of the removal.
	NewFlowLimit time.Duration
}

// GraceEndsAt returns when the grace time of an entry that has been missing since a given
// time ends. It starts anew when the registry becomes reachable, since the entry may have
// expired during the outage and will be written again if it still holds. ok is false while
// the registry is unreachable.
func (r *Registry) GraceEndsAt(missingSince model.Time) (at model.Time, ok bool) {
	return max(missingSince, r.ReachableSince).Add(r.Grace), r.ReachableSince != 0
}

// phase returns the phase of the run and when it changes next; 0 for never. While the registry
// is unreachable it stays as it is.
func (e *Evidence) phase(now model.Time, r *Registry) (p phase, next model.Time) {
	if e.NamedAt != 0 {
		return departed, 0
	}
	if e.RemovalSeenAt == 0 {
		return listed, 0
	}
	departsAt, ok := r.GraceEndsAt(e.RemovalSeenAt)
	if !ok {
		return max(missing, e.reached), 0
	}
	closesAt := departsAt
	if r.ReachableSince <= e.RemovedAfter {
		// Entries that were removed without an outage before are rarely restored.
		closesAt = min(closesAt, e.RemovedAfter.Add(r.NewFlowLimit))
	}
	switch {
	case e.reached == departed || !now.Before(departsAt):
		return departed, 0
	case e.reached == closed || !now.Before(closesAt):
		return closed, departsAt
	default:
		return missing, closesAt
	}
}

// KeepPhase records the phase that the run has reached, so that it does not go back when the
// time in which entries may be restored starts anew.
func (e *Evidence) KeepPhase(now model.Time, r *Registry) { e.reached, _ = e.phase(now, r) }
