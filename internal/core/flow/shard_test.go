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

// decide passes a packet with the given flags to an engine.
func decide(f *fleet, e *engine, m Message, flags uint8) Decision {
	m.Flags = flags
	var d Decision
	e.shard.Packet(e.view, f.now, &m, &d)
	return d
}

// Guards against packets that are sent on although the view is missing, expired
// or does not know their destination.
func TestPacketsWithoutDecisionAreDropped(t *testing.T) {
	f, e := oneInstance(100)
	m := messages(e, 1)[0]
	expired, empty := *e.view, view.View{FreshUntil: f.now + 1}
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
		{e.view, unknown, model.ReasonUnknownService}, {e.view, otherService, model.ReasonUnknownService},
		{e.view, hops, model.ReasonTooManyHops},
	} {
		var d Decision
		e.shard.Packet(c.v, f.now, &c.m, &d)
		require.Equal(t, Drop, d.Verb)
		require.Equal(t, c.want, d.Reason)
	}
	for _, flags := range []uint8{FlagSYN, FlagACK} { // a service without a table
		noTables := *e.view
		noTables.Config, noTables.Tables = &model.Configuration{Version: 2, Services: e.view.Config.Services}, nil
		shard, d := NewShard(DefaultSettings(1, 10)), Decision{}
		first := m
		first.Flags = flags
		shard.Packet(&noTables, f.now, &first, &d)
		require.Equal(t, []any{Drop, model.ReasonNoCapacity}, []any{d.Verb, d.Reason})
	}
	require.Zero(t, e.shard.Len())
	require.Equal(t, model.ReasonStaleView, e.shard.Learn(&expired, f.now, &Message{Kind: KindHint}))
}

// Guards against records that stay too long or go too early: a handshake that
// never ends, a closed flow, an idle flow, and a silent flow that must stay.
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
		f, e := oneInstance(100)
		m := messages(e, 1)[0]
		for _, flags := range c.flags {
			require.Equal(t, Deliver, decide(f, e, m, flags).Verb)
		}
		silent, ended := 0, 0
		start := f.now
		for ended == 0 && f.now.Sub(start) < time.Hour {
			f.now = f.now.Add(time.Second)
			e.shard.Tick(e.view, f.now, &e.out)
			silent += len(e.out.Silent)
			ended += len(e.out.Ended)
		}
		require.Equal(t, model.ReasonIdle, e.out.Ended[0].Reason, c.name)
		require.InDelta(t, c.timeout.Seconds(), f.now.Sub(start).Seconds(), 2, c.name)
		require.Equal(t, c.name == "idle", silent == 1, c.name)
		require.Zero(t, e.shard.Len())
		require.Empty(t, e.shard.connections, "connections of ended flows are free again")
	}
}

// Guards against a table or a server's share of connections that grows without
// bound, and against packets of known flows that then fail.
func TestLimits(t *testing.T) {
	f, e := oneInstance(50)
	for _, s := range e.view.Servers {
		s.ConnectionLimit = 2
	}
	all := messages(e, 60)
	reasons := map[model.Reason]int{}
	for i := range all {
		reasons[decide(f, e, all[i], FlagSYN).Reason]++
	}
	require.Equal(t, 30, reasons[model.ReasonTableChoice]+reasons[model.ReasonAlternative])
	require.Equal(t, 30, reasons[model.ReasonNoCapacity])
	for _, s := range e.view.Servers {
		s.ConnectionLimit = 100
	}
	for i := range all {
		reasons[decide(f, e, all[i], FlagSYN).Reason]++
	}
	require.Equal(t, 10, reasons[model.ReasonTableFull])
	require.Equal(t, 30, reasons[model.ReasonKnownFlow])
	// A packet of a flow that is not the first one passes without a record.
	require.Equal(t, Deliver, decide(f, e, all[59], FlagACK).Verb)
	require.Equal(t, 50, e.shard.Len())
}

// Guards against observations that miss a server that answers or does not.
func TestObservations(t *testing.T) {
	f, e := oneInstance(100)
	m := messages(e, 1)[0]
	require.Equal(t, ObservedNone, decide(f, e, m, FlagSYN).Observed.Kind)
	for n := range uint8(2) {
		d := decide(f, e, m, FlagSYN)
		require.Equal(t, ObservedRepeatedSYN, d.Observed.Kind)
		require.Equal(t, n+1, d.Observed.Repeats)
		require.Equal(t, d.To, e.view.Servers[d.Observed.Server].FlowAddress)
	}
	m.Ack = 1000
	require.Equal(t, ObservedEstablished, decide(f, e, m, FlagACK).Observed.Kind)
	require.Equal(t, ObservedNone, decide(f, e, m, FlagACK).Observed.Kind)
	m.Ack = 2000
	require.Equal(t, ObservedProgress, decide(f, e, m, FlagACK).Observed.Kind)
	require.Equal(t, ObservedNone, decide(f, e, m, FlagACK).Observed.Kind)
}

