// Package belief holds what an instance has seen of the backend servers, and decides what that
// allows. Each piece of evidence has the time at which it was seen, which may be long before
// it was processed. Each act (a new flow, a reset, a probe, the end of a run) has one
// function, which states the evidence that it needs and how old that may be.
//
// Evidence is seen by two threads. The control goroutine sees entries of the registry, probes
// and what other instances say; it publishes them with its snapshots. The traffic goroutine
// sees the callers' packets. Acts that depend on both join them when they are decided, so no
// thread waits for the other.
package belief

import "github.com/savorytiller/savorytiller/internal/core/model"

// ProbeResult is the result of a probe of a server.
type ProbeResult uint8

const (
	// ProbeUnknown means that there was no probe or that it was inconclusive.
	ProbeUnknown ProbeResult = iota
	// Reachable means that the server answered.
	Reachable
	// Unreachable means that nothing answered at the server's address.
	Unreachable
	// Ended means that the run of the server has ended: its port is closed, or another
	// server has its address.
	Ended
)

// String returns the result in the form used in logs.
func (p ProbeResult) String() string {
	return [...]string{"unknown", "reachable", "unreachable", "ended"}[p]
}

// Evidence is what the control goroutine has seen of one run of a backend server. A time of 0
// means never. It takes 112 bytes a run.
type Evidence struct {
	// State and ColdUntil are what the run's latest entry stated: its state, and the end of
	// its cold start.
	State     model.ServerState
	ColdUntil model.Time
	// RemovalSeenAt is when the removal of the run's entry was seen; 0 while it has one. The
	// entry was removed between RemovedAfter and RemovalSeenAt.
	RemovedAfter, RemovalSeenAt model.Time
	// NamedAt is when another instance named the run, if its entry was never seen here.
	NamedAt model.Time
	// SupersededAt is when the entry of a later run of the same server was seen.
	SupersededAt model.Time
	// EndSeenAt is when a probe was sent that had the result Ended, here or, if EndReported is
	// set, at another instance. AnsweredAt is when the first probe after it was sent that was
	// answered.
	EndSeenAt, AnsweredAt model.Time
	EndReported           bool
	// ProbeResult is the result of the last probe, which was sent at ProbeSentAt. Repeated probes
	// that failed do not count, see SeeFailedRepeat.
	ProbeResult ProbeResult
	ProbeSentAt model.Time
	// SuspectedAt is since when a probe is wanted, and ProbingSince since when one is in
	// progress.
	SuspectedAt, ProbingSince model.Time
	// reached is the phase that the run had reached when the time in which its entry may be
	// restored last started anew.
	reached phase
}

// SeeEntry records an entry of the run, which was written after the given time. An entry that
// returns after its removal, or was written after the run seemed to have ended, shows that the
// run goes on.
func (e *Evidence) SeeEntry(writtenAfter model.Time, state model.ServerState, coldUntil model.Time) {
	if e.RemovalSeenAt != 0 || writtenAfter.After(e.EndSeenAt) {
		e.forgetEnd()
	}
	e.State, e.ColdUntil = state, coldUntil
	e.RemovedAfter, e.RemovalSeenAt, e.NamedAt, e.reached = 0, 0, 0, listed
}

func (e *Evidence) forgetEnd() {
	e.EndSeenAt, e.AnsweredAt, e.EndReported = 0, 0, false
	if e.ProbeResult == Ended {
		e.ProbeResult, e.ProbeSentAt = ProbeUnknown, 0
	}
}

// SeeRemoval records that the entry of the run was removed after a given time.
func (e *Evidence) SeeRemoval(now, removedAfter model.Time) {
	if e.RemovalSeenAt == 0 {
		e.RemovalSeenAt, e.RemovedAfter = now, min(now, removedAfter)
	}
}

// SeeProbe records the result of a probe. A failure also answers the suspicions that arose while
// the probe was in progress.
func (e *Evidence) SeeProbe(sentAt model.Time, result ProbeResult) {
	e.ProbeResult, e.ProbeSentAt, e.ProbingSince = result, sentAt, 0
	if e.ProbeFailed() {
		e.SuspectedAt = 0
	}
	switch {
	case result == Ended:
		e.EndSeenAt, e.AnsweredAt, e.EndReported = sentAt, 0, false
	case result == Reachable && e.EndSeenAt != 0 && e.AnsweredAt == 0:
		e.AnsweredAt = sentAt
	}
}

// SeeFailedRepeat records that a repeated probe of an unreachable run failed too. With so few
// connections that is no evidence for resets, so ProbeSentAt stays. A closed port that was seen
// before is no longer the latest result.
func (e *Evidence) SeeFailedRepeat() {
	e.ProbingSince = 0
	if e.ProbeFailed() {
		e.ProbeResult = Unreachable
	}
}

// SeeReportedEnd records that another instance saw the end of the run. What this instance
// itself has seen later stands against it; the result is false then.
func (e *Evidence) SeeReportedEnd(at model.Time) bool {
	if !at.After(e.EndSeenAt) || e.ProbeResult == Reachable && e.ProbeSentAt.After(at) {
		return false
	}
	e.EndSeenAt, e.AnsweredAt, e.EndReported = at, 0, true
	return true
}

// AwaitsAnswer reports whether this instance saw the end of the run, which is still listed, and
// nothing has answered at its address since.
func (e *Evidence) AwaitsAnswer() bool {
	return e.EndSeenAt != 0 && !e.EndReported && e.AnsweredAt == 0 && !e.Unlisted()
}

// SeeSuspicion records that packets to the run got no response as of a given time, unless a
// conclusive probe was sent since.
func (e *Evidence) SeeSuspicion(at model.Time) (wanted bool) {
	if e.ProbeResult != ProbeUnknown && e.ProbeSentAt.After(at) {
		return false
	}
	e.SuspectedAt = max(e.SuspectedAt, at)
	return true
}

// Unlisted reports whether the run has no entry.
func (e *Evidence) Unlisted() bool { return e.RemovalSeenAt != 0 || e.NamedAt != 0 }

// ProbeFailed reports whether the last probe failed.
func (e *Evidence) ProbeFailed() bool { return e.ProbeResult == Unreachable || e.ProbeResult == Ended }
