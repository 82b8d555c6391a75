package flow

import (
	"slices"
	"time"

	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/core/placement"
	"github.com/savorytiller/savorytiller/internal/core/table"
	"github.com/savorytiller/savorytiller/internal/core/view"
)

// MaxLookups bounds the instances that are asked for a flow, one after the
// other. The first one knows it after a single change. In random series of up to
// three changes at once every few seconds, two lookups broke a flow within 100
// series and four within 301 and 738 (docs/MEASUREMENTS.md).
const MaxLookups = 8

// ranksPerZone is how many instances of one of its zones are asked for a flow
// before those of other zones.
const ranksPerZone = 5

// maxPast bounds the former sets of instances that a shard remembers.
const maxPast = 8

// pastMembers is a set of instances that was replaced.
type pastMembers struct {
	members    *placement.Members
	replacedAt model.Time
}

// route finds the instances that are responsible for flows of a service, as
// one view sees it. It is a value without state of its own.
type route struct {
	view    *view.View
	now     model.Time
	members *placement.Members
	history *table.History
	// past holds the former sets of instances, newest first.
	past []pastMembers
}

// owner returns the owner of a flow and the zone whose servers it may choose,
// nil if there is no live instance or no zone in service.
func (r route) owner(hash uint64) (*model.Member, *table.ZoneTable) {
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
	return r.anyOwner(hash), zone
}

// anyOwner chooses among all live instances whose zone is in service. It is
// used if no instance is left in the zones of the service.
func (r route) anyOwner(hash uint64) *model.Member {
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

// target returns the instance that holds a copy of an exception: the owner, if
// self is not; else the home of a server that is an exception for its count only;
// else the owner in the server's zone, if that is another one, as it counts the
// server's connections; else the next owner in rendezvous order.
func (r route) target(hash uint64, server *view.Server) *model.Member {
	self := r.view.Self.ID
	owner, zone := r.owner(hash)
	if owner == nil || owner.ID != self {
		return owner
	}
	if home := r.home(server); home != nil && !r.differs(hash, server.Number) {
		return home // it counts the server's connections
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

// candidates appends the instances that may know a flow, most likely first:
// its owners under former sets of instances and retained generations, then those
// next in rendezvous order in its zones and in all others, leaving ones
// included. Zones out of service are left out.
func (r route) candidates(dst []*model.Member, hash uint64) []*model.Member {
	dst = r.owners(dst, hash)
	for _, zone := range r.zones(hash) {
		for _, m := range r.members.Rank(nil, zone, hash, ranksPerZone, true) {
			dst = r.candidate(dst, m)
		}
	}
	// An instance that joined lately knows neither former owners nor former
	// zones, so it asks the first ones in each zone.
	others := r.history.Current().RankedZones(nil, hash)
	for rank := range MaxLookups {
		for _, zone := range others {
			if ranked := r.members.Rank(nil, zone.Zone, hash, rank+1, true); rank < len(ranked) {
				dst = r.candidate(dst, ranked[rank])
			}
		}
	}
	return dst
}

// owners appends the present and former owners of a flow apart from self, latest
// first.
func (r route) owners(dst []*model.Member, hash uint64) []*model.Member {
	zones := r.zones(hash)
	for i := -1; i < len(r.past); i++ {
		members := r.members
		if i >= 0 {
			members = r.past[i].members
		}
		for _, zone := range zones {
			dst = r.candidate(dst, members.Owner(zone, hash))
		}
	}
	return dst
}

// candidate appends an instance if it still runs, is another one, and is not
// there yet.
func (r route) candidate(dst []*model.Member, m *model.Member) []*model.Member {
	if m == nil || len(dst) >= MaxLookups || m.ID == r.view.Self.ID {
		return dst
	}
	present, ok := r.members.Get(m.ID)
	if !ok || present.Liveness == model.Dead || slices.Contains(dst, present) {
		return dst
	}
	return append(dst, present)
}

// zones returns the zones in service that a flow has or had under a retained
// generation, the present one first.
func (r route) zones(hash uint64) []model.Zone {
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

// placer returns the nth instance in another zone that may place a flow, or nil.
func (r route) placer(hash uint64, n int) *model.Member {
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

// retentionMargin covers that instances replace a generation at different times:
// a flow stays an exception a little longer than others compute with the
// generation from which it differs.
const retentionMargin = 15 * time.Second

// replacedWithin reports whether a generation is in force or was replaced less
// than d ago.
func (r route) replacedWithin(g *table.Generation, d time.Duration) bool {
	return g.ReplacedAt == 0 || r.now.Sub(g.ReplacedAt) < d
}

// home returns the instance that alone may open flows on a server, or nil if
// each instance has a share or self is the one.
func (r route) home(server *view.Server) *model.Member {
	if !server.FlowsHomeOnly {
		return nil
	}
	home := r.members.Home(server.ID, server.Zone)
	if home == nil || home.ID == r.view.Self.ID {
		return nil
	}
	return home
}

// exception reports whether another instance must have a copy of a flow: a new
// owner might not find it by computation, or the server's home counts it.
func (r route) exception(hash uint64, server *view.Server) bool {
	return r.home(server) != nil || r.differs(hash, server.Number)
}

// differs reports whether a server differs from the table's choice under some
// retained generation, so that a new owner might not find it by computation.
func (r route) differs(hash uint64, server uint32) bool {
	for _, g := range r.history.Generations {
		if !r.replacedWithin(g, table.GenerationRetention+retentionMargin) {
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

// recompute returns the choice of the oldest retained generation that is still
// a server of the service.
func (r route) recompute(service model.ServiceID, hash uint64) *view.Server {
	for _, g := range slices.Backward(r.history.Generations) {
		zone := g.Zone(hash)
		if zone == nil || !r.replacedWithin(g, table.GenerationRetention-retentionMargin) {
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