// Guards against a repeated SYN that stays with a failed server, and against an
// established flow that leaves a server that is believed to have failed.
func TestFailedServer(t *testing.T) {
	f, e := oneInstance(100)
	pair := messages(e, 2)
	first := decide(f, e, pair[0], FlagSYN).To
	established := decide(f, e, pair[1], FlagSYN).To
	decide(f, e, pair[1], FlagACK)
	for _, s := range e.view.Servers {
		if s.FlowAddress == first || s.FlowAddress == established {
			s.Warmth, s.NewWork = view.Failed, false
		}
	}
	require.NotEqual(t, first, decide(f, e, pair[0], FlagSYN).To)
	require.Equal(t, established, decide(f, e, pair[1], FlagACK).To)
}

// Guards against hints that come too early, too often, too late or from nowhere,
// that outlive their validity or their server, or that a FIN does not pass.
func TestHints(t *testing.T) {
	f := newFleet(1, map[model.Zone]int{"halle-a": 2}, map[model.Zone]int{"halle-a": 3}, 1)
	owner, other := f.engines[f.order[0]], f.engines[f.order[1]]
	m := messages(owner, 1)[0]
	to := decide(f, owner, m, FlagSYN).To
	relayed := m
	relayed.Kind, relayed.Service, relayed.Sender, relayed.Hops = KindRelay, 17, other.member.FlowAddress, 1
	f.now = f.now.Add(time.Minute) // the budget has filled up
	var d Decision
	for i := range relaysPerHint {
		require.Equal(t, Forward, decide(f, other, m, FlagACK).Verb)
		d = decide(f, owner, relayed, FlagACK)
		require.Equal(t, i == relaysPerHint-1, d.Tell)
	}
	require.Equal(t, other.member.FlowAddress, d.TellTo)
	hint := Message{Kind: KindHint, Service: 17, Fingerprint: m.Fingerprint, Sender: owner.member.FlowAddress, Sequence: 5,
		Server: d.Note.Server, Validity: d.Note.Validity}
	require.Equal(t, model.ReasonHint, other.shard.Learn(other.view, f.now, &hint))
	require.Equal(t, model.ReasonReplayed, other.shard.Learn(other.view, f.now, &hint))
	d = decide(f, other, m, FlagACK)
	require.Equal(t, []any{Deliver, to, model.ReasonHint}, []any{d.Verb, d.To, d.Reason})
	f.join("halle-a")
	f.spread(0)
	f.step(0)
	d = decide(f, other, m, FlagACK)
	require.Equal(t, []any{Forward, hint.Server}, []any{d.Verb, d.Out.Server}, "the owner may be a new one")
	require.Equal(t, Deliver, decide(f, other, m, FlagACK).Verb)
	require.Equal(t, Forward, decide(f, other, m, FlagACK|FlagFIN).Verb, "the owner sees the end")
	f.now = f.now.Add(HintValidity + time.Second)
	d = decide(f, other, m, FlagACK)
	require.Equal(t, Forward, d.Verb, "expired")
	require.Equal(t, hint.Server, d.Out.Server, "the owner gets what was known")
	hint.Sequence, hint.Server = 6, 12345
	require.Equal(t, model.ReasonServerRemoved, other.shard.Learn(other.view, f.now, &hint))

	hints := 0
	for range 1000 {
		if decide(f, owner, relayed, FlagACK).Tell {
			hints++
		}
	}
	require.LessOrEqual(t, hints*hintCost, 2*owner.shard.settings.HintBudget)
}

// Guards against first datagrams of new flows that are passed around in a fleet
// that does not change.
func TestDatagramOfNewFlowIsNotLookedUp(t *testing.T) {
	f, e := oneInstance(10)
	f.join("halle-a")
	f.spread(0)
	f.step(0)
	m := messages(e, 1)[0]
	m.Key.Protocol = ProtocolUDP
	f.now = f.now.Add(time.Minute)
	require.Equal(t, Forward, decide(f, e, m, 0).Verb, "an instance joined a minute ago")
	f.now = f.now.Add(5 * time.Minute)
	require.Equal(t, model.ReasonTableChoice, decide(f, e, m, 0).Reason)
	require.Equal(t, model.ReasonKnownFlow, decide(f, e, m, 0).Reason)
}

// Guards against records that are refused because the note with their server
// has reached only their sender yet (rapid seed 487600 broke a flow this way),
// and against records that are kept although no note brings the server.
func TestRecordMayArriveBeforeItsNote(t *testing.T) {
	for _, comes := range []bool{true, false} {
		f, e := oneInstance(10)
		m := messages(e, 1)[0]
		server := f.newServer("halle-a")
		number := placement.ServerNumber(server.ID)
		require.Equal(t, 1, e.shard.LearnRecords(e.view, f.now, []Record{{Fingerprint: m.Fingerprint, Service: 17, Server: number}}))
		f.now = f.now.Add(NoteDelay / 2)
		e.shard.Tick(e.view, f.now, &e.out)
		if comes {
			f.change(func(c *model.Configuration) { c.Services[0].Servers = append(c.Services[0].Servers, server) })
			f.spread(0)
			f.step(0)
			require.Equal(t, server.FlowAddress, decide(f, e, m, FlagACK).To)
			continue
		}
		f.now = f.now.Add(NoteDelay)
		e.shard.Tick(e.view, f.now, &e.out)
		require.Zero(t, e.shard.Len())
		require.Empty(t, e.out.Ended, "no flow ended here")
	}
}
