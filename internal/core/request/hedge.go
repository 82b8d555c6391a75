package request

import (
	"slices"

	"github.com/savorytiller/savorytiller/internal/core/hedge"
	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/core/view"
)

// hedging is the state of hedged requests. limit is 0 while they are off.
type hedging struct {
	limit   float64
	budgets map[model.ServiceID]*hedge.Budget
	delays  map[classKey]*hedge.Delay
	// cancelled holds the dispatches that are not needed any more until they have ended.
	cancelled map[dispatchKey]inFlight
	// silentSince is when the first dispatch began that was cancelled since the last complete
	// answer of a server. Servers whose last dispatch was answered are not in the map.
	silentSince map[model.ServerID]model.Time
}

type classKey struct {
	service model.ServiceID
	class   string
}

type dispatchKey struct {
	id     ID
	serial uint32
}

// inFlight is a dispatch in progress.
type inFlight struct {
	serial uint32
	slot   slotInUse
	began  model.Time
}

func newHedging(limit float64) hedging {
	return hedging{limit: limit, budgets: map[model.ServiceID]*hedge.Budget{}, delays: map[classKey]*hedge.Delay{},
		cancelled: map[dispatchKey]inFlight{}, silentSince: map[model.ServerID]model.Time{}}
}

func (h *hedging) budget(service model.ServiceID) *hedge.Budget {
	b := h.budgets[service]
	if b == nil {
		b = hedge.NewBudget(h.limit)
		h.budgets[service] = b
	}
	return b
}

func (h *hedging) delay(p *pending) *hedge.Delay {
	key := classKey{p.service.ID, p.kind.Class}
	d := h.delays[key]
	if d == nil {
		d = &hedge.Delay{}
		h.delays[key] = d
	}
	return d
}

// hedgeable reports whether the request may be dispatched to two servers at the same time: it
// may run twice, and its body can be sent twice.
func (e *Engine) hedgeable(p *pending) bool {
	return e.hedging.limit > 0 && p.kind.Idempotent && p.bodyComplete
}

// startHedgeTimer starts the timer after which the request is hedged. It starts none if
// the usual response time is not known.
func (e *Engine) startHedgeTimer(p *pending) {
	if delay, known := e.hedging.delay(p).Usual(e.now); known {
		e.startTimer(timer{at: e.now.Add(delay), kind: timerHedge, id: p.id, serial: p.inFlight.serial})
	}
}

// hedge dispatches a request to a second server if its first dispatch takes longer than usual.
// The second one gets a free slot of this instance, and none while requests of the service wait
// for slots.
func (e *Engine) hedge(id ID, serial uint32) {
	p := e.requests[id]
	if p == nil || p.phase != phaseRunning || p.inFlight.serial != serial || p.hedgeSerial != 0 || p.answering ||
		p.dispatches >= MaxDispatches || e.expiredReason(p) != model.ReasonNone {
		return
	}
	budget := e.hedging.budget(p.service.ID)
	if !budget.Allows(e.now) {
		e.emit(CountHedge{model.ReasonHedgeDeniedLimit})
		return
	}
	ok := false
	var second slotInUse
	if e.queue(p.service.ID).size == 0 && !e.hedging.delay(p).Slow(e.now) {
		second, ok = e.acquireSecond(p)
	}
	if !ok {
		e.emit(CountHedge{model.ReasonHedgeDeniedCapacity})
		return
	}
	budget.Take(e.now)
	first := p.inFlight
	p.first, p.inFlight.slot = &first, second
	e.emit(CountHedge{model.ReasonHedged})
	e.dispatch(p)
	p.hedgeSerial = p.inFlight.serial
}

// acquireSecond takes a slot of this instance at a server that is warm and that the request has
// not been sent to.
func (e *Engine) acquireSecond(p *pending) (slotInUse, bool) {
	exclude := slices.Concat(p.failed, p.avoided, []model.ServerID{p.inFlight.slot.server.ID})
	for i := range p.service.Servers {
		if s := e.view.Servers[p.service.Servers[i].ID]; s != nil && s.Warmth != view.Warm {
			exclude = append(exclude, s.ID)
		}
	}
	alloc, ok := e.pool.Acquire(e.now, p.service.ID, p.kind.Class, exclude)
	if !ok {
		return slotInUse{}, false
	}
	return slotInUse{local: true, allocation: alloc, server: e.view.Servers[alloc.Server]}, true
}

// running reports whether a dispatch of the request is in progress.
func (p *pending) running(serial uint32) bool {
	return p.phase == phaseRunning && (p.inFlight.serial == serial || p.first != nil && p.first.serial == serial)
}

