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

// pool holds one outgoing connection per address. Its lock is never held while a
// connection is opened or used, so a slow peer does not delay calls to others.
type pool struct {
	mu     sync.Mutex
	closed bool
	conns  map[string]*pooledConn
}

// pooledConn is a connection that is open or being opened. The channel ready is
// closed once conn or err is set.
type pooledConn struct {
	ready       chan struct{}
	conn        *jsonrpc2.Conn
	stream      *stream
	err         error     // why the connection could not be opened
	lastUsed    time.Time // guarded by pool.mu
	activeCalls int       // guarded by pool.mu
}

// Call implements port.PeerCaller. The error is port.ErrUnavailable if the
// peer did not answer, port.ErrRemote if it answered with an error, and
// port.ErrTooLarge if the encoded call exceeds MaxMessageBytes.
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
		// Nothing was received during the whole call: the connection may be dead
		// without having been closed, in which case a new one works.
		n.counters.silent.Add(1)
		n.pool.drop(address, e)
	}
	return merry.Wrap(port.ErrUnavailable, merry.WithCause(err), merry.AppendMessagef("%s at %s", method, to.ID))
}

// connect returns the open connection to an address, or opens one. After the call the
// connection must be released.
func (n *Node) connect(ctx context.Context, address string) (*pooledConn, error) {
	p := &n.pool
	p.mu.Lock()
	e, ok := p.conns[address]
	if ok && e.isClosed() {
		delete(p.conns, address)
		ok = false
	}
	if !ok {
		if p.closed {
			p.mu.Unlock()
			return nil, merry.New("node is closed")
		}
		p.evict(n.options.MaxConnections)
		e = &pooledConn{ready: make(chan struct{})}
		p.conns[address] = e
		go n.dial(address, e)
	}
	e.lastUsed = time.Now()
	e.activeCalls++
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

// isClosed reports whether the connection could not be opened or has ended.
func (e *pooledConn) isClosed() bool {
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

func (n *Node) dial(address string, e *pooledConn) {
	defer close(e.ready)
	n.counters.dials.Add(1)
	conn, err := net.DialTimeout("tcp", address, n.options.DialTimeout)
	if err == nil {
		var nonces []byte
		if nonces, err = handshake(conn, true, n.options.DialTimeout); err != nil {
			_ = conn.Close()
		}
		e.stream = &stream{conn: conn, keys: n.keys, self: n.options.Self, dialer: true, nonces: nonces,
			r: bufio.NewReaderSize(conn, readBufferSize), counters: &n.counters}
	}
	if err != nil {
		e.err = err
		return
	}
	e.conn = jsonrpc2.NewConn(context.Background(), e.stream, ignoreCalls{}, jsonrpc2.SetLogger(discardLogger{}))
}

// readBufferSize is in bytes. It is small because most messages are below 1 KB and
// an instance has hundreds of connections.
const readBufferSize = 1 << 10

// evict closes the least recently used connection without active calls if the pool
// is full. The lock must be held.
func (p *pool) evict(maxConnections int) {
	if len(p.conns) < maxConnections {
		return
	}
	oldest := ""
	for a, e := range p.conns {
		if e.activeCalls == 0 && (oldest == "" || e.lastUsed.Before(p.conns[oldest].lastUsed)) {
			oldest = a
		}
	}
	if oldest != "" {
		e := p.conns[oldest]
		delete(p.conns, oldest)
		go e.close()
	}
}

// expire closes the connections that have been unused for longer than idleTimeout.
func (p *pool) expire(idleTimeout time.Duration, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for a, e := range p.conns {
		if e.activeCalls == 0 && now.Sub(e.lastUsed) > idleTimeout {
			delete(p.conns, a)
			go e.close()
		}
	}
}

func (p *pool) release(e *pooledConn) {
	p.mu.Lock()
	e.activeCalls--
	p.mu.Unlock()
}

// drop closes a connection and removes it from the pool.
func (p *pool) drop(address string, e *pooledConn) {
	p.mu.Lock()
	if p.conns[address] == e {
		delete(p.conns, address)
	}
	p.mu.Unlock()
	e.close()
}

func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for a, e := range p.conns {
		delete(p.conns, a)
		go e.close()
	}
}

func (e *pooledConn) close() {
	<-e.ready
	if e.conn != nil {
		_ = e.conn.Close()
	}
}

// ignoreCalls ignores calls that the other end sends on an outgoing connection.
type ignoreCalls struct{}

func (ignoreCalls) Handle(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) {}

// discardLogger discards the log lines of the JSON-RPC library, because it also
// returns the errors.
type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}
