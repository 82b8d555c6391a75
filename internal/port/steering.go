package port

import (
	"net/netip"
	"time"

	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/core/room"
	"github.com/savorytiller/savorytiller/internal/core/steering"
)

// SnapshotReader returns the newest published snapshot, or nil before the first one.
type SnapshotReader interface {
	Snapshot() *steering.Snapshot
}

// FaultSink receives what the packets of flows show about servers. It never blocks.
type FaultSink interface {
	// Suspect reports a server that did not answer as of a given time.
	Suspect(server *steering.Server, at model.Time)
	// UnknownToken reports a token that no known server has.
	UnknownToken(token steering.Token)
}

// LoadSink receives the load that the traffic goroutine observes. It never blocks.
type LoadSink interface {
	// ReportLoad hands over a report, which the caller does not change any more.
	ReportLoad(report *room.Report)
}

// PacketSocket sends and receives datagrams. Receive blocks. One goroutine at a
// time may use the socket, but any goroutine may call Wake and Close.
type PacketSocket interface {
	// Receive fills the buffer with one datagram and returns its length. It returns ErrWoken
	// once after one or more calls of Wake or WakeAfter.
	Receive(buffer []byte) (int, error)
	// Wake makes the Receive in progress, or else the next one, return ErrWoken. No datagram
	// is lost.
	Wake() error
	// WakeAfter is like Wake once a time has passed. Datagrams that arrive before are received.
	// It is for the goroutine that receives.
	WakeAfter(d time.Duration) error
	// SendPacket sends one datagram.
	SendPacket(to netip.AddrPort, packet []byte) error
	Close() error
}
