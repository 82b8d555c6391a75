// Package table builds the lookup tables that map a flow to a backend server.
// Tables depend on the configuration only, so every instance with the same
// release note has the same tables.
package table

import (
	"cmp"
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
	// Numbers holds the number of each server (placement.ServerNumber).
	Numbers []uint32
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
	t.Numbers = make([]uint32, len(servers))
	for i := range servers {
		seeds[i] = placement.HashString(string(servers[i].ID))
		t.Numbers[i] = placement.ServerNumber(servers[i].ID)
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

// LookupNumber returns the number of the server for a flow hash. The result is
// false for an empty table.
func (t *Table) LookupNumber(hash uint64) (uint32, bool) {
	if len(t.entries) == 0 {
		return 0, false
	}
	return t.Numbers[t.entries[hash&(Size-1)]], true
}

// Score returns the rendezvous score of the server with the given index for a
// flow hash. The server with the highest score is the alternative if the
// table's choice may get no new work.
func (t *Table) Score(hash uint64, index int) float64 {
	return placement.Score(hash, uint64(t.Numbers[index]), float64(t.Servers[index].Weight))
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

// Ranked appends the zones to dst in rendezvous order for a flow hash.
func (g *Generation) Ranked(dst []*ZoneTable, hash uint64) []*ZoneTable {
	first := len(dst)
	for i := range g.Zones {
		dst = append(dst, &g.Zones[i])
	}
	slices.SortFunc(dst[first:], func(a, b *ZoneTable) int {
		return cmp.Compare(placement.Score(hash, b.seed, b.Weight), placement.Score(hash, a.seed, a.Weight))
	})
	return dst
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
