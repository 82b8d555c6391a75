// Package flow decides where each packet of a flow goes. It implements a shard of
// the flow table, the choice of the backend server, relays and lookups between
// instances, and the replication of exceptions: flows whose server cannot be
// computed from the lookup tables. It takes typed events (Message, Tick) and
// returns typed results (Decision, Output); sockets and message encoding are in
// other packages.
//
// The fabric, the network between the callers and the instances, can deliver each
// packet of a flow to another instance. The owner of a flow is the instance that
// rendezvous hashing selects (resolver.owner): it chooses the flow's server and
// keeps the flow's record. Other instances relay packets to it, unless it has sent
// them a hint.
package flow

import (
	"net/netip"
	"time"

	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/core/placement"
)

// Kind is the kind of a data plane message.
type Kind uint8

// Kinds of messages. The values are used on the wire.
const (
	// KindPacket is a packet from the fabric, or one to a backend server.
	KindPacket Kind = iota
	// KindRelay forwards a packet to the owner of its flow.
	KindRelay
	// KindLookup forwards a packet to an instance that may have a record of its
	// flow.
	KindLookup
	// KindPlacement forwards the first packet of a flow to an instance that may
	// place the flow on a server on which the owner may not: one of another
	// availability zone, or a cold one whose home is the receiver.
	KindPlacement
	// KindNotFound returns a packet to the instance that sent the lookup or
	// placement.
	KindNotFound
	// KindHint names the server of a flow to an instance that often relays the
	// flow's packets.
	KindHint
	// KindFound answers a lookup or placement with the server of the flow.
	KindFound
	// KindEstablished reports to the home of a cold server that a flow which the
	// home placed for the sender is established.
	KindEstablished
	// KindClosed reports to the home of a cold server that such a flow was closed.
	KindClosed
	kindCount
)

// Valid reports whether the kind is defined.
func (k Kind) Valid() bool { return k < kindCount }

// CarriesPacket reports whether messages of the kind hold an inner packet.
func (k Kind) CarriesPacket() bool { return k <= KindNotFound }

// TCP flags of a packet.
const (
	FlagFIN uint8 = 1 << iota
	FlagSYN
	FlagRST
	FlagACK
)

// IP protocol numbers that flows may have.
const (
	ProtocolTCP uint8 = 6
	ProtocolUDP uint8 = 17
)

// Message is a decoded message of the data plane.
type Message struct {
	Kind Kind
	// Service is the Geneve VNI; 0 on packets from the fabric.
	Service model.ServiceID
	// Key is the flow of the inner packet. Key.Service is not set.
	Key model.FlowKey
	// Fingerprint identifies the flow (see the function Fingerprint).
	Fingerprint uint64
	// Flags and Ack are the TCP flags and the acknowledgement number.
	Flags uint8
	Ack   uint32

	// Fields of messages between instances.

	// Sender is the flow address of the instance that sent the message.
	Sender netip.AddrPort
	// Sequence increases with each message of a sender.
	Sequence uint64
	// Hops counts the instances that forwarded the packet. Lookups, placements
	// and their answers start again at 1.
	Hops uint8
	// Attempt numbers the lookups of one packet from 0 and its placements from
	// firstPlacementAttempt.
	Attempt uint8
	// Server is the number of the flow's server (placement.ServerNumber), or 0.
	// On a relay it is the flow's server according to the sender, for an owner
	// without a record.
	Server uint32
	// Validity is how long a hint may be used.
	Validity time.Duration

	// Inner is the inner IPv4 packet. This package does not read it.
	Inner []byte
}

// Fingerprint returns the 64-bit identifier of a flow. It does not cover the
// service, because packets from the fabric do not name it and a virtual address
// belongs to one service only. Records hold the service in addition to the
// fingerprint.
func Fingerprint(k model.FlowKey) uint64 {
	k.Service = 0
	return placement.HashFlow(k)
}
