package flow

import (
	"time"

	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/core/view"
)

// LearnServer stores the server of a flow from a hint or from the answer to a
// lookup or placement. It returns ReasonHint or ReasonPeerRecord if the message
// was used, else why it was not.
func (s *Shard) LearnServer(v *view.View, now model.Time, m *Message) model.Reason {
	if reason := s.checkView(v, now); reason != model.ReasonNone {
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
		return s.storeHint(r, now, m)
	}
	if r != nil && r.role() == roleOwned && r.service() == m.Service {
		if r.server == m.Server && m.Attempt < firstPlacementAttempt {
			r.word |= flagEstablished
		}
		return model.ReasonKnownFlow
	}
	if r = s.put(m.Fingerprint, m.Service, m.Server, roleOwned, now); r == nil {
		return model.ReasonTableFull
	}
	if m.Attempt < firstPlacementAttempt {
		r.word |= flagEstablished | flagProgress
	}
	s.markException(r, now)
	if m.Attempt >= firstPlacementAttempt && r.has(flagException) {
		r.word |= flagSent // the instance that placed the flow already has a copy
	}
	return model.ReasonPeerRecord
}

// HandleFlowState handles an owner's notification that a flow which this instance
// placed was established or closed. The home of a cold server raises the server's
// connection limit after established flows; a closed flow frees a connection. It
// returns ReasonKnownFlow if the record changed, ReasonPeerRecord if there was
// nothing to change, else why the message was not used.
func (s *Shard) HandleFlowState(v *view.View, now model.Time, m *Message) (model.Reason, Observation) {
	if reason := s.checkView(v, now); reason != model.ReasonNone {
		return reason, Observation{}
	}
	if !s.accept(m.Sender, m.Sequence) {
		return model.ReasonReplayed, Observation{}
	}
	r := s.records.find(m.Fingerprint)
	// A counted copy may have become a hint since.
	if r == nil || r.role() == roleOwned || !r.counted() || r.service() != m.Service || r.server != m.Server {
		return model.ReasonPeerRecord, Observation{}
	}
	if m.Kind == KindClosed {
		s.removeRecord(r)
		return model.ReasonKnownFlow, Observation{}
	}
	if r.has(flagEstablished) {
		return model.ReasonPeerRecord, Observation{}
	}
	server := s.serverOf(r)
	if server == nil {
		return model.ReasonServerRemoved, Observation{}
	}
	r.word |= flagEstablished
	return model.ReasonKnownFlow, Observation{Kind: ObservedEstablished, Server: server.ID}
}

// storeHint stores a hint, unless this instance owns the flow.
func (s *Shard) storeHint(r *record, now model.Time, m *Message) model.Reason {
	if r != nil && r.role() == roleOwned && r.service() == m.Service {
		return model.ReasonKnownFlow
	}
	if r != nil && r.role() == roleCopy && r.server == m.Server {
		// The record becomes a copy again when the hint expires.
		r.setRole(roleHint)
	} else if r = s.put(m.Fingerprint, m.Service, m.Server, roleHint, now); r == nil {
		return model.ReasonTableFull
	}
	r.extra = (tickOf(now) + ticks(min(m.Validity, HintValidity))) & tickMask
	return model.ReasonHint
}

// StoreRecords stores records that other instances sent. It returns how many were
// used.
func (s *Shard) StoreRecords(v *view.View, now model.Time, records []Record) int {
	if s.checkView(v, now) != model.ReasonNone {
		return 0
	}
	stored := 0
	for i := range records {
		if s.storeRecord(now, &records[i]) {
			stored++
		}
	}
	return stored
}

func (s *Shard) storeRecord(now model.Time, received *Record) bool {
	r := s.records.find(received.Fingerprint)
	if received.Deleted {
		if r == nil || r.role() != roleCopy || r.service() != received.Service || r.server != received.Server {
			return false
		}
		s.removeRecord(r)
		return true
	}
	server := s.view.ByNumber[view.ServerRef{Service: received.Service, Number: received.Server}]
	if r != nil && r.role() == roleOwned && r.service() == received.Service {
		if r.server == received.Server { // established at another instance
			r.word |= flagEstablished
			r.touch(tickOf(now))
		}
		return r.server == received.Server
	}
	if r != nil && r.role() == roleCopy && r.service() == received.Service && r.server == received.Server {
		r.touch(tickOf(now)) // the owner refreshed it
		return true
	}
	newRole, counted := s.receivedRole(received, server, now)
	if r = s.put(received.Fingerprint, received.Service, received.Server, newRole, now); r == nil {
		return false
	}
	r.extra = uint32(birthOf(now.Add(-time.Duration(received.Age)*AgeUnit))) << 16
	r.word |= flagEstablished
	if newRole == roleOwned {
		r.word |= flagProgress
		s.markException(r, now)
		return true
	}
	r.word |= flagException | flagSent // the owner has it already
	if counted {
		r.word |= flagCounted
		s.connections[r.serverRef()]++
	}
	return true
}

// receivedRole returns the role of a record that another instance sent. A copy
// counts as a connection of its server if the server is in this zone and the
// flow's owner does not count it, because the owner is in another zone or this
// instance is the home of the cold server.
func (s *Shard) receivedRole(received *Record, server *view.Server, now model.Time) (newRole role, counted bool) {
	svc := s.byID[received.Service]
	if svc == nil || server == nil {
		// The sender has a newer view, which this instance normally gets within
		// UnknownServerTimeout.
		return roleCopy, false
	}
	resolver := s.resolver(svc, now)
	owner, _ := resolver.owner(received.Fingerprint)
	if owner == nil || owner.ID == s.view.Self.ID {
		return roleOwned, false
	}
	atHome := server.FlowsHomeOnly && resolver.otherHome(server) == nil
	return roleCopy, server.Zone == s.view.Self.Zone && (owner.Zone != s.view.Self.Zone || atHome)
}

// markException recomputes whether an own flow is an exception. The record then
// counts as not sent.
func (s *Shard) markException(r *record, now model.Time) {
	r.word &^= flagException | flagSent
	svc, server := s.byID[r.service()], s.serverOf(r)
	if svc != nil && server != nil && s.resolver(svc, now).isException(r.fingerprint, server) {
		r.word |= flagException
	}
}
