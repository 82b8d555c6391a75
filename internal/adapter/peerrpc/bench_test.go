package peerrpc

import (
	"strings"
	"testing"
	"time"
)

// BenchmarkCall measures one call over loopback with both ends in one process:
// elapsed time, allocations and bytes sent, over an open connection and with a new
// connection for each call. New connections are frequent in a fleet of 2,600 instances,
// because the pool keeps at most MaxConnections open.
// Command: go test ./internal/adapter/peerrpc -run xxx -bench Call
func BenchmarkCall(b *testing.B) {
	for _, c := range []struct {
		name    string
		newConn bool
		size    int
	}{{"open/400B", false, 400}, {"new/400B", true, 400}} {
		b.Run(c.name, func(b *testing.B) {
			t := b
			to := serve(t, newNode(t, "b", func(o *Options) { o.RatePerPeer = 1e9 }))
			caller := newNode(t, "a", nil)
			text := strings.Repeat("x", c.size)
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				if _, err := call(caller, to, text, time.Minute); err != nil {
					b.Fatal(err)
				}
				if c.newConn {
					caller.pool.mu.Lock()
					for a, e := range caller.pool.conns {
						delete(caller.pool.conns, a)
						go e.close()
					}
					caller.pool.mu.Unlock()
				}
			}
			b.StopTimer()
			b.ReportMetric(float64(caller.Stats().BytesSent)/float64(b.N), "B-sent/op")
		})
	}
}
