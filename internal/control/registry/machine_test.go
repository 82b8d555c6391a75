package registry

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/savorytiller/savorytiller/internal/core/belief"
	"github.com/savorytiller/savorytiller/internal/core/catalog"
	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/core/peer"
	"github.com/savorytiller/savorytiller/internal/core/steering"
	"github.com/savorytiller/savorytiller/internal/port"
)

// Guards against a change that a watch does not deliver, as happens around a compaction of
// the registry.
func TestChecksDetectChangesMissedByWatches(t *testing.T) {
	f := newRunningFleet(t, 7, 3)
	f.store.watchesBlocked = true
	f.store.config(5, 20)
	require.LessOrEqual(t, f.timeUntilInForce(5, 3*time.Second), 2500*time.Millisecond)
	f.run(2 * time.Second)
	f.store.config(6, 20)
	f.store.compacted = f.store.revision
	f.store.watchesBlocked = false
	require.LessOrEqual(t, f.timeUntilInForce(6, 3*time.Second), 2500*time.Millisecond)
}

// Guards against an instance that returns to an older configuration after messages between
// instances were lost or repeated. fleet.step checks each snapshot.
func TestNeverRevertsUnderLossAndRestarts(t *testing.T) {
	f := newRunningFleet(t, 12, 3)
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
	require.LessOrEqual(t, f.timeUntilInForce(24, 10*time.Second), 3*time.Second)
}

// Guards against an instance whose catalog is marked as complete up to a revision but is
// not, after changes were lost, late or compacted. fleet.verifyCatalog compares each
// catalog with the history of the registry.
func TestCatalogsAreCompleteUnderRandomFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := newRunningFleet(rt, rapid.IntRange(3, 9).Draw(rt, "instances"), rapid.IntRange(1, 3).Draw(rt, "zones"))
		zones := 3
		version := uint64(10)
		for range rapid.IntRange(5, 25).Draw(rt, "steps") {
			i := rapid.IntRange(0, len(f.nodes)-1).Draw(rt, "instance")
			switch rapid.IntRange(0, 11).Draw(rt, "step") {
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
				f.store.watchesBlocked = !f.store.watchesBlocked
			case 7:
				f.kill(i)
				f.start(i, zones)
			case 8:
				down := rapid.IntRange(0, 3).Draw(rt, "down")
				f.store.down = func(node int) bool { return node%3 < down }
			case 9:
				f.loss = rapid.Float64Range(0, 0.4).Draw(rt, "loss")
			case 10:
				copied := rapid.Uint64Range(2, f.store.revision).Draw(rt, "copied")
				lost := f.restoreStore(copied, time.Duration(rapid.IntRange(1, 3000).Draw(rt, "away_ms"))*time.Millisecond)
				f.run(time.Duration(rapid.IntRange(0, 1000).Draw(rt, "rewrite_ms")) * time.Millisecond)
				f.rewrite(lost)
			case 11:
				zone := model.Zone(fmt.Sprint("z", i%zones))
				f.store.withdraw(zone)
				if rapid.Bool().Draw(rt, "returned") {
					f.store.put(catalog.Entry{Key: "zones/" + string(zone), Removed: true})
				}
			}
			f.run(time.Duration(rapid.IntRange(1, 1500).Draw(rt, "ms")) * time.Millisecond)
		}
		f.store.down, f.store.watchesBlocked, f.loss = nil, false, 0
		f.run(5 * time.Second)
		version += 2
		f.store.config(version, 3)
		f.timeUntilInForce(version, 3*time.Second)
		for i, m := range f.nodes {
			require.Len(rt, m.catalog.Entries(), len(f.store.entries), "instance %d", i)
		}
	})
}

