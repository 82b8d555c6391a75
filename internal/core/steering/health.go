package steering

import (
	"time"

	"github.com/savorytiller/savorytiller/internal/core/model"
)

// Limits of suspicion.
const (
	// maxConsecutiveTimeouts is the number of packets without an answer in a row that
	// make a server suspect. One may be a lost packet.
	maxConsecutiveTimeouts = 2
	// minTrialDelay and maxRetry bound the pause before a suspect server gets a new
	// flow to try. The first is longer than the loss of a burst of packets.
	minTrialDelay = 500 * time.Millisecond
	maxTrialDelay = 4 * time.Second
	// probeRequestInterval is the time between two requests for a probe of an unlisted server,
	// whose probe may have no clear result.
	probeRequestInterval = 500 * time.Millisecond
)

// target is what this instance observed of a server. Answers bypass the
// instances, so a server's health shows only in what its callers send next.
type target struct {
	server *Server
	// flows and busy count open flows and requests in progress by way of this
	// instance.
	flows, busy int
	// consecutiveTimeouts counts packets without an answer since the last sign of life.
	consecutiveTimeouts int
	lastResponseAt      model.Time
	// trialAt is when a suspect server may get a flow to try; 0 if it is not suspect.
	trialAt    model.Time
	trialDelay time.Duration
	// probeRequested asks for a probe of the server.
	probeRequested bool
	// nextProbeRequestAt is when an unlisted server may be asked for again.
	nextProbeRequestAt model.Time
	// coldFlows are the flows opened in the second from window while the server was cold.
	coldFlows       int
	coldWindowStart model.Time
}

// recordResponse notes a sign of life.
func (t *target) recordResponse(now model.Time) {
	t.lastResponseAt, t.consecutiveTimeouts, t.trialAt, t.trialDelay = now, 0, 0, 0
}

// recordTimeout notes that something sent at the given time got no answer in time. A
// sign of life after it outweighs it; then it reports false.
func (t *target) recordTimeout(now, sentAt model.Time) bool {
	if t.lastResponseAt.After(sentAt) {
		return false
	}
	t.consecutiveTimeouts++
	if t.consecutiveTimeouts >= maxConsecutiveTimeouts {
		t.trialDelay = min(max(minTrialDelay, 2*t.trialDelay), maxTrialDelay)
		t.trialAt = now.Add(t.trialDelay)
	}
	return true
}

// update takes the server as a new snapshot has it.
func (t *target) update(server *Server) {
	t.server = server
	if server.ProbeResult == Reachable && server.ProbeSentAt.After(t.lastResponseAt) {
		t.recordResponse(server.ProbeSentAt)
	}
}

// unreachable reports whether a probe failed and nothing was heard since.
func (t *target) unreachable() bool {
	return t.server.ProbeResult == Unreachable && t.server.ProbeSentAt.After(t.lastResponseAt)
}

// unhealthy reports whether the server should get no new flow now.
func (t *target) unhealthy(now model.Time) bool { return now.Before(t.trialAt) || t.unreachable() }

// startTrial notes that a suspect server gets a flow to try. Until that flow shows
// an answer it gets no other.
func (t *target) startTrial(now model.Time) {
	if t.trialAt != 0 {
		t.trialAt = now.Add(2 * responseTimeout)
	}
}
