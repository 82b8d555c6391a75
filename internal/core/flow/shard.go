package flow

import (
	"net/netip"
	"slices"
	"time"

	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/core/placement"
	"github.com/savorytiller/savorytiller/internal/core/table"
	"github.com/savorytiller/savorytiller/internal/core/view"
)

const (
	// MaxHops bounds the instances that forward a packet to an owner. Two
	// instances with different views may disagree about the owner and would
	// forward the packet to each other without end.
	MaxHops = 3
	// HintValidity is how long a hint may be used. It is shorter than
	// SilentAfter, because the owner sees packets of the flow only after the hint
	// has expired, and shorter than ClosingTimeout, so that no hint outlives the
	// flow's record at the owner.
	HintValidity = 30 * time.Second
	// ClosingTimeout is how long a flow is kept after a FIN or RST from the
	// caller.
	ClosingTimeout = 60 * time.Second
	// HandshakeTimeout is how long a flow is kept that is not established.
	HandshakeTimeout = 30 * time.Second
	// HandshakeGrace is how long a retransmitted SYN still goes to the flow's
	// server after the server stopped accepting new flows.
	HandshakeGrace = 3 * time.Second
	// CopyTimeout is how long a copy is kept that its owner does not refresh.
	CopyTimeout = 3 * RefreshInterval
	// RefreshInterval is how often all exceptions are sent again.
	RefreshInterval = 4 * time.Minute
	// UnknownServerTimeout is how long a copy is kept whose server this instance
	// does not know. The server may be in a release note that has reached only
	// the sender so far.
	UnknownServerTimeout = 10 * time.Second
	// relaysPerHint is the number of relayed packets of a flow after which the
	// owner sends a hint.
	relaysPerHint = 3
	// firstPlacementAttempt is the lowest Message.Attempt of a placement: it asks
	// the home of the server that the table selects. Higher ones ask other zones.
	firstPlacementAttempt = 16
	// lookupsPerSecond bounds the lookups of a shard, so that packets of unknown
	// flows do not cause many more packets.
	lookupsPerSecond = 1000
	// hintBytes is the size of a hint with its UDP and IP headers.
	hintBytes = 104
)

// Settings are the limits of one shard.
type Settings struct {
	// Index (from 0) and Shards determine the shard's part of each server's
	// connections.
	Index, Shards int
	// MaxFlows bounds the records of the shard. Hints and copies may use half of
	// them.
	MaxFlows int
	// HintBudget, ExceptionBudget and LeavingBudget limit the hints and
	// exceptions sent, in bytes per second. LeavingBudget replaces
	// ExceptionBudget while the instance or its zone goes out of service.
	HintBudget, ExceptionBudget, LeavingBudget int
	// SilentAfter is the time without packets after which an established flow is
	// reported as silent.
	SilentAfter time.Duration
}

// DefaultSettings returns the settings of each shard of an instance that has the
// given number of shards and holds maxFlows records in total.
// The budgets of an instance are divided among its shards, but each shard can send
// at least one message per second.
func DefaultSettings(shards, maxFlows int) Settings {
	return Settings{
		Shards: shards, MaxFlows: max(1, maxFlows/shards),
		HintBudget:      max(hintBytes, 2048/shards),
		ExceptionBudget: max(batchBytes+recordBytes, 2048/shards),
		LeavingBudget:   max(batchBytes+recordBytes, 16384/shards),
		SilentAfter:     60 * time.Second,
	}
}

// Shard holds and decides about the flows whose fingerprint selects it. It is
// used by one goroutine at a time and has no locks.
type Shard struct {
	settings Settings
	records  *flowTable
	// connections counts this shard's flows on each server.
	connections map[view.ServerRef]int
	// exempt holds, for each cold server whose home is this instance, the flows
	// that it had when this instance began to open flows on it.
	exempt map[view.ServerRef]int
	// notOwned counts hints and copies.
	notOwned      int
	replayWindows map[netip.AddrPort]*replayWindow

	view          *view.View
	membersDigest uint64
	// changedAt is when owners or table choices last changed.
	changedAt model.Time
	past      []pastMembers       // newest first
	byAddress map[uint64]*service // by addressKey of the virtual address
	byID      map[model.ServiceID]*service

	hintBudget, exceptionBudget, lookupBudget tokenBucket
	sweep                                     sweep
	candidates                                []*model.Member // reused by lookups
}

