// Package geneve encodes and decodes the messages of the data plane: packets in
// Geneve (RFC 8926) over UDP, with a private option on the messages between
// instances.
package geneve

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"hash"
	"net/netip"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"

	"github.com/savorytiller/savorytiller/internal/core/flow"
	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/port"
)

const (
	// optionClass is in the range for experimental use (RFC 8926, section 7).
	optionClass = 0xff53
	// optionType has the critical bit set: an endpoint that does not know the
	// option must drop the packet (RFC 8926, section 3.5).
	optionType = 0x81

	// optionLength and macLength are the lengths in bytes of the option's data and
	// of the message authentication code (MAC) at its end.
	optionLength = 64
	macLength    = 16
	// macInnerLength is how many bytes of the inner packet the MAC covers: the
	// longest IPv4 header and a TCP header without options.
	macInnerLength = 80
	// headerLength is the length in bytes of the fixed part of the Geneve header.
	headerLength = 8
	// maxOptions bounds the options of a packet, in bytes. gopacket computes the
	// header length in 8 bits, which longer options would overflow.
	maxOptions = 240
	// MaxDatagram is the length in bytes of the longest datagram that a Socket
	// receives completely.
	MaxDatagram = 9216
)

// Key authenticates the messages between instances.
type Key struct {
	ID     uint8
	Secret []byte
}

// Options configure a Codec.
type Options struct {
	// Self is this instance's flow address. Decode rejects messages between
	// instances that are addressed to another one as forged.
	Self netip.AddrPort
	// Keys are accepted in received messages. The first one authenticates the
	// messages that are sent.
	Keys []Key
}

// Codec implements port.FlowCodec. It is not safe for concurrent use.
type Codec struct {
	self netip.AddrPort
	keys []macKey

	geneve        layers.Geneve
	ip            layers.IPv4
	tcp           layers.TCP
	udp           layers.UDP
	parser        *gopacket.DecodingLayerParser
	decodedLayers []gopacket.LayerType

	buffer     gopacket.SerializeBuffer
	option     layers.GeneveOption
	optionData [optionLength]byte
	mac        [sha256.Size]byte
	macInput   []byte
}

// macKey computes MACs with one Key.
type macKey struct {
	id   uint8
	hash hash.Hash
}

var _ port.FlowCodec = (*Codec)(nil)

// NewCodec returns a codec. Without keys it encodes and accepts no messages
// between instances.
func NewCodec(o Options) *Codec {
	c := &Codec{self: o.Self, buffer: gopacket.NewSerializeBufferExpectedSize(optionLength+16, MaxDatagram)}
	for _, k := range o.Keys {
		c.keys = append(c.keys, macKey{k.ID, hmac.New(sha256.New, k.Secret)})
	}
	c.parser = gopacket.NewDecodingLayerParser(layers.LayerTypeGeneve, &c.geneve, &c.ip, &c.tcp, &c.udp)
	c.parser.IgnoreUnsupported = true
	return c
}

// Decode implements port.FlowCodec.
func (c *Codec) Decode(datagram []byte, m *flow.Message) error {
	*m = flow.Message{}
	if err := checkHeader(datagram); err != nil {
		return err
	}
	c.parser.Truncated = false
	if err := c.parser.DecodeLayers(datagram, &c.decodedLayers); err != nil || c.parser.Truncated {
		if c.parser.Truncated {
			return port.ErrTruncated
		}
		return merry.Wrap(port.ErrMalformed, merry.WithCause(err))
	}
	m.Service = model.ServiceID(c.geneve.VNI)
	for _, o := range c.geneve.Options {
		switch {
		case o.Class == optionClass && o.Type == optionType && m.Kind == flow.KindPacket:
			if err := c.decodeOption(o.Data, m); err != nil {
				return err
			}
		case o.Type&0x80 != 0:
			return merry.Prepend(port.ErrMalformed, "unknown critical option")
		}
	}
	if c.geneve.OAMPacket == m.Kind.CarriesPacket() {
		return merry.Prepend(port.ErrMalformed, "OAM bit does not match the message kind")
	}
	if m.Kind.CarriesPacket() {
		return c.decodeInner(m)
	}
	if c.geneve.Protocol != 0 {
		return merry.Prepend(port.ErrMalformed, "OAM message with a protocol type")
	}
	return nil
}

