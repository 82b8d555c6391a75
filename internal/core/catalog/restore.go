package catalog

import "github.com/savorytiller/savorytiller/internal/core/model"

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
