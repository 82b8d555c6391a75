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
	errWritesDisabled = merry.Sentinel("writes to the connection are disabled")
	errTooLate        = merry.Sentinel("too late to send the request")
)

// conn is a connection that records whether a write of the current request has begun.
// The mutex excludes a first write while writes are being disabled, so that "not sent"
// is certain.
type conn struct {
	net.Conn
	address string
	clock   port.Clock
	tracker *connTracker

	mu             sync.Mutex
	dispatch       *dispatch // current, or nil while idle
	writesDisabled bool
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	switch {
	case c.writesDisabled:
		c.mu.Unlock()
		return 0, errWritesDisabled
	case c.dispatch != nil && !c.dispatch.sent.Load():
		if !c.clock.Now().Before(c.dispatch.notAfter) {
			c.writesDisabled = true
			c.dispatch.tooLate.Store(true)
			c.mu.Unlock()
			return 0, errTooLate
		}
		c.dispatch.sent.Store(true)
	}
	c.mu.Unlock()
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.tracker.remove(c)
	return c.Conn.Close()
}

func (c *conn) disableWrites() {
	c.mu.Lock()
	c.writesDisabled = true
	c.mu.Unlock()
}

// closeIfIdle closes the connection if no request uses it.
func (c *conn) closeIfIdle() {
	c.mu.Lock()
	idle := c.dispatch == nil
	c.writesDisabled = c.writesDisabled || idle
	c.mu.Unlock()
	if idle {
		c.Close()
	}
}

// dispatch is the state of one call of Client.Call.
type dispatch struct {
	notAfter        model.Time
	responseTimer   *time.Timer
	responseTimeout time.Duration
	sent, tooLate   atomic.Bool
	answered        atomic.Bool

	mu   sync.Mutex
	conn *conn
}

// bindConn binds the request to the connection that net/http chose.
func (d *dispatch) bindConn(raw net.Conn) {
	c, ok := raw.(*conn)
	if !ok {
		d.sent.Store(true) // writes to it are not recorded, so assume one has begun
		return
	}
	c.mu.Lock()
	c.dispatch = d
	c.mu.Unlock()
	d.mu.Lock()
	d.conn = c
	d.mu.Unlock()
}

// unbindConn unbinds the request from its connection.
func (d *dispatch) unbindConn() {
	d.mu.Lock()
	c := d.conn
	d.mu.Unlock()
	if c == nil {
		return
	}
	c.mu.Lock()
	if c.dispatch == d {
		c.dispatch = nil
	}
	c.mu.Unlock()
}

// restartTimer restarts the response timer, unless it has expired or the server has
// answered.
func (d *dispatch) restartTimer() {
	if !d.answered.Load() && d.responseTimer.Stop() {
		d.responseTimer.Reset(d.responseTimeout)
	}
}

// disableWrites prevents further writes of the request. sent reports whether a write has
// begun; tooLate reports that notAfter had passed before the first one.
func (d *dispatch) disableWrites() (sent, tooLate bool) {
	d.mu.Lock()
	c := d.conn
	d.mu.Unlock()
	if c != nil {
		c.disableWrites()
	}
	return d.sent.Load(), d.tooLate.Load()
}

// connTracker holds the open connections to each server.
type connTracker struct {
	mu        sync.Mutex
	byAddress map[string]map[*conn]bool
}

func (t *connTracker) add(raw net.Conn, address string, clock port.Clock) *conn {
	c := &conn{Conn: raw, address: address, clock: clock, tracker: t}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.byAddress[address] == nil {
		t.byAddress[address] = map[*conn]bool{}
	}
	t.byAddress[address][c] = true
	return c
}

func (t *connTracker) remove(c *conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.byAddress[c.address], c)
	if len(t.byAddress[c.address]) == 0 {
		delete(t.byAddress, c.address)
	}
}

// closeIdle closes the idle connections of a server.
func (t *connTracker) closeIdle(address string) {
	t.mu.Lock()
	conns := make([]*conn, 0, len(t.byAddress[address]))
	for c := range t.byAddress[address] {
		conns = append(conns, c)
	}
	t.mu.Unlock()
	for _, c := range conns {
		c.closeIfIdle()
	}
}
