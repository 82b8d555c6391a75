// Package member decides which instances of the load balancer are live. It starts from
// the platform's instance list, which lags behind, and corrects it by direct probes,
// indirect probes through other members, and updates that instances gossip.
//
// The precedence of updates is that of SWIM (Das, Gupta and Motivala, 2002): a higher
// incarnation always wins; within an incarnation, dead wins over leaving and leaving
// over live. Only a member itself raises its incarnation, either by a restart or to
// refute a suspicion.
package member

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/savorytiller/savorytiller/internal/core/model"
)

// Rates and limits of probing. They hold for each instance and do not depend on the size
// of the fleet, so the control traffic of an instance stays constant.
const (
	ZoneProbes      = 2 // probes per second to the own availability zone, round robin
	OtherZoneProbes = 1 // probes per second to other zones, round robin
	DirectAttempts  = 3 // direct probes that must fail before indirect ones are sent
	IndirectProbers = 2 // members that are asked to probe one that does not respond
	// ExtraProbes limits the additional probes per second, of suspected and unlisted
	// members.
	ExtraProbes = 4
)

// Timeouts and intervals.
const (
	// SuspicionTimeout is how long a member has to refute a suspicion that another
	// instance reported before it counts as dead.
	SuspicionTimeout = time.Second
	// recentContact is the age up to which direct contact with a member overrides a
	// reported suspicion.
	recentContact = 1500 * time.Millisecond
	// defaultDeadRetention is how long a dead member that the platform does not list is
	// kept unless SetDeadRetention is called.
	defaultDeadRetention = 30 * time.Second
	// unlistedProbeInterval is the time without contact after which a member that the
	// platform does not list gets an extra probe, and the time between such probes.
	unlistedProbeInterval = 10 * time.Second
)

// Limits of gossip and of the isolation check.
const (
	MaxUpdates       = 16   // updates in one message
	maxQueuedUpdates = 4096 // updates waiting to be sent; more than a whole fleet after a partition
	verifiers        = 8    // expected number of instances that probe a newly suspected member
	isolationWindow  = 8    // recent results within the zone on which ProbablyIsolated is based
)

// Update is the state of a member as gossiped between instances.
type Update struct {
	Member model.Member
}

// peer is the state of one other instance.
type peer struct {
	member          model.Member
	listed          bool
	lastContact     model.Time // last direct contact; valid if contacted is set
	contacted       bool
	failedProbes    int        // consecutive failed direct probes
	suspicionEndsAt model.Time // when a reported suspicion marks the member as dead; 0 for none
	changedAt       model.Time // last change of liveness
	extraProbeAt    model.Time // last extra probe
}

// queuedUpdate is an update that is sent until sent reaches transmitLimit.
type queuedUpdate struct {
	id   model.InstanceID
	sent int
}

// Table is the membership as one instance sees it.
type Table struct {
	self             model.Member
	rng              *rand.Rand
	peers            map[model.InstanceID]*peer
	ownZone          []model.InstanceID // other members of the own zone, sorted
	otherZones       []model.InstanceID // members of other zones, sorted
	nextInOwnZone    int                // position of the next probe in ownZone, plus 1; 0 before the first probe
	nextInOtherZones int                // the same for otherZones
	queue            []queuedUpdate
	extraProbesLeft  int                // extra probes left in this second
	zoneResults      uint8              // latest results within the zone, 1 bit each: 1 for a message, 0 for failed probes
	zoneResultCount  int                // number of valid bits in zoneResults
	changed          bool               // see TakeChanged
	newSuspects      []model.Member     // suspects to probe, see TakeSuspects
	listedIDs        []model.InstanceID // IDs in the platform's latest list and that of self, sorted
	deadRetention    time.Duration      // how long dead unlisted members are kept
	contacts         contactLimit       // limits the members of other zones
}

// New returns a table that contains only the instance itself.
func New(self model.Member, rng *rand.Rand) *Table {
	return &Table{self: self, rng: rng, peers: map[model.InstanceID]*peer{}, changed: true, deadRetention: defaultDeadRetention}
}

// SetDeadRetention sets how long dead members that the platform does not list are kept.
// Without a list, members that are separated by a longer partition do not find each
// other again.
func (t *Table) SetDeadRetention(d time.Duration) { t.deadRetention = d }

// Self returns this instance with its current incarnation and liveness.
func (t *Table) Self() model.Member { return t.self }

