package control

import (
	"slices"
	"time"

	"github.com/savorytiller/savorytiller/internal/core/configread"
	"github.com/savorytiller/savorytiller/internal/core/health"
	"github.com/savorytiller/savorytiller/internal/core/lease"
	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/core/view"
)

const (
	actionWatch = configread.Watch
	actionRead  = configread.Read
	// maxEarlyGrantZone is the maximum number of instances in a zone for which a
	// restarted witness may grant leases as soon as all of them have reported
	// theirs. In larger zones it waits until all earlier leases have expired.
	maxEarlyGrantZone = 8
	// pollInterval is the time between two rounds of health endpoint reads. The reads
	// of a round start together. There are at most pollInterval/pollSpacing of them,
	// however many servers have this instance as their home, so pollSpacing is the
	// minimum of the mean time between two reads.
	pollInterval    = time.Second
	pollSpacing     = 250 * time.Millisecond
	maxRunningPolls = 8 // concurrent reads
	// healthSyncInterval is the minimum time between two fetches of all health
	// records of the zone.
	healthSyncInterval = 10 * time.Second
)

// slotKey identifies one slot of a server.
type slotKey struct {
	server model.ServerID
	slot   uint16
}

// serverState is the state of backend servers apart from their health, which
// health.Table holds.
type serverState struct {
	watcher            bool
	zoneCount          int
	zoneMembers        []model.Member // live and leaving instances of this instance's zone
	witness            *lease.Witness
	listedMembers      []model.Member // members in the platform's list, from which witnesses are derived
	leases             map[model.ServerID]*lease.Holder
	slotsHeldSince     map[slotKey]model.Time // slots that this instance holds, and since when
	nextSlotsHeldSince map[slotKey]model.Time // the same for the view that is being built
	// changeAt is when the view has to be rebuilt although no event changed a server,
	// because a delay, quarantine or lease ends; 0 if unset.
	changeAt            model.Time
	ignoreFailuresUntil model.Time // earlier failures are an effect of a pause
	runningPolls        int
	pollAt              model.Time
	lastPolled          int // index in the servers whose home is this instance
	healthSyncAt        model.Time
	healthSyncRunning   bool
}

func (s *serverState) changeDue(now model.Time) bool {
	return s.changeAt != 0 && !now.Before(s.changeAt)
}

func (s *serverState) beginRebuild() {
	s.nextSlotsHeldSince = make(map[slotKey]model.Time, len(s.slotsHeldSince))
	s.changeAt = 0
}

func (s *serverState) endRebuild() {
	s.slotsHeldSince, s.nextSlotsHeldSince = s.nextSlotsHeldSince, nil
}

func (s *serverState) scheduleChange(at model.Time) {
	if s.changeAt == 0 || at.Before(s.changeAt) {
		s.changeAt = at
	}
}

// handleObservation processes an observation of traffic. Failures right after a pause
// of this process are ignored, because the pause may have caused them.
func (m *machine) handleObservation(o health.Observation) {
	if o.Result != health.Success && m.now.Before(m.servers.ignoreFailuresUntil) {
		m.count.ObservationsIgnored++
		return
	}
	m.health.Observe(m.now, o)
}

// refreshHomes determines for which servers of the zone this instance is the home, the
// only instance that uses a server while it is cold.
func (m *machine) refreshHomes() {
	m.health.Each(func(id model.ServerID) {
		home := m.publisher.members.Home(id, m.options.Self.Zone)
		m.health.SetHome(m.now, id, home != nil && home.ID == m.options.Self.ID && !m.leaving)
	})
	m.rebuild = true
}

// fillServer sets the fields of a server that depend on its health and on this
// instance: its warmth, whether it gets new work, and how much.
func (m *machine) fillServer(s *view.Server) {
	if s.Zone != m.options.Self.Zone {
		// This instance never uses the server: the owner and the server of a flow are
		// in the same zone, and only instances of the server's zone hold its slots.
		s.Warmth = view.Warm
		if s.State == model.ServerDraining {
			s.Reason = model.ReasonServerDraining
		}
		return
	}
	st := m.health.Status(m.now, s.ID)
	s.Warmth, s.Reason = warmth(st.State), st.Reason
	own := m.ownSlots(s)
	s.NewWork = st.NewWork && s.State == model.ServerActive && !m.leaving
	if until := m.notes.quarantine.Until(s.Service, &s.Server); m.now.Before(until) {
		s.NewWork, s.Reason = false, model.ReasonServerQuarantined
		m.servers.scheduleChange(until)
	}
	homeOnly := st.RequestsHomeOnly || st.FlowsHomeOnly
	homeWithLease := homeOnly && st.Home && m.holdsLease(s.ID)
	switch {
	case !st.RequestsHomeOnly:
		s.Slots, s.SlotLimit = own, len(own)
	case homeWithLease:
		for slot := range s.Server.Slots {
			s.Slots = append(s.Slots, slot)
		}
		s.SlotLimit = st.Slots
	}
	s.FlowsHomeOnly = st.FlowsHomeOnly
	switch {
	case !st.FlowsHomeOnly:
		s.ConnectionLimit = connectionShare(s.Connections, m.publisher.members.LiveCountIn(s.Zone))
	case homeWithLease:
		s.ConnectionLimit = st.Connections
	}
	if st.RequestsHomeOnly && st.FlowsHomeOnly && !homeWithLease {
		s.NewWork = false
	}
	if st.State == health.Failed {
		m.servers.scheduleChange(m.now.Add(time.Second))
	}
}

