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
	// maxEarlyGrantZone is the largest zone whose members a restarted witness asks for
	// their claims instead of waiting for the end of every lease.
	maxEarlyGrantZone = 8
	// pollInterval is the time between two reads of a server's health endpoint;
	// pollSpacing bounds the reads of an instance with many servers.
	pollInterval   = time.Second
	pollSpacing = 250 * time.Millisecond
	maxRunningPolls    = 8 // reads that run at a time
	// healthSyncInterval is the time between transfers of all records of a zone.
	healthSyncInterval = 10 * time.Second
)

// slotKey names one slot of a server.
type slotKey struct {
	server model.ServerID
	slot   uint16
}

// serverState is what control keeps about backend servers besides their health.
type serverState struct {
	watcher bool
	zoneCount   int
	zoneMembers    []model.Member // live and leaving instances of the own zone
	witness *lease.Witness
	listedMembers  []model.Member // of the platform's list, for witnesses
	leases  map[model.ServerID]*lease.Holder
	slotsHeldSince    map[slotKey]model.Time // since when this instance holds a slot
	nextSlotsHeldSince    map[slotKey]model.Time // held, during a rebuild
	// changeAt is when a server's part of the view changes by time alone.
	changeAt    model.Time
	ignoreFailuresUntil model.Time // bad observations before are an effect of a pause
	runningPolls     int
	pollAt      model.Time
	lastPolled    int
	healthSyncAt    model.Time
	healthSyncRunning    bool
}

func (s *serverState) changeDue(now model.Time) bool { return s.changeAt != 0 && !now.Before(s.changeAt) }

func (s *serverState) beginRebuild() {
	s.nextSlotsHeldSince = make(map[slotKey]model.Time, len(s.slotsHeldSince))
	s.changeAt = 0
}

func (s *serverState) endRebuild() { s.slotsHeldSince, s.nextSlotsHeldSince = s.nextSlotsHeldSince, nil }

func (s *serverState) scheduleChange(at model.Time) {
	if s.changeAt == 0 || at.Before(s.changeAt) {
		s.changeAt = at
	}
}

// handleObservation takes an observation of traffic. Bad ones right after a pause of
// this process are an effect of the pause.
func (m *machine) handleObservation(o health.Observation) {
	if o.Result != health.Success && m.now.Before(m.servers.ignoreFailuresUntil) {
		m.count.ObservationsIgnored++
		return
	}
	m.health.Observe(m.now, o)
}

// refreshHomes decides which servers of the zone have their home here.
func (m *machine) refreshHomes() {
	m.health.Each(func(id model.ServerID) {
		home := m.publisher.members.Home(id, m.o.Self.Zone)
		m.health.SetHome(m.now, id, home != nil && home.ID == m.o.Self.ID && !m.leaving)
	})
	m.rebuild = true
}

