package load

import (
	"sort"
	"time"

	"github.com/rcrowley/go-metrics"
)

// inTime is the time within which an answer is of use to a caller.
const inTime = time.Second

// sampleSize is the reservoir of each latency histogram; large enough to hold
// every operation of a run of a minute.
const sampleSize = 1 << 16

// second counts the operations that were started in one second.
type second struct{ started, inTime int }

// ledger owns the results of a run.
type ledger struct {
	start      time.Time
	feeds      []feedResult
	operations []operationResult
	latency    map[string]metrics.Histogram
	seconds    map[string][]second
}

func newLedger(start time.Time) *ledger {
	return &ledger{start: start, latency: map[string]metrics.Histogram{}, seconds: map[string][]second{}}
}

func (l *ledger) add(result any) {
	switch r := result.(type) {
	case feedResult:
		l.feeds = append(l.feeds, r)
	case operationResult:
		l.addOperation(r)
	}
}

// close closes the sockets of all feeds.
func (l *ledger) close() {
	for i := range l.feeds {
		if l.feeds[i].conn != nil {
			_ = l.feeds[i].conn.Close()
		}
	}
}

func (l *ledger) addOperation(r operationResult) {
	l.operations = append(l.operations, r)
	at := int(r.started.Sub(l.start) / time.Second)
	for len(l.seconds[r.service]) <= at {
		l.seconds[r.service] = append(l.seconds[r.service], second{})
	}
	s := &l.seconds[r.service][at]
	s.started++
	if r.outcome != completed {
		return
	}
	if r.took <= inTime {
		s.inTime++
	}
	name := r.service + "/" + r.class
	if l.latency[name] == nil {
		l.latency[name] = metrics.NewHistogram(metrics.NewUniformSample(sampleSize))
	}
	l.latency[name].Update(r.took.Microseconds())
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}
