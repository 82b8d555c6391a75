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

// maxTransmissions bounds the attempts of one operation.
const maxTransmissions = 8

type outcome string

const (
	completed outcome = "completed"
	notRun    outcome = "not-run"
	unknown   outcome = "outcome-unknown"
)

// Reasons of attempts whose connection broke.
const (
	reasonConnection = "connection broken"
	reasonCutOff     = "answer cut off"
)

// attempt is one transmission of an operation.
type attempt struct {
	// operation is the key, or the URI of an idempotent request.
	operation string
	sentAt    time.Time
	outcome   outcome
	reason    string
}

// operationResult is what the ledger learns about an operation.
type operationResult struct {
	service    string
	class      string
	idempotent bool
	started    time.Time
	took       time.Duration
	outcome    outcome
	attempts   []attempt
	// wrong is set if an answer was not the whole answer to the request.
	wrong string
}

// operation sends one request and repeats it as the contract with callers allows.
type operation struct {
	service *deployment.Service
	kind    *deployment.RequestKind
	client  *http.Client
	targets func() []string
	random  *rand.Rand
	id      string
	body    []byte
	result  operationResult
}

func (o *operation) run(ctx context.Context) operationResult {
	limit := time.Duration(o.service.RequestTimeoutMs) * time.Millisecond
	o.result = operationResult{service: o.service.Name, class: o.kind.Class, idempotent: o.kind.Idempotent,
		started: time.Now(), outcome: notRun}
	deadline := o.result.started.Add(limit)
	key, number, keys := o.id, 1, 1
	for sent := 0; sent < maxTransmissions && time.Now().Before(deadline) && ctx.Err() == nil; {
		targets := o.targets()
		if len(targets) == 0 {
			o.pause(sent)
			continue
		}
		a, transmitted := o.transmit(ctx, targets[o.random.IntN(len(targets))], key, number, time.Until(deadline))
		if !transmitted {
			// Nothing left the caller, so the attempt number is still unused.
			sent++
			o.pause(sent)
			continue
		}
		sent++
		o.result.attempts = append(o.result.attempts, a)
		if a.outcome == completed {
			o.result.outcome = completed
			break
		}
		if a.outcome == unknown {
			o.result.outcome = unknown
		}
		number++
		// A new key is allowed only while every attempt so far was not run. The
		// next attempt number is used now and then, to test that way too.
		if o.result.outcome == notRun && o.random.IntN(4) > 0 {
			keys++
			key, number = fmt.Sprintf("%s.%d", o.id, keys), 1
		}
		o.pause(sent)
	}
	o.result.took = time.Since(o.result.started)
	return o.result
}

// pause waits a jittered, growing time before the next transmission.
func (o *operation) pause(sent int) {
	base := 20 * time.Millisecond << min(sent, 5)
	time.Sleep(base/2 + time.Duration(o.random.Int64N(int64(base))))
}

// transmit sends one attempt. It reports false if no byte was sent.
func (o *operation) transmit(ctx context.Context, target, key string, number int, left time.Duration) (attempt, bool) {
	uri := fmt.Sprintf("%s/%s", o.kind.PathPrefix, o.id)
	a := attempt{operation: uri, sentAt: time.Now(), outcome: unknown}
	// The caller waits a little longer than it says, for the answer to arrive.
	ctx, cancel := context.WithTimeout(ctx, left+500*time.Millisecond)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, o.kind.Method, "http://"+target+uri, bytes.NewReader(o.body))
	if err != nil {
		return a, false
	}
	// Without GetBody net/http cannot repeat the request on its own; it would
	// treat the Idempotency-Key as permission and reuse the attempt number.
	request.GetBody = nil
	request.Host = o.service.Host
	request.Header.Set("Request-Timeout-Ms", strconv.FormatInt(max(1, left.Milliseconds()), 10))
	if o.kind.Idempotent {
		key = ""
	} else {
		a.operation = key
		request.Header.Set("Idempotency-Key", key)
		request.Header.Set("Attempt", strconv.Itoa(number))
	}
	// net/http repeats a request without a body on its own when a connection
	// breaks. If the second connection is refused, the error looks as if nothing
	// had been sent, so the trace decides.
	var connected atomic.Bool
	request = request.WithContext(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}))
	response, err := o.client.Do(request)
	if err != nil {
		a.reason = reasonConnection
		if ctx.Err() != nil {
			a.reason = "no answer in time"
		}
		return a, connected.Load()
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		a.reason = reasonCutOff
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
		o.check(body, uri, key)
	default:
		a.outcome, a.reason = unknown, "no outcome header"
	}
	return a, true
}

// check compares an answer with the request that it should belong to.
func (o *operation) check(body []byte, uri, key string) {
	var answer wire.ResponseBody
	want := fmt.Sprintf("%016x", wire.RequestDigest(o.service.Host, o.kind.Method, uri, key, xxhash.Sum64(o.body)))
	switch err := json.Unmarshal(body, &answer); {
	case err != nil:
		o.result.wrong = "truncated or malformed answer: " + err.Error()
	case answer.Digest != want:
		o.result.wrong = fmt.Sprintf("answer to another request: digest %s instead of %s", answer.Digest, want)
	case len(answer.Pad) != o.kind.ResponsePadding:
		o.result.wrong = fmt.Sprintf("answer has %d instead of %d bytes of padding", len(answer.Pad), o.kind.ResponsePadding)
	}
}
