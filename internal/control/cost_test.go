package control

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"runtime"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/savorytiller/savorytiller/internal/adapter/configservice"
	"github.com/savorytiller/savorytiller/internal/core/health"
	"github.com/savorytiller/savorytiller/internal/core/member"
	"github.com/savorytiller/savorytiller/internal/core/model"
)

// load describes the fleet around the one instance that is measured.
type load struct {
	members, servers, zones int
	notesPerDay             int
	// churnPerDay is the number of instances that fail and return in a day.
	churnPerDay int
}

// bench drives one real machine; its peers are synthetic and answer at once.
type bench struct {
	load
	m       *machine
	rng     *rand.Rand
	now     model.Time
	members []model.Member
	bytes   int
	calls   int
	rebuilt int
	noteDue float64
	churn   float64
	down    int // index of the member that is down; -1 for none
}

// Sizes of the envelope of a message in bytes: frame, JSON-RPC fields, and the
// TCP/IP headers of a data segment and its acknowledgement.
const envelope = 23 + 16 + 12 + 60 + 2*52

func (b *bench) message(v any) []byte {
	raw, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	b.bytes += len(raw) + envelope
	return raw
}

func newBench(l load) *bench {
	b := &bench{load: l, rng: rand.New(rand.NewPCG(1, 2)), now: model.Time(time.Hour), down: -1}
	for i := range l.members {
		a := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 4102)
		b.members = append(b.members, model.Member{ID: model.InstanceID(fmt.Sprintf("entry-%05d", i)), Incarnation: 1_790_000_000_000_000_000,
			Zone: model.Zone(fmt.Sprintf("zone-%02d", i%l.zones)), FlowAddress: a, PeerAddress: a, RequestAddress: a})
	}
	b.m = newMachine(Options{Self: b.members[0], Codec: configservice.Codec{}, Recorder: noRecorder{}, Seed: 1, AssumeWarm: true})
	b.step(evTimer{})
	b.step(evInstances{b.members, nil})
	for _, raw := range b.config() {
		if err := b.m.applyRaw(raw, b.m.notes.latest); err != nil {
			panic(err)
		}
	}
	for range 30 {
		b.second()
	}
	return b
}

// config returns notes that add all servers, about 21 to a service.
func (b *bench) config() []RawNote {
	const perNote = 3000
	var notes []RawNote
	for from := 0; from < b.servers; from += perNote {
		var services, servers []string
		for i := from; i < min(b.servers, from+perNote); i++ {
			if i%21 == 0 {
				services = append(services, fmt.Sprintf(`{"id":%d,"name":"service-%d","host":"service-%d.local","virtual_address":"10.80.%d.%d:4000"}`,
					1+i/21, i/21, i/21, i/21/250, i/21%250))
			}
			servers = append(servers, b.server(i, 100))
		}
		v := len(notes) + 1
		notes = append(notes, RawNote(fmt.Sprintf(`{"format":1,"version":%d,"base":%d,"added":{"services":[%s],"servers":[%s]}}`,
			v, v-1, strings.Join(services, ","), strings.Join(servers, ","))))
	}
	return notes
}

func (b *bench) server(i, weight int) string {
	return fmt.Sprintf(`{"id":"server-%05d","service":"service-%d","zone":"zone-%02d","weight":%d,"slots":4,"connections":2000,`+
		`"state":"active","flow_address":"10.%d.%d.%d:5000","request_address":"10.%d.%d.%d:5001"}`,
		i, i/21, (i/21+i%3)%b.zones, weight, 100+i>>16, i>>8&255, i&255, 100+i>>16, i>>8&255, i&255)
}

// peer returns the statement of another instance.
func (b *bench) peer(i int) *heartbeat {
	h := &heartbeat{Self: b.members[i], Version: b.m.version(), Age: 1000, Health: b.m.health.Hash()}
	if c := b.m.notes.config; c != nil {
		h.Digest = c.Digest
	}
	if b.down >= 0 && b.rng.IntN(4) == 0 {
		h.Updates = []member.Update{{Member: model.Member{ID: b.members[b.down].ID, Incarnation: b.members[b.down].Incarnation, Liveness: model.Dead}}}
	}
	return h
}

// step delivers an event and answers the calls that follow from it.
func (b *bench) step(e event) {
	b.m.handle(b.now, e)
	for effects := b.m.takeEffects(); len(effects) > 0; effects = b.m.takeEffects() {
		for _, f := range effects {
			if call, ok := f.(*effCall); ok {
				b.answer(call)
			}
		}
	}
	if b.m.takeView() != nil {
		b.rebuilt++
	}
}

