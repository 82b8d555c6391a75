// Package parts runs the components of an instance, such as its control thread
// and its listeners, and reports those that end unexpectedly.
package parts

import (
	"context"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
)

// ErrEnded means that a part failed, or ended while the instance needed it.
var ErrEnded = merry.Sentinel("a part of the instance ended unexpectedly")

// Part is a component of the instance. Run returns when its context ends, or when
// the listener or socket that it blocks on is closed.
type Part struct {
	Name string
	Run  func(ctx context.Context) error
}

// Start runs each part in a goroutine of the group. Until ctx ends, the channel
// receives an ErrEnded for each part that returns an error, or that returns while
// required reports true.
func Start(ctx context.Context, group *sync.WaitGroup, parts []Part, required func() bool) <-chan error {
	ended := make(chan error, len(parts))
	for _, p := range parts {
		group.Go(func() {
			err := p.Run(ctx)
			if ctx.Err() == nil && (err != nil || required()) {
				ended <- merry.Wrap(ErrEnded, merry.WithCause(err), merry.AppendMessagef("%s: %v", p.Name, err))
			}
		})
	}
	return ended
}

// WaitFor waits until all goroutines of the group have ended, but no longer than
// the limit, and reports whether they have.
func WaitFor(group *sync.WaitGroup, limit time.Duration) bool {
	done := make(chan struct{})
	go func() { group.Wait(); close(done) }()
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-done:
		return true
	case <-timer.C:
		return false
	}
}
