package control

import (
	"errors"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/core/note"
	"github.com/savorytiller/savorytiller/internal/core/spread"
	"github.com/savorytiller/savorytiller/internal/port"
)

// fetchNotes fetches the notes after the version in force from a peer.
func (m *machine) fetchNotes(from model.Member) {
	m.notes.transferRunning = true
	answer := &fetchAnswer{}
	m.call(&effCall{to: from, method: methodFetch, params: &fetch{Have: m.version()}, result: answer, timeout: fetchTimeout,
		done: func(m *machine, err error) {
			n := &m.notes
			n.transferRunning = false
			if err != nil {
				m.removeHolder(from.ID)
				return
			}
			if answer.Version <= m.version() {
				m.removeHolder(from.ID)
				return
			}
			if len(answer.Notes) == 0 {
				n.needsFullConfig = true
				return
			}
			for _, raw := range answer.Notes {
				expected := note.Latest{Version: answer.Version, Digest: answer.Digest, HasDigest: true}
				if err := m.applyRaw(raw, expected); err != nil {
					if !isReason(err, model.ReasonNoteOld) {
						m.recordRefusal(answer.Version, err)
						n.needsFullConfig = true // the peer's complete configuration may still be valid
					}
					break
				}
			}
			m.tryEndRevalidation()
		}})
}

func isReason(err error, reason model.Reason) bool {
	var r *note.Refusal
	return errors.As(err, &r) && r.Reason == reason
}

func (m *machine) removeHolder(id model.InstanceID) {
	n := &m.notes
	n.holders = slices.DeleteFunc(n.holders, func(h model.Member) bool { return h.ID == id })
	n.needsFullConfig = false
	if n.partsFromPeer {
		m.discardParts()
	}
	n.retryAt = m.now.Add(transferRetryDelay / 4)
}

// fetchPart fetches one part of the complete configuration from a peer, and then the
// remaining parts. Version 0 means the version that the peer has in force.
func (m *machine) fetchPart(from model.Member, version model.Version, part int) {
	n := &m.notes
	n.transferRunning = true
	answer := &fetchAnswer{}
	m.call(&effCall{to: from, method: methodFetch, timeout: fetchTimeout, result: answer,
		params: &fetch{Have: m.version(), Full: true, Version: version, Part: part},
		done: func(m *machine, err error) {
			n.transferRunning = false
			if err != nil || answer.Part == nil || answer.Version <= m.version() || answer.Parts > note.MaxParts ||
				part > 0 && answer.Version != version {
				m.removeHolder(from.ID)
				return
			}
			if part == 0 {
				n.parts, n.checkpoint, n.partsFromPeer = nil, note.Checkpoint{Version: answer.Version, Parts: answer.Parts}, true
			}
			n.parts = append(n.parts, answer.Part)
			if len(n.parts) < answer.Parts {
				m.fetchPart(from, answer.Version, part+1)
				return
			}
			err = m.applyParts(answer.Digest, true)
			m.discardParts()
			n.needsFullConfig = false
			if err != nil {
				m.recordRefusal(answer.Version, err)
				m.removeHolder(from.ID)
				n.skipUpTo = max(n.skipUpTo, answer.Version)
			}
			m.tryEndRevalidation()
		}})
}

// provideNotes answers a fetch of a peer. The error is port.ErrNotFound if this
// instance has no configuration.
func (m *machine) provideNotes(p *fetch) (*fetchAnswer, error) {
	c := m.notes.config
	if c == nil {
		return nil, merry.Wrap(port.ErrNotFound, merry.AppendMessage("no configuration"))
	}
	answer := &fetchAnswer{Version: c.Version, Digest: c.Digest}
	if !p.Full {
		size := 0
		for v := p.Have; v < c.Version; {
			s, ok := m.successor(v)
			if !ok || size+len(s.raw) > maxAnswerBytes && size > 0 {
				break
			}
			answer.Notes = append(answer.Notes, s.raw)
			size += len(s.raw)
			v = s.version
		}
		return answer, nil
	}
	if p.Part > 0 && p.Version != c.Version {
		return nil, merry.Errorf("version %d is no longer in force", p.Version)
	}
	parts := note.SplitParts(c, servicesPerPart, serversPerPart)
	if p.Part < 0 || p.Part >= len(parts) {
		return nil, merry.Errorf("part %d of %d", p.Part, len(parts))
	}
	answer.Part, answer.Parts = parts[p.Part], len(parts)
	return answer, nil
}

type successorNote struct {
	storedNote
	version model.Version
}

// successor returns the stored note that can be applied to version v.
func (m *machine) successor(v model.Version) (successorNote, bool) {
	for _, next := range m.notes.order {
		if s := m.notes.stored[next]; next > v && (s.base == v || s.base == 0) {
			return successorNote{s, next}, true
		}
	}
	return successorNote{}, false
}

// handleOffer processes and answers an offer of a peer.
func (m *machine) handleOffer(from model.InstanceID, p *offer) *offerAnswer {
	m.lastContact = m.now
	if p.Age >= 0 {
		m.lastSourceRead = max(m.lastSourceRead, m.now.Add(-time.Duration(p.Age)*time.Millisecond))
	}
	knew := p.Version <= m.version() || m.notes.transferRunning && p.Version <= m.notes.newestKnown
	sender, known := m.members.Get(from)
	if p.Version > m.version() && len(p.Note) > 0 {
		expected := note.Latest{Version: p.Version, Digest: p.Digest, HasDigest: true}
		if err := m.applyRaw(p.Note, expected); err != nil {
			if !isReason(err, model.ReasonNoteGap) {
				m.recordRefusal(p.Version, err)
			}
		}
	}
	if known {
		m.recordPeerVersion(sender, p.Version, p.Digest)
	}
	return &offerAnswer{Knew: knew, Version: m.version()}
}

// pushNext sends the next offer of the push, if one is due.
func (m *machine) pushNext() {
	c := m.notes.config
	if c == nil || m.pushInFlight || m.leaving {
		return
	}
	if m.pushVersion != c.Version {
		m.pushVersion = c.Version
		m.push.Start(m.notes.latest.Version == c.Version)
	}
	all := m.publisher.members.All()
	self, _ := slices.BinarySearchFunc(all, m.options.Self.ID, func(a model.Member, id model.InstanceID) int {
		return compareID(a.ID, id)
	})
	target, ok := m.push.Next(self, len(all))
	if !ok {
		return
	}
	m.pushInFlight = true
	params := &offer{Version: c.Version, Digest: c.Digest, Age: m.sourceAgeMillis()}
	if s, ok := m.notes.stored[c.Version]; ok && len(s.raw) <= maxInlineNoteBytes {
		params.Note = s.raw
	}
	answer := &offerAnswer{}
	to := all[target]
	m.call(&effCall{to: to, method: methodOffer, params: params, result: answer, timeout: callTimeout,
		done: func(m *machine, err error) {
			if m.pushVersion != params.Version || m.version() != params.Version {
				return // a newer version is being pushed
			}
			m.pushInFlight = false
			switch {
			case err != nil:
				m.push.Result(spread.Lost)
			case answer.Knew:
				m.push.Result(spread.AlreadyInformed)
			default:
				m.push.Result(spread.NewlyInformed)
			}
			if err == nil {
				m.recordPeerVersion(to, answer.Version, c.Digest)
			}
		}})
}

func compareID(a, b model.InstanceID) int {
	if a < b {
		return -1
	}
	if a > b {
		return 1
	}
	return 0
}
