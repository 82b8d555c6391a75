package member

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/savorytiller/savorytiller/internal/core/model"
)

// contactTable returns the table of instance 0 after contact with n-1 others in the given
// number of zones, with at most three contacts of each other zone. The capacities grow with
// the numbers of the instances.
func contactTable(n, zones int) *Table {
	t := New(instance(0, zones), rand.New(rand.NewPCG(1, 1)))
	t.LimitContacts(3, 7)
	for i := 1; i < n; i++ {
		m := instance(i, zones)
		m.Capacity = uint32(i)
		t.RecordContact(model.Time(i), m)
	}
	return t
}

// Guards against tables and updates that grow with the whole fleet, and against a zone whose
// preferred instances others do not know.
func TestContactsOfOtherZonesAreTheHighestRanked(t *testing.T) {
	table := contactTable(120, 4)
	require.Len(t, table.Members(), 30+3*3)
	for zone := 1; zone < 4; zone++ {
		for i := 120 - 4*3 + zone; i < 120; i += 4 {
			_, ok := table.Get(instance(i, 4).ID)
			require.True(t, ok, "instance %d", i)
		}
	}
	for range 300 {
		for _, u := range table.Updates(instance(119, 4).ID) {
			require.True(t, u.Member.Zone != table.self.Zone || u.Member.Capacity >= 108, "%v is no contact", u.Member)
		}
	}
	require.Len(t, table.MembersFor("z3"), 3+3*3)
	require.Len(t, table.MembersFor("z0"), 30+3*3)
}

// Guards against a new contact that other zones do not learn of after one was lost, and
// against a contact that is reported as dead because another one replaced it.
func TestLostContactsAreReplaced(t *testing.T) {
	table := contactTable(40, 2)
	table.Tick(100)
	for range 200 {
		table.Updates("i-0001") // all updates so far are sent
	}
	lost := instance(38, 2).ID
	for range DirectAttempts {
		table.ProbeFailed(200, lost)
	}
	table.IndirectProbesDone(201, lost, false)
	table.Tick(300)
	reported := map[model.InstanceID]model.Liveness{}
	for _, u := range table.Updates("i-0039") {
		reported[u.Member.ID] = u.Member.Liveness
	}
	require.Equal(t, map[model.InstanceID]model.Liveness{lost: model.Dead, instance(32, 2).ID: model.Live}, reported)

	better := instance(41, 2)
	better.Capacity = 1000
	table.RecordContact(400, better)
	_, ok := table.Get(instance(35, 2).ID)
	require.False(t, ok, "the lowest contact of the other zone is replaced")
	for range 50 {
		for _, u := range table.Updates("i-0002") {
			require.NotEqual(t, instance(35, 2).ID, u.Member.ID)
		}
	}
}

// Guards against a crash when a suspected member of another zone is dropped as a surplus
// contact in the same second in which it is to be probed. Nine processes ended by it in one
// day of the bench.
func TestSuspectedSurplusContactIsDropped(t *testing.T) {
	table, now := contactTable(40, 2), model.Time(10*time.Second)
	lost, replacement := instance(39, 2), instance(33, 2)
	lost.Capacity, replacement.Capacity = 39, 33
	for range DirectAttempts {
		table.ProbeFailed(200, lost.ID)
	}
	table.IndirectProbesDone(201, lost.ID, false)
	table.RecordContact(300, replacement)
	lost.Incarnation++
	table.RecordContact(400, lost) // four contacts are live now
	table.Merge(now, []Update{{model.Member{ID: replacement.ID, Incarnation: replacement.Incarnation, Liveness: model.Dead}}})
	for _, m := range table.Tick(now) {
		require.NotEqual(t, replacement.ID, m.ID)
	}
	_, ok := table.Get(replacement.ID)
	require.False(t, ok)
}
