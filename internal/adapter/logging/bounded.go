package logging

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// Budget bounds what a process logs, so that neither a flood of decisions nor a
// log reader that has stopped reading delays traffic.
type Budget struct {
	// LinesPerSecond is the sustained rate of lines; Burst is the maximum number of
	// lines at once.
	LinesPerSecond, Burst int
	// Queue is the maximum number of lines that wait for a slow reader.
	Queue int
}

// DefaultBudget allows a line for each new flow of a small instance.
var DefaultBudget = Budget{LinesPerSecond: 300, Burst: 600, Queue: 1024}

// reportInterval is the minimum time between two reports of lines left out.
const reportInterval = time.Second

// BoundedWriter writes whole lines to another writer in its own goroutine. Write
// never blocks: a line over the budget is left out and counted.
type BoundedWriter struct {
	out    io.Writer
	budget Budget
	lines  chan []byte
	done   chan struct{}

	mu         sync.Mutex // guards tokens, refilledAt and closed
	tokens     float64
	refilledAt time.Time
	closed     bool

	leftOut atomic.Uint64
}

// NewBoundedWriter returns a BoundedWriter and starts its goroutine, which writes
// to out until Close.
func NewBoundedWriter(out io.Writer, budget Budget) *BoundedWriter {
	w := &BoundedWriter{out: out, budget: budget, lines: make(chan []byte, budget.Queue), done: make(chan struct{}),
		tokens: float64(budget.Burst), refilledAt: time.Now()}
	go w.run()
	return w
}

// Write implements io.Writer. It takes one line and never returns an error.
func (w *BoundedWriter) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	w.tokens = min(float64(w.budget.Burst), w.tokens+now.Sub(w.refilledAt).Seconds()*float64(w.budget.LinesPerSecond))
	w.refilledAt = now
	if w.closed || w.tokens < 1 {
		w.leftOut.Add(1)
		return len(line), nil
	}
	select {
	case w.lines <- append([]byte(nil), line...):
		w.tokens--
	default:
		w.leftOut.Add(1)
	}
	return len(line), nil
}

// LeftOut returns the number of lines that were left out.
func (w *BoundedWriter) LeftOut() uint64 { return w.leftOut.Load() }

// Close writes the queued lines, and returns after the time limit even if some
// are not written yet.
func (w *BoundedWriter) Close(limit time.Duration) {
	w.mu.Lock()
	if !w.closed {
		w.closed = true
		close(w.lines)
	}
	w.mu.Unlock()
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-w.done:
	case <-timer.C:
	}
}

// run writes the queued lines. It reports lines that were left out after the next
// line that it writes.
func (w *BoundedWriter) run() {
	defer close(w.done)
	var reported uint64
	var reportedAt time.Time
	for line := range w.lines {
		// Write errors are ignored: there is no other place to report them to.
		_, _ = w.out.Write(line)
		if n := w.leftOut.Load(); n != reported && time.Since(reportedAt) >= reportInterval {
			_, _ = fmt.Fprintf(w.out, "{\"level\":\"info\",\"msg\":\"log: lines were left out\",\"lines\":%d}\n", n-reported)
			reported, reportedAt = n, time.Now()
		}
	}
}
