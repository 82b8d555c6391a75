package flow

import (
	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/core/view"
)

// packetHandler decides about one packet.
type packetHandler struct {
	*Shard
	now     model.Time
	tick    uint32
	service *service
	m       *Message
	d       *Decision
}

// refreshRecord brings a record up to date and returns its server: it turns an
// expired hint into a copy, and removes a record whose server is gone. The server
// is nil if the record must not be used.
func (x *packetHandler) refreshRecord(r *record) *view.Server {
	if r.role() == roleHint && r.hintExpired(x.tick) {
		r.expireHint(x.now)
	}
	server := x.serverOf(r)
	if server == nil && !r.mayAwaitServer(x.tick) {
		if r.role() == roleOwned {
			x.d.EndReason = x.removalReason(r.service(), r.server)
		}
		x.removeRecord(r)
	}
	return server
}

// handleKnown decides about a packet, other than a SYN, of a flow with a record.
func (x *packetHandler) handleKnown(r *record, server *view.Server) {
	switch x.m.Kind {
	case KindLookup, KindPlacement:
		if r.role() == roleOwned {
			x.updateRecord(r, server)
		}
		x.d.deliver(server, model.ReasonPeerRecord)
		x.d.notify(x.m.Sender, MessageHeader{Kind: KindFound, Attempt: x.m.Attempt, Server: r.server})
		return
	}
	switch r.role() {
	case roleOwned:
		x.updateRecord(r, server)
		x.d.deliver(server, model.ReasonKnownFlow)
		x.sendHint(r)
	case roleHint:
		if r.has(flagViaOwner) || x.m.Flags&(FlagFIN|FlagRST) != 0 {
			// The owner must see that the flow exists or that it ends.
			r.word &^= flagViaOwner
			x.relayToOwner(r, server)
			return
		}
		r.touch(x.tick)
		x.d.deliver(server, model.ReasonHint)
	default:
		r.touch(x.tick)
		x.relayToOwner(r, server)
	}
}

// updateRecord updates the record of an own flow with a packet.
func (x *packetHandler) updateRecord(r *record, server *view.Server) {
	r.touch(x.tick)
	// Records are written only if they change: a table of 10^6 flows is larger
	// than the CPU caches, and each modified cache line is written back.
	if r.has(flagSilent) {
		r.word &^= flagSilent
	}
	if x.m.Key.Protocol != ProtocolTCP {
		if !r.has(flagEstablished) {
			r.word |= flagEstablished
		}
		return
	}
	if x.m.Flags&(FlagFIN|FlagRST) != 0 {
		x.markClosing(r, server)
	}
	if x.m.Flags&FlagACK == 0 {
		return
	}
	ack := x.m.Ack & 0xffff
	switch {
	case !r.has(flagEstablished):
		r.word |= flagEstablished
		r.setCounter(0)
		r.extra = r.extra&^0xffff | ack
		x.d.Observed = Observation{Kind: ObservedEstablished, Server: server.ID}
		if !r.has(flagClosing) {
			x.notifyHome(r, server, KindEstablished)
		}
	case !r.has(flagProgress) && r.extra&0xffff != ack:
		r.word |= flagProgress
		x.d.Observed = Observation{Kind: ObservedProgress, Server: server.ID}
	}
}

// markClosing records that the caller closed an own flow, which frees its
// connection here and at the home of a cold server.
func (x *packetHandler) markClosing(r *record, server *view.Server) {
	if r.has(flagClosing) {
		return
	}
	r.word |= flagClosing
	x.freeConnection(r.serverRef())
	x.notifyHome(r, server, KindClosed)
}

// notifyHome reports to the home of a cold server that a flow on the server was
// established or closed.
func (x *packetHandler) notifyHome(r *record, server *view.Server, kind Kind) {
	if home := x.resolver(x.service, x.now).otherHome(server); home != nil {
		x.d.notify(home.FlowAddress, MessageHeader{Kind: kind, Server: r.server})
	}
}

// sendHint sends a hint to the sender of a relay once it has relayed
// relaysPerHint packets of the flow, if the budget allows it.
func (x *packetHandler) sendHint(r *record) {
	if x.m.Kind != KindRelay || !r.has(flagEstablished) || r.has(flagClosing) {
		return
	}
	if r.setCounter(r.counter() + 1); r.counter() < relaysPerHint {
		return
	}
	if x.hintBudget.consume(x.now, x.settings.HintBudget, hintBytes) {
		r.setCounter(0)
		x.d.notify(x.m.Sender, MessageHeader{Kind: KindHint, Server: r.server, Validity: HintValidity})
	}
}

