package backend

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/savorytiller/savorytiller/internal/standin/wire"
)

var (
	caller         = netip.MustParseAddrPort("127.0.0.1:9000")
	virtualAddress = netip.MustParseAddrPort("10.80.0.17:4000")
	start          = time.Unix(1000, 0)
)

func segment(s wire.Segment) *wire.Segment {
	s.Source, s.Destination = caller, virtualAddress
	return &s
}

// Guards against a server that accepts packets of flows that are not in its
// table: it would hide every broken flow.
func TestMidFlowPacketOfUnknownFlowIsReset(t *testing.T) {
	s, c := newFlowState("line-01", time.Second, 64), &Condition{}
	answers := s.receive(segment(wire.Segment{ACK: true}), c, start)
	require.True(t, answers[0].RST)
	require.Len(t, s.record.Broken, 1)

	s.receive(segment(wire.Segment{SYN: true, Seq: 7}), c, start)
	require.Empty(t, s.receive(segment(wire.Segment{ACK: true, Seq: 8}), c, start))
	require.True(t, s.receive(segment(wire.Segment{FIN: true, Seq: 8}), c, start)[0].FIN)
	require.Empty(t, s.receive(segment(wire.Segment{ACK: true, Seq: 8}), c, start), "late packet of an ended flow")
	require.Len(t, s.record.Broken, 1)
}

// Guards against flows that a server loses in its own crash but that count as a
// violation by the system.
func TestFlowsLostInServerCrashAreExcused(t *testing.T) {
	s, c := newFlowState("line-01", time.Second, 64), &Condition{}
	s.receive(segment(wire.Segment{SYN: true, Seq: 7}), c, start)
	s.applyCondition(&Condition{CrashedAt: start.Add(time.Second)})
	require.True(t, s.receive(segment(wire.Segment{ACK: true}), c, start)[0].RST)
	require.Empty(t, s.record.Broken)
	require.Equal(t, 1, s.record.Excused)
}

// Guards against flows opened before the withdrawal of a zone that still count
// against the capacity of its servers after the zone has returned.
func TestReturningZoneHasNoFlows(t *testing.T) {
	s, c := newFlowState("line-01", time.Second, 64), &Condition{}
	s.receive(segment(wire.Segment{SYN: true, Seq: 7}), c, start)
	withdrawn, err := c.apply("zone-out", start)
	require.NoError(t, err)
	returned, err := withdrawn.apply("zone-in", start.Add(time.Second))
	require.NoError(t, err)
	s.applyCondition(&returned)
	s.receive(segment(wire.Segment{SYN: true, Seq: 9}), &returned, start.Add(time.Second))
	require.Zero(t, s.record.ColdExcess)
	require.Len(t, returned.OutageStarts, 1)
}

// Guards against a feed that sends the next message although the caller has not
// acknowledged the last one.
func TestFeedMessageRepeatsUntilAcknowledged(t *testing.T) {
	s, c := newFlowState("line-01", time.Second, 64), &Condition{}
	s.receive(segment(wire.Segment{SYN: true, Seq: 7}), c, start)
	require.Empty(t, s.dueMessages(start.Add(time.Second)), "no handshake yet")
	s.receive(segment(wire.Segment{ACK: true, Seq: 8}), c, start)
	require.Equal(t, FeedMessage("line-01", 1), s.dueMessages(start.Add(time.Second))[0].Payload)
	require.Equal(t, FeedMessage("line-01", 1), s.dueMessages(start.Add(2 * time.Second))[0].Payload)
	s.receive(segment(wire.Segment{ACK: true, Seq: 8, Ack: 1}), c, start)
	require.Equal(t, FeedMessage("line-01", 2), s.dueMessages(start.Add(3 * time.Second))[0].Payload)
}

// Guards against too many flows of a cold server, new flows after a drain or
// packets after the withdrawal of a zone that are not counted.
func TestExcessFlowsOfColdServerAndLateTrafficAreCounted(t *testing.T) {
	s := newFlowState("line-01", time.Second, 128)
	cold := &Condition{ColdSince: start, ColdAnnounced: true}
	s.applyCondition(cold)
	for port := range uint16(3) { // the capacity of a cold server is 128/64 = 2 flows
		in := segment(wire.Segment{SYN: true, Seq: 7})
		in.Source = netip.AddrPortFrom(caller.Addr(), 9000+port)
		s.receive(in, cold, start)
	}
	require.Equal(t, 1, s.record.ColdExcess)

	leaving := &Condition{DrainingSince: start, ZoneOutSince: start}
	s.receive(segment(wire.Segment{SYN: true, Seq: 9}), leaving, start.Add(GracePeriod))
	require.Zero(t, s.record.LateNew+s.record.LateZone)
	s.receive(segment(wire.Segment{SYN: true, Seq: 10}), leaving, start.Add(GracePeriod+1))
	require.Equal(t, 1, s.record.LateNew)
	require.Equal(t, 1, s.record.LateZone)
}

// Guards against a server that sheds requests although it has free slots, and
// against too many requests during a cold start that are not counted.
func TestRequestSlotsAndColdStart(t *testing.T) {
	s := newRequestState("h", 2)
	warm := &Condition{}
	require.False(t, s.acquire("other", warm, start).ok)
	require.Equal(t, 1, s.record.WrongHost)
	require.True(t, s.acquire("h", warm, start).ok)
	require.True(t, s.acquire("h", warm, start).ok)
	require.False(t, s.acquire("h", warm, start).ok)
	require.Equal(t, 1, s.record.Shed)
	s.release(releaseEvent{completed: true})
	s.release(releaseEvent{completed: true})

	cold := &Condition{ColdSince: start, ColdAnnounced: true}
	require.Equal(t, 1, s.acquire("h", cold, start).slowdown)
	require.Equal(t, coldSlowdown, s.acquire("h", cold, start).slowdown)
	require.Equal(t, 1, s.record.ColdExcess)
	s.release(releaseEvent{completed: true})
	s.release(releaseEvent{completed: true})
	require.Equal(t, 1, s.acquire("h", cold, start).slowdown)
	require.Equal(t, 1, s.acquire("h", cold, start).slowdown, "warm after as many successes as its capacity")
}
