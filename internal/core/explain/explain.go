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

// maxSteps bounds the decisions that are followed. A packet passes at most
// flow.MaxHops instances on its way to the owner, which may then ask each
// availability zone once for a place.
const maxSteps = 64

// Flow is where the first packet of a flow goes with a view.
type Flow struct {
	Fingerprint uint64
	Zone        model.Zone
	// Owner is the instance that decides about the flow.
	Owner model.InstanceID
	// Path lists the instances that the packet passes, this one first.
	Path []model.InstanceID
	// TableChoice is the server that the lookup table names.
	TableChoice model.ServerID
	// Server gets the flow; empty if none does, for Reason.
	Server model.ServerID
	Reason model.Reason
	Steps  []string
}

// NewFlow returns where the first packet of a flow goes that no instance knows
// yet. A known flow keeps its server. What other instances decide is taken from
// this instance's view; the connections that are in use are not part of it.
func NewFlow(v *view.View, now model.Time, key model.FlowKey) Flow {
	e := Flow{Fingerprint: flow.Fingerprint(key)}
	if !v.Ready() {
		e.Reason = model.ReasonNoConfiguration
		e.step("no release note is in force, nothing is sent")
		return e
	}
	e.placement(v, key)
	e.follow(v, now, key)
	return e
}

// placement explains what follows from the configuration alone.
func (e *Flow) placement(v *view.View, key model.FlowKey) {
	service := v.Config.Service(key.Service)
	if service == nil {
		e.step("release note %d has no service with the number %d", v.Config.Version, key.Service)
		return
	}
	generation := v.Tables[key.Service].Current()
	if generation == nil {
		e.step("service %s has no lookup table", service.Name)
		return
	}
	e.step("release note %d: service %s has %d availability zones in service", generation.Version, service.Name,
		len(generation.Zones))
	zone := generation.Zone(e.Fingerprint)
	if zone == nil {
		return
	}
	e.Zone = zone.Zone
	e.step("rendezvous hashing over the zones, weighted by their servers, gives %s", zone.Zone)
	choice := zone.Table.Lookup(e.Fingerprint)
	if choice == nil {
		e.step("the lookup table of %s is empty", zone.Zone)
		return
	}
	e.TableChoice = choice.ID
	switch server := v.Servers[choice.ID]; {
	case server == nil:
		e.step("the lookup table gives %s, which is out of service", choice.ID)
	case server.NewWork:
		e.step("the lookup table gives %s, which is %s and takes new work from this instance", choice.ID, server.Warmth)
	default:
		e.step("the lookup table gives %s, which is %s and takes no new work from this instance: %s", choice.ID,
			server.Warmth, server.Reason)
	}
}

// follow runs the decisions of the instances that the packet passes.
func (e *Flow) follow(v *view.View, now model.Time, key model.FlowKey) {
	m := flow.Message{Kind: flow.KindPacket, Key: key, Fingerprint: e.Fingerprint, Flags: flow.FlagSYN}
	at := v.Self
	e.Owner = at.ID
	for range maxSteps {
		e.Path = append(e.Path, at.ID)
		instead := *v
		instead.Self = at
		var d flow.Decision
		flow.NewShard(flow.DefaultSettings(1, 1)).Packet(&instead, now, &m, &d)
		e.Reason = d.Reason
		switch d.Verb {
		case flow.Deliver:
			e.Server = serverAt(v, d.Service, d.To)
			e.step("%s sends the packet to %s: %s", at.ID, e.Server, d.Reason)
			return
		case flow.Drop:
			e.step("%s drops the packet: %s", at.ID, d.Reason)
			return
		}
		next, ok := memberAt(v, d.To)
		if !ok {
			e.step("%s passes the packet on to %s, which is no member: %s", at.ID, d.To, d.Reason)
			return
		}
		e.step("%s passes the packet on to %s: %s", at.ID, next.ID, d.Reason)
		if d.Reason == model.ReasonRelayToOwner {
			e.Owner = next.ID
		}
		m.Kind, m.Service, m.Sender = d.Out.Kind, d.Service, at.FlowAddress
		m.Hops, m.Attempt, m.Server = d.Out.Hops, d.Out.Attempt, d.Out.Server
		at = next
	}
}

func serverAt(v *view.View, service model.ServiceID, address netip.AddrPort) model.ServerID {
	for id, server := range v.Servers {
		if server.Service == service && server.FlowAddress == address {
			return id
		}
	}
	return ""
}

func memberAt(v *view.View, address netip.AddrPort) (model.Member, bool) {
	for _, m := range v.Members.All() {
		if m.FlowAddress == address {
			return m, true
		}
	}
	return model.Member{}, false
}

func (e *Flow) step(format string, args ...any) {
	e.Steps = append(e.Steps, fmt.Sprintf(format, args...))
}
