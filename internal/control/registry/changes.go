package registry

import (
	"github.com/savorytiller/savorytiller/internal/core/catalog"
	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/core/peer"
)

// takeNews compares the sender's belief with the own one.
func (m *machine) takeNews(message *peer.Message) {
	if message.Revision == 0 {
		return
	}
	switch {
	case m.feed.listed && message.Revision == m.feed.revision:
		if message.Confirmed {
			m.confirm(m.now.Add(-message.Age - transitTime))
		}
	case !m.feed.listed && m.contact, m.feed.listed && message.Revision < m.feed.revision:
		// A listing is on its way, or the sender is behind.
	default:
		m.pull(message.From)
	}
}

// pull asks another instance for what this one lacks.
func (m *machine) pull(from model.Member) {
	if m.now.Before(m.peers.pullAt) {
		return
	}
	m.peers.pullAt = m.now.Add(pullEvery)
	message := m.message(peer.Pull, from.ID)
	if m.feed.listed {
		message.After = m.feed.revision
	}
	m.counts.Pulls++
	m.send(from.PeerAddress, message)
}

// pullWhole asks another instance for a complete listing.
func (m *machine) pullWhole(from model.Member) {
	m.counts.Pulls++
	m.send(from.PeerAddress, m.message(peer.Pull, from.ID))
}

// provide answers a Pull.
func (m *machine) provide(message *peer.Message) {
	if !m.feed.listed {
		return
	}
	entries, ok := m.peers.log.After(message.After)
	if ok && message.After != 0 {
		m.sendChanges(message.From, message.After, entries)
		return
	}
	groups := peer.Split(m.catalog.All())
	for i, group := range groups {
		out := m.message(peer.Changes, message.From.ID)
		out.Entries, out.Part, out.Parts = group, i, len(groups)
		m.send(message.From.PeerAddress, out)
	}
}

// sendChanges brings an instance up to date that knows everything up to after.
func (m *machine) sendChanges(to model.Member, after uint64, entries []catalog.Entry) {
	groups := peer.Split(entries)
	for i, group := range groups {
		out := m.message(peer.Changes, to.ID)
		out.After, out.Entries = after, group
		if i < len(groups)-1 {
			// The next message completes the belief further.
			out.Revision, out.Confirmed = group[len(group)-1].Revision, false
		}
		after = out.Revision
		m.send(to.PeerAddress, out)
	}
}

// takeChanges applies changes, or a complete listing once all its parts are here.
func (m *machine) takeChanges(message *peer.Message) {
	if message.Parts > 0 {
		m.takePart(message)
		return
	}
	if !m.feed.listed || message.Revision <= m.feed.revision {
		return
	}
	if message.After > m.feed.revision {
		m.pull(message.From)
		return
	}
	if !m.advance(message.Entries, message.Revision) {
		m.pullWhole(message.From)
	}
}

func (m *machine) takePart(message *peer.Message) {
	if m.feed.listed && message.Revision <= m.feed.revision {
		return
	}
	p := &m.peers.partial
	if p.from != message.From.ID || p.revision != message.Revision {
		*p = partial{message.From.ID, message.Revision, map[int][]catalog.Entry{}}
	}
	p.parts[message.Part] = message.Entries
	if len(p.parts) < message.Parts {
		return
	}
	whole := catalog.Changes{Revision: message.Revision}
	for _, entries := range p.parts {
		whole.Entries = append(whole.Entries, entries...)
	}
	*p = partial{}
	m.log.Info("listing taken from another instance", "instance", message.From.ID, "revision", whole.Revision)
	m.takeListing(whole)
}

// tellZone passes changes, or only news, to the other instances of the zone.
func (m *machine) tellZone(after uint64, entries []catalog.Entry) {
	if m.peers.placed == nil {
		return
	}
	for _, to := range m.peers.placed.All() {
		switch {
		case to.Zone != m.zone || to.ID == m.peers.table.Self().ID:
		case len(entries) > 0:
			m.sendChanges(to, after, entries)
		default:
			m.send(to.PeerAddress, m.message(peer.News, to.ID))
		}
	}
}
