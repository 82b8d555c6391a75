package port

import (
	"net/netip"

	"github.com/savorytiller/savorytiller/internal/core/flow"
)

// FlowCodec encodes and decodes the messages of the data plane. A codec is used
// by one goroutine at a time.
type FlowCodec interface {
	// Decode fills m from a datagram. m.Inner shares the datagram's memory. The
	// error is ErrTruncated, ErrMalformed or ErrForged.
	Decode(datagram []byte, m *flow.Message) error
	// Encode returns the datagram of a message to the given address. The result
	// is valid until the next call. The error is ErrForged if the codec has no key
	// for a message between instances, ErrTooLarge or ErrMalformed.
	Encode(to netip.AddrPort, m *flow.Message) ([]byte, error)
	// EncodeRecords appends packed flow records to dst.
	EncodeRecords(dst []byte, records []flow.Record) []byte
	// DecodeRecords returns the records that EncodeRecords packed. The error is
	// ErrTruncated or ErrMalformed.
	DecodeRecords(packed []byte) ([]flow.Record, error)
}
