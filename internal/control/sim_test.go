package control

import (
	"container/heap"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"reflect"
	"time"

	"github.com/savorytiller/savorytiller/internal/adapter/configservice"
	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/core/view"
	"github.com/savorytiller/savorytiller/internal/port"
)

// sim runs the machines of a fleet in simulated time over an in-memory transport, so
// that minutes of operation take milliseconds and every run is reproducible.
type sim struct {
	now      model.Time
	queue    simQueue
	sequence int
	rng      *rand.Rand
	nodes    map[model.InstanceID]*simNode
	ids      []model.InstanceID
	// listed is the content of the platform's instance list.
	listed        []model.Member
	configService simService
	loss          float64       // probability that a message is lost
	delay         time.Duration // of a message in one direction
	// cut reports whether two instances cannot reach each other.
	cut func(a, b model.InstanceID) bool
	// adjustOptions changes the options of a new instance; optional.
	adjustOptions func(*Options)
	// afterEvent is called after each event of a node; optional.
	afterEvent func(n *simNode)
	calls      int
}

// simNode is one instance. Each start creates a new machine; what was scheduled for
// another machine has no effect.
type simNode struct {
	s            *sim
	self         model.Member
	m            *machine
	view         *view.View
	up           bool
	paused       bool
	deferred     []event           // events that arrived during a pause
	timer        int               // number of the last timer that was set; earlier ones have no effect
	pendingCalls []*simPendingCall // received calls that are not answered yet
}

// simPendingCall is a call that the called instance has not answered yet.
type simPendingCall struct {
	answer chan reply
	call   *effCall
	caller *simNode
	run    *machine // machine of the caller that made the call
	done   *bool    // the caller has the answer or a timeout
}

// simService simulates the configuration service.
type simService struct {
	values   map[string][]byte
	revision uint64
	down     bool
	// stale holds old values that are served instead of values, if set.
	stale          map[string][]byte
	watches        []*simWatch
	callsPerSecond map[int64]int // number of calls, by second
	listDown       bool
}

// simWatch is a watch of release/latest.
type simWatch struct {
	node  *simNode
	run   *machine // machine of the node that started the watch
	known uint64
	ended bool
}

type simEvent struct {
	at       model.Time
	sequence int
	do       func()
}

type simQueue []simEvent

func (q simQueue) Len() int { return len(q) }
func (q simQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
}
func (q simQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *simQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *simQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

func newSim(seed uint64) *sim {
	return &sim{now: model.Time(time.Hour), rng: rand.New(rand.NewPCG(seed, 1)), nodes: map[model.InstanceID]*simNode{},
		delay: 3 * time.Millisecond, configService: simService{values: map[string][]byte{}, callsPerSecond: map[int64]int{}}}
}

func (s *sim) schedule(d time.Duration, do func()) {
	s.sequence++
	heap.Push(&s.queue, simEvent{s.now.Add(d), s.sequence, do})
}

// run advances simulated time by d.
func (s *sim) run(d time.Duration) {
	end := s.now.Add(d)
	for len(s.queue) > 0 && !s.queue[0].at.After(end) {
		e := heap.Pop(&s.queue).(simEvent)
		s.now = e.at
		e.do()
	}
	s.now = end
}

// add starts an instance and adds it to the instance list.
func (s *sim) add(id, zone string) *simNode {
	port := uint16(1000 + len(s.ids))
	a := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), port)
	self := model.Member{ID: model.InstanceID(id), Zone: model.Zone(zone), FlowAddress: a, PeerAddress: a, RequestAddress: a}
	n := &simNode{s: s, self: self}
	s.nodes[self.ID] = n
	s.ids = append(s.ids, self.ID)
	s.listed = append(s.listed, self)
	n.start()
	return n
}

func (n *simNode) start() {
	s := n.s
	n.self.Incarnation = model.Incarnation(s.now)
	o := Options{Self: n.self, Codec: configservice.Codec{}, Recorder: noRecorder{}, Seed: s.rng.Uint64()}
	if s.adjustOptions != nil {
		s.adjustOptions(&o)
	}
	n.m, n.view, n.up, n.paused, n.deferred, n.pendingCalls = newMachine(o), nil, true, false, nil, nil
	n.deliver(evTimer{})
}

