package belief

import (
	"time"

	"github.com/savorytiller/savorytiller/internal/core/model"
)

const (
	// maxFailedProbeAge is how long after it was sent a failed probe justifies resets. The
	// server may be reachable again since, and repeated probes can be further apart than
	// that. It is less than the time for which a server must have been reachable for its
	// flows to count as undisturbed.
	maxFailedProbeAge = 2 * time.Second
	// RestartHold is how long a server whose run was seen to end gets no new flows unless it
	// writes an entry: after the first answer since, or after the last report of another
	// instance, which repeats it until the server answers. What answers is a new run, which
	// is cold, or the end was wrongly seen. It is longer than cold starts last, and
	// than a server without contact to the registry keeps its entry.
	RestartHold = 6 * time.Second
)

// AcceptsNewFlows reports whether the run may get new flows, and when that next changes without
// new evidence; 0 for never. It needs an entry that is not older than the end of the run, and
// a state other than draining. A run without an entry may get them for a short time,
// since the entry may be restored.
func (e *Evidence) AcceptsNewFlows(now model.Time, r *Registry) (ok bool, next model.Time) {
	if e.State != model.ServerActive || e.SupersededAt != 0 {
		return false, 0
	}
	p, next := e.phase(now, r)
	if p >= closed {
		return false, next
	}
	if e.EndSeenAt == 0 {
		return true, next
	}
	if e.Unlisted() {
		return false, next
	}
	if held, until := e.Held(now); held {
		return false, until
	}
	return true, next
}

// Held reports whether the run was seen to end and is still listed, so that it gets no new flows
// for some time, and until when; 0 for until new evidence.
func (e *Evidence) Held(now model.Time) (held bool, until model.Time) {
	if e.EndSeenAt == 0 || e.Unlisted() {
		return false, 0
	}
	if e.AwaitsAnswer() {
		return true, 0
	}
	until = max(e.EndSeenAt, e.AnsweredAt).Add(RestartHold)
	return now.Before(until), until
}

// WithheldAfterEnd reports whether the run gets no new flows only because it was seen to end.
func (e *Evidence) WithheldAfterEnd(now model.Time, r *Registry) bool {
	if e.EndSeenAt == 0 {
		return false
	}
	without := *e
	without.forgetEnd()
	accepts, _ := e.AcceptsNewFlows(now, r)
	acceptsWithout, _ := without.AcceptsNewFlows(now, r)
	return !accepts && acceptsWithout
}

// HasEnded reports whether the latest run of a server has certainly ended, so that all flows of the
// server are reset. A missing entry alone does not prove it: servers that are disconnected from the
// registry keep serving. Nor does a failed probe, which shows only that this instance could not
// reach the server at that time, nor a report of another instance. It needs a probe that saw the
// end of a run without an entry, or the removal of an entry that announced the end.
func (e *Evidence) HasEnded(now model.Time, r *Registry) bool {
	return e.Unlisted() && (e.ProbeResult == Ended || e.State == model.ServerDraining && e.departed(now, r))
}

// EndProven reports whether a later run, or a probe that saw the end of a run without an entry,
// proves that the run has ended. No probe can show more.
func (e *Evidence) EndProven() bool {
	return e.SupersededAt != 0 || e.ProbeResult == Ended && e.Unlisted()
}

// RepeatsProbe reports whether the run is probed again although no flow suspects it: the last
// probe failed, or nothing has answered since the run was seen to end.
func (e *Evidence) RepeatsProbe() bool { return e.ProbeFailed() || e.AwaitsAnswer() }

// Departed reports whether the run has no entry any more and is not expected to get one again,
// although nothing shows that it has ended.
func (e *Evidence) Departed(now model.Time, r *Registry) bool {
	return e.Unlisted() && e.departed(now, r) && !e.HasEnded(now, r)
}

func (e *Evidence) departed(now model.Time, r *Registry) bool {
	p, _ := e.phase(now, r)
	return p == departed
}

// NextPhaseAt returns when HasEnded or Departed may change without new evidence; 0 for never.
func (e *Evidence) NextPhaseAt(now model.Time, r *Registry) model.Time {
	_, next := e.phase(now, r)
	return next
}

// Unreachable reports whether the last probe failed and no response was seen since it was sent.
func (e *Evidence) Unreachable(t *Traffic) bool {
	return e.ProbeFailed() && e.ProbeSentAt.After(t.RespondedAt)
}

// RecentlyUnreachable reports whether a failed probe is recent enough to reset flows.
func (e *Evidence) RecentlyUnreachable(now model.Time, t *Traffic) bool {
	return e.Unreachable(t) && now.Sub(e.ProbeSentAt) <= maxFailedProbeAge
}

// ShouldAvoid reports whether new flows should go to other servers if any can take them: after
// timeouts, a failed probe, or while a probe is in progress.
func (e *Evidence) ShouldAvoid(now model.Time, t *Traffic) bool {
	return now.Before(t.trialAt) || e.Unreachable(t) || e.ProbingSince != 0
}
