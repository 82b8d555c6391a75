package control

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/core/note"
	"github.com/savorytiller/savorytiller/internal/port"
)

// Keys of the configuration service.
const (
	keyLatest     = "release/latest"
	keyCheckpoint = "checkpoint/latest"
)

const (
	// pushRestarts is the number of restarts (R) of the hybrid push (package spread);
	// section 9 of the design page gives the figures.
	pushRestarts = 3
	// maxInlineNoteBytes is the maximum size of a note that an offer contains.
	maxInlineNoteBytes = 2 << 10
	// maxStoredNotes and maxStoredBytes limit the notes that are kept for peers. The
	// newest one is always kept.
	maxStoredNotes = 256
	maxStoredBytes = 512 << 10
	// maxMissingNotes is the number of missing notes above which a complete
	// configuration is read instead.
	maxMissingNotes = 64
	// maxAnswerBytes limits the notes in one answer. It is below the maximum size of
	// a message.
	maxAnswerBytes = 900 << 10
	// serversPerPart and servicesPerPart keep a part of a complete configuration
	// below 1 MB.
	serversPerPart  = 1500
	servicesPerPart = 500
	// refusedRetryDelay is the time after which a refused note is tried again,
	// because it may have been corrupted in transit.
	refusedRetryDelay = 30 * time.Second
	// transferRetryDelay is the delay after a failed transfer.
	transferRetryDelay = 500 * time.Millisecond
)

// storedNote is a note that is kept for peers.
type storedNote struct {
	base model.Version
	raw  RawNote
}

// noteState is the configuration in force and the state of note transfers.
type noteState struct {
	config      *model.Configuration
	quarantine  note.Quarantine
	stored      map[model.Version]storedNote
	order       []model.Version // of stored, oldest first
	storedBytes int

	newestKnown model.Version // highest version that a peer or the service has announced
	// holders are the last 8 peers that announced a newer version, the latest one last.
	holders []model.Member
	// latest is the last value of release/latest; revision is its revision in the
	// service, 0 to read it again.
	latest   note.Latest
	revision uint64
	// serviceBehind is set while the service announces an older version than the one in force.
	serviceBehind bool
	// skipUpTo is the highest refused version, 0 for none; later versions can still be
	// applied.
	skipUpTo        model.Version
	transferRunning bool
	needsFullConfig bool // the next transfer from a peer must be a complete configuration
	// retryAt is the earliest time of the next transfer. serviceReadAt is that of the next
	// read of a note or a checkpoint from the service, which does not delay transfers from
	// peers.
	retryAt, serviceReadAt model.Time
	// Parts received so far of a complete configuration, from the service or a peer.
	parts            []*note.Note
	checkpoint       note.Checkpoint
	partsFromPeer    bool
	lastRefusal      string
	refusedAt        model.Time
	lastConflict     string
	appliedAt        model.Time
	unscheduledRead  bool          // a read of release/latest that the scheduler did not start is running
	pausesBeforeRead int           // number of pauses before the last read of release/latest
	noCheckpointFor  model.Version // latest version for which no usable checkpoint exists
}

func (m *machine) version() model.Version {
	if m.notes.config == nil {
		return 0
	}
	return m.notes.config.Version
}

// recordPeerVersion records the version that a peer has in force.
func (m *machine) recordPeerVersion(from model.Member, v model.Version, digest uint64) {
	n := &m.notes
	switch {
	case v > max(m.version(), n.skipUpTo):
		n.newestKnown = max(n.newestKnown, v)
		n.holders = slices.DeleteFunc(n.holders, func(h model.Member) bool { return h.ID == from.ID })
		n.holders = append(n.holders, from)
		if len(n.holders) > 8 {
			n.holders = n.holders[1:]
		}
	case v == m.version() && v > 0 && digest != n.config.Digest:
		m.recordConflict(fmt.Sprintf("%s has version %d with digest %016x, in force is %016x", from.ID, v, digest, n.config.Digest))
	}
}

