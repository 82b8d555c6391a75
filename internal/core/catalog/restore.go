package catalog

import (
	"github.com/savorytiller/savorytiller/internal/core/model"
)

// A registry that was restored from a copy lacks its latest changes until operators and
// servers write them again. What the catalog knows may be newer than a restored entry, and
// revisions don't show it. The order that the writers themselves give their entries does:
// configurations have versions, runs of a server have start times, and a run that drains
// does not become active again.

// EnterEpoch prepares the catalog for the first listing of a new epoch. All known revisions
// become older than those of the listing, and the time in which missing entries may be
// written again starts.
func (c *Catalog) EnterEpoch(now model.Time) {
	for key := range c.revisions {
		c.revisions[key] = 0
	}
	if c.reachableSince != 0 {
		c.reachableSince = now
	}
	c.changed = true
}

// mergeRestored returns a restored entry of a server with what is already known of the
// run. ok is false if a later run of the server is known. An unlisted run that is listed
// again is probed, because the copy may be older than its end.
func (c *Catalog) mergeRestored(now model.Time, key string, e *ServerEntry) (merged *ServerEntry, ok bool) {
	s := c.servers[e.Run()]
	if listed, known := c.listed[key]; known && listed.run.Started > e.Started || s != nil && s.replaced {
		return nil, false
	}
	if s == nil {
		return e, true
	}
	out := *e
	if s.entry.State == model.ServerDraining {
		out.State = model.ServerDraining
	}
	out.ColdFor = max(out.ColdFor, s.coldUntil.Sub(now))
	if s.unlistedAt != 0 {
		s.suspect = true
		c.probeCandidates[e.Run()] = s
	}
	return &out, true
}
