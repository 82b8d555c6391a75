// Package placement assigns keys to instances by rendezvous hashing: the owner
// and the successors of a key, the home instance of a backend server and the
// holder of a slot. It also provides the scores that assign flows to availability
// zones and servers. The same inputs give the same result on every instance, so no
// coordination is needed.
package placement

import (
	"encoding/binary"
	"iter"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/savorytiller/savorytiller/internal/core/model"
)

// HashString returns the 64-bit hash (xxHash64) of a name.
func HashString(s string) uint64 { return xxhash.Sum64String(s) }

// ServerNumber returns the 32-bit number that identifies a server in flow
// records. Note validation rejects a service in which two servers have the same
// number.
func ServerNumber(id model.ServerID) uint32 { return uint32(HashString(string(id))) }

// HashFlow returns the 64-bit hash of a flow key. It covers service, protocol and
// both endpoints.
func HashFlow(k model.FlowKey) uint64 {
	var b [4 + 1 + 2*(16+2)]byte
	binary.LittleEndian.PutUint32(b[0:], uint32(k.Service))
	b[4] = k.Protocol
	src, dst := k.Source.Addr().As16(), k.Destination.Addr().As16()
	copy(b[5:], src[:])
	copy(b[21:], dst[:])
	binary.LittleEndian.PutUint16(b[37:], k.Source.Port())
	binary.LittleEndian.PutUint16(b[39:], k.Destination.Port())
	return xxhash.Sum64(b[:])
}

// Mix combines two hashes into a uniformly distributed one (the finalizer of
// SplitMix64; Steele, Lea and Flood, 2014).
func Mix(a, b uint64) uint64 {
	z := a ^ (b * 0x9e3779b97f4a7c15)
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	return z ^ (z >> 31)
}

// Score returns the weighted rendezvous score of a candidate for a key. The
// candidate with the highest score is selected, so that each is selected for a
// share of the keys in proportion to its weight.
func Score(key, candidate uint64, weight float64) float64 {
	// 53 random bits, shifted by half a step so that u is not 0 and its logarithm
	// is finite.
	u := (float64(Mix(key, candidate)>>11) + 0.5) / (1 << 53)
	return -weight / math.Log(u)
}

// Members is an immutable set of instances prepared for placement.
type Members struct {
	// all is sorted by ID.
	all []model.Member
	// seeds holds the hash of the ID of each instance.
	seeds []uint64
	// byZone holds the indexes of the instances of each zone.
	byZone map[model.Zone][]int
}

// NewMembers returns the set of the given instances. It does not change the slice.
func NewMembers(members []model.Member) *Members {
	m := &Members{all: slices.Clone(members), byZone: map[model.Zone][]int{}}
	slices.SortFunc(m.all, func(a, b model.Member) int {
		if a.ID < b.ID {
			return -1
		}
		if a.ID > b.ID {
			return 1
		}
		return 0
	})
	m.seeds = make([]uint64, len(m.all))
	for i := range m.all {
		m.seeds[i] = HashString(string(m.all[i].ID))
		m.byZone[m.all[i].Zone] = append(m.byZone[m.all[i].Zone], i)
	}
	return m
}

// All returns the instances sorted by ID. Callers must not change the slice.
func (m *Members) All() []model.Member { return m.all }

// Get returns the instance with the given ID and whether the set contains it.
func (m *Members) Get(id model.InstanceID) (*model.Member, bool) {
	i, ok := slices.BinarySearchFunc(m.all, id, func(a model.Member, id model.InstanceID) int {
		if a.ID < id {
			return -1
		}
		if a.ID > id {
			return 1
		}
		return 0
	})
	if !ok {
		return nil, false
	}
	return &m.all[i], true
}

// LiveCountIn returns the number of live instances of a zone, without the leaving
// ones.
func (m *Members) LiveCountIn(zone model.Zone) int {
	n := 0
	for _, i := range m.byZone[zone] {
		if m.all[i].Liveness == model.Live {
			n++
		}
	}
	return n
}

// LiveCount returns the number of live instances, without the leaving ones.
func (m *Members) LiveCount() int {
	n := 0
	for zone := range m.byZone {
		n += m.LiveCountIn(zone)
	}
	return n
}

// Owner returns the live instance of the zone with the highest score for the
// key, or nil if the zone has no live instance.
func (m *Members) Owner(zone model.Zone, key uint64) *model.Member {
	best, bestScore := -1, uint64(0)
	for _, i := range m.byZone[zone] {
		if m.all[i].Liveness != model.Live {
			continue
		}
		if s := Mix(key, m.seeds[i]); best < 0 || s > bestScore {
			best, bestScore = i, s
		}
	}
	if best < 0 {
		return nil
	}
	return &m.all[best]
}

