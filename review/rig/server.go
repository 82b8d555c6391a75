package main

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Properties of the servers, as the users' pages and site files state them.
const (
	heartbeat       = 1200 * time.Millisecond
	missedBeats     = 3
	idleClose       = 12 * time.Second
	resendFirst     = 200 * time.Millisecond
	resendMost      = 1600 * time.Millisecond
	resends         = 8
	acceptQueue     = 1 // the shortest, so that a dark machine can be one whose queue is full
	fillInterval    = 20 * time.Millisecond
	serverNumberLen = 8
)

// server is a backend server. It may restart under its id.
type server struct {
	w       *world
	id      string
	number  uint64
	service string
	zone    string
	address netip.AddrPort
	work    time.Duration
	warmup  time.Duration // how long it stays cold after a start during the case
	packets *net.UDPConn
	health  *gate

	mu        sync.Mutex
	state     string
	born      int64
	startedAt time.Time
	cutUntil  time.Time // when the last cut ended
	coldUntil time.Time
	dark      bool // the machine has no power
	down      bool // the process does not run
	isCut     bool // the machines of the system don't reach the server
	sequence  uint64
	lastBeat  time.Time
	listed    bool
	flows     map[flowID]*serverFlow
	// openings are the opening packets that the server took.
	openings []opening
}

// opening is an opening packet that a server took.
type opening struct {
	flow         flowID
	sent, taken  time.Time
	machine      string // the machine that sent it on
	cold         bool
	retransmited uint32
}

// flowID identifies a flow by the ends of the client and the route.
type flowID struct {
	src, dst     uint32
	sport, dport uint16
}

func (id flowID) String() string {
	return fmt.Sprintf("%v:%d>%v:%d", numberAddr(id.src), id.sport, numberAddr(id.dst), id.dport)
}

// serverFlow is a flow at a server.
type serverFlow struct {
	clientSeq uint32 // of the SYN
	expected  uint32 // the next byte of the client
	seq       uint32 // the next byte of the server
	acked     uint32
	echo      uint32
	open      bool
	ended     bool
	// request is the sequence number of the request in progress or answered last, and answer the
	// answer to it, nil while it runs.
	request   uint32
	answer    []byte
	answerSeq uint32
}

// newServer starts a server and lists it in the store.
func (w *world) newServer(id, service, zone string, n byte, work time.Duration) (*server, error) {
	s := &server{w: w, id: id, service: service, zone: zone, work: work, address: netip.AddrPortFrom(w.ip(3, n), w.port),
		state: "ready", flows: map[flowID]*serverFlow{}}
	if _, err := fmt.Sscanf(id[strings.LastIndexByte(id, '-')+1:], "%x", &s.number); err != nil {
		return nil, err
	}
	s.startedAt = time.Now()
	s.born = s.startedAt.UnixMilli()
	health, err := newGate(s.address)
	if err != nil {
		return nil, err
	}
	if s.packets, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(s.address)); err != nil {
		return nil, err
	}
	s.serve(health)
	go s.receive()
	go s.beats()
	w.mu.Lock()
	w.servers = append(w.servers, s)
	w.mu.Unlock()
	return s, nil
}

// entry is what the server says of itself. The caller holds the mutex.
func (s *server) entry(sequence uint64) map[string]any {
	left := max(0, time.Until(s.coldUntil).Milliseconds())
	return map[string]any{"Service": s.service, "Address": s.address.String(), "Zone": s.zone, "Version": "v1", "Slots": 4,
		"State": s.state, "WarmupLeftMs": left, "Sequence": sequence, "born": s.born}
}

func (s *server) key() string { return "servers/" + s.id }

// beat writes the server's entry if it has changed.
func (s *server) beat() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.dark || s.down {
		return
	}
	up, written := s.w.store.beat(s.key(), s.entry(s.sequence), s.entry(s.sequence+1))
	if up {
		s.lastBeat = time.Now()
	}
	if written {
		s.sequence++
		s.listed = true
		s.w.record.printf("%s writes its entry: %s, born %d, cold for %d ms", s.id, s.state, s.born, max(0, time.Until(s.coldUntil).Milliseconds()))
	}
}