// Guards against instances that stop following the registry because of an odd entry among
// those of the servers, whether it arrives with a listing, a watch or from another instance,
// and against a log line for each of its versions.
func TestOddEntriesAreCountedAndTheOthersFollowed(t *testing.T) {
	f := newFleet(t, 6, 3)
	var lines []string
	for i, m := range f.nodes {
		m.log = funcr.New(func(_, args string) {
			if strings.Contains(args, "unusable entry") {
				lines = append(lines, fmt.Sprint(i, args))
			}
		}, funcr.Options{})
	}
	odd := func(key string) {
		f.store.put(catalog.Entry{Key: key, Err: errors.New("bad")})
	}
	odd("servers/odd-listed")
	f.store.config(3, 20)
	f.store.server("a")
	f.run(10 * time.Second)
	require.Equal(t, map[uint64]int{3: 6}, f.versions())
	for range 5 {
		odd("servers/odd-changed")
		f.run(100 * time.Millisecond)
	}
	f.store.config(5, 20)
	require.LessOrEqual(t, f.timeUntilInForce(5, 3*time.Second), time.Second)
	f.run(publishInterval)
	for i, s := range f.snapshots {
		var keys []string
		for _, e := range s.Registry.UnusableEntries {
			keys = append(keys, e.Key)
		}
		require.Equal(t, []string{"servers/odd-changed", "servers/odd-listed"}, keys, "instance %d", i)
		require.EqualValues(t, 6, f.nodes[i].counts.UnusableEntries, "instance %d", i)
		require.Len(t, s.Services["s"].Servers, 1, "instance %d", i)
	}
	require.Len(t, lines, 2*6, "one line for each entry and instance")
	f.removeServer("odd-listed")
	f.removeServer("odd-changed")
	f.run(time.Second + publishInterval)
	for i, s := range f.snapshots {
		require.Empty(t, s.Registry.UnusableEntries, "instance %d", i)
	}
}

// Guards against a watch that fails forever because the changes since its revision are larger
// than an answer may be.
func TestChangesThatAreTooLargeAreListed(t *testing.T) {
	f := newRunningFleet(t, 3, 1)
	w := f.waitForCheck()
	m := f.nodes[w]
	lists := f.store.calls["list"]
	f.step(w, evChanges{generation: m.feed.generation, err: port.ErrTooLarge})
	f.run(100 * time.Millisecond)
	require.Equal(t, lists+1, f.store.calls["list"])
	require.True(t, m.feed.listed)
}

// Guards against servers that are dropped because their entries expired while the registry
// was unreachable.
func TestServersStayWhileTheRegistryIsUnreachable(t *testing.T) {
	f := newRunningFleet(t, 4, 2)
	f.store.down = func(int) bool { return true }
	f.run(5 * time.Second)
	f.store.put(catalog.Entry{Key: "servers/a", Removed: true})
	f.store.compacted = f.store.revision
	f.run(5 * time.Second)
	f.store.down = nil
	f.run(1500 * time.Millisecond)
	for i, s := range f.snapshots {
		require.Len(t, s.Services["s"].Servers, 1, "instance %d", i)
	}
	f.store.server("a")
	f.run(4 * time.Second)
	for i, s := range f.snapshots {
		require.Len(t, s.Services["s"].Servers, 1, "instance %d", i)
	}
}

// Guards against a snapshot that counts as up to date although the registry is
// unreachable. Flows to a route that is too new for it would be refused.
func TestConfirmationAgesWhileTheRegistryIsUnreachable(t *testing.T) {
	f := newRunningFleet(t, 4, 2)
	require.Less(t, f.now.Sub(f.snapshots[0].ConfirmedAt), 2500*time.Millisecond)
	f.store.down = func(int) bool { return true }
	f.run(5 * time.Second)
	for _, s := range f.snapshots {
		require.Greater(t, f.now.Sub(s.ConfirmedAt), 3*time.Second)
	}
}

// Guards against building snapshots all the time while many servers change. Changes within
// the minimum interval between builds must share one.
func TestChangesShareBuilds(t *testing.T) {
	f := newRunningFleet(t, 1, 1)
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
	require.Len(t, f.snapshots[0].Services["s"].Servers, 3002)
}

// Guards against a deadline for a whole listing. With many servers a listing has so many
// pages that it would never complete.
func TestListingHasNoDeadline(t *testing.T) {
	r := &deadlineRecorder{}
	e := effList{generation: 3}.run(t.Context(), &Options{Registry: r})
	require.Equal(t, evChanges{generation: 3, listing: true}, e)
	require.False(t, r.hasDeadline)
}

// deadlineRecorder records whether the context of a listing has a deadline.
type deadlineRecorder struct {
	hangingRegistry
	hasDeadline bool
}

func (r *deadlineRecorder) List(ctx context.Context) (catalog.Changes, error) {
	_, r.hasDeadline = ctx.Deadline()
	return catalog.Changes{}, nil
}

// hangingRegistry is a registry whose calls last until their contexts end.
type hangingRegistry struct{}

func (hangingRegistry) List(ctx context.Context) (catalog.Changes, error) {
	<-ctx.Done()
	return catalog.Changes{}, port.ErrUnavailable
}

