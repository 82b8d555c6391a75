package requests

import (
	"bytes"
	"context"
	"errors"
	"io"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/core/request"
	"github.com/savorytiller/savorytiller/internal/port"
)

const (
	// bodyBuffer is the part of a request body that is kept in memory. A body
	// that fits can be sent again after a shed; the rest of a longer one is
	// streamed from the caller to the server.
	bodyBuffer = 64 << 10
	// answerBuffer is the size of the largest answer that is read completely
	// before it is forwarded.
	answerBuffer = 64 << 10
	// handlerActions is the number of actions that one request can get: one
	// ReadBody, a Dispatch for each try, and one Finish.
	handlerActions = request.MaxDispatches + 2
)

// Serve implements port.RequestServer.
func (w *Worker) Serve(ctx context.Context, req *port.CallerRequest, answer port.CallerAnswer) {
	h := &handler{
		w: w, id: request.ID(w.lastID.Add(1)), req: req, answer: answer,
		actions: make(chan request.Action, handlerActions), began: w.o.Clock.Now(),
	}
	if !w.tryPost(item{ev: request.Arrived{ID: h.id, Req: req.Incoming}, handler: h.actions}) {
		h.refuse(refusedAs(req.Incoming), model.ReasonQueueFull)
		return
	}
	h.run(ctx)
}

// refusedAs is the outcome of a request that is refused before the engine has
// seen it: a repetition with a key may have run earlier.
func refusedAs(in request.Incoming) model.Outcome {
	if in.Key != "" && in.Attempt != 1 {
		return model.OutcomeUnknown
	}
	return model.OutcomeNotRun
}

// handler is the goroutine of one request.
type handler struct {
	w       *Worker
	id      request.ID
	req     *port.CallerRequest
	answer  port.CallerAnswer
	actions chan request.Action
	began   model.Time

	body callerBody
	// held is the whole answer that waits for Finish.
	held *heldAnswer
	// forwarded is set once a part of an answer went to the caller.
	forwarded bool
}

type heldAnswer struct {
	status int
	header map[string][]string
	body   []byte
}

func (h *handler) run(ctx context.Context) {
	gone := ctx.Done()
	for {
		select {
		case a := <-h.actions:
			switch a := a.(type) {
			case request.ReadBody:
				h.w.post(item{ev: h.readBody(a)})
			case request.Dispatch:
				h.w.post(item{ev: h.dispatch(ctx, a)})
			case request.Finish:
				h.finish(a)
				return
			}
		case <-gone:
			gone = nil
			h.w.post(item{ev: request.CallerDisconnected{ID: h.id}})
		case <-h.w.stopped:
			h.stoppedWorker()
			return
		}
	}
}

// stoppedWorker answers a request whose worker has ended.
func (h *handler) stoppedWorker() {
	if !h.forwarded {
		h.refuse(model.OutcomeUnknown, model.ReasonShuttingDown)
	}
}

func (h *handler) refuse(o model.Outcome, r model.Reason) {
	h.answer.Refuse(o, r)
	h.w.record(r, h.req.Incoming.Host, o.String())
}

func (h *handler) finish(f request.Finish) {
	if rec := h.w.o.Recorder; rec != nil {
		rec.Observe("request", f.Tenant, f.Class, h.w.o.Clock.Now().Sub(h.began))
	}
	switch {
	case h.forwarded:
		h.w.record(f.Reason, h.req.Incoming.Host, f.Outcome.String())
	case f.Outcome == model.OutcomeCompleted && f.Answer != nil:
		h.forwardStored(f.Answer)
		h.w.record(f.Reason, h.req.Incoming.Host, f.Outcome.String())
	case f.Outcome == model.OutcomeCompleted && h.held != nil:
		_ = h.answer.Forward(h.held.status, h.held.header, int64(len(h.held.body)), bytes.NewReader(h.held.body))
		h.w.record(f.Reason, h.req.Incoming.Host, f.Outcome.String())
	default:
		h.refuse(f.Outcome, f.Reason)
	}
}

func (h *handler) forwardStored(a *request.StoredAnswer) {
	header := map[string][]string{}
	if a.ContentType != "" {
		header["Content-Type"] = []string{a.ContentType}
	}
	_ = h.answer.Forward(a.Status, header, int64(len(a.Body)), bytes.NewReader(a.Body))
}

