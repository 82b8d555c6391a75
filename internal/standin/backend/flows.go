package backend

import (
	"encoding/binary"
	"net/netip"
	"slices"
	"time"

	"github.com/savorytiller/savorytiller/internal/standin/wire"
)

const (
	// closedRetention keeps the address of an ended flow, so that its late or
	// repeated packets are not taken for a broken flow.
	closedRetention = 30 * time.Second
	// coldFlowShare is the part of the connections that a cold server carries.
	coldFlowShare = 64
	// resendAfter is the time after which an unacknowledged message is repeated.
	resendAfter = 250 * time.Millisecond
)

// flow is the state of one flow, as a TCP server has it.
type flow struct {
	isn         uint32
	destination netip.AddrPort
	established bool
	// sent is the number of the newest message, acked the newest acknowledged one.
	sent, acked uint32
	sentAt      time.Time
}

// flowState is the flow table of one server. Its worker goroutine owns it.
type flowState struct {
	server   string
	interval time.Duration
	limit    int
	flows    map[netip.AddrPort]*flow
	// closed holds ended flows, lost those that ended in a crash of the server.
	closed map[netip.AddrPort]time.Time
	lost   map[netip.AddrPort]bool
	// coldSince, coldLimit and coldOpened are the cold start seen last, the
	// flows that the server carries, and the flows opened at this limit.
	coldSince             time.Time
	coldLimit, coldOpened int
	crashed               time.Time
	record                FlowRecord
}

func newFlowState(server string, interval time.Duration, limit int) *flowState {
	return &flowState{server: server, interval: interval, limit: limit, flows: map[netip.AddrPort]*flow{},
		closed: map[netip.AddrPort]time.Time{}, lost: map[netip.AddrPort]bool{}, coldLimit: limit}
}

// observe applies a newly published condition.
func (s *flowState) observe(c *Condition) {
	if c.Crashed.After(s.crashed) {
		s.crashed = c.Crashed
		for source := range s.flows {
			s.lost[source] = true
		}
		clear(s.flows)
	}
	if c.Cold.After(s.coldSince) {
		s.coldSince, s.coldLimit, s.coldOpened = c.Cold, max(1, s.limit/coldFlowShare), 0
	}
}

// receive handles one segment and returns the answers to send to the caller.
func (s *flowState) receive(in *wire.Segment, c *Condition, now time.Time) []*wire.Segment {
	if overdue(c.ZoneOut, now) {
		s.record.LateZone++
	}
	f := s.flows[in.Source]
	switch {
	case in.SYN:
		return s.open(f, in, c, now)
	case in.RST:
		s.end(in.Source, now)
		return nil
	case f == nil:
		return s.unknown(in, now)
	case in.FIN:
		s.end(in.Source, now)
		return []*wire.Segment{{Source: in.Destination, Destination: in.Source, FIN: true, ACK: true, Seq: f.sent, Ack: in.Seq + 1}}
	}
	if !f.established {
		f.established = true
		s.warm()
	}
	if in.ACK && in.Ack > f.acked && in.Ack <= f.sent {
		f.acked = in.Ack
	}
	return nil
}

func (s *flowState) open(f *flow, in *wire.Segment, c *Condition, now time.Time) []*wire.Segment {
	if f == nil || f.isn != in.Seq {
		if overdue(c.Draining, now) {
			s.record.LateNew++
		}
		if len(s.flows) >= s.limit {
			s.record.OverConnections++
		} else if len(s.flows) >= s.coldLimit {
			countExcess(c, &s.record.ColdExcess, &s.record.Surprised)
		}
		s.flows[in.Source] = &flow{isn: in.Seq, destination: in.Destination}
		delete(s.closed, in.Source)
		delete(s.lost, in.Source)
		s.record.Opened++
		s.record.MaxOpen = max(s.record.MaxOpen, len(s.flows))
	}
	return []*wire.Segment{{Source: in.Destination, Destination: in.Source, SYN: true, ACK: true, Ack: in.Seq + 1,
		Payload: []byte(s.server)}}
}

func countExcess(c *Condition, announced, surprised *int) {
	if c.Announced {
		*announced++
	} else {
		*surprised++
	}
}

// warm doubles the flows that a cold server carries after as many successes.
func (s *flowState) warm() {
	if s.coldLimit >= s.limit {
		return
	}
	if s.coldOpened++; s.coldOpened >= s.coldLimit {
		s.coldLimit, s.coldOpened = min(s.limit, 2*s.coldLimit), 0
	}
}

func (s *flowState) unknown(in *wire.Segment, now time.Time) []*wire.Segment {
	if _, ended := s.closed[in.Source]; ended {
		if in.FIN {
			return []*wire.Segment{{Source: in.Destination, Destination: in.Source, FIN: true, ACK: true, Ack: in.Seq + 1}}
		}
		return nil
	}
	if s.lost[in.Source] {
		s.record.Excused++
	} else {
		s.record.Broken = append(s.record.Broken, Unknown{in.Source.String(), now.UnixNano()})
	}
	return []*wire.Segment{{Source: in.Destination, Destination: in.Source, RST: true, Seq: in.Ack}}
}

func (s *flowState) end(source netip.AddrPort, now time.Time) {
	if _, known := s.flows[source]; known {
		delete(s.flows, source)
		s.closed[source] = now
	}
}

// push returns the feed messages that are due. A message is repeated until it
// is acknowledged, so one lost packet does not stall a feed.
func (s *flowState) push(now time.Time) []*wire.Segment {
	for source, at := range s.closed {
		if now.Sub(at) > closedRetention {
			delete(s.closed, source)
		}
	}
	var due []*wire.Segment
	for source, f := range s.flows {
		wait := s.interval
		if f.acked < f.sent {
			wait = resendAfter
		}
		if !f.established || now.Sub(f.sentAt) < wait {
			continue
		}
		if f.acked == f.sent {
			f.sent++
		}
		f.sentAt = now
		due = append(due, &wire.Segment{Source: f.destination, Destination: source, ACK: true, Seq: f.sent, Ack: f.isn + 1,
			Payload: FeedMessage(s.server, f.sent)})
	}
	return due
}

// FeedMessage returns the payload of message n of a feed.
func FeedMessage(server string, n uint32) []byte {
	return append(binary.BigEndian.AppendUint32(nil, n), server...)
}

func (s *flowState) snapshot() FlowRecord {
	r := s.record
	r.Broken = slices.Clone(r.Broken)
	r.Open = len(s.flows)
	return r
}
