package steering

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/savorytiller/savorytiller/internal/core/model"
)

const (
	millisecond = model.Time(time.Millisecond)
	second      = 1000 * millisecond
)

// rig drives a Steerer with the packets of callers.
type rig struct {
	t        testing.TB
	steerer  *Steerer
	snapshot *Snapshot
	now      model.Time
	sequence uint64
}

// routeA leads to service a, whose requests callers may repeat; routeB to b.
var (
	routeA = Endpoint{1, 80}
	routeB = Endpoint{2, 80}
)

func newRig(t testing.TB) *rig {
	r := &rig{t: t, now: 10 * second, steerer: NewSteerer(rand.New(rand.NewPCG(1, 2)), 5)}
	r.publish(servers("a", "z", 3), servers("b", "z", 2))
	return r
}

func servers(service, zone string, n int) []*Server {
	var all []*Server
	for i := range n {
		all = append(all, &Server{ID: model.ServerID(fmt.Sprintf("%s-%s-%d", service, zone, i)), Number: uint64(i + 1),
			Address: netip.MustParseAddrPort("10.0.0.1:80"), Service: service, Zone: model.Zone(zone), Slots: 4})
	}
	return all
}

// publish publishes a snapshot with the servers; departed ones get no new flows.
func (r *rig) publish(groups ...[]*Server) {
	r.sequence++
	s := &Snapshot{Sequence: r.sequence, Version: 1, Zone: "z", InstancesInZone: 1, ConfirmedAt: r.now, FreshFor: 1500 * time.Millisecond,
		IdleTimeout: 15 * time.Second, Lifetime: time.Minute, Services: map[string]*Service{}}
	s.Routes = map[Endpoint]*Route{routeA: {Name: "ra", Idempotent: true, Shares: []Share{{"a", 1}}},
		routeB: {Name: "rb", Shares: []Share{{"b", 1}}}}
	var all []*Server
	for _, g := range groups {
		for _, server := range g {
			copied := *server
			all = append(all, &copied)
			service := s.Services[copied.Service]
			if service == nil {
				service = &Service{Name: copied.Service}
				s.Services[copied.Service] = service
			}
			if !copied.Terminated && copied.State == model.ServerActive {
				service.Servers = append(service.Servers, &copied)
			}
		}
	}
	s.Servers = NewTokenIndex(all)
	r.snapshot = s
}

func (r *rig) send(p Packet) Verdict { return r.steerer.Decide(r.snapshot, r.now, &p) }

func (r *rig) syn(caller uint16, route Endpoint, copies uint32) Verdict {
	return r.send(Packet{Key: FlowKey{Endpoint{9, caller}, route}, Flags: SYN, Sequence: 100, Retransmission: copies})
}

func (r *rig) data(caller uint16, route Endpoint, token Token, sequence, acknowledged uint32) Verdict {
	return r.send(Packet{Key: FlowKey{Endpoint{9, caller}, route}, Flags: ACK, Token: token, Sequence: sequence,
		Acknowledged: acknowledged, Length: 50})
}

// openFlow opens a flow whose caller sends a request.
func (r *rig) openFlow(caller uint16, route Endpoint) *Server {
	v := r.syn(caller, route, 0)
	require.Equal(r.t, Deliver, v.Action, v.Reason.String())
	r.now += 10 * millisecond
	reply := r.data(caller, route, v.Server.Token, 101, 500)
	require.Equal(r.t, v.Server.ID, reply.Server.ID)
	return v.Server
}

// Guards against a packet that reaches another server than that of its flow
// after a planned change: servers added, another instance without any record.
func TestPlannedChangeKeepsFlowsAtAnyInstance(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		r := newRig(t)
		at := r.openFlow(1, routeA)
		before := servers("a", "z", 3)
		for i := range before {
			if rapid.Bool().Draw(rt, "drains") {
				before[i].State = model.ServerDraining
			}
		}
		r.publish(before, servers("a", "y", rapid.IntRange(0, 5).Draw(rt, "added")), servers("b", "z", 2))
		other := NewSteerer(rand.New(rand.NewPCG(7, 7)), 5)
		for i, s := range []*Steerer{r.steerer, other} {
			r.steerer = s
			v := r.data(1, routeA, at.Token, 200+uint32(i), 600)
			if v.Action != Deliver || v.Server.ID != at.ID {
				rt.Fatalf("instance %d: %v to %v instead of %v", i, v.Action, v.Server, at.ID)
			}
		}
	})
}

// Guards against a new flow on a server of another service.
func TestNoCrossServicePlacement(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		r := newRig(t)
		for i := range rapid.IntRange(1, 60).Draw(rt, "flows") {
			route, service := routeA, "a"
			if rapid.Bool().Draw(rt, "b") {
				route, service = routeB, "b"
			}
			r.now += model.Time(rapid.IntRange(0, 300).Draw(rt, "pause")) * millisecond
			if v := r.syn(uint16(i), route, 0); v.Action == Deliver && v.Server.Service != service {
				rt.Fatalf("flow to %s placed at %s", service, v.Server.ID)
			}
		}
	})
}