func (n *simNode) crash() { n.up = false }

// pause stops the process for d. Events that arrive meanwhile are delivered afterwards.
func (n *simNode) pause(d time.Duration) {
	n.paused = true
	run := n.m
	n.s.schedule(d, func() {
		if n.m != run {
			return
		}
		n.paused = false
		events := n.deferred
		n.deferred = nil
		for _, e := range events {
			n.deliver(e)
		}
		n.deliver(evTimer{})
	})
}

func (n *simNode) deliver(e event) {
	if !n.up {
		return
	}
	if n.paused {
		n.deferred = append(n.deferred, e)
		return
	}
	n.m.handle(n.s.now, e)
	for _, f := range n.m.takeEffects() {
		n.execute(f)
	}
	if v := n.m.takeView(); v != nil {
		n.view = v
	}
	n.sendAnswers()
	n.timer++
	timer, run := n.timer, n.m
	n.s.schedule(max(0, n.m.nextWake.Sub(n.s.now)), func() {
		if n.timer == timer && n.m == run {
			n.deliver(evTimer{})
		}
	})
	if n.s.afterEvent != nil {
		n.s.afterEvent(n)
	}
}

// sendAnswers sends the answers that are ready.
func (n *simNode) sendAnswers() {
	kept := n.pendingCalls[:0]
	for _, p := range n.pendingCalls {
		select {
		case r := <-p.answer:
			n.s.sendReply(n, p, r)
		default:
			kept = append(kept, p)
		}
	}
	n.pendingCalls = kept
}

func (s *sim) sendReply(from *simNode, p *simPendingCall, r reply) {
	if s.rng.Float64() < s.loss || s.isCut(from.self.ID, p.caller.self.ID) {
		return
	}
	s.schedule(s.delay, func() {
		if *p.done || p.caller.m != p.run {
			return
		}
		*p.done = true
		err := r.err
		if err == nil {
			copyMessage(p.call.result, r.result)
		}
		p.caller.deliver(evCalled{p.call, err})
	})
}

// copyMessage copies a message by encoding and decoding it, so that instances share no
// memory.
func copyMessage(to, from any) {
	raw, err := json.Marshal(from)
	if err != nil {
		panic(err)
	}
	if err := json.Unmarshal(raw, to); err != nil {
		panic(err)
	}
}

func (s *sim) isCut(a, b model.InstanceID) bool { return s.cut != nil && s.cut(a, b) }

func (n *simNode) execute(f effect) {
	s, run := n.s, n.m
	switch f := f.(type) {
	case *effCall:
		n.call(f)
	case effRead:
		s.countServiceCall()
		s.schedule(s.delay, func() {
			if n.m == run {
				value, err := s.configService.get(f.key)
				n.deliver(evRead{f.key, value, err})
			}
		})
	case effWatch:
		s.countServiceCall()
		w := &simWatch{node: n, run: run, known: f.known}
		s.configService.watches = append(s.configService.watches, w)
		s.schedule(s.delay, func() { s.answerWatch(w, false) })
		s.schedule(30*time.Second, func() { s.answerWatch(w, true) })
	case effInstances:
		s.schedule(s.delay, func() {
			if n.m != run {
				return
			}
			if s.configService.listDown {
				n.deliver(evInstances{nil, port.ErrUnavailable})
				return
			}
			n.deliver(evInstances{append([]model.Member(nil), s.listed...), nil})
		})
	}
}

func (n *simNode) call(f *effCall) {
	s, run, done := n.s, n.m, new(bool)
	s.calls++
	finish := func(err error) {
		if !*done && n.m == run {
			*done = true
			n.deliver(evCalled{f, err})
		}
	}
	s.schedule(f.timeout, func() { finish(port.ErrUnavailable) })
	target := s.nodes[f.to.ID]
	if target == nil || s.rng.Float64() < s.loss || s.isCut(n.self.ID, f.to.ID) {
		return
	}
	params := reflect.New(reflect.TypeOf(f.params).Elem()).Interface()
	copyMessage(params, f.params)
	s.schedule(s.delay, func() {
		if !target.up {
			s.schedule(s.delay, func() { finish(port.ErrUnavailable) })
			return
		}
		answer := make(chan reply, 1)
		target.pendingCalls = append(target.pendingCalls, &simPendingCall{answer, f, n, run, done})
		target.deliver(evRequest{n.self.ID, params, answer})
	})
}

