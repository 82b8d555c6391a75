package steering

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/core/room"
)

// openings simulates callers that open flows through one instance, retransmit their SYN after
// 200 ms and 600 ms and give up after 1.4 s.
type openings struct {
	*rig
	random *rand.Rand
	events []openingEvent
	// answer returns the time from a SYN at a server to the caller's next packet; 0 for never.
	answer  func(server *Server) time.Duration
	scale   int // of the usual opening times
	callers map[FlowKey]*openingCaller
	// Flows that began before from are not counted.
	from           model.Time
	times          []time.Duration // until flows opened
	opened, failed int
	counts         map[model.Reason]int
}

type openingEvent struct {
	at  model.Time
	run func()
}

type openingCaller struct {
	key   FlowKey
	began model.Time
	done  bool
	sent  []sentSYN
}

// sentSYN is a copy of a SYN that a server got.
type sentSYN struct {
	server *Server
	at     model.Time
}

func newOpenings(t testing.TB, seed uint64, limit float64) *openings {
	o := &openings{rig: newRig(t), scale: 1, random: rand.New(rand.NewPCG(seed, 3)), counts: map[model.Reason]int{}, callers: map[FlowKey]*openingCaller{}}
	o.steerer = NewSteerer(o.random, 5)
	o.steerer.SetHedgeLimit(limit)
	o.publish(servers("a", "z", 30), servers("b", "z", 10))
	o.answer = o.usual
	return o
}

// usual returns a usual opening time: 20 to 30 ms times scale.
func (o *openings) usual(*Server) time.Duration {
	return time.Duration(o.scale) * (20*time.Millisecond + time.Duration(o.random.IntN(10_000))*time.Microsecond)
}

func (o *openings) at(d time.Duration, run func()) {
	at := o.now.Add(d)
	i, _ := slices.BinarySearchFunc(o.events, at, func(e openingEvent, at model.Time) int { return cmp.Or(cmp.Compare(e.at, at), -1) })
	o.events = slices.Insert(o.events, i, openingEvent{at, run})
}

// run simulates n openings, 100 a second, until all flows have ended.
func (o *openings) run(n int, route func() Endpoint) {
	for i := range n {
		o.at(time.Duration(i)*10*time.Millisecond, func() {
			o.open(&openingCaller{key: FlowKey{Endpoint{9, uint16(i)}, route()}, began: o.now})
		})
	}
	for len(o.events) > 0 {
		e := o.events[0]
		o.events = o.events[1:]
		o.now = e.at
		e.run()
	}
}

func toA() Endpoint { return routeA }

func (o *openings) open(c *openingCaller) {
	o.callers[c.key] = c
	for n, wait := range []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond} {
		o.at(wait, func() {
			if !c.done {
				o.packet(&Packet{Key: c.key, Flags: SYN, Sequence: 100, Retransmissions: uint32(n)})
			}
		})
	}
	o.at(1400*time.Millisecond, func() {
		if !c.done && c.began >= o.from {
			o.failed++
		}
		c.done = true
	})
}

// deliver simulates a server that gets a SYN. The flow opens at the server whose answer is first.
// A SYN goes to another server only while no earlier one may still answer, except a hedged one.
func (o *openings) deliver(c *openingCaller, server *Server, hedged bool) {
	for i, s := range c.sent {
		if s.server.ID != server.ID && o.now.Sub(s.at) < ResponseTimeout {
			require.True(o.t, hedged && i == 0 || slices.ContainsFunc(c.sent, func(s sentSYN) bool { return s.server.ID == server.ID }), "third server")
		}
	}
	c.sent = append(c.sent, sentSYN{server, o.now})
	wait := o.answer(server)
	if wait == 0 {
		return
	}
	o.at(wait, func() {
		if c.done {
			return // the caller ignores the second answer
		}
		c.done = true
		if c.began >= o.from {
			o.opened++
			o.times = append(o.times, o.now.Sub(c.began))
		}
		p := Packet{Key: c.key, Flags: ACK, Token: server.Token, Sequence: 101, Acknowledged: 500}
		o.packet(&p)
		p.Flags |= FIN
		o.at(100*time.Millisecond, func() { o.packet(&p) })
	})
}

// packet passes a packet to the Steerer as the worker of the traffic goroutine does.
func (o *openings) packet(p *Packet) {
	d := o.send(*p)
	if d.NewFlow {
		o.steerer.KeepSYN(p, []byte(fmt.Sprint(p.Key.Caller.Port)), o.now)
	}
	if p.IsSYN() && d.Action == Deliver {
		o.deliver(o.callers[p.Key], d.Server, false)
	}
	for h, ok := o.steerer.TakeHedge(o.now); ok; h, ok = o.steerer.TakeHedge(o.now) {
		if o.now >= o.from {
			o.counts[h.Reason]++
		}
		if h.Server != nil {
			require.Equal(o.t, fmt.Sprint(h.Key.Caller.Port), string(h.SYN()))
			require.False(o.t, o.callers[h.Key].done, "hedged after the caller's answer was seen")
			second := o.steerer.targets[h.Server.Token]
			require.False(o.t, second.server.ShouldAvoid(o.now, &second.Traffic), "copy to an avoided server")
			o.deliver(o.callers[h.Key], h.Server, true)
		}
	}
}

