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
	// admitting counts the requests that ask the owner of their key, by class.
	admitting map[string]int
	// acquires counts the questions for slots that are under way.
	acquires int
	// refused says until when an instance is not asked again.
	refused map[model.InstanceID]model.Time
	// holders are the instances that hold slots of the service under holdersOf.
	holders   []holder
	holdersOf *view.View
	// owners are the candidates for the ownership of a key under ownersOf.
	owners   []candidate
	ownersOf *view.View
}

type holder struct {
	member *model.Member
	slots  int
	near   bool
}

// full reports whether no further request of a class may wait. The limit
// applies to each class, so that one class cannot fill the queue of another.
func (q *queue) full(class string, limit int) bool {
	return len(q.waiting[class])+q.admitting[class] >= limit
}

func (e *Engine) queue(service model.ServiceID) *queue {
	q := e.queues[service]
	if q == nil {
		q = &queue{waiting: map[string][]*pending{}, admitting: map[string]int{}, refused: map[model.InstanceID]model.Time{}}
		e.queues[service] = q
	}
	return q
}

// wantSlot gives the request a slot, or makes it wait for one.
func (e *Engine) wantSlot(p *pending) {
	q := e.queue(p.service.ID)
	if len(q.waiting[p.kind.Class]) == 0 && e.takeOwn(p) {
		e.dispatch(p)
		return
	}
	if q.full(p.kind.Class, e.cfg.QueueLength) {
		e.noSlot(p)
		return
	}
	p.phase, p.queued, p.rounds = phaseSlot, true, 0
	p.askedIDs = p.askedIDs[:0]
	q.waiting[p.kind.Class] = append(q.waiting[p.kind.Class], p)
	q.size++
	e.pool.AddWaiting(e.now, p.service.ID, p.kind.Class, 1)
	e.startTimer(timer{at: e.now.Add(e.cfg.QueueWait), kind: timerQueue, id: p.id, serial: p.serial})
	e.acquire(p)
}

func (e *Engine) takeOwn(p *pending) bool {
	h, ok := e.pool.Acquire(e.now, p.service.ID, p.kind.Class, slices.Concat(p.failed, p.avoid))
	if !ok && len(p.avoid) > 0 {
		h, ok = e.pool.Acquire(e.now, p.service.ID, p.kind.Class, p.failed)
	}
	if !ok {
		return false
	}
	p.slot = slotInUse{own: true, holding: h, server: e.view.Servers[h.Server]}
	return true
}

// serveQueue gives free slots to the waiting requests, in the order of their
// classes' shares.
func (e *Engine) serveQueue(service model.ServiceID) {
	q := e.queues[service]
	if q == nil || q.size == 0 {
		return
	}
	var blocked []string
	for q.size > 0 {
		class, ok := e.pool.NextClass(service, func(c string) bool {
			return slices.Contains(blocked, c) || len(q.waiting[c]) == 0
		})
		if !ok {
			return
		}
		p := q.waiting[class][0]
		if !e.takeOwn(p) {
			blocked = append(blocked, class)
			continue
		}
		e.leaveQueue(p)
		e.dispatch(p)
	}
}

