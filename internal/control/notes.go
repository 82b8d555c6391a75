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
	// pushRestarts is R of the hybrid push; design section 9 gives the figures.
	pushRestarts = 3
	// inlineNote is the largest note that an offer carries itself.
	inlineNote = 2 << 10
	// maxStored and maxStoredBytes bound the notes kept for peers. The newest
	// one is kept whatever its size.
	maxStored      = 256
	maxStoredBytes = 512 << 10
	// maxGap is the number of missing notes above which a complete
	// configuration is read instead.
	maxGap = 64
	// maxAnswer bounds the notes in one answer, below the size of a message.
	maxAnswer = 900 << 10
	// serversPerPart keeps a part of a complete configuration below 1 MB.
	serversPerPart  = 1500
	servicesPerPart = 500
	// retryRefused is the time after which a refused note is looked at again,
	// because its value may have been damaged on the way.
	retryRefused = 30 * time.Second
	// retryFetch is the pause after a failed transfer.
	retryFetch = 500 * time.Millisecond
)

// stored is a note that this instance passes on.
type stored struct {
	base model.Version
	raw  Raw
}

// notes is the state of the configuration and of its transfer.
type notes struct {
	config      *model.Configuration
	quarantine  note.Quarantine
	stored      map[model.Version]stored
	order       []model.Version
	storedBytes int

	wanted  model.Version // highest version that anybody named
	holders []model.Member
	// latest is what the configuration service named last.
	latest   note.Latest
	revision uint64
	// skip is the highest version that was refused; later ones may still apply.
	skip    model.Version
	busy    bool // a transfer is running
	full    bool // the next transfer from a peer must be complete
	retryAt model.Time
	// checkpoint under construction, from the service or a peer
	parts      []*note.Note
	partsOf    note.Checkpoint
	fromPeer   bool
	refusal    string
	refusedAt  model.Time
	conflict   string
	appliedAt  model.Time
	extra      bool          // a read of release/latest outside the plan is running
	askedAfter int           // number of pauses before the last read of release/latest
	checkedFor model.Version // version for which no checkpoint exists
}

func (m *machine) version() model.Version {
	if m.notes.config == nil {
		return 0
	}
	return m.notes.config.Version
}

// learned takes the version that a peer has in force.
func (m *machine) learned(from model.Member, v model.Version, digest uint64) {
	n := &m.notes
	switch {
	case v > max(m.version(), n.skip):
		n.wanted = max(n.wanted, v)
		n.holders = slices.DeleteFunc(n.holders, func(h model.Member) bool { return h.ID == from.ID })
		n.holders = append(n.holders, from)
		if len(n.holders) > 8 {
			n.holders = n.holders[1:]
		}
	case v == m.version() && v > 0 && digest != n.config.Digest:
		m.conflict(fmt.Sprintf("%s has version %d with digest %016x, in force is %016x", from.ID, v, digest, n.config.Digest))
	}
}

func (m *machine) conflict(detail string) {
	m.count.Conflicts++
	if m.notes.conflict != detail {
		m.notes.conflict = detail
		m.o.Recorder.Count("control", model.ReasonNoteConflict)
		m.o.Log.Error(nil, "two notes have the same version", "detail", detail)
	}
}

// read holds the watch or reads the newest version from the service.
func (m *machine) read() {
	action, at := m.reader.Next(m.now, m.input())
	switch action {
	case actionWatch:
		m.count.Watches++
		m.effects = append(m.effects, effWatch{m.notes.revision})
	case actionRead:
		m.readLatest()
	default:
		m.wake(at)
	}
}

func (m *machine) readLatest() {
	m.count.Reads++
	m.notes.askedAfter = m.pauses
	m.effects = append(m.effects, effRead{keyLatest})
}

// askService reads the newest version after a pause, if the budget allows it.
func (m *machine) askService() {
	if ok, _ := m.reader.Allow(m.now, m.input()); ok {
		m.notes.extra = true
		m.readLatest()
	}
}

func (m *machine) handleWatched(e evWatched) {
	m.reader.Done(m.now, e.err == nil)
	if e.err == nil {
		m.notes.revision = e.revision
		m.latest(e.value)
	}
}

