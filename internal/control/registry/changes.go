package registry

import (
	"maps"
	"slices"
	"time"

	"github.com/savorytiller/savorytiller/internal/core/catalog"
	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/core/peer"
)

// comparePosition compares the position of the sender with that of this instance. If they
// are equal, it adopts a newer confirmation of the sender. If that arrived in a Gossip
// message down the tree of the zone, or at the relay from another zone, this instance
// forwards it. If the sender's position is later, comparePosition schedules a pull.
func (m *machine) comparePosition(message *peer.Message) {
	if message.Revision == 0 {
		return
	}
	position := message.Position()
	switch {
	case m.feed.listed && position == m.feed.position():
		if at := m.now.Add(-message.Age - transitTime); message.Confirmed && at.After(m.confirmedAt) {
			m.confirm(at)
			m.registryAnsweredOther(at)
			if message.Kind == peer.Gossip && (m.forwardsToZone(message) || m.peers.tree.isParent(message.From.ID)) {
				for _, to := range m.peers.tree.children() {
					m.sendConfirmation(to)
				}
			}
		}
	case !m.feed.listed && m.registryReachable && m.feed.retryDelay == 0, m.feed.listed && !position.After(m.feed.position()), position.Epoch < m.feed.epoch:
		// This instance is listing the registry, which has not refused that, or the sender has
		// an older view.
	default:
		m.schedulePull(message.From, position, pullDelay)
	}
}

// schedulePull records that another instance has a later view, and schedules a pull
// after a delay in which the changes may arrive without one. If the catalog is not
// complete, a listing is pulled, preferably from the own zone, unless the registry answers
// within listingPatience of the start.
func (m *machine) schedulePull(from model.Member, position catalog.Position, after time.Duration) {
	p := &m.peers
	if !m.feed.listed {
		after = max(0, listingPatience-m.now.Sub(p.started))
		if p.newest.Revision != 0 && p.newestFrom.Zone == m.zone && from.Zone != m.zone {
			return
		}
	}
	if at := m.now.Add(after); p.newest.Revision == 0 || at.Before(p.pullAt) {
		p.pullAt = at
	}
	if !p.newest.After(position) {
		p.newest, p.newestFrom = position, from
	}
}

// pull requests the missing changes from the instance with the latest known view, if
// that is due.
func (m *machine) pull() {
	p := &m.peers
	if p.newest.Revision == 0 {
		return
	}
	if m.feed.listed && !p.newest.After(m.feed.position()) {
		p.newest = catalog.Position{}
		return
	}
	if at := max(p.pullAt, p.pullRetryAt); m.now.Before(at) {
		m.scheduleWake(at)
		return
	}
	p.pullRetryAt = m.now.Add(pullTimeout)
	m.scheduleWake(p.pullRetryAt)
	message := m.newMessage(peer.Pull, p.newestFrom.ID)
	if m.feed.listed {
		message.AfterRevision = m.feed.revision
	}
	m.counts.Pulls++
	m.send(p.newestFrom, message)
}

// answerPull sends the requested changes, or a complete listing if the change log does not
// have them.
func (m *machine) answerPull(message *peer.Message) {
	if !m.feed.listed {
		return
	}
	if message.AfterRevision != 0 && message.Epoch == m.feed.epoch {
		if entries, compacted, ok := m.peers.log.After(message.AfterRevision); ok {
			m.sendChanges(message.From, newChangeSet(message.AfterRevision, compacted, entries))
			return
		}
	}
	m.sendChanges(message.From, newChangeSet(0, false, m.catalog.Entries()))
}

// changeSet updates a catalog from an earlier revision to that of this instance.
type changeSet struct {
	// afterRevision is the earlier revision, or 0 for a complete listing.
	afterRevision uint64
	// compacted is set if the entries are valid only for a catalog at exactly
	// afterRevision.
	compacted bool
	// groups holds the entries of each message.
	groups [][]catalog.Entry
}

func newChangeSet(afterRevision uint64, compacted bool, entries []catalog.Entry) *changeSet {
	groups := peer.Split(entries)
	if len(groups) == 0 {
		groups = [][]catalog.Entry{nil} // still one message, for the revision
	}
	return &changeSet{afterRevision, compacted, groups}
}

// sendChanges sends a change set. The receiver applies it only once it has all messages:
// removals that a listing implies have the revision of the listing, which is later than
// that of the actual removal, so a part alone is not complete up to any revision.
func (m *machine) sendChanges(to model.Member, changes *changeSet) {
	m.peers.lastCallID++
	for i, group := range changes.groups {
		out := m.newMessage(peer.Changes, to.ID)
		out.CallID, out.AfterRevision, out.Compacted = m.peers.lastCallID, changes.afterRevision, changes.compacted
		out.Entries, out.Part, out.Parts = group, i, len(changes.groups)
		m.send(to, out)
	}
}

