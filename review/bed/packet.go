package main

import (
	"encoding/binary"
	"net/netip"
)

// Layout and control bits of a packet as PROTOCOL.md gives them.
const (
	headBytes   = 32
	numberBytes = 8
	flagSYN     = 8
	flagACK     = 2
	flagFIN     = 4
	flagRST     = 64
)

// packet is the header of a packet with its data.
type packet struct {
	echo         uint32
	dport, sport uint16
	src, dst     netip.Addr
	flags        byte
	seq, ack     uint32
	data         []byte
	// from is the address of the process that sent the datagram.
	from netip.AddrPort
}

func (p *packet) encode() []byte {
	b := make([]byte, headBytes, headBytes+len(p.data))
	src, dst := p.src.As4(), p.dst.As4()
	binary.BigEndian.PutUint16(b[0:], uint16(len(p.data)))
	binary.BigEndian.PutUint32(b[2:], p.echo)
	binary.BigEndian.PutUint16(b[6:], p.dport)
	binary.BigEndian.PutUint16(b[8:], p.sport)
	copy(b[10:], src[:])
	copy(b[14:], dst[:])
	b[22] = p.flags
	binary.BigEndian.PutUint32(b[24:], p.seq)
	binary.BigEndian.PutUint32(b[28:], p.ack)
	return append(b, p.data...)
}

// decodePacket reports false for bytes that are no packet.
func decodePacket(b []byte) (packet, bool) {
	if len(b) < headBytes || len(b) != headBytes+int(binary.BigEndian.Uint16(b)) {
		return packet{}, false
	}
	return packet{echo: binary.BigEndian.Uint32(b[2:]), dport: binary.BigEndian.Uint16(b[6:]), sport: binary.BigEndian.Uint16(b[8:]),
		src: netip.AddrFrom4([4]byte(b[10:14])), dst: netip.AddrFrom4([4]byte(b[14:18])), flags: b[22],
		seq: binary.BigEndian.Uint32(b[24:]), ack: binary.BigEndian.Uint32(b[28:]), data: append([]byte(nil), b[headBytes:]...)}, true
}

// flowKey identifies a flow by its two ends.
type flowKey struct {
	caller, route netip.AddrPort
}
