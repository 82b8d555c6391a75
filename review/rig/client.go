package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"
)

// Times of a client, as the users' pages state them.
const (
	openTimeout    = 1400 * time.Millisecond
	firstCopy      = 200 * time.Millisecond
	secondCopy     = 600 * time.Millisecond
	requestTimeout = 2500 * time.Millisecond
)

// resetWindow is how far the sequence number of a reset may be from the client's last
// acknowledgment.
const resetWindow = 76_800

// route is a route of the configuration.
type route struct {
	name, kind, service string
	host                netip.Addr
	port                uint16
}

// client is the clients of one zone, who share an address.
type client struct {
	w       *world
	zone    string
	address netip.Addr
	conn    *net.UDPConn

	mu       sync.Mutex
	nextPort uint16
	flows    map[uint16]*clientFlow
}

// clientFlow is a flow at its client.
type clientFlow struct {
	c       *client
	id      flowID
	packets chan received
	head    header // of the next packet
	// resetBy is the machine that sent the reset of the flow, and via the one that took its last
	// packet.
	resetBy, via netip.AddrPort
	answers      int
}

// received is a packet that a client received.
type received struct {
	header
	data []byte
	// own is set if the packet's sum is right, so that a server wrote it.
	own  bool
	from netip.AddrPort
}

// outcome is how an opening or a request ended.
type outcome int

const (
	succeeded   outcome = iota
	timedOut            // no answer until the deadline
	systemReset         // a reset that no server wrote
	serverReset         // a reset of a server
)

func (o outcome) String() string {
	return [...]string{"success", "no answer", "reset by the system", "reset by a server"}[o]
}

func (w *world) newClient(zone string, n byte) (*client, error) {
	c := &client{w: w, zone: zone, address: w.ip(4, n), nextPort: 10_000, flows: map[uint16]*clientFlow{}}
	var err error
	if c.conn, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(c.address, w.port))); err != nil {
		return nil, err
	}
	_ = c.conn.SetReadBuffer(1 << 20)
	go c.receive()
	return c, nil
}

func (c *client) receive() {
	buffer := make([]byte, 2048)
	for {
		n, from, err := c.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			if c.w.ended() {
				return
			}
			continue // an earlier packet met a closed port
		}
		b := append([]byte(nil), buffer[:n]...)
		r := received{from: from}
		var ok bool
		if r.data, ok = r.decode(b); !ok {
			c.w.record.breaks("MIXED", "a client got a packet that is cut short")
			continue
		}
		if r.own = r.sum == sumOf(b); !r.own && (r.sum != 0 || r.flags != flagRST || len(r.data) > 0) {
			c.w.record.breaks("MIXED", "a client got a packet that its sender did not write so")
			continue
		}
		c.mu.Lock()
		f := c.flows[r.dport]
		c.mu.Unlock()
		if f == nil || r.src != f.id.dst || r.sport != f.id.dport {
			continue // of a flow that the client has given up
		}
		select {
		case f.packets <- r:
		default:
		}
	}
}

// open opens a flow. It returns the flow unless that fails.
func (c *client) open(r *route) (*clientFlow, outcome) {
	c.mu.Lock()
	c.nextPort++
	port := c.nextPort
	f := &clientFlow{c: c, id: flowID{addrNumber(c.address), addrNumber(r.host), port, r.port}, packets: make(chan received, 64)}
	c.flows[port] = f
	c.mu.Unlock()
	f.head = header{src: f.id.src, dst: f.id.dst, sport: port, dport: r.port, flags: flagSYN, seq: rand.Uint32()}
	started := time.Now()
	for n, at := range []time.Duration{0, firstCopy, secondCopy} {
		time.Sleep(time.Until(started.Add(at)))
		f.head.ack = uint32(n)
		c.w.sending(f.id, uint32(n))
		f.send(nil)
		until := started.Add(openTimeout)
		if n == 0 {
			until = started.Add(firstCopy)
		} else if n == 1 {
			until = started.Add(secondCopy)
		}
		for {
			p, ok := f.next(until)
			if !ok {
				break
			}
			switch {
			case p.flags&flagRST != 0:
				f.end()
				return nil, resetOutcome(&p)
			case p.flags == flagSYN|flagACK && p.ack == f.head.seq+1:
				f.head.echo, f.head.flags, f.head.seq, f.head.ack = p.echo, flagACK, f.head.seq+1, p.seq+1
				f.send(nil)
				return f, succeeded
			}
		}
	}
	f.end()
	return nil, timedOut
}

