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

// fleetParams describes the fleet around the measured instance.
type fleetParams struct {
	members, servers, zones int
	notesPerDay             int
	// churnPerDay is the number of instances per day that fail and return.
	churnPerDay int
}

// benchFleet drives one real machine. Its peers are simulated and answer at once.
type benchFleet struct {
	fleetParams
	m         *machine
	rng       *rand.Rand
	now       model.Time
	members   []model.Member
	bytes     int
	calls     int
	views     int
	dueNotes  float64 // notes that are due but not yet published; fractions add up
	dueChurn  float64 // the same for failures of instances
	downIndex int     // index of the member that is down; -1 for none
}

// envelopeBytes is the overhead of a message in bytes: the frame, the JSON-RPC
// fields, and the TCP/IP headers of a data segment and its acknowledgement.
const envelopeBytes = 23 + 16 + 12 + 60 + 2*52

func (b *benchFleet) encode(v any) []byte {
	raw, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	b.bytes += len(raw) + envelopeBytes
	return raw
}

func newBenchFleet(params fleetParams) *benchFleet {
	b := &benchFleet{fleetParams: params, rng: rand.New(rand.NewPCG(1, 2)), now: model.Time(time.Hour), downIndex: -1}
	for i := range params.members {
		a := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 4102)
		b.members = append(b.members, model.Member{ID: model.InstanceID(fmt.Sprintf("entry-%05d", i)), Incarnation: 1_790_000_000_000_000_000,
			Zone: model.Zone(fmt.Sprintf("zone-%02d", i%params.zones)), FlowAddress: a, PeerAddress: a, RequestAddress: a})
	}
	b.m = newMachine(Options{Self: b.members[0], Codec: configservice.Codec{}, Recorder: noRecorder{}, Seed: 1, AssumeWarm: true})
	b.deliver(evTimer{})
	b.deliver(evInstances{b.members, nil})
	for _, raw := range b.configNotes() {
		if err := b.m.applyRaw(raw, b.m.notes.latest); err != nil {
			panic(err)
		}
	}
	for range 30 {
		b.runSecond()
	}
	return b
}

// configNotes returns notes that add all servers, about 21 to a service.
func (b *benchFleet) configNotes() []RawNote {
	const perNote = 3000
	var notes []RawNote
	for from := 0; from < b.servers; from += perNote {
		var services, servers []string
		for i := from; i < min(b.servers, from+perNote); i++ {
			if i%21 == 0 {
				services = append(services, fmt.Sprintf(`{"id":%d,"name":"service-%d","host":"service-%d.local","virtual_address":"10.80.%d.%d:4000"}`,
					1+i/21, i/21, i/21, i/21/250, i/21%250))
			}
			servers = append(servers, b.serverJSON(i, 100))
		}
		v := len(notes) + 1
		notes = append(notes, RawNote(fmt.Sprintf(`{"format":1,"version":%d,"base":%d,"added":{"services":[%s],"servers":[%s]}}`,
			v, v-1, strings.Join(services, ","), strings.Join(servers, ","))))
	}
	return notes
}

func (b *benchFleet) serverJSON(i, weight int) string {
	return fmt.Sprintf(`{"id":"server-%05d","service":"service-%d","zone":"zone-%02d","weight":%d,"slots":4,"connections":2000,`+
		`"state":"active","flow_address":"10.%d.%d.%d:5000","request_address":"10.%d.%d.%d:5001"}`,
		i, i/21, (i/21+i%3)%b.zones, weight, 100+i>>16, i>>8&255, i&255, 100+i>>16, i>>8&255, i&255)
}

// peerHeartbeat returns a heartbeat of another instance.
func (b *benchFleet) peerHeartbeat(i int) *heartbeat {
	h := &heartbeat{Self: b.members[i], Version: b.m.version(), Age: 1000, Health: b.m.health.Hash()}
	if c := b.m.notes.config; c != nil {
		h.Digest = c.Digest
	}
	if b.downIndex >= 0 && b.rng.IntN(4) == 0 {
		h.Updates = []member.Update{{Member: model.Member{ID: b.members[b.downIndex].ID, Incarnation: b.members[b.downIndex].Incarnation, Liveness: model.Dead}}}
	}
	return h
}

// deliver passes an event to the machine and answers the calls that result from it.
func (b *benchFleet) deliver(e event) {
	b.m.handle(b.now, e)
	for effects := b.m.takeEffects(); len(effects) > 0; effects = b.m.takeEffects() {
		for _, f := range effects {
			if call, ok := f.(*effCall); ok {
				b.answerCall(call)
			}
		}
	}
	if b.m.takeView() != nil {
		b.views++
	}
}

