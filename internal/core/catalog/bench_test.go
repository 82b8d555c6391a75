package catalog

import (
	"fmt"
	"testing"

	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/core/steering"
)

// BenchmarkTableRebuild measures a snapshot after one change, by the number of
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
