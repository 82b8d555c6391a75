// Package platform stands in for the platform's configuration service and
// instance list. The system under test can only read and watch keys; operators
// and scripts publish through the endpoints below /standin.
package platform

import (
	"context"
	"encoding/json"
	"maps"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/savorytiller/savorytiller/internal/standin/wire"
)

// MaxReadsPerSecond is the platform's limit on reads and watches of all readers together.
const MaxReadsPerSecond = 2000

// WatchTimeout is the time after which a watch ends without a change.
const WatchTimeout = 30 * time.Second

// MaxValueSize is the size limit of a value in bytes.
const MaxValueSize = 1 << 20

// Mode is the simulated state of the configuration service.
type Mode string

const (
	// Up is normal operation.
	Up Mode = "up"
	// Down answers every read with status 503.
	Down Mode = "down"
	// Hanging answers no read until the mode changes.
	Hanging Mode = "hanging"
	// Stale serves the values as they were when the mode was set.
	Stale Mode = "stale"
)

type status uint8

const (
	statusOK status = iota
	statusNotFound
	statusDown
	statusOverBudget
)

type entry struct {
	value    []byte
	revision uint64
}

type readReply struct {
	status status
	entry
}

// Events of the control goroutine. Reply channels are buffered for one value, so
// that the goroutine does not block if the reader has disconnected.
type (
	readEvent struct {
		key           string
		watch         bool
		knownRevision uint64
		reply         chan readReply
	}
	listEvent     struct{ reply chan wire.InstanceList }
	publishEvent  struct{ note *wire.Note }
	putEvent      struct{ key, value string }
	modeEvent     struct{ mode Mode }
	instanceEvent struct {
		instance wire.Instance
		removed  bool
	}
	statsEvent struct{ reply chan Stats }
)

// Stats counts the calls of readers, including refused ones.
type Stats struct {
	Reads              int `json:"reads"`
	Watches            int `json:"watches"`
	Refused            int `json:"refused"`
	Lists              int `json:"lists"`
	PeakReadsPerSecond int `json:"max_reads_in_a_second"`
	ReadsThisSecond    int `json:"-"`
}

type pendingChange struct {
	visibleAt time.Time
	instanceEvent
}

type pendingWatch struct {
	readEvent
	deadline time.Time
}

// Platform is the stand-in for the platform. Its control goroutine owns all
// state; HTTP handlers send events to it.
type Platform struct {
	events chan any
	lag    time.Duration
	now    func() time.Time

	keys, staleKeys map[string]entry
	mode            Mode
	watches         []pendingWatch
	heldReads       []readEvent // received in the mode Hanging
	instances       map[string]wire.Instance
	changes         []pendingChange // of the instance list, in order of visibleAt
	windowStart     time.Time
	stats           Stats
}

// New returns a platform whose instance list shows changes after the given lag.
func New(lag time.Duration, now func() time.Time) *Platform {
	return &Platform{events: make(chan any, 1024), lag: lag, now: now, keys: map[string]entry{}, mode: Up,
		instances: map[string]wire.Instance{}}
}

// Run is the control goroutine. It returns when the context ends.
func (p *Platform) Run(ctx context.Context) {
	ticker := time.NewTicker(100 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-p.events:
			p.handle(e)
		case <-ticker.C:
			p.completeWatches()
		}
	}
}

func (p *Platform) handle(e any) {
	switch e := e.(type) {
	case readEvent:
		p.handleRead(e)
	case listEvent:
		p.stats.Lists++
		e.reply <- p.instanceList()
	case publishEvent:
		p.publish(e.note)
	case putEvent:
		p.put(e.key, []byte(e.value))
	case modeEvent:
		p.setMode(e.mode)
	case instanceEvent:
		p.changes = append(p.changes, pendingChange{p.now().Add(p.lag), e})
	case statsEvent:
		e.reply <- p.stats
	}
}

