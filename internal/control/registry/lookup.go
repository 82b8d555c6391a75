package registry

import (
	"maps"
	"slices"
	"time"

	"github.com/savorytiller/savorytiller/internal/core/catalog"
	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/core/peer"
	"github.com/savorytiller/savorytiller/internal/core/steering"
)

// Times and limits of lookups of tokens.
const (
	// lookupRetry is the time after which a token that no answer explained is looked up
	// again.
	lookupRetry = 300 * time.Millisecond
	// lookupSettleTime is how long other answers may still show a server after the first one
	// that says that it has ended. It covers round trips between zones.
	lookupSettleTime = 50 * time.Millisecond
	// lookupExpiry is the time after which a token is forgotten unless it is reported again.
	lookupExpiry = 2 * time.Second
	// endedTokenLifetime is how long a server that no instance knows counts as ended. It may
	// be a live one that the registry lists again soon, so it is looked up again from
	// endedTokenRecheck on, while packets with its token arrive.
	endedTokenLifetime = 3 * time.Second
	endedTokenRecheck  = time.Second
	// lookupContacts is the number of instances of other zones that are asked. Instances of
	// the own zone may have lost what they knew at the same time as this one.
	lookupContacts = 2
	// maxLookups and maxEndedTokens limit the memory for tokens, which callers can forge.
	maxLookups     = 2048
	maxEndedTokens = 16_384
	// maxTokensPerMessage keeps a message with tokens of 5 bytes below 1,000 bytes.
	maxTokensPerMessage = 128
)

// lookup is a token of open flows that no known server has. The flows' server was unlisted
// before this instance started, or is newer than its view.
type lookup struct {
	firstAt, reportedAt, askedAt model.Time
	// endedAt is when an answer said that the server has ended; 0 if none did.
	endedAt model.Time
}

// endedToken is the token of a server that has ended.
type endedToken struct {
	foundAt model.Time
	// observed is set if this instance found it out itself. What it knows from another
	// instance is not passed on, since instances could keep each other's finding alive.
	observed bool
}

// lookups holds the tokens that are being looked up and those of ended servers.
type lookups struct {
	pending map[steering.Token]*lookup
	ended   map[steering.Token]endedToken
	// published is the set of ended tokens in the snapshot; nil after a change.
	published map[steering.Token]bool
}

func newLookups() lookups {
	return lookups{pending: map[steering.Token]*lookup{}, ended: map[steering.Token]endedToken{}}
}

// endedTokens returns the tokens of ended servers as a set that does not change.
func (l *lookups) endedTokens() map[steering.Token]bool {
	if l.published == nil {
		l.published = make(map[steering.Token]bool, len(l.ended))
		for token := range l.ended {
			l.published[token] = true
		}
	}
	return l.published
}

// expire forgets ended servers after endedTokenLifetime, and earlier if they are known now.
func (l *lookups) expire(now model.Time, servers *steering.TokenIndex) {
	for token, ended := range l.ended {
		if now.Sub(ended.foundAt) > endedTokenLifetime || servers.Find(token) != nil {
			delete(l.ended, token)
			l.published = nil
		}
	}
}

// unknownToken starts a lookup.
func (m *machine) unknownToken(token steering.Token) {
	l := &m.lookups
	servers := m.builtSnapshot.Servers
	if ended, ok := l.ended[token]; ok && m.now.Sub(ended.foundAt) < endedTokenRecheck {
		return // the next snapshot shows it
	}
	if servers.Find(token) != nil || servers.Ambiguous(token) {
		return // the next snapshot shows it, or nothing will
	}
	if p := l.pending[token]; p != nil {
		p.reportedAt = m.now
	} else if len(l.pending) < maxLookups {
		l.pending[token] = &lookup{firstAt: m.now, reportedAt: m.now}
	}
}

