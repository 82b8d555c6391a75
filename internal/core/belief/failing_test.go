package belief

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/savorytiller/savorytiller/internal/core/model"
)

// Load: servers of two zones fail arbitrary shares of their answers. Guards against suspicion that
// takes more than a quarter of the servers of a zone out of use, or a server whose answers
// don't justify it.
func TestAtMostAQuarterOfAZoneIsSuspected(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var servers []Answers
		for i := range rapid.IntRange(1, 40).Draw(rt, "servers") {
			samples := rapid.IntRange(0, 40).Draw(rt, "samples")
			servers = append(servers, Answers{Zone: []model.Zone{"z", "y"}[rapid.IntRange(0, 1).Draw(rt, "zone")], Token: uint32(i),
				Samples: float64(samples), Failed: float64(rapid.IntRange(0, samples).Draw(rt, "failed"))})
		}
		var f FailingServers
		f.Mark(servers)
		all, failing := map[model.Zone]int{}, map[model.Zone]int{}
		for _, a := range servers {
			all[a.Zone]++
			if a.Failing {
				failing[a.Zone]++
				require.True(rt, a.Samples >= 10 && a.Failed > 0.3*a.Samples)
			}
		}
		for zone, n := range failing {
			require.LessOrEqual(rt, 4*n, all[zone])
		}
	})
}

// Load: all servers reject two thirds of the requests because of overload. Guards against the worst
// of them being singled out, and against one that fails alone not being so.
func TestOverloadOfAllServersSuspectsNone(t *testing.T) {
	servers := make([]Answers, 20)
	for i := range servers {
		servers[i] = Answers{Zone: "z", Token: uint32(i), Samples: 30, Failed: float64(10 + i)}
	}
	var f FailingServers
	f.Mark(servers)
	for _, a := range servers {
		require.False(t, a.Failing)
	}
	for i := range servers {
		servers[i].Failed = 3
	}
	servers[7].Failed = 12
	f.Mark(servers)
	require.True(t, servers[7].Failing)
}
