package httpfront

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/core/request"
	"github.com/savorytiller/savorytiller/internal/port"
)

// Names of the headers between callers and instances.
const (
	HeaderKey            = "Idempotency-Key"
	HeaderAttempt        = "Attempt"
	HeaderRequestTimeout = "Request-Timeout-Ms"
	HeaderOutcome        = "Outcome"
	HeaderReason         = "Outcome-Reason"
)

type requestHandler struct {
	requestServer  port.RequestServer
	recorder       port.Recorder
	maxHeaderBytes int
}

func (h *requestHandler) serve(w http.ResponseWriter, r *http.Request) {
	a := &answer{w: w, method: r.Method}
	control := http.NewResponseController(w)
	// Without full duplex, net/http reads up to 256 kB of the rest of the body before
	// it sends an answer, while the body may still be streamed to a server.
	_ = control.EnableFullDuplex()
	defer func() {
		if a.refused && r.ContentLength != 0 {
			discardBody(control, r.Body)
		}
	}()
	in, ok := decodeRequest(r)
	if reason := h.check(r, ok); reason != model.ReasonNone {
		// An earlier attempt with the same key may have run.
		outcome := model.OutcomeNotRun
		if in.Key != "" && in.Attempt != 1 {
			outcome = model.OutcomeUnknown
		}
		if h.recorder != nil {
			h.recorder.Count("request", reason)
		}
		a.Refuse(outcome, reason, 0)
		return
	}
	h.requestServer.Serve(r.Context(), &port.CallerRequest{
		Incoming: in,
		Target:   r.URL.RequestURI(),
		Header:   r.Header,
		Body:     r.Body,
		SetBodyTimeout: func(after time.Duration) {
			_ = control.SetReadDeadline(time.Now().Add(after))
		},
	}, a)
	if a.failed {
		// The answer is incomplete. The status has already been sent, so the caller
		// can detect this only if the connection is aborted.
		if !r.ProtoAtLeast(1, 1) {
			resetConnection(control)
		}
		panic(http.ErrAbortHandler)
	}
}

// resetConnection resets the connection of an HTTP/1.0 caller. Without a Content-Length, such
// a caller takes an ordinary end of the connection for the end of the answer.
func resetConnection(control *http.ResponseController) {
	raw, _, err := control.Hijack()
	if err != nil {
		return // the connection is closed already
	}
	if limited, ok := raw.(*limitedConn); ok {
		if tcp, ok := limited.Conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // discards unsent data and sends a reset on close
		}
	}
	_ = raw.Close()
}

// Limits for reading the rest of the body of a refused request.
const (
	discardTimeout    = time.Second
	maxDiscardedBytes = 8 << 20
)

// discardBody flushes the refusal and then reads the rest of the body. The kernel resets
// a connection that is closed with unread bytes, and a caller that is still sending
// would then not receive the refusal.
func discardBody(control *http.ResponseController, body io.Reader) {
	_ = control.Flush()
	_ = control.SetReadDeadline(time.Now().Add(discardTimeout))
	_, _ = io.CopyN(io.Discard, body, maxDiscardedBytes)
}

// check returns why a request is refused before its body is read, or ReasonNone. decoded
// is the result of decodeRequest.
func (h *requestHandler) check(r *http.Request, decoded bool) model.Reason {
	size := len(r.RequestURI)
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value)
		}
	}
	switch {
	case size > h.maxHeaderBytes:
		return model.ReasonTooLarge
	case !decoded:
		return model.ReasonBadRequest
	}
	return model.ReasonNone
}

// decodeRequest decodes the headers of a request. It reports false if the timeout cannot
// be decoded. An invalid attempt number is returned as -1.
func decodeRequest(r *http.Request) (in request.Incoming, ok bool) {
	in = request.Incoming{
		Host: hostName(r.Host), Method: r.Method, Path: r.URL.Path,
		Key: r.Header.Get(HeaderKey), Length: r.ContentLength,
	}
	if v := r.Header.Get(HeaderAttempt); v != "" {
		n, err := strconv.Atoi(v)
		if err != nil || n < 1 {
			n = -1
		}
		in.Attempt = n
	}
	if v := r.Header.Get(HeaderRequestTimeout); v != "" {
		ms, err := strconv.ParseInt(v, 10, 64)
		if err != nil {
			return in, false
		}
		const maxTimeoutMs = int64(time.Hour / time.Millisecond)
		in.HasTimeout, in.Timeout = true, time.Duration(min(max(ms, -1), maxTimeoutMs))*time.Millisecond
	}
	return in, true
}

// hostName returns the Host header in lower case and without its port.
func hostName(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}

// answer implements port.CallerAnswer.
type answer struct {
	w      http.ResponseWriter
	method string
	// refused is set by Refuse. failed is set if Forward returned an error, so that the
	// answer is incomplete.
	refused, failed bool
}

// Refuse implements port.CallerAnswer.
func (a *answer) Refuse(o model.Outcome, r model.Reason, retryAfter time.Duration) {
	a.refused = true
	h := a.w.Header()
	h.Set(HeaderOutcome, o.String())
	h.Set(HeaderReason, r.String())
	if retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatInt(int64(retryAfter/time.Second), 10))
	}
	h.Set("Content-Type", "application/json")
	body, _ := json.Marshal(map[string]string{"outcome": o.String(), "reason": r.String()})
	h.Set("Content-Length", strconv.Itoa(len(body)))
	a.w.WriteHeader(refusalStatus(o, r))
	if a.method != http.MethodHead {
		_, _ = a.w.Write(body)
	}
}

// Forward implements port.CallerAnswer.
func (a *answer) Forward(status int, header map[string][]string, length int64, body io.Reader) error {
	h := a.w.Header()
	for name, values := range header {
		h[name] = values
	}
	h.Set(HeaderOutcome, model.OutcomeCompleted.String())
	h.Set(HeaderReason, model.ReasonNone.String())
	if length >= 0 && a.method != http.MethodHead {
		h.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	a.w.WriteHeader(status)
	n, err := io.Copy(a.w, body)
	if err == nil && length >= 0 && n != length {
		err = port.ErrTruncated
	}
	a.failed = err != nil
	return err
}

// refusalStatus returns the HTTP status of a refusal.
func refusalStatus(o model.Outcome, r model.Reason) int {
	switch r {
	case model.ReasonUnknownService:
		return http.StatusNotFound
	case model.ReasonMissingKey, model.ReasonBadAttempt, model.ReasonBadRequest, model.ReasonDeadlinePassed:
		if o == model.OutcomeUnknown && r == model.ReasonDeadlinePassed {
			return http.StatusGatewayTimeout
		}
		return http.StatusBadRequest
	case model.ReasonKeyReused:
		return http.StatusUnprocessableEntity
	case model.ReasonRepeatedAttempt, model.ReasonEarlierAttemptUnknown, model.ReasonInProgress, model.ReasonAlreadyCompleted:
		return http.StatusConflict
	case model.ReasonTooLarge:
		return http.StatusRequestEntityTooLarge
	case model.ReasonServerSilent:
		return http.StatusGatewayTimeout
	case model.ReasonAnswerTruncated, model.ReasonAnswerMismatch, model.ReasonServerFailed:
		return http.StatusBadGateway
	}
	return http.StatusServiceUnavailable
}

// limitedConn is a connection that returns its token to the listener when it is closed.
type limitedConn struct {
	net.Conn
	once    sync.Once
	release func()
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	c.once.Do(c.release)
	return c.Conn.Close()
}
