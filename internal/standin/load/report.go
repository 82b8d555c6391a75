package load

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

// Names of the promises of design section 2 and of further checks: LostWork
// (completed without a run), Connections (connection limit exceeded) and Service
// (too few operations or feeds succeeded).
const (
	PromisePlannedChange    = "PlannedChange"
	PromiseNoCrossService   = "NoCrossService"
	PromiseColdStart        = "ColdStart"
	PromiseZoneWithdrawn    = "ZoneWithdrawn"
	PromiseWholeAnswer      = "WholeAnswer"
	PromiseNotRun           = "NotRun"
	PromiseAtMostOnce       = "AtMostOnce"
	PromiseLeavingServer    = "LeavingServer"
	PromiseGracefulShutdown = "GracefulShutdown"
	PromiseLostWork         = "LostWork"
	PromiseConnections      = "Connections"
	PromiseService          = "Service"
)

var promises = []string{PromisePlannedChange, PromiseNoCrossService, PromiseColdStart, PromiseZoneWithdrawn,
	PromiseWholeAnswer, PromiseNotRun, PromiseAtMostOnce, PromiseLeavingServer, PromiseGracefulShutdown, PromiseLostWork,
	PromiseConnections, PromiseService}

// brokenByCrashes lists the promises that crashes can break, because they cover only
// planned changes and shutdowns.
var brokenByCrashes = []string{PromisePlannedChange, PromiseGracefulShutdown}

// maxExamples is the maximum number of examples for each promise in the report.
const maxExamples = 5

// Violations are the violations of one promise.
type Violations struct {
	Count    int      `json:"count"`
	Examples []string `json:"examples,omitempty"`
}

// Feeds is the summary of all feeds.
type Feeds struct {
	Opened int `json:"opened"`
	// Long counts the opened feeds that were to stay open for the whole run.
	Long int `json:"long"`
	// Refused counts feeds that could not be opened.
	Refused  int `json:"refused"`
	Messages int `json:"messages"`
	// Excused counts feeds that ended because their server crashed or their zone was
	// withdrawn.
	Excused int `json:"excused"`
	// Broken counts the other broken feeds by the way in which they ended.
	Broken map[string]int `json:"broken"`
	// LongestGapMs is the longest time between two messages of an unbroken feed.
	LongestGapMs int64 `json:"longest_gap_ms"`
}

// Class is the summary of the operations of one service and request class. InTime
// counts operations completed within inTimeLimit, UnknownRan those that ran although
// their outcome is unknown to the caller. Reasons counts attempts that were not
// completed, by outcome and reason.
type Class struct {
	Started       int            `json:"started"`
	Transmissions int            `json:"transmissions"`
	Completed     int            `json:"completed"`
	InTime        int            `json:"in_time"`
	NotRun        int            `json:"not_run"`
	Unknown       int            `json:"unknown"`
	UnknownRan    int            `json:"unknown_ran"`
	Reasons       map[string]int `json:"reasons"`
	// LatencyMs holds the latency percentiles of completed operations in milliseconds.
	LatencyMs map[string]float64 `json:"latency_ms"`
}

// Servers sums up counts of the backend servers that do not affect the result.
// UnannouncedExcess counts flows and requests above the capacity of servers that became
// cold without warning.
type Servers struct {
	Malformed         int `json:"malformed"`
	Shed              int `json:"shed"`
	Cancelled         int `json:"cancelled"`
	Expired           int `json:"expired"`
	UnannouncedExcess int `json:"surprised"`
}

// Report is the report of a run.
type Report struct {
	Deployment string                `json:"deployment"`
	Seed       uint64                `json:"seed"`
	Seconds    float64               `json:"seconds"`
	Passed     bool                  `json:"passed"`
	Promises   map[string]Violations `json:"promises"`
	Feeds      Feeds                 `json:"feeds"`
	Classes    map[string]*Class     `json:"classes"`
	Servers    Servers               `json:"servers"`
	// Imbalance is the ratio of maximum to mean load of the servers of a service.
	Imbalance map[string]float64 `json:"imbalance"`
	// RefusedBySecond counts the feeds that could not be opened, by the second of
	// the run in which the first SYN was sent.
	RefusedBySecond map[int]int `json:"refused_from_second"`
	// InTimeBySecond is the share of operations completed within inTimeLimit, by
	// service and by the second of the run in which they started.
	InTimeBySecond map[string][]float64 `json:"service_per_second"`

	start      time.Time
	minService float64
}

