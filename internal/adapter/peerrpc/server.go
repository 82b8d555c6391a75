package peerrpc

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/savorytiller/savorytiller/internal/port"
)

// server holds the incoming connections.
type server struct {
	mu       sync.Mutex
	listener net.Listener
	closed   bool
	streams  map[*stream]bool
}

// Serve accepts connections until Close is called or ctx is cancelled, and then returns
// nil.
func (n *Node) Serve(ctx context.Context, l net.Listener) error {
	s := &n.server
	s.mu.Lock()
	s.listener = l
	s.mu.Unlock()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go n.expireIdle(ctx)
	stop := context.AfterFunc(ctx, func() { _ = l.Close() })
	defer stop()
	for {
		conn, err := l.Accept()
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return nil
			}
			// For example too many open files: retry after a pause.
			time.Sleep(50 * time.Millisecond)
			continue
		}
		st := &stream{conn: conn, keys: n.keys, self: n.options.Self, counters: &n.counters, allow: newRateLimiter(n.options.RatePerPeer)}
		if !s.add(st, n.options.MaxConnections) {
			n.counters.limited.Add(1)
			_ = conn.Close()
			continue
		}
		go n.serveConn(ctx, st)
	}
}

func (n *Node) serveConn(ctx context.Context, st *stream) {
	defer n.server.remove(st)
	nonces, err := handshake(st.conn, false, n.options.DialTimeout)
	if err != nil {
		return
	}
	st.nonces = nonces
	st.r = bufio.NewReaderSize(&idleReader{st.conn, 2 * n.options.IdleTimeout}, readBufferSize)
	h := &handler{node: n, stream: st, activeCalls: make(chan struct{}, n.options.MaxConcurrent)}
	c := jsonrpc2.NewConn(ctx, st, h, jsonrpc2.SetLogger(discardLogger{}))
	select {
	case <-c.DisconnectNotify():
	case <-ctx.Done():
	}
	_ = c.Close()
}

// idleReader sets a read deadline that ends a connection on which nothing is
// received for timeout. Otherwise connections whose other end has disappeared would
// accumulate.
type idleReader struct {
	conn    net.Conn
	timeout time.Duration
}

// Read implements io.Reader.
func (r *idleReader) Read(b []byte) (int, error) {
	if err := r.conn.SetReadDeadline(time.Now().Add(r.timeout)); err != nil {
		return 0, err
	}
	return r.conn.Read(b)
}

func (s *server) add(st *stream, limit int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || len(s.streams) >= limit {
		return false
	}
	s.streams[st] = true
	return true
}

func (s *server) remove(st *stream) {
	s.mu.Lock()
	delete(s.streams, st)
	s.mu.Unlock()
	_ = st.Close()
}

func (s *server) close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for st := range s.streams {
		_ = st.Close()
	}
	if s.listener == nil {
		return nil
	}
	err := s.listener.Close()
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

func (n *Node) expireIdle(ctx context.Context) {
	t := time.NewTicker(n.options.IdleTimeout / 2)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			n.pool.expire(n.options.IdleTimeout, now)
		}
	}
}

// newRateLimiter returns a token bucket with a capacity of one second's messages.
// It is not safe for concurrent use.
func newRateLimiter(rate float64) func() bool {
	tokens, last := rate, time.Now()
	return func() bool {
		now := time.Now()
		tokens = min(rate, tokens+now.Sub(last).Seconds()*rate)
		last = now
		if tokens < 1 {
			return false
		}
		tokens--
		return true
	}
}

// handler passes the calls of one connection to the registered handlers.
type handler struct {
	node        *Node
	stream      *stream
	activeCalls chan struct{} // holds a token for each call that is being handled
}

// Handle implements jsonrpc2.Handler. It runs in the connection's reading
// goroutine and must not block.
func (h *handler) Handle(ctx context.Context, c *jsonrpc2.Conn, req *jsonrpc2.Request) {
	if req.Notif {
		return
	}
	f, ok := h.node.handlers[req.Method]
	if !ok {
		go h.replyError(ctx, c, req, jsonrpc2.CodeMethodNotFound, "unknown method "+req.Method)
		return
	}
	from := h.stream.peer.ID
	select {
	case h.activeCalls <- struct{}{}:
	default:
		h.node.counters.limited.Add(1)
		_ = h.stream.Close()
		return
	}
	go func() {
		defer func() { <-h.activeCalls }()
		decode := func(v any) error {
			if req.Params == nil {
				return port.ErrNotFound
			}
			return json.Unmarshal(*req.Params, v)
		}
		result, err := f(ctx, from, decode)
		if err != nil {
			h.replyError(ctx, c, req, codeRefused, err.Error())
			return
		}
		_ = c.Reply(ctx, req.ID, result)
	}()
}

// codeRefused is the JSON-RPC error code for an error that a handler returned. It
// is in the range that JSON-RPC 2.0 leaves to applications.
const codeRefused = 1

func (h *handler) replyError(ctx context.Context, c *jsonrpc2.Conn, req *jsonrpc2.Request, code int64, message string) {
	_ = c.ReplyWithError(ctx, req.ID, &jsonrpc2.Error{Code: code, Message: message})
}