func (m *machine) recordConflict(detail string) {
	m.count.Conflicts++
	if m.notes.lastConflict != detail {
		m.notes.lastConflict = detail
		m.options.Recorder.Count("control", model.ReasonNoteConflict)
		m.options.Log.Error(nil, "two notes have the same version", "detail", detail)
	}
}

// readOrWatch starts a watch or a read of release/latest if the scheduler allows it.
func (m *machine) readOrWatch() {
	action, at := m.scheduler.Next(m.now, m.schedulerInput())
	switch action {
	case actionWatch:
		m.count.Watches++
		m.effects = append(m.effects, effWatch{m.notes.revision})
	case actionRead:
		m.readLatest()
	default:
		m.wakeBy(at)
	}
}

func (m *machine) readLatest() {
	m.count.Reads++
	m.notes.pausesBeforeRead = m.pauses
	m.effects = append(m.effects, effRead{keyLatest})
}

// readLatestUnscheduled reads release/latest after a pause if the budget allows it.
func (m *machine) readLatestUnscheduled() {
	if ok, _ := m.scheduler.Allow(m.now, m.schedulerInput()); ok {
		m.notes.unscheduledRead = true
		m.readLatest()
	}
}

func (m *machine) handleWatched(e evWatched) {
	m.scheduler.Done(m.now, e.err == nil)
	// After an outage the service may have been restored from a copy and give out the known
	// revision again, so the next watch must return at once.
	m.notes.revision = 0
	if e.err == nil {
		m.notes.revision = e.revision
		m.handleLatest(e.value)
	}
}

// handleLatest processes the value of release/latest. A version below the one in
// force comes from a stale service and has no effect.
func (m *machine) handleLatest(value []byte) {
	m.lastSourceRead, m.lastContact = m.now, m.now
	latest, err := m.options.Codec.DecodeLatest(value)
	if err != nil {
		m.recordRefusal(0, err)
		return
	}
	n := &m.notes
	n.latest = latest
	n.newestKnown = max(n.newestKnown, latest.Version)
	if older := latest.Version < m.version(); older != n.serviceBehind {
		n.serviceBehind = older
		message := "configuration service announces the note in force again"
		if older {
			message = "configuration service announces an older note than the one in force"
		}
		m.options.Log.Info(message, "announced", latest.Version, "version", m.version())
	}
	if latest.Version == m.version() && latest.HasDigest && latest.Version > 0 && latest.Digest != n.config.Digest {
		m.recordConflict(fmt.Sprintf("the service announces version %d with digest %016x, in force is %016x",
			latest.Version, latest.Digest, n.config.Digest))
	}
}

// startTransfer starts the next transfer if a newer version is known.
func (m *machine) startTransfer() {
	n := &m.notes
	if n.skipUpTo != 0 && m.now.Sub(n.refusedAt) > refusedRetryDelay {
		n.skipUpTo = 0
	}
	if n.transferRunning || n.newestKnown <= max(m.version(), n.skipUpTo) && len(n.holders) == 0 {
		return
	}
	if m.now.Before(n.retryAt) {
		m.wakeBy(n.retryAt)
		return
	}
	n.holders = slices.DeleteFunc(n.holders, func(h model.Member) bool { return m.isDead(h.ID) })
	if len(n.holders) > 0 {
		holder := n.holders[len(n.holders)-1]
		if n.needsFullConfig {
			m.fetchPart(holder, 0, 0)
		} else {
			m.fetchNotes(holder)
		}
		return
	}
	if n.latest.Version <= max(m.version(), n.skipUpTo) {
		return
	}
	if m.now.Before(n.serviceReadAt) {
		m.wakeBy(n.serviceReadAt)
		return
	}
	m.readNextFromService()
}

func (m *machine) isDead(id model.InstanceID) bool {
	member, ok := m.members.Get(id)
	return ok && member.Liveness == model.Dead
}

