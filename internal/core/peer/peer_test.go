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

// Guards against changes that are left out for an instance that lacks them, and
// against a log that claims to reach back further than it does.
func TestLogGivesWhatComesAfterARevision(t *testing.T) {
	var l Log
	l.Reset(10)
	l.Add(entries(8, 15))
	got, leaps, ok := l.After(12)
	require.True(t, ok)
	require.False(t, leaps)
	require.Equal(t, entries(13, 15), got)
	_, _, ok = l.After(9)
	require.False(t, ok)
	got, _, ok = l.After(15)
	require.True(t, ok)
	require.Empty(t, got)

	// Removals that a listing found have one revision.
	l.Add([]catalog.Entry{{Key: "a", Revision: 20, Removed: true}, {Key: "b", Revision: 20, Removed: true}})
	got, _, _ = l.After(15)
	require.Len(t, got, 2)
	l.Add([]catalog.Entry{{Key: "b", Revision: 20, Removed: true}, {Key: "c", Revision: 20, Removed: true}})
	got, _, _ = l.After(15)
	require.Len(t, got, 3, "in two messages that overlap")

	l.Fit(1_000_000)
	l.Add(entries(21, 21+2*maxLogged))
	require.Equal(t, maxLogged, len(l.entries))
	l.Fit(10)
	l.Add(entries(22+2*maxLogged, 23+2*maxLogged))
	require.Equal(t, minLogged, len(l.entries))
	_, _, ok = l.After(20)
	require.False(t, ok)
}

// Guards against an instance in the middle of a leap that is led to its end: it
// may hold a server that came and went meanwhile.
func TestLogLeadsOverALeapFromItsBeginningOnly(t *testing.T) {
	var l Log
	l.Reset(10)
	l.Add(entries(11, 15))
	l.AddLeap(15, 30, []catalog.Entry{{Key: "a", Revision: 30, Removed: true}})
	l.Add(entries(31, 33))
	for revision, want := range map[uint64]struct {
		n         int
		leaps, ok bool
	}{12: {7, true, true}, 15: {4, true, true}, 16: {0, false, false}, 29: {0, false, false}, 30: {3, false, true}, 32: {1, false, true}} {
		got, leaps, ok := l.After(revision)
		require.Len(t, got, want.n, "after %d", revision)
		require.Equal(t, want.leaps, leaps, "after %d", revision)
		require.Equal(t, want.ok, ok, "after %d", revision)
	}
}

// Guards against messages that networks split, and entries that none carries.
func TestSplitFillsMessagesAndLeavesNothingOut(t *testing.T) {
	all := entries(1, 95)
	all[40].Server, all[40].Config = nil, &catalog.Configuration{Routes: make([]catalog.Route, 500)}
	var got []catalog.Entry
	for _, group := range Split(all) {
		bytes := 0
		for i := range group {
			bytes += size(&group[i])
		}
		require.True(t, bytes <= maxBytes || len(group) == 1)
		got = append(got, group...)
	}
	require.Equal(t, all, got)
}
