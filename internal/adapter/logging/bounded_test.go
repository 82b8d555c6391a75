package logging

import (
	"bytes"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// blockedWriter blocks until release is closed.
type blockedWriter struct {
	release chan struct{}
	mu      sync.Mutex
	written bytes.Buffer
}

func (w *blockedWriter) Write(b []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.written.Write(b)
}

// Guards against traffic that waits for a slow reader of the log, and against
// lines that are left out without a report.
func TestBoundedWriterNeverBlocksAndReportsLinesLeftOut(t *testing.T) {
	out := &blockedWriter{release: make(chan struct{})}
	w := NewBoundedWriter(out, Budget{LinesPerSecond: 1_000_000, Burst: 1_000_000, Queue: 10})
	for range 100 {
		n, err := w.Write([]byte("line\n"))
		require.NoError(t, err)
		require.Equal(t, 5, n)
	}
	require.GreaterOrEqual(t, w.LeftOut(), uint64(89), "10 lines are queued and one is being written")
	close(out.release)
	w.Close(10 * time.Second)
	require.Contains(t, out.written.String(), "lines were left out")
	_, err := w.Write([]byte("after the end\n"))
	require.NoError(t, err)
}

// Guards against a flood of decisions whose log lines use up the processor of a
// small instance.
func TestBoundedWriterLimitsLinesPerSecond(t *testing.T) {
	var out bytes.Buffer
	w := NewBoundedWriter(&out, Budget{LinesPerSecond: 1, Burst: 20, Queue: 1000})
	for range 500 {
		_, err := w.Write([]byte("x\n"))
		require.NoError(t, err)
	}
	w.Close(10 * time.Second)
	require.LessOrEqual(t, bytes.Count(out.Bytes(), []byte("x\n")), 30)
}
