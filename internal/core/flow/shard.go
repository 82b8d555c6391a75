package flow

import (
	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/core/view"
)

// MaxHops bounds the instances that pass a packet on.
const MaxHops = 3

// Settings are the limits of one shard.
type Settings struct {
	// MaxFlows bounds the records of the shard.
	MaxFlows int
}

// Shard decides about the flows whose fingerprint selects it. It has one owner
// and no locks.
type Shard struct {
	settings Settings
	servers  map[uint64]uint32
}

// NewShard returns an empty shard.
func NewShard(s Settings) *Shard {
	return &Shard{settings: s, servers: map[uint64]uint32{}}
}

// Len returns the number of records.
func (s *Shard) Len() int { return len(s.servers) }

// Packet decides about a message that carries a packet.
func (s *Shard) Packet(v *view.View, now model.Time, m *Message, d *Decision) {
	*d = Decision{}
	switch {
	case !v.Fresh(now):
		d.Reason = model.ReasonStaleView
		return
	case !v.Ready():
		d.Reason = model.ReasonNoConfiguration
		return
	case m.Hops > MaxHops:
		d.Reason = model.ReasonTooManyHops
		return
	}
	service := serviceAt(v, m)
	if service == nil {
		d.Reason = model.ReasonUnknownService
		return
	}
	if number, ok := s.servers[m.Fingerprint]; ok {
		if server := v.ByNumber[view.ServerRef{Service: service.ID, Number: number}]; server != nil {
			d.deliver(server, model.ReasonKnownFlow)
			return
		}
		delete(s.servers, m.Fingerprint)
	}
	generation := v.Tables[service.ID].Current()
	if generation == nil {
		d.Reason = model.ReasonNoCapacity
		return
	}
	zone := generation.Zone(m.Fingerprint)
	if zone == nil {
		d.Reason = model.ReasonNoCapacity
		return
	}
	owner := v.Members.Owner(zone.Zone, m.Fingerprint)
	if owner != nil && owner.ID != v.Self.ID && m.Hops < MaxHops && m.Sender != owner.FlowAddress {
		d.Verb, d.Reason, d.To, d.Service = Forward, model.ReasonRelayToOwner, owner.FlowAddress, service.ID
		d.Out = Message{Kind: KindRelay, Service: service.ID, Sender: v.Self.FlowAddress, Hops: m.Hops + 1}
		return
	}
	choice := zone.Table.Lookup(m.Fingerprint)
	if choice == nil || v.Servers[choice.ID] == nil {
		d.Reason = model.ReasonNoCapacity
		return
	}
	if len(s.servers) >= s.settings.MaxFlows {
		d.Reason = model.ReasonTableFull
		return
	}
	server := v.Servers[choice.ID]
	s.servers[m.Fingerprint] = server.Number
	d.deliver(server, model.ReasonTableChoice)
}

func (d *Decision) deliver(server *view.Server, reason model.Reason) {
	d.Verb, d.Reason, d.To, d.Service = Deliver, reason, server.FlowAddress, server.Service
}

func serviceAt(v *view.View, m *Message) *model.Service {
	for i := range v.Config.Services {
		if v.Config.Services[i].VirtualAddress == m.Key.Destination {
			return &v.Config.Services[i]
		}
	}
	return nil
}