// LargestIn returns the live instance of the zone with the largest capacity, or
// nil if the zone has no live instance. Among equal capacities the highest score
// for the key decides.
func (m *Members) LargestIn(zone model.Zone, key uint64) *model.Member {
	return m.largest(key, slices.Values(m.byZone[zone]))
}

// LargestOverall is LargestIn across all zones.
func (m *Members) LargestOverall(key uint64) *model.Member {
	return m.largest(key, func(yield func(int) bool) {
		for i := range m.all {
			if !yield(i) {
				return
			}
		}
	})
}

func (m *Members) largest(key uint64, indexes iter.Seq[int]) *model.Member {
	var best *model.Member
	bestRank := uint64(0)
	for i := range indexes {
		x := &m.all[i]
		if x.Liveness != model.Live {
			continue
		}
		if r := rank(x.Capacity, key, m.seeds[i]); best == nil || r > bestRank {
			best, bestRank = x, r
		}
	}
	return best
}

// Rank orders instances for the tasks that some of them do for others: by capacity, and
// among equal capacities by the score for the key. The instance with the highest rank of a
// zone is the result of LargestIn.
func Rank(m *model.Member, key uint64) uint64 {
	return rank(m.Capacity, key, HashString(string(m.ID)))
}

func rank(capacity uint32, key, seed uint64) uint64 {
	return uint64(capacity)<<32 | Mix(key, seed)>>32
}

// Relays returns the result of LargestIn for each zone, in no particular order. Zones
// without a live instance are left out.
func (m *Members) Relays(key uint64) []*model.Member {
	var relays []*model.Member
	for zone := range m.byZone {
		if relay := m.LargestIn(zone, key); relay != nil {
			relays = append(relays, relay)
		}
	}
	return relays
}

// OwnerExcept returns the live instance of the zone with the highest score for the
// key, the given instance excepted, or nil if there is none.
func (m *Members) OwnerExcept(zone model.Zone, key uint64, except model.InstanceID) *model.Member {
	best, bestScore := -1, uint64(0)
	for _, i := range m.byZone[zone] {
		if m.all[i].Liveness != model.Live || m.all[i].ID == except {
			continue
		}
		if s := Mix(key, m.seeds[i]); best < 0 || s > bestScore {
			best, bestScore = i, s
		}
	}
	if best < 0 {
		return nil
	}
	return &m.all[best]
}

// Digest returns a hash over the IDs, incarnations, zones and liveness of the
// instances. It changes if the owner of a key may have changed or restarted.
// Capacity is not covered, because the owners of keys do not depend on it.
func (m *Members) Digest() uint64 {
	digest := uint64(len(m.all))
	for i := range m.all {
		x := &m.all[i]
		digest = Mix(digest, m.seeds[i]^uint64(x.Incarnation)<<2^uint64(x.Liveness)^HashString(string(x.Zone)))
	}
	return digest
}

// Rank appends up to limit live instances of the zone to dst, by descending score
// for the key. With includeLeaving set, leaving instances are ranked as well.
func (m *Members) Rank(dst []*model.Member, zone model.Zone, key uint64, limit int, includeLeaving bool) []*model.Member {
	type ranked struct {
		index int
		score uint64
	}
	candidates := make([]ranked, 0, len(m.byZone[zone]))
	for _, i := range m.byZone[zone] {
		live := m.all[i].Liveness
		if live == model.Live || includeLeaving && live == model.Leaving {
			candidates = append(candidates, ranked{i, Mix(key, m.seeds[i])})
		}
	}
	slices.SortFunc(candidates, func(a, b ranked) int {
		if a.score > b.score {
			return -1
		}
		if a.score < b.score {
			return 1
		}
		return a.index - b.index
	})
	for i := 0; i < len(candidates) && i < limit; i++ {
		dst = append(dst, &m.all[candidates[i].index])
	}
	return dst
}

// Home returns the home instance of a server: the only instance that may use the
// server while it is cold. It is nil if the zone has no live instance.
func (m *Members) Home(server model.ServerID, zone model.Zone) *model.Member {
	return m.Owner(zone, Mix(HashString(string(server)), homeSalt))
}

// RankHomes appends the home instance of a server and those that would succeed it, at most limit
// live instances of the zone in total, to dst.
func (m *Members) RankHomes(dst []*model.Member, server model.ServerID, zone model.Zone, limit int) []*model.Member {
	return m.Rank(dst, zone, Mix(HashString(string(server)), homeSalt), limit, false)
}

// SlotHolder returns the instance that holds a slot of a server, or nil if the
// zone has no live instance.
func (m *Members) SlotHolder(server model.ServerID, zone model.Zone, slot int) *model.Member {
	return m.Owner(zone, Mix(HashString(string(server)), slotSalt+uint64(slot)))
}

// Salts of the keys of a server. They make its home instance and the holders of its
// slots independent of each other.
const (
	homeSalt uint64 = 0x686f6d65 << 32
	slotSalt uint64 = 0x736c6f74 << 32
)
