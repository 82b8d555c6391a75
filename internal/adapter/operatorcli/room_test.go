package operatorcli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/savorytiller/savorytiller/internal/adapter/metrics"
	"github.com/savorytiller/savorytiller/internal/adapter/steerstatus"
	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/core/room"
	"github.com/savorytiller/savorytiller/internal/core/steering"
)

// startStatus serves the status of an instance of zone z at 3 s and returns the flag that
// names its address.
func startStatus(t *testing.T, snapshot *steering.Snapshot) string {
	snapshot.Version, snapshot.Zone = 9, "z"
	source := &steerstatus.Source{Instance: "n1", Clock: fixedClock(3e9), Ready: func() bool { return true }, Flows: func() int64 { return 0 },
		Metrics: metrics.New(1).Snapshot, Gauges: func() map[string]float64 { return map[string]float64{} }, Snapshots: snapshotReader{snapshot},
		ServerStatus: func(context.Context) (all []steering.ServerStatus, err error) {
			for _, s := range snapshot.Servers.Sorted() {
				if s.ID == "i-0003" {
					all = append(all, steering.ServerStatus{ID: s.ID, Token: s.Token, Flows: 3, Restriction: steering.RestrictedFailing})
				}
			}
			return all, nil
		}}
	server := httptest.NewServer(source.Server().Handler)
	t.Cleanup(server.Close)
	return "--address=" + server.Listener.Addr().String()
}

// loadedSnapshot returns a snapshot with servers i-0000, i-0001 and so on. The last one takes 2.14 times
// the usual time and fails a quarter of the requests.
func loadedSnapshot(servers int) *steering.Snapshot {
	var all []*steering.Server
	for i := range servers {
		all = append(all, &steering.Server{ID: model.ServerID(fmt.Sprintf("i-%04d", i)), Service: []string{"s", "t"}[i%2], Zone: "z", Slots: 2})
	}
	index := steering.NewTokenIndex(all)
	view := &room.View{At: 2e9, Usable: true, Instances: map[model.Zone]int{"y": 15, "z": 16}, Servers: map[uint32]room.ServerLoad{}, Services: map[string]*room.Service{
		"s": {BaseLatency: 50 * time.Millisecond, Zones: map[model.Zone]*room.Zone{"z": {Slots: 60,
			Total:      room.Counters{InProgress: 80.25, Completed: 400, Failed: 7, Refused: 30, Latency: 40 * time.Second},
			ByPriority: map[uint8]room.Counters{1: {InProgress: 20}, 2: {InProgress: 60.25, Refused: 30}}}}}}}
	for i, s := range all {
		load := room.ServerLoad{Token: uint32(s.Token), InProgress: 1, Samples: 12, UpdatedAt: 1e9}
		if i == servers-1 {
			load.Failed, load.LogLatency = 3, 9*math.Ln2*1.1
		}
		view.Servers[uint32(s.Token)] = load
	}
	at := steering.Endpoint{Address: 198<<24 | 18<<16 | 1, Port: 80}
	return &steering.Snapshot{InstancesInZone: 17, Servers: index, Room: view, Routes: map[steering.Endpoint]*steering.Route{
		at: {Name: "feeds", Endpoint: at, Shares: []steering.Share{{Service: "s", Weight: 1}}, Terms: model.Terms{Priority: 2, Goal: 500 * time.Millisecond}}}}
}

// Guards against a load that is shown as usable, or without the reason and the exit code by which
// operators and scripts see that decisions ignore it.
func TestRoomStatesWhetherTheLoadIsUsable(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(*steering.Snapshot)
		code   int
		want   string
	}{
		{"usable", func(*steering.Snapshot) {}, ExitOK, "knows it: usable received 1s ago; covers 16 of 17 live instances of z, 15 of y"},
		{"no reports", func(s *steering.Snapshot) { s.Room = nil }, ExitRefused, "NOT USABLE: no load reports yet, or they are switched off (load.interval_ms) received never"},
		{"few instances", func(s *steering.Snapshot) { s.Room.Usable, s.Room.Instances["z"] = false, 5 }, ExitRefused, "NOT USABLE: it covers 5 of 17 live instances"},
		{"expired", func(s *steering.Snapshot) { s.Room.Usable, s.Room.Instances = false, nil }, ExitRefused, "NOT USABLE: no recent load reports"},
		{"just started", func(s *steering.Snapshot) { s.Room.Usable = false }, ExitRefused, "NOT USABLE: the instance knows no others, or has just started"},
	} {
		t.Run(c.name, func(t *testing.T) {
			snapshot := loadedSnapshot(4)
			c.change(snapshot)
			address := startStatus(t, snapshot)
			code, out, errOut := runCommand(t, "room", address)
			require.Equal(t, c.code, code, errOut)
			require.Contains(t, strings.Join(strings.Fields(out), " "), c.want)
			code, out, _ = runCommand(t, "room", address, "--json")
			require.Equal(t, c.code, code)
			var v roomView
			require.NoError(t, json.Unmarshal([]byte(out), &v))
			require.Equal(t, c.code == ExitOK, v.Load.Usable)
		})
	}
}

