// Package httpfront is the HTTP front end for callers. It uses go-zero rest without
// the framework's breaker, load shedding, logging and timeouts, because this system
// makes these decisions itself.
package httpfront

import (
	"cmp"
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/zeromicro/go-zero/core/logx"
	"github.com/zeromicro/go-zero/core/proc"
	"github.com/zeromicro/go-zero/core/stat"
	"github.com/zeromicro/go-zero/rest"
	"github.com/zeromicro/go-zero/rest/chain"

	"github.com/savorytiller/savorytiller/internal/port"
)

// Options are the settings of a front end. Handler is required; a zero setting selects
// its default.
type Options struct {
	Handler port.RequestServer
	// Recorder counts the requests that are refused here; it may be nil.
	Recorder port.Recorder
	// MaxHeaderBytes limits the target and headers of a request. Beyond four times
	// this limit, net/http refuses the request without Outcome headers.
	MaxHeaderBytes int
	// HeaderTimeout limits the time for receiving the headers of a request.
	HeaderTimeout time.Duration
	// IdleTimeout is the time after which an idle connection is closed.
	IdleTimeout time.Duration
	// MaxConnections limits the open connections.
	MaxConnections int
}

// Defaults of Options.
const (
	DefaultMaxHeaderBytes = 16 << 10
	DefaultHeaderTimeout  = 5 * time.Second
	DefaultIdleTimeout    = 60 * time.Second
	DefaultMaxConnections = 4096
)

// ErrFrontEnd means that the front end could not start, or that it stopped accepting
// connections because of an error.
var ErrFrontEnd = merry.Sentinel("request front end failed")

// Server is the front end.
type Server struct {
	http           *http.Server
	maxConnections int
	// leaving is set while the front end shuts down. Answers then tell callers to leave
	// their connections.
	leaving atomic.Bool
	// lastRequest is the time of the last request, in nanoseconds since 1970.
	lastRequest atomic.Int64
}

// Times of a shutdown.
const (
	// quietTime is the time without requests after which connections count as unused. It
	// covers the round trip of a caller that reacts to an answer.
	quietTime = 300 * time.Millisecond
	// maxQuietWait limits the wait for quietTime, because callers may go on opening
	// connections.
	maxQuietWait = 3 * time.Second
	// quietPollInterval is the time between two checks for requests.
	quietPollInterval = 20 * time.Millisecond
)

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
	// By default, go-zero ends the process a few seconds after SIGTERM. The instance
	// controls its graceful shutdown itself.
	conf.Shutdown = proc.ShutdownConf{WaitTime: 24 * time.Hour}
	server, err := rest.NewServer(conf, rest.WithRouter(&router{}), rest.WithChain(chain.New()))
	if err != nil {
		return nil, merry.Wrap(ErrFrontEnd, merry.WithCause(err))
	}
	h := &requestHandler{requestServer: o.Handler, recorder: o.Recorder, maxHeaderBytes: o.MaxHeaderBytes}
	server.AddRoute(rest.Route{Method: http.MethodGet, Path: "/", Handler: h.serve})
	serverless, err := rest.NewServerless(server)
	if err != nil {
		return nil, merry.Wrap(ErrFrontEnd, merry.WithCause(err))
	}
	s := &Server{maxConnections: o.MaxConnections}
	s.http = &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			s.lastRequest.Store(time.Now().UnixNano())
			if s.leaving.Load() {
				w.Header().Set("Connection", "close")
			}
			serverless.Serve(w, r)
		}),
		MaxHeaderBytes:    4 * o.MaxHeaderBytes,
		ReadHeaderTimeout: o.HeaderTimeout,
		IdleTimeout:       o.IdleTimeout,
	}
	return s, nil
}

// Serve answers requests on the listener. It returns nil after Shutdown and ErrFrontEnd
// if it can no longer accept connections.
func (s *Server) Serve(l net.Listener) error {
	err := s.http.Serve(newLimitedListener(l, s.maxConnections))
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return merry.Wrap(ErrFrontEnd, merry.WithCause(err))
}

// Shutdown tells callers with each answer to leave their connections and serves until they
// have, then closes the listener and waits for the requests in progress, at most until the
// context ends. Closed at once, a connection could carry a request that gets no answer.
func (s *Server) Shutdown(ctx context.Context) error {
	s.leaving.Store(true)
	s.waitUntilQuiet(ctx)
	return s.http.Shutdown(ctx)
}

// waitUntilQuiet returns after quietTime without requests, after maxQuietWait, or when ctx
// ends.
func (s *Server) waitUntilQuiet(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, maxQuietWait)
	defer cancel()
	start := time.Now()
	ticker := time.NewTicker(quietPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			last := time.Unix(0, s.lastRequest.Load())
			if now.Sub(start) >= quietTime && now.Sub(last) >= quietTime {
				return
			}
		}
	}
}

// router passes every method and path to its only route. The Host header selects the
// service.
type router struct{ handler http.Handler }

// ServeHTTP implements http.Handler.
func (r *router) ServeHTTP(w http.ResponseWriter, req *http.Request) { r.handler.ServeHTTP(w, req) }

// Handle implements httpx.Router.
func (r *router) Handle(_, _ string, h http.Handler) error {
	r.handler = h
	return nil
}

// SetNotFoundHandler implements httpx.Router. It has no effect, because the route
// matches every path.
func (r *router) SetNotFoundHandler(http.Handler) {}

// SetNotAllowedHandler implements httpx.Router. It has no effect, because the route
// accepts every method.
func (r *router) SetNotAllowedHandler(http.Handler) {}

// limitedListener limits the open connections of a listener. Further connections wait
// in the kernel's accept queue.
type limitedListener struct {
	net.Listener
	tokens chan struct{} // holds a token for each open connection
}

func newLimitedListener(l net.Listener, n int) *limitedListener {
	return &limitedListener{Listener: l, tokens: make(chan struct{}, n)}
}

// Accept implements net.Listener.
func (l *limitedListener) Accept() (net.Conn, error) {
	l.tokens <- struct{}{}
	c, err := l.Listener.Accept()
	if err != nil {
		<-l.tokens
		return nil, err
	}
	return &limitedConn{Conn: c, release: func() { <-l.tokens }}, nil
}
