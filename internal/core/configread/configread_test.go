package configread

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/savorytiller/savorytiller/internal/core/model"
)

// fleet simulates the schedulers of a whole fleet against one service.
type fleet struct {
	now        model.Time
	queue      events
	order      int
	schedulers []*Scheduler
	watcher    func(i int) bool
	// unavailable reports whether the service fails at a time; needsConfig is set
	// if the instances have no configuration yet.
	unavailable func(now model.Time) bool
	needsConfig bool
	notes       int // notes to read after each successful read of release/latest
	lastRead    model.Time
	calls       map[int64]int // number of calls, by second
	notesReadAt []model.Time  // time at which an instance last had all notes, by instance
	zones       int
}

type event struct {
	at    model.Time
	order int // of events at the same time
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

func (f *fleet) schedule(t model.Time, do func()) {
	f.order++
	heap.Push(&f.queue, event{t, f.order, do})
}

func newFleet(n, zones int, seed uint64) *fleet {
	f := &fleet{calls: map[int64]int{}, zones: zones, unavailable: func(model.Time) bool { return false },
		watcher: func(i int) bool { return i < WatchersPerZone*zones }, now: 1, lastRead: 1, notesReadAt: make([]model.Time, n)}
	for i := range n {
		f.schedulers = append(f.schedulers, New(rand.New(rand.NewPCG(seed, uint64(i)))))
		f.schedule(f.now, func() { f.step(i) })
	}
	return f
}

func (f *fleet) input(i int) Input {
	return Input{FleetSize: len(f.schedulers), Zones: f.zones, Watcher: f.watcher(i), LastReadAge: f.now.Sub(f.lastRead), NeedsConfig: f.needsConfig}
}

func (f *fleet) call() { f.calls[int64(f.now)/int64(time.Second)]++ }

// step carries out the next action of scheduler i and schedules the step after it.
func (f *fleet) step(i int) {
	action, at := f.schedulers[i].Next(f.now, f.input(i))
	switch action {
	case Wait:
		f.schedule(min(at, f.now.Add(time.Second)), func() { f.step(i) })
	case Watch, Read:
		f.call()
		end := f.now.Add(5 * time.Millisecond)
		ok := !f.unavailable(f.now)
		if ok && action == Watch {
			end = f.now.Add(30 * time.Second)
		}
		f.schedule(end, func() {
			ok = ok && !f.unavailable(f.now)
			f.schedulers[i].Done(f.now, ok)
			if ok {
				f.lastRead = f.now
				f.readNotes(i, f.notes)
				return
			}
			f.step(i)
		})
	}
}

// readNotes reads the given number of notes and then continues with step.
func (f *fleet) readNotes(i, remaining int) {
	if remaining == 0 {
		f.notesReadAt[i] = f.now
		f.step(i)
		return
	}
	ok, at := f.schedulers[i].Allow(f.now, f.input(i))
	if !ok {
		f.schedule(at, func() { f.readNotes(i, remaining) })
		return
	}
	f.call()
	f.schedule(f.now.Add(5*time.Millisecond), func() { f.readNotes(i, remaining-1) })
}

// run advances the simulation by d. It returns the highest number of calls in a second
// and the number of all calls since the start.
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

// Guards against a fleet that exceeds the budget of the configuration service: in
// normal operation, when all instances start at once, during and after an outage
// of the service, and when every instance considers itself a watcher because it
// can reach no other instance.
func TestFleetStaysWithinBudget(t *testing.T) {
	for _, n := range []int{7, 100, 2600} {
		zones := min(19, 1+n/3)
		for name, change := range map[string]func(f *fleet){
			"quiet":  func(*fleet) {},
			"start":  func(f *fleet) { f.needsConfig, f.notes = true, 10 },
			"outage": func(f *fleet) { f.unavailable = duringOutage; f.notes = 5 },
			"all watch": func(f *fleet) {
				f.unavailable = duringOutage
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

func duringOutage(now model.Time) bool {
	return now > model.Time(time.Minute) && now < model.Time(6*time.Minute)
}

// Guards against a fleet that does not resume its reads after an outage of the
// service.
func TestReadsResumeAfterOutage(t *testing.T) {
	for _, n := range []int{7, 2600} {
		f := newFleet(n, 7, 2)
		f.unavailable = duringOutage
		f.run(7 * time.Minute)
		require.Less(t, f.now.Sub(f.lastRead), time.Minute, "n=%d", n)
	}
}

// Guards against an instance that never reads the service because it can reach no
// watcher.
func TestInstanceWithoutWatchersReadsDirectly(t *testing.T) {
	f := newFleet(3, 1, 3)
	f.watcher = func(int) bool { return false }
	f.run(5 * time.Minute)
	require.Less(t, f.now.Sub(f.lastRead), 2*StaleAfter)
}
