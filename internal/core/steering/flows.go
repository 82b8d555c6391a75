package steering

import (
	"time"

	"github.com/savorytiller/savorytiller/internal/core/model"
)

// Times of flows.
const (
	// responseTimeout is how long a server that is reachable and alive may take to
	// answer a SYN: a round trip between zones and its processing, with a margin
	// below the callers' first retransmission after 200 ms.
	responseTimeout = 150 * time.Millisecond
	// closedRetention keeps the record of a closed flow, so that its last packets do
	// not look like those of a flow that another instance opened.
	closedRetention = 2 * time.Second
	// busyTimeout ends the estimate that a request is in progress if the caller
	// shows no answer, for example because it has given up.
	busyTimeout = 3 * time.Second
	// pauseThreshold is the gap between two packets after which nothing that was sent
	// before counts as unanswered: the process may have been paused, and the answers
	// wait behind the packet at hand or are lost.
	pauseThreshold = 500 * time.Millisecond
	// maxRecords bounds the records of an instance. Flows without a record are
	// still carried; they are only missing in the load estimate.
	maxRecords = 262_144
	// sweepInterval is the time between two passes over the records.
	sweepInterval = time.Second
)

// stage is how far a flow has come as its caller's packets show.
type stage uint8

const (
	opening stage = iota
	open
	closed
)

// flow is what an instance remembers of a flow that passed it. The flow itself
// needs no record: its packets name the server.
type flow struct {
	target *target
	stage  stage
	// busy is set from a request to the acknowledgement of its answer.
	busy bool
	// retransmitted is set once the present data has been sent again.
	retransmitted bool
	// counted is set if the flow is part of the target's load.
	counted      bool
	openedAt     model.Time
	lastPacketAt model.Time
	// sentAt is when data was sent that the caller shows no answer to.
	sentAt model.Time
	// dataEnd is the highest sequence number after data; acknowledged the highest
	// position that the caller confirmed.
	dataEnd, acknowledged uint32
	synSequence           uint32 // sequence number of the SYN
}

// pendingSYN is a SYN that was sent to a server.
type pendingSYN struct {
	key         FlowKey
	synSequence uint32
	sentAt      model.Time
}

// sequenceAfter reports whether sequence number a is sequenceAfter b, modulo 2^32.
func sequenceAfter(a, b uint32) bool { return int32(a-b) > 0 }

// ensureRecord returns the flow's ensureRecord, creating it if there is room.
func (s *Steerer) ensureRecord(p *Packet, t *target, now model.Time) *flow {
	if f := s.flows[p.Key]; f != nil {
		return f
	}
	if len(s.flows) >= maxRecords {
		return nil
	}
	f := &flow{target: t, stage: open, openedAt: now, dataEnd: p.Sequence, acknowledged: p.Acknowledged}
	s.flows[p.Key] = f
	s.addLoad(f)
	return f
}

// addLoad adds a flow to the load of its target.
func (s *Steerer) addLoad(f *flow) {
	if !f.counted {
		f.counted = true
		f.target.flows++
	}
}

// removeLoad takes a flow out of the load of its target.
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
	} else {
		f.target.busy--
	}
}

// removeRecord removes a record.
func (s *Steerer) removeRecord(key FlowKey, f *flow) {
	s.removeLoad(f)
	delete(s.flows, key)
}

// updateRecord updates a flow's record by a packet after the first one.
func (s *Steerer) updateRecord(f *flow, p *Packet, now model.Time, v *Verdict) {
	f.lastPacketAt = now
	if f.stage == opening {
		v.HandshakeTime = now.Sub(f.sentAt)
		f.stage = open
		f.dataEnd, f.acknowledged = p.Sequence, p.Acknowledged
		f.target.recordResponse(now)
		s.setBusy(f, false)
	}
	if sequenceAfter(p.Acknowledged, f.acknowledged) {
		f.acknowledged, f.retransmitted = p.Acknowledged, false
		f.target.recordResponse(now)
		if f.busy {
			v.ResponseTime = now.Sub(f.sentAt)
		}
		s.setBusy(f, false)
	}
	if dataEnd := p.Sequence + uint32(p.Length); p.Length > 0 {
		switch {
		case sequenceAfter(dataEnd, f.dataEnd):
			f.dataEnd, f.sentAt, f.retransmitted = dataEnd, now, false
			s.setBusy(f, true)
		case !f.retransmitted && now.Sub(f.sentAt) >= responseTimeout:
			f.retransmitted = true
			s.recordTimeout(f.target, now, f.sentAt)
		}
	}
	if p.Flags&(FIN|RST) != 0 && f.stage != closed {
		f.stage = closed
		s.removeLoad(f)
	}
}

// expirePendingSYNs counts the SYNs whose flows did not go on as unanswered. A server
// that resets a new flow is noticed only by this: the reset bypasses the
// instance.
func (s *Steerer) expirePendingSYNs(now model.Time) {
	if now.Sub(s.lastPacketAt) > pauseThreshold {
		s.pendingSYNs = nil
	}
	s.lastPacketAt = now
	for len(s.pendingSYNs) > 0 && now.Sub(s.pendingSYNs[0].sentAt) >= responseTimeout {
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

// sweep forgets flows that are over and requests that got no answer.
func (s *Steerer) sweep(now model.Time) {
	if now.Before(s.nextSweepAt) {
		return
	}
	s.nextSweepAt = now.Add(sweepInterval)
	for key, f := range s.flows {
		idle := now.Sub(f.lastPacketAt)
		switch {
		case f.stage == closed && idle > closedRetention, f.stage == opening && idle > closedRetention,
			idle > s.snapshot.IdleTimeout, now.Sub(f.openedAt) > s.snapshot.Lifetime:
			s.removeRecord(key, f)
		case f.busy && idle > busyTimeout:
			s.setBusy(f, false)
		}
	}
}
