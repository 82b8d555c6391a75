package catalog

import (
	"time"

	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/core/steering"
)

// Reach is what a probe of a server shows.
type Reach = steering.ProbeResult

// Results of probes.
const (
	ReachUnknown = steering.ProbeUnknown
	Reachable    = steering.Reachable
	Unreachable  = steering.Unreachable
	Ended        = steering.Ended
)

// Times of probes.
const (
	// probeAgain is the least time between two probes of a server that flows
	// suspect.
	probeAgain = 500 * time.Millisecond
	// unreachableAgain and unreachableMost bound the time between two probes of an
	// unreachable server, which doubles, so that it gets flows again soon after a
	// short partition.
	unreachableAgain = 700 * time.Millisecond
	unreachableMost  = 4 * time.Second
)

// Probe is a probe that is due.
type Probe struct {
	Server     ServerEntry
	HealthPath string
}

// Suspect notes that flows to a run of a server got no answer.
func (c *Catalog) Suspect(id model.ServerID, started int64) {
	r := Run{id, started}
	if s := c.servers[r]; s != nil {
		s.suspect = true
		c.probeable[r] = s
	}
}

// DueProbes returns the servers to probe now, at most limit, and marks them as
// being probed. next is when the next one is due; 0 for none. Unreachable servers
// are probed again only in zones that can be heard.
func (c *Catalog) DueProbes(now model.Time, limit int, heard func(model.Zone) bool) (due []Probe, next model.Time) {
	for r, s := range c.probeable {
		if s.replaced || !s.suspect && s.reach != Unreachable {
			delete(c.probeable, r)
			continue
		}
		if s.probing || s.reach == Ended {
			continue
		}
		again := probeAgain
		if s.reach == Unreachable {
			if !heard(s.entry.Zone) {
				continue
			}
			again = s.again
		}
		if at := s.probedAt.Add(again); s.probedAt != 0 && at.After(now) {
			if next == 0 || at.Before(next) {
				next = at
			}
			continue
		}
		if len(due) == limit {
			return due, now
		}
		s.probing, s.suspect = true, false
		c.changed = c.changed || s.reach != Unreachable
		due = append(due, Probe{Server: s.entry, HealthPath: c.healthPath(s.entry.Service)})
	}
	return due, next
}

func (c *Catalog) healthPath(service string) string {
	if c.config != nil {
		for i := range c.config.Services {
			if c.config.Services[i].Name == service {
				return c.config.Services[i].HealthPath
			}
		}
	}
	return "/"
}

// Probed takes the result of a probe that was sent at the given time. It reports
// whether the belief about the server changed.
func (c *Catalog) Probed(sentAt, now model.Time, id model.ServerID, started int64, reach Reach) bool {
	r := Run{id, started}
	s := c.servers[r]
	if s == nil {
		return false
	}
	s.probing, s.probedAt = false, now
	if s.unlisted == 0 && reach == Ended {
		// A listed server may be between two runs. Its next entry tells.
		reach = Unreachable
	}
	before := s.reach
	s.again = min(2*s.again, unreachableMost)
	if reach != Unreachable || before != Unreachable {
		s.again = unreachableAgain
	}
	s.reach, s.reachAt = reach, sentAt
	if reach == Unreachable {
		c.probeable[r] = s
	}
	c.changed = true
	return before != reach
}
