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
	// smallZone is the largest zone whose members a restarted witness asks for
	// their claims instead of waiting for the end of every lease.
	smallZone = 8
	// pollEvery is the time between two reads of a server's health endpoint;
	// pollSpacing bounds the reads of an instance with many servers.
	pollEvery   = time.Second
	pollSpacing = 250 * time.Millisecond
	maxPolls    = 8 // reads that run at a time
	// healthEvery is the time between transfers of all records of a zone.
	healthEvery = 10 * time.Second
)

// slotKey names one slot of a server.
type slotKey struct {
	server model.ServerID
	slot   uint16
}

// serverState is what control keeps about backend servers besides their health.
type serverState struct {
	watcher bool
	zones   int
	near    []model.Member // live and leaving instances of the own zone
	witness *lease.Witness
	listed  []model.Member // of the platform's list, for witnesses
	claims  map[model.ServerID]*lease.Holder
	held    map[slotKey]model.Time // since when this instance holds a slot
	next    map[slotKey]model.Time // held, during a rebuild
	// changeAt is when a server's part of the view changes by time alone.
	changeAt    model.Time
	ignoreUntil model.Time // bad observations before are an effect of a pause
	polling     int
	pollAt      model.Time
	pollNext    int
	healthAt    model.Time
	fetching    bool
}

func (s *serverState) due(now model.Time) bool { return s.changeAt != 0 && !now.Before(s.changeAt) }

func (s *serverState) beginRebuild() {
	s.next = make(map[slotKey]model.Time, len(s.held))
	s.changeAt = 0
}

func (s *serverState) endRebuild() { s.held, s.next = s.next, nil }

func (s *serverState) changeBy(at model.Time) {
	if s.changeAt == 0 || at.Before(s.changeAt) {
		s.changeAt = at
	}
}

// observe takes an observation of traffic. Bad ones right after a pause of
// this process are an effect of the pause.
func (m *machine) observe(o health.Observation) {
	if o.Result != health.Success && m.now.Before(m.servers.ignoreUntil) {
		m.count.ObservationsIgnored++
		return
	}
	m.health.Observe(m.now, o)
}

