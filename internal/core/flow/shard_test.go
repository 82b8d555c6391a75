package flow

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/core/placement"
	"github.com/savorytiller/savorytiller/internal/core/view"
)

// decide returns an instance's decision about a packet with the given flags.
func decide(f *fleet, inst *instance, m Message, flags uint8) Decision {
	m.Flags = flags
	var d Decision
	inst.shard.HandlePacket(inst.view, f.now, &m, &d)
	return d
}

// Guards against packets that are sent on although the view is missing, expired or
// without a configuration, or does not contain their destination.
func TestPacketsWithoutDecisionAreDropped(t *testing.T) {
	f, inst := singleInstance(100)
	m := firstPackets(inst, 1)[0]
	expired, empty := *inst.view, view.View{FreshUntil: f.now + 1}
	expired.FreshUntil = f.now
	unknown, otherService, hops := m, m, m
	unknown.Key.Destination = netip.MustParseAddrPort("10.80.9.9:1")
	otherService.Service = 99
	hops.Hops = MaxHops + 1
	for _, c := range []struct {
		v    *view.View
		m    Message
		want model.Reason
	}{
		{nil, m, model.ReasonStaleView}, {&expired, m, model.ReasonStaleView}, {&empty, m, model.ReasonNoConfiguration},
		{inst.view, unknown, model.ReasonUnknownService}, {inst.view, otherService, model.ReasonUnknownService},
		{inst.view, hops, model.ReasonTooManyHops},
	} {
		var d Decision
		inst.shard.HandlePacket(c.v, f.now, &c.m, &d)
		require.Equal(t, Drop, d.Action)
		require.Equal(t, c.want, d.Reason)
	}
	for _, flags := range []uint8{FlagSYN, FlagACK} { // a service without a table
		noTables := *inst.view
		noTables.Config, noTables.Tables = &model.Configuration{Version: 2, Services: inst.view.Config.Services}, nil
		shard, d := NewShard(DefaultSettings(1, 10)), Decision{}
		first := m
		first.Flags = flags
		shard.HandlePacket(&noTables, f.now, &first, &d)
		require.Equal(t, []any{Drop, model.ReasonNoCapacity}, []any{d.Action, d.Reason})
	}
	require.Zero(t, inst.shard.Len())
	require.Equal(t, model.ReasonStaleView, inst.shard.LearnServer(&expired, f.now, &Message{Kind: KindHint}))
}

// Guards against records that are kept too long or removed too early: of
// unfinished handshakes, closed flows and idle flows. A silent flow must stay.
func TestFlowsExpire(t *testing.T) {
	for _, c := range []struct {
		name    string
		flags   []uint8
		timeout time.Duration
	}{
		{"handshake", []uint8{FlagSYN}, HandshakeTimeout},
		{"reset", []uint8{FlagSYN, FlagACK, FlagACK | FlagRST}, ClosingTimeout},
		{"closed", []uint8{FlagSYN, FlagACK, FlagACK | FlagFIN}, ClosingTimeout},
		{"idle", []uint8{FlagSYN, FlagACK}, 15 * time.Minute},
	} {
		f, inst := singleInstance(100)
		m := firstPackets(inst, 1)[0]
		for _, flags := range c.flags {
			require.Equal(t, Deliver, decide(f, inst, m, flags).Action)
		}
		silent, ended := 0, 0
		start := f.now
		for ended == 0 && f.now.Sub(start) < time.Hour {
			f.now = f.now.Add(time.Second)
			inst.shard.Tick(inst.view, f.now, &inst.out)
			silent += len(inst.out.Silent)
			ended += len(inst.out.Ended)
		}
		require.Equal(t, model.ReasonIdle, inst.out.Ended[0].Reason, c.name)
		require.InDelta(t, c.timeout.Seconds(), f.now.Sub(start).Seconds(), 2, c.name)
		require.Equal(t, c.name == "idle", silent == 1, c.name)
		require.Zero(t, inst.shard.Len())
		require.Empty(t, inst.shard.connections, "connections of ended flows are free again")
	}
}

