package explain

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/savorytiller/savorytiller/internal/core/flow"
	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/core/placement"
	"github.com/savorytiller/savorytiller/internal/core/table"
	"github.com/savorytiller/savorytiller/internal/core/view"
)

const now = model.Time(time.Hour)

func address(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(n >> 8), byte(n)}), 4000)
}

// drawViews returns one view for each instance of a random fleet.
func drawViews(t *rapid.T) []*view.View {
	zones := []model.Zone{"halle-a", "halle-b", "halle-c"}
	service := model.Service{ID: 17, Name: "line-control", VirtualAddress: address(0), IdleTimeout: time.Minute}
	for i := range rapid.IntRange(0, 12).Draw(t, "servers") {
		service.Servers = append(service.Servers, model.Server{ID: model.ServerID(fmt.Sprintf("line-%02d", i)),
			Zone: rapid.SampledFrom(zones).Draw(t, "zone"), FlowAddress: address(100 + i), Connections: 1000,
			Weight: uint16(rapid.IntRange(1, model.MaxWeight).Draw(t, "weight"))})
	}
	config := &model.Configuration{Version: 3, Services: []model.Service{service}}
	if rapid.Bool().Draw(t, "withdrawn") {
		config.WithdrawnZones = zones[:1]
	}
	var members []model.Member
	for i := range rapid.IntRange(1, 7).Draw(t, "instances") {
		members = append(members, model.Member{ID: model.InstanceID(fmt.Sprint("instance-", i)), FlowAddress: address(500 + i),
			Zone: rapid.SampledFrom(zones).Draw(t, "zone"), Liveness: model.Liveness(rapid.IntRange(0, 1).Draw(t, "liveness"))})
	}
	var history *table.History
	history = history.Push(table.NewGeneration(config, &config.Services[0]), now)
	servers, numbers := map[model.ServerID]*view.Server{}, map[view.ServerRef]*view.Server{}
	for _, s := range service.Servers {
		if config.Withdrawn(s.Zone) {
			continue
		}
		v := &view.Server{Server: s, Service: 17, Number: placement.ServerNumber(s.ID), Warmth: view.Warm,
			NewWork: rapid.Bool().Draw(t, "new work"), ConnectionLimit: 1000}
		servers[s.ID], numbers[view.ServerRef{Service: 17, Number: v.Number}] = v, v
	}
	prepared := placement.NewMembers(members)
	var views []*view.View
	for _, m := range members {
		views = append(views, &view.View{Sequence: 1, FreshUntil: now + 1, Self: m, Config: config, Members: prepared,
			Tables: map[model.ServiceID]*table.History{17: history}, Servers: servers, ByNumber: numbers})
	}
	return views
}

// Guards against an explanation that differs from what the flow worker does,
// which would send operators to the wrong server or instance.
func TestExplanationIsTheDecision(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		views := drawViews(t)
		key := model.FlowKey{Service: 17, Protocol: flow.ProtocolTCP, Source: address(rapid.IntRange(1000, 1<<16).Draw(t, "caller")),
			Destination: address(0)}
		first := NewFlow(views[0], now, key)
		for _, v := range views {
			e := NewFlow(v, now, key)
			if !leaving(views) {
				require.Equal(t, first.Server, e.Server, "instances with the same view explain different servers")
			}
			require.NotEmpty(t, e.Steps)
			d := decideWithOtherFlows(v, key)
			switch d.Verb {
			case flow.Deliver:
				require.Equal(t, []model.InstanceID{v.Self.ID}, e.Path)
				require.Equal(t, d.To, v.Servers[e.Server].FlowAddress)
				require.Equal(t, d.Reason, e.Reason)
			case flow.Forward:
				next, ok := v.Members.Get(e.Path[1])
				require.True(t, ok, "path %v", e.Path)
				require.Equal(t, d.To, next.FlowAddress)
			default:
				require.Empty(t, e.Server)
				require.Equal(t, d.Reason, e.Reason)
			}
		}
	})
}

// leaving reports whether an instance leaves. Such an instance may still choose
// a server of its zone, which live instances of other zones do not.
func leaving(views []*view.View) bool {
	for _, v := range views {
		if v.Self.Liveness == model.Leaving {
			return true
		}
	}
	return false
}

// decideWithOtherFlows runs the decision in a shard that holds other flows.
func decideWithOtherFlows(v *view.View, key model.FlowKey) flow.Decision {
	shard := flow.NewShard(flow.DefaultSettings(1, 100))
	var d flow.Decision
	for i := 20; i >= 0; i-- {
		k := key
		if i > 0 {
			k.Source = netip.AddrPortFrom(address(900).Addr(), uint16(i))
		}
		shard.Packet(v, now, &flow.Message{Key: k, Fingerprint: flow.Fingerprint(k), Flags: flow.FlagSYN}, &d)
	}
	return d
}

// Guards against a crash of the operators' endpoint before the first note, on
// an unknown service and on an expired view.
func TestExplanationWithoutDecision(t *testing.T) {
	require.Equal(t, model.ReasonNoConfiguration, NewFlow(nil, now, model.FlowKey{}).Reason)
	empty := &view.View{FreshUntil: now + 1, Config: &model.Configuration{Version: 1}, Members: placement.NewMembers(nil)}
	require.Equal(t, model.ReasonUnknownService, NewFlow(empty, now, model.FlowKey{Service: 5}).Reason)
	require.Equal(t, model.ReasonStaleView, NewFlow(empty, now+1, model.FlowKey{Service: 5}).Reason)
}
