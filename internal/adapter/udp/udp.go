// Package udp sends and receives datagrams over a UDP socket.
package udp

import (
	"errors"
	"net"
	"net/netip"
	"os"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/savorytiller/savorytiller/internal/port"
)

// receiveBufferBytes is the size in bytes of the kernel's receive queue, which holds the
// datagrams of half a second at 1,000 large packets per second.
const receiveBufferBytes = 1 << 20

// Socket implements port.PacketSocket.
type Socket struct {
	conn *net.UDPConn
}

var _ port.PacketSocket = (*Socket)(nil)

// Listen opens a socket at an IPv4 address. It returns port.ErrUnavailable if that
// fails.
func Listen(at netip.AddrPort) (*Socket, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return nil, merry.Wrap(port.ErrUnavailable, merry.WithCause(err), merry.AppendMessage(err.Error()))
	}
	// The error is ignored: with a smaller queue, the kernel only drops packets earlier.
	_ = conn.SetReadBuffer(receiveBufferBytes)
	return &Socket{conn: conn}, nil
}

// Address returns the local address of the socket, with the port that the system
// chose if Listen was called with port 0.
func (s *Socket) Address() netip.AddrPort { return s.conn.LocalAddr().(*net.UDPAddr).AddrPort() }

// Receive implements port.PacketSocket.
func (s *Socket) Receive(buffer []byte) (int, error) {
	n, _, err := s.conn.ReadFromUDPAddrPort(buffer)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		// A Wake that follows this line takes effect with the next Receive.
		_ = s.conn.SetReadDeadline(time.Time{}) // fails only if the socket is closed
		return 0, port.ErrWoken
	}
	return n, err
}

// Wake implements port.PacketSocket. A deadline that has passed ends a read at once, needs no
// timer, and leaves the datagrams in the kernel's queue.
func (s *Socket) Wake() error { return s.wakeAt(time.Unix(1, 0)) }

// WakeAfter implements port.PacketSocket. It replaces a Wake that has not taken effect yet, which
// then takes effect after the given time.
func (s *Socket) WakeAfter(d time.Duration) error { return s.wakeAt(time.Now().Add(d)) }

func (s *Socket) wakeAt(at time.Time) error {
	if err := s.conn.SetReadDeadline(at); err != nil {
		return merry.Wrap(port.ErrUnavailable, merry.WithCause(err))
	}
	return nil
}

// SendPacket implements port.PacketSocket.
func (s *Socket) SendPacket(to netip.AddrPort, packet []byte) error {
	if _, err := s.conn.WriteToUDPAddrPort(packet, to); err != nil {
		return merry.Wrap(port.ErrUnavailable, merry.WithCause(err))
	}
	return nil
}

// Close implements port.PacketSocket.
func (s *Socket) Close() error { return s.conn.Close() }
