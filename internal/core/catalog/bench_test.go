package catalog

import (
	"fmt"
	"testing"

	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/core/steering"
)

// BenchmarkTableRebuild measures the rebuild of a snapshot for different numbers of
// servers.
func BenchmarkTableRebuild(b *testing.B) {
	for _, n := range []int{20, 150, 1000, 30_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			c := newCatalog()
			for i := range n {
				c.put(1, uint64(10+i), serverEntry(fmt.Sprintf("i-%08x", i), 1, nil))
			}
			home := func(model.ServerID, model.Zone) bool { return false }
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				c.Fill(1, &steering.Snapshot{}, home)
			}
		})
	}
}

// BenchmarkDueProbes measures the search for servers to probe while none is suspect, which
// the control goroutine does after each event.
func BenchmarkDueProbes(b *testing.B) {
	for _, n := range []int{20, 3000, 30_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			c := newCatalog()
			for i := range n {
				c.put(1, uint64(10+i), serverEntry(fmt.Sprintf("i-%08x", i), 1, nil))
			}
			reachable := func(model.Zone) bool { return true }
			for b.Loop() {
				c.DueProbes(1, 8, reachable)
			}
		})
	}
}

// BenchmarkRebuildWithManyRoutes measures the rebuild of a snapshot with few servers and
// hundreds of routes.
func BenchmarkRebuildWithManyRoutes(b *testing.B) {
	c := newCatalog()
	config := &Configuration{Version: 9, Services: []Service{{Name: "s"}}}
	for i := range 373 {
		config.Routes = append(config.Routes, Route{Name: fmt.Sprint(i), Endpoint: steering.Endpoint{Address: 1, Port: uint16(i)},
			Shares: []Share{{Service: "s", Weight: 1}}})
	}
	c.Apply(1, &Entry{Key: "config", Revision: 2, Config: config})
	for i := range 18 {
		c.put(1, uint64(10+i), serverEntry(fmt.Sprintf("i-%08x", i), 1, nil))
	}
	home := func(model.ServerID, model.Zone) bool { return false }
	for b.Loop() {
		c.Fill(1, &steering.Snapshot{}, home)
	}
}
