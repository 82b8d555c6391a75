package member

import (
	"math/bits"
	"slices"

	"github.com/savorytiller/savorytiller/internal/core/model"
)

// Tick advances time by one second: it believes old suspicions, forgets dead
// members and returns the members to probe in this second.
func (t *Table) Tick(now model.Time) []model.Member {
	t.extra = ExtraPerSecond
	var check []model.InstanceID
	for id, p := range t.peers {
		switch {
		case p.member.Liveness == model.Dead:
			if !p.listed && now.Sub(p.changed) > t.keep {
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

// OtherZones reports whether instances of other zones are known, dead ones included.
func (t *Table) OtherZones() bool { return len(t.others) > 0 }

// RandomOther returns a random member of another zone, dead ones included, so that
// the end of a partition is noticed.
func (t *Table) RandomOther() (model.Member, bool) {
	if len(t.others) == 0 {
		return model.Member{}, false
	}
	return t.peers[t.others[t.rng.IntN(len(t.others))]].member, true
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
