package registry

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/savorytiller/savorytiller/internal/core/belief"
	"github.com/savorytiller/savorytiller/internal/core/catalog"
	"github.com/savorytiller/savorytiller/internal/core/model"
)

// treatment is how instances use server a.
type treatment struct{ none, warm, cold, homes int }

// treatments counts the given instances by how they use server a. homes of those to which it is cold
// may send it flows.
func (f *fleet) treatments(nodes ...int) (t treatment) {
	for _, i := range nodes {
		switch s := f.snapshots[i]; {
		case s == nil || len(s.Services["s"].Servers) == 0:
			t.none++
		case s.Services["s"].Servers[0].ColdUntil.After(f.now):
			t.cold++
			if s.Services["s"].Servers[0].ColdHome {
				t.homes++
			}
		default:
			t.warm++
		}
	}
	return t
}

func (f *fleet) setStoreDown(down bool) {
	f.store.down = nil
	if down {
		f.store.down = func(int) bool { return true }
	}
}

// Guards against full load on servers that lost power together with the instances of their zone while
// the registry was out of reach: instances that started since took the entries of the former runs
// from other zones as those of the present ones.
func TestServersAreInDoubtAfterTheirZoneLostPower(t *testing.T) {
	f := newRunningFleet(t, 6, 3)
	f.setStoreDown(true)
	f.run(100 * time.Millisecond)
	f.kill(0)
	f.kill(3)
	f.run(1200 * time.Millisecond)
	f.start(3, 3)
	f.start(0, 3)
	f.run(900 * time.Millisecond)
	require.Equal(t, treatment{cold: 2}, f.treatments(0, 3))
	require.Equal(t, treatment{cold: 4}, f.treatments(1, 2, 4, 5), "the other zones know that the zone was lost")
	require.True(t, f.snapshots[0].ZoneInDoubt && f.snapshots[3].ZoneInDoubt, "callers are better served in other zones")
	f.run(contactDelay)
	require.Equal(t, treatment{cold: 2}, f.treatments(0, 3), "the server may have started later than the instances")
	f.run(9 * time.Second) // longer than a cold start without a configured time
	require.Equal(t, treatment{warm: 6}, f.treatments(0, 1, 2, 3, 4, 5))
	require.False(t, f.snapshots[0].ZoneInDoubt || f.snapshots[3].ZoneInDoubt)
}

// Guards against warm servers that are held back although the registry shows that they are: with the
// registry in reach the doubts of the start end before callers notice.
func TestDoubtsOfTheStartEndWithTheRegistry(t *testing.T) {
	f := newFleet(t, 9, 3)
	f.store.config(3, 20)
	f.store.server("a")
	f.run(1200 * time.Millisecond) // the instances start within 300 ms
	all := []int{0, 1, 2, 3, 4, 5, 6, 7, 8}
	require.Equal(t, treatment{warm: 9}, f.treatments(all...))
	f.restart(4, 3)
	f.run(1200 * time.Millisecond)
	require.Equal(t, treatment{warm: 9}, f.treatments(all...))
}

// Guards against an instance that gives a server its full share although the home of the server lost it
// for a moment.
func TestDoubtOfTheHomeSpreads(t *testing.T) {
	f := newRunningFleet(t, 6, 1)
	f.setStoreDown(true)
	f.run(200 * time.Millisecond)
	server := catalog.ServerEntry{ID: "a", Zone: "z0"}
	home := f.home()
	f.step(home, evMonitored{server: server, at: f.now, result: belief.Unreachable}) // its connection was reset
	f.run(20 * time.Millisecond)
	f.step(home, evProbed{server: server, sentAt: f.now - 10*ms, result: belief.Reachable})
	f.run(100 * time.Millisecond)
	require.Equal(t, treatment{cold: 6, homes: 1}, f.treatments(0, 1, 2, 3, 4, 5))
	f.setStoreDown(false)
	f.run(4 * time.Second)
	require.Equal(t, treatment{cold: 6, homes: 1}, f.treatments(0, 1, 2, 3, 4, 5), "it may be cut off from the registry itself")
	f.run(2 * time.Second)
	require.Equal(t, treatment{warm: 6}, f.treatments(0, 1, 2, 3, 4, 5), "a cold start has passed")
}

// Guards against several instances that each take themselves for the only one that may send flows to a
// cold server, because they have started while the seeds are down and know no other instance.
func TestInstancesWithoutContactAreNoHomes(t *testing.T) {
	f := newRunningFleet(t, 6, 2)
	for i := range f.nodes {
		f.kill(i)
	}
	f.start(2, 2)
	f.start(4, 2)
	f.run(5 * time.Second)
	f.store.put(catalog.Entry{Key: "servers/a", Server: &catalog.ServerEntry{ID: "a", Number: 1, Started: 5,
		Address: netip.MustParseAddrPort("10.0.0.1:80"), Service: "s", Zone: "z0", Slots: 4, ColdFor: 20 * time.Second}})
	f.run(time.Second)
	require.Equal(t, treatment{cold: 2}, f.treatments(2, 4))
	f.start(0, 2) // the seed
	for range 60 {
		f.run(100 * time.Millisecond)
		require.LessOrEqual(t, f.treatments(0, 2, 4).homes, 1)
	}
	require.Equal(t, treatment{cold: 3, homes: 1}, f.treatments(0, 2, 4))
}

// Guards against a confirmation that ends doubts too soon: servers that could not write their entries
// during an outage of the registry do so within some time of its return.
func TestDoubtsOutlastAnOutageOfTheRegistry(t *testing.T) {
	const second = model.Time(time.Second)
	c := catalog.New(catalog.Settings{Lifetime: time.Minute, UnlistedGrace: 2 * time.Second})
	c.SetRegistryReachable(second, true)
	c.DoubtZone(10*second, 0, "z0")
	c.SetRegistryReachable(11*second, false)
	c.SetRegistryReachable(13*second, true)
	for _, confirmedAt := range []model.Time{14 * second, 15*second - 1, 15 * second} {
		c.SetConfirmed(confirmedAt)
		doubted, _ := c.ZoneInDoubt(15*second, "z0")
		require.Equal(t, confirmedAt < 15*second, doubted, "confirmed as of %v", time.Duration(confirmedAt))
	}
}
