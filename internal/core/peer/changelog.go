package peer

import (
	"slices"
	"sort"

	"github.com/savorytiller/savorytiller/internal/core/catalog"
)

// Limits of the changes that a ChangeLog keeps. The minimum covers some minutes of a small
// deployment that replaces its servers.
const (
	minLogEntries = 1024
	maxLogEntries = 8192
	// maxLogBytes limits the memory of the entries, whatever their number: changes of
	// configurations can have thousands of routes each.
	maxLogBytes = 2 << 20
)

// compactedRange is a range of revisions whose changes were derived from a listing at its
// end. Keys that were added and removed within the range are missing, so its entries
// are valid only together, as an update from the start of the range to its end.
type compactedRange struct{ from, to uint64 }

// ChangeLog holds the latest changes of the registry in ascending order of their
// revisions. Of a configuration it keeps the delta and not the whole, where it has both.
type ChangeLog struct {
	// servers is the number of servers from which the size of the log is derived.
	servers int
	// startRevision is the revision after which the log is complete.
	startRevision uint64
	entries       []catalog.Entry
	// sizes holds the memory that each entry takes, and bytes their sum.
	sizes []int
	bytes int
	// services is the list of services of the latest delta. Deltas that do not change it share it.
	services        []catalog.Service
	compactedRanges []compactedRange
}

// Reset clears the log after a listing that is complete up to a revision.
func (l *ChangeLog) Reset(revision uint64) {
	*l = ChangeLog{servers: l.servers, startRevision: revision}
}

// SetServerCount adapts the size of the log to the number of servers. When a zone returns
// to service, each of its servers changes several times, and instances that missed
// that should not need a complete listing.
func (l *ChangeLog) SetServerCount(servers int) { l.servers = servers }

// Add appends changes in ascending order of their revisions and skips those that the log
// already holds. Several changes may have the same revision, because all removals that
// a listing implies get the revision of the listing.
func (l *ChangeLog) Add(entries []catalog.Entry) {
	newest := l.startRevision
	if n := len(l.entries); n > 0 {
		newest = l.entries[n-1].Revision
	}
	for i := range entries {
		e := &entries[i]
		if e.Revision > newest || e.Revision == newest && newest > l.startRevision && !l.hasNewest(e) {
			l.append(*e)
		}
	}
	l.trim()
}

func (l *ChangeLog) append(e catalog.Entry) {
	if e.Delta != nil {
		e.Config = nil
	}
	size := retainedBytes(&e)
	if e.Delta != nil {
		if shareServices(l.services, e.Delta.Services) {
			size -= retainedServices(e.Delta.Services)
		}
		l.services = e.Delta.Services
	}
	l.entries, l.sizes = append(l.entries, e), append(l.sizes, size)
	l.bytes += size
}

// shareServices reports whether two lists of services are the same memory.
func shareServices(a, b []catalog.Service) bool {
	return len(a) > 0 && len(a) == len(b) && &a[0] == &b[0]
}

// trim drops the oldest entries over the limits.
func (l *ChangeLog) trim() {
	over := max(0, len(l.entries)-min(max(minLogEntries, 2*l.servers), maxLogEntries))
	for i, size := range l.sizes {
		if i >= over && l.bytes <= maxLogBytes {
			break
		}
		l.bytes -= size
		over = max(over, i+1)
	}
	if over > 0 {
		l.startRevision = l.entries[over-1].Revision
		l.entries, l.sizes = slices.Delete(l.entries, 0, over), slices.Delete(l.sizes, 0, over)
	}
	for len(l.compactedRanges) > 0 && l.compactedRanges[0].to <= l.startRevision {
		l.compactedRanges = l.compactedRanges[1:]
	}
}

// AddCompacted appends the changes between two revisions as derived from a listing. They
// lack the keys that were added and removed in between.
func (l *ChangeLog) AddCompacted(from, to uint64, entries []catalog.Entry) {
	l.compactedRanges = append(l.compactedRanges, compactedRange{from, to})
	l.Add(entries)
}

// hasNewest reports whether the log has a change of the entry's key at its newest revision.
func (l *ChangeLog) hasNewest(e *catalog.Entry) bool {
	for i := len(l.entries) - 1; i >= 0 && l.entries[i].Revision == e.Revision; i-- {
		if l.entries[i].Key == e.Key {
			return true
		}
	}
	return false
}

// After returns the changes after a revision. compacted is set if they are valid only for
// a receiver at exactly that revision. ok is false if the log does not reach back to
// the revision or if it is within a compacted range.
func (l *ChangeLog) After(revision uint64) (entries []catalog.Entry, compacted, ok bool) {
	if revision < l.startRevision {
		return nil, false, false
	}
	for _, r := range l.compactedRanges {
		if revision > r.from && revision < r.to {
			return nil, false, false
		}
		compacted = compacted || revision <= r.from
	}
	i := sort.Search(len(l.entries), func(i int) bool { return l.entries[i].Revision > revision })
	return l.entries[i:], compacted, true
}