// Guards against two servers that answer one SYN: the caller could mix them up.
func TestCopyOfAFreshSYNFindsTheSameServer(t *testing.T) {
	r := newRig(t)
	first := r.syn(1, routeA, 0)
	r.now += fractionOfTimeout(1, 2)
	copied := r.syn(1, routeA, 1)
	require.Equal(t, first.Server.ID, copied.Server.ID)
	require.False(t, copied.NewFlow)
}

func fractionOfTimeout(part, of int) model.Time {
	return model.Time(responseTimeout) * model.Time(part) / model.Time(of)
}

// Guards against a caller that waits for a dead server: its second SYN goes
// elsewhere, and two silent flows make the server suspect.
func TestCopyOfAnUnansweredSYNGoesToAnotherServer(t *testing.T) {
	r := newRig(t)
	first := r.syn(1, routeA, 0)
	r.now += 200 * millisecond
	second := r.syn(1, routeA, 1)
	require.True(t, second.NewFlow)
	require.NotEqual(t, first.Server.ID, second.Server.ID)
	require.Equal(t, first.Server.ID, r.steerer.TakeSuspect().ID, "the server is to be probed")
	require.Nil(t, r.steerer.TakeSuspect())
}

// Guards against least load that draws every flow to a server that resets each
// of them at once: the instance sees only SYNs that nothing follows.
func TestServerThatResetsNewFlowsLosesThem(t *testing.T) {
	r := newRig(t)
	bad := r.syn(1, routeA, 0).Server.ID
	lost := 1
	for i := range 100 {
		r.now += 20 * millisecond
		v := r.syn(uint16(10+i), routeA, 0)
		if v.Server.ID == bad {
			lost++
			continue
		}
		r.now += 5 * millisecond
		r.data(uint16(10+i), routeA, v.Server.Token, 101, 500)
		r.send(Packet{Key: FlowKey{Endpoint{9, uint16(10 + i)}, routeA}, Flags: FIN | ACK, Token: v.Server.Token, Sequence: 151, Acknowledged: 600})
	}
	require.LessOrEqual(t, lost, 10, "of 101 flows")
}

// Guards against servers that are suspect because the own process was paused:
// their callers' packets wait in its queue.
func TestPauseOfTheProcessBlamesNoServer(t *testing.T) {
	r := newRig(t)
	for i := range 12 {
		r.syn(uint16(i), routeA, 0)
	}
	r.now += 2 * second
	r.syn(99, routeA, 0)
	require.Nil(t, r.steerer.TakeSuspect())
	for _, target := range r.steerer.targets {
		require.False(t, target.unhealthy(r.now))
	}
}

// Guards against suspicion that lasts although the server answers again.
func TestSignOfLifeEndsSuspicion(t *testing.T) {
	target := &target{server: &Server{}}
	target.recordTimeout(10*second, 9*second)
	require.False(t, target.unhealthy(10*second), "one packet may be lost")
	target.recordTimeout(10*second, 9*second)
	require.True(t, target.unhealthy(10*second))
	target.recordResponse(11 * second)
	require.False(t, target.unhealthy(11*second))
	target.recordTimeout(12*second, 10*second)
	require.Zero(t, target.consecutiveTimeouts, "sent before the sign of life")
}

// Guards against resets of flows that may still be served: of a server that is
// only suspect, of requests that may not be repeated, or by an instance that
// reaches no server at all.
func TestOnlyRepeatableFlowsOfUnreachableServersAreReset(t *testing.T) {
	r := newRig(t)
	a, b := r.openFlow(1, routeA), r.openFlow(2, routeB)
	unreachable := func(all []*Server, which model.ServerID) []*Server {
		for _, s := range all {
			if s.ID == which || which == "" {
				s.ProbeResult, s.ProbeSentAt = Unreachable, r.now+10*millisecond
			}
		}
		return all
	}
	r.publish(unreachable(servers("a", "z", 3), a.ID), unreachable(servers("b", "z", 2), b.ID))
	r.now += 400 * millisecond
	require.Equal(t, Deliver, r.data(2, routeB, b.Token, 300, 500).Action, "may not be repeated")
	v := r.data(1, routeA, a.Token, 300, 500)
	require.Equal(t, Reset, v.Action)
	require.Equal(t, model.ReasonServerFailed, v.Reason)

	r.publish(unreachable(servers("a", "z", 3), ""), servers("b", "z", 2))
	require.Equal(t, Deliver, r.data(1, routeA, a.Token, 400, 500).Action, "nothing can be reached")
}

// Guards against a reset after a sign of life that is newer than the probe.
func TestAnswerOutweighsAnOlderProbe(t *testing.T) {
	r := newRig(t)
	a := r.openFlow(1, routeA)
	list := servers("a", "z", 3)
	for _, s := range list {
		if s.ID == a.ID {
			s.ProbeResult, s.ProbeSentAt = Unreachable, r.now-5*millisecond
		}
	}
	r.publish(list, servers("b", "z", 2))
	require.Equal(t, Deliver, r.data(1, routeA, a.Token, 300, 700).Action)
}

