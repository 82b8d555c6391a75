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

func (noProber) Probe(context.Context, model.ServerID, netip.AddrPort, string) catalog.ProbeResult {
	return catalog.ProbeUnknown
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