func (b *bench) answer(f *effCall) {
	b.calls++
	raw := b.message(f.params)
	var reply any
	switch f.method {
	case methodHeartbeat:
		var index int
		_, _ = fmt.Sscanf(string(f.to.ID), "entry-%d", &index)
		if index == b.down {
			b.m.handle(b.now, evCalled{f, errBusy})
			return
		}
		reply = b.peer(index)
	case methodOffer:
		reply = &offerAnswer{Knew: b.rng.IntN(5) > 0, Version: b.m.version()}
	case methodHealth:
		reply = &healthAnswer{b.m.health.All()}
	default:
		reply = &probeAnswer{true}
	}
	_ = raw
	if err := json.Unmarshal(b.message(reply), f.result); err != nil {
		panic(err)
	}
	b.m.handle(b.now, evCalled{f, nil})
}

// receive delivers a call of another instance.
func (b *bench) receive(from int, empty func() any, params any) {
	decoded := empty()
	if err := json.Unmarshal(b.message(params), decoded); err != nil {
		panic(err)
	}
	answer := make(chan reply, 1)
	b.step(evRequest{b.members[from].ID, decoded, answer})
	b.message((<-answer).result)
}

// second simulates one second: the machine's own timers, four heartbeats of
// others, the notes and the changes of members that are due, traffic
// observations.
func (b *bench) second() {
	end := b.now.Add(time.Second)
	for i := range 4 {
		from := 1 + b.rng.IntN(b.load.members-1)
		if from != b.down {
			b.receive(from, decoders[methodHeartbeat], b.peer(from))
		}
		for b.m.nextWake.Before(b.now.Add(250*time.Millisecond)) && b.m.nextWake.Before(end) {
			b.now = max(b.now, b.m.nextWake)
			b.step(evTimer{})
		}
		b.now = max(b.now, end.Add(-time.Second+time.Duration(i+1)*250*time.Millisecond))
	}
	b.now = end
	if b.noteDue += float64(b.notesPerDay) / 86400; b.noteDue >= 1 {
		b.noteDue--
		v := b.m.version()
		raw := RawNote(fmt.Sprintf(`{"format":1,"version":%d,"base":%d,"changed":{"servers":[%s]}}`, v+1, v, b.server(b.rng.IntN(b.servers), 1+b.rng.IntN(1000))))
		// The first offer brings the note, R+1 others repeat it.
		for range pushRestarts + 1 {
			p := &offer{Version: v + 1, Note: raw}
			if c := b.m.notes.config; c.Version == p.Version {
				p.Digest = c.Digest
			}
			b.offer(p)
		}
	}
	if b.churn += float64(b.churnPerDay) / 86400; b.churn >= 1 {
		b.churn--
		if b.down >= 0 { // the one that was down returns
			b.members[b.down].Incarnation++
			b.receive(b.down, decoders[methodHeartbeat], &heartbeat{Self: b.members[b.down], Version: b.m.version(), Digest: b.m.notes.config.Digest, Join: true})
		}
		b.down = 1 + b.rng.IntN(b.load.members-1)
	}
	b.m.health.Observe(b.now, health.Observation{Server: "server-00000", Count: 60})
}

// offer delivers a push; the digest of a new version is taken from a trial.
func (b *bench) offer(p *offer) {
	if p.Digest == 0 {
		if err := b.m.applyRaw(p.Note, b.m.notes.latest); err != nil {
			panic(err)
		}
		p.Digest = b.m.notes.config.Digest
	}
	b.receive(1+b.rng.IntN(b.load.members-1), decoders[methodOffer], p)
}

// BenchmarkControlSecond measures what control costs one instance in one
// second: cpu-us/s is processor time in us per second of operation, B/s the bytes
// of control messages sent and received, heap-MB the live heap and inuse-MB the
// heap with garbage that is not yet collected.
// Command: go test ./internal/control -run xxx -bench ControlSecond -benchtime 600x
func BenchmarkControlSecond(b *testing.B) {
	day := load{zones: 19, notesPerDay: 10_000, churnPerDay: 2195}
	type size struct{ members, servers, notes, churn int }
	var sizes []size
	for _, members := range []int{7, 50, 200, 800, 2600} {
		sizes = append(sizes, size{members, 1500, day.notesPerDay, day.churnPerDay * members / 2600})
	}
	for _, servers := range []int{15, 150, 6000, 30000} {
		sizes = append(sizes, size{200, servers, day.notesPerDay, day.churnPerDay * 200 / 2600})
	}
	for _, notes := range []int{0, 1000, 40_000} {
		sizes = append(sizes, size{200, 1500, notes, day.churnPerDay * 200 / 2600})
	}
	sizes = append(sizes, size{2600, 30000, 0, 0}, size{2600, 30000, 0, day.churnPerDay}, size{2600, 30000, day.notesPerDay, day.churnPerDay})
	for _, s := range sizes {
		l := day
		l.members, l.servers, l.notesPerDay, l.churnPerDay = s.members, s.servers, s.notes, s.churn
		l.zones = min(19, 1+s.members/3)
		b.Run(fmt.Sprintf("members=%d/servers=%d/notes=%d/churn=%d", s.members, s.servers, s.notes, s.churn), func(b *testing.B) {
			runtime.GC()
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			run := newBench(l)
			run.bytes, run.calls = 0, 0
			b.ReportAllocs()
			b.ResetTimer()
			started := processorTime()
			for range b.N {
				run.second()
			}
			b.StopTimer()
			b.ReportMetric(float64((processorTime()-started).Microseconds())/float64(b.N), "cpu-us/s")
			peak := memory()
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ReportMetric(float64(run.bytes)/float64(b.N), "B/s")
			b.ReportMetric(float64(run.calls)/float64(b.N), "calls/s")
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/1e6, "heap-MB")
			b.ReportMetric(peak, "inuse-MB")
			runtime.KeepAlive(run)
		})
	}
}

