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
	// MaxHops bounds the instances that pass a packet on to an owner. Two
	// instances with different views may disagree about the owner.
	MaxHops = 3
	// HintValidity is how long a hint may be used. It is below SilentAfter, as
	// the owner sees a flow only when a hint has expired, and below
	// ClosingTimeout, so that no hint outlives its flow's record at the owner.
	HintValidity = 30 * time.Second
	// ClosingTimeout ends a flow after a FIN or RST from the caller.
	ClosingTimeout = 60 * time.Second
	// HandshakeTimeout ends a flow that was never established.
	HandshakeTimeout = 30 * time.Second
	// HandshakeGrace is how long repetitions of a SYN stay with their server
	// after it stopped to take new work.
	HandshakeGrace = 3 * time.Second
	// CopyTimeout ends a copy that its owner does not refresh.
	CopyTimeout = 3 * RefreshInterval
	// RefreshInterval is how often exceptions are sent again.
	RefreshInterval = 4 * time.Minute
	// NoteDelay is how long a record is kept whose server this instance does not
	// know: the server may be in a note that has reached the sender only.
	NoteDelay = 10 * time.Second
	// relaysPerHint is the number of relayed packets that earn a hint.
	relaysPerHint = 3
	// firstPlace is the first Attempt that asks another instance to place a flow:
	// the home of the table's choice. The later ones ask other zones.
	firstPlace = 16
	// lookupsPerSecond bounds the lookups of a shard, so that packets of
	// unknown flows are not multiplied.
	lookupsPerSecond = 1000
	// hintCost is the size in bytes of a hint with its UDP and IP headers.
	hintCost = 104
)

// Settings are the limits of one shard.
type Settings struct {
	// Index and Shards give the shard its part of each server's connections.
	Index, Shards int
	// MaxFlows bounds the records of the shard.
	MaxFlows int
	// HintBudget, ExceptionBudget and LeaveBudget are in bytes per second. The
	// last one holds while the instance leaves.
	HintBudget, ExceptionBudget, LeaveBudget int
	// SilentAfter is the time without packets after which a flow is reported.
	SilentAfter time.Duration
}

// DefaultSettings returns the settings of each of the given number of shards
// for an instance that holds maxFlows.
func DefaultSettings(shards, maxFlows int) Settings {
	return Settings{
		Shards: shards, MaxFlows: max(1, maxFlows/shards),
		HintBudget:      max(hintCost, 2048/shards),
		ExceptionBudget: max(batchCost+recordCost, 2048/shards),
		LeaveBudget:     max(batchCost+recordCost, 16384/shards),
		SilentAfter:     60 * time.Second,
	}
}

// Shard decides about the flows whose fingerprint selects it. It has one owner
// and no locks.
type Shard struct {
	settings Settings
	records  *records
	// connections counts the flows that this shard has on each server.
	connections map[view.ServerRef]int
	// cold holds, for each cold server whose home is here, the flows that it had
	// when this instance began to open flows on it.
	cold map[view.ServerRef]int
	// passive counts hints and copies.
	passive int
	windows map[netip.AddrPort]*replayWindow

	view   *view.View
	digest uint64
	// changedAt is when owners or table choices changed last.
	changedAt model.Time
	past      []pastMembers
	services  map[uint64]*service
	byID      map[model.ServiceID]*service

	hints, exceptions, lookups budget
	sweep                      sweep
	scratch                    []*model.Member
}

// service is what the shard keeps for a service of the configuration.
type service struct {
	config  *model.Service
	id      model.ServiceID
	history *table.History
}

// NewShard returns an empty shard.
func NewShard(s Settings) *Shard {
	return &Shard{
		settings: s, records: newRecords(), connections: map[view.ServerRef]int{}, cold: map[view.ServerRef]int{},
		windows: map[netip.AddrPort]*replayWindow{}, byID: map[model.ServiceID]*service{},
	}
}

// Len returns the number of records: own flows, hints and copies.
func (s *Shard) Len() int { return s.records.len }

// Bytes returns the memory of the records.
func (s *Shard) Bytes() int { return s.records.bytes() }

// Pending returns the number of exceptions that wait to be sent.
func (s *Shard) Pending() int {
	return len(s.sweep.found) + len(s.sweep.pending) + len(s.sweep.voids)
}

// use prepares the shard for a view.
func (s *Shard) use(v *view.View, now model.Time) {
	old := s.view
	s.view = v
	if old == nil || old.Config != v.Config {
		s.services = make(map[uint64]*service, len(v.Config.Services))
		byID := make(map[model.ServiceID]*service, len(v.Config.Services))
		for i := range v.Config.Services {
			c := &v.Config.Services[i]
			e := &service{config: c, id: c.ID, history: v.Tables[c.ID]}
			if e.history == nil {
				e.history = &table.History{}
			}
			s.services[addressKey(c.VirtualAddress)], byID[c.ID] = e, e
			if before := s.byID[c.ID]; before == nil || before.history != e.history {
				s.changed(now)
			}
		}
		s.byID = byID
	}
	if old == nil || old.Members != v.Members {
		if digest := v.Members.Digest(); digest != s.digest {
			if old != nil {
				s.remember(old.Members, now)
			}
			s.digest = digest
			s.changed(now)
		}
	}
}

// changed notes that flows may have other owners or choices than before.
func (s *Shard) changed(now model.Time) {
	s.changedAt = now
	s.sweep.recheck()
}