// Guards against figures in the wrong column, and against a slow or failing server that is not
// shown first.
func TestRoomShowsServicesServersAndTerms(t *testing.T) {
	address := startStatus(t, loadedSnapshot(4))
	_, out, _ := runCommand(t, "room", address, "--limit", "2")
	text := strings.Join(strings.Fields(out), " ")
	for _, want := range []string{"s z 60 80.2 1: 20.0, 2: 60.2 400.0 7.0 30.0 100.0 50.0",
		"FLOWS HERE RESTRICTION i-0003 t z active 2 1.0 2.14 25% 12.0 2s 3 failing_answers i-0000 s z active 2 1.0 1.00 0% 12.0 2s - - 2 of 4 servers are shown",
		"feeds 198.18.0.1:80 2 500ms none s"} {
		require.Contains(t, text, want)
	}
	_, out, _ = runCommand(t, "beliefs", address, "--service", "t")
	require.Contains(t, strings.Join(strings.Fields(out), " "), "i-0003 t z invalid AddrPort active never probed 2 1.0 2.14 25% 12.0 2s 3 failing_answers")
	require.NotContains(t, out, "i-0000")
	response, err := http.Get("http://" + strings.TrimPrefix(address, "--address=") + steerstatus.MetricsPath)
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.Contains(t, string(body), "servers_failing 0\nservers_slow 1\n")
}

// Guards against a status whose size grows with the deployment, and against one that leaves out
// the failing server or hides that it is cut.
func TestStatusOfALargeDeploymentIsCut(t *testing.T) {
	address := startStatus(t, loadedSnapshot(1500))
	_, out, _ := runCommand(t, "room", address, "--json")
	var v roomView
	require.NoError(t, json.Unmarshal([]byte(out), &v))
	require.Len(t, v.Servers, 1000)
	require.Equal(t, 1500, v.ServersTotal)
	require.Equal(t, "i-1499", v.Servers[0].ID)
	_, out, _ = runCommand(t, "beliefs", address)
	require.Contains(t, out, "1000 of 1500 servers are shown")
}

// Guards against a refusal for lack of capacity that is put down to something else.
func TestWhyNamesAShortageOfCapacity(t *testing.T) {
	log := writeTempFile(t, `
  1.0 n1 {"level":"info","ts":"2026-06-19T00:40:01.000Z","msg":"flow: flow reset","caller":"100.64.0.1:1","route":"198.18.0.1:80","reason":"overloaded","copy":0}
  1.1 n1 {"level":"info","ts":"2026-06-19T00:40:01.100Z","msg":"flow: packet dropped","caller":"100.64.0.2:1","route":"198.18.0.1:80","reason":"held","copy":0}
  1.2 n1 {"level":"info","ts":"2026-06-19T00:40:01.200Z","msg":"flow: capacity shortage begins","service":"s","in_progress":90,"slots":60,"held":0,"overloaded":3}
`)
	for flow, want := range map[string]string{"100.64.0.1:1": causeOverloaded, "100.64.0.2:1": causeHeld} {
		_, out, _ := runCommand(t, "why", flow, log)
		require.True(t, strings.HasPrefix(out, "flow "+flow+": "+want+"\n"), "%s", out)
	}
	code, out, _ := runCommand(t, "why", "100.64.0.9:1", log, "--at", "2026-06-19T00:40:03Z")
	require.Equal(t, ExitRefused, code)
	require.Contains(t, out, causeMaybeRefused+"\n  00:40:01.200 n1 flow: capacity shortage begins service=s held=0 overloaded=3\n")
	_, out, _ = runCommand(t, "why", "100.64.0.9:1", log, "--at", "2026-06-19T00:41:03Z")
	require.Contains(t, out, causeUnknown+"\n")
}