// Guards against a flow table or connections to a server that grow beyond their
// limits, and against packets of known flows that are dropped at the limits.
func TestFlowAndConnectionLimits(t *testing.T) {
	f, inst := singleInstance(50)
	for _, s := range inst.view.Servers {
		s.ConnectionLimit = 2
	}
	all := firstPackets(inst, 60)
	reasons := map[model.Reason]int{}
	for i := range all {
		reasons[decide(f, inst, all[i], FlagSYN).Reason]++
	}
	require.Equal(t, 30, reasons[model.ReasonTableChoice]+reasons[model.ReasonAlternative])
	require.Equal(t, 30, reasons[model.ReasonNoCapacity])
	for _, s := range inst.view.Servers {
		s.ConnectionLimit = 100
	}
	for i := range all {
		reasons[decide(f, inst, all[i], FlagSYN).Reason]++
	}
	require.Equal(t, 10, reasons[model.ReasonTableFull])
	require.Equal(t, 30, reasons[model.ReasonKnownFlow])
	// A later packet of a flow is delivered even if there is no room for a
	// record.
	require.Equal(t, Deliver, decide(f, inst, all[59], FlagACK).Action)
	require.Equal(t, 50, inst.shard.Len())
}

// Guards against observations of a server that are missing or reported twice: SYNs
// that it does not answer, an established flow and progress of a flow.
func TestObservationsOfServer(t *testing.T) {
	f, inst := singleInstance(100)
	m := firstPackets(inst, 1)[0]
	require.Equal(t, ObservedNone, decide(f, inst, m, FlagSYN).Observed.Kind)
	for n := range uint8(2) {
		d := decide(f, inst, m, FlagSYN)
		require.Equal(t, ObservedSYNRetransmission, d.Observed.Kind)
		require.Equal(t, n+1, d.Observed.Retransmissions)
		require.Equal(t, d.To, inst.view.Servers[d.Observed.Server].FlowAddress)
	}
	m.Ack = 1000
	require.Equal(t, ObservedEstablished, decide(f, inst, m, FlagACK).Observed.Kind)
	require.Equal(t, ObservedNone, decide(f, inst, m, FlagACK).Observed.Kind)
	m.Ack = 2000
	require.Equal(t, ObservedProgress, decide(f, inst, m, FlagACK).Observed.Kind)
	require.Equal(t, ObservedNone, decide(f, inst, m, FlagACK).Observed.Kind)
}

// Guards against a retransmitted SYN that stays with a failed server, and against
// an established flow that moves away from a server that this instance considers
// failed.
func TestFailedServerKeepsOnlyEstablishedFlows(t *testing.T) {
	f, inst := singleInstance(100)
	pair := firstPackets(inst, 2)
	first := decide(f, inst, pair[0], FlagSYN).To
	established := decide(f, inst, pair[1], FlagSYN).To
	decide(f, inst, pair[1], FlagACK)
	for _, s := range inst.view.Servers {
		if s.FlowAddress == first || s.FlowAddress == established {
			s.Warmth, s.NewWork = view.Failed, false
		}
	}
	require.NotEqual(t, first, decide(f, inst, pair[0], FlagSYN).To)
	require.Equal(t, established, decide(f, inst, pair[1], FlagACK).To)
}