// relayToOwner relays a packet of another instance's flow to the owner, with the
// server of the record here. If self is now the owner, it takes the flow over.
func (x *packetHandler) relayToOwner(r *record, server *view.Server) {
	if owner := x.relayTarget(); owner != nil {
		x.relay(owner, r.server)
		return
	}
	x.takeOwnership(r)
	x.updateRecord(r, server)
	x.d.deliver(server, model.ReasonException)
}

// takeOwnership turns a copy or hint into an own flow.
func (x *packetHandler) takeOwnership(r *record) {
	if r.role() == roleHint {
		r.extra = uint32(birthOf(x.now)) << 16
	}
	x.changeRole(r, roleOwned)
	r.word |= flagEstablished | flagProgress
	x.markException(r, x.now)
}

// relayTarget returns the owner if the packet must be relayed to it, or nil if
// this instance decides. It decides as the owner, and also about packets that
// come from the owner, were returned as not found or have been forwarded MaxHops
// times, because views may differ for a while.
func (x *packetHandler) relayTarget() *model.Member {
	if x.m.Hops >= MaxHops || x.m.Kind == KindNotFound {
		return nil
	}
	owner, _ := x.resolver(x.service, x.now).owner(x.m.Fingerprint)
	if owner == nil || owner.ID == x.view.Self.ID || owner.FlowAddress == x.m.Sender {
		return nil
	}
	return owner
}

func (x *packetHandler) relay(owner *model.Member, server uint32) {
	x.d.forward(owner.FlowAddress, x.service.id, model.ReasonRelayToOwner,
		MessageHeader{Kind: KindRelay, Hops: x.m.Hops + 1, Server: server})
}

// handleSYN decides about a SYN. The first packet of a flow always goes through
// the flow's owner.
func (x *packetHandler) handleSYN(r *record) {
	switch x.m.Kind {
	case KindPlacement:
		x.placeForOwner(r)
		return
	case KindNotFound:
		if r == nil || !x.handleRepeatedSYN(r) {
			x.retryPlacement(r)
		}
		return
	}
	if owner := x.relayTarget(); owner != nil {
		knownServer := uint32(0)
		if r != nil && r.role() == roleOwned && !r.has(flagEstablished) {
			knownServer = r.server // the new owner continues the handshake with the same server
		}
		if r != nil && r.role() == roleHint {
			x.removeRecord(r)
		}
		x.relay(owner, knownServer)
		return
	}
	if r != nil && x.handleRepeatedSYN(r) {
		return
	}
	if x.m.Server != 0 {
		server := x.view.ByNumber[view.ServerRef{Service: x.service.id, Number: x.m.Server}]
		if server != nil && server.Warmth != view.Failed {
			x.startFlow(server, model.ReasonPeerRecord)
			return
		}
	}
	x.placeInOwnZone(r, true)
}

// handleRepeatedSYN decides about a SYN of a flow that already has a record here
// and whose packets this instance does not relay (see relayTarget). It reports
// false if a new server must be chosen.
func (x *packetHandler) handleRepeatedSYN(r *record) bool {
	server := x.serverOf(r)
	if server.Warmth == view.Failed {
		return false
	}
	if r.role() != roleOwned {
		if !x.acceptsFlow(server, true) {
			return false
		}
		x.takeOwnership(r)
		r.word &^= flagEstablished | flagProgress
		x.d.deliver(server, model.ReasonException)
		return true
	}
	if r.has(flagClosing) {
		// The caller reuses its port for a new connection. It keeps the server if
		// possible, as other instances may still hold hints.
		if !x.acceptsFlow(server, false) {
			return false
		}
		r.word &^= flagClosing | flagEstablished | flagProgress
		x.connections[r.serverRef()]++
		r.setCounter(0)
		r.touch(x.tick)
		x.d.deliver(server, model.ReasonKnownFlow)
		return true
	}
	if !r.has(flagEstablished) {
		if x.refusesNewFlows(server) && r.idleTicks(x.tick) > ticks(HandshakeGrace) {
			return false
		}
		r.setCounter(r.counter() + 1)
		x.d.Observed = Observation{Kind: ObservedSYNRetransmission, Server: server.ID, Retransmissions: uint8(r.counter())}
	}
	if !x.refusesNewFlows(server) || r.has(flagEstablished) {
		r.touch(x.tick)
	}
	x.d.deliver(server, model.ReasonKnownFlow)
	return true
}

// refusesNewFlows reports whether a server must get no new flows. Outside the
// server's zone only the configured state is known. Server.NewWork is not used
// for a server on which only its home may open flows, because at the other
// instances it can be false although the home accepts flows.
func (x *packetHandler) refusesNewFlows(server *view.Server) bool {
	return server.State == model.ServerDraining ||
		server.Zone == x.view.Self.Zone && !server.NewWork && !server.FlowsHomeOnly
}

