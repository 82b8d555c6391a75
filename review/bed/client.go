package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"
)

// client is a stand-in for the callers of one zone, at one address. Each request has a flow of its
// own from a new port.
type client struct {
	w    *world
	zone string
	addr netip.Addr
	conn *net.UDPConn

	mu      sync.Mutex
	port    uint16
	waiting map[flowKey]chan packet
}

func newClient(w *world, zone string, addr netip.Addr) (*client, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(addr, w.flowPort)))
	if err != nil {
		return nil, err
	}
	c := &client{w: w, zone: zone, addr: addr, conn: conn, port: 1024, waiting: map[flowKey]chan packet{}}
	go c.receive()
	return c, nil
}

func (c *client) receive() {
	b := make([]byte, 2048)
	for {
		n, from, err := c.conn.ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		p, ok := decodePacket(b[:n])
		p.from = from
		if !ok {
			continue
		}
		key := flowKey{netip.AddrPortFrom(p.dst, p.dport), netip.AddrPortFrom(p.src, p.sport)}
		c.mu.Lock()
		if ch := c.waiting[key]; ch != nil {
			select {
			case ch <- p:
			default:
			}
		}
		c.mu.Unlock()
	}
}

func (c *client) send(p *packet) {
	to, ok := c.w.route(c.zone, p)
	if ok {
		_, _ = c.conn.WriteToUDPAddrPort(p.encode(), to)
	}
}

// copies are the times at which the copies of a SYN are sent, and openTime that after which the
// attempt ends.
var copies = []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond}

const openTime = 1400 * time.Millisecond

// flow is the client's end of a flow that has opened.
type flow struct {
	c    *client
	in   chan packet
	key  flowKey
	next packet // the next packet to send, without flags and data
}

// open opens a flow from a new port. end is why that failed.
func (c *client) open(route netip.AddrPort) (f *flow, end string) {
	c.mu.Lock()
	c.port++
	f = &flow{c: c, in: make(chan packet, 64), key: flowKey{netip.AddrPortFrom(c.addr, c.port), route}}
	c.waiting[f.key] = f.in
	c.mu.Unlock()
	syn := packet{src: c.addr, sport: f.key.caller.Port(), dst: route.Addr(), dport: route.Port(), flags: flagSYN, seq: rand.Uint32()}
	start := time.Now()
	c.w.noteSent(f.key, start)
	for i := 0; ; {
		next := start.Add(openTime)
		if i < len(copies) {
			next = start.Add(copies[i])
		}
		select {
		case p := <-f.in:
			switch {
			case p.flags&flagRST != 0:
				f.close()
				return nil, "refused"
			case p.flags&(flagSYN|flagACK) == flagSYN|flagACK && p.ack == syn.seq+1:
				f.next = packet{src: syn.src, sport: syn.sport, dst: syn.dst, dport: syn.dport, seq: syn.seq + 1, ack: p.seq + 1, echo: p.echo}
				return f, ""
			}
		case <-time.After(time.Until(next)):
			if i == len(copies) {
				f.close()
				return nil, "not opened"
			}
			syn.ack = uint32(i)
			c.send(&syn)
			i++
		}
	}
}

// close forgets the flow.
func (f *flow) close() {
	f.c.mu.Lock()
	delete(f.c.waiting, f.key)
	f.c.mu.Unlock()
}

// send sends a packet of the flow.
func (f *flow) send(flags byte, data []byte) {
	p := f.next
	p.flags, p.data = flags, data
	f.c.send(&p)
}

// exchange sends a request and waits for its whole answer. It returns how that ended.
func (f *flow) exchange(id string, deadline time.Time) string {
	for pause := 200 * time.Millisecond; ; pause = min(2*pause, 1600*time.Millisecond) {
		f.send(flagACK, []byte(id))
		again := time.After(min(pause, time.Until(deadline)))
	wait:
		for {
			select {
			case p := <-f.in:
				if p.flags&flagRST != 0 {
					return "reset"
				}
				f.next.echo = p.echo
				if len(p.data) == 0 || p.seq != f.next.ack {
					continue
				}
				if string(p.data) != "done "+id {
					return "foreign answer"
				}
				f.next.ack += uint32(len(p.data))
				f.next.seq += uint32(len(id))
				return "answered"
			case <-again:
				break wait
			}
		}
		if !time.Now().Before(deadline) {
			return "deadline"
		}
	}
}

// request opens a flow for one request. It returns how the attempt ended.
func (c *client) request(route netip.AddrPort, id string, deadline time.Time) string {
	f, end := c.open(route)
	if f == nil {
		return end
	}
	defer f.close()
	if end = f.exchange(id, deadline); end == "answered" {
		f.send(flagFIN|flagACK, nil)
	}
	return end
}

// load sends requests at a rate until the world stops. A request that may not run twice is
// tried again only if its flow did not open.
func (c *client) load(route netip.AddrPort, perSecond float64, name string) {
	for i := 0; !c.w.stopped(); i++ {
		time.Sleep(time.Duration((0.5 + rand.Float64()) / perSecond * float64(time.Second)))
		go func() {
			deadline := time.Now().Add(2500 * time.Millisecond)
			for try := range 3 {
				id := fmt.Sprintf("%s-%s-%d-%d", c.zone, name, i, try)
				c.w.record("request %s is sent", id)
				end := c.request(route, id, deadline)
				c.w.record("request %s: %s", id, end)
				if end != "refused" && end != "not opened" || !time.Now().Before(deadline) {
					return
				}
				time.Sleep(50 * time.Millisecond)
			}
		}()
	}
}
