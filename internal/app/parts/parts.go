// Package parts runs the pieces of which an instance consists.
package parts

import (
	"context"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
)

// ErrEnded means that a part ended while the instance was to run.
var ErrEnded = merry.Sentinel("a part has ended")

// Part is a piece of the instance that runs until its context ends.
type Part struct {
	Name string
	Run  func(ctx context.Context) error
}

// Start runs the parts in the group. The channel gets an error for each part that
// fails, or ends while wanted returns true; not after the end of ctx.
func Start(ctx context.Context, group *sync.WaitGroup, parts []Part, wanted func() bool) <-chan error {
	ended := make(chan error, len(parts))
	for _, p := range parts {
		group.Go(func() {
			err := p.Run(ctx)
			if ctx.Err() == nil && (err != nil || wanted()) {
				ended <- merry.Wrap(ErrEnded, merry.WithCause(err), merry.AppendMessagef("%s: %v", p.Name, err))
			}
		})
	}
	return ended
}

// WaitFor reports whether the group has ended within the limit.
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
