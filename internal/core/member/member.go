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
	"math/bits"
	"math/rand/v2"
	"slices"
	"strings"
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
	// forgetAfter removes a dead member that the platform does not list.
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
}

// New returns a table that knows only the instance itself.
func New(self model.Member, rng *rand.Rand) *Table {
	return &Table{self: self, rng: rng, peers: map[model.InstanceID]*peer{}, changed: true}
}

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

// Tick advances time by one second: it believes old suspicions, forgets dead
// members and returns the members to probe in this second.
func (t *Table) Tick(now model.Time) []model.Member {
	t.extra = ExtraPerSecond
	var check []model.InstanceID
	for id, p := range t.peers {
		switch {
		case p.member.Liveness == model.Dead:
			if !p.listed && now.Sub(p.changed) > forgetAfter {
				t.forget(id)
			}
		case p.suspect != 0 && !now.Before(p.suspect):
			t.believe(now, p)
		case p.suspect != 0, !p.listed && now.Sub(max(p.checked, p.heard, p.changed)) > recheckUnlisted:
			check = append(check, id)
		}
	}
	targets := t.cyclic(nil, t.zone, &t.zoneAt, ZoneProbes)
	targets = t.cyclic(targets, t.others, &t.othersAt, OtherProbes)
	if m, ok := t.Random(nil); ok {
		targets = appendNew(targets, m)
	}
	slices.Sort(check)
	for _, id := range check {
		if t.extra == 0 {
			break
		}
		t.extra--
		t.peers[id].checked = now
		targets = appendNew(targets, t.peers[id].member)
	}
	return targets
}

func appendNew(list []model.Member, m model.Member) []model.Member {
	if slices.ContainsFunc(list, func(o model.Member) bool { return o.ID == m.ID }) {
		return list
	}
	return append(list, m)
}

// cyclic appends the next members in the order of identifiers, starting
// behind this instance, so that each member is probed by few others at a time.
// Dead members stay in the order: a probe of them heals a partition.
func (t *Table) cyclic(dst []model.Member, order []model.InstanceID, at *int, count int) []model.Member {
	if len(order) == 0 {
		return dst
	}
	if *at == 0 {
		start, _ := slices.BinarySearch(order, t.self.ID)
		*at = start + 1
	}
	for range min(count, len(order)) {
		dst = appendNew(dst, t.peers[order[(*at-1)%len(order)]].member)
		*at = (*at-1)%len(order) + 2
	}
	return dst
}

// Random returns a random live member of any zone, other than the excluded one.
func (t *Table) Random(exclude *model.InstanceID) (model.Member, bool) {
	n := len(t.zone) + len(t.others)
	if n == 0 {
		return model.Member{}, false
	}
	for range 8 { // dead members are few; a miss only delays an update
		i := t.rng.IntN(n)
		var id model.InstanceID
		if i < len(t.zone) {
			id = t.zone[i]
		} else {
			id = t.others[i-len(t.zone)]
		}
		p := t.peers[id]
		if p.member.Liveness != model.Dead && (exclude == nil || *exclude != id) {
			return p.member, true
		}
	}
	return model.Member{}, false
}

// Next says what follows a failed probe.
type Next uint8

const (
	// Nothing is to be done.
	Nothing Next = iota
	// Retry the probe at once, over a new connection.
	Retry
	// Ask the helpers to probe the member.
	Ask
)

// Failed takes the failure of a direct probe.
func (t *Table) Failed(now model.Time, id model.InstanceID) (Next, []model.Member) {
	p, ok := t.peers[id]
	if !ok || p.member.Liveness == model.Dead {
		return Nothing, nil
	}
	p.failed++
	if p.failed < Attempts {
		return Retry, nil
	}
	if p.failed > Attempts {
		return Nothing, nil // the helpers are asked already
	}
	t.noteZone(p, false)
	helpers := t.helpers(p)
	if len(helpers) == 0 {
		t.believe(now, p)
		return Nothing, nil
	}
	return Ask, helpers
}

// helpers returns members that may reach p: first from its own zone.
func (t *Table) helpers(p *peer) []model.Member {
	var near, far []model.Member
	for _, list := range [][]model.InstanceID{t.zone, t.others} {
		if len(list) == 0 {
			continue
		}
		offset := t.rng.IntN(len(list))
		for i := range list {
			o := t.peers[list[(offset+i)%len(list)]]
			if o == p || o.member.Liveness == model.Dead || o.failed > 0 || o.suspect != 0 {
				continue
			}
			if o.member.Zone == p.member.Zone {
				near = append(near, o.member)
			} else if len(far) < Helpers {
				far = append(far, o.member)
			}
			if len(near) >= Helpers {
				break
			}
		}
	}
	all := append(near[:min(len(near), Helpers)], far...)
	return all[:min(len(all), Helpers)]
}

// Asked takes the result of the probes through the helpers.
func (t *Table) Asked(now model.Time, id model.InstanceID, reached bool) {
	p, ok := t.peers[id]
	if !ok || p.failed == 0 {
		return // heard in the meantime
	}
	if reached {
		p.failed = 0
		return
	}
	t.believe(now, p)
}

// believe marks a member as dead and passes the suspicion on, unless this
// instance cannot reach most of its own zone and so is probably cut off itself.
func (t *Table) believe(now model.Time, p *peer) {
	p.suspect, p.failed = 0, 0
	t.setLiveness(now, p, model.Dead)
	if !t.Doubtful() {
		t.enqueue(p.member.ID)
	}
}

