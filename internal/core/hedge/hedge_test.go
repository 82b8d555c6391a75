package hedge

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/savorytiller/savorytiller/internal/core/model"
)

const second = model.Time(time.Second)

// Guards against a fleet that hedges more than the operators allow although each of its 64
// instances knows only its own requests. With steady traffic the limit holds in any 10 s. With
// traffic that comes and goes it holds for the requests of those 10 s and of the 10 s before,
// because a hedge follows its requests.
func TestBudgetsOfAFleetStayWithinTheLimit(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const instances, steps, step = 64, 800, 100 * model.Time(time.Millisecond)
		limit := rapid.Float64Range(0.01, 0.2).Draw(rt, "limit")
		steady := rapid.Bool().Draw(rt, "steady")
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 1))
		budgets := make([]*Budget, instances)
		rates, saves := make([]int, instances), make([]bool, instances)
		for i := range budgets {
			budgets[i], rates[i] = NewBudget(limit), random.IntN(6)
		}
		requests, hedges := make([]int, steps+1), make([]int, steps+1) // up to and including a step
		for n := range steps {
			now := model.Time(n) * step
			requests[n+1], hedges[n+1] = requests[n], hedges[n]
			for i, b := range budgets {
				if !steady && random.IntN(50) == 0 {
					rates[i] = random.IntN(6) * random.IntN(2)
				}
				if random.IntN(30) == 0 {
					saves[i] = !saves[i] // spends nothing for some time and then all at once
				}
				for range rates[i] {
					b.AddRequest(now)
					requests[n+1]++
				}
				for range 3 {
					if !saves[i] && b.Take(now) {
						hedges[n+1]++
					}
				}
			}
			from := max(0, n+1-100)
			paidFrom := from
			if !steady {
				paidFrom = max(0, n+1-200)
			}
			if h, r := hedges[n+1]-hedges[from], requests[n+1]-requests[paidFrom]; float64(h) > limit*float64(r)+1e-6 {
				rt.Fatalf("%d hedges for %d requests at a limit of %g", h, r, limit)
			}
		}
		if steady && requests[steps] > 0 {
			require.NotZero(rt, hedges[steps])
		}
	})
}

// Guards against a budget that allows a hedge before it is earned, after it expired, or at a
// limit of 0.
func TestBudgetStartsEmptyAndExpires(t *testing.T) {
	b, off := NewBudget(0.05), NewBudget(0)
	require.False(t, b.Take(0))
	for range 39 {
		b.AddRequest(second)
		off.AddRequest(second)
	}
	require.True(t, b.Take(second))
	require.False(t, b.Take(second), "39 requests allow one hedge")
	b.AddRequest(second)
	require.True(t, b.Take(second))
	require.False(t, off.Take(second))
	for range 100 {
		b.AddRequest(20 * second)
	}
	require.True(t, b.Take(29*second))
	require.False(t, b.Take(30*second+1))
}

// Guards against a delay that is wrong by more than the width of a bucket, is used with too few
// samples, or outlives the last minute.
func TestDelayIsThe95thPercentileOfTheLastMinute(t *testing.T) {
	var d Delay
	observe := func(from model.Time, times int, f func(i int) time.Duration) model.Time {
		for i := range times {
			from += second / 100
			d.Observe(from, f(i))
		}
		return from
	}
	now := observe(second, 49, func(int) time.Duration { return time.Millisecond })
	_, ok := d.Usual(now + 11*second)
	require.False(t, ok, "too few samples")
	now = observe(100*second, 1000, func(i int) time.Duration { return time.Duration(i%100+1) * time.Millisecond })
	got, ok := d.Usual(now + 11*second)
	require.True(t, ok)
	require.InEpsilon(t, 95*time.Millisecond, got, 0.13)
	_, ok = d.Usual(now + 200*second)
	require.False(t, ok, "older than a minute")
	now = observe(400*second, 400, func(int) time.Duration { return time.Second })
	_, ok = d.Usual(now + 200*second)
	require.False(t, ok, "older than a minute, and never read until then")
}

// Guards against a service that is hedged although all its servers are slow, and against one
// that counts as slow because a few of its requests are.
func TestSlowAsAWhole(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	for name, c := range map[string]struct {
		share float64 // of the requests that take three times as long
		slow  bool
	}{"tail": {0.03, false}, "all": {1, true}, "a third": {0.33, true}} {
		var d Delay
		now, slowSteps := second, 0
		for i := range 3300 { // 30 s of usual traffic, then 3 s of the condition
			now += second / 100
			took := 50*time.Millisecond + time.Duration(random.IntN(10))*time.Millisecond
			if i >= 3000 && random.Float64() < c.share {
				took *= 3
			}
			d.Observe(now, took)
			if d.Slow(now) {
				slowSteps++
			}
		}
		require.Equal(t, c.slow, d.Slow(now), name)
		if !c.slow {
			require.Zero(t, slowSteps, name)
		}
	}
}

// Guards against garbage for each observation, which would overload a small instance.
func TestObservationsAllocateNothing(t *testing.T) {
	var d Delay
	b, now := NewBudget(0.1), second
	require.Zero(t, testing.AllocsPerRun(1000, func() {
		now += second / 10
		d.Observe(now, 30*time.Millisecond)
		d.Usual(now)
		b.AddRequest(now)
		b.Take(now)
	}))
}

// Guards against a delay that is no better than the simple alternatives: to repeat a request at
// once, or after a fixed time. Without queues and limits, so that only the rules differ.
func TestDelayAgainstAlternatives(t *testing.T) {
	type rule struct {
		p99   time.Duration
		extra float64 // repetitions for each request
	}
	measure := func(usual time.Duration, delay func(d *Delay, now model.Time) (time.Duration, bool)) rule {
		random := rand.New(rand.NewPCG(1, 1))
		took := func() time.Duration {
			d := usual + time.Duration(random.Int64N(int64(usual/3)))
			if random.Float64() < 0.03 {
				d *= 7
			}
			return d
		}
		var d Delay
		var times []time.Duration
		repeated := 0
		for i := range 10_000 {
			now := second + model.Time(i)*second/100
			first := took()
			if wait, ok := delay(&d, now); ok && first > wait {
				first = min(first, wait+took())
				repeated++
			}
			d.Observe(now, first)
			times = append(times, first)
		}
		slices.Sort(times)
		return rule{times[9900], float64(repeated) / 10_000}
	}
	for _, usual := range []time.Duration{30 * time.Millisecond, 90 * time.Millisecond} {
		never := measure(usual, func(*Delay, model.Time) (time.Duration, bool) { return 0, false })
		atOnce := measure(usual, func(*Delay, model.Time) (time.Duration, bool) { return 0, true })
		fixed := measure(usual, func(*Delay, model.Time) (time.Duration, bool) { return 60 * time.Millisecond, true })
		measured := measure(usual, (*Delay).Usual)
		t.Logf("usually %v to %v, 3 %% seven times as long: p99 and extra work: never %v %.1f %%, at once %v %.1f %%, after 60 ms %v %.1f %%, after the 95th percentile %v %.1f %%",
			usual, usual*4/3, never.p99, 100*never.extra, atOnce.p99, 100*atOnce.extra, fixed.p99, 100*fixed.extra, measured.p99, 100*measured.extra)
		require.Less(t, measured.p99, never.p99/2)
		require.Less(t, measured.extra, 0.06)
		require.Less(t, measured.extra, atOnce.extra/10)
	}
}
