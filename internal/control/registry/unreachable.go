package registry

import (
	"maps"
	"time"

	"github.com/savorytiller/savorytiller/internal/core/catalog"
	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/core/peer"
)

// Limits of the reports of unreachable and ended servers.
const (
	// maxReportsPerSecond limits the servers that are probed because other instances
	// report them. Without it, the loss of many servers could cause more probes than the
	// traffic to these servers would.
	maxReportsPerSecond = 32
	// maxReportMessagesPerSecond limits the messages with reports of each kind, apart from
	// those to a relay of another zone about a single server.
	maxReportMessagesPerSecond = 64
	// reportHoldDown is how long a server that was reported by any instance is not
	// reported again.
	reportHoldDown = 2 * time.Second
)

// reportServer reports a server that a probe did not reach to the instances of the
// server's zone, in another zone through its relay. They forward most of the server's
// flows, and without the report each of them would lose some before it probes the server.
// No report is sent if this zone is cut off or the server's zone does not respond, because
// then only the path is known to have failed.
func (m *machine) reportServer(s *catalog.ServerEntry) {
	p := &m.peers
	run := s.Run()
	if at, reported := p.reportedAt[run]; reported && m.now.Sub(at) < reportHoldDown || p.cutOff || p.unresponsiveSince[s.Zone] != 0 {
		return
	}
	p.reportedAt[run] = m.now
	servers := []catalog.ServerRun{run}
	if s.Zone == m.zone {
		m.reportToOwnZone(servers)
	} else if relay := p.members.LargestIn(s.Zone, dutyKey); relay != nil {
		m.sendReport(*relay, servers)
	}
}

// reportToOwnZone reports servers to the other instances of the zone. Reports above the
// limit are dropped: when many servers fail, every instance soon detects it itself.
func (m *machine) reportToOwnZone(servers []catalog.ServerRun) {
	p := &m.peers
	if m.now.Before(p.nextReportAt) {
		return
	}
	recipients := p.tree.others()
	p.nextReportAt = m.now.Add(reportPause(len(recipients)))
	for _, to := range recipients {
		m.sendReport(to, servers)
	}
}

// reportPause returns the pause after a number of messages with reports.
func reportPause(messages int) time.Duration {
	return time.Duration(messages) * time.Second / maxReportMessagesPerSecond
}

func (m *machine) sendReport(to model.Member, servers []catalog.ServerRun) {
	message := m.newMessage(peer.Gossip, to.ID)
	message.UnreachableServers = servers
	m.send(to, message)
}

// receiveReport requests probes of the servers that another instance reports. The relay
// forwards reports from other zones to its own zone.
func (m *machine) receiveReport(message *peer.Message) {
	p := &m.peers
	if len(message.UnreachableServers) == 0 {
		return
	}
	if m.now.Sub(p.reportWindowAt) >= time.Second {
		p.reportWindowAt, p.reportWindowCount = m.now, 0
	}
	for _, s := range message.UnreachableServers {
		if p.reportWindowCount++; p.reportWindowCount > maxReportsPerSecond {
			break
		}
		p.reportedAt[s] = m.now
		m.catalog.MarkReported(m.now, s)
	}
	if m.forwardsToZone(message) {
		m.reportToOwnZone(message.UnreachableServers)
	}
}

// expireReports removes the reports that no longer suppress others, and incomplete change sets.
func (m *machine) expireReports() {
	m.peers.expirePartials(m.now)
	expired := func(_ catalog.ServerRun, at model.Time) bool { return m.now.Sub(at) >= reportHoldDown }
	maps.DeleteFunc(m.peers.reportedAt, expired)
	maps.DeleteFunc(m.ends.reportedAt, expired)
	maps.DeleteFunc(m.recoveries.knownAt, expired)
	maps.DeleteFunc(m.peers.lostAt, func(_ model.InstanceID, at model.Time) bool { return m.now.Sub(at) > zoneLossTime })
}
