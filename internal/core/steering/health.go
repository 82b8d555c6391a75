package steering

import (
	"time"

	"github.com/savorytiller/savorytiller/internal/core/belief"
	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/core/room"
)

// probeRequestInterval is the least time between two requests to probe a server that is
// unlisted, in an unresponsive zone, or whose failed probe is too old. The request is
// repeated because a probe may be inconclusive.
const probeRequestInterval = 500 * time.Millisecond

// target holds the load of a server and what its packets show of its health, as this instance
// observed them.
type target struct {
	server *Server
	belief.Traffic
	// flows and busy count the open flows through this instance and, of these, the ones
	// with a request or a handshake in progress.
	flows, busy int
	// probeRequestedAt is when the target was queued in Steerer.suspects; 0 if it is not.
	probeRequestedAt model.Time
	// nextProbeRequestAt is the earliest time of the next throttled probe request.
	nextProbeRequestAt model.Time
	// coldFlows counts the new flows since coldWindowStart while the server is cold.
	coldFlows       int
	coldWindowStart model.Time
	// replaced is set once the server has started again, so that another target has its place.
	replaced bool
	// resetFor is the loss for which the open flows were last queued for a reset.
	resetFor loss
	// resetsJustified is whether the flows could be reset at resetsCheckedAt.
	resetsJustified bool
	resetsCheckedAt model.Time
	load            targetLoad
	// measured holds the answers that this instance saw, and path the time on the network.
	measured measured
	path     *pathTime
	// fleet is what the view with viewNumber says of the server.
	viewNumber uint64
	fleet      room.ServerLoad
	// failingTrialAt is when the target may get its next trial flow while it fails answers.
	failingTrialAt model.Time
}

// loss is what shows that a server cannot continue its flows: that its run has ended, or
// a failed probe, by the time at which it was sent. The zero value is no loss.
type loss struct {
	ended    bool
	probedAt model.Time
}

// loss returns what shows that the server cannot continue its flows.
func (s *Steerer) loss(t *target, now model.Time) loss {
	switch {
	case s.hasEnded(t, now):
		return loss{ended: true}
	case t.server.RecentlyUnreachable(now, &t.Traffic):
		return loss{probedAt: t.server.ProbeSentAt}
	default:
		return loss{}
	}
}

// hasEnded reports whether the run of the server has certainly ended.
func (s *Steerer) hasEnded(t *target, now model.Time) bool {
	return t.server.HasEnded(now, &s.snapshot.Availability)
}

// departed reports whether the server's entry is not expected to return.
func (s *Steerer) departed(t *target, now model.Time) bool {
	return t.server.Departed(now, &s.snapshot.Availability)
}

// unreachable reports whether a probe failed and no response was seen since it was sent.
func (t *target) unreachable() bool { return t.server.Unreachable(&t.Traffic) }

// update replaces the server by that of a new snapshot. A successful probe counts as
// a response at the time the probe was sent.
func (t *target) update(server *Server) {
	t.server, t.resetsCheckedAt = server, 0
	if server.ProbeResult == belief.Reachable && server.ProbeSentAt.After(t.RespondedAt) {
		t.SeeResponse(server.ProbeSentAt)
	}
}
