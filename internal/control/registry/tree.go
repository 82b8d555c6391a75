package registry

import (
	"cmp"
	"slices"

	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/core/placement"
)

// fanOut is the number of instances to which each instance of a zone forwards changes and
// confirmations. With 6, they reach 259 instances in three steps.
const fanOut = 6

// zoneTree is the order in which changes and confirmations spread in the own zone: a complete
// tree with the relay as its root and the instances with the narrowest links as its leaves.
// Instances with different views of the members get some changes twice or pull them.
type zoneTree struct {
	members []model.Member
	self    int // index of this instance in members
}

func newZoneTree(members *placement.Members, self *model.Member) zoneTree {
	var t zoneTree
	for _, m := range members.All() {
		if m.Zone == self.Zone {
			t.members = append(t.members, m)
		}
	}
	slices.SortFunc(t.members, func(a, b model.Member) int {
		if c := cmp.Compare(a.Liveness, b.Liveness); c != 0 {
			return c // live before leaving
		}
		return cmp.Compare(placement.Rank(&b, dutyKey), placement.Rank(&a, dutyKey))
	})
	t.self = slices.IndexFunc(t.members, func(m model.Member) bool { return m.ID == self.ID })
	return t
}

// children returns the instances to which this one forwards.
func (t *zoneTree) children() []model.Member {
	first := min(fanOut*t.self+1, len(t.members))
	return t.members[first:min(first+fanOut, len(t.members))]
}

// isParent reports whether the instance forwards to this one.
func (t *zoneTree) isParent(id model.InstanceID) bool {
	return t.self > 0 && t.members[(t.self-1)/fanOut].ID == id
}

// others returns the other instances of the zone.
func (t *zoneTree) others() []model.Member {
	return slices.Delete(slices.Clone(t.members), t.self, t.self+1)
}
