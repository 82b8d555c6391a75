package admission

import (
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/core/room"
)

var enabled = Settings{Enabled: true, Reserve: 0.1}

// The requests of the first customer's main service.
var (
	urgent = stream{terms: model.Terms{Priority: 1, Goal: 600 * time.Millisecond}, work: 72 * time.Millisecond, weight: 2}
	others = stream{terms: model.Terms{Priority: 2, Goal: 500 * time.Millisecond}, work: 55 * time.Millisecond, weight: 1}
)

// mix returns the streams that use the given parts of the capacity.
func mix(urgentLoad, othersLoad float64) []stream {
	u, o := urgent, others
	u.rate = urgentLoad * modelSlots / u.work.Seconds()
	o.rate = othersLoad * modelSlots / o.work.Seconds()
	return []stream{u, o}
}

// best returns the largest credit that a load of the given parts of the capacity can earn: the
// urgent requests earn more for their work.
func best(urgentLoad, othersLoad float64) float64 {
	value := func(s stream, load float64) float64 { return s.weight * load / s.work.Seconds() }
	u := min(urgentLoad, 1)
	return (value(urgent, u) + value(others, min(othersLoad, 1-u))) / (value(urgent, urgentLoad) + value(others, othersLoad))
}

// total returns the credit of the two streams from the given index on.
func total(w *world, first int) float64 {
	credit, all := 0.0, 0.0
	for i, weight := range []float64{urgent.weight, others.weight} {
		o := w.outcomes[first+i]
		credit += weight * (o.inGoal + 0.3*o.late)
		all += weight * o.requests
	}
	return credit / all
}

// burst simulates a usual load of half of the capacity and then one of the given parts for a minute.
func burst(seed uint64, settings Settings, urgentLoad, othersLoad float64) *world {
	w := newWorld(seed, settings, time.Minute)
	w.run(mix(0.1, 0.4), mix(urgentLoad, othersLoad))
	return w
}

// Load: three times the capacity, of all, of the urgent or of the others alone. Guards against
// urgent requests that share the fate of the others, against a limit that leaves slots unused or
// lets servers reject, and against starvation. Without admission control the servers reject 87 %,
// and the urgent get 0.27.
func TestBursts(t *testing.T) {
	for name, load := range map[string]struct{ urgent, others float64 }{
		"all":             {0.66, 2.34},
		"mostly urgent":   {0.85, 2.15},
		"others alone":    {0.11, 2.89},
		"urgent alone":    {3, 0},
		"urgent too many": {1.5, 1.5},
	} {
		for seed := range uint64(2) {
			w := burst(seed, enabled, load.urgent, load.others)
			u, o := w.outcomes[2], w.outcomes[3]
			credit, most := total(w, 2), best(load.urgent, load.others)
			t.Logf("%s: urgent %.3f, others %.3f, all %.3f of %.3f, rejected %.3f, after the first second %.3f", name, u.credit(), o.credit(), credit, most,
				w.rejected/w.arrivals, w.rejectedLater/w.arrivals)
			if load.urgent < 1 {
				require.GreaterOrEqual(t, u.inGoal/u.requests, 0.97, name)
			}
			require.GreaterOrEqual(t, credit, most-0.03, name)
			if load.others > 0 {
				answered := o.inGoal + o.late
				require.GreaterOrEqual(t, answered, 0.09*(answered+u.inGoal+u.late), "%s: the reserve of the others", name)
			}
			// Nothing can be refused in the 0.6 s until a view shows the burst. Rejections in
			// that time are about 0.03 of the arrivals of the whole minute.
			require.Less(t, w.rejectedLater/w.arrivals, 0.05, name)
			require.Less(t, w.rejected/w.arrivals, 0.075, name)
		}
	}
}

