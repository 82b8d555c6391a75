package admission

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/core/room"
)

// The model of one service: 16 instances in 2 zones, servers with 2 slots and a queue of 8, callers
// that retry twice, and a view that is late.
const (
	modelZones       = 2
	zoneInstances    = 8
	zoneServers      = 15
	serverSlots      = 2
	serverQueue      = 8
	rejectDelay      = 220 * time.Millisecond // a rejected request waits behind others first
	toCaller         = 3 * time.Millisecond
	betweenZones     = 3400 * time.Microsecond
	ackDelay         = 40 * time.Millisecond // at most, until an instance sees that a request is answered
	maxTries         = 3
	modelSlots       = modelZones * zoneServers * serverSlots
	reportInterval   = 250 * time.Millisecond
	defaultViewDelay = 350 * time.Millisecond
)

// stream is one class of requests.
type stream struct {
	terms  model.Terms
	work   time.Duration
	weight float64
	// rate is the number of new requests per second, one on each flow. feeds is the number of
	// callers that instead send about one request per second each on a flow that stays open.
	rate  float64
	feeds int
}

// outcome is what the callers of a stream got for the requests of the measured time.
type outcome struct {
	requests, inGoal, late, lost float64
}

func (o outcome) credit() float64 { return (o.inGoal + 0.3*o.late) / o.requests }

// world is the state of the model.
type world struct {
	random    *rand.Rand
	now       model.Time
	events    eventQueue
	streams   []stream
	classes   Classes
	from, to  model.Time // measured time
	viewDelay time.Duration
	// working is the number of servers of a zone that respond. The others get no flows, but the view
	// still counts their slots.
	working   int
	instances [modelZones][zoneInstances]*instance
	servers   [modelZones][zoneServers]*server
	view      *room.View
	change    func(*room.View) // applied to each view before it is used
	base      time.Duration
	zones     [modelZones]tally
	outcomes  []outcome
	verdicts  map[model.Reason]int
	// arrivals and rejected count requests at servers in the measured time, rejectedLater those after
	// its first second.
	arrivals, rejected, rejectedLater float64
}

type instance struct {
	controller *Controller
	own        map[model.Zone]int
	atServer   map[*server]int
}

type server struct {
	zone    int
	running int
	queue   []func()
	seen    int // requests at the server as of the latest report
}

// tally is the load of a zone since the latest report.
type tally struct {
	inProgress, completed, failed int
	area                          float64
	latency                       time.Duration
	since                         model.Time
	completedBy, inProgressBy     map[uint8]int
}

func (t *tally) add(now model.Time, n int) {
	t.area += float64(t.inProgress) * now.Sub(t.since).Seconds()
	t.since = now
	t.inProgress += n
}

// request is one request of a caller. open is the server of its flow.
type request struct {
	stream *stream
	index  int
	zone   int
	start  model.Time
	tries  int
	at     *instance
	open   *server
}

type event struct {
	at model.Time
	do func()
}

type eventQueue []event

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	e := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return e
}

func (w *world) after(d time.Duration, do func()) { heap.Push(&w.events, event{w.now.Add(d), do}) }

func zoneName(zone int) model.Zone { return model.Zone(rune('a' + zone)) }

// newWorld returns a model whose requests are measured from 5 s on, for the given time.
func newWorld(seed uint64, settings Settings, measured time.Duration) *world {
	w := &world{random: rand.New(rand.NewPCG(seed, 1)), from: model.Time(5 * time.Second), verdicts: map[model.Reason]int{}, viewDelay: defaultViewDelay, working: zoneServers}
	w.to = w.from.Add(measured)
	for z := range modelZones {
		w.zones[z].completedBy, w.zones[z].inProgressBy = map[uint8]int{}, map[uint8]int{}
		for i := range zoneInstances {
			w.instances[z][i] = &instance{controller: NewController(settings), own: map[model.Zone]int{}, atServer: map[*server]int{}}
		}
		for i := range zoneServers {
			w.servers[z][i] = &server{zone: z}
		}
	}
	return w
}

// run simulates the usual streams until the measured time and the others during it.
func (w *world) run(usual, burst []stream) {
	w.streams = append(append([]stream{}, usual...), burst...)
	w.outcomes = make([]outcome, len(w.streams))
	for i := range w.streams {
		s := &w.streams[i]
		w.classes.Add(s.terms)
		start, end := model.Time(0), w.from
		if i >= len(usual) {
			start, end = w.from, w.to
		}
		if s.rate > 0 {
			w.after(start.Sub(w.now), func() { w.arrive(s, i, end) })
		}
		for range s.feeds {
			w.after(start.Sub(w.now)+w.exponential(time.Second), func() { w.feed(s, i, end, nil, nil) })
		}
	}
	w.after(reportInterval, w.report)
	for len(w.events) > 0 {
		e := heap.Pop(&w.events).(event)
		if w.now = e.at; w.now.After(w.to.Add(3 * time.Second)) {
			return
		}
		e.do()
	}
}

func (w *world) exponential(mean time.Duration) time.Duration {
	return time.Duration(w.random.ExpFloat64() * float64(mean))
}

func (w *world) arrive(s *stream, index int, end model.Time) {
	if w.now.After(end) {
		return
	}
	w.try(&request{stream: s, index: index, zone: w.random.IntN(modelZones), start: w.now}, func(*request) {})
	w.after(w.exponential(time.Duration(float64(time.Second)/s.rate)), func() { w.arrive(s, index, end) })
}

