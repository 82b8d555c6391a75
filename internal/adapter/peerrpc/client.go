package peerrpc

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/port"
)

// pool holds one outgoing connection per address. Its lock is never held
// while a connection is opened or used, so a slow peer delays nobody else.
type pool struct {
	mu      sync.Mutex
	closed  bool
	entries map[string]*entry
}

// entry is a connection that is open or being opened; ready is closed once
// conn or err is set.
type entry struct {
	ready  chan struct{}
	conn   *jsonrpc2.Conn
	stream *stream
	err    error
	used   time.Time // guarded by pool.mu
	calls  int       // guarded by pool.mu
}

// Call implements port.PeerCaller. The error is port.ErrUnavailable if the
// peer did not answer and port.ErrRemote if its handler refused.
func (n *Node) Call(ctx context.Context, to model.Member, method string, params, result any) error {
	address := to.PeerAddress.String()
	e, err := n.connect(ctx, address)
	if err != nil {
		return merry.Wrap(port.ErrUnavailable, merry.WithCause(err), merry.AppendMessagef("connect to %s", to.ID))
	}
	defer n.pool.release(e)
	before := e.stream.received.Load()
	err = e.conn.Call(ctx, method, params, result)
	if err == nil {
		return nil
	}
	var remote *jsonrpc2.Error
	if errors.As(err, &remote) {
		return merry.Wrap(port.ErrRemote, merry.AppendMessagef("%s at %s: %s", method, to.ID, remote.Message))
	}
	if errors.Is(err, port.ErrTooLarge) {
		return err
	}
	if e.stream.received.Load() == before && !errors.Is(ctx.Err(), context.Canceled) {
		// Nothing arrived during the whole call: the connection may be silent
		// while a new one would work.
		n.count.silent.Add(1)
		n.pool.drop(address, e)
	}
	return merry.Wrap(port.ErrUnavailable, merry.WithCause(err), merry.AppendMessagef("%s at %s", method, to.ID))
}

func (n *Node) connect(ctx context.Context, address string) (*entry, error) {
	p := &n.pool
	p.mu.Lock()
	e, ok := p.entries[address]
	if ok && e.dead() {
		delete(p.entries, address)
		ok = false
	}
	if !ok {
		if p.closed {
			p.mu.Unlock()
			return nil, merry.New("node is closed")
		}
		p.evict(n.options.MaxConnections)
		e = &entry{ready: make(chan struct{})}
		p.entries[address] = e
		go n.open(address, e)
	}
	e.used = time.Now()
	e.calls++
	p.mu.Unlock()
	select {
	case <-e.ready:
	case <-ctx.Done():
		p.release(e)
		return nil, ctx.Err()
	}
	if e.err != nil {
		p.release(e)
		return nil, e.err
	}
	return e, nil
}

// dead reports whether the entry's connection failed or ended.
func (e *entry) dead() bool {
	select {
	case <-e.ready:
	default:
		return false
	}
	if e.err != nil {
		return true
	}
	select {
	case <-e.conn.DisconnectNotify():
		return true
	default:
		return false
	}
}

func (n *Node) open(address string, e *entry) {
	defer close(e.ready)
	n.count.dials.Add(1)
	conn, err := net.DialTimeout("tcp", address, n.options.DialTimeout)
	if err == nil {
		var nonces []byte
		if nonces, err = handshake(conn, true, n.options.DialTimeout); err != nil {
			_ = conn.Close()
		}
		e.stream = &stream{conn: conn, keys: n.keys, self: n.options.Self, dialer: true, nonces: nonces,
			r: bufio.NewReaderSize(conn, readBuffer), count: &n.count}
	}
	if err != nil {
		e.err = err
		return
	}
	e.conn = jsonrpc2.NewConn(context.Background(), e.stream, refuseAll{}, jsonrpc2.SetLogger(quiet{}))
}

// readBuffer is small because most messages are below 1 KB and an instance
// holds hundreds of connections.
const readBuffer = 1 << 10

// evict closes the connection that was unused for longest if the pool is full.
// The caller holds the lock.
func (p *pool) evict(limit int) {
	if len(p.entries) < limit {
		return
	}
	oldest := ""
	for a, e := range p.entries {
		if e.calls == 0 && (oldest == "" || e.used.Before(p.entries[oldest].used)) {
			oldest = a
		}
	}
	if oldest != "" {
		e := p.entries[oldest]
		delete(p.entries, oldest)
		go e.close()
	}
}

// expire closes the connections that are unused for longer than limit.
func (p *pool) expire(limit time.Duration, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for a, e := range p.entries {
		if e.calls == 0 && now.Sub(e.used) > limit {
			delete(p.entries, a)
			go e.close()
		}
	}
}

func (p *pool) release(e *entry) {
	p.mu.Lock()
	e.calls--
	p.mu.Unlock()
}

func (p *pool) drop(address string, e *entry) {
	p.mu.Lock()
	if p.entries[address] == e {
		delete(p.entries, address)
	}
	p.mu.Unlock()
	e.close()
}

func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for a, e := range p.entries {
		delete(p.entries, a)
		go e.close()
	}
}

func (e *entry) close() {
	<-e.ready
	if e.conn != nil {
		_ = e.conn.Close()
	}
}

// refuseAll answers calls that arrive on an outgoing connection.
type refuseAll struct{}

func (refuseAll) Handle(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) {}

// quiet drops the library's log lines; errors are returned to the caller.
type quiet struct{}

func (quiet) Printf(string, ...any) {}