// Leave marks this instance as leaving and queues an update about it.
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

// Members returns the live and leaving instances, this one included, sorted by ID.
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

// Get returns the state of a member. ok is false if it is unknown.
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
	return ok && p.contacted
}

// Len returns the number of known instances, dead ones included.
func (t *Table) Len() int { return len(t.peers) + 1 }

// Listed returns the IDs in the platform's latest list and that of this instance, sorted.
func (t *Table) Listed() []model.InstanceID { return t.listedIDs }

// SetList sets the platform's latest list and adds its new instances. Members that are no
// longer listed get extra probes and, once dead, are removed after the retention time.
func (t *Table) SetList(now model.Time, listed []model.Member) {
	for _, p := range t.peers {
		p.listed = false
	}
	t.listedIDs = []model.InstanceID{t.self.ID}
	for _, l := range listed {
		if l.ID == t.self.ID {
			continue
		}
		t.listedIDs = append(t.listedIDs, l.ID)
		p, ok := t.peers[l.ID]
		if !ok {
			l.Incarnation = 0 // unknown until the first message of the member
			t.addPeer(now, l).listed = true
			continue
		}
		p.listed = true
		if l.Liveness == model.Leaving && p.member.Liveness == model.Live {
			t.setLiveness(now, p, model.Leaving)
		}
		if p.member.PeerAddress != l.PeerAddress && !p.contacted {
			l.Incarnation, l.Liveness = p.member.Incarnation, p.member.Liveness
			p.member = l
			t.changed = true
		}
	}
	slices.Sort(t.listedIDs)
}

func (t *Table) addPeer(now model.Time, m model.Member) *peer {
	p := &peer{member: m, changedAt: now}
	t.peers[m.ID] = p
	t.insertID(m)
	t.changed = t.changed || m.Liveness != model.Dead
	return p
}

func (t *Table) insertID(m model.Member) {
	list := &t.otherZones
	if m.Zone == t.self.Zone {
		list = &t.ownZone
	}
	if i, found := slices.BinarySearch(*list, m.ID); !found {
		*list = slices.Insert(*list, i, m.ID)
	}
}

func (t *Table) removePeer(id model.InstanceID) {
	for _, list := range []*[]model.InstanceID{&t.ownZone, &t.otherZones} {
		if i, found := slices.BinarySearch(*list, id); found {
			*list = slices.Delete(*list, i, i+1)
		}
	}
	delete(t.peers, id)
}

func (t *Table) setLiveness(now model.Time, p *peer, l model.Liveness) {
	if p.member.Liveness != l {
		p.member.Liveness = l
		p.changedAt = now
		t.changed = true
	}
}

// RecordContact records a message that arrived directly from a member, with the state that
// the member reports about itself.
func (t *Table) RecordContact(now model.Time, m model.Member) {
	if m.ID == t.self.ID {
		return
	}
	p, ok := t.peers[m.ID]
	if !ok {
		if !t.admit(&m) {
			return
		}
		p = t.addPeer(now, m)
		t.enqueue(m.ID)
	}
	p.lastContact, p.contacted, p.failedProbes, p.suspicionEndsAt = now, true, 0, 0
	t.recordZoneResult(p, true)
	t.applyUpdate(now, p, m)
}

// applyUpdate applies a reported state of a member if it takes precedence over the known
// one, and reports whether it does.
func (t *Table) applyUpdate(now model.Time, p *peer, m model.Member) bool {
	known := &p.member
	if m.Incarnation < known.Incarnation || m.Incarnation == known.Incarnation && m.Liveness <= known.Liveness {
		return false
	}
	newer := m.Incarnation > known.Incarnation
	if newer && m.Liveness != model.Dead && m.PeerAddress.IsValid() {
		if m.Zone != known.Zone {
			t.removePeer(m.ID)
			listed := p.listed
			*p = peer{member: m, changedAt: now, listed: listed, lastContact: p.lastContact, contacted: p.contacted}
			t.peers[m.ID] = p
			t.insertID(m)
			t.changed = true
			t.enqueue(m.ID)
			return true
		}
		matchesList := known.Incarnation == 0 && known.Liveness == m.Liveness && sameAddresses(known, &m)
		knownLiveness := known.Liveness
		p.member = m
		p.member.Liveness = knownLiveness
		t.setLiveness(now, p, m.Liveness)
		t.changed = t.changed || !matchesList
		p.suspicionEndsAt = 0
		if !matchesList {
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
