package load

import (
	"fmt"
	"slices"
	"time"

	"github.com/savorytiller/savorytiller/internal/standin/backend"
	"github.com/savorytiller/savorytiller/internal/standin/deployment"
)

// resetPropagation is the maximum time between a reset that a server sends and the
// end of the feed at the caller, which receives it.
const resetPropagation = time.Second

// evaluate compares the results of the callers with the records of the backend
// servers and returns the report.
func evaluate(options Options, d *deployment.Deployment, results *runResults, records []backend.Record) *Report {
	r := newReport(options, results)
	byServer := map[string]*backend.Record{}
	runs := map[string][]int64{}
	for i := range records {
		byServer[records[i].ID] = &records[i]
		for _, run := range records[i].Requests.Runs {
			runs[run.Operation] = append(runs[run.Operation], run.At)
		}
	}
	r.evaluateFeeds(results.feeds, byServer)
	for i := range results.operations {
		r.evaluateOperation(&results.operations[i], runs)
	}
	feeds := map[string]*feedResult{}
	for i := range results.feeds {
		feeds[results.feeds[i].source] = &results.feeds[i]
	}
	for i := range records {
		r.evaluateServer(&records[i])
		r.evaluateUnknownPackets(&records[i], feeds)
	}
	r.Imbalance = imbalance(d, records)
	r.evaluateServiceLevel(d)
	r.setPassed(options)
	return r
}

func (r *Report) evaluateFeeds(feeds []feedResult, servers map[string]*backend.Record) {
	for i := range feeds {
		f := &feeds[i]
		r.Feeds.Messages += f.messages
		if f.end == feedRefused {
			r.Feeds.Refused++
			second := int(f.openedAt.Sub(r.start).Seconds())
			r.RefusedBySecond[second]++
			continue
		}
		r.Feeds.Opened++
		if !f.short {
			r.Feeds.Long++
		}
		if f.end == feedClosed {
			r.Feeds.LongestGapMs = max(r.Feeds.LongestGapMs, f.longestGap.Milliseconds())
			continue
		}
		if endedByOutage(f, servers[f.server]) {
			r.Feeds.Excused++
			continue
		}
		r.Feeds.Broken[string(f.end)]++
		r.addViolation(PromisePlannedChange, "feed of %s at %s: %s %s at %.1f s, opened at %.1f s with %d SYNs, after %d messages",
			f.service, f.server, f.end, f.movedTo, f.endedAt.Sub(r.start).Seconds(), f.openedAt.Sub(r.start).Seconds(), f.synCount, f.messages)
	}
}

// endedByOutage reports whether the feed ended because its server crashed or its zone
// was taken out of service while the feed was open or at most backend.GracePeriod
// before it opened.
func endedByOutage(f *feedResult, server *backend.Record) bool {
	if server == nil {
		return false
	}
	return slices.ContainsFunc(server.OutageStarts, func(from int64) bool {
		return from <= f.endedAt.UnixNano() && f.openedAt.Add(-backend.GracePeriod).UnixNano() <= from
	})
}

func (r *Report) evaluateOperation(o *operationResult, runs map[string][]int64) {
	class := r.class(o.service + "/" + o.class)
	class.Started++
	class.Transmissions += len(o.attempts)
	if o.responseError != "" {
		r.addViolation(PromiseWholeAnswer, "%s", o.responseError)
	}
	for _, a := range o.attempts {
		if a.outcome != completed {
			class.Reasons[string(a.outcome)+" "+a.reason]++
		}
	}
	totalRuns, firstPossibleRun := 0, time.Time{}
	for _, a := range o.attempts {
		if a.outcome != notRun && firstPossibleRun.IsZero() {
			firstPossibleRun = a.sentAt
		}
	}
	var keys []string
	for _, a := range o.attempts {
		if slices.Contains(keys, a.operation) {
			continue
		}
		keys = append(keys, a.operation)
		totalRuns += len(runs[a.operation])
		for _, at := range runs[a.operation] {
			// All attempts before the first one with another outcome were reported
			// to the caller as not run, so a run in that time breaks the promise.
			if firstPossibleRun.IsZero() || time.Unix(0, at).Before(firstPossibleRun) {
				r.addViolation(PromiseNotRun, "%s ran although refused as not run", a.operation)
			}
		}
	}
	r.evaluateInterruptions(o, runs)
	switch o.outcome {
	case completed:
		class.Completed++
		if o.duration <= inTimeLimit {
			class.InTime++
		}
		if totalRuns == 0 {
			r.addViolation(PromiseLostWork, "%s completed without a run", keys)
		}
	case notRun:
		class.NotRun++
	default:
		class.Unknown++
		if totalRuns > 0 {
			class.UnknownRan++
		}
	}
	if !o.idempotent && totalRuns > 1 {
		r.addViolation(PromiseAtMostOnce, "%v ran %d times", keys, totalRuns)
	}
}

