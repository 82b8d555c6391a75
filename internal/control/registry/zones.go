package registry

import (
	"maps"
	"time"

	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/core/peer"
)

// Times of the start of an instance and of the detection of unresponsive zones.
const (
	// homeDelay is the time after the first contact with another instance in which an instance does
	// not act as the home of cold servers, because it may not know all others yet.
	homeDelay = 3 * time.Second
	// otherZoneProbeAfter is the time without a message from any other zone after which
	// some instances of other zones are probed, every otherZoneProbeInterval. After
	// cutOffAfter without such a message this zone counts as cut off: two rounds of
	// probes were not answered.
	otherZoneProbeAfter    = 700 * time.Millisecond
	otherZoneProbeInterval = 300 * time.Millisecond
	cutOffAfter            = 1300 * time.Millisecond
	// zoneSuspicionTimeout replaces cutOffAfter while a zone is suspected because one of
	// its servers did not respond. If no message from that zone arrives in this time, the
	// zone counts as unresponsive. It allows for three rounds of probes, one every
	// zoneSuspicionProbeInterval, and for their answers. minZoneSuspicionInterval is the
	// minimum time between the starts of two suspicions.
	zoneSuspicionTimeout       = 350 * time.Millisecond
	zoneSuspicionProbeInterval = 100 * time.Millisecond
	minZoneSuspicionInterval   = 500 * time.Millisecond
	// zoneUnreachableAfter is the time without a message from a zone after which its
	// unreachable servers are not probed again. It is also how long a report that this
	// zone is cut off stays valid.
	zoneUnreachableAfter = 2200 * time.Millisecond
)

// otherZoneProbes is the number of instances of other zones that are probed in a round after
// the first one.
const otherZoneProbes = 3

// isHome reports whether this instance is the only one that may send new flows to a cold
// server.
func (m *machine) isHome(server model.ServerID, zone model.Zone) bool {
	return m.knowsZone() && m.ranksAsHome(server, zone)
}

// knowsZone reports whether this instance certainly knows the others of its zone. Without contact to
// any seed there may be others that are as much alone as this one.
func (m *machine) knowsZone() bool {
	p := &m.peers
	since := p.contactAt
	if since == 0 && !p.hasOtherSeeds() {
		since = p.started
	}
	return since != 0 && m.now.Sub(since) >= homeDelay
}

// ranksAsHome reports whether this instance is the home of a server among the instances that it knows.
func (m *machine) ranksAsHome(server model.ServerID, zone model.Zone) bool {
	home := m.peers.members.Home(server, zone)
	return home != nil && home.ID == m.peers.table.Self().ID
}

// zoneReachable reports whether a message from a zone arrived recently. It is always true
// for the own zone.
func (m *machine) zoneReachable(zone model.Zone) bool {
	return zone == m.zone || m.now.Sub(m.peers.lastMessageAt[zone]) < zoneUnreachableAfter
}

// lastFromOtherZones returns when the last message from any other zone arrived. ok is
// false if none ever did.
func (m *machine) lastFromOtherZones() (last model.Time, ok bool) {
	for zone, at := range m.peers.lastMessageAt {
		if zone != m.zone {
			last, ok = max(last, at), true
		}
	}
	return last, ok
}

// suspectZone starts to probe other zones immediately because a server in the given zone
// did not respond. Either that zone or this one may be cut off.
func (m *machine) suspectZone(zone model.Zone) {
	p := &m.peers
	if zone == m.zone || p.lastMessageAt[zone] == 0 || p.suspectedZoneAt != 0 || p.unresponsiveSince[zone] != 0 || m.now.Before(p.lastSuspicionAt.Add(minZoneSuspicionInterval)) {
		return
	}
	p.suspectedZoneAt, p.lastSuspicionAt, p.otherZoneProbeAt, p.suspectedZone = m.now, m.now, m.now, zone
	m.scheduleWake(m.now)
}

