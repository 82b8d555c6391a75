package geneve

import (
	"bytes"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"
	"github.com/stretchr/testify/require"

	"github.com/savorytiller/savorytiller/internal/core/flow"
	"github.com/savorytiller/savorytiller/internal/port"
)

var (
	selfAddress    = netip.MustParseAddrPort("127.0.0.1:4101")
	peerAddress    = netip.MustParseAddrPort("127.0.0.1:4201")
	callerSource   = netip.MustParseAddrPort("127.0.0.1:50123")
	virtualAddress = netip.MustParseAddrPort("10.80.0.17:4000")
	keyOne         = Key{ID: 1, Secret: []byte("first secret of the test")}
	keyTwo         = Key{ID: 2, Secret: []byte("second secret of the test")}
)

// innerTCP returns an IPv4 packet with a TCP segment from callerSource.
func innerTCP(t testing.TB, tcp layers.TCP, payload string) []byte {
	t.Helper()
	ip := layers.IPv4{Version: 4, TTL: 64, Protocol: layers.IPProtocolTCP,
		SrcIP: net.IP(callerSource.Addr().AsSlice()), DstIP: net.IP(virtualAddress.Addr().AsSlice())}
	tcp.SrcPort, tcp.DstPort = layers.TCPPort(callerSource.Port()), layers.TCPPort(virtualAddress.Port())
	require.NoError(t, tcp.SetNetworkLayerForChecksum(&ip))
	b := gopacket.NewSerializeBuffer()
	options := gopacket.SerializeOptions{FixLengths: true, ComputeChecksums: true}
	require.NoError(t, gopacket.SerializeLayers(b, options, &ip, &tcp, gopacket.Payload(payload)))
	return b.Bytes()
}

func encode(t testing.TB, c *Codec, to netip.AddrPort, m flow.Message) []byte {
	t.Helper()
	b, err := c.Encode(to, &m)
	require.NoError(t, err)
	return append([]byte(nil), b...)
}

// Guards against a packet whose flow, flags or payload change when it is encoded
// and decoded.
func TestPacketRoundTrip(t *testing.T) {
	c := NewCodec(Options{Self: selfAddress})
	inner := innerTCP(t, layers.TCP{SYN: true, ACK: true, Ack: 77}, "payload")
	var m flow.Message
	require.NoError(t, c.Decode(encode(t, c, selfAddress, flow.Message{Service: 17, Inner: inner}), &m))
	require.Equal(t, flow.KindPacket, m.Kind)
	require.EqualValues(t, 17, m.Service)
	require.Equal(t, callerSource, m.Key.Source)
	require.Equal(t, virtualAddress, m.Key.Destination)
	require.Equal(t, flow.FlagSYN|flow.FlagACK, m.Flags)
	require.EqualValues(t, 77, m.Ack)
	require.Equal(t, inner, m.Inner)
	require.Equal(t, flow.Fingerprint(m.Key), m.Fingerprint)
}

// Guards against an option that loses a field, and against accepting messages
// between instances with an unknown key, changed content or another receiver.
func TestMessagesBetweenInstancesAreAuthenticated(t *testing.T) {
	sender := NewCodec(Options{Self: peerAddress, Keys: []Key{keyTwo}})
	receiver := NewCodec(Options{Self: selfAddress, Keys: []Key{keyOne, keyTwo}})
	inner := innerTCP(t, layers.TCP{ACK: true}, "payload")
	relay := flow.Message{Kind: flow.KindRelay, Service: 17, Sender: peerAddress, Sequence: 9, Hops: 2, Attempt: 1,
		Server: 0xfeedbeef, Inner: inner}
	hint := flow.Message{Kind: flow.KindHint, Service: 17, Sender: peerAddress, Sequence: 10, Server: 7,
		Fingerprint: 0x1122334455667788, Validity: 30 * time.Second}

	var m flow.Message
	require.NoError(t, receiver.Decode(encode(t, sender, selfAddress, relay), &m))
	require.Equal(t, relay.Sender, m.Sender)
	require.Equal(t, []any{relay.Hops, relay.Attempt, relay.Server, relay.Sequence}, []any{m.Hops, m.Attempt, m.Server, m.Sequence})
	require.Equal(t, inner, m.Inner)
	require.NoError(t, receiver.Decode(encode(t, sender, selfAddress, hint), &m))
	require.Equal(t, hint, m)

	for _, message := range []flow.Message{relay, hint} {
		b := encode(t, sender, selfAddress, message)
		for i := range headerLength + 4 + optionLength {
			forged := append([]byte(nil), b...)
			forged[i] ^= 0x04
			if i == 1 || i == 7 { // reserved bits
				continue
			}
			require.Error(t, receiver.Decode(forged, &m), "byte %d changed", i)
		}
		require.ErrorIs(t, receiver.Decode(encode(t, sender, peerAddress, message), &m), port.ErrForged, "other receiver")
		oneKey := NewCodec(Options{Self: selfAddress, Keys: []Key{keyOne}})
		require.ErrorIs(t, oneKey.Decode(b, &m), port.ErrForged, "unknown key")
	}
}