// service is the state of a shard for a service of the configuration.
type service struct {
	config  *model.Service
	id      model.ServiceID
	history *table.History
}

// NewShard returns an empty shard.
func NewShard(s Settings) *Shard {
	return &Shard{
		settings: s, records: newFlowTable(), connections: map[view.ServerRef]int{}, exempt: map[view.ServerRef]int{},
		replayWindows: map[netip.AddrPort]*replayWindow{}, byID: map[model.ServiceID]*service{},
	}
}

// Len returns the number of records: own flows, hints and copies.
func (s *Shard) Len() int { return s.records.len }

// Bytes returns the memory of the records in bytes.
func (s *Shard) Bytes() int { return s.records.bytes() }

// Pending returns the number of exceptions and deletions that wait to be sent.
func (s *Shard) Pending() int {
	return len(s.sweep.found) + len(s.sweep.pending) + len(s.sweep.deletions)
}

// applyView makes a view the current one of the shard.
func (s *Shard) applyView(v *view.View, now model.Time) {
	old := s.view
	s.view = v
	if old == nil || old.Config != v.Config {
		s.byAddress = make(map[uint64]*service, len(v.Config.Services))
		byID := make(map[model.ServiceID]*service, len(v.Config.Services))
		for i := range v.Config.Services {
			c := &v.Config.Services[i]
			svc := &service{config: c, id: c.ID, history: v.Tables[c.ID]}
			if svc.history == nil {
				svc.history = &table.History{}
			}
			s.byAddress[addressKey(c.VirtualAddress)], byID[c.ID] = svc, svc
			if before := s.byID[c.ID]; before == nil || before.history != svc.history {
				s.placementChanged(now)
			}
		}
		s.byID = byID
	}
	if old == nil || old.Members != v.Members {
		if digest := v.Members.Digest(); digest != s.membersDigest {
			if old != nil {
				s.rememberMembers(old.Members, now)
			}
			s.membersDigest = digest
			s.placementChanged(now)
		}
	}
}

// placementChanged records that flows may have other owners or table choices than
// before, and starts a check of all records.
func (s *Shard) placementChanged(now model.Time) {
	s.changedAt = now
	s.sweep.restartWithCheck()
}

// rememberMembers keeps a former set of instances for lookups.
func (s *Shard) rememberMembers(m *placement.Members, now model.Time) {
	s.past = slices.Insert(s.past, 0, pastMembers{m, now})
	for n := len(s.past); n > maxPastMembers || now.Sub(s.past[n-1].replacedAt) > table.GenerationRetention; n-- {
		s.past = s.past[:n-1]
	}
}

// changedRecently reports whether flows may have had other owners within
// table.GenerationRetention.
func (s *Shard) changedRecently(now model.Time) bool {
	return now.Sub(s.changedAt) < table.GenerationRetention
}

// addressKey packs an IPv4 address and port into an integer. It is 0 for other
// addresses.
func addressKey(a netip.AddrPort) uint64 {
	if !a.Addr().Is4() {
		return 0
	}
	b := a.Addr().As4()
	return uint64(b[0])<<40 | uint64(b[1])<<32 | uint64(b[2])<<24 | uint64(b[3])<<16 | uint64(a.Port())
}

// checkView makes a view the current one if it is usable, and returns ReasonNone;
// otherwise it returns why no decision may be based on the view.
func (s *Shard) checkView(v *view.View, now model.Time) model.Reason {
	if !v.Fresh(now) {
		return model.ReasonStaleView
	}
	if !v.Ready() {
		return model.ReasonNoConfiguration
	}
	if v != s.view {
		s.applyView(v, now)
	}
	return model.ReasonNone
}

