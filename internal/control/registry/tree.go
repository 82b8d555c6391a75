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

// parent returns the instance that forwards to this one. ok is false at the root.
func (t *zoneTree) parent() (parent model.Member, ok bool) {
	if t.self <= 0 {
		return parent, false
	}
	return t.members[(t.self-1)/fanOut], true
}

// root returns the instance at the root; it is the relay unless all instances are leaving.
func (t *zoneTree) root() model.InstanceID { return t.members[0].ID }

// isChild reports whether this instance forwards to the given one.
func (t *zoneTree) isChild(id model.InstanceID) bool {
	return slices.ContainsFunc(t.children(), func(m model.Member) bool { return m.ID == id })
}

// isParent reports whether the instance forwards to this one.
func (t *zoneTree) isParent(id model.InstanceID) bool {
	parent, ok := t.parent()
	return ok && parent.ID == id
}

// others returns the other instances of the zone.
func (t *zoneTree) others() []model.Member {
	return slices.Delete(slices.Clone(t.members), t.self, t.self+1)
}