// latest takes the value of release/latest. A version below the one in force
// comes from a stale service and changes nothing.
func (m *machine) latest(value []byte) {
	m.sourceSeen, m.contact = m.now, m.now
	latest, err := m.o.Codec.DecodeLatest(value)
	if err != nil {
		m.refuse(0, err)
		return
	}
	n := &m.notes
	n.latest = latest
	n.wanted = max(n.wanted, latest.Version)
	if latest.Version == m.version() && latest.HasDigest && latest.Version > 0 && latest.Digest != n.config.Digest {
		m.conflict(fmt.Sprintf("the service names version %d with digest %016x, in force is %016x",
			latest.Version, latest.Digest, n.config.Digest))
	}
}

// advance starts the next transfer if a newer version is known.
func (m *machine) advance() {
	n := &m.notes
	if n.skip != 0 && m.now.Sub(n.refusedAt) > retryRefused {
		n.skip = 0
	}
	if n.busy || n.wanted <= max(m.version(), n.skip) && len(n.holders) == 0 {
		return
	}
	if m.now.Before(n.retryAt) {
		m.wake(n.retryAt)
		return
	}
	n.holders = slices.DeleteFunc(n.holders, func(h model.Member) bool { return m.gone(h.ID) })
	if len(n.holders) > 0 {
		last := n.holders[len(n.holders)-1]
		if n.full {
			m.fetchPart(last, 0, 0)
		} else {
			m.fetchNotes(last)
		}
		return
	}
	if n.latest.Version > max(m.version(), n.skip) {
		m.readNote()
	}
}

func (m *machine) gone(id model.InstanceID) bool {
	known, ok := m.members.Get(id)
	return ok && known.Liveness == model.Dead
}

// readNote reads the next note, or the way to a complete configuration, from
// the service.
func (m *machine) readNote() {
	n := &m.notes
	next := max(m.version(), n.skip) + 1
	switch {
	case n.partsOf.Parts > 0 && !n.fromPeer:
		m.spend(fmt.Sprintf("checkpoint/%d/%d", n.partsOf.Version, len(n.parts)))
	case m.version() == 0 && n.checkedFor != n.latest.Version || n.latest.Version-next >= maxGap && n.checkedFor != n.latest.Version:
		m.spend(keyCheckpoint)
	default:
		m.spend(fmt.Sprintf("release/%d", next))
	}
}

// spend reads a key if the budget allows it now.
func (m *machine) spend(key string) {
	ok, at := m.reader.Allow(m.now, m.input())
	if !ok {
		m.notes.retryAt = at
		m.wake(at)
		return
	}
	m.notes.busy = true
	m.count.Reads++
	m.effects = append(m.effects, effRead{key})
}

func (m *machine) handleRead(e evRead) {
	n := &m.notes
	if e.key == keyLatest {
		if n.extra {
			n.extra = false // the reader did not plan this read
		} else {
			m.reader.Done(m.now, e.err == nil)
		}
		if e.err == nil {
			m.latest(e.value)
			m.answered(n.askedAfter)
		}
		return
	}
	n.busy = false
	missing := errors.Is(e.err, port.ErrNotFound)
	switch {
	case e.err != nil && !missing:
		m.reader.BackOff(m.now)
		n.retryAt = m.now.Add(retryFetch)
		n.revision = 0 // ask for the newest version again after the outage
	case e.key == keyCheckpoint:
		m.checkpointFound(e.value, missing)
	case n.partsOf.Parts > 0 && !n.fromPeer:
		m.partRead(e.value, missing)
	case missing:
		// The note is gone from the service: only a complete configuration helps.
		if n.checkedFor == n.latest.Version {
			n.skip = max(m.version(), n.skip) + 1
			m.refuse(n.skip, note.Refuse(model.ReasonNoteGap, "%s does not exist", e.key))
		}
		n.retryAt = m.now.Add(retryFetch)
		m.spendCheckpoint()
	default:
		version := max(m.version(), n.skip) + 1
		if err := m.applyRaw(e.value, n.latest); err != nil {
			n.skip = version
			m.refuse(version, err)
			if isReason(err, model.ReasonNoteGap) {
				m.spendCheckpoint()
			}
		}
	}
}