// HandlePacket decides about a message that carries a packet and writes the
// result to d. It does not allocate memory for a known flow.
func (s *Shard) HandlePacket(v *view.View, now model.Time, m *Message, d *Decision) {
	d.reset()
	if d.Reason = s.checkView(v, now); d.Reason != model.ReasonNone {
		return
	}
	if m.Hops > MaxHops {
		d.Reason = model.ReasonTooManyHops
		return
	}
	svc := s.byAddress[addressKey(m.Key.Destination)]
	if svc == nil || m.Service != 0 && m.Service != svc.id {
		d.Reason = model.ReasonUnknownService
		return
	}
	d.Service = svc.id
	x := packetHandler{Shard: s, now: now, tick: tickOf(now), service: svc, m: m, d: d}
	r := s.records.find(m.Fingerprint)
	if r != nil && r.service() != svc.id {
		s.removeRecord(r)
		r = nil
	}
	var server *view.Server
	if r != nil {
		if server = x.refreshRecord(r); server == nil {
			r = nil
		}
	}
	switch {
	case m.Key.Protocol == ProtocolTCP && m.Flags&(FlagSYN|FlagACK) == FlagSYN:
		x.handleSYN(r)
	case r != nil:
		x.handleKnown(r, server)
	default:
		x.handleUnknown()
	}
}

// serverOf returns the server of a record, or nil if the view does not hold it.
func (s *Shard) serverOf(r *record) *view.Server {
	return s.view.ByNumber[r.serverRef()]
}

// mayAwaitServer reports whether a copy's server may still arrive with the next
// release note.
func (r *record) mayAwaitServer(tick uint32) bool {
	return r.role() == roleCopy && r.idleTicks(tick) <= ticks(UnknownServerTimeout)
}

// removalReason returns why the view does not hold a server.
func (s *Shard) removalReason(id model.ServiceID, number uint32) model.Reason {
	svc := s.byID[id]
	if svc == nil {
		return model.ReasonServerRemoved
	}
	for i := range svc.config.Servers {
		c := &svc.config.Servers[i]
		if placement.ServerNumber(c.ID) == number && s.view.Config.Withdrawn(c.Zone) {
			return model.ReasonZoneWithdrawn
		}
	}
	return model.ReasonServerRemoved
}

// resolver returns the resolver of a service under the current view.
func (s *Shard) resolver(svc *service, now model.Time) resolver {
	return resolver{view: s.view, now: now, members: s.view.Members, history: svc.history, past: s.past}
}

// put stores a record, overwriting one of the same flow. It returns nil if the
// shard is full.
func (s *Shard) put(fingerprint uint64, id model.ServiceID, server uint32, newRole role, now model.Time) *record {
	r := s.records.find(fingerprint)
	if r != nil {
		s.uncountRecord(r)
	} else {
		if s.records.len >= s.settings.MaxFlows || newRole != roleOwned && s.notOwned >= s.settings.MaxFlows/2 {
			return nil
		}
		if r = s.records.insert(fingerprint); r == nil {
			return nil
		}
	}
	r.server, r.word = server, uint32(id)
	r.setRole(newRole)
	r.lastSeen, r.extra = tickOf(now), uint32(birthOf(now))<<16
	if newRole == roleOwned {
		s.connections[view.ServerRef{Service: id, Number: server}]++
	} else {
		s.notOwned++
	}
	return r
}

// uncountRecord subtracts a record from the counts.
func (s *Shard) uncountRecord(r *record) {
	ref := r.serverRef()
	if r.counted() {
		s.freeConnection(ref)
	}
	if r.role() != roleOwned {
		s.notOwned--
	}
}

// freeConnection decrements the connection count of a server.
func (s *Shard) freeConnection(ref view.ServerRef) {
	if s.connections[ref]--; s.connections[ref] <= 0 {
		delete(s.connections, ref)
	}
}

// removeRecord removes a record. If it is an exception that was sent, its copy
// holder is sent a deletion of the copy.
func (s *Shard) removeRecord(r *record) {
	if r.role() == roleOwned && r.has(flagException) && r.has(flagSent) {
		s.sweep.addDeletion(r)
	}
	s.uncountRecord(r)
	s.records.remove(r.fingerprint)
}

// changeRole changes the role of a record.
func (s *Shard) changeRole(r *record, newRole role) {
	s.uncountRecord(r)
	r.word &^= flagCounted | flagSent
	r.setRole(newRole)
	if r.counted() {
		s.connections[r.serverRef()]++
	} else {
		s.notOwned++
	}
}