// beats writes the entry periodically, and removes it after three silent intervals.
func (s *server) beats() {
	time.Sleep(time.Duration(rand.Int64N(int64(100 * time.Millisecond))))
	for n := 0; !s.w.ended(); n++ {
		if n%12 == 0 {
			s.beat()
		}
		time.Sleep(heartbeat / 12)
		s.mu.Lock()
		silent := s.w.store.isSilent()
		if silent {
			s.lastBeat = time.Now()
		}
		if s.listed && time.Since(s.lastBeat) > missedBeats*heartbeat {
			s.listed = false
			s.w.store.remove(s.key())
			s.w.record.printf("the entry of %s expires", s.id)
		}
		s.mu.Unlock()
	}
}

// drain reports that the server leaves.
func (s *server) drain() {
	s.mu.Lock()
	s.state = "draining"
	s.mu.Unlock()
	s.beat()
}

// losePower makes the server's machine dark for some time. It then starts again under the same id,
// cold, with nothing of before.
func (s *server) losePower(d time.Duration) {
	s.mu.Lock()
	s.dark = true
	s.mu.Unlock()
	s.health.setDark(true)
	s.w.record.printf("%s loses power", s.id)
	time.Sleep(d)
	s.mu.Lock()
	s.dark, s.flows, s.sequence = false, map[flowID]*serverFlow{}, 0
	s.startedAt = time.Now()
	s.born, s.coldUntil = s.startedAt.UnixMilli(), s.startedAt.Add(s.warmup)
	s.mu.Unlock()
	s.health.setDark(false)
	s.w.record.printf("%s has started again under its id, cold for %v", s.id, s.warmup)
	s.beat()
}

// crash ends the server's process. It starts again under the same id after some time, cold, with
// nothing of before. Meanwhile its machine refuses connections and resets flows.
func (s *server) crash(d time.Duration) {
	s.mu.Lock()
	s.down = true
	s.mu.Unlock()
	s.health.shut()
	s.w.record.printf("%s crashes", s.id)
	time.Sleep(d)
	health, err := newGate(s.address)
	if err != nil {
		s.w.died.Store(true)
		s.w.record.printf("%s cannot start again: %v", s.id, err)
		return
	}
	s.serve(health)
	s.mu.Lock()
	s.down, s.flows, s.sequence = false, map[flowID]*serverFlow{}, 0
	s.startedAt = time.Now()
	s.born, s.coldUntil = s.startedAt.UnixMilli(), s.startedAt.Add(s.warmup)
	s.mu.Unlock()
	s.w.record.printf("%s has started again under its id, cold for %v", s.id, s.warmup)
	s.beat()
}

// serve starts to answer health checks.
func (s *server) serve(g *gate) {
	s.health = g
	health := &http.Server{Handler: http.HandlerFunc(s.serveHealth), ReadHeaderTimeout: idleClose, IdleTimeout: idleClose}
	go func() { _ = health.Serve(g) }() // ends with the listener
}

// cut cuts the server off from all machines of the system for some time, without a trace. It
// reaches the store meanwhile.
func (s *server) cut(d time.Duration) {
	s.mu.Lock()
	s.isCut = true
	s.mu.Unlock()
	s.health.setDark(true)
	s.w.record.printf("%s is cut off", s.id)
	time.Sleep(d)
	s.mu.Lock()
	s.isCut, s.cutUntil = false, time.Now()
	s.mu.Unlock()
	s.health.heal()
	s.w.record.printf("%s is no longer cut off", s.id)
}

