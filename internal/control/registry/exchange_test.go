package registry

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/savorytiller/savorytiller/internal/core/catalog"
	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/core/peer"
)

// Guards against an instance that the seeds do not lead to the others.
func TestInstancesFindEachOtherFromOneSeed(t *testing.T) {
	f := settled(t, 20, 4)
	for i, m := range f.nodes {
		require.Equal(t, 20, m.peers.placed.LiveCount(), "instance %d", i)
	}
}

// Guards against calls to the registry that grow with the fleet, and against a
// configuration that takes long to reach an instance that does not watch.
func TestWatcherTellsAllZones(t *testing.T) {
	f := settled(t, 40, 4)
	clear(f.store.calls)
	f.run(10 * time.Second)
	require.LessOrEqual(t, f.store.calls["check"]+f.store.calls["watch"]+f.store.calls["list"], 2*10,
		"one watcher for 10 s, of 40 instances: %v", f.store.calls)
	f.store.config(5, 25)
	require.LessOrEqual(t, f.everywhere(5, 3*time.Second), time.Second)
}

// Guards against a zone that learns nothing because its watcher has died.
func TestDeadWatcherIsReplacedInTime(t *testing.T) {
	f := settled(t, 12, 3)
	for i := range f.nodes {
		if f.nodes[i].watches() {
			f.kill(i)
		}
	}
	f.store.config(5, 20)
	require.LessOrEqual(t, f.everywhere(5, 5*time.Second), 2500*time.Millisecond)
}

// Guards against a fleet that takes a complete listing from one instance after a
// compaction, and against removals that are lost between them.
func TestCompactionSpreadsAsChanges(t *testing.T) {
	f := settled(t, 12, 3)
	for i := range 40 {
		f.store.server(fmt.Sprintf("more-%d", i))
	}
	f.run(3 * time.Second)
	f.store.deaf = true
	for i := range 30 {
		f.store.put(catalog.Entry{Key: fmt.Sprintf("servers/more-%d", i), Removed: true})
	}
	f.store.config(5, 20)
	f.store.compacted = f.store.revision
	f.store.deaf = false
	clear(f.store.calls)
	require.LessOrEqual(t, f.everywhere(5, 3*time.Second), 2500*time.Millisecond)
	require.LessOrEqual(t, f.store.calls["list"], 3)
	f.run(3 * time.Second)
	for i, s := range f.snapshot {
		require.Len(t, s.Services["s"].Servers, 11, "instance %d", i)
	}
}

// Guards against changes that are sent twice: a message that shows that they exist may
// overtake them, and a question for them then costs as much as they do.
func TestChangesAreNotPulledWhileTheyAreOnTheirWay(t *testing.T) {
	f := settled(t, 30, 3)
	before := f.pulls()
	for i := range 60 {
		f.store.server(fmt.Sprintf("b%d", i%20))
		f.run(40 * time.Millisecond)
	}
	f.run(time.Second)
	require.Zero(t, f.pulls()-before)
}

// Guards against an instance that waits for a change that was lost although the next one
// has arrived over the same way.
func TestLostChangeIsPulledSoonAfterTheNextOne(t *testing.T) {
	f := settled(t, 12, 3)
	f.cut = func(_, to int) bool { return to == 4 }
	f.store.server("b")
	f.run(120 * time.Millisecond)
	f.cut = nil
	f.store.config(5, 20)
	require.LessOrEqual(t, f.everywhere(5, 5*time.Second), 100*time.Millisecond+pullAfterGap+30*time.Millisecond)
}

// Guards against instances that each read the same changes when the watcher is lost and
// each send them to their whole zone: 177 MB in 4 s with 300 instances and 3,000 servers.
func TestChangesReadWithoutAWatcherAreSentOnce(t *testing.T) {
	f := settled(t, 60, 3)
	for i, m := range f.nodes {
		if m.watches() {
			f.kill(i)
		}
	}
	for i := range 400 {
		f.store.server(fmt.Sprintf("b%04d", i))
	}
	f.changes = 0
	f.run(2500 * time.Millisecond)
	for i, m := range f.nodes {
		require.True(t, !f.alive[i] || m.feed.revision == f.store.revision, "instance %d", i)
	}
	parts := len(peer.Split(f.store.list().Entries))
	require.LessOrEqual(t, f.changes, 2*60*parts, "each instance gets the changes twice at most")
}

