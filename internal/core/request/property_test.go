package request_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/core/request"
)

// operation is an operation that a caller wants to run once. The caller follows the
// rules for callers in section 7 of the design.
type operation struct {
	id, numKeys, attempt int
	key                  string
	ended                bool
	transmissions        int
}

// idempotent reports whether the operation may run several times. It must still not
// run once "not run" has been reported.
func (op *operation) idempotent() bool { return op.id%4 == 3 }

// callers simulates callers that repeat their requests to any instance.
type callers struct {
	s       *sim
	timeout time.Duration
	// transit returns the delay of a transmission or an answer, or false if it is lost.
	transit func() (time.Duration, bool)
	// reachable returns the instances that the caller of an operation can reach.
	reachable func(op *operation) []model.InstanceID
	ops       []*operation
	refusals  []refusedAttempt
	completed int
}

type refusedAttempt struct {
	key     string
	attempt int
	reason  model.Reason
	// idempotent requests are sent without a key.
	idempotent bool
}

const maxTransmissions = 7

func newCallers(s *sim) *callers {
	c := &callers{s: s, timeout: 700 * time.Millisecond}
	c.transit = func() (time.Duration, bool) { return time.Millisecond, true }
	c.reachable = func(*operation) []model.InstanceID { return s.order }
	s.finished = c.finish
	return c
}

func (c *callers) start() {
	op := &operation{id: len(c.ops)}
	c.ops = append(c.ops, op)
	c.newKey(op)
}

func (c *callers) newKey(op *operation) {
	op.numKeys++
	op.key, op.attempt = fmt.Sprintf("op%d-%d", op.id, op.numKeys), 0
	c.transmit(op)
}

func (c *callers) transmit(op *operation) {
	if op.ended || op.transmissions >= maxTransmissions {
		return
	}
	op.attempt++
	op.transmissions++
	reachable := c.reachable(op)
	to := c.s.nodes[reachable[c.s.rng.IntN(len(reachable))]]
	r := &simRequest{
		op: op.id, key: op.key, attempt: op.attempt, digest: uint64(op.id + 1),
		in: request.Incoming{
			Host: "line", Method: "POST", Path: "/checks", Key: op.key, Attempt: op.attempt,
			Timeout: c.timeout, HasTimeout: true, Length: 10,
		},
	}
	if op.idempotent() {
		r.in.Method, r.in.Key, r.in.Attempt = "GET", "", 0
	}
	if delay, ok := c.transit(); ok {
		c.s.at(delay, func() { to.submit(r) })
	}
	key, attempt := op.key, op.attempt
	c.s.at(c.timeout, func() {
		if !op.ended && op.key == key && op.attempt == attempt {
			c.transmit(op)
		}
	})
}

// finish records the outcome of a request at an instance and delivers it to the caller.
func (c *callers) finish(_ *node, r *simRequest, f request.Finish) {
	if f.Outcome == model.OutcomeNotRun {
		c.refusals = append(c.refusals, refusedAttempt{r.key, r.attempt, f.Reason, r.in.Key == ""})
	}
	delay, ok := c.transit()
	if !ok {
		return
	}
	c.s.at(delay, func() {
		op := c.ops[r.op]
		if op.ended || op.key != r.key || op.attempt != r.attempt {
			return // only the answer to the latest attempt counts
		}
		switch {
		case f.Outcome == model.OutcomeCompleted:
			op.ended = true
			c.completed++
		case f.Outcome == model.OutcomeNotRun && c.s.rng.IntN(2) == 0:
			c.newKey(op)
		default:
			c.transmit(op)
		}
	})
}

func (c *callers) check(t require.TestingT) {
	runs, attempts := map[int]int{}, map[string]bool{}
	firstRun := map[string]int{} // the first attempt of a key that ran
	for _, srv := range c.s.servers {
		for _, ran := range srv.ran {
			runs[ran.op]++
			attempts[fmt.Sprint(ran.key, "/", ran.attempt)] = true
			if n, ok := firstRun[ran.key]; !ok || ran.attempt < n {
				firstRun[ran.key] = ran.attempt
			}
		}
	}
	for op, n := range runs {
		require.True(t, n <= 1 || c.ops[op].idempotent(), "operation %d ran %d times", op, n)
	}
	for _, r := range c.refusals {
		n, ran := firstRun[r.key]
		if r.idempotent { // its attempts are independent of each other
			n, ran = r.attempt, attempts[fmt.Sprint(r.key, "/", r.attempt)]
		}
		require.False(t, ran && n <= r.attempt, "%s attempt %d was answered not-run (%s), but attempt %d ran", r.key, r.attempt, r.reason, n)
	}
}

