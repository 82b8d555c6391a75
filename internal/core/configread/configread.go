// Package configread schedules the reads of an instance from the configuration
// service. The reads of all instances together stay within a budget that the
// operators of the service set, even when the service returns after an outage
// and every instance wants to read.
package configread

import (
	"math/rand/v2"
	"time"

	"github.com/savorytiller/savorytiller/internal/core/model"
)

// Budget is the number of calls per second that the service accepts from the
// whole fleet. Only half of it is allocated: a quarter to the watchers and a
// quarter to all instances. The rest leaves room for instances that disagree on
// which of them are watchers, and for restarts within the same second.
const (
	Budget       = 2000
	watcherShare = Budget / 4
	commonShare  = Budget / 4
)

// WatchersPerZone is the number of instances in each availability zone that
// hold a watch. With two, the failure of one does not delay new notes.
const WatchersPerZone = 2

// Times of the fallback reads of instances without a watch and of the backoff, and the
// limit of bursts.
const (
	// StaleAfter is the time since the last known read by any instance after which
	// an instance without a watch reads the service itself. It is longer than a
	// watch, whose end without a change confirms the current version.
	StaleAfter = 45 * time.Second
	// fallbackInterval is the minimum of the mean time between fallback reads of
	// one instance.
	fallbackInterval = 30 * time.Second
	minBackoff       = time.Second
	maxBackoff       = 30 * time.Second
	// maxTokens limits the burst of calls of one instance.
	maxTokens = 20
)

// Input is the state that scheduling depends on.
type Input struct {
	// FleetSize is the number of all known instances, including dead ones: an
	// instance that can reach no other must not use the budget of the whole fleet.
	FleetSize int
	// Zones is the number of availability zones with instances.
	Zones int
	// Watcher is set for an instance that should hold a watch.
	Watcher bool
	// LastReadAge is the time since the last known read of the service by any
	// instance.
	LastReadAge time.Duration
	// NeedsConfig is set for an instance without a configuration that has already
	// tried to get one from its peers.
	NeedsConfig bool
}

// Action is the action that the instance should take now.
type Action uint8

const (
	// Wait means to call Next again at the returned time.
	Wait Action = iota
	// Watch means to watch the key release/latest.
	Watch
	// Read means to read the key release/latest once.
	Read
)

// Scheduler schedules the calls of one instance to the configuration service with
// a token bucket.
type Scheduler struct {
	rng        *rand.Rand
	tokens     float64
	refilledAt model.Time
	started    bool
	inProgress bool // a watch or read is in progress
	backoff    time.Duration
	notBefore  model.Time // end of the backoff or of the start jitter
	fallbackAt model.Time // next fallback read; 0 if none is scheduled
}

// New returns a scheduler that takes its jitter from rng.
func New(rng *rand.Rand) *Scheduler { return &Scheduler{rng: rng} }

// rate returns the calls per second that this instance may make.
func (in Input) rate() float64 {
	common := commonShare / float64(max(1, in.FleetSize))
	if in.Watcher {
		return max(common, watcherShare/float64(max(1, WatchersPerZone*max(1, in.Zones))))
	}
	return common
}

func (s *Scheduler) jitter(limit time.Duration) time.Duration {
	return time.Duration(s.rng.Int64N(int64(max(1, limit))))
}

// advance refills the tokens. On first use it delays the first call by a random
// time instead, so that a fleet whose instances all start at once spreads its
// calls over the time that the budget allows for.
func (s *Scheduler) advance(now model.Time, in Input) {
	if !s.started {
		s.started, s.refilledAt, s.tokens = true, now, 1
		s.notBefore = now.Add(s.jitter(time.Duration(float64(in.FleetSize) / commonShare * float64(time.Second))))
		return
	}
	s.tokens = min(max(1, min(maxTokens, in.rate())), s.tokens+now.Sub(s.refilledAt).Seconds()*in.rate())
	s.refilledAt = now
}

// Next returns the action to take now, and the time at which to call Next again if
// nothing else happens before. A Watch or Read must be followed by Done.
func (s *Scheduler) Next(now model.Time, in Input) (Action, model.Time) {
	s.advance(now, in)
	if s.inProgress {
		return Wait, now.Add(time.Minute)
	}
	if now.Before(s.notBefore) {
		return Wait, s.notBefore
	}
	if !in.Watcher && !in.NeedsConfig {
		if in.LastReadAge < StaleAfter {
			s.fallbackAt = 0
			return Wait, now.Add(StaleAfter - in.LastReadAge)
		}
		if s.fallbackAt == 0 {
			s.fallbackAt = now.Add(s.jitter(s.fallbackPeriod(in)))
		}
		if now.Before(s.fallbackAt) {
			return Wait, s.fallbackAt
		}
	}
	if !s.takeToken(in) {
		return Wait, now.Add(s.untilNextToken(in))
	}
	s.inProgress = true
	if in.Watcher {
		return Watch, now.Add(time.Minute)
	}
	s.fallbackAt = now.Add(s.fallbackPeriod(in)/2 + s.jitter(s.fallbackPeriod(in)))
	return Read, now.Add(time.Minute)
}

// fallbackPeriod returns the mean time between fallback reads of this instance.
// The reads of the whole fleet stay within commonShare.
func (s *Scheduler) fallbackPeriod(in Input) time.Duration {
	return max(fallbackInterval, time.Duration(float64(in.FleetSize)/commonShare*float64(time.Second)))
}

func (s *Scheduler) takeToken(Input) bool {
	if s.tokens < 1 {
		return false
	}
	s.tokens--
	return true
}

func (s *Scheduler) untilNextToken(in Input) time.Duration {
	return time.Duration((1-s.tokens)/in.rate()*float64(time.Second)) + time.Millisecond
}

// Allow reports whether another call, for example the read of a note, is allowed
// now, and takes a token for it. If not, the returned time is when to try again.
func (s *Scheduler) Allow(now model.Time, in Input) (bool, model.Time) {
	s.advance(now, in)
	if now.Before(s.notBefore) {
		return false, s.notBefore
	}
	if s.takeToken(in) {
		return true, now
	}
	return false, now.Add(s.untilNextToken(in))
}

// Done must be called at the end of a watch or read. After a failure, the next call
// is delayed by a backoff with jitter, so that instances do not retry at the same
// time.
func (s *Scheduler) Done(now model.Time, ok bool) {
	s.inProgress = false
	if ok {
		s.backoff = 0
		return
	}
	s.BackOff(now)
}

// BackOff delays the next call with exponential backoff. It must be called after a
// failure of a call that Allow permitted.
func (s *Scheduler) BackOff(now model.Time) {
	s.backoff = min(maxBackoff, max(minBackoff, 2*s.backoff))
	s.notBefore = now.Add(s.backoff/2 + s.jitter(s.backoff))
}
