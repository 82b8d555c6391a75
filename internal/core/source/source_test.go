package source

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/savorytiller/savorytiller/internal/core/model"
)

// fleet simulates the readers of a whole fleet against one service.
type fleet struct {
	now     model.Time
	queue   events
	order   int
	readers []*Reader
	watcher func(i int) bool
	// down reports whether the service fails at a time; waiting whether
	// instances have no configuration yet.
	down    func(now model.Time) bool
	waiting bool
	notes   int // notes to read after each successful read of release/latest
	seen    model.Time
	calls   map[int64]int
	readBy  []model.Time
	zones   int
}

type event struct {
	at    model.Time
	order int
	do    func()
}

type events []event

func (q events) Len() int { return len(q) }
func (q events) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q events) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *events) Push(x any)   { *q = append(*q, x.(event)) }
func (q *events) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

func (f *fleet) at(t model.Time, do func()) {
	f.order++
	heap.Push(&f.queue, event{t, f.order, do})
}

func newFleet(n, zones int, seed uint64) *fleet {
	f := &fleet{calls: map[int64]int{}, zones: zones, down: func(model.Time) bool { return false },
		watcher: func(i int) bool { return i < WatchersPerZone*zones }, now: 1, seen: 1, readBy: make([]model.Time, n)}
	for i := range n {
		f.readers = append(f.readers, New(rand.New(rand.NewPCG(seed, uint64(i)))))
		f.at(f.now, func() { f.step(i) })
	}
	return f
}

func (f *fleet) input(i int) Input {
	return Input{Fleet: len(f.readers), Zones: f.zones, Watcher: f.watcher(i), Age: f.now.Sub(f.seen), Waiting: f.waiting}
}

func (f *fleet) call() { f.calls[int64(f.now)/int64(time.Second)]++ }

func (f *fleet) step(i int) {
	action, at := f.readers[i].Next(f.now, f.input(i))
	switch action {
	case Wait:
		f.at(min(at, f.now.Add(time.Second)), func() { f.step(i) })
	case Watch, Read:
		f.call()
		end := f.now.Add(5 * time.Millisecond)
		ok := !f.down(f.now)
		if ok && action == Watch {
			end = f.now.Add(30 * time.Second)
		}
		f.at(end, func() {
			ok = ok && !f.down(f.now)
			f.readers[i].Done(f.now, ok)
			if ok {
				f.seen = f.now
				f.read(i, f.notes)
				return
			}
			f.step(i)
		})
	}
}

// read reads the given number of notes, then goes on.
func (f *fleet) read(i, left int) {
	if left == 0 {
		f.readBy[i] = f.now
		f.step(i)
		return
	}
	ok, at := f.readers[i].Spend(f.now, f.input(i))
	if !ok {
		f.at(at, func() { f.read(i, left) })
		return
	}
	f.call()
	f.at(f.now.Add(5*time.Millisecond), func() { f.read(i, left-1) })
}

func (f *fleet) run(d time.Duration) (peak, total int) {
	end := f.now.Add(d)
	for len(f.queue) > 0 && f.queue[0].at <= end {
		e := heap.Pop(&f.queue).(event)
		f.now = e.at
		e.do()
	}
	f.now = end
	for _, c := range f.calls {
		peak, total = max(peak, c), total+c
	}
	return peak, total
}

// Guards against readers that together exceed the budget of the configuration
// service: in quiet operation, when all instances start at once, when the
// service fails and returns, and when every instance believes that it should
// watch because it reaches nobody.
func TestReadsStayWithinTheBudget(t *testing.T) {
	for _, n := range []int{7, 100, 2600} {
		zones := min(19, 1+n/3)
		for name, change := range map[string]func(f *fleet){
			"quiet":  func(*fleet) {},
			"start":  func(f *fleet) { f.waiting, f.notes = true, 10 },
			"outage": func(f *fleet) { f.down = outage; f.notes = 5 },
			"all watch": func(f *fleet) {
				f.down = outage
				f.watcher = func(int) bool { return true }
			},
		} {
			f := newFleet(n, zones, 1)
			change(f)
			peak, total := f.run(10 * time.Minute)
			t.Logf("%s: n=%d calls=%d peak=%d/s mean=%.1f/s", name, n, total, peak, float64(total)/600)
			require.LessOrEqual(t, peak, Budget, "%s n=%d", name, n)
			require.Positive(t, total, "%s n=%d", name, n)
		}
	}
}

func outage(now model.Time) bool {
	return now > model.Time(time.Minute) && now < model.Time(6*time.Minute)
}

// Guards against a fleet that does not notice that the service is back.
func TestReadersReturnAfterAnOutage(t *testing.T) {
	for _, n := range []int{7, 2600} {
		f := newFleet(n, 7, 2)
		f.down = outage
		f.run(7 * time.Minute)
		require.Less(t, f.now.Sub(f.seen), time.Minute, "n=%d", n)
	}
}

// Guards against an instance without any watcher in reach that never reads.
func TestInstanceWithoutWatchersReadsItself(t *testing.T) {
	f := newFleet(3, 1, 3)
	f.watcher = func(int) bool { return false }
	f.run(5 * time.Minute)
	require.Less(t, f.now.Sub(f.seen), 2*StaleAfter)
}
