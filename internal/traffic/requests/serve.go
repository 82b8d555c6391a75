package requests

import (
	"bytes"
	"context"
	"errors"
	"io"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/core/request"
	"github.com/savorytiller/savorytiller/internal/port"
)

const (
	// maxBufferedBody is the number of bytes of a request body that are kept in
	// memory. A body of at most this length can be sent again after a server shed
	// the request; the rest of a longer body is streamed from the caller to the
	// server.
	maxBufferedBody = 64 << 10
	// maxBufferedAnswer is the size in bytes of the largest answer that is read
	// completely before it is forwarded.
	maxBufferedAnswer = 64 << 10
	// maxActions is the maximum number of actions for one request: MaxDispatches times
	// Dispatch, and one each of ReadBody, ForwardAnswer, CancelDispatch and Finish.
	maxActions = request.MaxDispatches + 4
)

// Serve implements port.RequestServer.
func (w *Worker) Serve(ctx context.Context, req *port.CallerRequest, answer port.CallerAnswer) {
	h := &handler{
		w: w, id: request.ID(w.lastID.Add(1)), req: req, answer: answer,
		actions: make(chan request.Action, maxActions), started: w.options.Clock.Now(),
	}
	if !w.tryPost(queuedEvent{ev: request.Arrived{ID: h.id, Req: req.Incoming}, actions: h.actions}) {
		h.refuse(refusedOutcome(req.Incoming), model.ReasonQueueFull, 0)
		return
	}
	h.run(ctx)
}

// refusedOutcome returns the outcome of a request that is refused before it reaches the
// engine. It is unknown for a later attempt with a key, because an earlier attempt may
// have run.
func refusedOutcome(in request.Incoming) model.Outcome {
	if in.Key != "" && in.Attempt != 1 {
		return model.OutcomeUnknown
	}
	return model.OutcomeNotRun
}

// handler carries out the engine's actions for one request, in the goroutine of that
// request.
type handler struct {
	w       *Worker
	id      request.ID
	req     *port.CallerRequest
	answer  port.CallerAnswer
	actions chan request.Action
	started model.Time

	body callerBody
	// buffered holds the complete answers, one of which is forwarded on Finish, by the
	// serials of their dispatches. Each dispatch writes only its own element.
	buffered [request.MaxDispatches + 1]*bufferedAnswer
	// forwarded is set if part of an answer has been sent to the caller. The goroutines of
	// hedgeable dispatches do not use it.
	forwarded bool
	// running holds the hedgeable dispatches, which run in their own goroutines, by serial.
	running map[uint32]*hedgeable
}

// hedgeable is a dispatch that may run beside another one of the same request.
type hedgeable struct {
	cancel context.CancelFunc
	// forward is closed when the answer may be sent to the caller while it arrives. Until
	// ended is closed, the goroutine of the dispatch then owns the caller's answer.
	forward, ended chan struct{}
	// forwarded is set before ended is closed.
	forwarded bool
}

type bufferedAnswer struct {
	status int
	header map[string][]string
	body   []byte
}

func (h *handler) run(ctx context.Context) {
	disconnected := ctx.Done()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	for {
		select {
		case a := <-h.actions:
			switch a := a.(type) {
			case request.ReadBody:
				h.w.post(queuedEvent{ev: h.readBody(a)})
			case request.Dispatch:
				if a.Hedgeable {
					h.start(ctx, a)
				} else {
					h.w.post(queuedEvent{ev: h.dispatch(ctx, a, nil)})
				}
			case request.ForwardAnswer:
				h.forwardAnswer(a.Serial)
			case request.CancelDispatch:
				if d := h.running[a.Serial]; d != nil {
					d.cancel()
				}
			case request.Finish:
				h.finish(a)
				return
			}
		case <-disconnected:
			disconnected = nil
			h.w.post(queuedEvent{ev: request.CallerDisconnected{ID: h.id}})
		case <-h.w.stopped:
			h.workerStopped()
			return
		}
	}
}

// workerStopped refuses the request because the worker has stopped, unless part of an
// answer has been forwarded. The outcome is unknown, because a server may have run the
// request.
func (h *handler) workerStopped() {
	if !h.forwarded {
		h.refuse(model.OutcomeUnknown, model.ReasonShuttingDown, 0)
	}
}

func (h *handler) refuse(o model.Outcome, r model.Reason, retryAfter time.Duration) {
	h.answer.Refuse(o, r, retryAfter)
	h.w.record(r, h.req.Incoming.Host, o.String())
}

