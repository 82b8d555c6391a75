package app

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"
	"github.com/stretchr/testify/require"

	"github.com/savorytiller/savorytiller/internal/adapter/admin"
	"github.com/savorytiller/savorytiller/internal/adapter/settings"
)

// waitTimeout bounds each wait of these tests. It is long, so that no result depends
// on the speed of the machine.
const waitTimeout = time.Minute

// fakePlatform is a configuration service with one release note and a list of
// instances.
type fakePlatform struct {
	*httptest.Server
	mu        sync.Mutex
	note      string
	instances []map[string]string
}

func newFakePlatform(t *testing.T) *fakePlatform {
	p := &fakePlatform{}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/instances", func(w http.ResponseWriter, _ *http.Request) {
		p.mu.Lock()
		defer p.mu.Unlock()
		_ = json.NewEncoder(w).Encode(map[string]any{"instances": p.instances})
	})
	mux.HandleFunc("GET /v1/keys/release/latest", func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Revision", "1")
		if r.URL.Query().Get("watch") == "1" {
			select {
			case <-r.Context().Done():
			case <-time.After(30 * time.Second):
			}
		}
		_, _ = io.WriteString(w, `{"version": 1, "digest": ""}`)
	})
	mux.HandleFunc("GET /v1/keys/release/1", func(w http.ResponseWriter, _ *http.Request) {
		p.mu.Lock()
		defer p.mu.Unlock()
		w.Header().Set("Revision", "1")
		_, _ = io.WriteString(w, p.note)
	})
	p.Server = httptest.NewServer(mux)
	t.Cleanup(func() { p.CloseClientConnections(); p.Close() })
	return p
}

func (p *fakePlatform) addInstance(id, zone string, a Addresses) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.instances = append(p.instances, map[string]string{"id": id, "zone": zone, "state": "live",
		"flow_address": a.Flows.String(), "peer_address": a.Peers.String(), "request_address": a.Requests.String()})
}

// runningInstance is an instance under test.
type runningInstance struct {
	*Instance
	leave, stop context.CancelFunc
	ended       chan error
}

func startInstance(t *testing.T, p *fakePlatform, id, zone string) *runningInstance {
	t.Helper()
	s, err := settings.Parse(id+".toml", []byte(fmt.Sprintf(`
instance = { id = %q, zone = %q }
listen = { flows = "127.0.0.1:0", peers = "127.0.0.1:0", requests = "127.0.0.1:0", operators = "127.0.0.1:0" }
platform = { url = %q }
peer_keys = [ { id = 1, secret = "0123456789abcdef0123456789abcdef" } ]
shutdown = { notice_ms = 50, drain_ms = 60000 }
`, id, zone, p.URL)))
	require.NoError(t, err)
	i, err := New(s, io.Discard)
	require.NoError(t, err)
	p.addInstance(id, zone, i.Addresses())
	r := &runningInstance{Instance: i, ended: make(chan error, 1)}
	var leave, stop context.Context
	leave, r.leave = context.WithCancel(context.Background())
	stop, r.stop = context.WithCancel(context.Background())
	go func() { r.ended <- i.Run(leave, stop); close(r.ended) }()
	t.Cleanup(func() { r.stop(); r.leave(); <-r.ended })
	return r
}

func (r *runningInstance) get(t require.TestingT, path string, out any) int {
	response, err := http.Get("http://" + r.Addresses().Operators.String() + path)
	require.NoError(t, err)
	defer response.Body.Close()
	if out != nil {
		require.NoError(t, json.NewDecoder(response.Body).Decode(out))
	}
	return response.StatusCode
}

// waitReady waits until the instance is ready and has the given number of live members.
func (r *runningInstance) waitReady(t *testing.T, members int) {
	t.Helper()
	require.Eventually(t, func() bool {
		var s admin.Status
		r.get(t, "/status", &s)
		live := 0
		for _, m := range s.Members {
			if m.Liveness == "live" {
				live++
			}
		}
		return s.Ready && live == members
	}, waitTimeout, 5*time.Millisecond)
}

// backend is a backend server: a tunnel endpoint and an HTTP server.
type backend struct {
	tunnel  *net.UDPConn
	http    *httptest.Server
	packets chan gopacket.Packet
}

func newBackend(t *testing.T, serve http.HandlerFunc) *backend {
	t.Helper()
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)
	b := &backend{tunnel: conn, http: httptest.NewServer(serve), packets: make(chan gopacket.Packet, 256)}
	go func() {
		buffer := make([]byte, 9216)
		for {
			n, err := conn.Read(buffer)
			if err != nil {
				close(b.packets)
				return
			}
			data := append([]byte(nil), buffer[:n]...)
			b.packets <- gopacket.NewPacket(data, layers.LayerTypeGeneve, gopacket.Default)
		}
	}()
	t.Cleanup(func() { _ = conn.Close(); b.http.CloseClientConnections(); b.http.Close() })
	return b
}

const virtualAddress = "10.80.0.17:4000"

// releaseNote returns a release note with one service and the given servers, all in one
// zone.
func releaseNote(backends map[string]*backend, zone string) string {
	var servers []string
	for id, b := range backends {
		servers = append(servers, fmt.Sprintf(`{"id": %q, "service": "line-control", "zone": %q, "weight": 100, "slots": 4,
			"connections": 2000, "state": "active", "flow_address": %q, "request_address": %q}`,
			id, zone, b.tunnel.LocalAddr(), strings.TrimPrefix(b.http.URL, "http://")))
	}
	return fmt.Sprintf(`{"format": 1, "version": 1, "base": 0, "added": {"zones": [], "services": [{"id": 17,
		"name": "line-control", "tenant": "factory", "host": "line-control.local", "virtual_address": %q,
		"idle_timeout_ms": 900000, "request_timeout_ms": 20000, "max_body_bytes": 1048576, "kinds": [
		{"name": "status", "method": "GET", "path_prefix": "/status", "idempotent": true, "class": "reads", "share_percent": 50},
		{"name": "check", "method": "POST", "path_prefix": "/checks", "idempotent": false, "class": "writes", "share_percent": 50}]}],
		"servers": [%s]}, "changed": {"services": [], "servers": []},
		"withdrawn": {"zones": [], "services": [], "servers": []}}`, virtualAddress, strings.Join(servers, ","))
}

