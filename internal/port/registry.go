package port

import (
	"context"
	"net/netip"
	"time"

	"github.com/savorytiller/savorytiller/internal/core/catalog"
	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/core/peer"
)

// Prober asks a backend server for a sign of life.
type Prober interface {
	// Probe waits for an answer of the server until the context ends.
	Probe(ctx context.Context, id model.ServerID, address netip.AddrPort, path string) catalog.Reach
}

// Registry reads the store in which operators and backend servers publish. Its
// errors are ErrUnavailable, ErrBusy, ErrTooLarge and ErrMalformed.
type Registry interface {
	// List returns all entries. The result is complete up to the revision, and
	// may hold newer entries. Each call that it takes is bounded, the whole is not.
	List(ctx context.Context) (catalog.Changes, error)
	// Watch returns the changes after a revision as soon as there is one, or none
	// after the wait. The error may also be ErrCompacted.
	Watch(ctx context.Context, after uint64, wait time.Duration) (catalog.Changes, error)
	// Revision returns the revision of the registry.
	Revision(ctx context.Context) (uint64, error)
	// Reconnect gives up idle connections, because they may be silent for good.
	Reconnect()
}

// PeerSender sends messages to other instances. It does not block, and messages
// may get lost.
type PeerSender interface {
	Send(to netip.AddrPort, m *peer.Message)
}
