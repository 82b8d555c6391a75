package request

import (
	"strings"
	"time"

	"github.com/savorytiller/savorytiller/internal/core/capacity"
	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/core/view"
)

type phase uint8

const (
	phaseBody phase = iota
	phaseAdmit
	phaseSlot
	phaseRunning
)

// pending is a request that has not been finished.
type pending struct {
	id       ID
	phase    phase
	service  *model.Service
	kind     *model.RequestKind
	key      string
	attempt  int
	digest   uint64
	length   int64
	arrived  model.Time
	deadline model.Time

	// owner is the instance that was asked for admission; asked is when.
	owner     *model.Member
	asked     model.Time
	permitted bool
	permitEnd model.Time

	// slot is the own slot or the lease that the request runs on.
	slot   slotInUse
	serial uint32
	tries  int
	// failed are the servers that shed the request or could not be reached;
	// avoid are those that broke an answer, used again if there is no other.
	failed, avoid []model.ServerID
	// lastReason is the end of the last dispatch.
	lastReason model.Reason
	fresh      bool
	rounds     int
	queued     bool
	askedIDs   []model.InstanceID
	// maybeRan is set once a dispatch of an idempotent request ended in doubt.
	maybeRan bool
}

type slotInUse struct {
	own     bool
	holding capacity.Holding
	lender  *model.Member
	lease   LeaseID
	server  *view.Server
}

func (e *Engine) arrived(ev Arrived) {
	p := &pending{id: ev.ID, arrived: e.now, attempt: ev.Req.Attempt, key: ev.Req.Key, length: ev.Req.Length}
	e.reqs[ev.ID] = p
	if reason := e.check(p, ev.Req); reason != model.ReasonNone {
		p.length = 0
		e.refuse(p, reason)
		return
	}
	if !e.bytes.Take(p.service.Tenant, p.reserved()) {
		p.length = 0
		e.refuse(p, model.ReasonTenantLimit)
		return
	}
	e.budget(p.service.ID).Request()
	e.startTimer(timer{at: p.deadline, kind: timerDeadline, id: p.id})
	e.emit(ReadBody{ID: p.id, MaxBody: p.service.MaxBody, Digest: !p.kind.Idempotent, Deadline: p.deadline})
}

// check fills in what the configuration says about the request and returns why
// it is refused, or ReasonNone.
func (e *Engine) check(p *pending, in Incoming) model.Reason {
	switch {
	case !e.view.Ready():
		return model.ReasonNoConfiguration
	case !e.view.Fresh(e.now):
		return model.ReasonStaleView
	case e.refusesNew():
		return model.ReasonShuttingDown
	}
	p.service = e.view.Config.ServiceByHost(in.Host)
	if p.service == nil {
		return model.ReasonUnknownService
	}
	p.kind = kindOf(p.service, in)
	if !p.kind.Idempotent {
		switch {
		case in.Key == "":
			return model.ReasonMissingKey
		case len(in.Key) > MaxKeyLength:
			return model.ReasonBadRequest
		case in.Attempt <= 0:
			return model.ReasonBadAttempt
		}
	}
	if in.Length > p.service.MaxBody {
		return model.ReasonTooLarge
	}
	timeout := p.service.RequestTimeout
	if in.HasTimeout {
		timeout = min(timeout, in.Timeout)
	}
	if timeout <= 0 {
		return model.ReasonDeadlinePassed
	}
	p.deadline = e.now.Add(timeout)
	return model.ReasonNone
}

// otherIdempotent and otherUnsafe are the kinds of requests that no kind of the
// configuration matches. The methods that RFC 9110, section 9.2.2, defines as
// idempotent are taken as such; every other one runs at most once.
var (
	otherIdempotent = &model.RequestKind{Name: "other", Idempotent: true, Class: "other"}
	otherUnsafe     = &model.RequestKind{Name: "other", Class: "other"}
)

func kindOf(s *model.Service, in Incoming) *model.RequestKind {
	for i := range s.Kinds {
		k := &s.Kinds[i]
		if (k.Method == "" || k.Method == in.Method) && strings.HasPrefix(in.Path, k.PathPrefix) {
			return k
		}
	}
	switch in.Method {
	case "GET", "HEAD", "OPTIONS", "PUT", "DELETE", "TRACE":
		return otherIdempotent
	}
	return otherUnsafe
}

// reserved is the number of body bytes that the request may have in flight.
func (p *pending) reserved() int64 {
	if p.length < 0 {
		return p.service.MaxBody
	}
	return p.length
}

func (e *Engine) bodyRead(ev BodyRead) {
	p := e.reqs[ev.ID]
	if p == nil || p.phase != phaseBody {
		return
	}
	p.digest = ev.Digest
	if p.kind.Idempotent {
		e.wantSlot(p)
		return
	}
	q := e.queue(p.service.ID)
	if q.length() >= e.cfg.QueueLength {
		e.refuse(p, model.ReasonOverloaded)
		return
	}
	e.askOwner(p)
}

func (e *Engine) bodyInvalid(ev BodyInvalid) {
	if p := e.reqs[ev.ID]; p != nil && p.phase == phaseBody {
		e.refuse(p, ev.Reason)
	}
}

func (e *Engine) askOwner(p *pending) {
	p.owner = e.owner(p.service, p.key)
	if p.owner == nil {
		e.refuse(p, model.ReasonNoOwner)
		return
	}
	p.phase, p.asked = phaseAdmit, e.now
	e.queue(p.service.ID).admitting++
	msg := Admit{Service: p.service.ID, Key: p.key, Attempt: p.attempt, Digest: p.digest, Deadline: p.deadline.Sub(e.now)}
	if p.owner.ID != e.view.Self.ID {
		e.emit(CallAdmit{ID: p.id, To: *p.owner, Msg: msg, Timeout: min(e.cfg.AdmitTimeout, msg.Deadline)})
		return
	}
	w := waiter{local: p.id}
	if reply, ok := e.dedup.admit(e.now, w, msg, park(msg.Deadline)); ok {
		e.admitted(p, reply)
	} else {
		e.startTimer(timer{at: e.now.Add(park(msg.Deadline)), kind: timerParked, key: dedupKey{msg.Service, msg.Key}})
	}
}

