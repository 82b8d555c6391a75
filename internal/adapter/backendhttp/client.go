// Package backendhttp sends requests to backend servers over HTTP/1.1. It never sends a
// request twice, detects whether a byte may have reached the server, and accepts an
// answer only if it contains the ID of the request.
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

// Names of the headers between instances and backend servers.
const (
	HeaderRequestID      = "Request-Id"
	HeaderRequestTimeout = "Request-Timeout-Ms"
	HeaderShed           = "Request-Shed"
	HeaderKey            = "Idempotency-Key"
)

// Options are the settings of a client. Clock is required; a zero setting selects its
// default.
type Options struct {
	Clock port.Clock
	// DialTimeout limits the time for opening a connection.
	DialTimeout time.Duration
	// IdleTimeout is the time after which an idle connection is closed.
	IdleTimeout time.Duration
	// MaxHeaderBytes limits the size of the status line and headers of an answer.
	MaxHeaderBytes int64
}

// Defaults of Options, and the maximum number of idle connections to one server.
const (
	DefaultDialTimeout    = time.Second
	DefaultIdleTimeout    = 5 * time.Second
	DefaultMaxHeaderBytes = 32 << 10
	maxIdleConnsPerServer = 8
)

// errNoResponse is the cause with which a request is cancelled whose server does not
// answer within the response timeout.
var errNoResponse = merry.Sentinel("server did not answer in time")

// errMismatch means that an answer does not contain the ID of the request.
var errMismatch = merry.Sentinel("answer belongs to another request")

// errNoLength means that an answer ends with its connection, so that truncation cannot
// be detected.
var errNoLength = merry.Sentinel("answer has neither a Content-Length nor chunked encoding")

// Client implements port.BackendCaller.
type Client struct {
	clock     port.Clock
	transport *http.Transport // reuses connections
	singleUse *http.Transport // opens a connection for each request
	conns     connTracker
}

// New returns a client.
func New(o Options) *Client {
	o.DialTimeout = cmp.Or(o.DialTimeout, DefaultDialTimeout)
	o.IdleTimeout = cmp.Or(o.IdleTimeout, DefaultIdleTimeout)
	o.MaxHeaderBytes = cmp.Or(o.MaxHeaderBytes, DefaultMaxHeaderBytes)
	c := &Client{clock: o.Clock, conns: connTracker{byAddress: map[string]map[*conn]bool{}}}
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
		MaxIdleConnsPerHost: maxIdleConnsPerServer, MaxResponseHeaderBytes: o.MaxHeaderBytes,
	}
	c.singleUse = c.transport.Clone()
	c.singleUse.DisableKeepAlives = true
	return c
}

// Close closes the idle connections to all servers.
func (c *Client) Close() {
	c.transport.CloseIdleConnections()
	c.singleUse.CloseIdleConnections()
}

// Call implements port.BackendCaller.
func (c *Client) Call(ctx context.Context, r port.BackendRequest) port.BackendAnswer {
	if !c.clock.Now().Before(r.NotAfter) {
		return port.BackendAnswer{Result: request.NotSent, TooLate: true}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	responseTimer := time.AfterFunc(r.ResponseTimeout, func() { cancel(errNoResponse) })
	d := &dispatch{notAfter: r.NotAfter, responseTimer: responseTimer, responseTimeout: r.ResponseTimeout}
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn:      func(i httptrace.GotConnInfo) { d.bindConn(i.Conn) },
		PutIdleConn:  func(error) { d.unbindConn() },
		WroteRequest: func(httptrace.WroteRequestInfo) { d.restartTimer() },
	})
	req, err := newRequest(ctx, r, d)
	if err != nil {
		cancel(err)
		responseTimer.Stop()
		return port.BackendAnswer{Result: request.NotSent, Err: err}
	}
	transport := c.transport
	if r.NewConnection {
		transport = c.singleUse
	}
	resp, err := transport.RoundTrip(req)
	stopped := responseTimer.Stop()
	d.answered.Store(true)
	if err != nil || !stopped && errors.Is(context.Cause(ctx), errNoResponse) {
		if resp != nil {
			resp.Body.Close()
		}
		sent, tooLate := d.disableWrites()
		cause := context.Cause(ctx)
		cancel(err)
		return c.classifyFailure(r.Address, sent, tooLate, cause, err)
	}
	return newAnswer(r, resp, cancel)
}

// classifyFailure returns the result of a dispatch without an answer.
func (c *Client) classifyFailure(to netip.AddrPort, sent, tooLate bool, cause, err error) port.BackendAnswer {
	switch {
	case !sent:
		return port.BackendAnswer{Result: request.NotSent, TooLate: tooLate, Err: err}
	case errors.Is(cause, errNoResponse):
		// The remote end may have lost the state of the other idle connections too.
		c.conns.closeIdle(to.String())
		return port.BackendAnswer{Result: request.NoResponse, Err: errNoResponse}
	default:
		return port.BackendAnswer{Result: request.ConnectionBroken, Err: merry.Wrap(port.ErrUnavailable, merry.WithCause(err))}
	}
}

// newRequest returns the HTTP request of a dispatch. When a reused connection breaks,
// net/http sends a request again if it has an Idempotency-Key header and its body can be
// rewound. To prevent that, Body is never nil, even if it is empty, and GetBody is nil.
func newRequest(ctx context.Context, r port.BackendRequest, d *dispatch) (*http.Request, error) {
	target, err := url.ParseRequestURI(r.Target)
	if err != nil {
		return nil, err
	}
	target.Scheme, target.Host = "http", r.Address.String()
	req := &http.Request{
		Method: r.Method, URL: target, Host: r.Host, Header: http.Header{}, ContentLength: r.Length,
		Body: &requestBody{source: r.Body, dispatch: d},
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
	req.Header.Set(HeaderRequestTimeout, strconv.FormatInt(max(r.Remaining.Milliseconds(), 1), 10))
	if r.Key != "" {
		req.Header.Set(HeaderKey, r.Key)
	}
	return req.WithContext(ctx), nil
}

// newAnswer checks the status and headers of a response and converts it to a
// BackendAnswer.
func newAnswer(r port.BackendRequest, resp *http.Response, cancel context.CancelCauseFunc) port.BackendAnswer {
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

// answerBody wraps read errors in port.ErrTruncated, and cancels the request when it is
// closed.
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

// requestBody restarts the response timer at each read, so that the response timeout
// does not expire during a long upload.
type requestBody struct {
	source   io.Reader
	dispatch *dispatch
	closed   atomic.Bool
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
	b.dispatch.restartTimer()
	return n, err
}

// Close implements io.Closer.
func (b *requestBody) Close() error {
	b.closed.Store(true)
	return nil
}

var _ port.BackendCaller = (*Client)(nil)
