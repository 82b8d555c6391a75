package registry

import (
	"slices"
	"time"

	"github.com/savorytiller/savorytiller/internal/core/belief"
	"github.com/savorytiller/savorytiller/internal/core/catalog"
	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/core/peer"
)

// In each zone only a few instances repeat the probes of an unreachable server on the short
// schedule. When it answers one of them, the report goes to the relay of the zone, down the
// tree of the zone and to the relays of the other zones, and each instance that could not
// reach the server probes it once. Without a report an instance probes the server after
// the longest interval.

// repeatersPerZone is the number of instances of a zone that repeat the probes of a server on the
// short schedule: the home of the server and its two successors. One of them is left while
// the deaths of two are not yet noticed.
const repeatersPerZone = 3

// maxRecoveriesPerMessage keeps a message below 1,000 bytes.
const maxRecoveriesPerMessage = 24

// recoveries is what the machine knows about servers that answer again.
type recoveries struct {
	// knownAt is when the recovery of each run was last reported, by this or another instance.
	knownAt map[catalog.ServerRun]model.Time
	// toSend are the recoveries to send once nextAt has come, in the order of the reports.
	toSend []recovery
	nextAt model.Time
}

func newRecoveries() recoveries {
	return recoveries{knownAt: map[catalog.ServerRun]model.Time{}}
}

// recovery is a report to be sent to the relay of the own zone, down its tree, and to the relays
// of the other zones.
type recovery struct {
	run                           catalog.ServerRun
	toRelay, toZone, toOtherZones bool
}

// leaveRepeats delays the next probe of an unreachable server unless this instance is one of those
// that repeat it on the short schedule.
func (m *machine) leaveRepeats(server *catalog.ServerEntry) {
	var ranked [repeatersPerZone]*model.Member
	self := m.peers.table.Self().ID
	repeaters := m.peers.members.RankHomes(ranked[:0], server.ID, m.zone, repeatersPerZone)
	if !slices.ContainsFunc(repeaters, func(r *model.Member) bool { return r.ID == self }) {
		m.catalog.LeaveRepeats(server.Run())
	}
}

// reportRecovery reports a server that was lost until a probe reached it, unless another
// instance has reported that. ProbeUnknown means that it accepted the connection.
func (m *machine) reportRecovery(server *catalog.ServerEntry, result belief.ProbeResult) {
	run := server.Run()
	if result == belief.Ended || !m.catalog.Lost(run) || !m.learnRecovery(run) {
		return
	}
	relay := m.isRelay()
	// The children get it from here, because the report that comes back down the tree is not news.
	m.recoveries.toSend = append(m.recoveries.toSend, recovery{run: run, toRelay: !relay, toZone: true, toOtherZones: relay})
}

// learnRecovery reports whether the recovery of a run was not reported recently.
func (m *machine) learnRecovery(run catalog.ServerRun) bool {
	if at, known := m.recoveries.knownAt[run]; known && m.now.Sub(at) < reportHoldDown {
		return false
	}
	m.recoveries.knownAt[run] = m.now
	return true
}

// receiveRecoveries requests probes of the servers that another instance reports to answer again,
// and forwards the report down the tree. The relay also passes reports of its zone to the relays of
// the others. An instance that was taken for the relay passes reports to the one that it knows.
func (m *machine) receiveRecoveries(message *peer.Message) {
	ownZone, relay := message.From.Zone == m.zone, m.isRelay()
	for _, run := range message.RecoveredServers {
		if !m.learnRecovery(run) {
			continue
		}
		m.catalog.RecordReportedRecovery(m.now, run)
		fromParent := m.peers.tree.isParent(message.From.ID)
		m.recoveries.toSend = append(m.recoveries.toSend, recovery{run: run, toRelay: !relay && !fromParent, toZone: true, toOtherZones: relay && ownZone})
	}
}

// sendRecoveries sends the queued reports, at most maxReportsPerSecond servers and
// maxReportMessagesPerSecond messages per second.
func (m *machine) sendRecoveries() {
	r := &m.recoveries
	if len(r.toSend) == 0 {
		return
	}
	if m.now.Before(r.nextAt) {
		m.scheduleWake(r.nextAt)
		return
	}
	batch := r.toSend[:min(len(r.toSend), maxRecoveriesPerMessage)]
	messages := 0
	if relay := m.peers.members.LargestIn(m.zone, dutyKey); relay != nil {
		messages += m.sendRecovered([]model.Member{*relay}, batch, func(x *recovery) bool { return x.toRelay })
	}
	messages += m.sendRecovered(m.peers.tree.children(), batch, func(x *recovery) bool { return x.toZone })
	messages += m.sendRecovered(m.otherRelays(), batch, func(x *recovery) bool { return x.toOtherZones })
	r.nextAt = m.now.Add(max(reportPause(messages), time.Duration(len(batch))*time.Second/maxReportsPerSecond))
	r.toSend = slices.Delete(r.toSend, 0, len(batch))
	if len(r.toSend) > 0 {
		m.scheduleWake(r.nextAt)
	}
}

// sendRecovered sends the selected recoveries and returns the number of messages.
func (m *machine) sendRecovered(recipients []model.Member, batch []recovery, selected func(*recovery) bool) int {
	var runs []catalog.ServerRun
	for i := range batch {
		if selected(&batch[i]) {
			runs = append(runs, batch[i].run)
		}
	}
	if len(runs) == 0 {
		return 0
	}
	for _, to := range recipients {
		message := m.newMessage(peer.Gossip, to.ID)
		message.RecoveredServers = runs
		m.send(to, message)
	}
	return len(recipients)
}
