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

// Sizes of a frame in bytes. A frame is: payload length (4), key identifier (1),
// sequence number (8), incarnation (8), flags (1), length of the sender's name
// (1), the name, authentication code (16), payload.
const (
	nonceSize  = 16
	macSize    = 16
	fixedSize  = 4 + 1 + 8 + 8 + 1 + 1
	MaxMessage = 1<<20 + 64<<10 // a note of 1 MB with its envelope, before compression
	// compressFrom is the size from which a payload is compressed. Only
	// transfers of notes and configurations are that large.
	compressFrom = 8 << 10
)

// flagDeflate marks a payload that is compressed (RFC 1951).
const flagDeflate = 1

// writeTimeout ends a connection whose other end does not read.
const writeTimeout = 5 * time.Second

// stream carries JSON-RPC objects in authenticated frames. Both ends choose a
// nonce that every code covers, and sequence numbers grow by one in each
// direction, so a recorded frame or connection cannot be replayed.
type stream struct {
	conn     net.Conn
	keys     *keyring
	self     Identity
	dialer   bool
	nonces   []byte
	r        *bufio.Reader
	count    *counters
	received atomic.Int64 // frames received, for the detection of silent connections
	allow    func() bool  // rate limit of incoming frames; nil for none

	mu   sync.Mutex // guards sent and the writes
	sent uint64

	// Used by the reading goroutine only.
	expected uint64
	peer     Identity
}

// handshake exchanges the nonces. The listening end sends first.
func handshake(conn net.Conn, dialer bool, limit time.Duration) ([]byte, error) {
	if err := conn.SetDeadline(time.Now().Add(limit)); err != nil {
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

// WriteObject implements jsonrpc2.ObjectStream.
func (s *stream) WriteObject(obj any) error {
	payload, err := json.Marshal(obj)
	if err != nil {
		return merry.Wrap(err)
	}
	if len(payload) > MaxMessage {
		return merry.Wrap(port.ErrTooLarge, merry.AppendMessagef("%d bytes", len(payload)))
	}
	payload, flags, err := compress(payload)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	id, key := s.keys.current()
	frame := make([]byte, 0, fixedSize+len(s.self.ID)+macSize+len(payload))
	frame = binary.BigEndian.AppendUint32(frame, uint32(len(payload)))
	frame = append(frame, id)
	frame = binary.BigEndian.AppendUint64(frame, s.sent)
	frame = binary.BigEndian.AppendUint64(frame, uint64(s.self.Incarnation))
	frame = append(frame, flags, byte(len(s.self.ID)))
	frame = append(frame, s.self.ID...)
	frame = append(frame, s.mac(key, frame, payload, s.dialer)...)
	frame = append(frame, payload...)
	s.sent++
	if err := s.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	n, err := s.conn.Write(frame)
	s.count.sent.Add(uint64(n))
	return err
}

// ReadObject implements jsonrpc2.ObjectStream. Any error ends the connection.
func (s *stream) ReadObject(v any) error {
	header := make([]byte, fixedSize, fixedSize+255)
	if _, err := io.ReadFull(s.r, header); err != nil {
		return err
	}
	size := binary.BigEndian.Uint32(header)
	if size > MaxMessage {
		s.count.tooLarge.Add(1)
		return port.ErrTooLarge
	}
	header = header[:fixedSize+int(header[fixedSize-1])]
	if _, err := io.ReadFull(s.r, header[fixedSize:]); err != nil {
		return err
	}
	rest := make([]byte, macSize+int(size))
	if _, err := io.ReadFull(s.r, rest); err != nil {
		return err
	}
	s.count.received.Add(uint64(len(header) + len(rest)))
	key, ok := s.keys.find(header[4])
	if !ok || !hmac.Equal(rest[:macSize], s.mac(key, header, rest[macSize:], !s.dialer)) {
		s.count.forged.Add(1)
		return port.ErrForged
	}
	if seq := binary.BigEndian.Uint64(header[5:]); seq != s.expected {
		s.count.replayed.Add(1)
		return merry.Wrap(port.ErrForged, merry.AppendMessagef("sequence %d, expected %d", seq, s.expected))
	}
	from := Identity{
		ID:          model.InstanceID(header[fixedSize:]),
		Incarnation: model.Incarnation(binary.BigEndian.Uint64(header[13:])),
	}
	if s.expected > 0 && from != s.peer {
		s.count.forged.Add(1)
		return merry.Wrap(port.ErrForged, merry.AppendMessage("sender changed within a connection"))
	}
	if s.allow != nil && !s.allow() {
		s.count.limited.Add(1)
		return merry.Wrap(port.ErrUnavailable, merry.AppendMessage("peer sends too many messages"))
	}
	s.peer = from
	s.expected++
	s.received.Add(1)
	payload, err := expand(rest[macSize:], header[21])
	if err != nil {
		s.count.tooLarge.Add(1)
		return err
	}
	return json.Unmarshal(payload, v)
}

func compress(payload []byte) ([]byte, byte, error) {
	if len(payload) < compressFrom {
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

// expand bounds the result, so that a small frame cannot fill the memory.
func expand(payload []byte, flags byte) ([]byte, error) {
	if flags&flagDeflate == 0 {
		return payload, nil
	}
	out, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(payload)), MaxMessage+1))
	if err != nil {
		return nil, merry.Wrap(port.ErrForged, merry.WithCause(err))
	}
	if len(out) > MaxMessage {
		return nil, port.ErrTooLarge
	}
	return out, nil
}

// Close implements jsonrpc2.ObjectStream.
func (s *stream) Close() error { return s.conn.Close() }
