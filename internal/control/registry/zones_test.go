package registry

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a zone that is lost alone and noticed by each of its servers' silence
// only, and against a cut seen where a third zone can be reached.
func TestZoneThatDoesNotAnswerIsTold(t *testing.T) {
	f := settled(t, 30, 3)
	f.cut = func(from, to int) bool { return from%3 == 1 && to%3 == 0 || from%3 == 0 && to%3 == 1 }
	for range 4 {
		f.step(1, evSuspect{"a", 0})
		f.run(110 * time.Millisecond)
	}
	f.run(publishEvery)
	require.NotZero(t, f.snapshot[1].UnresponsiveSince["z0"])
	require.False(t, f.snapshot[1].CutOff)
	f.cut = nil
	f.run(3 * time.Second)
	require.Zero(t, f.snapshot[1].UnresponsiveSince["z0"])
}

// Guards against a zone that goes on taking flows for servers it cannot reach until it
// misses the others' messages: a suspected server of another zone tells it earlier.
func TestSuspectedServerShowsACutZoneEarlier(t *testing.T) {
	for _, cut := range []bool{true, false} {
		f := settled(t, 30, 3)
		f.loss = 0.01
		if cut {
			f.cut = func(from, to int) bool { return from%3 != to%3 && (from%3 == 1 || to%3 == 1) }
		}
		f.messages = 0
		for range 4 {
			f.step(1, evSuspect{"a", 0})
			f.run(100 * time.Millisecond)
		}
		require.Equal(t, cut, f.nodes[1].peers.cut, "a is in another zone")
		require.Less(t, f.messages, 30*16, "questions stay few")
		f.cut = nil
		f.run(500 * time.Millisecond)
		require.False(t, f.nodes[1].peers.cut, "any message of another zone ends it")
	}
}

// Guards against a zone whose relay has died, and against one that is cut off
// from the watcher.
func TestZonesWithoutRelayOrWatcherReadForThemselves(t *testing.T) {
	f := settled(t, 12, 3)
	for i, m := range f.nodes {
		if m.relays() && !m.watches() {
			f.kill(i)
		}
	}
	f.store.config(5, 20)
	require.LessOrEqual(t, f.everywhere(5, 5*time.Second), 2500*time.Millisecond)
	f.run(5 * time.Second)
	f.cut = func(from, to int) bool { return from%3 != to%3 }
	f.store.config(6, 20)
	require.LessOrEqual(t, f.everywhere(6, 5*time.Second), 2500*time.Millisecond)
	f.run(8 * time.Second)
	clear(f.store.calls)
	f.run(10 * time.Second)
	require.LessOrEqual(t, f.store.calls["check"]+f.store.calls["list"], 3*15, "each zone has a watcher of its own: %v", f.store.calls)
}

// Guards against instances without a watcher that list the whole registry for each
// change: a listing takes a call for every page.
func TestInstancesOfACutZoneReadChangesOnly(t *testing.T) {
	f := settled(t, 12, 3)
	f.cut = func(from, to int) bool { return from != to && (from%3 == 1 || to%3 == 1) }
	clear(f.store.calls)
	for i := range 20 {
		f.store.server(fmt.Sprintf("b%d", i))
		f.run(400 * time.Millisecond)
	}
	f.store.config(5, 20)
	require.LessOrEqual(t, f.everywhere(5, 5*time.Second), 2500*time.Millisecond)
	require.Zero(t, f.store.calls["list"], "%v", f.store.calls)
}

// Guards against an instance that does not notice that its zone is cut off, or
// that the cut has healed.
func TestZoneThatIsCutOffNoticesItAndItsEnd(t *testing.T) {
	f := settled(t, 9, 3)
	f.cut = func(from, to int) bool { return (from%3 == 0) != (to%3 == 0) }
	f.run(1500 * time.Millisecond)
	for i, s := range f.snapshot {
		require.Equal(t, i%3 == 0, s.CutOff, "instance %d", i)
	}
	f.run(10 * time.Second)
	f.cut = nil
	f.run(1500 * time.Millisecond)
	for i, s := range f.snapshot {
		require.False(t, s.CutOff, "instance %d", i)
	}
}

// Guards against an instance that starts in the middle of a partition and counts
// as connected, because it never heard another zone.
func TestInstanceThatStartsInACutZoneNoticesIt(t *testing.T) {
	f := settled(t, 9, 3)
	f.cut = func(from, to int) bool { return from%3 != to%3 }
	f.run(15 * time.Second) // its neighbours hold the others dead by now
	f.kill(3)
	f.start(3, 3)
	for range 50 {
		f.run(100 * time.Millisecond)
		if s := f.snapshot[3]; s != nil {
			require.True(t, s.CutOff)
		}
	}
	f.cut = nil
	f.run(1500 * time.Millisecond)
	require.False(t, f.snapshot[3].CutOff)
}

// Guards against an instance that waits for other zones where there are none.
func TestSingleZoneIsNotCutOff(t *testing.T) {
	f := newFleet(t, 2, 1)
	f.store.config(3, 2)
	f.store.server("a")
	f.run(3 * time.Second)
	require.False(t, f.snapshot[0].CutOff)
}

// Guards against a fleet that stays split after a long partition between zones,
// and against zones that count as connected because they have forgotten others.
func TestLongPartitionHeals(t *testing.T) {
	f := settled(t, 9, 3)
	f.cut = func(from, to int) bool { return from%3 != to%3 }
	f.run(2 * time.Minute)
	for i, s := range f.snapshot {
		require.True(t, s.CutOff, "instance %d", i)
	}
	f.cut = nil
	f.run(10 * time.Second)
	for i, m := range f.nodes {
		require.Equal(t, 9, m.peers.placed.LiveCount(), "instance %d", i)
	}
}

// Guards against an instance that takes a few lost messages for a cut.
func TestLostMessagesAreNoCut(t *testing.T) {
	for _, n := range []int{4, 12} {
		f := settled(t, n, 4)
		f.loss = 0.05
		for range 300 {
			f.run(100 * time.Millisecond)
			for i, s := range f.snapshot {
				require.False(t, s.CutOff, "instance %d", i)
			}
		}
	}
}

// Guards against several instances that take themselves for the home of a cold
// server once the fleet has settled.
func TestColdStartHasOneHome(t *testing.T) {
	f := settled(t, 9, 3)
	homes := 0
	for _, m := range f.nodes {
		if m.home("a", "z0") {
			homes++
		}
	}
	require.Equal(t, 1, homes)
	fresh := newFleet(t, 9, 3)
	fresh.run(2 * time.Second)
	for _, m := range fresh.nodes {
		require.False(t, m.home("a", "z0"), "a fleet that has just started knows too little")
	}
}
