// Package wire encodes and decodes the packets and documents that the stand-ins
// exchange with the system under test. It shares no code with the system's own
// codecs, so that an error in either implementation shows up as a mismatch.
package wire

import (
	"net/netip"

	"github.com/ansel1/merry/v2"
	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"
)

// ErrPacket reports a packet that is not a valid encapsulated TCP segment.
var ErrPacket = merry.Sentinel("malformed packet")

// MaxPacketSize is the size of the receive buffers in bytes, large enough for any
// loopback MTU in use.
const MaxPacketSize = 64 << 10

// Segment holds the fields of an inner IPv4/TCP packet that the stand-ins use.
type Segment struct {
	Source, Destination netip.AddrPort
	SYN, ACK, FIN, RST  bool
	Seq, Ack            uint32
	Payload             []byte
}

var serializeOptions = gopacket.SerializeOptions{FixLengths: true, ComputeChecksums: true}

// EncodeInner returns the segment as an IPv4 packet with checksums.
func EncodeInner(s *Segment) ([]byte, error) {
	ip := &layers.IPv4{Version: 4, TTL: 64, Protocol: layers.IPProtocolTCP,
		SrcIP: s.Source.Addr().AsSlice(), DstIP: s.Destination.Addr().AsSlice()}
	tcp := &layers.TCP{SrcPort: layers.TCPPort(s.Source.Port()), DstPort: layers.TCPPort(s.Destination.Port()),
		SYN: s.SYN, ACK: s.ACK, FIN: s.FIN, RST: s.RST, PSH: len(s.Payload) > 0, Seq: s.Seq, Ack: s.Ack, Window: 65535}
	if err := tcp.SetNetworkLayerForChecksum(ip); err != nil {
		return nil, merry.Wrap(err)
	}
	buffer := gopacket.NewSerializeBuffer()
	if err := gopacket.SerializeLayers(buffer, serializeOptions, ip, tcp, gopacket.Payload(s.Payload)); err != nil {
		return nil, merry.Wrap(err)
	}
	return buffer.Bytes(), nil
}

// DecodeInner parses an IPv4 packet that carries a TCP segment. The payload is a
// slice of data. Malformed packets return ErrPacket.
func DecodeInner(data []byte) (*Segment, error) {
	var ip layers.IPv4
	var tcp layers.TCP
	if err := ip.DecodeFromBytes(data, gopacket.NilDecodeFeedback); err != nil {
		return nil, merry.Wrap(ErrPacket, merry.WithCause(err))
	}
	if ip.Protocol != layers.IPProtocolTCP {
		return nil, merry.Wrap(ErrPacket, merry.WithMessagef("inner protocol %v is not TCP", ip.Protocol))
	}
	if err := tcp.DecodeFromBytes(ip.Payload, gopacket.NilDecodeFeedback); err != nil {
		return nil, merry.Wrap(ErrPacket, merry.WithCause(err))
	}
	source, _ := netip.AddrFromSlice(ip.SrcIP)
	destination, _ := netip.AddrFromSlice(ip.DstIP)
	return &Segment{
		Source:      netip.AddrPortFrom(source, uint16(tcp.SrcPort)),
		Destination: netip.AddrPortFrom(destination, uint16(tcp.DstPort)),
		SYN:         tcp.SYN, ACK: tcp.ACK, FIN: tcp.FIN, RST: tcp.RST, Seq: tcp.Seq, Ack: tcp.Ack, Payload: tcp.Payload,
	}, nil
}

// EncodeGeneve encapsulates an inner IPv4 packet in Geneve (RFC 8926) without options.
func EncodeGeneve(vni uint32, inner []byte) ([]byte, error) {
	buffer := gopacket.NewSerializeBuffer()
	header := &layers.Geneve{Protocol: layers.EthernetTypeIPv4, VNI: vni}
	if err := gopacket.SerializeLayers(buffer, serializeOptions, header, gopacket.Payload(inner)); err != nil {
		return nil, merry.Wrap(err)
	}
	return buffer.Bytes(), nil
}

// DecodeGeneve returns the VNI and the inner packet, which is a slice of data.
// Malformed packets return ErrPacket.
func DecodeGeneve(data []byte) (vni uint32, inner []byte, err error) {
	var header layers.Geneve
	if err := header.DecodeFromBytes(data, gopacket.NilDecodeFeedback); err != nil {
		return 0, nil, merry.Wrap(ErrPacket, merry.WithCause(err))
	}
	return header.VNI, header.Payload, nil
}
