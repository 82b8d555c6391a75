package steering

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/savorytiller/savorytiller/internal/core/admission"
	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/core/room"
)

// routeLow routes to service a, like routeA, at the lower of two priorities.
var routeLow = Endpoint{3, 80}

// viewOf returns a view of service a in zone z, whose 12 slots have the given number of requests in
// progress.
func viewOf(now model.Time, inProgress float64) *room.View {
	return &room.View{At: now, Usable: true, Services: map[string]*room.Service{"a": {BaseLatency: 60 * time.Millisecond,
		Zones: map[model.Zone]*room.Zone{"z": {Slots: 12, Instances: 1, Total: room.Counters{InProgress: inProgress, Completed: 200}}}}}}
}

// setTerms adds routeLow to the snapshot, with goals for the routes of service a.
func (r *rig) setTerms() {
	r.snapshot.Routes[routeA].Terms = model.Terms{Priority: 1, Goal: 600 * time.Millisecond}
	r.snapshot.Routes[routeLow] = &Route{Name: "low", Shares: []Share{{"a", 1}}, Terms: model.Terms{Priority: 2, Goal: 500 * time.Millisecond}}
}

// setLoad publishes a view with the given requests in progress.
func (r *rig) setLoad(inProgress float64) {
	next := *r.snapshot
	next.Room = viewOf(r.now, inProgress)
	r.snapshot = &next
}

func newShortRig(t testing.TB) *rig {
	r := newRig(t)
	r.setTerms()
	r.steerer.SetAdmission(admission.Settings{Enabled: true, Reserve: 0})
	r.setLoad(100)
	return r
}

// fill opens flows without answers until the first that is not delivered, and returns its caller
// and decision.
func (r *rig) fill(route Endpoint) (caller uint16, d Decision) {
	for caller = uint16(1000); caller < 1100; caller++ {
		if d = r.syn(caller, route, 0); d.Action != Deliver {
			return caller, d
		}
	}
	require.Fail(r.t, "all flows were delivered")
	return 0, d
}

// Load: a service at 8 times its slots. Guards against a flow beyond the limit that is sent to a
// full server, against a hold without a second decision, and against refusals that are not counted.
func TestFlowBeyondTheLimitIsHeldAndThenRefused(t *testing.T) {
	r := newShortRig(t)
	r.steerer.SetReportInterval(time.Millisecond)
	caller, d := r.fill(routeLow)
	require.Equal(t, Decision{Action: Drop, Reason: model.ReasonHeld, Admission: model.ReasonHeld, Route: d.Route}, d)
	duplicate := r.syn(caller, routeLow, 0)
	require.Equal(t, model.ReasonHeld, duplicate.Reason)
	require.Equal(t, model.ReasonNone, duplicate.Admission, "a duplicate is not counted")
	require.Equal(t, Deliver, r.syn(1, routeA, 0).Action, "the urgent flows have a higher limit")
	r.now += 100 * millisecond
	require.Equal(t, model.ReasonOverloaded, r.syn(caller, routeLow, 1).Reason)
	report := r.steerer.TakeReport(r.now)
	require.EqualValues(t, 2, report.Classes[room.Class{Service: "a", Zone: "z", Priority: 2}].Refused)

	shortage, ok := r.steerer.TakeShortage()
	require.True(t, ok)
	require.Equal(t, ShortageBegins, shortage.State)
	require.EqualValues(t, 100, shortage.Inputs.InProgress)
	_, ok = r.steerer.TakeShortage()
	require.False(t, ok, "one report per second")
	r.now += second
	r.setLoad(1)
	require.Equal(t, Deliver, r.syn(2, routeLow, 0).Action)
	shortage, _ = r.steerer.TakeShortage()
	require.Equal(t, ShortageEnds, shortage.State)
	require.Equal(t, 1, shortage.Counts[model.ReasonHeld])
	require.Equal(t, 1, shortage.Counts[model.ReasonOverloaded])
}

// Load: a service that becomes short just after a flow opened. Guards against a decision about a SYN
// that the network duplicated, whose first packet a server may have answered.
func TestDuplicateOfAnAdmittedSYNIsNotRefused(t *testing.T) {
	r := newShortRig(t)
	r.setLoad(1)
	for caller := range uint16(40) {
		require.Equal(t, Deliver, r.syn(caller, routeLow, 0).Action)
	}
	r.now += fractionOfTimeout(11, 10)
	r.setLoad(100)
	r.fill(routeLow)
	for caller := range uint16(40) {
		require.Equal(t, Deliver, r.syn(caller, routeLow, 0).Action)
	}
}

