package registry

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/savorytiller/savorytiller/internal/core/catalog"
	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/core/peer"
	"github.com/savorytiller/savorytiller/internal/core/steering"
	"github.com/savorytiller/savorytiller/internal/port"
)

// Guards against an instance that the seeds do not lead to the others.
func TestInstancesFindEachOtherFromOneSeed(t *testing.T) {
	f := settled(t, 20, 4)
	for i, m := range f.nodes {
		require.Equal(t, 20, m.peers.placed.Live(), "instance %d", i)
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

// Guards against a change that a watch does not deliver: around a compaction it
// hears nothing although changes are made.
func TestChangesThatWatchesMissAreFoundByChecks(t *testing.T) {
	f := settled(t, 7, 3)
	f.store.deaf = true
	f.store.config(5, 20)
	require.LessOrEqual(t, f.everywhere(5, 3*time.Second), 2500*time.Millisecond)
	f.run(2 * time.Second)
	f.store.config(6, 20)
	f.store.compacted = f.store.revision
	f.store.deaf = false
	require.LessOrEqual(t, f.everywhere(6, 3*time.Second), 2500*time.Millisecond)
}

// Guards against a configuration that goes back on an instance, whatever is lost
// or repeated between instances. The rig checks each snapshot.
func TestNeverRevertsUnderLossAndRestarts(t *testing.T) {
	f := settled(t, 12, 3)
	f.loss = 0.2
	for version := uint64(5); version < 25; version++ {
		f.store.config(version, 20+int(version))
		if version%4 == 0 {
			i := int(version) % 12
			f.kill(i)
			f.start(i, 3)
		}
		f.run(300 * time.Millisecond)
	}
	require.LessOrEqual(t, f.everywhere(24, 10*time.Second), 3*time.Second)
}

// Guards against an instance that claims to know everything up to a revision and
// does not, whatever is lost, late or compacted on the way. The rig compares each
// belief with what the registry held.
func TestBeliefsAreCompleteUnderRandomFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := settled(t, rapid.IntRange(3, 9).Draw(rt, "instances"), rapid.IntRange(1, 3).Draw(rt, "zones"))
		zones := 3
		version := uint64(10)
		for range rapid.IntRange(5, 25).Draw(rt, "steps") {
			i := rapid.IntRange(0, len(f.nodes)-1).Draw(rt, "instance")
			switch rapid.IntRange(0, 9).Draw(rt, "step") {
			case 0, 1:
				version += 2
				f.store.config(version, rapid.IntRange(1, 40).Draw(rt, "routes"))
			case 2, 3:
				for n := range rapid.IntRange(1, 15).Draw(rt, "servers") {
					f.store.server(fmt.Sprint("x", n))
				}
			case 4:
				for n := range rapid.IntRange(1, 15).Draw(rt, "removed") {
					f.store.put(catalog.Entry{Key: fmt.Sprint("servers/x", n), Removed: true})
				}
			case 5:
				f.store.compacted, f.store.history = f.store.revision, nil
			case 6:
				f.store.deaf = !f.store.deaf
			case 7:
				f.kill(i)
				f.start(i, zones)
			case 8:
				down := rapid.IntRange(0, 3).Draw(rt, "down")
				f.store.down = func(node int) bool { return node%3 < down }
			case 9:
				f.loss = rapid.Float64Range(0, 0.4).Draw(rt, "loss")
			}
			f.run(time.Duration(rapid.IntRange(1, 1500).Draw(rt, "ms")) * time.Millisecond)
		}
		f.store.down, f.store.deaf, f.loss = nil, false, 0
		f.run(5 * time.Second)
		version += 2
		f.store.config(version, 3)
		f.everywhere(version, 3*time.Second)
	})
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

