package peer

import (
	"sort"

	"github.com/savorytiller/savorytiller/internal/core/catalog"
)

// maxLogged bounds the changes that a Log keeps: minutes of a fleet that
// replaces its servers.
const maxLogged = 1024

// Log holds the latest changes of the registry in the order of their revisions.
type Log struct {
	// start is the revision after which the log is complete.
	start   uint64
	entries []catalog.Entry
}

// Reset begins anew after a listing that is complete up to a revision.
func (l *Log) Reset(revision uint64) { l.start, l.entries = revision, nil }

// Add appends changes. Entries up to the newest one known are left out.
func (l *Log) Add(entries []catalog.Entry) {
	newest := l.start
	if n := len(l.entries); n > 0 {
		newest = l.entries[n-1].Revision
	}
	for i := range entries {
		if entries[i].Revision > newest {
			l.entries = append(l.entries, entries[i])
			newest = entries[i].Revision
		}
	}
	if over := len(l.entries) - maxLogged; over > 0 {
		l.start = l.entries[over-1].Revision
		l.entries = append([]catalog.Entry(nil), l.entries[over:]...)
	}
}

// After returns the changes after a revision; ok is false if the log does not
// reach back that far.
func (l *Log) After(revision uint64) (entries []catalog.Entry, ok bool) {
	if revision < l.start {
		return nil, false
	}
	i := sort.Search(len(l.entries), func(i int) bool { return l.entries[i].Revision > revision })
	return l.entries[i:], true
}
