package catalog

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/savorytiller/savorytiller/internal/core/belief"
	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/core/steering"
)

// Times and limits of the catalog.
const (
	// ZoneReturnColdTime is how long all servers of a zone that returns to service are
	// treated as cold. By its end, which is two heartbeats of a server later, their own
	// entries show whether they are.
	ZoneReturnColdTime = 2500 * time.Millisecond
	// retentionMargin is how long unlisted servers are kept beyond the lifetime of their
	// flows.
	retentionMargin = 10 * time.Second
	// maxTombstones is the number of removals after which the revisions of removed keys
	// are discarded.
	maxTombstones = 65_536
)

// Settings limit the flows and the retention of unlisted servers.
type Settings struct {
	// Lifetime is the longest time that a flow may stay open.
	Lifetime time.Duration
	// UnlistedGrace is how long after its entry disappeared from the registry a server may
	// still get new flows unless it was draining, and how long a zone stays out of service
	// whose withdrawal a restore of the registry lost, since the entry may be written again.
	UnlistedGrace time.Duration
	// NewFlowLimit is how long after the removal of its entry a server may get new flows at
	// the latest, whenever this instance learns of the removal.
	NewFlowLimit time.Duration
	// DefaultIdleTimeout is used if the configuration has no idle timeout.
	DefaultIdleTimeout time.Duration
}

// listedItem is the content of a listed key: either a run of a server, or a zone that is
// out of service.
type listedItem struct {
	run  ServerRun
	zone model.Zone
}

// server is what is known of one run of a backend server.
type server struct {
	entry ServerEntry
	belief.Evidence
	// probedAt is when the last probe ended, fullyProbedAt the last one that was no failed
	// repeat; 0 if there was none.
	probedAt, fullyProbedAt model.Time
	// retryDelay is the time from probedAt to the next probe of an unreachable server.
	retryDelay time.Duration
	// recoveryReportedAt is when another instance last reported that the server answers again
	// while it was unreachable from here.
	recoveryReportedAt model.Time
	// contact is reset by the next probe that is answered.
	contact contact
	// doubtedAt is the last time at which the server may have started again unnoticed; 0 if the
	// entry is known to be that of the run. doubtedByHome is set if the home of the server had lost contact.
	doubtedAt     model.Time
	doubtedByHome bool
}

// Catalog merges the entries from the registry and from other instances. It is not safe
// for concurrent use.
type Catalog struct {
	settings Settings
	config   *Configuration
	// routes indexes the routes of the configuration. Snapshots share the map, so it is
	// replaced rather than modified.
	routes map[steering.Endpoint]*Route
	// removedRoutes holds when each route was removed that this catalog had. Snapshots share
	// it too.
	removedRoutes map[steering.Endpoint]model.Time
	// configKey is the registry key of the configuration.
	configKey string
	// revisions holds the newest revision of each key in the current epoch, including
	// removed keys; 0 for a key that is known from an earlier epoch only.
	revisions  map[string]uint64
	tombstones int
	// unusable holds the keys whose values are invalid.
	unusable map[string]UnusableEntry
	listed   map[string]listedItem
	servers  map[ServerRun]*server
	// unlisted holds the runs of each server that have no entry.
	unlisted map[model.ServerID][]ServerRun
	// probeCandidates holds the servers that are suspect or unreachable.
	probeCandidates map[ServerRun]*server
	// doubted holds the servers with doubtedAt, and zoneDoubts the zones whose servers all are in
	// doubt.
	doubted     map[ServerRun]*server
	lastDoubtAt model.Time
	// earlyEnds are the times of reported ends of runs whose entries are not known yet.
	earlyEnds      map[ServerRun]model.Time
	zoneDoubts     map[model.Zone]zoneDoubt
	withdrawnZones map[model.Zone]bool
	// zoneReturnedAt is when a withdrawn zone returned to service.
	zoneReturnedAt map[model.Zone]model.Time
	// heldSince is since when a zone is out of service as of an earlier epoch only, by key.
	heldSince map[string]model.Time
	registry  belief.Registry
	// interrupted is set if the registry refused a call since registry.ReachableSince.
	interrupted bool
	// confirmedAt is a time at which the catalog had all changes of the registry.
	confirmedAt model.Time
	changed     bool
}

