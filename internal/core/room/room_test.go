package room

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/savorytiller/savorytiller/internal/core/model"
)

const (
	interval = 250 * time.Millisecond
	start    = model.Time(10 * time.Second)
)

var classS = Class{Service: "s", Zone: "z", Priority: 1}

func newReport(sequence uint64, inProgress float64) *Report {
	return &Report{Sequence: sequence, Interval: interval, Instances: 1, Classes: map[Class]Counters{classS: {InProgress: inProgress, Completed: 5, Latency: 500 * time.Millisecond}}}
}

func inProgressOf(a *Aggregator, now model.Time) float64 {
	return a.Subtree(now, interval, func(model.InstanceID) bool { return true }).Classes[classS].InProgress
}

// Guards against a report that replaces a newer one or one of a later run, that counts before all of
// its parts have arrived, or after three intervals.
func TestOnlyTheNewestCompleteReportCounts(t *testing.T) {
	a := NewAggregator("z", time.Second)
	child, restarted := Sender{"n1", 1}, Sender{"n1", 2}
	a.ReceiveChild(start, child, newReport(5, 2), 0, 1)
	require.EqualValues(t, 2, inProgressOf(a, start))
	a.ReceiveChild(start, child, newReport(4, 7), 0, 1)
	a.ReceiveChild(start, child, newReport(5, 7), 0, 1)
	a.ReceiveChild(start, child, newReport(6, 7), 0, 2)
	a.ReceiveChild(start, child, newReport(6, 7), 0, 2)
	require.EqualValues(t, 2, inProgressOf(a, start), "older, repeated or incomplete")
	a.ReceiveChild(start, child, &Report{Sequence: 6, Interval: interval, Classes: map[Class]Counters{{Service: "t"}: {}}}, 1, 2)
	require.EqualValues(t, 7, inProgressOf(a, start))
	a.ReceiveChild(start, restarted, newReport(1, 3), 0, 1)
	a.ReceiveChild(start, child, newReport(8, 9), 0, 1)
	require.EqualValues(t, 3, inProgressOf(a, start), "of the later run")
	require.EqualValues(t, 3, inProgressOf(a, start.Add(3*interval-1)))
	require.Zero(t, inProgressOf(a, start.Add(3*interval)))
}

// Guards against rates that depend on the intervals at which instances report.
func TestCountersAreScaledToTheInterval(t *testing.T) {
	a := NewAggregator("z", time.Second)
	slow := newReport(1, 1)
	slow.Interval = time.Second
	a.ReceiveChild(start, Sender{ID: "n1"}, slow, 0, 1)
	a.AddOwn(start, newReport(1, 2))
	a.AddOwn(start, newReport(2, 3))
	sum := a.Subtree(start, interval, func(model.InstanceID) bool { return true })
	got := sum.Classes[classS]
	require.InDelta(t, 5+1.25, got.Completed, 0.001)
	require.EqualValues(t, 4, got.InProgress, "the newest of this instance and that of the child")
	require.Equal(t, 2, sum.Instances)
}

// Guards against a baseline from too few requests, one that follows a shortage, and one that stays
// after the servers were replaced by slower ones.
func TestBaselineIsTheLeastMeanOfTheLastMinute(t *testing.T) {
	a := NewAggregator("z", time.Second)
	now := start
	observe := func(d time.Duration, completed float64, latency time.Duration) time.Duration {
		for end := now.Add(d); now.Before(end); now = now.Add(interval) {
			r := newReport(uint64(now), 1)
			r.Classes[classS] = Counters{Completed: completed, Latency: time.Duration(completed) * latency}
			a.SetFleet(now, Sender{ID: "n0"}, r)
		}
		return a.View(now, Slots{"s": {"z": 4}}, 1).Services["s"].BaseLatency
	}
	require.Zero(t, observe(5*time.Second, 1, 10*time.Millisecond), "4 requests per second")
	require.Equal(t, 50*time.Millisecond, observe(3*time.Second, 10, 50*time.Millisecond))
	require.Equal(t, 50*time.Millisecond, observe(50*time.Second, 10, 400*time.Millisecond))
	require.Equal(t, 400*time.Millisecond, observe(15*time.Second, 10, 400*time.Millisecond))
}

// Guards against samples of servers that stay after the server has changed or left.
func TestSamplesOfServersDecayAndExpire(t *testing.T) {
	a := NewAggregator("z", time.Second)
	r := newReport(1, 1)
	r.Servers = map[uint32]ServerLoad{7: {Token: 7, InProgress: 2, Samples: 10, Failed: 5, LogLatency: 4}}
	a.SetFleet(start, Sender{ID: "n0"}, r)
	at := func(d time.Duration) (ServerLoad, bool) {
		a.fleet.at = start.Add(d)
		load, ok := a.View(start.Add(d), nil, 1).Servers[7]
		return load, ok
	}
	load, _ := at(0)
	require.Equal(t, ServerLoad{Token: 7, InProgress: 2, Samples: 10, Failed: 5, LogLatency: 4, UpdatedAt: start}, load)
	load, _ = at(sampleDecay)
	require.InDelta(t, 3.68, load.Samples, 0.01)
	require.InDelta(t, 0.5, load.Failed/load.Samples, 0.01)
	require.Zero(t, load.InProgress)
	_, ok := at(sampleLifetime)
	require.False(t, ok)
}

// Guards against reports that grow with the number of servers or classes, and against servers whose
// turn never comes.
func TestReportsAreLimitedAndServersRotate(t *testing.T) {
	r := newReport(1, 1)
	r.Servers = map[uint32]ServerLoad{}
	for i := range uint32(150) {
		r.Servers[i*1000] = ServerLoad{Token: i * 1000}
		r.Classes[Class{Service: fmt.Sprint(i)}] = Counters{InProgress: float64(i)}
	}
	var rotation Rotation
	seen := map[uint32]int{}
	for range 10 {
		out := rotation.Select(r)
		require.Len(t, out.Servers, 16)
		require.Len(t, out.Classes, MaxClasses)
		require.Contains(t, out.Classes, Class{Service: "149"})
		for token := range out.Servers {
			seen[token]++
		}
	}
	require.Len(t, seen, 150)
	r.Interval = 10 * time.Second
	require.Len(t, rotation.Select(r).Servers, serversPerSecond)
}
