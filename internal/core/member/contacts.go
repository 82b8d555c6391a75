package member

import (
	"cmp"
	"slices"

	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/core/placement"
)

// contactLimit restricts what a table holds of other availability zones to a few members of
// each, its contacts. Without it, the updates about members grow with the square of the
// fleet and most of them cross zones.
type contactLimit struct {
	// perZone is the number of contacts of each other zone; 0 for no limit.
	perZone int
	// key selects the contacts: those with the highest placement.Rank for the key.
	key uint64
	// own holds the contacts of the own zone at the last Tick.
	own []model.InstanceID
}

// LimitContacts makes the table hold only the given number of members of each other zone:
// the live ones with the highest placement.Rank for the key. Updates about the other members
// of a zone stay within the zone.
func (t *Table) LimitContacts(perZone int, key uint64) {
	t.contacts = contactLimit{perZone: perZone, key: key}
}

func (t *Table) rank(m *model.Member) uint64 { return placement.Rank(m, t.contacts.key) }

// admit reports whether an unknown member is to be added. It removes the lowest contact of
// the member's zone if the member replaces it.
func (t *Table) admit(m *model.Member) bool {
	if t.contacts.perZone == 0 || m.Zone == t.self.Zone {
		return true
	}
	live := t.liveContacts(m.Zone)
	if len(live) < t.contacts.perZone {
		return true
	}
	lowest := live[len(live)-1]
	if t.rank(&lowest.member) >= t.rank(m) {
		return false
	}
	t.dropContact(lowest)
	return true
}

// liveContacts returns the members of another zone that are not dead, in descending order of
// their rank.
func (t *Table) liveContacts(zone model.Zone) []*peer {
	var live []*peer
	for _, id := range t.otherZones {
		if p := t.peers[id]; p.member.Zone == zone && p.member.Liveness != model.Dead {
			live = append(live, p)
		}
	}
	slices.SortFunc(live, func(a, b *peer) int { return cmp.Compare(t.rank(&b.member), t.rank(&a.member)) })
	return live
}

// dropContact removes a contact together with its queued update.
func (t *Table) dropContact(p *peer) {
	id := p.member.ID
	t.removePeer(id)
	t.queue = slices.DeleteFunc(t.queue, func(q queuedUpdate) bool { return q.id == id })
	t.changed = true
}

// ownContacts returns the contacts that instances of other zones are to hold of this zone, in
// descending order of their rank.
func (t *Table) ownContacts() []model.Member {
	live := make([]model.Member, 0, len(t.ownZone)+1)
	if t.self.Liveness == model.Live {
		live = append(live, t.self)
	}
	for _, id := range t.ownZone {
		if p := t.peers[id]; p.member.Liveness == model.Live {
			live = append(live, p.member)
		}
	}
	slices.SortFunc(live, func(a, b model.Member) int { return cmp.Compare(t.rank(&b), t.rank(&a)) })
	return live[:min(len(live), t.contacts.perZone)]
}

// maintainContacts removes surplus contacts, which exist after dead ones returned, and queues
// updates about members that became contacts of the own zone.
func (t *Table) maintainContacts() {
	if t.contacts.perZone == 0 {
		return
	}
	for zone := range t.otherZoneSet() {
		live := t.liveContacts(zone)
		for _, surplus := range live[min(t.contacts.perZone, len(live)):] {
			t.dropContact(surplus)
		}
	}
	var own []model.InstanceID
	for _, m := range t.ownContacts() {
		own = append(own, m.ID)
		if !slices.Contains(t.contacts.own, m.ID) {
			t.enqueue(m.ID)
		}
	}
	t.contacts.own = own
}

// HasLiveContacts reports whether a live member of another zone is known.
func (t *Table) HasLiveContacts() bool {
	return slices.ContainsFunc(t.otherZones, func(id model.InstanceID) bool { return t.peers[id].member.Liveness == model.Live })
}

func (t *Table) otherZoneSet() map[model.Zone]bool {
	zones := map[model.Zone]bool{}
	for _, id := range t.otherZones {
		zones[t.peers[id].member.Zone] = true
	}
	return zones
}

// relevance decides which members an instance needs to know.
type relevance struct {
	table *Table
	// zone is the zone of the instance, or "" if it is unknown.
	zone model.Zone
	// floor is the rank from which members of the own zone are its contacts.
	floor uint64
}

// relevanceFor returns the relevance for an instance of a zone.
func (t *Table) relevanceFor(zone model.Zone) relevance {
	r := relevance{table: t, zone: zone}
	if t.contacts.perZone > 0 && zone != t.self.Zone {
		if own := t.ownContacts(); len(own) == t.contacts.perZone {
			r.floor = t.rank(&own[len(own)-1])
		}
	}
	return r
}

// includes reports whether the instance needs to know a member. All instances need the
// contacts of every zone; a dead member counts as a contact if it was one.
func (r *relevance) includes(m *model.Member) bool {
	own := m.Zone == r.table.self.Zone
	return r.table.contacts.perZone == 0 || !own || r.zone == m.Zone || r.table.rank(m) >= r.floor
}

// MembersFor returns the live and leaving instances that an instance of the given zone needs
// to know, sorted by ID.
func (t *Table) MembersFor(zone model.Zone) []model.Member {
	r := t.relevanceFor(zone)
	return slices.DeleteFunc(t.Members(), func(m model.Member) bool { return !r.includes(&m) })
}

// RandomInZone returns a random member of the own zone that is not dead. ok is false if none
// is known.
func (t *Table) RandomInZone() (m model.Member, ok bool) {
	var live []model.InstanceID
	for _, id := range t.ownZone {
		if t.peers[id].member.Liveness != model.Dead {
			live = append(live, id)
		}
	}
	if len(live) == 0 {
		return model.Member{}, false
	}
	return t.peers[live[t.rng.IntN(len(live))]].member, true
}
