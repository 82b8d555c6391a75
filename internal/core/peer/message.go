// Package peer holds the messages between instances that steer flows by tokens,
// and the log of changes from which an instance brings others up to date.
package peer

import (
	"net/netip"
	"time"

	"github.com/savorytiller/savorytiller/internal/core/catalog"
	"github.com/savorytiller/savorytiller/internal/core/member"
	"github.com/savorytiller/savorytiller/internal/core/model"
)

// Kind says what a message is for. Every message also tells the sender's
// membership updates and how far its belief reaches.
type Kind uint8

const (
	// Probe asks for an Answer with the same Call.
	Probe Kind = iota + 1
	// Answer answers a Probe, or an Ask whose target was reached.
	Answer
	// Ask asks to probe Target.
	Ask
	// News only tells what every message tells.
	News
	// Changes brings entries.
	Changes
	// Pull asks for the changes after After.
	Pull
	lastKind
)

// Valid reports whether the kind is known.
func (k Kind) Valid() bool { return k >= Probe && k < lastKind }

// Message is what one instance sends to another in one datagram.
type Message struct {
	Kind Kind
	// Call matches an Answer to its question, and the parts of Changes.
	Call    uint32
	From    model.Member
	Updates []member.Update
	// Join is set in the probes of an instance that has just started.
	Join bool
	// Target is the address to probe for an Ask.
	Target netip.AddrPort

	// Revision is what the sender's belief is complete up to; 0 for nothing.
	Revision uint64
	// Confirmed is set if the sender knows that the registry held nothing newer
	// Age ago.
	Confirmed bool
	Age       time.Duration

	// Suspects are servers that a probe of the sender did not reach. The receiver probes
	// them itself.
	Suspects []catalog.Run

	// CutOff is set if the sender hears no instance of another zone.
	CutOff bool

	// After and Entries are set for Changes and Pull: the entries, with Revision,
	// complete a belief that reaches up to After; After 0 stands for a complete
	// listing.
	After   uint64
	Entries []catalog.Entry
	// Leaps is set if the entries lead on from exactly After: they leave out what
	// came and went between After and Revision.
	Leaps bool
	// Parts is the number of messages that bring the entries, and Part the place of
	// this one.
	Part, Parts int
}

// maxBytes is the size up to which entries share a message, below the size at
// which networks split datagrams.
const maxBytes = 1000

// size estimates the encoded size of an entry in bytes.
func size(e *catalog.Entry) int {
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

// Split puts entries into as many groups as messages are needed.
func Split(entries []catalog.Entry) [][]catalog.Entry {
	var groups [][]catalog.Entry
	bytes := maxBytes
	for i := range entries {
		n := size(&entries[i])
		if bytes+n > maxBytes {
			groups, bytes = append(groups, nil), 0
		}
		last := len(groups) - 1
		groups[last] = append(groups[last], entries[i])
		bytes += n
	}
	return groups
}
