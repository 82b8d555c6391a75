package flow

import (
	"net/netip"

	"github.com/savorytiller/savorytiller/internal/core/model"
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

// Decision is the result of a message: what happens to its packet, what is
// told to another instance, and what was observed.
type Decision struct {
	Verb   Verb
	Reason model.Reason
	// To is the server's or the instance's flow address.
	To      netip.AddrPort
	Service model.ServiceID
	// Out holds the fields of a forwarded packet: Kind, Sender, Hops, Attempt,
	// Server.
	Out Message

	// Tell is set if a hint or record is sent to TellTo.
	Tell   bool
	TellTo netip.AddrPort
	Note   Message

	// Observed is what the packet shows about its server; ObservedNone if nothing.
	Observed Observation
	// Broken is the reason if a known flow ended because its server or
	// availability zone is gone, else ReasonNone.
	Broken model.Reason
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
