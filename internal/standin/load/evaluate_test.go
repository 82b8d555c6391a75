package load

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/savorytiller/savorytiller/internal/standin/backend"
	"github.com/savorytiller/savorytiller/internal/standin/deployment"
)

var runStart = time.Unix(1000, 0)

func at(seconds float64) time.Time {
	return runStart.Add(time.Duration(seconds * float64(time.Second)))
}

func postResult(o outcome, attempts ...attempt) operationResult {
	return operationResult{service: "line-control", class: "writes", startedAt: runStart, duration: time.Millisecond, outcome: o,
		attempts: attempts}
}

func runsAt(operation string, seconds ...float64) []backend.Record {
	record := backend.Record{ID: "line-01", Service: "line-control", Undisturbed: true}
	for _, s := range seconds {
		record.Requests.Runs = append(record.Requests.Runs, backend.Run{Operation: operation, At: at(s).UnixNano()})
	}
	return []backend.Record{record}
}

func evaluateResults(t *testing.T, records []backend.Record, results ...any) *Report {
	t.Helper()
	d, err := deployment.Get("factory")
	require.NoError(t, err)
	d.Services = nil // no feeds are expected
	collected := newRunResults(runStart)
	for _, r := range results {
		collected.add(r)
	}
	return evaluate(Options{}, d, collected, records)
}

// Guards against an evaluation that misses a broken promise or reports one that
// was kept: each row breaks one promise or none.
func TestEvaluateReportsBrokenPromises(t *testing.T) {
	once := attempt{operation: "k", sentAt: at(0), outcome: completed}
	refused := attempt{operation: "k", sentAt: at(0), outcome: notRun}
	unanswered := attempt{operation: "k", sentAt: at(0), outcome: unknown}
	retried := attempt{operation: "k.2", sentAt: at(2), outcome: completed}
	truncated := attempt{operation: "k", sentAt: at(0), outcome: unknown, reason: reasonTruncated}
	reset := feedResult{service: "line-control", server: "line-01", source: "127.0.0.1:9", end: feedReset, openedAt: at(0), endedAt: at(20)}
	closed := feedResult{service: "line-control", server: "line-01", source: "127.0.0.1:9", end: feedClosed, openedAt: at(0), endedAt: at(20)}
	crashed := []backend.Record{{ID: "line-01", OutageStarts: []int64{at(19).UnixNano()}}}
	crashedBefore := []backend.Record{{ID: "line-01", OutageStarts: []int64{at(-10).UnixNano()}}}
	unknownAt := func(s float64) []backend.Record {
		return []backend.Record{{ID: "line-02", Flows: backend.FlowRecord{Broken: []backend.UnknownFlowPacket{{Source: "127.0.0.1:9", At: at(s).UnixNano()}}}}}
	}
	wrongResponse := postResult(completed, once)
	wrongResponse.responseError = "answer to another request"
	rows := []struct {
		name    string
		records []backend.Record
		result  any
		broken  string
	}{
		{"completed once", runsAt("k", 0.1), postResult(completed, once), ""},
		{"ran twice", runsAt("k", 0.1, 0.2), postResult(completed, once), PromiseAtMostOnce},
		{"ran twice under unknown outcome", runsAt("k", 0.1, 0.2), postResult(unknown, unanswered), PromiseAtMostOnce},
		{"unknown and ran once", runsAt("k", 0.1), postResult(unknown, unanswered), ""},
		{"connection broken before the run", nil, postResult(unknown, truncated), ""},
		{"connection broken while it ran", runsAt("k", 0.1), postResult(unknown, truncated), PromiseGracefulShutdown},
		{"completed without a run", nil, postResult(completed, once), PromiseLostWork},
		{"refused and ran", runsAt("k", 0.1), postResult(notRun, refused), PromiseNotRun},
		{"refused, ran before the next attempt", runsAt("k", 0.1), postResult(completed, refused, retried), PromiseNotRun},
		{"refused, then completed under a new key", runsAt("k.2", 2.1), postResult(completed, refused, retried), ""},
		{"answer to another request", runsAt("k", 0.1), wrongResponse, PromiseWholeAnswer},
		{"feed reset", nil, reset, PromisePlannedChange},
		{"feed reset after a crash of its server", crashed, reset, ""},
		{"feed opened long after a crash of its server", crashedBefore, reset, PromisePlannedChange},
		{"packet of an open flow at another server", unknownAt(10), closed, PromisePlannedChange},
		{"late packet of an ended flow", unknownAt(21), closed, ""},
		{"packet for another service", []backend.Record{{Flows: backend.FlowRecord{CrossService: 1}}}, nil, PromiseNoCrossService},
		{"request for another service", []backend.Record{{Requests: backend.RequestRecord{WrongHost: 1}}}, nil, PromiseNoCrossService},
		{"too many flows for a cold server", []backend.Record{{Flows: backend.FlowRecord{ColdExcess: 1}}}, nil, PromiseColdStart},
		{"too many requests for a cold server", []backend.Record{{Requests: backend.RequestRecord{ColdExcess: 1}}}, nil, PromiseColdStart},
		{"packets for a withdrawn zone", []backend.Record{{Flows: backend.FlowRecord{LateZone: 1}}}, nil, PromiseZoneWithdrawn},
		{"new work for a leaving server", []backend.Record{{Requests: backend.RequestRecord{LateNew: 1}}}, nil, PromiseLeavingServer},
		{"too many connections", []backend.Record{{Flows: backend.FlowRecord{OverConnections: 1}}}, nil, PromiseConnections},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			r := evaluateResults(t, row.records, row.result)
			if row.broken == "" {
				require.Empty(t, r.Promises)
				require.True(t, r.Passed)
				return
			}
			require.Len(t, r.Promises, 1)
			require.NotZero(t, r.Promises[row.broken].Count)
			require.False(t, r.Passed)
		})
	}
}

// Guards against a run that passes because no operation or feed succeeded.
func TestEvaluateFailsWithoutService(t *testing.T) {
	d, err := deployment.Get("factory")
	require.NoError(t, err)
	r := evaluate(Options{MinService: 0.9}, d, newRunResults(runStart), nil)
	require.False(t, r.Passed)
	r = evaluate(Options{MinService: 0.9}, &deployment.Deployment{}, func() *runResults {
		results := newRunResults(runStart)
		results.add(postResult(notRun))
		return results
	}(), nil)
	require.NotZero(t, r.Promises[PromiseService].Count)
	r = evaluate(Options{MinService: 0.9}, &deployment.Deployment{}, func() *runResults {
		results := newRunResults(runStart)
		results.add(feedResult{end: feedRefused, openedAt: at(0)})
		return results
	}(), nil)
	require.NotZero(t, r.Promises[PromiseService].Count)
}