func newReport(options Options, results *runResults) *Report {
	r := &Report{Deployment: options.Deployment, Seed: options.Seed, Seconds: options.Duration.Seconds(),
		Promises: map[string]Violations{}, Classes: map[string]*Class{}, InTimeBySecond: map[string][]float64{}, RefusedBySecond: map[int]int{},
		Feeds: Feeds{Broken: map[string]int{}}, start: results.start, minService: options.MinService}
	for name, seconds := range results.perSecond {
		for _, s := range seconds {
			r.InTimeBySecond[name] = append(r.InTimeBySecond[name], float64(s.inTime)/float64(max(1, s.started)))
		}
	}
	for name, histogram := range results.latencies {
		percentiles := map[string]float64{"max": float64(histogram.Max()) / 1000}
		for _, p := range []float64{0.5, 0.95, 0.99} {
			percentiles[fmt.Sprintf("p%.0f", 100*p)] = histogram.Percentile(p) / 1000
		}
		r.class(name).LatencyMs = percentiles
	}
	return r
}

func (r *Report) class(name string) *Class {
	if r.Classes[name] == nil {
		r.Classes[name] = &Class{Reasons: map[string]int{}}
	}
	return r.Classes[name]
}

func (r *Report) addViolation(promise, format string, args ...any) {
	r.addViolations(promise, 1, format, args...)
}

func (r *Report) addViolations(promise string, n int, format string, args ...any) {
	v := r.Promises[promise]
	v.Count += n
	if len(v.Examples) < maxExamples {
		v.Examples = append(v.Examples, fmt.Sprintf(format, args...))
	}
	r.Promises[promise] = v
}

// setPassed sets Passed to whether all promises that apply to the run were kept.
func (r *Report) setPassed(options Options) {
	r.Passed = true
	for promise, v := range r.Promises {
		if v.Count > 0 && !(options.Unplanned && slices.Contains(brokenByCrashes, promise)) {
			r.Passed = false
		}
	}
}

// Write prints the report as text.
func (r *Report) Write(w io.Writer) {
	fmt.Fprintf(w, "%s, seed %d, %.0f s\n", r.Deployment, r.Seed, r.Seconds)
	fmt.Fprintf(w, "  feeds: %d opened (%d long), %d refused, %d messages, %d ended with their server or zone, broken %v, longest gap %d ms\n",
		r.Feeds.Opened, r.Feeds.Long, r.Feeds.Refused, r.Feeds.Messages, r.Feeds.Excused, r.Feeds.Broken, r.Feeds.LongestGapMs)
	if r.Feeds.Refused > 0 {
		fmt.Fprintf(w, "  feeds refused, by second of the first SYN: %v\n", r.RefusedBySecond)
	}
	for _, name := range sortedKeys(r.Classes) {
		c := r.Classes[name]
		fmt.Fprintf(w, "  %s: %d started, %d completed (%d in time), %d not run, %d unknown (%d ran), %d transmissions, p50 %.1f p99 %.1f max %.1f ms\n",
			name, c.Started, c.Completed, c.InTime, c.NotRun, c.Unknown, c.UnknownRan, c.Transmissions,
			c.LatencyMs["p50"], c.LatencyMs["p99"], c.LatencyMs["max"])
		for _, reason := range sortedKeys(c.Reasons) {
			fmt.Fprintf(w, "    %s: %d\n", reason, c.Reasons[reason])
		}
	}
	for _, name := range sortedKeys(r.InTimeBySecond) {
		fmt.Fprintf(w, "  %s answered in time, %% per second: %s\n", name, percentages(r.InTimeBySecond[name]))
	}
	for _, name := range sortedKeys(r.Imbalance) {
		fmt.Fprintf(w, "  imbalance %s: %.2f\n", name, r.Imbalance[name])
	}
	fmt.Fprintf(w, "  servers: %d shed, %d cancelled, %d past deadline, %d above capacity after turning cold without warning, %d malformed packets\n",
		r.Servers.Shed, r.Servers.Cancelled, r.Servers.Expired, r.Servers.UnannouncedExcess, r.Servers.Malformed)
	for _, promise := range promises {
		v := r.Promises[promise]
		fmt.Fprintf(w, "  promise %-16s %d broken\n", promise, v.Count)
		for _, example := range v.Examples {
			fmt.Fprintf(w, "    %s\n", example)
		}
	}
	if r.Passed {
		fmt.Fprintln(w, "  verdict: passed")
	} else {
		fmt.Fprintln(w, "  verdict: FAILED")
	}
}

func percentages(shares []float64) string {
	var b strings.Builder
	for _, s := range shares {
		fmt.Fprintf(&b, "%.0f ", 100*s)
	}
	return strings.TrimSpace(b.String())
}
