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

// limit is the overall time limit of a wait. It is generous: no verdict depends
// on the speed of the machine.
const limit = time.Minute

// platformFake serves one release note and the list of instances.
type platformFake struct {
	*httptest.Server
	mu        sync.Mutex
	note      string
	instances []map[string]string
}

func newPlatform(t *testing.T) *platformFake {
	p := &platformFake{}
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

func (p *platformFake) list(id, zone string, a Addresses) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.instances = append(p.instances, map[string]string{"id": id, "zone": zone, "state": "live",
		"flow_address": a.Flows.String(), "peer_address": a.Peers.String(), "request_address": a.Requests.String()})
}

// running is an instance under test.
type running struct {
	*Instance
	leave, stop context.CancelFunc
	ended       chan error
}

func startInstance(t *testing.T, p *platformFake, id, zone string) *running {
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
	p.list(id, zone, i.Addresses())
	r := &running{Instance: i, ended: make(chan error, 1)}
	var leave, stop context.Context
	leave, r.leave = context.WithCancel(context.Background())
	stop, r.stop = context.WithCancel(context.Background())
	go func() { r.ended <- i.Run(leave, stop); close(r.ended) }()
	t.Cleanup(func() { r.stop(); r.leave(); <-r.ended })
	return r
}

func (r *running) get(t require.TestingT, path string, into any) int {
	response, err := http.Get("http://" + r.Addresses().Operators.String() + path)
	require.NoError(t, err)
	defer response.Body.Close()
	if into != nil {
		require.NoError(t, json.NewDecoder(response.Body).Decode(into))
	}
	return response.StatusCode
}

// waitReady waits until the instance is ready and knows the given number of members.
func (r *running) waitReady(t *testing.T, members int) {
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
	}, limit, 5*time.Millisecond)
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

// noteFor returns a complete configuration with one service and the given servers.
func noteFor(backends map[string]*backend, zone string) string {
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

// flowPacket returns what the fabric sends for one packet of a caller.
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

// send sends a packet of the flow to one instance.
func send(t *testing.T, to *running, packet []byte) {
	t.Helper()
	conn, err := net.Dial("udp", to.Addresses().Flows.String())
	require.NoError(t, err)
	defer conn.Close()
	_, err = conn.Write(packet)
	require.NoError(t, err)
}

// arrival waits for a packet with the payload at any of the backend servers and
// returns the server's name.
func arrival(t *testing.T, backends map[string]*backend, payload string) string {
	t.Helper()
	found := make(chan string, 1)
	deadline := time.After(limit)
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

// Guards against an instance whose parts work alone and not together: a flow's
// packets must reach one backend server through every instance, the operators'
// endpoints must agree with that, and a leaving instance must exit cleanly.
func TestFlowThroughSeveralInstancesWithGracefulShutdown(t *testing.T) {
	backends := map[string]*backend{"line-01": newBackend(t, http.NotFound), "line-02": newBackend(t, http.NotFound)}
	p := newPlatform(t)
	p.note = noteFor(backends, "halle-a")
	// The servers are cold, so their one home instance chooses them.
	instances := []*running{startInstance(t, p, "halle-a-1", "halle-a"), startInstance(t, p, "halle-b-1", "halle-b"),
		startInstance(t, p, "halle-c-1", "halle-c")}
	for _, i := range instances {
		i.waitReady(t, 3)
	}
	// The home instance waits for the counts of a possible former one.
	require.Eventually(t, func() bool {
		var e admin.Explanation
		status := instances[0].get(t, "/explain?service=line-control&source=127.0.0.1:49999", &e)
		return status == http.StatusOK && e.Flow.Server != ""
	}, limit, 50*time.Millisecond)
	for n := range 8 {
		caller := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(50000+n))
		var e admin.Explanation
		asked := instances[n%3]
		require.Equal(t, http.StatusOK, asked.get(t, "/explain?service=line-control&source="+caller.String(), &e))
		send(t, asked, flowPacket(t, caller, true, fmt.Sprint("first ", n)))
		server := arrival(t, backends, fmt.Sprint("first ", n))
		require.Equal(t, e.Flow.Server, server, "explain and the decision differ: %+v", e.Flow)
		for k, i := range instances {
			payload := fmt.Sprint("packet ", n, " through ", k)
			send(t, i, flowPacket(t, caller, false, payload))
			require.Equal(t, server, arrival(t, backends, payload))
		}
	}

	// Control renews its state for operators every half second only.
	require.Eventually(t, func() bool {
		var m admin.Metrics
		return instances[0].get(t, "/metrics", &m) == http.StatusOK && m.Gauges["control.notes_applied"] == 1 &&
			m.Gauges["process.memory_bytes"] > 0
	}, limit, 10*time.Millisecond)

	server := arrivalOf(t, instances[0], backends, "before")
	instances[2].leave()
	require.NoError(t, <-instances[2].ended)
	require.Equal(t, server, arrivalOf(t, instances[1], backends, "after"))
}

// arrivalOf sends a packet of the first flow and returns the server that gets it.
func arrivalOf(t *testing.T, through *running, backends map[string]*backend, payload string) string {
	t.Helper()
	send(t, through, flowPacket(t, netip.MustParseAddrPort("127.0.0.1:50000"), false, payload))
	return arrival(t, backends, payload)
}
