package registry

import (
	"net/netip"
	"slices"
	"time"

	"github.com/savorytiller/savorytiller/internal/core/catalog"
	"github.com/savorytiller/savorytiller/internal/core/member"
	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/core/peer"
	"github.com/savorytiller/savorytiller/internal/core/placement"
)

// Times of the exchange with other instances.
const (
	// answerLimit is how long an answer to a probe may take; askLimit leaves the
	// helper time for its own probe.
	answerLimit = 400 * time.Millisecond
	askLimit    = 900 * time.Millisecond
	// seedEvery is the time between two messages to the seeds while no other
	// instance is known, seedAgain while some are: others may be known to them only.
	seedEvery = 500 * time.Millisecond
	seedAgain = 5 * time.Second
	// keepDead is how long dead instances are probed: longer than partitions last
	// that nobody repairs by hand.
	keepDead = 10 * time.Minute
	// staleJitter spreads these reads: the first one to succeed tells the others.
	staleJitter = 300 * time.Millisecond
	// transitTime is added to the age that a message states.
	transitTime = 50 * time.Millisecond
	// pullEvery bounds the requests for missing changes.
	pullEvery = 150 * time.Millisecond
	// settledAfter is how long an instance takes part before its view of the
	// others counts for the homes of cold servers.
	settledAfter = 3 * time.Second
	// quietAfter is the time without a message from any other zone after which some
	// of their instances are asked, every askOtherEvery. cutAfter is when this zone
	// counts as cut off: two rounds of questions without an answer.
	quietAfter    = 700 * time.Millisecond
	askOtherEvery = 300 * time.Millisecond
	cutAfter      = 1300 * time.Millisecond
	// zoneQuietAfter is the time without a message from one zone after which its
	// servers are not probed.
	zoneQuietAfter = 2200 * time.Millisecond
)

// askOthers is the number of instances of other zones that are asked at a time.
const askOthers = 3

// maxUpdates bounds the members in one message, for its size.
const maxUpdates = 16

// pendingCall is a question to another instance.
type pendingCall struct {
	to       model.Member
	sentAt   model.Time
	deadline model.Time
	// done takes whether the answer came in time; nil for none.
	done func(reached bool)
}

// partial collects the parts of a complete listing of another instance.
type partial struct {
	from     model.InstanceID
	revision uint64
	parts    map[int][]catalog.Entry
}

// peers is what the machine keeps of other instances.
type peers struct {
	seeds    []netip.AddrPort
	table    *member.Table
	placed   *placement.Members
	calls    map[uint32]*pendingCall
	lastCall uint32
	started  model.Time
	tickAt   model.Time
	seedAt   model.Time
	pullAt   model.Time
	// answeredAt is when the last question was sent that got an answer in time.
	answeredAt model.Time
	// heard is when a message of a zone arrived last.
	heard      map[model.Zone]model.Time
	askOtherAt model.Time
	// toldCut is when another instance of the zone last said that it is cut off.
	toldCut model.Time
	// cut is whether this zone counts as cut off.
	cut     bool
	log     peer.Log
	partial partial
}

// watches reports whether this instance watches the registry for its zone.
func (m *machine) watches() bool {
	watcher := m.peers.placed.Strongest(m.zone, placement.HashString("watcher"))
	return watcher == nil || watcher.ID == m.peers.table.Self().ID
}

// message returns a message with what every message tells.
func (m *machine) message(kind peer.Kind, to model.InstanceID) *peer.Message {
	out := &peer.Message{Kind: kind, From: m.peers.table.Self()}
	out.Updates = m.peers.table.Updates(to)
	// Who only assumes it does not pass it on: neighbours would confirm each other.
	_, heard := m.heardOther()
	out.CutOff = m.peers.cut && heard
	if m.feed.listed {
		out.Revision = m.feed.revision
		out.Confirmed = m.confirmed != 0
		out.Age = m.now.Sub(m.confirmed)
	}
	return out
}

func (m *machine) send(to netip.AddrPort, message *peer.Message) {
	m.effects = append(m.effects, effSend{to, message})
}

// call sends a question and waits for its answer.
func (m *machine) call(to model.Member, message *peer.Message, limit time.Duration, done func(reached bool)) {
	m.peers.lastCall++
	message.Call = m.peers.lastCall
	m.peers.calls[message.Call] = &pendingCall{to, m.now, m.now.Add(limit), done}
	m.send(to.PeerAddress, message)
}

// exchange does what is due towards other instances.
func (m *machine) exchange() {
	p := &m.peers
	if p.started == 0 {
		p.started = m.now
		p.tickAt = m.now.Add(time.Duration(m.random.Int64N(int64(time.Second))))
	}
	m.expireCalls()
	if !m.now.Before(p.tickAt) {
		p.tickAt = m.now.Add(time.Second)
		for _, to := range p.table.Tick(m.now) {
			m.probePeer(to)
		}
	}
	m.wake(p.tickAt)
	m.askSeeds()
	m.askOtherZones()
	if p.table.TakeChanged() {
		m.membersChanged()
	}
}

// askSeeds tries to find instances that are not known, through the seeds.
func (m *machine) askSeeds() {
	p := &m.peers
	if len(p.seeds) == 0 {
		return
	}
	if m.now.Before(p.seedAt) {
		m.wake(p.seedAt)
		return
	}
	pause := seedEvery
	if p.table.Len() > 1 {
		pause = seedAgain
	}
	p.seedAt = m.now.Add(pause)
	m.wake(p.seedAt)
	for _, seed := range p.seeds {
		if !p.knows(seed) {
			message := m.message(peer.Probe, "")
			message.Join = true
			m.send(seed, message)
		}
	}
}

