package catalog

import (
	"cmp"
	"slices"
	"time"

	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/core/steering"
)

// Times of the catalog.
const (
	// ReturnWatch is how long the servers of a zone that returns to service count
	// as cold until their own entries say so: two heartbeats of a server.
	ReturnWatch = 2500 * time.Millisecond
	// retainMargin keeps departed servers a little longer than their flows.
	retainMargin = 10 * time.Second
	// maxTombstones bounds the revisions kept of removed entries.
	maxTombstones = 65_536
)

// Settings bound the flows and what the catalog keeps of departed servers.
type Settings struct {
	// Lifetime is how long a flow may stay open.
	Lifetime time.Duration
	// UnlistedGrace is how long a server that vanished from the registry without
	// draining may still get new flows, since its entry may return.
	UnlistedGrace time.Duration
	// DefaultIdleTimeout holds while no configuration states one.
	DefaultIdleTimeout time.Duration
}

// holding is what a listed key stands for: a run of a server, or a zone out of
// service.
type holding struct {
	run  Run
	zone model.Zone
}

// server is the belief about one run of a backend server.
type server struct {
	entry     ServerEntry
	coldUntil model.Time
	// unlisted is since when the registry does not hold the run; 0 if it does.
	unlisted model.Time
	// replaced is set if the same server started again.
	replaced bool
	// reach is the result of the last probe, which was sent at reachAt.
	reach   Reach
	reachAt model.Time
	// suspect asks for a probe; probing is set while one runs.
	suspect, probing bool
	probedAt         model.Time
	// again is the pause before the next probe of an unreachable server.
	again time.Duration
}

// Catalog merges what the registry and other instances say. It has one owner.
type Catalog struct {
	settings Settings
	config   *Configuration
	// routes are those of the configuration. Snapshots share the map, which does not
	// change.
	routes map[steering.Endpoint]*Route
	// configKey is the key that held the configuration.
	configKey string
	// revisions holds the newest revision of each key, removed ones included.
	revisions map[string]uint64
	tombs     int
	listed    map[string]holding
	servers   map[Run]*server
	// probeable are the servers that are suspect or unreachable.
	probeable map[Run]*server
	withdrawn map[model.Zone]bool
	// returned is when a zone came back into service.
	returned map[model.Zone]model.Time
	// contact is since when the registry is reachable without a gap; 0 while it
	// is not.
	contact model.Time
	changed bool
}

// New returns an empty catalog.
func New(s Settings) *Catalog {
	return &Catalog{settings: s, revisions: map[string]uint64{}, listed: map[string]holding{},
		servers: map[Run]*server{}, probeable: map[Run]*server{}, withdrawn: map[model.Zone]bool{}, returned: map[model.Zone]model.Time{}}
}

// Effect says what an entry changed.
type Effect uint8

// Effects of entries.
const (
	// Unchanged means that the entry is old or repeats what is known.
	Unchanged Effect = iota
	// ConfigurationInForce means that a newer configuration is in force.
	ConfigurationInForce
	// ServerListed means that a server is new or its entry differs.
	ServerListed
	// ServerRemoved means that the registry no longer lists a server.
	ServerRemoved
	// ZoneWithdrawn and ZoneReturned are about zones out of service.
	ZoneWithdrawn
	ZoneReturned
	// Incomplete means that the entry is a difference from an unknown version.
	Incomplete
	// Ignored means that the value can't be used; the last good one holds.
	Ignored
)

// Apply takes one entry. Entries with a revision that is not newer than the one
// known of their key change nothing, so listings and watches may overlap.
func (c *Catalog) Apply(now model.Time, e *Entry) Effect {
	if known, ok := c.revisions[e.Key]; ok && e.Revision <= known {
		return Unchanged
	}
	if !c.complete(e) {
		return Incomplete
	}
	c.revisions[e.Key] = e.Revision
	effect := c.apply(now, e)
	c.changed = c.changed || effect != Unchanged && effect != Ignored
	return effect
}

