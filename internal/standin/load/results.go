package load

import (
	"sort"
	"time"

	"github.com/rcrowley/go-metrics"
)

// inTimeLimit is the time within which a response is of use to a caller.
const inTimeLimit = time.Second

// sampleSize is the reservoir size of each latency histogram, large enough for
// every operation of a run of one minute.
const sampleSize = 1 << 16

// secondCounts counts the operations that were started in one second of the run,
// and those of them that completed within inTimeLimit.
type secondCounts struct{ started, inTime int }

// runResults collects the results of a run. perSecond is keyed by service,
// latencies (in microseconds) by service and class.
type runResults struct {
	start      time.Time
	feeds      []feedResult
	operations []operationResult
	latencies  map[string]metrics.Histogram
	perSecond  map[string][]secondCounts
}

func newRunResults(start time.Time) *runResults {
	return &runResults{start: start, latencies: map[string]metrics.Histogram{}, perSecond: map[string][]secondCounts{}}
}

func (results *runResults) add(result any) {
	switch r := result.(type) {
	case feedResult:
		results.feeds = append(results.feeds, r)
	case operationResult:
		results.addOperation(r)
	}
}

// close closes the sockets of all feeds, which runFeed leaves open.
func (results *runResults) close() {
	for i := range results.feeds {
		if results.feeds[i].conn != nil {
			_ = results.feeds[i].conn.Close()
		}
	}
}

func (results *runResults) addOperation(r operationResult) {
	results.operations = append(results.operations, r)
	second := int(r.startedAt.Sub(results.start) / time.Second)
	for len(results.perSecond[r.service]) <= second {
		results.perSecond[r.service] = append(results.perSecond[r.service], secondCounts{})
	}
	s := &results.perSecond[r.service][second]
	s.started++
	if r.outcome != completed {
		return
	}
	if r.duration <= inTimeLimit {
		s.inTime++
	}
	name := r.service + "/" + r.class
	if results.latencies[name] == nil {
		results.latencies[name] = metrics.NewHistogram(metrics.NewUniformSample(sampleSize))
	}
	results.latencies[name].Update(r.duration.Microseconds())
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}