// receiveChanges applies changes or a complete listing once all parts have arrived. If
// earlier changes are missing, it schedules a pull instead.
func (m *machine) receiveChanges(message *peer.Message) {
	f, position := &m.feed, message.Position()
	switch {
	case position.Epoch < f.epoch || f.listed && !position.After(f.position()):
		return
	case message.AfterRevision == 0: // a complete listing
	case f.listed && (position.Epoch != f.epoch || message.AfterRevision > f.revision || message.Compacted && message.AfterRevision != f.revision):
		m.schedulePull(message.From, position, pullDelayAfterGap)
		return
	case !f.listed:
		return
	}
	entries, ok := m.peers.collectParts(m.now, message)
	if !ok {
		// More parts of the answer to a pull may still be in transit on a slow link.
		m.peers.pullRetryAt = m.now.Add(pullTimeout)
		return
	}
	after := f.revision
	if message.AfterRevision == 0 {
		m.log.Info("applying the listing of another instance", "instance", message.From.ID, "revision", message.Revision, "epoch", message.Epoch)
		if changes := m.applyListing(catalog.Changes{Entries: entries, Revision: message.Revision, Epoch: message.Epoch}); changes != nil {
			m.forward(&message.From, changes)
		}
		return
	}
	// The catalog reflects all entries up to its revision. Applied again, an older entry could
	// restore a server whose removal this instance never saw.
	entries = entriesAfter(after, entries)
	if !m.advance(entries, message.Revision, message.Compacted) {
		// Some of the entries were applied, so the catalog matches no single revision.
		m.relist()
	} else {
		m.forward(&message.From, newChangeSet(after, message.Compacted, entries))
	}
}

// collectParts stores a part and returns all entries once every part of the sender's
// change set has arrived.
func (p *peers) collectParts(now model.Time, message *peer.Message) (entries []catalog.Entry, ok bool) {
	if message.Parts == 1 {
		return message.Entries, true
	}
	if message.Part < 0 || message.Part >= message.Parts {
		return nil, false
	}
	p.expirePartials(now)
	c := p.partials[message.From.ID]
	if c == nil || c.callID != message.CallID {
		c = &partialChanges{callID: message.CallID, parts: map[int][]catalog.Entry{}}
		p.partials[message.From.ID] = c
	}
	if _, again := c.parts[message.Part]; !again {
		c.bytes += message.RetainedBytes()
	}
	c.lastPartAt, c.parts[message.Part] = now, message.Entries
	if len(c.parts) < message.Parts {
		p.limitPartials()
		return nil, false
	}
	delete(p.partials, message.From.ID)
	for i := range message.Parts {
		entries = append(entries, c.parts[i]...)
	}
	return entries, true
}

// expirePartials discards the incomplete change sets that no longer grow.
func (p *peers) expirePartials(now model.Time) {
	maps.DeleteFunc(p.partials, func(_ model.InstanceID, c *partialChanges) bool { return now.Sub(c.lastPartAt) > partialTimeout })
}

// limitPartials discards the incomplete change sets that have not grown for longest while all of
// them together exceed maxPartialBytes. The one that grew last remains.
func (p *peers) limitPartials() {
	bytes := 0
	for _, c := range p.partials {
		bytes += c.bytes
	}
	for bytes > maxPartialBytes && len(p.partials) > 1 {
		var oldest model.InstanceID
		for from, c := range p.partials {
			if oldest == "" || c.lastPartAt.Before(p.partials[oldest].lastPartAt) {
				oldest = from
			}
		}
		bytes -= p.partials[oldest].bytes
		delete(p.partials, oldest)
	}
}

// forwardsToZone reports whether this instance forwards the content of a message to its
// own zone: the relay does so with messages from other zones.
func (m *machine) forwardsToZone(message *peer.Message) bool {
	return message.From.Zone != m.zone && m.isRelay()
}

// forward sends changes that this instance has just applied down the tree of the zone. Changes
// from another zone go to the relay first, in case the sender took this instance for it.
func (m *machine) forward(from *model.Member, changes *changeSet) {
	if from.Zone != m.zone && !m.isRelay() {
		if relay := m.peers.members.LargestIn(m.zone, dutyKey); relay != nil {
			m.sendChanges(*relay, changes)
		}
		return
	}
	for _, to := range m.peers.tree.children() {
		if to.ID != from.ID {
			m.sendChanges(to, changes)
		}
	}
}

// broadcast starts to spread changes in the zone and, with otherZones set, sends them to the
// relays of the other zones. Without changes it announces the revision and its
// confirmation. An instance that is not the relay announces it to the whole zone.
func (m *machine) broadcast(changes *changeSet, otherZones bool) {
	recipients := m.peers.tree.children()
	if !m.isRelay() {
		recipients = m.peers.tree.others()
	}
	if otherZones {
		recipients = slices.Concat(recipients, m.otherRelays())
	}
	for _, to := range recipients {
		if changes != nil {
			m.sendChanges(to, changes)
		} else {
			m.sendConfirmation(to)
		}
	}
}

// sendConfirmation announces the revision of this instance and its confirmation.
func (m *machine) sendConfirmation(to model.Member) {
	m.send(to, m.newMessage(peer.Gossip, to.ID))
}

// otherRelays returns the relays of the other zones.
func (m *machine) otherRelays() (relays []model.Member) {
	for _, relay := range m.peers.members.Relays(dutyKey) {
		if relay.Zone != m.zone {
			relays = append(relays, *relay)
		}
	}
	return relays
}