// New returns an empty catalog.
func New(s Settings) *Catalog {
	return &Catalog{settings: s, registry: belief.Registry{Grace: s.UnlistedGrace, NewFlowLimit: s.NewFlowLimit}, revisions: map[string]uint64{}, unusable: map[string]UnusableEntry{}, listed: map[string]listedItem{},
		servers: map[ServerRun]*server{}, unlisted: map[model.ServerID][]ServerRun{}, probeCandidates: map[ServerRun]*server{}, doubted: map[ServerRun]*server{}, earlyEnds: map[ServerRun]model.Time{}, zoneDoubts: map[model.Zone]zoneDoubt{}, withdrawnZones: map[model.Zone]bool{}, zoneReturnedAt: map[model.Zone]model.Time{}, heldSince: map[string]model.Time{}}
}

// Effect is what an entry changed.
type Effect uint8

// Effects of entries.
const (
	// Unchanged means that the entry is outdated or changes nothing.
	Unchanged Effect = iota
	// ConfigurationInForce means that a newer configuration came into force.
	ConfigurationInForce
	// ServerListed means that a server is new or that its entry was written again.
	ServerListed
	// ServerRemoved means that a server is no longer listed.
	ServerRemoved
	// ZoneWithdrawn means that operators took a zone out of service, ZoneReturned that
	// they ended that.
	ZoneWithdrawn
	ZoneReturned
	// MissingBase means that the entry is a delta to a version that is not in force here.
	MissingBase
	// Ignored means that the value is invalid, so the last valid one stays in force.
	// IgnoredAgain is the same for a key whose value was invalid before.
	Ignored
	IgnoredAgain
)

// Apply applies one entry. Entries that are not newer than the known revision of their key
// change nothing, so listings and watches can overlap. Apply fills in the Config or
// Delta that the entry lacks, if the configuration in force allows it.
func (c *Catalog) Apply(now model.Time, e *Entry) Effect {
	if known, ok := c.revisions[e.Key]; ok && e.Revision <= known {
		return Unchanged
	}
	if !c.resolveDelta(e) {
		return MissingBase
	}
	c.revisions[e.Key] = e.Revision
	delete(c.heldSince, e.Key)
	effect := c.apply(now, e)
	if effect != Ignored && effect != IgnoredAgain {
		delete(c.unusable, e.Key)
		c.changed = c.changed || effect != Unchanged
	}
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
		c.setRoutes(now)
		return ConfigurationInForce
	case e.Server != nil:
		return c.listServer(now, e)
	case e.Withdrawn != "":
		if e.Revision == 0 {
			c.heldSince[e.Key] = now
		}
		c.withdrawnZones[e.Withdrawn] = true
		c.listed[e.Key] = listedItem{zone: e.Withdrawn}
		return ZoneWithdrawn
	default:
		return c.recordUnusable(now, e)
	}
}

// setRoutes indexes the routes of the configuration and records which ones it removed. Open
// flows of a removed route outlast it by their lifetime.
func (c *Catalog) setRoutes(now model.Time) {
	before := c.routes
	c.routes = make(map[steering.Endpoint]*Route, len(c.config.Routes))
	for i := range c.config.Routes {
		r := &c.config.Routes[i]
		c.routes[r.Endpoint] = r
	}
	removed := make(map[steering.Endpoint]model.Time)
	for endpoint, at := range c.removedRoutes {
		if c.routes[endpoint] == nil && now.Sub(at) <= c.settings.Lifetime {
			removed[endpoint] = at
		}
	}
	for endpoint := range before {
		if c.routes[endpoint] == nil {
			removed[endpoint] = now
		}
	}
	c.removedRoutes = removed
}

