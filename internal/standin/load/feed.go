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
	// resend is the time after which the caller repeats its last packet.
	resend = 300 * time.Millisecond
	// stallAfter is the silence after which a feed counts as broken: a stalled
	// feed hides a fault from the people who watch it.
	stallAfter = 8 * time.Second
)

type feedEnd string

const (
	feedClosed  feedEnd = "closed"
	feedRefused feedEnd = "refused" // could not be opened
	feedReset   feedEnd = "reset"
	feedStalled feedEnd = "stalled"
	feedMoved   feedEnd = "moved"   // a message came from another server
	feedSkipped feedEnd = "skipped" // a message is missing
)

// feedResult is what the ledger learns about a feed.
type feedResult struct {
	service  string
	source   string
	server   string
	short    bool
	end      feedEnd
	opened   time.Time
	ended    time.Time
	messages int
	// opens is the number of SYNs sent; other is the server that a feed moved to.
	opens      int
	other      string
	longestGap time.Duration
	// conn is closed by the ledger at the end of the run.
	conn *net.UDPConn
}

// feed is one open feed with its own socket.
type feed struct {
	conn            *net.UDPConn
	fabric          netip.AddrPort
	source, virtual netip.AddrPort
	isn, received   uint32
	result          feedResult
}

// runFeed opens a feed and holds it until the context ends or the time is over.
func runFeed(ctx context.Context, fabric netip.AddrPort, service *deployment.Service, hold time.Duration, random *rand.Rand) feedResult {
	f := &feed{fabric: fabric, virtual: netip.MustParseAddrPort(service.VirtualAddress), isn: random.Uint32(),
		result: feedResult{service: service.Name, short: hold > 0, end: feedRefused, opened: time.Now()}}
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return f.result
	}
	// The socket stays open: if the system gave its port to a later feed or
	// server while a backend server still pushes to it, that would look like a
	// flow that moved.
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
		f.result.ended = time.Now()
		if f.result.end != feedReset {
			f.close()
		}
		return f.result
	}
	f.result.ended = time.Now()
	return f.result
}

func (f *feed) send(s wire.Segment) {
	s.Source, s.Destination = f.source, f.virtual
	if packet, err := wire.EncodeInner(&s); err == nil {
		_, _ = f.conn.WriteToUDPAddrPort(packet, f.fabric)
	}
}

// receive waits for one segment; nil means that the wait is over.
func (f *feed) receive(wait time.Duration) *wire.Segment {
	buffer := make([]byte, 2048)
	_ = f.conn.SetReadDeadline(time.Now().Add(wait))
	n, _, err := f.conn.ReadFromUDPAddrPort(buffer)
	if err != nil {
		return nil
	}
	segment, err := wire.DecodeInner(buffer[:n])
	if err != nil || segment.Source != f.virtual || segment.Destination != f.source {
		return nil
	}
	return segment
}

func (f *feed) open() bool {
	for start := time.Now(); time.Since(start) < openTimeout; {
		f.result.opens++
		f.send(wire.Segment{SYN: true, Seq: f.isn})
		if s := f.receive(resend); s != nil && s.SYN && s.ACK && s.Ack == f.isn+1 {
			f.result.server = string(s.Payload)
			f.acknowledge()
			return true
		}
	}
	return false
}

func (f *feed) acknowledge() { f.send(wire.Segment{ACK: true, Seq: f.isn + 1, Ack: f.received}) }

func (f *feed) hold(ctx context.Context) feedEnd {
	progress := time.Now()
	for ctx.Err() == nil {
		s := f.receive(resend)
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
				f.result.other = server
				return feedMoved
			}
			if n > f.received+1 {
				return feedSkipped
			}
			if n == f.received+1 {
				f.received = n
				f.result.messages++
				f.result.longestGap = max(f.result.longestGap, now.Sub(progress))
				progress = now
			}
			f.acknowledge()
		}
		if now.Sub(progress) > stallAfter {
			return feedStalled
		}
	}
	f.result.longestGap = max(f.result.longestGap, time.Since(progress))
	return feedClosed
}

// close ends the flow, so that the server does not keep it.
func (f *feed) close() {
	for range 3 {
		f.send(wire.Segment{FIN: true, ACK: true, Seq: f.isn + 1, Ack: f.received})
		for deadline := time.Now().Add(resend); time.Now().Before(deadline); {
			if s := f.receive(time.Until(deadline)); s != nil && s.FIN {
				return
			}
		}
	}
}