func (e *Engine) leaveQueue(p *pending) {
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

func (e *Engine) queueTimeout(id ID, serial uint32) {
	p := e.reqs[id]
	if p == nil || !p.queued || p.serial != serial {
		return
	}
	e.leaveQueue(p)
	e.noSlot(p)
}

// noSlot ends a request that found no slot.
func (e *Engine) noSlot(p *pending) {
	reason := model.ReasonOverloaded
	if p.tries > 0 {
		reason = p.lastReason
	}
	e.refuse(p, reason)
}

// acquire asks another instance for a slot.
func (e *Engine) acquire(p *pending) {
	q := e.queue(p.service.ID)
	if _, asking := e.asks[p.id]; asking || p.rounds >= acquireRounds || q.acquires >= maxAcquires || !e.view.Fresh(e.now) {
		return
	}
	to := e.chooseHolder(q, p)
	if to == nil {
		return
	}
	e.asks[p.id] = p.service.ID
	p.rounds++
	p.askedIDs = append(p.askedIDs, to.ID)
	q.acquires++
	e.lastID++
	msg := Acquire{Lease: e.lastID, Service: p.service.ID, Class: p.kind.Class, Deadline: p.deadline.Sub(e.now)}
	e.emit(CallAcquire{ID: p.id, To: *to, Msg: msg, Timeout: min(e.cfg.AcquireTimeout, msg.Deadline)})
}

// chooseHolder picks an instance by the slots that it holds: first one of this
// zone, then one of another.
func (e *Engine) chooseHolder(q *queue, p *pending) *model.Member {
	if q.holdersOf != e.view {
		q.holders, q.holdersOf = holders(e.view, p.service), e.view
	}
	for _, near := range []bool{true, false} {
		total := 0
		for i := range q.holders {
			if e.askable(q, p, &q.holders[i], near) {
				total += q.holders[i].slots
			}
		}
		if total == 0 {
			continue
		}
		pick := e.rng.IntN(total)
		for i := range q.holders {
			h := &q.holders[i]
			if !e.askable(q, p, h, near) {
				continue
			}
			if pick -= h.slots; pick < 0 {
				return h.member
			}
		}
	}
	return nil
}

func (e *Engine) askable(q *queue, p *pending, h *holder, near bool) bool {
	return h.near == near && !q.refused[h.member.ID].After(e.now) && !slices.Contains(p.askedIDs, h.member.ID)
}

// holders lists the other instances that hold slots of a service.
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
		out = append(out, holder{member: m, slots: 1, near: m.Zone == v.Self.Zone})
	}
	for i := range svc.Servers {
		s := v.Servers[svc.Servers[i].ID]
		if s == nil || s.State != model.ServerActive || s.Warmth == view.Failed {
			continue
		}
		if s.Warmth == view.Cold || s.Zone != v.Self.Zone {
			// The view does not say whether a server of another zone is cold.
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

func (e *Engine) grantReplied(ev GrantReplied) {
	p := e.reqs[ev.ID]
	lender := e.member(ev.From)
	server, usable := e.lentServer(ev.Grant.Server)
	if service, ok := e.asks[ev.ID]; ok {
		delete(e.asks, ev.ID)
		q := e.queue(service)
		q.acquires--
		if ev.Failed || ev.Grant.Server == "" {
			q.refused[ev.From] = e.now.Add(refusalMemory)
		}
	}
	if ev.Failed && lender != nil {
		// The grant may be on its way.
		e.emit(CallRelease{To: *lender, Msg: Release{Lease: ev.Lease}})
	}
	if ev.Failed || ev.Grant.Server == "" {
		if p != nil && p.queued {
			e.acquire(p)
		}
		return
	}
	if lender == nil {
		return // its lease ends by itself
	}
	if p == nil || !p.queued || !usable || slices.Contains(p.failed, server.ID) {
		e.emit(CallRelease{To: *lender, Msg: Release{Lease: ev.Lease}})
		return
	}
	e.leaveQueue(p)
	p.slot = slotInUse{lender: lender, lease: ev.Lease, server: server}
	e.dispatch(p)
}

// lentServer returns a server that another instance lends a slot of, if this
// instance's view has nothing against it. A cold server and one of another zone
// are usable: the lender's view decides about them.
func (e *Engine) lentServer(id model.ServerID) (*view.Server, bool) {
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

// peerAcquire lends a free slot if no request here waits for one.
func (e *Engine) peerAcquire(ev PeerAcquire) {
	key := leaseKey{ev.From, ev.Msg.Lease}
	if l := e.leases[key]; l != nil { // the question arrived twice
		e.emit(ReplyAcquire{Call: ev.Call, Msg: Grant{Server: l.holding.Server, Slot: l.holding.Slot}})
		return
	}
	q := e.queues[ev.Msg.Service]
	if !e.view.Ready() || !e.view.Fresh(e.now) || ev.Msg.Deadline <= 0 || q != nil && q.size > 0 {
		e.emit(ReplyAcquire{Call: ev.Call})
		return
	}
	h, ok := e.pool.Acquire(e.now, ev.Msg.Service, ev.Msg.Class, nil)
	if !ok {
		e.emit(ReplyAcquire{Call: ev.Call})
		return
	}
	e.leases[key] = &lease{holding: h}
	e.startTimer(timer{at: e.now.Add(ev.Msg.Deadline + LeaseMargin), kind: timerLease, lease: key})
	e.emit(ReplyAcquire{Call: ev.Call, Msg: Grant{Server: h.Server, Slot: h.Slot}})
}

func (e *Engine) peerRelease(ev PeerRelease) {
	key := leaseKey{ev.From, ev.Msg.Lease}
	l := e.leases[key]
	if l == nil {
		return
	}
	if ev.Msg.Observed {
		e.emit(Observe{Observation{Server: l.holding.Server, Result: ev.Msg.Result, Latency: ev.Msg.Latency}})
	}
	e.endLease(key)
}

func (e *Engine) endLease(id leaseKey) {
	l := e.leases[id]
	if l == nil {
		return
	}
	delete(e.leases, id)
	e.pool.Release(e.now, l.holding)
	e.serveQueue(l.holding.Service)
}
