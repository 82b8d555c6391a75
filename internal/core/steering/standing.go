package steering

import (
	"time"

	"github.com/savorytiller/savorytiller/internal/core/model"
)

// Limits of suspicion.
const (
	// maxUnanswered is the number of packets without an answer in a row that
	// make a server suspect. One may be a lost packet.
	maxUnanswered = 2
	// minRetry and maxRetry bound the pause before a suspect server gets a new
	// flow to try. The first is longer than the loss of a burst of packets.
	minRetry = 500 * time.Millisecond
	maxRetry = 4 * time.Second
	// confirmEvery is the time between two requests for a probe of an unlisted server,
	// whose probe may have no clear result.
	confirmEvery = 500 * time.Millisecond
)

// target is what this instance observed of a server. Answers bypass the
// instances, so a server's health shows only in what its callers send next.
type target struct {
	server *Server
	// flows and busy count open flows and requests in progress by way of this
	// instance.
	flows, busy int
	// silent counts packets without an answer since the last sign of life.
	silent     int
	answeredAt model.Time
	// retryAt is when a suspect server may get a flow to try; 0 if it is not suspect.
	retryAt model.Time
	backoff time.Duration
	// report asks for a probe of the server.
	report bool
	// confirmAt is when an unlisted server may be asked for again.
	confirmAt model.Time
	// opens are the flows opened in the second from window while the server was cold.
	opens  int
	window model.Time
}

// answered notes a sign of life.
func (t *target) answered(now model.Time) {
	t.answeredAt, t.silent, t.retryAt, t.backoff = now, 0, 0, 0
}

// unanswered notes that something sent at the given time got no answer in time. A
// sign of life after it outweighs it; then it reports false.
func (t *target) unanswered(now, sentAt model.Time) bool {
	if t.answeredAt.After(sentAt) {
		return false
	}
	t.silent++
	if t.silent >= maxUnanswered {
		t.backoff = min(max(minRetry, 2*t.backoff), maxRetry)
		t.retryAt = now.Add(t.backoff)
	}
	return true
}

// renew takes the server as a new snapshot has it.
func (t *target) renew(server *Server) {
	t.server = server
	if server.Reach == Reachable && server.ReachAt.After(t.answeredAt) {
		t.answered(server.ReachAt)
	}
}

// unreachable reports whether a probe failed and nothing was heard since.
func (t *target) unreachable() bool {
	return t.server.Reach == Unreachable && t.server.ReachAt.After(t.answeredAt)
}

// suspect reports whether the server should get no new flow now.
func (t *target) suspect(now model.Time) bool { return now.Before(t.retryAt) || t.unreachable() }

// tried notes that a suspect server gets a flow to try. Until that flow shows
// an answer it gets no other.
func (t *target) tried(now model.Time) {
	if t.retryAt != 0 {
		t.retryAt = now.Add(2 * answerTime)
	}
}
