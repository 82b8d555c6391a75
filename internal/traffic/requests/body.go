package requests

import (
	"bytes"
	"io"
	"sync"

	"github.com/savorytiller/savorytiller/internal/port"
)

// callerBody is the body of a request: its start in memory, the rest still at
// the caller.
type callerBody struct {
	source io.Reader
	max    int64
	// length is -1 while it is not known.
	length int64
	start  []byte
	// whole is set if start is the complete body.
	whole bool
}

// buffer reads the start of the body.
func (b *callerBody) buffer() error {
	if b.length == 0 || b.source == nil {
		b.whole, b.length = true, 0
		return nil
	}
	size := int64(bodyBuffer)
	if b.length > 0 {
		size = min(size, b.length)
	}
	var buf bytes.Buffer
	n, err := io.Copy(&buf, io.LimitReader(b.source, size))
	b.start = buf.Bytes()
	switch {
	case err != nil:
		return err
	case n > b.max:
		return port.ErrBodyTooLarge
	case b.length < 0 && n < size:
		b.whole, b.length = true, n
	case b.length >= 0 && n < size:
		return port.ErrTruncated
	case n == b.length:
		b.whole = true
	}
	return nil
}

// open returns a reader over the whole body for one dispatch.
func (b *callerBody) open() *bodyReader {
	return &bodyReader{body: b, start: bytes.NewReader(b.start), read: int64(len(b.start))}
}

// bodyReader is the body of one dispatch. The HTTP client may read from it in
// another goroutine for a while after the dispatch has ended; stop ends that.
type bodyReader struct {
	body  *callerBody
	start *bytes.Reader

	mu       sync.Mutex
	stopped  bool
	streamed bool // reading from the caller has begun
	read     int64
	err      error
}

// Read implements io.Reader.
func (r *bodyReader) Read(p []byte) (int, error) {
	if n, err := r.start.Read(p); err == nil || r.body.whole {
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

// stop lets no further read from the caller begin. It reports whether one has
// begun, so that the body cannot be sent again, and the error of the caller's
// body.
func (r *bodyReader) stop() (streamed bool, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stopped = true
	return r.streamed, r.err
}
