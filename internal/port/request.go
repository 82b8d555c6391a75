package port

import (
	"context"
	"io"
	"net/netip"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/core/request"
)

// Methods between instances that the request worker calls and answers. The
// typed messages are in core/request.
const (
	MethodAdmit   = "request.admit"
	MethodReport  = "request.report"
	MethodAcquire = "slot.acquire"
	MethodRelease = "slot.release"
)

// ErrBodyTooLarge means that a body is over the limit of its service.
var ErrBodyTooLarge = merry.Sentinel("body too large")

// CallerRequest is a request as the front end hands it to the request worker.
type CallerRequest struct {
	Incoming request.Incoming
	// Target is the path with the query.
	Target string
	// Header holds the headers that are passed on to the server.
	Header map[string][]string
	Body   io.Reader
	// LimitBody makes reads of Body fail after the given time; it may be nil.
	LimitBody func(after time.Duration)
}

// CallerAnswer sends the one answer of a request to its caller.
type CallerAnswer interface {
	// Refuse answers without an answer of a server.
	Refuse(outcome model.Outcome, reason model.Reason)
	// Forward sends a server's answer. Length is -1 if it is not known. If the
	// body fails, the caller's connection is aborted and the error returned, so
	// that the caller never takes a truncated answer as whole.
	Forward(status int, header map[string][]string, length int64, body io.Reader) error
}

// RequestServer serves one request and returns once it has been answered. The
// context ends when the caller closes its connection.
type RequestServer interface {
	Serve(ctx context.Context, req *CallerRequest, answer CallerAnswer)
}

// BackendRequest is one dispatch of a request to a server.
type BackendRequest struct {
	Address netip.AddrPort
	// RequestID identifies the dispatch; the server repeats it.
	RequestID string
	Host      string
	Method    string
	Target    string
	// Key is the Idempotency-Key, or empty.
	Key    string
	Header map[string][]string
	Body   io.Reader
	// Length is the length of the body, or -1 if it is not known.
	Length int64
	// Remaining is the time that the caller still waits.
	Remaining time.Duration
	// NotAfter is the last moment at which the first byte may be sent.
	NotAfter model.Time
	// ResponseTimeout bounds the wait for the head of the answer.
	ResponseTimeout time.Duration
	// Fresh asks for a new connection.
	Fresh bool
}

// BackendAnswer is the head of a server's answer, or the reason why none came.
type BackendAnswer struct {
	Result request.Result
	Status int
	Header map[string][]string
	// Length is -1 if the body is chunked.
	Length int64
	// Body gives ErrTruncated if it ends early. It must be closed; closing it
	// before its end cancels the request at the server.
	Body io.ReadCloser
	// TooLate is set with NotSent if NotAfter had passed.
	TooLate bool
	// Err explains a Result other than Answered.
	Err error
}

// BackendCaller sends requests to backend servers. It never sends a request a
// second time.
type BackendCaller interface {
	Call(ctx context.Context, req BackendRequest) BackendAnswer
}

// HealthObserver takes observations of servers. It never blocks.
type HealthObserver interface {
	ObserveServer(o request.Observation)
}
