package requests_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/savorytiller/savorytiller/internal/core/request"
)

// First characters of bodies, which tell a repeatingServer when to send the second copy.
const (
	copyInSegment = '1' // in the segment of the answer
	copyWhileIdle = '2' // after the answer
	copyWhileBusy = '3' // after the beginning of the next request
)

// repeatingServer answers each request over a raw connection and sends a second copy of each
// answer.
type repeatingServer struct {
	listener net.Listener
	// withID is whether the copies have the Request-Id of the request.
	withID bool
	// received holds the bodies of the requests that arrived.
	received sync.Map
}

func startRepeatingServer(t *testing.T, withID bool) *repeatingServer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &repeatingServer{listener: l, withID: withID}
	var group sync.WaitGroup
	t.Cleanup(func() { _ = l.Close(); group.Wait() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			group.Add(1)
			go func() { defer group.Done(); s.serve(c) }()
		}
	}()
	return s
}

func (s *repeatingServer) serve(c net.Conn) {
	defer c.Close()
	reader, late := bufio.NewReader(c), ""
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, late) // the request has begun, its answer has not
		body, err := io.ReadAll(r.Body)
		if err != nil || len(body) == 0 {
			return // the client took the late copy for an answer and left
		}
		s.received.Store(string(body), true)
		text := func(id string) string {
			return fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", id, len(body), body)
		}
		id := "Request-Id: " + r.Header.Get("Request-Id") + "\r\n"
		answer, repeated := text(id), text("")
		if s.withID {
			repeated = answer
		}
		late = ""
		switch body[0] {
		case copyInSegment:
			answer += repeated
		case copyWhileBusy:
			late = repeated
		}
		if _, err := io.WriteString(c, answer); err != nil {
			return
		}
		if body[0] == copyWhileIdle {
			time.Sleep(time.Millisecond)
			_, _ = io.WriteString(c, repeated)
		}
	}
}

// Guards against a second copy of an answer that arrives on a connection in use again and
// reaches the next caller as its answer.
func TestWholeAnswerWithLateCopiesOfAnswers(t *testing.T) {
	for _, withID := range []bool{true, false} {
		server := startRepeatingServer(t, withID)
		fleet := startFleetWithServer(t, 1, server.listener.Addr(), request.Settings{})
		completed := 0
		for i := range 60 {
			// All bodies have the same length, so that the copies differ in content only.
			body := fmt.Sprintf("%d answer %04d", 1+i%3, i)
			a := fleet.post(fmt.Sprint("key-", i), 1, body)
			switch a.outcome {
			case "completed":
				completed++
				require.Equal(t, body, a.body, "copies with id: %v", withID)
			case "not-run":
				_, received := server.received.Load(body)
				require.False(t, received, "%s: the server had the request", a.reason)
			default:
				require.Equal(t, "outcome-unknown", a.outcome)
			}
		}
		require.Greater(t, completed, 20, "copies with id: %v", withID)
	}
}

// Guards against a broken answer that a caller takes for complete: an HTTP/1.0 caller knows
// the end of an answer of unknown length only by the end of the connection.
func TestWholeAnswerIsNotTruncatedForHTTP10Callers(t *testing.T) {
	fleet := startFleet(t, 1, withRequestID(func(w http.ResponseWriter, r *http.Request) {
		_, _ = w.Write(make([]byte, 200_000))
		if r.URL.Path == "/broken" {
			panic(http.ErrAbortHandler)
		}
	}), request.Settings{})
	for path, broken := range map[string]bool{"/whole": false, "/broken": true} {
		c, err := net.Dial("tcp", strings.TrimPrefix(fleet.urls[0], "http://"))
		require.NoError(t, err)
		_, err = fmt.Fprintf(c, "GET %s HTTP/1.0\r\nHost: line-control.local\r\n\r\n", path)
		require.NoError(t, err)
		data, err := io.ReadAll(c)
		if broken {
			require.Error(t, err, "%d bytes were read", len(data))
		} else {
			require.NoError(t, err)
			require.Greater(t, len(data), 200_000)
		}
		_ = c.Close()
	}
}

// Guards against requests on open connections that get no answer while an instance stops:
// callers must be told to leave their connections before these are closed.
func TestGracefulShutdownAnswersRequestsOnOpenConnections(t *testing.T) {
	fleet := startFleet(t, 1, withRequestID(echo), request.Settings{})
	const callers = 40
	var group sync.WaitGroup
	failures := make(chan error, callers)
	started := make(chan struct{}, callers)
	for range callers {
		group.Add(1)
		go func() {
			defer group.Done()
			failures <- fleet.requestUntilClosed(started)
		}()
	}
	for range callers {
		<-started
	}
	require.NoError(t, fleet.workers[0].Drain(context.Background()))
	require.NoError(t, fleet.fronts[0].Shutdown(context.Background()))
	group.Wait()
	close(failures)
	for err := range failures {
		require.NoError(t, err)
	}
}

// requestUntilClosed sends requests over one connection until an answer says that it will be
// closed. It returns an error if a request gets no answer.
func (f *testFleet) requestUntilClosed(started chan<- struct{}) error {
	c, err := net.Dial("tcp", strings.TrimPrefix(f.urls[0], "http://"))
	if err != nil {
		return err
	}
	defer c.Close()
	reader := bufio.NewReader(c)
	for i := 0; ; i++ {
		if _, err := io.WriteString(c, "GET /status HTTP/1.1\r\nHost: line-control.local\r\n\r\n"); err != nil {
			return err
		}
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			return fmt.Errorf("request %d got no answer: %w", i, err)
		}
		_, _ = io.Copy(io.Discard, response.Body)
		if i == 0 {
			started <- struct{}{}
		}
		if response.Close {
			return nil
		}
	}
}
