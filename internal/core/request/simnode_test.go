package request_test

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/core/placement"
	"github.com/savorytiller/savorytiller/internal/core/request"
	"github.com/savorytiller/savorytiller/internal/core/view"
)

// node is one instance with its own clock, view and engine.
type node struct {
	sim    *sim
	member model.Member
	engine *request.Engine
	view   *view.View
	// live is this node's opinion of the others.
	live      map[model.InstanceID]model.Liveness
	offset    time.Duration
	run       int // grows with each restart
	up        bool
	leaving   bool
	pausedTil time.Duration
	requests  map[request.ID]*simRequest
	calls     map[request.CallID]func(any)
	inherited map[model.ServerID]map[uint16]time.Duration
}

func (n *node) clock() model.Time { return model.Time(n.sim.now + n.offset) }

func (n *node) start() {
	n.run++
	n.up = true
	n.member.Incarnation = model.Incarnation(n.run)
	n.offset = time.Duration(n.sim.rng.Int64N(int64(time.Hour)))
	n.engine = request.New(n.sim.cfg, rand.New(rand.NewPCG(n.sim.rng.Uint64(), 2)))
	n.requests = map[request.ID]*simRequest{}
	n.calls = map[request.CallID]func(any){}
	n.refresh()
	n.lease(n.run)
}

func (n *node) stop() { n.up = false }

// lease renews the view's lease every second while the process runs.
func (n *node) lease(run int) {
	n.sim.at(time.Second, func() {
		if n.run != run || !n.up {
			return
		}
		n.whenAwake(100*time.Millisecond, func() {
			n.refresh()
			n.post(request.Tick{})
			n.lease(run)
		})
	})
}

// whenAwake runs fn now, or after the pause of the process.
func (n *node) whenAwake(after time.Duration, fn func()) {
	if n.sim.now < n.pausedTil {
		run := n.run
		n.sim.at(n.pausedTil-n.sim.now+after, func() {
			if n.up && n.run == run {
				n.whenAwake(after, fn)
			}
		})
		return
	}
	fn()
}

// refresh publishes a new view.
func (n *node) refresh() {
	s := n.sim
	v := &view.View{
		FreshUntil: n.clock().Add(simLease), Self: n.member, Config: s.config,
		Servers: map[model.ServerID]*view.Server{}, ShuttingDown: n.leaving,
	}
	if n.view != nil {
		v.Sequence = n.view.Sequence + 1
	}
	var members []model.Member
	for _, id := range s.order {
		m := s.nodes[id].member
		m.Liveness = n.live[id]
		if id == n.member.ID && m.Liveness == model.Dead {
			m.Liveness = model.Live
		}
		if m.Liveness != model.Dead {
			members = append(members, m)
		}
	}
	v.Members = placement.NewMembers(members)
	for _, svc := range s.config.Services {
		for _, srv := range svc.Servers {
			if !s.config.Withdrawn(srv.Zone) {
				v.Servers[srv.ID] = n.serverView(v, svc.ID, srv)
			}
		}
	}
	n.view = v
}

func (n *node) serverView(v *view.View, service model.ServiceID, srv model.Server) *view.Server {
	sv := &view.Server{Server: srv, Service: service, Warmth: n.sim.warmth(srv.ID)}
	if sv.Warmth == view.Cold {
		sv.Reason = model.ReasonServerCold
		if h := v.Members.Home(srv.ID, srv.Zone); h == nil || h.ID != n.member.ID {
			return sv
		}
		for slot := range srv.Slots {
			sv.Slots = append(sv.Slots, slot)
		}
		sv.NewWork, sv.SlotLimit = true, n.sim.allowance(srv.ID)
		return sv
	}
	was := n.inherited[srv.ID]
	held := map[uint16]time.Duration{}
	for slot := range srv.Slots {
		h := v.Members.SlotHolder(srv.ID, srv.Zone, int(slot))
		if h == nil || h.ID != n.member.ID {
			continue
		}
		since, ok := was[slot]
		if !ok {
			if since = n.sim.now; n.view == nil && n.run == 1 {
				since = -simTakeover // the fleet starts with its slots
			}
		}
		held[slot] = since
		if n.sim.now-since >= simTakeover {
			sv.Slots = append(sv.Slots, slot)
		}
	}
	n.inherited[srv.ID] = held
	sv.SlotLimit = len(sv.Slots)
	sv.NewWork = sv.SlotLimit > 0
	return sv
}

// post hands an event to the engine and executes the actions.
func (n *node) post(ev request.Event) {
	if !n.up {
		return
	}
	if n.sim.now < n.pausedTil {
		n.whenAwake(0, func() { n.post(ev) })
		return
	}
	// The actions are copied: executing one may post further events.
	for _, a := range slices.Clone(n.engine.Handle(n.clock(), n.view, ev)) {
		n.execute(a)
	}
	if at, ok := n.engine.NextTimer(); ok {
		run := n.run
		n.sim.at(max(at.Sub(n.clock()), 0), func() {
			if next, ok := n.engine.NextTimer(); ok && n.run == run && !next.After(n.clock()) {
				n.post(request.Tick{})
			}
		})
	}
}

