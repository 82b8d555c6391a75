package flow

import (
	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/core/table"
	"github.com/savorytiller/savorytiller/internal/core/view"
)

// placeElsewhere asks the next availability zone for a server.
func (x *transit) placeElsewhere(attempt int) {
	placer := x.route(x.service, x.now).placer(x.m.Fingerprint, attempt-firstPlace)
	if placer == nil || attempt > 255 {
		x.d.Reason = model.ReasonNoCapacity
		return
	}
	x.d.forward(placer.FlowAddress, x.service.id, model.ReasonOtherZone,
		Envelope{Kind: KindPlace, Hops: 1, Attempt: uint8(attempt)})
}

// place chooses a server of this zone for an owner in another zone. The copy
// counts against the server's connections.
func (x *transit) place(r *record) {
	var server *view.Server
	if r != nil && x.mayTake(x.server(r), true) {
		server = x.server(r)
	} else {
		server, _ = x.choose(r)
		r = nil
	}
	if server == nil {
		x.notKnown()
		return
	}
	if r == nil {
		if r = x.put(x.m.Fingerprint, x.service.id, server.Number, roleCopy, x.now); r == nil {
			x.notKnown()
			return
		}
		r.word |= flagCounted | flagSent
		x.connections[view.ServerRef{Service: x.service.id, Number: server.Number}]++
	}
	x.d.deliver(server, model.ReasonOtherZone)
	x.d.tell(x.m.Sender, Envelope{Kind: KindFound, Attempt: x.m.Attempt, Server: server.Number})
}

// mayTake reports whether a server may get new work from this shard. A flow
// that is counted already needs no further connection.
func (x *transit) mayTake(server *view.Server, counted bool) bool {
	if !server.NewWork || server.Warmth == view.Failed {
		return false
	}
	used := x.connections[view.ServerRef{Service: server.Service, Number: server.Number}]
	if counted {
		used--
	}
	return used < x.share(server)
}

// share returns this shard's part of the instance's connections on a server.
// The remainder goes to different shards for different servers.
func (x *transit) share(server *view.Server) int {
	limit, shards := int(server.ConnectionLimit), max(1, x.settings.Shards)
	part := limit / shards
	if (x.settings.Index+int(server.Number%uint32(shards)))%shards < limit%shards {
		part++
	}
	return part
}

// choose returns a server of the instance's zone for a new flow: the table's
// choice if it may take work, else the next one in rendezvous order. A former
// record of the flow is removed.
func (x *transit) choose(former *record) (*view.Server, model.Reason) {
	if former != nil {
		x.drop(former)
	}
	g := x.service.history.Current()
	if g == nil {
		return nil, model.ReasonNone
	}
	var zone *table.ZoneTable
	for i := range g.Zones {
		if g.Zones[i].Zone == x.view.Self.Zone {
			zone = &g.Zones[i]
		}
	}
	if zone == nil {
		return nil, model.ReasonNone
	}
	number, _ := zone.Table.LookupNumber(x.m.Fingerprint)
	if s := x.view.ByNumber[view.ServerRef{Service: x.service.id, Number: number}]; s != nil && x.mayTake(s, false) {
		return s, model.ReasonTableChoice
	}
	var best *view.Server
	bestScore := -1.0
	for i, number := range zone.Table.Numbers {
		s := x.view.ByNumber[view.ServerRef{Service: x.service.id, Number: number}]
		if s == nil || !x.mayTake(s, false) {
			continue
		}
		if score := zone.Table.Score(x.m.Fingerprint, i); score > bestScore {
			best, bestScore = s, score
		}
	}
	return best, model.ReasonAlternative
}
