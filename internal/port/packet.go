package port

import (
	"net/netip"

	"github.com/savorytiller/savorytiller/internal/core/steering"
)

// PacketCodec reads and rewrites packets that carry a token.
type PacketCodec interface {
	// Decode fills p from a datagram of a caller. The error is ErrTruncated or
	// ErrMalformed.
	Decode(datagram []byte, p *steering.Packet) error
	// Address prepares a datagram in place for a server. The buffer holds the
	// datagram after Headroom free bytes; the result is the datagram to send.
	Address(buffer []byte, server *steering.Server, token steering.Token) []byte
	// Reset writes a reset for the flow of p into the buffer and returns the
	// datagram and the address of the caller.
	Reset(buffer []byte, p *steering.Packet) ([]byte, netip.AddrPort)
	// Headroom is the number of bytes that Address puts before a datagram.
	Headroom() int
}