// processorTime returns the processor time of the process, garbage collection
// included. Unlike the elapsed time it does not depend on other processes.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// memory returns the heap in use, with garbage that is not yet collected.
func memory() float64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapInuse) / 1e6
}

// BenchmarkNoteInForce measures on a simulated fleet of real machines how long
// a note takes until it is in force everywhere: p50-ms and max-ms over the
// instances, in simulated time. Links have a delay of 5 ms.
// Command: go test ./internal/control -run xxx -bench NoteInForce -benchtime 5x
func BenchmarkNoteInForce(b *testing.B) {
	for _, n := range []int{7, 50, 200, 800, 2600} {
		for _, loss := range []float64{0, 0.05, 0.2} {
			b.Run(fmt.Sprintf("members=%d/loss=%.2f", n, loss), func(b *testing.B) {
				s := newSim(1)
				s.delay = 5 * time.Millisecond
				s.publish(firstBody(2, "z00", "z01"))
				zones := min(19, 1+n/3)
				for i := range n {
					z := fmt.Sprintf("z%02d", i%zones)
					s.add(fmt.Sprintf("%s-%04d", z, i), z)
				}
				s.run(20 * time.Second)
				s.loss = loss
				var p50, worst time.Duration
				b.ResetTimer()
				for i := range b.N {
					at := map[model.InstanceID]model.Time{}
					published := s.now
					version := s.publish(weightBody("z00-s0", "z00", 5000, 1+i))
					s.after = func(node *simNode) {
						if _, seen := at[node.self.ID]; !seen && node.m.version() >= version {
							at[node.self.ID] = s.now
						}
					}
					for len(at) < n {
						s.run(100 * time.Millisecond)
					}
					var times []time.Duration
					for _, t := range at {
						times = append(times, t.Sub(published))
					}
					slices.Sort(times)
					p50 += times[n/2]
					worst = max(worst, times[n-1])
					s.run(3 * time.Second)
				}
				b.ReportMetric(float64(p50.Milliseconds())/float64(b.N), "p50-ms")
				b.ReportMetric(float64(worst.Milliseconds()), "max-ms")
			})
		}
	}
}

// BenchmarkRegionHeals measures on a simulated fleet how long all instances need
// to agree on the membership after a sixth of them was cut off for a minute and
// returned: cut-s until both sides know it, heal-s until all agree again.
// Command: go test ./internal/control -run xxx -bench RegionHeals -benchtime 1x
func BenchmarkRegionHeals(b *testing.B) {
	for _, n := range []int{12, 48, 192, 768} {
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) {
			for range b.N {
				s := newSim(2)
				s.publish(firstBody(2, "z00", "z01"))
				region := map[model.InstanceID]bool{}
				for i := range n {
					z := fmt.Sprintf("z%02d", i%min(18, n/4))
					region[s.add(fmt.Sprintf("%s-%04d", z, i), z).self.ID] = i%6 == 0
				}
				s.run(20 * time.Second)
				agree := func(inside, outside int) float64 {
					for second := range 300 {
						ok := true
						for id, node := range s.nodes {
							expected := outside
							if region[id] {
								expected = inside
							}
							ok = ok && len(node.view.Members.All()) == expected
						}
						if ok {
							return float64(second)
						}
						s.run(time.Second)
					}
					return 300
				}
				s.cut = func(a, c model.InstanceID) bool { return region[a] != region[c] }
				b.ReportMetric(agree((n+5)/6, n-(n+5)/6), "cut-s")
				s.run(time.Minute)
				s.cut = nil
				b.ReportMetric(agree(n, n), "heal-s")
			}
		})
	}
}
