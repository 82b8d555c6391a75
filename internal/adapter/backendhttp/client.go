// Package backendhttp sends requests to backend servers over HTTP/1.1. It never
// sends a request twice, knows whether a byte may have reached the server, and
// accepts an answer only if it names the request.
package backendhttp

import (
	"cmp"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/savorytiller/savorytiller/internal/core/request"
	"github.com/savorytiller/savorytiller/internal/port"
)

// Headers between instances and backend servers.
const (
	HeaderRequestID = "Request-Id"
	HeaderTimeout   = "Request-Timeout-Ms"
	HeaderShed      = "Request-Shed"
	HeaderKey       = "Idempotency-Key"
)

// Options of a client. Clock is required.
type Options struct {
	Clock port.Clock
	// DialTimeout bounds the opening of a connection.
	DialTimeout time.Duration
	// IdleTimeout retires connections without requests.
	IdleTimeout time.Duration
	// MaxHeaderBytes bounds the head of an answer.
	MaxHeaderBytes int64
}

// Defaults of Options.
const (
	DefaultDialTimeout    = time.Second
	DefaultIdleTimeout    = 5 * time.Second
	DefaultMaxHeaderBytes = 32 << 10
	idlePerServer         = 8
)

// errSilent cancels a request whose server does not answer in time.
var errSilent = merry.Sentinel("server did not answer in time")

// errMismatch means that an answer names another request.
var errMismatch = merry.Sentinel("answer belongs to another request")

// errNoLength means that the end of an answer cannot be verified.
var errNoLength = merry.Sentinel("answer has neither length nor chunks")

// Client implements port.BackendCaller.
type Client struct {
	clock     port.Clock
	transport *http.Transport // keeps connections
	fresh     *http.Transport // opens a connection for each request
	conns     registry
}

// New returns a client.
func New(o Options) *Client {
	o.DialTimeout = cmp.Or(o.DialTimeout, DefaultDialTimeout)
	o.IdleTimeout = cmp.Or(o.IdleTimeout, DefaultIdleTimeout)
	o.MaxHeaderBytes = cmp.Or(o.MaxHeaderBytes, DefaultMaxHeaderBytes)
	c := &Client{clock: o.Clock, conns: registry{byAddress: map[string]map[*conn]bool{}}}
	dialer := &net.Dialer{Timeout: o.DialTimeout}
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		raw, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return c.conns.add(raw, address, c.clock), nil
	}
	c.transport = &http.Transport{
		DialContext: dial, DisableCompression: true, IdleConnTimeout: o.IdleTimeout,
		MaxIdleConnsPerHost: idlePerServer, MaxResponseHeaderBytes: o.MaxHeaderBytes,
	}
	c.fresh = c.transport.Clone()
	c.fresh.DisableKeepAlives = true
	return c
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.transport.CloseIdleConnections()
	c.fresh.CloseIdleConnections()
}

// Call implements port.BackendCaller.
func (c *Client) Call(ctx context.Context, r port.BackendRequest) port.BackendAnswer {
	if !c.clock.Now().Before(r.NotAfter) {
		return port.BackendAnswer{Result: request.NotSent, TooLate: true}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	silence := time.AfterFunc(r.ResponseTimeout, func() { cancel(errSilent) })
	use := &use{notAfter: r.NotAfter, silence: silence, timeout: r.ResponseTimeout}
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn:      func(i httptrace.GotConnInfo) { use.got(i.Conn) },
		PutIdleConn:  func(error) { use.put() },
		WroteRequest: func(httptrace.WroteRequestInfo) { use.progress() },
	})
	req, err := build(ctx, r, use)
	if err != nil {
		cancel(err)
		silence.Stop()
		return port.BackendAnswer{Result: request.NotSent, Err: err}
	}
	transport := c.transport
	if r.NewConnection {
		transport = c.fresh
	}
	resp, err := transport.RoundTrip(req)
	stopped := silence.Stop()
	use.answered.Store(true)
	if err != nil || !stopped && errors.Is(context.Cause(ctx), errSilent) {
		if resp != nil {
			resp.Body.Close()
		}
		sent, late := use.seal()
		cause := context.Cause(ctx)
		cancel(err)
		return c.failed(r.Address, sent, late, cause, err)
	}
	return head(r, resp, cancel)
}

