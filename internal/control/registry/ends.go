package registry

import (
	"context"
	"slices"
	"time"

	"github.com/savorytiller/savorytiller/internal/core/belief"
	"github.com/savorytiller/savorytiller/internal/core/catalog"
	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/core/peer"
)

// A server that restarts without contact to the registry keeps the entry of its former run,
// which says that it is warm. So the home instance of each server holds a connection to it. If
// that is closed and the port is closed too, the run has ended, and the instance tells the
// others: until the server writes an entry, or has answered for some time, it gets no new
// flows. That goes on for a server whose entry was removed while it still gets new flows.

const (
	// scanInterval is the time between two scans for servers to monitor, and minScanInterval
	// that between two of them if servers were listed meanwhile.
	scanInterval    = time.Second
	minScanInterval = 50 * time.Millisecond
	// firstScanDelay is the least time from the start to the first scan, in which the instance learns
	// of the others of its zone.
	firstScanDelay = 500 * time.Millisecond
	// monitorDelay is the time until a server that could not be reached is monitored again.
	monitorDelay = 500 * time.Millisecond
	// maxMonitors limits the connections that this instance holds.
	maxMonitors = 256
	// joinReportTime is the time in which an instance that joins takes over the ends that others know,
	// and maxJoinReports the number of ends that it is told by each.
	joinReportTime = 3 * time.Second
	maxJoinReports = 10 * maxEndsPerMessage
	// maxEndsPerMessage keeps a message below 1,000 bytes.
	maxEndsPerMessage = 24
)

// monitor is the state of the connection to a server.
type monitor struct {
	running bool
	nextAt  model.Time // when the next connection may be started
}

// ends is what the machine knows about ends of servers beyond the catalog.
type ends struct {
	// scannedAt is the time of the last scan for servers to monitor, scanAt that of the next one.
	scannedAt, scanAt model.Time
	monitors          map[catalog.ServerRun]*monitor
	// toReport are the ends to report once nextReportAt has come.
	toReport     map[catalog.ServerRun]bool
	nextReportAt model.Time
	// doubtsToReport are the runs that may have ended, to report at the same time.
	doubtsToReport map[catalog.ServerRun]bool
	// reportedAt is when each end was last reported, by this or another instance.
	reportedAt map[catalog.ServerRun]model.Time
}

func newEnds() ends {
	return ends{monitors: map[catalog.ServerRun]*monitor{}, toReport: map[catalog.ServerRun]bool{}, doubtsToReport: map[catalog.ServerRun]bool{}, reportedAt: map[catalog.ServerRun]model.Time{}}
}

// evMonitored is the result of a monitor, as of the time at which it was known.
type evMonitored struct {
	server catalog.ServerEntry
	at     model.Time
	result belief.ProbeResult
}

// effMonitor monitors a server until effStopMonitor.
type effMonitor struct{ server catalog.ServerEntry }

func (f effMonitor) run(ctx context.Context, o *Options) event {
	result := o.Prober.Monitor(ctx, f.server.Address)
	return evMonitored{f.server, o.Clock.Now(), result}
}

// effStopMonitor stops monitoring a server.
type effStopMonitor struct{ server catalog.ServerRun }

func (effStopMonitor) run(context.Context, *Options) event { return nil }

// startMonitors monitors the servers of which this instance is the home, and stops the other
// monitors.
func (m *machine) startMonitors() {
	e := &m.ends
	if at := max(e.scanAt, m.firstScanAt()); m.now.Before(at) {
		m.scheduleWake(at)
		return
	}
	e.scannedAt, e.scanAt = m.now, m.now.Add(scanInterval)
	m.scheduleWake(e.scanAt)
	wanted := map[catalog.ServerRun]bool{}
	for _, server := range m.catalog.Monitored(m.now, m.zone, m.ranksAsHome) {
		if len(wanted) == maxMonitors {
			break
		}
		run := server.Run()
		wanted[run] = true
		if e.monitors[run] == nil {
			e.monitors[run] = &monitor{}
		}
		m.startMonitor(&server, e.monitors[run])
	}
	for run, mon := range e.monitors {
		if !wanted[run] {
			if mon.running {
				m.effects = append(m.effects, effStopMonitor{run})
			}
			delete(e.monitors, run)
		}
	}
}

// firstScanAt returns when the first scan is due: once the instances of the zone are known, so that each
// does not monitor all servers, but not later than homeDelay.
func (m *machine) firstScanAt() model.Time {
	p := &m.peers
	if alone := len(p.tree.members) == 1; p.zoneJoined || p.contactAt != 0 && alone {
		return p.started.Add(firstScanDelay)
	}
	return p.started.Add(homeDelay)
}

