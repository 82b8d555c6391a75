package flow

import (
	"net/netip"
	"time"

	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/core/view"
)

// Action is what happens to the packet of a message.
type Action uint8

const (
	// Drop discards the packet.
	Drop Action = iota
	// Deliver sends the packet to a backend server with the service's VNI.
	Deliver
	// Forward sends the packet to another instance.
	Forward
)

// MessageHeader holds the fields of a message to another instance apart from its
// packet.
type MessageHeader struct {
	Kind          Kind
	Hops, Attempt uint8
	Server        uint32
	Validity      time.Duration
	// Sender is the flow address to which the receiver replies. If it is not set,
	// it is the address of the instance that sends the message.
	Sender netip.AddrPort
}

// Decision is the result of handling a message: what happens to its packet, which
// notification is sent to another instance, and what was observed. A Decision may
// be reused: the fields that Action and Notify do not call for can then hold values
// of an earlier message.
type Decision struct {
	Action Action
	Reason model.Reason
	// To is the flow address of the server or instance that gets the packet.
	To      netip.AddrPort
	Service model.ServiceID
	// ForwardHeader is the header of a forwarded packet. It is valid only if
	// Action is Forward.
	ForwardHeader MessageHeader

	// Notify is set if a message without a packet, with the header NotifyHeader,
	// is sent to NotifyTo.
	Notify       bool
	NotifyTo     netip.AddrPort
	NotifyHeader MessageHeader

	// Observed is what the packet shows about its server.
	Observed Observation
	// EndReason is why a known flow ended because its server or its availability
	// zone is gone, else ReasonNone.
	EndReason model.Reason
}

func (d *Decision) reset() {
	d.Action, d.Reason, d.Notify, d.EndReason = Drop, model.ReasonNone, false, model.ReasonNone
	d.Observed.Kind = ObservedNone
}

func (d *Decision) deliver(server *view.Server, reason model.Reason) {
	d.Action, d.Reason, d.To, d.Service = Deliver, reason, server.FlowAddress, server.Service
}

func (d *Decision) forward(to netip.AddrPort, service model.ServiceID, reason model.Reason, header MessageHeader) {
	d.Action, d.Reason, d.To, d.Service, d.ForwardHeader = Forward, reason, to, service, header
}

func (d *Decision) notify(to netip.AddrPort, header MessageHeader) {
	d.Notify, d.NotifyTo, d.NotifyHeader = true, to, header
}

// ObservationKind is what a flow shows about a backend server.
type ObservationKind uint8

const (
	// ObservedNone means that there is no observation.
	ObservedNone ObservationKind = iota
	// ObservedEstablished means that the caller acknowledged the server's SYN.
	ObservedEstablished
	// ObservedProgress means that the caller acknowledged data of the server.
	ObservedProgress
	// ObservedSYNRetransmission means that the caller sent its SYN again because
	// it got no answer.
	ObservedSYNRetransmission
)

// Observation is what one flow shows about a backend server.
type Observation struct {
	Kind   ObservationKind
	Server model.ServerID
	// Retransmissions counts the retransmissions of a SYN.
	Retransmissions uint8
}

// Record is a flow as instances replicate it to each other.
type Record struct {
	Fingerprint uint64
	Service     model.ServiceID
	Server      uint32 // number of the server (placement.ServerNumber)
	// Age is the age of the flow in units of AgeUnit, at most MaxAge.
	Age uint8
	// Deleted is set if the flow ended and the receiver must delete its copy.
	Deleted bool
}

// AgeUnit is the unit of Record.Age: 2^37 ns (137 s). MaxAge stands for all ages
// above 4.8 hours.
const (
	AgeUnit time.Duration = 1 << 37
	MaxAge                = 127
)

// Batch is a set of records for one instance.
type Batch struct {
	To      model.Member
	Records []Record
}

// FlowEvent is a flow that was removed or became silent. ReasonIdle is the only
// normal reason for a removal.
type FlowEvent struct {
	Fingerprint uint64
	Service     model.ServiceID
	Server      uint32
	Reason      model.Reason
}

// Output collects the results of a Tick. The caller may reuse it.
type Output struct {
	Batches []Batch
	// Ended holds the flows that this instance owned and has removed.
	Ended []FlowEvent
	// Silent holds flows whose caller has sent no packets for SilentAfter.
	Silent []FlowEvent
}
