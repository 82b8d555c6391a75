package main

import (
	"encoding/binary"
	"hash/fnv"
	"net/netip"
)

// Layout of a packet, as the users' pages state it.
const (
	headerSize = 32
	maxData    = 1200

	flagACK = 2
	flagFIN = 4
	flagSYN = 8
	flagRST = 64
)

// sumKey is the key of the sum over a packet, which only clients and servers know.
const sumKey = "key of the stand-ins"

// header is the head of a packet.
type header struct {
	length       uint16
	echo         uint32
	dport, sport uint16
	src, dst     uint32
	sum          uint32
	flags        byte
	seq, ack     uint32
}

// encode returns the packet. The sum is set unless the packet has one already.
func (h *header) encode(data []byte) []byte {
	b := make([]byte, headerSize, headerSize+len(data))
	h.length = uint16(len(data))
	binary.BigEndian.PutUint16(b[0:], h.length)
	binary.BigEndian.PutUint32(b[2:], h.echo)
	binary.BigEndian.PutUint16(b[6:], h.dport)
	binary.BigEndian.PutUint16(b[8:], h.sport)
	binary.BigEndian.PutUint32(b[10:], h.src)
	binary.BigEndian.PutUint32(b[14:], h.dst)
	b[22] = h.flags
	binary.BigEndian.PutUint32(b[24:], h.seq)
	binary.BigEndian.PutUint32(b[28:], h.ack)
	b = append(b, data...)
	binary.BigEndian.PutUint32(b[18:], sumOf(b))
	return b
}

// decode reads a packet and returns its data. ok is false if the packet is cut short.
func (h *header) decode(b []byte) (data []byte, ok bool) {
	if len(b) < headerSize {
		return nil, false
	}
	h.length, h.echo = binary.BigEndian.Uint16(b[0:]), binary.BigEndian.Uint32(b[2:])
	h.dport, h.sport = binary.BigEndian.Uint16(b[6:]), binary.BigEndian.Uint16(b[8:])
	h.src, h.dst = binary.BigEndian.Uint32(b[10:]), binary.BigEndian.Uint32(b[14:])
	h.sum, h.flags = binary.BigEndian.Uint32(b[18:]), b[22]
	h.seq, h.ack = binary.BigEndian.Uint32(b[24:]), binary.BigEndian.Uint32(b[28:])
	return b[headerSize:], len(b) == headerSize+int(h.length)
}

// sumOf returns the keyed sum over a packet without echo, pad and the sum itself.
func sumOf(b []byte) uint32 {
	f := fnv.New32a()
	_, _ = f.Write([]byte(sumKey))
	_, _ = f.Write(b[0:2])
	_, _ = f.Write(b[6:18])
	_, _ = f.Write(b[22:23])
	_, _ = f.Write(b[24:])
	return max(1, f.Sum32())
}

func addrNumber(a netip.Addr) uint32 { b := a.As4(); return binary.BigEndian.Uint32(b[:]) }

func numberAddr(n uint32) netip.Addr {
	var b [4]byte
	binary.BigEndian.PutUint32(b[:], n)
	return netip.AddrFrom4(b)
}
