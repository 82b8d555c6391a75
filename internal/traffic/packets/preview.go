package packets

import (
	"context"

	"github.com/ansel1/merry/v2"

	"github.com/savorytiller/savorytiller/internal/core/steering"
	"github.com/savorytiller/savorytiller/internal/port"
)

const (
	// maxQuestions limits the questions that wait for the traffic goroutine, and how many it
	// answers before it processes packets again. A preview takes as long as some tens of new
	// flows.
	maxQuestions = 4
	// maxStatusServers is the number of servers that accept flows up to which ServerStatus answers,
	// because packets wait for it. With 1,000 it takes 0.6 to 0.7 ms.
	maxStatusServers = 1000
)

// question is answered by the traffic goroutine, which owns the state. done is closed after run.
type question struct {
	run  func()
	done chan struct{}
}

// Preview returns the decision that a SYN would get now. It can be called from any goroutine. The
// result is port.ErrBusy if too many questions wait, and port.ErrUnavailable if the traffic
// goroutine does not answer before ctx ends.
func (w *Worker) Preview(ctx context.Context, p *steering.Packet) (*steering.Preview, error) {
	o, packet := &w.options, *p
	var answer *steering.Preview
	if err := w.ask(ctx, func() { answer = o.Steerer.Preview(o.Snapshots.Snapshot(), o.Clock.Now(), &packet) }); err != nil {
		return nil, err
	}
	return answer, nil
}

// ServerStatus returns what the traffic goroutine knows of the servers, like Preview. The result is
// nil without an error if there are more than maxStatusServers.
func (w *Worker) ServerStatus(ctx context.Context) ([]steering.ServerStatus, error) {
	o := &w.options
	var answer []steering.ServerStatus
	err := w.ask(ctx, func() {
		servers := 0
		if snapshot := o.Snapshots.Snapshot(); snapshot != nil {
			for _, service := range snapshot.Services {
				servers += len(service.Servers)
			}
		}
		if servers <= maxStatusServers {
			answer = o.Steerer.ServerStatus(o.Clock.Now())
		}
	})
	if err != nil {
		return nil, err
	}
	return answer, nil
}

// ask has the traffic goroutine run a function, and waits for that until ctx ends.
func (w *Worker) ask(ctx context.Context, run func()) error {
	q := question{run, make(chan struct{})}
	select {
	case w.questions <- q:
	default:
		return port.ErrBusy
	}
	// The question is in the channel before the wake-up, so that the traffic goroutine finds it.
	if err := w.options.Socket.Wake(); err != nil {
		return err
	}
	select {
	case <-q.done:
		return nil
	case <-ctx.Done():
		return merry.Wrap(port.ErrUnavailable, merry.WithCause(ctx.Err()))
	}
}

// answerQuestions answers the questions that wait. Later ones come with a wake-up of their own.
func (w *Worker) answerQuestions() {
	for range maxQuestions {
		select {
		case q := <-w.questions:
			q.run()
			close(q.done)
		default:
			return
		}
	}
}
