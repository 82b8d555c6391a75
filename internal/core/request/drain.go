package request

import (
	"math"
	"time"

	"github.com/savorytiller/savorytiller/internal/core/model"
)

// Load condition addressed: for seconds, more requests than the slots of a service can serve, with
// different priorities. A request that will not get a slot in time is refused at once, so that its
// caller can turn elsewhere instead of waiting, and learns when to try again.

const (
	// drainWeight is the weight of the newest interval in the moving average.
	drainWeight = 0.1
	// minDrainSamples is the number of intervals from which the average is used.
	minDrainSamples = 10
	// maxRetryAfter limits the delay that callers are told. The drain is no prediction for
	// longer.
	maxRetryAfter = 30 * time.Second
)

// drain measures how fast the waiting requests of one class get slots. That includes the effect of
// the requests of other classes.
type drain struct {
	// interval is the moving average of the time between two waiting requests that get a slot,
	// in nanoseconds.
	interval float64
	samples  int
	// lastAt is when the last of them got one, or when the first one began to wait.
	lastAt model.Time
}

// start records that a request waits after none did.
func (d *drain) start(now model.Time) { d.lastAt = now }

// granted records that a waiting request got a slot.
func (d *drain) granted(now model.Time) {
	interval := float64(now.Sub(d.lastAt))
	d.lastAt = now
	d.samples++
	d.interval += max(drainWeight, 1/float64(d.samples)) * (interval - d.interval)
}

// wait returns the time until a request gets a slot that is queued behind others. A longer time since
// the last grant replaces the average, because the class may get no slots any more. ok is false if
// the drain is not known.
func (d *drain) wait(now model.Time, ahead int) (wait time.Duration, ok bool) {
	interval := d.interval
	if ahead > 0 {
		interval = max(interval, float64(now.Sub(d.lastAt)))
	}
	return time.Duration(float64(ahead+1) * interval), d.samples >= minDrainSamples
}

// retryAfter returns the delay that a refused caller is told, in whole seconds as HTTP has it.
func retryAfter(wait time.Duration) time.Duration {
	seconds := math.Ceil(min(wait, maxRetryAfter).Seconds())
	return time.Duration(max(seconds, 1)) * time.Second
}

// drain returns the drain of a class.
func (q *queue) drain(class string) *drain {
	d := q.drains[class]
	if d == nil {
		d = &drain{}
		q.drains[class] = d
	}
	return d
}

// expectedWait returns the time until a request that is queued now gets a slot. ok is false if it is
// not known or the classes of the service have no different priorities.
func (e *Engine) expectedWait(p *pending) (wait time.Duration, ok bool) {
	if !e.pool.Prioritized(p.service.ID) {
		return 0, false
	}
	q := e.queue(p.service.ID)
	return q.drain(p.kind.Class).wait(e.now, len(q.waiting[p.kind.Class]))
}

// comesTooLate reports whether a request would still wait for a slot at its deadline or at the end
// of the longest wait, by the drain of its class. It may still find a slot if none of its class
// waits before it, or at another instance.
func (e *Engine) comesTooLate(p *pending) bool {
	wait, ok := e.expectedWait(p)
	return ok && len(e.queue(p.service.ID).waiting[p.kind.Class]) > 0 && wait > min(e.settings.QueueWait, p.deadline.Sub(e.now)) && !e.mayBorrow(p)
}

// mayBorrow reports whether another instance could be asked for a slot. A request of the least
// urgent class must be able to ask now, others follow when a call in progress has ended.
func (e *Engine) mayBorrow(p *pending) bool {
	q := e.queue(p.service.ID)
	if !e.view.Fresh(e.now) || q.pendingAcquires >= maxPendingAcquires && !e.pool.HasLessUrgent(p.service.ID, p.kind.Class) {
		return false
	}
	q.updateHolders(e.view, p.service)
	for i := range q.holders {
		if e.canAsk(q, p, &q.holders[i], q.holders[i].sameZone) {
			return true
		}
	}
	return false
}