func warmth(s health.State) view.Warmth {
	switch s {
	case health.Warm, health.Draining:
		return view.Warm
	case health.Failed:
		return view.Failed
	default:
		return view.Cold
	}
}

// ownSlots returns the slots that this instance holds and may use. A slot that it
// has taken over stays unused for SlotTakeoverDelay, except right after the start with
// AssumeWarm.
func (m *machine) ownSlots(s *view.Server) []uint16 {
	var own []uint16
	for slot := range s.Server.Slots {
		holder := m.publisher.members.SlotHolder(s.ID, s.Zone, int(slot))
		if holder == nil || holder.ID != m.options.Self.ID {
			continue
		}
		key := slotKey{s.ID, slot}
		since, ok := m.servers.slotsHeldSince[key]
		if !ok {
			since = m.now
			if m.options.AssumeWarm && m.now.Sub(m.started) < m.options.SlotTakeoverDelay {
				since = m.now.Add(-m.options.SlotTakeoverDelay)
			}
		}
		m.servers.nextSlotsHeldSince[key] = since
		if usable := since.Add(m.options.SlotTakeoverDelay); m.now.Before(usable) {
			m.servers.scheduleChange(usable)
		} else {
			own = append(own, slot)
		}
	}
	return own
}

// holdsLease reports whether this instance holds the lease of a cold server for longer
// than ViewLifetime from now, so that no view outlives the lease.
func (m *machine) holdsLease(id model.ServerID) bool {
	h, ok := m.servers.leases[id]
	if !ok {
		return false
	}
	until := h.ValidUntil().Add(-ViewLifetime)
	if !m.now.Before(until) {
		return false
	}
	m.servers.scheduleChange(until)
	return true
}

