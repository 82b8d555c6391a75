package health

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/savorytiller/savorytiller/internal/core/model"
)

func testConfig(servers int, withdrawn ...model.Zone) *model.Configuration {
	s := model.Service{ID: 1}
	for i := range servers {
		s.Servers = append(s.Servers, model.Server{ID: model.ServerID(fmt.Sprintf("s%d", i)), Zone: "a", Slots: 4, Connections: 2000})
	}
	return &model.Configuration{Version: 1, Services: []model.Service{s}, WithdrawnZones: withdrawn}
}

// newTable returns a table with the given number of cold servers, s0 and
// following, and sets whether this instance is their home.
func newTable(servers int, home bool) *Table {
	t := New("a", false)
	t.SetConfig(0, testConfig(servers))
	for i := range servers {
		t.SetHome(0, model.ServerID(fmt.Sprintf("s%d", i)), home)
	}
	return t
}

const second = model.Time(time.Second)

// Guards against an allowance that grows after fewer successes than its own
// size, by more than a factor of two, or at an instance that is not the home.
func TestColdStartAllowanceGrowsBySuccessesOnly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		home := rapid.Bool().Draw(t, "home")
		table := newTable(1, home)
		now, successes := second, 0
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			before := table.Status(now, "s0")
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "wait")) * time.Millisecond)
			o := Observation{Server: "s0", Result: Result(rapid.IntRange(0, 4).Draw(t, "kind")) % (Unresponsive + 1),
				Count: uint32(rapid.IntRange(0, 2).Draw(t, "count"))}
			if rapid.Bool().Draw(t, "good") {
				o.Result = Success
			}
			if rapid.IntRange(0, 3).Draw(t, "tick") == 0 {
				table.Tick(now)
			} else {
				table.Observe(now, o)
				if o.Result == Success {
					successes += int(max(1, o.Count))
				}
			}
			after := table.Status(now, "s0")
			if after.Slots > before.Slots {
				if !home || o.Result != Success || after.Slots > 2*before.Slots || successes < before.Slots {
					t.Fatalf("%d slots became %d after %d successes, home %v, %v", before.Slots, after.Slots, successes, home, o.Result)
				}
				successes = 0
			}
			if after.Slots < before.Slots {
				successes = 0
			}
			if !home && (after.NewWork || after.State == Warm) {
				t.Fatalf("an instance that is not the home uses a cold server: %+v", after)
			}
		}
	})
}

// Guards against instances of a zone that stay in disagreement because records
// arrive in a different order, and against a merge that makes a server warm
// although a record of the same epoch says cold.
func TestRecordsConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var records []Record
		for range rapid.IntRange(1, 10).Draw(t, "records") {
			records = append(records, Record{Server: "s0", Epoch: uint32(rapid.IntRange(1, 4).Draw(t, "epoch")),
				Warm: rapid.Bool().Draw(t, "warm")})
		}
		a, b := newTable(1, false), newTable(1, true)
		a.Merge(second, records)
		for i := range records {
			b.Merge(second, records[len(records)-1-i:len(records)-i])
		}
		if a.All()[0] != b.All()[0] || a.Hash() != b.Hash() {
			t.Fatalf("records %v merge to %v and, in reverse order, to %v", records, a.All(), b.All())
		}
		for _, r := range records {
			if r.Epoch == a.All()[0].Epoch && !r.Warm && a.All()[0].Warm {
				t.Fatalf("records %v merge to warm", records)
			}
		}
	})
}

// Guards against a health endpoint that overrides observations of traffic. It
// must never make a server warm, and its "cold" or a failure to read it must
// have an effect only without recent traffic.
func TestTrafficTakesPrecedenceOverEndpoint(t *testing.T) {
	table := newTable(2, true)
	table.ObserveEndpoint(second, "s0", Report{State: EndpointWarm}, false)
	require.Equal(t, Cold, table.Status(second, "s0").State)
	table.Merge(second, []Record{{Server: "s0", Epoch: 1, Warm: true}, {Server: "s1", Epoch: 1, Warm: true}})
	now := 100 * second
	table.Observe(now, Observation{Server: "s0"})
	for range consecutiveBadLimit {
		table.ObserveEndpoint(now, "s0", Report{State: EndpointCold}, false)
		table.ObserveEndpoint(now, "s0", Report{}, true)
		table.ObserveEndpoint(now, "s1", Report{}, true)
	}
	require.Equal(t, Warm, table.Status(now, "s0").State)
	require.Equal(t, Failed, table.Status(now.Add(time.Millisecond), "s1").State)
	require.False(t, table.Status(now, "s1").NewWork)
	table.ObserveEndpoint(now, "s0", Report{State: EndpointDraining}, false)
	require.Equal(t, Draining, table.Status(now, "s0").State)
	table.ObserveEndpoint(now, "s0", Report{State: EndpointWarm}, false)
	require.Equal(t, Warm, table.Status(now, "s0").State)
	table.ObserveEndpoint(now.Add(2*trafficPrecedence), "s0", Report{State: EndpointCold}, false)
	require.Equal(t, Cold, table.Status(now.Add(2*trafficPrecedence), "s0").State)
}

// Guards against a server that becomes slow but still gets its full load.
func TestLatencyIncreaseMakesServerCold(t *testing.T) {
	table := newTable(1, false)
	table.Merge(second, []Record{{Server: "s0", Epoch: 1, Warm: true}})
	for i := range 20 {
		table.Observe(second+model.Time(i), Observation{Server: "s0", Latency: 20 * time.Millisecond})
	}
	for range consecutiveBadLimit {
		require.Equal(t, Warm, table.Status(2*second, "s0").State)
		table.Observe(2*second, Observation{Server: "s0", Latency: 200 * time.Millisecond})
	}
	require.Equal(t, Cold, table.Status(2*second, "s0").State)
	require.Equal(t, []Record{{Server: "s0", Epoch: 2}}, table.All())
}

// Guards against an instance with a network fault that makes all servers of its
// zone cold for every instance.
func TestManyDemotionsIndicateOwnNetworkFault(t *testing.T) {
	table := newTable(6, false)
	for i := range 6 {
		table.Merge(second, []Record{{Server: model.ServerID(fmt.Sprintf("s%d", i)), Epoch: 1, Warm: true}})
	}
	for i := range 6 {
		for range consecutiveBadLimit {
			table.Observe(2*second, Observation{Server: model.ServerID(fmt.Sprintf("s%d", i)), Result: Timeout})
		}
		require.False(t, table.Status(2*second, model.ServerID(fmt.Sprintf("s%d", i))).NewWork)
	}
	cold := 0
	for _, r := range table.All() {
		if !r.Warm {
			cold++
		}
	}
	require.Less(t, cold, 6, "servers that other instances see as cold")
	require.GreaterOrEqual(t, cold, demotionLimit)
}

// Guards against servers that are still warm when their withdrawn zone returns
// to service.
func TestZoneWithdrawnReturnsCold(t *testing.T) {
	table := newTable(1, false)
	table.Merge(second, []Record{{Server: "s0", Epoch: 3, Warm: true}})
	table.SetConfig(second, testConfig(1, "a"))
	require.False(t, table.Status(second, "s0").NewWork)
	table.Merge(second, []Record{{Server: "s0", Epoch: 3, Warm: true}}) // a delayed old record
	table.SetConfig(2*second, testConfig(1))
	table.Merge(2*second, []Record{{Server: "s0", Epoch: 3, Warm: true}})
	require.Equal(t, Cold, table.Status(2*second, "s0").State)
	require.Equal(t, uint32(4), table.All()[0].Epoch)
}
