package main

import (
	"encoding/binary"
	"hash/fnv"
	"net/netip"
)

// Flags of a packet, as PROTOCOL.md gives them.
const (
	flagACK = 2
	flagFIN = 4
	flagSYN = 8
	flagRST = 64
)

const headerBytes = 32

// sumKey is the key of the checksum. Only the stand-ins know it, so a packet that the system
// wrote itself can be told from one that a client or a server wrote.
const sumKey = 0x5eed0f1a9c3b7d21

// endpoint is an address and a port of a flow.
type endpoint struct {
	Addr netip.Addr
	Port uint16
}

// flowKey identifies a flow by its two ends.
type flowKey struct{ Client, Route endpoint }

// packet is a packet between a client and a server.
type packet struct {
	Src, Dst endpoint
	Flags    byte
	Echo     uint32
	Seq, Ack uint32
	Sum      uint32
	Data     []byte
}

func (p *packet) encode() []byte {
	b := make([]byte, headerBytes+len(p.Data))
	binary.BigEndian.PutUint16(b[0:], uint16(len(p.Data)))
	binary.BigEndian.PutUint32(b[2:], p.Echo)
	binary.BigEndian.PutUint16(b[6:], p.Dst.Port)
	binary.BigEndian.PutUint16(b[8:], p.Src.Port)
	src, dst := p.Src.Addr.As4(), p.Dst.Addr.As4()
	copy(b[10:], src[:])
	copy(b[14:], dst[:])
	b[22] = p.Flags
	binary.BigEndian.PutUint32(b[24:], p.Seq)
	binary.BigEndian.PutUint32(b[28:], p.Ack)
	copy(b[headerBytes:], p.Data)
	binary.BigEndian.PutUint32(b[18:], keyedSum(b))
	return b
}

// decode parses a packet. ok is false if it is malformed. valid is set if its checksum is right.
func decode(b []byte) (p packet, valid, ok bool) {
	if len(b) < headerBytes || len(b) != headerBytes+int(binary.BigEndian.Uint16(b)) {
		return p, false, false
	}
	p = packet{
		Src:   endpoint{netip.AddrFrom4([4]byte(b[10:14])), binary.BigEndian.Uint16(b[8:])},
		Dst:   endpoint{netip.AddrFrom4([4]byte(b[14:18])), binary.BigEndian.Uint16(b[6:])},
		Flags: b[22], Echo: binary.BigEndian.Uint32(b[2:]), Seq: binary.BigEndian.Uint32(b[24:]),
		Ack: binary.BigEndian.Uint32(b[28:]), Sum: binary.BigEndian.Uint32(b[18:]),
		Data: append([]byte(nil), b[headerBytes:]...),
	}
	return p, p.Sum == keyedSum(b), true
}

// keyedSum covers all fields but the sum itself, echo and pad. It is never 0.
func keyedSum(b []byte) uint32 {
	h := fnv.New64a()
	var key [8]byte
	binary.BigEndian.PutUint64(key[:], sumKey)
	_, _ = h.Write(key[:])
	_, _ = h.Write(b[0:2])
	_, _ = h.Write(b[6:18])
	_, _ = h.Write(b[22:23])
	_, _ = h.Write(b[24:])
	v := h.Sum64()
	return uint32(v^v>>32) | 1
}
