package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/savorytiller/savorytiller/internal/standin/deployment"
	"github.com/savorytiller/savorytiller/internal/standin/wire"
)

// maxTransmissions is the maximum number of transmissions of one operation, including
// those that could not connect.
const maxTransmissions = 8

// outcome is the value of the Outcome header of a response.
type outcome string

const (
	completed outcome = "completed"
	notRun    outcome = "not-run"
	unknown   outcome = "outcome-unknown"
)

// Reasons of attempts whose connection broke.
const (
	reasonConnection = "connection broken"
	reasonTruncated  = "answer cut off"
)

// attempt is one transmission of an operation.
type attempt struct {
	// operation is the key, or the URI of an idempotent request.
	operation string
	sentAt    time.Time
	outcome   outcome
	reason    string
}

// operationResult is the result of one operation with all its attempts.
type operationResult struct {
	service    string
	class      string
	idempotent bool
	startedAt  time.Time
	duration   time.Duration
	outcome    outcome
	attempts   []attempt
	// responseError is set if a response was incomplete or belongs to another request.
	responseError string
}

// operation sends one request and retries it as the rules for callers allow.
type operation struct {
	service *deployment.Service
	kind    *deployment.RequestKind
	client  *http.Client
	targets func() []string // request addresses of the live instances
	random  *rand.Rand
	id      string
	body    []byte
	result  operationResult
}

// run sends the request until it is completed, the request timeout of the service has
// passed or maxTransmissions is reached.
func (o *operation) run(ctx context.Context) operationResult {
	limit := time.Duration(o.service.RequestTimeoutMs) * time.Millisecond
	o.result = operationResult{service: o.service.Name, class: o.kind.Class, idempotent: o.kind.Idempotent,
		startedAt: time.Now(), outcome: notRun}
	deadline := o.result.startedAt.Add(limit)
	key, attemptNumber, keyCount := o.id, 1, 1
	for tries := 0; tries < maxTransmissions && time.Now().Before(deadline) && ctx.Err() == nil; {
		targets := o.targets()
		if len(targets) == 0 {
			o.backOff(tries)
			continue
		}
		a, transmitted := o.transmit(ctx, targets[o.random.IntN(len(targets))], key, attemptNumber, time.Until(deadline))
		if !transmitted {
			// Nothing was sent, so the next try uses the same attempt number.
			tries++
			o.backOff(tries)
			continue
		}
		tries++
		o.result.attempts = append(o.result.attempts, a)
		if a.outcome == completed {
			o.result.outcome = completed
			break
		}
		if a.outcome == unknown {
			o.result.outcome = unknown
		}
		attemptNumber++
		// A new key is allowed only while the outcome of every attempt so far is
		// not-run. One time in four the next attempt number of the same key is used
		// instead, to test that as well.
		if o.result.outcome == notRun && o.random.IntN(4) > 0 {
			keyCount++
			key, attemptNumber = fmt.Sprintf("%s.%d", o.id, keyCount), 1
		}
		o.backOff(tries)
	}
	o.result.duration = time.Since(o.result.startedAt)
	return o.result
}

// backOff waits before the next transmission: an exponential delay with jitter.
func (o *operation) backOff(tries int) {
	base := 20 * time.Millisecond << min(tries, 5)
	time.Sleep(base/2 + time.Duration(o.random.Int64N(int64(base))))
}

// transmit sends one attempt and returns its outcome, and false if no byte was sent.
func (o *operation) transmit(ctx context.Context, target, key string, attemptNumber int, remaining time.Duration) (attempt, bool) {
	uri := fmt.Sprintf("%s/%s", o.kind.PathPrefix, o.id)
	a := attempt{operation: uri, sentAt: time.Now(), outcome: unknown}
	// The caller waits longer than the timeout in its header, so that a response
	// sent at the deadline still arrives.
	ctx, cancel := context.WithTimeout(ctx, remaining+500*time.Millisecond)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, o.kind.Method, "http://"+target+uri, bytes.NewReader(o.body))
	if err != nil {
		return a, false
	}
	// Without GetBody net/http cannot retry the request by itself. It would treat
	// the Idempotency-Key as permission and send the same attempt number twice.
	request.GetBody = nil
	request.Host = o.service.Host
	request.Header.Set("Request-Timeout-Ms", strconv.FormatInt(max(1, remaining.Milliseconds()), 10))
	if o.kind.Idempotent {
		key = ""
	} else {
		a.operation = key
		request.Header.Set("Idempotency-Key", key)
		request.Header.Set("Attempt", strconv.Itoa(attemptNumber))
	}
	// net/http retries a request without a body by itself when a connection breaks.
	// If the second connection is refused, the error looks as if nothing had been
	// sent, so a request counts as sent once it has got any connection.
	var gotConnection atomic.Bool
	request = request.WithContext(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { gotConnection.Store(true) }}))
	response, err := o.client.Do(request)
	if err != nil {
		a.reason = reasonConnection
		if ctx.Err() != nil {
			a.reason = "no answer in time"
		}
		return a, gotConnection.Load()
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		a.reason = reasonTruncated
		return a, true
	}
	a.reason = response.Header.Get("Outcome-Reason")
	a.outcome = outcome(response.Header.Get("Outcome"))
	switch a.outcome {
	case notRun, unknown:
	case completed:
		if response.StatusCode != http.StatusOK {
			a.outcome, a.reason = unknown, "status "+strconv.Itoa(response.StatusCode)
			break
		}
		o.checkResponse(body, uri, key)
	default:
		a.outcome, a.reason = unknown, "no outcome header"
	}
	return a, true
}

// checkResponse checks that a response is complete and belongs to the request.
func (o *operation) checkResponse(body []byte, uri, key string) {
	var decoded wire.ResponseBody
	want := fmt.Sprintf("%016x", wire.RequestDigest(o.service.Host, o.kind.Method, uri, key, xxhash.Sum64(o.body)))
	switch err := json.Unmarshal(body, &decoded); {
	case err != nil:
		o.result.responseError = "truncated or malformed answer: " + err.Error()
	case decoded.Digest != want:
		o.result.responseError = fmt.Sprintf("answer to another request: digest %s instead of %s", decoded.Digest, want)
	case len(decoded.Pad) != o.kind.ResponsePadding:
		o.result.responseError = fmt.Sprintf("answer has %d instead of %d bytes of padding", len(decoded.Pad), o.kind.ResponsePadding)
	}
}
