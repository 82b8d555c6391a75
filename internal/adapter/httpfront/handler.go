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

// Headers between callers and instances.
const (
	HeaderKey     = "Idempotency-Key"
	HeaderAttempt = "Attempt"
	HeaderTimeout = "Request-Timeout-Ms"
	HeaderOutcome = "Outcome"
	HeaderReason  = "Outcome-Reason"
)

type front struct {
	handler   port.RequestServer
	recorder  port.Recorder
	maxHeader int
}

func (f *front) serve(w http.ResponseWriter, r *http.Request) {
	a := &answer{w: w, method: r.Method}
	control := http.NewResponseController(w)
	// Without it, net/http reads up to 256 kB of the body before it sends an
	// answer, while the body may still be streamed to a server.
	_ = control.EnableFullDuplex()
	defer func() {
		if a.refused && r.ContentLength != 0 {
			discard(control, r.Body)
		}
	}()
	in, ok := incoming(r)
	if reason := f.check(r, ok); reason != model.ReasonNone {
		// An earlier attempt with the key may have run.
		outcome := model.OutcomeNotRun
		if in.Key != "" && in.Attempt != 1 {
			outcome = model.OutcomeUnknown
		}
		if f.recorder != nil {
			f.recorder.Count("request", reason)
		}
		a.Refuse(outcome, reason)
		return
	}
	f.handler.Serve(r.Context(), &port.CallerRequest{
		Incoming: in,
		Target:   r.URL.RequestURI(),
		Header:   r.Header,
		Body:     r.Body,
		SetBodyTimeout: func(after time.Duration) {
			_ = control.SetReadDeadline(time.Now().Add(after))
		},
	}, a)
	if a.failed {
		// The answer is incomplete: only a broken connection tells the caller.
		panic(http.ErrAbortHandler)
	}
}

// Limits of what is read of a refused body.
const (
	discardTime  = time.Second
	discardBytes = 8 << 20
)

// discard sends the refusal and then reads the rest of the body. A connection
// that is closed with unread bytes is reset, and a caller that is still sending
// would lose the refusal.
func discard(control *http.ResponseController, body io.Reader) {
	_ = control.Flush()
	_ = control.SetReadDeadline(time.Now().Add(discardTime))
	_, _ = io.CopyN(io.Discard, body, discardBytes)
}

// check returns why the head of a request is refused, or ReasonNone.
func (f *front) check(r *http.Request, decoded bool) model.Reason {
	size := len(r.RequestURI)
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value)
		}
	}
	switch {
	case size > f.maxHeader:
		return model.ReasonTooLarge
	case !decoded:
		return model.ReasonBadRequest
	}
	return model.ReasonNone
}

// incoming decodes the headers of a request. It reports false if one of them
// cannot be decoded.
func incoming(r *http.Request) (in request.Incoming, ok bool) {
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
	if v := r.Header.Get(HeaderTimeout); v != "" {
		ms, err := strconv.ParseInt(v, 10, 64)
		if err != nil {
			return in, false
		}
		const longest = int64(time.Hour / time.Millisecond)
		in.HasTimeout, in.Timeout = true, time.Duration(min(max(ms, -1), longest))*time.Millisecond
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
	// refused and failed say how the answer ended.
	refused, failed bool
}

// Refuse implements port.CallerAnswer.
func (a *answer) Refuse(o model.Outcome, r model.Reason) {
	a.refused = true
	h := a.w.Header()
	h.Set(HeaderOutcome, o.String())
	h.Set(HeaderReason, r.String())
	h.Set("Content-Type", "application/json")
	body, _ := json.Marshal(map[string]string{"outcome": o.String(), "reason": r.String()})
	h.Set("Content-Length", strconv.Itoa(len(body)))
	a.w.WriteHeader(status(o, r))
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

// status returns the HTTP status of a refusal.
func status(o model.Outcome, r model.Reason) int {
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

// limitedConn gives its place back when it is closed.
type limitedConn struct {
	net.Conn
	once sync.Once
	free func()
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	c.once.Do(c.free)
	return c.Conn.Close()
}