// keepOnly makes the dispatch with the given serial the only one of the request, and returns the
// other one, or nil if there is none.
func (p *pending) keepOnly(serial uint32) (other *inFlight) {
	if p.first == nil {
		return nil
	}
	other, p.first = p.first, nil
	if other.serial == serial {
		p.inFlight, *other = *other, p.inFlight
	}
	return other
}

// cancel cancels a dispatch that is not needed any more. Its slot is released when it ends.
func (e *Engine) cancel(id ID, f *inFlight) {
	if f != nil {
		e.hedging.cancelled[dispatchKey{id, f.serial}] = *f
		e.emit(CancelDispatch{ID: id, Serial: f.serial})
	}
}

// answerStarted lets the front end send an answer to the caller while it arrives. The other
// dispatch is cancelled, since the caller gets this answer even if it ends early.
func (e *Engine) answerStarted(ev AnswerStarted) {
	p := e.requests[ev.ID]
	if p == nil || !p.running(ev.Serial) {
		return // cancelled
	}
	e.cancel(p.id, p.keepOnly(ev.Serial))
	p.answering = true
	e.hedging.delay(p).Observe(e.now, e.now.Sub(p.waitsSince))
	e.emit(ForwardAnswer{ID: p.id, Serial: ev.Serial})
}

// endOfTwo handles the end of one of two dispatches in progress. It reports true if that
// decides the request: the dispatch has a complete answer, or the caller is gone. Otherwise the
// request waits for the other dispatch; an error answer is kept in case that one fails.
func (e *Engine) endOfTwo(p *pending, ev DispatchEnded) bool {
	other := p.keepOnly(ev.Serial)
	failedAnswer := ev.Result == Answered && ev.Status >= 500
	if ev.Result == Answered && !failedAnswer || ev.Result == Cancelled {
		e.cancel(p.id, other)
		return true
	}
	server := p.inFlight.slot.server.ID
	health, observed := healthSignal(ev)
	e.endDispatch(p.inFlight.slot, health, observed, ev.Latency)
	p.inFlight = *other
	if failedAnswer {
		p.errorAnswer = ev.Serial
		delete(e.hedging.silentSince, server)
	}
	if ev.Result == NotSent || ev.Result == ShedByServer {
		p.failed = append(p.failed, server)
	} else {
		p.mayHaveRun = true
		p.avoided = append(p.avoided, server)
	}
	return false
}

// cancelledEnded releases the slot of a dispatch that was cancelled. If the server has answered
// nothing within the response timeout, that counts as a timeout of the server, however
// short the dispatch was. Otherwise a server that never answers would not be noticed while
// others answer in its place.
func (e *Engine) cancelledEnded(ev DispatchEnded) {
	key := dispatchKey{ev.ID, ev.Serial}
	f, ok := e.hedging.cancelled[key]
	if !ok {
		return
	}
	delete(e.hedging.cancelled, key)
	server := f.slot.server.ID
	since, silent := e.hedging.silentSince[server]
	switch {
	case ev.Result == Answered:
		delete(e.hedging.silentSince, server)
	case ev.Result == Cancelled && !silent:
		e.hedging.silentSince[server] = f.began
	case ev.Result == Cancelled && e.now.Sub(since) >= e.settings.ResponseTimeout:
		e.endDispatch(f.slot, Timeout, true, ev.Latency)
		return
	}
	health, observed := healthSignal(ev)
	e.endDispatch(f.slot, health, observed, ev.Latency)
}

// seeAnswer records a complete answer for the response times and the health of the server.
func (e *Engine) seeAnswer(p *pending, ev DispatchEnded) {
	if e.hedging.limit == 0 || ev.Result != Answered {
		return
	}
	delete(e.hedging.silentSince, p.inFlight.slot.server.ID)
	if p.kind.Idempotent && !p.answering && ev.Status < 500 {
		e.hedging.delay(p).Observe(e.now, e.now.Sub(p.waitsSince))
	}
}

// countHedge counts the end of a hedged request.
func (e *Engine) countHedge(p *pending, answered bool) {
	switch {
	case p.hedgeSerial == 0:
	case answered && p.inFlight.serial == p.hedgeSerial:
		e.emit(CountHedge{model.ReasonHedgeWon})
	default:
		e.emit(CountHedge{model.ReasonHedgeCancelled})
	}
}

// forgetServers removes what is known of servers that the view does not list.
func (h *hedging) forgetServers(v *view.View) {
	for id := range h.silentSince {
		if v == nil || v.Servers[id] == nil {
			delete(h.silentSince, id)
		}
	}
}
