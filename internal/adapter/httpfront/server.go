// Package httpfront is the request front end towards callers: HTTP on go-zero
// rest, with its breaker, shedding, logging and timeouts switched off, because
// this system makes these decisions itself.
package httpfront

import (
	"cmp"
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/zeromicro/go-zero/core/logx"
	"github.com/zeromicro/go-zero/core/proc"
	"github.com/zeromicro/go-zero/core/stat"
	"github.com/zeromicro/go-zero/rest"
	"github.com/zeromicro/go-zero/rest/chain"

	"github.com/savorytiller/savorytiller/internal/port"
)

// Options of a front end. Handler is required.
type Options struct {
	Handler port.RequestServer
	// Recorder counts the requests that are refused here; it may be nil.
	Recorder port.Recorder
	// MaxHeaderBytes bounds the head of a request. A head over four times this
	// limit is refused by net/http without Outcome headers.
	MaxHeaderBytes int
	// HeaderTimeout bounds the time for receiving the head of a request.
	HeaderTimeout time.Duration
	// IdleTimeout closes connections without requests.
	IdleTimeout time.Duration
	// MaxConnections bounds the open connections.
	MaxConnections int
}

// Defaults of Options.
const (
	DefaultMaxHeaderBytes = 16 << 10
	DefaultHeaderTimeout  = 5 * time.Second
	DefaultIdleTimeout    = 60 * time.Second
	DefaultMaxConnections = 4096
)

// ErrFront means that the front end could not be started.
var ErrFront = merry.Sentinel("request front end failed")

// Server is the front end.
type Server struct {
	http  *http.Server
	limit int
}

// New returns a front end. Serve starts it.
func New(o Options) (*Server, error) {
	o.MaxHeaderBytes = cmp.Or(o.MaxHeaderBytes, DefaultMaxHeaderBytes)
	o.HeaderTimeout = cmp.Or(o.HeaderTimeout, DefaultHeaderTimeout)
	o.IdleTimeout = cmp.Or(o.IdleTimeout, DefaultIdleTimeout)
	o.MaxConnections = cmp.Or(o.MaxConnections, DefaultMaxConnections)
	logx.Disable()
	stat.DisableLog()
	conf := rest.RestConf{}
	conf.Name = "request"
	// go-zero ends the process a few seconds after SIGTERM unless told to wait;
	// the graceful shutdown is in the hands of the entry instance.
	conf.Shutdown = proc.ShutdownConf{WaitTime: 24 * time.Hour}
	server, err := rest.NewServer(conf, rest.WithRouter(&router{}), rest.WithChain(chain.New()))
	if err != nil {
		return nil, merry.Wrap(ErrFront, merry.WithCause(err))
	}
	f := &front{handler: o.Handler, recorder: o.Recorder, maxHeader: o.MaxHeaderBytes}
	server.AddRoute(rest.Route{Method: http.MethodGet, Path: "/", Handler: f.serve})
	serverless, err := rest.NewServerless(server)
	if err != nil {
		return nil, merry.Wrap(ErrFront, merry.WithCause(err))
	}
	return &Server{limit: o.MaxConnections, http: &http.Server{
		Handler:           http.HandlerFunc(serverless.Serve),
		MaxHeaderBytes:    4 * o.MaxHeaderBytes,
		ReadHeaderTimeout: o.HeaderTimeout,
		IdleTimeout:       o.IdleTimeout,
	}}, nil
}

// Serve answers requests on the listener until Shutdown.
func (s *Server) Serve(l net.Listener) error {
	err := s.http.Serve(newLimited(l, s.limit))
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return merry.Wrap(ErrFront, merry.WithCause(err))
}

// Shutdown closes the listener and waits for the requests in progress until the
// context ends.
func (s *Server) Shutdown(ctx context.Context) error { return s.http.Shutdown(ctx) }

// router passes every method and path to the one route; services are told apart
// by the Host header.
type router struct{ handler http.Handler }

// ServeHTTP implements http.Handler.
func (r *router) ServeHTTP(w http.ResponseWriter, req *http.Request) { r.handler.ServeHTTP(w, req) }

// Handle implements httpx.Router.
func (r *router) Handle(_, _ string, h http.Handler) error {
	r.handler = h
	return nil
}

// SetNotFoundHandler implements httpx.Router. Every path is found.
func (r *router) SetNotFoundHandler(http.Handler) {}

// SetNotAllowedHandler implements httpx.Router. Every method is allowed.
func (r *router) SetNotAllowedHandler(http.Handler) {}

// limited bounds the open connections of a listener: further ones wait in the
// kernel's queue.
type limited struct {
	net.Listener
	tokens chan struct{}
}

func newLimited(l net.Listener, n int) *limited {
	return &limited{Listener: l, tokens: make(chan struct{}, n)}
}

// Accept implements net.Listener.
func (l *limited) Accept() (net.Conn, error) {
	l.tokens <- struct{}{}
	c, err := l.Listener.Accept()
	if err != nil {
		<-l.tokens
		return nil, err
	}
	return &limitedConn{Conn: c, free: func() { <-l.tokens }}, nil
}
