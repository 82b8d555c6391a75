// Package table builds the lookup tables that map a flow to a backend server.
// They depend on the configuration only, so all instances with the same release
// note have the same tables.
package table

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/core/placement"
)

// numGroups is the number of groups that the servers of a table are divided into.
// A lookup scores the nonempty groups and then the servers of one group: about 370
// scores with 30,000 servers. With few servers, nearly every server has a group of
// its own, and the result is plain rendezvous hashing.
const numGroups = 256

// GenerationRetention is how long a replaced generation is kept. It lets a new owner of
// a flow compute the server under the generation that placed the flow.
const GenerationRetention = 5 * time.Minute

// MaxGenerations is the maximum number of generations kept for a service. When
// instances drop generations because of this limit rather than their age, a new
// owner of a flow may use a generation that the former owner had already dropped,
// and choose another server.
const MaxGenerations = 32

// Table maps hashes to servers of one service in one availability zone by
// two-level weighted rendezvous hashing: each server belongs to the group that
// the hash of its ID selects, and the group's weight is the sum of its servers'.
// There are no precomputed entries, so the expected load is exactly proportional
// to the weights and a table takes 48 bytes per server. A change moves flows only
// to servers whose share grows or from servers whose share shrinks (as in plain
// rendezvous hashing), and within the group of a changed server.
type Table struct {
	// Servers holds the servers of the zone, sorted by ID.
	Servers []model.Server
	// Numbers holds placement.ServerNumber of each server, in the order of Servers.
	Numbers []uint32
	// groups holds the nonempty groups.
	groups []group
	// members holds the servers, ordered by group; index refers to Servers.
	members []candidate
}

// group is a group of servers: members[first:end] of the table.
type group struct {
	candidate
	first, end int32
}

// candidate is a group or a server that a lookup can select.
type candidate struct {
	seed   uint64
	weight float64
	index  int32
}

// Build returns the table of the given servers, weighted by Server.Weight.
// Draining servers keep their share, because lookups must still find the server
// of their existing flows.
func Build(servers []model.Server) *Table {
	t := &Table{Servers: servers, Numbers: make([]uint32, len(servers)), members: make([]candidate, len(servers))}
	var sizes [numGroups + 1]int32
	hashes := make([]uint64, len(servers))
	for i := range servers {
		hashes[i] = placement.HashString(string(servers[i].ID))
		t.Numbers[i] = uint32(hashes[i])
		sizes[groupOf(hashes[i])+1]++
	}
	for g := range numGroups {
		if sizes[g+1] > 0 {
			t.groups = append(t.groups, group{
				candidate: candidate{seed: placement.Mix(groupSalt, uint64(g)), index: int32(g)},
				first:     sizes[g], end: sizes[g] + sizes[g+1],
			})
		}
		sizes[g+1] += sizes[g]
	}
	next := sizes
	for i := range servers {
		g := groupOf(hashes[i])
		t.members[next[g]] = candidate{seed: hashes[i], weight: float64(servers[i].Weight), index: int32(i)}
		next[g]++
	}
	for i := range t.groups {
		g := &t.groups[i]
		for _, m := range t.members[g.first:g.end] {
			g.weight += m.weight
		}
	}
	return t
}

// groupSalt makes the seeds of groups differ from those of servers.
const groupSalt uint64 = 0x67726f7570 << 24

// groupOf returns the group of a server: the upper 8 bits of its hash, which are
// independent of the lower 32, the server's number.
func groupOf(hash uint64) int { return int(hash >> 56) }

// lookup returns the index of the server for a hash.
func (t *Table) lookup(hash uint64) int {
	var best bestCandidate
	for i := range t.groups {
		best.consider(hash, &t.groups[i].candidate, i)
	}
	g := &t.groups[best.position]
	if g.end-g.first == 1 {
		return int(t.members[g.first].index)
	}
	best = bestCandidate{}
	for i := g.first; i < g.end; i++ {
		best.consider(hash, &t.members[i], int(t.members[i].index))
	}
	return best.position
}

// bestCandidate keeps the position of the candidate with the lowest cost
// -ln(u)/weight, which is the one with the highest placement.Score.
type bestCandidate struct {
	position int
	cost     float64
	found    bool
}

// consider keeps the candidate if its cost is lower than the lowest so far. Since
// -ln(u) is at least 1-u, the logarithm is computed for few candidates only.
func (b *bestCandidate) consider(hash uint64, c *candidate, position int) {
	u := (float64(placement.Mix(hash, c.seed)>>11) + 0.5) / (1 << 53)
	if b.found && 1-u >= b.cost*c.weight {
		return
	}
	if cost := -math.Log(u) / c.weight; !b.found || cost < b.cost {
		b.position, b.cost, b.found = position, cost, true
	}
}

// Lookup returns the server for a flow hash, or nil for an empty table.
func (t *Table) Lookup(hash uint64) *model.Server {
	if len(t.Servers) == 0 {
		return nil
	}
	return &t.Servers[t.lookup(hash)]
}

// LookupNumber returns the number of the server for a flow hash. The result is
// false for an empty table.
func (t *Table) LookupNumber(hash uint64) (uint32, bool) {
	if len(t.Servers) == 0 {
		return 0, false
	}
	return t.Numbers[t.lookup(hash)], true
}

// Score returns the rendezvous score of the server with the given index for a
// flow hash. If the server that Lookup returns must not get new work, the eligible
// server with the highest score replaces it.
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

// Generation is the set of tables of a service that result from one release note.
type Generation struct {
	Version model.Version
	// Zones holds the zones in service that have servers, sorted by name.
	Zones []ZoneTable
	// ReplacedAt is when a newer generation replaced this one; 0 for the newest.
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

// Zone returns the availability zone that weighted rendezvous hashing selects for
// a flow hash, or nil if the service has no zone in service.
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

// RankedZones appends the zones to dst by descending rendezvous score for a flow
// hash. A nil generation has none.
func (g *Generation) RankedZones(dst []*ZoneTable, hash uint64) []*ZoneTable {
	if g == nil {
		return dst
	}
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

// sameMapping reports whether two generations map every flow to the same server.
func sameMapping(a, b *Generation) bool {
	return slices.EqualFunc(a.Zones, b.Zones, func(x, y ZoneTable) bool {
		return x.Zone == y.Zone && slices.EqualFunc(x.Table.Servers, y.Table.Servers, func(s, t model.Server) bool {
			return s.ID == t.ID && s.Weight == t.Weight
		})
	})
}

// Push returns the history with a new generation that replaces the newest one at
// now; h may be nil and does not change. Generations replaced at least
// GenerationRetention ago, and those beyond MaxGenerations, are dropped. If g maps
// every flow to the same server as the newest generation, it takes that
// generation's place instead.
func (h *History) Push(g *Generation, now model.Time) *History {
	next := &History{Generations: []*Generation{g}}
	if h == nil {
		return next
	}
	if sameMapping(g, h.Generations[0]) {
		next.Generations = append(next.Generations, h.Generations[1:]...)
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
