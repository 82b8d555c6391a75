package peerrpc

import (
	"context"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/stretchr/testify/require"

	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/port"
)

type echoMessage struct{ Text string }

func secret(c string) []byte { return []byte(strings.Repeat(c, MinSecretBytes)) }

func newNode(t testing.TB, id string, change func(*Options)) *Node {
	t.Helper()
	o := Options{Self: Identity{model.InstanceID(id), 1}, Keys: []Key{{1, secret("a")}}}
	if change != nil {
		change(&o)
	}
	n, err := New(o)
	require.NoError(t, err)
	n.Handle("echo", func(_ context.Context, from model.InstanceID, decode func(any) error) (any, error) {
		var e echoMessage
		if err := decode(&e); err != nil {
			return nil, err
		}
		if e.Text == "refuse" {
			return nil, merry.New("refused by handler")
		}
		return &echoMessage{string(from) + ":" + e.Text}, nil
	})
	t.Cleanup(func() { _ = n.Close() })
	return n
}

// serve starts a node on a free port and returns it as a member.
func serve(t testing.TB, n *Node) model.Member {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() { _ = n.Serve(context.Background(), l) }()
	return model.Member{ID: n.options.Self.ID, PeerAddress: l.Addr().(*net.TCPAddr).AddrPort()}
}

func call(n *Node, to model.Member, text string, timeout time.Duration) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	var answer echoMessage
	err := n.Call(ctx, to, "echo", &echoMessage{text}, &answer)
	return answer.Text, err
}

const callTimeout = 20 * time.Second

// Guards against calls that lose their contents, sender or error.
func TestCallsAndErrors(t *testing.T) {
	a, b := newNode(t, "a", nil), newNode(t, "b", nil)
	to := serve(t, b)
	text, err := call(a, to, "hello", callTimeout)
	require.NoError(t, err)
	require.Equal(t, "a:hello", text)
	large := strings.Repeat("x", 900<<10)
	text, err = call(a, to, large, callTimeout)
	require.NoError(t, err)
	require.Equal(t, "a:"+large, text)
	require.Less(t, a.Stats().BytesSent, uint64(100<<10), "large messages are compressed")
	_, err = call(a, to, "refuse", callTimeout)
	require.ErrorIs(t, err, port.ErrRemote)
	_, err = call(a, to, strings.Repeat("x", MaxMessageBytes), callTimeout)
	require.ErrorIs(t, err, port.ErrTooLarge)
	require.ErrorIs(t, a.Call(context.Background(), to, "none", &echoMessage{}, &echoMessage{}), port.ErrRemote)
	require.NoError(t, b.Close())
	_, err = call(a, to, "hello", callTimeout)
	require.ErrorIs(t, err, port.ErrUnavailable)
}

// Guards against accepting a message that is signed with a wrong key, and against
// a fleet that cannot replace its key while it runs.
func TestForgedMessagesAreDroppedAndKeysRotate(t *testing.T) {
	b := newNode(t, "b", func(o *Options) { o.Keys = []Key{{2, secret("b")}, {1, secret("a")}} })
	to := serve(t, b)
	for _, c := range []struct {
		keys []Key
		ok   bool
	}{
		{[]Key{{1, secret("a")}, {2, secret("b")}}, true},
		{[]Key{{2, secret("b")}}, true},
		{[]Key{{1, secret("c")}}, false},
		{[]Key{{3, secret("a")}}, false},
	} {
		before := b.Stats().Forged
		a := newNode(t, "a", func(o *Options) { o.Keys = c.keys })
		_, err := call(a, to, "hello", callTimeout)
		if c.ok {
			require.NoError(t, err)
			require.Equal(t, before, b.Stats().Forged)
		} else {
			require.ErrorIs(t, err, port.ErrUnavailable)
			require.Equal(t, before+1, b.Stats().Forged)
		}
	}
}

// proxy forwards connections and can record or stall them.
type proxy struct {
	t        *testing.T
	to       string
	stalled  atomic.Bool // the first connection forwards nothing any more
	accepted atomic.Int32
	recorded chan []byte // data of the dialing end; nil to record nothing
}

func (p *proxy) listen() model.Member {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(p.t, err)
	p.t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			in, err := l.Accept()
			if err != nil {
				return
			}
			first := p.accepted.Add(1) == 1
			out, err := net.Dial("tcp", p.to)
			if err != nil {
				_ = in.Close()
				continue
			}
			go p.copy(in, out, first, false)
			go p.copy(out, in, first, true)
		}
	}()
	return model.Member{ID: "b", PeerAddress: l.Addr().(*net.TCPAddr).AddrPort()}
}

