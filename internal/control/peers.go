package control

import (
	"errors"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/savorytiller/savorytiller/internal/core/member"
	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/port"
)

// maxJoinUpdates is the maximum number of member updates in the answer to a join
// heartbeat.
const maxJoinUpdates = 512

func (m *machine) sourceAgeMillis() int64 { return m.now.Sub(m.lastSourceRead).Milliseconds() }

// newHeartbeat returns a heartbeat, or an answer to one, for the given instance.
func (m *machine) newHeartbeat(to model.InstanceID, zone model.Zone) *heartbeat {
	h := &heartbeat{Self: m.members.Self(), Version: m.version(), Age: m.sourceAgeMillis(), Updates: m.members.Updates(to)}
	if m.notes.config != nil {
		h.Digest = m.notes.config.Digest
	}
	if zone == m.options.Self.Zone {
		h.Records, h.Health = m.health.Records(m.recordSendLimit()), m.health.Hash()
	}
	h.Claims = m.heldLeases()
	return h
}

// recordSendLimit returns how many times this instance sends a health record. The
// number grows with the logarithm of the zone's size, as the rounds of gossip do that
// a record needs to reach all instances of the zone.
func (m *machine) recordSendLimit() int {
	return 2*bitLength(m.publisher.members.LiveCountIn(m.options.Self.Zone)) + 2
}

func bitLength(n int) int {
	bits := 0
	for ; n > 0; n >>= 1 {
		bits++
	}
	return bits
}

// sendHeartbeat sends a heartbeat. A failure counts as a failed probe. The done
// function is optional.
func (m *machine) sendHeartbeat(to model.Member, join bool, done func(ok bool)) {
	params := m.newHeartbeat(to.ID, to.Zone)
	params.Join = join
	result := &heartbeat{}
	m.call(&effCall{to: to, method: methodHeartbeat, params: params, result: result, timeout: callTimeout,
		done: func(m *machine, err error) {
			if join && m.pendingJoins > 0 {
				if m.pendingJoins--; m.pendingJoins == 0 {
					m.joined = true
				}
			}
			if err == nil {
				m.handleHeartbeat(result)
			}
			if done != nil {
				done(err == nil)
			}
		}})
	queued := m.effects[len(m.effects)-1].(*effCall)
	handleResult := queued.done
	queued.done = func(m *machine, err error) {
		handleResult(m, err)
		if err == nil {
			m.recordAnswer(queued.pauses)
		}
		if err != nil && queued.pauses == m.pauses && !errors.Is(err, errBusy) {
			m.probeFailed(to)
		}
	}
}

// probeFailed takes the next step after a failed probe: a retry over a new
// connection, then indirect probes. If these fail too, the member is marked as dead.
func (m *machine) probeFailed(to model.Member) {
	next, probers := m.members.ProbeFailed(m.now, to.ID)
	switch next {
	case member.RetryProbe:
		m.sendHeartbeat(to, false, func(ok bool) {
			if ok {
				m.count.ReconnectedProbes++
			}
		})
	case member.ProbeIndirectly:
		m.probeIndirectly(to, probers)
	}
}

// probeIndirectly asks the probers to probe a member. A call that was not sent or that
// a pause of this process interrupted counts as a success, because it is no evidence
// that the member is dead.
func (m *machine) probeIndirectly(to model.Member, probers []model.Member) {
	pending, reached := len(probers), false
	for _, prober := range probers {
		result := &probeAnswer{}
		call := &effCall{to: prober, method: methodProbe, params: &probeRequest{to}, result: result, timeout: indirectProbeTimeout}
		call.done = func(m *machine, err error) {
			pending--
			reached = reached || err == nil && result.Reached || call.pauses != m.pauses || errors.Is(err, errBusy)
			if pending == 0 {
				m.members.IndirectProbesDone(m.now, to.ID, reached)
			}
		}
		m.call(call)
	}
}

// handleHeartbeat processes a heartbeat or the answer to one.
func (m *machine) handleHeartbeat(h *heartbeat) {
	m.lastContact = m.now
	m.members.RecordContact(m.now, h.Self)
	m.members.Merge(m.now, h.Updates)
	for _, suspect := range m.members.TakeSuspects() {
		m.sendHeartbeat(suspect, false, nil)
	}
	if h.Age >= 0 {
		m.lastSourceRead = max(m.lastSourceRead, m.now.Add(-time.Duration(h.Age)*time.Millisecond))
	}
	m.health.Merge(m.now, h.Records)
	m.servers.witness.RestoreLeases(m.now, h.Claims, h.Self.ID, h.Self.Incarnation)
	if h.Self.Zone == m.options.Self.Zone {
		m.syncHealth(h)
	}
	m.recordPeerVersion(h.Self, h.Version, h.Digest)
}

// sendGossip sends an additional heartbeat every gossipInterval while an update is
// urgent.
func (m *machine) sendGossip() {
	urgentRecord := m.health.HasUrgentRecords(m.recordSendLimit())
	if !m.members.HasUrgentUpdates() && !urgentRecord {
		return
	}
	if m.now.Before(m.gossipAt) {
		m.wakeBy(m.gossipAt)
		return
	}
	m.gossipAt = m.now.Add(gossipInterval)
	m.wakeBy(m.gossipAt)
	to, ok := m.members.RandomNotDead(nil)
	if urgentRecord {
		if sameZone, found := m.randomInZone(); found {
			to, ok = sameZone, true
		}
	}
	if ok {
		m.sendHeartbeat(to, false, nil)
	}
}

// randomInZone returns a random live member of this instance's zone.
func (m *machine) randomInZone() (model.Member, bool) {
	ranked := m.publisher.members.Rank(nil, m.options.Self.Zone, m.rng.Uint64(), 2, true)
	for _, candidate := range ranked {
		if candidate.ID != m.options.Self.ID {
			return *candidate, true
		}
	}
	return model.Member{}, false
}

// handleRequest answers a call from another instance.
func (m *machine) handleRequest(e evRequest) {
	switch p := e.params.(type) {
	case *heartbeat:
		if p.Self.ID != e.from {
			e.answer <- reply{nil, merry.Wrap(port.ErrForged, merry.AppendMessage("heartbeat of another instance"))}
			return
		}
		m.handleHeartbeat(p)
		answer := m.newHeartbeat(e.from, p.Self.Zone)
		if p.Join {
			answer.Updates = append(answer.Updates, m.members.DeadOrLeaving(maxJoinUpdates)...)
		}
		e.answer <- reply{answer, nil}
	case *probeRequest:
		m.handleProbe(p, e)
	case *offer:
		e.answer <- reply{m.handleOffer(e.from, p), nil}
	case *fetch:
		answer, err := m.provideNotes(p)
		e.answer <- reply{answer, err}
	case *healthFetch:
		e.answer <- reply{&healthAnswer{m.health.All()}, nil}
	case *leaseRequest:
		e.answer <- reply{m.grantLeases(e.from, p), nil}
	default:
		e.answer <- reply{nil, merry.Errorf("unexpected message %T", e.params)}
	}
}

func (m *machine) handleProbe(p *probeRequest, e evRequest) {
	params, result := m.newHeartbeat(p.Member.ID, p.Member.Zone), &heartbeat{}
	m.call(&effCall{to: p.Member, method: methodHeartbeat, params: params, result: result, timeout: callTimeout,
		done: func(m *machine, err error) {
			if err == nil {
				m.handleHeartbeat(result)
			}
			e.answer <- reply{&probeAnswer{err == nil}, nil}
		}})
}
