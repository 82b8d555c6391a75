package steering

import (
	"time"

	"github.com/savorytiller/savorytiller/internal/core/model"
)

// Limits of the handling of flows whose server is lost.
const (
	// unknownTokenInterval is the least time between two reports of the same unknown token.
	// Callers retransmit after 200 ms.
	unknownTokenInterval = 200 * time.Millisecond
	// maxUnknownTokens limits the unknown tokens whose reports are remembered, since callers
	// can send any token.
	maxUnknownTokens = 4096
)

// lostFlows holds what is to be done about flows whose server cannot continue them or is not
// known.
type lostFlows struct {
	// resets are flows to reset although they sent no packet: a caller that waits for a
	// response would otherwise notice the loss of its server only at its own deadline, and
	// one that is idle only with its next request. Their records are marked as resetQueued and
	// have no load.
	resets []FlowKey
	// reportedAt is when each unknown token was last reported. reports are the tokens to
	// report.
	reportedAt map[Token]model.Time
	reports    []Token
}

func newLostFlows() lostFlows { return lostFlows{reportedAt: map[Token]model.Time{}} }

// queueResets queues resets of the open idempotent flows of targets that were just lost. Targets
// that were lost earlier are left out: they may serve again without a response that this instance
// could see.
func (s *Steerer) queueResets(lost []*target, now model.Time) {
	reset := make(map[*target]bool, len(lost))
	for _, t := range lost {
		if s.justifiesResets(t, now) {
			t.resetFor, reset[t] = s.loss(t, now), true
		}
	}
	for key, f := range s.flows {
		if !reset[f.target] || f.stage != open || f.resetQueued {
			continue
		}
		route := s.snapshot.Routes[key.Route]
		if route == nil || !route.Idempotent {
			continue
		}
		f.resetQueued = true
		s.removeLoad(f)
		s.lost.resets = append(s.lost.resets, key)
	}
}

// justifiesResets reports whether what is known of a target now justifies resets of its flows. A
// target that is listed and only unreachable justifies none while no other server could take them.
func (s *Steerer) justifiesResets(t *target, now model.Time) bool {
	return s.loss(t, now) != loss{} && (s.hasEnded(t, now) || s.departed(t, now) || s.hasAlternative(t))
}

// TakeReset removes a flow from the queue of flows to reset, and its record. It passes over flows
// whose reset is no longer justified by the snapshot and by what was seen of their servers, and
// those that sent a packet since they were queued, which was decided about on its own. The packet
// has the key of the flow and the caller's last acknowledgment. ok is false if the queue is empty.
func (s *Steerer) TakeReset(snapshot *Snapshot, now model.Time) (p Packet, ok bool) {
	if len(s.lost.resets) == 0 {
		return Packet{}, false
	}
	s.load.now = now
	s.setSnapshot(snapshot, now)
	for n := len(s.lost.resets); n > 0; n = len(s.lost.resets) {
		key := s.lost.resets[n-1]
		s.lost.resets = s.lost.resets[:n-1]
		f := s.flows[key]
		if f == nil || !f.resetQueued {
			continue
		}
		f.resetQueued = false
		if !s.resetsHold(f.target, now) {
			if !f.target.replaced {
				s.addLoad(f)
			}
			continue
		}
		s.removeRecord(key, f)
		return Packet{Key: key, Acknowledged: f.acknowledged, Token: f.target.server.Token}, true
	}
	s.lost.resets = nil // it may have been long
	return Packet{}, false
}

// resetsHold is justifiesResets, evaluated once for all flows of a target that are taken at a time.
func (s *Steerer) resetsHold(t *target, now model.Time) bool {
	if t.replaced {
		return false
	}
	if t.resetsCheckedAt != now {
		t.resetsCheckedAt, t.resetsJustified = now, s.justifiesResets(t, now)
	}
	return t.resetsJustified
}

// HasResets reports whether flows to reset are queued.
func (s *Steerer) HasResets() bool { return len(s.lost.resets) > 0 }

// decideUnknownToken returns the decision about a packet whose token no known server has. The
// flow is reset if its server is known to have ended. Otherwise the token is reported, and
// the packet is dropped: another instance may know the server, and the caller retransmits.
func (s *Steerer) decideUnknownToken(p *Packet, f *flow, now model.Time) Decision {
	s.reportUnknownToken(p.Token, now)
	if s.snapshot.EndedTokens[p.Token] && p.Flags&RST == 0 {
		if f != nil {
			s.removeRecord(p.Key, f)
		}
		return Decision{Action: Reset, Reason: model.ReasonServerRemoved}
	}
	return Decision{Reason: model.ReasonUnknownToken}
}

// reportUnknownToken queues a report of a token unless it was reported recently. Tokens of ended
// servers are reported too, because what is known of them expires.
func (s *Steerer) reportUnknownToken(token Token, now model.Time) {
	last, reported := s.lost.reportedAt[token]
	if token != 0 && (!reported && len(s.lost.reportedAt) < maxUnknownTokens || reported && now.Sub(last) >= unknownTokenInterval) {
		s.lost.reportedAt[token] = now
		s.lost.reports = append(s.lost.reports, token)
	}
}

// TakeUnknownToken removes a token from the queue of unknown tokens to report and returns it,
// or 0 if the queue is empty.
func (s *Steerer) TakeUnknownToken() Token {
	n := len(s.lost.reports)
	if n == 0 {
		return 0
	}
	token := s.lost.reports[n-1]
	s.lost.reports = s.lost.reports[:n-1]
	return token
}

// expireUnknownTokens forgets the tokens that were not reported recently.
func (s *Steerer) expireUnknownTokens(now model.Time) {
	for token, at := range s.lost.reportedAt {
		if now.Sub(at) > 2*unknownTokenInterval {
			delete(s.lost.reportedAt, token)
		}
	}
}