func (hangingRegistry) Watch(ctx context.Context, _ uint64, _ time.Duration) (catalog.Changes, error) {
	<-ctx.Done()
	return catalog.Changes{}, port.ErrUnavailable
}

func (hangingRegistry) Position(ctx context.Context) (catalog.Position, error) {
	<-ctx.Done()
	return catalog.Position{}, port.ErrUnavailable
}

func (hangingRegistry) Reconnect() {}

type noPeers struct{}

func (noPeers) Send(model.Member, *peer.Message) {}

type noProber struct{}

func (noProber) Probe(context.Context, model.ServerID, netip.AddrPort, string) belief.ProbeResult {
	return belief.ProbeUnknown
}

func (noProber) Reprobe(context.Context, model.ServerID, netip.AddrPort, string) belief.ProbeResult {
	return belief.ProbeUnknown
}

func (noProber) Connections() port.ProbeConnections { return port.ProbeConnections{} }

func (noProber) Monitor(ctx context.Context, _ netip.AddrPort) belief.ProbeResult {
	<-ctx.Done()
	return belief.ProbeUnknown
}

type clockFunc func() model.Time

func (c clockFunc) Now() model.Time { return c() }

// Guards against a control goroutine that does not end because it waits for a registry that
// does not respond.
func TestControlEndsWhileTheRegistryHangs(t *testing.T) {
	start := time.Now()
	c, err := New(Options{Self: model.Member{ID: "n", Zone: "z", PeerAddress: netip.MustParseAddrPort("127.0.0.1:1")},
		Peers: noPeers{}, Prober: noProber{}, Registry: hangingRegistry{}, Catalog: catalog.Settings{Lifetime: time.Minute, UnlistedGrace: 2 * time.Second}, Bounds: Bounds{ConfigApply: 3 * time.Second, Drain: 3 * time.Second, Evacuation: 5 * time.Second},
		Clock: clockFunc(func() model.Time { return model.Time(time.Since(start)) + second })})
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- c.Run(ctx) }()
	c.Suspect(&steering.Server{ID: "x"}, second)
	c.SetSeeds(nil)
	cancel()
	require.NoError(t, <-done)
	c.Leave() // does not block after the end
	require.Nil(t, c.Snapshot())
}

// Guards against a pause of the process that is not logged. Requests fail during a pause,
// and nothing else in the log explains why.
func TestPauseOfTheProcessIsLogged(t *testing.T) {
	f := newRunningFleet(t, 2, 1)
	var lines []string
	f.nodes[0].log = funcr.New(func(_, args string) { lines = append(lines, args) }, funcr.Options{})
	f.run(5 * time.Second)
	require.NotContains(t, strings.Join(lines, "\n"), "stood still")
	f.queue = slices.DeleteFunc(f.queue, func(d delivery) bool { return d.node == 0 })
	f.now = f.now.Add(4 * time.Second)
	f.step(0, nil)
	require.Contains(t, strings.Join(lines, "\n"), "stood still")
}

// Guards against a server that has left and is in use again after a restart: changes from
// another instance may begin before the listing with which this one started, and the entry
// of a server that was removed since is unknown here.
func TestOlderChangesDoNotRestoreRemovedServers(t *testing.T) {
	f := newRunningFleet(t, 3, 1)
	before := f.store.revision
	f.store.server("left")
	listed := f.store.history[len(f.store.history)-1]
	f.store.put(catalog.Entry{Key: "servers/left", Removed: true})
	removed := f.store.history[len(f.store.history)-1]
	f.restart(2, 1)
	f.run(time.Second)
	require.Equal(t, f.store.revision, f.nodes[2].feed.revision)
	message := f.nodes[0].newMessage(peer.Changes, "n02")
	message.AfterRevision, message.Revision, message.Parts = before, f.store.revision+1, 1
	message.Entries = []catalog.Entry{listed, removed, {Key: "servers/other", Revision: f.store.revision + 1, Removed: true}}
	f.nodes[2].handle(f.now, evMessage{message})
	require.Equal(t, f.store.revision+1, f.nodes[2].feed.revision)
	f.run(publishInterval)
	for _, server := range f.snapshots[2].Services["s"].Servers {
		require.NotEqual(t, model.ServerID("left"), server.ID)
	}
	require.Nil(t, f.snapshots[2].Servers.Find(tokenOf("left")))
}
