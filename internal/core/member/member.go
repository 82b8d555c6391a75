// Package member decides which entry instances are live. It starts from the
// platform's lagging list and corrects it by the instance's own probes, by
// probes through other members and by the updates that instances pass on.
//
// The order of updates follows SWIM (Das, Gupta and Motivala, 2002): a higher
// incarnation always wins; within an incarnation dead wins over leaving and
// leaving over live. Only a member itself raises its incarnation, either by a
// restart or to contradict a suspicion.
package member

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/savorytiller/savorytiller/internal/core/model"
)

// Rates and limits of probing. They are per instance and do not grow with the
// fleet, so control traffic stays flat at any size.
const (
	ZoneProbes  = 2 // probes per second to the own availability zone, in cyclic order
	OtherProbes = 1 // probes per second to other zones, in cyclic order
	Attempts    = 3 // direct probes that must fail before others are asked
	Helpers     = 2 // members that are asked to probe a silent one
	// ExtraPerSecond bounds the additional probes that check suspicions and
	// unlisted members.
	ExtraPerSecond = 4
)

// Times after which something happens to a member.
const (
	// SuspicionTime is how long an instance waits for a contradiction before
	// it believes a suspicion that another one reported.
	SuspicionTime = time.Second
	// heardRecently is how fresh an own contact must be to outrank a reported suspicion.
	heardRecently = 1500 * time.Millisecond
	// forgetAfter removes a dead member that the platform does not list, unless
	// KeepDead says otherwise.
	forgetAfter = 30 * time.Second
	// recheckUnlisted is the time between probes of a live member that the
	// platform does not list.
	recheckUnlisted = 10 * time.Second
)

// Bounds of the updates that are passed on.
const (
	MaxUpdates  = 16   // updates in one message
	maxQueue    = 4096 // updates waiting to be passed on; more than a fleet that heals
	verifiers   = 8    // instances of the fleet that probe a newly suspected member
	doubtWindow = 8    // recent probes within the zone that decide about doubt
)

// Update is what one instance tells another about a member.
type Update struct {
	Member model.Member
}

// peer is the state of one other instance.
type peer struct {
	member  model.Member
	listed  bool
	heard   model.Time // last direct contact; valid if contact is set
	contact bool
	failed  int        // consecutive failed direct probes
	suspect model.Time // when a reported suspicion is believed; 0 for none
	changed model.Time // last change of liveness
	checked model.Time // last extra probe
}

// queued is an update that is passed on until sent reaches the limit.
type queued struct {
	id   model.InstanceID
	sent int
}

// Table is the membership as one instance sees it.
type Table struct {
	self     model.Member
	rng      *rand.Rand
	peers    map[model.InstanceID]*peer
	zone     []model.InstanceID // other members of the own zone, sorted
	others   []model.InstanceID // members of other zones, sorted
	zoneAt   int
	othersAt int
	queue    []queued
	extra    int // extra probes left in this second
	zoneOK   uint8
	zoneSeen int
	changed  bool
	verify   []model.Member
	list     []model.InstanceID // members that the platform listed last, with Self
	keep     time.Duration      // how long dead members are kept that are not listed
}

// New returns a table that knows only the instance itself.
func New(self model.Member, rng *rand.Rand) *Table {
	return &Table{self: self, rng: rng, peers: map[model.InstanceID]*peer{}, changed: true, keep: forgetAfter}
}

// KeepDead sets how long dead members are kept. Where no list names the members, a
// partition that lasts longer separates them for good.
func (t *Table) KeepDead(d time.Duration) { t.keep = d }

// Self returns this instance with its present incarnation and liveness.
func (t *Table) Self() model.Member { return t.self }

// Leave marks this instance as leaving and passes it on.
func (t *Table) Leave() {
	if t.self.Liveness == model.Live {
		t.self.Liveness = model.Leaving
		t.changed = true
		t.enqueue(t.self.ID)
	}
}

// TakeChanged reports whether the live or leaving members changed since the last call.
func (t *Table) TakeChanged() bool {
	c := t.changed
	t.changed = false
	return c
}

