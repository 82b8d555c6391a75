package control

import (
	"errors"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/savorytiller/savorytiller/internal/core/member"
	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/port"
)

// maxJoinUpdates bounds what a new instance is told about members.
const maxJoinUpdates = 512

func (m *machine) age() int64 { return m.now.Sub(m.sourceSeen).Milliseconds() }

// statement is the content of a heartbeat to the given instance.
func (m *machine) statement(to model.InstanceID, zone model.Zone) *heartbeat {
	h := &heartbeat{Self: m.members.Self(), Version: m.version(), Age: m.age(), Updates: m.members.Updates(to)}
	if m.notes.config != nil {
		h.Digest = m.notes.config.Digest
	}
	if zone == m.o.Self.Zone {
		h.Records, h.Health = m.health.Records(m.recordLimit()), m.health.Hash()
	}
	h.Claims = m.heldClaims()
	return h
}

// recordLimit is how often one record about a server is sent by one instance.
func (m *machine) recordLimit() int { return 2*bitLength(m.pub.members.LiveCountIn(m.o.Self.Zone)) + 2 }

func bitLength(n int) int {
	bits := 0
	for ; n > 0; n >>= 1 {
		bits++
	}
	return bits
}

// beat sends a heartbeat; its failure counts as a failed probe. The done
// function is optional.
func (m *machine) beat(to model.Member, join bool, done func(ok bool)) {
	params := m.statement(to.ID, to.Zone)
	params.Join = join
	result := &heartbeat{}
	m.call(&effCall{to: to, method: methodHeartbeat, params: params, result: result, timeout: callTimeout,
		done: func(m *machine, err error) {
			if join && m.joining > 0 {
				if m.joining--; m.joining == 0 {
					m.joined = true
				}
			}
			if err == nil {
				m.heard(result)
			}
			if done != nil {
				done(err == nil)
			}
		}})
	last := m.effects[len(m.effects)-1].(*effCall)
	inner := last.done
	last.done = func(m *machine, err error) {
		inner(m, err)
		if err == nil {
			m.answered(last.pauses)
		}
		if err != nil && last.pauses == m.pauses && !errors.Is(err, errBusy) {
			m.probeFailed(to)
		}
	}
}

// probeFailed goes on after a failed probe: retry over a new connection, then
// ask helpers, then believe that the member is dead.
func (m *machine) probeFailed(to model.Member) {
	next, helpers := m.members.ProbeFailed(m.now, to.ID)
	switch next {
	case member.RetryProbe:
		m.beat(to, false, func(ok bool) {
			if ok {
				m.count.SilentReplaced++
			}
		})
	case member.ProbeIndirectly:
		m.ask(to, helpers)
	}
}

func (m *machine) ask(to model.Member, helpers []model.Member) {
	left, reached := len(helpers), false
	for _, h := range helpers {
		result := &probeAnswer{}
		call := &effCall{to: h, method: methodProbe, params: &probe{to}, result: result, timeout: askTimeout}
		call.done = func(m *machine, err error) {
			left--
			reached = reached || err == nil && result.Reached || call.pauses != m.pauses || errors.Is(err, errBusy)
			if left == 0 {
				m.members.IndirectProbesDone(m.now, to.ID, reached)
			}
		}
		m.call(call)
	}
}

// heard takes a heartbeat or its answer.
func (m *machine) heard(h *heartbeat) {
	m.contact = m.now
	m.members.RecordContact(m.now, h.Self)
	m.members.Merge(m.now, h.Updates)
	for _, suspect := range m.members.TakeSuspects() {
		m.beat(suspect, false, nil)
	}
	if h.Age >= 0 {
		m.sourceSeen = max(m.sourceSeen, m.now.Add(-time.Duration(h.Age)*time.Millisecond))
	}
	m.health.Merge(m.now, h.Records)
	m.servers.witness.RestoreLeases(m.now, h.Claims, h.Self.ID, h.Self.Incarnation)
	if h.Self.Zone == m.o.Self.Zone {
		m.compareHealth(h)
	}
	m.learned(h.Self, h.Version, h.Digest)
}

// gossip sends additional heartbeats while an update is urgent.
func (m *machine) gossip() {
	urgentRecord := m.health.Urgent(m.recordLimit())
	if !m.members.HasUrgentUpdates() && !urgentRecord {
		return
	}
	if m.now.Before(m.gossipAt) {
		m.wake(m.gossipAt)
		return
	}
	m.gossipAt = m.now.Add(gossipEvery)
	m.wake(m.gossipAt)
	to, ok := m.members.RandomLive(nil)
	if urgentRecord {
		if near, found := m.randomNear(); found {
			to, ok = near, true
		}
	}
	if ok {
		m.beat(to, false, nil)
	}
}

// randomNear returns a random live member of the own zone.
func (m *machine) randomNear() (model.Member, bool) {
	near := m.pub.members.Rank(nil, m.o.Self.Zone, m.rng.Uint64(), 2, true)
	for _, n := range near {
		if n.ID != m.o.Self.ID {
			return *n, true
		}
	}
	return model.Member{}, false
}

// request answers a call of another instance.
func (m *machine) request(e evRequest) {
	switch p := e.params.(type) {
	case *heartbeat:
		if p.Self.ID != e.from {
			e.answer <- reply{nil, merry.Wrap(port.ErrForged, merry.AppendMessage("heartbeat of another instance"))}
			return
		}
		m.heard(p)
		answer := m.statement(e.from, p.Self.Zone)
		if p.Join {
			answer.Updates = append(answer.Updates, m.members.NotLive(maxJoinUpdates)...)
		}
		e.answer <- reply{answer, nil}
	case *probe:
		m.answerProbe(p, e)
	case *offer:
		e.answer <- reply{m.offered(e.from, p), nil}
	case *fetch:
		answer, err := m.provide(p)
		e.answer <- reply{answer, err}
	case *healthFetch:
		e.answer <- reply{&healthAnswer{m.health.All()}, nil}
	case *claimRequest:
		e.answer <- reply{m.grant(e.from, p), nil}
	default:
		e.answer <- reply{nil, merry.Errorf("unexpected message %T", e.params)}
	}
}

func (m *machine) answerProbe(p *probe, e evRequest) {
	params, result := m.statement(p.Member.ID, p.Member.Zone), &heartbeat{}
	m.call(&effCall{to: p.Member, method: methodHeartbeat, params: params, result: result, timeout: callTimeout,
		done: func(m *machine, err error) {
			if err == nil {
				m.heard(result)
			}
			e.answer <- reply{&probeAnswer{err == nil}, nil}
		}})
}
