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

// Guards against an explanation that differs from the decision of a flow worker
// and would mislead operators.
func TestExplanationMatchesDecision(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		views := drawViews(t)
		key := model.FlowKey{Service: 17, Protocol: flow.ProtocolTCP, Source: address(rapid.IntRange(1000, 1<<16).Draw(t, "caller")),
			Destination: address(0)}
		m := FirstPacket(key)
		at := views[0]
		for range MaxSteps {
			explained := Decide(at, now, m)
			d := decideWithOtherFlows(at, m)
			require.Equal(t, d.Reason, explained.Reason)
			require.NotEmpty(t, explained.Step)
			switch d.Action {
			case flow.Deliver:
				require.Equal(t, d.To, at.Servers[explained.Server].FlowAddress)
				return
			case flow.Drop:
				require.Empty(t, explained.Server)
				require.Empty(t, explained.Next)
				return
			}
			next, ok := at.Members.Get(explained.Next)
			require.True(t, ok, "%+v", explained)
			require.Equal(t, d.To, next.FlowAddress)
			require.Equal(t, d.ForwardHeader.Kind, explained.Forwarded.Kind)
			at, m = viewOf(views, explained.Next), explained.Forwarded
		}
		t.Fatal("the packet was forwarded more than MaxSteps times")
	})
}

func viewOf(views []*view.View, id model.InstanceID) *view.View {
	for _, v := range views {
		if v.Self.ID == id {
			return v
		}
	}
	return nil
}

// decideWithOtherFlows returns the decision of a shard that holds other flows.
func decideWithOtherFlows(v *view.View, m flow.Message) flow.Decision {
	shard := flow.NewShard(flow.DefaultSettings(1, 100))
	var d flow.Decision
	for i := range 20 {
		other := FirstPacket(m.Key)
		other.Key.Source = netip.AddrPortFrom(address(900).Addr(), uint16(i+1))
		other.Fingerprint = flow.Fingerprint(other.Key)
		shard.HandlePacket(v, now, &other, &d)
	}
	shard.HandlePacket(v, now, &m, &d)
	return d
}

// Guards against a panic of the operators' endpoint before the first release
// note, for an unknown service and with an expired view.
func TestExplanationWithoutDecision(t *testing.T) {
	unknown := model.FlowKey{Service: 5, Destination: address(5)}
	require.Equal(t, model.ReasonStaleView, Decide(nil, now, FirstPacket(unknown)).Reason)
	require.NotEmpty(t, PlaceFlow(nil, unknown).Steps)
	empty := &view.View{FreshUntil: now + 1, Config: &model.Configuration{Version: 1}, Members: placement.NewMembers(nil)}
	require.Equal(t, model.ReasonUnknownService, Decide(empty, now, FirstPacket(unknown)).Reason)
	require.Equal(t, model.ReasonStaleView, Decide(empty, now+1, FirstPacket(unknown)).Reason)
	require.NotEmpty(t, PlaceFlow(empty, unknown).Steps)
}

// Guards against a placement whose zone or server differs from the one that the
// flow gets from the lookup table.
func TestPlacementMatchesTableChoice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		views := drawViews(t)
		key := model.FlowKey{Service: 17, Protocol: flow.ProtocolTCP, Source: address(rapid.IntRange(1000, 1<<16).Draw(t, "caller")),
			Destination: address(0)}
		for _, v := range views {
			d := Decide(v, now, FirstPacket(key))
			p := PlaceFlow(v, key)
			// If a zone has no live instance, the owner of its flows is in
			// another zone and uses that zone's table.
			if d.Reason == model.ReasonTableChoice && v.Members.LiveCountIn(p.Zone) > 0 {
				require.Equal(t, p.TableChoice, d.Server)
				require.Equal(t, p.Zone, v.Servers[d.Server].Zone)
			}
		}
	})
}
