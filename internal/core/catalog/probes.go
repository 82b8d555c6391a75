package catalog

import (
	"cmp"
	"slices"
	"time"

	"github.com/savorytiller/savorytiller/internal/core/belief"
	"github.com/savorytiller/savorytiller/internal/core/model"
)

// Intervals of probes.
const (
	// minProbeInterval is the least time between two probes of a suspect server.
	minProbeInterval = 500 * time.Millisecond
	// minUnreachableInterval and maxUnreachableInterval bound the time between two probes
	// of an unreachable server. It starts at the minimum, so that the server gets flows
	// again soon after a short partition, and doubles with each failure.
	minUnreachableInterval = 700 * time.Millisecond
	maxUnreachableInterval = 4 * time.Second
	// maxPromptInterval replaces maxUnreachableInterval for a server whose address does not
	// respond, because other instances wait for the report of this one. A closed port is
	// left out: each probe of it is reported to the whole fleet.
	maxPromptInterval = time.Second
)

// maxEarlyEnds limits the reports of ends that are kept for runs without a known entry.
const maxEarlyEnds = 4096

// Probe is a probe that is due.
type Probe struct {
	Server     ServerEntry
	HealthPath string
	// Repeated is set if an earlier probe failed and no flow has suspected the server since.
	Repeated bool
}

// MarkSuspect requests a probe of a run of a server that did not respond as of a given time.
func (c *Catalog) MarkSuspect(at model.Time, r ServerRun) {
	if s := c.servers[r]; s != nil && s.SeeSuspicion(at) {
		c.probeCandidates[r] = s
	}
}

// MarkReported requests a probe of a run that another instance did not reach at a given time,
// unless this one is probing it or has not reached it either.
func (c *Catalog) MarkReported(at model.Time, r ServerRun) {
	if s := c.servers[r]; s != nil && s.ProbingSince == 0 && !s.ProbeFailed() {
		c.MarkSuspect(at, r)
	}
}

// DueProbes returns at most limit servers to probe now and marks them as being probed.
// next is when the next probe is due: now if more than limit are, 0 for none.
// Unreachable servers are probed again even if no flow suspects them, but only if
// zoneReachable reports that their zone is reachable.
func (c *Catalog) DueProbes(now model.Time, limit int, zoneReachable func(model.Zone) bool) (due []Probe, next model.Time) {
	// Random choices that follow the probes are then the same in each run of a simulation.
	defer func() { slices.SortFunc(due, func(a, b Probe) int { return cmp.Compare(a.Server.ID, b.Server.ID) }) }()
	for r, s := range c.probeCandidates {
		suspect := s.SuspectedAt != 0
		if s.EndProven() || !suspect && !s.RepeatsProbe() {
			delete(c.probeCandidates, r)
			continue
		}
		if s.ProbingSince != 0 {
			continue
		}
		last, interval := s.fullyProbedAt, minProbeInterval
		if !suspect {
			if !zoneReachable(s.entry.Zone) {
				continue
			}
			last, interval = s.probedAt, s.retryDelay
		}
		if at := last.Add(interval); last != 0 && at.After(now) {
			if next == 0 || at.Before(next) {
				next = at
			}
			continue
		}
		if len(due) == limit {
			return due, now
		}
		s.ProbingSince, s.SuspectedAt = now, 0
		c.changed = c.changed || !s.ProbeFailed()
		due = append(due, Probe{Server: s.entry, HealthPath: c.healthPath(s.entry.Service), Repeated: !suspect})
	}
	return due, next
}

// healthPath returns the path of the health endpoint of a service's servers, or "/" if the
// configuration lacks the service.
func (c *Catalog) healthPath(service string) string {
	if c.config != nil {
		for i := range c.config.Services {
			if c.config.Services[i].Name == service {
				return c.config.Services[i].HealthPath
			}
		}
	}
	return "/"
}

// RecordProbe records the result of a probe that was sent at sentAt, except a repeated one that
// failed. It reports whether the result differs from the previous one.
func (c *Catalog) RecordProbe(sentAt, now model.Time, r ServerRun, result belief.ProbeResult) bool {
	s := c.servers[r]
	if s == nil {
		return false
	}
	s.probedAt, s.fullyProbedAt = now, now
	before, failedBefore := s.ProbeResult, s.ProbeFailed()
	s.SeeProbe(sentAt, result)
	c.noteContact(now, s)
	s.backOff()
	if !failedBefore || !s.ProbeFailed() {
		s.retryDelay = minUnreachableInterval
	}
	if s.RepeatsProbe() {
		c.probeCandidates[r] = s
	}
	c.changed = true
	return before != result
}