// scheduleFaults draws random faults and schedules them over the first seconds of a
// run.
func scheduleFaults(t *rapid.T, s *sim, c *callers) {
	loss := rapid.IntRange(0, 20).Draw(t, "lossPercent")
	slow := rapid.IntRange(0, 30).Draw(t, "slowPercent")
	repeat := rapid.IntRange(0, 20).Draw(t, "repeatPercent")
	side := map[model.InstanceID]bool{}
	partitioned := false
	messageDelay := func() time.Duration {
		d := time.Duration(1+s.rng.IntN(10)) * time.Millisecond
		if s.rng.IntN(100) < slow {
			d += time.Duration(s.rng.IntN(3000)) * time.Millisecond
		}
		return d
	}
	s.network = func(from, to model.InstanceID) []time.Duration {
		var delays []time.Duration
		if partitioned && side[from] != side[to] || s.rng.IntN(100) < loss {
			return nil
		}
		delays = append(delays, messageDelay())
		if s.rng.IntN(100) < repeat {
			delays = append(delays, messageDelay())
		}
		return delays
	}
	c.transit = func() (time.Duration, bool) { return messageDelay(), s.rng.IntN(100) >= loss }
	s.handlerDelay = func() time.Duration {
		if s.rng.IntN(20) == 0 {
			return time.Duration(s.rng.IntN(1000)) * time.Millisecond
		}
		return 50 * time.Microsecond
	}
	ids := s.order
	count := rapid.IntRange(0, 12).Draw(t, "faults")
	for i := range count {
		at := time.Duration(rapid.IntRange(0, 10_000).Draw(t, "at")) * time.Millisecond
		length := time.Duration(rapid.IntRange(10, 8_000).Draw(t, "length")) * time.Millisecond
		a := s.nodes[ids[rapid.IntRange(0, len(ids)-1).Draw(t, "node")]]
		b := ids[rapid.IntRange(0, len(ids)-1).Draw(t, "other")]
		switch rapid.SampledFrom([]string{"pause", "crash", "suspicion", "leaving", "partition", "server"}).Draw(t, fmt.Sprint("fault", i)) {
		case "pause":
			s.at(at, func() { a.pausedUntil = s.now + length })
		case "crash":
			s.at(at, a.stop)
			s.at(at+length, func() {
				if !a.up {
					a.start()
				}
			})
		case "suspicion":
			s.at(at, func() { a.liveness[b] = model.Dead; a.publishViewUnlessPaused() })
			s.at(at+length, func() { a.liveness[b] = model.Live; a.publishViewUnlessPaused() })
		case "leaving":
			for _, id := range ids {
				n := s.nodes[id]
				s.at(at+time.Duration(s.rng.IntN(2000))*time.Millisecond, func() { n.liveness[b] = model.Leaving; n.publishViewUnlessPaused() })
				s.at(at+length+time.Duration(s.rng.IntN(2000))*time.Millisecond, func() { n.liveness[b] = model.Live; n.publishViewUnlessPaused() })
			}
		case "partition":
			s.at(at, func() {
				partitioned = true
				for _, id := range ids {
					side[id] = s.rng.IntN(2) == 0
				}
				s.at(time.Second, func() { s.applyPartition(partitioned, side) })
			})
			s.at(at+length, func() {
				partitioned = false
				s.at(time.Second, func() { s.applyPartition(partitioned, side) })
			})
		case "server":
			s.at(at, func() { s.flap(length) })
			srv := s.servers[s.config.Services[0].Servers[s.rng.IntN(len(s.config.Services[0].Servers))].ID]
			s.at(at, func() { srv.silent = s.rng.IntN(2) == 0; srv.down = !srv.silent })
			s.at(at+length, func() { srv.silent, srv.down = false, false })
		}
	}
}

// flap makes all servers go down and up again repeatedly.
func (s *sim) flap(length time.Duration) {
	end := s.now + length
	for _, id := range s.config.Services[0].Servers {
		srv := s.servers[id.ID]
		var next func()
		next = func() {
			if srv.down = !srv.down && s.now < end; s.now < end {
				s.at(time.Duration(s.rng.IntN(200))*time.Millisecond, next)
			}
		}
		next()
	}
}

// applyPartition makes every instance regard those across the partition as dead.
func (s *sim) applyPartition(partitioned bool, side map[model.InstanceID]bool) {
	for _, a := range s.order {
		for _, b := range s.order {
			s.nodes[a].liveness[b] = model.Live
			if partitioned && side[a] != side[b] {
				s.nodes[a].liveness[b] = model.Dead
			}
		}
		s.nodes[a].publishViewUnlessPaused()
	}
}

func (n *node) publishViewUnlessPaused() {
	if n.up && n.sim.now >= n.pausedUntil {
		n.publishView()
		n.post(request.Tick{})
	}
}

// Guards against a request that runs twice and against "not run" for a request that
// ran. Callers repeat requests to any instance while instances crash, restart, pause,
// disagree about ownership and are partitioned, servers fail, and messages are lost,
// delayed, duplicated and reordered.
func TestAtMostOnceAndNotRunUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zones := []model.Zone{"halle-a", "halle-b"}
		s := newSim(rapid.Uint64().Draw(t, "seed"), simConfig(zones, 2, 2), zones, rapid.IntRange(1, 3).Draw(t, "perZone"))
		s.settings.ResponseTimeout = 150 * time.Millisecond
		s.config.Services[0].Kinds[0].Priority = rapid.SampledFrom([]uint8{0, 1}).Draw(t, "priority")
		c := newCallers(s)
		scheduleFaults(t, s, c)
		s.start()
		for range rapid.IntRange(1, 40).Draw(t, "operations") {
			s.at(time.Duration(s.rng.IntN(10_000))*time.Millisecond, c.start)
		}
		s.runUntil(60 * time.Second)
		c.check(t)
	})
}
