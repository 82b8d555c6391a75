package backendhttp

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/port"
)

var (
	errSealed  = merry.Sentinel("connection may not be written to any more")
	errTooLate = merry.Sentinel("too late to send the request")
)

// conn is a connection that knows whether the present request has begun to be
// written. Sealing and the first write exclude each other, so that "not sent"
// is certain.
type conn struct {
	net.Conn
	address string
	clock   port.Clock
	owner   *registry

	mu     sync.Mutex
	use    *use // the present request, or nil while idle
	sealed bool
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	switch {
	case c.sealed:
		c.mu.Unlock()
		return 0, errSealed
	case c.use != nil && !c.use.sent.Load():
		if !c.clock.Now().Before(c.use.notAfter) {
			c.sealed = true
			c.use.late.Store(true)
			c.mu.Unlock()
			return 0, errTooLate
		}
		c.use.sent.Store(true)
	}
	c.mu.Unlock()
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.owner.remove(c)
	return c.Conn.Close()
}

func (c *conn) seal() {
	c.mu.Lock()
	c.sealed = true
	c.mu.Unlock()
}

// retireIfIdle closes the connection unless a request uses it.
func (c *conn) retireIfIdle() {
	c.mu.Lock()
	idle := c.use == nil
	c.sealed = c.sealed || idle
	c.mu.Unlock()
	if idle {
		c.Close()
	}
}

// use is the dispatch of one request.
type use struct {
	notAfter   model.Time
	silence    *time.Timer
	timeout    time.Duration
	sent, late atomic.Bool
	answered   atomic.Bool

	mu   sync.Mutex
	conn *conn
}

// got binds the request to the connection that net/http chose.
func (u *use) got(raw net.Conn) {
	c, ok := raw.(*conn)
	if !ok {
		u.sent.Store(true) // unknown connection: nothing is certain
		return
	}
	c.mu.Lock()
	c.use = u
	c.mu.Unlock()
	u.mu.Lock()
	u.conn = c
	u.mu.Unlock()
}

// put unbinds the request from its connection.
func (u *use) put() {
	u.mu.Lock()
	c := u.conn
	u.mu.Unlock()
	if c == nil {
		return
	}
	c.mu.Lock()
	if c.use == u {
		c.use = nil
	}
	c.mu.Unlock()
}

// progress restarts the wait for the answer.
func (u *use) progress() {
	if !u.answered.Load() && u.silence.Stop() {
		u.silence.Reset(u.timeout)
	}
}

// seal makes sure that nothing more is written and reports whether anything was.
func (u *use) seal() (sent, late bool) {
	u.mu.Lock()
	c := u.conn
	u.mu.Unlock()
	if c != nil {
		c.seal()
	}
	return u.sent.Load(), u.late.Load()
}

// registry knows the open connections of each server.
type registry struct {
	mu        sync.Mutex
	byAddress map[string]map[*conn]bool
}

func (r *registry) add(raw net.Conn, address string, clock port.Clock) *conn {
	c := &conn{Conn: raw, address: address, clock: clock, owner: r}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.byAddress[address] == nil {
		r.byAddress[address] = map[*conn]bool{}
	}
	r.byAddress[address][c] = true
	return c
}

func (r *registry) remove(c *conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.byAddress[c.address], c)
	if len(r.byAddress[c.address]) == 0 {
		delete(r.byAddress, c.address)
	}
}

// retire closes the idle connections of a server.
func (r *registry) retire(address string) {
	r.mu.Lock()
	list := make([]*conn, 0, len(r.byAddress[address]))
	for c := range r.byAddress[address] {
		list = append(list, c)
	}
	r.mu.Unlock()
	for _, c := range list {
		c.retireIfIdle()
	}
}
