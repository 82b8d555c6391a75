package geneve

import (
	"context"
	"errors"
	"net"
	"net/netip"

	"github.com/ansel1/merry/v2"

	"github.com/savorytiller/savorytiller/internal/port"
)

// socketBuffer is the size in bytes that is requested from the kernel for the
// receive and the send buffer. It holds about 3,000 packets: 30 ms at 100,000 packets
// per second.
const socketBuffer = 4 << 20

// Socket is a UDP socket of the data plane. It implements port.PacketSender.
type Socket struct{ conn *net.UDPConn }

var _ port.PacketSender = (*Socket)(nil)

// Listen opens the socket on the given address. With port 0 the kernel chooses
// a port, which Address returns. The error is port.ErrUnavailable.
func Listen(address netip.AddrPort) (*Socket, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, merry.Wrap(port.ErrUnavailable, merry.WithCause(err))
	}
	// The kernel may grant less, in which case shorter bursts already lose packets.
	_ = conn.SetReadBuffer(socketBuffer)
	_ = conn.SetWriteBuffer(socketBuffer)
	return &Socket{conn: conn}, nil
}

// Address returns the local address.
func (s *Socket) Address() netip.AddrPort {
	return s.conn.LocalAddr().(*net.UDPAddr).AddrPort()
}

// SendPacket implements port.PacketSender.
func (s *Socket) SendPacket(to netip.AddrPort, packet []byte) error {
	if _, err := s.conn.WriteToUDPAddrPort(packet, to); err != nil {
		return merry.Wrap(port.ErrUnavailable, merry.WithCause(err))
	}
	return nil
}

// Serve calls handle with each datagram until the context ends or the socket is
// closed, and then returns nil. It continues after errors of the network; any other
// error ends it with port.ErrUnavailable. The slice is reused after handle returns.
func (s *Socket) Serve(ctx context.Context, handle func(datagram []byte)) error {
	stop := context.AfterFunc(ctx, func() { _ = s.conn.Close() })
	defer stop()
	buffer := make([]byte, MaxDatagram)
	for {
		n, _, err := s.conn.ReadFromUDPAddrPort(buffer)
		if err == nil {
			handle(buffer[:n])
			continue
		}
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		// An error that one peer's host causes, such as a refused connection, must
		// not end the reader.
		var op *net.OpError
		if !errors.As(err, &op) {
			return merry.Wrap(port.ErrUnavailable, merry.WithCause(err))
		}
	}
}

// Close closes the socket.
func (s *Socket) Close() error { return s.conn.Close() }
