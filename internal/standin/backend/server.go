// Package backend stands in for the backend servers. All servers of a deployment
// run in one process; each has its own addresses, flow worker and request worker.
// They record flows and operations, which the load tool compares with the
// outcomes that callers received.
package backend

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/savorytiller/savorytiller/internal/standin/deployment"
	"github.com/savorytiller/savorytiller/internal/standin/wire"
)

const (
	// pushInterval is the time between two checks for feed messages that are due.
	pushInterval       = 20 * time.Millisecond
	packetQueueLength  = 4096
	requestQueueLength = 256
	// healthLag is the age of the state that the health endpoint reports.
	healthLag = 2 * time.Second
)

type packetEvent struct {
	segment *wire.Segment
	// Packets that are malformed or for another service are only counted.
	malformed, wrongService bool
}

type flowSnapshotEvent struct{ reply chan FlowRecord }

// Server is one backend server.
type Server struct {
	Document      wire.Server
	service       *deployment.Service
	condition     publishedCondition
	udp           *net.UDPConn
	listener      net.Listener
	flowEvents    chan any
	requestEvents chan any
}

// Start opens the sockets of a server and runs it in the background until the
// context ends.
func Start(ctx context.Context, service *deployment.Service, document wire.Server, seed uint64) (*Server, error) {
	udp, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, merry.Wrap(err)
	}
	_ = udp.SetReadBuffer(1 << 20)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, merry.Wrap(err)
	}
	document.FlowAddress, document.RequestAddress = udp.LocalAddr().String(), listener.Addr().String()
	s := &Server{Document: document, service: service, udp: udp, listener: listener,
		flowEvents: make(chan any, packetQueueLength), requestEvents: make(chan any, requestQueueLength)}
	s.condition.current.Store(&Condition{Undisturbed: true})
	context.AfterFunc(ctx, func() { _, _ = udp.Close(), listener.Close() })
	go s.readPackets()
	go s.runFlowWorker(ctx)
	go s.runRequestWorker(ctx)
	go s.serveHTTP(ctx, rand.New(rand.NewPCG(seed, uint64(len(document.ID)))))
	return s, nil
}

// readPackets decodes packets and passes them to the flow worker.
func (s *Server) readPackets() {
	buffer := make([]byte, wire.MaxPacketSize)
	for {
		n, _, err := s.udp.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		if s.condition.load().Down {
			continue
		}
		event := packetEvent{}
		vni, inner, err := wire.DecodeGeneve(buffer[:n])
		switch {
		case err != nil:
			event.malformed = true
		case vni != s.service.ID:
			event.wrongService = true
		default:
			event.segment, err = wire.DecodeInner(inner)
			if event.malformed = err != nil; err == nil {
				event.segment.Payload = nil // refers to the buffer
			}
		}
		s.flowEvents <- event
	}
}

// runFlowWorker runs the goroutine that owns the flow table of the server.
func (s *Server) runFlowWorker(ctx context.Context) {
	state := newFlowState(s.Document.ID, s.service.MessageInterval, s.Document.Connections)
	if state.interval == 0 {
		state.interval = time.Second
	}
	ticker := time.NewTicker(pushInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-s.flowEvents:
			condition := s.condition.load()
			state.applyCondition(condition)
			switch e := e.(type) {
			case flowSnapshotEvent:
				e.reply <- state.snapshot()
			case packetEvent:
				switch {
				case e.wrongService:
					state.record.CrossService++
				case e.malformed:
					state.record.Malformed++
				default:
					s.send(state.receive(e.segment, condition, time.Now()))
				}
			}
		case now := <-ticker.C:
			condition := s.condition.load()
			state.applyCondition(condition)
			if !condition.Down {
				s.send(state.dueMessages(now))
			}
		}
	}
}

// send sends segments to callers directly, not through the load balancer.
func (s *Server) send(segments []*wire.Segment) {
	for _, segment := range segments {
		packet, err := wire.EncodeInner(segment)
		if err != nil {
			continue
		}
		_, _ = s.udp.WriteToUDPAddrPort(packet, netip.AddrPortFrom(segment.Destination.Addr(), segment.Destination.Port()))
	}
}

// runRequestWorker runs the goroutine that owns the slots and the record of runs.
func (s *Server) runRequestWorker(ctx context.Context) {
	state := newRequestState(s.service.Host, s.Document.Slots)
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-s.requestEvents:
			now := time.Now()
			switch e := e.(type) {
			case acquireEvent:
				e.reply <- state.acquire(e.host, s.condition.load(), now)
			case runEvent:
				state.recordRun(e.operation, now)
				close(e.done)
			case releaseEvent:
				state.release(e)
			case requestSnapshotEvent:
				e.reply <- state.snapshot()
			}
		}
	}
}

// Record returns the counts and runs of the server so far.
func (s *Server) Record() Record {
	flows, requests := make(chan FlowRecord, 1), make(chan RequestRecord, 1)
	s.flowEvents <- flowSnapshotEvent{flows}
	s.requestEvents <- requestSnapshotEvent{requests}
	condition := s.condition.load()
	return Record{ID: s.Document.ID, Service: s.Document.Service, Zone: s.Document.Zone,
		Undisturbed: condition.Undisturbed, OutageStarts: condition.OutageStarts, Flows: <-flows, Requests: <-requests}
}

func (s *Server) serveHTTP(ctx context.Context, random *rand.Rand) {
	handler := newHTTPHandler(s, random)
	server := &http.Server{Handler: handler, ConnContext: withAcceptTime, IdleTimeout: 2 * time.Minute}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	_ = server.Serve(s.listener)
}
