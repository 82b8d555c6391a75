package member

import (
	"math/bits"
	"slices"

	"github.com/savorytiller/savorytiller/internal/core/model"
)

// Tick must be called once per second. It marks members as dead whose suspicion timed out,
// removes dead members after their retention time, and returns the members to probe in
// this second.
func (t *Table) Tick(now model.Time) []model.Member {
	t.extraProbesLeft = ExtraProbes
	t.maintainContacts()
	var toCheck []model.InstanceID
	for id, p := range t.peers {
		switch {
		case p.member.Liveness == model.Dead:
			if !p.listed && now.Sub(p.changedAt) > t.deadRetention {
				t.removePeer(id)
			}
		case p.suspicionEndsAt != 0 && !now.Before(p.suspicionEndsAt):
			t.markDead(now, p)
		case p.suspicionEndsAt != 0, !p.listed && now.Sub(max(p.extraProbeAt, p.lastContact, p.changedAt)) > unlistedProbeInterval:
			toCheck = append(toCheck, id)
		}
	}
	targets := t.appendCyclic(nil, t.ownZone, &t.nextInOwnZone, ZoneProbes)
	targets = t.appendCyclic(targets, t.otherZones, &t.nextInOtherZones, OtherZoneProbes)
	if m, ok := t.RandomNotDead(nil); ok {
		targets = appendMissing(targets, m)
	}
	slices.Sort(toCheck)
	for _, id := range toCheck {
		if t.extraProbesLeft == 0 {
			break
		}
		t.extraProbesLeft--
		t.peers[id].extraProbeAt = now
		targets = appendMissing(targets, t.peers[id].member)
	}
	return targets
}

func appendMissing(list []model.Member, m model.Member) []model.Member {
	if slices.ContainsFunc(list, func(o model.Member) bool { return o.ID == m.ID }) {
		return list
	}
	return append(list, m)
}

// appendCyclic appends the next count members in round-robin order by ID. Each instance
// starts after its own ID, so that a member is probed by few others at a time. Dead
// members are included, so that the end of a partition is noticed. at is the position
// of the next member plus 1, or 0 before the first call.
func (t *Table) appendCyclic(dst []model.Member, order []model.InstanceID, at *int, count int) []model.Member {
	if len(order) == 0 {
		return dst
	}
	if *at == 0 {
		start, _ := slices.BinarySearch(order, t.self.ID)
		*at = start + 1
	}
	for range min(count, len(order)) {
		dst = appendMissing(dst, t.peers[order[(*at-1)%len(order)]].member)
		*at = (*at-1)%len(order) + 2
	}
	return dst
}

// RandomNotDead returns a random live or leaving member of any zone, other than the
// excluded one; nil excludes none. The second result is false if it found none.
func (t *Table) RandomNotDead(exclude *model.InstanceID) (model.Member, bool) {
	n := len(t.ownZone) + len(t.otherZones)
	if n == 0 {
		return model.Member{}, false
	}
	for range 8 { // few members are dead; finding none only delays an update
		i := t.rng.IntN(n)
		var id model.InstanceID
		if i < len(t.ownZone) {
			id = t.ownZone[i]
		} else {
			id = t.otherZones[i-len(t.ownZone)]
		}
		p := t.peers[id]
		if p.member.Liveness != model.Dead && (exclude == nil || *exclude != id) {
			return p.member, true
		}
	}
	return model.Member{}, false
}

// HasOtherZones reports whether members of other zones are known, including dead ones.
func (t *Table) HasOtherZones() bool { return len(t.otherZones) > 0 }

// RandomInOtherZone returns a random member of another zone. It may be dead, so that the
// end of a partition is noticed.
func (t *Table) RandomInOtherZone() (model.Member, bool) {
	if len(t.otherZones) == 0 {
		return model.Member{}, false
	}
	return t.peers[t.otherZones[t.rng.IntN(len(t.otherZones))]].member, true
}

// ProbeAction is what to do after a failed probe.
type ProbeAction uint8

const (
	// NoAction means that nothing is to be done.
	NoAction ProbeAction = iota
	// RetryProbe means to probe again immediately, over a new connection.
	RetryProbe
	// ProbeIndirectly means to ask the returned members to probe the member.
	ProbeIndirectly
)

// ProbeFailed records that a direct probe failed. It returns what to do next, and the
// members to ask if that is ProbeIndirectly. If there are none to ask, the member is
// marked as dead.
func (t *Table) ProbeFailed(now model.Time, id model.InstanceID) (ProbeAction, []model.Member) {
	p, ok := t.peers[id]
	if !ok || p.member.Liveness == model.Dead {
		return NoAction, nil
	}
	p.failedProbes++
	if p.failedProbes < DirectAttempts {
		return RetryProbe, nil
	}
	if p.failedProbes > DirectAttempts {
		return NoAction, nil // indirect probes have been sent already
	}
	t.recordZoneResult(p, false)
	helpers := t.indirectProbers(p)
	if len(helpers) == 0 {
		t.markDead(now, p)
		return NoAction, nil
	}
	return ProbeIndirectly, helpers
}

// indirectProbers returns up to IndirectProbers members that probably can reach p,
// preferably from the zone of p.
func (t *Table) indirectProbers(p *peer) []model.Member {
	var sameZone, otherZone []model.Member
	for _, list := range [][]model.InstanceID{t.ownZone, t.otherZones} {
		if len(list) == 0 {
			continue
		}
		offset := t.rng.IntN(len(list))
		for i := range list {
			o := t.peers[list[(offset+i)%len(list)]]
			if o == p || o.member.Liveness == model.Dead || o.failedProbes > 0 || o.suspicionEndsAt != 0 {
				continue
			}
			if o.member.Zone == p.member.Zone {
				sameZone = append(sameZone, o.member)
			} else if len(otherZone) < IndirectProbers {
				otherZone = append(otherZone, o.member)
			}
			if len(sameZone) >= IndirectProbers {
				break
			}
		}
	}
	all := append(sameZone[:min(len(sameZone), IndirectProbers)], otherZone...)
	return all[:min(len(all), IndirectProbers)]
}

// IndirectProbesDone records whether any indirect probe reached the member. If none did,
// the member is marked as dead.
func (t *Table) IndirectProbesDone(now model.Time, id model.InstanceID, reached bool) {
	p, ok := t.peers[id]
	if !ok || p.failedProbes == 0 {
		return // a message of the member arrived in the meantime
	}
	if reached {
		p.failedProbes = 0
		return
	}
	t.markDead(now, p)
}

// markDead marks a member as dead. It also queues an update about it, unless this instance
// is probably isolated itself.
func (t *Table) markDead(now model.Time, p *peer) {
	p.suspicionEndsAt, p.failedProbes = 0, 0
	t.setLiveness(now, p, model.Dead)
	if !t.ProbablyIsolated() {
		t.enqueue(p.member.ID)
	}
}

// recordZoneResult records for ProbablyIsolated whether p responded, if it is in the own
// zone.
func (t *Table) recordZoneResult(p *peer, ok bool) {
	if p.member.Zone != t.self.Zone {
		return
	}
	t.zoneResults <<= 1
	if ok {
		t.zoneResults |= 1
	}
	t.zoneResultCount = min(t.zoneResultCount+1, isolationWindow)
}

// ProbablyIsolated reports whether most of the recent results within the zone are failed
// probes rather than messages. It is always false in small zones, where a few dead
// members would be the majority.
func (t *Table) ProbablyIsolated() bool {
	return len(t.ownZone) >= 4 && t.zoneResultCount == isolationWindow && bits.OnesCount8(t.zoneResults) < isolationWindow/2
}