// Load: three times the capacity while 7 of 15 servers do not respond. Guards against limits for
// slots that are listed and do not work, with which the other servers reject a fifth of arrivals.
func TestBurstWhileServersAreDown(t *testing.T) {
	w := newWorld(1, enabled, time.Minute)
	w.working = 8
	w.run(mix(0.05, 0.2), mix(0.36, 1.24))
	u, working := w.outcomes[2], float64(w.working)/zoneServers
	credit, most := total(w, 2), best(0.36/working, 1.24/working)
	t.Logf("urgent %.3f, all %.3f of %.3f, rejected %.3f, after the first second %.3f", u.credit(), credit, most, w.rejected/w.arrivals, w.rejectedLater/w.arrivals)
	require.GreaterOrEqual(t, u.inGoal/u.requests, 0.97)
	require.GreaterOrEqual(t, credit, most-0.03)
	require.Less(t, w.rejectedLater/w.arrivals, 0.05)
}

// Load: three times the capacity, while views are over a second late. Guards against limits that
// swing with the delay of the reports.
func TestBurstWithLateViews(t *testing.T) {
	w := newWorld(1, enabled, time.Minute)
	w.viewDelay = 900 * time.Millisecond
	w.run(mix(0.1, 0.4), mix(0.66, 2.34))
	u := w.outcomes[2]
	t.Logf("urgent %.3f, all %.3f of %.3f, rejected %.3f, after the first second %.3f", u.credit(), total(w, 2), best(0.66, 2.34), w.rejected/w.arrivals, w.rejectedLater/w.arrivals)
	require.GreaterOrEqual(t, u.inGoal/u.requests, 0.97)
	require.GreaterOrEqual(t, total(w, 2), best(0.66, 2.34)-0.03)
}

// Load: three times the capacity, most of it feeds that keep their flows open. Guards against
// urgent flows that are refused because of open flows, which admission control cannot shed.
func TestUrgentFlowsAreAdmittedBesideOpenFeeds(t *testing.T) {
	w := newWorld(1, enabled, time.Minute)
	streams := mix(0.66, 2.34)
	streams[1].rate, streams[1].feeds = 0, int(2.34*modelSlots/others.work.Seconds())
	w.run(mix(0.1, 0.4), streams)
	u := w.outcomes[2]
	t.Logf("urgent %.3f, others %.3f, rejected %.3f", u.credit(), w.outcomes[3].credit(), w.rejected/w.arrivals)
	require.GreaterOrEqual(t, u.inGoal/u.requests, 0.97)
}

// Load: the servers carry all requests. Guards against refusals without need, and against a
// limit below the capacity at full load.
func TestNothingIsRefusedWithoutShortage(t *testing.T) {
	require.Len(t, burst(1, enabled, 0.1, 0.4).verdicts, 1, "at half of the capacity")
	require.Greater(t, total(burst(1, enabled, 0.1, 0.7), 2), 0.995)
	require.Greater(t, total(burst(1, enabled, 0.1, 0.9), 2), 0.92, "at a load of 1.0")
}

// Load: three times the capacity. Guards against refusals by an instance that does not know the
// load of the fleet, or whose operators stated no terms.
func TestNothingIsRefusedWithoutAUsableViewOrTerms(t *testing.T) {
	for name, change := range map[string]func(*world){
		"none":                func(w *world) { w.viewDelay = time.Hour },
		"not usable":          func(w *world) { w.change = func(v *room.View) { v.Usable = false } },
		"stale":               func(w *world) { w.change = func(v *room.View) { v.At = v.At.Add(-2 * time.Second) } },
		"without the service": func(w *world) { w.change = func(v *room.View) { v.Services = nil } },
		"without a baseline":  func(w *world) { w.change = func(v *room.View) { v.Services[""].BaseLatency = 0 } },
	} {
		w := newWorld(1, enabled, 3*time.Second)
		change(w)
		w.run(mix(0.1, 0.4), mix(0.66, 2.34))
		require.Equal(t, []model.Reason{model.ReasonNone}, slices.Collect(maps.Keys(w.verdicts)), name)
	}
	w := newWorld(1, enabled, 3*time.Second)
	same := others
	same.terms, same.rate = model.Terms{Priority: 2}, 3*modelSlots/others.work.Seconds()
	w.run(nil, []stream{same})
	require.Equal(t, []model.Reason{model.ReasonNone}, slices.Collect(maps.Keys(w.verdicts)), "one priority without a goal")
	require.Equal(t, 1, len(burst(1, Settings{}, 0.66, 2.34).verdicts), "switched off")
}
