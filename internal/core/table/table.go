// Package table builds the tables that map a flow to a backend server.
// Tables depend on the configuration only, so every instance with the same
// release note has the same tables.
package table

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/core/placement"
)

// groups is the number of groups of servers in a table. A lookup scores the
// groups in use and then the servers of one group: about 370 scores at 30,000
// servers. With few servers nearly every one has a group of its own, so that the
// result is plain rendezvous hashing.
const groups = 256

// GenerationRetention is how long a replaced generation stays known.
const GenerationRetention = 5 * time.Minute

// MaxGenerations bounds the retained generations of a service. If instances drop
// generations for their number and not for their age, a new owner may compute
// with one that the former owner had dropped, and choose another server.
const MaxGenerations = 32

// Table maps hashes to servers of one service in one availability zone by
// two-level weighted rendezvous hashing: each server belongs to the group that
// the hash of its ID selects, and the group's weight is the sum of its servers'.
// There are no precomputed entries, so the load follows the weights exactly, a
// table costs 48 bytes a server, and a change moves only flows to the servers
// whose share grows, or off those whose share shrinks (plain rendezvous hashing),
// and within one group.
type Table struct {
	// Servers holds the servers of the zone, sorted by ID.
	Servers []model.Server
	// Numbers holds the number of each server (placement.ServerNumber).
	Numbers []uint32
	groups  []group
	// members holds the servers, ordered by group.
	members []candidate
}

// group is a range of members.
type group struct {
	candidate
	first, end int32
}

// candidate is a group or a server that a hash may select.
type candidate struct {
	seed   uint64
	weight float64
	index  int32
}

// Build returns the table of the given servers, weighted by Server.Weight.
// Draining servers keep their share: their flows must still be found.
func Build(servers []model.Server) *Table {
	t := &Table{Servers: servers, Numbers: make([]uint32, len(servers)), members: make([]candidate, len(servers))}
	var sizes [groups + 1]int32
	hashes := make([]uint64, len(servers))
	for i := range servers {
		hashes[i] = placement.HashString(string(servers[i].ID))
		t.Numbers[i] = uint32(hashes[i])
		sizes[groupOf(hashes[i])+1]++
	}
	for g := range groups {
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

const groupSalt uint64 = 0x67726f7570 << 24

// groupOf uses the upper bits of a server's hash: the lower ones are its number.
func groupOf(hash uint64) int { return int(hash >> 56) }

// lookup returns the index of the server for a hash.
func (t *Table) lookup(hash uint64) int {
	var best bestOf
	for i := range t.groups {
		best.offer(hash, &t.groups[i].candidate, i)
	}
	g := &t.groups[best.at]
	if g.end-g.first == 1 {
		return int(t.members[g.first].index)
	}
	best = bestOf{}
	for i := g.first; i < g.end; i++ {
		best.offer(hash, &t.members[i], int(t.members[i].index))
	}
	return best.at
}

// bestOf keeps the candidate with the lowest -ln(u)/weight, which is the one
// with the highest placement.Score.
type bestOf struct {
	at   int
	cost float64
	some bool
}

// offer compares a candidate. The logarithm is needed for few of them, as
// -ln(u) is at least 1-u.
func (b *bestOf) offer(hash uint64, c *candidate, at int) {
	u := (float64(placement.Mix(hash, c.seed)>>11) + 0.5) / (1 << 53)
	if b.some && 1-u >= b.cost*c.weight {
		return
	}
	if cost := -math.Log(u) / c.weight; !b.some || cost < b.cost {
		b.at, b.cost, b.some = at, cost, true
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

// Ranked appends the zones to dst in rendezvous order for a flow hash. A nil
// generation has none.
func (g *Generation) Ranked(dst []*ZoneTable, hash uint64) []*ZoneTable {
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

// sameChoices reports whether two generations map every flow to the same server.
func sameChoices(a, b *Generation) bool {
	return slices.EqualFunc(a.Zones, b.Zones, func(x, y ZoneTable) bool {
		return x.Zone == y.Zone && slices.EqualFunc(x.Table.Servers, y.Table.Servers, func(s, t model.Server) bool {
			return s.ID == t.ID && s.Weight == t.Weight
		})
	})
}

// Push returns the history after a new generation came into force at now. It
// drops generations that were replaced longer than GenerationRetention ago. A
// generation with the same choices as the newest one takes its place.
func (h *History) Push(g *Generation, now model.Time) *History {
	next := &History{Generations: []*Generation{g}}
	if h == nil {
		return next
	}
	if sameChoices(g, h.Generations[0]) {
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
