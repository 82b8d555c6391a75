package peerudp

import (
	"bytes"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/fxamacker/cbor/v2"

	"github.com/savorytiller/savorytiller/internal/port"
)

// A message that is larger than a datagram, such as one with a configuration of some thousand routes,
// is sent in fragments. Instances of versions without fragments reject them as malformed, as they
// never got such messages.

// fragmentTag is the number of the CBOR tag that wraps a fragment, and fragmentPrefix the encoding of
// the tag, which tells a fragment without decoding each message twice.
const fragmentTag = 0x5355_0000

var fragmentPrefix = []byte{0xda, 0x53, 0x55, 0, 0}

// Limits of fragmented messages.
const (
	// maxFragmentBytes is the payload of a fragment. The rest of the datagram is for the envelope.
	maxFragmentBytes = 60_000
	// maxFragments limits a message to 1.2 MB, more than the largest configuration takes.
	maxFragments = 20
	// maxAssemblies limits the messages that are being assembled, and assemblyTimeout the time
	// between two fragments of one.
	maxAssemblies   = 4
	assemblyTimeout = time.Second
)

// wireFragment is a part of an encoded message.
type wireFragment struct {
	_ struct{} `cbor:",toarray"`
	// MessageID is the same random number in all fragments of a message.
	MessageID    uint64
	Index, Count int
	Content      []byte
}

// split returns the datagrams that carry an encoded message: the message itself or its fragments. The
// error is port.ErrTooLarge or port.ErrMalformed.
func split(message []byte) ([][]byte, error) {
	if len(message) <= maxDatagram {
		return [][]byte{message}, nil
	}
	count := (len(message) + maxFragmentBytes - 1) / maxFragmentBytes
	if count > maxFragments {
		return nil, port.ErrTooLarge
	}
	var datagrams [][]byte
	id := rand.Uint64()
	for content := range slices.Chunk(message, maxFragmentBytes) {
		b, err := cbor.Marshal(&wireFragment{MessageID: id, Index: len(datagrams), Count: count, Content: content})
		if err == nil {
			b, err = cbor.Marshal(cbor.RawTag{Number: fragmentTag, Content: b})
		}
		if err != nil {
			return nil, merry.Wrap(port.ErrMalformed, merry.WithCause(err))
		}
		datagrams = append(datagrams, b)
	}
	return datagrams, nil
}

// fragmentOf returns the fragment in a datagram; nil if the datagram holds a whole message. The error
// is port.ErrMalformed.
func fragmentOf(datagram []byte) (*wireFragment, error) {
	content, ok := bytes.CutPrefix(datagram, fragmentPrefix)
	if !ok {
		return nil, nil
	}
	var f wireFragment
	if err := decMode.Unmarshal(content, &f); err != nil {
		return nil, merry.Wrap(port.ErrMalformed, merry.WithCause(err))
	}
	if f.Count < 2 || f.Count > maxFragments || f.Index < 0 || f.Index >= f.Count || len(f.Content) > maxFragmentBytes {
		return nil, merry.Wrap(port.ErrMalformed, merry.AppendMessagef("fragment %d of %d with %d bytes", f.Index, f.Count, len(f.Content)))
	}
	return &f, nil
}

// assembly holds the fragments of a message that have arrived.
type assembly struct {
	id      uint64
	parts   [][]byte
	missing int
	lastAt  time.Time
}

// assembler puts fragmented messages together. It holds at most maxAssemblies of them, those that
// grew last.
type assembler struct{ assemblies []*assembly }

// add adds a fragment and returns the message once it is complete, nil before.
func (a *assembler) add(now time.Time, f *wireFragment) []byte {
	a.assemblies = slices.DeleteFunc(a.assemblies, func(x *assembly) bool { return now.Sub(x.lastAt) > assemblyTimeout })
	i := slices.IndexFunc(a.assemblies, func(x *assembly) bool { return x.id == f.MessageID && len(x.parts) == f.Count })
	var x *assembly
	if i >= 0 {
		x = a.assemblies[i]
		a.assemblies = slices.Delete(a.assemblies, i, i+1)
	} else {
		x = &assembly{id: f.MessageID, parts: make([][]byte, f.Count), missing: f.Count}
	}
	if x.parts[f.Index] == nil {
		x.parts[f.Index] = f.Content
		x.missing--
	}
	if x.missing == 0 {
		return slices.Concat(x.parts...)
	}
	x.lastAt = now
	if len(a.assemblies) == maxAssemblies {
		a.assemblies = a.assemblies[1:]
	}
	a.assemblies = append(a.assemblies, x)
	return nil
}