// listServer applies a server's entry.
func (c *Catalog) listServer(now model.Time, entry *Entry) Effect {
	key, e := entry.Key, entry.Server
	if entry.Restored {
		var ok bool
		if e, ok = c.mergeRestored(now, key, e); !ok {
			return Unchanged
		}
	}
	r := e.Run()
	if old, ok := c.listed[key]; ok && old.run != r {
		c.markUnlisted(now, old.run)
	}
	c.supersede(now, r)
	c.forgetUnlisted(r)
	s := c.servers[r]
	if entry.Restored && s != nil && !s.Unlisted() && s.entry == *e {
		return Unchanged
	}
	c.listed[key] = listedItem{run: r}
	if s == nil {
		s = &server{}
		c.servers[r] = s
	}
	if s.entry.Address != e.Address {
		s.ProbeResult, s.ProbeSentAt = belief.ProbeUnknown, 0
	}
	s.entry = *e
	coldUntil := model.Time(0)
	if e.ColdFor > 0 {
		coldUntil = now.Add(e.ColdFor)
	}
	if s.doubtedAt != 0 && !entry.Restored && (s.Unlisted() || c.confirmedAt.After(s.doubtedAt)) {
		c.endDoubt(r, s) // the entry was written after the doubt
	}
	s.SupersededAt = 0 // the latest entry says which run is the current one
	s.SeeEntry(c.confirmedAt, e.State, coldUntil)
	c.applyEarlyEnd(r, s)
	return ServerListed
}

func (c *Catalog) remove(now model.Time, key string) Effect {
	c.tombstones++
	item, ok := c.listed[key]
	if !ok {
		return Unchanged
	}
	delete(c.listed, key)
	if item.zone != "" {
		delete(c.withdrawnZones, item.zone)
		c.zoneReturnedAt[item.zone] = now
		return ZoneReturned
	}
	c.markUnlisted(now, item.run)
	return ServerRemoved
}

// ImpliedRemovals returns the removals that a complete listing implies: one for each
// server, withdrawn zone and unusable entry that is missing from the listing, unless the
// catalog has it from a later revision.
func (c *Catalog) ImpliedRemovals(listing *Changes) []Entry {
	present := make(map[string]bool, len(listing.Entries))
	for i := range listing.Entries {
		// An entry without a revision is held by another instance and not in the registry.
		present[listing.Entries[i].Key] = listing.Entries[i].Revision != 0
	}
	var removals []Entry
	addRemoval := func(key string) {
		if _, held := c.heldSince[key]; !held && !present[key] && c.revisions[key] <= listing.Revision {
			removals = append(removals, Entry{Key: key, Revision: max(listing.Revision, c.revisions[key]+1), Removed: true})
		}
	}
	for key := range c.listed {
		addRemoval(key)
	}
	for key := range c.unusable {
		if _, ok := c.listed[key]; !ok {
			addRemoval(key)
		}
	}
	slices.SortFunc(removals, func(a, b Entry) int { return cmp.Compare(a.Key, b.Key) })
	return removals
}

// TakeChanged reports whether the catalog changed since the last call.
func (c *Catalog) TakeChanged() bool {
	changed := c.changed
	c.changed = false
	return changed
}

// Ready reports whether the catalog has a configuration and at least one server.
func (c *Catalog) Ready() bool { return c.config != nil && len(c.servers) > 0 }

// ServerCount returns the number of known runs of servers, including unlisted ones.
func (c *Catalog) ServerCount() int { return len(c.servers) }

// Config returns the configuration in force, or nil.
func (c *Catalog) Config() *Configuration { return c.config }

// ConfigVersion returns the version of the configuration in force, or 0.
func (c *Catalog) ConfigVersion() uint64 {
	if c.config == nil {
		return 0
	}
	return c.config.Version
}

// Expire removes unlisted servers whose flows have ended, and the revisions of removed keys
// if there are too many.
func (c *Catalog) Expire(now model.Time) {
	for r, s := range c.servers {
		if since := max(s.RemovalSeenAt, s.NamedAt); since != 0 && now.Sub(since) > c.settings.Lifetime+retentionMargin {
			delete(c.servers, r)
			delete(c.probeCandidates, r)
			delete(c.doubted, r)
			c.forgetUnlisted(r)
			c.changed = true
		}
	}
	c.expireDoubts(now)
	maps.DeleteFunc(c.earlyEnds, func(_ ServerRun, at model.Time) bool { return now.Sub(at) > belief.RestartHold })
	if c.tombstones > maxTombstones {
		for key := range c.revisions {
			if _, ok := c.listed[key]; !ok {
				delete(c.revisions, key)
			}
		}
		c.tombstones = 0
	}
}
