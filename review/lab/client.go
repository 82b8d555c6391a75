package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Opening packets of a client.
const (
	secondCopy = 200 * time.Millisecond
	thirdCopy  = 600 * time.Millisecond
	openLimit  = 1400 * time.Millisecond
)

// client is a stand-in for a machine of callers.
type client struct {
	lab  *lab
	zone string
	addr netip.Addr
	conn *net.UDPConn
	mu   sync.Mutex
	port uint16
	// flows by the client's port.
	flows map[uint16]*clientFlow
}

type clientFlow struct {
	client           *client
	key              flowKey
	synSeq, seq, ack uint32
	echo             uint32
	events           chan packet
}

// outcome is how a flow or a request ended.
type outcome string

const (
	answered      outcome = "answered"
	neverOpened   outcome = "never opened"
	refused       outcome = "refused before it opened"
	resetBySystem outcome = "reset by the system"
	resetByServer outcome = "reset by a server"
	noAnswer      outcome = "no answer"
)

var requestCount atomic.Uint64

func requestID(request []byte) string {
	_, rest, _ := strings.Cut(string(request), "Request-Id: ")
	id, _, _ := strings.Cut(rest, "\r\n")
	return id
}

func newClient(l *lab, zone string, addr netip.Addr) (*client, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(addr, l.flowPort)))
	if err != nil {
		return nil, err
	}
	c := &client{lab: l, zone: zone, addr: addr, conn: conn, port: 20000, flows: map[uint16]*clientFlow{}}
	go c.receive()
	return c, nil
}

func (c *client) receive() {
	buffer := make([]byte, 2048)
	for {
		n, _, err := c.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			if strings.Contains(err.Error(), "closed") {
				return
			}
			continue
		}
		p, valid, ok := decode(buffer[:n])
		if !ok || !valid && (p.Flags != flagRST || p.Sum != 0 || len(p.Data) > 0) {
			c.lab.violation("MIXED", "client %v got a packet that its sender did not write so", c.addr)
			continue
		}
		c.mu.Lock()
		f := c.flows[p.Dst.Port]
		c.mu.Unlock()
		if f != nil && f.key.Route == p.Src {
			select {
			case f.events <- p:
			default:
			}
		}
	}
}

// send sends a packet to the instance that the platform's routers select for the flow.
func (f *clientFlow) send(flags byte, seq, ack uint32, data []byte) (via string) {
	p := packet{Src: f.key.Client, Dst: f.key.Route, Flags: flags, Echo: f.echo, Seq: seq, Ack: ack, Data: data}
	to := f.client.lab.router.route(f.client.zone, f.key)
	if to != nil {
		_, _ = f.client.conn.WriteToUDPAddrPort(p.encode(), to.flows)
		via = to.name
	}
	if flags == flagSYN {
		f.client.lab.sentOpening(f.key, ack, via)
	}
	return via
}

// open opens a flow to a route.
func (c *client) open(route endpoint) (*clientFlow, outcome) { return c.openVia("", route) }

// openVia opens a flow whose first packet the routers send to the given instance; "" for any.
func (c *client) openVia(name string, route endpoint) (*clientFlow, outcome) {
	c.mu.Lock()
	c.port++
	for range 1000 {
		to := c.lab.router.route(c.zone, flowKey{endpoint{c.addr, c.port}, route})
		if name == "" || to != nil && to.name == name {
			break
		}
		c.port++
	}
	f := &clientFlow{client: c, key: flowKey{endpoint{c.addr, c.port}, route}, synSeq: rand.Uint32(), events: make(chan packet, 64)}
	c.flows[c.port] = f
	c.mu.Unlock()
	f.send(flagSYN, f.synSeq, 0, nil)
	copies := uint32(1)
	next := time.NewTimer(secondCopy)
	defer next.Stop()
	limit := time.After(openLimit)
	for {
		select {
		case p := <-f.events:
			switch {
			case p.Flags&flagRST != 0:
				f.forget()
				return f, refused
			case p.Flags&(flagSYN|flagACK) == flagSYN|flagACK && p.Ack == f.synSeq+1:
				f.echo, f.seq, f.ack = p.Echo, f.synSeq+1, p.Seq+1
				return f, answered
			}
		case <-next.C:
			f.send(flagSYN, f.synSeq, copies, nil)
			if copies++; copies == 2 {
				next.Reset(thirdCopy - secondCopy)
			}
		case <-limit:
			f.forget()
			return f, neverOpened
		}
	}
}

func (f *clientFlow) forget() {
	f.client.mu.Lock()
	delete(f.client.flows, f.key.Client.Port)
	f.client.mu.Unlock()
}

// request sends a request and waits for its answer until the deadline.
func (f *clientFlow) request(deadline time.Duration) (string, outcome) {
	id := fmt.Sprintf("r-%d", requestCount.Add(1))
	f.client.lab.sent(id, f.key)
	data := []byte(fmt.Sprintf("GET /status HTTP/1.1\r\nHost: line\r\nRequest-Id: %s\r\n\r\n", id))
	seq := f.seq
	f.seq += uint32(len(data))
	via := f.send(flagACK, seq, f.ack, data)
	delay := firstRetransmission
	retransmit := time.NewTimer(delay)
	defer retransmit.Stop()
	limit := time.After(deadline)
	for {
		select {
		case p := <-f.events:
			result, done := f.handle(&p, id)
			if done {
				f.client.lab.ended(id, result, via)
				return id, result
			}
		case <-retransmit.C:
			via = f.send(flagACK, seq, f.ack, data)
			delay = min(2*delay, lastRetransmission)
			retransmit.Reset(delay)
		case <-limit:
			f.client.lab.ended(id, noAnswer, via)
			return id, noAnswer
		}
	}
}

// handle processes a packet of an open flow.
func (f *clientFlow) handle(p *packet, id string) (outcome, bool) {
	switch {
	case p.Flags&flagRST != 0 && p.Sum == 0:
		if d := int32(p.Seq - f.ack); d < -76800 || d > 76800 {
			return "", false // not a valid reset of this flow
		}
		return resetBySystem, true
	case p.Flags&flagRST != 0:
		return resetByServer, true
	case p.Flags&flagSYN != 0:
		if p.Seq+1 == f.ack {
			f.echo = p.Echo
		}
		return "", false
	}
	f.echo = p.Echo
	if len(p.Data) == 0 || p.Seq != f.ack {
		if len(p.Data) > 0 {
			f.send(flagACK, f.seq, f.ack, nil)
		}
		return "", false
	}
	f.ack += uint32(len(p.Data))
	f.send(flagACK, f.seq, f.ack, nil)
	if id == "" {
		return "", false
	}
	if got := requestID(p.Data); got != id {
		f.client.lab.violation("MIXED", "request %s got the answer of %s", id, got)
	}
	return answered, true
}

// close ends the flow from the client's side.
func (f *clientFlow) close() {
	f.send(flagFIN|flagACK, f.seq, f.ack, nil)
	time.AfterFunc(2*time.Second, f.forget)
}
