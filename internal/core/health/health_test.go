package health

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/savorytiller/savorytiller/internal/core/model"
)

func coldTable() *Table {
	t := New("a", false)
	t.SetConfig(0, &model.Configuration{Services: []model.Service{{ID: 1, Servers: []model.Server{
		{ID: "s", Zone: "a", Slots: 4, Connections: 2000, Weight: 1},
	}}}})
	t.SetHome(0, "s", true)
	return t
}

// Guards against flows above the allowance of a cold server, because requests
// that succeeded raised the allowance of connections (seen as 110 flows too
// many on a new server in make demo).
func TestColdStartRequestsSayNothingAboutFlows(t *testing.T) {
	table := coldTable()
	for now := model.Time(0); now < model.Time(time.Minute); now = now.Add(time.Second) {
		table.Observe(now, Observation{Server: "s", Unit: Request, Kind: Success, Count: 4})
		table.Tick(now)
	}
	s := table.Standing(model.Time(time.Minute), "s")
	require.False(t, s.Alone, "the server carries all its requests")
	require.True(t, s.AloneFlows)
	require.EqualValues(t, 2000/64, s.Connections)
}

// Guards against flows above the allowance when the home of a cold server
// moves: the new home does not know yet which flows the server carries.
func TestColdStartNewHomeWaitsForCounts(t *testing.T) {
	table := coldTable()
	require.Zero(t, table.Standing(model.Time(HomeWait)-1, "s").Connections)
	require.EqualValues(t, 2000/64, table.Standing(model.Time(HomeWait), "s").Connections)
}

// Guards against records of one epoch that never agree: a server that is warm
// for requests at one instance and for flows at another.
func TestMergeJoinsRecordsOfOneEpoch(t *testing.T) {
	requests := Record{Server: "s", Epoch: 3, Warm: true}
	flows := Record{Server: "s", Epoch: 3, WarmFlows: true}
	a, b := coldTable(), coldTable()
	a.Merge(0, []Record{requests})
	b.Merge(0, []Record{flows})
	a.Merge(0, []Record{flows})
	b.Merge(0, []Record{requests})
	require.Equal(t, a.All(), b.All())
	require.Equal(t, []Record{{Server: "s", Epoch: 3}}, a.All())
	require.Equal(t, a.Hash(), b.Hash())
}

// Guards against a health endpoint that is down for good and keeps a server out
// of service for good: it failed the server again right after each pause, before
// traffic could try it.
func TestDeadEndpointLeavesTimeToTryTheServer(t *testing.T) {
	table := coldTable()
	tried := 0
	for now := model.Time(time.Second); now < model.Time(time.Minute); now = now.Add(time.Second) {
		table.Reported(now, "s", Report{}, true)
		table.Tick(now)
		if table.Standing(now.Add(500*time.Millisecond), "s").NewWork {
			tried++
		}
	}
	require.GreaterOrEqual(t, tried, 30, "seconds of a minute in which traffic may try the server")
	require.Equal(t, Failed, table.Standing(model.Time(time.Minute), "s").State, "the endpoint still counts without traffic")
}
