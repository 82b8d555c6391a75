package port

import (
	"net/netip"

	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/core/steering"
)

// PacketCodec reads and rewrites packets that carry a token.
type PacketCodec interface {
	// Decode fills p from a datagram of a caller. The error is ErrTruncated or
	// ErrMalformed.
	Decode(datagram []byte, p *steering.Packet) error
	// Encapsulate addresses a datagram to a server and sets its token, in place.
	// The buffer holds the datagram after Headroom free bytes. The result is the
	// datagram to send.
	Encapsulate(buffer []byte, server *steering.Server, token steering.Token) []byte
	// Reset writes a reset of the flow of p into the buffer, for the given reason. It
	// returns the datagram and the address of the caller.
	Reset(buffer []byte, p *steering.Packet, reason model.Reason) ([]byte, netip.AddrPort)
	// Headroom returns the number of bytes that Encapsulate puts before a datagram.
	Headroom() int
}