// remember keeps a set of instances for lookups.
func (s *Shard) remember(m *placement.Members, now model.Time) {
	s.past = slices.Insert(s.past, 0, pastMembers{m, now})
	for n := len(s.past); n > maxPast || now.Sub(s.past[n-1].replacedAt) > table.GenerationRetention; n-- {
		s.past = s.past[:n-1]
	}
}

// recent reports whether a flow may have had another owner lately.
func (s *Shard) recent(now model.Time) bool {
	return now.Sub(s.changedAt) < table.GenerationRetention
}

// addressKey packs an IPv4 address and port.
func addressKey(a netip.AddrPort) uint64 {
	if !a.Addr().Is4() {
		return 0
	}
	b := a.Addr().As4()
	return uint64(b[0])<<40 | uint64(b[1])<<32 | uint64(b[2])<<24 | uint64(b[3])<<16 | uint64(a.Port())
}

// check returns why nothing may be decided on a view, and prepares a new one.
func (s *Shard) check(v *view.View, now model.Time) model.Reason {
	if !v.Fresh(now) {
		return model.ReasonStaleView
	}
	if !v.Ready() {
		return model.ReasonNoConfiguration
	}
	if v != s.view {
		s.use(v, now)
	}
	return model.ReasonNone
}

// Packet decides about a message that carries a packet and writes the result to
// d. It allocates nothing for a known flow.
func (s *Shard) Packet(v *view.View, now model.Time, m *Message, d *Decision) {
	d.reset()
	if d.Reason = s.check(v, now); d.Reason != model.ReasonNone {
		return
	}
	if m.Hops > MaxHops {
		d.Reason = model.ReasonTooManyHops
		return
	}
	e := s.services[addressKey(m.Key.Destination)]
	if e == nil || m.Service != 0 && m.Service != e.id {
		d.Reason = model.ReasonUnknownService
		return
	}
	d.Service = e.id
	x := transit{Shard: s, now: now, tick: tickOf(now), service: e, m: m, d: d}
	r := s.records.find(m.Fingerprint)
	if r != nil && r.service() != e.id {
		s.drop(r)
		r = nil
	}
	var server *view.Server
	if r != nil {
		if server = x.revive(r); server == nil {
			r = nil
		}
	}
	switch {
	case m.Key.Protocol == ProtocolTCP && m.Flags&(FlagSYN|FlagACK) == FlagSYN:
		x.first(r)
	case r != nil:
		x.known(r, server)
	default:
		x.unknown()
	}
}

// server returns the server of a record, or nil.
func (s *Shard) server(r *record) *view.Server {
	return s.view.ByNumber[r.ref()]
}

// early reports whether a copy's server may come with the next note.
func (r *record) early(tick uint32) bool {
	return r.role() == roleCopy && r.idle(tick) <= ticks(NoteDelay)
}

// gone says why a server that the view does not hold is gone.
func (s *Shard) gone(id model.ServiceID, number uint32) model.Reason {
	e := s.byID[id]
	if e == nil {
		return model.ReasonServerRemoved
	}
	for i := range e.config.Servers {
		c := &e.config.Servers[i]
		if placement.ServerNumber(c.ID) == number && s.view.Config.Withdrawn(c.Zone) {
			return model.ReasonZoneWithdrawn
		}
	}
	return model.ReasonServerRemoved
}

// route returns the placement of a service's flows under the present view.
func (s *Shard) route(e *service, now model.Time) route {
	return route{view: s.view, now: now, members: s.view.Members, history: e.history, past: s.past}
}

// put stores a record, overwriting the one of the same flow. It returns nil if
// the shard is full.
func (s *Shard) put(fingerprint uint64, id model.ServiceID, server uint32, as role, now model.Time) *record {
	r := s.records.find(fingerprint)
	if r != nil {
		s.release(r)
	} else {
		if s.records.len >= s.settings.MaxFlows || as != roleOwn && s.passive >= s.settings.MaxFlows/2 {
			return nil
		}
		if r = s.records.insert(fingerprint); r == nil {
			return nil
		}
	}
	r.server, r.word = server, uint32(id)
	r.setRole(as)
	r.seen, r.extra = tickOf(now), uint32(bornOf(now))<<16
	if as == roleOwn {
		s.connections[view.ServerRef{Service: id, Number: server}]++
	} else {
		s.passive++
	}
	return r
}

// release takes a record out of the counts.
func (s *Shard) release(r *record) {
	ref := r.ref()
	if r.counted() {
		s.uncount(ref)
	}
	if r.role() != roleOwn {
		s.passive--
	}
}

// uncount frees a connection of a server.
func (s *Shard) uncount(ref view.ServerRef) {
	if s.connections[ref]--; s.connections[ref] <= 0 {
		delete(s.connections, ref)
	}
}

// drop removes a record. An exception that was sent is voided at its target.
func (s *Shard) drop(r *record) {
	if r.role() == roleOwn && r.has(flagException) && r.has(flagSent) {
		s.sweep.void(r)
	}
	s.release(r)
	s.records.remove(r.fingerprint)
}

// become changes the role of a record.
func (s *Shard) become(r *record, as role) {
	s.release(r)
	r.word &^= flagCounted | flagSent
	r.setRole(as)
	if r.counted() {
		s.connections[r.ref()]++
	} else {
		s.passive++
	}
}
