package request_test

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/core/request"
	"github.com/savorytiller/savorytiller/internal/core/view"
)

// sim runs several engines in virtual time, without sockets, goroutines or wall clock.
// All randomness comes from rng.
type sim struct {
	now      time.Duration
	seq      uint64
	queue    simQueue
	rng      *rand.Rand
	settings request.Settings
	config   *model.Configuration
	nodes    map[model.InstanceID]*node
	order    []model.InstanceID
	servers  map[model.ServerID]*simServer
	nextID   uint64

	// network returns the delays of a message between instances: none if it is lost,
	// several if it is duplicated.
	network func(from, to model.InstanceID) (delays []time.Duration)
	// dial reports whether a connection to a server can be opened.
	dial func(from *node, to *simServer) bool
	// finished is called with the end of each caller's request.
	finished func(n *node, r *simRequest, f request.Finish)
	// handlerDelay is the delay until the front end carries out an action.
	handlerDelay func() time.Duration
	warmth       func(model.ServerID) view.Warmth
	observe      func(n *node, o request.Observation)
	allowance    func(model.ServerID) int // slot limit of a cold server
	// messages counts the messages between instances by kind.
	messages map[string]int
	// hedges counts what the engines counted of hedges.
	hedges map[model.Reason]int
}

type simQueue []simEvent

type simEvent struct {
	at  time.Duration
	seq uint64
	run func()
}

func (q simQueue) Len() int { return len(q) }

func (q simQueue) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(q[i].at, q[j].at), cmp.Compare(q[i].seq, q[j].seq)) < 0
}

func (q simQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *simQueue) Push(x any) { *q = append(*q, x.(simEvent)) }

func (q *simQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// simRequest is one transmission of a caller.
type simRequest struct {
	id       request.ID
	op       int
	key      string
	attempt  int
	digest   uint64
	in       request.Incoming
	sentAt   time.Duration
	dispatch request.Dispatch
	answered map[uint32]int // operation whose answer each dispatch got
	done     bool
}

const (
	// simViewValidity is the time from the publication of a view until it expires.
	simViewValidity = 3 * time.Second
	// simTakeoverDelay is the time for which a node does not yet use a slot that it
	// has come to hold, so that the former holder can stop using it first.
	simTakeoverDelay = 4 * time.Second
)

func newSim(seed uint64, config *model.Configuration, zones []model.Zone, perZone int) *sim {
	s := &sim{
		rng: rand.New(rand.NewPCG(seed, 1)), config: config, nodes: map[model.InstanceID]*node{},
		servers: map[model.ServerID]*simServer{}, messages: map[string]int{}, hedges: map[model.Reason]int{},
		network:      func(_, _ model.InstanceID) []time.Duration { return []time.Duration{3 * time.Millisecond} },
		dial:         func(*node, *simServer) bool { return true },
		handlerDelay: func() time.Duration { return 50 * time.Microsecond },
		warmth:       func(model.ServerID) view.Warmth { return view.Warm },
		observe:      func(*node, request.Observation) {},
		allowance:    func(model.ServerID) int { return 1 },
		finished:     func(*node, *simRequest, request.Finish) {},
	}
	for _, z := range zones {
		for i := range perZone {
			m := model.Member{ID: model.InstanceID(fmt.Sprintf("%s-%d", z, i+1)), Zone: z, Incarnation: 1}
			s.order = append(s.order, m.ID)
			s.nodes[m.ID] = &node{sim: s, member: m, liveness: map[model.InstanceID]model.Liveness{}, heldSince: map[model.ServerID]map[uint16]time.Duration{}}
		}
	}
	for _, svc := range config.Services {
		for _, srv := range svc.Servers {
			s.servers[srv.ID] = &simServer{
				Server: srv, capacity: int(srv.Slots), runs: map[int]int{},
				service: func() time.Duration { return 20 * time.Millisecond },
			}
		}
	}
	return s
}

// start starts all nodes.
func (s *sim) start() {
	for _, id := range s.order {
		s.nodes[id].start()
	}
}

func (s *sim) at(d time.Duration, run func()) {
	s.seq++
	heap.Push(&s.queue, simEvent{at: s.now + d, seq: s.seq, run: run})
}

// runUntil runs events up to the given time.
func (s *sim) runUntil(end time.Duration) {
	for len(s.queue) > 0 && s.queue[0].at <= end {
		e := heap.Pop(&s.queue).(simEvent)
		s.now = e.at
		e.run()
	}
	s.now = max(s.now, end)
}