// finish sends the caller the stored or buffered answer, or a refusal; nothing if an
// answer has been forwarded.
func (h *handler) finish(f request.Finish) {
	if rec := h.w.options.Recorder; rec != nil {
		rec.Observe("request", f.Tenant, f.Class, h.w.options.Clock.Now().Sub(h.started))
	}
	switch {
	case h.forwarded:
		h.w.record(f.Reason, h.req.Incoming.Host, f.Outcome.String())
	case f.Outcome == model.OutcomeCompleted && f.Answer != nil:
		h.forwardStored(f.Answer)
		h.w.record(f.Reason, h.req.Incoming.Host, f.Outcome.String())
	case f.Outcome == model.OutcomeCompleted && h.buffered[f.Serial] != nil:
		a := h.buffered[f.Serial]
		_ = h.answer.Forward(a.status, a.header, int64(len(a.body)), bytes.NewReader(a.body))
		h.w.record(f.Reason, h.req.Incoming.Host, f.Outcome.String())
	default:
		h.refuse(f.Outcome, f.Reason, f.RetryAfter)
	}
}

func (h *handler) forwardStored(a *request.StoredAnswer) {
	header := map[string][]string{}
	if a.ContentType != "" {
		header["Content-Type"] = []string{a.ContentType}
	}
	_ = h.answer.Forward(a.Status, header, int64(len(a.Body)), bytes.NewReader(a.Body))
}

// readBody reads the start of the body and computes the digest if the engine needs it.
func (h *handler) readBody(a request.ReadBody) request.Event {
	if setTimeout := h.req.SetBodyTimeout; setTimeout != nil && h.req.Incoming.Length != 0 {
		setTimeout(a.Deadline.Sub(h.w.options.Clock.Now()))
	}
	h.body = callerBody{source: h.req.Body, max: a.MaxBody, length: h.req.Incoming.Length}
	if err := h.body.buffer(); err != nil {
		reason := model.ReasonBadRequest
		if errors.Is(err, port.ErrBodyTooLarge) {
			reason = model.ReasonTooLarge
		}
		return request.BodyInvalid{ID: h.id, Reason: reason}
	}
	ev := request.BodyRead{ID: h.id, Complete: h.body.complete}
	if a.Digest {
		ev.Digest = h.digest()
	}
	return ev
}

