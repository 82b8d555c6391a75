package requests_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/savorytiller/savorytiller/internal/core/request"
)

// Guards against a repeated request that runs again through another instance, against
// an answer that belongs to another request, and against wrong headers between the
// caller, the instances and the server.
func TestAtMostOnceAndWholeAnswerOverTwoInstances(t *testing.T) {
	var runs, badHeaders atomic.Int32
	fleet := startFleet(t, 2, withRequestID(func(w http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		remaining, err := strconv.Atoi(r.Header.Get("Request-Timeout-Ms"))
		if err != nil || remaining < 1 || remaining > 3_600_000 || r.Header.Get("Idempotency-Key") == "" || r.Header.Get("Attempt") != "" {
			badHeaders.Add(1)
		}
		echo(w, r)
	}), request.Settings{})
	for i := range 20 {
		key := fmt.Sprint("batch-", i)
		require.Equal(t, response{200, "completed", "none", key, nil}, fleet.post(key, 1, key))
		require.Equal(t, response{200, "completed", "none", key, nil}, fleet.post(key, 2, key), "the stored answer")
		reused := fleet.post(key, 3, "other content")
		require.Equal(t, []any{422, "not-run", "key_reused"}, []any{reused.status, reused.outcome, reused.reason})
	}
	require.EqualValues(t, 20, runs.Load())
	require.Zero(t, badHeaders.Load(), "requests with wrong headers at the server")
}

// Guards against an answer that is truncated or belongs to another request but is
// forwarded as complete, and against net/http sending a non-idempotent request again
// when a reused connection breaks.
func TestWholeAnswerAndAtMostOnceWithBrokenServers(t *testing.T) {
	var posts, gets atomic.Int32
	fleet := startFleet(t, 1, func(w http.ResponseWriter, r *http.Request) {
		if r.Method == "POST" {
			posts.Add(1)
		} else {
			gets.Add(1)
		}
		path := r.URL.Path
		if path != "/foreign" && r.Header.Get("Idempotency-Key") != "foreign" {
			w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
		}
		body, _ := io.ReadAll(r.Body)
		switch {
		case path == "/short", string(body) == "short":
			w.Header().Set("Content-Length", "100")
			_, _ = io.WriteString(w, "only this")
		case path == "/long":
			w.Header().Set("Content-Length", "300000")
			_, _ = w.Write(make([]byte, 200_000))
		case path == "/chunked":
			_, _ = w.Write(make([]byte, 200_000))
			panic(http.ErrAbortHandler)
		case path == "/checks/broken":
			closeConnection(w)
		}
	}, request.Settings{})
	ctx := context.Background()

	a := fleet.post("short", 1, "short")
	require.Equal(t, []any{502, "outcome-unknown", "answer_truncated"}, []any{a.status, a.outcome, a.reason})
	a = fleet.post("foreign", 1, "")
	require.Equal(t, []any{502, "outcome-unknown", "answer_mismatch"}, []any{a.status, a.outcome, a.reason})
	a = fleet.send(ctx, 0, "GET", "/short", nil)
	require.Equal(t, []any{502, "answer_truncated"}, []any{a.status, a.reason})
	require.EqualValues(t, request.MaxDispatches, gets.Load(), "dispatches of an idempotent request")
	for _, path := range []string{"/long", "/chunked"} {
		a = fleet.send(ctx, 0, "GET", path, nil)
		require.ErrorIs(t, a.err, io.ErrUnexpectedEOF, "the caller must see that a streamed answer is incomplete")
	}

	for i := range 5 { // the first request leaves an idle connection, which the second one reuses
		require.Equal(t, 200, fleet.post(fmt.Sprint("whole-", i), 1, "").status)
		posts.Store(0)
		broken := func(attempt string) response {
			return fleet.send(ctx, 0, "POST", "/checks/broken", nil, "Idempotency-Key", fmt.Sprint("broken-", i), "Attempt", attempt)
		}
		a = broken("1")
		require.Equal(t, []any{502, "outcome-unknown", "server_failed"}, []any{a.status, a.outcome, a.reason})
		require.EqualValues(t, 1, posts.Load())
		a = broken("2")
		require.Equal(t, []any{409, "outcome-unknown", "earlier_attempt_unknown"}, []any{a.status, a.outcome, a.reason})
		require.EqualValues(t, 1, posts.Load())
	}
}

