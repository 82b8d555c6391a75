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

type wallClock struct{ start time.Time }

func (c wallClock) Now() model.Time { return model.Time(time.Since(c.start)) }

type fixedView struct{ v *view.View }

func (f fixedView) View() *view.View { return f.v }

// testFleet is a group of instances in front of one server. Requests use HTTP over
// loopback. Messages between the instances are encoded but not sent over sockets.
type testFleet struct {
	urls    []string
	fronts  []*httpfront.Server
	workers []*requests.Worker
	byID    map[model.InstanceID]*requests.Worker
}

// directPeerCaller calls the handlers of the other instances directly.
type directPeerCaller struct {
	fleet *testFleet
	from  model.InstanceID
}

func (p directPeerCaller) Call(ctx context.Context, to model.Member, method string, params, result any) error {
	w := p.fleet.byID[to.ID]
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

func startFleet(t *testing.T, instances int, server http.HandlerFunc, settings request.Settings) *testFleet {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	backend := &http.Server{Handler: server}
	go func() { _ = backend.Serve(l) }()
	t.Cleanup(func() { _ = backend.Close() })
	return startFleetWithServer(t, instances, l.Addr(), settings)
}

func startFleetWithServer(t *testing.T, instances int, server net.Addr, settings request.Settings) *testFleet {
	t.Helper()
	clock := wallClock{time.Now()}
	client := backendhttp.New(backendhttp.Options{Clock: clock})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(func() { cancel(); client.Close() })
	fleet := &testFleet{byID: map[model.InstanceID]*requests.Worker{}}
	var members []model.Member
	for i := range instances {
		members = append(members, model.Member{ID: model.InstanceID(fmt.Sprint("halle-a-", i+1)), Zone: "halle-a", Incarnation: 1})
	}
	for _, m := range members {
		w := requests.New(requests.Options{
			Clock: clock, Views: fixedView{testView(netip.MustParseAddrPort(server.String()), m, members)},
			Peers: directPeerCaller{fleet, m.ID}, Backends: client, Settings: settings, Seed: 1,
		})
		fleet.workers, fleet.byID[m.ID] = append(fleet.workers, w), w
	}
	for _, w := range fleet.workers {
		go func() { _ = w.Run(ctx) }()
		f, err := httpfront.New(httpfront.Options{Handler: w})
		require.NoError(t, err)
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		go func() { _ = f.Serve(l) }()
		t.Cleanup(func() { _ = f.Shutdown(ctx) })
		fleet.fronts = append(fleet.fronts, f)
		fleet.urls = append(fleet.urls, "http://"+l.Addr().String())
	}
	return fleet
}

func testView(address netip.AddrPort, self model.Member, members []model.Member) *view.View {
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

// response is an answer with its complete body, or the error of the request.
type response struct {
	status          int
	outcome, reason string
	body            string
	err             error
}

// send sends one request on its own connection. header lists names and values in turn.
func (fleet *testFleet) send(ctx context.Context, to int, method, path string, body io.Reader, header ...string) response {
	req, err := http.NewRequestWithContext(ctx, method, fleet.urls[to]+path, body)
	if err != nil {
		return response{err: err}
	}
	req.Host = "line-control.local"
	for i := 0; i < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(req)
	if err != nil {
		return response{err: err}
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return response{resp.StatusCode, resp.Header.Get("Outcome"), resp.Header.Get("Outcome-Reason"), string(text), err}
}

// post sends an attempt of a non-idempotent request. Successive attempts of a request go
// to different instances.
func (fleet *testFleet) post(key string, attempt int, body string) response {
	return fleet.send(context.Background(), (attempt-1)%len(fleet.urls), "POST", "/checks/1", strings.NewReader(body),
		"Idempotency-Key", key, "Attempt", fmt.Sprint(attempt))
}

// withRequestID copies the Request-Id header to the answer, as servers must.
func withRequestID(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
		next(w, r)
	}
}

func echo(w http.ResponseWriter, r *http.Request) { _, _ = io.Copy(w, r.Body) }

// closeConnection closes the connection of a request without answering.
func closeConnection(w http.ResponseWriter) {
	if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
		conn.Close()
	}
}
