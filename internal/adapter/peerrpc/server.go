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
	open     map[*stream]bool
}

// Serve accepts connections until Close or until ctx ends.
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
			// For example too many open files: try again after a pause.
			time.Sleep(50 * time.Millisecond)
			continue
		}
		st := &stream{conn: conn, keys: n.keys, self: n.options.Self, count: &n.count, allow: limiter(n.options.RatePerPeer)}
		if !s.add(st, n.options.MaxConnections) {
			n.count.limited.Add(1)
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
	st.r = bufio.NewReaderSize(&idleReader{st.conn, 2 * n.options.IdleTimeout}, readBuffer)
	h := &handler{node: n, stream: st, running: make(chan struct{}, n.options.MaxConcurrent)}
	c := jsonrpc2.NewConn(ctx, st, h, jsonrpc2.SetLogger(quiet{}))
	select {
	case <-c.DisconnectNotify():
	case <-ctx.Done():
	}
	_ = c.Close()
}

// idleReader ends a connection on which nothing arrives for a long time, so
// that connections whose other end is gone do not accumulate.
type idleReader struct {
	conn  net.Conn
	limit time.Duration
}

// Read implements io.Reader.
func (r *idleReader) Read(b []byte) (int, error) {
	if err := r.conn.SetReadDeadline(time.Now().Add(r.limit)); err != nil {
		return 0, err
	}
	return r.conn.Read(b)
}

func (s *server) add(st *stream, limit int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || len(s.open) >= limit {
		return false
	}
	s.open[st] = true
	return true
}

func (s *server) remove(st *stream) {
	s.mu.Lock()
	delete(s.open, st)
	s.mu.Unlock()
	_ = st.Close()
}

func (s *server) close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for st := range s.open {
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

// limiter returns a token bucket that holds one second's worth of messages.
// It is used by one goroutine only.
func limiter(rate float64) func() bool {
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
	node    *Node
	stream  *stream
	running chan struct{}
}

// Handle implements jsonrpc2.Handler. It runs in the connection's reading
// goroutine and must not block.
func (h *handler) Handle(ctx context.Context, c *jsonrpc2.Conn, req *jsonrpc2.Request) {
	if req.Notif {
		return
	}
	f, ok := h.node.handlers[req.Method]
	if !ok {
		go h.fail(ctx, c, req, jsonrpc2.CodeMethodNotFound, "unknown method "+req.Method)
		return
	}
	from := h.stream.peer.ID
	select {
	case h.running <- struct{}{}:
	default:
		h.node.count.limited.Add(1)
		_ = h.stream.Close()
		return
	}
	go func() {
		defer func() { <-h.running }()
		decode := func(v any) error {
			if req.Params == nil {
				return port.ErrNotFound
			}
			return json.Unmarshal(*req.Params, v)
		}
		result, err := f(ctx, from, decode)
		if err != nil {
			h.fail(ctx, c, req, codeRefused, err.Error())
			return
		}
		_ = c.Reply(ctx, req.ID, result)
	}()
}

// codeRefused is the JSON-RPC error code of a handler's own error, from the
// range that the specification leaves to applications.
const codeRefused = 1

func (h *handler) fail(ctx context.Context, c *jsonrpc2.Conn, req *jsonrpc2.Request, code int64, message string) {
	_ = c.ReplyWithError(ctx, req.ID, &jsonrpc2.Error{Code: code, Message: message})
}
