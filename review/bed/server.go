package main

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

const (
	heartbeat = 1200 * time.Millisecond
	// coldTime is how long a server is cold after a start.
	coldTime = 2 * time.Second
	workTime = 29 * time.Millisecond
	slots    = 2
)

// opening is the first packet of a flow that a server took.
type opening struct {
	at, sentAt time.Time
	key        flowKey
	cold       bool
}

// server is a stand-in for a backend server.
type server struct {
	w             *world
	id            string
	number        uint64
	service, zone string
	addr          netip.AddrPort
	packets       *net.UDPConn
	health        net.Listener
	busy          chan struct{} // one element for each slot in use

	mu    sync.Mutex
	conns map[net.Conn]bool // open connections to the health check
	// cutOff is set while the server cannot reach the store, and beatAt when it last wrote there.
	cutOff    bool
	beatAt    time.Time
	startedAt time.Time
	wasWarm   bool // it was started before the traffic
	state     string
	// dark is set while the server has no power: it answers nothing.
	dark     bool
	flows    map[flowKey]*serverFlow
	openings []opening
	entry    string // what it last wrote
}

// serverFlow is the server's end of a flow.
type serverFlow struct {
	seq, next uint32 // of the next byte to send, and of the next one expected
	echo      uint32
	answer    []byte // the last answer, for retransmissions
	answered  uint32 // end of the data that it answers
}

// newServer starts a server. A warm one was started long before.
func newServer(w *world, id, service, zone string, addr netip.AddrPort, warm bool) (*server, error) {
	s := &server{w: w, id: id, service: service, zone: zone, addr: addr, busy: make(chan struct{}, slots), flows: map[flowKey]*serverFlow{}, conns: map[net.Conn]bool{}, startedAt: time.Now(), wasWarm: warm, state: "ready"}
	if _, err := fmt.Sscanf(id, "i-%x", &s.number); err != nil {
		return nil, err
	}
	if warm {
		s.startedAt = time.Now().Add(-time.Minute)
	}
	if err := s.listen(); err != nil {
		return nil, err
	}
	go s.beat()
	return s, nil
}

// listen opens the ports of the server.
func (s *server) listen() (err error) {
	if s.packets, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(s.addr)); err != nil {
		return err
	}
	if s.health, err = net.Listen("tcp4", s.addr.String()); err != nil {
		return err
	}
	h := &http.Server{Handler: http.HandlerFunc(s.serveHealth), ConnState: s.connChanged}
	go func() { _ = h.Serve(s.health) }()
	go s.receive(s.packets)
	return nil
}

func (s *server) connChanged(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state == http.StateClosed {
		delete(s.conns, c)
	} else {
		s.conns[c] = true
	}
}

// resetConns resets the connections to the health check, which the server no longer knows. The
// caller holds the mutex.
func (s *server) resetConns() {
	for c := range s.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		go func() { _ = c.Close() }()
	}
}

// coldLeft returns how much longer the server is cold. The caller holds the mutex.
func (s *server) coldLeft(now time.Time) time.Duration {
	return max(0, s.startedAt.Add(coldTime).Sub(now))
}

// beat writes the entry when the server starts and at each heartbeat.
func (s *server) beat() {
	for next := time.Now(); ; {
		s.writeEntry()
		if next = next.Add(heartbeat); s.isCutOff() {
			next = time.Now().Add(10 * time.Millisecond) // the store removes the entry in time
		}
		time.Sleep(time.Until(next))
	}
}

func (s *server) isCutOff() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cutOff
}

// writeEntry writes the server's entry unless only its sequence would change.
func (s *server) writeEntry() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.dark || s.cutOff {
		if s.cutOff && s.entry != "" && time.Since(s.beatAt) > 3*heartbeat && s.w.store.put("servers/"+s.id, nil) {
			s.entry = ""
			s.w.record("the entry of %s expires", s.id)
		}
		return
	}
	s.beatAt = time.Now()
	left := s.coldLeft(time.Now()).Milliseconds()
	entry := fmt.Sprint(s.state, left, s.startedAt.UnixMilli())
	if entry != s.entry && s.w.store.put("servers/"+s.id, map[string]any{"Service": s.service, "Address": s.addr.String(), "Zone": s.zone, "Version": "v1",
		"Slots": slots, "State": s.state, "WarmupLeftMs": left, "Sequence": 1, "born": s.startedAt.UnixMilli()}) {
		s.entry = entry
		s.w.record("store acknowledges %s %s, cold for %d ms, born %d", s.id, s.state, left, s.startedAt.UnixMilli())
	}
}

// drain announces that the server leaves. It serves on.
func (s *server) drain() {
	s.mu.Lock()
	s.state = "draining"
	s.mu.Unlock()
	s.writeEntry()
}

// losePower makes the server silent. It forgets its flows.
func (s *server) losePower() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dark = true
	s.flows = map[flowKey]*serverFlow{}
}

// start starts the server again under its id, cold.
func (s *server) start() {
	s.mu.Lock()
	s.dark, s.startedAt, s.wasWarm = false, time.Now(), false
	s.resetConns()
	s.mu.Unlock()
	s.w.record("server %s starts again, cold for %d ms", s.id, coldTime.Milliseconds())
	s.writeEntry()
}

