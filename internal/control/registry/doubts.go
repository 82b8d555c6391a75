package registry

import (
	"time"

	"github.com/savorytiller/savorytiller/internal/core/catalog"
	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/core/peer"
	"github.com/savorytiller/savorytiller/internal/core/placement"
)

// What is known of the runs of servers comes from their homes, which hold connections to them. So
// the servers of a zone are in doubt (see package catalog) when this instance starts there, and when
// all known instances of another zone were lost: they may have lost power together with the servers.

const (
	// contactDelay is the time from the start in which homes connect to the servers of the zone: the
	// first scan and the attempts to connect.
	contactDelay = firstScanDelay + 500*time.Millisecond
	// zoneLossTime is the time within which all known instances of another zone have to be lost so
	// that the zone counts as lost. It covers their detection.
	zoneLossTime = 10 * time.Second
	// settlingJitterPart divides the jitter of other checks. The first of several instances that
	// started together confirms the view for all.
	settlingJitterPart = 3
)

// settlingCheckAt returns when a check is due that ends doubts; 0 for none. Each instance does one after
// its start, and the relay one after the doubts that it knows, on behalf of its zone.
func (m *machine) settlingCheckAt() model.Time {
	doubtedAt := m.peers.started
	if m.isRelay() { // others wait for its confirmation
		doubtedAt = max(doubtedAt, m.catalog.LastDoubtAt())
	}
	at := doubtedAt.Add(catalog.EntryDelay)
	if m.failedChecks > 0 || !max(m.checkSentAt, m.confirmedAt).Before(at) {
		return 0
	}
	return at.Add(m.checkJitter / settlingJitterPart)
}

// reportDoubt reports to the other instances that a server may have started again, if this one is its
// home.
func (m *machine) reportDoubt(server *catalog.ServerEntry) {
	if run := server.Run(); m.ranksAsHome(server.ID, server.Zone) {
		m.log.Info("lost contact to a server, it may have started again", "server", run.ID, "started", run.Started, "zone", server.Zone)
		m.catalog.DoubtByHome(m.now, run)
		m.ends.doubtsToReport[run] = true
	}
}

// receiveDoubts records the doubts of a home. The relay forwards those from other zones to its own.
func (m *machine) receiveDoubts(message *peer.Message) {
	for _, run := range message.EndedServers {
		m.catalog.DoubtByHome(m.now, run)
		m.log.Info("the home of a server had lost contact, it may have started again", "server", run.ID, "started", run.Started, "instance", message.From.ID)
	}
	if m.forwardsToZone(message) {
		m.sendRuns(peer.Doubt, m.peers.tree.others(), message.EndedServers)
	}
}

// doubtOwnZone puts the servers of the own zone in doubt at the start. While the registry is out of
// reach they remain so until the homes have been connected for a cold start.
func (m *machine) doubtOwnZone() { m.catalog.DoubtZone(m.now, contactDelay, m.zone) }

// doubtLostZones puts the servers of other zones in doubt whose instances were all lost without an
// announcement. The previous members that are no longer there, or have started again, were lost now.
func (m *machine) doubtLostZones(previous *placement.Members) {
	p := &m.peers
	zones := map[model.Zone]bool{}
	for _, was := range previous.All() {
		now, known := p.members.Get(was.ID)
		if was.Zone == m.zone || was.Liveness != model.Live || known && now.Incarnation == was.Incarnation {
			continue
		}
		if _, inTable := p.table.Get(was.ID); !inTable {
			continue // another instance took its place as a contact
		}
		p.lostAt[was.ID], zones[was.Zone] = m.now, true
	}
	for zone := range zones {
		if m.zoneLost(zone) {
			m.log.Info("all known instances of a zone were lost", "zone", zone)
			m.catalog.DoubtZone(m.now, 0, zone)
		}
	}
}

// zoneLost reports whether all known instances of a zone were lost recently.
func (m *machine) zoneLost(zone model.Zone) bool {
	for _, member := range m.peers.members.All() {
		if at, lost := m.peers.lostAt[member.ID]; member.Zone == zone && (!lost || m.now.Sub(at) > zoneLossTime) {
			return false
		}
	}
	return true
}