// refreshHomes decides which servers of the zone have their home here.
func (m *machine) refreshHomes() {
	m.health.Each(func(id model.ServerID) {
		home := m.pub.members.Home(id, m.o.Self.Zone)
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
		m.servers.changeBy(until)
	}
	alone := st.RequestsHomeOnly || st.FlowsHomeOnly
	atHome := alone && st.Home && m.mayUseAlone(s.ID)
	switch {
	case !st.RequestsHomeOnly:
		s.Slots, s.SlotLimit = own, len(own)
	case atHome:
		for slot := range s.Server.Slots {
			s.Slots = append(s.Slots, slot)
		}
		s.SlotLimit = st.Slots
	}
	s.FlowsHomeOnly = st.FlowsHomeOnly
	switch {
	case !st.FlowsHomeOnly:
		s.ConnectionLimit = share(s.Connections, m.pub.members.LiveCountIn(s.Zone))
	case atHome:
		s.ConnectionLimit = st.Connections
	}
	if st.RequestsHomeOnly && st.FlowsHomeOnly && !atHome {
		s.NewWork = false
	}
	if st.State == health.Failed {
		m.servers.changeBy(m.now.Add(time.Second))
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
		holder := m.pub.members.SlotHolder(s.ID, s.Zone, int(slot))
		if holder == nil || holder.ID != m.o.Self.ID {
			continue
		}
		key := slotKey{s.ID, slot}
		since, ok := m.servers.held[key]
		if !ok {
			since = m.now
			if m.o.AssumeWarm && m.now.Sub(m.started) < m.o.SlotTakeoverDelay {
				since = m.now.Add(-m.o.SlotTakeoverDelay)
			}
		}
		m.servers.next[key] = since
		if usable := since.Add(m.o.SlotTakeoverDelay); m.now.Before(usable) {
			m.servers.changeBy(usable)
		} else {
			own = append(own, slot)
		}
	}
	return own
}

// mayUseAlone reports whether this instance has the claim on a cold server for
// longer than the lease of the view.
func (m *machine) mayUseAlone(id model.ServerID) bool {
	h, ok := m.servers.claims[id]
	if !ok {
		return false
	}
	end := h.ValidUntil().Add(-ViewLease)
	if !m.now.Before(end) {
		return false
	}
	m.servers.changeBy(end)
	return true
}

// heldClaims returns the servers that this instance has leases for.
func (m *machine) heldClaims() []model.ServerID {
	var out []model.ServerID
	for id, h := range m.servers.claims {
		if m.now.Before(h.ValidUntil()) {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// witnessesChanged takes a new instance list.
func (m *machine) witnessesChanged() {
	listed := m.servers.listed[:0:0]
	for _, id := range m.members.Listed() {
		if l, ok := m.members.Get(id); ok {
			listed = append(listed, l)
		}
	}
	m.servers.listed = listed
	for id, h := range m.servers.claims {
		h.SetWitnesses(lease.Witnesses(id, m.o.Self.Zone, listed))
	}
}

// claim asks the witnesses of the cold servers whose home is this instance.
func (m *machine) claim() {
	if !m.listed || m.revalidating {
		return
	}
	alone := m.health.ColdHomeServers()
	for id, h := range m.servers.claims {
		if _, ok := slices.BinarySearch(alone, id); !ok && !m.now.Before(h.ValidUntil()) {
			delete(m.servers.claims, id)
		}
	}
	batch := map[model.InstanceID][]claimItem{}
	var order []model.InstanceID
	for _, id := range alone {
		h, ok := m.servers.claims[id]
		if !ok {
			h = lease.NewHolder(lease.Witnesses(id, m.o.Self.Zone, m.servers.listed))
			m.servers.claims[id] = h
		}
		if m.now.Before(h.RenewAt) {
			m.wake(h.RenewAt)
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
			batch[w] = append(batch[w], claimItem{id, m.o.Self.Zone, h.WitnessesHash()})
		}
	}
	for _, w := range order {
		m.askWitness(w, &claimRequest{m.o.Self.Incarnation, batch[w]})
	}
}

func (m *machine) askWitness(w model.InstanceID, params *claimRequest) {
	asked := m.now
	granted := func(answer *claimAnswer) {
		if answer.Differs {
			m.listDiffers()
		}
		for i, item := range params.Servers {
			h, ok := m.servers.claims[item.Server]
			if ok && i < len(answer.Granted) && answer.Granted[i] && h.WitnessesHash() == item.Witnesses {
				before := h.ValidUntil()
				h.AddGrant(w, asked)
				if h.ValidUntil() != before {
					m.rebuild = true
				}
			}
		}
	}
	if w == m.o.Self.ID {
		granted(m.grant(w, params))
		return
	}
	to, ok := m.members.Get(w)
	if !ok || to.Liveness == model.Dead {
		return
	}
	answer := &claimAnswer{}
	m.call(&effCall{to: to, method: methodClaim, params: params, result: answer, timeout: callTimeout,
		done: func(_ *machine, err error) {
			if err == nil {
				granted(answer)
			}
		}})
}

// grant answers as a witness.
func (m *machine) grant(from model.InstanceID, p *claimRequest) *claimAnswer {
	answer := &claimAnswer{Granted: make([]bool, len(p.Servers))}
	if m.revalidating || !m.listed {
		return answer
	}
	complete := map[model.Zone]bool{}
	for i, item := range p.Servers {
		witnesses := lease.Witnesses(item.Server, item.Zone, m.servers.listed)
		if lease.HashWitnesses(witnesses) != item.Witnesses || !slices.Contains(witnesses, m.o.Self.ID) {
			answer.Differs = true
			m.listDiffers()
			continue
		}
		if _, ok := complete[item.Zone]; !ok {
			complete[item.Zone] = m.heardWhole(item.Zone, from)
		}
		answer.Granted[i] = m.servers.witness.Grant(m.now, item.Server, from, p.Incarnation, complete[item.Zone])
	}
	return answer
}

// heardWhole reports whether every listed instance of a small zone has told
// its claims since this instance started.
func (m *machine) heardWhole(zone model.Zone, from model.InstanceID) bool {
	count := 0
	for i := range m.servers.listed {
		l := &m.servers.listed[i]
		if l.Zone != zone {
			continue
		}
		count++
		if l.ID != m.o.Self.ID && !m.members.Contacted(l.ID) {
			return false
		}
	}
	return count <= smallZone
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
	perTick := max(1, min(int(pollEvery/pollSpacing), len(homes)))
	for range perTick {
		if m.servers.polling >= maxPolls {
			return
		}
		m.servers.pollNext = (m.servers.pollNext + 1) % len(homes)
		m.servers.polling++
		m.effects = append(m.effects, effHealth{homes[m.servers.pollNext]})
	}
	m.servers.pollAt = m.now.Add(pollEvery)
}

// compareHealth fetches all records of the zone if those of a peer differ and
// none are on their way.
func (m *machine) compareHealth(h *heartbeat) {
	if h.Health == m.health.Hash() || m.servers.fetching || m.now.Before(m.servers.healthAt) ||
		m.health.Urgent(m.recordLimit()) {
		return
	}
	m.servers.fetching, m.servers.healthAt = true, m.now.Add(healthEvery)
	if m.now.Sub(m.started) < healthEvery {
		m.servers.healthAt = m.now.Add(time.Second) // a new instance catches up faster
	}
	answer := &healthAnswer{}
	m.call(&effCall{to: h.Self, method: methodHealth, params: &healthFetch{}, result: answer, timeout: fetchTimeout,
		done: func(m *machine, err error) {
			m.servers.fetching = false
			if err == nil {
				m.health.Merge(m.now, answer.Records)
			}
		}})
}
