package platform

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/savorytiller/savorytiller/internal/standin/wire"
)

type testClock struct{ now time.Time }

func (c *testClock) Now() time.Time { return c.now }

func startRead(p *Platform, key string, watch bool, known uint64) chan readReply {
	reply := make(chan readReply, 1)
	p.handle(readEvent{key: key, watch: watch, knownRevision: known, reply: reply})
	return reply
}

// Guards against a read budget that is not enforced: it would hide that the
// system reads more often than the platform allows.
func TestReadBudgetRefusesExcessReads(t *testing.T) {
	clock := &testClock{now: time.Unix(1000, 0)}
	p := New(0, clock.Now)
	p.put("release/latest", []byte("x"))
	for range MaxReadsPerSecond - 1 {
		require.Equal(t, statusOK, (<-startRead(p, "release/latest", false, 0)).status)
	}
	watch := startRead(p, "release/latest", true, 1)
	require.Equal(t, statusOverBudget, (<-startRead(p, "release/latest", false, 0)).status)
	clock.now = clock.now.Add(999 * time.Millisecond)
	p.completeWatches()
	require.Empty(t, watch)
	require.Equal(t, statusOverBudget, (<-startRead(p, "release/latest", false, 0)).status)
	clock.now = clock.now.Add(time.Millisecond)
	require.Equal(t, statusOK, (<-startRead(p, "release/latest", false, 0)).status)
	require.Equal(t, Stats{Reads: MaxReadsPerSecond + 2, Watches: 1, Refused: 2, PeakReadsPerSecond: MaxReadsPerSecond + 2, ReadsThisSecond: 1}, p.stats)
}

// Guards against a watch that misses a published value or that outlives its timeout.
func TestWatchEndsAtChangeOrTimeout(t *testing.T) {
	clock := &testClock{now: time.Unix(1000, 0)}
	p := New(0, clock.Now)
	p.publish(&wire.Note{Format: 1, Version: 1})
	firstWatch := startRead(p, "release/latest", true, 1)
	require.Empty(t, firstWatch)
	p.publish(&wire.Note{Format: 1, Version: 2, Base: 1})
	require.Equal(t, uint64(2), (<-firstWatch).revision)
	secondWatch := startRead(p, "release/latest", true, 2)
	clock.now = clock.now.Add(WatchTimeout)
	p.completeWatches()
	require.Equal(t, uint64(2), (<-secondWatch).revision)
}

// Guards against a stale configuration service that serves newer values, and
// against an outage that loses published values.
func TestModesOfConfigurationService(t *testing.T) {
	p := New(0, (&testClock{now: time.Unix(1000, 0)}).Now)
	p.put("k", []byte("old"))
	p.setMode(Stale)
	p.put("k", []byte("new"))
	require.Equal(t, "old", string((<-startRead(p, "k", false, 0)).value))
	p.setMode(Down)
	require.Equal(t, statusDown, (<-startRead(p, "k", false, 0)).status)
	p.setMode(Hanging)
	pending := startRead(p, "k", false, 0)
	require.Empty(t, pending)
	p.setMode(Up)
	require.Equal(t, "new", string((<-pending).value))
}

// Guards against an instance list that shows changes at once: tests would not show
// how the system behaves with the lag of the real platform.
func TestInstanceListShowsChangesAfterLag(t *testing.T) {
	clock := &testClock{now: time.Unix(1000, 0)}
	p := New(2*time.Second, clock.Now)
	p.handle(instanceEvent{instance: wire.Instance{ID: "a", State: "live"}})
	clock.now = clock.now.Add(1999 * time.Millisecond)
	require.Empty(t, p.instanceList().Instances)
	clock.now = clock.now.Add(time.Millisecond)
	require.Len(t, p.instanceList().Instances, 1)
	p.handle(instanceEvent{instance: wire.Instance{ID: "a"}, removed: true})
	require.Len(t, p.instanceList().Instances, 1)
	clock.now = clock.now.Add(2 * time.Second)
	require.Empty(t, p.instanceList().Instances)
}