func (b *benchFleet) answerCall(f *effCall) {
	b.calls++
	raw := b.encode(f.params)
	var reply any
	switch f.method {
	case methodHeartbeat:
		var index int
		_, _ = fmt.Sscanf(string(f.to.ID), "entry-%d", &index)
		if index == b.downIndex {
			b.m.handle(b.now, evCalled{f, errBusy})
			return
		}
		reply = b.peerHeartbeat(index)
	case methodOffer:
		reply = &offerAnswer{Knew: b.rng.IntN(5) > 0, Version: b.m.version()}
	case methodHealth:
		reply = &healthAnswer{b.m.health.All()}
	default:
		reply = &probeAnswer{true}
	}
	_ = raw
	if err := json.Unmarshal(b.encode(reply), f.result); err != nil {
		panic(err)
	}
	b.m.handle(b.now, evCalled{f, nil})
}

// receive delivers a call from another instance.
func (b *benchFleet) receive(from int, empty func() any, params any) {
	decoded := empty()
	if err := json.Unmarshal(b.encode(params), decoded); err != nil {
		panic(err)
	}
	answer := make(chan reply, 1)
	b.deliver(evRequest{b.members[from].ID, decoded, answer})
	b.encode((<-answer).result)
}

// runSecond simulates one second: the machine's timers, four heartbeats from other
// instances, the notes and membership changes that are due, and an observation of
// traffic.
func (b *benchFleet) runSecond() {
	end := b.now.Add(time.Second)
	for i := range 4 {
		from := 1 + b.rng.IntN(b.fleetParams.members-1)
		if from != b.downIndex {
			b.receive(from, decoders[methodHeartbeat], b.peerHeartbeat(from))
		}
		for b.m.nextWake.Before(b.now.Add(250*time.Millisecond)) && b.m.nextWake.Before(end) {
			b.now = max(b.now, b.m.nextWake)
			b.deliver(evTimer{})
		}
		b.now = max(b.now, end.Add(-time.Second+time.Duration(i+1)*250*time.Millisecond))
	}
	b.now = end
	if b.dueNotes += float64(b.notesPerDay) / 86400; b.dueNotes >= 1 {
		b.dueNotes--
		v := b.m.version()
		raw := RawNote(fmt.Sprintf(`{"format":1,"version":%d,"base":%d,"changed":{"servers":[%s]}}`, v+1, v, b.serverJSON(b.rng.IntN(b.servers), 1+b.rng.IntN(1000))))
		// After a new note has arrived, R+1 offers repeat it (hybrid push).
		for range pushRestarts + 1 {
			p := &offer{Version: v + 1, Note: raw}
			if c := b.m.notes.config; c.Version == p.Version {
				p.Digest = c.Digest
			}
			b.receiveOffer(p)
		}
	}
	if b.dueChurn += float64(b.churnPerDay) / 86400; b.dueChurn >= 1 {
		b.dueChurn--
		if b.downIndex >= 0 { // the previous one returns
			b.members[b.downIndex].Incarnation++
			b.receive(b.downIndex, decoders[methodHeartbeat], &heartbeat{Self: b.members[b.downIndex], Version: b.m.version(), Digest: b.m.notes.config.Digest, Join: true})
		}
		b.downIndex = 1 + b.rng.IntN(b.fleetParams.members-1)
	}
	b.m.health.Observe(b.now, health.Observation{Server: "server-00000", Count: 60})
}

// receiveOffer delivers an offer. If it has no digest, the note is applied first to
// get it.
func (b *benchFleet) receiveOffer(p *offer) {
	if p.Digest == 0 {
		if err := b.m.applyRaw(p.Note, b.m.notes.latest); err != nil {
			panic(err)
		}
		p.Digest = b.m.notes.config.Digest
	}
	b.receive(1+b.rng.IntN(b.fleetParams.members-1), decoders[methodOffer], p)
}

