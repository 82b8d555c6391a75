package requests_test

import (
	"context"
	"encoding/json"
	"fmt"
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

// bench is some instances with real HTTP on loopback, before one server.
// Messages between the instances are encoded but not sent over sockets.
type bench struct {
	urls    []string
	workers []*requests.Worker
	byID    map[model.InstanceID]*requests.Worker
}

// benchPeer is the peer side of one instance.
type benchPeer struct {
	b    *bench
	from model.InstanceID
}

func (p benchPeer) Call(ctx context.Context, to model.Member, method string, params, result any) error {
	w := p.b.byID[to.ID]
	if w == nil {
		return port.ErrUnavailable
	}
	raw, err := json.Marshal(params)
	if err != nil {
		return err
	}
	reply, err := w.Handlers()[method](ctx, p.from, func(msg any) error { return json.Unmarshal(raw, msg) })
	if err != nil {
		return err
	}
	if raw, err = json.Marshal(reply); err != nil {
		return err
	}
	return json.Unmarshal(raw, result)
}

func startBench(t *testing.T, instances int, server http.HandlerFunc, cfg request.Config) *bench {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	backend := &http.Server{Handler: server}
	go func() { _ = backend.Serve(l) }()
	t.Cleanup(func() { _ = backend.Close() })
	return startBenchAt(t, instances, l.Addr(), cfg)
}

func startBenchAt(t *testing.T, instances int, server net.Addr, cfg request.Config) *bench {
	t.Helper()
	clock := wallClock{time.Now()}
	client := backendhttp.New(backendhttp.Options{Clock: clock})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(func() { cancel(); client.Close() })
	b := &bench{byID: map[model.InstanceID]*requests.Worker{}}
	var members []model.Member
	for i := range instances {
		members = append(members, model.Member{ID: model.InstanceID(fmt.Sprint("halle-a-", i+1)), Zone: "halle-a", Incarnation: 1})
	}
	for _, m := range members {
		w := requests.New(requests.Options{
			Clock: clock, Views: fixedView{benchView(netip.MustParseAddrPort(server.String()), m, members)},
			Peers: benchPeer{b, m.ID}, Backends: client, Config: cfg, Seed: 1,
		})
		b.workers, b.byID[m.ID] = append(b.workers, w), w
	}
	for _, w := range b.workers {
		go func() { _ = w.Run(ctx) }()
		f, err := httpfront.New(httpfront.Options{Handler: w})
		require.NoError(t, err)
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		go func() { _ = f.Serve(l) }()
		t.Cleanup(func() { _ = f.Shutdown(ctx) })
		b.urls = append(b.urls, "http://"+l.Addr().String())
	}
	return b
}

func benchView(address netip.AddrPort, self model.Member, members []model.Member) *view.View {
	server := model.Server{ID: "line-01", Zone: "halle-a", RequestAddress: address, Weight: 100, Slots: 4}
	svc := model.Service{
		ID: 17, Name: "line-control", Tenant: "factory", Host: "line-control.local", RequestTimeout: time.Hour,
		MaxBody: 4 << 20, Servers: []model.Server{server},
		Kinds: []model.RequestKind{
			{Name: "check", Method: "POST", PathPrefix: "/checks", Class: "writes", Share: 50},
			{Name: "status", Method: "GET", PathPrefix: "/", Idempotent: true, Class: "reads", Share: 50},
		},
	}
	v := &view.View{
		Sequence: 1, FreshUntil: model.Time(time.Hour), Self: self,
		Config:  &model.Configuration{Version: 1, Services: []model.Service{svc}},
		Members: placement.NewMembers(members),
	}
	sv := &view.Server{Server: server, Service: 17, Warmth: view.Warm}
	for slot := range server.Slots {
		if v.Members.SlotHolder(server.ID, server.Zone, int(slot)).ID == self.ID {
			sv.Slots = append(sv.Slots, slot)
		}
	}
	sv.SlotLimit, sv.NewWork = len(sv.Slots), len(sv.Slots) > 0
	v.Servers = map[model.ServerID]*view.Server{"line-01": sv}
	return v
}

// got is an answer with its whole body.
type got struct {
	status          int
	outcome, reason string
	body            string
	err             error
}

// send sends one request on its own connection. The header is given in pairs.
func (b *bench) send(ctx context.Context, to int, method, path string, body io.Reader, header ...string) got {
	req, err := http.NewRequestWithContext(ctx, method, b.urls[to]+path, body)
	if err != nil {
		return got{err: err}
	}
	req.Host = "line-control.local"
	for i := 0; i < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(req)
	if err != nil {
		return got{err: err}
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return got{resp.StatusCode, resp.Header.Get("Outcome"), resp.Header.Get("Outcome-Reason"), string(text), err}
}

func (b *bench) post(key string, attempt int, body string) got {
	return b.send(context.Background(), (attempt-1)%len(b.urls), "POST", "/checks/1", strings.NewReader(body),
		"Idempotency-Key", key, "Attempt", fmt.Sprint(attempt))
}

// named repeats the Request-Id as a server must.
func named(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
		next(w, r)
	}
}

func echo(w http.ResponseWriter, r *http.Request) { _, _ = io.Copy(w, r.Body) }

// breakOff closes the connection of a request without an answer.
func breakOff(w http.ResponseWriter) {
	if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
		conn.Close()
	}
}
