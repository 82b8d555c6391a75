package app

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"github.com/savorytiller/savorytiller/internal/adapter/admin"
	"github.com/savorytiller/savorytiller/internal/core/explain"
	"github.com/savorytiller/savorytiller/internal/core/flow"
	"github.com/savorytiller/savorytiller/internal/core/model"
)

// methodExplain is the method that returns what the called instance would do with a
// packet.
const methodExplain = "flow.explain"

// explainTimeout bounds one call of methodExplain.
const explainTimeout = time.Second

// explainParams describes a packet as it arrives at the called instance.
type explainParams struct {
	Service     model.ServiceID `json:"service"`
	Protocol    uint8           `json:"protocol"`
	Source      netip.AddrPort  `json:"source"`
	Destination netip.AddrPort  `json:"destination"`
	Kind        flow.Kind       `json:"kind"`
	Sender      netip.AddrPort  `json:"sender"`
	Hops        uint8           `json:"hops"`
	Attempt     uint8           `json:"attempt"`
	Server      uint32          `json:"server"`
}

func newExplainParams(m *flow.Message) explainParams {
	return explainParams{Service: m.Service, Protocol: m.Key.Protocol, Source: m.Key.Source, Destination: m.Key.Destination,
		Kind: m.Kind, Sender: m.Sender, Hops: m.Hops, Attempt: m.Attempt, Server: m.Server}
}

func (p *explainParams) message() flow.Message {
	m := explain.FirstPacket(model.FlowKey{Protocol: p.Protocol, Source: p.Source, Destination: p.Destination})
	m.Kind, m.Service, m.Sender, m.Hops, m.Attempt, m.Server = p.Kind, p.Service, p.Sender, p.Hops, p.Attempt, p.Server
	return m
}

// explainResult is what the called instance would do with the packet.
type explainResult struct {
	Reason    model.Reason     `json:"reason"`
	Server    model.ServerID   `json:"server,omitempty"`
	Next      model.InstanceID `json:"next,omitempty"`
	Forwarded explainParams    `json:"forwarded"`
	Step      string           `json:"step"`
}

// decide returns what this instance would do with a packet.
func (i *Instance) decide(p *explainParams) explainResult {
	d := explain.Decide(i.control.View(), i.clock.Now(), p.message())
	return explainResult{d.Reason, d.Server, d.Next, newExplainParams(&d.Forwarded), d.Step}
}

// handleExplain handles calls of methodExplain. It is a port.PeerHandler.
func (i *Instance) handleExplain(_ context.Context, _ model.InstanceID, decode func(any) error) (any, error) {
	var p explainParams
	if err := decode(&p); err != nil {
		return nil, err
	}
	return i.decide(&p), nil
}

// explain returns where a new flow would be sent. It follows the flow's first packet
// from instance to instance and asks each one for its decision.
func (i *Instance) explain(ctx context.Context, key model.FlowKey) admin.Flow {
	v := i.control.View()
	placed := explain.PlaceFlow(v, key)
	out := admin.Flow{Source: key.Source.String(), Destination: key.Destination.String(),
		Fingerprint: fmt.Sprintf("%016x", placed.Fingerprint), Zone: string(placed.Zone),
		TableChoice: string(placed.TableChoice), Steps: placed.Steps}
	first := explain.FirstPacket(key)
	packet := newExplainParams(&first)
	self := i.settings.Instance.ID
	out.Owner = string(self)
	decision := i.decide(&packet)
	for range explain.MaxSteps {
		out.Steps = append(out.Steps, decision.Step)
		out.Reason, out.Server = decision.Reason.String(), string(decision.Server)
		if decision.Next == "" {
			return out
		}
		if decision.Reason == model.ReasonRelayToOwner {
			out.Owner = string(decision.Next)
		}
		packet = decision.Forwarded
		if decision.Next == self {
			decision = i.decide(&packet)
			continue
		}
		var err error
		if decision, err = i.callExplain(ctx, decision.Next, &packet); err != nil {
			out.Reason = model.ReasonPeerUnreachable.String()
			out.Steps = append(out.Steps, fmt.Sprintf("%s did not answer the request for its decision", decision.Next))
			return out
		}
	}
	return out
}

// callExplain returns the decision of another instance. With an error, the result holds
// only the instance that did not answer, in Next.
func (i *Instance) callExplain(ctx context.Context, id model.InstanceID, p *explainParams) (explainResult, error) {
	result := explainResult{Next: id}
	peer, ok := i.control.View().Members.Get(id)
	if !ok {
		return result, ErrNoMember
	}
	ctx, cancel := context.WithTimeout(ctx, explainTimeout)
	defer cancel()
	var answer explainResult
	if err := i.peers.Call(ctx, *peer, methodExplain, p, &answer); err != nil {
		return result, err
	}
	return answer, nil
}
