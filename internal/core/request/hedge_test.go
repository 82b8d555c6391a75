package request_test

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/core/request"
	"github.com/savorytiller/savorytiller/internal/core/view"
)

// hedgeSim simulates four instances, 30 servers with two slots each, and reads at a steady rate.
// Reads take 30 to 40 ms.
type hedgeSim struct {
	*sim
	load *loadGenerator
	runs int // at servers, of reads that began after the start of the statistics
	// timeouts counts the observed timeouts of servers.
	timeouts map[model.ServerID]int
}

const (
	hedgeWarmUp = 20 * time.Second
	hedgeEnd    = 40 * time.Second
)

func newHedgeSim(seed uint64, limit float64, classes ...classLoad) *hedgeSim {
	zones := []model.Zone{"halle-a"}
	h := &hedgeSim{sim: newSim(seed, simConfig(zones, 30, 2), zones, 4), timeouts: map[model.ServerID]int{}}
	h.observe = func(_ *node, o request.Observation) {
		if o.Result == request.Timeout {
			h.timeouts[o.Server]++
		}
	}
	h.settings.HedgeLimit = limit
	for _, srv := range h.servers {
		srv.capacity = 1 << 20
		srv.service = h.usual
	}
	h.load = newLoadGenerator(h.sim, hedgeWarmUp, hedgeEnd, classes...)
	h.load.timeout = time.Second
	return h
}

func (h *hedgeSim) usual() time.Duration {
	return 30*time.Millisecond + time.Duration(h.rng.Int64N(int64(10*time.Millisecond)))
}

// run simulates the load with a condition that begins after the warm-up.
func (h *hedgeSim) run(begin func(h *hedgeSim)) {
	runs := func() (n int) {
		for _, srv := range h.servers {
			n += len(srv.ran)
		}
		return n
	}
	h.start()
	h.runUntil(hedgeWarmUp)
	h.hedges, h.runs = map[model.Reason]int{}, -runs()
	begin(h)
	h.runUntil(hedgeEnd + 2*time.Second)
	h.runs += runs()
}

// Guards against hedged requests that do not help, that exceed their limit, that add load where
// there is no capacity, and that leave a slot in use.
func TestHedgedRequests(t *testing.T) {
	all := func(h *hedgeSim, service func() time.Duration) {
		for _, srv := range h.servers {
			srv.service = service
		}
	}
	tail := func(h *hedgeSim) {
		all(h, func() time.Duration {
			if h.rng.Float64() < 0.03 {
				return 7 * h.usual()
			}
			return h.usual()
		})
	}
	for _, c := range []struct {
		name  string
		limit float64
		rate  float64
		begin func(h *hedgeSim)
		check func(plain, h *hedgeSim, before, after []time.Duration)
	}{
		{"tail", 0.1, 400, tail, func(_, h *hedgeSim, before, after []time.Duration) {
			require.Empty(t, h.timeouts)
			require.Less(t, percentile(after, 0.99), percentile(before, 0.99)/2)
		}},
		{"one slow server", 0.1, 400, func(h *hedgeSim) {
			h.servers["line-halle-a-1"].service = func() time.Duration { return 6 * h.usual() }
		}, func(_, _ *hedgeSim, before, after []time.Duration) {
			require.Less(t, percentile(after, 0.99), percentile(before, 0.99)/2)
		}},
		{"one silent server", 0.1, 400, func(h *hedgeSim) { h.servers["line-halle-a-1"].silent = true }, func(plain, h *hedgeSim, _, after []time.Duration) {
			require.Less(t, percentile(after, 0.99), 100*time.Millisecond)
			require.Less(t, h.load.stats["reads"].refused, plain.load.stats["reads"].refused)
			require.Greater(t, h.timeouts["line-halle-a-1"], 100, "the server is noticed although others answer in its place")
			require.Len(t, h.timeouts, 1)
		}},
		{"all slow", 0.1, 400, func(h *hedgeSim) { all(h, func() time.Duration { return 3 * h.usual() }) }, func(_, h *hedgeSim, _, _ []time.Duration) {
			require.NotZero(t, h.hedges[model.ReasonHedgeDeniedCapacity])
		}},
		{"shortage", 0.1, 2500, tail, func(plain, h *hedgeSim, _, _ []time.Duration) {
			require.Less(t, h.hedges[model.ReasonHedged], h.load.stats["reads"].completed/100)
			require.NotZero(t, h.hedges[model.ReasonHedgeDeniedCapacity])
			require.Greater(t, h.load.goodput(), 0.97*plain.load.goodput())
		}},
		{"limit", 0.01, 400, tail, func(_, h *hedgeSim, _, _ []time.Duration) { require.NotZero(t, h.hedges[model.ReasonHedgeDeniedLimit]) }},
	} {
		run := func(limit float64) *hedgeSim {
			h := newHedgeSim(3, limit, classLoad{name: "reads", method: "GET", rate: c.rate})
			h.run(c.begin)
			for _, id := range h.order {
				require.Zero(t, h.nodes[id].engine.InProgress(), "requests and cancelled dispatches")
			}
			return h
		}
		plain, h := run(0), run(c.limit)
		before, after := plain.load.stats["reads"], h.load.stats["reads"]
		t.Logf("%s: %d reads, completed %d -> %d; p95 %v -> %v, p99 %v -> %v, p99.9 %v -> %v; runs at servers for each read %.3f -> %.3f; %v", c.name, after.offered,
			before.completed, after.completed, percentile(before.latency, 0.95), percentile(after.latency, 0.95), percentile(before.latency, 0.99), percentile(after.latency, 0.99),
			percentile(before.latency, 0.999), percentile(after.latency, 0.999),
			float64(plain.runs)/float64(before.offered), float64(h.runs)/float64(after.offered), h.hedges)
		require.LessOrEqual(t, float64(h.hedges[model.ReasonHedged]), c.limit*1.2*float64(after.offered), c.name)
		require.Equal(t, h.hedges[model.ReasonHedged], h.hedges[model.ReasonHedgeWon]+h.hedges[model.ReasonHedgeCancelled], c.name)
		c.check(plain, h, before.latency, after.latency)
	}
}

