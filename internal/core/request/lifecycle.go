package request

import (
	"strings"
	"time"

	"github.com/savorytiller/savorytiller/internal/core/capacity"
	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/core/view"
)

// phase is the state of a pending request.
type phase uint8

const (
	phaseBody    phase = iota // the front end reads the body
	phaseAdmit                // the owner of the key is asked for a permit
	phaseSlot                 // waits for a slot
	phaseRunning              // dispatched to a server
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

	// owner is the instance that was last asked for admission, at the time askedAt
	// and with the given epoch.
	owner        *model.Member
	epoch        Epoch
	epochRetried bool // owner was asked again with the epoch from its reply
	rank         int  // rank of owner among the candidates
	askedAt      model.Time
	permitted    bool // the owner has granted a permit, valid until permitEnd
	permitEnd    model.Time

	// inFlight is the dispatch in progress, on a local or borrowed slot; its serial is that
	// of the last dispatch if there is none. first is the first one of two in progress.
	inFlight   inFlight
	first      *inFlight
	dispatches int
	// failed are the servers that shed the request or could not be reached. avoided
	// are those that broke the connection or sent a truncated or mismatched answer;
	// they are used again only if there is no other.
	failed, avoided []model.ServerID
	// lastReason is why the last dispatch failed.
	lastReason     model.Reason
	newConnection  bool
	acquires       int // Acquire calls since the request was queued
	queued         bool
	askedInstances []model.InstanceID
	// retryAfter is Finish.RetryAfter.
	retryAfter time.Duration
	// mayHaveRun is set once it is unknown whether a dispatch of an idempotent
	// request ran.
	mayHaveRun bool

	// bodyComplete is set if the whole body is in memory.
	bodyComplete bool
	// waitsSince is when the last dispatch began that is not a hedge. hedgeSerial is the
	// serial of the hedge; 0 if there was none.
	waitsSince  model.Time
	hedgeSerial uint32
	// answering is set once the caller is being sent an answer that is still arriving.
	answering bool
	// errorAnswer is the serial of a dispatch that got a complete error answer while
	// another one was in progress; 0 if there is none.
	errorAnswer uint32
}

// slotInUse is a slot of this instance's pool or one borrowed from another instance.
type slotInUse struct {
	local      bool
	allocation capacity.Allocation
	lender     *model.Member
	lease      LeaseID
	server     *view.Server
}

func (e *Engine) arrived(ev Arrived) {
	p := &pending{id: ev.ID, arrived: e.now, attempt: ev.Req.Attempt, key: ev.Req.Key, length: ev.Req.Length}
	e.requests[ev.ID] = p
	if reason := e.check(p, ev.Req); reason != model.ReasonNone {
		p.length = 0 // no bytes are reserved that finish would release
		e.refuse(p, reason)
		return
	}
	if !e.bodyBytes.Reserve(p.service.Tenant, p.reservedBytes()) {
		p.length = 0
		e.refuse(p, model.ReasonTenantLimit)
		return
	}
	e.budget(p.service.ID).AddRequest()
	if e.hedging.limit > 0 {
		e.hedging.budget(p.service.ID).AddRequest(e.now)
	}
	e.startTimer(timer{at: p.deadline, kind: timerDeadline, id: p.id})
	e.emit(ReadBody{ID: p.id, MaxBody: p.service.MaxBody, Digest: !p.kind.Idempotent, Deadline: p.deadline})
}

// check sets the service, kind and deadline of the request. It returns why the
// request is refused, or ReasonNone.
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
	// Refusals below can be reported to the owner of the key.
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

// otherIdempotent and otherNonIdempotent are the kinds of requests that match no kind
// of the configuration. Methods that RFC 9110, section 9.2.2, defines as idempotent
// are treated as such; requests with any other method run at most once.
var (
	otherIdempotent    = &model.RequestKind{Name: "other", Idempotent: true, Class: "other", Priority: model.LowestPriority}
	otherNonIdempotent = &model.RequestKind{Name: "other", Class: "other", Priority: model.LowestPriority}
)

// kindOf returns the first kind of the service that matches the request.
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
	return otherNonIdempotent
}

// reservedBytes returns the number of body bytes that are reserved for the request:
// its length, or the limit of the service if the length is unknown.
func (p *pending) reservedBytes() int64 {
	if p.length < 0 {
		return p.service.MaxBody
	}
	return p.length
}