// heldLeases returns the servers for which this instance holds a lease, sorted.
func (m *machine) heldLeases() []model.ServerID {
	var out []model.ServerID
	for id, h := range m.servers.leases {
		if m.now.Before(h.ValidUntil()) {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// updateWitnesses derives the witnesses from a new instance list.
func (m *machine) updateWitnesses() {
	listed := m.servers.listedMembers[:0:0]
	for _, id := range m.members.Listed() {
		if member, ok := m.members.Get(id); ok {
			listed = append(listed, member)
		}
	}
	m.servers.listedMembers = listed
	for id, h := range m.servers.leases {
		h.SetWitnesses(lease.Witnesses(id, m.options.Self.Zone, listed))
	}
}

// requestLeases requests or renews the leases of the cold servers whose home is this
// instance, with one message for each witness.
func (m *machine) requestLeases() {
	if !m.hasList || m.revalidating {
		return
	}
	cold := m.health.ColdHomeServers()
	for id, h := range m.servers.leases {
		if _, ok := slices.BinarySearch(cold, id); !ok && !m.now.Before(h.ValidUntil()) {
			delete(m.servers.leases, id)
		}
	}
	batch := map[model.InstanceID][]leaseRequestItem{}
	var order []model.InstanceID
	for _, id := range cold {
		h, ok := m.servers.leases[id]
		if !ok {
			h = lease.NewHolder(lease.Witnesses(id, m.options.Self.Zone, m.servers.listedMembers))
			m.servers.leases[id] = h
		}
		if m.now.Before(h.RenewAt) {
			m.wakeBy(h.RenewAt)
			continue
		}
		h.RenewAt = m.now.Add(lease.RenewInterval)
		if !m.now.Before(h.ValidUntil()) {
			h.RenewAt = m.now.Add(time.Second)
		}
		for _, w := range h.Witnesses() {
			if batch[w] == nil {
				order = append(order, w)
			}
			batch[w] = append(batch[w], leaseRequestItem{id, m.options.Self.Zone, h.WitnessesHash()})
		}
	}
	for _, w := range order {
		m.sendLeaseRequest(w, &leaseRequest{m.options.Self.Incarnation, batch[w]})
	}
}

func (m *machine) sendLeaseRequest(w model.InstanceID, params *leaseRequest) {
	requestedAt := m.now
	recordGrants := func(answer *leaseAnswer) {
		if answer.Differs {
			m.readListEarly()
		}
		for i, item := range params.Servers {
			h, ok := m.servers.leases[item.Server]
			if ok && i < len(answer.Granted) && answer.Granted[i] && h.WitnessesHash() == item.Witnesses {
				oldUntil := h.ValidUntil()
				h.AddGrant(w, requestedAt)
				if h.ValidUntil() != oldUntil {
					m.rebuild = true
				}
			}
		}
	}
	if w == m.options.Self.ID {
		recordGrants(m.grantLeases(w, params))
		return
	}
	to, ok := m.members.Get(w)
	if !ok || to.Liveness == model.Dead {
		return
	}
	answer := &leaseAnswer{}
	m.call(&effCall{to: to, method: methodLease, params: params, result: answer, timeout: callTimeout,
		done: func(_ *machine, err error) {
			if err == nil {
				recordGrants(answer)
			}
		}})
}

// grantLeases answers a lease request as a witness. It grants nothing while this
// instance revalidates after a pause or has no instance list.
func (m *machine) grantLeases(from model.InstanceID, p *leaseRequest) *leaseAnswer {
	answer := &leaseAnswer{Granted: make([]bool, len(p.Servers))}
	if m.revalidating || !m.hasList {
		return answer
	}
	allReported := map[model.Zone]bool{}
	for i, item := range p.Servers {
		witnesses := lease.Witnesses(item.Server, item.Zone, m.servers.listedMembers)
		if lease.HashWitnesses(witnesses) != item.Witnesses || !slices.Contains(witnesses, m.options.Self.ID) {
			answer.Differs = true
			m.readListEarly()
			continue
		}
		if _, ok := allReported[item.Zone]; !ok {
			allReported[item.Zone] = m.allLeasesReported(item.Zone, from)
		}
		answer.Granted[i] = m.servers.witness.Grant(m.now, item.Server, from, p.Incarnation, allReported[item.Zone])
	}
	return answer
}

// allLeasesReported reports whether the zone has at most maxEarlyGrantZone listed
// instances and each of them has reported its leases since this instance started.
func (m *machine) allLeasesReported(zone model.Zone, from model.InstanceID) bool {
	count := 0
	for i := range m.servers.listedMembers {
		l := &m.servers.listedMembers[i]
		if l.Zone != zone {
			continue
		}
		count++
		if l.ID != m.options.Self.ID && !m.members.Contacted(l.ID) {
			return false
		}
	}
	return count <= maxEarlyGrantZone
}

// pollHealth reads the health endpoints of servers whose home is this instance, in
// turn.
func (m *machine) pollHealth() {
	if m.options.Health == nil || m.now.Before(m.servers.pollAt) {
		return
	}
	homeServers := m.health.HomeServers()
	if len(homeServers) == 0 {
		return
	}
	perTick := max(1, min(int(pollInterval/pollSpacing), len(homeServers)))
	for range perTick {
		if m.servers.runningPolls >= maxRunningPolls {
			return
		}
		m.servers.lastPolled = (m.servers.lastPolled + 1) % len(homeServers)
		m.servers.runningPolls++
		m.effects = append(m.effects, effHealth{homeServers[m.servers.lastPolled]})
	}
	m.servers.pollAt = m.now.Add(pollInterval)
}

// syncHealth fetches all health records of the zone from a peer if its records
// differ and this instance has no new records that are still being sent.
func (m *machine) syncHealth(h *heartbeat) {
	if h.Health == m.health.Hash() || m.servers.healthSyncRunning || m.now.Before(m.servers.healthSyncAt) ||
		m.health.HasUrgentRecords(m.recordSendLimit()) {
		return
	}
	m.servers.healthSyncRunning, m.servers.healthSyncAt = true, m.now.Add(healthSyncInterval)
	if m.now.Sub(m.started) < healthSyncInterval {
		m.servers.healthSyncAt = m.now.Add(time.Second) // a new instance synchronizes more often
	}
	answer := &healthAnswer{}
	m.call(&effCall{to: h.Self, method: methodHealth, params: &healthFetch{}, result: answer, timeout: fetchTimeout,
		done: func(m *machine, err error) {
			m.servers.healthSyncRunning = false
			if err == nil {
				m.health.Merge(m.now, answer.Records)
			}
		}})
}
