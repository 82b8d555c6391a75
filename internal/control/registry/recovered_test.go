package registry

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/savorytiller/savorytiller/internal/core/belief"
	"github.com/savorytiller/savorytiller/internal/core/catalog"
	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/core/peer"
	"github.com/savorytiller/savorytiller/internal/core/steering"
)

// Connections of a probe, see platform.Prober.
const (
	fullProbeConnections     = 5
	repeatedProbeConnections = 2
)

// outage is a fleet whose servers stop answering and answer again.
type outage struct {
	*fleet
	t       *testing.T
	servers []catalog.ServerRun
	silent  bool
	// connections counts the connections of probes. firstProbes holds when each instance of the
	// servers' zone first probed each server.
	connections int
	firstProbes map[[2]string]model.Time
}

// newOutage returns instances in four zones and servers in zone z0.
func newOutage(t *testing.T, instances, servers int) *outage {
	o := &outage{fleet: newFleet(t, instances, 4), t: t, firstProbes: map[[2]string]model.Time{}}
	o.store.config(3, 20)
	for i := range servers {
		id := fmt.Sprintf("s%02d", i)
		o.store.server(id)
		o.servers = append(o.servers, catalog.ServerRun{ID: model.ServerID(id)})
	}
	o.onEffect = o.performProbe
	o.run(10 * time.Second)
	return o
}

// performProbe performs the probes of an instance against the simulated servers.
func (o *outage) performProbe(node int, x effect) {
	p, ok := x.(effProbe)
	if !ok {
		return
	}
	if key := [2]string{fmt.Sprint(node), string(p.probe.Server.ID)}; o.firstProbes[key] == 0 {
		o.firstProbes[key] = o.now
	}
	e, after := evProbed{server: p.probe.Server, sentAt: p.sentAt, result: belief.Reachable, repeated: p.probe.Repeated}, 5*ms
	switch {
	case !o.silent:
		o.connections++
	case p.probe.Repeated:
		o.connections += repeatedProbeConnections
	default:
		o.connections += fullProbeConnections
	}
	if o.silent {
		e.result, after = belief.Unreachable, model.Time(probeTimeout)
	}
	o.post(o.now+after, node, e)
}

// silence stops the servers for some time. Flows through each instance of their zone suspect all
// of them within half a second.
func (o *outage) silence(d time.Duration) {
	o.silent = true
	for node, m := range o.nodes {
		for _, run := range o.servers {
			if at := o.now + model.Time(100+o.random.IntN(400))*ms; m.zone == "z0" && o.alive[node] {
				o.post(at, node, evSuspect{run, at})
			}
		}
	}
	o.run(d)
	o.silent = false
}

// unreachable returns how many times a server is unreachable for an instance of its zone.
func (o *outage) unreachable() (n int) {
	for node, m := range o.nodes {
		for _, run := range o.servers {
			if m.zone == "z0" && o.alive[node] && m.catalog.Lost(run) {
				n++
			}
		}
	}
	return n
}

// timeUntilReachable returns the times after which half of the servers, and all of them, are
// reachable for all instances of their zone.
func (o *outage) timeUntilReachable(limit time.Duration) (half, all time.Duration) {
	start, total := o.now, o.unreachable()
	require.NotZero(o.t, total)
	for o.unreachable() > 0 {
		require.Less(o.t, o.now.Sub(start), limit)
		o.run(10 * time.Millisecond)
		if half == 0 && o.unreachable() <= total/2 {
			half = o.now.Sub(start)
		}
	}
	return half, o.now.Sub(start)
}

// deliverReports makes the messages about recovered servers arrive after the given times.
func (o *outage) deliverReports(delays ...time.Duration) {
	o.deliveries = func(m *peer.Message) []time.Duration {
		if len(m.RecoveredServers) > 0 {
			return delays
		}
		return []time.Duration{0}
	}
}

