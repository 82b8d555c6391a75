package flow

import (
	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/core/view"
)

// transit is one packet on its way through a shard.
type transit struct {
	*Shard
	now     model.Time
	tick    uint32
	service *service
	m       *Message
	d       *Decision
}

// revive prepares a record for use and returns its server: it turns an expired
// hint into a copy and removes a record whose server is gone.
func (x *transit) revive(r *record) *view.Server {
	if r.role() == roleHint && r.expired(x.tick) {
		r.expire(x.now)
	}
	server := x.server(r)
	if server == nil && !r.early(x.tick) {
		if r.role() == roleOwn {
			x.d.Ended = x.gone(r.service(), r.server)
		}
		x.drop(r)
	}
	return server
}

// known decides about a packet, not the first one, of a flow with a record.
func (x *transit) known(r *record, server *view.Server) {
	switch x.m.Kind {
	case KindLookup, KindPlace:
		if r.role() == roleOwn {
			x.follow(r, server)
		}
		x.d.deliver(server, model.ReasonPeerRecord)
		x.d.tell(x.m.Sender, Envelope{Kind: KindFound, Attempt: x.m.Attempt, Server: r.server})
		return
	}
	switch r.role() {
	case roleOwn:
		x.follow(r, server)
		x.d.deliver(server, model.ReasonKnownFlow)
		x.hint(r)
	case roleHint:
		if r.has(flagClaim) || x.m.Flags&(FlagFIN|FlagRST) != 0 {
			// The owner must learn of the flow, or of its end.
			r.word &^= flagClaim
			x.viaOwner(r, server)
			return
		}
		r.touch(x.tick)
		x.d.deliver(server, model.ReasonHint)
	default:
		r.touch(x.tick)
		x.viaOwner(r, server)
	}
}

// follow keeps the state of an own flow up to date with a packet.
func (x *transit) follow(r *record, server *view.Server) {
	r.touch(x.tick)
	// Records are written only if they change: a table of 10^6 flows is larger
	// than the caches, and each changed line is written back.
	if r.has(flagSilent) {
		r.word &^= flagSilent
	}
	if x.m.Key.Protocol != ProtocolTCP {
		if !r.has(flagEstablish) {
			r.word |= flagEstablish
		}
		return
	}
	if x.m.Flags&(FlagFIN|FlagRST) != 0 {
		x.closing(r, server)
	}
	if x.m.Flags&FlagACK == 0 {
		return
	}
	ack := x.m.Ack & 0xffff
	switch {
	case !r.has(flagEstablish):
		r.word |= flagEstablish
		r.setCounter(0)
		r.extra = r.extra&^0xffff | ack
		x.d.Observed = Observation{Kind: ObservedEstablished, Server: server.ID}
		if !r.has(flagClosing) {
			x.tellHome(r, server, KindEstablished)
		}
	case !r.has(flagProgress) && r.extra&0xffff != ack:
		r.word |= flagProgress
		x.d.Observed = Observation{Kind: ObservedProgress, Server: server.ID}
	}
}

// closing notes that the caller closed an own flow, which frees its connection
// here and at the home of a cold server.
func (x *transit) closing(r *record, server *view.Server) {
	if r.has(flagClosing) {
		return
	}
	r.word |= flagClosing
	x.uncount(r.ref())
	x.tellHome(r, server, KindClosed)
}

// tellHome tells the home of a cold server what became of a flow on it.
func (x *transit) tellHome(r *record, server *view.Server, kind Kind) {
	if home := x.route(x.service, x.now).home(server); home != nil {
		x.d.tell(home.FlowAddress, Envelope{Kind: kind, Server: r.server})
	}
}

// hint tells a relaying instance the server once it has relayed some packets.
func (x *transit) hint(r *record) {
	if x.m.Kind != KindRelay || !r.has(flagEstablish) || r.has(flagClosing) {
		return
	}
	if r.setCounter(r.counter() + 1); r.counter() < relaysPerHint {
		return
	}
	if x.hints.take(x.now, x.settings.HintBudget, hintCost) {
		r.setCounter(0)
		x.d.tell(x.m.Sender, Envelope{Kind: KindHint, Server: r.server, Validity: HintValidity})
	}
}

