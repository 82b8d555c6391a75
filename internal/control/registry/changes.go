package registry

import (
	"maps"
	"time"

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
		if at := m.now.Add(-message.Age - transitTime); message.Confirmed && at.After(m.confirmed) {
			m.confirm(at)
			if message.Kind == peer.Gossip && m.passesOn(message) {
				m.tell(nil, false)
			}
		}
	case !m.feed.listed && m.contact, m.feed.listed && message.Revision < m.feed.revision:
		// A listing is on its way, or the sender is behind.
	default:
		m.lag(message.From, message.Revision, pullAfter)
	}
}

// lag notes that another instance is further, and plans to ask it after a time in which
// the changes may arrive by themselves. Without a listing there is nothing to wait for.
func (m *machine) lag(from model.Member, revision uint64, after time.Duration) {
	p := &m.peers
	if !m.feed.listed {
		after = 0
	}
	if at := m.now.Add(after); p.ahead == 0 || at.Before(p.pullAt) {
		p.pullAt = at
	}
	if revision >= p.ahead {
		p.ahead, p.aheadFrom = revision, from
	}
}

// pull asks the instance that is furthest for what this one lacks.
func (m *machine) pull() {
	p := &m.peers
	if p.ahead == 0 {
		return
	}
	if m.feed.listed && p.ahead <= m.feed.revision {
		p.ahead = 0
		return
	}
	if at := max(p.pullAt, p.pullAgainAt); m.now.Before(at) {
		m.wake(at)
		return
	}
	p.pullAgainAt = m.now.Add(pullAgain)
	m.wake(p.pullAgainAt)
	message := m.message(peer.Pull, p.aheadFrom.ID)
	if m.feed.listed {
		message.AfterRevision = m.feed.revision
	}
	m.counts.Pulls++
	m.send(p.aheadFrom.PeerAddress, message)
}

// provide answers a Pull.
func (m *machine) provide(message *peer.Message) {
	if !m.feed.listed {
		return
	}
	if entries, leaps, ok := m.peers.log.After(message.AfterRevision); ok && message.AfterRevision != 0 {
		m.sendChanges(message.From, newUpdate(message.AfterRevision, leaps, entries))
		return
	}
	m.sendChanges(message.From, newUpdate(0, false, m.catalog.Entries()))
}

// update leads a belief on from a revision to the own one.
type update struct {
	// after is 0 for a complete listing.
	after uint64
	// leaps is set if the entries lead on from exactly that revision.
	leaps bool
	// groups are the entries by the messages that bring them.
	groups [][]catalog.Entry
}

func newUpdate(after uint64, leaps bool, entries []catalog.Entry) *update {
	groups := peer.Split(entries)
	if len(groups) == 0 {
		groups = [][]catalog.Entry{nil} // the revision alone is news
	}
	return &update{after, leaps, groups}
}

// sendChanges sends an update. Its entries count together: a listing gives removals
// a later revision than they had, so a part completes nothing.
func (m *machine) sendChanges(to model.Member, u *update) {
	m.peers.lastCall++
	for i, group := range u.groups {
		out := m.message(peer.Changes, to.ID)
		out.CallID, out.AfterRevision, out.Compacted = m.peers.lastCall, u.after, u.leaps
		out.Entries, out.Part, out.Parts = group, i, len(u.groups)
		m.send(to.PeerAddress, out)
	}
}

// takeChanges applies changes, or a complete listing, once all parts are here.
func (m *machine) takeChanges(message *peer.Message) {
	f := &m.feed
	switch {
	case f.listed && message.Revision <= f.revision:
		return
	case f.listed && (message.AfterRevision > f.revision || message.Compacted && message.AfterRevision != f.revision):
		m.lag(message.From, message.Revision, pullAfterGap)
		return
	case !f.listed && message.AfterRevision != 0:
		return
	}
	entries, ok := m.peers.collect(m.now, message)
	if !ok {
		// The answer to a pull may take its time on a narrow link.
		m.peers.pullAgainAt = m.now.Add(pullAgain)
		return
	}
	after := f.revision
	if message.AfterRevision == 0 {
		m.log.Info("listing taken from another instance", "instance", message.From.ID, "revision", message.Revision)
		m.takeListing(catalog.Changes{Entries: entries, Revision: message.Revision})
		return
	}
	if !m.advance(entries, message.Revision, message.Compacted) {
		// Some entries are applied, so the belief is between two revisions.
		m.startOver()
	} else if m.passesOn(message) {
		m.tell(newUpdate(after, message.Compacted, entries), false)
	}
}

// collect takes a part and returns the entries once all parts of its sender are here.
func (p *peers) collect(now model.Time, message *peer.Message) (entries []catalog.Entry, ok bool) {
	if message.Parts == 1 {
		return message.Entries, true
	}
	if message.Part < 0 || message.Part >= message.Parts {
		return nil, false
	}
	maps.DeleteFunc(p.partials, func(_ model.InstanceID, c *partial) bool { return now.Sub(c.at) > partialTime })
	c := p.partials[message.From.ID]
	if c == nil || c.call != message.CallID {
		c = &partial{call: message.CallID, parts: map[int][]catalog.Entry{}}
		p.partials[message.From.ID] = c
	}
	c.at, c.parts[message.Part] = now, message.Entries
	if len(c.parts) < message.Parts {
		return nil, false
	}
	delete(p.partials, message.From.ID)
	for i := range message.Parts {
		entries = append(entries, c.parts[i]...)
	}
	return entries, true
}

// passesOn reports whether this instance tells its zone what a message says: the
// relay does so with messages of other zones.
func (m *machine) passesOn(message *peer.Message) bool {
	return message.From.Zone != m.zone && m.relays()
}

// tell passes an update, or only news if it is nil, to the other instances of the
// zone, and to the relays of the other zones unless it has come from there.
func (m *machine) tell(u *update, otherZones bool) {
	for _, to := range m.audience(otherZones) {
		if u != nil {
			m.sendChanges(to, u)
		} else {
			m.send(to.PeerAddress, m.message(peer.Gossip, to.ID))
		}
	}
}

// audience returns the other instances of the zone and, on request, the relays of the
// other zones.
func (m *machine) audience(otherZones bool) (targets []model.Member) {
	p := &m.peers
	self := p.table.Self().ID
	for _, to := range p.placed.All() {
		if to.Zone == m.zone && to.ID != self {
			targets = append(targets, to)
		}
	}
	if otherZones {
		for _, relay := range p.placed.Relays(dutyKey) {
			if relay.Zone != m.zone {
				targets = append(targets, *relay)
			}
		}
	}
	return targets
}
