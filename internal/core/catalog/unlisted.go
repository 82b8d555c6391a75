package catalog

import (
	"github.com/savorytiller/savorytiller/internal/core/belief"
	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/core/steering"
)

// UnlistedRun returns the entry of an unlisted run of a server. ok is false if the run is
// unknown or listed.
func (c *Catalog) UnlistedRun(r ServerRun) (e ServerEntry, ok bool) {
	s := c.servers[r]
	if s == nil || !s.Unlisted() {
		return ServerEntry{}, false
	}
	return s.entry, true
}

// AddUnlisted adds a run that another instance knows from before its entry was removed, so
// that packets of its open flows can be forwarded. It gets no new flows, and a probe decides
// whether it has ended. Nothing changes if the run, a later one or an entry of the server is known.
func (c *Catalog) AddUnlisted(now model.Time, e *ServerEntry) {
	r := e.Run()
	if c.servers[r] != nil || c.knowsLaterRun(r) {
		return
	}
	c.servers[r] = &server{entry: *e, Evidence: belief.Evidence{State: e.State, NamedAt: now}}
	c.rememberUnlisted(r)
	c.supersede(now, r)
	c.changed = true
}

func (c *Catalog) knowsLaterRun(r ServerRun) bool {
	for _, other := range c.unlisted[r.ID] {
		if other.Started > r.Started {
			return true
		}
	}
	for _, item := range c.listed {
		if item.zone == "" && item.run.ID == r.ID {
			return true
		}
	}
	return false
}

// Settled reports whether a server without an entry has certainly left: the registry has been
// reachable for so long that entries which expired during an outage have been restored.
func (c *Catalog) Settled(now model.Time) bool {
	at, ok := c.registry.GraceEndsAt(0)
	return ok && now.After(at)
}

// RunOf returns the run of a server of a snapshot.
func RunOf(s *steering.Server) ServerRun { return ServerRun{s.ID, s.Started} }
