package requests

import (
	"context"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/core/request"
	"github.com/savorytiller/savorytiller/internal/port"
)

const (
	// maxReportTries limits the transmissions of a Report or Release.
	maxReportTries = 3
	// reportTimeout limits the duration of one transmission.
	reportTimeout = time.Second
	// reportRetryDelay is the time between two transmissions.
	reportRetryDelay = 200 * time.Millisecond
	// reportTotalTimeout is the time after which no further transmission begins, so
	// that a process that was paused between two of them does not send an outdated
	// report.
	reportTotalTimeout = 4 * time.Second
)

// ErrBadMessage means that a message of another instance cannot be decoded or has a
// field that is missing or out of range.
var ErrBadMessage = merry.Sentinel("bad message")

func (w *Worker) callAdmit(a request.CallAdmit) {
	failed := request.AdmitReplied{ID: a.ID, Failed: true}
	w.callPeer(a.Timeout, failed, func(ctx context.Context) request.Event {
		var reply request.Admission
		if err := w.options.Peers.Call(ctx, a.To, port.MethodAdmit, a.Msg, &reply); err != nil {
			return failed
		}
		return request.AdmitReplied{ID: a.ID, Admission: reply}
	})
}

func (w *Worker) callAcquire(a request.CallAcquire) {
	failed := request.AcquireReplied{ID: a.ID, From: a.To.ID, Lease: a.Msg.Lease, Failed: true}
	w.callPeer(a.Timeout, failed, func(ctx context.Context) request.Event {
		var reply request.Grant
		if err := w.options.Peers.Call(ctx, a.To, port.MethodAcquire, a.Msg, &reply); err != nil {
			return failed
		}
		return request.AcquireReplied{ID: a.ID, From: a.To.ID, Lease: a.Msg.Lease, Grant: reply}
	})
}

// callPeer runs a call to another instance in its own goroutine and posts the event that
// run returns. If maxPeerCalls are in progress, it posts failed instead.
func (w *Worker) callPeer(timeout time.Duration, failed request.Event, run func(context.Context) request.Event) {
	select {
	case w.callTokens <- struct{}{}:
	default:
		// The worker goroutine runs this and empties the queue, so it must not wait
		// for room in the queue itself.
		go w.post(queuedEvent{ev: failed})
		return
	}
	go func() {
		defer func() { <-w.callTokens }()
		ctx, cancel := context.WithTimeout(w.ctx, timeout)
		defer cancel()
		w.post(queuedEvent{ev: run(ctx)})
	}()
}

// sendWithRetry sends a message to another instance until it is confirmed, maxTries
// times at most. It is for messages whose loss only delays the receiver.
func (w *Worker) sendWithRetry(to model.Member, method string, msg any, maxTries int) {
	select {
	case w.callTokens <- struct{}{}:
	default:
		w.record(model.ReasonQueueFull, string(to.ID), method)
		return
	}
	go func() {
		defer func() { <-w.callTokens }()
		started := w.options.Clock.Now()
		for try := 0; try < maxTries && w.options.Clock.Now().Sub(started) < reportTotalTimeout; try++ {
			if try > 0 && !w.sleep(reportRetryDelay) {
				return
			}
			ctx, cancel := context.WithTimeout(w.ctx, reportTimeout)
			err := w.options.Peers.Call(ctx, to, method, msg, &request.Empty{})
			cancel()
			if err == nil {
				return
			}
		}
		w.record(model.ReasonPeerUnreachable, string(to.ID), method)
	}()
}

// sleep waits for d. It returns false if the context of the worker ends first.
func (w *Worker) sleep(d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-w.ctx.Done():
		return false
	}
}

// Handlers returns the handlers of the methods that other instances call.
func (w *Worker) Handlers() map[string]port.PeerHandler {
	return map[string]port.PeerHandler{
		port.MethodAdmit:   w.handleAdmit,
		port.MethodReport:  w.handleReport,
		port.MethodAcquire: w.handleAcquire,
		port.MethodRelease: w.handleRelease,
	}
}

func (w *Worker) handleAdmit(ctx context.Context, from model.InstanceID, decode func(any) error) (any, error) {
	var msg request.Admit
	if err := decode(&msg); err != nil {
		return nil, merry.Wrap(ErrBadMessage, merry.WithCause(err))
	}
	if msg.Key == "" || len(msg.Key) > request.MaxKeyLength || msg.Attempt < 1 || msg.Service == 0 {
		return nil, merry.Prepend(ErrBadMessage, port.MethodAdmit)
	}
	call := request.CallID(w.lastID.Add(1))
	return w.postAndWait(ctx, call, request.PeerAdmit{Call: call, From: from, Msg: msg})
}

func (w *Worker) handleAcquire(ctx context.Context, from model.InstanceID, decode func(any) error) (any, error) {
	var msg request.Acquire
	if err := decode(&msg); err != nil {
		return nil, merry.Wrap(ErrBadMessage, merry.WithCause(err))
	}
	call := request.CallID(w.lastID.Add(1))
	return w.postAndWait(ctx, call, request.PeerAcquire{Call: call, From: from, Msg: msg})
}

func (w *Worker) handleReport(_ context.Context, from model.InstanceID, decode func(any) error) (any, error) {
	var msg request.Report
	if err := decode(&msg); err != nil {
		return nil, merry.Wrap(ErrBadMessage, merry.WithCause(err))
	}
	if msg.Key == "" || len(msg.Key) > request.MaxKeyLength || msg.Attempt < 1 || msg.State > request.StateCompleted ||
		msg.Answer != nil && len(msg.Answer.Body) > request.MaxStoredAnswerBytes {
		return nil, merry.Prepend(ErrBadMessage, port.MethodReport)
	}
	return w.postOneWay(request.PeerReport{From: from, Msg: msg})
}

func (w *Worker) handleRelease(_ context.Context, from model.InstanceID, decode func(any) error) (any, error) {
	var msg request.Release
	if err := decode(&msg); err != nil {
		return nil, merry.Wrap(ErrBadMessage, merry.WithCause(err))
	}
	return w.postOneWay(request.PeerRelease{From: from, Msg: msg})
}

// postAndWait posts an event of another instance's call and waits for the reply. The
// error is port.ErrUnavailable if the queue is full, ctx ends or the worker stops.
func (w *Worker) postAndWait(ctx context.Context, call request.CallID, ev request.Event) (any, error) {
	reply := make(chan any, 1)
	if !w.tryPost(queuedEvent{ev: ev, reply: reply}) {
		return nil, merry.Prepend(port.ErrUnavailable, "request worker is full")
	}
	select {
	case msg := <-reply:
		return msg, nil
	case <-ctx.Done():
		w.post(queuedEvent{ev: request.Tick{}, abandonedCall: call})
		return nil, merry.Wrap(port.ErrUnavailable, merry.WithCause(ctx.Err()))
	case <-w.stopped:
		return nil, port.ErrUnavailable
	}
}

// postOneWay posts an event that has no reply. The error is port.ErrUnavailable if the
// queue is full.
func (w *Worker) postOneWay(ev request.Event) (any, error) {
	if !w.tryPost(queuedEvent{ev: ev}) {
		return nil, merry.Prepend(port.ErrUnavailable, "request worker is full")
	}
	return request.Empty{}, nil
}
