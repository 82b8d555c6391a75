package table

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/core/placement"
)

func servers(n int) []model.Server {
	all := make([]model.Server, n)
	for i := range all {
		all[i] = model.Server{ID: model.ServerID(fmt.Sprintf("server-%05d", i)), Zone: "halle-a", Weight: 100}
	}
	return all
}

// movedShare returns the share of flows that two tables map to different servers.
func movedShare(a, b *Table, flows int) float64 {
	n := 0
	for i := range flows {
		hash := placement.Mix(uint64(i), 1)
		if a.Lookup(hash).ID != b.Lookup(hash).ID {
			n++
		}
	}
	return float64(n) / float64(flows)
}

// Guards against a distribution of flows that is not proportional to the weights,
// which would overload some servers.
func TestLoadFollowsWeights(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := servers(rapid.IntRange(2, 40).Draw(t, "servers"))
		total := 0.0
		for i := range all {
			all[i].Weight = uint16(rapid.IntRange(20, 400).Draw(t, "weight"))
			total += float64(all[i].Weight)
		}
		const flows = 40000
		counts := map[model.ServerID]int{}
		table := Build(all)
		for i := range flows {
			counts[table.Lookup(placement.Mix(uint64(i), 1)).ID]++
		}
		for _, s := range all {
			want := float64(s.Weight) / total
			// The bound is above six standard deviations of a binomial share.
			require.InDelta(t, want, float64(counts[s.ID])/flows, 0.015, "%s of %d", s.ID, len(all))
		}
	})
}

// Guards against tables that map many more flows to another server than a change of
// one server requires.
func TestChangeMovesFewFlows(t *testing.T) {
	for _, n := range []int{4, 15, 100, 1000} {
		all := servers(n + 1)
		share := 1 / float64(n+1)
		added := movedShare(Build(all[:n]), Build(all), 40000)
		// A server that is alone in its group moves its share of the flows. In a
		// large group, it is almost twice that, as flows also move within the group.
		require.InDelta(t, 1.5*share, added, 0.6*share+0.005, "%d servers, one added", n)
		heavier := servers(n + 1)
		heavier[n/2].Weight = 200
		reweighted := movedShare(Build(all), Build(heavier), 40000)
		require.Less(t, reweighted, 2.2*share+0.005, "%d servers, the weight of one doubled", n)
		t.Logf("%d servers: adding one moves %.2f %% of the flows, doubling the weight of one %.2f %%; the minimum is %.2f %%",
			n, 100*added, 100*reweighted, 100*share)
	}
}

// Guards against a lookup that skips the best candidate when it avoids computing
// logarithms: it must find the group and then the server with the highest score.
func TestLookupIsRendezvous(t *testing.T) {
	all := servers(7) // each in a group of its own
	for i := range all {
		all[i].Weight = uint16(50 + 40*i)
	}
	table := Build(all)
	require.Len(t, table.groups, len(all))
	for i := range 2000 {
		hash := placement.Mix(uint64(i), 3)
		best, bestScore := 0, -1.0
		for g := range table.groups {
			if s := placement.Score(hash, table.groups[g].seed, table.groups[g].weight); s > bestScore {
				best, bestScore = g, s
			}
		}
		want := table.Servers[table.members[table.groups[best].first].index].ID
		require.Equal(t, want, table.Lookup(hash).ID)
		number, ok := table.LookupNumber(hash)
		require.True(t, ok)
		require.Equal(t, placement.ServerNumber(want), number)
	}
	require.Nil(t, Build(nil).Lookup(1))
}

// Guards against generations that are kept although the mapping did not change,
// dropped too early or kept without limit.
func TestHistoryRetainsGenerations(t *testing.T) {
	config := func(version model.Version, n int) *model.Configuration {
		return &model.Configuration{Version: version, Services: []model.Service{{ID: 1, Servers: servers(n)}}}
	}
	push := func(h *History, version model.Version, n int, at time.Duration) *History {
		c := config(version, n)
		return h.Push(NewGeneration(c, &c.Services[0]), model.Time(at))
	}
	var h *History
	h = push(h, 1, 3, 0)
	h = push(h, 2, 3, time.Second) // only the version differs
	require.Len(t, h.Generations, 1)
	require.EqualValues(t, 2, h.Current().Version)
	h = push(h, 3, 4, time.Minute)
	h = push(h, 4, 5, 2*time.Minute)
	require.Len(t, h.Generations, 3)
	h = push(h, 5, 6, time.Minute+GenerationRetention)
	require.Len(t, h.Generations, 3, "generation 2 was replaced too long ago")
	for i := range MaxGenerations + 5 {
		h = push(h, model.Version(6+i), 7+i, 10*time.Minute)
	}
	require.Len(t, h.Generations, MaxGenerations)
}

func BenchmarkTableRebuild(b *testing.B) {
	for _, n := range []int{15, 1000, 30000} {
		all := servers(n)
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				Build(all)
			}
		})
	}
}

func BenchmarkLookup(b *testing.B) {
	for _, n := range []int{15, 1000, 30000} {
		table := Build(servers(n))
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for i := uint64(0); b.Loop(); i++ {
				table.Lookup(placement.Mix(i, 1))
			}
		})
	}
}