// checkHeader rejects headers that gopacket would decode incorrectly.
func checkHeader(b []byte) error {
	if len(b) < headerLength {
		return port.ErrTruncated
	}
	if b[0]>>6 != 0 {
		return merry.Prepend(port.ErrMalformed, "unknown Geneve version")
	}
	options := int(b[0]&0x3f) * 4
	if options > maxOptions {
		return merry.Prepend(port.ErrMalformed, "too many Geneve options")
	}
	if len(b) < headerLength+options {
		return port.ErrTruncated
	}
	for rest := b[headerLength : headerLength+options]; len(rest) > 0; {
		length := 4 + int(rest[3]&0x1f)*4
		if length > len(rest) {
			return merry.Prepend(port.ErrMalformed, "Geneve option exceeds the header")
		}
		rest = rest[length:]
	}
	return nil
}

// decodeInner reads the flow from the inner packet. It rejects fragments, because
// only the first fragment holds the ports.
func (c *Codec) decodeInner(m *flow.Message) error {
	if len(c.decodedLayers) != 3 || c.decodedLayers[1] != layers.LayerTypeIPv4 {
		return merry.Prepend(port.ErrMalformed, "inner packet is not IPv4 with TCP or UDP")
	}
	if c.ip.FragOffset != 0 || c.ip.Flags&layers.IPv4MoreFragments != 0 {
		return merry.Prepend(port.ErrMalformed, "inner packet is a fragment")
	}
	src, _ := netip.AddrFromSlice(c.ip.SrcIP)
	dst, _ := netip.AddrFromSlice(c.ip.DstIP)
	var srcPort, dstPort uint16
	switch c.decodedLayers[2] {
	case layers.LayerTypeTCP:
		srcPort, dstPort = uint16(c.tcp.SrcPort), uint16(c.tcp.DstPort)
		m.Flags, m.Ack = tcpFlags(&c.tcp), c.tcp.Ack
		m.Key.Protocol = flow.ProtocolTCP
	case layers.LayerTypeUDP:
		srcPort, dstPort = uint16(c.udp.SrcPort), uint16(c.udp.DstPort)
		m.Key.Protocol = flow.ProtocolUDP
	default:
		return merry.Prepend(port.ErrMalformed, "inner packet is neither TCP nor UDP")
	}
	m.Key.Source, m.Key.Destination = netip.AddrPortFrom(src, srcPort), netip.AddrPortFrom(dst, dstPort)
	m.Fingerprint = flow.Fingerprint(m.Key)
	m.Inner = c.geneve.Payload
	return nil
}

func tcpFlags(t *layers.TCP) uint8 {
	var flags uint8
	if t.FIN {
		flags |= flow.FlagFIN
	}
	if t.SYN {
		flags |= flow.FlagSYN
	}
	if t.RST {
		flags |= flow.FlagRST
	}
	if t.ACK {
		flags |= flow.FlagACK
	}
	return flags
}

// decodeOption reads and authenticates the option of a message between
// instances. fillOption writes the same layout.
func (c *Codec) decodeOption(data []byte, m *flow.Message) error {
	if len(data) != optionLength {
		return merry.Prepend(port.ErrMalformed, "wrong option length")
	}
	m.Kind = flow.Kind(data[0])
	if m.Kind == flow.KindPacket || !m.Kind.Valid() {
		return merry.Prepend(port.ErrMalformed, "unknown message kind")
	}
	m.Hops, m.Attempt = data[2], data[3]
	m.Server = binary.BigEndian.Uint32(data[4:])
	m.Validity = time.Duration(binary.BigEndian.Uint32(data[8:])) * time.Millisecond
	sender := netip.AddrFrom16([16]byte(data[12:28])).Unmap()
	m.Sender = netip.AddrPortFrom(sender, binary.BigEndian.Uint16(data[28:]))
	m.Sequence = binary.BigEndian.Uint64(data[32:])
	m.Fingerprint = binary.BigEndian.Uint64(data[40:])
	for i := range c.keys {
		if c.keys[i].id == data[1] {
			mac := c.computeMAC(&c.keys[i], c.self, uint32(m.Service), data[:optionLength-macLength], c.geneve.Payload)
			if hmac.Equal(mac, data[optionLength-macLength:]) {
				return nil
			}
		}
	}
	return port.ErrForged
}

