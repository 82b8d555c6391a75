// Package flow decides where each packet of a flow goes. It holds the flow
// table shard, the choice of the backend server, relays, lookups, hints and the
// replication of exceptions. It is driven by typed events (Message, Tick) and
// returns typed actions; sockets and encoding are elsewhere.
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
	// KindRelay passes a packet on to the owner of its flow.
	KindRelay
	// KindLookup passes a packet on to an instance that may know its flow.
	KindLookup
	// KindPlace passes the first packet of a flow on to an instance in another
	// availability zone, which may choose one of its zone's servers.
	KindPlace
	// KindNotKnown returns a packet to the instance that looked its flow up or
	// had it placed.
	KindNotKnown
	// KindHint tells an instance the server of a flow that it often relays.
	KindHint
	// KindFound tells the instance that looked a flow up its server.
	KindFound
	// KindEstablished tells the home of a cold server that a flow which it
	// placed for another owner is established.
	KindEstablished
	// KindClosed tells the home of a cold server that such a flow was closed.
	KindClosed
	kindCount
)

// Valid reports whether the kind is defined.
func (k Kind) Valid() bool { return k < kindCount }

// CarriesPacket reports whether messages of the kind hold an inner packet.
func (k Kind) CarriesPacket() bool { return k <= KindNotKnown }

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
	// Service is the VNI; 0 on packets from the fabric.
	Service model.ServiceID
	// Key is the flow of the inner packet. Key.Service is not set.
	Key model.FlowKey
	// Fingerprint identifies the flow (see Fingerprint).
	Fingerprint uint64
	// Flags and Ack are the TCP flags and the acknowledgement number.
	Flags uint8
	Ack   uint32

	// Fields of relays, lookups, hints and records.

	// Sender is the flow address of the instance that sent the message.
	Sender netip.AddrPort
	// Sequence grows with each message of a sender.
	Sequence uint64
	// Hops counts the instances that passed the packet on.
	Hops uint8
	// Attempt numbers the lookups of one packet; from firstPlace on it numbers
	// the instances that were asked to place it.
	Attempt uint8
	// Server is the number of the flow's server, or 0. On a relay it is what
	// the sender last knew.
	Server uint32
	// Validity is how long a hint or record may be used.
	Validity time.Duration

	// Inner is the inner IPv4 packet. The core does not read it.
	Inner []byte
}

// Fingerprint returns the 64-bit identifier of a flow. It leaves out the
// service: packets from the fabric do not name it, and a virtual address
// belongs to one service. Records hold the service beside the fingerprint.
func Fingerprint(k model.FlowKey) uint64 {
	k.Service = 0
	return placement.HashFlow(k)
}
