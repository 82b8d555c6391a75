package request

import (
	"container/heap"

	"github.com/savorytiller/savorytiller/internal/core/model"
)

type timerKind uint8

const (
	timerQueue timerKind = iota
	timerDeadline
	timerLease
	timerParked
	timerParkedAcquire
	timerHedge
)

type timer struct {
	at     model.Time
	kind   timerKind
	id     ID
	serial uint32
	lease  leaseKey
	key    dedupKey
}

// timers is a heap ordered by time. A timer is not removed when the request, lease or
// key that it belongs to ends; it has no effect then.
type timers []timer

func (t timers) Len() int           { return len(t) }
func (t timers) Less(i, j int) bool { return t[i].at < t[j].at }
func (t timers) Swap(i, j int)      { t[i], t[j] = t[j], t[i] }

// Push implements heap.Interface.
func (t *timers) Push(x any) { *t = append(*t, x.(timer)) }

// Pop implements heap.Interface.
func (t *timers) Pop() any {
	old := *t
	last := old[len(old)-1]
	*t = old[:len(old)-1]
	return last
}

// NextTimer returns the time at which the engine needs a Tick, if any.
func (e *Engine) NextTimer() (model.Time, bool) {
	if len(e.timers) == 0 {
		return 0, false
	}
	return e.timers[0].at, true
}

func (e *Engine) startTimer(t timer) { heap.Push(&e.timers, t) }

// runTimers handles all timers that have expired.
func (e *Engine) runTimers() {
	for len(e.timers) > 0 && !e.timers[0].at.After(e.now) {
		t := heap.Pop(&e.timers).(timer)
		switch t.kind {
		case timerQueue:
			e.queueTimeout(t.id, t.serial)
		case timerDeadline:
			e.deadlinePassed(t.id)
		case timerLease:
			e.endLease(t.lease)
		case timerParkedAcquire:
			e.rejectParked(t.lease)
		case timerHedge:
			e.hedge(t.id, t.serial)
		case timerParked:
			e.replyToParked(e.dedup.expireParked(e.now, t.key))
		}
	}
}
