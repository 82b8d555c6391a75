// Package peer defines the messages between instances that forward flows by tokens, and
// the log of registry changes from which an instance updates others.
package peer

import (
	"net/netip"
	"time"

	"github.com/savorytiller/savorytiller/internal/core/catalog"
	"github.com/savorytiller/savorytiller/internal/core/member"
	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/core/room"
	"github.com/savorytiller/savorytiller/internal/core/steering"
)

// Kind is the purpose of a message. Every message also carries membership updates and the
// revision of the sender's catalog.
type Kind uint8

const (
	// Probe requests an Answer with the same CallID.
	Probe Kind = iota + 1
	// Answer is the response to a Probe, or to an IndirectProbe whose target responded.
	Answer
	// IndirectProbe requests that the receiver probe Target.
	IndirectProbe
	// Gossip carries what every message carries, and UnreachableServers, RecoveredServers and
	// EndedServers if there are any to report.
	Gossip
	// Changes carries entries.
	Changes
	// Pull requests the changes after AfterRevision.
	Pull
	// Lookup asks which servers have Tokens. LookupAnswer carries the unlisted servers among
	// them as Entries, and as Tokens those whose server has ended.
	Lookup
	LookupAnswer
	// Load carries a part of a load report. It has neither updates nor a position, which keeps it
	// small.
	Load
	// Doubt carries EndedServers of which it is not certain that they have ended. What answers may
	// be a later run that is cold.
	Doubt
	kindEnd
)

// Valid reports whether the kind is known.
func (k Kind) Valid() bool { return k >= Probe && k < kindEnd }

// Scope is the set of instances whose load a report includes.
type Scope uint8

const (
	// SubtreeScope is an instance and those below it in the tree of its zone. Its reports go to its
	// parent.
	SubtreeScope Scope = iota
	// ZoneScope is a zone. Its reports go from its relay to the relays of the other zones.
	ZoneScope
	// FleetScope is all zones. Its reports go from the relay of each zone down the tree.
	FleetScope
	scopeEnd
)

// Valid reports whether the scope is known.
func (s Scope) Valid() bool { return s < scopeEnd }

// LoadReport is a load report or a part of one. It is not changed once it was sent.
type LoadReport struct {
	Scope Scope
	// Origin made the report. It differs from the sender of the message if that forwards it.
	Origin room.Sender
	Report *room.Report
}

// Message is what one instance sends to another in one datagram.
type Message struct {
	Kind Kind
	// CallID matches an Answer to its request, and the parts of Changes to each other.
	CallID  uint32
	From    model.Member
	Updates []member.Update
	// Join is set in probes to seeds, the configured addresses through which an instance
	// finds the others, and in the Gossip messages with members that the receiver sends
	// after its answer.
	Join bool
	// Target is the address to probe in an IndirectProbe.
	Target netip.AddrPort

	// Revision is the registry revision up to which the sender's catalog is complete; 0 if
	// it is empty. Epoch is the epoch of all revisions in the message.
	Epoch, Revision uint64
	// Confirmed is set if the sender's catalog was confirmed to be up to date with the
	// registry, most recently Age before this message.
	Confirmed bool
	Age       time.Duration

	// UnreachableServers are servers that the sender's probes did not reach. The receiver
	// probes them itself.
	UnreachableServers []catalog.ServerRun

	// RecoveredServers are servers that were unreachable and answer again. A receiver that could
	// not reach one of them probes it itself.
	RecoveredServers []catalog.ServerRun

	// EndedServers are runs of servers whose end the sender or another instance saw. With Join they are
	// for an instance that has just started.
	EndedServers []catalog.ServerRun

	// CutOff is set if the sender no longer gets messages from instances of other zones.
	CutOff bool

	// AfterRevision is set in Changes and Pull, Entries in Changes. The entries update a
	// catalog from AfterRevision to Revision; AfterRevision 0 means a complete listing.
	AfterRevision uint64
	Entries       []catalog.Entry
	// Compacted is set if the entries lack keys that were added and removed between
	// AfterRevision and Revision. They are valid only for a catalog at exactly
	// AfterRevision.
	Compacted bool
	// Tokens is set in Lookup and LookupAnswer.
	Tokens []steering.Token
	// Parts is the number of messages that carry the entries, and Part the index of this
	// one.
	Part, Parts int
	// Load is set in Load, whose Part and Parts count the parts of the report.
	Load *LoadReport
}

// Position returns how far the sender's catalog goes.
func (m *Message) Position() catalog.Position {
	return catalog.Position{Epoch: m.Epoch, Revision: m.Revision}
}

// maxMessageBytes is the size up to which entries are packed into one message. It is below
// the size at which networks fragment datagrams.
const maxMessageBytes = 1000

// encodedSize estimates the encoded size of an entry in bytes.
func encodedSize(e *catalog.Entry) int {
	switch {
	case e.Delta != nil:
		return 50 + 32*len(e.Delta.Routes) + 12*len(e.Delta.Removed) + 40*len(e.Delta.Services)
	case e.Config != nil:
		return 50 + 32*len(e.Config.Routes) + 40*len(e.Config.Services)
	case e.Server != nil:
		return 100
	default:
		return 40
	}
}

// Split divides entries into groups that each fit into one message. An entry that is larger
// gets a group of its own.
func Split(entries []catalog.Entry) [][]catalog.Entry {
	var groups [][]catalog.Entry
	bytes := maxMessageBytes
	for i := range entries {
		n := encodedSize(&entries[i])
		if bytes+n > maxMessageBytes {
			groups, bytes = append(groups, nil), 0
		}
		last := len(groups) - 1
		groups[last] = append(groups[last], entries[i])
		bytes += n
	}
	return groups
}
