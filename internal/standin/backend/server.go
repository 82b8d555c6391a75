// Package backend stands in for the backend servers. Many of them run in one
// process; each has its own addresses, flow worker and request worker. They
// record what happens to flows and operations, which the load tool compares
// with what callers were told.
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
	pushTick     = 20 * time.Millisecond
	packetQueue  = 4096
	requestQueue = 256
	// healthLag is the age of what the health endpoint reports.
	healthLag = 2 * time.Second
)

type packetEvent struct {
	segment *wire.Segment
	// malformed and foreign packets are only counted.
	malformed, foreign bool
}

type flowSnapshotEvent struct{ reply chan FlowRecord }

// Server is one backend server.
type Server struct {
	Document   wire.Server
	service    *deployment.Service
	conditions conditions
	udp        *net.UDPConn
	listener   net.Listener
	packets    chan any
	requests   chan any
}

// Start opens the sockets of a server and runs it until the context ends.
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
		packets: make(chan any, packetQueue), requests: make(chan any, requestQueue)}
	s.conditions.current.Store(&Condition{Steady: true})
	context.AfterFunc(ctx, func() { _, _ = udp.Close(), listener.Close() })
	go s.readPackets()
	go s.workFlows(ctx)
	go s.workRequests(ctx)
	go s.serveHTTP(ctx, rand.New(rand.NewPCG(seed, uint64(len(document.ID)))))
	return s, nil
}

// readPackets decodes packets and posts them to the flow worker.
func (s *Server) readPackets() {
	buffer := make([]byte, wire.MaxPacketSize)
	for {
		n, _, err := s.udp.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		if s.conditions.load().Down {
			continue
		}
		event := packetEvent{}
		vni, inner, err := wire.DecodeGeneve(buffer[:n])
		switch {
		case err != nil:
			event.malformed = true
		case vni != s.service.ID:
			event.foreign = true
		default:
			event.segment, err = wire.DecodeInner(inner)
			if event.malformed = err != nil; err == nil {
				event.segment.Payload = nil // refers to the buffer
			}
		}
		s.packets <- event
	}
}

// workFlows is the flow worker: it owns the flow table of the server.
func (s *Server) workFlows(ctx context.Context) {
	state := newFlowState(s.Document.ID, s.service.MessageInterval, s.Document.Connections)
	if state.interval == 0 {
		state.interval = time.Second
	}
	ticker := time.NewTicker(pushTick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-s.packets:
			condition := s.conditions.load()
			state.observe(condition)
			switch e := e.(type) {
			case flowSnapshotEvent:
				e.reply <- state.snapshot()
			case packetEvent:
				switch {
				case e.foreign:
					state.record.CrossService++
				case e.malformed:
					state.record.Malformed++
				default:
					s.send(state.receive(e.segment, condition, time.Now()))
				}
			}
		case now := <-ticker.C:
			condition := s.conditions.load()
			state.observe(condition)
			if !condition.Down {
				s.send(state.push(now))
			}
		}
	}
}

// send answers callers directly, without the entry instances.
func (s *Server) send(segments []*wire.Segment) {
	for _, segment := range segments {
		packet, err := wire.EncodeInner(segment)
		if err != nil {
			continue
		}
		_, _ = s.udp.WriteToUDPAddrPort(packet, netip.AddrPortFrom(segment.Destination.Addr(), segment.Destination.Port()))
	}
}

// workRequests is the request worker: it owns the slots and the record of runs.
func (s *Server) workRequests(ctx context.Context) {
	state := newRequestState(s.service.Host, s.Document.Slots)
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-s.requests:
			now := time.Now()
			switch e := e.(type) {
			case beginEvent:
				e.reply <- state.begin(e.host, s.conditions.load(), now)
			case runEvent:
				state.run(e.operation, now)
				close(e.done)
			case endEvent:
				state.end(e)
			case requestSnapshotEvent:
				e.reply <- state.snapshot()
			}
		}
	}
}

// Record returns what the server has seen so far.
func (s *Server) Record() Record {
	flows, requests := make(chan FlowRecord, 1), make(chan RequestRecord, 1)
	s.packets <- flowSnapshotEvent{flows}
	s.requests <- requestSnapshotEvent{requests}
	condition := s.conditions.load()
	return Record{ID: s.Document.ID, Service: s.Document.Service, Zone: s.Document.Zone,
		Steady: condition.Steady, Excuses: condition.Excuses, Flows: <-flows, Requests: <-requests}
}

func (s *Server) serveHTTP(ctx context.Context, random *rand.Rand) {
	front := newFront(s, random)
	server := &http.Server{Handler: front, ConnContext: rememberAccept, IdleTimeout: 2 * time.Minute}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	_ = server.Serve(s.listener)
}