// Guards against flows of an ended server that wait for their deadline.
func TestFlowsOfDepartedServersAreReset(t *testing.T) {
	r := newRig(t)
	b := r.openFlow(2, routeB)
	list := servers("b", "z", 2)
	for _, s := range list {
		s.Terminated = s.ID == b.ID
	}
	r.publish(servers("a", "z", 3), list)
	v := r.data(2, routeB, b.Token, 300, 700)
	require.Equal(t, Reset, v.Action)
	require.Equal(t, model.ReasonServerRemoved, v.Reason)
}

// Guards against an unlisted server that nobody asks for: its flows go on, and would
// wait for their deadline if it has ended.
func TestPacketsOfUnlistedServersAskForAProbe(t *testing.T) {
	r := newRig(t)
	b := r.openFlow(2, routeB)
	list := servers("b", "z", 2)
	for _, s := range list {
		s.Unlisted = s.ID == b.ID
	}
	r.publish(servers("a", "z", 3), list)
	require.Equal(t, Deliver, r.data(2, routeB, b.Token, 300, 700).Action)
	require.Equal(t, b.ID, r.steerer.TakeSuspect().ID)
	require.Equal(t, Deliver, r.data(2, routeB, b.Token, 300, 1700).Action)
	require.Nil(t, r.steerer.TakeSuspect(), "one request at a time")
	r.now += second
	require.Equal(t, Deliver, r.data(2, routeB, b.Token, 300, 2700).Action)
	require.Equal(t, b.ID, r.steerer.TakeSuspect().ID, "the probe may have had no clear result")
}

// Guards against flows to a zone that is cut off of which each has to find out by its own
// silence: servers with open flows are asked for at once, and only once.
func TestServersOfASilentZoneAreAskedFor(t *testing.T) {
	r := newRig(t)
	far := servers("b", "y", 2)
	r.publish(servers("a", "z", 3), far)
	b := r.openFlow(2, routeB)
	silent := func(since model.Time) *Server {
		r.publish(servers("a", "z", 3), far)
		r.snapshot.UnresponsiveSince = map[model.Zone]model.Time{"y": since}
		r.syn(1, routeA, 0)
		return r.steerer.TakeSuspect()
	}
	r.now += second
	require.Nil(t, silent(r.now-2*second), "the server has answered since")
	require.Equal(t, b.ID, silent(r.now).ID)
	require.Nil(t, r.steerer.TakeSuspect(), "the other server has no flows")
	require.Nil(t, silent(r.now))
}

// Guards against a reset for a token that another instance knows already.
func TestUnknownTokensAreDropped(t *testing.T) {
	r := newRig(t)
	v := r.data(1, routeA, 12345, 300, 700)
	require.Equal(t, Drop, v.Action)
	require.Equal(t, model.ReasonUnknownToken, v.Reason)
}

// Guards against a refusal of a route that was added after the own view.
func TestMissingRoutesAreRefusedOnAFreshViewOnly(t *testing.T) {
	r := newRig(t)
	require.Equal(t, Reset, r.syn(1, Endpoint{7, 7}, 0).Action)
	r.now += 2 * second
	require.Equal(t, Drop, r.syn(1, Endpoint{7, 7}, 0).Action)
}

// Guards against a load estimate that grows with flows that are over.
func TestRecordsAndLoadEndWithTheFlows(t *testing.T) {
	r := newRig(t)
	for i := range 50 {
		r.openFlow(uint16(i), routeA)
	}
	require.Equal(t, 50, r.steerer.Flows())
	r.now += 16 * second
	r.openFlow(99, routeA)
	require.Equal(t, 1, r.steerer.Flows())
	flows, busy := 0, 0
	for _, target := range r.steerer.targets {
		flows, busy = flows+target.flows, busy+target.busy
	}
	require.Equal(t, 1, flows)
	require.Equal(t, 1, busy)
}

// Guards against two servers that share a token.
func TestTokensThatCollideNameNoWrongServer(t *testing.T) {
	var all []*Server
	for i := range 30_000 {
		all = append(all, &Server{ID: model.ServerID(fmt.Sprintf("i-%08x", i))})
	}
	// A server with the identifier and start of another one collides in both codes.
	all = append(all, &Server{ID: "i-00000001"})
	tokens := NewTokenIndex(all)
	seen := map[Token]bool{}
	for _, s := range all {
		if s.ID == "i-00000001" {
			require.Zero(t, s.Token)
			continue
		}
		require.NotZero(t, s.Token, s.ID)
		require.False(t, seen[s.Token])
		seen[s.Token] = true
		require.Same(t, s, tokens.Find(s.Token))
	}
	require.Nil(t, tokens.Find(0))
}
