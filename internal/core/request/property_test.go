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

// operation is one piece of work that a caller wants done once. The caller
// keeps the contract of design section 7.
type operation struct {
	id, keys, attempt int
	key               string
	ended             bool
	sent              int
}

// idempotent operations may run several times, but not after "not run".
func (op *operation) idempotent() bool { return op.id%4 == 3 }

// callers plays callers that repeat their requests at any instance.
type callers struct {
	s       *sim
	timeout time.Duration
	// transit returns the delay of a transmission or of an answer, or false if
	// it is lost.
	transit func() (time.Duration, bool)
	// reach lists the instances that an operation's caller can reach.
	reach     func(op *operation) []model.InstanceID
	ops       []*operation
	refusals  []refusedAttempt
	completed int
}

type refusedAttempt struct {
	key     string
	attempt int
	reason  model.Reason
	// idempotent requests have no key towards the system.
	idempotent bool
}

const maxTransmissions = 7

func newCallers(s *sim) *callers {
	c := &callers{s: s, timeout: 700 * time.Millisecond}
	c.transit = func() (time.Duration, bool) { return time.Millisecond, true }
	c.reach = func(*operation) []model.InstanceID { return s.order }
	s.finished = c.finish
	return c
}

func (c *callers) begin() {
	op := &operation{id: len(c.ops)}
	c.ops = append(c.ops, op)
	c.newKey(op)
}

func (c *callers) newKey(op *operation) {
	op.keys++
	op.key, op.attempt = fmt.Sprintf("op%d-%d", op.id, op.keys), 0
	c.transmit(op)
}

func (c *callers) transmit(op *operation) {
	if op.ended || op.sent >= maxTransmissions {
		return
	}
	op.attempt++
	op.sent++
	reach := c.reach(op)
	to := c.s.nodes[reach[c.s.rng.IntN(len(reach))]]
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

// finish takes the end of a request at an instance and carries it to the caller.
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
			return // the outcome of a key is the answer to its latest attempt
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
	first := map[string]int{} // the first attempt of a key that ran
	for _, srv := range c.s.servers {
		for _, ran := range srv.ran {
			runs[ran.op]++
			attempts[fmt.Sprint(ran.key, "/", ran.attempt)] = true
			if n, ok := first[ran.key]; !ok || ran.attempt < n {
				first[ran.key] = ran.attempt
			}
		}
	}
	for op, n := range runs {
		require.True(t, n <= 1 || c.ops[op].idempotent(), "operation %d ran %d times", op, n)
	}
	for _, r := range c.refusals {
		n, ran := first[r.key]
		if r.idempotent { // its attempts are independent of each other
			n, ran = r.attempt, attempts[fmt.Sprint(r.key, "/", r.attempt)]
		}
		require.False(t, ran && n <= r.attempt, "%s attempt %d was answered not-run (%s), but attempt %d ran", r.key, r.attempt, r.reason, n)
	}
}

// planFaults draws faults of all kinds over the first seconds of a run.
func planFaults(t *rapid.T, s *sim, c *callers) {
	loss := rapid.IntRange(0, 20).Draw(t, "lossPercent")
	slow := rapid.IntRange(0, 30).Draw(t, "slowPercent")
	repeat := rapid.IntRange(0, 20).Draw(t, "repeatPercent")
	side := map[model.InstanceID]bool{}
	split := false
	one := func() time.Duration {
		d := time.Duration(1+s.rng.IntN(10)) * time.Millisecond
		if s.rng.IntN(100) < slow {
			d += time.Duration(s.rng.IntN(3000)) * time.Millisecond
		}
		return d
	}
	s.network = func(from, to model.InstanceID) []time.Duration {
		var delays []time.Duration
		if split && side[from] != side[to] || s.rng.IntN(100) < loss {
			return nil
		}
		delays = append(delays, one())
		if s.rng.IntN(100) < repeat {
			delays = append(delays, one())
		}
		return delays
	}
	c.transit = func() (time.Duration, bool) { return one(), s.rng.IntN(100) >= loss }
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
		switch rapid.SampledFrom([]string{"pause", "crash", "opinion", "leaving", "split", "server"}).Draw(t, fmt.Sprint("fault", i)) {
		case "pause":
			s.at(at, func() { a.pausedTil = s.now + length })
		case "crash":
			s.at(at, a.stop)
			s.at(at+length, func() {
				if !a.up {
					a.start()
				}
			})
		case "opinion":
			s.at(at, func() { a.live[b] = model.Dead; a.refreshIfAwake() })
			s.at(at+length, func() { a.live[b] = model.Live; a.refreshIfAwake() })
		case "leaving":
			for _, id := range ids {
				n := s.nodes[id]
				s.at(at+time.Duration(s.rng.IntN(2000))*time.Millisecond, func() { n.live[b] = model.Leaving; n.refreshIfAwake() })
				s.at(at+length+time.Duration(s.rng.IntN(2000))*time.Millisecond, func() { n.live[b] = model.Live; n.refreshIfAwake() })
			}
		case "split":
			s.at(at, func() {
				split = true
				for _, id := range ids {
					side[id] = s.rng.IntN(2) == 0
				}
				s.at(time.Second, func() { s.takeSides(split, side) })
			})
			s.at(at+length, func() {
				split = false
				s.at(time.Second, func() { s.takeSides(split, side) })
			})
		case "server":
			s.at(at, func() { s.flap(length) })
			srv := s.servers[s.config.Services[0].Servers[s.rng.IntN(len(s.config.Services[0].Servers))].ID]
			s.at(at, func() { srv.silent = s.rng.IntN(2) == 0; srv.down = !srv.silent })
			s.at(at+length, func() { srv.silent, srv.down = false, false })
		}
	}
}

// flap makes every server crash and return all the time.
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

// takeSides gives every instance the opinion that fits the partition.
func (s *sim) takeSides(split bool, side map[model.InstanceID]bool) {
	for _, a := range s.order {
		for _, b := range s.order {
			s.nodes[a].live[b] = model.Live
			if split && side[a] != side[b] {
				s.nodes[a].live[b] = model.Dead
			}
		}
		s.nodes[a].refreshIfAwake()
	}
}

func (n *node) refreshIfAwake() {
	if n.up && n.sim.now >= n.pausedTil {
		n.refresh()
		n.post(request.Tick{})
	}
}

// Guards against a request that runs twice, and against a refusal that says
// "not run" of a request that ran: callers repeat to any instance while
// instances crash, restart, pause past their permits, disagree about ownership
// and are split from each other, while servers fail, and while messages are
// lost, late, duplicated and out of order.
func TestAtMostOnceAndNotRunUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zones := []model.Zone{"halle-a", "halle-b"}
		s := newSim(rapid.Uint64().Draw(t, "seed"), simConfig(zones, 2, 2), zones, rapid.IntRange(1, 3).Draw(t, "perZone"))
		s.cfg.ResponseTimeout = 150 * time.Millisecond
		c := newCallers(s)
		planFaults(t, s, c)
		s.start()
		for range rapid.IntRange(1, 40).Draw(t, "operations") {
			s.at(time.Duration(s.rng.IntN(10_000))*time.Millisecond, c.begin)
		}
		s.runUntil(60 * time.Second)
		c.check(t)
	})
}