// viaOwner passes a packet of a flow that another instance owns on to the
// owner, with the server that is known here. If self is the owner by now, it
// takes the flow over.
func (x *transit) viaOwner(r *record, server *view.Server) {
	if owner := x.passTo(); owner != nil {
		x.relay(owner, r.server)
		return
	}
	x.adopt(r)
	x.follow(r, server)
	x.d.deliver(server, model.ReasonException)
}

// adopt makes a copy or hint an own flow.
func (x *transit) adopt(r *record) {
	if r.role() == roleHint {
		r.extra = uint32(bornOf(x.now)) << 16
	}
	x.become(r, roleOwn)
	r.word |= flagEstablish | flagProgress
	x.classify(r, x.now)
}

// passTo returns the owner if the packet is to be relayed to it, nil if this
// instance decides as the owner. A packet that comes from its owner, or has
// passed MaxHops instances, is decided here: views differ for the moment.
func (x *transit) passTo() *model.Member {
	if x.m.Hops >= MaxHops || x.m.Kind == KindNotKnown {
		return nil
	}
	owner, _ := x.route(x.service, x.now).owner(x.m.Fingerprint)
	if owner == nil || owner.ID == x.view.Self.ID || owner.FlowAddress == x.m.Sender {
		return nil
	}
	return owner
}

func (x *transit) relay(owner *model.Member, server uint32) {
	x.d.forward(owner.FlowAddress, x.service.id, model.ReasonRelayToOwner,
		Envelope{Kind: KindRelay, Hops: x.m.Hops + 1, Server: server})
}

// first decides about a SYN. First packets always go through the owner.
func (x *transit) first(r *record) {
	switch x.m.Kind {
	case KindPlace:
		x.place(r)
		return
	case KindNotKnown:
		if r == nil || !x.repeated(r) {
			x.placeNext(r)
		}
		return
	}
	if owner := x.passTo(); owner != nil {
		claim := uint32(0)
		if r != nil && r.role() == roleOwn && !r.has(flagEstablish) {
			claim = r.server // the same handshake goes on at a new owner
		}
		if r != nil && r.role() == roleHint {
			x.drop(r)
		}
		x.relay(owner, claim)
		return
	}
	if r != nil && x.repeated(r) {
		return
	}
	if x.m.Server != 0 {
		server := x.view.ByNumber[view.ServerRef{Service: x.service.id, Number: x.m.Server}]
		if server != nil && server.Warmth != view.Failed {
			x.start(server, model.ReasonPeerRecord)
			return
		}
	}
	x.placeHere(r, true)
}

// repeated decides about a SYN of a flow with a record at the owner. It reports
// false if a server must be chosen anew.
func (x *transit) repeated(r *record) bool {
	server := x.server(r)
	if server.Warmth == view.Failed {
		return false
	}
	if r.role() != roleOwn {
		if !x.mayTake(server, true) {
			return false
		}
		x.adopt(r)
		r.word &^= flagEstablish | flagProgress
		x.d.deliver(server, model.ReasonException)
		return true
	}
	if r.has(flagClosing) {
		// A new connection of the same caller. The server stays if it can, as
		// other instances may still hold hints.
		if !x.mayTake(server, false) {
			return false
		}
		r.word &^= flagClosing | flagEstablish | flagProgress
		x.connections[r.ref()]++
		r.setCounter(0)
		r.touch(x.tick)
		x.d.deliver(server, model.ReasonKnownFlow)
		return true
	}
	if !r.has(flagEstablish) {
		if x.leaving(server) && r.idle(x.tick) > ticks(HandshakeGrace) {
			return false
		}
		r.setCounter(r.counter() + 1)
		x.d.Observed = Observation{Kind: ObservedRepeatedSYN, Server: server.ID, Repeats: uint8(r.counter())}
	}
	if !x.leaving(server) || r.has(flagEstablish) {
		r.touch(x.tick)
	}
	x.d.deliver(server, model.ReasonKnownFlow)
	return true
}

// leaving reports whether a server must get no new flows. Only instances in the
// server's zone know more than its configured state, and only its home while it
// takes flows from there alone.
func (x *transit) leaving(server *view.Server) bool {
	return server.State == model.ServerDraining ||
		server.Zone == x.view.Self.Zone && !server.NewWork && !server.FlowsHomeOnly
}

