package catalog

import (
	"slices"

	"github.com/savorytiller/savorytiller/internal/core/model"
)

// markUnlisted records that the entry of a run was removed. The catalog had all changes as of
// confirmedAt, so the entry was removed after that.
func (c *Catalog) markUnlisted(now model.Time, r ServerRun) {
	if s := c.servers[r]; s != nil {
		removedAfter := now
		if c.confirmedAt != 0 {
			removedAfter = c.confirmedAt
		}
		s.SeeRemoval(now, removedAfter)
		c.rememberUnlisted(r)
	}
}

func (c *Catalog) rememberUnlisted(r ServerRun) {
	if !slices.Contains(c.unlisted[r.ID], r) {
		c.unlisted[r.ID] = append(c.unlisted[r.ID], r)
	}
}

func (c *Catalog) forgetUnlisted(r ServerRun) {
	c.unlisted[r.ID] = slices.DeleteFunc(c.unlisted[r.ID], func(other ServerRun) bool { return other == r })
	if len(c.unlisted[r.ID]) == 0 {
		delete(c.unlisted, r.ID)
	}
}

// supersede records that all other runs of a server have ended, also those whose entries were
// removed before. So each server has one run that is not superseded.
func (c *Catalog) supersede(now model.Time, latest ServerRun) {
	for _, r := range c.unlisted[latest.ID] {
		if s := c.servers[r]; s != nil && r != latest && s.SupersededAt == 0 {
			s.SupersededAt = now
		}
	}
}

// SetRegistryReachable records whether the registry is reachable.
func (c *Catalog) SetRegistryReachable(now model.Time, reachable bool) {
	switch {
	case !reachable:
		c.setReachableSince(now, 0)
	case c.registry.ReachableSince == 0 || c.interrupted:
		c.setReachableSince(now, now)
	}
}

// setReachableSince starts the time anew in which missing entries may be restored. What was
// concluded from entries that were missing before remains.
func (c *Catalog) setReachableSince(now, since model.Time) {
	for _, s := range c.servers {
		s.KeepPhase(now, &c.registry)
	}
	c.registry.ReachableSince, c.interrupted, c.changed = since, false, true
}

// minLapsedServers is the number of entries that must be removed together to count as a lapse.
const minLapsedServers = 4

// RecordLapse reports whether the entries remove most servers at once. They cannot all have
// left: the registry has lost the entries, so the time in which they may be restored starts
// now even if no call failed.
func (c *Catalog) RecordLapse(now model.Time, entries []Entry) bool {
	removed, servers := 0, 0
	for i := range entries {
		if item, ok := c.listed[entries[i].Key]; ok && entries[i].Removed && item.zone == "" {
			removed++
		}
	}
	if removed < minLapsedServers || c.registry.ReachableSince == 0 {
		return false
	}
	for _, item := range c.listed {
		if item.zone == "" {
			servers++
		}
	}
	if 2*removed <= servers {
		return false
	}
	c.setReachableSince(now, now)
	return true
}

// RegistryRefused records that the registry refused a call. Entries may expire while it does
// so, even if it counts as reachable.
func (c *Catalog) RegistryRefused() { c.interrupted = true }

// SetConfirmed records that the catalog had all changes of the registry at a given time.
func (c *Catalog) SetConfirmed(at model.Time) {
	c.confirmedAt = max(c.confirmedAt, at)
	c.settleDoubts()
}
