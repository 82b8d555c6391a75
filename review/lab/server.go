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

const heartbeat = 1200 * time.Millisecond

// Retransmissions of both ends.
const (
	firstRetransmission = 200 * time.Millisecond
	lastRetransmission  = 1600 * time.Millisecond
	maxRetransmissions  = 8
)

// opening is an opening packet that a server took.
type opening struct {
	key     flowKey
	copy    uint32
	arrived time.Time
	cold    bool
	server  string
	run     int64
}

// server is a stand-in for a backend server. Its exported fields are set before start.
type server struct {
	lab                        *lab
	ID, Service, Zone          string
	Addr                       netip.AddrPort
	Slots                      int
	Work                       time.Duration
	number                     uint64
	mu                         sync.Mutex
	conn                       *net.UDPConn
	health                     *http.Server
	born                       time.Time
	coldUntil                  time.Time
	draining, registered, mute bool // mute: it does not reach the store
	sequence                   uint64
	flows                      map[flowKey]*serverFlow
	generation                 int
	taken                      []opening
	slots                      chan struct{} // one entry for each slot in use
	listener                   *pausableListener
	cut                        bool      // no instance reaches the server
	disturbedAt                time.Time // latest disruption of the server or its links
	stopped                    bool
}

type serverFlow struct {
	clientSeq, seq, next uint32 // next is the next byte expected from the client
	acked                uint32
	echo                 uint32
	open, closed         bool
	pending              *packet // the response that was not acknowledged yet
}

// start begins a new run of the server. cold is how long it stays cold; 0 for a warm start.
func (s *server) start(cold time.Duration) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, err := fmt.Sscanf(s.ID, "i-%x", &s.number); err != nil {
		return err
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(s.Addr))
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp4", s.Addr.String())
	if err != nil {
		_ = conn.Close()
		return err
	}
	s.generation++
	s.slots, s.listener, s.stopped = make(chan struct{}, s.Slots), &pausableListener{Listener: listener}, false
	s.conn, s.born, s.coldUntil = conn, time.Now(), time.Now().Add(cold)
	s.flows, s.draining, s.registered, s.sequence = map[flowKey]*serverFlow{}, false, false, 0
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) {
		s.work(time.Millisecond)
		w.Header().Set("Instance-Id", s.ID)
		s.mu.Lock()
		draining := s.draining
		s.mu.Unlock()
		if draining {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	s.health = &http.Server{Handler: mux}
	go func(h *http.Server, l net.Listener) { _ = h.Serve(l) }(s.health, s.listener)
	go s.receive(conn, s.generation)
	go s.beat(s.generation)
	record("server %s (%s, %s): starts, cold for %v", s.ID, s.Service, s.Zone, cold)
	return nil
}

// crash ends the run without a word.
func (s *server) crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.end()
	record("server %s: crashes with %d flows", s.ID, len(s.flows))
}

// end ends the run. The caller holds the lock.
func (s *server) end() {
	s.generation++
	s.stopped = true
	_ = s.conn.Close()
	_ = s.health.Close()
}

// leave ends a run that has announced its end, and removes its entry.
func (s *server) leave() {
	s.mu.Lock()
	s.end()
	s.mu.Unlock()
	s.lab.store.remove(s.storeKey())
	record("server %s: has left", s.ID)
}

// work takes a slot for some time. The caller must not hold the lock.
func (s *server) work(d time.Duration) {
	s.slots <- struct{}{}
	time.Sleep(d)
	<-s.slots
}

// setCut cuts the server off from all instances, or ends that. It then takes no datagrams and no
// connections.
func (s *server) setCut(cut bool) error {
	s.mu.Lock()
	s.cut, s.disturbedAt = cut, time.Now()
	s.mu.Unlock()
	record("server %s: cut off from the instances = %v", s.ID, cut)
	if cut {
		return s.listener.pause()
	}
	return s.listener.resume()
}

// undisturbed reports whether the server lives and nothing disturbed it or its links lately.
func (s *server) undisturbed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.stopped && !s.cut && time.Since(s.disturbedAt) > contact
}

// drain announces the end of the run.
func (s *server) drain() {
	s.mu.Lock()
	s.draining, s.registered = true, false
	s.mu.Unlock()
}

// setMute cuts the server off from the store, or ends that.
func (s *server) setMute(mute bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mute = mute
	record("server %s: cut off from the store = %v", s.ID, mute)
}

func (s *server) storeKey() string { return "servers/" + s.ID }

