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

// Methods that the request workers of the instances call on each other. The typed
// messages are in core/request.
const (
	MethodAdmit   = "request.admit"
	MethodReport  = "request.report"
	MethodAcquire = "slot.acquire"
	MethodRelease = "slot.release"
)

// ErrBodyTooLarge means that a body exceeds the limit of its service.
var ErrBodyTooLarge = merry.Sentinel("body too large")

// CallerRequest is a request of a caller as the front end passes it to the request
// worker.
type CallerRequest struct {
	Incoming request.Incoming
	// Target is the path with the query.
	Target string
	// Header holds the headers that are forwarded to the server.
	Header map[string][]string
	Body   io.Reader
	// SetBodyTimeout makes reads of Body fail once the given time has passed; it
	// may be nil.
	SetBodyTimeout func(after time.Duration)
}

// CallerAnswer sends the answer to a request to its caller, once per request.
type CallerAnswer interface {
	// Refuse answers with the outcome and the reason, without a server's answer. retryAfter is
	// the delay after which the caller should try again, in whole seconds; 0 for none.
	Refuse(outcome model.Outcome, reason model.Reason, retryAfter time.Duration)
	// Forward sends a server's answer. Length is in bytes, -1 if unknown. If
	// reading the body fails, Forward aborts the caller's connection and returns
	// the error, so that the caller never takes a truncated answer for a complete
	// one.
	Forward(status int, header map[string][]string, length int64, body io.Reader) error
}

// RequestServer serves one request and returns once it has been answered. The
// context ends when the caller closes its connection.
type RequestServer interface {
	Serve(ctx context.Context, req *CallerRequest, answer CallerAnswer)
}

// BackendRequest is one attempt to send a request to a server.
type BackendRequest struct {
	Address netip.AddrPort
	// RequestID identifies the attempt; the server returns it in its answer.
	RequestID string
	Host      string
	Method    string
	Target    string
	// Key is the value of the Idempotency-Key header, or empty.
	Key    string
	Header map[string][]string
	Body   io.Reader
	// Length is the length of the body in bytes, or -1 if unknown.
	Length int64
	// Remaining is how much longer the caller waits.
	Remaining time.Duration
	// NotAfter is the latest time at which the first byte may be sent.
	NotAfter model.Time
	// ResponseTimeout limits the wait for the status line and headers of the answer.
	ResponseTimeout time.Duration
	// NewConnection requests a new connection instead of a reused one.
	NewConnection bool
}

// BackendAnswer is the status, headers and body of a server's answer, or the reason
// why there is none.
type BackendAnswer struct {
	Result request.Result
	Status int
	Header map[string][]string
	// Length is -1 if the body is chunked.
	Length int64
	// Body returns ErrTruncated if it ends early. It must be closed; closing it
	// before its end cancels the request at the server.
	Body io.ReadCloser
	// TooLate is set along with Result NotSent if NotAfter had passed.
	TooLate bool
	// Err is the cause of a Result other than Answered.
	Err error
}

// BackendCaller sends requests to backend servers. It never retries a request.
type BackendCaller interface {
	Call(ctx context.Context, req BackendRequest) BackendAnswer
}

// HealthObserver receives the observations of servers by the request worker. It
// never blocks.
type HealthObserver interface {
	ObserveServer(o request.Observation)
}
