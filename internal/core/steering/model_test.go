package steering

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/core/room"
)

// queueModel is a queueing model of the instances and servers of some zones. The instances are
// Steerers that get the packets of the callers; servers run requests in the order of arrival.
type queueModel struct {
	modelLoad
	random   *rand.Rand
	now      model.Time
	events   eventQueue
	zones    []model.Zone
	list     []*Server
	servers  []*modelServer // parallel to list
	byToken  map[Token]*modelServer
	fleets   map[model.Zone][]*Steerer
	snapshot map[model.Zone]*Snapshot
	caller   uint32
	// completions are the times from request to response, and placed the new flows by zone
	// of the caller and of the server.
	completions []time.Duration
	placed      map[[2]model.Zone]int
	failed      int
	base        time.Duration // baseline response time
	// choose replaces the choice of the Steerer if it is set.
	choose func(m *queueModel, zone model.Zone) *modelServer
	view   *room.View
}

// modelLoad is the load of a queueModel.
type modelLoad struct {
	instances, servers int // of each zone
	speeds             []float64
	rate               func(zone int, now model.Time) float64 // requests per second of a zone
	feeds              float64                                // share of the requests on flows of 20 requests
	work               time.Duration
	crossing           time.Duration // one way between zones
	interval, delay    time.Duration // of the views
	unusable           bool
}

type modelServer struct {
	*Server
	speed, failing float64
	running, flows int
	queue          []func()
	load           room.ServerLoad
}

type event struct {
	at model.Time
	do func()
}

type eventQueue []event

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(e any)        { *q = append(*q, e.(event)) }
func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	*q = (*q)[:last]
	return e
}

func newQueueModel(load modelLoad, zones ...model.Zone) *queueModel {
	m := &queueModel{modelLoad: load, random: rand.New(rand.NewPCG(5, 6)), now: second, zones: zones, byToken: map[Token]*modelServer{},
		fleets: map[model.Zone][]*Steerer{}, snapshot: map[model.Zone]*Snapshot{}, placed: map[[2]model.Zone]int{}}
	for _, zone := range zones {
		m.list = append(m.list, servers("a", string(zone), load.servers)...)
	}
	index := NewTokenIndex(m.list)
	for i, server := range m.list {
		server.Slots = 2
		s := &modelServer{Server: server, speed: load.speeds[i%len(load.speeds)]}
		m.servers = append(m.servers, s)
		m.byToken[server.Token] = s
	}
	routes := map[Endpoint]*Route{routeA: {Name: "ra", Shares: []Share{{"a", 1}}, Terms: model.Terms{Goal: time.Second}}, routeB: {Name: "rb", Shares: []Share{{"a", 1}}}}
	for i, zone := range zones {
		for n := range load.instances {
			steerer := NewSteerer(rand.New(rand.NewPCG(uint64(i), uint64(n))), 5)
			steerer.SetReportInterval(load.interval / 2)
			m.fleets[zone] = append(m.fleets[zone], steerer)
		}
		m.snapshot[zone] = &Snapshot{Version: 1, Zone: zone, InstancesInZone: load.instances, IdleTimeout: time.Minute, Lifetime: time.Hour,
			Routes: routes, Services: map[string]*Service{"a": {Name: "a", Servers: m.list}}, Servers: index}
		m.after(0, func() { m.arrive(i) })
	}
	m.after(load.interval, m.report)
	return m
}

func (m *queueModel) after(d time.Duration, do func()) { heap.Push(&m.events, event{m.now.Add(d), do}) }

// run processes the events of a time.
func (m *queueModel) run(d time.Duration) {
	for end := m.now.Add(d); len(m.events) > 0 && m.events[0].at < end; {
		e := heap.Pop(&m.events).(event)
		m.now = e.at
		e.do()
	}
}

func (m *queueModel) exponential(mean time.Duration) time.Duration {
	return time.Duration(m.random.ExpFloat64() * float64(mean))
}

// arrive opens a flow of a caller in a zone, with one request or as a feed with 20 of them, and
// schedules the next one.
func (m *queueModel) arrive(zone int) {
	rate := m.rate(zone, m.now)
	flows := rate*(1-m.feeds) + rate*m.feeds/20
	m.after(m.exponential(time.Duration(float64(time.Second)/flows)), func() { m.arrive(zone) })
	route, requests := routeA, 1
	if m.random.Float64() < rate*m.feeds/20/flows {
		route, requests = routeB, 20
	}
	m.caller++
	f := &modelFlow{m: m, zone: m.zones[zone], packet: Packet{Key: FlowKey{Endpoint{m.caller >> 16, uint16(m.caller)}, route}, Flags: SYN, Sequence: 100}}
	f.instance = m.fleets[f.zone][m.random.IntN(m.instances)]
	f.open(requests)
}

// modelFlow is a flow of a queueModel.
type modelFlow struct {
	m        *queueModel
	zone     model.Zone
	instance *Steerer
	server   *modelServer
	packet   Packet
}

func (f *modelFlow) send() Decision {
	return f.instance.Decide(f.m.snapshot[f.zone], f.m.now, &f.packet)
}

func (f *modelFlow) roundTrip() time.Duration {
	if f.server.Zone == f.zone {
		return 2 * time.Millisecond
	}
	return 2*time.Millisecond + 2*f.m.crossing
}

