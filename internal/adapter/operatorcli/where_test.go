package operatorcli

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/savorytiller/savorytiller/internal/adapter/steerstatus"
	"github.com/savorytiller/savorytiller/internal/core/admission"
	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/core/steering"
	"github.com/savorytiller/savorytiller/internal/port"
)

// whereCase is a question to an instance of zone z, which has servers i-a, i-b and i-c.
type whereCase struct {
	change func(*steering.Snapshot)
	// ready is false for an instance that routers don't use, failure the error of the traffic
	// goroutine.
	notReady bool
	failure  error
	verdict  *admission.Verdict
	args     []string
	code     int
	want     []string
}

func (c *whereCase) snapshot() *steering.Snapshot {
	servers := []*steering.Server{{ID: "i-a", Service: "s", Zone: "z", Slots: 2}, {ID: "i-b", Service: "s", Zone: "z", Slots: 2},
		{ID: "i-c", Service: "s", Zone: "z", Slots: 2}}
	servers[2].State = model.ServerDraining
	at, _ := steering.EndpointOf(feedsAddress)
	v := &steering.Snapshot{Version: 9, Zone: "z", InstancesInZone: 1, ConfirmedAt: 2e9, FreshFor: 5 * time.Second, IdleTimeout: time.Minute, Lifetime: time.Minute,
		Settled: true, Servers: steering.NewTokenIndex(servers), Services: map[string]*steering.Service{"s": {Name: "s", Servers: servers[:2]}},
		Routes: map[steering.Endpoint]*steering.Route{at: {Name: "feeds", Endpoint: at, Shares: []steering.Share{{Service: "s", Weight: 3}},
			Terms: model.Terms{Priority: 2, Goal: 500 * time.Millisecond}}}}
	if c.change != nil {
		c.change(v)
	}
	return v
}

// Guards against an answer or an exit code that does not tell apart a flow that would open, one
// that would be refused, a question that makes no sense, and an instance that does not answer.
func TestWhereAnswersAndExitCodes(t *testing.T) {
	short := admission.Inputs{InProgress: 120, Slots: 60, Limit: 90, Share: 5.6, Own: 7}
	for name, c := range map[string]whereCase{
		"server": {code: ExitOK, args: []string{"feeds"}, want: []string{"result server i-", "(least_load), then i-",
			"feeds, 198.18.0.1:80: priority 2, goal 500ms, timeout none, weights: s 3", "s for caller 0.0.0.0:0; 2 servers accept flows (by state: 2 active, 1 draining)",
			"not used: no load reports yet", "ready 0.0", "never never 0 - - - - - none"}},
		"address and caller":     {code: ExitOK, args: []string{"198.18.0.1:80", "--caller", "100.64.0.1:99"}, want: []string{"for caller 100.64.0.1:99"}},
		"route name not known":   {code: ExitRefused, args: []string{"feed"}, want: []string{`no route named "feed"`}},
		"address not known":      {code: ExitRefused, args: []string{"198.18.0.9:80"}, want: []string{"refused: the configuration in force has no route"}},
		"not known, old view":    {change: func(v *steering.Snapshot) { v.FreshFor = 1 }, code: ExitRefused, args: []string{"198.18.0.9:80"}, want: []string{"which may be outdated"}},
		"instance not ready":     {notReady: true, code: ExitRefused, args: []string{"feeds"}, want: []string{"NOT READY", "server i-"}},
		"no configuration":       {change: func(v *steering.Snapshot) { v.Version = 0 }, code: ExitRefused, args: []string{"feeds"}, want: []string{"has no configuration yet"}},
		"no servers":             {change: func(v *steering.Snapshot) { v.Services["s"].Servers = nil }, code: ExitRefused, args: []string{"feeds"}, want: []string{"reset: the service has no server that accepts flows"}},
		"service does not exist": {change: func(v *steering.Snapshot) { clear(v.Services) }, code: ExitRefused, args: []string{"feeds"}, want: []string{"drop: the service has no server"}},
		"held": {verdict: &admission.Verdict{Action: admission.Hold, Reason: model.ReasonHeld, Inputs: short}, code: ExitRefused, args: []string{"feeds"},
			want: []string{"held: the first packet is dropped", "zone: 120.0 in progress, limit for this priority 90.0, 60 slots", "7 in progress, share of the limit 5.6"}},
		"refused":         {verdict: &admission.Verdict{Action: admission.Refuse, Reason: model.ReasonOverloaded, Inputs: short}, code: ExitRefused, args: []string{"feeds"}, want: []string{"refused: the service is short of capacity"}},
		"caller is wrong": {code: ExitUsage, args: []string{"feeds", "--caller", "100.64.0.1"}, want: []string{"caller: not an IPv4 address and port"}},
		"busy":            {failure: port.ErrBusy, code: ExitUnreachable, args: []string{"feeds"}, want: []string{"too many questions"}},
		"no answer":       {failure: port.ErrUnavailable, code: ExitUnreachable, args: []string{"feeds"}, want: []string{"the traffic goroutine does not answer"}},
	} {
		t.Run(name, func(t *testing.T) {
			steerer := steering.NewSteerer(rand.New(rand.NewPCG(1, 2)), 5)
			snapshot := snapshotReader{c.snapshot()}
			source := &steerstatus.Source{Instance: "n1", Clock: fixedClock(3e9), Snapshots: snapshot, Ready: func() bool { return !c.notReady },
				Preview: func(_ context.Context, p *steering.Packet) (*steering.Preview, error) {
					if c.failure != nil {
						return nil, c.failure
					}
					preview := steerer.Preview(snapshot.s, 3e9, p)
					if c.verdict != nil {
						preview.Verdict, preview.Decision = c.verdict, steering.Decision{Reason: c.verdict.Reason}
					}
					return preview, nil
				}}
			server := httptest.NewServer(source.Server().Handler)
			defer server.Close()
			args := append([]string{"where", "--address", server.Listener.Addr().String()}, c.args...)
			code, out, errOut := runCommand(t, args...)
			require.Equal(t, c.code, code, "%s%s", out, errOut)
			for _, want := range c.want {
				require.Contains(t, strings.Join(strings.Fields(out+errOut), " "), want)
			}
			if code == ExitOK || code == ExitRefused {
				jsonCode, out, _ := runCommand(t, append(args, "--json")...)
				require.Equal(t, code, jsonCode)
				var answer steerstatus.Where
				require.NoError(t, json.Unmarshal([]byte(out), &answer))
				require.Equal(t, code == ExitOK, answer.Action == "deliver" && answer.Ready)
			}
		})
	}
}

var feedsAddress = netip.MustParseAddrPort("198.18.0.1:80")
