package request

import (
	"slices"

	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/core/view"
)

// queue holds the requests of a service that wait for a slot.
type queue struct {
	waiting map[string][]*pending // by class, oldest first
	size    int
	// admitting counts the requests that wait for admission, by class.
	admitting map[string]int
	// pendingAcquires counts the Acquire calls in progress.
	pendingAcquires int
	// parked are the Acquire calls of other instances that wait for a slot of this one.
	parked []parkedAcquire
	// backoffUntil is the time until which an instance is not asked for a slot.
	backoffUntil map[model.InstanceID]model.Time
	// drains measures how fast the waiting requests of each class get slots.
	drains map[string]*drain
	// holders are the instances that hold slots of the service in holdersView.
	holders     []holder
	holdersView *view.View
	// owners are the candidates for the ownership of keys in ownersView.
	owners     []ownerCandidate
	ownersView *view.View
}

// holder is an instance with the number of slots that it holds.
type holder struct {
	member   *model.Member
	slots    int
	sameZone bool
}

// full reports whether no further request of a class may be queued. The limit applies
// to each class, so that one class cannot fill the queue of another.
func (q *queue) full(class string, limit int) bool {
	return len(q.waiting[class])+q.admitting[class] >= limit
}

func (e *Engine) queue(service model.ServiceID) *queue {
	q := e.queues[service]
	if q == nil {
		q = &queue{waiting: map[string][]*pending{}, admitting: map[string]int{}, drains: map[string]*drain{}, backoffUntil: map[model.InstanceID]model.Time{}}
		e.queues[service] = q
	}
	return q
}

// dispatchOrQueue dispatches the request if this instance has a free slot for it.
// Otherwise it queues the request and asks another instance for a slot, or refuses the
// request if the queue is full.
func (e *Engine) dispatchOrQueue(p *pending) {
	q := e.queue(p.service.ID)
	if len(q.waiting[p.kind.Class]) == 0 && e.acquireLocal(p) {
		e.dispatch(p)
		return
	}
	if q.full(p.kind.Class, e.settings.QueueLength) || e.comesTooLate(p) {
		e.refuseWithoutSlot(p)
		return
	}
	p.phase, p.queued, p.acquires = phaseSlot, true, 0
	p.askedInstances = p.askedInstances[:0]
	q.waiting[p.kind.Class] = append(q.waiting[p.kind.Class], p)
	q.size++
	if len(q.waiting[p.kind.Class]) == 1 {
		q.drain(p.kind.Class).start(e.now)
	}
	e.pool.AddWaiting(e.now, p.service.ID, p.kind.Class, 1)
	e.startTimer(timer{at: e.now.Add(e.settings.QueueWait), kind: timerQueue, id: p.id, serial: p.inFlight.serial})
	e.acquireRemote(p)
}

// acquireLocal takes a slot of this instance and reports whether there was one. It never
// uses the servers in p.failed, and those in p.avoided only if there is no other.
func (e *Engine) acquireLocal(p *pending) bool {
	alloc, ok := e.pool.Acquire(e.now, p.service.ID, p.kind.Class, slices.Concat(p.failed, p.avoided))
	if !ok && len(p.avoided) > 0 {
		alloc, ok = e.pool.Acquire(e.now, p.service.ID, p.kind.Class, p.failed)
	}
	if !ok {
		return false
	}
	p.inFlight.slot = slotInUse{local: true, allocation: alloc, server: e.view.Servers[alloc.Server]}
	return true
}

// serveQueue dispatches queued requests as long as there are free slots. The pool
// selects the class to serve next by the shares of the classes.
func (e *Engine) serveQueue(service model.ServiceID) {
	q := e.queues[service]
	if q == nil {
		return
	}
	var blocked []string
	for q.size+len(q.parked) > 0 {
		class, ok := e.pool.NextClass(service, func(c string) bool {
			return slices.Contains(blocked, c) || len(q.waiting[c]) == 0 && q.parkedIndex(c) < 0
		})
		if !ok {
			return
		}
		if len(q.waiting[class]) == 0 {
			if !e.lendToParked(q, class) {
				blocked = append(blocked, class)
			}
			continue
		}
		p := q.waiting[class][0]
		if !e.acquireLocal(p) {
			blocked = append(blocked, class)
			continue
		}
		e.dequeue(p)
		q.drain(class).granted(e.now)
		e.dispatch(p)
	}
}