func (e *Engine) bodyRead(ev BodyRead) {
	p := e.requests[ev.ID]
	if p == nil || p.phase != phaseBody {
		return
	}
	p.digest, p.bodyComplete = ev.Digest, ev.Complete
	if p.kind.Idempotent {
		e.dispatchOrQueue(p)
		return
	}
	if e.queue(p.service.ID).full(p.kind.Class, e.settings.QueueLength) || e.comesTooLate(p) {
		e.refuse(p, model.ReasonOverloaded)
		return
	}
	p.phase = phaseAdmit
	e.queue(p.service.ID).admitting[p.kind.Class]++
	e.requestAdmission(p)
}

func (e *Engine) bodyInvalid(ev BodyInvalid) {
	if p := e.requests[ev.ID]; p != nil && p.phase == phaseBody {
		e.refuse(p, ev.Reason)
	}
}

// dispatch sends the request to the server of its slot. It refuses the request if its
// deadline, its permit or the view has expired.
func (e *Engine) dispatch(p *pending) {
	if reason := e.expiredReason(p); reason != model.ReasonNone {
		e.releaseSlot(p.inFlight.slot, false, Success, 0)
		e.refuse(p, reason)
		return
	}
	p.phase = phaseRunning
	p.dispatches++
	p.inFlight.serial, p.inFlight.began = uint32(p.dispatches), e.now
	notAfter := min(p.deadline, e.view.FreshUntil)
	if p.permitted {
		notAfter = min(notAfter, p.permitEnd)
	}
	d := Dispatch{
		ID: p.id, Serial: p.inFlight.serial, Server: p.inFlight.slot.server, NotAfter: notAfter, Deadline: p.deadline,
		ResponseTimeout: p.deadline.Sub(e.now), Idempotent: p.kind.Idempotent, NewConnection: p.newConnection,
		StoreAnswer: !p.kind.Idempotent, Hedgeable: e.hedgeable(p),
	}
	if p.kind.Idempotent {
		d.ResponseTimeout = min(d.ResponseTimeout, e.settings.ResponseTimeout)
	}
	e.emit(d)
	if p.first == nil {
		p.waitsSince = e.now
		if d.Hedgeable && p.hedgeSerial == 0 {
			e.startHedgeTimer(p)
		}
	}
}

// expiredReason returns why the request may no longer be dispatched: its deadline,
// its permit or the view has expired. Otherwise it returns ReasonNone.
func (e *Engine) expiredReason(p *pending) model.Reason {
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
	p := e.requests[id]
	if p == nil || p.phase == phaseRunning {
		return
	}
	e.abort(p, model.ReasonDeadlinePassed)
}

func (e *Engine) callerDisconnected(ev CallerDisconnected) {
	p := e.requests[ev.ID]
	if p == nil || p.phase == phaseRunning {
		return // DispatchEnded follows
	}
	e.abort(p, model.ReasonCallerCancelled)
}

// abort finishes a request that is not running.
func (e *Engine) abort(p *pending, reason model.Reason) {
	switch p.phase {
	case phaseAdmit:
		e.report(p, StateNotRun, nil)
		e.endAdmission(p)
		e.finish(p, refusedOutcome(p.attempt), reason, nil)
	default:
		e.dequeue(p)
		e.refuse(p, reason)
	}
}

// refuse finishes a request that has no dispatch in progress. The outcome is "not
// run", with two exceptions: it is unknown if an earlier dispatch may have run, and
// also if an earlier attempt may have run, which only a permit rules out.
func (e *Engine) refuse(p *pending, reason model.Reason) {
	outcome := model.OutcomeNotRun
	if p.key != "" && !p.permitted && (p.kind == nil || !p.kind.Idempotent) {
		outcome = refusedOutcome(p.attempt)
	}
	if p.mayHaveRun {
		outcome = model.OutcomeUnknown
	}
	if reason == model.ReasonOverloaded {
		if wait, ok := e.expectedWait(p); ok {
			p.retryAfter = retryAfter(wait)
		}
	}
	e.report(p, StateNotRun, nil)
	e.finish(p, outcome, reason, nil)
}

func (e *Engine) finish(p *pending, o model.Outcome, r model.Reason, a *StoredAnswer) {
	delete(e.requests, p.id)
	e.countHedge(p, o == model.OutcomeCompleted)
	f := Finish{ID: p.id, Serial: p.inFlight.serial, Outcome: o, Reason: r, Answer: a, RetryAfter: p.retryAfter}
	if p.service != nil && p.kind != nil {
		f.Tenant, f.Class = p.service.Tenant, p.kind.Class
		if p.length != 0 {
			e.bodyBytes.Release(p.service.Tenant, p.reservedBytes())
		}
	}
	e.emit(f)
}
