package steering

import (
	"time"

	"github.com/savorytiller/savorytiller/internal/core/model"
)

// Timeouts and limits of flow records.
const (
	// ResponseTimeout is the time in which a healthy, reachable server answers a
	// SYN: a round trip between zones plus processing. It leaves a margin below
	// the callers' first retransmission after 200 ms. Copies of a SYN within it go to
	// the same server, whatever a newer snapshot says.
	ResponseTimeout = 150 * time.Millisecond
	// closedRetention is how long the record of a closed flow is kept, so that its
	// last packets are not mistaken for those of a flow that another instance opened.
	// It also applies to a SYN without further packets.
	closedRetention = 2 * time.Second
	// busyTimeout is the time without packets after which a request no longer
	// counts as in progress, for example because the caller has given up.
	busyTimeout = 3 * time.Second
	// pauseThreshold is the gap between two packets after which pending SYNs are
	// not counted as timeouts: the process may have been paused, and the callers'
	// next packets may still be queued or lost.
	pauseThreshold = 500 * time.Millisecond
	// maxRecords limits the flow records of a Steerer. Flows without a record are
	// still forwarded; they are only missing from the load estimate.
	maxRecords = 262_144
	// sweepInterval is the time between two scans for expired records.
	sweepInterval = time.Second
)

// stage is the connection state of a flow, derived from the caller's packets.
type stage uint8

const (
	opening stage = iota
	open
	closed
)

// flow is an instance's record of a flow. It serves the load estimate, the health
// checks and retransmitted SYNs. Later packets need no record: they name the server.
type flow struct {
	target *target
	stage  stage
	// busy is set from the SYN or a request until a packet of the caller shows that the
	// server has responded. It is also cleared if no response is expected any more.
	busy bool
	// retransmitted is set once the caller has retransmitted its latest data.
	retransmitted bool
	// counted is set if the flow is included in the target's load.
	counted bool
	// resetQueued is set while the flow is in lostFlows.resets.
	resetQueued  bool
	openedAt     model.Time
	lastPacketAt model.Time
	// sentAt is when the SYN or the caller's latest new data was sent to the server.
	sentAt model.Time
	// dataEnd is the sequence number after the last byte that the caller sent;
	// acknowledged is the highest acknowledgment number of the caller.
	dataEnd, acknowledged uint32
	synSequence           uint32 // sequence number of the SYN
	priority              uint8  // of the route when the flow opened
	// countedAt is when the request in progress was last counted in the load tally; 0 if it is not.
	countedAt model.Time
}

// pendingSYN is a SYN that was sent to a server and is checked after ResponseTimeout.
type pendingSYN struct {
	key         FlowKey
	synSequence uint32
	sentAt      model.Time
}

// sequenceAfter reports whether sequence number a follows b, modulo 2^32.
func sequenceAfter(a, b uint32) bool { return int32(a-b) > 0 }

// ensureRecord returns the record of an open flow and creates it if necessary. It
// returns nil if there is none and maxRecords is reached.
func (s *Steerer) ensureRecord(p *Packet, t *target, now model.Time) *flow {
	if f := s.flows[p.Key]; f != nil {
		return f
	}
	if s.full() {
		return nil
	}
	f := &flow{target: t, stage: open, openedAt: now, dataEnd: p.Sequence, acknowledged: p.Acknowledged, priority: s.priorityOf(p.Key.Route)}
	s.flows[p.Key] = f
	s.addLoad(f)
	return f
}

// showsAnswer reports whether a packet of the caller shows that the server has answered since the
// flow's latest packet.
func (f *flow) showsAnswer(p *Packet) bool {
	return f.stage == opening || sequenceAfter(p.Acknowledged, f.acknowledged)
}

// addLoad includes a flow in the load of its target.
func (s *Steerer) addLoad(f *flow) {
	if !f.counted {
		f.counted = true
		f.target.flows++
	}
}

// removeLoad removes a flow from the load of its target.
func (s *Steerer) removeLoad(f *flow) {
	s.setBusy(f, false)
	if f.counted {
		f.counted = false
		f.target.flows--
	}
}

