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
	// reportTries bounds the transmissions of a report or a release.
	reportTries = 3
	// reportTimeout bounds one transmission.
	reportTimeout = time.Second
	// reportPause lies between two transmissions.
	reportPause = 200 * time.Millisecond
	// reportLife bounds all transmissions, so that a process that was paused
	// between two of them does not send a report that has been overtaken.
	reportLife = 4 * time.Second
)

// ErrBadMessage means that a message of another instance breaks a limit.
var ErrBadMessage = merry.Sentinel("bad message")

func (w *Worker) callAdmit(a request.CallAdmit) {
	failed := request.AdmitReplied{ID: a.ID, Failed: true}
	w.call(a.Timeout, failed, func(ctx context.Context) request.Event {
		var reply request.Admission
		if err := w.o.Peers.Call(ctx, a.To, port.MethodAdmit, a.Msg, &reply); err != nil {
			return failed
		}
		return request.AdmitReplied{ID: a.ID, Admission: reply}
	})
}

func (w *Worker) callAcquire(a request.CallAcquire) {
	failed := request.AcquireReplied{ID: a.ID, From: a.To.ID, Lease: a.Msg.Lease, Failed: true}
	w.call(a.Timeout, failed, func(ctx context.Context) request.Event {
		var reply request.Grant
		if err := w.o.Peers.Call(ctx, a.To, port.MethodAcquire, a.Msg, &reply); err != nil {
			return failed
		}
		return request.AcquireReplied{ID: a.ID, From: a.To.ID, Lease: a.Msg.Lease, Grant: reply}
	})
}

// call runs a call of another instance in its own goroutine and posts the event
// that it returns. If too many are under way, it posts the failure instead.
func (w *Worker) call(timeout time.Duration, failed request.Event, run func(context.Context) request.Event) {
	select {
	case w.calls <- struct{}{}:
	default:
		go w.post(item{ev: failed})
		return
	}
	go func() {
		defer func() { <-w.calls }()
		ctx, cancel := context.WithTimeout(w.ctx, timeout)
		defer cancel()
		w.post(item{ev: run(ctx)})
	}()
}

// send transmits a message whose loss only delays things, a few times at most.
func (w *Worker) send(to model.Member, method string, msg any, tries int) {
	select {
	case w.calls <- struct{}{}:
	default:
		w.record(model.ReasonQueueFull, string(to.ID), method)
		return
	}
	go func() {
		defer func() { <-w.calls }()
		began := w.o.Clock.Now()
		for try := 0; try < tries && w.o.Clock.Now().Sub(began) < reportLife; try++ {
			if try > 0 && !w.pause(reportPause) {
				return
			}
			ctx, cancel := context.WithTimeout(w.ctx, reportTimeout)
			err := w.o.Peers.Call(ctx, to, method, msg, &request.Empty{})
			cancel()
			if err == nil {
				return
			}
		}
		w.record(model.ReasonPeerUnreachable, string(to.ID), method)
	}()
}

func (w *Worker) pause(d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-w.ctx.Done():
		return false
	}
}

// Handlers returns the methods that other instances call.
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
	return w.ask(ctx, call, request.PeerAdmit{Call: call, From: from, Msg: msg})
}

func (w *Worker) handleAcquire(ctx context.Context, from model.InstanceID, decode func(any) error) (any, error) {
	var msg request.Acquire
	if err := decode(&msg); err != nil {
		return nil, merry.Wrap(ErrBadMessage, merry.WithCause(err))
	}
	call := request.CallID(w.lastID.Add(1))
	return w.ask(ctx, call, request.PeerAcquire{Call: call, From: from, Msg: msg})
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
	return w.tell(request.PeerReport{From: from, Msg: msg})
}

func (w *Worker) handleRelease(_ context.Context, from model.InstanceID, decode func(any) error) (any, error) {
	var msg request.Release
	if err := decode(&msg); err != nil {
		return nil, merry.Wrap(ErrBadMessage, merry.WithCause(err))
	}
	return w.tell(request.PeerRelease{From: from, Msg: msg})
}

// ask posts an event that has a reply and waits for it.
func (w *Worker) ask(ctx context.Context, call request.CallID, ev request.Event) (any, error) {
	reply := make(chan any, 1)
	if !w.tryPost(item{ev: ev, reply: reply}) {
		return nil, merry.Prepend(port.ErrUnavailable, "request worker is full")
	}
	select {
	case msg := <-reply:
		return msg, nil
	case <-ctx.Done():
		w.post(item{ev: request.Tick{}, ended: call})
		return nil, merry.Wrap(port.ErrUnavailable, merry.WithCause(ctx.Err()))
	case <-w.stopped:
		return nil, port.ErrUnavailable
	}
}

func (w *Worker) tell(ev request.Event) (any, error) {
	if !w.tryPost(item{ev: ev}) {
		return nil, merry.Prepend(port.ErrUnavailable, "request worker is full")
	}
	return request.Empty{}, nil
}
