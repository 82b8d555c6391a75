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
	// staleJitter spreads the reads of instances without news: the first one that
	// succeeds tells the others.
	staleJitter = 300 * time.Millisecond
	// relayLead is how much earlier than others a relay reads, which then need not.
	relayLead = 200 * time.Millisecond
	// transitTime is added to the age that a message states.
	transitTime = 50 * time.Millisecond
	// pullAfter is how long changes that another instance has may take to arrive by
	// themselves. They come over a relay and one call behind the watcher's.
	pullAfter = 200 * time.Millisecond
	// pullAfterGap is the same once a later change has arrived over the same way: only
	// messages that overtook each other are still to come.
	pullAfterGap = 50 * time.Millisecond
	// pullAgain is the time after which an answer to a pull counts as lost: the first
	// part of a listing on a link of 10 Mbit/s that others use too.
	pullAgain = 300 * time.Millisecond
	// partialTime is the time without a further part after which changes in several
	// messages are given up.
	partialTime = time.Second
)

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

// partial collects changes of another instance that come in several messages.
type partial struct {
	call  uint32
	parts map[int][]catalog.Entry
	// at is when the last part arrived.
	at model.Time
}

// peers is what the machine keeps of other instances.
type peers struct {
	seeds  []netip.AddrPort
	table  *member.Table
	placed *placement.Members
	// relay and watcher are the duties of this instance among those in placed.
	relay, watcher bool
	calls          map[uint32]*pendingCall
	lastCall       uint32
	started        model.Time
	tickAt         model.Time
	seedAt         model.Time
	// ahead is the furthest revision that another instance, aheadFrom, is known to hold
	// and this one lacks; 0 for none. It is asked at pullAt, but not before pullAgainAt,
	// while an earlier question may be answered.
	ahead               uint64
	aheadFrom           model.Member
	pullAt, pullAgainAt model.Time
	// heard is when a message of a zone arrived last.
	heard      map[model.Zone]model.Time
	askOtherAt model.Time
	// toldCut is when another instance of the zone last said that it is cut off.
	toldCut model.Time
	// cut is whether this zone counts as cut off, and cutAt when that changed.
	cut   bool
	cutAt model.Time
	// doubtAt is since when other zones are asked because a server of doubtZone does not
	// answer; 0 if they are not. doubtedAt is when that was last begun.
	doubtAt, doubtedAt model.Time
	doubtZone          model.Zone
	// told is when another instance last named a server as suspect; toldCount are those
	// named in the second from toldSince.
	told      map[model.ServerID]model.Time
	toldSince model.Time
	toldCount int
	// tellAt is when suspects may be named to the own zone again.
	tellAt model.Time
	// silent is since when zones do not answer.
	silent map[model.Zone]model.Time
	log    peer.ChangeLog
	// partials are the changes of which some parts are missing, by their senders.
	partials map[model.InstanceID]*partial
}

// dutyKey ranks the instances of equal capacity for the duties of their zones.
var dutyKey = placement.HashString("watcher")

// relays reports whether this instance passes news of other zones on in its own:
// the strongest live one of the zone.
func (m *machine) relays() bool { return m.peers.relay }

// watches reports whether this instance watches the registry for the instances
// that can hear each other: the strongest of the relays.
func (m *machine) watches() bool { return m.peers.watcher }

// place takes the live instances and derives the duties of this one.
func (p *peers) place(members []model.Member) {
	p.placed = placement.NewMembers(members)
	self := p.table.Self()
	relay, watcher := p.placed.LargestIn(self.Zone, dutyKey), p.placed.LargestOverall(dutyKey)
	p.relay = relay == nil || relay.ID == self.ID
	p.watcher = watcher == nil || watcher.ID == self.ID
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
	message.CallID = m.peers.lastCall
	m.peers.calls[message.CallID] = &pendingCall{to, m.now, m.now.Add(limit), done}
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
	p.place(p.table.Members())
	m.changed = true
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
	next, helpers := m.peers.table.ProbeFailed(m.now, to.ID)
	switch next {
	case member.RetryProbe:
		m.probePeer(to)
	case member.ProbeIndirectly:
		left, any := len(helpers), false
		for _, h := range helpers {
			message := m.message(peer.IndirectProbe, h.ID)
			message.Target = to.PeerAddress
			m.call(h, message, askLimit, func(reached bool) {
				any = any || reached
				if left--; left == 0 {
					m.peers.table.IndirectProbesDone(m.now, to.ID, any)
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
		m.linkWorked(c.sentAt)
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
	p.table.RecordContact(m.now, *from)
	p.table.Merge(m.now, message.Updates)
	for _, suspect := range p.table.TakeSuspects() {
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
		m.answered(message.CallID, true)
	case peer.IndirectProbe:
		m.help(message)
	case peer.Changes:
		m.takeChanges(message)
	case peer.Pull:
		m.provide(message)
	}
	m.takeSuspects(message)
	m.takeNews(message)
}

// answerProbe answers, and tells a new instance about the members.
func (m *machine) answerProbe(message *peer.Message) {
	to := message.From
	answer := m.message(peer.Answer, to.ID)
	answer.CallID = message.CallID
	m.send(to.PeerAddress, answer)
	if !message.Join {
		return
	}
	for chunk := range slices.Chunk(m.peers.table.Members(), maxUpdates) {
		news := m.message(peer.Gossip, to.ID)
		news.Updates = nil
		for _, known := range chunk {
			news.Updates = append(news.Updates, member.Update{Member: known})
		}
		m.send(to.PeerAddress, news)
	}
}

// help probes a member for another one.
func (m *machine) help(message *peer.Message) {
	from, question := message.From, message.CallID
	target := model.Member{PeerAddress: message.Target}
	m.call(target, m.message(peer.Probe, ""), answerLimit, func(reached bool) {
		if reached {
			answer := m.message(peer.Answer, from.ID)
			answer.CallID = question
			m.send(from.PeerAddress, answer)
		}
	})
}
