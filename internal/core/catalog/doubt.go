package catalog

import (
	"time"

	"github.com/savorytiller/savorytiller/internal/core/belief"
	"github.com/savorytiller/savorytiller/internal/core/model"
)

// Only its entry tells that a server is cold, and a server that has started again under its ID may
// not have written one yet, or cannot while the registry is out of reach. So an entry holds for the
// run that answers only as long as the server cannot have started again unnoticed. A doubt is the
// last time at which that could have happened:
//
//   - of one server, when it answers after this instance or its home had lost contact: a server
//     without power closes no connection;
//   - of all servers of a zone, when this instance starts there or the instances of the zone were lost:
//     they may have lost power together.
//
// A server in doubt counts as cold until it writes an entry, or until the view is confirmed as of a
// time at which a new run would have written its entry, but no longer than a cold start lasts. If its
// home had lost contact, the confirmation does not count, because the server may not reach the
// registry.

const (
	// EntryDelay is the time in which a server that has started writes its entry.
	EntryDelay = 300 * time.Millisecond
	// defaultColdTime is how long a cold start lasts if the configuration does not say. It is
	// longer than cold starts are.
	defaultColdTime = 6 * time.Second
)

// contact is what the latest probes and monitors showed of the contact to a server.
type contact uint8

const (
	contactKept contact = iota
	// contactMissed means that an attempt to connect was not answered, which a lost packet explains.
	contactMissed
	// contactLost means that a probe failed, or that a connection was reset or timed out.
	contactLost
)

// noteContact records that a probe of a server was answered or failed.
func (c *Catalog) noteContact(now model.Time, s *server) {
	switch {
	case s.ProbeFailed():
		s.contact = contactLost
	case s.ProbeResult == belief.Reachable && s.contact != contactKept:
		s.contact = contactKept
		c.doubt(now, s)
	}
}

// doubt records that a server may have started again unnoticed until now.
func (c *Catalog) doubt(now model.Time, s *server) {
	s.doubtedAt, c.lastDoubtAt, c.changed = now, now, true
	c.doubted[s.entry.Run()] = s
}

// DoubtByHome records that the home of a server had lost contact until now.
func (c *Catalog) DoubtByHome(now model.Time, r ServerRun) {
	if s := c.servers[r]; s != nil {
		c.doubt(now, s)
		s.doubtedByHome = true
	}
}

// LastDoubtAt returns the time of the latest doubt of any server or zone; 0 for none.
func (c *Catalog) LastDoubtAt() model.Time { return c.lastDoubtAt }

// zoneDoubt is a doubt of all servers of a zone, which lasts longer by contactDelay while the
// registry is out of reach.
type zoneDoubt struct {
	at           model.Time
	contactDelay time.Duration
}

// DoubtZone records that all servers of a zone may have started again unnoticed until now, and that
// those which started by contactDelay later go unnoticed too unless they write an entry.
func (c *Catalog) DoubtZone(now model.Time, contactDelay time.Duration, zone model.Zone) {
	c.zoneDoubts[zone], c.lastDoubtAt, c.changed = zoneDoubt{now, contactDelay}, now, true
}

// ZoneInDoubt reports whether all servers of a zone are in doubt, and until when without new evidence.
func (c *Catalog) ZoneInDoubt(now model.Time, zone model.Zone) (doubted bool, until model.Time) {
	d, ok := c.zoneDoubts[zone]
	if !ok {
		return false, 0
	}
	until = d.at.Add(d.contactDelay + c.longestColdTime())
	return now.Before(until), until
}

// settled reports whether all entries have been seen of runs that had started by a given time. Servers
// that could not write while the registry was unreachable do so within the grace time of its return.
func (c *Catalog) settled(doubtedAt model.Time) bool {
	since := c.registry.ReachableSince
	if since == 0 {
		return false
	}
	written := doubtedAt.Add(EntryDelay)
	if since.After(doubtedAt) {
		written = max(written, since.Add(c.registry.Grace))
	}
	return !c.confirmedAt.Before(written)
}

// expireDoubts ends the doubts that are older than a cold start.
func (c *Catalog) expireDoubts(now model.Time) {
	for r, s := range c.doubted {
		if now.Sub(s.doubtedAt) > c.coldTime(s.entry.Service) {
			c.endDoubt(r, s)
		}
	}
}

// settleDoubts ends the doubts of the servers whose entries are those of their runs. A missing entry
// proves nothing about the run that wrote it.
func (c *Catalog) settleDoubts() {
	for r, s := range c.doubted {
		if c.settled(s.doubtedAt) && !s.Unlisted() && !s.doubtedByHome {
			c.changed = true
			c.endDoubt(r, s)
		}
	}
	for zone, d := range c.zoneDoubts {
		if c.settled(d.at) {
			c.changed = true
			delete(c.zoneDoubts, zone)
		}
	}
}

func (c *Catalog) endDoubt(r ServerRun, s *server) {
	s.doubtedAt, s.doubtedByHome = 0, false
	delete(c.doubted, r)
}

// coldUntil returns the end of the cold start of a server: that which its entry states, or a later one
// if the server is in doubt, which it reports, or its zone returns to service.
func (c *Catalog) coldUntil(s *server) (until model.Time, inDoubt bool) {
	until = s.ColdUntil
	if returnedAt, ok := c.zoneReturnedAt[s.entry.Zone]; ok {
		until = max(until, returnedAt.Add(ZoneReturnColdTime))
	}
	doubtedUntil := model.Time(0)
	if s.doubtedAt != 0 {
		doubtedUntil = s.doubtedAt.Add(c.coldTime(s.entry.Service))
	}
	if d, ok := c.zoneDoubts[s.entry.Zone]; ok {
		doubtedUntil = max(doubtedUntil, d.at.Add(d.contactDelay+c.coldTime(s.entry.Service)))
	}
	return max(until, doubtedUntil), doubtedUntil.After(until)
}

// coldTime returns how long a cold start of a server of a service lasts.
func (c *Catalog) coldTime(service string) time.Duration {
	if c.config != nil {
		for i := range c.config.Services {
			if s := &c.config.Services[i]; s.Name == service {
				return s.coldTime()
			}
		}
	}
	return defaultColdTime
}

// longestColdTime returns the longest coldTime of all services.
func (c *Catalog) longestColdTime() (longest time.Duration) {
	if c.config == nil || len(c.config.Services) == 0 {
		return defaultColdTime
	}
	for i := range c.config.Services {
		longest = max(longest, c.config.Services[i].coldTime())
	}
	return longest
}

func (s *Service) coldTime() time.Duration {
	if s.ColdTime > 0 {
		return s.ColdTime
	}
	return defaultColdTime
}
