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
	// answerTimeout is how long the answer to a probe may take. indirectProbeTimeout also
	// covers the probe by the other instance.
	answerTimeout        = 400 * time.Millisecond
	indirectProbeTimeout = 900 * time.Millisecond
	// seedIntervalAlone is the time between probes of the seeds while no other instance is
	// known, seedInterval while no other zone is and seedIntervalJoined after that. The
	// probes then continue because a seed may have members that none of the known
	// instances has.
	seedIntervalAlone  = 500 * time.Millisecond
	seedInterval       = 5 * time.Second
	seedIntervalJoined = 30 * time.Second
	// zoneJoinInterval is the time between requests for the members of the own zone until
	// the first answer, zoneSyncInterval the mean time between later ones. They repair
	// what lost updates left different.
	zoneJoinInterval = 300 * time.Millisecond
	zoneSyncInterval = 15 * time.Second
	// zoneGap is the time without a message from the own zone after which this instance joins it again.
	// Each instance of the zone sends some probes each second.
	zoneGap = 1500 * time.Millisecond
	// deadRetention is how long dead instances are kept and probed. It is longer than
	// partitions that end without manual repair.
	deadRetention = 10 * time.Minute
	// transitTime is added to the age of a received confirmation, for the time that the
	// message was in transit.
	transitTime = 50 * time.Millisecond
	// pullDelay is how long to wait for changes that another instance already has before
	// they are pulled. They arrive through a relay, one message later than in the zone of
	// the watcher, so a message that states their revision often overtakes them.
	pullDelay = 200 * time.Millisecond
	// pullDelayAfterGap is used instead of pullDelay once later changes have arrived over
	// the same path. Then the missing ones can arrive only if messages were reordered.
	pullDelayAfterGap = 50 * time.Millisecond
	// listingPatience is the time after the start in which the registry is expected to answer
	// a listing. A listing from another instance would share the link with it.
	listingPatience = 250 * time.Millisecond
	// pullTimeout is the time after which the answer to a pull, or its next part, counts
	// as lost. It allows for the first part of a listing on a shared link of 10 Mbit/s.
	pullTimeout = 300 * time.Millisecond
	// partialTimeout is the time without a new part after which an incomplete change set
	// is discarded.
	partialTimeout = time.Second
)

// maxPartialBytes limits the memory of incomplete change sets. A complete listing with 30,000
// servers takes about 10 MB.
const maxPartialBytes = 16 << 20

// maxUpdatesPerMessage limits the members in one message, to bound its size.
const maxUpdatesPerMessage = 16

// contactsPerZone is the number of instances of each other zone that an instance knows. A
// zone stays reachable if all but one of them are lost at once, and its instances probe
// their own contacts if all are.
const contactsPerZone = 5

// pendingCall is a request to another instance that awaits its answer.
type pendingCall struct {
	to       model.Member
	sentAt   model.Time
	deadline model.Time
	// done is called with whether the answer arrived in time. It may be nil.
	done func(answered bool)
}

// partialChanges collects the parts of a change set that arrives in several messages.
type partialChanges struct {
	callID uint32
	parts  map[int][]catalog.Entry
	bytes  int // memory of the parts
	// lastPartAt is when the last part arrived.
	lastPartAt model.Time
}

