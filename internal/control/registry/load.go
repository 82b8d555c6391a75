package registry

import (
	"time"

	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/core/peer"
	"github.com/savorytiller/savorytiller/internal/core/room"
)

const (
	// idleLoadInterval is the time between two load reports while no service of the zone has more
	// than half of its slots in use.
	idleLoadInterval = time.Second
	// busyShare is the share of the slots of a service in the zone above which reports are sent at
	// the shorter interval.
	busyShare = 0.5
	// zoneLoadInterval is the least time between two reports of a relay to those of other zones. They
	// serve spillover, which is slower than admission, and a relay also has the most children.
	zoneLoadInterval = 500 * time.Millisecond
	// maxLoadParts limits the parts of a report. The most entries of one need 3.
	maxLoadParts = 8
)

// loads is the state of the machine that concerns load reports.
type loads struct {
	self room.Sender
	// interval is Options.LoadInterval.
	interval time.Duration
	sum      *room.Aggregator
	sequence uint64
	// nextAt is when the next report is due; 0 while there is no load.
	nextAt model.Time
	// rotations select the servers of the reports of each scope.
	rotations [peer.FleetScope + 1]room.Rotation
	slots     room.Slots
	// view is the published view; nil before the first one. changed is set if it is new.
	view    *room.View
	changed bool
}

func newLoads(o *Options) loads {
	return loads{self: room.Sender{ID: o.Self.ID, Incarnation: o.Self.Incarnation}, interval: o.LoadInterval,
		sum: room.NewAggregator(o.Self.Zone, max(idleLoadInterval, o.LoadInterval))}
}

// addOwnLoad adds a report of the traffic goroutine. If it shows that the shorter interval applies
// now, the next message is sent earlier.
func (m *machine) addOwnLoad(r *room.Report) {
	l := &m.loads
	if l.interval == 0 {
		return
	}
	l.sum.AddOwn(m.now, r)
	if l.nextAt != 0 {
		l.nextAt = min(l.nextAt, m.now.Add(m.loadInterval()))
	}
}

// maintainLoads sends the load report if it is due, and updates the view once it has expired.
func (m *machine) maintainLoads() {
	l := &m.loads
	if l.interval == 0 {
		return
	}
	switch {
	case !l.sum.Active(m.now):
		l.nextAt = 0
	case l.nextAt == 0:
		// The random delay keeps the instances from sending at the same time.
		l.nextAt = m.now.Add(time.Duration(m.random.Int64N(int64(l.interval))))
	case !m.now.Before(l.nextAt):
		interval := m.loadInterval()
		l.nextAt = max(l.nextAt.Add(interval), m.now)
		m.sendLoad(interval)
	}
	if l.nextAt != 0 {
		m.scheduleWake(l.nextAt)
	}
	if until := l.sum.ValidUntil(m.now); until != 0 {
		m.scheduleWake(until)
	} else if l.view != nil && l.view.Usable {
		m.updateView()
	}
}

// loadInterval returns the time until the next load report. An instance that has a share of the
// requests which would fill half of the slots of a service if the other instances of the zone had
// as many does not wait for the view to show it.
func (m *machine) loadInterval() time.Duration {
	l := &m.loads
	own := l.sum.OwnInProgress(m.now)
	for name, zones := range l.slots {
		limit := busyShare * float64(zones[m.zone])
		if limit == 0 {
			continue
		}
		if own[name]*float64(m.peers.members.LiveCountIn(m.zone)) > limit {
			return l.interval
		}
		if l.view != nil && l.view.Usable && l.view.Services[name].Zones[m.zone].Total.InProgress > limit {
			return l.interval
		}
	}
	return max(l.interval, idleLoadInterval)
}

