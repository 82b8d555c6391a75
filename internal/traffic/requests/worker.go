// Package requests is the request worker: one goroutine owns the request engine
// with its deduplication, slot shares and retry budgets. The goroutines of the
// callers' requests send typed events to it and wait for its actions.
package requests

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/core/request"
	"github.com/savorytiller/savorytiller/internal/port"
)

// Part is the name of the request side in metrics, logs and decisions.
const Part = "request"

// DefaultQueueSize is the number of events that wait for the worker.
const DefaultQueueSize = 1024

// maxPeerCalls bounds the calls of other instances under way.
const maxPeerCalls = 512

// Options are the parts that a worker needs. Clock, Views, Peers and Backends
// are required.
type Options struct {
	Clock    port.Clock
	Views    port.ViewReader
	Peers    port.PeerCaller
	Backends port.BackendCaller
	// Health takes observations of servers; it may be nil.
	Health port.HealthObserver
	// Recorder counts decisions; it may be nil.
	Recorder port.Recorder
	Config   request.Config
	// Seed decides ties; use a different one in each process.
	Seed uint64
	// QueueSize bounds the events that wait for the worker.
	QueueSize int
}

// Worker runs the request engine. It implements port.RequestServer.
type Worker struct {
	o       Options
	items   chan item
	stopped chan struct{}
	calls   chan struct{} // one token for each call under way
	lastID  atomic.Uint64

	// Fields below are owned by the worker goroutine.
	engine   *request.Engine
	handlers map[request.ID]chan request.Action
	replies  map[request.CallID]chan any
	idle     []chan struct{}
	ctx      context.Context
}

// item is one event with the channel that its actions go to.
type item struct {
	ev      request.Event
	handler chan request.Action // with Arrived
	reply   chan any            // with PeerAdmit and PeerAcquire
	idle    chan struct{}       // closed once no request is in progress
	ended   request.CallID      // a call whose caller no longer waits
}

// New returns a worker. Run starts it.
func New(o Options) *Worker {
	if o.QueueSize == 0 {
		o.QueueSize = DefaultQueueSize
	}
	return &Worker{
		o:        o,
		items:    make(chan item, o.QueueSize),
		stopped:  make(chan struct{}),
		calls:    make(chan struct{}, maxPeerCalls),
		engine:   request.New(o.Config, rand.New(rand.NewPCG(o.Seed, o.Seed^0x9e3779b97f4a7c15))),
		handlers: map[request.ID]chan request.Action{},
		replies:  map[request.CallID]chan any{},
	}
}

// Run handles events until the context ends.
func (w *Worker) Run(ctx context.Context) error {
	defer close(w.stopped)
	w.ctx = ctx
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		w.setTimer(timer)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case it := <-w.items:
			w.handle(it)
		case <-timer.C:
			w.handle(item{ev: request.Tick{}})
		}
	}
}

// setTimer arms the timer for the engine's next deadline.
func (w *Worker) setTimer(timer *time.Timer) {
	at, ok := w.engine.NextTimer()
	if !ok {
		timer.Reset(time.Hour)
		return
	}
	timer.Reset(max(at.Sub(w.o.Clock.Now()), 0))
}

func (w *Worker) handle(it item) {
	switch ev := it.ev.(type) {
	case request.Arrived:
		w.handlers[ev.ID] = it.handler
	case request.PeerAdmit:
		w.replies[ev.Call] = it.reply
	case request.PeerAcquire:
		w.replies[ev.Call] = it.reply
	}
	if it.ended != 0 {
		delete(w.replies, it.ended)
	}
	if it.idle != nil {
		w.idle = append(w.idle, it.idle)
	}
	for _, a := range w.engine.Handle(w.o.Clock.Now(), w.o.Views.View(), it.ev) {
		w.execute(a)
	}
	if len(w.idle) > 0 && w.engine.InProgress() == 0 {
		for _, c := range w.idle {
			close(c)
		}
		w.idle = nil
	}
}

func (w *Worker) execute(a request.Action) {
	switch a := a.(type) {
	case request.ReadBody:
		w.toHandler(a.ID, a)
	case request.Dispatch:
		w.toHandler(a.ID, a)
	case request.Finish:
		w.toHandler(a.ID, a)
		delete(w.handlers, a.ID)
	case request.CallAdmit:
		w.callAdmit(a)
	case request.CallAcquire:
		w.callAcquire(a)
	case request.CallReport:
		w.send(a.To, port.MethodReport, a.Msg, reportTries)
	case request.CallRelease:
		w.send(a.To, port.MethodRelease, a.Msg, reportTries)
	case request.ReplyAdmit:
		w.reply(a.Call, a.Msg)
	case request.ReplyAcquire:
		w.reply(a.Call, a.Msg)
	case request.Observe:
		if w.o.Health != nil {
			w.o.Health.ObserveServer(a.Observation)
		}
	case request.RecordDecision:
		w.record(a.Reason, a.Subject, a.Detail)
	}
}

// toHandler passes an action to the goroutine of a request. Its channel has
// room for every action of one request, so this never blocks.
func (w *Worker) toHandler(id request.ID, a request.Action) {
	if c := w.handlers[id]; c != nil {
		c <- a
	}
}

func (w *Worker) reply(call request.CallID, msg any) {
	if c := w.replies[call]; c != nil {
		c <- msg
		delete(w.replies, call)
	}
}

func (w *Worker) record(reason model.Reason, subject, detail string) {
	if w.o.Recorder == nil {
		return
	}
	w.o.Recorder.Count(Part, reason)
	w.o.Recorder.Decision(port.Decision{At: w.o.Clock.Now(), Part: Part, Reason: reason, Subject: subject, Detail: detail})
}

// tryPost posts an event if there is room.
func (w *Worker) tryPost(it item) bool {
	select {
	case w.items <- it:
		return true
	default:
		return false
	}
}

// post posts an event that must not be lost. It reports false if the worker has
// stopped.
func (w *Worker) post(it item) bool {
	select {
	case w.items <- it:
		return true
	case <-w.stopped:
		return false
	}
}

// Drain refuses new requests and returns once none is in progress and the
// reports about them have been sent, or with the context's error. The worker
// must run on until then.
func (w *Worker) Drain(ctx context.Context) error {
	idle := make(chan struct{})
	if !w.post(item{ev: request.Drain{}, idle: idle}) {
		return nil
	}
	select {
	case <-idle:
	case <-w.stopped:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
	// Holding every token means that no call is under way.
	for range cap(w.calls) {
		select {
		case w.calls <- struct{}{}:
			defer func() { <-w.calls }()
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}
