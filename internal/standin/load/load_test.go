package load

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/savorytiller/savorytiller/internal/standin/backend"
	"github.com/savorytiller/savorytiller/internal/standin/deployment"
	"github.com/savorytiller/savorytiller/internal/standin/wire"
)

// startServers starts two servers of the line-control service.
func startServers(t *testing.T) (*deployment.Service, []*backend.Server) {
	t.Helper()
	d, err := deployment.Get("factory")
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	service := &d.Services[0]
	service.MessageInterval = 10 * time.Millisecond
	var servers []*backend.Server
	for i := range 2 {
		server, err := backend.Start(ctx, service, d.ServerDocument(service, i), 1)
		require.NoError(t, err)
		servers = append(servers, server)
	}
	return service, servers
}

// startRelay stands in for fabric and instance: it forwards each packet to the
// address and with the VNI that choose returns for its number, counted from 0. After
// packet number limit it calls onLimit; -1 means never.
func startRelay(t *testing.T, limit int, onLimit func(), choose func(n int) (string, uint32)) netip.AddrPort {
	t.Helper()
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	go func() {
		buffer := make([]byte, wire.MaxPacketSize)
		for n := 0; ; n++ {
			size, _, err := conn.ReadFromUDPAddrPort(buffer)
			if err != nil {
				return
			}
			address, vni := choose(n)
			packet, _ := wire.EncodeGeneve(vni, buffer[:size])
			_, _ = conn.WriteToUDPAddrPort(packet, netip.MustParseAddrPort(address))
			if n == limit {
				onLimit()
			}
		}
	}()
	return conn.LocalAddr().(*net.UDPAddr).AddrPort()
}

// Guards against a mismatch between load tool and backend stand-in in the protocol
// of feeds: every feed would seem broken, or none.
func TestFeedStaysOpenAtOneServer(t *testing.T) {
	service, servers := startServers(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	address := startRelay(t, 10, cancel, func(int) (string, uint32) { return servers[0].Document.FlowAddress, service.ID })
	result := runFeed(ctx, address, service, 0, rand.New(rand.NewPCG(1, 1)))
	require.Equal(t, feedClosed, result.end)
	require.Positive(t, result.messages)
	require.Equal(t, servers[0].Document.ID, result.server)
	require.Empty(t, servers[0].Record().Flows.Broken)
	require.Zero(t, servers[0].Record().Flows.Open)
}

// Guards against a flow that moves to another server while the caller or that server
// does not detect it.
func TestFeedMovedToOtherServerIsReset(t *testing.T) {
	service, servers := startServers(t)
	address := startRelay(t, -1, nil, func(n int) (string, uint32) {
		return servers[min(n/5, 1)].Document.FlowAddress, service.ID
	})
	result := runFeed(context.Background(), address, service, 0, rand.New(rand.NewPCG(1, 1)))
	require.Equal(t, feedReset, result.end)
	broken := servers[1].Record().Flows.Broken
	require.Equal(t, result.source, broken[0].Source)
}

// Guards against a server that accepts packets of another service: it would hide a
// violation of NoCrossService.
func TestWrongVNIIsCountedAndDropped(t *testing.T) {
	service, servers := startServers(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	address := startRelay(t, 10, cancel, func(n int) (string, uint32) {
		if n == 5 {
			return servers[0].Document.FlowAddress, service.ID + 1
		}
		return servers[0].Document.FlowAddress, service.ID
	})
	require.Equal(t, feedClosed, runFeed(ctx, address, service, 0, rand.New(rand.NewPCG(1, 1))).end)
	require.Equal(t, 1, servers[0].Record().Flows.CrossService)
}

// Guards against a duplicate run that the backend stand-ins do not record: the
// same key reaches two servers, and the evaluation must count both runs.
func TestDuplicateRunIsReported(t *testing.T) {
	service, servers := startServers(t)
	body := bytes.Repeat([]byte("b"), service.Kinds[1].BodySize)
	var records []backend.Record
	for _, server := range servers {
		request, err := http.NewRequest(http.MethodPost, "http://"+server.Document.RequestAddress+"/checks/1", bytes.NewReader(body))
		require.NoError(t, err)
		request.Host = service.Host
		request.Header.Set("Idempotency-Key", "k")
		response, err := http.DefaultClient.Do(request)
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, response.StatusCode)
		require.NoError(t, response.Body.Close())
		records = append(records, server.Record())
	}
	r := evaluateResults(t, records, postResult(completed, attempt{operation: "k", sentAt: at(0), outcome: completed}))
	require.Equal(t, 1, r.Promises[PromiseAtMostOnce].Count)
}

// operationWithResponses returns an operation whose instance sends the listed
// responses in turn and then repeats the last one.
func operationWithResponses(t *testing.T, kind int, responses ...http.HandlerFunc) *operation {
	t.Helper()
	d, err := deployment.Get("factory")
	require.NoError(t, err)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	sent := make(chan int, 1)
	sent <- 0
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n := <-sent
		sent <- n + 1
		responses[min(n, len(responses)-1)](w, r)
	})}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return &operation{service: &d.Services[0], kind: &d.Services[0].Kinds[kind], client: &http.Client{}, random: rand.New(rand.NewPCG(1, 1)),
		targets: func() []string { return []string{listener.Addr().String()} }, id: "check-1", body: []byte("b")}
}

func respondWith(o outcome, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Outcome", string(o))
		_, _ = fmt.Fprint(w, body)
	}
}

// Guards against a load tool that uses a new key after an unknown outcome: the
// evaluation would report its own duplicate run as a fault of the system.
func TestCallerKeepsKeyAfterUnknownOutcome(t *testing.T) {
	o := operationWithResponses(t, 1, respondWith(unknown, ""))
	result := o.run(context.Background())
	require.Equal(t, unknown, result.outcome)
	require.Len(t, result.attempts, maxTransmissions)
	for _, a := range result.attempts {
		require.Equal(t, "check-1", a.operation)
	}
}

// Guards against a transmission that counts as not sent because net/http retried
// it by itself and the second connection was refused: the run of the first
// transmission was then reported as a violation of NotRun (faults.sh factory, seed 2).
func TestTransmissionRetriedByHTTPClientCountsAsSent(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	o := operationWithResponses(t, 0, respondWith(notRun, ""))
	o.body = nil
	target := listener.Addr().String()
	go func() {
		// Answers the first request, then closes everything during the second one.
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		reader := bufio.NewReader(conn)
		_, _ = http.ReadRequest(reader)
		_, _ = fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		_, _ = http.ReadRequest(reader)
		_, _ = listener.Close(), conn.Close()
	}()
	_, sent := o.transmit(context.Background(), target, "", 1, time.Minute)
	require.True(t, sent)
	a, sent := o.transmit(context.Background(), target, "", 2, time.Minute)
	require.True(t, sent)
	require.Equal(t, unknown, a.outcome)
	_, sent = o.transmit(context.Background(), target, "", 3, time.Minute)
	require.False(t, sent, "nothing is sent on a refused connection")
}

// Guards against a truncated response, or one to another request, that passes the check.
func TestCallerChecksResponses(t *testing.T) {
	other := fmt.Sprintf(`{"digest":"0000000000000001","pad":%q}`, strings.Repeat("x", 256))
	for _, body := range []string{other, other[:20]} {
		o := operationWithResponses(t, 1, respondWith(completed, body))
		require.NotEmpty(t, o.run(context.Background()).responseError)
	}
}
