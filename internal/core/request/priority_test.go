package request_test

import (
	"fmt"
	"hash/fnv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/core/request"
)

// decisions runs the factory fleet under twice the load that it can serve and returns a hash over
// when and how each request ended and which server got it last.
func decisions(priority uint8) string {
	const service = 50 * time.Millisecond
	s := factoryFleet(21, service)
	kinds := s.config.Services[0].Kinds
	for i := range kinds {
		kinds[i].Priority = priority
	}
	capacity := requestCapacity(s, service)
	l := newLoadGenerator(s, 0, 3*time.Second, classLoad{name: "writes", method: "POST", rate: capacity},
		classLoad{name: "reads", method: "GET", rate: capacity})
	hash := fnv.New64a()
	s.finished = func(n *node, r *simRequest, f request.Finish) {
		l.finish(n, r, f)
		server := ""
		if r.dispatch.Server != nil {
			server = string(r.dispatch.Server.ID)
		}
		_, _ = fmt.Fprintln(hash, s.now, r.op, f.Outcome, f.Reason, server) // never fails
	}
	s.start()
	s.runUntil(4 * time.Second)
	return fmt.Sprintf("%d %x", l.n, hash.Sum64())
}

// Guards against decisions that change although the operators state no priority, or the same one for
// all classes. The hash was recorded on the code without priorities.
func TestDecisionsWithoutPrioritiesAreUnchanged(t *testing.T) {
	for _, priority := range []uint8{0, 255} {
		require.Equal(t, "7116 cb000424d4d9dc01", decisions(priority))
	}
}

// shortage plays writes with priority 0 and reads with priority 2, each with a guaranteed share of
// 20 %, at the given multiples of the capacity. With equal set, both have priority 1.
func shortage(t *testing.T, writes, reads float64, equal bool) (*loadGenerator, float64) {
	const service = 50 * time.Millisecond
	s := factoryFleet(22, service)
	kinds := s.config.Services[0].Kinds
	kinds[0].Share, kinds[0].Priority = 20, 0
	kinds[1].Share, kinds[1].Priority = 20, 2
	if equal {
		kinds[0].Priority, kinds[1].Priority = 1, 1
	}
	capacity := requestCapacity(s, service)
	l := newLoadGenerator(s, 2*time.Second, 7*time.Second, classLoad{name: "writes", method: "POST", rate: writes * capacity},
		classLoad{name: "reads", method: "GET", rate: reads * capacity})
	refused, told := 0, 0
	s.finished = func(n *node, r *simRequest, f request.Finish) {
		l.finish(n, r, f)
		if f.Reason == model.ReasonOverloaded && r.sentAt >= l.from {
			refused++
			told += btoi(f.RetryAfter >= time.Second && f.RetryAfter <= 30*time.Second && f.RetryAfter%time.Second == 0)
		}
	}
	s.start()
	s.runUntil(8 * time.Second)
	for _, name := range []string{"writes", "reads"} {
		st := l.stats[name]
		t.Logf("equal %v, writes %.1f, reads %.1f: %s %.1f %% completed, refused after p50 %v, p90 %v", equal, writes, reads, name,
			100*float64(st.completed)/float64(st.offered), percentile(st.refusal, 0.5).Round(time.Millisecond), percentile(st.refusal, 0.9).Round(time.Millisecond))
	}
	t.Logf("equal %v: goodput %.1f %% of the capacity", equal, 100*l.goodput()/capacity)
	require.NotZero(t, refused)
	require.Equal(t, refused*btoi(!equal), told, "callers are told when to retry")
	for id, srv := range s.servers {
		require.LessOrEqual(t, srv.peak, int(srv.Slots), "server %s", id)
	}
	for _, n := range s.nodes {
		require.Zero(t, n.engine.LentSlots(), "no slot stays lent")
	}
	return l, capacity
}

