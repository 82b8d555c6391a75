package registry

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/savorytiller/savorytiller/internal/core/belief"
	"github.com/savorytiller/savorytiller/internal/core/catalog"
	"github.com/savorytiller/savorytiller/internal/core/model"
)

// home returns the live instance that monitors server a.
func (f *fleet) home() int {
	for i, m := range f.nodes {
		if f.alive[i] && m.ends.monitors[catalog.ServerRun{ID: "a"}] != nil {
			return i
		}
	}
	f.t.Fatalf("nobody monitors server a")
	return 0
}

// using returns the number of instances that give server a new flows.
func (f *fleet) using() (n int) {
	for _, s := range f.snapshots {
		n += len(s.Services["s"].Servers)
	}
	return n
}

// closeMonitor lets the connection of the monitor of server a end.
func (f *fleet) closeMonitor(node int, result belief.ProbeResult) {
	f.step(node, evMonitored{server: catalog.ServerEntry{ID: "a", Zone: "z0"}, at: f.now, result: result})
}

// Guards against a server that restarts cold without contact to the registry and gets flows as a
// warm one: instances went on with the entry of its former run, and the next probe that
// succeeded made the server warm. The end is known to the whole fleet at once, and holds
// until the server writes an entry or has answered for some time.
func TestColdStartOfARestartedServerWithoutAnEntry(t *testing.T) {
	f := newRunningFleet(t, 30, 3)
	require.Equal(t, 30, f.using())
	monitors := 0
	for _, m := range f.nodes {
		monitors += len(m.ends.monitors)
	}
	require.Equal(t, 1, monitors, "one instance monitors each server")
	home := f.home()
	f.closeMonitor(home, belief.Ended)
	f.run(100 * time.Millisecond)
	require.Zero(t, f.using())

	// The server answers again. The home has probed it since.
	f.run(time.Second)
	sent := f.now
	f.run(10 * time.Millisecond)
	f.step(home, evProbed{server: catalog.ServerEntry{ID: "a", Zone: "z0"}, sentAt: sent, result: belief.Reachable})
	f.run(5 * time.Second)
	require.Zero(t, f.using(), "it may be cold")
	f.run(2 * time.Second)
	require.Equal(t, 30, f.using(), "no entry of a later run was written, so the end was wrongly seen, or the server is warm by now")

	f.closeMonitor(f.home(), belief.Ended)
	f.run(100 * time.Millisecond)
	require.Zero(t, f.using())
	f.store.put(catalog.Entry{Key: "servers/a", Server: &catalog.ServerEntry{ID: "a", Number: 1, Started: 5,
		Address: f.store.entries["servers/a"].Server.Address, Service: "s", Zone: "z0", Slots: 4, ColdFor: 2 * time.Second}})
	f.run(500 * time.Millisecond)
	require.Equal(t, 30, f.using(), "the entry of the later run says how it starts")
}

// Guards against full load on a server that crashes just after its entry expired and starts again cold:
// it got flows for some time, as warm as its entry had been, and nobody noticed the end of its run.
func TestColdStartOfAServerThatEndsAfterItsEntryExpired(t *testing.T) {
	f := newRunningFleet(t, 12, 3)
	f.removeServer("a")
	f.run(500 * time.Millisecond)
	require.Equal(t, 12, f.using(), "its entry may be restored")
	home := f.home()
	f.closeMonitor(home, belief.Ended)
	f.run(100 * time.Millisecond)
	require.Zero(t, f.using(), "the whole fleet knows of the end")
	f.step(home, evProbed{server: catalog.ServerEntry{ID: "a", Zone: "z0"}, sentAt: f.now, result: belief.Reachable})
	f.run(time.Second)
	require.Zero(t, f.using(), "what answers is another run")

	f.store.put(catalog.Entry{Key: "servers/a", Server: &catalog.ServerEntry{ID: "a", Number: 1, Started: 5,
		Address: netip.MustParseAddrPort("10.0.0.1:80"), Service: "s", Zone: "z0", Slots: 4, ColdFor: 2 * time.Second}})
	f.run(500 * time.Millisecond)
	require.Equal(t, 12, f.using())
	f.removeServer("a")
	f.run(4 * time.Second)
	require.Zero(t, f.using())
	for i, m := range f.nodes {
		require.Empty(t, m.ends.monitors, "instance %d monitors a server that gets no flows any more", i)
	}
}

