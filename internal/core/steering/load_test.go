package steering

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/core/room"
)

func newLoadRig(t testing.TB) *rig {
	r := newRig(t)
	r.steerer.SetReportInterval(250 * time.Millisecond)
	r.steerer.TakeReport(r.now)
	return r
}

// requests sends requests over an open flow that are answered after a time each.
func (r *rig) requests(caller uint16, route Endpoint, server *Server, n int, answerTime time.Duration, bytes uint32) {
	f := r.steerer.flows[FlowKey{Endpoint{9, caller}, route}]
	for range n {
		r.data(caller, route, server.Token, f.dataEnd, f.acknowledged)
		r.now = r.now.Add(answerTime)
		r.send(Packet{Key: FlowKey{Endpoint{9, caller}, route}, Flags: ACK, Token: server.Token, Sequence: f.dataEnd, Acknowledged: f.acknowledged + bytes})
	}
}

// Guards against load that is counted for another priority after a change of the configuration, and
// against wrong means, counts or times in a report.
func TestReportsHoldTheLoadByClassAndServer(t *testing.T) {
	r := newLoadRig(t)
	r.snapshot.Routes[routeA].Terms.Priority = 1
	start := r.now
	server := r.openFlow(1, routeA) // its SYN and its first request are in progress for 10 and 40 ms
	r.snapshot.Routes[routeA].Terms.Priority = 2
	r.now += 40 * millisecond
	r.send(Packet{Key: FlowKey{Endpoint{9, 1}, routeA}, Flags: ACK, Token: server.Token, Sequence: 151, Acknowledged: 1500})
	r.steerer.load.refused("a", "z", 2)
	require.Nil(t, r.steerer.TakeReport(r.now), "the interval has not passed")
	r.now = start + 500*millisecond
	report := r.steerer.TakeReport(r.now)
	require.Equal(t, 500*time.Millisecond, report.Interval)
	require.Equal(t, map[room.Class]room.Counters{
		{Service: "a", Zone: "z", Priority: 1}: {InProgress: 0.1, Arrivals: 1, Completed: 1, Latency: 40 * time.Millisecond},
		{Service: "a", Zone: "z", Priority: 2}: {Refused: 1}}, report.Classes)
	require.Equal(t, room.ServerLoad{Token: uint32(server.Token), InProgress: 0.1}, report.Servers[uint32(server.Token)])
	r.now += 250 * millisecond
	report = r.steerer.TakeReport(r.now)
	require.Empty(t, report.Classes)
	require.Empty(t, report.Servers)
}

// Guards against a slow server whose answers look usual, against a fast and a slow route that are
// compared with each other, and against short answers that count as fast ones.
func TestServersAreComparedByTheUsualTimeOfTheRoute(t *testing.T) {
	r := newLoadRig(t)
	r.publish(servers("a", "z", 2), servers("b", "z", 1))
	first, second := r.openFlow(1, routeA), r.openFlow(2, routeA)
	require.NotEqual(t, first.ID, second.ID)
	other := r.openFlow(3, routeB)
	for range 50 {
		r.requests(1, routeA, first, 1, 20*time.Millisecond, 1000)
		r.requests(2, routeA, second, 1, 40*time.Millisecond, 1000)
		r.requests(3, routeB, other, 1, 5*time.Millisecond, 1000)
	}
	r.requests(1, routeA, first, 10, time.Millisecond, 100)
	loads := r.steerer.TakeReport(r.now).Servers
	fast, slow, b := loads[uint32(first.Token)], loads[uint32(second.Token)], loads[uint32(other.Token)]
	require.EqualValues(t, 10, fast.Failed)
	// The handshakes take 10 ms, the time on the network, which is subtracted from 20 and 40 ms.
	require.InDelta(t, math.Log(3), slow.LogLatency/slow.Samples-fast.LogLatency/(fast.Samples-fast.Failed), 0.1)
	require.InDelta(t, 0, b.LogLatency/b.Samples, 0.1)
}

// Guards against classes and usual times that stay in memory after their service or route is gone.
func TestLoadOfRemovedServicesIsForgotten(t *testing.T) {
	r := newLoadRig(t)
	server := r.openFlow(1, routeA)
	r.requests(1, routeA, server, 30, 10*time.Millisecond, 1000)
	r.send(Packet{Key: FlowKey{Endpoint{9, 1}, routeA}, Flags: FIN | ACK, Token: server.Token, Sequence: 5000, Acknowledged: 90_000})
	r.publish(servers("b", "z", 2))
	delete(r.snapshot.Routes, routeA)
	r.now += 20 * second
	r.openFlow(2, routeB)
	r.steerer.TakeReport(r.now)
	r.now += second
	r.steerer.TakeReport(r.now)
	require.Len(t, r.steerer.load.classes, 1)
	require.NotContains(t, r.steerer.routes, routeOfService{routeA, "a"})
	require.Equal(t, model.LowestPriority, r.steerer.priorityOf(routeA))
}

// Guards against heap allocations for the packets of requests and answers.
func TestRequestsOfAnOpenFlowAllocateNothing(t *testing.T) {
	r := newLoadRig(t)
	server := r.openFlow(1, routeA)
	r.requests(1, routeA, server, 30, time.Millisecond, 1000)
	require.Zero(t, testing.AllocsPerRun(1000, func() { r.requests(1, routeA, server, 1, 10*time.Microsecond, 1000) }))
}

// BenchmarkDecideRequestAndAnswer measures the packets of a request and of the acknowledgement of
// its answer, the most that the tally costs.
func BenchmarkDecideRequestAndAnswer(b *testing.B) {
	r := newLoadRig(b)
	server := r.openFlow(1, routeA)
	b.ReportAllocs()
	for b.Loop() {
		r.requests(1, routeA, server, 1, 10*time.Microsecond, 1000)
	}
}

// Guards against a zone that looks short of capacity because its instances still count requests
// of flows that have moved to other instances, or that wait for a server that does not respond.
func TestStalledRequestsDoNotCount(t *testing.T) {
	r := newLoadRig(t)
	server := r.openFlow(1, routeA)
	f := r.steerer.flows[FlowKey{Endpoint{9, 1}, routeA}]
	inProgress := func() int { return r.steerer.targetOf(server).load.count }
	require.Equal(t, 1, inProgress())
	r.now += 400 * millisecond
	r.data(1, routeA, server.Token, f.dataEnd, f.acknowledged) // an upload that goes on
	r.now += 400 * millisecond
	r.openFlow(2, routeB)
	require.Equal(t, 1, inProgress())
	r.now = r.now.Add(stalledAfter)
	r.openFlow(3, routeB)
	require.Zero(t, inProgress(), "the packets of the flow go to another instance")
	require.True(t, f.busy, "decisions of this instance count it as before")

	r.requests(1, routeA, server, 1, 40*time.Millisecond, 800)
	require.Zero(t, inProgress())
	r.data(1, routeA, server.Token, f.dataEnd, f.acknowledged)
	require.Equal(t, 1, inProgress())
	r.now += 200 * millisecond
	r.data(1, routeA, server.Token, f.dataEnd-100, f.acknowledged) // a retransmission
	require.Zero(t, inProgress(), "the server does not respond")
}