// Guards against a listing that never completes because the parts of two answers mix:
// each part of one made the instance forget the other.
func TestAnswersInPartsOfTwoInstancesComplete(t *testing.T) {
	f := settled(t, 3, 1)
	parts := func(node int) []*peer.Message {
		var all []*peer.Message
		for i := range 3 {
			message := f.nodes[node].message(peer.Changes, "n02")
			message.Call, message.After, message.Revision = 900, f.store.revision, f.store.revision+9
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

// Guards against servers that count as gone because their entries expired while
// the registry was away.
func TestServersStayWhileTheRegistryIsAway(t *testing.T) {
	f := settled(t, 4, 2)
	f.store.down = func(int) bool { return true }
	f.run(5 * time.Second)
	f.store.put(catalog.Entry{Key: "servers/a", Removed: true})
	f.store.compacted = f.store.revision
	f.run(5 * time.Second)
	f.store.down = nil
	f.run(1500 * time.Millisecond)
	for i, s := range f.snapshot {
		require.Len(t, s.Services["s"].Servers, 1, "instance %d", i)
	}
	f.store.server("a")
	f.run(4 * time.Second)
	for i, s := range f.snapshot {
		require.Len(t, s.Services["s"].Servers, 1, "instance %d", i)
	}
}

// Guards against a view that counts as confirmed although the registry cannot be
// asked, by which a missing route would be refused.
func TestConfirmationAgesWhileTheRegistryIsAway(t *testing.T) {
	f := settled(t, 4, 2)
	require.Less(t, f.now.Sub(f.snapshot[0].ConfirmedAt), 2500*time.Millisecond)
	f.store.down = func(int) bool { return true }
	f.run(5 * time.Second)
	for _, s := range f.snapshot {
		require.Greater(t, f.now.Sub(s.ConfirmedAt), 3*time.Second)
	}
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
		require.Equal(t, 9, m.peers.placed.Live(), "instance %d", i)
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

// Guards against the failure of a probe that is that of the own link: it counts
// only if another instance answered meanwhile.
func TestFailedProbeCountsOnlyIfOthersAnswer(t *testing.T) {
	f := settled(t, 6, 2)
	m := f.nodes[0]
	reach := func() steering.Reach {
		s := &steering.Snapshot{}
		m.catalog.Fill(f.now, s, m.home)
		return s.Services["s"].Servers[0].Reach
	}
	fail := func() {
		f.step(0, evSuspect{"a", 0})
		sent := f.now
		f.run(300 * time.Millisecond)
		f.step(0, evProbed{server: catalog.ServerEntry{ID: "a"}, sentAt: sent, reach: steering.Unreachable})
	}
	f.cut = func(from, to int) bool { return from == 0 || to == 0 }
	fail()
	require.Equal(t, steering.ReachUnknown, reach())
	f.cut = nil
	f.run(time.Second)
	fail()
	require.Equal(t, steering.Unreachable, reach())
}

// Guards against an instance that knows no other, as one that has just started: its
// failed probes count only if the registry answered meanwhile.
func TestFailedProbeOfALoneInstanceCountsOnlyIfTheRegistryAnswers(t *testing.T) {
	f := settled(t, 1, 1)
	m := f.nodes[0]
	fail := func() catalog.Reach {
		f.step(0, evSuspect{"a", 0})
		sent := f.now
		f.run(300 * time.Millisecond)
		f.step(0, evProbed{server: catalog.ServerEntry{ID: "a"}, sentAt: sent, reach: steering.Unreachable})
		s := &steering.Snapshot{}
		m.catalog.Fill(f.now, s, m.home)
		return s.Services["s"].Servers[0].Reach
	}
	f.store.down = func(int) bool { return true }
	require.Equal(t, steering.ReachUnknown, fail())
	f.store.down = nil
	f.run(2 * time.Second)
	require.Equal(t, steering.Unreachable, fail())
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

// Guards against a processor that only builds snapshots while many servers change:
// changes that come within the time of a few builds share one.
func TestChangesShareBuilds(t *testing.T) {
	f := settled(t, 1, 1)
	for i := range 3000 {
		f.store.server(fmt.Sprintf("b%04d", i))
	}
	f.run(2 * time.Second)
	m, builds := f.nodes[0], 0
	last := m.builtAt
	for range 100 {
		m.changed = true
		f.run(5 * time.Millisecond)
		if m.builtAt != last {
			builds, last = builds+1, m.builtAt
		}
	}
	require.LessOrEqual(t, builds, 6, "500 ms at 90 ms for 3,000 servers")
	require.GreaterOrEqual(t, builds, 4)
	f.store.server("last")
	f.run(time.Second)
	require.Len(t, f.snapshot[0].Services["s"].Servers, 3002)
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

// Guards against a limit on a whole listing: with many servers it has so many pages
// that it would never complete.
func TestListingHasNoLimitOfItsOwn(t *testing.T) {
	r := &unlimitedList{}
	e := effList{generation: 3}.run(t.Context(), &Options{Registry: r})
	require.Equal(t, evChanges{generation: 3, whole: true}, e)
	require.False(t, r.limited)
}

// unlimitedList notes whether the context of a listing ends by itself.
type unlimitedList struct {
	neverAnswers
	limited bool
}

func (r *unlimitedList) List(ctx context.Context) (catalog.Changes, error) {
	_, r.limited = ctx.Deadline()
	return catalog.Changes{}, nil
}

// neverAnswers is a registry whose calls last until their contexts end.
type neverAnswers struct{}

func (neverAnswers) List(ctx context.Context) (catalog.Changes, error) {
	<-ctx.Done()
	return catalog.Changes{}, port.ErrUnavailable
}

func (neverAnswers) Watch(ctx context.Context, _ uint64, _ time.Duration) (catalog.Changes, error) {
	<-ctx.Done()
	return catalog.Changes{}, port.ErrUnavailable
}

func (neverAnswers) Revision(ctx context.Context) (uint64, error) {
	<-ctx.Done()
	return 0, port.ErrUnavailable
}

func (neverAnswers) Reconnect() {}

type noPeers struct{}

func (noPeers) Send(netip.AddrPort, *peer.Message) {}

type noProber struct{}

func (noProber) Probe(context.Context, model.ServerID, netip.AddrPort, string) catalog.Reach {
	return catalog.ReachUnknown
}

type clockFunc func() model.Time

func (c clockFunc) Now() model.Time { return c() }

// Guards against a control goroutine that waits for a registry that hangs.
func TestControlEndsWhileTheRegistryHangs(t *testing.T) {
	begun := time.Now()
	c, err := New(Options{Self: model.Member{ID: "n", Zone: "z", PeerAddress: netip.MustParseAddrPort("127.0.0.1:1")},
		Peers: noPeers{}, Prober: noProber{}, Registry: neverAnswers{}, Catalog: catalog.Settings{Lifetime: time.Minute, UnlistedGrace: 2 * time.Second}, ConfigBound: 3 * time.Second,
		Clock: clockFunc(func() model.Time { return model.Time(time.Since(begun)) + second })})
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- c.Run(ctx) }()
	c.Suspect(&steering.Server{ID: "x"})
	c.SetSeeds(nil)
	cancel()
	require.NoError(t, <-done)
	c.Leave() // does not block after the end
	require.Nil(t, c.Snapshot())
}

// Guards against a pause of the process that its log doesn't show: requests fail in it
// and nothing else tells why.
func TestPauseOfTheProcessIsLogged(t *testing.T) {
	f := settled(t, 2, 1)
	var lines []string
	f.nodes[0].log = funcr.New(func(_, args string) { lines = append(lines, args) }, funcr.Options{})
	f.run(5 * time.Second)
	require.NotContains(t, strings.Join(lines, "\n"), "stood still")
	f.queue = slices.DeleteFunc(f.queue, func(d delivery) bool { return d.node == 0 })
	f.now = f.now.Add(4 * time.Second)
	f.step(0, nil)
	require.Contains(t, strings.Join(lines, "\n"), "stood still")
}
