package peerrpc

import (
	"bufio"
	"bytes"
	"compress/flate"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/port"
)

// Sizes in bytes. A frame consists of: payload length (4), key identifier (1),
// sequence number (8), incarnation (8), flags (1), length of the sender's
// identifier (1), the identifier, message authentication code (16), payload.
const (
	nonceSize       = 16
	macSize         = 16
	fixedHeaderSize = 4 + 1 + 8 + 8 + 1 + 1
	MaxMessageBytes = 1<<20 + 64<<10 // a note of 1 MB with its envelope, before compression
	// compressThreshold is the minimum size of a payload that is compressed. Only
	// transfers of notes and configurations are that large.
	compressThreshold = 8 << 10
)

// flagDeflate marks a payload that is compressed with DEFLATE (RFC 1951).
const flagDeflate = 1

// writeTimeout is the timeout for writing a frame, after which a connection whose
// other end does not read fails.
const writeTimeout = 5 * time.Second

// stream transfers JSON-RPC objects in authenticated frames. Both ends choose a
// nonce that every authentication code covers, and sequence numbers increase by
// one in each direction, so a recorded frame or connection cannot be replayed.
type stream struct {
	conn     net.Conn
	keys     *keyring
	self     Identity
	dialer   bool   // this end opened the connection
	nonces   []byte // result of handshake
	r        *bufio.Reader
	counters *counters
	received atomic.Int64 // frames received, to detect connections that are dead but not closed
	allow    func() bool  // rate limit of incoming frames; nil for none

	mu               sync.Mutex // guards nextSendSequence and writes to conn
	nextSendSequence uint64

	// Used by the reading goroutine only.
	nextReceiveSequence uint64
	peer                Identity
}

// handshake exchanges the nonces and returns both, that of the listening end first.
func handshake(conn net.Conn, dialer bool, timeout time.Duration) ([]byte, error) {
	if err := conn.SetDeadline(time.Now().Add(timeout)); err != nil {
		return nil, err
	}
	own, other := make([]byte, nonceSize), make([]byte, nonceSize)
	if _, err := rand.Read(own); err != nil {
		return nil, err
	}
	if _, err := conn.Write(own); err != nil {
		return nil, err
	}
	if _, err := io.ReadFull(conn, other); err != nil {
		return nil, err
	}
	if dialer {
		own, other = other, own
	}
	return append(own, other...), conn.SetDeadline(time.Time{})
}

// mac returns the authentication code of a frame: HMAC-SHA256 (RFC 2104) over the
// nonces, the direction, the header and the payload, truncated to macSize bytes. The
// direction is included so that a frame cannot be sent back to its sender.
func (s *stream) mac(key, header, payload []byte, fromDialer bool) []byte {
	m := hmac.New(sha256.New, key)
	m.Write(s.nonces)
	if fromDialer {
		m.Write([]byte{1})
	} else {
		m.Write([]byte{0})
	}
	m.Write(header)
	m.Write(payload)
	return m.Sum(nil)[:macSize]
}

// WriteObject implements jsonrpc2.ObjectStream. The error is port.ErrTooLarge if
// the encoded object exceeds MaxMessageBytes.
func (s *stream) WriteObject(obj any) error {
	payload, err := json.Marshal(obj)
	if err != nil {
		return merry.Wrap(err)
	}
	if len(payload) > MaxMessageBytes {
		return merry.Wrap(port.ErrTooLarge, merry.AppendMessagef("%d bytes", len(payload)))
	}
	payload, flags, err := compress(payload)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	id, key := s.keys.current()
	frame := make([]byte, 0, fixedHeaderSize+len(s.self.ID)+macSize+len(payload))
	frame = binary.BigEndian.AppendUint32(frame, uint32(len(payload)))
	frame = append(frame, id)
	frame = binary.BigEndian.AppendUint64(frame, s.nextSendSequence)
	frame = binary.BigEndian.AppendUint64(frame, uint64(s.self.Incarnation))
	frame = append(frame, flags, byte(len(s.self.ID)))
	frame = append(frame, s.self.ID...)
	frame = append(frame, s.mac(key, frame, payload, s.dialer)...)
	frame = append(frame, payload...)
	s.nextSendSequence++
	if err := s.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	n, err := s.conn.Write(frame)
	s.counters.sent.Add(uint64(n))
	return err
}

