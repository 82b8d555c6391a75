package peer

import (
	"sort"

	"github.com/savorytiller/savorytiller/internal/core/catalog"
)

// Bounds of the changes that a Log keeps: minutes of a small fleet that replaces its
// servers, and about 2 MB.
const (
	minLogged = 1024
	maxLogged = 8192
)

// gap is a span of revisions that a listing leaped over. What came and went
// within it is not in the log, so it leads from its beginning to its end only.
type gap struct{ from, to uint64 }

// Log holds the latest changes of the registry in the order of their revisions.
type Log struct {
	// servers is the number of servers that the log is sized for.
	servers int
	// start is the revision after which the log is complete.
	start   uint64
	entries []catalog.Entry
	gaps    []gap
}

// Reset begins anew after a listing that is complete up to a revision.
func (l *Log) Reset(revision uint64) { *l = Log{servers: l.servers, start: revision} }

// Fit sizes the log for a number of servers: when a zone returns, each of its servers
// changes several times, and whoever missed that should not need a whole listing.
func (l *Log) Fit(servers int) { l.servers = servers }

// Add appends changes in the order of their revisions. Those that the log holds
// are left out. Several may have one revision: a listing gives removals its own.
func (l *Log) Add(entries []catalog.Entry) {
	newest := l.start
	if n := len(l.entries); n > 0 {
		newest = l.entries[n-1].Revision
	}
	for i := range entries {
		e := &entries[i]
		if e.Revision > newest || e.Revision == newest && newest > l.start && !l.holds(e) {
			l.entries = append(l.entries, *e)
		}
	}
	if over := len(l.entries) - min(max(minLogged, 2*l.servers), maxLogged); over > 0 {
		l.start = l.entries[over-1].Revision
		l.entries = append([]catalog.Entry(nil), l.entries[over:]...)
	}
}

// AddLeap appends changes that lead from one revision to another as a listing
// shows them, without what came and went between.
func (l *Log) AddLeap(from, to uint64, entries []catalog.Entry) {
	l.Add(entries)
	l.gaps = append(l.gaps, gap{from, to})
	for len(l.gaps) > 0 && l.gaps[0].to <= l.start {
		l.gaps = l.gaps[1:]
	}
}

// holds reports whether the newest revision of the log has a change of a key.
func (l *Log) holds(e *catalog.Entry) bool {
	for i := len(l.entries) - 1; i >= 0 && l.entries[i].Revision == e.Revision; i-- {
		if l.entries[i].Key == e.Key {
			return true
		}
	}
	return false
}

// After returns the changes after a revision. leaps is set if they lead on from
// exactly that revision only; ok is false if the log does not reach back that far
// or leaped over the revision.
func (l *Log) After(revision uint64) (entries []catalog.Entry, leaps, ok bool) {
	if revision < l.start {
		return nil, false, false
	}
	for _, g := range l.gaps {
		if revision > g.from && revision < g.to {
			return nil, false, false
		}
		leaps = leaps || revision <= g.from
	}
	i := sort.Search(len(l.entries), func(i int) bool { return l.entries[i].Revision > revision })
	return l.entries[i:], leaps, true
}
