// Package explain tells operators why a flow goes to its backend server. The
// answer comes from core/flow itself, so it cannot differ from the decision.
package explain

import (
	"fmt"
	"net/netip"

	"github.com/savorytiller/savorytiller/internal/core/flow"
	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/core/view"
)

// MaxSteps bounds the instances that decide about one packet. It passes at most
// flow.MaxHops instances on its way to the owner, which may then ask each
// availability zone once for a place and gets an answer from each.
const MaxSteps = 64

// shardFlows is the size of the shard that decides. A shard gives copies of other
// instances' flows only a part of its records, so it must have room for several.
const shardFlows = 64

// Placement is what follows for a flow from the configuration alone.
type Placement struct {
	Fingerprint uint64
	Zone        model.Zone
	// TableChoice is the server that the lookup table names.
	TableChoice model.ServerID
	Steps       []string
}

// Place explains the placement of a flow under a view.
func Place(v *view.View, key model.FlowKey) Placement {
	p := Placement{Fingerprint: flow.Fingerprint(key)}
	if !v.Ready() {
		p.step("no release note is in force, nothing is sent")
		return p
	}
	service := v.Config.Service(key.Service)
	if service == nil {
		p.step("release note %d has no service with the number %d", v.Config.Version, key.Service)
		return p
	}
	generation := v.Tables[key.Service].Current()
	if generation == nil {
		p.step("service %s has no lookup table", service.Name)
		return p
	}
	p.step("release note %d: service %s has %d availability zones in service", generation.Version, service.Name,
		len(generation.Zones))
	zone := generation.Zone(p.Fingerprint)
	if zone == nil {
		return p
	}
	p.Zone = zone.Zone
	p.step("rendezvous hashing over the zones, weighted by their servers, gives %s", zone.Zone)
	choice := zone.Table.Lookup(p.Fingerprint)
	if choice == nil {
		p.step("%s has no server", zone.Zone)
		return p
	}
	p.TableChoice = choice.ID
	p.step("the lookup table of %s gives %s", zone.Zone, choice.ID)
	return p
}

func (p *Placement) step(format string, args ...any) {
	p.Steps = append(p.Steps, fmt.Sprintf(format, args...))
}

// Decision is what one instance does with the first packet of a flow.
type Decision struct {
	Reason model.Reason
	// Server gets the packet, or Next decides; both are empty if it is dropped.
	Server model.ServerID
	Next   model.InstanceID
	// Forwarded is the message that Next gets.
	Forwarded flow.Message
	Step      string
}

// First returns the first packet of a flow as it comes from the fabric.
func First(key model.FlowKey) flow.Message {
	return flow.Message{Kind: flow.KindPacket, Key: key, Fingerprint: flow.Fingerprint(key), Flags: flow.FlagSYN}
}

// Decide returns what the instance of the view does with the first packet of a
// flow that it does not know. A known flow keeps its server. The connections in
// use are not part of a view, so a server at its limit is not seen.
func Decide(v *view.View, now model.Time, m flow.Message) Decision {
	var d flow.Decision
	flow.NewShard(flow.DefaultSettings(1, shardFlows)).HandlePacket(v, now, &m, &d)
	out := Decision{Reason: d.Reason}
	if v == nil {
		out.Step = "the instance has no view yet"
		return out
	}
	self := v.Self.ID
	switch d.Action {
	case flow.Deliver:
		server := serverAt(v, d.Service, d.To)
		out.Server = server.ID
		out.Step = fmt.Sprintf("%s sends the packet to %s, which is %s: %s", self, server.ID, server.Warmth, d.Reason)
	case flow.Forward:
		out.Step = fmt.Sprintf("%s passes the packet on to %s, which is no member: %s", self, d.To, d.Reason)
		if next, ok := memberAt(v, d.To); ok {
			out.Next = next
			out.Step = fmt.Sprintf("%s passes the packet on to %s: %s", self, next, d.Reason)
		}
		m.Kind, m.Service, m.Sender = d.ForwardHeader.Kind, d.Service, v.Self.FlowAddress
		m.Hops, m.Attempt, m.Server = d.ForwardHeader.Hops, d.ForwardHeader.Attempt, d.ForwardHeader.Server
		out.Forwarded = m
	default:
		out.Step = fmt.Sprintf("%s drops the packet: %s", self, d.Reason)
	}
	return out
}

func serverAt(v *view.View, service model.ServiceID, address netip.AddrPort) view.Server {
	for _, server := range v.Servers {
		if server.Service == service && server.FlowAddress == address {
			return *server
		}
	}
	return view.Server{}
}

func memberAt(v *view.View, address netip.AddrPort) (model.InstanceID, bool) {
	for _, m := range v.Members.All() {
		if m.FlowAddress == address {
			return m.ID, true
		}
	}
	return "", false
}