// dequeue removes a request from the queue if it is queued.
func (e *Engine) dequeue(p *pending) {
	if !p.queued {
		return
	}
	p.queued = false
	q := e.queue(p.service.ID)
	list := q.waiting[p.kind.Class]
	if i := slices.Index(list, p); i >= 0 {
		q.waiting[p.kind.Class] = slices.Delete(list, i, i+1)
	}
	q.size--
	e.pool.AddWaiting(e.now, p.service.ID, p.kind.Class, -1)
}

// queueTimeout refuses a request that is still queued after QueueWait.
func (e *Engine) queueTimeout(id ID, serial uint32) {
	p := e.requests[id]
	if p == nil || !p.queued || p.inFlight.serial != serial {
		return
	}
	e.dequeue(p)
	e.refuseWithoutSlot(p)
}

// refuseWithoutSlot refuses a request that did not get a slot. The reason is overload,
// or the failure of the last dispatch if there was one.
func (e *Engine) refuseWithoutSlot(p *pending) {
	reason := model.ReasonOverloaded
	if p.dispatches > 0 {
		reason = p.lastReason
	}
	e.refuse(p, reason)
}

// acquireRemote asks another instance for a slot, unless a limit on such calls is
// reached.
func (e *Engine) acquireRemote(p *pending) {
	q := e.queue(p.service.ID)
	if _, asking := e.acquiring[p.id]; asking || p.acquires >= e.maxAcquires(p) || q.pendingAcquires >= maxPendingAcquires || !e.view.Fresh(e.now) {
		return
	}
	to := e.chooseHolder(q, p)
	if to == nil {
		return
	}
	e.acquiring[p.id] = p.service.ID
	p.acquires++
	p.askedInstances = append(p.askedInstances, to.ID)
	q.pendingAcquires++
	e.lastLease++
	msg := Acquire{Lease: e.lastLease, Service: p.service.ID, Class: p.kind.Class, Deadline: p.deadline.Sub(e.now)}
	e.emit(CallAcquire{ID: p.id, To: *to, Msg: msg, Timeout: min(e.settings.AcquireTimeout, msg.Deadline)})
}

// chooseHolder selects a random instance, weighted by the slots that it holds, or nil if
// none can be asked. It prefers instances in this instance's zone.
func (e *Engine) chooseHolder(q *queue, p *pending) *model.Member {
	q.updateHolders(e.view, p.service)
	for _, sameZone := range []bool{true, false} {
		total := 0
		for i := range q.holders {
			if e.canAsk(q, p, &q.holders[i], sameZone) {
				total += q.holders[i].slots
			}
		}
		if total == 0 {
			continue
		}
		draw := e.rng.IntN(total)
		for i := range q.holders {
			h := &q.holders[i]
			if !e.canAsk(q, p, h, sameZone) {
				continue
			}
			if draw -= h.slots; draw < 0 {
				return h.member
			}
		}
	}
	return nil
}

// updateHolders updates the holders if the view has changed.
func (q *queue) updateHolders(v *view.View, service *model.Service) {
	if q.holdersView != v {
		q.holders, q.holdersView = holders(v, service), v
	}
}

// canAsk reports whether an instance may be asked for a slot for the request.
func (e *Engine) canAsk(q *queue, p *pending, h *holder, sameZone bool) bool {
	return h.sameZone == sameZone && !q.backoffUntil[h.member.ID].After(e.now) && !slices.Contains(p.askedInstances, h.member.ID)
}

// holders returns the other instances that hold slots of a service.
func holders(v *view.View, svc *model.Service) []holder {
	var out []holder
	add := func(m *model.Member) {
		if m == nil || m.ID == v.Self.ID {
			return
		}
		for i := range out {
			if out[i].member.ID == m.ID {
				out[i].slots++
				return
			}
		}
		out = append(out, holder{member: m, slots: 1, sameZone: m.Zone == v.Self.Zone})
	}
	for i := range svc.Servers {
		s := v.Servers[svc.Servers[i].ID]
		if s == nil || s.State != model.ServerActive || s.Warmth == view.Failed {
			continue
		}
		if s.Warmth == view.Cold || s.Zone != v.Self.Zone {
			// The view does not contain whether a server in another zone is cold, so
			// its home instance, which holds its slots while it is cold, is added too.
			add(v.Members.Home(s.ID, s.Zone))
		}
		if s.Warmth == view.Cold {
			continue
		}
		for slot := range int(s.Server.Slots) {
			add(v.Members.SlotHolder(s.ID, s.Zone, slot))
		}
	}
	return out
}

