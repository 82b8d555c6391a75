package logging

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// Budget bounds what a process logs, so that a flood of decisions or a reader
// that stands still costs no traffic.
type Budget struct {
	// Lines is the number of lines a second; Burst is how many of them may come at once.
	Lines, Burst int
	// Queue is the number of lines that wait for a slow reader.
	Queue int
}

// DefaultBudget leaves room for a line for each new flow of a small instance.
var DefaultBudget = Budget{Lines: 300, Burst: 600, Queue: 1024}

// reportEvery is the time between two lines about what was left out.
const reportEvery = time.Second

// BoundedWriter passes whole lines to a writer in a goroutine of its own. Write
// never blocks: a line over the budget is left out and counted.
type BoundedWriter struct {
	out    io.Writer
	budget Budget
	lines  chan []byte
	done   chan struct{}

	mu     sync.Mutex // guards tokens, filled and closed
	tokens float64
	filled time.Time
	closed bool

	leftOut atomic.Uint64
}

// NewBoundedWriter starts the goroutine that writes to out.
func NewBoundedWriter(out io.Writer, budget Budget) *BoundedWriter {
	w := &BoundedWriter{out: out, budget: budget, lines: make(chan []byte, budget.Queue), done: make(chan struct{}),
		tokens: float64(budget.Burst), filled: time.Now()}
	go w.run()
	return w
}

// Write implements io.Writer for one line. It always reports success.
func (w *BoundedWriter) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	w.tokens = min(float64(w.budget.Burst), w.tokens+now.Sub(w.filled).Seconds()*float64(w.budget.Lines))
	w.filled = now
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

// Close writes what waits, for at most the given time.
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

// run writes the lines and says what was left out with the next line after it.
func (w *BoundedWriter) run() {
	defer close(w.done)
	var told uint64
	var toldAt time.Time
	for line := range w.lines {
		// A reader that is gone leaves nobody to tell.
		_, _ = w.out.Write(line)
		if n := w.leftOut.Load(); n != told && time.Since(toldAt) >= reportEvery {
			_, _ = fmt.Fprintf(w.out, "{\"level\":\"info\",\"msg\":\"log: lines were left out\",\"lines\":%d}\n", n-told)
			told, toldAt = n, time.Now()
		}
	}
}