// readBody reads the start of the body and computes the content digest.
func (h *handler) readBody(a request.ReadBody) request.Event {
	if limit := h.req.SetBodyTimeout; limit != nil && h.req.Incoming.Length != 0 {
		limit(a.Deadline.Sub(h.w.o.Clock.Now()))
	}
	h.body = callerBody{source: h.req.Body, max: a.MaxBody, length: h.req.Incoming.Length}
	if err := h.body.buffer(); err != nil {
		reason := model.ReasonBadRequest
		if errors.Is(err, port.ErrBodyTooLarge) {
			reason = model.ReasonTooLarge
		}
		return request.BodyInvalid{ID: h.id, Reason: reason}
	}
	ev := request.BodyRead{ID: h.id}
	if a.Digest {
		ev.Digest = h.digest()
	}
	return ev
}

// digest covers method, target, length, the Content-Digest header (RFC 9530)
// and the buffered start of the body. It is never 0, which means "not known".
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
	_, _ = d.Write(h.body.start)
	return max(d.Sum64(), 1)
}

// dispatch sends the request to a server and returns what became of it.
func (h *handler) dispatch(ctx context.Context, d request.Dispatch) request.Event {
	now := h.w.o.Clock.Now()
	ev := request.DispatchEnded{ID: h.id, Serial: d.Serial}
	ctx, cancel := context.WithTimeout(ctx, d.Deadline.Sub(now))
	defer cancel()
	body := h.body.open()
	answer := h.w.o.Backends.Call(ctx, port.BackendRequest{
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
		h.receive(ctx, d, answer, &ev)
	}
	streamed, bodyErr := body.stop()
	ev.Replayable = !streamed
	ev.Forwarded = h.forwarded
	ev.Latency = h.w.o.Clock.Now().Sub(now)
	if ev.Result == request.NotSent && ctx.Err() != nil {
		// The caller's end, not the server's: nothing to retry or to observe.
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

// requestID names a dispatch uniquely over instances and restarts.
func (h *handler) requestID(d request.Dispatch) string {
	v := h.w.o.Views.View()
	prefix := ""
	if v != nil {
		prefix = string(v.Self.ID) + "-" + strconv.FormatUint(uint64(v.Self.Incarnation), 36) + "-"
	}
	return prefix + strconv.FormatUint(uint64(h.id), 36) + "-" + strconv.FormatUint(uint64(d.Serial), 10)
}

// receive reads an answer: a short one completely, so that nothing of a broken
// one reaches the caller; a long one is streamed.
func (h *handler) receive(ctx context.Context, d request.Dispatch, a port.BackendAnswer, ev *request.DispatchEnded) {
	short := a.Length <= answerBuffer
	var start []byte
	if short {
		var err error
		start, err = io.ReadAll(io.LimitReader(a.Body, answerBuffer+1))
		if err != nil {
			ev.Result = request.Truncated
			return
		}
		if len(start) <= answerBuffer {
			h.held = &heldAnswer{status: a.Status, header: a.Header, body: start}
			if d.StoreAnswer && len(start) <= request.MaxStoredAnswerBytes {
				ev.Answer = &request.StoredAnswer{Status: a.Status, Body: start, ContentType: first(a.Header["Content-Type"])}
			}
			return
		}
	}
	h.forwarded = true
	source := &readError{source: io.MultiReader(bytes.NewReader(start), a.Body)}
	if err := h.answer.Forward(a.Status, a.Header, a.Length, source); err != nil {
		ev.Result = request.Cancelled
		if source.err != nil && ctx.Err() == nil {
			ev.Result = request.Truncated
		}
	}
}

func first(values []string) string {
	if len(values) == 0 {
		return ""
	}
	return values[0]
}

// readError remembers the error of the reader that it wraps.
type readError struct {
	source io.Reader
	err    error
}

// Read implements io.Reader.
func (r *readError) Read(p []byte) (int, error) {
	n, err := r.source.Read(p)
	if err != nil && err != io.EOF {
		r.err = err
	}
	return n, err
}

var _ port.RequestServer = (*Worker)(nil)
