package steering

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/savorytiller/savorytiller/internal/core/belief"
	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/core/room"
)

// Guards against overload of a cold server. Only its home instance may send it new
// flows, and only half as many as the server can take, because two instances may each
// act as the home for a while.
func TestColdStartLimitsNewFlows(t *testing.T) {
	for _, home := range []bool{false, true} {
		r := newRig(t)
		list := servers("a", "z", 1)
		list[0].ColdUntil, list[0].ColdHome = r.now+100*second, home
		r.publish(list, servers("b", "z", 2))
		placed, want := 0, 0
		if home {
			want = 10 // 2 in each of 5 windows of 1.2 s
		}
		for i := range 600 {
			if r.syn(uint16(i), routeA, 0).Action == Deliver {
				placed++
			}
			r.now += 10 * millisecond
		}
		require.Equal(t, want, placed, "home %v", home)
	}
}

// Guards against new flows to other zones while the own zone has free slots, and
// against queueing in the own zone while other zones have free slots.
func TestOwnZoneIsPreferredWhileItHasFreeSlots(t *testing.T) {
	r := newRig(t)
	r.publish(servers("a", "z", 2), servers("a", "y", 2), servers("b", "z", 2))
	zones := map[model.Zone]int{}
	for i := range 12 {
		zones[r.syn(uint16(i), routeA, 0).Server.Zone]++
	}
	require.Equal(t, 8, zones["z"], "2 servers with 4 slots")
	require.Equal(t, 4, zones["y"])
}

// Guards against an unbounded queue in the own zone once all slots are taken. After a
// restart of all instances, the first one that is ready gets the callers of all zones.
func TestBurstSpreadsOverAllZones(t *testing.T) {
	r := newRig(t)
	r.publish(servers("a", "z", 2), servers("a", "y", 2), servers("a", "x", 2), servers("b", "z", 2))
	zones := map[model.Zone]int{}
	for i := range 120 {
		zones[r.syn(uint16(i), routeA, 0).Server.Zone]++
	}
	for zone, n := range zones {
		require.InDelta(t, 40, n, 4, zone)
	}
}

// Guards against uneven load on equal servers.
func TestFlowsSpreadOverEqualServers(t *testing.T) {
	r := newRig(t)
	count := map[model.ServerID]int{}
	for i := range 300 {
		count[r.openFlow(uint16(i), routeA).ID]++
		r.now += 5 * millisecond
	}
	for id, n := range count {
		require.InDelta(t, 100, n, 15, id)
	}
}

// Guards against a route whose flows ignore the weights of its services.
func TestSharesMatchTheWeights(t *testing.T) {
	route := &Route{Shares: []Share{{"a", 90}, {"b", 10}}}
	count := map[string]int{}
	for i := range 10_000 {
		count[selectService(route, FlowKey{Endpoint{uint32(i), 5}, routeA})]++
	}
	require.InDelta(t, 9000, count["a"], 200)
	require.InDelta(t, 1000, count["b"], 200)
}

// Guards against a new flow to a server whose candidate tokens all collide: later
// packets of the flow could not name the server.
func TestServerWithoutTokenGetsNoFlow(t *testing.T) {
	r := newRig(t)
	list := servers("a", "z", 2)
	list[1].ID = list[0].ID
	r.publish(list, servers("b", "z", 1))
	require.Equal(t, model.ReasonNoCapacity, r.syn(1, routeA, 0).Reason)
}

// Guards against new flows to a server that is being probed because it is suspect: they
// would be lost if it is down.
func TestServerBeingProbedGetsNoNewFlow(t *testing.T) {
	r := newRig(t)
	list := servers("a", "z", 3)
	list[0].ProbingSince, list[1].ProbingSince = r.now, r.now
	r.publish(list, servers("b", "z", 2))
	for i := range 20 {
		require.Equal(t, list[2].ID, r.syn(uint16(i+1), routeA, 0).Server.ID)
	}
	list[2].ProbingSince = r.now
	r.publish(list, servers("b", "z", 2))
	require.Equal(t, Deliver, r.syn(50, routeA, 0).Action, "all servers are being probed")
}

// Guards against sampling that loads a large service unevenly or misses its only
// reachable server.
func TestSampleOfALargeServiceFindsServers(t *testing.T) {
	r := newRig(t)
	list := servers("a", "z", 1000)
	r.publish(list, servers("b", "z", 2))
	flows := map[model.ServerID]int{}
	for i := range 8000 {
		flows[r.syn(uint16(i+1), routeA, 0).Server.ID]++
	}
	for id, n := range flows {
		require.LessOrEqual(t, n, 10, "%s has more than 1.3 times the mean of 8", id)
	}
	for _, s := range list[1:] {
		s.ProbeResult, s.ProbeSentAt = belief.Unreachable, r.now
	}
	r.publish(list, servers("b", "z", 2))
	require.Equal(t, list[0].ID, r.syn(9000, routeA, 0).Server.ID)
}

// BenchmarkDecideNewFlowByServers measures the selection of a server for services of
// different sizes, without and with a view of the fleet's load.
func BenchmarkDecideNewFlowByServers(b *testing.B) {
	for i, n := range []int{20, 250, 2500, 10_000, 30_000, 30, 250, 2500, 30_000} {
		view := i >= 5
		b.Run(fmt.Sprint(n, " view=", view), func(b *testing.B) {
			r := newRig(b)
			r.publish(servers("a", "z", n), servers("b", "z", 2))
			if view {
				r.snapshot.Room = serverView(r, func(i int) room.ServerLoad { return room.ServerLoad{InProgress: float64(i % 3), Samples: 20} })
			}
			for i := 0; b.Loop(); i++ {
				if i%20_000 == 0 {
					r.steerer = NewSteerer(rand.New(rand.NewPCG(1, 2)), 5)
				}
				r.syn(uint16(i%20_000+1), routeA, 0)
			}
		})
	}
}

// Guards against callers that wait for the end of their handshake although no server can take
// their flow, and against refusals where a later copy of the SYN may reach a server: the view
// may lack servers, some may be full, or one may have answered an earlier copy.
func TestFlowsToAServiceWithoutServersAreRefusedAtOnce(t *testing.T) {
	r := newRig(t)
	a := servers("a", "z", 2)
	for i := range a {
		a[i].State = model.ServerDraining
	}
	r.publish(a, servers("b", "z", 1))
	require.Equal(t, Drop, r.syn(1, routeA, 0).Action, "missing servers may return")
	r.snapshot.Settled = true
	v := r.syn(1, routeA, 0)
	require.Equal(t, []any{Reset, model.ReasonNoCapacity}, []any{v.Action, v.Reason})
	require.Equal(t, Deliver, r.syn(2, routeB, 0).Action)
	require.Equal(t, Drop, r.syn(3, routeA, 1).Action, "a server may have answered the first copy")
	r.now = r.now.Add(r.snapshot.FreshFor)
	require.Equal(t, Drop, r.syn(4, routeA, 0).Action, "the view is not fresh")

	r = newRig(t)
	a[0].State, a[0].ColdUntil = model.ServerActive, r.now.Add(time.Minute)
	r.publish(a, servers("b", "z", 1))
	r.snapshot.Settled = true
	require.Equal(t, Drop, r.syn(5, routeA, 0).Action, "a cold server may take a retransmission")
}