// lookUpTokens asks other instances about the pending tokens and decides about those that
// are due. It waits until the built snapshot has all servers of the catalog.
func (m *machine) lookUpTokens() {
	if m.changed {
		return
	}
	var ask []steering.Token
	for token, p := range m.lookups.pending {
		switch {
		case m.builtSnapshot.Servers.Find(token) != nil, m.now.Sub(p.reportedAt) > lookupExpiry:
			delete(m.lookups.pending, token)
		case m.knowsEnded(p):
			m.serverEnded(token, true)
		case p.endedAt != 0 && m.now.Sub(p.endedAt) >= lookupSettleTime:
			m.serverEnded(token, false)
		case p.askedAt == 0 || m.now.Sub(p.askedAt) >= lookupRetry:
			p.askedAt = m.now
			ask = append(ask, token)
			fallthrough
		default:
			next := p.askedAt.Add(lookupRetry)
			if p.endedAt != 0 {
				next = min(next, p.endedAt.Add(lookupSettleTime))
			}
			m.scheduleWake(next)
		}
	}
	slices.Sort(ask)
	for chunk := range slices.Chunk(ask, maxTokensPerMessage) {
		for _, to := range m.lookupRecipients() {
			message := m.newMessage(peer.Lookup, to.ID)
			message.Tokens = chunk
			m.send(to, message)
		}
	}
}

// knowsEnded reports whether this instance can tell without others that the server of a
// token has ended: its view was confirmed after the token was first seen, and entries that
// expired during an outage of the registry have been restored. Others that know more have
// had the time to answer.
func (m *machine) knowsEnded(p *lookup) bool {
	return m.feed.listed && m.catalog.Settled(m.now) && m.confirmedAt.After(p.firstAt) && m.now.Sub(p.firstAt) >= lookupRetry
}

func (m *machine) lookupRecipients() []model.Member {
	recipients := map[model.InstanceID]model.Member{}
	if to, ok := m.peers.table.RandomInZone(); ok {
		recipients[to.ID] = to
	}
	for range lookupContacts {
		if to, ok := m.peers.table.RandomInOtherZone(); ok {
			recipients[to.ID] = to
		}
	}
	return slices.SortedFunc(maps.Values(recipients), func(a, b model.Member) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
}

// serverEnded records that the server of a token has ended. observed is set if this instance
// found it out without others.
func (m *machine) serverEnded(token steering.Token, observed bool) {
	l := &m.lookups
	delete(l.pending, token)
	if len(l.ended) < maxEndedTokens {
		l.ended[token], l.published, m.changed = endedToken{m.now, observed}, nil, true
		m.scheduleWake(m.now)
		m.log.Info("server of a flow has ended", "token", uint32(token), "observed", observed)
	}
}

// answerLookup sends what this instance knows about the servers of tokens. Listed servers are
// left out: the asking instance gets them as changes.
func (m *machine) answerLookup(message *peer.Message) {
	var ended []steering.Token
	var unlisted []catalog.Entry
	for _, token := range message.Tokens {
		server := m.builtSnapshot.Servers.Find(token)
		switch {
		case server == nil:
			// A server that is unknown here may be newer than this view, so only one that is
			// known to have ended is named.
			if m.lookups.ended[token].observed {
				ended = append(ended, token)
			}
		case server.HasEnded(m.now, &m.builtSnapshot.Availability):
			ended = append(ended, token)
		default:
			if e, ok := m.catalog.UnlistedRun(catalog.RunOf(server)); ok {
				unlisted = append(unlisted, catalog.Entry{Key: string(e.ID), Server: &e})
			}
		}
	}
	groups := peer.Split(unlisted)
	if len(groups) == 0 && len(ended) > 0 {
		groups = append(groups, nil)
	}
	for i, group := range groups {
		answer := m.newMessage(peer.LookupAnswer, message.From.ID)
		answer.Entries = group
		if i == 0 {
			answer.Tokens = ended
		}
		m.send(message.From, answer)
	}
}

// receiveLookupAnswer adds the unlisted servers of an answer to the catalog and records which
// servers have ended.
func (m *machine) receiveLookupAnswer(message *peer.Message) {
	for i := range message.Entries {
		if e := message.Entries[i].Server; e != nil {
			m.catalog.AddUnlisted(m.now, e)
		}
	}
	for _, token := range message.Tokens {
		if p := m.lookups.pending[token]; p != nil && p.endedAt == 0 {
			p.endedAt = m.now
		}
	}
}
