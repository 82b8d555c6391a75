package registry

import (
	"time"

	"github.com/savorytiller/savorytiller/internal/core/model"
)

// An instance that is short of processor time cannot tell a slow server from its own
// slowness: packets and answers wait in its sockets, and its timeouts pass. So it measures
// how late its own timers fire, takes no late probe for a failure of the server, and runs
// only as many probes at once as it can process in time.

const (
	// maxProbeLag is how much later than its timeout a failed probe may be processed and
	// still count.
	maxProbeLag = 40 * time.Millisecond
	// lagWindow is the time over which the highest lag is reported.
	lagWindow = 5 * time.Second
	// logLagAbove is the lag from which a line is logged, at most once in lagWindow.
	logLagAbove = 100 * time.Millisecond
	// minConcurrentProbes and maxConcurrentProbes limit the probes in progress. If a zone is
	// cut off, all its servers may be probed, and each probe takes the full probeTimeout.
	minConcurrentProbes = 2
	maxConcurrentProbes = 32
)

// lagMeter measures how late the control goroutine runs.
type lagMeter struct {
	windowAt          model.Time
	current, previous time.Duration // highest lag in this window and the one before
	loggedAt          model.Time
}

// record records that a timer fired late.
func (l *lagMeter) record(now model.Time, late time.Duration) {
	if now.Sub(l.windowAt) >= lagWindow {
		l.windowAt, l.previous, l.current = now, l.current, 0
	}
	l.current = max(l.current, late)
}

// peak returns the highest lag in the last one to two windows.
func (l *lagMeter) peak() time.Duration { return max(l.current, l.previous) }

// recordLag records how late the timer for the next wake-up fired.
func (m *machine) recordLag(late time.Duration) {
	m.lag.record(m.now, late)
	m.counts.LagMs = uint64(m.lag.peak().Milliseconds())
	if late > logLagAbove && (m.lag.loggedAt == 0 || m.now.Sub(m.lag.loggedAt) >= lagWindow) {
		m.lag.loggedAt = m.now
		m.log.Info("the process runs late", "late_ms", late.Milliseconds(), "probes", m.runningProbes, "probe_limit", m.probeLimit)
	}
}

// probeInTime reports whether the result of a probe was processed in time, and adapts the
// number of concurrent probes: it halves with each round of late ones and grows by one with
// each that is in time.
func (m *machine) probeInTime(e *evProbed) bool {
	if m.now.Sub(e.sentAt) <= probeTimeout+maxProbeLag {
		m.probeLimit = min(m.probeLimit+1, maxConcurrentProbes)
		return true
	}
	m.counts.LateProbes++
	if m.now.Sub(m.probeLimitCutAt) > probeTimeout {
		m.probeLimit, m.probeLimitCutAt = max(m.probeLimit/2, minConcurrentProbes), m.now
	}
	return false
}