// Load: a service that is short and not short in turns. Guards against a refusal of a flow of
// which a server may have received a copy, and against decisions about flows that are open.
func TestOnlyFlowsWhoseCopiesWereAllHeldAreRefused(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		r := newShortRig(t)
		type caller struct {
			next       uint32 // copy
			held, sent int
			token      Token
			unseenCopy bool
		}
		callers := map[uint16]*caller{}
		for range rapid.IntRange(20, 200).Draw(rt, "steps") {
			r.now += model.Time(rapid.IntRange(0, 120).Draw(rt, "pause")) * millisecond
			if rapid.IntRange(0, 3).Draw(rt, "view") == 0 {
				r.setLoad(float64(rapid.SampledFrom([]int{2, 14, 100}).Draw(rt, "in progress")))
			}
			id := uint16(rapid.IntRange(1, 40).Draw(rt, "caller"))
			c := callers[id]
			if c == nil {
				c = &caller{}
				callers[id] = c
			}
			if c.token != 0 {
				if d := r.data(id, routeLow, c.token, 101, 500); d.Action != Deliver {
					rt.Fatalf("open flow: %v", d)
				}
				continue
			}
			if c.next > 2 {
				continue
			}
			if rapid.IntRange(0, 9).Draw(rt, "lost") == 0 {
				c.next, c.unseenCopy = c.next+1, true
				continue
			}
			d := r.syn(id, routeLow, c.next)
			switch {
			case d.Reason == model.ReasonHeld:
				c.held++
			case d.Action == Deliver:
				c.sent++
			case d.Reason == model.ReasonOverloaded:
				if c.sent > 0 || c.unseenCopy || uint32(c.held) != c.next {
					rt.Fatalf("copy %d refused: %+v", c.next, *c)
				}
			}
			if c.held > 1 {
				rt.Fatal("held twice")
			}
			c.next++
			if d.Action == Deliver && rapid.Bool().Draw(rt, "answered") {
				c.token = d.Server.Token
			} else if d.Action == Reset {
				c.next = 3
			}
		}
	})
}

// Load: more new flows than can be remembered. Guards against memory that grows with the callers.
func TestHeldFlowsAreBounded(t *testing.T) {
	r := newShortRig(t)
	r.fill(routeLow)
	for i := range uint16(3 * maxHeld) {
		if i%5 == 0 {
			// Flows are held only while the estimated chance of their retransmission is good.
			r.steerer.admitter.controller = admission.NewController(admission.Settings{Enabled: true})
		}
		r.syn(2000+i, routeLow, 0)
	}
	require.Len(t, r.steerer.admitter.held, maxHeld)
	r.now += 3 * second
	r.syn(1, routeLow, 0)
	require.LessOrEqual(t, len(r.steerer.admitter.held), 1)
	require.LessOrEqual(t, len(r.steerer.admitter.heldOrder), 1)
}

// Guards against other decisions than before admission control for routes of one priority without
// a goal while the view shows a shortage, for routes with terms while there is no usable view, and
// while admission control is switched off.
func TestDecisionsAreAsBeforeUnlessAdmissionIsCalledFor(t *testing.T) {
	recorded, err := os.ReadFile(filepath.Join("testdata", "decisions.txt"))
	require.NoError(t, err)
	withTerms := func(s *Snapshot) {
		s.Routes[routeA].Terms = model.Terms{Priority: 1, Goal: time.Second}
		s.Routes[routeLow] = &Route{Name: "low", Shares: []Share{{"a", 1}}, Terms: model.Terms{Priority: 2}}
	}
	require.Equal(t, string(recorded), replay(t, withTerms), "no view")
	require.Equal(t, string(recorded), replay(t, func(s *Snapshot) {
		withTerms(s)
		s.Room = viewOf(s.ConfirmedAt, 100)
		s.Room.Usable = false
	}), "view not usable")
	require.Equal(t, string(recorded), replay(t, func(s *Snapshot) { s.Room = viewOf(s.ConfirmedAt, 100) }), "no terms")
	require.NotEqual(t, string(recorded), replay(t, func(s *Snapshot) {
		withTerms(s)
		s.Room = viewOf(s.ConfirmedAt, 100)
	}), "the sequence is one in which admission control would act")
}
