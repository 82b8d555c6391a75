package registry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/core/peer"
	"github.com/savorytiller/savorytiller/internal/core/room"
)

const testLoadInterval = 250 * time.Millisecond

// loadFleet is a fleet whose instances report load.
type loadFleet struct {
	*fleet
	zones int
	// idle instances have no traffic.
	idle func(node int) bool
	// perInstance is the number of requests in progress through each instance.
	perInstance float64
}

func newLoadFleet(t testingT, n, zones int) *loadFleet {
	l := &loadFleet{fleet: newFleet(t, n, zones), zones: zones, perInstance: 0.5}
	for i := range n {
		l.enable(i)
	}
	l.store.config(3, 20)
	for i := range 8 {
		l.store.server(string(rune('a' + i))) // 32 slots in zone z0
	}
	l.run(5 * time.Second)
	require.Equal(t, map[uint64]int{3: n}, l.versions())
	return l
}

// enable switches the load reports of an instance on.
func (l *loadFleet) enable(i int) { l.nodes[i].loads.interval = testLoadInterval }

// serve lets the instances serve requests to the servers of z0: 8 requests per second and
// instance, each of which takes 50 ms.
func (l *loadFleet) serve(d time.Duration) {
	for end := l.now.Add(d); l.now.Before(end); l.run(testLoadInterval) {
		for i := range l.nodes {
			if !l.alive[i] || l.idle != nil && l.idle(i) {
				continue
			}
			class := room.Class{Service: "s", Zone: "z0", Priority: 2}
			l.post(l.now+model.Time(l.random.IntN(250))*ms, i, evLoad{&room.Report{Interval: testLoadInterval, Instances: 1,
				Classes: map[room.Class]room.Counters{class: {InProgress: l.perInstance, Completed: 2, Latency: 100 * time.Millisecond}},
				Servers: map[uint32]room.ServerLoad{7: {Token: 7, InProgress: l.perInstance, Samples: 2, Failed: 1, LogLatency: 0.7}}}})
		}
	}
}

// zone returns the load of z0 as an instance sees it.
func (l *loadFleet) zone(i int) *room.Zone {
	view := l.snapshots[i].Room
	require.NotNil(l.t, view, "instance %d", i)
	return view.Services["s"].Zones["z0"]
}

// requireUsable checks that the view of every live instance is within 10 % of the true load.
func (l *loadFleet) requireUsable() {
	n := 0.0
	for i := range l.nodes {
		if l.alive[i] && (l.idle == nil || !l.idle(i)) {
			n++
		}
	}
	for i := range l.nodes {
		if !l.alive[i] {
			continue
		}
		z, view := l.zone(i), l.snapshots[i].Room
		require.True(l.t, view.Usable, "instance %d", i)
		require.Equal(l.t, 32, z.Slots)
		require.InEpsilon(l.t, l.perInstance*n, z.Total.InProgress, 0.1, "instance %d", i)
		require.InEpsilon(l.t, 8*n, z.Total.Completed, 0.1, "instance %d", i)
		require.InDelta(l.t, 50, view.Services["s"].BaseLatency.Milliseconds(), 1)
		server := view.Servers[7]
		require.InEpsilon(l.t, l.perInstance*n, server.InProgress, 0.1, "instance %d", i)
		require.InDelta(l.t, 0.7, server.LogLatency/(server.Samples-server.Failed), 0.05)
	}
}

// Guards against sums that lack instances or count some twice, in the own or in other zones.
func TestViewsShowTheLoadOfAllZones(t *testing.T) {
	l := newLoadFleet(t, 64, 4)
	l.serve(6 * time.Second)
	l.requireUsable()
	l.idle = func(node int) bool { return node%3 == 0 }
	l.serve(6 * time.Second)
	l.requireUsable()
	for i := range l.nodes {
		require.Equal(t, map[model.Zone]int{"z0": 16, "z1": 16, "z2": 16, "z3": 16}, l.snapshots[i].Room.Instances)
	}
}

