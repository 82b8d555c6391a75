package peer

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/savorytiller/savorytiller/internal/core/catalog"
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