// noteZone records whether a member of the own zone answered.
func (t *Table) noteZone(p *peer, ok bool) {
	if p.member.Zone != t.self.Zone {
		return
	}
	t.zoneOK <<= 1
	if ok {
		t.zoneOK |= 1
	}
	t.zoneSeen = min(t.zoneSeen+1, doubtWindow)
}

// Doubtful reports whether most recent probes within the zone failed. Small
// zones are left out: one dead member would be most of them.
func (t *Table) Doubtful() bool {
	return len(t.zone) >= 4 && t.zoneSeen == doubtWindow && bits.OnesCount8(t.zoneOK) < doubtWindow/2
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

// Merge takes updates that another instance passed on.
func (t *Table) Merge(now model.Time, updates []Update) {
	for i := range updates {
		m := updates[i].Member
		if m.ID == t.self.ID {
			t.contradict(m)
			continue
		}
		p, ok := t.peers[m.ID]
		switch {
		case !ok:
			if m.Liveness != model.Dead && m.PeerAddress.IsValid() && m.Zone != "" {
				t.add(now, m)
				t.enqueue(m.ID)
			}
		case m.Liveness == model.Dead && p.member.Liveness != model.Dead:
			t.suspect(now, p, m)
		default:
			t.apply(now, p, m)
		}
	}
}

// suspect takes a reported suspicion. An own contact that is more recent than
// the report can be outranks it.
func (t *Table) suspect(now model.Time, p *peer, m model.Member) {
	if m.Incarnation < p.member.Incarnation || p.suspect != 0 {
		return
	}
	if p.contact && now.Sub(p.heard) < heardRecently {
		return
	}
	p.member.Incarnation = m.Incarnation
	p.suspect = now.Add(SuspicionTime)
	t.enqueue(p.member.ID)
	if t.extra > 0 && t.rng.IntN(t.Len()) < verifiers {
		t.extra--
		t.verify = append(t.verify, p.member)
	}
}

// TakeVerify returns the suspected members that are to be probed at once.
func (t *Table) TakeVerify() []model.Member {
	v := t.verify
	t.verify = nil
	return v
}

// contradict raises the own incarnation if another instance believes that
// this one is dead, or in an older state than it is.
func (t *Table) contradict(m model.Member) {
	if m.Incarnation < t.self.Incarnation || m.Incarnation == t.self.Incarnation && m.Liveness <= t.self.Liveness {
		return
	}
	t.self.Incarnation = m.Incarnation + 1
	t.changed = true
	t.enqueue(t.self.ID)
}

// Suspected reports whether the member is suspected or dead, so that a message
// to it should say so and give it the chance to contradict.
func (t *Table) Suspected(id model.InstanceID) bool {
	p, ok := t.peers[id]
	return ok && (p.suspect != 0 || p.member.Liveness == model.Dead)
}

// enqueue passes a member's state on with the next messages.
func (t *Table) enqueue(id model.InstanceID) {
	for i := range t.queue {
		if t.queue[i].id == id {
			t.queue[i].sent = 0
			return
		}
	}
	if len(t.queue) >= maxQueue {
		t.queue = slices.Delete(t.queue, 0, 1)
	}
	t.queue = append(t.queue, queued{id: id})
}

// Urgent reports whether an update waits that few have seen.
func (t *Table) Urgent() bool {
	return len(t.queue) > 0 && slices.ContainsFunc(t.queue, func(q queued) bool { return q.sent < t.limit()/2 })
}

// limit is how often one update is sent by one instance, about 2 log2 n.
func (t *Table) limit() int { return 2*bits.Len(uint(t.Len())) + 2 }

// Updates returns what a message to the given member should pass on: its own
// suspicion first, then the least sent updates.
func (t *Table) Updates(to model.InstanceID) []Update {
	var out []Update
	if t.Suspected(to) {
		out = append(out, t.state(to))
	}
	slices.SortStableFunc(t.queue, func(a, b queued) int { return a.sent - b.sent })
	for i := 0; i < len(t.queue) && len(out) < MaxUpdates; i++ {
		t.queue[i].sent++
		if t.queue[i].id != to {
			out = append(out, t.state(t.queue[i].id))
		}
	}
	limit := t.limit()
	t.queue = slices.DeleteFunc(t.queue, func(q queued) bool { return q.sent >= limit })
	return out
}

// NotLive returns the members that are dead or leaving, for an instance that
// joins and so has missed the updates about them.
func (t *Table) NotLive(limit int) []Update {
	var out []Update
	for id, p := range t.peers {
		if p.member.Liveness != model.Live {
			out = append(out, t.state(id))
		}
	}
	slices.SortFunc(out, func(a, b Update) int { return strings.Compare(string(a.Member.ID), string(b.Member.ID)) })
	return out[:min(len(out), limit)]
}

func (t *Table) state(id model.InstanceID) Update {
	if id == t.self.ID {
		return Update{t.self}
	}
	p, ok := t.peers[id]
	if !ok {
		return Update{model.Member{ID: id, Liveness: model.Dead}}
	}
	m := p.member
	if p.suspect != 0 {
		m.Liveness = model.Dead
	}
	if m.Liveness == model.Dead {
		return Update{model.Member{ID: m.ID, Incarnation: m.Incarnation, Liveness: model.Dead}}
	}
	return Update{m}
}
