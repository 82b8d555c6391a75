package request

import (
	"time"

	"github.com/savorytiller/savorytiller/internal/core/model"
)

// dispatched handles the end of a dispatch.
func (e *Engine) dispatched(ev Dispatched) {
	p := e.reqs[ev.ID]
	if p == nil || p.phase != phaseRunning || p.serial != ev.Serial {
		return
	}
	server := p.slot.server.ID
	health, observed := healthOf(ev)
	e.freeSlot(p, observed, health, ev.Latency)
	if observed {
		e.emit(Observe{Observation{Server: server, Result: health, Latency: ev.Latency}})
	}
	switch {
	case ev.Result == Answered:
		e.report(p, Completed, ev.Answer)
		e.finish(p, model.OutcomeCompleted, model.ReasonNone, nil)
	case ev.Result == NotSent || ev.Result == ShedByServer:
		e.notRunHere(p, ev, server)
	case p.kind.Idempotent && !ev.Forwarded && ev.Result != Cancelled && ev.Result != BodyFailed:
		p.fresh = p.fresh || ev.Result == Silent || ev.Result == Broken
		if !e.retry(p, ev, server) {
			e.finish(p, model.OutcomeUnknown, reasonOf(ev), nil)
		}
	default:
		e.report(p, Unknown, nil)
		e.finish(p, model.OutcomeUnknown, reasonOf(ev), nil)
	}
}

// notRunHere handles a dispatch that certainly did not run.
func (e *Engine) notRunHere(p *pending, ev Dispatched, server model.ServerID) {
	if e.retry(p, ev, server) {
		return
	}
	reason := reasonOf(ev)
	if late := e.lateReason(p); late != model.ReasonNone {
		reason = late
	}
	e.refuse(p, reason)
}

// retry sends the request to another server if its body, the deadline and the
// retry budget allow it.
func (e *Engine) retry(p *pending, ev Dispatched, failed model.ServerID) bool {
	if ev.Result != NotSent && ev.Result != ShedByServer {
		p.maybeRan = true
	}
	if !ev.Replayable || p.tries >= MaxTries || e.lateReason(p) != model.ReasonNone {
		return false
	}
	if !e.budget(p.service.ID).TakeRetry() {
		e.emit(Note{Reason: model.ReasonRetryBudget, Subject: p.service.Name})
		return false
	}
	switch ev.Result {
	case NotSent, ShedByServer:
		p.failed = append(p.failed, failed)
	case Silent: // a silent connection says little about its server
	default:
		p.avoid = append(p.avoid, failed)
	}
	p.lastReason = reasonOf(ev)
	e.wantSlot(p)
	return true
}

func healthOf(ev Dispatched) (h Health, observed bool) {
	switch ev.Result {
	case Answered:
		if ev.Status >= 502 && ev.Status <= 504 {
			return Failure, true
		}
		return Success, true
	case ShedByServer:
		return Shed, true
	case Silent:
		return Timeout, ev.Latency >= minTimeoutObserved
	case Cancelled:
		return Timeout, ev.Latency >= minTimeoutObserved && ev.DeadlinePassed
	case BodyFailed:
		return Success, false
	case NotSent:
		return Failure, !ev.TooLate
	default:
		return Failure, true
	}
}

func reasonOf(ev Dispatched) model.Reason {
	switch ev.Result {
	case ShedByServer:
		return model.ReasonShed
	case Silent:
		return model.ReasonServerSilent
	case Truncated:
		return model.ReasonAnswerTruncated
	case Mismatched:
		return model.ReasonAnswerMismatch
	case Cancelled:
		if ev.DeadlinePassed {
			return model.ReasonDeadlinePassed
		}
		return model.ReasonCallerCancelled
	case BodyFailed:
		return model.ReasonBadRequest
	default:
		return model.ReasonServerFailed
	}
}

// freeSlot returns the slot of a request and serves the queue.
func (e *Engine) freeSlot(p *pending, observed bool, h Health, latency time.Duration) {
	s := p.slot
	p.slot = slotInUse{}
	switch {
	case s.own:
		e.pool.Release(e.now, s.holding)
		e.serveQueue(s.holding.Service)
	case s.lender != nil:
		e.emit(CallRelease{To: *s.lender, Msg: Release{Lease: s.lease, Observed: observed, Result: h, Latency: latency}})
	}
}