// flowPacket returns a packet of a caller, encapsulated as the fabric sends it to an
// instance.
func flowPacket(t *testing.T, from netip.AddrPort, syn bool, payload string) []byte {
	t.Helper()
	to := netip.MustParseAddrPort(virtualAddress)
	ip := layers.IPv4{Version: 4, TTL: 64, Protocol: layers.IPProtocolTCP,
		SrcIP: from.Addr().AsSlice(), DstIP: to.Addr().AsSlice()}
	tcp := layers.TCP{SrcPort: layers.TCPPort(from.Port()), DstPort: layers.TCPPort(to.Port()), SYN: syn, ACK: !syn, Ack: 1}
	require.NoError(t, tcp.SetNetworkLayerForChecksum(&ip))
	b := gopacket.NewSerializeBuffer()
	require.NoError(t, gopacket.SerializeLayers(b, gopacket.SerializeOptions{FixLengths: true, ComputeChecksums: true},
		&layers.Geneve{Protocol: layers.EthernetTypeIPv4}, &ip, &tcp, gopacket.Payload(payload)))
	return b.Bytes()
}

// send sends a packet to the flow address of an instance.
func send(t *testing.T, to *runningInstance, packet []byte) {
	t.Helper()
	conn, err := net.Dial("udp", to.Addresses().Flows.String())
	require.NoError(t, err)
	defer conn.Close()
	_, err = conn.Write(packet)
	require.NoError(t, err)
}

// waitForPacket waits until one of the backend servers receives a packet with the payload
// and returns the server's ID.
func waitForPacket(t *testing.T, backends map[string]*backend, payload string) string {
	t.Helper()
	found := make(chan string, 1)
	deadline := time.After(waitTimeout)
	for {
		for id, b := range backends {
			select {
			case p := <-b.packets:
				require.EqualValues(t, 17, p.Layer(layers.LayerTypeGeneve).(*layers.Geneve).VNI)
				if app := p.ApplicationLayer(); app != nil && string(app.Payload()) == payload {
					found <- id
				}
			default:
			}
		}
		select {
		case id := <-found:
			return id
		case <-deadline:
			t.Fatalf("packet %q did not arrive", payload)
		case <-time.After(time.Millisecond):
		}
	}
}

// Guards against parts of an instance that pass their own tests but fail together:
// all instances must send a flow's packets to the same backend server, /explain must
// name that server, and an instance that leaves must exit without an error.
func TestFlowThroughSeveralInstancesWithGracefulShutdown(t *testing.T) {
	backends := map[string]*backend{"line-01": newBackend(t, http.NotFound), "line-02": newBackend(t, http.NotFound)}
	p := newFakePlatform(t)
	p.note = releaseNote(backends, "halle-a")
	// The servers are cold, so only their home instance opens flows on them.
	instances := []*runningInstance{startInstance(t, p, "halle-a-1", "halle-a"), startInstance(t, p, "halle-b-1", "halle-b"),
		startInstance(t, p, "halle-c-1", "halle-c")}
	for _, i := range instances {
		i.waitReady(t, 3)
	}
	// The home instance opens flows only after health.NewHomeFlowDelay, in which it
	// would receive the number of flows that a previous home had opened.
	require.Eventually(t, func() bool {
		var e admin.Explanation
		status := instances[0].get(t, "/explain?service=line-control&source=127.0.0.1:49999", &e)
		return status == http.StatusOK && e.Flow.Server != ""
	}, waitTimeout, 50*time.Millisecond)
	for n := range 8 {
		caller := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(50000+n))
		var e admin.Explanation
		instance := instances[n%3]
		require.Equal(t, http.StatusOK, instance.get(t, "/explain?service=line-control&source="+caller.String(), &e))
		send(t, instance, flowPacket(t, caller, true, fmt.Sprint("first ", n)))
		server := waitForPacket(t, backends, fmt.Sprint("first ", n))
		require.Equal(t, e.Flow.Server, server, "explain and the decision differ: %+v", e.Flow)
		for k, i := range instances {
			payload := fmt.Sprint("packet ", n, " through ", k)
			send(t, i, flowPacket(t, caller, false, payload))
			require.Equal(t, server, waitForPacket(t, backends, payload))
		}
	}

	// The control gauges are updated only every half second.
	require.Eventually(t, func() bool {
		var m admin.Metrics
		return instances[0].get(t, "/metrics", &m) == http.StatusOK && m.Gauges["control.notes_applied"] == 1 &&
			m.Gauges["process.memory_bytes"] > 0
	}, waitTimeout, 10*time.Millisecond)

	server := sendOnFirstFlow(t, instances[0], backends, "before")
	instances[2].leave()
	require.NoError(t, <-instances[2].ended)
	require.Equal(t, server, sendOnFirstFlow(t, instances[1], backends, "after"))
}

// sendOnFirstFlow sends a packet of the first flow through an instance and returns
// the ID of the server that receives it.
func sendOnFirstFlow(t *testing.T, through *runningInstance, backends map[string]*backend, payload string) string {
	t.Helper()
	send(t, through, flowPacket(t, netip.MustParseAddrPort("127.0.0.1:50000"), false, payload))
	return waitForPacket(t, backends, payload)
}