// Guards against a non-idempotent request that hedging dispatches twice, while callers
// disconnect, answers are late or lost, servers and instances fail and some servers are cold.
func TestAtMostOnceWithHedgedRequests(t *testing.T) {
	hedged := 0
	rapid.Check(t, func(rt *rapid.T) {
		h := newHedgeSim(rapid.Uint64().Draw(rt, "seed"), 0.2, classLoad{name: "reads", method: "GET", rate: 100, until: 15 * time.Second},
			classLoad{name: "writes", method: "POST", rate: 30, until: 15 * time.Second})
		h.load.timeout = 400 * time.Millisecond
		h.config.Services[0].Kinds[1].Class = "writes" // the usual times of a class don't depend on the kind
		cold := model.ServerID("line-halle-a-2")
		h.warmth = func(id model.ServerID) view.Warmth {
			if id == cold && h.now > 8*time.Second {
				return view.Cold
			}
			return view.Warm
		}
		for _, srv := range h.servers {
			srv.service = func() time.Duration {
				if h.now > 11*time.Second && h.rng.Float64() < 0.1 {
					return time.Duration(h.rng.Int64N(int64(600 * time.Millisecond)))
				}
				return h.usual()
			}
		}
		h.start()
		for i := range rapid.IntRange(1, 6).Draw(rt, "faults") {
			h.at(11*time.Second+time.Duration(i)*700*time.Millisecond, func() {
				srv := h.servers[model.ServerID(fmt.Sprint("line-halle-a-", 3+h.rng.IntN(20)))]
				switch n := h.nodes[h.order[h.rng.IntN(4)]]; h.rng.IntN(4) {
				case 0:
					srv.down = !srv.down
				case 1:
					srv.silent = !srv.silent
				case 2:
					n.stop()
					h.at(500*time.Millisecond, n.start)
				default: // all callers of an instance disconnect
					for id := range n.requests {
						n.post(request.CallerDisconnected{ID: id})
						for serial := range uint32(request.MaxDispatches + 1) {
							if cancel := n.cancels[dispatchKey{id, serial}]; cancel != nil {
								cancel()
							}
						}
					}
				}
			})
		}
		h.runUntil(18 * time.Second)
		runs := map[string]int{}
		for _, srv := range h.servers {
			for _, r := range srv.ran {
				if r.key == "writes" {
					runs[fmt.Sprint(r.op)]++
				}
			}
		}
		require.NotEmpty(rt, runs)
		for op, n := range runs {
			require.Equal(rt, 1, n, "runs of write %s", op)
		}
		hedged += h.hedges[model.ReasonHedged]
	})
	require.NotZero(t, hedged)
}

// overdueRead drives an engine until a read takes longer than usual. hedges is what the engine
// does then; prepare is called before.
func overdueRead(t *testing.T, prepare func(d *engineDriver, first request.Dispatch)) (d *engineDriver, first request.Dispatch, hedges []request.Action) {
	d = newEngineDriver(request.Settings{HedgeLimit: 0.2}, 8)
	d.n.sim.config.Services[0].Servers = append(d.n.sim.config.Services[0].Servers, model.Server{ID: "line-2", Zone: "halle-a", Weight: 100, Slots: 8})
	d.n.publishView()
	d.n.sim.now += 10 * time.Second
	d.n.publishView()
	read := func() request.Dispatch {
		d.renewView()
		d.last++
		d.handle(request.Arrived{ID: d.last, Req: request.Incoming{Host: "line", Method: "GET", Path: "/"}})
		dispatch, ok := findAction[request.Dispatch](d.handle(request.BodyRead{ID: d.last, Complete: true}))
		require.True(t, ok)
		require.True(t, dispatch.Hedgeable)
		return dispatch
	}
	for range 300 {
		first = read()
		d.advance(50 * time.Millisecond)
		d.handle(request.DispatchEnded{ID: first.ID, Serial: first.Serial, Result: request.Answered, Status: 200})
	}
	first = read()
	prepare(d, first)
	d.advance(60 * time.Millisecond)
	return d, first, d.handle(request.Tick{})
}

