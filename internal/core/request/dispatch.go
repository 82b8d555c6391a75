package request

import (
	"time"

	"github.com/savorytiller/savorytiller/internal/core/model"
)

// dispatchEnded handles the end of a dispatch.
func (e *Engine) dispatchEnded(ev DispatchEnded) {
	p := e.requests[ev.ID]
	if p == nil || !p.running(ev.Serial) {
		e.cancelledEnded(ev)
		return
	}
	if p.first != nil && !e.endOfTwo(p, ev) {
		return
	}
	e.seeAnswer(p, ev)
	server := p.inFlight.slot.server.ID
	health, observed := healthSignal(ev)
	e.endDispatch(p.inFlight.slot, health, observed, ev.Latency)
	switch {
	case p.errorAnswer != 0 && ev.Result != Answered && ev.Result != Cancelled && !ev.Forwarded:
		p.inFlight.serial = p.errorAnswer
		e.finish(p, model.OutcomeCompleted, model.ReasonNone, nil)
	case ev.Result == Answered:
		e.report(p, StateCompleted, ev.Answer)
		e.finish(p, model.OutcomeCompleted, model.ReasonNone, nil)
	case ev.Result == NotSent || ev.Result == ShedByServer:
		e.dispatchNotRun(p, ev, server)
	case p.kind.Idempotent && !ev.Forwarded && ev.Result != Cancelled && ev.Result != BodyFailed:
		p.newConnection = p.newConnection || ev.Result == NoResponse || ev.Result == ConnectionBroken
		if !e.retry(p, ev, server) {
			e.finish(p, model.OutcomeUnknown, resultReason(ev), nil)
		}
	default:
		e.report(p, StateUnknown, nil)
		e.finish(p, model.OutcomeUnknown, resultReason(ev), nil)
	}
}

// endDispatch releases the slot of a dispatch that has ended and reports what it says about the
// server, if anything.
func (e *Engine) endDispatch(s slotInUse, health HealthSignal, observed bool, latency time.Duration) {
	e.releaseSlot(s, observed, health, latency)
	if observed {
		e.emit(Observe{Observation{Server: s.server.ID, Result: health, Latency: latency}})
	}
}

// dispatchNotRun handles the end of a dispatch if the server certainly did not run the
// request.
func (e *Engine) dispatchNotRun(p *pending, ev DispatchEnded, server model.ServerID) {
	if e.retry(p, ev, server) {
		return
	}
	reason := resultReason(ev)
	if expired := e.expiredReason(p); expired != model.ReasonNone {
		reason = expired
	}
	e.refuse(p, reason)
}

// retry dispatches or queues the request again. It reports false if the body cannot be
// sent again, a limit is reached, the request has expired or the retry budget is used
// up.
func (e *Engine) retry(p *pending, ev DispatchEnded, failed model.ServerID) bool {
	if ev.Result != NotSent && ev.Result != ShedByServer {
		p.mayHaveRun = true
	}
	if !ev.Replayable || p.dispatches >= MaxDispatches || e.expiredReason(p) != model.ReasonNone {
		return false
	}
	if !e.budget(p.service.ID).TakeRetry() {
		e.emit(RecordDecision{Reason: model.ReasonRetryBudget, Subject: p.service.Name})
		return false
	}
	switch ev.Result {
	case NotSent, ShedByServer:
		p.failed = append(p.failed, failed)
	case NoResponse: // may be due to the connection only; do not avoid the server
	default:
		p.avoided = append(p.avoided, failed)
	}
	p.lastReason = resultReason(ev)
	e.dispatchOrQueue(p)
	return true
}

// healthSignal returns what the end of a dispatch says about the server's health.
// observed is false if it says nothing.
func healthSignal(ev DispatchEnded) (h HealthSignal, observed bool) {
	switch ev.Result {
	case Answered:
		if ev.Status >= 502 && ev.Status <= 504 {
			return Failure, true
		}
		return Success, true
	case ShedByServer:
		return Shed, true
	case NoResponse:
		return Timeout, ev.Latency >= minObservedTimeout
	case Cancelled:
		return Timeout, ev.Latency >= minObservedTimeout && ev.DeadlinePassed
	case BodyFailed:
		return Success, false
	case NotSent:
		return Failure, !ev.TooLate
	default:
		return Failure, true
	}
}

// resultReason returns the reason that is reported for a failed dispatch.
func resultReason(ev DispatchEnded) model.Reason {
	switch ev.Result {
	case ShedByServer:
		return model.ReasonShed
	case NoResponse:
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

// releaseSlot returns a slot. A slot of this instance goes back to the
// pool and to the next queued request; a borrowed slot goes back to its lender.
func (e *Engine) releaseSlot(s slotInUse, observed bool, h HealthSignal, latency time.Duration) {
	switch {
	case s.local:
		e.pool.Release(e.now, s.allocation)
		e.serveQueue(s.allocation.Service)
	case s.lender != nil:
		e.emit(CallRelease{To: *s.lender, Msg: Release{Lease: s.lease, Observed: observed, Result: h, Latency: latency}})
	}
}