// Encode implements port.FlowCodec.
func (c *Codec) Encode(to netip.AddrPort, m *flow.Message) ([]byte, error) {
	if err := c.buffer.Clear(); err != nil {
		return nil, merry.Wrap(port.ErrMalformed, merry.WithCause(err))
	}
	c.geneve = layers.Geneve{VNI: uint32(m.Service), Options: c.geneve.Options[:0]}
	if m.Kind.CarriesPacket() {
		c.geneve.Protocol = layers.EthernetTypeIPv4
		inner, err := c.buffer.AppendBytes(len(m.Inner))
		if err != nil {
			return nil, merry.Wrap(port.ErrTooLarge, merry.WithCause(err))
		}
		copy(inner, m.Inner)
	}
	c.geneve.OAMPacket = !m.Kind.CarriesPacket()
	if m.Kind != flow.KindPacket {
		if len(c.keys) == 0 {
			return nil, merry.Prepend(port.ErrForged, "no key for messages between instances")
		}
		c.fillOption(to, m)
		c.geneve.CriticalOption = true
		c.geneve.Options = append(c.geneve.Options, &c.option)
	}
	if err := c.geneve.SerializeTo(c.buffer, gopacket.SerializeOptions{FixLengths: true}); err != nil {
		return nil, merry.Wrap(port.ErrMalformed, merry.WithCause(err))
	}
	return c.buffer.Bytes(), nil
}

// fillOption sets c.option to the option of a message to another instance.
func (c *Codec) fillOption(to netip.AddrPort, m *flow.Message) {
	key, data := &c.keys[0], c.optionData[:]
	clear(data)
	data[0], data[1], data[2], data[3] = byte(m.Kind), key.id, m.Hops, m.Attempt
	binary.BigEndian.PutUint32(data[4:], m.Server)
	binary.BigEndian.PutUint32(data[8:], uint32(m.Validity/time.Millisecond))
	sender := m.Sender.Addr().As16()
	copy(data[12:], sender[:])
	binary.BigEndian.PutUint16(data[28:], m.Sender.Port())
	binary.BigEndian.PutUint64(data[32:], m.Sequence)
	binary.BigEndian.PutUint64(data[40:], m.Fingerprint)
	mac := c.computeMAC(key, to, uint32(m.Service), data[:optionLength-macLength], m.Inner)
	copy(data[optionLength-macLength:], mac)
	c.option = layers.GeneveOption{Class: optionClass, Type: optionType, Data: data}
}

// computeMAC returns the MAC over the receiver's address, the VNI, the option and
// the headers of the inner packet. The result is valid until the next call.
func (c *Codec) computeMAC(key *macKey, to netip.AddrPort, vni uint32, option, inner []byte) []byte {
	receiver := to.Addr().As16()
	c.macInput = append(c.macInput[:0], receiver[:]...)
	c.macInput = binary.BigEndian.AppendUint16(c.macInput, to.Port())
	c.macInput = binary.BigEndian.AppendUint32(c.macInput, vni)
	c.macInput = append(c.macInput, option...)
	c.macInput = append(c.macInput, inner[:min(len(inner), macInnerLength)]...)
	key.hash.Reset()
	key.hash.Write(c.macInput)
	return key.hash.Sum(c.mac[:0])[:macLength]
}
