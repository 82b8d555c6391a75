// Package metrics counts decisions by part and reason, keeps a histogram of
// each measured duration per tenant and class, and stores the most recent
// decisions.
package metrics

import (
	"sort"
	"strings"
	"sync"
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/port"
)

// Limits that keep the memory of the recorder bounded.
const (
	// sampleSize is the number of values that a histogram keeps. About five of
	// 512 values lie above the 99th percentile; the sample takes 8 kB.
	sampleSize = 512
	// sampleAlpha is the decay rate of a sample. It favours values of the last
	// minutes, as in the go-metrics examples.
	sampleAlpha = 0.015
	// maxHistograms is the number of histograms after which the new tenants and
	// classes of a metric share one histogram named overflowName.
	maxHistograms = 512
	overflowName  = "other"
)

// Recorder implements port.Recorder on a go-metrics registry.
type Recorder struct {
	registry gometrics.Registry
	counters sync.Map // part name to []gometrics.Counter, indexed by reason

	mu         sync.Mutex // guards histograms
	histograms map[histogramKey]gometrics.Histogram

	capacity int
	rings    sync.Map // part name to *ring
}

type histogramKey struct{ metric, tenant, class string }

var _ port.Recorder = (*Recorder)(nil)

// New returns a recorder that keeps the last capacity decisions of each part, so
// that a busy part does not evict the decisions of another.
func New(capacity int) *Recorder {
	return &Recorder{
		registry:   gometrics.NewRegistry(),
		histograms: map[histogramKey]gometrics.Histogram{},
		capacity:   capacity,
	}
}

// Count adds one to the counter of a reason within a part.
func (r *Recorder) Count(part string, reason model.Reason) {
	counters, ok := r.counters.Load(part)
	if !ok {
		counters = r.addPart(part)
	}
	all := counters.([]gometrics.Counter)
	if int(reason) < len(all) {
		all[reason].Inc(1)
	}
}

// addPart registers one counter for each reason of a part.
func (r *Recorder) addPart(part string) any {
	reasons := model.Reasons()
	counters := make([]gometrics.Counter, len(reasons))
	for i, reason := range reasons {
		name := part + "." + reason.String()
		counters[i] = r.registry.GetOrRegister(name, gometrics.NewCounter).(gometrics.Counter)
	}
	actual, _ := r.counters.LoadOrStore(part, counters)
	return actual
}

// Observe adds a duration to the histogram of a metric for a tenant and class.
func (r *Recorder) Observe(metric, tenant, class string, d time.Duration) {
	r.histogram(histogramKey{metric, tenant, class}).Update(int64(d))
}

func (r *Recorder) histogram(key histogramKey) gometrics.Histogram {
	r.mu.Lock()
	defer r.mu.Unlock()
	if h, ok := r.histograms[key]; ok {
		return h
	}
	if len(r.histograms) >= maxHistograms {
		key = histogramKey{key.metric, overflowName, overflowName}
		if h, ok := r.histograms[key]; ok {
			return h
		}
		// Past twice the limit, all new metrics share one histogram, whose metric is
		// overflowName too.
		if len(r.histograms) >= 2*maxHistograms {
			key.metric = overflowName
			if h, ok := r.histograms[key]; ok {
				return h
			}
		}
	}
	h := gometrics.NewHistogram(gometrics.NewExpDecaySample(sampleSize, sampleAlpha))
	r.histograms[key] = h
	return h
}

// Decision stores a decision and overwrites the oldest one of its part if the
// ring is full. Decisions with ReasonNone are the normal case and are not stored.
func (r *Recorder) Decision(d port.Decision) {
	if d.Reason == model.ReasonNone {
		return
	}
	kept, ok := r.rings.Load(d.Part)
	if !ok {
		kept, _ = r.rings.LoadOrStore(d.Part, &ring{entries: make([]port.Decision, r.capacity)})
	}
	kept.(*ring).add(d)
}

// Decisions returns the stored decisions, oldest first.
func (r *Recorder) Decisions() []port.Decision {
	var all []port.Decision
	r.rings.Range(func(_, kept any) bool {
		all = append(all, kept.(*ring).list()...)
		return true
	})
	sort.SliceStable(all, func(i, j int) bool { return all[i].At < all[j].At })
	return all
}

// Counter is the value of one counter.
type Counter struct {
	Part   string `json:"part"`
	Reason string `json:"reason"`
	Count  int64  `json:"count"`
}

// Histogram summarizes the durations of a metric for a tenant and class.
type Histogram struct {
	Metric string  `json:"metric"`
	Tenant string  `json:"tenant"`
	Class  string  `json:"class"`
	Count  int64   `json:"count"`
	MeanMs float64 `json:"mean_ms"`
	P50Ms  float64 `json:"p50_ms"`
	P95Ms  float64 `json:"p95_ms"`
	P99Ms  float64 `json:"p99_ms"`
	MaxMs  float64 `json:"max_ms"`
}

// Snapshot is the state of all metrics at one time.
type Snapshot struct {
	Counters   []Counter   `json:"counters"`
	Histograms []Histogram `json:"histograms"`
}

// Snapshot returns the counters that are not zero and all histograms, sorted.
func (r *Recorder) Snapshot() Snapshot {
	out := Snapshot{Counters: []Counter{}, Histograms: []Histogram{}}
	r.registry.Each(func(name string, value any) {
		counter, ok := value.(gometrics.Counter)
		if !ok || counter.Count() == 0 {
			return
		}
		dot := strings.LastIndexByte(name, '.')
		out.Counters = append(out.Counters, Counter{Part: name[:dot], Reason: name[dot+1:], Count: counter.Count()})
	})
	sort.Slice(out.Counters, func(i, j int) bool {
		a, b := out.Counters[i], out.Counters[j]
		return a.Part < b.Part || a.Part == b.Part && a.Reason < b.Reason
	})
	r.mu.Lock()
	for key, h := range r.histograms {
		out.Histograms = append(out.Histograms, summarize(key, h.Snapshot()))
	}
	r.mu.Unlock()
	sort.Slice(out.Histograms, func(i, j int) bool {
		a, b := out.Histograms[i], out.Histograms[j]
		return a.Metric+"\x00"+a.Tenant+"\x00"+a.Class < b.Metric+"\x00"+b.Tenant+"\x00"+b.Class
	})
	return out
}

func summarize(key histogramKey, h gometrics.Histogram) Histogram {
	const ms = float64(time.Millisecond)
	p := h.Percentiles([]float64{0.5, 0.95, 0.99})
	return Histogram{
		Metric: key.metric, Tenant: key.tenant, Class: key.class, Count: h.Count(),
		MeanMs: h.Mean() / ms, P50Ms: p[0] / ms, P95Ms: p[1] / ms, P99Ms: p[2] / ms, MaxMs: float64(h.Max()) / ms,
	}
}

// ring holds the most recent decisions of a part.
type ring struct {
	mu      sync.Mutex
	entries []port.Decision
	next    int
	full    bool
}

func (r *ring) add(d port.Decision) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.entries[r.next] = d
	r.next++
	if r.next == len(r.entries) {
		r.next, r.full = 0, true
	}
}

func (r *ring) list() []port.Decision {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.full {
		return append([]port.Decision{}, r.entries[:r.next]...)
	}
	return append(append([]port.Decision{}, r.entries[r.next:]...), r.entries[:r.next]...)
}