// Guards against "not run" for a request that may have run, and against an attempt that
// is not permitted although the earlier one was shed. Only a request that was shed, or
// whose server could not be reached, counts as not run.
func TestNotRunAfterShedAndRefusedConnection(t *testing.T) {
	var runs, sheds atomic.Int32
	fleet := startFleet(t, 1, withRequestID(func(w http.ResponseWriter, r *http.Request) {
		if sheds.Add(-1) >= 0 {
			w.Header().Set("Request-Shed", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		runs.Add(1)
		echo(w, r)
	}), request.Settings{})
	sheds.Store(100)
	a := fleet.post("k", 1, "x")
	require.Equal(t, []any{503, "not-run"}, []any{a.status, a.outcome})
	require.Zero(t, runs.Load())
	sheds.Store(0)
	require.Equal(t, response{200, "completed", "none", "x", nil}, fleet.post("k", 2, "x"), "attempt 1 did not run, so the owner permits attempt 2")
	require.EqualValues(t, 1, runs.Load())

	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, l.Close())
	fleet = startFleetWithServer(t, 1, l.Addr(), request.Settings{})
	a = fleet.post("k", 1, "x")
	require.Equal(t, []any{"not-run"}, []any{a.outcome}, a.reason)
}

// Guards against a request that never ends because its server does not respond, and
// against a second transmission of a non-idempotent request in this case.
func TestAtMostOnceWithSilentServer(t *testing.T) {
	var posts, gets atomic.Int32
	fleet := startFleet(t, 1, withRequestID(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == "POST" {
			posts.Add(1)
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
		} else if gets.Add(1) == 1 {
			<-r.Context().Done()
		}
	}), request.Settings{ResponseTimeout: 50 * time.Millisecond})
	require.Equal(t, response{200, "completed", "none", "", nil}, fleet.send(context.Background(), 0, "GET", "/status", nil))
	require.EqualValues(t, 2, gets.Load(), "the first dispatch gets no response, the second one is answered")
	a := fleet.send(context.Background(), 0, "POST", "/checks/1", strings.NewReader("x"), "Idempotency-Key", "k", "Attempt", "1", "Request-Timeout-Ms", "100")
	require.Equal(t, "outcome-unknown", a.outcome)
	require.EqualValues(t, 1, posts.Load())
}

// Guards against a server that continues to process a request whose caller has
// disconnected.
func TestCancellationReachesServer(t *testing.T) {
	started, cancelled := make(chan struct{}), make(chan struct{})
	fleet := startFleet(t, 1, withRequestID(func(w http.ResponseWriter, r *http.Request) {
		close(started)
		<-r.Context().Done()
		close(cancelled)
	}), request.Settings{ResponseTimeout: time.Hour})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan response)
	go func() { done <- fleet.send(ctx, 0, "GET", "/status", nil) }()
	<-started
	cancel()
	require.Error(t, (<-done).err)
	<-cancelled // blocks until the test times out if the request is not cancelled
}

// Guards against an upload that is buffered completely before it is sent to the server.
func TestUploadIsStreamed(t *testing.T) {
	const part, total = 256 << 10, 2 << 20
	began := make(chan struct{})
	fleet := startFleet(t, 1, withRequestID(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.CopyN(io.Discard, r.Body, part/2)
		close(began)
		n, _ := io.Copy(io.Discard, r.Body)
		fmt.Fprint(w, n+part/2)
	}), request.Settings{})
	reader, writer := io.Pipe()
	go func() {
		_, _ = writer.Write(make([]byte, part))
		<-began // the server has read from the first part before the caller sends the rest
		_, _ = writer.Write(make([]byte, total-part))
		_ = writer.Close()
	}()
	a := fleet.send(context.Background(), 0, "POST", "/checks/1", reader, "Idempotency-Key", "k", "Attempt", "1")
	require.Equal(t, response{200, "completed", "none", fmt.Sprint(total), nil}, a)
}