// Guards against a hedge without a suitable server or after the answer has begun.
func TestRequestsThatAreNotHedged(t *testing.T) {
	second := func(d *engineDriver, first request.Dispatch) *view.Server {
		v := *d.n.view
		v.Servers = maps.Clone(v.Servers)
		for id, s := range v.Servers {
			if id != first.Server.ID {
				changed := *s
				v.Servers[id] = &changed
			}
		}
		d.n.view = &v
		for id, s := range v.Servers {
			if id != first.Server.ID {
				return s
			}
		}
		return nil
	}
	for name, prepare := range map[string]func(d *engineDriver, first request.Dispatch){
		"cold":      func(d *engineDriver, first request.Dispatch) { second(d, first).Warmth = view.Cold },
		"leaving":   func(d *engineDriver, first request.Dispatch) { second(d, first).NewWork = false },
		"not fresh": func(d *engineDriver, _ request.Dispatch) { v := *d.n.view; v.FreshUntil = d.now; d.n.view = &v },
		"answer begun": func(d *engineDriver, first request.Dispatch) {
			d.handle(request.AnswerStarted{ID: first.ID, Serial: 1})
		},
		"": func(d *engineDriver, first request.Dispatch) { second(d, first) },
	} {
		_, first, hedges := overdueRead(t, prepare)
		hedge, hedged := findAction[request.Dispatch](hedges)
		require.Equal(t, name == "", hedged, name)
		require.True(t, !hedged || hedge.Server.ID != first.Server.ID)
	}
}

// Guards against a wrong or missing answer, and against a slot that stays in use, when the two
// dispatches end in any order: cancelled when the answer was already on its way, with an error
// answer first, or with an answer that is sent to the caller while it arrives.
func TestWholeAnswerOfHedgedRequest(t *testing.T) {
	type end = request.DispatchEnded
	answered := end{Result: request.Answered, Status: 200}
	for name, c := range map[string]struct {
		started       uint32 // serial of the dispatch whose answer begins before the first end
		serial        uint32
		first, second end
		outcome       model.Outcome
		answer        uint32 // serial of the dispatch whose answer the caller gets
		cancels       bool
	}{
		"first, and the other at the last moment": {0, 1, answered, answered, model.OutcomeCompleted, 1, true},
		"second":            {0, 2, answered, end{Result: request.Cancelled}, model.OutcomeCompleted, 2, true},
		"error first":       {0, 2, end{Result: request.Answered, Status: 503}, answered, model.OutcomeCompleted, 1, false},
		"error and nothing": {0, 1, end{Result: request.Answered, Status: 500}, end{Result: request.NoResponse}, model.OutcomeCompleted, 1, false},
		"broken first":      {0, 1, end{Result: request.ConnectionBroken}, answered, model.OutcomeCompleted, 2, false},
		"caller gone":       {0, 1, end{Result: request.Cancelled}, end{Result: request.Cancelled}, model.OutcomeUnknown, 0, true},
		"streamed":          {1, 2, end{Result: request.Cancelled}, end{Result: request.Answered, Status: 200, Forwarded: true}, model.OutcomeCompleted, 1, true},
		"streamed, breaks":  {2, 2, end{Result: request.Truncated, Forwarded: true}, end{Result: request.Cancelled}, model.OutcomeUnknown, 0, true},
	} {
		d, read, _ := overdueRead(t, func(*engineDriver, request.Dispatch) {})
		id := read.ID
		var actions []request.Action
		if c.started != 0 {
			actions = d.handle(request.AnswerStarted{ID: id, Serial: c.started})
			f, ok := findAction[request.ForwardAnswer](actions)
			require.True(t, ok, name)
			require.Equal(t, c.started, f.Serial, name)
			require.Empty(t, d.handle(request.AnswerStarted{ID: id, Serial: 3 - c.started}), name)
		}
		c.first.ID, c.first.Serial = id, c.serial
		c.second.ID, c.second.Serial = id, 3-c.serial
		actions = append(actions, d.handle(c.first)...)
		actions = append(actions, d.handle(c.second)...)
		f, ok := findAction[request.Finish](actions)
		require.True(t, ok, name)
		require.Equal(t, c.outcome, f.Outcome, name)
		if c.answer != 0 {
			require.Equal(t, c.answer, f.Serial, name)
		}
		_, cancelled := findAction[request.CancelDispatch](actions)
		require.Equal(t, c.cancels, cancelled, name)
		require.Zero(t, d.n.engine.InProgress(), name)
		require.Empty(t, d.handle(c.second), name)
	}
}
