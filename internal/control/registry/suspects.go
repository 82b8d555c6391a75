package registry

import (
	"time"

	"github.com/savorytiller/savorytiller/internal/core/catalog"
	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/core/peer"
)

// Limits of suspects that other instances name.
const (
	// maxTold is the number of servers a second that are probed because others name
	// them, so that the loss of many servers does not cost more than the traffic to them.
	maxTold = 32
	// maxTells is the number of messages a second that name suspects to the own zone.
	maxTells = 64
	// toldFor is how long the result of a probe that others asked for is not passed on.
	toldFor = 2 * time.Second
)

// tellSuspect names a server that this instance could not reach to the instances of the
// server's zone, most of whose flows go there and would be lost one by one. In a zone
// that does not answer only the way there is known to fail.
func (m *machine) tellSuspect(s *catalog.ServerEntry) {
	p := &m.peers
	if at, told := p.told[s.ID]; told && m.now.Sub(at) < toldFor || p.cut || p.silent[s.Zone] != 0 {
		return
	}
	p.told[s.ID] = m.now
	suspects := []catalog.ServerRun{s.Run()}
	if s.Zone == m.zone {
		m.tellZone(suspects)
	} else if relay := p.placed.LargestIn(s.Zone, dutyKey); relay != nil {
		m.sendSuspects(*relay, suspects)
	}
}

// tellZone names servers to the own zone. What exceeds the limit is left out: when many
// servers fail, each instance soon knows of them.
func (m *machine) tellZone(suspects []catalog.ServerRun) {
	p := &m.peers
	if m.now.Before(p.tellAt) {
		return
	}
	audience := m.audience(false)
	p.tellAt = m.now.Add(time.Duration(len(audience)) * time.Second / maxTells)
	for _, to := range audience {
		m.sendSuspects(to, suspects)
	}
}

func (m *machine) sendSuspects(to model.Member, suspects []catalog.ServerRun) {
	message := m.message(peer.Gossip, to.ID)
	message.UnreachableServers = suspects
	m.send(to.PeerAddress, message)
}

// takeSuspects probes the servers that another instance names. The relay passes those
// of other zones on.
func (m *machine) takeSuspects(message *peer.Message) {
	p := &m.peers
	if len(message.UnreachableServers) == 0 {
		return
	}
	if m.now.Sub(p.toldSince) >= time.Second {
		p.toldSince, p.toldCount = m.now, 0
	}
	for _, s := range message.UnreachableServers {
		if p.toldCount++; p.toldCount > maxTold {
			break
		}
		p.told[s.ID] = m.now
		m.catalog.MarkSuspect(s.ID, s.Started)
	}
	if m.passesOn(message) {
		m.tellZone(message.UnreachableServers)
	}
}

// forgetTold drops what is too old to matter.
func (m *machine) forgetTold() {
	for id, at := range m.peers.told {
		if m.now.Sub(at) >= toldFor {
			delete(m.peers.told, id)
		}
	}
}
