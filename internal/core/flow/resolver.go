package flow

import (
	"slices"
	"time"

	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/core/placement"
	"github.com/savorytiller/savorytiller/internal/core/table"
	"github.com/savorytiller/savorytiller/internal/core/view"
)

// MaxLookups bounds the instances that are asked for a flow, one after the other.
// After a single change the first one has a record of the flow. In simulated series
// of up to three simultaneous changes every few seconds, a flow broke within 100
// series with a limit of two, and within 301 and 738 series with a limit of four
// (docs/MEASUREMENTS.md).
const MaxLookups = 8

// ranksPerZone is how many instances of each of the flow's zones are asked for a
// flow before those of other zones.
const ranksPerZone = 5

// maxPastMembers bounds the former sets of instances that a shard keeps.
const maxPastMembers = 8

// pastMembers is a former set of instances.
type pastMembers struct {
	members    *placement.Members
	replacedAt model.Time
}

// resolver determines which instances are responsible for the flows of a service,
// and which server the lookup tables select for a flow, under one view. It has no
// state of its own.
type resolver struct {
	view    *view.View
	now     model.Time
	members *placement.Members
	history *table.History
	// past holds the former sets of instances, newest first.
	past []pastMembers
}

// owner returns the owner of a flow and the zone whose servers it may choose. The
// owner is nil if there is no live instance or no zone in service.
func (r resolver) owner(hash uint64) (*model.Member, *table.ZoneTable) {
	g := r.history.Current()
	if g == nil {
		return nil, nil
	}
	zone := g.Zone(hash)
	if zone == nil {
		return nil, nil
	}
	if m := r.members.Owner(zone.Zone, hash); m != nil {
		return m, zone
	}
	for _, other := range g.RankedZones(nil, hash) {
		if m := r.members.Owner(other.Zone, hash); m != nil {
			return m, other
		}
	}
	return r.fallbackOwner(hash), zone
}

// fallbackOwner chooses among all live instances whose zone is in service. It is
// used if the zones of the service have no live instance.
func (r resolver) fallbackOwner(hash uint64) *model.Member {
	var best *model.Member
	var bestScore uint64
	all := r.members.All()
	for i := range all {
		m := &all[i]
		if m.Liveness != model.Live || r.view.Config.Withdrawn(m.Zone) {
			continue
		}
		if s := placement.Mix(hash, placement.HashString(string(m.ID))); best == nil || s > bestScore {
			best, bestScore = m, s
		}
	}
	return best
}

// copyHolder returns the instance that must hold a copy of an exception. If self
// is not the owner, it is the owner. Otherwise it is the first of these: the home
// of a cold server, if the flow is an exception only because the home counts it;
// the owner in the server's zone, if that is another zone, because that instance
// counts the server's connections; the next owner in rendezvous order.
func (r resolver) copyHolder(hash uint64, server *view.Server) *model.Member {
	self := r.view.Self.ID
	owner, zone := r.owner(hash)
	if owner == nil || owner.ID != self {
		return owner
	}
	if home := r.otherHome(server); home != nil && !r.differsFromTables(hash, server.Number) {
		return home // the home counts the server's connections
	}
	if server.Zone != zone.Zone {
		if m := r.members.Owner(server.Zone, hash); m != nil && m.ID != self {
			return m
		}
	}
	if m := r.members.OwnerExcept(owner.Zone, hash, self); m != nil {
		return m
	}
	for _, other := range r.history.Current().RankedZones(nil, hash) {
		if m := r.members.OwnerExcept(other.Zone, hash, self); m != nil {
			return m
		}
	}
	return nil
}

// lookupCandidates appends the instances that may have a record of a flow, most
// likely first: its owners under former sets of instances and retained
// generations, then the next ones in rendezvous order in its zones, then those in
// all zones. Leaving instances are included, zones out of service are not.
func (r resolver) lookupCandidates(dst []*model.Member, hash uint64) []*model.Member {
	dst = r.presentAndFormerOwners(dst, hash)
	for _, zone := range r.flowZones(hash) {
		for _, m := range r.members.Rank(nil, zone, hash, ranksPerZone, true) {
			dst = r.appendCandidate(dst, m)
		}
	}
	// An instance that joined recently has neither former sets of instances nor
	// former generations, so it asks the highest-ranked instances of each zone.
	others := r.history.Current().RankedZones(nil, hash)
	for rank := range MaxLookups {
		for _, zone := range others {
			if ranked := r.members.Rank(nil, zone.Zone, hash, rank+1, true); rank < len(ranked) {
				dst = r.appendCandidate(dst, ranked[rank])
			}
		}
	}
	return dst
}

