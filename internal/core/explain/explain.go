// Package explain shows operators why a flow goes to its backend server. It calls
// package flow itself, so the explanation cannot differ from the decision.
//
// The texts of the steps are sent to other instances as they are, so their wording
// must not change.
package explain

import (
	"fmt"
	"net/netip"

	"github.com/savorytiller/savorytiller/internal/core/flow"
	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/core/view"
)

// MaxSteps bounds the instances that decide about one packet. The packet passes
// at most flow.MaxHops instances on its way to the owner, which may then ask one
// instance in each availability zone to place the flow and gets an answer from
// each.
const MaxSteps = 64

// shardFlows is the flow limit of the shard that decides. A shard uses only a
// part of its records for copies of other instances' flows, so the limit must
// allow for several.
const shardFlows = 64

// Placement is the result of the configuration and the lookup tables for a flow,
// without the state of instances and servers.
type Placement struct {
	Fingerprint uint64
	// Zone is the availability zone of the flow, or empty if there is none.
	Zone model.Zone
	// TableChoice is the server that the lookup table selects, or empty.
	TableChoice model.ServerID
	// Steps explains the result, one sentence for each step.
	Steps []string
}

// PlaceFlow explains which zone and server the lookup tables of a view select for
// a flow.
func PlaceFlow(v *view.View, key model.FlowKey) Placement {
	p := Placement{Fingerprint: flow.Fingerprint(key)}
	if !v.Ready() {
		p.addStep("no release note is in force, nothing is sent")
		return p
	}
	service := v.Config.Service(key.Service)
	if service == nil {
		p.addStep("release note %d has no service with the number %d", v.Config.Version, key.Service)
		return p
	}
	generation := v.Tables[key.Service].Current()
	if generation == nil {
		p.addStep("service %s has no lookup table", service.Name)
		return p
	}
	p.addStep("release note %d: service %s has %d availability zones in service", generation.Version, service.Name,
		len(generation.Zones))
	zone := generation.Zone(p.Fingerprint)
	if zone == nil {
		return p
	}
	p.Zone = zone.Zone
	p.addStep("rendezvous hashing over the zones, weighted by their servers, gives %s", zone.Zone)
	choice := zone.Table.Lookup(p.Fingerprint)
	if choice == nil {
		p.addStep("%s has no server", zone.Zone)
		return p
	}
	p.TableChoice = choice.ID
	p.addStep("the lookup table of %s gives %s", zone.Zone, choice.ID)
	return p
}

func (p *Placement) addStep(format string, args ...any) {
	p.Steps = append(p.Steps, fmt.Sprintf(format, args...))
}

// Decision is what one instance does with the first packet of a flow.
type Decision struct {
	Reason model.Reason
	// Server gets the packet, or Next gets it and decides; both are empty if the
	// packet is dropped.
	Server model.ServerID
	Next   model.InstanceID
	// Forwarded is the message that Next gets.
	Forwarded flow.Message
	// Step explains the decision in one sentence.
	Step string
}

// FirstPacket returns the first packet of a flow as it arrives from the fabric.
func FirstPacket(key model.FlowKey) flow.Message {
	return flow.Message{Kind: flow.KindPacket, Key: key, Fingerprint: flow.Fingerprint(key), Flags: flow.FlagSYN}
}

// Decide returns what the view's instance does with the first packet of a flow of
// which it has no record; a known flow would keep its server. A view does not
// hold the number of connections in use, so servers are never at their connection
// limit here.
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