// connectionsIfAllRepeat returns the connections of the instances that probed the silent servers if
// each of them repeated full probes after 0.7, 1.4, 2.8 and 4 s.
func (o *outage) connectionsIfAllRepeat(until model.Time) (n int) {
	for _, at := range o.firstProbes {
		for delay := 700 * time.Millisecond; at.Before(until); delay = min(2*delay, 4*time.Second) {
			n += fullProbeConnections
			at = at.Add(probeTimeout + delay)
		}
	}
	return n
}

// Guards against more connections to servers that stopped responding than their callers open: each
// instance repeated full probes of each of them.
func TestConnectionsToSilentServers(t *testing.T) {
	o := newOutage(t, 68, 38)
	o.silence(4500 * time.Millisecond)
	before, after := o.connectionsIfAllRepeat(o.now), o.connections
	require.Len(t, o.firstProbes, 17*38, "only the instances of the servers' zone have a reason to probe them")
	half, all := o.timeUntilReachable(3 * time.Second)
	t.Logf("%d connections while silent, %d if all instances repeat full probes; %d until all are reachable", after, before, o.connections)
	t.Logf("half of the servers are reachable after %v, all after %v", half, all)
	require.Less(t, 2*after, before)
	require.Less(t, half, time.Second)
}

// Guards against a server that waits to be used again for instances that were killed.
func TestRecoveredServerIsUsedSoon(t *testing.T) {
	for kills, limit := range []time.Duration{time.Second, 1500 * time.Millisecond, 1500 * time.Millisecond} {
		o := newOutage(t, 40, 1)
		o.silence(3 * time.Second)
		o.silent = true
		for _, home := range o.nodes[0].peers.members.RankHomes(nil, "s00", "z0", kills) {
			o.kill(o.byAddr[home.PeerAddress])
		}
		o.run(1500 * time.Millisecond)
		o.silent = false
		_, all := o.timeUntilReachable(5 * time.Second)
		t.Logf("%d repeating instances killed: reachable after %v", kills, all)
		require.Less(t, all, limit)
	}
}

// Guards against a server that stays unused because the reports of its recovery were lost, and
// against one that is used because of a report that is repeated or late.
func TestLostLateAndRepeatedRecoveryReports(t *testing.T) {
	o := newOutage(t, 40, 8)
	o.deliverReports()
	o.silence(4500 * time.Millisecond)
	_, all := o.timeUntilReachable(4*time.Second + 2*probeTimeout)
	t.Logf("all reports lost: reachable after %v", all)

	o.deliverReports(0, 0, 2500*time.Millisecond)
	o.silence(4500 * time.Millisecond)
	_, all = o.timeUntilReachable(3 * time.Second)
	t.Logf("each report repeated: reachable after %v", all)
	o.deliveries = nil
	o.silence(5 * time.Second) // the late copies arrive meanwhile
	require.Equal(t, 10*8, o.unreachable())
	_, _ = o.timeUntilReachable(3 * time.Second)
}

// Guards against resets of open flows because of a repeated probe, which has too few connections to
// tell an unreachable server from lost packets, and against a flow whose own suspicion waits for the
// repeated probes.
func TestRepeatedProbeIsNoEvidenceForResets(t *testing.T) {
	o := newOutage(t, 12, 1)
	o.silence(3500 * time.Millisecond)
	o.silent = true
	recent := func(node int) bool {
		s, m := &steering.Snapshot{}, o.nodes[node]
		m.catalog.Fill(o.now, s, m.isHome)
		server := s.Services["s"].Servers[0]
		require.Equal(t, belief.Unreachable, server.ProbeResult)
		return server.RecentlyUnreachable(o.now, &belief.Traffic{})
	}
	for node, m := range o.nodes {
		if m.zone == "z0" {
			require.NotZero(t, m.counts.RepeatedProbes)
			require.False(t, recent(node))
		}
	}
	o.step(0, evSuspect{o.servers[0], o.now})
	o.run(2 * probeTimeout)
	require.True(t, recent(0), "the flow gets a full probe at once, or after the repeated one in progress")
}