func (m *machine) spendCheckpoint() {
	if m.notes.checkedFor != m.notes.latest.Version {
		m.spend(keyCheckpoint)
	}
}

func (m *machine) checkpointFound(value []byte, missing bool) {
	n := &m.notes
	if missing {
		n.checkedFor = n.latest.Version
		return
	}
	c, err := m.o.Codec.DecodeCheckpoint(value)
	if err != nil || c.Version <= m.version() {
		n.checkedFor = n.latest.Version
		if err != nil {
			m.refuse(0, err)
		}
		return
	}
	n.partsOf, n.parts, n.fromPeer = c, nil, false
}

func (m *machine) partRead(value []byte, missing bool) {
	n := &m.notes
	var part *note.Note
	var err error = note.Refuse(model.ReasonNoteGap, "part %d of checkpoint %d does not exist", len(n.parts), n.partsOf.Version)
	if !missing {
		part, err = m.o.Codec.DecodeNote(value)
	}
	if err != nil {
		m.refuse(n.partsOf.Version, err)
		m.dropParts()
		n.checkedFor = n.latest.Version
		return
	}
	n.parts = append(n.parts, part)
	if len(n.parts) == n.partsOf.Parts {
		if err := m.applyParts(0, false); err != nil {
			m.refuse(n.partsOf.Version, err)
			n.checkedFor = n.latest.Version
		}
		m.dropParts()
	}
}

func (m *machine) dropParts() {
	m.notes.parts, m.notes.partsOf = nil, note.Checkpoint{}
}

func (m *machine) applyParts(digest uint64, check bool) error {
	n := &m.notes
	whole, err := note.JoinParts(n.partsOf.Version, n.parts)
	if err != nil {
		return err
	}
	next, err := note.Apply(n.config, whole)
	if err != nil {
		return err
	}
	expected := note.Latest{Version: next.Version, Digest: digest, HasDigest: check}
	if !check {
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

// applyRaw applies an encoded note. Nothing of a refused note is used.
func (m *machine) applyRaw(raw Raw, expected note.Latest) error {
	decoded, err := m.o.Codec.DecodeNote(raw)
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

// install puts a configuration in force and starts to spread it.
func (m *machine) install(c *model.Configuration, raw Raw, base model.Version) {
	n := &m.notes
	n.quarantine.Track(n.config, c, m.now)
	n.config, n.appliedAt = c, m.now
	n.skip = 0
	n.wanted = max(n.wanted, c.Version)
	n.holders = slices.DeleteFunc(n.holders, func(model.Member) bool { return n.wanted <= c.Version })
	m.store(c.Version, base, raw)
	m.health.SetConfig(m.now, c)
	m.pub.setConfig(c, m.now)
	m.refreshHomes()
	m.rebuild = true
	m.count.Applied++
	m.o.Recorder.Count("control", model.ReasonNoteApplied)
	m.o.Log.Info("note in force", "version", c.Version, "digest", fmt.Sprintf("%016x", c.Digest))
	m.pushing = false
}

// store keeps a note for peers that miss it.
func (m *machine) store(v, base model.Version, raw Raw) {
	n := &m.notes
	if raw == nil {
		return
	}
	n.stored[v] = stored{base, raw}
	n.order = append(n.order, v)
	n.storedBytes += len(raw)
	for len(n.order) > maxStored || n.storedBytes > maxStoredBytes && len(n.order) > 1 {
		n.storedBytes -= len(n.stored[n.order[0]].raw)
		delete(n.stored, n.order[0])
		n.order = n.order[1:]
	}
}

func (m *machine) refuse(v model.Version, err error) {
	n := &m.notes
	reason := model.ReasonNoteMalformed
	var refusal *note.Refusal
	if errors.As(err, &refusal) {
		reason = refusal.Reason
	}
	m.count.Refused++
	n.refusal, n.refusedAt = fmt.Sprintf("note %d: %s", v, err), m.now
	m.o.Recorder.Count("control", reason)
	m.o.Recorder.Decision(port.Decision{At: m.now, Part: "control", Reason: reason, Subject: fmt.Sprintf("note %d", v), Detail: err.Error()})
	m.o.Log.Info("note refused", "version", v, "reason", err.Error())
}