func (s *Steerer) setBusy(f *flow, busy bool) {
	if f.busy == busy {
		return
	}
	f.busy = busy
	if busy {
		f.target.busy++
		s.load.startRequest(f)
	} else {
		f.target.busy--
		s.load.endRequest(f)
	}
}

// removeRecord deletes the record of a flow and its load.
func (s *Steerer) removeRecord(key FlowKey, f *flow) {
	s.removeLoad(f)
	s.dropCopy(key, model.ReasonHedgeCancelled)
	delete(s.flows, key)
}

// updateRecord updates a flow's record from a packet after the SYN. It sets the
// HandshakeTime or ResponseTime of the decision if the packet shows that the server
// has responded.
func (s *Steerer) updateRecord(f *flow, p *Packet, now model.Time, decision *Decision) {
	f.lastPacketAt = now
	if f.stage == opening {
		decision.HandshakeTime = now.Sub(f.sentAt)
		f.stage = open
		f.dataEnd, f.acknowledged = p.Sequence, p.Acknowledged
		f.target.SeeResponse(now)
		f.target.path.see(decision.HandshakeTime)
		s.setBusy(f, false)
	}
	if sequenceAfter(p.Acknowledged, f.acknowledged) {
		bytes := p.Acknowledged - f.acknowledged
		f.acknowledged, f.retransmitted = p.Acknowledged, false
		f.target.SeeResponse(now)
		if f.busy {
			s.seeAnswer(f, p.Key.Route, bytes, now, decision)
		}
		s.setBusy(f, false)
	}
	if dataEnd := p.Sequence + uint32(p.Length); p.Length > 0 {
		switch {
		case sequenceAfter(dataEnd, f.dataEnd):
			f.dataEnd, f.sentAt, f.retransmitted = dataEnd, now, false
			s.setBusy(f, true)
		case !f.retransmitted && now.Sub(f.sentAt) >= ResponseTimeout:
			f.retransmitted = true
			s.load.endRequest(f) // the server does not respond
			s.recordTimeout(f.target, now, f.sentAt)
		}
	}
	if p.Flags&(FIN|RST) != 0 && f.stage != closed {
		f.stage = closed
		s.removeLoad(f)
	}
}

// expirePendingSYNs records a timeout for each SYN that no further packet of its flow
// followed within ResponseTimeout. This is the only way to notice a server that resets
// new flows, since the resets bypass the instance.
func (s *Steerer) expirePendingSYNs(now model.Time) {
	if now.Sub(s.lastPacketAt) > pauseThreshold {
		s.pendingSYNs = nil
	}
	s.lastPacketAt = now
	for len(s.pendingSYNs) > 0 && now.Sub(s.pendingSYNs[0].sentAt) >= ResponseTimeout {
		p := s.pendingSYNs[0]
		s.pendingSYNs = s.pendingSYNs[1:]
		f := s.flows[p.key]
		if f == nil || f.stage != opening || f.synSequence != p.synSequence || f.sentAt != p.sentAt {
			continue
		}
		s.recordTimeout(f.target, now, f.sentAt)
		s.setBusy(f, false)
	}
}

// sweep removes the records of closed and expired flows and stops counting requests
// without a response as in progress.
func (s *Steerer) sweep(now model.Time) {
	if now.Before(s.nextSweepAt) {
		return
	}
	s.nextSweepAt = now.Add(sweepInterval)
	s.expireUnknownTokens(now)
	s.fadeRoutes()
	for key, f := range s.flows {
		switch {
		case s.snapshot.expired(f, now):
			s.removeRecord(key, f)
		case f.waitsInVain(now):
			s.setBusy(f, false)
		}
	}
}

// expired reports whether the record of a flow is no longer needed.
func (s *Snapshot) expired(f *flow, now model.Time) bool {
	idle := now.Sub(f.lastPacketAt)
	return f.stage != open && idle > closedRetention || idle > s.IdleTimeout || now.Sub(f.openedAt) > s.Lifetime
}

// waitsInVain reports whether a response to the flow's request is no longer expected.
func (f *flow) waitsInVain(now model.Time) bool {
	return f.busy && now.Sub(f.lastPacketAt) > busyTimeout
}