func (p *proxy) copy(dst, src net.Conn, first, record bool) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := src.Read(buffer)
		if err != nil {
			_ = dst.Close()
			return
		}
		if first && p.stalled.Load() {
			continue
		}
		if record && p.recorded != nil {
			p.recorded <- append([]byte(nil), buffer[:n]...)
		}
		if _, err := dst.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// Guards against a connection that stays in use after it has stopped delivering
// data, although a new connection works.
func TestSilentConnectionIsReplaced(t *testing.T) {
	a, b := newNode(t, "a", nil), newNode(t, "b", nil)
	p := &proxy{t: t, to: serve(t, b).PeerAddress.String()}
	to := p.listen()
	_, err := call(a, to, "hello", callTimeout)
	require.NoError(t, err)
	p.stalled.Store(true)
	_, err = call(a, to, "lost", 50*time.Millisecond)
	require.ErrorIs(t, err, port.ErrUnavailable)
	text, err := call(a, to, "again", callTimeout)
	require.NoError(t, err)
	require.Equal(t, "a:again", text)
	require.Equal(t, uint64(1), a.Stats().SilentConnections)
	require.Equal(t, int32(2), p.accepted.Load())
}

// Guards against recorded messages that are accepted again, on the same connection
// or on a new one.
func TestReplayedMessagesAreDropped(t *testing.T) {
	a, b := newNode(t, "a", nil), newNode(t, "b", nil)
	target := serve(t, b)
	p := &proxy{t: t, to: target.PeerAddress.String(), recorded: make(chan []byte, 16)}
	_, err := call(a, p.listen(), "hello", callTimeout)
	require.NoError(t, err)
	var sent []byte
	for len(p.recorded) > 0 {
		sent = append(sent, <-p.recorded...)
	}
	frame := sent[nonceSize:]

	conn, err := net.Dial("tcp", target.PeerAddress.String())
	require.NoError(t, err)
	_, err = handshake(conn, true, callTimeout)
	require.NoError(t, err)
	_, err = conn.Write(frame)
	require.NoError(t, err)
	_, err = conn.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF, "the connection is closed")
	require.Equal(t, uint64(1), b.Stats().Forged, "frame replayed on a new connection")

	conn, err = net.Dial("tcp", target.PeerAddress.String())
	require.NoError(t, err)
	nonces, err := handshake(conn, true, callTimeout)
	require.NoError(t, err)
	out := &stream{conn: conn, keys: a.keys, self: a.options.Self, dialer: true, nonces: nonces, counters: &a.counters}
	for range 2 {
		out.nextSendSequence = 0
		require.NoError(t, out.WriteObject(map[string]any{"jsonrpc": "2.0", "method": "none"}))
	}
	_, err = io.Copy(io.Discard, conn)
	require.NoError(t, err)
	require.Equal(t, uint64(1), b.Stats().Replayed, "frame replayed on the same connection")
}

// Guards against a peer that does not answer and thereby delays calls to others,
// and against a peer that floods another instance with messages.
func TestSlowAndFloodingPeersDoNotAffectOthers(t *testing.T) {
	a, b := newNode(t, "a", nil), newNode(t, "b", func(o *Options) { o.RatePerPeer = 20 })
	slow := newNode(t, "slow", nil)
	release := make(chan struct{})
	slow.Handle("echo", func(context.Context, model.InstanceID, func(any) error) (any, error) {
		<-release
		return &echoMessage{}, nil
	})
	toSlow, to := serve(t, slow), serve(t, b)
	ended := make(chan error, 10)
	for range 10 {
		go func() { _, err := call(a, toSlow, "wait", callTimeout); ended <- err }()
	}
	_, err := call(a, to, "hello", callTimeout)
	require.NoError(t, err)
	require.Empty(t, ended)
	close(release)
	for range 10 {
		require.NoError(t, <-ended)
	}
	for range 100 {
		if _, err = call(a, to, "hello", callTimeout); err != nil {
			break
		}
	}
	require.ErrorIs(t, err, port.ErrUnavailable)
	require.Positive(t, b.Stats().Limited)
	_, err = call(newNode(t, "c", nil), to, "hello", callTimeout)
	require.NoError(t, err, "another instance is not affected")
}
