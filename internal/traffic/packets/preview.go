package packets

import (
	"context"

	"github.com/ansel1/merry/v2"

	"github.com/savorytiller/savorytiller/internal/core/steering"
	"github.com/savorytiller/savorytiller/internal/port"
)

// maxQuestions limits the questions that wait for the traffic goroutine, and how many it answers
// before it processes packets again. A preview takes as long as some tens of new flows.
const maxQuestions = 4

// question asks where a SYN would go. The answer has room for one element, so the traffic
// goroutine never waits.
type question struct {
	packet steering.Packet
	answer chan<- *steering.Preview
}

// Preview returns the decision that a SYN would get now. It can be called from any goroutine. The
// traffic goroutine owns the state and answers. The result is port.ErrBusy if it has too many
// questions, and port.ErrUnavailable if it does not answer before ctx ends.
func (w *Worker) Preview(ctx context.Context, p *steering.Packet) (*steering.Preview, error) {
	answer := make(chan *steering.Preview, 1)
	select {
	case w.questions <- question{*p, answer}:
	default:
		return nil, port.ErrBusy
	}
	// The question is in the channel before the wake-up, so that the traffic goroutine finds it.
	if err := w.options.Socket.Wake(); err != nil {
		return nil, err
	}
	select {
	case preview := <-answer:
		return preview, nil
	case <-ctx.Done():
		return nil, merry.Wrap(port.ErrUnavailable, merry.WithCause(ctx.Err()))
	}
}

// answerQuestions answers the questions that wait. Later ones come with a wake-up of their own.
func (w *Worker) answerQuestions() {
	o := &w.options
	for range maxQuestions {
		select {
		case q := <-w.questions:
			q.answer <- o.Steerer.Preview(o.Snapshots.Snapshot(), o.Clock.Now(), &q.packet)
		default:
			return
		}
	}
}
