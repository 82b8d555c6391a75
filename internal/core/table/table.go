// Package table builds the lookup tables that map a flow to a backend server.
// Tables depend on the configuration only, so every instance with the same
// release note has the same tables.
package table

import (
	"slices"
	"time"

	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/core/placement"
)

// Size is the number of entries of a table. It is a power of two, so that a
// lookup is one mask; 4,096 entries give each of 15 servers about 270.
const Size = 4096

// GenerationRetention is how long a replaced generation stays known.
const GenerationRetention = 5 * time.Minute

// MaxGenerations bounds the retained generations of a service.
const MaxGenerations = 8

// Table maps hashes to servers of one service in one availability zone.
type Table struct {
	// Servers holds the servers of the zone, sorted by ID.
	Servers []model.Server
	entries []uint16
}

// Build returns the table of the given servers, weighted by Server.Weight.
// Draining servers keep their entries: their flows must still be found.
func Build(servers []model.Server) *Table {
	t := &Table{Servers: servers}
	if len(servers) == 0 {
		return t
	}
	seeds := make([]uint64, len(servers))
	for i := range servers {
		seeds[i] = placement.HashString(string(servers[i].ID))
	}
	t.entries = make([]uint16, Size)
	for e := range t.entries {
		best, bestScore := 0, -1.0
		for i := range servers {
			s := placement.Score(placement.HashString("entry")+uint64(e), seeds[i], float64(servers[i].Weight))
			if s > bestScore {
				best, bestScore = i, s
			}
		}
		t.entries[e] = uint16(best)
	}
	return t
}

// Lookup returns the server for a flow hash, or nil for an empty table.
func (t *Table) Lookup(hash uint64) *model.Server {
	if len(t.entries) == 0 {
		return nil
	}
	return &t.Servers[t.entries[hash&(Size-1)]]
}

// ZoneTable is the table of one availability zone of a service.
type ZoneTable struct {
	Zone model.Zone
	// Weight is the sum of the weights of the zone's servers.
	Weight float64
	Table  *Table
	seed   uint64
}

// Generation is the set of tables that one release note gives a service.
type Generation struct {
	Version model.Version
	// Zones holds the zones that are in service, sorted by name.
	Zones []ZoneTable
	// ReplacedAt is when a newer generation came into force; 0 for the newest.
	ReplacedAt model.Time
}

// NewGeneration builds the tables of a service for a configuration.
func NewGeneration(c *model.Configuration, s *model.Service) *Generation {
	byZone := map[model.Zone][]model.Server{}
	for _, server := range s.Servers {
		if !c.Withdrawn(server.Zone) {
			byZone[server.Zone] = append(byZone[server.Zone], server)
		}
	}
	g := &Generation{Version: c.Version}
	for zone, servers := range byZone {
		zt := ZoneTable{Zone: zone, Table: Build(servers), seed: placement.HashString(string(zone))}
		for i := range servers {
			zt.Weight += float64(servers[i].Weight)
		}
		g.Zones = append(g.Zones, zt)
	}
	slices.SortFunc(g.Zones, func(a, b ZoneTable) int {
		if a.Zone < b.Zone {
			return -1
		}
		return 1
	})
	return g
}

// Zone returns the availability zone that a flow hash belongs to, by weighted
// rendezvous hashing, or nil if the service has no zone in service.
func (g *Generation) Zone(hash uint64) *ZoneTable {
	var best *ZoneTable
	bestScore := -1.0
	for i := range g.Zones {
		if s := placement.Score(hash, g.Zones[i].seed, g.Zones[i].Weight); s > bestScore {
			best, bestScore = &g.Zones[i], s
		}
	}
	return best
}

// History holds the generations of a service, newest first.
type History struct {
	Generations []*Generation
}

// Current returns the generation in force, or nil.
func (h *History) Current() *Generation {
	if h == nil || len(h.Generations) == 0 {
		return nil
	}
	return h.Generations[0]
}

// Push returns the history after a new generation came into force at now. It
// drops generations that were replaced longer than GenerationRetention ago.
func (h *History) Push(g *Generation, now model.Time) *History {
	next := &History{Generations: []*Generation{g}}
	if h == nil {
		return next
	}
	for i, old := range h.Generations {
		kept := *old
		if i == 0 {
			kept.ReplacedAt = now
		}
		if len(next.Generations) < MaxGenerations && now.Sub(kept.ReplacedAt) < GenerationRetention {
			next.Generations = append(next.Generations, &kept)
		}
	}
	return next
}