func (s *server) serveHealth(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	leaving := s.state != "ready"
	s.mu.Unlock()
	w.Header().Set("Instance-Id", s.id)
	if leaving {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (s *server) receive() {
	buffer := make([]byte, 2048)
	for {
		n, from, err := s.packets.ReadFromUDPAddrPort(buffer)
		if err != nil {
			if s.w.ended() {
				return
			}
			continue // an earlier answer met a closed port
		}
		if n < serverNumberLen {
			continue
		}
		if number := binary.BigEndian.Uint64(buffer); number != 0 && number != s.number {
			continue
		}
		s.handle(append([]byte(nil), buffer[serverNumberLen:n]...), from)
	}
}

// handle processes a packet that a machine of the system sent.
func (s *server) handle(b []byte, from netip.AddrPort) {
	var h header
	data, ok := h.decode(b)
	if !ok || h.sum != sumOf(b) {
		s.w.record.breaks("UNASKED", "%s got a packet that its sender did not write so, from %s", s.id, s.w.machineAt(from))
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.dark || s.isCut {
		return
	}
	id := flowID{h.src, h.dst, h.sport, h.dport}
	f := s.flows[id]
	switch {
	case s.down:
		s.send(id, &header{echo: h.echo, flags: flagRST, seq: h.ack}, nil)
	case h.flags&(flagSYN|flagACK) == flagSYN:
		s.takeSYN(id, &h, from)
	case f == nil:
		s.w.record.printf("%s does not hold flow %v and resets it", s.id, id)
		s.send(id, &header{echo: h.echo, flags: flagRST, seq: h.ack}, nil)
	case h.flags&flagRST != 0:
		delete(s.flows, id)
	default:
		f.echo = h.echo
		s.takeData(id, f, &h, data)
	}
}

func (s *server) takeSYN(id flowID, h *header, from netip.AddrPort) {
	f := s.flows[id]
	if f == nil || f.clientSeq != h.seq {
		f = &serverFlow{clientSeq: h.seq, expected: h.seq + 1, seq: rand.Uint32()}
		s.flows[id] = f
		o := opening{id, s.w.sentAt(id, h.ack), time.Now(), s.w.machineAt(from), time.Now().Before(s.coldUntil), h.ack}
		s.openings = append(s.openings, o)
		s.w.record.printf("%s takes the opening packet of flow %v from %s", s.id, id, o.machine)
	}
	f.echo = h.echo
	s.send(id, &header{echo: f.echo, flags: flagSYN | flagACK, seq: f.seq, ack: f.expected}, nil)
}

func (s *server) takeData(id flowID, f *serverFlow, h *header, data []byte) {
	if !f.open && h.ack == f.seq+1 {
		f.open = true
		f.seq++
		f.acked = f.seq
		s.w.flowOpened(id, s)
	}
	if int32(h.ack-f.acked) > 0 {
		f.acked = h.ack
	}
	if len(data) > 0 {
		switch {
		case f.ended:
			s.send(id, &header{echo: f.echo, flags: flagRST, seq: h.ack}, nil)
			return
		case h.seq == f.expected:
			f.expected += uint32(len(data))
			f.request, f.answer = h.seq, nil
			s.run(id, f, string(data))
		case h.seq == f.request && f.answer != nil:
			s.sendAnswer(id, f)
			return
		}
		s.send(id, &header{echo: f.echo, flags: flagACK, seq: f.seq, ack: f.expected}, nil)
	}
	if h.flags&flagFIN != 0 {
		f.ended = true
		s.send(id, &header{echo: f.echo, flags: flagACK, seq: f.seq, ack: h.seq + uint32(len(data)) + 1}, nil)
	}
}

// run runs a request and answers it.
func (s *server) run(id flowID, f *serverFlow, text string) {
	s.w.requestRuns(s, id, text)
	born := s.born
	time.AfterFunc(s.work, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.dark || s.down || s.born != born || s.flows[id] != f {
			return
		}
		f.answer, f.answerSeq = []byte("answer to "+text+" by "+s.id), f.seq
		f.seq += uint32(len(f.answer))
		s.sendAnswer(id, f)
		s.resend(id, f, f.answerSeq, resendFirst, resends)
	})
}

// resend sends an answer again until the client has acknowledged it.
func (s *server) resend(id flowID, f *serverFlow, seq uint32, wait time.Duration, left int) {
	born := s.born
	time.AfterFunc(wait, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if left == 0 || s.dark || s.down || s.born != born || s.flows[id] != f || f.answer == nil || f.answerSeq != seq || int32(f.acked-seq) > 0 {
			return
		}
		s.sendAnswer(id, f)
		s.resend(id, f, seq, min(2*wait, resendMost), left-1)
	})
}

func (s *server) sendAnswer(id flowID, f *serverFlow) {
	s.send(id, &header{echo: f.echo, flags: flagACK, seq: f.answerSeq, ack: f.expected}, f.answer)
}

// send sends a packet of a flow directly to its client.
func (s *server) send(id flowID, h *header, data []byte) {
	h.src, h.sport, h.dst, h.dport = id.dst, id.dport, id.src, id.sport
	_, _ = s.packets.WriteToUDPAddrPort(h.encode(data), netip.AddrPortFrom(numberAddr(id.src), s.w.port))
}

// run is one run of a server, from its start to its end.
type run struct {
	server *server
	born   int64
}

// lives reports whether the run has not ended, and the server and its links have been undisturbed
// for some time.
func (r run) lives(d time.Duration) bool {
	s := r.server
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.born == r.born && !s.dark && !s.down && !s.isCut && time.Since(s.startedAt) > d && time.Since(s.cutUntil) > d
}

// gate is a listener of a machine that can be dark: then it accepts nothing, and its queue is full,
// so that connections to it hang.
type gate struct {
	net.Listener
	mu      sync.Mutex
	lit     chan struct{} // closed unless the machine is dark
	open    map[net.Conn]bool
	address netip.AddrPort
}

func newGate(address netip.AddrPort) (*gate, error) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, err
	}
	f := os.NewFile(uintptr(fd), "gate")
	defer f.Close()
	if err := syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		return nil, err
	}
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Port: int(address.Port()), Addr: address.Addr().As4()}); err != nil {
		return nil, err
	}
	if err := syscall.Listen(fd, acceptQueue); err != nil {
		return nil, err
	}
	l, err := net.FileListener(f)
	if err != nil {
		return nil, err
	}
	lit := make(chan struct{})
	close(lit)
	return &gate{Listener: l, lit: lit, open: map[net.Conn]bool{}, address: address}, nil
}

