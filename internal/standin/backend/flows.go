package backend

import (
	"encoding/binary"
	"net/netip"
	"slices"
	"time"

	"github.com/savorytiller/savorytiller/internal/standin/wire"
)

const (
	// endedRetention is how long the address of an ended flow is kept, so that late
	// or repeated packets do not count as a broken flow.
	endedRetention = 30 * time.Second
	// coldFlowDivisor divides the connection limit to get the flow capacity of a
	// cold server.
	coldFlowDivisor = 64
	// resendTimeout is the time after which an unacknowledged message is sent again.
	resendTimeout = 250 * time.Millisecond
)

// flow is the state of one flow: a small part of the state of a TCP connection.
type flow struct {
	isn         uint32
	destination netip.AddrPort
	established bool
	// sent is the number of the latest message sent, acked that of the latest
	// message acknowledged.
	sent, acked uint32
	sentAt      time.Time
}

// flowState is the flow table of one server. Its worker goroutine owns it.
type flowState struct {
	server   string
	interval time.Duration // between two messages of a feed
	limit    int           // connection limit of the server
	flows    map[netip.AddrPort]*flow
	// ended holds the end times of closed flows, lost the flows that a crash of the
	// server ended; both are keyed by the caller's address.
	ended map[netip.AddrPort]time.Time
	lost  map[netip.AddrPort]bool
	// coldSince is the time of the last cold start, warmUpLimit the current flow
	// capacity, and warmUpEstablished the number of flows established since the
	// capacity last changed.
	coldSince                      time.Time
	warmUpLimit, warmUpEstablished int
	crashedAt                      time.Time
	record                         FlowRecord
}

func newFlowState(server string, interval time.Duration, limit int) *flowState {
	return &flowState{server: server, interval: interval, limit: limit, flows: map[netip.AddrPort]*flow{},
		ended: map[netip.AddrPort]time.Time{}, lost: map[netip.AddrPort]bool{}, warmUpLimit: limit}
}

// applyCondition applies a condition: a new crash loses all flows, a new cold
// start resets the flow capacity.
func (s *flowState) applyCondition(c *Condition) {
	if c.CrashedAt.After(s.crashedAt) {
		s.crashedAt = c.CrashedAt
		for source := range s.flows {
			s.lost[source] = true
		}
		clear(s.flows)
	}
	if c.ColdSince.After(s.coldSince) {
		s.coldSince, s.warmUpLimit, s.warmUpEstablished = c.ColdSince, max(1, s.limit/coldFlowDivisor), 0
	}
}

// receive handles one segment and returns the answers to send to the caller.
func (s *flowState) receive(in *wire.Segment, c *Condition, now time.Time) []*wire.Segment {
	if graceExpired(c.ZoneOutSince, now) {
		s.record.LateZone++
	}
	f := s.flows[in.Source]
	switch {
	case in.SYN:
		return s.openFlow(f, in, c, now)
	case in.RST:
		s.endFlow(in.Source, now)
		return nil
	case f == nil:
		return s.answerUnknownFlow(in, now)
	case in.FIN:
		s.endFlow(in.Source, now)
		return []*wire.Segment{{Source: in.Destination, Destination: in.Source, FIN: true, ACK: true, Seq: f.sent, Ack: in.Seq + 1}}
	}
	if !f.established {
		f.established = true
		s.raiseWarmUpLimit()
	}
	if in.ACK && in.Ack > f.acked && in.Ack <= f.sent {
		f.acked = in.Ack
	}
	return nil
}

func (s *flowState) openFlow(f *flow, in *wire.Segment, c *Condition, now time.Time) []*wire.Segment {
	if f == nil || f.isn != in.Seq {
		if graceExpired(c.DrainingSince, now) {
			s.record.LateNew++
		}
		if len(s.flows) >= s.limit {
			s.record.OverConnections++
		} else if len(s.flows) >= s.warmUpLimit {
			countExcess(c, &s.record.ColdExcess, &s.record.UnannouncedExcess)
		}
		s.flows[in.Source] = &flow{isn: in.Seq, destination: in.Destination}
		delete(s.ended, in.Source)
		delete(s.lost, in.Source)
		s.record.Opened++
		s.record.MaxOpen = max(s.record.MaxOpen, len(s.flows))
	}
	return []*wire.Segment{{Source: in.Destination, Destination: in.Source, SYN: true, ACK: true, Ack: in.Seq + 1,
		Payload: []byte(s.server)}}
}

// countExcess counts load above the capacity of a cold server, separately for
// announced cold starts and others.
func countExcess(c *Condition, announced, unannounced *int) {
	if c.ColdAnnounced {
		*announced++
	} else {
		*unannounced++
	}
}

// raiseWarmUpLimit counts an established flow of a cold server. Once the count reaches
// the server's flow capacity, the capacity doubles and the count starts again at 0.
func (s *flowState) raiseWarmUpLimit() {
	if s.warmUpLimit >= s.limit {
		return
	}
	if s.warmUpEstablished++; s.warmUpEstablished >= s.warmUpLimit {
		s.warmUpLimit, s.warmUpEstablished = min(s.limit, 2*s.warmUpLimit), 0
	}
}

// answerUnknownFlow handles a segment of a flow that is not open: it resets the
// flow unless it has ended a short time ago.
func (s *flowState) answerUnknownFlow(in *wire.Segment, now time.Time) []*wire.Segment {
	if _, ended := s.ended[in.Source]; ended {
		if in.FIN {
			return []*wire.Segment{{Source: in.Destination, Destination: in.Source, FIN: true, ACK: true, Ack: in.Seq + 1}}
		}
		return nil
	}
	if s.lost[in.Source] {
		s.record.Excused++
	} else {
		s.record.Broken = append(s.record.Broken, UnknownFlowPacket{in.Source.String(), now.UnixNano()})
	}
	return []*wire.Segment{{Source: in.Destination, Destination: in.Source, RST: true, Seq: in.Ack}}
}

func (s *flowState) endFlow(source netip.AddrPort, now time.Time) {
	if _, known := s.flows[source]; known {
		delete(s.flows, source)
		s.ended[source] = now
	}
}

// dueMessages returns the feed messages that are due. A message is repeated until it
// is acknowledged, so that one lost packet does not stall a feed.
func (s *flowState) dueMessages(now time.Time) []*wire.Segment {
	for source, at := range s.ended {
		if now.Sub(at) > endedRetention {
			delete(s.ended, source)
		}
	}
	var due []*wire.Segment
	for source, f := range s.flows {
		wait := s.interval
		if f.acked < f.sent {
			wait = resendTimeout
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

// FeedMessage returns the payload of message n of a feed: n as four bytes in
// network byte order, then the identifier of the server.
func FeedMessage(server string, n uint32) []byte {
	return append(binary.BigEndian.AppendUint32(nil, n), server...)
}

func (s *flowState) snapshot() FlowRecord {
	r := s.record
	r.Broken = slices.Clone(r.Broken)
	r.Open = len(s.flows)
	return r
}
