package load

import (
	"fmt"
	"slices"
	"time"

	"github.com/savorytiller/savorytiller/internal/standin/backend"
	"github.com/savorytiller/savorytiller/internal/standin/deployment"
)

// unknownMargin is the time that a reset needs to end the caller's feed.
const unknownMargin = time.Second

// judge compares the callers' view with the records of the backend servers.
func judge(options Options, d *deployment.Deployment, l *ledger, records []backend.Record) *Report {
	r := newReport(options, l)
	byServer := map[string]*backend.Record{}
	runs := map[string][]int64{}
	for i := range records {
		byServer[records[i].ID] = &records[i]
		for _, run := range records[i].Requests.Runs {
			runs[run.Operation] = append(runs[run.Operation], run.At)
		}
	}
	r.judgeFeeds(l.feeds, byServer)
	for i := range l.operations {
		r.judgeOperation(&l.operations[i], runs)
	}
	feeds := map[string]*feedResult{}
	for i := range l.feeds {
		feeds[l.feeds[i].source] = &l.feeds[i]
	}
	for i := range records {
		r.judgeServer(&records[i])
		r.judgeUnknown(&records[i], feeds)
	}
	r.Imbalance = imbalance(d, records)
	r.judgeService(d)
	r.summarize(options)
	return r
}