// feed sends a request on an open flow, or on a new one, and the next after a pause.
func (w *world) feed(s *stream, index int, end model.Time, at *instance, open *server) {
	if w.now.After(end) {
		return
	}
	r := &request{stream: s, index: index, zone: w.random.IntN(modelZones), start: w.now, at: at, open: open}
	next := func(r *request) {
		w.after(w.exponential(time.Second), func() { w.feed(s, index, end, r.at, r.open) })
	}
	if open != nil {
		w.send(r, next)
		return
	}
	w.try(r, next)
}

// try opens a new flow for a request.
func (w *world) try(r *request, done func(*request)) {
	r.at, r.open = w.instances[r.zone][w.random.IntN(zoneInstances)], nil
	w.after(toCaller, func() { w.decide(r, First, done) })
}

func (w *world) decide(r *request, c Copy, done func(*request)) {
	v := r.at.controller.Decide(&Flow{Terms: r.stream.terms, Classes: &w.classes, Copy: c, MayHold: true},
		&State{Zone: zoneName(r.zone), Instances: zoneInstances, View: w.view, Own: r.at.own, Now: w.now, Random: w.random.Float64()})
	w.verdicts[v.Reason]++
	switch v.Action {
	case Admit:
		r.open = w.choose(r.at, int(v.Zone[0]-'a'))
		w.send(r, done)
	case Hold:
		w.after(resendDelay, func() { w.decide(r, AfterHold, done) })
	default:
		w.after(toCaller, func() { w.retry(r, done) })
	}
}

// choose returns the server with less load of two.
func (w *world) choose(at *instance, zone int) *server {
	var best *server
	for range 2 {
		s := w.servers[zone][w.random.IntN(w.working)]
		if best == nil || s.seen+2*at.atServer[s] < best.seen+2*at.atServer[best] {
			best = s
		}
	}
	return best
}

func (w *world) retry(r *request, done func(*request)) {
	r.open = nil
	if r.tries++; r.tries < maxTries {
		w.try(r, done)
		return
	}
	w.count(r, func(o *outcome) { o.lost++ })
	done(r)
}

func (w *world) measured(start model.Time) bool { return !start.Before(w.from) && start.Before(w.to) }

func (w *world) count(r *request, add func(*outcome)) {
	if w.measured(r.start) {
		w.outcomes[r.index].requests++
		add(&w.outcomes[r.index])
	}
}

// send sends a request to the server of its flow.
func (w *world) send(r *request, done func(*request)) {
	s, sent := r.open, w.now
	way := time.Duration(0)
	if s.zone != r.zone {
		way = betweenZones
	}
	zone := &w.zones[s.zone]
	zone.add(w.now, 1)
	zone.inProgressBy[r.stream.terms.Priority]++
	r.at.own[zoneName(s.zone)]++
	r.at.atServer[s]++
	answered := func(ok bool) {
		at := r.at
		w.after(way+2*toCaller+time.Duration(w.random.Float64()*float64(ackDelay)), func() {
			zone.add(w.now, -1)
			zone.inProgressBy[r.stream.terms.Priority]--
			at.own[zoneName(s.zone)]--
			at.atServer[s]--
			if ok {
				zone.completed++
				zone.completedBy[r.stream.terms.Priority]++
				zone.latency += w.now.Sub(sent)
			} else {
				zone.failed++
			}
		})
		w.after(way+toCaller, func() {
			if !ok {
				w.retry(r, done)
				return
			}
			w.count(r, func(o *outcome) {
				if w.now.Sub(r.start) <= r.stream.terms.Goal || r.stream.terms.Goal == 0 {
					o.inGoal++
				} else {
					o.late++
				}
			})
			done(r)
		})
	}
	w.after(way, func() {
		if w.measured(w.now) {
			w.arrivals++
		}
		work := time.Duration((0.5 + w.random.Float64()) * float64(r.stream.work))
		run := func() {
			s.running++
			w.after(work, func() {
				s.running--
				answered(true)
				if len(s.queue) > 0 {
					first := s.queue[0]
					s.queue = s.queue[1:]
					first()
				}
			})
		}
		switch {
		case s.running < serverSlots:
			run()
		case len(s.queue) < serverQueue:
			s.queue = append(s.queue, run)
		default:
			if w.measured(w.now) {
				w.rejected++
			}
			if w.measured(w.now.Add(-time.Second)) {
				w.rejectedLater++
			}
			w.after(rejectDelay, func() { answered(false) })
		}
	})
}

// report makes the view of the last interval, which instances get after a delay.
func (w *world) report() {
	service := &room.Service{Zones: map[model.Zone]*room.Zone{}}
	for z := range w.zones {
		t := &w.zones[z]
		t.add(w.now, 0)
		if t.completed >= 20 {
			if mean := t.latency / time.Duration(t.completed); w.base == 0 || mean < w.base {
				w.base = mean
			}
		}
		seconds := reportInterval.Seconds()
		byPriority := map[uint8]room.Counters{}
		for p, n := range t.inProgressBy {
			byPriority[p] = room.Counters{InProgress: float64(n), Completed: float64(t.completedBy[p]) / seconds}
		}
		service.Zones[zoneName(z)] = &room.Zone{Slots: zoneServers * serverSlots, Instances: zoneInstances,
			Total: room.Counters{InProgress: t.area / seconds, Completed: float64(t.completed) / seconds, Failed: float64(t.failed) / seconds}, ByPriority: byPriority}
		*t = tally{inProgress: t.inProgress, since: w.now, completedBy: map[uint8]int{}, inProgressBy: t.inProgressBy}
		for _, s := range w.servers[z] {
			s.seen = s.running + len(s.queue)
		}
	}
	service.BaseLatency = w.base
	w.after(w.viewDelay, func() {
		w.view = &room.View{At: w.now, Usable: true, Services: map[string]*room.Service{"": service}}
		if w.change != nil {
			w.change(w.view)
		}
	})
	w.after(reportInterval, w.report)
}