// Guards against whole listings between instances after many servers have changed, as
// when a zone returns: with 300 instances they took all of the links.
func TestManyChangesArePulledWithoutAListing(t *testing.T) {
	f := settled(t, 6, 2)
	change := func() {
		for i := range 1500 {
			f.store.server(fmt.Sprintf("b%04d", i))
		}
	}
	change()
	f.run(2 * time.Second)
	f.store.down = func(node int) bool { return node == 5 }
	f.cut = func(from, to int) bool { return from == 5 || to == 5 }
	change()
	f.run(time.Second)
	f.cut, f.listings = nil, 0
	f.run(5 * time.Second)
	require.Equal(t, f.store.revision, f.nodes[5].feed.revision)
	require.Zero(t, f.listings)
}

// Guards against a listing that never completes because the parts of two answers mix:
// each part of one made the instance forget the other.
func TestAnswersInPartsOfTwoInstancesComplete(t *testing.T) {
	f := settled(t, 3, 1)
	parts := func(node int) []*peer.Message {
		var all []*peer.Message
		for i := range 3 {
			message := f.nodes[node].message(peer.Changes, "n02")
			message.CallID, message.AfterRevision, message.Revision = 900, f.store.revision, f.store.revision+9
			message.Part, message.Parts = i, 3
			message.Entries = []catalog.Entry{{Key: fmt.Sprintf("servers/%d", i), Revision: f.store.revision + uint64(i) + 7, Removed: true}}
			all = append(all, message)
		}
		return all
	}
	first, second := parts(0), parts(1)
	m := f.nodes[2]
	for i := range 3 {
		m.handle(f.now, evMessage{first[i]})
		m.handle(f.now, evMessage{second[i]})
	}
	require.Equal(t, f.store.revision+9, m.feed.revision)
}

// Guards against an instance that is cut from the registry and has old news,
// while its neighbours have new ones.
func TestInstancesWithoutRegistryLearnFromOthers(t *testing.T) {
	f := settled(t, 9, 3)
	f.store.down = func(node int) bool { return node%3 == 0 } // the whole zone z0
	f.run(5 * time.Second)
	f.store.config(5, 20)
	require.LessOrEqual(t, f.everywhere(5, 10*time.Second), 4*time.Second)
}

// Guards against an instance that starts while the registry is away and serves
// nothing although its neighbours know everything.
func TestInstanceThatStartsWithoutRegistryTakesAListingFromOthers(t *testing.T) {
	f := settled(t, 6, 2)
	for i := range 200 {
		f.store.server(fmt.Sprintf("more-%d", i))
	}
	f.run(2 * time.Second)
	f.store.down = func(int) bool { return true }
	f.run(3 * time.Second)
	f.kill(2)
	f.start(2, 2)
	require.LessOrEqual(t, f.everywhere(3, 10*time.Second), 3*time.Second)
	require.Len(t, f.snapshot[2].Services["s"].Servers, 201)
}

// Guards against a leaving instance that keeps the duties of its zone.
func TestLeavingInstanceHandsItsWatchOver(t *testing.T) {
	f := settled(t, 4, 1)
	for i, m := range f.nodes {
		if m.watches() {
			f.step(i, evLeave{})
		}
	}
	f.run(3 * time.Second)
	watchers := 0
	for _, m := range f.nodes {
		if m.watches() && m.peers.table.Self().Liveness == model.Live {
			watchers++
		}
	}
	require.Equal(t, 1, watchers)
}

// Guards against messages between instances that grow with the fleet.
func TestMessagesOfAnInstanceStayBounded(t *testing.T) {
	for _, n := range []int{8, 32} {
		f := settled(t, n, 4)
		f.messages = 0
		f.run(10 * time.Second)
		require.LessOrEqual(t, float64(f.messages)/float64(n)/10, 16.0, "%d instances", n)
	}
}