// sendLoad sends the load of the subtree of this instance to its parent. The root of the tree sends
// that of its zone to the relays of the other zones, and that of all zones to its children.
func (m *machine) sendLoad(interval time.Duration) {
	l := &m.loads
	sum := l.sum.Subtree(m.now, interval, m.peers.tree.isChild)
	l.sequence++
	sum.Sequence = l.sequence
	if parent, ok := m.peers.tree.parent(); ok {
		m.sendLoadReport(peer.SubtreeScope, sum, []model.Member{parent})
		return
	}
	fleet := l.sum.Fleet(m.now, sum)
	if !fleet.Loaded() {
		return // the view expires, and then the other instances stop sending as well
	}
	fleet.Sequence = l.sequence
	every := max(1, (zoneLoadInterval+interval-1)/interval)
	if l.sequence%uint64(every) == 0 {
		m.sendLoadReport(peer.ZoneScope, sum.Over(every*interval), m.otherRelays())
	}
	l.sum.SetFleet(m.now, l.self, fleet)
	m.sendLoadReport(peer.FleetScope, fleet, m.peers.tree.children())
	m.updateView()
}

// sendLoadReport sends a report of this instance.
func (m *machine) sendLoadReport(scope peer.Scope, r *room.Report, recipients []model.Member) {
	parts := peer.SplitLoad(m.loads.rotations[scope].Select(r))
	for i, part := range parts {
		m.sendLoadPart(&peer.LoadReport{Scope: scope, Origin: m.loads.self, Report: part}, i, len(parts), recipients)
	}
}

// sendLoadPart sends a part of a report, without the updates and the position that other messages
// carry.
func (m *machine) sendLoadPart(part *peer.LoadReport, index, parts int, recipients []model.Member) {
	for _, to := range recipients {
		m.send(to, &peer.Message{Kind: peer.Load, From: m.peers.table.Self(), Load: part, Part: index, Parts: parts})
	}
}

// receiveLoad processes a part of the load report of another instance. Sums of all zones are
// forwarded down the tree at once.
func (m *machine) receiveLoad(message *peer.Message) {
	l, report, part, parts := &m.loads, message.Load.Report, message.Part, message.Parts
	if l.interval == 0 || part < 0 || part >= parts || parts > maxLoadParts || message.Load.Origin.ID == l.self.ID {
		return
	}
	ownZone, origin := message.From.Zone == m.zone, message.Load.Origin
	switch scope := message.Load.Scope; {
	case scope == peer.SubtreeScope && ownZone && m.peers.tree.isChild(origin.ID):
		l.sum.ReceiveChild(m.now, origin, report, part, parts)
	case scope == peer.ZoneScope && !ownZone:
		relay := m.peers.members.LargestIn(message.From.Zone, dutyKey)
		l.sum.ReceiveZone(m.now, message.From.Zone, origin, relay != nil && relay.ID == origin.ID, report, part, parts)
	case scope == peer.FleetScope && ownZone:
		isNew, complete := l.sum.ReceiveFleet(m.now, origin, m.peers.tree.root() == origin.ID, report, part, parts)
		if isNew {
			m.sendLoadPart(message.Load, part, parts, m.peers.tree.children())
		}
		if complete {
			m.updateView()
		}
	}
}

// slotsChanged derives the slots from the servers of a new snapshot that accept flows.
func (m *machine) slotsChanged() {
	l := &m.loads
	l.slots = room.Slots{}
	for name, service := range m.builtSnapshot.Services {
		zones := map[model.Zone]int{}
		for _, server := range service.Servers {
			zones[server.Zone] += server.Slots
		}
		l.slots[name] = zones
	}
	if l.view != nil {
		m.updateView()
	}
}

// updateView derives the view from the newest sum of all zones.
func (m *machine) updateView() {
	l := &m.loads
	wasUsable := l.view != nil && l.view.Usable
	l.view, l.changed = l.sum.View(m.now, l.slots, m.liveInZone()), true
	if l.view.Usable != wasUsable {
		m.log.Info("load of the fleet", "usable", l.view.Usable, "instances", l.view.Instances[m.zone],
			"live", m.peers.members.LiveCountIn(m.zone), "heard_ms_ago", m.now.Sub(l.view.At).Milliseconds())
	}
}

// liveInZone returns the number of live instances of the zone, or 0 while other instances may not
// be known yet or there are none.
func (m *machine) liveInZone() int {
	if m.now.Sub(m.peers.started) < homeDelay || m.peers.members.LiveCount() < 2 {
		return 0
	}
	return m.peers.members.LiveCountIn(m.zone)
}