// Guards against a shutdown that interrupts a request in progress or accepts new ones.
func TestGracefulShutdownFinishesRequestsInProgress(t *testing.T) {
	started, finish := make(chan struct{}), make(chan struct{})
	fleet := startFleet(t, 1, withRequestID(func(w http.ResponseWriter, r *http.Request) {
		close(started)
		<-finish
		echo(w, r)
	}), request.Settings{})
	first, drained := make(chan response), make(chan error, 1)
	go func() { first <- fleet.post("k1", 1, "one") }()
	<-started
	go func() { drained <- fleet.workers[0].Drain(context.Background()) }()
	require.Eventually(t, func() bool {
		a := fleet.send(context.Background(), 0, "GET", "/refused-during-shutdown", nil, "Request-Timeout-Ms", "1")
		return a.outcome == "not-run" && a.reason == "shutting_down"
	}, time.Minute, time.Millisecond)
	require.Empty(t, drained, "a request is still in progress")
	close(finish)
	require.Equal(t, response{200, "completed", "none", "one", nil}, <-first)
	require.NoError(t, <-drained)
}

// Guards against invalid requests that are refused with a wrong status or reason, and
// against "not run" for a later attempt when an earlier one may have run.
func TestNotRunOnlyForFirstAttemptsOfBadRequests(t *testing.T) {
	fleet := startFleet(t, 1, withRequestID(echo), request.Settings{})
	big := strings.NewReader(strings.Repeat("x", 5<<20))
	for _, c := range []struct {
		name   string
		body   io.Reader
		header []string
		want   string
	}{
		{"no key", nil, nil, "400 not-run missing_key"},
		{"no attempt", nil, []string{"Idempotency-Key", "a"}, "400 outcome-unknown bad_attempt"},
		{"attempt zero", nil, []string{"Idempotency-Key", "a", "Attempt", "0"}, "400 outcome-unknown bad_attempt"},
		{"attempt not a number", nil, []string{"Idempotency-Key", "a", "Attempt", "one"}, "400 outcome-unknown bad_attempt"},
		{"long key", nil, []string{"Idempotency-Key", strings.Repeat("k", 65), "Attempt", "1"}, "400 not-run bad_request"},
		{"deadline in the past", nil, []string{"Idempotency-Key", "b", "Attempt", "1", "Request-Timeout-Ms", "-5"}, "400 not-run deadline_passed"},
		{"deadline in the past, repeated", nil, []string{"Idempotency-Key", "c", "Attempt", "2", "Request-Timeout-Ms", "0"}, "504 outcome-unknown deadline_passed"},
		{"timeout not a number", nil, []string{"Idempotency-Key", "d", "Attempt", "1", "Request-Timeout-Ms", "soon"}, "400 not-run bad_request"},
		{"large body", big, []string{"Idempotency-Key", "e", "Attempt", "1"}, "413 not-run too_large"},
		{"large header", nil, []string{"Idempotency-Key", "f", "Attempt", "1", "X", strings.Repeat("x", 20_000)}, "413 not-run too_large"},
		{"unknown key repeated", nil, []string{"Idempotency-Key", "g", "Attempt", "2"}, "409 outcome-unknown earlier_attempt_unknown"},
	} {
		a := fleet.send(context.Background(), 0, "POST", "/checks/1", c.body, c.header...)
		require.NoError(t, a.err, c.name)
		require.Equal(t, c.want, fmt.Sprint(a.status, " ", a.outcome, " ", a.reason), c.name)
	}
}