// Guards against urgent requests that are refused while less urgent ones get slots, and against a class
// that starves beside a more urgent one. The urgent class asks for less and then for more than the
// servers can serve.
func TestUrgentClassIsServedFirstInAShortage(t *testing.T) {
	before, _ := shortage(t, 0.7, 1.3, true)
	l, capacity := shortage(t, 0.7, 1.3, false)
	writes := l.stats["writes"]
	require.Greater(t, float64(writes.completed), 0.9*float64(writes.offered))
	require.Greater(t, writes.completed, before.stats["writes"].completed)
	require.Greater(t, l.goodput(), 0.9*capacity)
	require.Less(t, percentile(l.stats["reads"].refusal, 0.5), time.Millisecond, "refused at once")

	l, capacity = shortage(t, 3, 1, false)
	require.Greater(t, l.goodput(), 0.9*capacity)
	require.Greater(t, l.goodput("reads"), 0.9*0.2*capacity, "the guaranteed share")
	require.Greater(t, l.goodput("writes"), 0.9*0.8*capacity)
}

// Guards against a request that is refused by a drain that is not known or was measured before the
// slots ran out, or while none of its class waits.
func TestRequestsAreQueuedUnlessTheDrainIsTooSlow(t *testing.T) {
	d := newEngineDriver(request.Settings{QueueWait: time.Hour}, 1)
	kinds := d.n.sim.config.Services[0].Kinds
	kinds[1].Priority = 5
	d.renewView()
	var running []request.Dispatch
	send := func() bool { // reports whether the request waits or runs
		_, actions := d.arrive("GET", "", 0, 0)
		if dispatch, ok := findAction[request.Dispatch](actions); ok {
			running = append(running, dispatch)
		}
		f, ok := findAction[request.Finish](actions)
		require.True(t, !ok || f.Reason == model.ReasonOverloaded && f.Outcome == model.OutcomeNotRun)
		return !ok
	}
	end := func() {
		actions := d.handle(request.DispatchEnded{ID: running[0].ID, Serial: running[0].Serial, Result: request.Answered, Status: 200})
		running = running[1:]
		if dispatch, ok := findAction[request.Dispatch](actions); ok {
			running = append(running, dispatch)
		}
	}
	for range 11 { // one runs, and each of the others waits at its turn
		require.True(t, send(), "the drain is not known")
	}
	for range 10 {
		d.advance(50 * time.Millisecond)
		end()
	}
	require.Len(t, running, 1)
	for range 20 { // the deadline of 1 s is 20 intervals away
		require.True(t, send())
	}
	require.False(t, send())
}

// Guards against a call for a slot that waits at another instance and is never answered, is answered
// twice, or gets a slot after its sender has given up.
func TestCallOfAnUrgentRequestWaitsForASlot(t *testing.T) {
	for name, c := range map[string]struct {
		meanwhile func(d *engineDriver) []request.Action
		lent      int
	}{
		"slot becomes free": {func(*engineDriver) []request.Action { return nil }, 1},
		"duplicate message": {func(d *engineDriver) []request.Action { return d.handle(urgentAcquire) }, 1},
		"sender gave up": {func(d *engineDriver) []request.Action {
			return d.handle(request.PeerRelease{From: "x", Msg: request.Release{Lease: 1}})
		}, 0},
		"too late": {func(d *engineDriver) []request.Action {
			d.advance(20 * time.Millisecond)
			grant, ok := findAction[request.ReplyAcquire](d.handle(request.Tick{}))
			require.True(t, ok)
			require.Empty(t, grant.Msg.Server)
			return nil
		}, 0},
	} {
		d := newEngineDriver(request.Settings{}, 1)
		d.n.sim.config.Services[0].Kinds[1].Priority = 5 // of the reads
		d.renewView()
		id, actions := d.arrive("GET", "", 0, 0)
		running, ok := findAction[request.Dispatch](actions)
		require.True(t, ok)
		d.arrive("GET", "", 0, 0)
		require.Empty(t, d.handle(urgentAcquire), name)
		require.Empty(t, c.meanwhile(d), name)
		actions = d.handle(request.DispatchEnded{ID: id, Serial: running.Serial, Result: request.Answered, Status: 200})
		grant, lent := findAction[request.ReplyAcquire](actions)
		_, dispatched := findAction[request.Dispatch](actions)
		require.Equal(t, c.lent, d.n.engine.LentSlots(), name)
		require.Equal(t, c.lent == 1, lent && grant.Msg.Server != "", name)
		require.Equal(t, c.lent == 0, dispatched, "%s: the waiting request gets the slot", name)
	}
}

var urgentAcquire = request.PeerAcquire{Call: 9, From: "x", Msg: request.Acquire{Lease: 1, Service: 17, Class: "writes", Deadline: time.Second}}
