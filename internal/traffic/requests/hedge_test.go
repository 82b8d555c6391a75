package requests_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/savorytiller/savorytiller/internal/adapter/backendhttp"
	"github.com/savorytiller/savorytiller/internal/adapter/httpfront"
	"github.com/savorytiller/savorytiller/internal/adapter/metrics"
	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/core/request"
	"github.com/savorytiller/savorytiller/internal/core/view"
	"github.com/savorytiller/savorytiller/internal/traffic/requests"
)

// shiftedClock is the wall clock plus a time that the test adds.
type shiftedClock struct {
	start time.Time
	shift atomic.Int64
}

func (c *shiftedClock) Now() model.Time {
	return model.Time(time.Since(c.start) + time.Duration(c.shift.Load()))
}

// startHedgingInstance starts an instance with two servers.
func startHedgingInstance(t *testing.T, clock *shiftedClock, server http.HandlerFunc) (*testFleet, *metrics.Recorder) {
	self := model.Member{ID: "halle-a-1", Zone: "halle-a", Incarnation: 1}
	var v *view.View
	for _, id := range []model.ServerID{"line-01", "line-02"} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		backend := &http.Server{Handler: server}
		go func() { _ = backend.Serve(l) }()
		t.Cleanup(func() { _ = backend.Close() })
		added := testView(netip.MustParseAddrPort(l.Addr().String()), self, []model.Member{self})
		if v == nil {
			v = added
			continue
		}
		second := *added.Servers["line-01"]
		second.ID = id
		v.Servers[id] = &second
		v.Config.Services[0].Servers = append(v.Config.Services[0].Servers, second.Server)
	}
	client, recorder := backendhttp.New(backendhttp.Options{Clock: clock}), metrics.New(16)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(func() { cancel(); client.Close() })
	w := requests.New(requests.Options{Clock: clock, Views: fixedView{v}, Peers: directPeerCaller{&testFleet{}, self.ID}, Backends: client, Recorder: recorder,
		Settings: request.Settings{HedgeLimit: 0.2}, Seed: 1})
	go func() { _ = w.Run(ctx) }()
	front, err := httpfront.New(httpfront.Options{Handler: w})
	require.NoError(t, err)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() { _ = front.Serve(l) }()
	t.Cleanup(func() { _ = front.Shutdown(ctx) })
	return &testFleet{urls: []string{"http://" + l.Addr().String()}, workers: []*requests.Worker{w}}, recorder
}

// Guards against a hedged request whose caller gets no answer, a part of one or a mixture of
// two, whose other dispatch is not cancelled at its server, or that is not idempotent.
func TestWholeAnswerAndAtMostOnceOfHedgedRequestsOverSockets(t *testing.T) {
	long := bytes.Repeat([]byte("0123456789abcdef"), 1<<16)
	var arrived sync.Map // *atomic.Int32 by path
	cancelled := make(chan string, 8)
	var wait atomic.Int64
	clock := &shiftedClock{start: time.Now()}
	fleet, recorder := startHedgingInstance(t, clock, withRequestID(func(w http.ResponseWriter, r *http.Request) {
		n, _ := arrived.LoadOrStore(r.URL.Path, &atomic.Int32{})
		first := n.(*atomic.Int32).Add(1) == 1
		body, _ := io.ReadAll(r.Body)
		switch {
		case r.Method == "POST":
			time.Sleep(200 * time.Millisecond)
		case strings.HasPrefix(r.URL.Path, "/slow") && first: // does not answer
			<-r.Context().Done()
			cancelled <- r.URL.Path
		case r.URL.Path == "/slow-long":
			_, _ = w.Write(long)
		default:
			time.Sleep(time.Duration(wait.Load()))
			_, _ = w.Write(append([]byte("answer to "), body...))
		}
	}))
	get := func(path string) response {
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
		defer cancel()
		return fleet.send(ctx, 0, "GET", path, strings.NewReader("question"))
	}
	wait.Store(int64(20 * time.Millisecond))
	for range 60 {
		require.Equal(t, "answer to question", get("/usual").body)
	}
	wait.Store(0)
	clock.shift.Add(int64(11 * time.Second)) // the times become usual ones
	for range 60 {
		require.Equal(t, "answer to question", get("/usual").body)
	}
	require.Equal(t, response{200, "completed", "none", "answer to question", nil}, get("/slow"))
	require.Equal(t, "/slow", <-cancelled)
	answer := get("/slow-long")
	require.NoError(t, answer.err)
	require.Equal(t, len(long), len(answer.body))
	require.Equal(t, "/slow-long", <-cancelled)
	require.Equal(t, "completed", fleet.post("key", 1, "batch").outcome)
	for path, n := range map[string]int32{"/slow": 2, "/slow-long": 2, "/checks/1": 1} {
		arrivals, _ := arrived.Load(path)
		require.Equal(t, n, arrivals.(*atomic.Int32).Load(), path)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	require.NoError(t, fleet.workers[0].Drain(ctx), "cancelled dispatches end")
	won := int64(0)
	for _, c := range recorder.Snapshot().Counters {
		if c.Part == "hedge" && c.Reason == "won" {
			won = c.Count
		}
	}
	require.GreaterOrEqual(t, won, int64(2))
}