func (n *node) execute(a request.Action) {
	switch a := a.(type) {
	case request.ReadBody:
		r := n.requests[a.ID]
		n.soon(func() { n.post(request.BodyRead{ID: a.ID, Digest: r.digest}) })
	case request.Dispatch:
		n.dispatch(a)
	case request.Finish:
		r := n.requests[a.ID]
		delete(n.requests, a.ID)
		r.done = true
		n.sim.finished(n, r, a)
	case request.CallAdmit:
		n.call("admit", a.To.ID, a.Timeout, func(to *node, id request.CallID) request.Event {
			return request.PeerAdmit{Call: id, From: n.member.ID, Msg: a.Msg}
		}, func(reply any) {
			if reply == nil {
				n.post(request.AdmitReplied{ID: a.ID, Failed: true})
				return
			}
			n.post(request.AdmitReplied{ID: a.ID, Admission: reply.(request.Admission)})
		})
	case request.CallAcquire:
		n.call("acquire", a.To.ID, a.Timeout, func(to *node, id request.CallID) request.Event {
			return request.PeerAcquire{Call: id, From: n.member.ID, Msg: a.Msg}
		}, func(reply any) {
			if reply == nil {
				n.post(request.GrantReplied{ID: a.ID, From: a.To.ID, Lease: a.Msg.Lease, Failed: true})
				return
			}
			n.post(request.GrantReplied{ID: a.ID, From: a.To.ID, Lease: a.Msg.Lease, Grant: reply.(request.Grant)})
		})
	case request.CallReport:
		n.send("report", a.To.ID, func(to *node) { to.post(request.PeerReport{From: n.member.ID, Msg: a.Msg}) })
	case request.CallRelease:
		n.send("release", a.To.ID, func(to *node) { to.post(request.PeerRelease{From: n.member.ID, Msg: a.Msg}) })
	case request.ReplyAdmit:
		n.reply(a.Call, a.Msg)
	case request.ReplyAcquire:
		n.reply(a.Call, a.Msg)
	case request.Observe:
		n.sim.observe(n, a.Observation)
	}
}

// soon runs fn as the request's handler, if the process still runs then.
func (n *node) soon(fn func()) {
	run := n.run
	n.sim.at(n.sim.handlerDelay(), func() {
		if n.up && n.run == run {
			n.whenAwake(0, fn)
		}
	})
}

// send transmits a message over the simulated network.
func (n *node) send(kind string, to model.InstanceID, deliver func(to *node)) {
	n.sim.messages[kind]++
	for _, d := range n.sim.network(n.member.ID, to) {
		n.sim.at(d, func() {
			if target := n.sim.nodes[to]; target.up {
				deliver(target)
			}
		})
	}
}

// call transmits a question and gives its reply, or nil after the timeout.
func (n *node) call(kind string, to model.InstanceID, timeout time.Duration, ev func(*node, request.CallID) request.Event, done func(any)) {
	run, replied := n.run, false
	end := func(reply any) {
		if replied || !n.up || n.run != run {
			return
		}
		replied = true
		done(reply)
	}
	n.send(kind, to, func(target *node) {
		n.sim.nextID++
		id := request.CallID(n.sim.nextID)
		target.calls[id] = func(reply any) {
			target.send(kind+"-reply", n.member.ID, func(*node) { end(reply) })
		}
		target.post(ev(target, id))
	})
	n.sim.at(timeout, func() { end(nil) })
}

func (n *node) reply(id request.CallID, msg any) {
	if fn := n.calls[id]; fn != nil {
		delete(n.calls, id)
		fn(msg)
	}
}

// submit delivers a caller's transmission to the node.
func (n *node) submit(r *simRequest) {
	if !n.up {
		return
	}
	n.sim.nextID++
	r.id = request.ID(n.sim.nextID)
	r.answered = map[uint32]int{}
	n.requests[r.id] = r
	n.post(request.Arrived{ID: r.id, Req: r.in})
}

// dispatch plays the handler of a request and the client towards the server.
func (n *node) dispatch(d request.Dispatch) {
	r := n.requests[d.ID]
	r.dispatch = d
	n.soon(func() {
		began := n.clock()
		end := func(res request.Dispatched) {
			res.ID, res.Serial, res.Latency = d.ID, d.Serial, n.clock().Sub(began)
			n.post(res)
		}
		srv := n.sim.servers[d.Server.ID]
		if !n.clock().Before(d.NotAfter) {
			end(request.Dispatched{Result: request.NotSent, TooLate: true, Replayable: true})
			return
		}
		if srv.down || !n.sim.dial(n, srv) {
			end(request.Dispatched{Result: request.NotSent, Replayable: true})
			return
		}
		ended, run := false, n.run
		stop := func() {}
		once := func(res request.Dispatched) {
			if n.run == run && n.up && !ended {
				ended = true
				// Closing the connection cancels the request at the server.
				n.sim.at(200*time.Microsecond, stop)
				end(res)
			}
		}
		n.sim.at(200*time.Microsecond, func() {
			stop = srv.receive(n.sim, r, func(res request.Dispatched, delay time.Duration) {
				n.sim.at(delay, func() {
					if res.Result == request.Answered {
						r.answered[d.Serial] = r.op
					}
					res.Replayable = true
					once(res)
				})
			})
		})
		wait := min(d.ResponseTimeout, d.Deadline.Sub(n.clock()))
		n.sim.at(wait, func() {
			if d.ResponseTimeout < d.Deadline.Sub(began) {
				once(request.Dispatched{Result: request.Silent, Replayable: true})
			} else {
				once(request.Dispatched{Result: request.Cancelled, DeadlinePassed: true, Replayable: true})
			}
		})
	})
}
