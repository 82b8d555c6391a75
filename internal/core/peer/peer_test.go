package peer

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/savorytiller/savorytiller/internal/core/catalog"
	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/core/steering"
)

func entries(from, to int) []catalog.Entry {
	var all []catalog.Entry
	for i := from; i <= to; i++ {
		all = append(all, catalog.Entry{Key: fmt.Sprint(i), Revision: uint64(i), Server: &catalog.ServerEntry{}})
	}
	return all
}

// Guards against missing changes for an instance at an older revision, and against a log
// that claims to reach back further than it does.
func TestLogReturnsChangesAfterARevision(t *testing.T) {
	var l ChangeLog
	l.Reset(10)
	l.Add(entries(8, 15))
	got, compacted, ok := l.After(12)
	require.True(t, ok)
	require.False(t, compacted)
	require.Equal(t, entries(13, 15), got)
	_, _, ok = l.After(9)
	require.False(t, ok)
	got, _, ok = l.After(15)
	require.True(t, ok)
	require.Empty(t, got)

	// Removals that a listing implies share its revision.
	l.Add([]catalog.Entry{{Key: "a", Revision: 20, Removed: true}, {Key: "b", Revision: 20, Removed: true}})
	got, _, _ = l.After(15)
	require.Len(t, got, 2)
	l.Add([]catalog.Entry{{Key: "b", Revision: 20, Removed: true}, {Key: "c", Revision: 20, Removed: true}})
	got, _, _ = l.After(15)
	require.Len(t, got, 3, "two overlapping messages")

	l.SetServerCount(1_000_000)
	l.Add(entries(21, 21+2*maxLogEntries))
	require.Equal(t, maxLogEntries, len(l.entries))
	l.SetServerCount(10)
	l.Add(entries(22+2*maxLogEntries, 23+2*maxLogEntries))
	require.Equal(t, minLogEntries, len(l.entries))
	_, _, ok = l.After(20)
	require.False(t, ok)
}

// Guards against compacted changes for an instance at a revision within the range: it may
// hold a server that was added and removed there, whose removal the changes lack.
func TestCompactedChangesAreValidFromTheirStartOnly(t *testing.T) {
	var l ChangeLog
	l.Reset(10)
	l.Add(entries(11, 15))
	l.AddCompacted(15, 30, []catalog.Entry{{Key: "a", Revision: 30, Removed: true}})
	l.Add(entries(31, 33))
	for revision, want := range map[uint64]struct {
		n             int
		compacted, ok bool
	}{12: {7, true, true}, 15: {4, true, true}, 16: {0, false, false}, 29: {0, false, false}, 30: {3, false, true}, 32: {1, false, true}} {
		got, compacted, ok := l.After(revision)
		require.Len(t, got, want.n, "after %d", revision)
		require.Equal(t, want.compacted, compacted, "after %d", revision)
		require.Equal(t, want.ok, ok, "after %d", revision)
	}
}

// Guards against messages that networks fragment, and against entries that no message
// carries.
func TestSplitLimitsMessagesAndKeepsAllEntries(t *testing.T) {
	all := entries(1, 95)
	all[40].Server, all[40].Config = nil, &catalog.Configuration{Routes: make([]catalog.Route, 500)}
	var got []catalog.Entry
	for _, group := range Split(all) {
		bytes := 0
		for i := range group {
			bytes += encodedSize(&group[i])
		}
		require.True(t, bytes <= maxMessageBytes || len(group) == 1)
		got = append(got, group...)
	}
	require.Equal(t, all, got)
}

// largestConfiguration returns a configuration whose document has about 1 MB, the most that the registry
// holds. Each version has a memory of its own, as after decoding, and differs from others in one route.
func largestConfiguration(version uint64) *catalog.Configuration {
	c := &catalog.Configuration{Version: version}
	for i := range 60 {
		c.Services = append(c.Services, catalog.Service{Name: fmt.Sprint("service-", i), HealthPath: "/health"})
	}
	for i := range 7000 {
		c.Routes = append(c.Routes, catalog.Route{Name: fmt.Sprintf("r-%07d", i), Endpoint: steering.Endpoint{Address: uint32(i), Port: 8443},
			Shares: []catalog.Share{{Service: c.Services[i%60].Name, Weight: 1}}})
	}
	c.Routes[version%7000].Terms.Timeout = time.Duration(version)
	return c
}

// Guards against processes that exceed the memory of their machines: the log kept each of the latest
// versions of the configuration whole, 0.5 MB to 1 MB each with 4,200 routes, at the instance that
// reads the registry as well as at those that get deltas from it.
func TestLogOfLargeConfigurationsIsLimitedInBytes(t *testing.T) {
	const versions = 1200 // the log is full of deltas after minLogEntries
	newCatalog := func() *catalog.Catalog { return catalog.New(catalog.Settings{Lifetime: time.Minute}) }
	reader, other := newCatalog(), newCatalog()
	var logs [2]ChangeLog
	heap := func() int {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return int(m.HeapAlloc)
	}
	before := heap()
	var behind *catalog.Configuration
	for v := uint64(1); v <= versions; v++ {
		read := []catalog.Entry{{Key: "config", Revision: v, Config: largestConfiguration(v)}}
		require.Equal(t, catalog.ConfigurationInForce, reader.Apply(model.Time(v), &read[0]))
		logs[0].Add(read)
		received := []catalog.Entry{read[0]}
		if v > 1 {
			delta := *read[0].Delta
			delta.Services = append([]catalog.Service(nil), delta.Services...)
			received[0].Config, received[0].Delta = nil, &delta
		}
		require.Equal(t, catalog.ConfigurationInForce, other.Apply(model.Time(v), &received[0]))
		logs[1].Add(received)
		if v == versions-100 {
			behind = read[0].Config
		}
		if v%100 == 0 {
			// The configurations in force and behind take about 1 MB each.
			require.Less(t, heap()-before, 2*maxLogBytes+6<<20, "after %d versions", v)
		}
	}
	for i := range logs {
		late := newCatalog()
		late.Apply(0, &catalog.Entry{Key: "config", Revision: versions - 100, Config: behind})
		changes, compacted, ok := logs[i].After(versions - 100)
		require.True(t, ok && !compacted)
		for k := range changes {
			e := changes[k] // Apply fills in the configuration
			require.Equal(t, catalog.ConfigurationInForce, late.Apply(0, &e))
		}
		require.ElementsMatch(t, reader.Config().Routes, late.Config().Routes)
	}

	// Versions that have little in common are dropped before their number is over the limit.
	for v := uint64(versions + 1); v <= versions+40; v++ {
		logs[0].Add([]catalog.Entry{{Key: "config", Revision: v, Config: largestConfiguration(v)}})
		require.LessOrEqual(t, logs[0].bytes, maxLogBytes)
	}
	_, _, ok := logs[0].After(versions)
	require.False(t, ok, "an instance that is so far behind gets the whole")
	runtime.KeepAlive(other)
}
