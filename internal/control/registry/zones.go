package registry

import (
	"time"

	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/core/peer"
)

// Times of the view of other zones.
const (
	// settledAfter is how long an instance takes part before its view of the
	// others counts for the homes of cold servers.
	settledAfter = 3 * time.Second
	// quietAfter is the time without a message from any other zone after which some
	// of their instances are asked, every askOtherEvery. cutAfter is when this zone
	// counts as cut off: two rounds of questions without an answer.
	quietAfter    = 700 * time.Millisecond
	askOtherEvery = 300 * time.Millisecond
	cutAfter      = 1300 * time.Millisecond
	// zoneQuietAfter is the time without a message from one zone after which its
	// servers are not probed.
	zoneQuietAfter = 2200 * time.Millisecond
)

// askOthers is the number of instances of other zones that are asked at a time.
const askOthers = 3

// home reports whether this instance alone may open flows on a cold server.
func (m *machine) home(server model.ServerID, zone model.Zone) bool {
	if m.now.Sub(m.peers.started) < settledAfter {
		return false
	}
	home := m.peers.placed.Home(server, zone)
	return home != nil && home.ID == m.peers.table.Self().ID
}

// heardZone reports whether a message of a zone arrived lately. The own zone can
// always be heard.
func (m *machine) heardZone(zone model.Zone) bool {
	return zone == m.zone || m.now.Sub(m.peers.heard[zone]) < zoneQuietAfter
}

// heardOther returns when the last message of another zone arrived; ok is false
// if there never was one.
func (m *machine) heardOther() (last model.Time, ok bool) {
	for zone, at := range m.peers.heard {
		if zone != m.zone {
			last, ok = max(last, at), true
		}
	}
	return last, ok
}

// askOtherZones asks instances of other zones while none is heard.
func (m *machine) askOtherZones() {
	p := &m.peers
	last, heard := m.heardOther()
	m.setCutOff(last, heard)
	if !heard && !p.table.OtherZones() {
		return
	}
	if at := max(last.Add(quietAfter), p.askOtherAt); m.now.Before(at) {
		m.wake(at)
	} else {
		p.askOtherAt = m.now.Add(askOtherEvery)
		m.wake(p.askOtherAt)
		for range askOthers {
			if to, ok := p.table.RandomOther(); ok {
				m.call(to, m.message(peer.Probe, to.ID), answerLimit, nil)
			}
		}
	}
}

// setCutOff decides whether this zone is cut off. An instance that never heard
// another zone may have started in the middle of a partition: it counts as cut off
// at first, and as long as it knows of other zones or a neighbour is cut off.
func (m *machine) setCutOff(last model.Time, heard bool) {
	p := &m.peers
	starting := m.now.Sub(p.started) < cutAfter
	told := p.toldCut != 0 && m.now.Sub(p.toldCut) < zoneQuietAfter
	cut := heard && m.now.Sub(last) >= cutAfter || !heard && (starting || told || p.table.OtherZones())
	if cut != p.cut {
		p.cut, m.changed = cut, true
		if !starting {
			m.log.Info("zone cut off", "cut_off", cut, "heard", heard, "heard_ms_ago", m.now.Sub(last).Milliseconds())
		}
	}
	if !cut {
		m.wake(last.Add(cutAfter))
	} else if starting {
		m.wake(p.started.Add(cutAfter))
	}
}