// fillServer decides what this instance may do with a server.
func (m *machine) fillServer(s *view.Server) {
	if s.Zone != m.o.Self.Zone {
		// Owner and server of a flow are in one zone, and slots are held by
		// instances of the server's zone.
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

// ownSlots returns the slots that this instance holds and may use: a slot that
// it inherited is left unused for SlotTakeoverDelay.
func (m *machine) ownSlots(s *view.Server) []uint16 {
	var own []uint16
	for slot := range s.Server.Slots {
		holder := m.publisher.members.SlotHolder(s.ID, s.Zone, int(slot))
		if holder == nil || holder.ID != m.o.Self.ID {
			continue
		}
		key := slotKey{s.ID, slot}
		since, ok := m.servers.slotsHeldSince[key]
		if !ok {
			since = m.now
			if m.o.AssumeWarm && m.now.Sub(m.started) < m.o.SlotTakeoverDelay {
				since = m.now.Add(-m.o.SlotTakeoverDelay)
			}
		}
		m.servers.nextSlotsHeldSince[key] = since
		if usable := since.Add(m.o.SlotTakeoverDelay); m.now.Before(usable) {
			m.servers.scheduleChange(usable)
		} else {
			own = append(own, slot)
		}
	}
	return own
}

// holdsLease reports whether this instance has the claim on a cold server for
// longer than the lease of the view.
func (m *machine) holdsLease(id model.ServerID) bool {
	h, ok := m.servers.leases[id]
	if !ok {
		return false
	}
	end := h.ValidUntil().Add(-ViewLifetime)
	if !m.now.Before(end) {
		return false
	}
	m.servers.scheduleChange(end)
	return true
}

// heldLeases returns the servers that this instance has leases for.
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

// updateWitnesses takes a new instance list.
func (m *machine) updateWitnesses() {
	listed := m.servers.listedMembers[:0:0]
	for _, id := range m.members.Listed() {
		if member, ok := m.members.Get(id); ok {
			listed = append(listed, member)
		}
	}
	m.servers.listedMembers = listed
	for id, h := range m.servers.leases {
		h.SetWitnesses(lease.Witnesses(id, m.o.Self.Zone, listed))
	}
}

// requestLeases asks the witnesses of the cold servers whose home is this instance.
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
			h = lease.NewHolder(lease.Witnesses(id, m.o.Self.Zone, m.servers.listedMembers))
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
			batch[w] = append(batch[w], leaseRequestItem{id, m.o.Self.Zone, h.WitnessesHash()})
		}
	}
	for _, w := range order {
		m.sendLeaseRequest(w, &leaseRequest{m.o.Self.Incarnation, batch[w]})
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
				before := h.ValidUntil()
				h.AddGrant(w, requestedAt)
				if h.ValidUntil() != before {
					m.rebuild = true
				}
			}
		}
	}
	if w == m.o.Self.ID {
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

// grantLeases answers as a witness.
func (m *machine) grantLeases(from model.InstanceID, p *leaseRequest) *leaseAnswer {
	answer := &leaseAnswer{Granted: make([]bool, len(p.Servers))}
	if m.revalidating || !m.hasList {
		return answer
	}
	allReported := map[model.Zone]bool{}
	for i, item := range p.Servers {
		witnesses := lease.Witnesses(item.Server, item.Zone, m.servers.listedMembers)
		if lease.HashWitnesses(witnesses) != item.Witnesses || !slices.Contains(witnesses, m.o.Self.ID) {
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

// allLeasesReported reports whether every listed instance of a small zone has told
// its claims since this instance started.
func (m *machine) allLeasesReported(zone model.Zone, from model.InstanceID) bool {
	count := 0
	for i := range m.servers.listedMembers {
		l := &m.servers.listedMembers[i]
		if l.Zone != zone {
			continue
		}
		count++
		if l.ID != m.o.Self.ID && !m.members.Contacted(l.ID) {
			return false
		}
	}
	return count <= maxEarlyGrantZone
}

// pollHealth reads the health endpoints of the servers whose home is here.
func (m *machine) pollHealth() {
	if m.o.Health == nil || m.now.Before(m.servers.pollAt) {
		return
	}
	homes := m.health.HomeServers()
	if len(homes) == 0 {
		return
	}
	perTick := max(1, min(int(pollInterval/pollSpacing), len(homes)))
	for range perTick {
		if m.servers.runningPolls >= maxRunningPolls {
			return
		}
		m.servers.lastPolled = (m.servers.lastPolled + 1) % len(homes)
		m.servers.runningPolls++
		m.effects = append(m.effects, effHealth{homes[m.servers.lastPolled]})
	}
	m.servers.pollAt = m.now.Add(pollInterval)
}

// syncHealth fetches all records of the zone if those of a peer differ and
// none are on their way.
func (m *machine) syncHealth(h *heartbeat) {
	if h.Health == m.health.Hash() || m.servers.healthSyncRunning || m.now.Before(m.servers.healthSyncAt) ||
		m.health.Urgent(m.recordSendLimit()) {
		return
	}
	m.servers.healthSyncRunning, m.servers.healthSyncAt = true, m.now.Add(healthSyncInterval)
	if m.now.Sub(m.started) < healthSyncInterval {
		m.servers.healthSyncAt = m.now.Add(time.Second) // a new instance catches up faster
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
