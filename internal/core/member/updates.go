package member

import (
	"math/bits"
	"slices"
	"strings"

	"github.com/savorytiller/savorytiller/internal/core/model"
)

// Merge applies updates from a message of another instance.
func (t *Table) Merge(now model.Time, updates []Update) {
	for i := range updates {
		m := updates[i].Member
		if m.ID == t.self.ID {
			t.refute(m)
			continue
		}
		p, ok := t.peers[m.ID]
		switch {
		case !ok:
			if m.Liveness != model.Dead && m.PeerAddress.IsValid() && m.Zone != "" && t.admit(&m) {
				t.addPeer(now, m)
				t.enqueue(m.ID)
			}
		case m.Liveness == model.Dead && p.member.Liveness != model.Dead:
			t.applySuspicion(now, p, m)
		default:
			t.applyUpdate(now, p, m)
		}
	}
}

// applySuspicion starts the suspicion timeout of a member that another instance reported
// as dead. Recent direct contact overrides the report. Each instance decides at random
// whether to probe the member, so that about verifiers instances of the fleet do.
func (t *Table) applySuspicion(now model.Time, p *peer, m model.Member) {
	if m.Incarnation < p.member.Incarnation || p.suspicionEndsAt != 0 {
		return
	}
	if p.contacted && now.Sub(p.lastContact) < recentContact {
		return
	}
	p.member.Incarnation = m.Incarnation
	p.suspicionEndsAt = now.Add(SuspicionTimeout)
	t.enqueue(p.member.ID)
	if t.extraProbesLeft > 0 && t.rng.IntN(t.Len()) < verifiers {
		t.extraProbesLeft--
		t.newSuspects = append(t.newSuspects, p.member)
	}
}

// TakeSuspects returns the newly suspected members that this instance is to probe
// immediately, and clears the list.
func (t *Table) TakeSuspects() []model.Member {
	suspects := t.newSuspects
	t.newSuspects = nil
	return suspects
}

// refute raises the incarnation of this instance if the reported state of it takes
// precedence over the actual one, for example if it was reported as dead.
func (t *Table) refute(m model.Member) {
	if m.Incarnation < t.self.Incarnation || m.Incarnation == t.self.Incarnation && m.Liveness <= t.self.Liveness {
		return
	}
	t.self.Incarnation = m.Incarnation + 1
	t.changed = true
	t.enqueue(t.self.ID)
}

// Suspected reports whether the member is suspected or dead. Messages to it then carry
// the suspicion, so that it can refute it.
func (t *Table) Suspected(id model.InstanceID) bool {
	p, ok := t.peers[id]
	return ok && (p.suspicionEndsAt != 0 || p.member.Liveness == model.Dead)
}

// enqueue queues the state of a member to be sent with the next messages.
func (t *Table) enqueue(id model.InstanceID) {
	for i := range t.queue {
		if t.queue[i].id == id {
			t.queue[i].sent = 0
			return
		}
	}
	if len(t.queue) >= maxQueuedUpdates {
		t.queue = slices.Delete(t.queue, 0, 1)
	}
	t.queue = append(t.queue, queuedUpdate{id: id})
}

// HasUrgentUpdates reports whether a queued update was sent less than half as often as
// transmitLimit, so that probably few instances have received it.
func (t *Table) HasUrgentUpdates() bool {
	return len(t.queue) > 0 && slices.ContainsFunc(t.queue, func(q queuedUpdate) bool { return q.sent < t.transmitLimit()/2 })
}

// transmitLimit is how many times an instance sends one update, about 2 log2 n for n
// members.
func (t *Table) transmitLimit() int { return 2*bits.Len(uint(t.Len())) + 2 }

// Updates returns the updates to send in a message to the given member: first the
// suspicion of that member, if any, then those of the updates that it needs to know that
// were sent least often.
func (t *Table) Updates(to model.InstanceID) []Update {
	if len(t.queue) == 0 && !t.Suspected(to) {
		return nil
	}
	var zone model.Zone
	if p, ok := t.peers[to]; ok {
		zone = p.member.Zone
	}
	relevance := t.relevanceFor(zone)
	var out []Update
	if t.Suspected(to) {
		out = append(out, t.updateOf(to))
	}
	slices.SortStableFunc(t.queue, func(a, b queuedUpdate) int { return a.sent - b.sent })
	for i := 0; i < len(t.queue) && len(out) < MaxUpdates; i++ {
		id := t.queue[i].id
		if m, ok := t.Get(id); ok && !relevance.includes(&m) {
			continue
		}
		t.queue[i].sent++
		if id != to {
			out = append(out, t.updateOf(id))
		}
	}
	limit := t.transmitLimit()
	t.queue = slices.DeleteFunc(t.queue, func(q queuedUpdate) bool { return q.sent >= limit })
	return out
}

// DeadOrLeaving returns updates about at most limit dead or leaving members, for an
// instance that joins and has missed the updates about them.
func (t *Table) DeadOrLeaving(limit int) []Update {
	var out []Update
	for id, p := range t.peers {
		if p.member.Liveness != model.Live {
			out = append(out, t.updateOf(id))
		}
	}
	slices.SortFunc(out, func(a, b Update) int { return strings.Compare(string(a.Member.ID), string(b.Member.ID)) })
	return out[:min(len(out), limit)]
}

// updateOf returns the state of a member to send in updates. A suspected member is
// reported as dead, and so is one that was removed from the table.
func (t *Table) updateOf(id model.InstanceID) Update {
	if id == t.self.ID {
		return Update{t.self}
	}
	p, ok := t.peers[id]
	if !ok {
		return Update{model.Member{ID: id, Liveness: model.Dead}}
	}
	m := p.member
	if p.suspicionEndsAt != 0 {
		m.Liveness = model.Dead
	}
	if m.Liveness == model.Dead {
		return Update{model.Member{ID: m.ID, Incarnation: m.Incarnation, Liveness: model.Dead}}
	}
	return Update{m}
}