// peers is the state of the machine that concerns other instances.
type peers struct {
	seeds   []netip.AddrPort
	table   *member.Table
	members *placement.Members
	// isRelay and isWatcher are the duties of this instance among the members.
	isRelay, isWatcher bool
	tree               zoneTree
	calls              map[uint32]*pendingCall // by CallID
	lastCallID         uint32
	started            model.Time // time of the first event
	contactAt          model.Time // time of the first message from another instance
	tickAt             model.Time // next call of table.Tick
	seedAt             model.Time // next probes of the seeds
	// zoneJoinAt is when the members of the own zone are requested next. zoneJoined is set
	// once they have been received.
	zoneJoinAt model.Time
	zoneJoined bool
	// joinedAt is when this instance started, or when it last had contact with its zone again.
	joinedAt model.Time
	// newest is the latest position that another instance, newestFrom, is known to have and
	// this one lacks; zero for none. It is pulled at pullAt, but not before pullRetryAt,
	// because an earlier pull may still be answered.
	newest              catalog.Position
	newestFrom          model.Member
	pullAt, pullRetryAt model.Time
	// lastMessageAt is the time of the last message from each zone.
	lastMessageAt    map[model.Zone]model.Time
	otherZoneProbeAt model.Time
	// cutOffReportedAt is when another instance of the zone last reported that the zone is
	// cut off.
	cutOffReportedAt model.Time
	// cutOff is set while this zone counts as cut off from the others. cutOffChangedAt is
	// when that last changed.
	cutOff          bool
	cutOffChangedAt model.Time
	// suspectedZoneAt is when suspectedZone became suspected because one of its servers
	// did not respond; 0 if no zone is suspected. While one is, other zones are probed
	// every zoneSuspicionProbeInterval. lastSuspicionAt is when the last suspicion began.
	suspectedZoneAt, lastSuspicionAt model.Time
	suspectedZone                    model.Zone
	// reportedAt is when each run of an unreachable server was last reported, by this or
	// another instance. reportWindowCount is the number of servers reported by others in the
	// second that began at reportWindowAt.
	reportedAt        map[catalog.ServerRun]model.Time
	reportWindowAt    model.Time
	reportWindowCount int
	// nextReportAt is the earliest time of the next report to the own zone.
	nextReportAt model.Time
	// unresponsiveSince holds the zones that do not respond, with the start of each
	// outage.
	unresponsiveSince map[model.Zone]model.Time
	// lostAt is when instances of other zones were lost without an announcement, for zoneLossTime.
	lostAt map[model.InstanceID]model.Time
	log    peer.ChangeLog
	// partials holds the incomplete change sets by their senders.
	partials map[model.InstanceID]*partialChanges
}

// dutyKey selects the relay or watcher among instances of equal capacity.
var dutyKey = placement.HashString("watcher")

// isRelay reports whether this instance forwards changes, confirmations and reports from
// other zones to its own zone, at the root of the zone's tree. The relay is the live
// instance of the zone with the largest capacity. While all instances of the zone are
// leaving, each counts as the relay.
func (m *machine) isRelay() bool { return m.peers.isRelay }

// isWatcher reports whether this instance watches the registry on behalf of all instances
// that can exchange messages. The watcher is the relay with the largest capacity.
func (m *machine) isWatcher() bool { return m.peers.isWatcher }

// setMembers sets the live and leaving instances and derives the duties of this one.
func (p *peers) setMembers(members []model.Member) {
	p.members = placement.NewMembers(members)
	self := p.table.Self()
	relay, watcher := p.members.LargestIn(self.Zone, dutyKey), p.members.LargestOverall(dutyKey)
	p.isRelay = relay == nil || relay.ID == self.ID
	p.isWatcher = watcher == nil || watcher.ID == self.ID
	p.tree = newZoneTree(p.members, &self)
}

// newMessage returns a message with the fields that every message carries.
func (m *machine) newMessage(kind peer.Kind, to model.InstanceID) *peer.Message {
	out := &peer.Message{Kind: kind, From: m.peers.table.Self()}
	out.Updates = m.peers.table.Updates(to)
	// An instance that only assumes that its zone is cut off does not report it. Otherwise
	// the instances of a zone would confirm each other's assumption.
	_, received := m.lastFromOtherZones()
	out.CutOff = m.peers.cutOff && received
	if m.feed.listed {
		out.Epoch, out.Revision = m.feed.epoch, m.feed.revision
		out.Confirmed = m.confirmedAt != 0
		out.Age = m.now.Sub(m.confirmedAt)
	}
	return out
}

func (m *machine) send(to model.Member, message *peer.Message) {
	m.effects = append(m.effects, effSend{to, message})
}

// call sends a request. done, unless it is nil, is called once the answer arrives or the
// timeout has passed.
func (m *machine) call(to model.Member, message *peer.Message, timeout time.Duration, done func(answered bool)) {
	m.peers.lastCallID++
	message.CallID = m.peers.lastCallID
	m.peers.calls[message.CallID] = &pendingCall{to, m.now, m.now.Add(timeout), done}
	m.send(to, message)
}

