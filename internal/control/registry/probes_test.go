package registry

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/savorytiller/savorytiller/internal/core/catalog"
	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/core/peer"
	"github.com/savorytiller/savorytiller/internal/core/steering"
)

// Guards against the failure of a probe that is that of the own link: it counts
// only if another instance answered meanwhile.
func TestFailedProbeCountsOnlyIfOthersAnswer(t *testing.T) {
	f := settled(t, 6, 2)
	f.cut = func(from, to int) bool { return from == 0 || to == 0 }
	f.failProbe(0)
	require.Equal(t, steering.ProbeUnknown, f.reach(0))
	f.cut = nil
	f.run(time.Second)
	f.failProbe(0)
	require.Equal(t, steering.Unreachable, f.reach(0))
}

// Guards against an instance that knows no other, as one that has just started: its
// failed probes count only if the registry answered meanwhile.
func TestFailedProbeOfALoneInstanceCountsOnlyIfTheRegistryAnswers(t *testing.T) {
	f := settled(t, 1, 1)
	f.store.down = func(int) bool { return true }
	f.failProbe(0)
	require.Equal(t, steering.ProbeUnknown, f.reach(0))
	f.store.down = nil
	f.run(2 * time.Second)
	f.failProbe(0)
	require.Equal(t, steering.Unreachable, f.reach(0))
}

// Guards against instances that each lose flows of their own to a server that another
// one could not reach: 86 instances cut 1,513 attempts so. And against news of it that
// never end.
func TestOthersProbeAServerThatOneCouldNotReach(t *testing.T) {
	f := settled(t, 30, 3)
	fail := func(node int) {
		sent := f.now
		f.run(50 * time.Millisecond)
		f.step(node, evProbed{server: catalog.ServerEntry{ID: "a", Zone: "z0"}, sentAt: sent, reach: steering.Unreachable})
	}
	f.step(1, evSuspect{"a", 0})
	fail(1)
	f.run(100 * time.Millisecond)
	for i, m := range f.nodes {
		probes := 0
		if m.zone == "z0" || i == 1 {
			probes = 1 // the server's zone, and who found out
		}
		require.EqualValues(t, probes, m.counts.Probes, "instance %d", i)
	}
	f.messages = 0
	for i := range f.nodes {
		if i != 1 {
			fail(i)
		}
	}
	require.Less(t, f.messages, 30*16, "whom others told does not tell others")
}

// Guards against more probes for others' sake than the traffic to the servers would need.
func TestProbesForOthersAreFew(t *testing.T) {
	f := settled(t, 2, 1)
	message := f.nodes[0].message(peer.Gossip, "n01")
	for i := range 100 {
		id := fmt.Sprintf("b%d", i)
		f.store.server(id)
		message.UnreachableServers = append(message.UnreachableServers, catalog.ServerRun{ID: model.ServerID(id)})
	}
	f.run(2 * time.Second)
	f.step(1, evMessage{message})
	f.run(100 * time.Millisecond)
	require.EqualValues(t, maxTold, f.nodes[1].counts.Probes)
}

// failProbe lets an instance suspect server a, and its probe fail after 300 ms.
func (f *fleet) failProbe(node int) {
	f.step(node, evSuspect{"a", 0})
	sent := f.now
	f.run(300 * time.Millisecond)
	f.step(node, evProbed{server: catalog.ServerEntry{ID: "a", Zone: "z0"}, sentAt: sent, reach: steering.Unreachable})
}

// reach returns what an instance believes of server a.
func (f *fleet) reach(node int) steering.ProbeResult {
	s, m := &steering.Snapshot{}, f.nodes[node]
	m.catalog.Fill(f.now, s, m.home)
	return s.Services["s"].Servers[0].ProbeResult
}
