package packets

import (
	"context"
	"encoding/binary"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/savorytiller/savorytiller/internal/adapter/clock"
	"github.com/savorytiller/savorytiller/internal/adapter/metrics"
	"github.com/savorytiller/savorytiller/internal/adapter/udp"
	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/core/room"
	"github.com/savorytiller/savorytiller/internal/core/steering"
	"github.com/savorytiller/savorytiller/internal/port"
)

// portCodec reads a SYN whose only content is the caller's port, and reports the servers.
type portCodec struct {
	port.PacketCodec
	servers chan *steering.Server
}

func (portCodec) Headroom() int { return 0 }

func (portCodec) Decode(datagram []byte, p *steering.Packet) error {
	*p = synOf(binary.BigEndian.Uint16(datagram))
	return nil
}

func (c portCodec) Encapsulate(buffer []byte, server *steering.Server, _ steering.Token) []byte {
	c.servers <- server
	return buffer
}

func synOf(caller uint16) steering.Packet {
	return steering.Packet{Key: steering.FlowKey{Caller: steering.Endpoint{Address: 9, Port: caller}, Route: steering.Endpoint{Address: 1, Port: 80}}, Flags: steering.SYN}
}

// sinks discards what the packets show.
type sinks struct{ snapshot *steering.Snapshot }

func (s sinks) Snapshot() *steering.Snapshot       { return s.snapshot }
func (sinks) Suspect(*steering.Server, model.Time) {}
func (sinks) UnknownToken(steering.Token)          {}
func (sinks) ReportLoad(*room.Report)              {}
func (s sinks) options(t *testing.T) (Options, *udp.Socket) {
	socket, err := udp.Listen(netip.MustParseAddrPort("127.0.0.1:0"))
	require.NoError(t, err)
	return Options{Socket: socket, Snapshots: s, Faults: s, Loads: s, Clock: clock.NewSystem(), Recorder: metrics.New(1), Log: logr.Discard(),
		Steerer: steering.NewSteerer(rand.New(rand.NewPCG(1, 2)), 5)}, socket
}

// newWorker returns a worker with 20 servers, a connection that sends datagrams to it, and the
// servers that the datagrams are sent to.
func newWorker(t *testing.T) (*Worker, *net.UDPConn, chan *steering.Server) {
	var servers []*steering.Server
	for i := range 20 {
		servers = append(servers, &steering.Server{ID: model.ServerID(rune('a' + i)), Service: "s", Zone: "z", Slots: 2, Address: netip.MustParseAddrPort("127.0.0.1:9")})
	}
	at := steering.Endpoint{Address: 1, Port: 80}
	o, socket := sinks{&steering.Snapshot{Version: 1, Zone: "z", InstancesInZone: 1, IdleTimeout: time.Minute, Lifetime: time.Minute, Servers: steering.NewTokenIndex(servers),
		Services: map[string]*steering.Service{"s": {Name: "s", Servers: servers}},
		Routes:   map[steering.Endpoint]*steering.Route{at: {Endpoint: at, Shares: []steering.Share{{Service: "s", Weight: 1}}}}}}.options(t)
	chosen := make(chan *steering.Server, 10_000)
	o.Codec = portCodec{servers: chosen}
	client, err := net.DialUDP("udp4", nil, net.UDPAddrFromAddrPort(socket.Address()))
	require.NoError(t, err)
	t.Cleanup(func() { _ = client.Close() })
	return New(o), client, chosen
}

// Guards against a question that waits for a packet, an answer that differs from what happens to
// the packet, and a wake-up that loses a datagram or a question of another caller.
func TestPreviewWakesTheTrafficGoroutine(t *testing.T) {
	w, client, chosen := newWorker(t)
	ctx, cancel := context.WithCancel(t.Context())
	var group sync.WaitGroup
	group.Go(func() { _ = w.Run(ctx) })
	defer group.Wait()
	defer cancel()
	send := func(caller uint16) {
		_, err := client.Write(binary.BigEndian.AppendUint16(nil, caller))
		require.NoError(t, err)
	}
	receive := func() *steering.Server {
		select {
		case server := <-chosen:
			return server
		case <-time.After(5 * time.Second):
			require.Fail(t, "a datagram was lost")
			return nil
		}
	}
	for caller := range uint16(100) {
		p := synOf(caller)
		preview, err := w.Preview(t.Context(), &p)
		require.NoError(t, err)
		send(caller)
		require.Equal(t, preview.Decision.Server, receive())
	}
	var askers sync.WaitGroup
	for range 8 {
		askers.Go(func() {
			for range 200 {
				p := synOf(60_000)
				if preview, err := w.Preview(t.Context(), &p); err == nil {
					assert.NotNil(t, preview.Decision.Server)
				} else {
					assert.ErrorIs(t, err, port.ErrBusy)
				}
			}
		})
	}
	for caller := uint16(1000); caller < 3000; caller++ {
		send(caller)
		receive()
	}
	askers.Wait()
	status, err := w.ServerStatus(t.Context())
	require.NoError(t, err)
	require.Len(t, status, 20)
	require.Positive(t, status[0].Flows)
}

// Guards against a caller that waits for ever, and against questions that pile up, while the
// traffic goroutine does not run.
func TestPreviewWithoutAnswerEnds(t *testing.T) {
	w, _, _ := newWorker(t)
	defer func() { _ = w.options.Socket.Close() }()
	p := synOf(1)
	for range maxQuestions {
		ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
		_, err := w.Preview(ctx, &p)
		cancel()
		require.ErrorIs(t, err, port.ErrUnavailable)
	}
	_, err := w.Preview(t.Context(), &p)
	require.ErrorIs(t, err, port.ErrBusy)
}