func (r *Report) judgeFeeds(feeds []feedResult, servers map[string]*backend.Record) {
	for i := range feeds {
		f := &feeds[i]
		r.Feeds.Messages += f.messages
		if f.end == feedRefused {
			r.Feeds.Refused++
			second := int(f.opened.Sub(r.start).Seconds())
			r.RefusedFrom[second]++
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
		if excused(f, servers[f.server]) {
			r.Feeds.Excused++
			continue
		}
		r.Feeds.Broken[string(f.end)]++
		r.violate(PromisePlannedChange, "feed of %s at %s: %s %s at %.1f s, opened at %.1f s with %d SYNs, after %d messages",
			f.service, f.server, f.end, f.other, f.ended.Sub(r.start).Seconds(), f.opened.Sub(r.start).Seconds(), f.opens, f.messages)
	}
}

// excused reports whether the feed ended because its server crashed or its zone
// was taken out of service while the feed was open.
func excused(f *feedResult, server *backend.Record) bool {
	if server == nil {
		return false
	}
	return slices.ContainsFunc(server.OutageStarts, func(from int64) bool {
		return from <= f.ended.UnixNano() && f.opened.Add(-backend.GracePeriod).UnixNano() <= from
	})
}

func (r *Report) judgeOperation(o *operationResult, runs map[string][]int64) {
	class := r.class(o.service + "/" + o.class)
	class.Started++
	class.Transmissions += len(o.attempts)
	if o.wrong != "" {
		r.violate(PromiseWholeAnswer, "%s", o.wrong)
	}
	for _, a := range o.attempts {
		if a.outcome != completed {
			class.Reasons[string(a.outcome)+" "+a.reason]++
		}
	}
	total, firstKnown := 0, time.Time{}
	for _, a := range o.attempts {
		if a.outcome != notRun && firstKnown.IsZero() {
			firstKnown = a.sentAt
		}
	}
	var seen []string
	for _, a := range o.attempts {
		if slices.Contains(seen, a.operation) {
			continue
		}
		seen = append(seen, a.operation)
		total += len(runs[a.operation])
		for _, at := range runs[a.operation] {
			// Until an attempt has another outcome, every run is one that a caller
			// was told had not happened.
			if firstKnown.IsZero() || time.Unix(0, at).Before(firstKnown) {
				r.violate(PromiseNotRun, "%s ran although refused as not run", a.operation)
			}
		}
	}
	r.judgeInterruptions(o, runs)
	switch o.outcome {
	case completed:
		class.Completed++
		if o.took <= inTime {
			class.InTime++
		}
		if total == 0 {
			r.violate(PromiseLostWork, "%s completed without a run", seen)
		}
	case notRun:
		class.NotRun++
	default:
		class.Unknown++
		if total > 0 {
			class.UnknownRan++
		}
	}
	if !o.idempotent && total > 1 {
		r.violate(PromiseAtMostOnce, "%v ran %d times", seen, total)
	}
}

// judgeInterruptions reports attempts that ran and whose connection broke before
// the answer was whole. A connection that breaks before the request runs is the
// usual race between a keep-alive connection and its close.
func (r *Report) judgeInterruptions(o *operationResult, runs map[string][]int64) {
	for i, a := range o.attempts {
		if a.reason != reasonConnection && a.reason != reasonCutOff {
			continue
		}
		ran := slices.ContainsFunc(runs[a.operation], func(at int64) bool {
			return at >= a.sentAt.UnixNano() && (i+1 == len(o.attempts) || at < o.attempts[i+1].sentAt.UnixNano())
		})
		if ran {
			r.violate(PromiseGracefulShutdown, "%s: %s while it ran", a.operation, a.reason)
		}
	}
}

func (r *Report) judgeServer(s *backend.Record) {
	count := func(promise string, n int, what string) {
		if n > 0 {
			r.violateTimes(promise, n, "%s: %d %s", s.ID, n, what)
		}
	}
	count(PromiseNoCrossService, s.Flows.CrossService, "packets for another service")
	count(PromiseNoCrossService, s.Requests.WrongHost, "requests for another service")
	count(PromiseColdStart, s.Flows.ColdExcess, "flows above the cold allowance")
	count(PromiseColdStart, s.Requests.ColdExcess, "requests above the cold allowance")
	count(PromiseZoneWithdrawn, s.Flows.LateZone, "packets after the zone was withdrawn")
	count(PromiseZoneWithdrawn, s.Requests.LateZone, "requests after the zone was withdrawn")
	count(PromiseLeavingServer, s.Flows.LateNew, "new flows while leaving")
	count(PromiseLeavingServer, s.Requests.LateNew, "new requests while leaving")
	count(PromiseConnections, s.Flows.OverConnections, "flows above the connection limit")
	r.Servers.Malformed += s.Flows.Malformed
	r.Servers.Shed += s.Requests.Shed
	r.Servers.Cancelled += s.Requests.Cancelled
	r.Servers.Expired += s.Requests.Expired
	r.Servers.Surprised += s.Flows.UnannouncedExcess + s.Requests.UnannouncedExcess
}

// judgeUnknown reports resets that no caller saw. The reset of a feed that the
// caller saw broken is judged there; packets after a feed has ended do no harm.
func (r *Report) judgeUnknown(s *backend.Record, feeds map[string]*feedResult) {
	for _, packet := range s.Flows.Broken {
		f, known := feeds[packet.Source]
		at := time.Unix(0, packet.At)
		switch {
		case !known:
			r.violate(PromisePlannedChange, "%s: packet of no known feed from %s at %.1f s", s.ID, packet.Source, at.Sub(r.start).Seconds())
		case at.Before(f.ended.Add(-unknownMargin)):
			r.violate(PromisePlannedChange, "%s: reset at %.1f s of the feed of %s at %s, open from %.1f to %.1f s", s.ID,
				at.Sub(r.start).Seconds(), f.service, f.server, f.opened.Sub(r.start).Seconds(), f.ended.Sub(r.start).Seconds())
		}
	}
}

// judgeService fails a run in which hardly anything worked: no promise is
// broken where nothing is done.
func (r *Report) judgeService(d *deployment.Deployment) {
	for _, name := range sortedKeys(r.Classes) {
		c := r.Classes[name]
		if share := float64(c.Completed) / float64(max(1, c.Started)); share < r.minService {
			r.violate(PromiseService, "%s: only %.1f %% of %d operations completed", name, 100*share, c.Started)
		}
	}
	feeds := r.Feeds.Opened + r.Feeds.Refused
	if share := float64(r.Feeds.Opened) / float64(max(1, feeds)); feeds > 0 && share < r.minService {
		r.violate(PromiseService, "only %.1f %% of %d feeds could be opened", 100*share, feeds)
	}
	wanted := 0
	for i := range d.Services {
		wanted += d.Services[i].LongFeeds
	}
	if r.Feeds.Long < int(float64(wanted)*r.minService) {
		r.violate(PromiseService, "only %d of %d long feeds opened", r.Feeds.Long, wanted)
	}
}

// imbalance returns maximum over mean across the servers of a service that were
// in ordinary service for the whole run.
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