// scanSoon makes the next scan for servers to monitor early, because one was listed.
func (e *ends) scanSoon() { e.scanAt = min(e.scanAt, e.scannedAt.Add(minScanInterval)) }

func (m *machine) startMonitor(server *catalog.ServerEntry, mon *monitor) {
	if mon.running || m.now.Before(mon.nextAt) {
		return
	}
	mon.running = true
	m.effects = append(m.effects, effMonitor{*server})
}

// monitorDone records that a server has ended, or could not be reached.
func (m *machine) monitorDone(e evMonitored) {
	run := e.server.Run()
	mon := m.ends.monitors[run]
	if mon == nil || !mon.running {
		return // it was stopped
	}
	mon.running, mon.nextAt = false, m.now.Add(monitorDelay)
	switch e.result {
	case belief.Ended:
		m.log.Info("server closed its connection and its port", "server", e.server.ID, "zone", e.server.Zone, "started", e.server.Started)
		m.recordProbe(&e.server, e.at, belief.Ended)
	case belief.Unreachable:
		m.catalog.RecordMonitorFailed(run, true)
		m.reportDoubt(&e.server) // it may answer already, and a probe of a busy server is inconclusive
		m.catalog.MarkSuspect(e.at, run)
	default:
		m.catalog.RecordMonitorFailed(run, false)
		m.catalog.MarkSuspect(e.at, run)
	}
}

// reportEnd reports to the other instances that this one saw the end of a run, or an answer after
// it. Only the home of the server repeats a recent report.
func (m *machine) reportEnd(server *catalog.ServerEntry) {
	run := server.Run()
	seen, _ := m.catalog.EndSeen(run)
	at, reported := m.ends.reportedAt[run]
	if !seen || reported && m.now.Sub(at) < reportHoldDown && !m.isHome(server.ID, server.Zone) {
		return
	}
	m.ends.reportedAt[run] = m.now
	m.ends.toReport[run] = true
}

// sendEndReports sends the queued reports of ends and doubts to the own zone and to the relays of the
// others.
func (m *machine) sendEndReports() {
	e := &m.ends
	if len(e.toReport) == 0 && len(e.doubtsToReport) == 0 {
		return
	}
	if m.now.Before(e.nextReportAt) {
		m.scheduleWake(e.nextReportAt)
		return
	}
	recipients := append(m.peers.tree.others(), m.otherRelays()...)
	messages := m.sendRuns(peer.Gossip, recipients, takeRuns(e.toReport)) + m.sendRuns(peer.Doubt, recipients, takeRuns(e.doubtsToReport))
	e.nextReportAt = m.now.Add(reportPause(messages))
}

// takeRuns removes as many runs as a message holds. The others follow with the next message.
func takeRuns(queued map[catalog.ServerRun]bool) (runs []catalog.ServerRun) {
	for run := range queued {
		if len(runs) == maxEndsPerMessage {
			break
		}
		delete(queued, run)
		runs = append(runs, run)
	}
	return runs
}

// sendKnownEnds tells an instance that joins which runs have ended that it may find listed. The
// reports of them were sent before it started.
func (m *machine) sendKnownEnds(to model.Member) {
	for runs := range slices.Chunk(m.catalog.EndedRuns(m.now, to.Zone, maxJoinReports), maxEndsPerMessage) {
		message := m.newMessage(peer.Gossip, to.ID)
		message.Updates, message.Join, message.EndedServers = nil, true, runs
		m.send(to, message)
	}
}

// sendRuns reports runs that have ended or, in a Doubt, may have. It returns the number of messages.
func (m *machine) sendRuns(kind peer.Kind, recipients []model.Member, runs []catalog.ServerRun) int {
	if len(runs) == 0 {
		return 0
	}
	for _, to := range recipients {
		message := m.newMessage(kind, to.ID)
		message.EndedServers = runs
		m.send(to, message)
	}
	return len(recipients)
}

// receiveEnds records the ends of runs that another instance reports. The relay forwards
// reports from other zones to its own zone. What an instance that joins is told is not forwarded, and
// only news to an instance that has just started or was cut off: repeated among all, it would never end.
func (m *machine) receiveEnds(message *peer.Message) {
	if message.Join && m.now.Sub(m.peers.joinedAt) > joinReportTime {
		return
	}
	var ended []catalog.ServerRun
	for _, run := range message.EndedServers {
		if m.catalog.RecordReportedEnd(m.now, run) {
			m.log.Info("another instance saw the end of a server", "server", run.ID, "started", run.Started, "instance", message.From.ID)
		}
		m.ends.reportedAt[run] = m.now
		ended = append(ended, run)
	}
	if m.forwardsToZone(message) && !message.Join {
		m.sendRuns(peer.Gossip, m.peers.tree.others(), ended)
	}
}
