package flow

import (
	"net/netip"
	"time"

	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/core/view"
)

// Verb says what to do with the packet of a message.
type Verb uint8

const (
	// Drop ends the packet.
	Drop Verb = iota
	// Deliver sends the packet to a backend server with the service's VNI.
	Deliver
	// Forward sends the packet to another instance.
	Forward
)

// Envelope holds what a message to another instance carries beside its packet.
type Envelope struct {
	Kind          Kind
	Hops, Attempt uint8
	Server        uint32
	Validity      time.Duration
	// Sender is the instance that gets the answer; if it is not set, the one
	// that sends the message.
	Sender netip.AddrPort
}

// Decision is the result of a message: what happens to its packet, what is
// told to another instance, and what was observed.
type Decision struct {
	Verb   Verb
	Reason model.Reason
	// To is the server's or the instance's flow address.
	To      netip.AddrPort
	Service model.ServiceID
	// Out goes with a forwarded packet. It is not set for the other verbs.
	Out Envelope

	// Tell is set if a hint or record (Note) is sent to TellTo.
	Tell   bool
	TellTo netip.AddrPort
	Note   Envelope

	// Observed is what the packet shows about its server.
	Observed Observation
	// Ended is the reason if a known flow ended because its server or its
	// availability zone is gone, else ReasonNone.
	Ended model.Reason
}

func (d *Decision) reset() {
	d.Verb, d.Reason, d.Tell, d.Ended = Drop, model.ReasonNone, false, model.ReasonNone
	d.Observed.Kind = ObservedNone
}

func (d *Decision) deliver(server *view.Server, reason model.Reason) {
	d.Verb, d.Reason, d.To, d.Service = Deliver, reason, server.FlowAddress, server.Service
}

func (d *Decision) forward(to netip.AddrPort, service model.ServiceID, reason model.Reason, out Envelope) {
	d.Verb, d.Reason, d.To, d.Service, d.Out = Forward, reason, to, service, out
}

func (d *Decision) tell(to netip.AddrPort, note Envelope) {
	d.Tell, d.TellTo, d.Note = true, to, note
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
	// ObservedRepeatedSYN means that the caller sent its SYN again without
	// having had an answer.
	ObservedRepeatedSYN
)

// Observation is what one flow shows about a backend server.
type Observation struct {
	Kind   ObservationKind
	Server model.ServerID
	// Repeats counts the repetitions of a SYN.
	Repeats uint8
}

// Record is a flow as instances hand it to each other.
type Record struct {
	Fingerprint uint64
	Service     model.ServiceID
	Server      uint32
	// Age is the age of the flow in units of AgeUnit, at most MaxAge.
	Age uint8
	// Void is set if the flow ended and the receiver's copy is to be removed.
	Void bool
}

// AgeUnit is the unit of Record.Age: 2^37 ns, 137 s. MaxAge stands for all ages
// over 4.8 hours.
const (
	AgeUnit time.Duration = 1 << 37
	MaxAge                = 127
)

// Batch is a set of records for one instance.
type Batch struct {
	To      model.Member
	Records []Record
}

// Ended is a flow that was removed. Only ReasonIdle is a normal end.
type Ended struct {
	Fingerprint uint64
	Service     model.ServiceID
	Server      uint32
	Reason      model.Reason
}

// Output collects what a Tick asks for. The caller may reuse it.
type Output struct {
	Batches []Batch
	Ended   []Ended
	// Silent holds flows without packets from the caller for SilentAfter.
	Silent []Ended
}