// synsAt returns the number of SYNs that a server got.
func (o *openings) synsAt(id model.ServerID) (n int) {
	for _, c := range o.callers {
		for _, s := range c.sent {
			if s.server.ID == id && c.began >= o.from {
				n++
			}
		}
	}
	return n
}

func (o *openings) percentile(p float64) time.Duration {
	sorted := slices.Sorted(slices.Values(o.times))
	return sorted[int(p*float64(len(sorted)))]
}

// requireNoLoad fails if the load of a flow or of a copied SYN is still counted.
func (o *openings) requireNoLoad() {
	o.now += 10 * second
	o.syn(65535, routeB, 0) // lets the Steerer sweep
	o.now += 10 * second
	o.syn(65534, routeA, 0)
	require.Empty(o.t, o.steerer.hedging.copies)
	flows, busy := 0, 0
	for _, t := range o.steerer.targets {
		flows, busy = flows+t.flows, busy+t.busy
	}
	require.Equal(o.t, []int{1, 1}, []int{flows, busy}, "flows and requests in progress, with the last SYN")
}

// Guards against hedged openings that do not help, that exceed their limit, or that add load
// where there is no capacity. Each condition begins after 30 s of usual openings; figures are
// those of the 20 s after its begin.
func TestHedgedOpenings(t *testing.T) {
	slowTail := func(o *openings) func(*Server) time.Duration {
		return func(s *Server) time.Duration {
			if o.random.Float64() < 0.03 {
				return 7 * o.usual(s)
			}
			return o.usual(s)
		}
	}
	firstServer := func(o *openings, took func(time.Duration) time.Duration) func(*Server) time.Duration {
		return func(s *Server) time.Duration {
			if s.ID == "a-z-0" {
				return took(o.usual(s))
			}
			return o.usual(s)
		}
	}
	short := func(o *openings) {
		snapshot := *o.snapshot
		snapshot.Room = &room.View{Usable: true, Services: map[string]*room.Service{"a": {Zones: map[model.Zone]*room.Zone{
			"z": {Slots: 120, Instances: 1, Total: room.Counters{InProgress: 121}}}}}}
		o.snapshot = &snapshot
	}
	for _, c := range []struct {
		name  string
		limit float64
		begin func(o *openings)
		check func(plain, o *openings)
	}{
		{"tail", 0.1, func(o *openings) { o.answer = slowTail(o) }, func(plain, o *openings) {
			require.Less(t, o.percentile(0.99), plain.percentile(0.99)*6/10)
			require.Greater(t, o.counts[model.ReasonHedgeWon], o.counts[model.ReasonHedged]/4)
		}},
		{"one slow server", 0.1, func(o *openings) {
			o.answer = firstServer(o, func(d time.Duration) time.Duration { return 6 * d })
		}, func(plain, o *openings) { require.Less(t, o.percentile(0.99), plain.percentile(0.99)*6/10) }},
		{"one silent server", 0.1, func(o *openings) {
			o.answer = firstServer(o, func(time.Duration) time.Duration { return 0 })
		}, func(plain, o *openings) {
			require.Less(t, o.percentile(0.999), plain.percentile(0.999))
			require.LessOrEqual(t, o.synsAt("a-z-0"), plain.synsAt("a-z-0")+2, "the server is noticed although second servers answer")
		}},
		{"all slow", 0.1, func(o *openings) {
			o.answer = func(s *Server) time.Duration { return 4 * o.usual(s) }
		}, func(_, o *openings) { require.NotZero(t, o.counts[model.ReasonHedgeDeniedCapacity]) }},
		{"shortage", 0.1, func(o *openings) { o.answer = slowTail(o); short(o) }, func(_, o *openings) {
			require.Zero(t, o.counts[model.ReasonHedged])
			require.NotZero(t, o.counts[model.ReasonHedgeDeniedCapacity])
		}},
		{"limit", 0.01, func(o *openings) { o.answer = slowTail(o) }, func(_, o *openings) { require.NotZero(t, o.counts[model.ReasonHedgeDeniedLimit]) }},
	} {
		run := func(limit float64) *openings {
			o := newOpenings(t, 5, limit)
			o.from = o.now.Add(30 * time.Second)
			o.at(30*time.Second, func() { c.begin(o) })
			o.run(5000, toA)
			if limit > 0 {
				o.requireNoLoad()
			}
			return o
		}
		plain, o := run(0), run(c.limit)
		t.Logf("%s: of %d openings, failed %d -> %d; p95 %v -> %v, p99 %v -> %v, p99.9 %v -> %v; extra work %.1f %%; %v", c.name, len(o.times)+o.failed,
			plain.failed, o.failed, plain.percentile(0.95), o.percentile(0.95), plain.percentile(0.99), o.percentile(0.99),
			plain.percentile(0.999), o.percentile(0.999), 100*float64(o.counts[model.ReasonHedged])/float64(o.opened+o.failed), o.counts)
		require.LessOrEqual(t, o.counts[model.ReasonHedged], int(2*c.limit*float64(o.opened+o.failed)), c.name)
		require.LessOrEqual(t, o.failed, plain.failed, c.name)
		c.check(plain, o)
	}
}