// readNextFromService reads the next note from the service, or for a complete
// configuration checkpoint/latest or the next part of the checkpoint.
func (m *machine) readNextFromService() {
	n := &m.notes
	next := max(m.version(), n.skipUpTo) + 1
	switch {
	case n.checkpoint.Parts > 0 && !n.partsFromPeer:
		m.readIfAllowed(fmt.Sprintf("checkpoint/%d/%d", n.checkpoint.Version, len(n.parts)))
	case m.version() == 0 && n.noCheckpointFor != n.latest.Version || n.latest.Version-next >= maxMissingNotes && n.noCheckpointFor != n.latest.Version:
		m.readIfAllowed(keyCheckpoint)
	default:
		m.readIfAllowed(fmt.Sprintf("release/%d", next))
	}
}

// readIfAllowed reads a key if the budget allows it now.
func (m *machine) readIfAllowed(key string) {
	ok, at := m.scheduler.Allow(m.now, m.schedulerInput())
	if !ok {
		m.notes.serviceReadAt = at
		m.wakeBy(at)
		return
	}
	m.notes.transferRunning = true
	m.count.Reads++
	m.effects = append(m.effects, effRead{key})
}

func (m *machine) handleRead(e evRead) {
	n := &m.notes
	if e.key == keyLatest {
		if n.unscheduledRead {
			n.unscheduledRead = false // the scheduler did not start this read
		} else {
			m.scheduler.Done(m.now, e.err == nil)
		}
		if e.err == nil {
			m.handleLatest(e.value)
			m.recordAnswer(n.pausesBeforeRead)
		}
		return
	}
	n.transferRunning = false
	missing := errors.Is(e.err, port.ErrNotFound)
	switch {
	case e.err != nil && !missing:
		m.scheduler.BackOff(m.now)
		n.retryAt = m.now.Add(transferRetryDelay)
		n.revision = 0 // read the newest version again after the outage
	case e.key == keyCheckpoint:
		m.handleCheckpoint(e.value, missing)
	case n.checkpoint.Parts > 0 && !n.partsFromPeer:
		m.handlePart(e.value, missing)
	case missing:
		// The service no longer has the note, so a complete configuration is needed.
		if n.noCheckpointFor == n.latest.Version {
			n.skipUpTo = max(m.version(), n.skipUpTo) + 1
			m.recordRefusal(n.skipUpTo, note.Refuse(model.ReasonNoteGap, "%s does not exist", e.key))
		}
		n.retryAt = m.now.Add(transferRetryDelay)
		m.readCheckpoint()
	default:
		version := max(m.version(), n.skipUpTo) + 1
		if err := m.applyRaw(e.value, n.latest); err != nil {
			n.skipUpTo = version
			m.recordRefusal(version, err)
			if isReason(err, model.ReasonNoteGap) {
				m.readCheckpoint()
			}
		}
	}
}

func (m *machine) readCheckpoint() {
	if m.notes.noCheckpointFor != m.notes.latest.Version {
		m.readIfAllowed(keyCheckpoint)
	}
}

func (m *machine) handleCheckpoint(value []byte, missing bool) {
	n := &m.notes
	if missing {
		n.noCheckpointFor = n.latest.Version
		return
	}
	c, err := m.options.Codec.DecodeCheckpoint(value)
	if err != nil || c.Version <= m.version() {
		n.noCheckpointFor = n.latest.Version
		if err != nil {
			m.recordRefusal(0, err)
		}
		return
	}
	n.checkpoint, n.parts, n.partsFromPeer = c, nil, false
}

func (m *machine) handlePart(value []byte, missing bool) {
	n := &m.notes
	var part *note.Note
	var err error = note.Refuse(model.ReasonNoteGap, "part %d of checkpoint %d does not exist", len(n.parts), n.checkpoint.Version)
	if !missing {
		part, err = m.options.Codec.DecodeNote(value)
	}
	if err != nil {
		m.recordRefusal(n.checkpoint.Version, err)
		m.discardParts()
		n.noCheckpointFor = n.latest.Version
		return
	}
	n.parts = append(n.parts, part)
	if len(n.parts) == n.checkpoint.Parts {
		if err := m.applyParts(0, false); err != nil {
			m.recordRefusal(n.checkpoint.Version, err)
			n.noCheckpointFor = n.latest.Version
		}
		m.discardParts()
	}
}