// digest returns a hash over the method, target, length, Content-Digest header (RFC
// 9530) and buffered start of the body. It is never 0, because 0 means that the digest
// is unknown.
func (h *handler) digest() uint64 {
	d := xxhash.New()
	for _, part := range []string{h.req.Incoming.Method, h.req.Target, strconv.FormatInt(h.body.length, 10)} {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	for _, v := range h.req.Header["Content-Digest"] {
		_, _ = d.WriteString(v)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(h.body.prefix)
	return max(d.Sum64(), 1)
}

// start runs a hedgeable dispatch in a goroutine, which ends with the request at the latest.
func (h *handler) start(ctx context.Context, d request.Dispatch) {
	ctx, cancel := context.WithCancel(ctx)
	running := &hedgeable{cancel: cancel, forward: make(chan struct{}), ended: make(chan struct{})}
	if h.running == nil {
		h.running = map[uint32]*hedgeable{}
	}
	h.running[d.Serial] = running
	go func() {
		defer cancel()
		ev := h.dispatch(ctx, d, running)
		close(running.ended)
		h.w.post(queuedEvent{ev: ev})
	}()
}

// forwardAnswer lets a hedgeable dispatch send its answer to the caller and waits for its end.
func (h *handler) forwardAnswer(serial uint32) {
	running := h.running[serial]
	close(running.forward)
	<-running.ended
	h.forwarded = running.forwarded
}

// dispatch sends the request to a server and returns the result. running is nil unless the
// dispatch is hedgeable.
func (h *handler) dispatch(ctx context.Context, d request.Dispatch, running *hedgeable) request.Event {
	now := h.w.options.Clock.Now()
	ev := request.DispatchEnded{ID: h.id, Serial: d.Serial}
	ctx, cancel := context.WithTimeout(ctx, d.Deadline.Sub(now))
	defer cancel()
	body := h.body.open()
	answer := h.w.options.Backends.Call(ctx, port.BackendRequest{
		Address:         d.Server.RequestAddress,
		RequestID:       h.requestID(d),
		Host:            h.req.Incoming.Host,
		Method:          h.req.Incoming.Method,
		Target:          h.req.Target,
		Key:             h.req.Incoming.Key,
		Header:          h.req.Header,
		Body:            body,
		Length:          h.body.length,
		Remaining:       d.Deadline.Sub(now),
		NotAfter:        d.NotAfter,
		ResponseTimeout: d.ResponseTimeout,
		NewConnection:   d.NewConnection,
	})
	ev.Result, ev.Status, ev.TooLate = answer.Result, answer.Status, answer.TooLate
	if answer.Body != nil {
		defer answer.Body.Close()
	}
	if answer.Result == request.Answered {
		h.receiveAnswer(ctx, d, answer, &ev, running)
	}
	streamed, bodyErr := body.stop()
	ev.Replayable = !streamed
	ev.Latency = h.w.options.Clock.Now().Sub(now)
	if ev.Result == request.NotSent && ctx.Err() != nil {
		// The caller disconnected or its deadline passed. TooLate and a body that is
		// not replayable prevent a retry and an observation of the server.
		ev.TooLate, ev.Replayable = true, false
	}
	if ev.Result != request.Answered && ev.Result != request.NotSent && ev.Result != request.ShedByServer {
		switch {
		case ctx.Err() != nil:
			ev.Result, ev.DeadlinePassed = request.Cancelled, errors.Is(ctx.Err(), context.DeadlineExceeded)
		case bodyErr != nil:
			ev.Result = request.BodyFailed
		}
	}
	return ev
}

// requestID returns an ID of the dispatch that is unique across instances and restarts.
func (h *handler) requestID(d request.Dispatch) string {
	v := h.w.options.Views.View()
	prefix := ""
	if v != nil {
		prefix = string(v.Self.ID) + "-" + strconv.FormatUint(uint64(v.Self.Incarnation), 36) + "-"
	}
	return prefix + strconv.FormatUint(uint64(h.id), 36) + "-" + strconv.FormatUint(uint64(d.Serial), 10)
}

// receiveAnswer reads an answer. A short one is buffered completely, so that no part of
// a truncated answer is sent to the caller; a long one is streamed to the caller. An
// answer of unknown length (-1) is buffered until it exceeds maxBufferedAnswer. A hedgeable
// dispatch streams only once the engine has chosen its answer.
func (h *handler) receiveAnswer(ctx context.Context, d request.Dispatch, a port.BackendAnswer, ev *request.DispatchEnded, running *hedgeable) {
	short := a.Length <= maxBufferedAnswer
	var start []byte
	if short {
		var err error
		start, err = io.ReadAll(io.LimitReader(a.Body, maxBufferedAnswer+1))
		if err != nil {
			ev.Result = request.Truncated
			return
		}
		if len(start) <= maxBufferedAnswer {
			h.buffered[d.Serial] = &bufferedAnswer{status: a.Status, header: a.Header, body: start}
			if d.StoreAnswer && len(start) <= request.MaxStoredAnswerBytes {
				ev.Answer = &request.StoredAnswer{Status: a.Status, Body: start, ContentType: firstValue(a.Header["Content-Type"])}
			}
			return
		}
	}
	ev.Forwarded = true
	if running == nil {
		h.forwarded = true
	} else if running.forwarded = h.mayForward(ctx, d.Serial, running); !running.forwarded {
		ev.Result, ev.Forwarded = request.Cancelled, false
		return
	}
	source := &errorRecorder{source: io.MultiReader(bytes.NewReader(start), a.Body)}
	if err := h.answer.Forward(a.Status, a.Header, a.Length, source); err != nil {
		ev.Result = request.Cancelled
		if source.err != nil && ctx.Err() == nil {
			ev.Result = request.Truncated
		}
	}
}

// mayForward asks the engine whether the answer of a hedgeable dispatch may be sent to the
// caller, and reports false if the dispatch is cancelled.
func (h *handler) mayForward(ctx context.Context, serial uint32, running *hedgeable) bool {
	h.w.post(queuedEvent{ev: request.AnswerStarted{ID: h.id, Serial: serial}})
	select {
	case <-running.forward:
		return true
	case <-ctx.Done():
		return false
	}
}

func firstValue(values []string) string {
	if len(values) == 0 {
		return ""
	}
	return values[0]
}

// errorRecorder wraps a reader and keeps its last error other than io.EOF.
type errorRecorder struct {
	source io.Reader
	err    error
}

// Read implements io.Reader.
func (r *errorRecorder) Read(p []byte) (int, error) {
	n, err := r.source.Read(p)
	if err != nil && err != io.EOF {
		r.err = err
	}
	return n, err
}

var _ port.RequestServer = (*Worker)(nil)
