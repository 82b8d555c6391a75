// Package peerudp carries the messages between instances that steer flows by
// tokens, one in each datagram, encoded in CBOR (RFC 8949).
package peerudp

import (
	"context"
	"errors"
	"net"
	"net/netip"

	"github.com/savorytiller/savorytiller/internal/adapter/udp"
	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/core/peer"
	"github.com/savorytiller/savorytiller/internal/port"
)

// maxDatagram is the largest UDP datagram over IPv4.
const maxDatagram = 65_507

// part is the name of this adapter in counters.
const part = "peer"

// Socket implements port.PeerSender.
type Socket struct {
	socket   *udp.Socket
	recorder port.Recorder
}

var _ port.PeerSender = (*Socket)(nil)

// Listen opens the socket for messages of other instances.
func Listen(at netip.AddrPort, recorder port.Recorder) (*Socket, error) {
	s, err := udp.Listen(at)
	if err != nil {
		return nil, err
	}
	return &Socket{s, recorder}, nil
}

// Send implements port.PeerSender. Lost messages are sent again by their owners,
// so an error is only counted.
func (s *Socket) Send(to netip.AddrPort, m *peer.Message) {
	datagram, err := encode(m)
	if err == nil && len(datagram) > maxDatagram {
		err = port.ErrTooLarge
	}
	if err == nil {
		err = s.socket.SendPacket(to, datagram)
	}
	if err != nil {
		s.recorder.Count(part, model.ReasonSendFailed)
	}
}

// Serve passes the messages on until the context ends.
func (s *Socket) Serve(ctx context.Context, receive func(*peer.Message)) error {
	stop := context.AfterFunc(ctx, func() { _ = s.socket.Close() })
	defer stop()
	buffer := make([]byte, maxDatagram)
	for {
		n, err := s.socket.Receive(buffer)
		switch {
		case ctx.Err() != nil || errors.Is(err, net.ErrClosed):
			return ctx.Err()
		case err != nil:
			// The answer to an earlier message to a closed port.
			s.recorder.Count(part, model.ReasonPeerUnreachable)
		default:
			if m, err := decode(buffer[:n]); err == nil {
				receive(m)
			} else {
				s.recorder.Count(part, model.ReasonMalformed)
			}
		}
	}
}
