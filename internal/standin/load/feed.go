package load

import (
	"context"
	"encoding/binary"
	"math/rand/v2"
	"net"
	"net/netip"
	"time"

	"github.com/savorytiller/savorytiller/internal/standin/deployment"
	"github.com/savorytiller/savorytiller/internal/standin/wire"
)

const (
	// openTimeout is how long a caller tries to open a feed.
	openTimeout = 10 * time.Second
	// resendTimeout is the time without a packet after which the caller sends its
	// last packet again.
	resendTimeout = 300 * time.Millisecond
	// stallTimeout is the time without a new message after which a feed counts as
	// broken: a stalled feed hides faults from the people who watch it.
	stallTimeout = 8 * time.Second
)

// feedEnd is the way in which a feed ended. The values are keys of the report.
type feedEnd string

const (
	feedClosed  feedEnd = "closed"
	feedRefused feedEnd = "refused" // could not be opened
	feedReset   feedEnd = "reset"   // the server sent an RST
	feedStalled feedEnd = "stalled" // no new message within stallTimeout
	feedMoved   feedEnd = "moved"   // a message came from another server
	feedSkipped feedEnd = "skipped" // a message is missing
)

// feedResult is the result of one feed.
type feedResult struct {
	service  string
	source   string
	server   string
	short    bool // closed by the caller after a fixed time
	end      feedEnd
	openedAt time.Time
	endedAt  time.Time
	messages int
	// synCount is the number of SYNs sent. movedTo is the other server that sent a
	// message, if end is feedMoved.
	synCount   int
	movedTo    string
	longestGap time.Duration
	// conn is closed by runResults at the end of the run.
	conn *net.UDPConn
}

// feed is the caller's side of one feed, with its own socket.
type feed struct {
	conn                     *net.UDPConn
	fabric                   netip.AddrPort
	source, virtualAddress   netip.AddrPort
	initialSeq, lastReceived uint32
	result                   feedResult
}

// runFeed opens a feed and keeps it open until the context ends or, if hold is
// above 0, that time has passed.
func runFeed(ctx context.Context, fabric netip.AddrPort, service *deployment.Service, hold time.Duration, random *rand.Rand) feedResult {
	f := &feed{fabric: fabric, virtualAddress: netip.MustParseAddrPort(service.VirtualAddress), initialSeq: random.Uint32(),
		result: feedResult{service: service.Name, short: hold > 0, end: feedRefused, openedAt: time.Now()}}
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return f.result
	}
	// The socket stays open: if the operating system reused its port for a later
	// feed or server while a backend server still sends messages to it, that would
	// look like a flow that moved to another server.
	f.result.conn = conn
	f.conn, f.source = conn, conn.LocalAddr().(*net.UDPAddr).AddrPort()
	f.result.source = f.source.String()
	if f.open() {
		if hold > 0 {
			var cancel context.CancelFunc
			ctx, cancel = context.WithTimeout(ctx, hold)
			defer cancel()
		}
		f.result.end = f.hold(ctx)
		f.result.endedAt = time.Now()
		if f.result.end != feedReset {
			f.close()
		}
		return f.result
	}
	f.result.endedAt = time.Now()
	return f.result
}

func (f *feed) send(s wire.Segment) {
	s.Source, s.Destination = f.source, f.virtualAddress
	if packet, err := wire.EncodeInner(&s); err == nil {
		_, _ = f.conn.WriteToUDPAddrPort(packet, f.fabric)
	}
}

// receive waits for one segment. It returns nil after a timeout or a packet that
// does not belong to the flow.
func (f *feed) receive(wait time.Duration) *wire.Segment {
	buffer := make([]byte, 2048)
	_ = f.conn.SetReadDeadline(time.Now().Add(wait))
	n, _, err := f.conn.ReadFromUDPAddrPort(buffer)
	if err != nil {
		return nil
	}
	segment, err := wire.DecodeInner(buffer[:n])
	if err != nil || segment.Source != f.virtualAddress || segment.Destination != f.source {
		return nil
	}
	return segment
}

// open sends SYNs until a server answers, and reports whether one did within
// openTimeout.
func (f *feed) open() bool {
	for start := time.Now(); time.Since(start) < openTimeout; {
		f.result.synCount++
		f.send(wire.Segment{SYN: true, Seq: f.initialSeq})
		if s := f.receive(resendTimeout); s != nil && s.SYN && s.ACK && s.Ack == f.initialSeq+1 {
			f.result.server = string(s.Payload)
			f.acknowledge()
			return true
		}
	}
	return false
}

func (f *feed) acknowledge() {
	f.send(wire.Segment{ACK: true, Seq: f.initialSeq + 1, Ack: f.lastReceived})
}

// hold receives and acknowledges messages until the feed breaks or the context ends,
// and returns how it ended.
func (f *feed) hold(ctx context.Context) feedEnd {
	lastMessageAt := time.Now()
	for ctx.Err() == nil {
		s := f.receive(resendTimeout)
		now := time.Now()
		switch {
		case s == nil:
			f.acknowledge()
		case s.RST:
			return feedReset
		case s.SYN:
			f.acknowledge()
		case len(s.Payload) > 4:
			n, server := binary.BigEndian.Uint32(s.Payload), string(s.Payload[4:])
			if server != f.result.server {
				f.result.movedTo = server
				return feedMoved
			}
			if n > f.lastReceived+1 {
				return feedSkipped
			}
			if n == f.lastReceived+1 {
				f.lastReceived = n
				f.result.messages++
				f.result.longestGap = max(f.result.longestGap, now.Sub(lastMessageAt))
				lastMessageAt = now
			}
			f.acknowledge()
		}
		if now.Sub(lastMessageAt) > stallTimeout {
			return feedStalled
		}
	}
	f.result.longestGap = max(f.result.longestGap, time.Since(lastMessageAt))
	return feedClosed
}

// close ends the flow with a FIN, so that the server removes it from its flow table.
func (f *feed) close() {
	for range 3 {
		f.send(wire.Segment{FIN: true, ACK: true, Seq: f.initialSeq + 1, Ack: f.lastReceived})
		for deadline := time.Now().Add(resendTimeout); time.Now().Before(deadline); {
			if s := f.receive(time.Until(deadline)); s != nil && s.FIN {
				return
			}
		}
	}
}