// updateUnresponsiveZones updates the set of zones that do not respond.
func (m *machine) updateUnresponsiveZones() {
	p := &m.peers
	for zone, since := range p.unresponsiveSince {
		if p.lastMessageAt[zone].After(since) {
			delete(p.unresponsiveSince, zone)
			m.changed = true
		}
	}
	switch {
	case p.suspectedZoneAt == 0:
	case p.lastMessageAt[p.suspectedZone].After(p.suspectedZoneAt):
		p.suspectedZoneAt = 0
	case m.now.Sub(p.suspectedZoneAt) >= zoneSuspicionTimeout:
		p.unresponsiveSince[p.suspectedZone], p.suspectedZoneAt, m.changed = p.suspectedZoneAt, 0, true
		m.log.Info("zone does not respond", "zone", p.suspectedZone, "heard_ms_ago", m.now.Sub(p.lastMessageAt[p.suspectedZone]).Milliseconds())
	default:
		m.scheduleWake(p.suspectedZoneAt.Add(zoneSuspicionTimeout))
	}
}

// unresponsiveZones returns the zones that do not respond, with the start of each outage.
// If this zone is cut off, these are all other zones.
func (m *machine) unresponsiveZones() map[model.Zone]model.Time {
	p := &m.peers
	since := maps.Clone(p.unresponsiveSince)
	if p.cutOff {
		for zone, at := range p.lastMessageAt {
			if zone != m.zone && since[zone] == 0 {
				since[zone] = at
			}
		}
	}
	return since
}

// probeOtherZones probes instances of other zones if no messages arrive from there, or if
// a zone is suspected.
func (m *machine) probeOtherZones() {
	p := &m.peers
	last, ok := m.lastFromOtherZones()
	m.updateCutOff(last, ok)
	m.updateUnresponsiveZones()
	if !ok && !p.table.HasOtherZones() {
		return
	}
	from, interval := last.Add(otherZoneProbeAfter), otherZoneProbeInterval
	if p.suspectedZoneAt != 0 {
		from, interval = p.suspectedZoneAt, zoneSuspicionProbeInterval
	}
	if at := max(from, p.otherZoneProbeAt); m.now.Before(at) {
		m.scheduleWake(at)
	} else {
		p.otherZoneProbeAt = m.now.Add(interval)
		m.scheduleWake(p.otherZoneProbeAt)
		// A gap between two messages is common, so the first round is a single probe.
		probes := otherZoneProbes
		if p.suspectedZoneAt == 0 && m.now.Sub(last) < otherZoneProbeAfter+otherZoneProbeInterval {
			probes = 1
		}
		for range probes {
			if to, ok := p.table.RandomInOtherZone(); ok {
				m.call(to, m.newMessage(peer.Probe, to.ID), answerTimeout, nil)
			}
		}
		if p.suspectedZoneAt != 0 {
			m.probeZone(p.suspectedZone)
		}
	}
}

// probeZone sends two probes to random instances of a zone.
func (m *machine) probeZone(zone model.Zone) {
	for range 2 {
		if to := m.peers.members.OwnerExcept(zone, m.random.Uint64(), m.peers.table.Self().ID); to != nil {
			m.call(*to, m.newMessage(peer.Probe, to.ID), answerTimeout, nil)
		}
	}
}

// updateCutOff decides whether this zone is cut off. An instance that never received a
// message from another zone may have started during a partition. It treats its zone as cut
// off for cutOffAfter, and longer if it knows of other zones or if another instance of the
// zone reports that the zone is cut off.
func (m *machine) updateCutOff(last model.Time, received bool) {
	p := &m.peers
	starting := m.now.Sub(p.started) < cutOffAfter
	reported := p.cutOffReportedAt != 0 && m.now.Sub(p.cutOffReportedAt) < zoneUnreachableAfter
	timedOut := m.now.Sub(last) >= cutOffAfter || p.suspectedZoneAt != 0 && !last.After(p.suspectedZoneAt) && m.now.Sub(p.suspectedZoneAt) >= zoneSuspicionTimeout
	if p.cutOff {
		timedOut = !last.After(p.cutOffChangedAt) // any message from another zone ends the cut-off
	}
	cut := received && timedOut || !received && (starting || reported || p.table.HasOtherZones())
	if cut != p.cutOff {
		p.cutOff, p.cutOffChangedAt, m.changed = cut, m.now, true
		if !starting {
			m.log.Info("zone cut off", "cut_off", cut, "heard", received, "heard_ms_ago", m.now.Sub(last).Milliseconds())
		}
	}
	if !cut {
		m.scheduleWake(last.Add(cutOffAfter))
	} else if starting {
		m.scheduleWake(p.started.Add(cutOffAfter))
	}
}