// knows reports whether an address is that of a live instance.
func (p *peers) knows(address netip.AddrPort) bool {
	return slices.ContainsFunc(p.placed.All(), func(i model.Member) bool { return i.PeerAddress == address })
}

func (m *machine) membersChanged() {
	p := &m.peers
	before := p.placed
	p.placed = placement.NewMembers(p.table.Members())
	m.changed = true
	if before == nil {
		return
	}
	for _, now := range p.placed.All() {
		was, known := before.Get(now.ID)
		if !known || was.Liveness != now.Liveness {
			m.log.Info("instance seen", "instance", now.ID, "zone", now.Zone, "liveness", now.Liveness.String())
		}
	}
	for _, was := range before.All() {
		if _, known := p.placed.Get(was.ID); !known {
			m.log.Info("instance lost", "instance", was.ID, "zone", was.Zone)
		}
	}
}

// probePeer asks a member for a sign of life.
func (m *machine) probePeer(to model.Member) {
	m.call(to, m.message(peer.Probe, to.ID), answerLimit, func(reached bool) {
		if !reached {
			m.probeFailed(to)
		}
	})
}

// probeFailed goes on after a failed probe: retry, then ask helpers, then
// believe that the member is dead.
func (m *machine) probeFailed(to model.Member) {
	next, helpers := m.peers.table.Failed(m.now, to.ID)
	switch next {
	case member.Retry:
		m.probePeer(to)
	case member.Ask:
		left, any := len(helpers), false
		for _, h := range helpers {
			message := m.message(peer.Ask, h.ID)
			message.Target = to.PeerAddress
			m.call(h, message, askLimit, func(reached bool) {
				any = any || reached
				if left--; left == 0 {
					m.peers.table.Asked(m.now, to.ID, any)
				}
			})
		}
	}
}

func (m *machine) expireCalls() {
	var late []uint32
	for id, c := range m.peers.calls {
		if m.now.Before(c.deadline) {
			m.wake(c.deadline)
			continue
		}
		late = append(late, id)
	}
	slices.Sort(late)
	for _, id := range late {
		m.answered(id, false)
	}
}

// answered ends a question.
func (m *machine) answered(id uint32, reached bool) {
	c := m.peers.calls[id]
	if c == nil {
		return
	}
	delete(m.peers.calls, id)
	if reached {
		m.peers.answeredAt = max(m.peers.answeredAt, c.sentAt)
	}
	if c.done != nil {
		c.done(reached)
	}
}

// receive takes a message of another instance.
func (m *machine) receive(message *peer.Message) {
	p := &m.peers
	from := &message.From
	if from.ID == p.table.Self().ID {
		return
	}
	p.table.Heard(m.now, *from)
	p.table.Merge(m.now, message.Updates)
	for _, suspect := range p.table.TakeVerify() {
		m.probePeer(suspect)
	}
	p.heard[from.Zone] = m.now
	if message.CutOff && from.Zone == m.zone {
		p.toldCut = m.now
	}
	switch message.Kind {
	case peer.Probe:
		m.answerProbe(message)
	case peer.Answer:
		m.answered(message.Call, true)
	case peer.Ask:
		m.help(message)
	case peer.Changes:
		m.takeChanges(message)
	case peer.Pull:
		m.provide(message)
	}
	m.takeNews(message)
}

// answerProbe answers, and tells a new instance about the members.
func (m *machine) answerProbe(message *peer.Message) {
	to := message.From
	answer := m.message(peer.Answer, to.ID)
	answer.Call = message.Call
	m.send(to.PeerAddress, answer)
	if !message.Join {
		return
	}
	for chunk := range slices.Chunk(m.peers.table.Members(), maxUpdates) {
		news := m.message(peer.News, to.ID)
		news.Updates = nil
		for _, known := range chunk {
			news.Updates = append(news.Updates, member.Update{Member: known})
		}
		m.send(to.PeerAddress, news)
	}
}

// help probes a member for another one.
func (m *machine) help(message *peer.Message) {
	from, question := message.From, message.Call
	target := model.Member{PeerAddress: message.Target}
	m.call(target, m.message(peer.Probe, ""), answerLimit, func(reached bool) {
		if reached {
			answer := m.message(peer.Answer, from.ID)
			answer.Call = question
			m.send(from.PeerAddress, answer)
		}
	})
}

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

// askOtherZones asks instances of other zones while none is heard.
func (m *machine) askOtherZones() {
	p := &m.peers
	last, heard := m.heardOther()
	m.setCutOff(last, heard)
	if !heard && !p.table.OtherZones() {
		return
	}
	if at := max(last.Add(quietAfter), p.askOtherAt); m.now.Before(at) {
		m.wake(at)
	} else {
		p.askOtherAt = m.now.Add(askOtherEvery)
		m.wake(p.askOtherAt)
		for range askOthers {
			if to, ok := p.table.RandomOther(); ok {
				m.call(to, m.message(peer.Probe, to.ID), answerLimit, nil)
			}
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
	cut := heard && m.now.Sub(last) >= cutAfter || !heard && (starting || told || p.table.OtherZones())
	if cut != p.cut {
		p.cut, m.changed = cut, true
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