// cutFromStore cuts the server off from the store.
func (s *server) cutFromStore() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.w.record("server %s is cut off from the store", s.id)
	s.cutOff = true
}

// waitForLapse waits until the store has removed the entry of the server, at most until a time since
// the start. It reports whether that happened.
func (s *server) waitForLapse(end time.Duration) bool {
	for ; time.Since(s.w.startAt) < end; time.Sleep(5 * time.Millisecond) {
		s.mu.Lock()
		lapsed := s.entry == ""
		s.mu.Unlock()
		if lapsed {
			return true
		}
	}
	return false
}

// crash ends the process of the server.
func (s *server) crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.w.record("server %s crashes", s.id)
	s.dark = true
	s.flows = map[flowKey]*serverFlow{}
	_ = s.health.Close()
	_ = s.packets.Close()
	s.resetConns()
}

// restart starts the process again, cold, while the cut lasts.
func (s *server) restart() error {
	s.mu.Lock()
	err := s.listen()
	s.mu.Unlock()
	s.start()
	return err
}

// heal ends the cut from the store.
func (s *server) heal() {
	s.mu.Lock()
	s.cutOff = false
	s.mu.Unlock()
	s.w.record("server %s reaches the store again", s.id)
	s.writeEntry()
}

func (s *server) isDark() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dark
}

// serveHealth answers that the server is well, unless it has no power: then nothing is answered.
func (s *server) serveHealth(w http.ResponseWriter, r *http.Request) {
	if s.isDark() {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Instance-Id", s.id)
}

func (s *server) receive(packets *net.UDPConn) {
	b := make([]byte, 2048)
	for {
		n, from, err := packets.ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		if n < numberBytes {
			continue
		}
		number := binary.BigEndian.Uint64(b)
		if p, ok := decodePacket(b[numberBytes:n]); ok && (number == 0 || number == s.number) {
			p.from = from
			s.handle(&p)
		}
	}
}

func (s *server) send(p *packet) {
	to := netip.AddrPortFrom(p.dst, s.w.flowPort)
	_, _ = s.packets.WriteToUDPAddrPort(p.encode(), to)
}

func (s *server) handle(p *packet) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.dark {
		return
	}
	now := time.Now()
	key := flowKey{netip.AddrPortFrom(p.src, p.sport), netip.AddrPortFrom(p.dst, p.dport)}
	f := s.flows[key]
	reply := packet{echo: p.echo, src: p.dst, sport: p.dport, dst: p.src, dport: p.sport}
	if p.flags&(flagSYN|flagACK) == flagSYN {
		if f == nil {
			f = &serverFlow{seq: rand.Uint32(), next: p.seq + 1}
			s.flows[key] = f
			cold := !s.wasWarm && s.coldLeft(now) > 0
			s.openings = append(s.openings, opening{now, s.w.sentAt(key), key, cold})
			s.w.record("server %s takes the opening packet of flow %s from %s, cold %v", s.id, key.caller, s.w.nameOf(p.from), cold)
		}
		f.echo = p.echo
		reply.flags, reply.seq, reply.ack = flagSYN|flagACK, f.seq, f.next
		s.send(&reply)
		return
	}
	if f == nil {
		if p.flags&flagRST == 0 {
			reply.flags, reply.seq = flagRST, p.ack
			s.send(&reply)
		}
		return
	}
	f.echo = p.echo
	switch {
	case p.flags&flagRST != 0:
		delete(s.flows, key)
	case p.flags&flagFIN != 0:
		reply.flags, reply.seq, reply.ack = flagACK, f.seq+1, p.seq+1
		s.send(&reply)
		delete(s.flows, key)
	case len(p.data) > 0 && p.seq == f.next:
		f.next += uint32(len(p.data))
		go s.runRequest(key, f, reply, string(p.data))
	case len(p.data) > 0 && f.answer != nil && p.seq+uint32(len(p.data)) == f.answered:
		reply.ack = f.next
		s.sendAnswer(&reply, f)
	}
}

// runRequest runs one request and answers it.
func (s *server) runRequest(key flowKey, f *serverFlow, reply packet, request string) {
	s.busy <- struct{}{}
	s.w.record("server %s runs request %s", s.id, request)
	time.Sleep(workTime)
	<-s.busy
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.flows[key] != f || s.dark {
		return
	}
	f.answer, f.answered = []byte("done "+request), f.next
	f.seq += uint32(len(f.answer))
	reply.ack, reply.echo = f.next, f.echo
	s.sendAnswer(&reply, f)
}

// sendAnswer sends the last answer of a flow in a packet like reply. The caller holds the mutex.
func (s *server) sendAnswer(reply *packet, f *serverFlow) {
	reply.flags, reply.seq, reply.data = flagACK, f.seq+1-uint32(len(f.answer)), f.answer
	s.send(reply)
}

// mostColdOpenings returns the largest number of opening packets that were sent and arrived within
// one second while the server was cold.
func (s *server) mostColdOpenings() (most int, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, first := range s.openings {
		n := 0
		for _, o := range s.openings {
			if o.cold && !o.sentAt.Before(first.sentAt) && o.at.Sub(first.sentAt) < time.Second {
				n++
			}
		}
		if n > most {
			most, at = n, first.sentAt
		}
	}
	return most, at
}