// start stores a new own flow and delivers its packet.
func (x *transit) start(server *view.Server, reason model.Reason) {
	r := x.put(x.m.Fingerprint, x.service.id, server.Number, roleOwn, x.now)
	if r == nil {
		x.d.Reason = model.ReasonTableFull
		return
	}
	x.classify(r, x.now)
	if x.m.Key.Protocol != ProtocolTCP {
		r.word |= flagEstablish
	}
	x.d.deliver(server, reason)
}

// unknown decides about a packet, not a SYN, of a flow without a record.
func (x *transit) unknown() {
	switch x.m.Kind {
	case KindLookup:
		x.lookUpElsewhere()
		return
	case KindPlace:
		x.place(nil)
		return
	case KindNotKnown:
		if x.m.Attempt >= firstPlace {
			x.placeNext(nil)
			return
		}
	}
	if owner := x.passTo(); owner != nil {
		x.relay(owner, x.m.Server)
		return
	}
	if x.m.Server != 0 {
		server := x.view.ByNumber[view.ServerRef{Service: x.service.id, Number: x.m.Server}]
		if server != nil {
			x.recover(server, model.ReasonPeerRecord)
			return
		}
	}
	attempt := 0
	if x.m.Kind == KindNotKnown {
		attempt = int(x.m.Attempt) + 1
	}
	// A datagram may be the first one; then nobody knows its flow. It is looked
	// up only if it may have had another owner before.
	if (x.m.Key.Protocol == ProtocolTCP || x.recent(x.now)) && x.lookUp(attempt) {
		return
	}
	if x.m.Key.Protocol != ProtocolTCP {
		// A datagram of a flow that nobody knows is taken as its first.
		x.placeHere(nil, true)
		return
	}
	if server := x.route(x.service, x.now).recompute(x.service.id, x.m.Fingerprint); server != nil {
		x.recover(server, model.ReasonRetainedTable)
		return
	}
	x.d.Reason = model.ReasonNoCapacity
}

// lookUp passes the packet on to the next instance that may know the flow. It
// reports false if there is none.
func (x *transit) lookUp(attempt int) bool {
	x.scratch = x.route(x.service, x.now).candidates(x.scratch[:0], x.m.Fingerprint)
	if attempt >= len(x.scratch) || !x.lookups.take(x.now, lookupsPerSecond, 1) {
		return false
	}
	x.d.forward(x.scratch[attempt].FlowAddress, x.service.id, model.ReasonRelayLookup,
		Envelope{Kind: KindLookup, Hops: 1, Attempt: uint8(attempt)})
	return true
}

// lookUpElsewhere decides about a lookup of a flow that is not known here. The
// asking instance may have an outdated view, or have joined lately and know no
// former owners: the lookup is passed on once to the latest owner that this one
// knows, which answers the asking instance.
func (x *transit) lookUpElsewhere() {
	if x.m.Hops > 1 {
		x.notKnown()
		return
	}
	x.scratch = x.route(x.service, x.now).owners(x.scratch[:0], x.m.Fingerprint)
	for _, m := range x.scratch {
		if m.FlowAddress != x.m.Sender {
			x.d.forward(m.FlowAddress, x.service.id, model.ReasonRelayLookup,
				Envelope{Kind: KindLookup, Hops: x.m.Hops + 1, Attempt: x.m.Attempt, Sender: x.m.Sender})
			return
		}
	}
	x.notKnown()
}

// notKnown returns a packet to the instance that asked.
func (x *transit) notKnown() {
	x.d.forward(x.m.Sender, x.service.id, model.ReasonRelayLookup,
		Envelope{Kind: KindNotKnown, Hops: 1, Attempt: x.m.Attempt})
}

// recover stores a flow that was known elsewhere before, and delivers its
// packet. A full table does not stop the packet.
func (x *transit) recover(server *view.Server, reason model.Reason) {
	if r := x.put(x.m.Fingerprint, x.service.id, server.Number, roleOwn, x.now); r != nil {
		r.word |= flagEstablish | flagProgress
		x.classify(r, x.now)
		x.follow(r, server)
	}
	x.d.deliver(server, reason)
}
