package flow

import (
	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/core/table"
	"github.com/savorytiller/savorytiller/internal/core/view"
)

// placeHere chooses a server of this zone for a new flow. If the table's choice
// takes flows from its home instance only, that one is asked first.
func (x *transit) placeHere(former *record, askHome bool) {
	zone, choice := x.tableChoice()
	if home := x.homeOf(choice); askHome && home != nil {
		if former != nil {
			x.drop(former)
		}
		x.d.forward(home.FlowAddress, x.service.id, model.ReasonServerCold,
			Envelope{Kind: KindPlace, Hops: 1, Attempt: firstPlace})
		return
	}
	server, reason := x.choose(former, zone, choice)
	if server == nil {
		x.placeElsewhere(firstPlace + 1)
		return
	}
	x.start(server, reason)
}

// placeNext goes on after another instance could not place the flow.
func (x *transit) placeNext(former *record) {
	if x.m.Attempt == firstPlace {
		x.placeHere(former, false)
		return
	}
	x.placeElsewhere(int(x.m.Attempt) + 1)
}

// placeElsewhere asks the next availability zone for a server.
func (x *transit) placeElsewhere(attempt int) {
	placer := x.route(x.service, x.now).placer(x.m.Fingerprint, attempt-firstPlace-1)
	if placer == nil || attempt > 255 {
		x.d.Reason = model.ReasonNoCapacity
		return
	}
	x.d.forward(placer.FlowAddress, x.service.id, model.ReasonOtherZone,
		Envelope{Kind: KindPlace, Hops: 1, Attempt: uint8(attempt)})
}

// place chooses a server of this zone for an owner that may not: it is in
// another zone, or the server takes flows from its home instance only. The copy
// counts against the server's connections.
func (x *transit) place(r *record) {
	var server *view.Server
	if r != nil && x.mayTake(x.server(r), true) {
		server = x.server(r)
	} else {
		zone, choice := x.tableChoice()
		server, _ = x.choose(r, zone, choice)
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
	reason := model.ReasonOtherZone
	if x.m.Attempt == firstPlace {
		reason = model.ReasonTableChoice
	}
	x.d.deliver(server, reason)
	x.d.tell(x.m.Sender, Envelope{Kind: KindFound, Attempt: x.m.Attempt, Server: server.Number})
}

// mayTake reports whether a server may get new work from this shard. A flow
// that is counted already needs no further connection.
func (x *transit) mayTake(server *view.Server, counted bool) bool {
	if !server.NewWork || server.Warmth == view.Failed {
		return false
	}
	ref := view.ServerRef{Service: server.Service, Number: server.Number}
	used := x.connections[ref] - x.carried(ref, server)
	if counted {
		used--
	}
	return used < x.share(server)
}

// carried returns the flows of a cold server that do not count against its
// allowance: those that it had when this instance began to open flows on it. A
// server that turned cold with more flows than the allowance would never get
// another one, and so never the successes that raise the allowance.
func (x *transit) carried(ref view.ServerRef, server *view.Server) int {
	if !server.FlowsHomeOnly {
		return 0
	}
	base, ok := x.cold[ref]
	if !ok && server.ConnectionLimit == 0 {
		return 0
	}
	if used := x.connections[ref]; !ok || base > used {
		base = used
		x.cold[ref] = base
	}
	return base
}

// forgetCold drops the counts of servers that are no longer cold, or have
// another home by now.
func (s *Shard) forgetCold(now model.Time) {
	for ref := range s.cold {
		server := s.view.ByNumber[ref]
		if server == nil || !server.FlowsHomeOnly || (route{view: s.view, now: now, members: s.view.Members}).home(server) != nil {
			delete(s.cold, ref)
		}
	}
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
func (x *transit) choose(former *record, zone *table.ZoneTable, choice *view.Server) (*view.Server, model.Reason) {
	if former != nil {
		x.drop(former)
	}
	if zone == nil {
		return nil, model.ReasonNone
	}
	if choice != nil && x.mayTake(choice, false) {
		return choice, model.ReasonTableChoice
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

// tableChoice returns the table of the instance's zone and its choice for the
// flow; nil if there is none.
func (x *transit) tableChoice() (*table.ZoneTable, *view.Server) {
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

// homeOf returns the instance that alone may open flows on a server, if it is
// another one.
func (x *transit) homeOf(server *view.Server) *model.Member {
	if server == nil || server.State != model.ServerActive || server.Warmth == view.Failed {
		return nil
	}
	return x.route(x.service, x.now).home(server)
}
