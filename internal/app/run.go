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
	// ErrInterrupted means that the instance stopped before its graceful shutdown was
	// complete.
	ErrInterrupted = merry.Sentinel("shutdown was interrupted")
)

// Run serves until leave is cancelled, then shuts down gracefully: it announces that
// it leaves, waits for the notice time of the settings, in which others can react,
// refuses new requests, finishes those in progress, hands its flows over to other
// instances and returns nil. If stop is cancelled, or if the drain time of the settings
// has passed, it ends at once with ErrInterrupted. If a part fails, it returns
// parts.ErrEnded.
func (i *Instance) Run(leave, stop context.Context) error {
	ctx, cancel := context.WithCancel(context.WithoutCancel(stop))
	var group sync.WaitGroup
	// Parts are required only until leave is cancelled: the graceful shutdown ends the
	// request front end before the others.
	ended := parts.Start(ctx, &group, i.parts(), func() bool { return leave.Err() == nil })
	i.log.Info("started", "id", i.settings.Instance.ID, "zone", i.settings.Instance.Zone,
		"addresses", i.Addresses())

	var err error
	select {
	case err = <-ended:
		i.log.Error(err, "a part failed; stopping")
	case <-stop.Done():
		err = ErrInterrupted
	case <-leave.Done():
		err = i.shutDown(stop, ended)
	}
	cancel()
	i.close()
	if !parts.WaitFor(&group, closeTimeout) {
		i.log.Info("a part did not end in time; exiting without it")
	}
	i.log.Info("stopped")
	return err
}

// closeTimeout bounds the wait for the parts after close. The handler of a caller that
// reads slowly can take longer.
const closeTimeout = 2 * time.Second

// close closes the servers, sockets and connections that the parts block on, without
// waiting for requests in progress. Errors are ignored because the process exits
// afterwards.
func (i *Instance) close() {
	cancelled, cancel := context.WithCancel(context.Background())
	cancel()
	_ = i.front.Shutdown(cancelled)
	_ = i.operatorServer.Close()
	_ = i.peers.Close()
	i.sockets.close()
	i.backends.Close()
}

// shutDown runs the steps of a graceful shutdown. The traffic and control parts keep
// running meanwhile.
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
		{"hand flows over", func(ctx context.Context) error { return i.handOverFlows(ctx, announced) }},
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

// Durations of the hand-over of flows.
const (
	// handOverMinTime is the minimum time from the announcement to the end of the
	// hand-over. It covers two passes over the flow table, so that each flow has been
	// compared with the owners that the instances have without this one.
	handOverMinTime = 4 * time.Second
	// handOverQuietTime is the time without pending records after which the hand-over
	// ends. A batch that a peer did not accept becomes pending again only when its
	// call has ended.
	handOverQuietTime = time.Second
)

// handOverFlows returns once the flow records that other instances cannot recompute
// have been sent to them, at once if the instance has no flows, or with the error of
// ctx if ctx ends first.
func (i *Instance) handOverFlows(ctx context.Context, announced model.Time) error {
	ticker := time.NewTicker(flow.TickInterval)
	defer ticker.Stop()
	lastPending := announced
	for {
		stats, now := i.flows.Stats(), i.clock.Now()
		if stats.Pending > 0 {
			lastPending = now
		}
		if stats.Records == 0 || now.Sub(announced) >= handOverMinTime && now.Sub(lastPending) >= handOverQuietTime {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// wait returns after d, or with the error of ctx if ctx ends first.
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