func (c *Catalog) apply(now model.Time, e *Entry) Effect {
	switch {
	case e.Removed:
		return c.remove(now, e.Key)
	case e.Config != nil:
		if c.config != nil && e.Config.Version <= c.config.Version {
			return Unchanged
		}
		c.config, c.configKey = e.Config, e.Key
		c.routes = make(map[steering.Endpoint]*Route, len(c.config.Routes))
		for i := range c.config.Routes {
			r := &c.config.Routes[i]
			c.routes[r.Endpoint] = r
		}
		return ConfigurationInForce
	case e.Server != nil:
		return c.list(now, e.Key, e.Server)
	case e.Withdrawn != "":
		c.withdrawn[e.Withdrawn] = true
		c.listed[e.Key] = holding{zone: e.Withdrawn}
		return ZoneWithdrawn
	default:
		return Ignored
	}
}

// list takes a server's entry.
func (c *Catalog) list(now model.Time, key string, e *ServerEntry) Effect {
	r := e.Run()
	if old, ok := c.listed[key]; ok && old.run != r {
		c.unlist(now, old.run)
		if s := c.servers[old.run]; s != nil {
			s.replaced = true
		}
	}
	c.listed[key] = holding{run: r}
	s := c.servers[r]
	if s == nil {
		s = &server{}
		c.servers[r] = s
	}
	if s.entry.Address != e.Address || s.reach == Ended {
		s.reach, s.reachAt = ReachUnknown, 0 // an entry of the same run outweighs a closed port
	}
	s.entry, s.unlisted = *e, 0
	s.coldUntil = 0
	if e.ColdFor > 0 {
		s.coldUntil = now.Add(e.ColdFor)
	}
	return ServerListed
}

func (c *Catalog) unlist(now model.Time, r Run) {
	if s := c.servers[r]; s != nil && s.unlisted == 0 {
		s.unlisted = now
	}
}

func (c *Catalog) remove(now model.Time, key string) Effect {
	c.tombs++
	h, ok := c.listed[key]
	if !ok {
		return Unchanged
	}
	delete(c.listed, key)
	if h.zone != "" {
		delete(c.withdrawn, h.zone)
		c.returned[h.zone] = now
		return ZoneReturned
	}
	c.unlist(now, h.run)
	return ServerRemoved
}

// Missing returns removals of the keys that a complete listing does not hold,
// although they were listed before its revision.
func (c *Catalog) Missing(listing *Changes) []Entry {
	present := make(map[string]bool, len(listing.Entries))
	for i := range listing.Entries {
		present[listing.Entries[i].Key] = true
	}
	var gone []Entry
	for key := range c.listed {
		if !present[key] && c.revisions[key] <= listing.Revision {
			gone = append(gone, Entry{Key: key, Revision: max(listing.Revision, c.revisions[key]+1), Removed: true})
		}
	}
	slices.SortFunc(gone, func(a, b Entry) int { return cmp.Compare(a.Key, b.Key) })
	return gone
}

// SetContact says whether the registry is reachable.
func (c *Catalog) SetContact(now model.Time, reachable bool) {
	switch {
	case !reachable:
		c.contact = 0
	case c.contact == 0:
		c.contact = now
	default:
		return
	}
	c.changed = true
}

// vanishedAt returns from when on an unlisted server counts as gone: its entry
// may have expired while the registry was away and returns if the server lives.
// ok is false while the registry is unreachable.
func (c *Catalog) vanishedAt(s *server) (at model.Time, ok bool) {
	return max(s.unlisted, c.contact).Add(c.settings.UnlistedGrace), c.contact != 0
}

// TakeChanged reports whether the belief changed since the last call.
func (c *Catalog) TakeChanged() bool {
	changed := c.changed
	c.changed = false
	return changed
}

// Complete reports whether a configuration and at least one server are known.
func (c *Catalog) Complete() bool { return c.config != nil && len(c.servers) > 0 }

// Servers returns the number of runs of servers that are known.
func (c *Catalog) Servers() int { return len(c.servers) }

// Config returns the configuration in force, or nil.
func (c *Catalog) Config() *Configuration { return c.config }

// Expire forgets departed servers whose flows are over and old removals.
func (c *Catalog) Expire(now model.Time) {
	for r, s := range c.servers {
		if s.unlisted != 0 && now.Sub(s.unlisted) > c.settings.Lifetime+retainMargin {
			delete(c.servers, r)
			delete(c.probeable, r)
			c.changed = true
		}
	}
	if c.tombs > maxTombstones {
		for key := range c.revisions {
			if _, ok := c.listed[key]; !ok {
				delete(c.revisions, key)
			}
		}
		c.tombs = 0
	}
}
