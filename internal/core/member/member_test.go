package member

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/savorytiller/savorytiller/internal/core/model"
)

func instance(i, zones int) model.Member {
	a := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 4000)
	return model.Member{ID: model.InstanceID(fmt.Sprintf("i-%04d", i)), Zone: model.Zone(fmt.Sprintf("z%d", i%zones)),
		Incarnation: 100, PeerAddress: a, FlowAddress: a, RequestAddress: a}
}

func newTable(n, zones int) *Table {
	t := New(instance(0, zones), rand.New(rand.NewPCG(1, 1)))
	var list []model.Member
	for i := range n {
		list = append(list, instance(i, zones))
	}
	t.SetList(1, list)
	t.TakeChanged()
	return t
}

// Guards against a probe rate that grows with the fleet, and against members of the zone
// that the round-robin order never reaches.
func TestProbesAreBoundedAndReachEveryZoneMember(t *testing.T) {
	for _, n := range []int{7, 100, 2600} {
		table := newTable(n, min(19, n))
		seen := map[model.InstanceID]bool{}
		for second := range n {
			targets := table.Tick(model.Time(second) * model.Time(time.Second))
			require.LessOrEqual(t, len(targets), ZoneProbes+OtherZoneProbes+1, "n=%d", n)
			for _, m := range targets {
				require.NotEqual(t, table.self.ID, m.ID)
				seen[m.ID] = true
			}
		}
		for _, id := range table.ownZone {
			require.True(t, seen[id], "n=%d: %s was never probed", n, id)
		}
	}
}

// Guards against a member that is marked as dead although only the connection to it broke
// or other instances can still reach it, and against a dead member that stays live.
func TestMemberIsDeadOnlyAfterDirectAndIndirectProbesFail(t *testing.T) {
	table := newTable(9, 3)
	id := model.InstanceID("i-0004")
	fail := func(now model.Time) ProbeAction {
		next, helpers := table.ProbeFailed(now, id)
		if next == ProbeIndirectly {
			require.Len(t, helpers, IndirectProbers)
			for _, h := range helpers {
				require.NotEqual(t, id, h.ID)
			}
		}
		return next
	}
	require.Equal(t, RetryProbe, fail(1))
	m, _ := table.Get(id)
	table.RecordContact(2, m) // the new connection works
	require.Equal(t, []ProbeAction{RetryProbe, RetryProbe, ProbeIndirectly, NoAction}, []ProbeAction{fail(3), fail(4), fail(5), fail(6)})
	table.IndirectProbesDone(7, id, true)
	require.False(t, table.TakeChanged())
	require.Equal(t, []ProbeAction{RetryProbe, RetryProbe, ProbeIndirectly}, []ProbeAction{fail(8), fail(9), fail(10)})
	table.IndirectProbesDone(11, id, false)
	require.True(t, table.TakeChanged())
	m, _ = table.Get(id)
	require.Equal(t, model.Dead, m.Liveness)
	require.Contains(t, table.Updates("i-0001"), Update{model.Member{ID: id, Incarnation: m.Incarnation, Liveness: model.Dead}})
	back := instance(4, 3)
	back.Incarnation++
	table.RecordContact(12, back)
	m, _ = table.Get(id)
	require.Equal(t, model.Live, m.Liveness)
}

// Guards against an isolated instance that reports its whole zone as dead.
func TestIsolatedInstanceSendsFewSuspicions(t *testing.T) {
	table := newTable(20, 1)
	for i := 1; i <= 12; i++ {
		id := instance(i, 1).ID
		for range DirectAttempts {
			table.ProbeFailed(model.Time(i), id)
		}
		table.IndirectProbesDone(model.Time(i), id, false)
	}
	require.True(t, table.ProbablyIsolated())
	sent := map[model.InstanceID]bool{}
	for range 100 {
		for _, u := range table.Updates("i-0019") {
			sent[u.Member.ID] = true
		}
	}
	require.Less(t, len(sent), isolationWindow, "suspicions that were sent: %v", sent)
	require.Len(t, table.Members(), 8)
}

// Guards against instances whose membership differs although they got the same updates,
// in any order and any number of times, and against a live member that cannot refute a
// suspicion.
func TestUpdatesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		self := instance(1, 1)
		var updates []Update
		for range rapid.IntRange(1, 12).Draw(t, "updates") {
			m := instance(rapid.IntRange(1, 3).Draw(t, "member"), 1)
			m.Incarnation = model.Incarnation(rapid.IntRange(100, 103).Draw(t, "incarnation"))
			m.Liveness = model.Liveness(rapid.IntRange(0, 2).Draw(t, "liveness"))
			updates = append(updates, Update{m})
		}
		var results []string
		for order := range 3 {
			table := newTable(4, 1)
			rng := rand.New(rand.NewPCG(uint64(order), 0))
			now := model.Time(time.Minute)
			for round := range 3 {
				_ = round
				for _, i := range rng.Perm(len(updates)) {
					table.Merge(now, updates[i:i+1])
				}
			}
			table.Tick(now.Add(2 * SuspicionTimeout))
			results = append(results, fmt.Sprint(table.Members()))
		}
		if results[0] != results[1] || results[1] != results[2] {
			t.Fatalf("updates %v result in %v", updates, results)
		}
		own := New(self, rand.New(rand.NewPCG(0, 0)))
		own.Merge(1, updates)
		for _, u := range updates {
			if u.Member.ID == self.ID && u.Member.Liveness == model.Dead && own.Self().Incarnation <= u.Member.Incarnation {
				t.Fatalf("suspicion %v is not refuted by %v", u, own.Self())
			}
		}
	})
}

// Guards against messages whose size grows with the number of changes, and against updates
// that are sent without end.
func TestUpdatesAreBounded(t *testing.T) {
	table := newTable(2600, 19)
	for i := 1; i < 2600; i++ {
		m := instance(i, 19)
		m.Liveness = model.Leaving
		table.RecordContact(model.Time(i), m)
	}
	sent := 0
	for len(table.queue) > 0 && sent < 100_000 {
		require.LessOrEqual(t, len(table.Updates("i-0001")), MaxUpdates+1)
		sent++
	}
	require.Empty(t, table.queue)
	require.LessOrEqual(t, sent, maxQueuedUpdates*table.transmitLimit()/MaxUpdates+table.transmitLimit())
}
