// Package source decides when an instance reads the configuration service. All
// readers together stay within a budget that the operators of the service set,
// also when the service returns after an outage and everybody wants to read.
package source

import (
	"math/rand/v2"
	"time"

	"github.com/savorytiller/savorytiller/internal/core/model"
)

// Budget is the number of calls per second that the service takes from the
// whole fleet. Half of it is planned for: a quarter for the watchers and a
// quarter for everybody, so that instances which disagree on who watches and
// restarts within the same second still fit.
const (
	Budget       = 2000
	watcherShare = Budget / 4
	commonShare  = Budget / 4
)

// WatchersPerZone is the number of instances of each availability zone that
// hold a watch, so that the loss of one does not delay notes.
const WatchersPerZone = 2

// Times of the fallback of instances that do not watch, and of the backoff.
const (
	// StaleAfter is the age of the fleet's last contact with the service after
	// which an instance that does not watch reads the service itself. It is
	// longer than a watch, whose end confirms that nothing changed.
	StaleAfter = 45 * time.Second
	// fallbackEvery is the mean time between the reads of such an instance.
	fallbackEvery = 30 * time.Second
	minBackoff    = time.Second
	maxBackoff    = 30 * time.Second
	// burstLimit bounds the tokens of a reader.
	burstLimit = 20
)

// Input is what the decision depends on.
type Input struct {
	// Fleet is the number of instances ever heard of, dead ones included: an
	// instance that reaches nobody must not take the whole budget.
	Fleet int
	// Zones is the number of availability zones with instances.
	Zones int
	// Watcher is set for an instance that should hold a watch.
	Watcher bool
	// Age is the time since any instance is known to have read the service.
	Age time.Duration
	// Waiting is set for an instance without a configuration whose peers had
	// their chance to provide one.
	Waiting bool
}

// Action is what the instance should do now.
type Action uint8

const (
	// Wait for the returned time.
	Wait Action = iota
	// Watch the key release/latest.
	Watch
	// Read the key release/latest once.
	Read
)

// Reader plans the calls of one instance.
type Reader struct {
	rng     *rand.Rand
	tokens  float64
	refill  model.Time
	started bool
	busy    bool
	backoff time.Duration
	notTill model.Time // backoff or start jitter
	readAt  model.Time // next fallback read; 0 if none is planned
}

// New returns a reader.
func New(rng *rand.Rand) *Reader { return &Reader{rng: rng} }

func (in Input) rate() float64 {
	common := commonShare / float64(max(1, in.Fleet))
	if in.Watcher {
		return max(common, watcherShare/float64(max(1, WatchersPerZone*max(1, in.Zones))))
	}
	return common
}

func (r *Reader) jitter(limit time.Duration) time.Duration {
	return time.Duration(r.rng.Int64N(int64(max(1, limit))))
}

// advance refills the tokens and, on first use, spreads the start of a whole
// fleet over the time that its budget needs.
func (r *Reader) advance(now model.Time, in Input) {
	if !r.started {
		r.started, r.refill, r.tokens = true, now, 1
		r.notTill = now.Add(r.jitter(time.Duration(float64(in.Fleet) / commonShare * float64(time.Second))))
		return
	}
	r.tokens = min(max(1, min(burstLimit, in.rate())), r.tokens+now.Sub(r.refill).Seconds()*in.rate())
	r.refill = now
}

// Next decides. The time is when to ask again if nothing else happens.
func (r *Reader) Next(now model.Time, in Input) (Action, model.Time) {
	r.advance(now, in)
	if r.busy {
		return Wait, now.Add(time.Minute)
	}
	if now.Before(r.notTill) {
		return Wait, r.notTill
	}
	if !in.Watcher && !in.Waiting {
		if in.Age < StaleAfter {
			r.readAt = 0
			return Wait, now.Add(StaleAfter - in.Age)
		}
		if r.readAt == 0 {
			r.readAt = now.Add(r.jitter(r.every(in)))
		}
		if now.Before(r.readAt) {
			return Wait, r.readAt
		}
	}
	if !r.take(in) {
		return Wait, now.Add(r.refillTime(in))
	}
	r.busy = true
	if in.Watcher {
		return Watch, now.Add(time.Minute)
	}
	r.readAt = now.Add(r.every(in)/2 + r.jitter(r.every(in)))
	return Read, now.Add(time.Minute)
}

// every is the mean time between fallback reads; the fleet's sum stays within the common share.
func (r *Reader) every(in Input) time.Duration {
	return max(fallbackEvery, time.Duration(float64(in.Fleet)/commonShare*float64(time.Second)))
}

func (r *Reader) take(Input) bool {
	if r.tokens < 1 {
		return false
	}
	r.tokens--
	return true
}

func (r *Reader) refillTime(in Input) time.Duration {
	return time.Duration((1-r.tokens)/in.rate()*float64(time.Second)) + time.Millisecond
}

// Spend takes a token for one more call, for example the read of a note. If
// there is none, the time says when to ask again.
func (r *Reader) Spend(now model.Time, in Input) (bool, model.Time) {
	r.advance(now, in)
	if now.Before(r.notTill) {
		return false, r.notTill
	}
	if r.take(in) {
		return true, now
	}
	return false, now.Add(r.refillTime(in))
}

// Done takes the end of a watch or read. After a failure the next one waits
// for a backoff with jitter, so readers do not return together.
func (r *Reader) Done(now model.Time, ok bool) {
	r.busy = false
	if ok {
		r.backoff = 0
		return
	}
	r.Failed(now)
}

// Failed takes the failure of a call that Spend allowed.
func (r *Reader) Failed(now model.Time) {
	r.backoff = min(maxBackoff, max(minBackoff, 2*r.backoff))
	r.notTill = now.Add(r.backoff/2 + r.jitter(r.backoff))
}