func (m *machine) discardParts() {
	m.notes.parts, m.notes.checkpoint = nil, note.Checkpoint{}
}

func (m *machine) applyParts(digest uint64, hasDigest bool) error {
	n := &m.notes
	complete, err := note.JoinParts(n.checkpoint.Version, n.parts)
	if err != nil {
		return err
	}
	next, err := note.Apply(n.config, complete)
	if err != nil {
		return err
	}
	expected := note.Latest{Version: next.Version, Digest: digest, HasDigest: hasDigest}
	if !hasDigest {
		expected = n.latest
	}
	if err := checkDigest(next, expected); err != nil {
		return err
	}
	m.install(next, nil, 0)
	return nil
}

func checkDigest(c *model.Configuration, expected note.Latest) error {
	if expected.HasDigest && expected.Version == c.Version && expected.Digest != c.Digest {
		return note.Refuse(model.ReasonNoteConflict, "version %d gives digest %016x, announced is %016x",
			c.Version, c.Digest, expected.Digest)
	}
	return nil
}

// applyRaw applies an encoded note. A refused note has no effect.
func (m *machine) applyRaw(raw RawNote, expected note.Latest) error {
	decoded, err := m.options.Codec.DecodeNote(raw)
	if err != nil {
		return err
	}
	next, err := note.Apply(m.notes.config, decoded)
	if err != nil {
		return err
	}
	if err := checkDigest(next, expected); err != nil {
		return err
	}
	m.install(next, raw, decoded.Base)
	return nil
}

// install puts a configuration in force and lets the push announce it.
func (m *machine) install(c *model.Configuration, raw RawNote, base model.Version) {
	n := &m.notes
	n.quarantine.Track(n.config, c, m.now)
	n.config, n.appliedAt = c, m.now
	n.skipUpTo = 0
	n.newestKnown = max(n.newestKnown, c.Version)
	n.holders = slices.DeleteFunc(n.holders, func(model.Member) bool { return n.newestKnown <= c.Version })
	m.storeNote(c.Version, base, raw)
	m.health.SetConfig(m.now, c)
	m.publisher.setConfig(c, m.now)
	m.refreshHomes()
	m.rebuild = true
	m.count.Applied++
	m.options.Recorder.Count("control", model.ReasonNoteApplied)
	m.options.Log.Info("note in force", "version", c.Version, "digest", fmt.Sprintf("%016x", c.Digest))
	m.pushInFlight = false
}

// storeNote keeps a note for peers that do not have it.
func (m *machine) storeNote(v, base model.Version, raw RawNote) {
	n := &m.notes
	if raw == nil {
		return
	}
	n.stored[v] = storedNote{base, raw}
	n.order = append(n.order, v)
	n.storedBytes += len(raw)
	for len(n.order) > maxStoredNotes || n.storedBytes > maxStoredBytes && len(n.order) > 1 {
		n.storedBytes -= len(n.stored[n.order[0]].raw)
		delete(n.stored, n.order[0])
		n.order = n.order[1:]
	}
}

func (m *machine) recordRefusal(v model.Version, err error) {
	n := &m.notes
	reason := model.ReasonNoteMalformed
	var refusal *note.Refusal
	if errors.As(err, &refusal) {
		reason = refusal.Reason
	}
	m.count.Refused++
	n.lastRefusal, n.refusedAt = fmt.Sprintf("note %d: %s", v, err), m.now
	m.options.Recorder.Count("control", reason)
	m.options.Recorder.Decision(port.Decision{At: m.now, Part: "control", Reason: reason, Subject: fmt.Sprintf("note %d", v), Detail: err.Error()})
	m.options.Log.Info("note refused", "version", v, "reason", err.Error())
}
