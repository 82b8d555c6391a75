package flow

import (
	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/core/table"
	"github.com/savorytiller/savorytiller/internal/core/view"
)

// placeInOwnZone chooses a server of this zone for a new flow. If only the home
// instance may open flows on the server that the table selects, and that is
// another instance, the packet is forwarded there first.
func (x *packetHandler) placeInOwnZone(existing *record, askHome bool) {
	zone, choice := x.tableChoice()
	if home := x.placementHome(choice); askHome && home != nil {
		if existing != nil {
			x.removeRecord(existing)
		}
		x.d.forward(home.FlowAddress, x.service.id, model.ReasonServerCold,
			MessageHeader{Kind: KindPlacement, Hops: 1, Attempt: firstPlacementAttempt})
		return
	}
	server, reason := x.chooseServer(existing, zone, choice)
	if server == nil {
		x.placeInOtherZone(firstPlacementAttempt + 1)
		return
	}
	x.startFlow(server, reason)
}

// retryPlacement continues the placement of a flow after another instance found
// no server for it.
func (x *packetHandler) retryPlacement(existing *record) {
	if x.m.Attempt == firstPlacementAttempt {
		x.placeInOwnZone(existing, false)
		return
	}
	x.placeInOtherZone(int(x.m.Attempt) + 1)
}

// placeInOtherZone forwards the packet to the flow's owner in the next
// availability zone, which may place the flow on a server of that zone.
func (x *packetHandler) placeInOtherZone(attempt int) {
	owner := x.resolver(x.service, x.now).otherZoneOwner(x.m.Fingerprint, attempt-firstPlacementAttempt-1)
	if owner == nil || attempt > 255 { // Message.Attempt has 8 bits
		x.d.Reason = model.ReasonNoCapacity
		return
	}
	x.d.forward(owner.FlowAddress, x.service.id, model.ReasonOtherZone,
		MessageHeader{Kind: KindPlacement, Hops: 1, Attempt: uint8(attempt)})
}

// placeForOwner chooses a server of this zone on behalf of a flow's owner that
// may not: the owner is in another zone, or only this instance may open flows on
// the server. The copy stored here counts towards the server's connections.
func (x *packetHandler) placeForOwner(r *record) {
	var server *view.Server
	if r != nil && x.acceptsFlow(x.serverOf(r), true) {
		server = x.serverOf(r)
	} else {
		zone, choice := x.tableChoice()
		server, _ = x.chooseServer(r, zone, choice)
		r = nil
	}
	if server == nil {
		x.answerNotFound()
		return
	}
	if r == nil {
		if r = x.put(x.m.Fingerprint, x.service.id, server.Number, roleCopy, x.now); r == nil {
			x.answerNotFound()
			return
		}
		r.word |= flagCounted | flagSent
		x.connections[view.ServerRef{Service: x.service.id, Number: server.Number}]++
	}
	reason := model.ReasonOtherZone
	if x.m.Attempt == firstPlacementAttempt {
		reason = model.ReasonTableChoice
	}
	x.d.deliver(server, reason)
	x.d.notify(x.m.Sender, MessageHeader{Kind: KindFound, Attempt: x.m.Attempt, Server: server.Number})
}

// acceptsFlow reports whether this shard may open a flow on a server. A flow that
// is already counted needs no further connection.
func (x *packetHandler) acceptsFlow(server *view.Server, alreadyCounted bool) bool {
	if !server.NewWork || server.Warmth == view.Failed {
		return false
	}
	ref := view.ServerRef{Service: server.Service, Number: server.Number}
	used := x.connections[ref] - x.exemptFlows(ref, server)
	if alreadyCounted {
		used--
	}
	return used < x.shardConnectionLimit(server)
}

// exemptFlows returns how many flows of a cold server do not count towards its
// connection limit: those that it had when this instance began to open flows on
// it. Otherwise a server that becomes cold with more flows than the limit would
// get no further flow, and the limit would never rise, because only successful
// new flows raise it.
func (x *packetHandler) exemptFlows(ref view.ServerRef, server *view.Server) int {
	if !server.FlowsHomeOnly {
		return 0
	}
	count, ok := x.exempt[ref]
	if !ok && server.ConnectionLimit == 0 {
		return 0
	}
	if used := x.connections[ref]; !ok || count > used {
		count = used
		x.exempt[ref] = count
	}
	return count
}

// pruneExempt removes the entries of servers that are no longer cold or whose
// home is now another instance.
func (s *Shard) pruneExempt(now model.Time) {
	for ref := range s.exempt {
		server := s.view.ByNumber[ref]
		if server == nil || !server.FlowsHomeOnly || (resolver{view: s.view, now: now, members: s.view.Members}).otherHome(server) != nil {
			delete(s.exempt, ref)
		}
	}
}

// shardConnectionLimit returns this shard's part of the instance's connections on
// a server. The remainder of the division goes to different shards for different
// servers.
func (x *packetHandler) shardConnectionLimit(server *view.Server) int {
	limit, shards := int(server.ConnectionLimit), max(1, x.settings.Shards)
	part := limit / shards
	if (x.settings.Index+int(server.Number%uint32(shards)))%shards < limit%shards {
		part++
	}
	return part
}

// chooseServer returns a server of the instance's zone for a new flow: the
// table's choice if it accepts the flow, else the highest-ranked server in
// rendezvous order that does. It removes the flow's existing record.
func (x *packetHandler) chooseServer(existing *record, zone *table.ZoneTable, choice *view.Server) (*view.Server, model.Reason) {
	if existing != nil {
		x.removeRecord(existing)
	}
	if zone == nil {
		return nil, model.ReasonNone
	}
	if choice != nil && x.acceptsFlow(choice, false) {
		return choice, model.ReasonTableChoice
	}
	var best *view.Server
	bestScore := -1.0
	for i, number := range zone.Table.Numbers {
		s := x.view.ByNumber[view.ServerRef{Service: x.service.id, Number: number}]
		if s == nil || !x.acceptsFlow(s, false) {
			continue
		}
		if score := zone.Table.Score(x.m.Fingerprint, i); score > bestScore {
			best, bestScore = s, score
		}
	}
	return best, model.ReasonAlternative
}

// tableChoice returns the table of the instance's zone and the server that it
// selects for the flow; both are nil if there is no table.
func (x *packetHandler) tableChoice() (*table.ZoneTable, *view.Server) {
	g := x.service.history.Current()
	if g == nil {
		return nil, nil
	}
	for i := range g.Zones {
		zone := &g.Zones[i]
		if zone.Zone == x.view.Self.Zone {
			number, _ := zone.Table.LookupNumber(x.m.Fingerprint)
			return zone, x.view.ByNumber[view.ServerRef{Service: x.service.id, Number: number}]
		}
	}
	return nil, nil
}

// placementHome returns the home instance of a cold server if it is another
// instance that may open a flow there, else nil.
func (x *packetHandler) placementHome(server *view.Server) *model.Member {
	if server == nil || server.State != model.ServerActive || server.Warmth == view.Failed {
		return nil
	}
	return x.resolver(x.service, x.now).otherHome(server)
}