// Accept implements net.Listener.
func (g *gate) Accept() (net.Conn, error) {
	for {
		g.mu.Lock()
		lit := g.lit
		g.mu.Unlock()
		<-lit
		c, err := g.Listener.Accept()
		if err != nil {
			return nil, err
		}
		g.mu.Lock()
		select {
		case <-g.lit:
			g.open[c] = true
			g.mu.Unlock()
			return c, nil
		default:
			g.mu.Unlock() // the machine went dark meanwhile
			reset(c)
		}
	}
}

// setDark makes the machine dark, or brings it back with none of its connections.
func (g *gate) setDark(dark bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !dark {
		for c := range g.open {
			reset(c)
		}
		g.open = map[net.Conn]bool{}
		close(g.lit)
		return
	}
	g.lit = make(chan struct{})
	go g.fill(g.lit)
}

// fill keeps the queue of new connections full until the machine is back.
func (g *gate) fill(lit chan struct{}) {
	var held []net.Conn
	for range int(limit / fillInterval) {
		select {
		case <-lit:
			for _, c := range held {
				_ = c.Close()
			}
			return
		default:
		}
		if c, err := net.DialTimeout("tcp4", g.address.String(), fillInterval); err == nil {
			held = append(held, c)
		}
	}
}

// heal ends a cut: the connections of before go on.
func (g *gate) heal() {
	g.mu.Lock()
	defer g.mu.Unlock()
	close(g.lit)
}

// shut closes the listener and all connections.
func (g *gate) shut() {
	_ = g.Listener.Close()
	g.mu.Lock()
	defer g.mu.Unlock()
	for c := range g.open {
		_ = c.Close()
	}
}

func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}
