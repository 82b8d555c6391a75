package member

import (
	"math/bits"
	"slices"
	"strings"

	"github.com/savorytiller/savorytiller/internal/core/model"
)

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
