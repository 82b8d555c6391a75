// Package peerudp exchanges messages between instances that forward flows by tokens.
// Each UDP datagram holds one message, encoded in CBOR (RFC 8949), or a fragment of one.
package peerudp

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"time"

	"github.com/savorytiller/savorytiller/internal/adapter/udp"
	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/core/peer"
	"github.com/savorytiller/savorytiller/internal/port"
)

// maxDatagram is the largest payload of a UDP datagram over IPv4, in bytes.
const maxDatagram = 65_507

// part is the name of this adapter in counters.
const part = "peer"

// Socket implements port.PeerSender.
type Socket struct {
	socket   *udp.Socket
	recorder port.Recorder
	traffic  traffic
}

var _ port.PeerSender = (*Socket)(nil)

// Listen opens the socket for messages of other instances. zone is the availability zone of
// this instance. The error is port.ErrUnavailable.
func Listen(at netip.AddrPort, zone model.Zone, recorder port.Recorder) (*Socket, error) {
	s, err := udp.Listen(at)
	if err != nil {
		return nil, err
	}
	return &Socket{socket: s, recorder: recorder, traffic: traffic{zone: zone}}, nil
}

// Send implements port.PeerSender. Senders repeat lost messages, so errors are only
// counted.
func (s *Socket) Send(to model.Member, m *peer.Message) {
	message, err := Encode(m)
	var datagrams [][]byte
	if err == nil {
		datagrams, err = split(message)
	}
	for _, datagram := range datagrams {
		if err = s.socket.SendPacket(to.PeerAddress, datagram); err != nil {
			break
		}
		s.traffic.sent[m.Cause()][s.traffic.scope(to.Zone)].add(len(datagram))
	}
	if err != nil {
		s.recorder.Count(part, model.ReasonSendFailed)
	}
}

// Serve calls receive for each message until the context ends, then closes the socket
// and returns the error of the context.
func (s *Socket) Serve(ctx context.Context, receive func(*peer.Message)) error {
	stop := context.AfterFunc(ctx, func() { _ = s.socket.Close() })
	defer stop()
	buffer := make([]byte, maxDatagram)
	var fragments assembler
	for {
		n, err := s.socket.Receive(buffer)
		switch {
		case ctx.Err() != nil || errors.Is(err, net.ErrClosed):
			return ctx.Err()
		case err != nil:
			// The error belongs to an earlier message, such as one to a closed port.
			s.recorder.Count(part, model.ReasonPeerUnreachable)
		default:
			message := buffer[:n]
			f, err := fragmentOf(message)
			if f != nil {
				if message = fragments.add(time.Now(), f); message == nil {
					continue
				}
			}
			var m *peer.Message
			if err == nil {
				m, err = Decode(message)
			}
			if err != nil {
				s.recorder.Count(part, model.ReasonMalformed)
				continue
			}
			s.traffic.received[m.Cause()][s.traffic.scope(m.From.Zone)].add(len(message))
			receive(m)
		}
	}
}