func resetOutcome(p *received) outcome {
	if p.own {
		return serverReset
	}
	return systemReset
}

// next returns the next packet of the flow until a time.
func (f *clientFlow) next(until time.Time) (received, bool) {
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case p := <-f.packets:
		return p, true
	case <-timer.C:
		return received{}, false
	}
}

// send sends a packet by way of the machine that the routers choose.
func (f *clientFlow) send(data []byte) {
	if to, ok := f.c.w.pick(f.c.zone, f.id); ok {
		f.via = to
		_, _ = f.c.conn.WriteToUDPAddrPort(f.head.encode(data), to)
	}
}

// take processes a packet on the open flow. It reports whether the flow was reset.
func (f *clientFlow) take(p *received) (answered bool, ended outcome) {
	switch {
	case p.flags&flagRST != 0:
		if d := int32(p.seq - f.head.ack); !p.own && (d > resetWindow || d < -resetWindow) {
			return false, succeeded // not valid on an open flow
		}
		f.resetBy = p.from
		return false, resetOutcome(p)
	case p.flags&flagSYN != 0:
		return false, succeeded // a copy of an earlier one
	}
	f.head.echo = p.echo
	if len(p.data) == 0 {
		return false, succeeded
	}
	if p.seq == f.head.ack {
		f.head.ack += uint32(len(p.data))
		answered = true
	}
	f.send(nil)
	return answered, succeeded
}

// request sends a request over the open flow and waits for its answer.
func (f *clientFlow) request(text string) outcome {
	f.c.w.requestSent(text)
	data := []byte(text)
	started := time.Now()
	for wait := resendFirst; time.Since(started) < requestTimeout; wait = min(2*wait, resendMost) {
		f.send(data)
		for until := time.Now().Add(wait); ; {
			p, ok := f.next(until)
			if !ok {
				break
			}
			answered, ended := f.take(&p)
			if ended != succeeded {
				f.end()
				return ended
			}
			if answered {
				f.head.seq += uint32(len(data))
				if expected := "answer to " + text + " by "; len(p.data) < len(expected) || string(p.data[:len(expected)]) != expected {
					f.c.w.record.breaks("MIXED", "request %s got the answer %q", text, p.data)
				}
				f.answers++
				return succeeded
			}
		}
	}
	f.end()
	return timedOut
}

// idle keeps the open flow for some time without a request.
func (f *clientFlow) idle(d time.Duration) outcome {
	for until := time.Now().Add(d); ; {
		p, ok := f.next(until)
		if !ok {
			return succeeded
		}
		if _, ended := f.take(&p); ended != succeeded {
			f.end()
			return ended
		}
	}
}

// close ends the open flow.
func (f *clientFlow) close() {
	f.head.flags = flagFIN | flagACK
	f.send(nil)
	f.end()
}

// end forgets the flow.
func (f *clientFlow) end() {
	f.c.mu.Lock()
	defer f.c.mu.Unlock()
	delete(f.c.flows, f.id.sport)
}

// once opens a flow for a single request.
func (c *client) once(r *route, n int) {
	text := fmt.Sprintf("%s-%s-%d", c.zone, r.name, n)
	f, o := c.open(r)
	if o != succeeded {
		c.w.record.printf("client: %s is not opened: %v", text, o)
		return
	}
	o = f.request(text)
	c.w.record.printf("client: %s on flow %v: %v", text, f.id, o)
	if o == succeeded {
		f.close()
	}
}