// Guards against instances that give a server that restarted cold its full share because they started, or
// were cut off, when its end was reported: the entry that they have is that of the former run.
func TestEndsAreToldToInstancesThatJoin(t *testing.T) {
	f := newRunningFleet(t, 12, 3)
	home := f.home()
	others := slices.DeleteFunc([]int{0, 3, 6, 9}, func(i int) bool { return i == home })
	cutOff, restarted := others[0], others[1]
	f.blocked = func(from, to int) bool { return from == cutOff || to == cutOff }
	f.run(500 * time.Millisecond)
	f.closeMonitor(home, belief.Ended)
	f.run(300 * time.Millisecond)
	f.step(home, evProbed{server: catalog.ServerEntry{ID: "a", Zone: "z0"}, sentAt: f.now, result: belief.Reachable})
	f.run(700 * time.Millisecond)
	require.Equal(t, 1, f.using(), "the one that is cut off does not know")
	f.restart(restarted, 3)
	f.restart(1, 3) // in another zone
	f.run(500 * time.Millisecond)
	f.blocked = nil
	for range 25 {
		f.run(100 * time.Millisecond)
		require.LessOrEqual(t, f.using(), 1)
	}
	require.Zero(t, f.using(), "those that started know it from the others, and the one that was cut off too")
	f.run(12 * time.Second)
	require.Equal(t, 12, f.using(), "the knowledge ends, although instances of a zone join it again and again")
}

// Guards against a server that is taken out of service because its monitor did not reach it, and
// against connections that are opened in a loop.
func TestServerThatCannotBeMonitoredIsProbed(t *testing.T) {
	f := newRunningFleet(t, 4, 1)
	home := f.home()
	m := f.nodes[home]
	started := 0
	for range 20 {
		if m.ends.monitors[catalog.ServerRun{ID: "a"}].running {
			started++
			f.closeMonitor(home, belief.ProbeUnknown)
		}
		f.run(100 * time.Millisecond)
		require.Equal(t, 4, f.using())
	}
	require.LessOrEqual(t, started, 5)
	require.EqualValues(t, 1, m.counts.Probes, "a probe decides")
}

// Guards against monitors that outlive the duty, and against more messages than the ends of many
// servers are worth.
func TestMonitorsFollowTheHomeAndReportsAreLimited(t *testing.T) {
	f := newRunningFleet(t, 12, 2)
	for i := range 40 {
		f.store.server(string(rune('b'+i%20)) + string(rune('a'+i/20)))
	}
	f.run(3 * time.Second)
	f.messages = 0
	for _, m := range f.nodes {
		for run := range m.ends.monitors {
			m.reportEnd(&catalog.ServerEntry{ID: run.ID, Zone: "z0"}) // not seen: nothing to report
			m.recordProbe(&catalog.ServerEntry{ID: run.ID, Zone: "z0"}, f.now, belief.Ended)
		}
	}
	f.run(time.Second)
	require.Less(t, f.messages, 1500)
	require.Zero(t, f.using())

	home := f.home()
	f.kill(home)
	f.run(8 * time.Second)
	require.NotEqual(t, home, f.home(), "another instance takes over")
	f.removeServer("a")
	f.run(3 * time.Second)
	for i, m := range f.nodes {
		if f.alive[i] {
			require.Nil(t, m.ends.monitors[catalog.ServerRun{ID: "a"}])
		}
	}
	f.nodes[0].monitorDone(evMonitored{server: catalog.ServerEntry{ID: model.ServerID("a"), Zone: "z0"}, at: f.now, result: belief.Ended}) // a late result
}

// Guards against full load on a server that lost power while the registry was out of reach, started again
// under its ID, and could not say that it is cold. It is warm after a cold start.
func TestServerThatReturnsWithoutTheRegistryIsCold(t *testing.T) {
	f := newRunningFleet(t, 6, 1)
	f.store.down = func(int) bool { return true }
	f.run(200 * time.Millisecond)
	for _, result := range []belief.ProbeResult{belief.Unreachable, belief.Reachable} {
		sent := f.now
		f.run(100 * time.Millisecond)
		for i := range f.nodes {
			f.nodes[i].recordAnswer(f.now)
			f.step(i, evProbed{server: catalog.ServerEntry{ID: "a", Zone: "z0"}, sentAt: sent, result: result})
		}
	}
	cold := func() (cold, homes int) {
		for _, s := range f.snapshots {
			for _, server := range s.Services["s"].Servers {
				if server.ColdUntil.After(f.now) {
					cold++
					if server.ColdHome {
						homes++
					}
				}
			}
		}
		return cold, homes
	}
	f.run(time.Second)
	n, homes := cold()
	require.Equal(t, []int{6, 1}, []int{n, homes}, "only the home sends flows, few at a time")
	f.store.down = nil
	f.run(3 * time.Second)
	n, homes = cold()
	require.Equal(t, []int{6, 1}, []int{n, homes}, "its home lost it too, and it may not reach the registry itself")
	f.run(2100 * time.Millisecond)
	n, _ = cold()
	require.Zero(t, n, "a cold start has passed")
}
