package backend

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/savorytiller/savorytiller/internal/standin/wire"
)

var (
	caller  = netip.MustParseAddrPort("127.0.0.1:9000")
	virtual = netip.MustParseAddrPort("10.80.0.17:4000")
	start   = time.Unix(1000, 0)
)

func segment(s wire.Segment) *wire.Segment {
	s.Source, s.Destination = caller, virtual
	return &s
}

// Guards against a server that accepts packets of flows it does not know, which
// would hide every broken flow.
func TestMiddlePacketOfUnknownFlowIsBroken(t *testing.T) {
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

// Guards against counting the flows that a crashed server lost itself.
func TestFlowsLostInCrashAreExcused(t *testing.T) {
	s, c := newFlowState("line-01", time.Second, 64), &Condition{}
	s.receive(segment(wire.Segment{SYN: true, Seq: 7}), c, start)
	s.observe(&Condition{Crashed: start.Add(time.Second)})
	require.True(t, s.receive(segment(wire.Segment{ACK: true}), c, start)[0].RST)
	require.Empty(t, s.record.Broken)
	require.Equal(t, 1, s.record.Excused)
}

// Guards against flows from before a zone was withdrawn that fill the allowance
// of its servers when it returns.
func TestReturningZoneHasNoFlows(t *testing.T) {
	s, c := newFlowState("line-01", time.Second, 64), &Condition{}
	s.receive(segment(wire.Segment{SYN: true, Seq: 7}), c, start)
	out, err := c.apply("zone-out", start)
	require.NoError(t, err)
	in, err := out.apply("zone-in", start.Add(time.Second))
	require.NoError(t, err)
	s.observe(&in)
	s.receive(segment(wire.Segment{SYN: true, Seq: 9}), &in, start.Add(time.Second))
	require.Zero(t, s.record.ColdExcess)
	require.Len(t, in.Excuses, 1)
}

// Guards against feed messages that skip ahead although the caller has not
// received the last one.
func TestPushRepeatsUntilAcknowledged(t *testing.T) {
	s, c := newFlowState("line-01", time.Second, 64), &Condition{}
	s.receive(segment(wire.Segment{SYN: true, Seq: 7}), c, start)
	require.Empty(t, s.push(start.Add(time.Second)), "no handshake yet")
	s.receive(segment(wire.Segment{ACK: true, Seq: 8}), c, start)
	require.Equal(t, FeedMessage("line-01", 1), s.push(start.Add(time.Second))[0].Payload)
	require.Equal(t, FeedMessage("line-01", 1), s.push(start.Add(2 * time.Second))[0].Payload)
	s.receive(segment(wire.Segment{ACK: true, Seq: 8, Ack: 1}), c, start)
	require.Equal(t, FeedMessage("line-01", 2), s.push(start.Add(3 * time.Second))[0].Payload)
}

// Guards against a cold server that carries everything, and against new work
// or packets that go on unnoticed after a drain or the withdrawal of a zone.
func TestFlowsAboveAllowanceAndLateWorkAreCounted(t *testing.T) {
	s := newFlowState("line-01", time.Second, 128)
	cold := &Condition{Cold: start, Announced: true}
	s.observe(cold)
	for port := range uint16(3) { // a cold server carries 128/64 = 2 flows
		in := segment(wire.Segment{SYN: true, Seq: 7})
		in.Source = netip.AddrPortFrom(caller.Addr(), 9000+port)
		s.receive(in, cold, start)
	}
	require.Equal(t, 1, s.record.ColdExcess)

	leaving := &Condition{Draining: start, ZoneOut: start}
	s.receive(segment(wire.Segment{SYN: true, Seq: 9}), leaving, start.Add(Grace))
	require.Zero(t, s.record.LateNew+s.record.LateZone)
	s.receive(segment(wire.Segment{SYN: true, Seq: 10}), leaving, start.Add(Grace+1))
	require.Equal(t, 1, s.record.LateNew)
	require.Equal(t, 1, s.record.LateZone)
}

// Guards against a server that sheds what it could run, or a cold start in
// which too much work goes unnoticed.
func TestRequestSlotsAndColdStart(t *testing.T) {
	s := newRequestState("h", 2)
	warm := &Condition{}
	require.False(t, s.begin("other", warm, start).ok)
	require.Equal(t, 1, s.record.WrongHost)
	require.True(t, s.begin("h", warm, start).ok)
	require.True(t, s.begin("h", warm, start).ok)
	require.False(t, s.begin("h", warm, start).ok)
	require.Equal(t, 1, s.record.Shed)
	s.end(endEvent{completed: true})
	s.end(endEvent{completed: true})

	cold := &Condition{Cold: start, Announced: true}
	require.Equal(t, 1, s.begin("h", cold, start).slowdown)
	require.Equal(t, coldSlowdown, s.begin("h", cold, start).slowdown)
	require.Equal(t, 1, s.record.ColdExcess)
	s.end(endEvent{completed: true})
	s.end(endEvent{completed: true})
	require.Equal(t, 1, s.begin("h", cold, start).slowdown)
	require.Equal(t, 1, s.begin("h", cold, start).slowdown, "warm after as many successes as it carried")
}