// RecordFailedRepeat records that a repeated probe that was sent at sentAt failed.
func (c *Catalog) RecordFailedRepeat(sentAt, now model.Time, r ServerRun) {
	s := c.servers[r]
	if s == nil {
		return
	}
	s.probedAt = now
	s.SeeFailedRepeat()
	s.backOff()
	if s.recoveryReportedAt.After(sentAt) {
		s.retryDelay = 0 // the server may have answered since this probe was sent
	}
	c.changed = true // ProbingSince is in the snapshot
}

// backOff increases the time until the next repeated probe.
func (s *server) backOff() {
	limit := maxUnreachableInterval
	if s.ProbeResult == belief.Unreachable {
		limit = maxPromptInterval
	}
	s.retryDelay = min(max(2*s.retryDelay, minUnreachableInterval), limit)
}

// LeaveRepeats delays the next repeated probe of a run by the longest interval, because other
// instances repeat it sooner and report when the server answers. A report that already
// arrived is followed.
func (c *Catalog) LeaveRepeats(r ServerRun) {
	if s := c.servers[r]; s != nil && s.retryDelay != 0 {
		s.retryDelay = maxUnreachableInterval
	}
}

// RecordReportedRecovery makes the next repeated probe of a run due at once, because another
// instance reported that the server answers again. The report alone is no evidence.
func (c *Catalog) RecordReportedRecovery(now model.Time, r ServerRun) {
	if s := c.servers[r]; s != nil && s.RepeatsProbe() {
		s.recoveryReportedAt, s.retryDelay = now, 0
	}
}

// RecordMonitorFailed records that the monitor of a run could not connect to it, or that its connection
// was broken.
func (c *Catalog) RecordMonitorFailed(r ServerRun, broken bool) {
	switch s := c.servers[r]; {
	case s == nil:
	case broken:
		s.contact = contactLost
	default:
		s.contact = max(s.contact, contactMissed)
	}
}

// Lost reports whether contact to a run was lost and no probe has been answered since.
func (c *Catalog) Lost(r ServerRun) bool {
	s := c.servers[r]
	return s != nil && s.contact == contactLost
}

// RecordReportedEnd records that another instance saw the end of a run at a given time. It reports
// whether that was news. The report of a run that is not known yet is kept until its entry comes.
func (c *Catalog) RecordReportedEnd(at model.Time, r ServerRun) bool {
	s := c.servers[r]
	switch {
	case s == nil && len(c.earlyEnds) < maxEarlyEnds:
		c.earlyEnds[r] = at
		return false
	case s == nil || !s.SeeReportedEnd(at):
		return false
	}
	c.changed = true
	return true
}

// applyEarlyEnd applies a report that came before the entry of a run.
func (c *Catalog) applyEarlyEnd(r ServerRun, s *server) {
	if at, ok := c.earlyEnds[r]; ok {
		s.SeeReportedEnd(at)
		delete(c.earlyEnds, r)
	}
}

// EndedRuns returns at most limit runs that were seen to end, here or elsewhere, and that instances
// without that knowledge would use. Those of the given zone come first.
func (c *Catalog) EndedRuns(now model.Time, zone model.Zone, limit int) []ServerRun {
	var inZone, others []ServerRun
	for r, s := range c.servers {
		if !s.WithheldAfterEnd(now, &c.registry) {
			continue
		}
		if s.entry.Zone == zone {
			inZone = append(inZone, r)
		} else {
			others = append(others, r)
		}
	}
	all := append(inZone, others...)
	return all[:min(len(all), limit)]
}

// EndSeen reports whether this instance saw the end of a run, and whether something has answered at
// its address since.
func (c *Catalog) EndSeen(r ServerRun) (seen, answered bool) {
	s := c.servers[r]
	if s == nil || s.EndSeenAt == 0 || s.EndReported {
		return false, false
	}
	return true, s.AnsweredAt != 0
}

// Monitored returns the servers of a zone that this instance monitors, as home decides: the listed
// ones, and those without an entry that still get new flows. Draining ones are left out, because
// their end is expected.
func (c *Catalog) Monitored(now model.Time, zone model.Zone, home func(model.ServerID, model.Zone) bool) []ServerEntry {
	var all []ServerEntry
	for _, s := range c.servers {
		if s.entry.Zone != zone || s.SupersededAt != 0 || s.State != model.ServerActive || !home(s.entry.ID, zone) {
			continue
		}
		if accepts, _ := s.AcceptsNewFlows(now, &c.registry); accepts || !s.Unlisted() {
			all = append(all, s.entry)
		}
	}
	slices.SortFunc(all, func(a, b ServerEntry) int { return cmp.Compare(a.ID, b.ID) })
	return all
}