func (s *sim) countServiceCall() { s.configService.callsPerSecond[int64(s.now)/int64(time.Second)]++ }

func (v *simService) get(key string) ([]byte, error) {
	if v.down {
		return nil, port.ErrUnavailable
	}
	values := v.values
	if v.stale != nil {
		values = v.stale
	}
	value, ok := values[key]
	if !ok {
		return nil, port.ErrNotFound
	}
	return value, nil
}

// answerWatch answers a watch if the value has changed, the service fails or the watch
// has expired.
func (s *sim) answerWatch(w *simWatch, expired bool) {
	if w.ended || w.node.m != w.run {
		return
	}
	value, err := s.configService.get(keyLatest)
	switch {
	case err != nil:
		w.ended = true
		w.node.deliver(evWatched{nil, 0, err})
	case expired || s.revision() != w.known:
		w.ended = true
		w.node.deliver(evWatched{value, s.revision(), nil})
	}
}

func (s *sim) revision() uint64 {
	if s.configService.stale != nil { // differs from all other revisions, so that watches return the old value
		return 1_000_000
	}
	return s.configService.revision
}

// notifyWatches lets all open watches check for a change of the service.
func (s *sim) notifyWatches() {
	waiting := s.configService.watches
	s.configService.watches = nil
	for _, w := range waiting {
		s.schedule(s.delay, func() { s.answerWatch(w, false) })
	}
	for _, w := range waiting {
		if !w.ended {
			s.configService.watches = append(s.configService.watches, w)
		}
	}
}

// publish adds the next release note.
func (s *sim) publish(body string) model.Version {
	s.configService.revision++
	v := s.configService.revision
	base := v - 1
	s.configService.values[fmt.Sprintf("release/%d", v)] = fmt.Appendf(nil, `{"format":1,"version":%d,"base":%d,%s}`, v, base, body)
	s.configService.values[keyLatest] = fmt.Appendf(nil, `{"version":%d,"digest":""}`, v)
	s.notifyWatches()
	return model.Version(v)
}

// snapshot returns a copy of the current values, to be served as stale values later.
func (v *simService) snapshot() map[string][]byte {
	old := map[string][]byte{}
	for k, value := range v.values {
		old[k] = value
	}
	return old
}

// initialBody returns the body of a note that adds a service with the given number of
// servers in each zone.
func initialBody(servers int, zones ...string) string {
	body := `"added":{"services":[{"id":17,"name":"line","host":"line.local","virtual_address":"10.80.0.17:4000"}],"servers":[`
	for z, zone := range zones {
		for i := range servers {
			if z+i > 0 {
				body += ","
			}
			body += serverJSON(fmt.Sprintf("%s-s%d", zone, i), "line", zone, 5000+100*z+i, "active")
		}
	}
	return body + `]}`
}

func serverJSON(id, service, zone string, port int, state string) string {
	return fmt.Sprintf(`{"id":%q,"service":%q,"zone":%q,"weight":100,"slots":4,"connections":2000,"state":%q,`+
		`"flow_address":"127.0.0.1:%d","request_address":"127.0.0.1:%d"}`, id, service, zone, state, port, port)
}

// weightBody returns the body of a note that changes the weight of a server.
func weightBody(id, zone string, port, weight int) string {
	return fmt.Sprintf(`"changed":{"servers":[{"id":%q,"service":"line","zone":%q,"weight":%d,"slots":4,"connections":2000,`+
		`"state":"active","flow_address":"127.0.0.1:%d","request_address":"127.0.0.1:%d"}]}`, id, zone, weight, port, port)
}

// fleet starts the given number of instances in each zone.
func (s *sim) fleet(perZone int, zones ...string) {
	for _, z := range zones {
		for i := range perZone {
			s.add(fmt.Sprintf("%s-%d", z, i+1), z)
		}
	}
}

func (s *sim) versions() []model.Version {
	var out []model.Version
	for _, id := range s.ids {
		if s.nodes[id].up {
			out = append(out, s.nodes[id].m.version())
		}
	}
	return out
}
