package packets_test

import (
	"context"
	"encoding/binary"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"github.com/savorytiller/savorytiller/internal/adapter/metrics"
	"github.com/savorytiller/savorytiller/internal/adapter/udp"
	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/core/steering"
	"github.com/savorytiller/savorytiller/internal/traffic/packets"
)

// codec implements port.PacketCodec for packets of caller, flags, token and checksum.
type codec struct{}

const headroom, packetSize = 2, 16

func newPacket(caller uint16, flags steering.Flags, token steering.Token) []byte {
	b := binary.BigEndian.AppendUint16(make([]byte, 0, packetSize), caller)
	b = binary.BigEndian.AppendUint32(append(b, byte(flags)), uint32(token))
	return append(b, "checksum!"...)
}

func (codec) Headroom() int { return headroom }

func (codec) Decode(d []byte, p *steering.Packet) error {
	*p = steering.Packet{Key: steering.FlowKey{Caller: steering.Endpoint{Address: 9, Port: binary.BigEndian.Uint16(d)}, Route: steering.Endpoint{Address: 1, Port: 80}},
		Flags: steering.Flags(d[2]), Token: steering.Token(binary.BigEndian.Uint32(d[3:]))}
	return nil
}

func (codec) Encapsulate(buffer []byte, server *steering.Server, token steering.Token) []byte {
	binary.BigEndian.PutUint16(buffer, uint16(server.Number))
	binary.BigEndian.PutUint32(buffer[headroom+3:], uint32(token))
	return buffer
}

func (codec) Reset([]byte, *steering.Packet, model.Reason) ([]byte, netip.AddrPort) { panic("unused") }

type testClock struct{ now atomic.Int64 }

func (c *testClock) Now() model.Time { return model.Time(c.now.Load()) }

type fixedSnapshot struct{ snapshot *steering.Snapshot }

func (f fixedSnapshot) Snapshot() *steering.Snapshot { return f.snapshot }

type noFaults struct{}

func (noFaults) Suspect(*steering.Server, model.Time) {}
func (noFaults) UnknownToken(steering.Token)          {}

// Guards against a hedged SYN that differs from the caller's, or goes to the first server again,
// and against a flow that does not stay at the second server when the caller acknowledges its
// answer. Callers, instance and servers use real sockets.
func TestHedgedOpeningOverSockets(t *testing.T) {
	received := make(chan []byte, 16)
	var all []*steering.Server
	for i := range 2 {
		conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		require.NoError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		all = append(all, &steering.Server{ID: model.ServerID([]string{"s1", "s2"}[i]), Number: uint64(i + 1), Service: "s", Zone: "z", Slots: 4,
			Address: conn.LocalAddr().(*net.UDPAddr).AddrPort()})
		go func() {
			for {
				b := make([]byte, 64)
				n, err := conn.Read(b)
				if err != nil {
					return
				}
				received <- b[:n]
			}
		}()
	}
	snapshot := &steering.Snapshot{Version: 1, Zone: "z", InstancesInZone: 1, IdleTimeout: time.Minute, Lifetime: time.Hour,
		Routes:   map[steering.Endpoint]*steering.Route{{Address: 1, Port: 80}: {Name: "r", Idempotent: true, Shares: []steering.Share{{Service: "s", Weight: 1}}}},
		Services: map[string]*steering.Service{"s": {Name: "s", Servers: all}}, Servers: steering.NewTokenIndex(all)}
	socket, err := udp.Listen(netip.MustParseAddrPort("127.0.0.1:0"))
	require.NoError(t, err)
	clock, recorder := &testClock{}, metrics.New(16)
	clock.now.Store(int64(time.Second))
	steerer := steering.NewSteerer(rand.New(rand.NewPCG(1, 1)), 5)
	steerer.SetHedgeLimit(0.2)
	worker := packets.New(packets.Options{Socket: socket, Codec: codec{}, Snapshots: fixedSnapshot{snapshot}, Faults: noFaults{},
		Clock: clock, Recorder: recorder, Log: logr.Discard(), Steerer: steerer})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error)
	go func() { ended <- worker.Run(ctx) }()
	caller, err := net.Dial("udp4", socket.Address().String())
	require.NoError(t, err)
	defer caller.Close()
	next := func() []byte {
		select {
		case b := <-received:
			return b
		case <-time.After(10 * time.Second):
			require.Fail(t, "a packet was lost")
			return nil
		}
	}
	// send sends a packet after some time and returns it as a server receives it.
	send := func(after time.Duration, packet []byte) []byte {
		clock.now.Add(int64(after))
		_, err := caller.Write(packet)
		require.NoError(t, err)
		return next()
	}
	token := func(packet []byte) steering.Token {
		return steering.Token(binary.BigEndian.Uint32(packet[headroom+3:]))
	}
	for i := range uint16(200) { // usual openings take 25 ms
		opened := send(75*time.Millisecond, newPacket(i, steering.SYN, 0))
		send(25*time.Millisecond, newPacket(i, steering.ACK|steering.FIN, token(opened)))
	}
	first := send(75*time.Millisecond, newPacket(500, steering.SYN, 0))
	other := newPacket(600, steering.ACK, all[0].Token)
	packet := send(60*time.Millisecond, other)
	second := next()
	if packet[headroom+2] != byte(steering.ACK) {
		packet, second = second, packet // the two servers' sockets are read concurrently
	}
	require.Equal(t, newPacket(600, steering.ACK, all[0].Token), packet[headroom:])
	require.NotEqual(t, token(first), token(second))
	require.NotEqual(t, first[:headroom], second[:headroom], "number of the server")
	require.Equal(t, newPacket(500, steering.SYN, token(second)), second[headroom:], "the caller's bytes but for the token")
	acknowledged := send(time.Millisecond, newPacket(500, steering.ACK, token(second)))
	require.Equal(t, second[:headroom], acknowledged[:headroom])
	cancel()
	require.ErrorIs(t, <-ended, context.Canceled)
	require.Subset(t, recorder.Snapshot().Counters, []metrics.Counter{
		{Part: "hedge", Reason: "hedged", Count: 1}, {Part: "hedge", Reason: "won", Count: 1}})
}