// beat writes the entry at the start, at each change and, while it changes, every heartbeat. A
// server that does not reach the store tries again.
func (s *server) beat(generation int) {
	var lastCold int64
	nextBeat := time.Now()
	for ; ; time.Sleep(20 * time.Millisecond) {
		s.mu.Lock()
		if s.generation != generation {
			s.mu.Unlock()
			return
		}
		cold := max(0, time.Until(s.coldUntil).Milliseconds())
		due := !time.Now().Before(nextBeat)
		write := !s.registered || due && (cold > 0 || lastCold > 0)
		state := "ready"
		if s.draining {
			state = "draining"
		}
		s.sequence++
		entry := map[string]any{"Service": s.Service, "Address": s.Addr.String(), "Zone": s.Zone, "Version": "v1", "Slots": s.Slots,
			"State": state, "WarmupLeftMs": cold, "Sequence": s.sequence, "born": s.born.UnixMilli()}
		if s.mute || !write && !due {
			s.mu.Unlock()
			continue
		}
		if write {
			at := s.lab.store.put(s.storeKey(), entry)
			lastCold = cold
			if !s.registered {
				s.registered = true
				record("server %s: entry written: %s, cold for %d ms", s.ID, state, cold)
			}
			if s.draining {
				s.lab.noteGone(s.ID, at)
			}
		}
		s.lab.store.renew(s.storeKey())
		nextBeat = time.Now().Add(heartbeat)
		s.mu.Unlock()
	}
}

func (s *server) receive(conn *net.UDPConn, generation int) {
	buffer := make([]byte, 2048)
	for {
		n, _, err := conn.ReadFromUDPAddrPort(buffer)
		s.mu.Lock()
		if s.generation != generation {
			s.mu.Unlock()
			return
		}
		if err == nil && n >= 8 {
			if id := binary.BigEndian.Uint64(buffer); !s.cut && (id == s.number || id == 0) {
				if p, valid, ok := decode(buffer[8:n]); ok && valid {
					s.handle(&p, generation)
				} else {
					s.lab.violation("UNASKED", "server %s got a packet that no client wrote", s.ID)
				}
			}
		}
		s.mu.Unlock()
	}
}

// handle processes a packet of a client.
func (s *server) handle(p *packet, generation int) {
	key := flowKey{p.Src, p.Dst}
	f := s.flows[key]
	if p.Flags&(flagSYN|flagACK) == flagSYN {
		if f == nil || f.clientSeq != p.Seq {
			f = &serverFlow{clientSeq: p.Seq, seq: rand.Uint32(), next: p.Seq + 1, echo: p.Echo}
			f.acked = f.seq
			s.flows[key] = f
			s.taken = append(s.taken, opening{key, p.Ack, time.Now(), time.Now().Before(s.coldUntil), s.ID, s.born.UnixMilli()})
		}
		f.echo = p.Echo
		s.send(key, f, flagSYN|flagACK, f.seq, nil)
		return
	}
	if f == nil {
		if p.Flags&flagRST == 0 {
			record("server %s: unknown flow %v, reset", s.ID, key.Client)
			s.send(key, &serverFlow{next: p.Seq + uint32(len(p.Data)), echo: p.Echo}, flagRST|flagACK, p.Ack, nil)
		}
		return
	}
	f.echo = p.Echo
	if p.Flags&flagRST != 0 {
		delete(s.flows, key)
		return
	}
	if p.Ack == f.seq+1 && !f.open {
		f.open, f.acked = true, f.seq+1
		s.lab.opened(key, s.ID)
	}
	if !f.open {
		return
	}
	if f.pending != nil && int32(p.Ack-(f.pending.Seq+uint32(len(f.pending.Data)))) >= 0 {
		f.acked, f.pending = p.Ack, nil
	}
	switch {
	case len(p.Data) > 0 && p.Seq == f.next:
		f.next += uint32(len(p.Data))
		data := p.Data
		go func() {
			s.work(s.Work)
			s.respond(key, f, data, generation)
		}()
	case len(p.Data) > 0:
		s.send(key, f, flagACK, f.acked, nil)
	}
	if p.Flags&flagFIN != 0 {
		f.closed = true
		s.send(key, f, flagFIN|flagACK, f.acked, nil)
	}
}

// respond runs a request and sends its response until it is acknowledged.
func (s *server) respond(key flowKey, f *serverFlow, request []byte, generation int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.generation != generation {
		return
	}
	id := requestID(request)
	s.lab.ran(id, s)
	body := fmt.Sprintf("done by %s", s.ID)
	response := fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Seal: %s\r\nContent-Length: %d\r\n\r\n%s", id, s.ID, len(body), body)
	f.pending = &packet{Seq: f.acked, Data: []byte(response)}
	s.transmit(key, f, f.pending, firstRetransmission, 0, generation)
}

func (s *server) transmit(key flowKey, f *serverFlow, p *packet, delay time.Duration, count, generation int) {
	s.send(key, f, flagACK, p.Seq, p.Data)
	if count == maxRetransmissions {
		return
	}
	time.AfterFunc(delay, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.generation == generation && f.pending == p && s.flows[key] == f {
			s.transmit(key, f, p, min(2*delay, lastRetransmission), count+1, generation)
		}
	})
}

func (s *server) send(key flowKey, f *serverFlow, flags byte, seq uint32, data []byte) {
	p := packet{Src: key.Route, Dst: key.Client, Flags: flags, Echo: f.echo, Seq: seq, Ack: f.next, Data: data}
	_, _ = s.conn.WriteToUDPAddrPort(p.encode(), netip.AddrPortFrom(key.Client.Addr, s.lab.flowPort))
}
