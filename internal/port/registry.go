package port

import (
	"context"
	"net/netip"
	"time"

	"github.com/savorytiller/savorytiller/internal/core/belief"
	"github.com/savorytiller/savorytiller/internal/core/catalog"
	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/core/peer"
)

// Prober checks whether a backend server responds. Its methods are safe for concurrent use.
type Prober interface {
	// Probe sends a request to the server and waits for the response until the
	// context ends. It opens as many connections as it takes to tell an unreachable server
	// from lost packets.
	Probe(ctx context.Context, id model.ServerID, address netip.AddrPort, path string) belief.ProbeResult
	// Reprobe is Probe with at most two connections, for a server that was found unreachable.
	// Unreachable means only that neither was established.
	Reprobe(ctx context.Context, id model.ServerID, address netip.AddrPort, path string) belief.ProbeResult
	// Monitor holds a connection to the server, without requests, and opens the next one when
	// it is closed. It returns Ended once the port is closed, Unreachable if a connection was
	// reset or timed out, and ProbeUnknown if none can be opened or the context ends.
	Monitor(ctx context.Context, address netip.AddrPort) belief.ProbeResult
	// Connections returns the connections that were attempted so far.
	Connections() ProbeConnections
}

// ProbeConnections holds the numbers of attempted connections to servers by the method of
// Prober that attempted them.
type ProbeConnections struct{ Probes, Reprobes, Monitors uint64 }

// Registry reads the store to which operators and backend servers publish. Its
// errors are ErrUnavailable, ErrBusy, ErrTooLarge and ErrMalformed.
type Registry interface {
	// List returns all entries as of one revision, also if the store changes meanwhile:
	// instances that are at the same revision rely on having the same entries. Each call to
	// the store has a time limit, the whole listing has none.
	List(ctx context.Context) (catalog.Changes, error)
	// Watch returns the changes after a revision as soon as there are any, or no
	// changes after the wait. Their epoch may be another one than that of the given
	// revision; the changes are then of no use. The error may also be ErrCompacted.
	Watch(ctx context.Context, after uint64, wait time.Duration) (catalog.Changes, error)
	// Position returns the current position of the registry.
	Position(ctx context.Context) (catalog.Position, error)
	// Reconnect closes idle connections, because a connection can be dead without
	// an error on this side.
	Reconnect()
}

// PeerSender sends messages to other instances. It does not block, and messages
// may be lost.
type PeerSender interface {
	// Send sends a message to the peer address of an instance, of which only the address
	// may be known.
	Send(to model.Member, m *peer.Message)
}
