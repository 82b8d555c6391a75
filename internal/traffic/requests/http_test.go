package requests_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/savorytiller/savorytiller/internal/adapter/backendhttp"
	"github.com/savorytiller/savorytiller/internal/adapter/httpfront"
	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/core/placement"
	"github.com/savorytiller/savorytiller/internal/core/request"
	"github.com/savorytiller/savorytiller/internal/core/view"
	"github.com/savorytiller/savorytiller/internal/port"
	"github.com/savorytiller/savorytiller/internal/traffic/requests"
)

type wallClock struct{ zero time.Time }

func (c wallClock) Now() model.Time { return model.Time(time.Since(c.zero)) }

type fixedView struct{ v *view.View }

func (f fixedView) View() *view.View { return f.v }

type noPeers struct{}

func (noPeers) Call(context.Context, model.Member, string, any, any) error {
	return port.ErrUnavailable
}

// bench is one instance with real HTTP on loopback, before one server.
type bench struct {
	url    string
	worker *requests.Worker
	front  *httpfront.Server
}

func startBench(t *testing.T, server http.HandlerFunc, cfg request.Config) *bench {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	backend := &http.Server{Handler: server}
	go func() { _ = backend.Serve(l) }()
	t.Cleanup(func() { _ = backend.Close() })
	return startBenchAt(t, netip.MustParseAddrPort(l.Addr().String()), cfg)
}

func startBenchAt(t *testing.T, server netip.AddrPort, cfg request.Config) *bench {
	t.Helper()
	clock := wallClock{time.Now()}
	client := backendhttp.New(backendhttp.Options{Clock: clock})
	w := requests.New(requests.Options{
		Clock: clock, Views: fixedView{oneServerView(server)}, Peers: noPeers{}, Backends: client, Config: cfg, Seed: 1,
	})
	ctx, cancel := context.WithCancel(context.Background())
	go func() { _ = w.Run(ctx) }()
	f, err := httpfront.New(httpfront.Options{Handler: w})
	require.NoError(t, err)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() { _ = f.Serve(l) }()
	t.Cleanup(func() {
		_ = f.Shutdown(ctx)
		cancel()
		client.Close()
	})
	return &bench{url: "http://" + l.Addr().String(), worker: w, front: f}
}

func oneServerView(address netip.AddrPort) *view.View {
	self := model.Member{ID: "halle-a-1", Zone: "halle-a", Incarnation: 1}
	server := model.Server{ID: "line-01", Zone: "halle-a", RequestAddress: address, Weight: 100, Slots: 4}
	svc := model.Service{
		ID: 17, Name: "line-control", Tenant: "dosenfalz", Host: "line-control.local", RequestTimeout: 20 * time.Second,
		MaxBody: 4 << 20, Servers: []model.Server{server},
		Kinds: []model.RequestKind{
			{Name: "seam-check", Method: "POST", PathPrefix: "/checks", Class: "writes", Share: 50},
			{Name: "status", Method: "GET", PathPrefix: "/", Idempotent: true, Class: "reads", Share: 50},
		},
	}
	return &view.View{
		Sequence: 1, FreshUntil: model.Time(time.Hour), Self: self,
		Config:  &model.Configuration{Version: 1, Services: []model.Service{svc}},
		Members: placement.NewMembers([]model.Member{self}),
		Servers: map[model.ServerID]*view.Server{"line-01": {
			Server: server, Service: 17, Warmth: view.Warm, NewWork: true, Slots: []uint16{0, 1, 2, 3}, SlotLimit: 4,
		}},
	}
}

func (b *bench) send(t *testing.T, method, path, body string, header ...string) (*http.Response, string, error) {
	t.Helper()
	req, err := http.NewRequest(method, b.url+path, strings.NewReader(body))
	require.NoError(t, err)
	req.Host = "line-control.local"
	for i := 0; i < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(req)
	if err != nil {
		return nil, "", err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return resp, string(text), err
}

// echo answers with the body of the request.
func echo(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	_, _ = io.Copy(w, r.Body)
}

// Guards against a front end, worker and client that do not fit together, and
// against an answer that is not the caller's own.
func TestWholeAnswerFromServerToCaller(t *testing.T) {
	b := startBench(t, echo, request.Config{})
	resp, text, err := b.send(t, "POST", "/checks/7", "batch 7", "Idempotency-Key", "k7", "Attempt", "1")
	require.NoError(t, err)
	require.Equal(t, "batch 7", text)
	require.Equal(t, "completed", resp.Header.Get("Outcome"))
	resp, _, err = b.send(t, "GET", "/status", "")
	require.NoError(t, err)
	require.Equal(t, 200, resp.StatusCode)
	resp, text, err = b.send(t, "POST", "/checks/7", "batch 7", "Idempotency-Key", "k7", "Attempt", "2")
	require.NoError(t, err)
	require.Equal(t, "batch 7", text, "the remembered answer")
	require.Equal(t, "completed", resp.Header.Get("Outcome"))
}
