package platform

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/savorytiller/savorytiller/internal/standin/wire"
)

type testClock struct{ now time.Time }

func (c *testClock) Now() time.Time { return c.now }

func read(p *Platform, key string, watch bool, known uint64) chan answer {
	reply := make(chan answer, 1)
	p.handle(readEvent{key: key, watch: watch, known: known, reply: reply})
	return reply
}

// Guards against a read budget that does not refuse, which would hide that the
// system reads more than the platform allows.
func TestReadBudgetCountsAndRefuses(t *testing.T) {
	clock := &testClock{now: time.Unix(1000, 0)}
	p := New(0, clock.Now)
	p.put("release/latest", []byte("x"))
	for range ReadsPerSecond - 1 {
		require.Equal(t, statusOK, (<-read(p, "release/latest", false, 0)).status)
	}
	waiting := read(p, "release/latest", true, 1)
	require.Equal(t, statusOverBudget, (<-read(p, "release/latest", false, 0)).status)
	clock.now = clock.now.Add(999 * time.Millisecond)
	p.wake()
	require.Empty(t, waiting)
	require.Equal(t, statusOverBudget, (<-read(p, "release/latest", false, 0)).status)
	clock.now = clock.now.Add(time.Millisecond)
	require.Equal(t, statusOK, (<-read(p, "release/latest", false, 0)).status)
	require.Equal(t, Stats{Reads: ReadsPerSecond + 2, Watches: 1, Refused: 2, MaxSecond: ReadsPerSecond + 2, Second: 1}, p.stats)
}

// Guards against a watch that misses a publication or never ends.
func TestWatchEndsAtChangeOrTimeLimit(t *testing.T) {
	clock := &testClock{now: time.Unix(1000, 0)}
	p := New(0, clock.Now)
	p.publish(&wire.Note{Format: 1, Version: 1})
	first := read(p, "release/latest", true, 1)
	require.Empty(t, first)
	p.publish(&wire.Note{Format: 1, Version: 2, Base: 1})
	require.Equal(t, uint64(2), (<-first).revision)
	second := read(p, "release/latest", true, 2)
	clock.now = clock.now.Add(WatchTimeout)
	p.wake()
	require.Equal(t, uint64(2), (<-second).revision)
}

// Guards against a stale configuration service that shows newer values, and an
// outage that loses publications.
func TestModes(t *testing.T) {
	p := New(0, (&testClock{now: time.Unix(1000, 0)}).Now)
	p.put("k", []byte("old"))
	p.setMode(Stale)
	p.put("k", []byte("new"))
	require.Equal(t, "old", string((<-read(p, "k", false, 0)).value))
	p.setMode(Down)
	require.Equal(t, statusDown, (<-read(p, "k", false, 0)).status)
	p.setMode(Hanging)
	pending := read(p, "k", false, 0)
	require.Empty(t, pending)
	p.setMode(Up)
	require.Equal(t, "new", string((<-pending).value))
}

// Guards against an instance list without the lag that the real one has.
func TestInstanceListLags(t *testing.T) {
	clock := &testClock{now: time.Unix(1000, 0)}
	p := New(2*time.Second, clock.Now)
	p.handle(instanceEvent{instance: wire.Instance{ID: "a", State: "live"}})
	clock.now = clock.now.Add(1999 * time.Millisecond)
	require.Empty(t, p.list().Instances)
	clock.now = clock.now.Add(time.Millisecond)
	require.Len(t, p.list().Instances, 1)
	p.handle(instanceEvent{instance: wire.Instance{ID: "a"}, removed: true})
	require.Len(t, p.list().Instances, 1)
	clock.now = clock.now.Add(2 * time.Second)
	require.Empty(t, p.list().Instances)
}
