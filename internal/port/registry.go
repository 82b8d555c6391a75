package port

import (
	"context"
	"time"

	"github.com/savorytiller/savorytiller/internal/core/catalog"
)

// Registry reads the store in which operators and backend servers publish. Its
// errors are ErrUnavailable, ErrBusy, ErrTooLarge and ErrMalformed.
type Registry interface {
	// List returns all entries. The result is complete up to the revision, and
	// may hold newer entries.
	List(ctx context.Context) (catalog.Changes, error)
	// Watch returns the changes after a revision as soon as there is one, or none
	// after the wait. The error may also be ErrCompacted.
	Watch(ctx context.Context, after uint64, wait time.Duration) (catalog.Changes, error)
	// Revision returns the revision of the registry.
	Revision(ctx context.Context) (uint64, error)
	// Reconnect gives up idle connections, because they may be silent for good.
	Reconnect()
}