// park returns how long a repeated request waits for the permitted attempt. It
// leaves half of the caller's time for running it.
func park(deadline time.Duration) time.Duration { return min(parkTime, deadline/2) }

func (e *Engine) admitReplied(ev AdmitReplied) {
	p := e.reqs[ev.ID]
	if p == nil || p.phase != phaseAdmit {
		return
	}
	if ev.Failed {
		// The question may still arrive, or the permit may be on its way; this
		// instance will not use it.
		e.report(p, NotRun, nil)
		e.queue(p.service.ID).admitting--
		e.finish(p, refusedAs(p.attempt), model.ReasonPeerUnreachable, nil)
		return
	}
	e.admitted(p, ev.Admission)
}

func (e *Engine) admitted(p *pending, a Admission) {
	e.queue(p.service.ID).admitting--
	if !a.Permitted {
		e.finish(p, a.Outcome, a.Reason, a.Answer)
		return
	}
	p.permitted, p.permitEnd = true, p.asked.Add(a.Validity)
	e.wantSlot(p)
}

// dispatch sends the request to the server of its slot, if permit, deadline and
// view still allow it.
func (e *Engine) dispatch(p *pending) {
	if reason := e.lateReason(p); reason != model.ReasonNone {
		e.freeSlot(p, false, Success, 0)
		e.refuse(p, reason)
		return
	}
	p.phase = phaseRunning
	p.serial++
	p.tries++
	notAfter := min(p.deadline, e.view.FreshUntil)
	if p.permitted {
		notAfter = min(notAfter, p.permitEnd)
	}
	d := Dispatch{
		ID: p.id, Serial: p.serial, Server: p.slot.server, NotAfter: notAfter, Deadline: p.deadline,
		ResponseTimeout: p.deadline.Sub(e.now), Idempotent: p.kind.Idempotent, Fresh: p.fresh,
		Remember: !p.kind.Idempotent,
	}
	if p.kind.Idempotent {
		d.ResponseTimeout = min(d.ResponseTimeout, e.cfg.ResponseTimeout)
	}
	e.emit(d)
}

// lateReason returns why the request may no longer be dispatched.
func (e *Engine) lateReason(p *pending) model.Reason {
	switch {
	case !e.now.Before(p.deadline):
		return model.ReasonDeadlinePassed
	case p.permitted && !e.now.Before(p.permitEnd):
		return model.ReasonPermitExpired
	case !e.view.Fresh(e.now):
		return model.ReasonStaleView
	}
	return model.ReasonNone
}

func (e *Engine) deadlinePassed(id ID) {
	p := e.reqs[id]
	if p == nil || p.phase == phaseRunning {
		return
	}
	e.giveUp(p, model.ReasonDeadlinePassed)
}

func (e *Engine) callerGone(ev CallerGone) {
	p := e.reqs[ev.ID]
	if p == nil || p.phase == phaseRunning {
		return // the dispatch reports its own end
	}
	e.giveUp(p, model.ReasonCallerCancelled)
}

// giveUp ends a request that has not been dispatched.
func (e *Engine) giveUp(p *pending, reason model.Reason) {
	switch p.phase {
	case phaseAdmit:
		e.report(p, NotRun, nil)
		e.queue(p.service.ID).admitting--
		e.finish(p, refusedAs(p.attempt), reason, nil)
	default:
		e.leaveQueue(p)
		e.refuse(p, reason)
	}
}

// refuse ends a request that is not running. Its own attempt has not run; what
// happened to earlier ones is known only with a permit.
func (e *Engine) refuse(p *pending, reason model.Reason) {
	outcome := model.OutcomeNotRun
	if p.key != "" && !p.permitted && (p.kind == nil || !p.kind.Idempotent) {
		outcome = refusedAs(p.attempt)
	}
	e.report(p, NotRun, nil)
	e.finish(p, outcome, reason, nil)
}

// report tells the owner of the key what became of the attempt. A refusal
// before admission is reported too, so that the next attempt is known to be
// the first that can run.
func (e *Engine) report(p *pending, s State, answer *StoredAnswer) {
	if p.kind == nil || p.kind.Idempotent || p.key == "" || len(p.key) > MaxKeyLength || p.attempt <= 0 {
		return
	}
	to := p.owner
	if to == nil && e.view.Fresh(e.now) {
		to = e.owner(p.service, p.key)
	}
	if to == nil {
		return
	}
	msg := Report{Service: p.service.ID, Key: p.key, Attempt: p.attempt, Digest: p.digest, State: s, Answer: answer}
	if to.ID == e.view.Self.ID {
		e.answerParked(e.dedup.report(e.now, msg))
		return
	}
	e.emit(CallReport{To: *to, Msg: msg})
}

func (e *Engine) finish(p *pending, o model.Outcome, r model.Reason, a *StoredAnswer) {
	delete(e.reqs, p.id)
	f := Finish{ID: p.id, Outcome: o, Reason: r, Answer: a}
	if p.service != nil && p.kind != nil {
		f.Tenant, f.Class = p.service.Tenant, p.kind.Class
		if p.length != 0 {
			e.bytes.Free(p.service.Tenant, p.reserved())
		}
	}
	e.emit(f)
}
