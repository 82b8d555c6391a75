package port

import (
	"net/netip"

	"github.com/savorytiller/savorytiller/internal/core/steering"
)

// SnapshotReader gives the newest published snapshot; nil before the first one.
type SnapshotReader interface {
	Snapshot() *steering.Snapshot
}

// SuspectSink takes the servers that flows got no answer from. It never blocks.
type SuspectSink interface {
	Suspect(server *steering.Server)
}

// PacketSocket carries datagrams. Receive blocks; the methods are used by one
// goroutine at a time, Close by any.
type PacketSocket interface {
	// Receive fills the buffer with one datagram and returns its length.
	Receive(buffer []byte) (int, error)
	// SendPacket sends one datagram.
	SendPacket(to netip.AddrPort, packet []byte) error
	Close() error
}