// Members returns the live and leaving instances, this one included, sorted by identifier.
func (t *Table) Members() []model.Member {
	all := make([]model.Member, 0, len(t.peers)+1)
	all = append(all, t.self)
	for _, p := range t.peers {
		if p.member.Liveness != model.Dead {
			all = append(all, p.member)
		}
	}
	slices.SortFunc(all, func(a, b model.Member) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

// Get returns what is known of a member; ok is false for an unknown one.
func (t *Table) Get(id model.InstanceID) (m model.Member, ok bool) {
	if id == t.self.ID {
		return t.self, true
	}
	p, ok := t.peers[id]
	if !ok {
		return model.Member{}, false
	}
	return p.member, true
}

// Contacted reports whether this instance ever had direct contact with the member.
func (t *Table) Contacted(id model.InstanceID) bool {
	p, ok := t.peers[id]
	return ok && p.contact
}

// Len returns the number of known instances, dead ones included.
func (t *Table) Len() int { return len(t.peers) + 1 }

// Listed returns the identifiers in the platform's newest list together with
// this instance, sorted.
func (t *Table) Listed() []model.InstanceID { return t.list }

// SetList takes the platform's list. It adds candidates; members that are no
// longer listed are checked and removed once they do not answer.
func (t *Table) SetList(now model.Time, listed []model.Member) {
	for _, p := range t.peers {
		p.listed = false
	}
	t.list = []model.InstanceID{t.self.ID}
	for _, l := range listed {
		if l.ID == t.self.ID {
			continue
		}
		t.list = append(t.list, l.ID)
		p, ok := t.peers[l.ID]
		if !ok {
			l.Incarnation = 0 // unknown until the member is heard
			t.add(now, l).listed = true
			continue
		}
		p.listed = true
		if l.Liveness == model.Leaving && p.member.Liveness == model.Live {
			t.setLiveness(now, p, model.Leaving)
		}
		if p.member.PeerAddress != l.PeerAddress && !p.contact {
			l.Incarnation, l.Liveness = p.member.Incarnation, p.member.Liveness
			p.member = l
			t.changed = true
		}
	}
	slices.Sort(t.list)
}

func (t *Table) add(now model.Time, m model.Member) *peer {
	p := &peer{member: m, changed: now}
	t.peers[m.ID] = p
	t.insert(m)
	t.changed = t.changed || m.Liveness != model.Dead
	return p
}

func (t *Table) insert(m model.Member) {
	list := &t.others
	if m.Zone == t.self.Zone {
		list = &t.zone
	}
	if i, found := slices.BinarySearch(*list, m.ID); !found {
		*list = slices.Insert(*list, i, m.ID)
	}
}

func (t *Table) forget(id model.InstanceID) {
	for _, list := range []*[]model.InstanceID{&t.zone, &t.others} {
		if i, found := slices.BinarySearch(*list, id); found {
			*list = slices.Delete(*list, i, i+1)
		}
	}
	delete(t.peers, id)
}

func (t *Table) setLiveness(now model.Time, p *peer, l model.Liveness) {
	if p.member.Liveness != l {
		p.member.Liveness = l
		p.changed = now
		t.changed = true
	}
}

// Heard takes a member's own statement about itself from a message of it.
func (t *Table) Heard(now model.Time, m model.Member) {
	if m.ID == t.self.ID {
		return
	}
	p, ok := t.peers[m.ID]
	if !ok {
		p = t.add(now, m)
		t.enqueue(m.ID)
	}
	p.heard, p.contact, p.failed, p.suspect = now, true, 0, 0
	t.noteZone(p, true)
	t.apply(now, p, m)
}

// apply takes a statement about a member if it wins over what is known.
func (t *Table) apply(now model.Time, p *peer, m model.Member) bool {
	known := &p.member
	if m.Incarnation < known.Incarnation || m.Incarnation == known.Incarnation && m.Liveness <= known.Liveness {
		return false
	}
	fresh := m.Incarnation > known.Incarnation
	if fresh && m.Liveness != model.Dead && m.PeerAddress.IsValid() {
		if m.Zone != known.Zone {
			t.forget(m.ID)
			listed := p.listed
			*p = peer{member: m, changed: now, listed: listed, heard: p.heard, contact: p.contact}
			t.peers[m.ID] = p
			t.insert(m)
			t.changed = true
			t.enqueue(m.ID)
			return true
		}
		first := known.Incarnation == 0 && known.Liveness == m.Liveness && sameAddresses(known, &m)
		live := known.Liveness
		p.member = m
		p.member.Liveness = live
		t.setLiveness(now, p, m.Liveness)
		t.changed = t.changed || !first
		p.suspect = 0
		if !first {
			t.enqueue(m.ID)
		}
		return true
	}
	known.Incarnation = m.Incarnation
	t.setLiveness(now, p, m.Liveness)
	t.enqueue(m.ID)
	return true
}

func sameAddresses(a, b *model.Member) bool {
	return a.FlowAddress == b.FlowAddress && a.PeerAddress == b.PeerAddress && a.RequestAddress == b.RequestAddress
}
