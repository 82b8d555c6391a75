package belief

import (
	"time"

	"github.com/savorytiller/savorytiller/internal/core/model"
)

// Limits of passive health checks.
const (
	// maxConsecutiveTimeouts is the number of consecutive timeouts that make a server
	// unhealthy. A single one may be a lost packet.
	maxConsecutiveTimeouts = 2
	// minTrialDelay and maxTrialDelay bound the delay before an unhealthy server gets
	// a trial flow. The minimum is longer than a burst of packet loss.
	minTrialDelay = 500 * time.Millisecond
	maxTrialDelay = 4 * time.Second
	// timeoutMemory is how long a timeout counts. It is longer than the time between two
	// trial flows that get no response.
	timeoutMemory = 10 * time.Second
)

// Traffic is what the traffic goroutine has seen of one run of a backend server. Servers
// respond to callers directly, bypassing the instances, so a response shows only in the
// packets that the caller sends next.
type Traffic struct {
	// RespondedAt is when the last response was seen.
	RespondedAt model.Time
	// timeouts counts the timeouts since the last response, and timedOutAt is when the last
	// one was recorded.
	timeouts   int
	timedOutAt model.Time
	// trialAt is when an unhealthy server may get its next trial flow; 0 if there were
	// fewer than maxConsecutiveTimeouts.
	trialAt    model.Time
	trialDelay time.Duration
}

// SeeResponse records a response that was seen at a given time.
func (t *Traffic) SeeResponse(at model.Time) {
	t.RespondedAt = at
	t.forgetTimeouts()
}

func (t *Traffic) forgetTimeouts() { t.timeouts, t.trialAt, t.trialDelay = 0, 0, 0 }

// expireTimeouts forgets the timeouts of an outage that may have ended without a response
// that this instance could see.
func (t *Traffic) expireTimeouts(now model.Time) {
	if now.Sub(t.timedOutAt) > timeoutMemory {
		t.forgetTimeouts()
	}
}

// Timeouts returns the number of timeouts since the last response that still count.
func (t *Traffic) Timeouts(now model.Time) int {
	if now.Sub(t.timedOutAt) > timeoutMemory {
		return 0
	}
	return t.timeouts
}

// SeeTimeout records that a packet sent at sentAt got no response in time. If the server has
// responded since then, the timeout is ignored and the result is false.
func (t *Traffic) SeeTimeout(now, sentAt model.Time) bool {
	if t.RespondedAt.After(sentAt) {
		return false
	}
	t.expireTimeouts(now)
	t.timeouts++
	t.timedOutAt = now
	if t.timeouts >= maxConsecutiveTimeouts {
		t.trialDelay = min(max(minTrialDelay, 2*t.trialDelay), maxTrialDelay)
		t.trialAt = now.Add(t.trialDelay)
	}
	return true
}

// StartTrial records that the server gets a new flow. If it is unhealthy, it gets no other
// until that flow shows a response or the given time has passed.
func (t *Traffic) StartTrial(now model.Time, wait time.Duration) {
	t.expireTimeouts(now)
	if t.trialAt != 0 {
		t.trialAt = now.Add(wait)
	}
}
