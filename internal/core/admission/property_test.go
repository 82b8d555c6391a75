package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/core/room"
)

// drawView returns a view of one service in two or three zones with two priorities.
func drawView(rt *rapid.T, at model.Time) *room.View {
	service := &room.Service{Zones: map[model.Zone]*room.Zone{}, BaseLatency: time.Duration(rapid.IntRange(0, 300).Draw(rt, "base")) * time.Millisecond}
	for _, name := range []model.Zone{"a", "b", "c"}[:rapid.IntRange(1, 3).Draw(rt, "zones")] {
		z := &room.Zone{Slots: rapid.IntRange(0, 60).Draw(rt, "slots"), Instances: rapid.IntRange(0, 20).Draw(rt, "instances"), ByPriority: map[uint8]room.Counters{}}
		for p := range uint8(2) {
			c := room.Counters{InProgress: rapid.Float64Range(0, 200).Draw(rt, "in progress"), Completed: rapid.Float64Range(0, 800).Draw(rt, "completed")}
			if p == 1 && rapid.Bool().Draw(rt, "urgent only") {
				break
			}
			z.ByPriority[p] = c
			z.Total.Add(&c)
		}
		service.Zones[name] = z
	}
	return &room.View{At: at, Usable: true, Services: map[string]*room.Service{"": service}}
}

// drawFlow returns a flow of priority 0 or 1 and the own load.
func drawFlow(rt *rapid.T) (Flow, map[model.Zone]int) {
	classes := &Classes{}
	classes.Add(model.Terms{Priority: 0})
	classes.Add(model.Terms{Priority: 1})
	f := Flow{Classes: classes, MayHold: rapid.Bool().Draw(rt, "may hold"), Copy: Copy(rapid.IntRange(0, 2).Draw(rt, "copy")),
		Terms: model.Terms{Priority: uint8(rapid.IntRange(0, 1).Draw(rt, "priority")), Goal: time.Duration(rapid.IntRange(0, 800).Draw(rt, "goal")) * time.Millisecond}}
	own := map[model.Zone]int{}
	for _, zone := range []model.Zone{"a", "b", "c"} {
		own[zone] = rapid.IntRange(0, 30).Draw(rt, "own")
	}
	return f, own
}

// Guards against a flow that is refused or held while the view shows a free slot, or of which
// another copy may have reached a server, and against a flow that is held twice.
func TestRefusalsNeedFullZonesAndNoOtherCopy(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		c, now := NewController(enabled), model.Time(time.Second)
		for range 8 {
			now = now.Add(300 * time.Millisecond)
			view := drawView(rt, now)
			for range 5 {
				f, own := drawFlow(rt)
				v := c.Decide(&f, &State{Zone: "a", Instances: rapid.IntRange(1, 20).Draw(rt, "live"), View: view, Own: own, Now: now, Random: rapid.Float64Range(0, 0.999).Draw(rt, "random")})
				if v.Action == Admit {
					continue
				}
				if f.Copy == Other || f.Copy == AfterHold && v.Action == Hold || !f.MayHold && v.Action == Hold {
					rt.Fatalf("copy %d: %v", f.Copy, v)
				}
				for zone, z := range view.Services[""].Zones {
					if z.Total.InProgress < float64(z.Slots) {
						rt.Fatalf("zone %s has %.1f requests at %d slots: %v", zone, z.Total.InProgress, z.Slots, v)
					}
				}
			}
		}
	})
}

// Guards against an urgent flow that is refused while a less urgent one is admitted with the same
// inputs, apart from the reserve.
func TestUrgentFlowsAreAdmittedFirst(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		twins, now := [2]*Controller{NewController(enabled), NewController(enabled)}, model.Time(time.Second)
		for range 8 {
			now = now.Add(300 * time.Millisecond)
			view := drawView(rt, now)
			f, own := drawFlow(rt)
			var verdicts [2]Verdict
			s := State{Zone: "a", Instances: 8, View: view, Own: own, Now: now, Random: rapid.Float64Range(0, 0.999).Draw(rt, "random")}
			for p, c := range twins {
				f.Terms.Priority = uint8(p)
				verdicts[p] = c.Decide(&f, &s)
			}
			if verdicts[0].Action != Admit && verdicts[1].Action == Admit && verdicts[1].Reason != model.ReasonReserve {
				rt.Fatalf("urgent %v, other %v", verdicts[0], verdicts[1])
			}
		}
	})
}

