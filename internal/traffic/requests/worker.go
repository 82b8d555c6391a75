// Package requests runs the request engine. One worker goroutine owns the engine, with
// its deduplication table, slots and retry budgets. The goroutine of each caller's
// request sends typed events to the worker and carries out the actions that it returns.
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

// Part is the name of the request worker in metrics, logs and decisions.
const Part = "request"

// partHedge is the name under which hedged requests are counted.
const partHedge = "hedge"

// DefaultQueueSize is the default of Options.QueueSize.
const DefaultQueueSize = 1024

// maxPeerCalls limits the calls to other instances that are in progress.
const maxPeerCalls = 512

// Options are the dependencies and settings of a worker. Clock, Views, Peers and
// Backends are required.
type Options struct {
	Clock    port.Clock
	Views    port.ViewReader
	Peers    port.PeerCaller
	Backends port.BackendCaller
	// Health receives the observations of servers; it may be nil.
	Health port.HealthObserver
	// Recorder receives decisions and request durations; it may be nil.
	Recorder port.Recorder
	Settings request.Settings
	// Seed seeds the engine's random generator. It must differ between processes.
	Seed uint64
	// QueueSize limits the events that wait for the worker; 0 selects
	// DefaultQueueSize.
	QueueSize int
}

// Worker runs the request engine. It implements port.RequestServer.
type Worker struct {
	options    Options
	queue      chan queuedEvent
	stopped    chan struct{}
	callTokens chan struct{} // holds a token for each call in progress
	lastID     atomic.Uint64

	// The fields below belong to the worker goroutine.
	engine      *request.Engine
	actions     map[request.ID]chan request.Action
	replies     map[request.CallID]chan any
	idleWaiters []chan struct{}
	ctx         context.Context
}

// queuedEvent is an event for the engine with the channel on which the result is
// expected.
type queuedEvent struct {
	ev            request.Event
	actions       chan request.Action // with Arrived
	reply         chan any            // with PeerAdmit and PeerAcquire
	idle          chan struct{}       // closed once no request is in progress
	abandonedCall request.CallID      // a call that no longer waits for its reply
}

// New returns a worker. Run starts it.
func New(o Options) *Worker {
	if o.QueueSize == 0 {
		o.QueueSize = DefaultQueueSize
	}
	return &Worker{
		options:    o,
		queue:      make(chan queuedEvent, o.QueueSize),
		stopped:    make(chan struct{}),
		callTokens: make(chan struct{}, maxPeerCalls),
		engine:     request.New(o.Settings, rand.New(rand.NewPCG(o.Seed, o.Seed^0x9e3779b97f4a7c15))),
		actions:    map[request.ID]chan request.Action{},
		replies:    map[request.CallID]chan any{},
	}
}

// Run handles events until the context ends. It must be called only once.
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
		case qe := <-w.queue:
			w.handle(qe)
		case <-timer.C:
			w.handle(queuedEvent{ev: request.Tick{}})
		}
	}
}

// setTimer sets the timer to the time of the engine's next Tick.
func (w *Worker) setTimer(timer *time.Timer) {
	at, ok := w.engine.NextTimer()
	if !ok {
		timer.Reset(time.Hour)
		return
	}
	timer.Reset(max(at.Sub(w.options.Clock.Now()), 0))
}

func (w *Worker) handle(qe queuedEvent) {
	switch ev := qe.ev.(type) {
	case request.Arrived:
		w.actions[ev.ID] = qe.actions
	case request.PeerAdmit:
		w.replies[ev.Call] = qe.reply
	case request.PeerAcquire:
		w.replies[ev.Call] = qe.reply
	}
	if qe.abandonedCall != 0 {
		delete(w.replies, qe.abandonedCall)
	}
	if qe.idle != nil {
		w.idleWaiters = append(w.idleWaiters, qe.idle)
	}
	for _, a := range w.engine.Handle(w.options.Clock.Now(), w.options.Views.View(), qe.ev) {
		w.execute(a)
	}
	if len(w.idleWaiters) > 0 && w.engine.InProgress() == 0 {
		for _, c := range w.idleWaiters {
			close(c)
		}
		w.idleWaiters = nil
	}
}

func (w *Worker) execute(a request.Action) {
	switch a := a.(type) {
	case request.ReadBody:
		w.sendAction(a.ID, a)
	case request.Dispatch:
		w.sendAction(a.ID, a)
	case request.ForwardAnswer:
		w.sendAction(a.ID, a)
	case request.CancelDispatch:
		w.sendAction(a.ID, a)
	case request.CountHedge:
		if w.options.Recorder != nil {
			w.options.Recorder.Count(partHedge, a.Reason)
		}
	case request.Finish:
		w.sendAction(a.ID, a)
		delete(w.actions, a.ID)
	case request.CallAdmit:
		w.callAdmit(a)
	case request.CallAcquire:
		w.callAcquire(a)
	case request.CallReport:
		w.sendWithRetry(a.To, port.MethodReport, a.Msg, maxReportTries)
	case request.CallRelease:
		w.sendWithRetry(a.To, port.MethodRelease, a.Msg, maxReportTries)
	case request.ReplyAdmit:
		w.reply(a.Call, a.Msg)
	case request.ReplyAcquire:
		w.reply(a.Call, a.Msg)
	case request.Observe:
		if w.options.Health != nil {
			w.options.Health.ObserveServer(a.Observation)
		}
	case request.RecordDecision:
		w.record(a.Reason, a.Subject, a.Detail)
	}
}

// sendAction sends an action to the goroutine of a request. The capacity of its
// channel is the maximum number of actions of one request, so this never blocks.
func (w *Worker) sendAction(id request.ID, a request.Action) {
	if c := w.actions[id]; c != nil {
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
	if w.options.Recorder == nil {
		return
	}
	w.options.Recorder.Count(Part, reason)
	w.options.Recorder.Decision(port.Decision{At: w.options.Clock.Now(), Part: Part, Reason: reason, Subject: subject, Detail: detail})
}

// tryPost queues an event. It returns false if the queue is full.
func (w *Worker) tryPost(qe queuedEvent) bool {
	select {
	case w.queue <- qe:
		return true
	default:
		return false
	}
}

// post queues an event that must not be dropped; it waits while the queue is full. It
// returns false if the worker has stopped.
func (w *Worker) post(qe queuedEvent) bool {
	select {
	case w.queue <- qe:
		return true
	case <-w.stopped:
		return false
	}
}

// Drain refuses new requests. It returns once no request is in progress and all calls
// to other instances, in particular the reports of those requests, have ended, or with
// the error of ctx. The worker must keep running until then; if it has stopped, Drain
// returns nil.
func (w *Worker) Drain(ctx context.Context) error {
	idle := make(chan struct{})
	if !w.post(queuedEvent{ev: request.Drain{}, idle: idle}) {
		return nil
	}
	select {
	case <-idle:
	case <-w.stopped:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
	// Once all tokens are acquired, no call is in progress.
	for range cap(w.callTokens) {
		select {
		case w.callTokens <- struct{}{}:
			defer func() { <-w.callTokens }()
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}