// maintainPeers does everything that is due towards other instances: probes, timeouts of
// calls, and changes of the members.
func (m *machine) maintainPeers() {
	p := &m.peers
	if p.started == 0 {
		p.started, p.joinedAt = m.now, m.now
		m.doubtOwnZone()
		p.tickAt = m.now.Add(time.Duration(m.random.Int64N(int64(time.Second))))
	}
	m.expireCalls()
	if !m.now.Before(p.tickAt) {
		p.tickAt = m.now.Add(time.Second)
		for _, to := range p.table.Tick(m.now) {
			m.probePeer(to)
		}
	}
	m.scheduleWake(p.tickAt)
	m.probeSeeds()
	m.joinZone()
	m.probeOtherZones()
	if p.table.TakeChanged() {
		m.membersChanged()
	}
}

// probeSeeds probes the seeds that are not known as live instances, in order to join the
// other instances.
func (m *machine) probeSeeds() {
	p := &m.peers
	if len(p.seeds) == 0 {
		return
	}
	if m.now.Before(p.seedAt) {
		m.scheduleWake(p.seedAt)
		return
	}
	interval := seedIntervalAlone
	switch {
	case p.table.HasLiveContacts():
		interval = seedIntervalJoined/2 + time.Duration(m.random.Int64N(int64(seedIntervalJoined)))
	case p.table.Len() > 1:
		interval = seedInterval
	}
	p.seedAt = m.now.Add(interval)
	m.scheduleWake(p.seedAt)
	for _, seed := range p.seeds {
		if !p.hasLiveAddress(seed) {
			message := m.newMessage(peer.Probe, "")
			message.Join = interval <= seedInterval
			m.send(model.Member{PeerAddress: seed}, message)
		}
	}
}

// joinZone requests the members of the own zone from one of them. The seeds may be in other
// zones, whose instances know only a few members of this one.
func (m *machine) joinZone() {
	p := &m.peers
	if m.now.Before(p.zoneJoinAt) {
		m.scheduleWake(p.zoneJoinAt)
		return
	}
	to, ok := p.table.RandomInZone()
	if !ok {
		return // the next message of a member of the zone leads here again
	}
	interval := zoneJoinInterval
	if p.zoneJoined {
		interval = zoneSyncInterval/2 + time.Duration(m.random.Int64N(int64(zoneSyncInterval)))
	}
	p.zoneJoinAt = m.now.Add(interval)
	m.scheduleWake(p.zoneJoinAt)
	message := m.newMessage(peer.Probe, to.ID)
	message.Join = true
	m.send(to, message)
}

// hasOtherSeeds reports whether a seed is configured that is not this instance.
func (p *peers) hasOtherSeeds() bool {
	self := p.table.Self().PeerAddress
	return slices.ContainsFunc(p.seeds, func(seed netip.AddrPort) bool { return seed != self })
}

// hasLiveAddress reports whether a live or leaving instance has the given peer address.
func (p *peers) hasLiveAddress(address netip.AddrPort) bool {
	return slices.ContainsFunc(p.members.All(), func(live model.Member) bool { return live.PeerAddress == address })
}

// membersChanged copies the members from the membership table and logs the differences.
func (m *machine) membersChanged() {
	p := &m.peers
	previous := p.members
	p.setMembers(p.table.Members())
	m.doubtLostZones(previous)
	m.changed = true
	for _, current := range p.members.All() {
		was, known := previous.Get(current.ID)
		if !known || was.Liveness != current.Liveness {
			m.log.Info("instance state changed", "instance", current.ID, "zone", current.Zone, "liveness", current.Liveness.String())
		}
	}
	for _, was := range previous.All() {
		// An instance of another zone that is no longer a contact left the table altogether.
		if _, inTable := p.table.Get(was.ID); !inTable {
			continue
		}
		if _, known := p.members.Get(was.ID); !known {
			m.log.Info("instance unavailable", "instance", was.ID, "zone", was.Zone)
		}
	}
}

// probePeer probes another instance.
func (m *machine) probePeer(to model.Member) {
	m.call(to, m.newMessage(peer.Probe, to.ID), answerTimeout, func(answered bool) {
		if !answered {
			m.probeFailed(to)
		}
	})
}

