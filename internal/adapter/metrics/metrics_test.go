package metrics

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/port"
)

// Guards against a list of decisions that grows with traffic or that loses the
// order or the newest entries when the ring wraps, and against a busy part that
// evicts the decisions of another.
func TestDecisionsAreBoundedAndInOrder(t *testing.T) {
	r := New(4)
	require.Empty(t, r.Decisions())
	for i := range 11 {
		r.Decision(port.Decision{At: model.Time(i), Part: "request", Reason: model.ReasonOverloaded})
		r.Decision(port.Decision{At: 1000, Part: "request"})
		got := r.Decisions()
		require.Len(t, got, min(i+1, 4))
		for j, d := range got {
			require.Equal(t, model.Time(i-len(got)+1+j), d.At)
		}
	}
	r.Decision(port.Decision{At: 5, Part: "control", Reason: model.ReasonNoteApplied})
	got := r.Decisions()
	require.Len(t, got, 5)
	require.Equal(t, "control", got[0].Part, "decisions are sorted by time")
}

// Guards against two parts or reasons that share a counter, and against counts
// that are lost when several goroutines create the counters of a part at once.
func TestCountsByPartAndReason(t *testing.T) {
	r := New(1)
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			for range 100 {
				r.Count("flow", model.ReasonIdle)
			}
		})
	}
	wg.Wait()
	r.Count("request", model.ReasonIdle)
	r.Count("request", model.ReasonShed)
	require.Equal(t, []Counter{
		{"flow", "idle", 800}, {"request", "idle", 1}, {"request", "shed", 1},
	}, r.Snapshot().Counters)
}

// Guards against durations that are counted for the wrong tenant or class.
func TestHistogramsPerTenantAndClass(t *testing.T) {
	r := New(1)
	r.Observe("request", "factory", "writes", 10*time.Millisecond)
	r.Observe("request", "factory", "writes", 30*time.Millisecond)
	r.Observe("request", "market", "writes", time.Second)
	got := r.Snapshot().Histograms
	require.Len(t, got, 2)
	require.Equal(t, "factory", got[0].Tenant)
	require.EqualValues(t, 2, got[0].Count)
	require.InDelta(t, 20, got[0].MeanMs, 0.001)
	require.InDelta(t, 30, got[0].MaxMs, 0.001)
	require.InDelta(t, 1000, got[1].P99Ms, 0.001)
}

// Guards against memory that grows with the number of tenants or metrics.
func TestHistogramsAreBounded(t *testing.T) {
	r := New(1)
	for i := range 4 * maxHistograms {
		r.Observe(fmt.Sprint("metric", i), fmt.Sprint("tenant", i), "class", time.Millisecond)
	}
	total := int64(0)
	all := r.Snapshot().Histograms
	for _, h := range all {
		total += h.Count
	}
	require.LessOrEqual(t, len(all), 2*maxHistograms+1)
	require.EqualValues(t, 4*maxHistograms, total, "values of tenants past the limit are counted in a shared histogram")
}

// Guards against an allocation per count, since every packet is counted.
func TestCountAllocatesNothing(t *testing.T) {
	r := New(1)
	part := fmt.Sprint("fl", "ow")
	require.Zero(t, testing.AllocsPerRun(100, func() { r.Count(part, model.ReasonKnownFlow) }))
}

func BenchmarkCount(b *testing.B) {
	r := New(1)
	part := fmt.Sprint("fl", "ow")
	b.ReportAllocs()
	for b.Loop() {
		r.Count(part, model.ReasonKnownFlow)
	}
}