// ReadObject implements jsonrpc2.ObjectStream. Any error ends the connection.
func (s *stream) ReadObject(v any) error {
	header := make([]byte, fixedHeaderSize, fixedHeaderSize+255)
	if _, err := io.ReadFull(s.r, header); err != nil {
		return err
	}
	size := binary.BigEndian.Uint32(header)
	if size > MaxMessageBytes {
		s.counters.tooLarge.Add(1)
		return port.ErrTooLarge
	}
	header = header[:fixedHeaderSize+int(header[fixedHeaderSize-1])]
	if _, err := io.ReadFull(s.r, header[fixedHeaderSize:]); err != nil {
		return err
	}
	macAndPayload := make([]byte, macSize+int(size))
	if _, err := io.ReadFull(s.r, macAndPayload); err != nil {
		return err
	}
	s.counters.received.Add(uint64(len(header) + len(macAndPayload)))
	key, ok := s.keys.find(header[4])
	if !ok || !hmac.Equal(macAndPayload[:macSize], s.mac(key, header, macAndPayload[macSize:], !s.dialer)) {
		s.counters.forged.Add(1)
		return port.ErrForged
	}
	if seq := binary.BigEndian.Uint64(header[5:]); seq != s.nextReceiveSequence {
		s.counters.replayed.Add(1)
		return merry.Wrap(port.ErrForged, merry.AppendMessagef("sequence %d, expected %d", seq, s.nextReceiveSequence))
	}
	from := Identity{
		ID:          model.InstanceID(header[fixedHeaderSize:]),
		Incarnation: model.Incarnation(binary.BigEndian.Uint64(header[13:])),
	}
	if s.nextReceiveSequence > 0 && from != s.peer {
		s.counters.forged.Add(1)
		return merry.Wrap(port.ErrForged, merry.AppendMessage("sender changed within a connection"))
	}
	if s.allow != nil && !s.allow() {
		s.counters.limited.Add(1)
		return merry.Wrap(port.ErrUnavailable, merry.AppendMessage("peer sends too many messages"))
	}
	s.peer = from
	s.nextReceiveSequence++
	s.received.Add(1)
	payload, err := decompress(macAndPayload[macSize:], header[21])
	if err != nil {
		s.counters.tooLarge.Add(1)
		return err
	}
	return json.Unmarshal(payload, v)
}

// compress returns the payload, compressed from compressThreshold on, and its flags.
func compress(payload []byte) ([]byte, byte, error) {
	if len(payload) < compressThreshold {
		return payload, 0, nil
	}
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil {
		return nil, 0, err
	}
	if _, err := w.Write(payload); err != nil {
		return nil, 0, err
	}
	if err := w.Close(); err != nil {
		return nil, 0, err
	}
	return b.Bytes(), flagDeflate, nil
}

// decompress returns the payload, decompressed if flags contains flagDeflate. The
// error is port.ErrForged for invalid data and port.ErrTooLarge above MaxMessageBytes;
// without this limit a small frame could exhaust the memory.
func decompress(payload []byte, flags byte) ([]byte, error) {
	if flags&flagDeflate == 0 {
		return payload, nil
	}
	out, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(payload)), MaxMessageBytes+1))
	if err != nil {
		return nil, merry.Wrap(port.ErrForged, merry.WithCause(err))
	}
	if len(out) > MaxMessageBytes {
		return nil, port.ErrTooLarge
	}
	return out, nil
}

// Close implements jsonrpc2.ObjectStream.
func (s *stream) Close() error { return s.conn.Close() }