// failed classifies a dispatch without an answer.
func (c *Client) failed(to netip.AddrPort, sent, late bool, cause, err error) port.BackendAnswer {
	switch {
	case !sent:
		return port.BackendAnswer{Result: request.NotSent, TooLate: late, Err: err}
	case errors.Is(cause, errSilent):
		// The other idle connections may have lost their state as well.
		c.conns.retire(to.String())
		return port.BackendAnswer{Result: request.NoResponse, Err: errSilent}
	default:
		return port.BackendAnswer{Result: request.ConnectionBroken, Err: merry.Wrap(port.ErrUnavailable, merry.WithCause(err))}
	}
}

// build returns the HTTP request. net/http sends a request again when a kept
// connection breaks if it carries an Idempotency-Key and its body can be
// rewound; so the body is not nil, even if empty, and has no GetBody.
func build(ctx context.Context, r port.BackendRequest, u *use) (*http.Request, error) {
	target, err := url.ParseRequestURI(r.Target)
	if err != nil {
		return nil, err
	}
	target.Scheme, target.Host = "http", r.Address.String()
	req := &http.Request{
		Method: r.Method, URL: target, Host: r.Host, Header: http.Header{}, ContentLength: r.Length,
		Body: &requestBody{source: r.Body, use: u},
	}
	for name, values := range r.Header {
		if !dropped(r.Header, name) {
			req.Header[name] = values
		}
	}
	if _, ok := req.Header["User-Agent"]; !ok {
		req.Header["User-Agent"] = nil // keeps net/http from adding its own
	}
	req.Header.Set(HeaderRequestID, r.RequestID)
	req.Header.Set(HeaderTimeout, strconv.FormatInt(max(r.Remaining.Milliseconds(), 1), 10))
	if r.Key != "" {
		req.Header.Set(HeaderKey, r.Key)
	}
	return req.WithContext(ctx), nil
}

// head checks the head of an answer.
func head(r port.BackendRequest, resp *http.Response, cancel context.CancelCauseFunc) port.BackendAnswer {
	a := port.BackendAnswer{Result: request.Answered, Status: resp.StatusCode, Length: resp.ContentLength, Header: map[string][]string{}}
	body := &answerBody{ReadCloser: resp.Body, cancel: cancel}
	switch {
	case resp.Header.Get(HeaderRequestID) != r.RequestID:
		a.Result, a.Err = request.Mismatched, errMismatch
	case resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(HeaderShed) == "1":
		a.Result = request.ShedByServer
	case r.Method == http.MethodHead || resp.StatusCode == http.StatusNoContent || resp.StatusCode == http.StatusNotModified:
		a.Length = 0
	case resp.ContentLength < 0 && len(resp.TransferEncoding) == 0:
		a.Result, a.Err = request.Truncated, errNoLength
	}
	if a.Result != request.Answered {
		body.Close()
		return a
	}
	for name, values := range resp.Header {
		if !dropped(resp.Header, name) {
			a.Header[name] = values
		}
	}
	a.Body = body
	return a
}

// answerBody converts a broken body to port.ErrTruncated and cancels the
// request when it is closed before its end.
type answerBody struct {
	io.ReadCloser
	cancel context.CancelCauseFunc
}

// Read implements io.Reader.
func (b *answerBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil && err != io.EOF {
		err = merry.Wrap(port.ErrTruncated, merry.WithCause(err))
	}
	return n, err
}

// Close implements io.Closer.
func (b *answerBody) Close() error {
	err := b.ReadCloser.Close()
	b.cancel(nil)
	return err
}

// requestBody reports progress, so that a long upload does not look silent.
type requestBody struct {
	source io.Reader
	use    *use
	closed atomic.Bool
}

// Read implements io.Reader.
func (b *requestBody) Read(p []byte) (int, error) {
	if b.closed.Load() {
		return 0, io.ErrClosedPipe
	}
	if b.source == nil {
		return 0, io.EOF
	}
	n, err := b.source.Read(p)
	b.use.progress()
	return n, err
}

// Close implements io.Closer.
func (b *requestBody) Close() error {
	b.closed.Store(true)
	return nil
}

var _ port.BackendCaller = (*Client)(nil)
