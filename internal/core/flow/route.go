package flow

import (
	"slices"
	"time"

	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/core/placement"
	"github.com/savorytiller/savorytiller/internal/core/table"
	"github.com/savorytiller/savorytiller/internal/core/view"
)

// MaxLookups bounds the instances that are asked for a flow. Two are not enough
// if several instances join while others leave.
const MaxLookups = 4

// ranksPerZone is how many instances of one zone may be asked.
const ranksPerZone = 3

// route finds the instances that are responsible for flows of a service, as
// one view sees it. It is a value without state of its own.
type route struct {
	view    *view.View
	now     model.Time
	members *placement.Members
	history *table.History
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
	for _, other := range g.Ranked(nil, hash) {
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
// self is not; else the owner in the server's zone, if that is another one, as
// it counts the server's connections; else the next owner in rendezvous order.
func (r route) target(hash uint64, serverZone model.Zone) *model.Member {
	self := r.view.Self.ID
	owner, zone := r.owner(hash)
	if owner == nil || owner.ID != self {
		return owner
	}
	if serverZone != zone.Zone {
		if m := r.members.Owner(serverZone, hash); m != nil && m.ID != self {
			return m
		}
	}
	if m := r.members.Second(owner.Zone, hash, self); m != nil {
		return m
	}
	for _, other := range r.history.Current().Ranked(nil, hash) {
		if m := r.members.Second(other.Zone, hash, self); m != nil {
			return m
		}
	}
	return nil
}

// candidates appends the instances that may know a flow, most likely first:
// those next in rendezvous order in the flow's zone, leaving ones included, and
// those in the zones that the flow had under retained generations. Zones out of
// service are left out. The owner in the next zone may hold a copy.
func (r route) candidates(dst []*model.Member, hash uint64) []*model.Member {
	var zones []model.Zone
	for i, g := range r.history.Generations {
		if zone := g.Zone(hash); zone != nil && !slices.Contains(zones, zone.Zone) && !r.view.Config.Withdrawn(zone.Zone) {
			zones = append(zones, zone.Zone)
		}
		if i == 0 {
			if owner, zone := r.owner(hash); owner != nil && !slices.Contains(zones, zone.Zone) {
				zones = append(zones, zone.Zone)
			}
		}
	}
	ranked := make([][]*model.Member, len(zones))
	for i, zone := range zones {
		ranked[i] = r.members.Rank(nil, zone, hash, ranksPerZone+1, true)
		ranked[i] = slices.DeleteFunc(ranked[i], func(m *model.Member) bool { return m.ID == r.view.Self.ID })
	}
	for rank := range ranksPerZone {
		for i := range ranked {
			if rank < len(ranked[i]) && len(dst) < MaxLookups {
				dst = append(dst, ranked[i][rank])
			}
		}
	}
	if g := r.history.Current(); g != nil && len(dst) < MaxLookups {
		for _, zone := range g.Ranked(nil, hash) {
			m := r.members.Owner(zone.Zone, hash)
			if m != nil && m.ID != r.view.Self.ID && !slices.Contains(dst, m) && len(dst) < MaxLookups {
				dst = append(dst, m)
			}
		}
	}
	return dst
}

// placer returns the nth instance in another zone that may place a flow, or nil.
func (r route) placer(hash uint64, n int) *model.Member {
	g := r.history.Current()
	if g == nil {
		return nil
	}
	for _, zone := range g.Ranked(nil, hash) {
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

// exception reports whether a server differs from the table's choice under some
// retained generation, so that a new owner might not find it by computation.
func (r route) exception(hash uint64, server uint32) bool {
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