// probeFailed handles a failed probe as the membership table decides: it repeats the
// probe, or asks other instances to probe indirectly and records their result.
func (m *machine) probeFailed(to model.Member) {
	action, probers := m.peers.table.ProbeFailed(m.now, to.ID)
	switch action {
	case member.RetryProbe:
		m.probePeer(to)
	case member.ProbeIndirectly:
		remaining, reached := len(probers), false
		for _, prober := range probers {
			message := m.newMessage(peer.IndirectProbe, prober.ID)
			message.Target = to.PeerAddress
			m.call(prober, message, indirectProbeTimeout, func(answered bool) {
				reached = reached || answered
				if remaining--; remaining == 0 {
					m.peers.table.IndirectProbesDone(m.now, to.ID, reached)
				}
			})
		}
	}
}

// expireCalls finishes the calls whose deadline has passed, in the order in which they were
// sent.
func (m *machine) expireCalls() {
	var expired []uint32
	for id, c := range m.peers.calls {
		if m.now.Before(c.deadline) {
			m.scheduleWake(c.deadline)
			continue
		}
		expired = append(expired, id)
	}
	slices.Sort(expired)
	for _, id := range expired {
		m.finishCall(id, false)
	}
}

// finishCall ends a call that was answered or timed out.
func (m *machine) finishCall(id uint32, answered bool) {
	c := m.peers.calls[id]
	if c == nil {
		return
	}
	delete(m.peers.calls, id)
	if answered {
		m.recordAnswer(c.sentAt)
	}
	if c.done != nil {
		c.done(answered)
	}
}

// receive processes a message from another instance.
func (m *machine) receive(message *peer.Message) {
	p := &m.peers
	from := &message.From
	if from.ID == p.table.Self().ID {
		return
	}
	if p.contactAt == 0 {
		p.contactAt = m.now
	}
	p.table.RecordContact(m.now, *from)
	p.table.Merge(m.now, message.Updates)
	for _, suspect := range p.table.TakeSuspects() {
		m.probePeer(suspect)
	}
	if from.Zone == m.zone && p.lastMessageAt[m.zone] != 0 && m.now.Sub(p.lastMessageAt[m.zone]) > zoneGap {
		p.joinedAt, p.zoneJoinAt = m.now, m.now // reports may have been missed
	}
	p.lastMessageAt[from.Zone] = m.now
	if message.CutOff && from.Zone == m.zone {
		p.cutOffReportedAt = m.now
	}
	p.zoneJoined = p.zoneJoined || message.Kind == peer.Gossip && message.Join && len(message.Updates) > 0 && from.Zone == m.zone
	switch message.Kind {
	case peer.Probe:
		m.answerProbe(message)
	case peer.Answer:
		m.finishCall(message.CallID, true)
	case peer.IndirectProbe:
		m.probeIndirectly(message)
	case peer.Changes:
		m.receiveChanges(message)
	case peer.Pull:
		m.answerPull(message)
	case peer.Lookup:
		m.answerLookup(message)
	case peer.LookupAnswer:
		m.receiveLookupAnswer(message)
	case peer.Load:
		m.receiveLoad(message)
	}
	m.receiveReport(message)
	m.receiveRecoveries(message)
	if message.Kind == peer.Doubt {
		m.receiveDoubts(message)
	} else {
		m.receiveEnds(message)
	}
	m.comparePosition(message)
}

// answerProbe answers a probe, and sends what an instance that joins needs to know: ends of servers,
// and the live and leaving members.
func (m *machine) answerProbe(message *peer.Message) {
	to := message.From
	answer := m.newMessage(peer.Answer, to.ID)
	answer.CallID = message.CallID
	m.send(to, answer)
	if !message.Join {
		return
	}
	m.sendKnownEnds(to)
	for chunk := range slices.Chunk(m.peers.table.MembersFor(to.Zone), maxUpdatesPerMessage) {
		gossip := m.newMessage(peer.Gossip, to.ID)
		gossip.Updates, gossip.Join = nil, true
		for _, known := range chunk {
			gossip.Updates = append(gossip.Updates, member.Update{Member: known})
		}
		m.send(to, gossip)
	}
}

// probeIndirectly probes an instance on behalf of another one.
func (m *machine) probeIndirectly(message *peer.Message) {
	from, callID := message.From, message.CallID
	target := model.Member{PeerAddress: message.Target}
	m.call(target, m.newMessage(peer.Probe, ""), answerTimeout, func(answered bool) {
		if answered {
			answer := m.newMessage(peer.Answer, from.ID)
			answer.CallID = callID
			m.send(from, answer)
		}
	})
}