// BenchmarkControlSecond measures the cost of the control plane for one instance per
// second of operation: cpu-us/s is the CPU time in us, B/s the bytes of control
// messages sent and received, calls/s the calls to peers, heap-MB the live heap and
// inuse-MB the heap including garbage that is not yet collected.
// Command: go test ./internal/control -run xxx -bench ControlSecond -benchtime 600x
func BenchmarkControlSecond(b *testing.B) {
	defaults := fleetParams{zones: 19, notesPerDay: 10_000, churnPerDay: 2195}
	type size struct{ members, servers, notes, churn int }
	var sizes []size
	for _, members := range []int{7, 50, 200, 800, 2600} {
		sizes = append(sizes, size{members, 1500, defaults.notesPerDay, defaults.churnPerDay * members / 2600})
	}
	for _, servers := range []int{15, 150, 6000, 30000} {
		sizes = append(sizes, size{200, servers, defaults.notesPerDay, defaults.churnPerDay * 200 / 2600})
	}
	for _, notes := range []int{0, 1000, 40_000} {
		sizes = append(sizes, size{200, 1500, notes, defaults.churnPerDay * 200 / 2600})
	}
	sizes = append(sizes, size{2600, 30000, 0, 0}, size{2600, 30000, 0, defaults.churnPerDay}, size{2600, 30000, defaults.notesPerDay, defaults.churnPerDay})
	for _, s := range sizes {
		params := defaults
		params.members, params.servers, params.notesPerDay, params.churnPerDay = s.members, s.servers, s.notes, s.churn
		params.zones = min(19, 1+s.members/3)
		b.Run(fmt.Sprintf("members=%d/servers=%d/notes=%d/churn=%d", s.members, s.servers, s.notes, s.churn), func(b *testing.B) {
			runtime.GC()
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			fleet := newBenchFleet(params)
			fleet.bytes, fleet.calls = 0, 0
			b.ReportAllocs()
			b.ResetTimer()
			started := processCPUTime()
			for range b.N {
				fleet.runSecond()
			}
			b.StopTimer()
			b.ReportMetric(float64((processCPUTime()-started).Microseconds())/float64(b.N), "cpu-us/s")
			inUse := heapInUseMB()
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ReportMetric(float64(fleet.bytes)/float64(b.N), "B/s")
			b.ReportMetric(float64(fleet.calls)/float64(b.N), "calls/s")
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/1e6, "heap-MB")
			b.ReportMetric(inUse, "inuse-MB")
			runtime.KeepAlive(fleet)
		})
	}
}

// processCPUTime returns the CPU time of the process, including garbage collection.
// Unlike elapsed time, it does not depend on other processes.
func processCPUTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// heapInUseMB returns the heap in use in MB, including garbage that is not yet
// collected.
func heapInUseMB() float64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapInuse) / 1e6
}

// BenchmarkNoteInForce measures, in a simulated fleet of real machines, how long it
// takes until a note is in force on all instances: p50-ms and max-ms over the
// instances, in simulated time. Links have a delay of 5 ms.
// Command: go test ./internal/control -run xxx -bench NoteInForce -benchtime 5x
func BenchmarkNoteInForce(b *testing.B) {
	for _, n := range []int{7, 50, 200, 800, 2600} {
		for _, loss := range []float64{0, 0.05, 0.2} {
			b.Run(fmt.Sprintf("members=%d/loss=%.2f", n, loss), func(b *testing.B) {
				s := newSim(1)
				s.delay = 5 * time.Millisecond
				s.publish(initialBody(2, "z00", "z01"))
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
					inForceAt := map[model.InstanceID]model.Time{}
					published := s.now
					version := s.publish(weightBody("z00-s0", "z00", 5000, 1+i))
					s.afterEvent = func(node *simNode) {
						if _, seen := inForceAt[node.self.ID]; !seen && node.m.version() >= version {
							inForceAt[node.self.ID] = s.now
						}
					}
					for len(inForceAt) < n {
						s.run(100 * time.Millisecond)
					}
					var times []time.Duration
					for _, t := range inForceAt {
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

// BenchmarkRegionHeals measures, in a simulated fleet, how long it takes until all
// instances agree on the membership when a sixth of them is partitioned off for a
// minute: cut-s is the time until both sides have detected the partition, heal-s the
// time until all agree again after its end.
// Command: go test ./internal/control -run xxx -bench RegionHeals -benchtime 1x
func BenchmarkRegionHeals(b *testing.B) {
	for _, n := range []int{12, 48, 192, 768} {
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) {
			for range b.N {
				s := newSim(2)
				s.publish(initialBody(2, "z00", "z01"))
				region := map[model.InstanceID]bool{}
				for i := range n {
					z := fmt.Sprintf("z%02d", i%min(18, n/4))
					region[s.add(fmt.Sprintf("%s-%04d", z, i), z).self.ID] = i%6 == 0
				}
				s.run(20 * time.Second)
				secondsToAgree := func(inside, outside int) float64 {
					for seconds := range 300 {
						ok := true
						for id, node := range s.nodes {
							expected := outside
							if region[id] {
								expected = inside
							}
							ok = ok && len(node.view.Members.All()) == expected
						}
						if ok {
							return float64(seconds)
						}
						s.run(time.Second)
					}
					return 300
				}
				s.cut = func(a, c model.InstanceID) bool { return region[a] != region[c] }
				b.ReportMetric(secondsToAgree((n+5)/6, n-(n+5)/6), "cut-s")
				s.run(time.Minute)
				s.cut = nil
				b.ReportMetric(secondsToAgree(n, n), "heal-s")
			}
		})
	}
}
