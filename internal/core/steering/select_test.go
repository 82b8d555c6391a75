package steering

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/savorytiller/savorytiller/internal/core/model"
)

// Guards against work for a cold server beyond what it bears: none from
// instances that are not its home, and half of the bound from its home, because
// two instances may take themselves for the home.
func TestColdStartGetsItsAllowance(t *testing.T) {
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

// Guards against flows to other zones while the own one has free slots, and
// against a queue in the own zone while others are free.
func TestOwnZoneFirstUntilItsSlotsAreTaken(t *testing.T) {
	r := newRig(t)
	r.publish(servers("a", "z", 2), servers("a", "y", 2), servers("b", "z", 2))
	zones := map[model.Zone]int{}
	for i := range 12 {
		zones[r.syn(uint16(i), routeA, 0).Server.Zone]++
	}
	require.Equal(t, 8, zones["z"], "2 servers with 4 slots")
	require.Equal(t, 4, zones["y"])
}

// Guards against a queue in the own zone that grows without end once all slots
// are taken. After a restart of all instances, the first one that is ready gets
// the callers of every zone.
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

// Guards against an uneven load of equal servers.
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

// Guards against a route's share that goes to one of its services only.
func TestSharesFollowTheWeights(t *testing.T) {
	route := &Route{Shares: []Share{{"a", 90}, {"b", 10}}}
	count := map[string]int{}
	for i := range 10_000 {
		count[selectService(route, FlowKey{Endpoint{uint32(i), 5}, routeA})]++
	}
	require.InDelta(t, 9000, count["a"], 200)
	require.InDelta(t, 1000, count["b"], 200)
}

// Guards against a flow on a server whose tokens all collide: its later packets
// could not name it.
func TestServerWithoutTokenGetsNoFlow(t *testing.T) {
	r := newRig(t)
	list := servers("a", "z", 2)
	list[1].ID = list[0].ID
	r.publish(list, servers("b", "z", 1))
	require.Equal(t, model.ReasonNoCapacity, r.syn(1, routeA, 0).Reason)
}

// Guards against new flows at a server while a probe of it runs: they would be lost
// with it.
func TestServerThatIsProbedGetsNoNewFlow(t *testing.T) {
	r := newRig(t)
	list := servers("a", "z", 3)
	list[0].Probing, list[1].Probing = true, true
	r.publish(list, servers("b", "z", 2))
	for i := range 20 {
		require.Equal(t, list[2].ID, r.syn(uint16(i+1), routeA, 0).Server.ID)
	}
	list[2].Probing = true
	r.publish(list, servers("b", "z", 2))
	require.Equal(t, Deliver, r.syn(50, routeA, 0).Action, "if all are probed, any")
}

// Guards against a sample that leaves the load of a large service uneven, and against
// one that misses the only server that can be reached.
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
		s.ProbeResult, s.ProbeSentAt = Unreachable, r.now
	}
	r.publish(list, servers("b", "z", 2))
	require.Equal(t, list[0].ID, r.syn(9000, routeA, 0).Server.ID)
}

// BenchmarkDecideNewFlowByServers measures the choice of a server by the size of the
// service.
func BenchmarkDecideNewFlowByServers(b *testing.B) {
	for _, n := range []int{20, 250, 2500, 10_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			r := newRig(b)
			r.publish(servers("a", "z", n), servers("b", "z", 2))
			for i := 0; b.Loop(); i++ {
				if i%20_000 == 0 {
					r.steerer = NewSteerer(rand.New(rand.NewPCG(1, 2)), 5)
				}
				r.syn(uint16(i%20_000+1), routeA, 0)
			}
		})
	}
}
