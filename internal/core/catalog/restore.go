package catalog

import (
	"cmp"
	"slices"

	"github.com/savorytiller/savorytiller/internal/core/model"
)

// A registry that was restored from a copy lacks its latest changes until operators and
// servers write them again. What the catalog knows may be newer than a restored entry, and
// revisions don't show it. The order that the writers themselves give their entries does:
// configurations have versions, runs of a server have start times, and a run that drains
// does not become active again. Withdrawals have no such order, so a zone that was out of
// service stays so until operators have had time to write that again.

// EnterEpoch prepares the catalog for the first listing of a new epoch. All known revisions
// become older than those of the listing, and the time in which missing entries may be
// written again starts.
func (c *Catalog) EnterEpoch(now model.Time) {
	for key := range c.revisions {
		c.revisions[key] = 0
	}
	for key, item := range c.listed {
		if item.zone != "" {
			c.heldSince[key] = now
		}
	}
	if c.registry.ReachableSince != 0 {
		c.setReachableSince(now, now)
	}
	c.changed = true
}

// mergeRestored returns a restored entry of a server with what is already known of the
// run. ok is false if a later run of the server is known. An unlisted run that is listed
// again is probed, because the copy may be older than its end.
func (c *Catalog) mergeRestored(now model.Time, key string, e *ServerEntry) (merged *ServerEntry, ok bool) {
	s := c.servers[e.Run()]
	if listed, known := c.listed[key]; known && listed.run.Started > e.Started || s != nil && s.SupersededAt != 0 {
		return nil, false
	}
	if s == nil {
		return e, true
	}
	out := *e
	if s.State == model.ServerDraining {
		out.State = model.ServerDraining
	}
	out.ColdFor = max(out.ColdFor, s.ColdUntil.Sub(now))
	if s.Unlisted() {
		s.SuspectedAt = now
		c.probeCandidates[e.Run()] = s
	}
	return &out, true
}

// ReleaseHeld returns the removals of the zones that operators have not withdrawn again in
// time after a restore, as of a revision. next is when the next one is due; 0 for never.
func (c *Catalog) ReleaseHeld(now model.Time, revision uint64) (removals []Entry, next model.Time) {
	for key, since := range c.heldSince {
		switch at, ok := c.registry.GraceEndsAt(since); {
		case !ok:
		case !at.After(now):
			removals = append(removals, Entry{Key: key, Revision: revision, Removed: true})
		case next == 0 || at.Before(next):
			next = at
		}
	}
	slices.SortFunc(removals, func(a, b Entry) int { return cmp.Compare(a.Key, b.Key) })
	return removals, next
}

// HeldZones returns the number of zones that are out of service as of an earlier epoch only.
func (c *Catalog) HeldZones() int { return len(c.heldSince) }