// Guards against panics and wrong errors for packets that are truncated or that
// are not TCP or UDP over IPv4.
func TestInvalidPacketsAreRejected(t *testing.T) {
	c := NewCodec(Options{Self: selfAddress})
	complete := encode(t, c, selfAddress, flow.Message{Service: 17, Inner: innerTCP(t, layers.TCP{SYN: true}, "")})
	var m flow.Message
	for n := range complete {
		require.Error(t, c.Decode(complete[:n], &m), "%d bytes", n)
	}
	require.ErrorIs(t, c.Decode(complete[:len(complete)-1], &m), port.ErrTruncated)
	icmp := append([]byte(nil), complete...)
	icmp[headerLength+9] = 1
	require.ErrorIs(t, c.Decode(icmp, &m), port.ErrMalformed)
	fragment := append([]byte(nil), complete...)
	fragment[headerLength+6] = 0x20
	require.ErrorIs(t, c.Decode(fragment, &m), port.ErrMalformed)
	version := append([]byte(nil), complete...)
	version[0] |= 0x40
	require.ErrorIs(t, c.Decode(version, &m), port.ErrMalformed)
}

// FuzzDecode guards against datagrams that make the decoder panic or accept a
// message between instances without the key.
func FuzzDecode(f *testing.F) {
	c := NewCodec(Options{Self: selfAddress, Keys: []Key{keyOne}})
	inner := innerTCP(f, layers.TCP{SYN: true}, "payload")
	f.Add(encode(f, c, selfAddress, flow.Message{Service: 17, Inner: inner}))
	f.Add(encode(f, c, selfAddress, flow.Message{Kind: flow.KindRelay, Service: 17, Sender: peerAddress, Inner: inner}))
	f.Add(encode(f, c, selfAddress, flow.Message{Kind: flow.KindHint, Service: 17, Sender: peerAddress}))
	f.Add([]byte{0x3f, 0, 8, 0})
	receiver := NewCodec(Options{Self: selfAddress, Keys: []Key{keyTwo}})
	f.Fuzz(func(t *testing.T, b []byte) {
		var m flow.Message
		if receiver.Decode(b, &m) == nil {
			require.Equal(t, flow.KindPacket, m.Kind)
			require.NotZero(t, m.Fingerprint)
		}
	})
}

// FuzzDecodeRecords guards against packed records that make the decoder panic
// or that differ after they are decoded and packed again.
func FuzzDecodeRecords(f *testing.F) {
	c := NewCodec(Options{Self: selfAddress})
	f.Add(c.EncodeRecords(nil, []flow.Record{{Fingerprint: 1, Service: 17, Server: 3, Age: 5}, {Fingerprint: 2, Service: 9, Deleted: true}}))
	f.Add([]byte{1, 2, 3})
	f.Fuzz(func(t *testing.T, b []byte) {
		records, err := c.DecodeRecords(b)
		if err == nil {
			require.Equal(t, len(b), len(records)*recordLength)
			require.True(t, bytes.Equal(b, c.EncodeRecords(nil, records)))
		}
	})
}

func BenchmarkCodec(b *testing.B) {
	c := NewCodec(Options{Self: selfAddress, Keys: []Key{keyOne}})
	inner := innerTCP(b, layers.TCP{ACK: true}, string(make([]byte, 1000)))
	for name, m := range map[string]flow.Message{
		"packet": {Service: 17, Inner: inner},
		"relay":  {Kind: flow.KindRelay, Service: 17, Sender: peerAddress, Inner: inner},
		"hint":   {Kind: flow.KindHint, Service: 17, Sender: peerAddress},
	} {
		datagram := encode(b, c, selfAddress, m)
		b.Run("decode/"+name, func(b *testing.B) {
			b.ReportAllocs()
			var out flow.Message
			for b.Loop() {
				if err := c.Decode(datagram, &out); err != nil {
					b.Fatal(err)
				}
			}
		})
		b.Run("encode/"+name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, err := c.Encode(selfAddress, &m); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
