package flow

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/savorytiller/savorytiller/internal/core/model"
)

// firstPackets returns the first packets of n flows to the fleet's first service
// that the given instance owns.
func firstPackets(inst *instance, n int) []Message {
	service := &inst.view.Config.Services[0]
	r := resolver{view: inst.view, members: inst.view.Members, history: inst.history[service.ID]}
	out := make([]Message, 0, n)
	for i := uint32(0); len(out) < n; i++ {
		key := model.FlowKey{Protocol: ProtocolTCP, Destination: service.VirtualAddress,
			Source: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 24), byte(i >> 16), byte(i >> 8)}), uint16(i)<<8)}
		m := Message{Key: key, Fingerprint: Fingerprint(key), Flags: FlagSYN}
		if owner, _ := r.owner(m.Fingerprint); owner.ID == inst.member.ID {
			out = append(out, m)
		}
	}
	return out
}

// singleInstance returns a fleet of one instance and 15 servers without
// connection limits, and the instance.
func singleInstance(maxFlows int) (*fleet, *instance) {
	f := newFleet(1, map[model.Zone]int{"halle-a": 1}, map[model.Zone]int{"halle-a": 15}, 1)
	inst := f.instances[f.addresses[0]]
	inst.shard = NewShard(DefaultSettings(1, maxFlows))
	for _, s := range inst.view.Servers {
		s.ConnectionLimit = 1 << 30
	}
	return f, inst
}

// Guards against memory allocations in the decision about each packet, and
// against records that take more than 64 bytes per flow.
func TestKnownFlowAllocatesNothingAndTakesUnder64Bytes(t *testing.T) {
	const flows = 100000
	f, inst := singleInstance(flows)
	all := firstPackets(inst, flows)
	var d Decision
	for i := range all {
		inst.shard.HandlePacket(inst.view, f.now, &all[i], &d)
		require.Equal(t, Deliver, d.Action)
		if n := i + 1; n >= 2000 {
			require.LessOrEqual(t, inst.shard.Bytes(), 64*n, "%d flows", n)
		}
		all[i].Flags = FlagACK
	}
	i := 0
	require.Zero(t, testing.AllocsPerRun(1000, func() {
		inst.shard.HandlePacket(inst.view, f.now, &all[i], &d)
		i += 97
	}))
	require.Equal(t, model.ReasonKnownFlow, d.Reason)
}

func BenchmarkDecideKnownFlow(b *testing.B) {
	for _, n := range []int{1e3, 1e4, 1e5, 1e6} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			f, inst := singleInstance(n)
			all := firstPackets(inst, n)
			var d Decision
			for i := range all {
				inst.shard.HandlePacket(inst.view, f.now, &all[i], &d)
				all[i].Flags = FlagACK
			}
			b.ReportMetric(float64(inst.shard.Bytes())/float64(n), "B/flow")
			b.ReportAllocs()
			// The flows are visited in a fixed, scattered order through one
			// message, so that the benchmark measures the flow table and not the
			// list of messages.
			fingerprints := make([]uint64, n)
			for i := range fingerprints {
				fingerprints[i] = all[(i*7919)%n].Fingerprint
			}
			m := all[0]
			b.ResetTimer()
			for i := 0; b.Loop(); i++ {
				if i == n {
					i = 0
				}
				m.Fingerprint = fingerprints[i]
				inst.shard.HandlePacket(inst.view, f.now, &m, &d)
			}
			require.Equal(b, model.ReasonKnownFlow, d.Reason)
			b.ReportMetric(float64(inst.shard.Bytes())/float64(n), "B/flow")
		})
	}
}

func BenchmarkDecideNewFlow(b *testing.B) {
	for _, n := range []int{1e3, 1e5} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			f, inst := singleInstance(n)
			all := firstPackets(inst, n)
			var d Decision
			b.ReportAllocs()
			b.ResetTimer()
			for i := 0; b.Loop(); i++ {
				if i == n {
					b.StopTimer()
					inst.shard, i = NewShard(DefaultSettings(1, n)), 0
					b.StartTimer()
				}
				inst.shard.HandlePacket(inst.view, f.now, &all[i], &d)
			}
			require.Equal(b, model.ReasonTableChoice, d.Reason)
		})
	}
}

func BenchmarkTick(b *testing.B) {
	for _, n := range []int{1e3, 1e5} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			f, inst := singleInstance(n)
			all := firstPackets(inst, n)
			var d Decision
			for i := range all {
				inst.shard.HandlePacket(inst.view, f.now, &all[i], &d)
			}
			var out Output
			for b.Loop() {
				inst.shard.Tick(inst.view, f.now.Add(time.Millisecond), &out)
			}
		})
	}
}
