package flow

import (
	"time"

	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/core/view"
)

// Learn handles a hint or the answer to a lookup. It returns ReasonHint or
// ReasonPeerRecord if the message was used, else why it was not.
func (s *Shard) Learn(v *view.View, now model.Time, m *Message) model.Reason {
	if reason := s.check(v, now); reason != model.ReasonNone {
		return reason
	}
	if !s.accept(m.Sender, m.Sequence) {
		return model.ReasonReplayed
	}
	if v.ByNumber[view.ServerRef{Service: m.Service, Number: m.Server}] == nil {
		return model.ReasonServerRemoved
	}
	r := s.records.find(m.Fingerprint)
	if m.Kind == KindHint {
		return s.learnHint(r, now, m)
	}
	if r != nil && r.role() == roleOwn && r.service() == m.Service {
		if r.server == m.Server && m.Attempt < firstPlace {
			r.word |= flagEstablish
		}
		return model.ReasonKnownFlow
	}
	if r = s.put(m.Fingerprint, m.Service, m.Server, roleOwn, now); r == nil {
		return model.ReasonTableFull
	}
	if m.Attempt < firstPlace {
		r.word |= flagEstablish | flagProgress
	}
	s.classify(r, now)
	if m.Attempt >= firstPlace && r.has(flagException) {
		r.word |= flagSent // the instance that placed the flow has a copy
	}
	return model.ReasonPeerRecord
}

// Confirm handles the word of an owner that a flow which this instance placed is
// established or closed: the home of a cold server raises its allowance by the
// first, and the second frees a connection.
func (s *Shard) Confirm(v *view.View, now model.Time, m *Message) (model.Reason, Observation) {
	if reason := s.check(v, now); reason != model.ReasonNone {
		return reason, Observation{}
	}
	if !s.accept(m.Sender, m.Sequence) {
		return model.ReasonReplayed, Observation{}
	}
	r := s.records.find(m.Fingerprint)
	// A counted copy may have become a hint meanwhile.
	if r == nil || r.role() == roleOwn || !r.counted() || r.service() != m.Service || r.server != m.Server {
		return model.ReasonPeerRecord, Observation{}
	}
	if m.Kind == KindClosed {
		s.drop(r)
		return model.ReasonKnownFlow, Observation{}
	}
	if r.has(flagEstablish) {
		return model.ReasonPeerRecord, Observation{}
	}
	server := s.server(r)
	if server == nil {
		return model.ReasonServerRemoved, Observation{}
	}
	r.word |= flagEstablish
	return model.ReasonKnownFlow, Observation{Kind: ObservedEstablished, Server: server.ID}
}

// learnHint stores a hint, unless this instance owns the flow itself.
func (s *Shard) learnHint(r *record, now model.Time, m *Message) model.Reason {
	if r != nil && r.role() == roleOwn && r.service() == m.Service {
		return model.ReasonKnownFlow
	}
	if r != nil && r.role() == roleCopy && r.server == m.Server {
		// The copy stays for lookups once the hint has expired.
		r.setRole(roleHint)
	} else if r = s.put(m.Fingerprint, m.Service, m.Server, roleHint, now); r == nil {
		return model.ReasonTableFull
	}
	r.extra = (tickOf(now) + ticks(min(m.Validity, HintValidity))) & tickMask
	return model.ReasonHint
}

// LearnRecords stores records that other instances handed over. It returns how
// many were used.
func (s *Shard) LearnRecords(v *view.View, now model.Time, records []Record) int {
	if s.check(v, now) != model.ReasonNone {
		return 0
	}
	used := 0
	for i := range records {
		if s.learnRecord(now, &records[i]) {
			used++
		}
	}
	return used
}

func (s *Shard) learnRecord(now model.Time, x *Record) bool {
	r := s.records.find(x.Fingerprint)
	if x.Void {
		if r == nil || r.role() != roleCopy || r.service() != x.Service || r.server != x.Server {
			return false
		}
		s.drop(r)
		return true
	}
	server := s.view.ByNumber[view.ServerRef{Service: x.Service, Number: x.Server}]
	if r != nil && r.role() == roleOwn && r.service() == x.Service {
		if r.server == x.Server { // another instance saw the end of the handshake
			r.word |= flagEstablish
			r.touch(tickOf(now))
		}
		return r.server == x.Server
	}
	if r != nil && r.role() == roleCopy && r.service() == x.Service && r.server == x.Server {
		r.touch(tickOf(now)) // refreshed by its owner
		return true
	}
	as, counted := s.roleOf(x, server, now)
	if r = s.put(x.Fingerprint, x.Service, x.Server, as, now); r == nil {
		return false
	}
	r.extra = uint32(bornOf(now.Add(-time.Duration(x.Age)*AgeUnit))) << 16
	r.word |= flagEstablish
	if as == roleOwn {
		r.word |= flagProgress
		s.classify(r, now)
		return true
	}
	r.word |= flagException | flagSent // its owner has it
	if counted {
		r.word |= flagCounted
		s.connections[r.ref()]++
	}
	return true
}

// roleOf returns what a record is that another instance sent. A copy uses a
// connection of its server if the server is in this zone and the flow's owner
// is not: then nobody else counts it.
func (s *Shard) roleOf(x *Record, server *view.Server, now model.Time) (as role, counted bool) {
	e := s.byID[x.Service]
	if e == nil || server == nil {
		// The view of the sender is newer; this one follows within NoteDelay.
		return roleCopy, false
	}
	route := s.route(e, now)
	owner, _ := route.owner(x.Fingerprint)
	if owner == nil || owner.ID == s.view.Self.ID {
		return roleOwn, false
	}
	atHome := server.FlowsHomeOnly && route.home(server) == nil
	return roleCopy, server.Zone == s.view.Self.Zone && (owner.Zone != s.view.Self.Zone || atHome)
}

// classify marks an own flow as an exception if it is one.
func (s *Shard) classify(r *record, now model.Time) {
	r.word &^= flagException | flagSent
	e, server := s.byID[r.service()], s.server(r)
	if e != nil && server != nil && s.route(e, now).exception(r.fingerprint, server) {
		r.word |= flagException
	}
}
