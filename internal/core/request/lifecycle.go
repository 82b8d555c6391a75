package request

import (
	"strings"

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
	epoch     Epoch
	reasked   bool
	rank      int // of owner among the candidates
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
	holding capacity.Allocation
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
	if !e.bytes.Reserve(p.service.Tenant, p.reserved()) {
		p.length = 0
		e.refuse(p, model.ReasonTenantLimit)
		return
	}
	e.budget(p.service.ID).AddRequest()
	e.startTimer(timer{at: p.deadline, kind: timerDeadline, id: p.id})
	e.emit(ReadBody{ID: p.id, MaxBody: p.service.MaxBody, Digest: !p.kind.Idempotent, Deadline: p.deadline})
}

// check fills in what the configuration says about the request and returns why
// it is refused, or ReasonNone.
func (e *Engine) check(p *pending, in Incoming) model.Reason {
	if !e.view.Ready() {
		return model.ReasonNoConfiguration
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
	// From here on, a refusal can be reported to the owner of the key.
	switch {
	case !e.view.Fresh(e.now):
		return model.ReasonStaleView
	case e.refusesNew():
		return model.ReasonShuttingDown
	case in.Length > p.service.MaxBody:
		return model.ReasonTooLarge
	}
	if reason := e.pool.UnavailableReason(p.service.ID); reason != model.ReasonNone {
		return reason
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
	if e.queue(p.service.ID).full(p.kind.Class, e.cfg.QueueLength) {
		e.refuse(p, model.ReasonOverloaded)
		return
	}
	p.phase = phaseAdmit
	e.queue(p.service.ID).admitting[p.kind.Class]++
	e.askOwner(p)
}

func (e *Engine) bodyInvalid(ev BodyInvalid) {
	if p := e.reqs[ev.ID]; p != nil && p.phase == phaseBody {
		e.refuse(p, ev.Reason)
	}
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
		e.endAdmission(p)
		e.finish(p, refusedAs(p.attempt), reason, nil)
	default:
		e.leaveQueue(p)
		e.refuse(p, reason)
	}
}

// refuse ends a request that is not running. Its own attempt has not run, unless
// an earlier dispatch ended in doubt; what happened to earlier attempts is known
// only with a permit.
func (e *Engine) refuse(p *pending, reason model.Reason) {
	outcome := model.OutcomeNotRun
	if p.key != "" && !p.permitted && (p.kind == nil || !p.kind.Idempotent) {
		outcome = refusedAs(p.attempt)
	}
	if p.maybeRan {
		outcome = model.OutcomeUnknown
	}
	e.report(p, NotRun, nil)
	e.finish(p, outcome, reason, nil)
}

func (e *Engine) finish(p *pending, o model.Outcome, r model.Reason, a *StoredAnswer) {
	delete(e.reqs, p.id)
	f := Finish{ID: p.id, Outcome: o, Reason: r, Answer: a}
	if p.service != nil && p.kind != nil {
		f.Tenant, f.Class = p.service.Tenant, p.kind.Class
		if p.length != 0 {
			e.bytes.Release(p.service.Tenant, p.reserved())
		}
	}
	e.emit(f)
}
