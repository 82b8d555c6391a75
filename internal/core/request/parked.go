package request

import (
	"slices"
	"time"

	"github.com/savorytiller/savorytiller/internal/core/model"
)

// Load condition addressed: a shortage in which some instances hold fewer slots than their urgent
// requests need, while the slots of others go to less urgent requests. Instances lend only free
// slots, and there are none in a shortage, so the call of a more urgent request waits for a slot
// beside the requests of the lender.

const (
	// maxAcquireParkTime is below the time that the asking instance waits for the
	// reply, by a round trip between zones.
	maxAcquireParkTime = 20 * time.Millisecond
	// maxUrgentAcquires replaces maxAcquiresPerRequest while less urgent requests may hold the
	// slots: the instances of the own zone, which are asked first, may all be short.
	maxUrgentAcquires = 3
	// maxParkedAcquires limits the calls of one service that wait here.
	maxParkedAcquires = 16
)

// parkedAcquire is an Acquire call that waits for a slot.
type parkedAcquire struct {
	call CallID
	key  leaseKey
	msg  Acquire
}

// maxAcquires returns the number of instances that may be asked for a slot for a request each time
// that it is queued.
func (e *Engine) maxAcquires(p *pending) int {
	if e.pool.Prioritized(p.service.ID) && e.pool.HasLessUrgent(p.service.ID, p.kind.Class) {
		return maxUrgentAcquires
	}
	return maxAcquiresPerRequest
}

// acquireForUrgent asks another instance for a slot for the oldest request of the most urgent class
// that waits, because the limit on calls may have kept it from asking when it was queued.
func (e *Engine) acquireForUrgent(service model.ServiceID) {
	if !e.pool.Prioritized(service) {
		return
	}
	var urgent *pending
	for class, waiting := range e.queue(service).waiting {
		if !e.pool.HasLessUrgent(service, class) {
			continue
		}
		i := slices.IndexFunc(waiting, func(p *pending) bool {
			_, asking := e.acquiring[p.id]
			return !asking && p.acquires < maxUrgentAcquires
		})
		if i >= 0 && (urgent == nil || e.before(waiting[i], urgent)) {
			urgent = waiting[i]
		}
	}
	if urgent != nil {
		e.acquireRemote(urgent)
	}
}

// before reports whether a request of a service is more urgent than another one, or as urgent and
// older.
func (e *Engine) before(p, other *pending) bool {
	a, b := e.pool.Priority(p.service.ID, p.kind.Class), e.pool.Priority(p.service.ID, other.kind.Class)
	return a < b || a == b && p.id < other.id
}

// parkOrReject lets an Acquire call wait for a slot if only less urgent requests of this instance wait
// for one, and rejects it otherwise.
func (e *Engine) parkOrReject(q *queue, ev PeerAcquire) {
	key := leaseKey{ev.From, ev.Msg.Lease}
	if slices.ContainsFunc(q.parked, func(a parkedAcquire) bool { return a.key == key }) {
		return // duplicate message; a reply would end the call
	}
	if len(q.parked) >= maxParkedAcquires || !e.onlyLessUrgentWait(q, &ev.Msg) {
		e.emit(ReplyAcquire{Call: ev.Call})
		return
	}
	q.parked = append(q.parked, parkedAcquire{ev.Call, key, ev.Msg})
	e.pool.AddWaiting(e.now, ev.Msg.Service, ev.Msg.Class, 1)
	e.startTimer(timer{at: e.now.Add(maxAcquireParkTime), kind: timerParkedAcquire, lease: key})
	e.serveQueue(ev.Msg.Service)
}

// onlyLessUrgentWait reports whether all requests that wait here are less urgent than the class of an
// Acquire call. Otherwise this instance is short of slots for urgent requests itself.
func (e *Engine) onlyLessUrgentWait(q *queue, msg *Acquire) bool {
	if !e.pool.Prioritized(msg.Service) {
		return false
	}
	priority := e.pool.Priority(msg.Service, msg.Class)
	for class, waiting := range q.waiting {
		if len(waiting) > 0 && e.pool.Priority(msg.Service, class) <= priority {
			return false
		}
	}
	return true
}

// parkedIndex returns the index of the oldest parked call of a class, or -1.
func (q *queue) parkedIndex(class string) int {
	return slices.IndexFunc(q.parked, func(a parkedAcquire) bool { return a.msg.Class == class })
}

// lendToParked lends a slot to the oldest parked call of a class. It reports false if the class must
// not take one now or the view has expired.
func (e *Engine) lendToParked(q *queue, class string) bool {
	i := q.parkedIndex(class)
	a := q.parked[i]
	if !e.view.Fresh(e.now) || !e.lend(a.call, a.key, &a.msg) {
		return false
	}
	e.removeParked(q, i)
	return true
}

func (e *Engine) removeParked(q *queue, i int) {
	msg := q.parked[i].msg
	q.parked = slices.Delete(q.parked, i, i+1)
	e.pool.AddWaiting(e.now, msg.Service, msg.Class, -1)
}

// unpark removes the call with a lease and returns it, if it is still parked.
func (e *Engine) unpark(key leaseKey) (a parkedAcquire, ok bool) {
	for _, q := range e.queues {
		if i := slices.IndexFunc(q.parked, func(a parkedAcquire) bool { return a.key == key }); i >= 0 {
			a = q.parked[i]
			e.removeParked(q, i)
			return a, true
		}
	}
	return a, false
}

// rejectParked rejects a call that is still parked.
func (e *Engine) rejectParked(key leaseKey) {
	if a, ok := e.unpark(key); ok {
		e.emit(ReplyAcquire{Call: a.call})
	}
}