// presentAndFormerOwners appends the present and the former owners of a flow,
// latest first, except self.
func (r resolver) presentAndFormerOwners(dst []*model.Member, hash uint64) []*model.Member {
	zones := r.flowZones(hash)
	for i := -1; i < len(r.past); i++ {
		members := r.members
		if i >= 0 {
			members = r.past[i].members
		}
		for _, zone := range zones {
			dst = r.appendCandidate(dst, members.Owner(zone, hash))
		}
	}
	return dst
}

// appendCandidate appends an instance if it is still running, is not self and is
// not in the list yet.
func (r resolver) appendCandidate(dst []*model.Member, m *model.Member) []*model.Member {
	if m == nil || len(dst) >= MaxLookups || m.ID == r.view.Self.ID {
		return dst
	}
	present, ok := r.members.Get(m.ID)
	if !ok || present.Liveness == model.Dead || slices.Contains(dst, present) {
		return dst
	}
	return append(dst, present)
}

// flowZones returns the zones in service to which a flow belongs now or belonged
// under a retained generation, the present one first.
func (r resolver) flowZones(hash uint64) []model.Zone {
	var zones []model.Zone
	if _, zone := r.owner(hash); zone != nil {
		zones = append(zones, zone.Zone)
	}
	for _, g := range r.history.Generations {
		if zone := g.Zone(hash); zone != nil && !slices.Contains(zones, zone.Zone) && !r.view.Config.Withdrawn(zone.Zone) {
			zones = append(zones, zone.Zone)
		}
	}
	return zones
}

// otherZoneOwner returns the owner of a flow in the nth (from 0) of the other zones
// that have a live instance, by descending rendezvous score, or nil.
func (r resolver) otherZoneOwner(hash uint64, n int) *model.Member {
	g := r.history.Current()
	if g == nil {
		return nil
	}
	for _, zone := range g.RankedZones(nil, hash) {
		m := r.members.Owner(zone.Zone, hash)
		if m == nil || zone.Zone == r.view.Self.Zone {
			continue
		}
		if n == 0 {
			return m
		}
		n--
	}
	return nil
}

// retentionMargin allows for instances that replace a generation at different
// times: a flow stays an exception a little longer than other instances compute
// its server with the generation from which it differs.
const retentionMargin = 15 * time.Second

// inForceWithin reports whether a generation is in force or was replaced less
// than d ago.
func (r resolver) inForceWithin(g *table.Generation, d time.Duration) bool {
	return g.ReplacedAt == 0 || r.now.Sub(g.ReplacedAt) < d
}

// otherHome returns the home instance of a server if the server is cold, so that
// only its home may open flows on it, and the home is not self; else nil.
func (r resolver) otherHome(server *view.Server) *model.Member {
	if !server.FlowsHomeOnly {
		return nil
	}
	home := r.members.Home(server.ID, server.Zone)
	if home == nil || home.ID == r.view.Self.ID {
		return nil
	}
	return home
}

// isException reports whether another instance must have a copy of a flow:
// because a new owner might not find its server by computation, or because the
// server's home counts the flow.
func (r resolver) isException(hash uint64, server *view.Server) bool {
	return r.otherHome(server) != nil || r.differsFromTables(hash, server.Number)
}

// differsFromTables reports whether a server differs from the table's choice
// under some retained generation, so that a new owner might not find it by
// computation.
func (r resolver) differsFromTables(hash uint64, server uint32) bool {
	for _, g := range r.history.Generations {
		if !r.inForceWithin(g, table.GenerationRetention+retentionMargin) {
			continue
		}
		zone := g.Zone(hash)
		if zone == nil {
			return true
		}
		if number, ok := zone.Table.LookupNumber(hash); !ok || number != server {
			return true
		}
	}
	return false
}

// recomputeServer returns the server that the oldest retained generation selects,
// if the service still has it, else the one of the next generation, and so on;
// nil if there is none.
func (r resolver) recomputeServer(service model.ServiceID, hash uint64) *view.Server {
	for _, g := range slices.Backward(r.history.Generations) {
		zone := g.Zone(hash)
		if zone == nil || !r.inForceWithin(g, table.GenerationRetention-retentionMargin) {
			continue
		}
		if number, ok := zone.Table.LookupNumber(hash); ok {
			if server := r.view.ByNumber[view.ServerRef{Service: service, Number: number}]; server != nil {
				return server
			}
		}
	}
	return nil
}
