package requests

import (
	"bytes"
	"io"
	"sync"

	"github.com/savorytiller/savorytiller/internal/port"
)

// callerBody is the body of a request. Its start is in memory; the rest is read from
// the caller while the request is dispatched.
type callerBody struct {
	source io.Reader
	max    int64 // in bytes
	// length is in bytes, or -1 while it is unknown.
	length int64
	// prefix is the start of the body, at most maxBufferedBody bytes.
	prefix []byte
	// complete is set if prefix is the complete body.
	complete bool
}

// buffer reads the start of the body into prefix. It returns port.ErrBodyTooLarge if
// the body is known to be too large, port.ErrTruncated if it ends early, or the error
// of the caller's connection.
func (b *callerBody) buffer() error {
	if b.length == 0 || b.source == nil {
		b.complete, b.length = true, 0
		return nil
	}
	size := int64(maxBufferedBody)
	if b.length > 0 {
		size = min(size, b.length)
	}
	var buf bytes.Buffer
	n, err := io.Copy(&buf, io.LimitReader(b.source, size))
	b.prefix = buf.Bytes()
	switch {
	case err != nil:
		return err
	case n > b.max:
		return port.ErrBodyTooLarge
	case b.length < 0 && n < size:
		b.complete, b.length = true, n
	case b.length >= 0 && n < size:
		return port.ErrTruncated
	case n == b.length:
		b.complete = true
	}
	return nil
}

// open returns a reader of the complete body for one dispatch.
func (b *callerBody) open() *bodyReader {
	return &bodyReader{body: b, prefix: bytes.NewReader(b.prefix), read: int64(len(b.prefix))}
}

// bodyReader reads the body for one dispatch. The HTTP client may still read from it in
// another goroutine after the dispatch has ended; stop prevents that.
type bodyReader struct {
	body   *callerBody
	prefix *bytes.Reader

	mu       sync.Mutex
	stopped  bool
	streamed bool // reading from the caller has begun
	read     int64
	err      error
}

// Read implements io.Reader.
func (r *bodyReader) Read(p []byte) (int, error) {
	if n, err := r.prefix.Read(p); err == nil || r.body.complete {
		return n, err
	}
	r.mu.Lock()
	if r.stopped {
		r.mu.Unlock()
		return 0, io.ErrClosedPipe
	}
	r.streamed = true
	r.mu.Unlock()

	n, err := r.body.source.Read(p)

	r.mu.Lock()
	defer r.mu.Unlock()
	r.read += int64(n)
	switch {
	case r.read > r.body.max:
		n, err = 0, port.ErrBodyTooLarge
	case err == io.EOF && r.body.length >= 0 && r.read < r.body.length:
		err = port.ErrTruncated
	}
	if err != nil && err != io.EOF {
		r.err = err
	}
	return n, err
}

// stop makes further reads from the caller fail. streamed reports whether such a read
// has begun, after which the body cannot be sent again. err is the error of reading the
// caller's body, if any.
func (r *bodyReader) stop() (streamed bool, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stopped = true
	return r.streamed, r.err
}