// countAgainstBudget counts a read or watch and reports whether it is within
// MaxReadsPerSecond.
func (p *Platform) countAgainstBudget() bool {
	if now := p.now(); now.Sub(p.windowStart) >= time.Second {
		p.windowStart, p.stats.ReadsThisSecond = now, 0
	}
	p.stats.ReadsThisSecond++
	p.stats.PeakReadsPerSecond = max(p.stats.PeakReadsPerSecond, p.stats.ReadsThisSecond)
	if p.stats.ReadsThisSecond > MaxReadsPerSecond {
		p.stats.Refused++
		return false
	}
	return true
}

func (p *Platform) handleRead(e readEvent) {
	if e.watch {
		p.stats.Watches++
	} else {
		p.stats.Reads++
	}
	if !p.countAgainstBudget() {
		e.reply <- readReply{status: statusOverBudget}
		return
	}
	p.serveRead(e)
}

func (p *Platform) serveRead(e readEvent) {
	switch p.mode {
	case Down:
		e.reply <- readReply{status: statusDown}
		return
	case Hanging:
		p.heldReads = append(p.heldReads, e)
		return
	}
	found, ok := p.visibleKeys()[e.key]
	switch {
	case e.watch && found.revision == e.knownRevision:
		p.watches = append(p.watches, pendingWatch{e, p.now().Add(WatchTimeout)})
	case !ok:
		e.reply <- readReply{status: statusNotFound}
	default:
		e.reply <- readReply{entry: found}
	}
}

func (p *Platform) visibleKeys() map[string]entry {
	if p.mode == Stale {
		return p.staleKeys
	}
	return p.keys
}

// completeWatches answers the watches whose key has changed or whose timeout has passed.
func (p *Platform) completeWatches() {
	remaining := p.watches[:0]
	for _, w := range p.watches {
		found, ok := p.visibleKeys()[w.key]
		switch {
		case p.mode == Down:
			w.reply <- readReply{status: statusDown}
		case p.mode == Hanging || found.revision == w.knownRevision && p.now().Before(w.deadline):
			remaining = append(remaining, w)
		case !ok:
			w.reply <- readReply{status: statusNotFound}
		default:
			w.reply <- readReply{entry: found}
		}
	}
	p.watches = remaining
}

func (p *Platform) setMode(mode Mode) {
	if mode == Stale {
		p.staleKeys = maps.Clone(p.keys)
	}
	p.mode = mode
	heldReads := p.heldReads
	p.heldReads = nil
	for _, e := range heldReads {
		p.serveRead(e)
	}
	p.completeWatches()
}

func (p *Platform) put(key string, value []byte) {
	p.keys[key] = entry{value, p.keys[key].revision + 1}
	p.completeWatches()
}

func (p *Platform) publish(note *wire.Note) {
	value, _ := json.Marshal(note)
	p.put(noteKey(note.Version), value)
	latest, _ := json.Marshal(wire.LatestVersion{Version: note.Version})
	p.put("release/latest", latest)
}

// instanceList returns the instances after all changes that are older than the lag.
func (p *Platform) instanceList() wire.InstanceList {
	now := p.now()
	for len(p.changes) > 0 && !p.changes[0].visibleAt.After(now) {
		due := p.changes[0]
		p.changes = p.changes[1:]
		if due.removed {
			delete(p.instances, due.instance.ID)
		} else {
			p.instances[due.instance.ID] = due.instance
		}
	}
	list := wire.InstanceList{Instances: []wire.Instance{}}
	for _, instance := range p.instances {
		list.Instances = append(list.Instances, instance)
	}
	return list
}

// ParseMode returns the mode with the given name, or an error that lists the valid names.
func ParseMode(name string) (Mode, error) {
	switch m := Mode(name); m {
	case Up, Down, Hanging, Stale:
		return m, nil
	}
	return "", merry.Errorf("mode %q: must be up, down, hanging or stale", name)
}
