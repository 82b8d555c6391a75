package steering

import (
	"time"

	"github.com/savorytiller/savorytiller/internal/core/model"
)

// Times of flows.
const (
	// answerTime is how long a server that is reachable and alive may take to
	// answer a SYN: a round trip between zones and its processing, with a margin
	// below the callers' first retransmission after 200 ms.
	answerTime = 150 * time.Millisecond
	// closedTime keeps the record of a closed flow, so that its last packets do
	// not look like those of a flow that another instance opened.
	closedTime = 2 * time.Second
	// busyTime ends the estimate that a request is in progress if the caller
	// shows no answer, for example because it has given up.
	busyTime = 3 * time.Second
	// pauseTime is the gap between two packets after which nothing that was sent
	// before counts as unanswered: the process may have been paused, and the answers
	// wait behind the packet at hand or are lost.
	pauseTime = 500 * time.Millisecond
	// maxFlows bounds the records of an instance. Flows without a record are
	// still carried; they are only missing in the load estimate.
	maxFlows = 262_144
	// sweepEvery is the time between two passes over the records.
	sweepEvery = time.Second
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
	// repeated is set once the present data has been sent again.
	repeated bool
	// counted is set if the flow is part of the target's load.
	counted  bool
	openedAt model.Time
	seenAt   model.Time
	// sentAt is when data was sent that the caller shows no answer to.
	sentAt model.Time
	// end is the highest sequence number after data; acknowledged the highest
	// position that the caller confirmed.
	end, acknowledged uint32
	first             uint32 // sequence number of the SYN
}

// pendingOpen is a SYN that was sent to a server.
type pendingOpen struct {
	key    FlowKey
	first  uint32
	sentAt model.Time
}

// after reports whether sequence number a is after b, modulo 2^32.
func after(a, b uint32) bool { return int32(a-b) > 0 }

// record returns the flow's record, creating it if there is room.
func (s *Steerer) record(p *Packet, t *target, now model.Time) *flow {
	if f := s.flows[p.Key]; f != nil {
		return f
	}
	if len(s.flows) >= maxFlows {
		return nil
	}
	f := &flow{target: t, stage: open, openedAt: now, end: p.Sequence, acknowledged: p.Acknowledged}
	s.flows[p.Key] = f
	s.count(f)
	return f
}

// count adds a flow to the load of its target.
func (s *Steerer) count(f *flow) {
	if !f.counted {
		f.counted = true
		f.target.flows++
	}
}

// uncount takes a flow out of the load of its target.
func (s *Steerer) uncount(f *flow) {
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

// forget removes a record.
func (s *Steerer) forget(key FlowKey, f *flow) {
	s.uncount(f)
	delete(s.flows, key)
}

// follow updates a flow's record by a packet after the first one.
func (s *Steerer) follow(f *flow, p *Packet, now model.Time, v *Verdict) {
	f.seenAt = now
	if f.stage == opening {
		v.Handshake = now.Sub(f.sentAt)
		f.stage = open
		f.end, f.acknowledged = p.Sequence, p.Acknowledged
		f.target.answered(now)
		s.setBusy(f, false)
	}
	if after(p.Acknowledged, f.acknowledged) {
		f.acknowledged, f.repeated = p.Acknowledged, false
		f.target.answered(now)
		if f.busy {
			v.Answer = now.Sub(f.sentAt)
		}
		s.setBusy(f, false)
	}
	if end := p.Sequence + uint32(p.Length); p.Length > 0 {
		switch {
		case after(end, f.end):
			f.end, f.sentAt, f.repeated = end, now, false
			s.setBusy(f, true)
		case !f.repeated && now.Sub(f.sentAt) >= answerTime:
			f.repeated = true
			s.unanswered(f.target, now, f.sentAt)
		}
	}
	if p.Flags&(FIN|RST) != 0 && f.stage != closed {
		f.stage = closed
		s.uncount(f)
	}
}

// checkOpens counts the SYNs whose flows did not go on as unanswered. A server
// that resets a new flow is noticed only by this: the reset bypasses the
// instance.
func (s *Steerer) checkOpens(now model.Time) {
	if now.Sub(s.lastAt) > pauseTime {
		s.pending = nil
	}
	s.lastAt = now
	for len(s.pending) > 0 && now.Sub(s.pending[0].sentAt) >= answerTime {
		p := s.pending[0]
		s.pending = s.pending[1:]
		f := s.flows[p.key]
		if f == nil || f.stage != opening || f.first != p.first || f.sentAt != p.sentAt {
			continue
		}
		s.unanswered(f.target, now, f.sentAt)
		s.setBusy(f, false)
	}
}

// sweep forgets flows that are over and requests that got no answer.
func (s *Steerer) sweep(now model.Time) {
	if now.Before(s.sweepAt) {
		return
	}
	s.sweepAt = now.Add(sweepEvery)
	for key, f := range s.flows {
		idle := now.Sub(f.seenAt)
		switch {
		case f.stage == closed && idle > closedTime, f.stage == opening && idle > closedTime,
			idle > s.snapshot.IdleTimeout, now.Sub(f.openedAt) > s.snapshot.Lifetime:
			s.forget(key, f)
		case f.busy && idle > busyTime:
			s.setBusy(f, false)
		}
	}
}