// Load: the own zone is at 4 times its slots, another has half of its slots free. Guards against
// spare capacity that is used by nobody or by all instances at once.
func TestSpareCapacityOfOtherZonesIsDivided(t *testing.T) {
	view := &room.View{At: 1, Usable: true, Services: map[string]*room.Service{"": {BaseLatency: 60 * time.Millisecond, Zones: map[model.Zone]*room.Zone{
		"a": {Slots: 60, Instances: 16, Total: room.Counters{InProgress: 240, Completed: 1000}},
		"b": {Slots: 60, Instances: 16, Total: room.Counters{InProgress: 30, Completed: 500}},
	}}}}
	f, c := Flow{Classes: &Classes{goal: true, priorities: []uint8{1, 2}}, Terms: model.Terms{Priority: 2}}, NewController(enabled)
	own, sent := map[model.Zone]int{"a": 15}, 0
	for range 100 {
		v := c.Decide(&f, &State{Zone: "a", Instances: 16, View: view, Own: own, Now: 2, Random: 0.5})
		if v.Reason == model.ReasonOtherZone {
			own[v.Zone]++
			sent++
		}
	}
	// The limit of b is 60 slots and 1.5 more each, of which 120 are spare, a sixteenth for each
	// of the instances of a.
	if sent != 7 && sent != 8 {
		t.Fatalf("%d flows sent to the other zone", sent)
	}
}

// Load: twice the capacity while one zone is out of service. Guards against callers of that zone who
// only get what those of the other zones leave, and against all of them being sent to one zone.
func TestZoneWithoutServersSharesTheOthers(t *testing.T) {
	full := func() *room.Zone {
		return &room.Zone{Slots: 60, Instances: 16, Total: room.Counters{InProgress: 180, Completed: 1000}}
	}
	view := &room.View{At: 1, Usable: true, Services: map[string]*room.Service{"": {BaseLatency: 60 * time.Millisecond, Zones: map[model.Zone]*room.Zone{
		"a": {Instances: 16}, "b": full(), "c": full()}}}}
	f, c := Flow{Classes: &Classes{goal: true, priorities: []uint8{1, 2}}, Terms: model.Terms{Priority: 2}}, NewController(enabled)
	admitted := func(zone model.Zone) map[model.Zone]int {
		own := map[model.Zone]int{}
		for i := range 100 {
			v := c.Decide(&f, &State{Zone: zone, Instances: 16, View: view, Own: own, Now: 2, Random: float64(i*37%100) / 100})
			if v.Reason == model.ReasonAdmitted {
				own[v.Zone]++
			}
		}
		return own
	}
	out, inService := admitted("a"), admitted("b")
	require.InDelta(t, 6, out["b"]+out["c"], 1, "a 48th of the limits of b and c, which are 150 each")
	require.Greater(t, inService["b"], 0)

	first := map[model.Zone]int{}
	for i := range 100 {
		v := c.Decide(&f, &State{Zone: "a", Instances: 16, View: view, Now: 2, Random: float64(i) / 100})
		first[v.Zone]++
	}
	require.Equal(t, map[model.Zone]int{"b": 50, "c": 50}, first, "in proportion to their limits")
}

// Load: open flows to servers that no longer accept new ones. Guards against flows that are refused
// for lack of capacity while the service has no servers, which seed 772554309 of the soak found.
func TestZonesWithoutServersAreNotShort(t *testing.T) {
	leaving := func() *room.Zone {
		return &room.Zone{Instances: 16, Total: room.Counters{InProgress: 3, Completed: 170}}
	}
	view := &room.View{At: 1, Usable: true, Services: map[string]*room.Service{"": {BaseLatency: time.Millisecond, Zones: map[model.Zone]*room.Zone{
		"a": leaving(), "b": leaving()}}}}
	f, c := Flow{Classes: &Classes{goal: true, priorities: []uint8{1, 2}}, Terms: model.Terms{Priority: 2}}, NewController(enabled)
	state := State{Zone: "a", Instances: 16, View: view, Own: map[model.Zone]int{"a": 20}, Now: 2, Random: 0.5}
	require.Equal(t, Verdict{Zone: "a"}, c.Decide(&f, &state))

	next := *view
	next.Services[""].Zones["b"].Slots, next.Services[""].Zones["b"].Total.InProgress = 60, 20
	state.View = &next
	require.Equal(t, Admit, c.Decide(&f, &state).Action, "zone b has free slots")
}
