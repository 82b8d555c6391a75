package app

import (
	"context"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/savorytiller/savorytiller/internal/app/parts"
	"github.com/savorytiller/savorytiller/internal/core/flow"
	"github.com/savorytiller/savorytiller/internal/core/model"
)

// Errors of Run.
var (
	// ErrInterrupted means that the shutdown ended before all work was finished.
	ErrInterrupted = merry.Sentinel("shutdown was interrupted")
)

// Run serves until leave ends, then shuts down gracefully: it announces the
// leaving, gives others time to notice, refuses new requests, finishes the ones
// in progress, hands flows over and returns nil. The end of stop, or the drain
// limit of the settings, ends it at once with ErrInterrupted.
func (i *Instance) Run(leave, stop context.Context) error {
	ctx, cancel := context.WithCancel(context.WithoutCancel(stop))
	var group sync.WaitGroup
	// The front end ends by itself in a graceful shutdown.
	ended := parts.Start(ctx, &group, i.parts(), func() bool { return leave.Err() == nil })
	i.log.Info("instance is listening", "id", i.settings.Instance.ID, "zone", i.settings.Instance.Zone,
		"addresses", i.Addresses())

	var err error
	select {
	case err = <-ended:
		i.log.Error(err, "instance stops")
	case <-stop.Done():
		err = ErrInterrupted
	case <-leave.Done():
		err = i.shutDown(stop, ended)
	}
	cancel()
	i.close()
	if !parts.WaitFor(&group, endLimit) {
		i.log.Info("a part has not ended, leaving it behind")
	}
	i.log.Info("instance has stopped")
	return err
}

// endLimit bounds the wait for the parts after everything they block on was
// closed. A handler of a caller that reads slowly may take longer.
const endLimit = 2 * time.Second

// close closes what the parts block on. The process ends after it, so errors
// have no consequence.
func (i *Instance) close() {
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	_ = i.front.Shutdown(ended)
	_ = i.operators.Close()
	_ = i.peers.Close()
	i.sockets.close()
	i.backends.Close()
}

// shutDown runs the steps of a graceful shutdown. Traffic and control continue
// to run meanwhile.
func (i *Instance) shutDown(stop context.Context, ended <-chan error) error {
	drain, cancel := context.WithTimeout(stop, i.settings.Shutdown.Drain)
	defer cancel()
	var announced model.Time
	steps := []struct {
		name string
		run  func(ctx context.Context) error
	}{
		{"announce", func(context.Context) error {
			announced = i.clock.Now()
			i.control.Leave()
			return nil
		}},
		{"notice", func(ctx context.Context) error { return wait(ctx, i.settings.Shutdown.Notice) }},
		{"finish requests", i.requests.Drain},
		{"hand flows over", func(ctx context.Context) error { return i.handFlowsOver(ctx, announced) }},
		{"close request front end", i.front.Shutdown},
	}
	done := make(chan error, 1)
	go func() {
		for _, step := range steps {
			i.log.Info("shutdown step", "step", step.name)
			if err := step.run(drain); err != nil {
				done <- merry.Wrap(ErrInterrupted, merry.WithCause(err), merry.AppendMessagef("in step %s", step.name))
				return
			}
		}
		done <- nil
	}()
	select {
	case err := <-done:
		return err
	case err := <-ended:
		return err
	}
}

// Times of the hand-over of flows.
const (
	// handOverLeast, counted from the announcement, covers two passes over the
	// flow table, so that every flow was compared with the owners without this
	// instance.
	handOverLeast = 4 * time.Second
	// handOverSettled is how long no record must be waiting, because a batch
	// that a peer did not take is returned after its call has ended.
	handOverSettled = time.Second
)

// handFlowsOver returns once the flow records that other instances cannot
// recompute have been sent to them. An instance without flows has none.
func (i *Instance) handFlowsOver(ctx context.Context, announced model.Time) error {
	ticker := time.NewTicker(flow.TickInterval)
	defer ticker.Stop()
	busy := announced
	for {
		stats, now := i.flows.Stats(), i.clock.Now()
		if stats.Pending > 0 {
			busy = now
		}
		if stats.Records == 0 || now.Sub(announced) >= handOverLeast && now.Sub(busy) >= handOverSettled {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// wait returns after d, or with an error when ctx ends before.
func wait(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
