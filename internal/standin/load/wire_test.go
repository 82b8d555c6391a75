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

// startServers returns two servers of the line control service.
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

// relay takes the place of fabric and instance: it passes each packet to the
// server that choose names, with its VNI. It calls done after limit packets.
func relay(t *testing.T, limit int, done func(), choose func(n int) (string, uint32)) netip.AddrPort {
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
				done()
			}
		}
	}()
	return conn.LocalAddr().(*net.UDPAddr).AddrPort()
}

// Guards against a load tool and a backend stand-in that disagree on the
// protocol of feeds, which would break every feed or none.
func TestFeedStaysOpenAtOneServer(t *testing.T) {
	service, servers := startServers(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	address := relay(t, 10, cancel, func(int) (string, uint32) { return servers[0].Document.FlowAddress, service.ID })
	result := runFeed(ctx, address, service, 0, rand.New(rand.NewPCG(1, 1)))
	require.Equal(t, feedClosed, result.end)
	require.Positive(t, result.messages)
	require.Equal(t, servers[0].Document.ID, result.server)
	require.Empty(t, servers[0].Record().Flows.Broken)
	require.Zero(t, servers[0].Record().Flows.Open)
}

// Guards against a flow that changes its server without being noticed at both ends.
func TestFeedThatMovesIsBroken(t *testing.T) {
	service, servers := startServers(t)
	address := relay(t, -1, nil, func(n int) (string, uint32) {
		return servers[min(n/5, 1)].Document.FlowAddress, service.ID
	})
	result := runFeed(context.Background(), address, service, 0, rand.New(rand.NewPCG(1, 1)))
	require.Equal(t, feedReset, result.end)
	broken := servers[1].Record().Flows.Broken
	require.Equal(t, result.source, broken[0].Source)
}

// Guards against a server that takes packets of another service.
func TestWrongVNIIsCountedAndDropped(t *testing.T) {
	service, servers := startServers(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	address := relay(t, 10, cancel, func(n int) (string, uint32) {
		if n == 5 {
			return servers[0].Document.FlowAddress, service.ID + 1
		}
		return servers[0].Document.FlowAddress, service.ID
	})
	require.Equal(t, feedClosed, runFeed(ctx, address, service, 0, rand.New(rand.NewPCG(1, 1))).end)
	require.Equal(t, 1, servers[0].Record().Flows.CrossService)
}

// Guards against a backend stand-in that hides a doubled run: the same key
// reaches two servers, and the checker must see both runs.
func TestDoubledRunIsSeen(t *testing.T) {
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
	r := judged(t, records, post(completed, attempt{operation: "k", sentAt: at(0), outcome: completed}))
	require.Equal(t, 1, r.Promises[PromiseAtMostOnce].Count)
}

// answering returns an operation whose instance gives the listed answers in turn.
func answering(t *testing.T, kind int, answers ...http.HandlerFunc) *operation {
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
		answers[min(n, len(answers)-1)](w, r)
	})}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return &operation{service: &d.Services[0], kind: &d.Services[0].Kinds[kind], client: &http.Client{}, random: rand.New(rand.NewPCG(1, 1)),
		targets: func() []string { return []string{listener.Addr().String()} }, id: "check-1", body: []byte("b")}
}

func answerWith(o outcome, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Outcome", string(o))
		_, _ = fmt.Fprint(w, body)
	}
}

// Guards against a caller that breaks the contract: a new key after an unknown
// outcome would make the checker blame the system for its own doubled work.
func TestCallerKeepsKeyAfterUnknownOutcome(t *testing.T) {
	o := answering(t, 1, answerWith(unknown, ""))
	result := o.run(context.Background())
	require.Equal(t, unknown, result.outcome)
	require.Len(t, result.attempts, maxTransmissions)
	for _, a := range result.attempts {
		require.Equal(t, "check-1", a.operation)
	}
}

// Guards against a transmission that counts as never sent because net/http
// repeated it on its own and found the instance gone: the run of the first one
// was then taken for a false not-run (faults.sh factory, seed 2).
func TestRepeatedTransmissionCountsAsSent(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	o := answering(t, 0, answerWith(notRun, ""))
	o.body = nil
	target := listener.Addr().String()
	go func() {
		// Answers the first request, then dies while it holds the second one.
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
	require.False(t, sent, "a refused connection carries nothing")
}

// Guards against a truncated answer, or one to another request, that is taken for whole.
func TestCallerChecksAnswers(t *testing.T) {
	other := fmt.Sprintf(`{"digest":"0000000000000001","pad":%q}`, strings.Repeat("x", 256))
	for _, body := range []string{other, other[:20]} {
		o := answering(t, 1, answerWith(completed, body))
		require.NotEmpty(t, o.run(context.Background()).wrong)
	}
}
