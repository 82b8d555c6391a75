package flows_test

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"
	"github.com/stretchr/testify/require"

	"github.com/savorytiller/savorytiller/internal/adapter/geneve"
	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/core/placement"
	"github.com/savorytiller/savorytiller/internal/core/table"
	"github.com/savorytiller/savorytiller/internal/core/view"
	"github.com/savorytiller/savorytiller/internal/port"
	"github.com/savorytiller/savorytiller/internal/traffic/flows"
)

type fixedClock model.Time

func (c fixedClock) Now() model.Time { return model.Time(c) }

type fixedView struct{ v *view.View }

func (f fixedView) View() *view.View { return f.v }

type countingRecorder struct {
	sync.Mutex
	byReason map[model.Reason]int
}

func (c *countingRecorder) Count(_ string, r model.Reason) {
	c.Lock()
	defer c.Unlock()
	c.byReason[r]++
}
func (c *countingRecorder) Observe(string, string, string, time.Duration) {}
func (c *countingRecorder) Decision(port.Decision)                        {}

func (c *countingRecorder) countOf(r model.Reason) int {
	c.Lock()
	defer c.Unlock()
	return c.byReason[r]
}

func listenLoopback(t *testing.T) *geneve.Socket {
	t.Helper()
	s, err := geneve.Listen(netip.MustParseAddrPort("127.0.0.1:0"))
	require.NoError(t, err)
	t.Cleanup(func() { _ = s.Close() })
	return s
}

// Guards against a broken path from socket to socket: a SYN that reaches an
// instance must arrive at the backend server with the service's VNI, and one to an
// unknown address must be dropped and counted.
func TestPacketReachesServer(t *testing.T) {
	instance, server := listenLoopback(t), listenLoopback(t)
	virtual := netip.MustParseAddrPort("10.80.0.17:4000")
	v := singleInstanceView(instance.Address(), server.Address(), virtual)
	recorder := &countingRecorder{byReason: map[model.Reason]int{}}
	pool := flows.New(flows.Options{
		Shards: 2, QueueLength: 16, MaxFlows: 100,
		Self: instance.Address(), Incarnation: 1,
		Views: fixedView{v}, Clock: fixedClock(1), Sender: instance, Recorder: recorder,
		NewCodec: func() port.FlowCodec { return geneve.NewCodec(geneve.Options{Self: instance.Address()}) },
	})
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	go pool.Run(ctx)
	go func() { _ = instance.Serve(ctx, pool.NewReader().Receive) }()

	arrived := make(chan []byte, 1)
	go func() { _ = server.Serve(ctx, func(b []byte) { arrived <- append([]byte(nil), b...) }) }()

	fabric, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(instance.Address()))
	require.NoError(t, err)
	defer fabric.Close()
	unknownAddress := netip.MustParseAddrPort("10.80.0.18:4000")
	for _, to := range []netip.AddrPort{unknownAddress, virtual} {
		_, err = fabric.Write(fabricPacket(t, to, true))
		require.NoError(t, err)
	}
	packet := gopacket.NewPacket(<-arrived, layers.LayerTypeGeneve, gopacket.Default)
	require.EqualValues(t, 17, packet.Layer(layers.LayerTypeGeneve).(*layers.Geneve).VNI)
	require.NotNil(t, packet.Layer(layers.LayerTypeTCP))
	require.Eventually(t, func() bool { return recorder.countOf(model.ReasonUnknownService) == 1 }, time.Minute, time.Millisecond)
}

// fabricPacket returns a packet as the fabric sends it: a SYN or an ACK.
func fabricPacket(t *testing.T, to netip.AddrPort, syn bool) []byte {
	t.Helper()
	ip := layers.IPv4{Version: 4, TTL: 64, Protocol: layers.IPProtocolTCP,
		SrcIP: net.IPv4(127, 0, 0, 1).To4(), DstIP: net.IP(to.Addr().AsSlice())}
	tcp := layers.TCP{SrcPort: 50123, DstPort: layers.TCPPort(to.Port()), SYN: syn, ACK: !syn}
	require.NoError(t, tcp.SetNetworkLayerForChecksum(&ip))
	b := gopacket.NewSerializeBuffer()
	require.NoError(t, gopacket.SerializeLayers(b, gopacket.SerializeOptions{FixLengths: true, ComputeChecksums: true},
		&layers.Geneve{Protocol: layers.EthernetTypeIPv4}, &ip, &tcp))
	return b.Bytes()
}

func singleInstanceView(self, serverAddress, virtual netip.AddrPort) *view.View {
	server := model.Server{ID: "line-01", Zone: "halle-a", FlowAddress: serverAddress, Weight: 100, Connections: 10}
	config := &model.Configuration{Version: 1, Services: []model.Service{{
		ID: 17, Name: "line-control", VirtualAddress: virtual, IdleTimeout: time.Minute, Servers: []model.Server{server},
	}}}
	member := model.Member{ID: "halle-a-1", Zone: "halle-a", FlowAddress: self}
	vs := &view.Server{Server: server, Service: 17, Number: placement.ServerNumber(server.ID), Warmth: view.Warm,
		NewWork: true, ConnectionLimit: 10}
	var history *table.History
	return &view.View{
		Sequence: 1, FreshUntil: 1 << 60, Self: member, Config: config,
		Members:  placement.NewMembers([]model.Member{member}),
		Tables:   map[model.ServiceID]*table.History{17: history.Push(table.NewGeneration(config, &config.Services[0]), 0)},
		Servers:  map[model.ServerID]*view.Server{server.ID: vs},
		ByNumber: map[view.ServerRef]*view.Server{{Service: 17, Number: vs.Number}: vs},
	}
}
