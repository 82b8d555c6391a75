package app

import (
	"runtime"
	"runtime/metrics"
	"syscall"

	"github.com/savorytiller/savorytiller/internal/adapter/admin"
)

// memoryMetric is the name in runtime/metrics of the memory that the Go runtime has
// mapped, in bytes.
const memoryMetric = "/memory/classes/total:bytes"

// metrics returns the counters, histograms and gauges of the instance.
func (i *Instance) metrics() admin.Metrics {
	p, f := i.peers.Stats(), i.flows.Stats()
	out := admin.Metrics{Snapshot: i.recorder.Snapshot(), Gauges: map[string]int64{
		"flow.records":            f.Records,
		"flow.bytes":              f.Bytes,
		"flow.pending_records":    f.Pending,
		"peer.forged":             int64(p.Forged),
		"peer.replayed":           int64(p.Replayed),
		"peer.too_large":          int64(p.TooLarge),
		"peer.limited":            int64(p.Limited),
		"peer.bytes_sent":         int64(p.BytesSent),
		"peer.bytes_received":     int64(p.BytesReceived),
		"peer.dials":              int64(p.Dials),
		"peer.silent_connections": int64(p.SilentConnections),
		"process.goroutines":      int64(runtime.NumGoroutine()),
	}}
	if s := i.control.Status(); s != nil {
		c := s.Counts
		for name, count := range map[string]uint64{
			"control.notes_applied": c.Applied, "control.notes_refused": c.Refused, "control.note_conflicts": c.Conflicts,
			"control.reads": c.Reads, "control.watches": c.Watches, "control.lists": c.Lists, "control.calls": c.Calls,
			"control.pauses": c.Pauses,
		} {
			out.Gauges[name] = int64(count)
		}
	}
	sample := []metrics.Sample{{Name: memoryMetric}}
	metrics.Read(sample)
	if sample[0].Value.Kind() == metrics.KindUint64 {
		out.Gauges["process.memory_bytes"] = int64(sample[0].Value.Uint64())
	}
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err == nil {
		out.Gauges["process.cpu_ms"] = (usage.Utime.Nano() + usage.Stime.Nano()) / 1e6
	}
	return out
}