// evaluateInterruptions reports attempts that ran and whose connection broke before
// the response was complete. A connection that breaks before the request runs is the
// usual race between a new request and the close of an idle keep-alive connection.
func (r *Report) evaluateInterruptions(o *operationResult, runs map[string][]int64) {
	for i, a := range o.attempts {
		if a.reason != reasonConnection && a.reason != reasonTruncated {
			continue
		}
		ran := slices.ContainsFunc(runs[a.operation], func(at int64) bool {
			return at >= a.sentAt.UnixNano() && (i+1 == len(o.attempts) || at < o.attempts[i+1].sentAt.UnixNano())
		})
		if ran {
			r.addViolation(PromiseGracefulShutdown, "%s: %s while it ran", a.operation, a.reason)
		}
	}
}

func (r *Report) evaluateServer(s *backend.Record) {
	count := func(promise string, n int, what string) {
		if n > 0 {
			r.addViolations(promise, n, "%s: %d %s", s.ID, n, what)
		}
	}
	count(PromiseNoCrossService, s.Flows.CrossService, "packets for another service")
	count(PromiseNoCrossService, s.Requests.WrongHost, "requests for another service")
	count(PromiseColdStart, s.Flows.ColdExcess, "flows above the capacity of a cold server")
	count(PromiseColdStart, s.Requests.ColdExcess, "requests above the capacity of a cold server")
	count(PromiseZoneWithdrawn, s.Flows.LateZone, "packets after the zone was withdrawn")
	count(PromiseZoneWithdrawn, s.Requests.LateZone, "requests after the zone was withdrawn")
	count(PromiseLeavingServer, s.Flows.LateNew, "new flows while leaving")
	count(PromiseLeavingServer, s.Requests.LateNew, "new requests while leaving")
	count(PromiseConnections, s.Flows.OverConnections, "flows above the connection limit")
	r.Servers.Malformed += s.Flows.Malformed
	r.Servers.Shed += s.Requests.Shed
	r.Servers.Cancelled += s.Requests.Cancelled
	r.Servers.Expired += s.Requests.Expired
	r.Servers.UnannouncedExcess += s.Flows.UnannouncedExcess + s.Requests.UnannouncedExcess
}

// evaluateUnknownPackets reports resets that no caller received. Resets of feeds that
// broke are counted by evaluateFeeds; packets after the end of a feed do no harm.
func (r *Report) evaluateUnknownPackets(s *backend.Record, feeds map[string]*feedResult) {
	for _, packet := range s.Flows.Broken {
		f, known := feeds[packet.Source]
		at := time.Unix(0, packet.At)
		switch {
		case !known:
			r.addViolation(PromisePlannedChange, "%s: packet that belongs to no feed, from %s at %.1f s", s.ID, packet.Source, at.Sub(r.start).Seconds())
		case at.Before(f.endedAt.Add(-resetPropagation)):
			r.addViolation(PromisePlannedChange, "%s: reset at %.1f s of the feed of %s at %s, open from %.1f to %.1f s", s.ID,
				at.Sub(r.start).Seconds(), f.service, f.server, f.openedAt.Sub(r.start).Seconds(), f.endedAt.Sub(r.start).Seconds())
		}
	}
}

// evaluateServiceLevel fails a run in which too few operations or feeds succeeded,
// because without traffic no other promise can be broken.
func (r *Report) evaluateServiceLevel(d *deployment.Deployment) {
	for _, name := range sortedKeys(r.Classes) {
		c := r.Classes[name]
		if share := float64(c.Completed) / float64(max(1, c.Started)); share < r.minService {
			r.addViolation(PromiseService, "%s: only %.1f %% of %d operations completed", name, 100*share, c.Started)
		}
	}
	feeds := r.Feeds.Opened + r.Feeds.Refused
	if share := float64(r.Feeds.Opened) / float64(max(1, feeds)); feeds > 0 && share < r.minService {
		r.addViolation(PromiseService, "only %.1f %% of %d feeds could be opened", 100*share, feeds)
	}
	expectedFeeds := 0
	for i := range d.Services {
		expectedFeeds += d.Services[i].LongFeeds
	}
	if r.Feeds.Long < int(float64(expectedFeeds)*r.minService) {
		r.addViolation(PromiseService, "only %d of %d long feeds opened", r.Feeds.Long, expectedFeeds)
	}
}

// imbalance returns the ratio of maximum to mean load for the flows and requests of
// each service, by "service/flows" and "service/requests". Servers whose capacity or
// role a command changed during the run are left out.
func imbalance(d *deployment.Deployment, records []backend.Record) map[string]float64 {
	result := map[string]float64{}
	for i := range d.Services {
		var flows, requests []int
		for j := range records {
			if records[j].Service == d.Services[i].Name && records[j].Undisturbed {
				flows = append(flows, records[j].Flows.MaxOpen)
				requests = append(requests, records[j].Requests.Completed)
			}
		}
		if v := maxOverMean(flows); v > 0 {
			result[fmt.Sprintf("%s/flows", d.Services[i].Name)] = v
		}
		if v := maxOverMean(requests); v > 0 {
			result[fmt.Sprintf("%s/requests", d.Services[i].Name)] = v
		}
	}
	return result
}

func maxOverMean(values []int) float64 {
	sum := 0
	for _, v := range values {
		sum += v
	}
	if sum == 0 {
		return 0
	}
	return float64(slices.Max(values)) * float64(len(values)) / float64(sum)
}