// Guards against messages that go on without traffic, and against a view that stays usable.
func TestNothingIsSentWithoutTraffic(t *testing.T) {
	l := newLoadFleet(t, 12, 3)
	l.serve(5 * time.Second)
	l.requireUsable()
	l.run(10 * time.Second)
	l.onEffect = func(_ int, x effect) {
		if send, ok := x.(effSend); ok {
			require.NotEqual(t, peer.Load, send.message.Kind)
		}
	}
	l.run(10 * time.Second)
	for i := range l.nodes {
		require.False(t, l.snapshots[i].Room.Usable)
	}
}

// Guards against load that is counted twice or lost because messages are repeated, reordered,
// delayed by up to two seconds or lost.
func TestRepeatedAndDelayedLoadReportsDoNoHarm(t *testing.T) {
	l := newLoadFleet(t, 64, 4)
	l.onEffect = func(_ int, x effect) {
		send, ok := x.(effSend)
		if !ok || send.message.Kind != peer.Load {
			return
		}
		for range l.random.IntN(3) {
			copied := *send.message
			l.post(l.now+model.Time(l.random.IntN(2000))*ms, l.byAddr[send.to.PeerAddress], evMessage{&copied})
		}
	}
	l.serve(8 * time.Second)
	l.requireUsable()
	l.blocked = func(int, int) bool { return l.random.IntN(20) == 0 }
	l.serve(3 * time.Second)
	l.requireUsable()
}

// Guards against the load of instances that were just killed, which would make the servers look
// full, and against a view that stays usable while most of the zone is missing. 36 of 64 instances
// are killed at once, the relays among them.
func TestLoadOfKilledInstancesExpires(t *testing.T) {
	l := newLoadFleet(t, 64, 4)
	l.serve(6 * time.Second)
	l.requireUsable()
	for i := range 36 {
		l.kill(i)
	}
	l.serve(4 * time.Second) // for the longest interval, at each of three levels of the tree
	for i := 36; i < 64; i++ {
		if l.snapshots[i].Room.Usable {
			require.LessOrEqual(t, l.zone(i).Total.InProgress, 1.1*28*l.perInstance)
		}
	}
	l.serve(26 * time.Second)
	l.requireUsable()
}

// Guards against a zone without usable view while it is cut off, against old load of the zones that
// it does not reach, and against a zone whose instances all start again, with new sequence numbers,
// that is ignored.
func TestZonesThatAreCutOffOrReturnEmpty(t *testing.T) {
	l := newLoadFleet(t, 32, 4)
	l.perInstance = 1
	l.serve(6 * time.Second)
	l.blocked = func(from, to int) bool { return (from%4 == 1) != (to%4 == 1) }
	l.serve(5 * time.Second)
	for i := range l.nodes {
		view := l.snapshots[i].Room
		require.True(t, view.Usable, "instance %d", i)
		if i%4 == 1 {
			require.Equal(t, map[model.Zone]int{"z1": 8}, view.Instances)
			require.InEpsilon(t, 8, l.zone(i).Total.InProgress, 0.1)
		} else {
			require.Equal(t, map[model.Zone]int{"z0": 8, "z2": 8, "z3": 8}, view.Instances)
		}
	}
	l.blocked = nil
	for i := 1; i < 32; i += 4 {
		l.kill(i)
	}
	l.serve(6 * time.Second)
	for i := 1; i < 32; i += 4 {
		l.start(i, 4)
		l.enable(i)
	}
	l.serve(2 * time.Second)
	for i := 1; i < 32; i += 4 {
		if s := l.snapshots[i]; s != nil && s.Room != nil {
			require.False(t, s.Room.Usable, "instance %d has just started", i)
		}
	}
	l.serve(15 * time.Second)
	l.requireUsable()
}

// Guards against decisions from the load of one instance alone, which the others do not share.
func TestAnInstanceAloneHasNoUsableView(t *testing.T) {
	l := newLoadFleet(t, 1, 1)
	l.serve(6 * time.Second)
	require.False(t, l.snapshots[0].Room.Usable)
}

// Guards against a burst that is noticed only after several long intervals: one of the report and
// one at each of three levels of the tree.
func TestBurstsShortenTheInterval(t *testing.T) {
	l := newLoadFleet(t, 32, 1)
	l.perInstance = 0.1
	l.serve(6 * time.Second)
	l.perInstance = 3
	l.serve(4 * testLoadInterval)
	for i := range l.nodes {
		require.InEpsilon(t, 3*32, l.zone(i).Total.InProgress, 0.1, "instance %d", i)
	}
}