func (e *Engine) acquireReplied(ev AcquireReplied) {
	p := e.requests[ev.ID]
	lender := e.member(ev.From)
	server, usable := e.borrowedServer(ev.Grant.Server)
	service, ok := e.acquiring[ev.ID]
	if ok {
		delete(e.acquiring, ev.ID)
		q := e.queue(service)
		q.pendingAcquires--
		if ev.Failed || ev.Grant.Server == "" {
			q.backoffUntil[ev.From] = e.now.Add(acquireBackoff)
		}
	}
	if ev.Failed && lender != nil {
		// A grant may have been lost or may arrive late.
		e.emit(CallRelease{To: *lender, Msg: Release{Lease: ev.Lease}})
	}
	if ev.Failed || ev.Grant.Server == "" {
		if p != nil && p.queued {
			e.acquireRemote(p)
		}
		if ok {
			e.acquireForUrgent(service)
		}
		return
	}
	if lender == nil {
		return // the lease expires at the lender
	}
	if p == nil || !p.queued || !usable || slices.Contains(p.failed, server.ID) {
		e.emit(CallRelease{To: *lender, Msg: Release{Lease: ev.Lease}})
		return
	}
	e.dequeue(p)
	e.queue(p.service.ID).drain(p.kind.Class).granted(e.now)
	p.inFlight.slot = slotInUse{lender: lender, lease: ev.Lease, server: server}
	e.dispatch(p)
	if ok {
		e.acquireForUrgent(service)
	}
}

// borrowedServer returns the server of a borrowed slot and reports whether this
// instance's view permits its use. Cold servers and servers in other zones are usable,
// because the lender's view decides about them.
func (e *Engine) borrowedServer(id model.ServerID) (*view.Server, bool) {
	if e.view == nil {
		return nil, false
	}
	s := e.view.Servers[id]
	if s == nil || s.State != model.ServerActive || s.Warmth == view.Failed {
		return s, false
	}
	switch s.Reason {
	case model.ReasonNone, model.ReasonServerCold, model.ReasonOtherZone:
		return s, true
	}
	return s, s.NewWork
}

func (e *Engine) member(id model.InstanceID) *model.Member {
	if e.view == nil || e.view.Members == nil {
		return nil
	}
	m, _ := e.view.Members.Get(id)
	return m
}

// peerAcquire lends a free slot to another instance if no request of this instance
// waits for one. If only less urgent requests wait, the call waits beside them.
func (e *Engine) peerAcquire(ev PeerAcquire) {
	key := leaseKey{ev.From, ev.Msg.Lease}
	if l := e.leases[key]; l != nil { // duplicate message
		e.emit(ReplyAcquire{Call: ev.Call, Msg: Grant{Server: l.allocation.Server, Slot: l.allocation.Slot}})
		return
	}
	q := e.queues[ev.Msg.Service]
	if !e.view.Ready() || !e.view.Fresh(e.now) || ev.Msg.Deadline <= 0 {
		e.emit(ReplyAcquire{Call: ev.Call})
		return
	}
	if q != nil && q.size > 0 {
		e.parkOrReject(q, ev)
		return
	}
	if !e.lend(ev.Call, key, &ev.Msg) {
		e.emit(ReplyAcquire{Call: ev.Call})
	}
}

// lend lends a free slot to another instance and reports whether there was one.
func (e *Engine) lend(call CallID, key leaseKey, msg *Acquire) bool {
	alloc, ok := e.pool.Acquire(e.now, msg.Service, msg.Class, nil)
	if !ok {
		return false
	}
	e.leases[key] = &lease{allocation: alloc}
	e.startTimer(timer{at: e.now.Add(msg.Deadline + LeaseMargin), kind: timerLease, lease: key})
	e.emit(ReplyAcquire{Call: call, Msg: Grant{Server: alloc.Server, Slot: alloc.Slot}})
	return true
}

func (e *Engine) peerRelease(ev PeerRelease) {
	key := leaseKey{ev.From, ev.Msg.Lease}
	l := e.leases[key]
	if l == nil {
		e.unpark(key) // the other instance no longer waits
		return
	}
	if ev.Msg.Observed {
		e.emit(Observe{Observation{Server: l.allocation.Server, Result: ev.Msg.Result, Latency: ev.Msg.Latency}})
	}
	e.endLease(key)
}

// endLease returns a lent slot to the pool.
func (e *Engine) endLease(id leaseKey) {
	l := e.leases[id]
	if l == nil {
		return
	}
	delete(e.leases, id)
	e.pool.Release(e.now, l.allocation)
	e.serveQueue(l.allocation.Service)
}