// startFlow stores a new own flow and delivers its packet.
func (x *packetHandler) startFlow(server *view.Server, reason model.Reason) {
	r := x.put(x.m.Fingerprint, x.service.id, server.Number, roleOwned, x.now)
	if r == nil {
		x.d.Reason = model.ReasonTableFull
		return
	}
	x.markException(r, x.now)
	if x.m.Key.Protocol != ProtocolTCP {
		r.word |= flagEstablished
	}
	x.d.deliver(server, reason)
}

// handleUnknown decides about a packet, other than a SYN, of a flow without a
// record.
func (x *packetHandler) handleUnknown() {
	switch x.m.Kind {
	case KindLookup:
		x.forwardLookup()
		return
	case KindPlacement:
		x.placeForOwner(nil)
		return
	case KindNotFound:
		if x.m.Attempt >= firstPlacementAttempt {
			x.retryPlacement(nil)
			return
		}
	}
	if owner := x.relayTarget(); owner != nil {
		x.relay(owner, x.m.Server)
		return
	}
	if x.m.Server != 0 {
		server := x.view.ByNumber[view.ServerRef{Service: x.service.id, Number: x.m.Server}]
		if server != nil {
			x.restoreFlow(server, model.ReasonPeerRecord)
			return
		}
	}
	attempt := 0
	if x.m.Kind == KindNotFound {
		attempt = int(x.m.Attempt) + 1
	}
	// A datagram may be the first of its flow; then no instance has a record. It
	// is looked up only if the flow may have had another owner recently.
	if (x.m.Key.Protocol == ProtocolTCP || x.changedRecently(x.now)) && x.lookUp(attempt) {
		return
	}
	if x.m.Key.Protocol != ProtocolTCP {
		// A datagram of a flow without a record at any instance starts a new flow.
		x.placeInOwnZone(nil, true)
		return
	}
	if server := x.resolver(x.service, x.now).recomputeServer(x.service.id, x.m.Fingerprint); server != nil {
		x.restoreFlow(server, model.ReasonRetainedTable)
		return
	}
	x.d.Reason = model.ReasonNoCapacity
}

// lookUp forwards the packet to the next instance that may have a record of the
// flow. It reports false if there is none or lookupsPerSecond is exceeded.
func (x *packetHandler) lookUp(attempt int) bool {
	x.candidates = x.resolver(x.service, x.now).lookupCandidates(x.candidates[:0], x.m.Fingerprint)
	if attempt >= len(x.candidates) || !x.lookupBudget.consume(x.now, lookupsPerSecond, 1) {
		return false
	}
	x.d.forward(x.candidates[attempt].FlowAddress, x.service.id, model.ReasonRelayLookup,
		MessageHeader{Kind: KindLookup, Hops: 1, Attempt: uint8(attempt)})
	return true
}

// forwardLookup handles a lookup of a flow without a record here. The asking
// instance may have an outdated view, or may have joined recently and have no former
// sets of instances. Therefore the lookup is forwarded once, to the flow's latest
// owner according to this instance, which answers the asking instance directly.
func (x *packetHandler) forwardLookup() {
	if x.m.Hops > 1 {
		x.answerNotFound()
		return
	}
	x.candidates = x.resolver(x.service, x.now).presentAndFormerOwners(x.candidates[:0], x.m.Fingerprint)
	for _, m := range x.candidates {
		if m.FlowAddress != x.m.Sender {
			x.d.forward(m.FlowAddress, x.service.id, model.ReasonRelayLookup,
				MessageHeader{Kind: KindLookup, Hops: x.m.Hops + 1, Attempt: x.m.Attempt, Sender: x.m.Sender})
			return
		}
	}
	x.answerNotFound()
}

// answerNotFound returns a packet to the instance that sent the lookup or
// placement.
func (x *packetHandler) answerNotFound() {
	x.d.forward(x.m.Sender, x.service.id, model.ReasonRelayLookup,
		MessageHeader{Kind: KindNotFound, Hops: 1, Attempt: x.m.Attempt})
}

// restoreFlow stores an existing flow that has no record here, and delivers its
// packet. The packet is delivered even if the table is full.
func (x *packetHandler) restoreFlow(server *view.Server, reason model.Reason) {
	if r := x.put(x.m.Fingerprint, x.service.id, server.Number, roleOwned, x.now); r != nil {
		r.word |= flagEstablished | flagProgress
		x.markException(r, x.now)
		x.updateRecord(r, server)
	}
	x.d.deliver(server, reason)
}
