package request_test

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/core/request"
)

// BenchmarkRememberedKeys measures the memory per key in the deduplication table and
// the time of a non-idempotent request, for different numbers of keys.
func BenchmarkRememberedKeys(b *testing.B) {
	for _, n := range []int{1_000, 10_000, 30_000, 90_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			cfg := simConfig([]model.Zone{"halle-a"}, 15, 4)
			s := newSim(1, cfg, []model.Zone{"halle-a"}, 1)
			s.start()
			v := *s.nodes["halle-a-1"].view
			v.FreshUntil = model.Time(1 << 62)
			e := request.New(request.Settings{}, rand.New(rand.NewPCG(1, 1)))
			var id request.ID
			step := time.Duration(0)
			run := func() {
				id++
				now := model.Time(id) * model.Time(step)
				in := request.Incoming{Host: "line", Method: "POST", Path: "/", Attempt: 1, Key: fmt.Sprintf("key-%012d", id)}
				e.Handle(now, &v, request.Arrived{ID: id, Req: in})
				d, ok := findAction[request.Dispatch](e.Handle(now, &v, request.BodyRead{ID: id, Digest: 7}))
				if !ok {
					b.Fatal("not dispatched")
				}
				e.Handle(now, &v, request.DispatchEnded{ID: id, Serial: d.Serial, Result: request.Answered, Status: 200})
			}
			before := liveHeap()
			for range n {
				run()
			}
			perKey := float64(liveHeap()-before) / float64(n)
			// From here on, one key expires for each new one.
			step = request.DedupWindow / time.Duration(n)
			b.ResetTimer()
			for b.Loop() {
				run()
			}
			b.ReportMetric(perKey, "bytes/key")
		})
	}
}

func liveHeap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
