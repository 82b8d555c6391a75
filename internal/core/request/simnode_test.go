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

// dispatchKey identifies a dispatch of an instance.
type dispatchKey struct {
	id     request.ID
	serial uint32
}

// node simulates an instance with its own clock, view and engine.
type node struct {
	sim    *sim
	member model.Member
	engine *request.Engine
	view   *view.View
	// liveness is what this node assumes about the other nodes.
	liveness    map[model.InstanceID]model.Liveness
	offset      time.Duration
	run         int // grows with each restart
	up          bool
	leaving     bool
	pausedUntil time.Duration
	requests    map[request.ID]*simRequest
	calls       map[request.CallID]func(any) // called with the reply
	cancels     map[dispatchKey]func()
	heldSince   map[model.ServerID]map[uint16]time.Duration // when this node came to hold each slot
}

func (n *node) clock() model.Time { return model.Time(n.sim.now + n.offset) }

func (n *node) start() {
	n.run++
	n.up = true
	n.member.Incarnation = model.Incarnation(n.run)
	n.offset = time.Duration(n.sim.rng.Int64N(int64(time.Hour)))
	n.engine = request.New(n.sim.settings, rand.New(rand.NewPCG(n.sim.rng.Uint64(), 2)))
	n.requests = map[request.ID]*simRequest{}
	n.calls = map[request.CallID]func(any){}
	n.cancels = map[dispatchKey]func(){}
	n.publishView()
	n.renewView(n.run)
}

func (n *node) stop() { n.up = false }

// renewView publishes a new view every second while the process runs.
func (n *node) renewView(run int) {
	n.sim.at(time.Second, func() {
		if n.run != run || !n.up {
			return
		}
		n.afterPause(100*time.Millisecond, func() {
			n.publishView()
			n.post(request.Tick{})
			n.renewView(run)
		})
	})
}

// afterPause runs fn now, or after the end of the pause if the process is paused.
func (n *node) afterPause(after time.Duration, fn func()) {
	if n.sim.now < n.pausedUntil {
		run := n.run
		n.sim.at(n.pausedUntil-n.sim.now+after, func() {
			if n.up && n.run == run {
				n.afterPause(after, fn)
			}
		})
		return
	}
	fn()
}

// publishView replaces the node's view by a current one.
func (n *node) publishView() {
	s := n.sim
	v := &view.View{
		FreshUntil: n.clock().Add(simViewValidity), Self: n.member, Config: s.config,
		Servers: map[model.ServerID]*view.Server{}, ShuttingDown: n.leaving,
	}
	if n.view != nil {
		v.Sequence = n.view.Sequence + 1
	}
	var members []model.Member
	for _, id := range s.order {
		m := s.nodes[id].member
		m.Liveness = n.liveness[id]
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
	previous := n.heldSince[srv.ID]
	held := map[uint16]time.Duration{}
	for slot := range srv.Slots {
		h := v.Members.SlotHolder(srv.ID, srv.Zone, int(slot))
		if h == nil || h.ID != n.member.ID {
			continue
		}
		since, ok := previous[slot]
		if !ok {
			if since = n.sim.now; n.view == nil && n.run == 1 {
				since = -simTakeoverDelay // the takeover delay has passed before the first start
			}
		}
		held[slot] = since
		if n.sim.now-since >= simTakeoverDelay {
			sv.Slots = append(sv.Slots, slot)
		}
	}
	n.heldSince[srv.ID] = held
	sv.SlotLimit = len(sv.Slots)
	sv.NewWork = sv.SlotLimit > 0
	return sv
}

// post passes an event to the engine and executes the resulting actions.
func (n *node) post(ev request.Event) {
	if !n.up {
		return
	}
	if n.sim.now < n.pausedUntil {
		n.afterPause(0, func() { n.post(ev) })
		return
	}
	// The actions are copied because executing one may post further events.
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
		n.runHandler(func() { n.post(request.BodyRead{ID: a.ID, Digest: r.digest, Complete: true}) })
	case request.Dispatch:
		n.dispatch(a)
	case request.CancelDispatch:
		if cancel := n.cancels[dispatchKey{a.ID, a.Serial}]; cancel != nil {
			n.runHandler(cancel)
		}
	case request.CountHedge:
		n.sim.hedges[a.Reason]++
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
				n.post(request.AcquireReplied{ID: a.ID, From: a.To.ID, Lease: a.Msg.Lease, Failed: true})
				return
			}
			n.post(request.AcquireReplied{ID: a.ID, From: a.To.ID, Lease: a.Msg.Lease, Grant: reply.(request.Grant)})
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

// runHandler runs fn after handlerDelay, if the process still runs then.
func (n *node) runHandler(fn func()) {
	run := n.run
	n.sim.at(n.sim.handlerDelay(), func() {
		if n.up && n.run == run {
			n.afterPause(0, fn)
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

// call sends a call and passes its reply to done, or nil after the timeout.
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

// submit delivers a transmission of a caller to the node.
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

// dispatch simulates the front end and the HTTP client of a dispatch.
func (n *node) dispatch(d request.Dispatch) {
	r := n.requests[d.ID]
	r.dispatch = d
	n.runHandler(func() {
		began := n.clock()
		end := func(res request.DispatchEnded) {
			res.ID, res.Serial, res.Latency = d.ID, d.Serial, n.clock().Sub(began)
			n.post(res)
		}
		srv := n.sim.servers[d.Server.ID]
		if !n.clock().Before(d.NotAfter) {
			end(request.DispatchEnded{Result: request.NotSent, TooLate: true, Replayable: true})
			return
		}
		if srv.down || !n.sim.dial(n, srv) {
			end(request.DispatchEnded{Result: request.NotSent, Replayable: true})
			return
		}
		ended, run := false, n.run
		stop := func() {}
		once := func(res request.DispatchEnded) {
			if n.run == run && n.up && !ended {
				ended = true
				delete(n.cancels, dispatchKey{d.ID, d.Serial})
				// Closing the connection cancels the request at the server.
				n.sim.at(200*time.Microsecond, stop)
				end(res)
			}
		}
		n.cancels[dispatchKey{d.ID, d.Serial}] = func() { once(request.DispatchEnded{Result: request.Cancelled, Replayable: true}) }
		n.sim.at(200*time.Microsecond, func() {
			stop = srv.receive(n.sim, r, func(res request.DispatchEnded, delay time.Duration) {
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
				once(request.DispatchEnded{Result: request.NoResponse, Replayable: true})
			} else {
				once(request.DispatchEnded{Result: request.Cancelled, DeadlinePassed: true, Replayable: true})
			}
		})
	})
}
