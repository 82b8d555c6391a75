package control

import (
	"fmt"
	"time"

	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/core/note"
	"github.com/savorytiller/savorytiller/internal/core/placement"
	"github.com/savorytiller/savorytiller/internal/core/view"
)

const keyLatest = "release/latest"

// Status is the state of control for operators.
type Status struct {
	Version      model.Version
	Digest       uint64
	Members      int
	LastRefusal  string
	RefusedNotes uint64
}

// machine decides. It runs in the control goroutine only; it has no channel,
// lock or clock, so a test can drive it with simulated time and transport.
type machine struct {
	o       Options
	now     model.Time
	next    model.Time
	effects []effect
	pub     publisher
	view    *view.View
	rebuild bool
	leaving bool

	config   *model.Configuration
	latest   model.Version
	revision uint64
	watching bool
	reading  bool
	listing  bool
	listAt   model.Time
	watchAt  model.Time
	renewAt  model.Time
	refusal  string
	refused  uint64
}

func newMachine(o Options) *machine {
	m := &machine{o: o}
	m.setMembers(nil)
	return m
}

func (m *machine) takeEffects() []effect {
	f := m.effects
	m.effects = nil
	return f
}

func (m *machine) takeView() *view.View {
	v := m.view
	m.view = nil
	return v
}

func (m *machine) status(model.Time) *Status {
	s := &Status{LastRefusal: m.refusal, RefusedNotes: m.refused, Members: len(m.pub.members.All())}
	if m.config != nil {
		s.Version, s.Digest = m.config.Version, m.config.Digest
	}
	return s
}

func (m *machine) handle(now model.Time, e event) {
	m.now = now
	switch e := e.(type) {
	case evLeave:
		m.leaving, m.rebuild = true, true
		m.setMembers(m.pub.members.All())
	case evRead:
		m.reading = false
		m.handleRead(e)
	case evWatched:
		m.watching = false
		m.handleWatched(e)
	case evInstances:
		m.listing = false
		m.listAt = now.Add(time.Second)
		if e.err == nil {
			m.setMembers(e.members)
		}
	}
	if !m.listing && !now.Before(m.listAt) {
		m.listing = true
		m.effects = append(m.effects, effInstances{})
	}
	if !m.watching && !now.Before(m.watchAt) {
		m.watching = true
		m.effects = append(m.effects, effWatch{m.revision})
	}
	if m.rebuild || !now.Before(m.renewAt) {
		m.view = m.pub.build(now, m.rebuild, m.leaving, m.fillServer)
		m.rebuild = false
		m.renewAt = now.Add(renewEvery)
	}
	m.next = now.Add(200 * time.Millisecond)
}

func (m *machine) setMembers(listed []model.Member) {
	self := m.o.Self
	if m.leaving {
		self.Liveness = model.Leaving
	}
	all := []model.Member{self}
	for _, l := range listed {
		if l.ID != self.ID {
			all = append(all, l)
		}
	}
	m.pub.self, m.pub.members = self, placement.NewMembers(all)
	m.rebuild = true
}

func (m *machine) handleWatched(e evWatched) {
	if e.err != nil {
		m.watchAt = m.now.Add(time.Second)
		return
	}
	m.revision = e.revision
	latest, err := m.o.Codec.DecodeLatest(e.value)
	if err != nil {
		m.refuse(err)
		m.watchAt = m.now.Add(time.Second)
		return
	}
	m.latest = max(m.latest, latest.Version)
	m.readNext()
}

func (m *machine) version() model.Version {
	if m.config == nil {
		return 0
	}
	return m.config.Version
}

func (m *machine) readNext() {
	if m.latest > m.version() && !m.reading {
		m.reading = true
		m.effects = append(m.effects, effRead{fmt.Sprintf("release/%d", m.version()+1)})
	}
}

func (m *machine) handleRead(e evRead) {
	if e.err != nil {
		m.watchAt, m.revision = m.now.Add(time.Second), 0
		return
	}
	n, err := m.o.Codec.DecodeNote(e.value)
	if err == nil {
		var c *model.Configuration
		if c, err = note.Apply(m.config, n); err == nil {
			m.config = c
			m.pub.setConfig(c, m.now)
			m.rebuild = true
			m.o.Log.Info("note in force", "version", c.Version)
			m.readNext()
			return
		}
	}
	m.refuse(err)
}

func (m *machine) refuse(err error) {
	m.refusal = err.Error()
	m.refused++
	m.o.Log.Info("note refused", "reason", err.Error())
}

// fillServer decides what this instance may do with a server.
func (m *machine) fillServer(s *view.Server) {
	s.Warmth = view.Warm
	if s.Zone != m.o.Self.Zone {
		s.Reason = model.ReasonOtherZone
		return
	}
	for slot := 0; slot < int(s.Server.Slots); slot++ {
		if h := m.pub.members.SlotHolder(s.ID, s.Zone, slot); h != nil && h.ID == m.o.Self.ID {
			s.Slots = append(s.Slots, uint16(slot))
		}
	}
	s.SlotLimit = len(s.Slots)
	s.ConnectionLimit = share(s.Connections, m.pub.members.LiveIn(s.Zone))
	s.NewWork = s.State == model.ServerActive && !m.leaving
	if s.State == model.ServerDraining {
		s.Reason = model.ReasonServerDraining
	}
}