func (f *modelFlow) open(requests int) {
	m := f.m
	if m.choose != nil {
		f.server = m.choose(m, f.zone)
	} else {
		f.server = m.byToken[f.send().Server.Token]
	}
	f.server.flows++
	m.placed[[2]model.Zone{f.zone, f.server.Zone}]++
	f.packet.Flags, f.packet.Token, f.packet.Sequence, f.packet.Acknowledged = ACK, f.server.Token, 101, 1
	m.after(f.roundTrip(), func() { f.request(requests) })
}

// request sends a request and, after its response, the next one or the end of the flow.
func (f *modelFlow) request(left int) {
	m, s := f.m, f.server
	f.packet.Length = 50
	f.send()
	f.packet.Sequence, f.packet.Length = f.packet.Sequence+50, 0
	started := m.now
	m.after(f.roundTrip()/2, func() {
		m.serve(s, func(failed bool) {
			m.after(f.roundTrip()/2, func() {
				m.completions = append(m.completions, m.now.Sub(started))
				f.packet.Acknowledged += 600
				if failed {
					f.packet.Acknowledged -= 480
					m.failed++
				}
				// The caller delays acknowledgements by up to 40 ms.
				m.after(time.Duration(m.random.Float64()*float64(40*time.Millisecond)), func() { f.acknowledge(left - 1) })
			})
		})
	})
}

func (f *modelFlow) acknowledge(left int) {
	m := f.m
	if left == 0 {
		f.packet.Flags = ACK | FIN
	}
	f.send()
	if left > 0 {
		m.after(m.exponential(time.Second), func() { f.request(left) })
	}
}

// serve runs a request at a server once it has a free slot.
func (m *queueModel) serve(s *modelServer, done func(failed bool)) {
	if m.random.Float64() < s.failing {
		m.after(time.Millisecond, func() { done(true) })
		return
	}
	work := m.exponential(m.work)
	if m.random.Float64() < 0.03 {
		work *= 7
	}
	start := func() {
		s.running++
		m.after(time.Duration(float64(work)/s.speed), func() {
			s.running--
			done(false)
			if len(s.queue) > 0 {
				next := s.queue[0]
				s.queue = s.queue[1:]
				next()
			}
		})
	}
	if s.running < s.Slots {
		start()
	} else {
		s.queue = append(s.queue, start)
	}
}

// report publishes a view of the last interval after the delay of the reports.
func (m *queueModel) report() {
	service := &room.Service{Zones: map[model.Zone]*room.Zone{}}
	view := &room.View{Usable: !m.unusable, Servers: map[uint32]room.ServerLoad{}, Services: map[string]*room.Service{"a": service}}
	for _, s := range m.servers {
		fading := math.Exp(-m.interval.Seconds() / 10)
		s.load = room.ServerLoad{Samples: fading * s.load.Samples, Failed: fading * s.load.Failed, LogLatency: fading * s.load.LogLatency}
	}
	for _, zone := range m.zones {
		service.Zones[zone] = &room.Zone{Slots: 2 * m.modelLoad.servers, Instances: m.instances}
	}
	var total room.Counters
	for _, zone := range m.zones {
		for _, steerer := range m.fleets[zone] {
			r := steerer.TakeReport(m.now)
			for class, c := range r.Classes {
				total.Add(&c)
				c.Completed /= m.interval.Seconds()
				service.Zones[class.Zone].Total.Add(&c)
			}
			for token, l := range r.Servers {
				load := &m.byToken[Token(token)].load
				load.InProgress += l.InProgress
				load.Samples, load.Failed, load.LogLatency = load.Samples+l.Samples, load.Failed+l.Failed, load.LogLatency+l.LogLatency
			}
		}
	}
	for _, s := range m.servers {
		view.Servers[uint32(s.Token)] = s.load
	}
	if mean := total.MeanLatency(); m.base == 0 || mean < m.base {
		m.base = mean
	}
	service.BaseLatency = m.base
	m.after(m.interval, m.report)
	m.after(m.delay, func() {
		view.At, m.view = m.now, view
		for _, zone := range m.zones {
			copied := *m.snapshot[zone]
			copied.Room = view
			m.snapshot[zone] = &copied
		}
	})
}

// times returns the mean and the 99th percentile of the completion times, which it forgets.
func (m *queueModel) times() (mean, p99 time.Duration) {
	slices.Sort(m.completions)
	for _, d := range m.completions {
		mean += d
	}
	mean /= time.Duration(len(m.completions))
	p99 = m.completions[len(m.completions)*99/100]
	m.completions = nil
	return mean, p99
}

// unevenLoad is 30 servers at 0.6, 1 and 1.6 times the usual speed at a given utilization. Three
// percent of the requests take seven times as long, which adds 0.18 to the mean work.
func unevenLoad(utilization float64) modelLoad {
	const work = 26 * time.Millisecond
	capacity := 30 * 2 * (0.6 + 1 + 1.6) / 3 / (1.18 * work.Seconds())
	return modelLoad{instances: 16, servers: 30, speeds: []float64{0.6, 1, 1.6}, feeds: 0.6, work: work,
		rate: func(int, model.Time) float64 { return utilization * capacity }, interval: time.Second, delay: 200 * time.Millisecond}
}
