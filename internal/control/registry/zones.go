package registry

import (
	"maps"
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
	// doubtTime is the same after a server of another zone was suspected: three
	// rounds of questions, one every doubtEvery, and time for their answers. doubtAgain
	// is the least time between two such doubts.
	doubtTime  = 350 * time.Millisecond
	doubtEvery = 100 * time.Millisecond
	doubtAgain = 500 * time.Millisecond
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

// doubt asks other zones at once because a server of one does not answer: this zone or
// that one may be cut off.
func (m *machine) doubt(zone model.Zone) {
	p := &m.peers
	if zone == m.zone || p.heard[zone] == 0 || p.doubtAt != 0 || p.silent[zone] != 0 || m.now.Before(p.doubtedAt.Add(doubtAgain)) {
		return
	}
	p.doubtAt, p.doubtedAt, p.askOtherAt, p.doubtZone = m.now, m.now, m.now, zone
	m.wake(m.now)
}

// setSilent keeps which zones do not answer.
func (m *machine) setSilent() {
	p := &m.peers
	for zone, since := range p.silent {
		if p.heard[zone].After(since) {
			delete(p.silent, zone)
			m.changed = true
		}
	}
	switch {
	case p.doubtAt == 0:
	case p.heard[p.doubtZone].After(p.doubtAt):
		p.doubtAt = 0
	case m.now.Sub(p.doubtAt) >= doubtTime:
		p.silent[p.doubtZone], p.doubtAt, m.changed = p.doubtAt, 0, true
		m.log.Info("zone does not answer", "zone", p.doubtZone, "heard_ms_ago", m.now.Sub(p.heard[p.doubtZone]).Milliseconds())
	default:
		m.wake(p.doubtAt.Add(doubtTime))
	}
}

// silence returns since when zones do not answer: the silent ones, and all others if
// this one is cut off.
func (m *machine) silence() map[model.Zone]model.Time {
	p := &m.peers
	silent := maps.Clone(p.silent)
	if p.cut {
		for zone, at := range p.heard {
			if zone != m.zone && silent[zone] == 0 {
				silent[zone] = at
			}
		}
	}
	return silent
}

// askOtherZones asks instances of other zones while none is heard.
func (m *machine) askOtherZones() {
	p := &m.peers
	last, heard := m.heardOther()
	m.setCutOff(last, heard)
	m.setSilent()
	if !heard && !p.table.HasOtherZones() {
		return
	}
	from, every := last.Add(quietAfter), askOtherEvery
	if p.doubtAt != 0 {
		from, every = p.doubtAt, doubtEvery
	}
	if at := max(from, p.askOtherAt); m.now.Before(at) {
		m.wake(at)
	} else {
		p.askOtherAt = m.now.Add(every)
		m.wake(p.askOtherAt)
		for range askOthers {
			if to, ok := p.table.RandomInOtherZone(); ok {
				m.call(to, m.message(peer.Probe, to.ID), answerLimit, nil)
			}
		}
		if p.doubtAt != 0 {
			m.askZone(p.doubtZone)
		}
	}
}

// askZone asks two instances of a zone for a sign of life.
func (m *machine) askZone(zone model.Zone) {
	for range 2 {
		if to := m.peers.placed.OwnerExcept(zone, m.random.Uint64(), m.peers.table.Self().ID); to != nil {
			m.call(*to, m.message(peer.Probe, to.ID), answerLimit, nil)
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
	silent := m.now.Sub(last) >= cutAfter || p.doubtAt != 0 && !last.After(p.doubtAt) && m.now.Sub(p.doubtAt) >= doubtTime
	if p.cut {
		silent = !last.After(p.cutAt) // any message ends it
	}
	cut := heard && silent || !heard && (starting || told || p.table.HasOtherZones())
	if cut != p.cut {
		p.cut, p.cutAt, m.changed = cut, m.now, true
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