// Guards against hints that are sent too early or too often, are replayed, or are
// used after their validity or for an unknown server, and against a FIN that
// bypasses the owner.
func TestHintsAreLimitedAndExpire(t *testing.T) {
	f := newFleet(1, map[model.Zone]int{"halle-a": 2}, map[model.Zone]int{"halle-a": 3}, 1)
	owner, other := f.instances[f.addresses[0]], f.instances[f.addresses[1]]
	m := firstPackets(owner, 1)[0]
	to := decide(f, owner, m, FlagSYN).To
	relayed := m
	relayed.Kind, relayed.Service, relayed.Sender, relayed.Hops = KindRelay, 17, other.member.FlowAddress, 1
	f.now = f.now.Add(time.Minute) // fills the hint budget
	var d Decision
	for i := range relaysPerHint {
		require.Equal(t, Forward, decide(f, other, m, FlagACK).Action)
		d = decide(f, owner, relayed, FlagACK)
		require.Equal(t, i == relaysPerHint-1, d.Notify)
	}
	require.Equal(t, other.member.FlowAddress, d.NotifyTo)
	hint := Message{Kind: KindHint, Service: 17, Fingerprint: m.Fingerprint, Sender: owner.member.FlowAddress, Sequence: 5,
		Server: d.NotifyHeader.Server, Validity: d.NotifyHeader.Validity}
	require.Equal(t, model.ReasonHint, other.shard.LearnServer(other.view, f.now, &hint))
	require.Equal(t, model.ReasonReplayed, other.shard.LearnServer(other.view, f.now, &hint))
	d = decide(f, other, m, FlagACK)
	require.Equal(t, []any{Deliver, to, model.ReasonHint}, []any{d.Action, d.To, d.Reason})
	f.join("halle-a")
	f.sendViews(0)
	f.step(0)
	d = decide(f, other, m, FlagACK)
	require.Equal(t, []any{Forward, hint.Server}, []any{d.Action, d.ForwardHeader.Server}, "the owner may have changed")
	require.Equal(t, Deliver, decide(f, other, m, FlagACK).Action)
	require.Equal(t, Forward, decide(f, other, m, FlagACK|FlagFIN).Action, "the owner sees the end")
	f.now = f.now.Add(HintValidity + time.Second)
	d = decide(f, other, m, FlagACK)
	require.Equal(t, Forward, d.Action, "expired")
	require.Equal(t, hint.Server, d.ForwardHeader.Server, "the owner gets the known server")
	hint.Sequence, hint.Server = 6, 12345
	require.Equal(t, model.ReasonServerRemoved, other.shard.LearnServer(other.view, f.now, &hint))

	hints := 0
	for range 1000 {
		if decide(f, owner, relayed, FlagACK).Notify {
			hints++
		}
	}
	require.LessOrEqual(t, hints*hintBytes, 2*owner.shard.settings.HintBudget)
}

// Guards against the first datagram of a flow that is forwarded for lookups
// although the set of instances has not changed.
func TestDatagramOfNewFlowIsNotLookedUp(t *testing.T) {
	f, inst := singleInstance(10)
	f.join("halle-a")
	f.sendViews(0)
	f.step(0)
	m := firstPackets(inst, 1)[0]
	m.Key.Protocol = ProtocolUDP
	f.now = f.now.Add(time.Minute)
	require.Equal(t, Forward, decide(f, inst, m, 0).Action, "an instance joined a minute ago")
	f.now = f.now.Add(5 * time.Minute)
	require.Equal(t, model.ReasonTableChoice, decide(f, inst, m, 0).Reason)
	require.Equal(t, model.ReasonKnownFlow, decide(f, inst, m, 0).Reason)
}

// Guards against records that are refused because the release note with their
// server has reached only the sender so far (broke a flow with rapid seed
// 487600), and against records that are kept although no release note adds the
// server.
func TestRecordCanArriveBeforeReleaseNote(t *testing.T) {
	for _, noteArrives := range []bool{true, false} {
		f, inst := singleInstance(10)
		m := firstPackets(inst, 1)[0]
		server := f.newServer("halle-a")
		number := placement.ServerNumber(server.ID)
		require.Equal(t, 1, inst.shard.StoreRecords(inst.view, f.now, []Record{{Fingerprint: m.Fingerprint, Service: 17, Server: number}}))
		f.now = f.now.Add(UnknownServerTimeout / 2)
		inst.shard.Tick(inst.view, f.now, &inst.out)
		if noteArrives {
			f.changeConfig(func(c *model.Configuration) { c.Services[0].Servers = append(c.Services[0].Servers, server) })
			f.sendViews(0)
			f.step(0)
			require.Equal(t, server.FlowAddress, decide(f, inst, m, FlagACK).To)
			continue
		}
		f.now = f.now.Add(UnknownServerTimeout)
		inst.shard.Tick(inst.view, f.now, &inst.out)
		require.Zero(t, inst.shard.Len())
		require.Empty(t, inst.out.Ended, "no flow ended here")
	}
}