// Guards against an opening of a non-idempotent route at two servers at once, a third server
// within the response timeout, a copy to a cold, draining or avoided server, and load that stays
// counted, under lost answers, slow servers and changes of the servers.
func TestAtMostOnceAndLimitsWithHedgedOpenings(t *testing.T) {
	hedged := 0
	rapid.Check(t, func(rt *rapid.T) {
		o := newOpenings(t, rapid.Uint64().Draw(rt, "seed"), 0.2)
		lost, slow := rapid.Float64Range(0.02, 0.2).Draw(rt, "lost"), rapid.Float64Range(0, 0.3).Draw(rt, "slow")
		answer := func(s *Server) time.Duration {
			switch {
			case o.random.Float64() < lost:
				return 0
			case o.random.Float64() < slow:
				return time.Duration(o.random.IntN(300)) * time.Millisecond
			}
			return o.usual(s)
		}
		cold, coldServers, draining := o.random.IntN(2), 8+21*o.random.IntN(2), o.random.IntN(20)
		o.scale = 1 + 2*o.random.IntN(2) // with 3, a copy may still be answered when the caller retransmits
		o.at(11*time.Second, func() {
			o.answer = answer
			all := servers("a", "z", 30)
			for i := range coldServers {
				all[cold+i].ColdUntil, all[cold+i].ColdHome = o.now+100*second, true
			}
			for i := range 3 {
				all[draining+i].State = model.ServerDraining
			}
			o.publish(all, servers("b", "z", 10))
		})
		o.run(1400, func() Endpoint { return [...]Endpoint{routeA, routeA, routeB}[o.random.IntN(3)] })
		for _, c := range o.callers {
			for i, s := range c.sent {
				if now := o.now; i > 0 && s.at.Sub(c.began) < ResponseTimeout {
					require.Equal(rt, routeA, c.key.Route, "a second server only for idempotent requests")
					require.Zero(rt, s.server.ColdUntil, "cold server at %v", now)
					require.Equal(rt, model.ServerActive, s.server.State)
				}
			}
		}
		hedged += o.counts[model.ReasonHedged]
		require.Equal(rt, o.counts[model.ReasonHedged]-len(o.steerer.hedging.copies), o.counts[model.ReasonHedgeWon]+o.counts[model.ReasonHedgeCancelled])
		o.requireNoLoad()
	})
	require.Greater(t, hedged, 100, "hedges over all cases")
}

// Guards against allocations for the packets of open flows while openings are hedged.
func TestOpenFlowsAllocateNothingWhileHedging(t *testing.T) {
	o := newOpenings(t, 1, 0.2)
	o.run(1500, toA)
	server := o.openFlow(2000, routeA)
	sequence := uint32(1000)
	require.Zero(t, testing.AllocsPerRun(1000, func() {
		sequence += 50
		o.now += millisecond
		o.data(2000, routeA, server.Token, sequence, sequence)
		o.steerer.TakeHedge(o.now)
	}))
}

// Guards against a copy of a SYN whose flow opens with the very packet that makes the copy due,
// and against a flow that does not open at the first server when its answer, which arrives right
// after the copy was sent, is the one that the caller acknowledges.
func TestHedgeCancelledAtTheLastMoment(t *testing.T) {
	for _, late := range []bool{false, true} {
		o := newOpenings(t, 1, 0.2)
		o.run(1500, toA)
		v := o.syn(2000, routeA, 0)
		o.steerer.KeepSYN(&Packet{Key: FlowKey{Endpoint{9, 2000}, routeA}}, []byte("syn"), o.now)
		o.now += 100 * millisecond
		if late {
			o.syn(2001, routeB, 0)
			h, ok := o.steerer.TakeHedge(o.now)
			require.True(t, ok)
			require.Equal(t, model.ReasonHedged, h.Reason)
			require.NotEqual(t, v.Server, h.Server)
			again := o.syn(2000, routeA, 1)
			require.Equal(t, v.Server, again.Server, "a copy within the response timeout")
		}
		require.Equal(t, v.Server, o.data(2000, routeA, v.Server.Token, 101, 500).Server)
		h, ok := o.steerer.TakeHedge(o.now)
		require.Equal(t, late, ok)
		if late {
			require.Equal(t, model.ReasonHedgeCancelled, h.Reason)
		}
		require.Len(t, o.steerer.hedging.copies, 0)
		require.Equal(t, 1, o.steerer.targets[v.Server.Token].flows)
	}
}
