package registry

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"github.com/savorytiller/savorytiller/internal/adapter/peerudp"
	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/core/peer"
	"github.com/savorytiller/savorytiller/internal/core/placement"
	"github.com/savorytiller/savorytiller/internal/core/room"
)

// datagramHeaders is the size of the headers of UDP and IPv4.
const datagramHeaders = 28

// sizeFleet exchanges the load reports of a fleet of any size, encoded, in rounds of one interval.
// Its instances know all members, and messages arrive at once.
type sizeFleet struct {
	t               testing.TB
	nodes           []*machine // parents before their children, by zone
	byID            map[model.InstanceID]*machine
	random          *rand.Rand
	bytes, messages map[*machine]int
	completed       float64 // requests of one round
}

const sizeZones = 4

func newSizeFleet(t testing.TB, n int) *sizeFleet {
	f := &sizeFleet{t: t, byID: map[model.InstanceID]*machine{}, random: rand.New(rand.NewPCG(1, 1)), bytes: map[*machine]int{}, messages: map[*machine]int{}}
	var members []model.Member
	for i := range n {
		members = append(members, model.Member{ID: model.InstanceID(fmt.Sprintf("edge-halle-%c-%d", 'a'+i%sizeZones, i)), Zone: model.Zone(fmt.Sprintf("halle-%c", 'a'+i%sizeZones)),
			Incarnation: 1769922834115000000, PeerAddress: netip.MustParseAddrPort("10.1.0.10:8166"), Capacity: 200})
	}
	all := placement.NewMembers(members)
	for z := range sizeZones {
		tree := newZoneTree(all, &members[z])
		for i, self := range tree.members {
			m := newMachine(Options{Self: self, LoadInterval: testLoadInterval, Log: logr.Discard()})
			m.peers.members, m.peers.tree = all, zoneTree{tree.members, i}
			f.nodes, f.byID[self.ID] = append(f.nodes, m), m
		}
	}
	return f
}

// report returns the load of one interval of an instance: 1,560 requests per second over 64
// instances, two services with two priorities and one, and 150 servers over 64 instances.
func (f *sizeFleet) report(m *machine) *room.Report {
	r := &room.Report{Interval: testLoadInterval, Instances: 1, Classes: map[room.Class]room.Counters{}, Servers: map[uint32]room.ServerLoad{}}
	servers := len(f.nodes) * 150 / 64 / sizeZones
	for range 6 {
		zone := m.zone
		if f.random.IntN(10) == 0 {
			zone = f.nodes[f.random.IntN(len(f.nodes))].zone
		}
		class := room.Class{Service: "kavo85a", Zone: zone, Priority: uint8(1 + f.random.IntN(2))}
		if f.random.IntN(5) == 0 {
			class = room.Class{Service: "kavo85b", Zone: zone, Priority: 2}
		}
		c := r.Classes[class]
		c.Add(&room.Counters{InProgress: 0.25, Arrivals: 0.5, Completed: 1, Latency: 60 * time.Millisecond})
		r.Classes[class] = c
		f.completed++
		token := uint32(placement.HashString(string(zone))) + uint32(f.random.IntN(servers))
		s := r.Servers[token]
		r.Servers[token] = room.ServerLoad{Token: token, InProgress: s.InProgress + 0.25, Samples: s.Samples + 1, LogLatency: s.LogLatency + f.random.NormFloat64()}
	}
	return r
}

// round lets all instances send their reports, children before their parents.
func (f *sizeFleet) round(now model.Time) {
	f.completed = 0
	for _, m := range slices.Backward(f.nodes) {
		m.now = now
		m.addOwnLoad(f.report(m))
		m.sendLoad(testLoadInterval)
		f.deliver(m)
	}
}

func (f *sizeFleet) deliver(from *machine) {
	for _, x := range from.takeEffects() {
		send := x.(effSend)
		datagram, err := peerudp.Encode(send.message)
		require.NoError(f.t, err)
		require.LessOrEqual(f.t, len(datagram), 1000)
		f.bytes[from] += len(datagram) + datagramHeaders
		f.messages[from]++
		message, err := peerudp.Decode(datagram)
		require.NoError(f.t, err)
		require.Equal(f.t, peer.CauseLoad, message.Cause())
		to := f.byID[send.to.ID]
		to.now = from.now
		to.receiveLoad(message)
		f.deliver(to)
	}
}

// Guards against load reports that take more bytes of an instance as the fleet grows, and against
// sums that lose accuracy in the encoding.
func TestBytesOfLoadReportsDoNotGrowWithTheFleet(t *testing.T) {
	most := map[int]int{}
	for _, n := range []int{64, 300, 2600} {
		f := newSizeFleet(t, n)
		const rounds = 12
		now := 10 * second
		for range rounds {
			now = now.Add(testLoadInterval)
			f.round(now)
		}
		perSecond := func(counts map[*machine]int) (largest int, mean float64) {
			total := 0
			for _, c := range counts {
				largest, total = max(largest, c*int(time.Second/testLoadInterval)/rounds), total+c
			}
			return largest, float64(total) * float64(time.Second/testLoadInterval) / rounds / float64(n)
		}
		bytes, meanBytes := perSecond(f.bytes)
		messages, meanMessages := perSecond(f.messages)
		root := f.nodes[0]
		t.Logf("%d instances: bytes per second %d at most, mean %.0f; messages per second %d at most, mean %.1f; servers in the view of a relay %d",
			n, bytes, meanBytes, messages, meanMessages, len(root.loads.view.Servers))
		most[n] = bytes
		completed := 0.0
		for _, service := range root.loads.view.Services {
			for _, zone := range service.Zones {
				completed += zone.Total.Completed
			}
		}
		require.True(t, root.loads.view.Usable)
		require.InEpsilon(t, f.completed*4, completed, 0.1)
	}
	require.LessOrEqual(t, most[64], 18_000)
	require.LessOrEqual(t, float64(most[300]), 1.05*float64(most[64]))
	require.LessOrEqual(t, float64(most[2600]), 1.05*float64(most[64]))
}

// BenchmarkLoadReportOfARelay measures the sums and messages of one interval of a relay of 650
// instances, without their encoding.
func BenchmarkLoadReportOfARelay(b *testing.B) {
	f := newSizeFleet(b, 2600)
	now := 10 * second
	for range 4 {
		now = now.Add(testLoadInterval)
		f.round(now)
	}
	relay := f.nodes[0]
	for b.Loop() {
		relay.addOwnLoad(f.report(relay))
		relay.sendLoad(testLoadInterval)
		relay.takeEffects()
	}
}
