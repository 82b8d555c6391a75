// Package platform stands in for the platform's configuration service and
// instance list. The system can only read and watch; operators and the demo
// publish through endpoints below /standin.
package platform

import (
	"context"
	"encoding/json"
	"maps"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/savorytiller/savorytiller/internal/standin/wire"
)

// ReadsPerSecond is the platform's limit over all readers.
const ReadsPerSecond = 2000

// WatchTimeout ends a watch without a change.
const WatchTimeout = 30 * time.Second

// MaxValue is the largest value in bytes.
const MaxValue = 1 << 20

// Mode is the state of the configuration service.
type Mode string

const (
	// Up answers normally.
	Up Mode = "up"
	// Down answers 503.
	Down Mode = "down"
	// Hanging answers nothing until the mode changes.
	Hanging Mode = "hanging"
	// Stale serves the values from when the mode was set.
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

type answer struct {
	status status
	entry
}

// Events of the control goroutine. A reply channel has room for one value, so
// that the goroutine never waits for a reader that went away.
type (
	readEvent struct {
		key   string
		watch bool
		known uint64
		reply chan answer
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

// Stats counts the calls of readers.
type Stats struct {
	Reads     int `json:"reads"`
	Watches   int `json:"watches"`
	Refused   int `json:"refused"`
	Lists     int `json:"lists"`
	MaxSecond int `json:"max_reads_in_a_second"`
	Second    int `json:"-"`
}

type change struct {
	visible time.Time
	instanceEvent
}

type waiting struct {
	readEvent
	until time.Time
}

// Platform is the stand-in. Its control goroutine owns all state; HTTP
// handlers post events to it.
type Platform struct {
	events chan any
	lag    time.Duration
	now    func() time.Time

	keys, stale map[string]entry
	mode        Mode
	waiting     []waiting
	hanging     []readEvent
	instances   map[string]wire.Instance
	changes     []change
	windowStart time.Time
	stats       Stats
}

// New returns a platform whose instance list shows changes after lag.
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
			p.wake()
		}
	}
}

func (p *Platform) handle(e any) {
	switch e := e.(type) {
	case readEvent:
		p.read(e)
	case listEvent:
		p.stats.Lists++
		e.reply <- p.list()
	case publishEvent:
		p.publish(e.note)
	case putEvent:
		p.put(e.key, []byte(e.value))
	case modeEvent:
		p.setMode(e.mode)
	case instanceEvent:
		p.changes = append(p.changes, change{p.now().Add(p.lag), e})
	case statsEvent:
		e.reply <- p.stats
	}
}

// spend counts a call against the read budget and reports whether it fits.
func (p *Platform) spend() bool {
	if now := p.now(); now.Sub(p.windowStart) >= time.Second {
		p.windowStart, p.stats.Second = now, 0
	}
	p.stats.Second++
	p.stats.MaxSecond = max(p.stats.MaxSecond, p.stats.Second)
	if p.stats.Second > ReadsPerSecond {
		p.stats.Refused++
		return false
	}
	return true
}

func (p *Platform) read(e readEvent) {
	if e.watch {
		p.stats.Watches++
	} else {
		p.stats.Reads++
	}
	if !p.spend() {
		e.reply <- answer{status: statusOverBudget}
		return
	}
	p.answer(e)
}

func (p *Platform) answer(e readEvent) {
	switch p.mode {
	case Down:
		e.reply <- answer{status: statusDown}
		return
	case Hanging:
		p.hanging = append(p.hanging, e)
		return
	}
	found, ok := p.served()[e.key]
	switch {
	case e.watch && found.revision == e.known:
		p.waiting = append(p.waiting, waiting{e, p.now().Add(WatchTimeout)})
	case !ok:
		e.reply <- answer{status: statusNotFound}
	default:
		e.reply <- answer{entry: found}
	}
}

func (p *Platform) served() map[string]entry {
	if p.mode == Stale {
		return p.stale
	}
	return p.keys
}

// wake answers the watches whose key changed or whose time is over.
func (p *Platform) wake() {
	kept := p.waiting[:0]
	for _, w := range p.waiting {
		found, ok := p.served()[w.key]
		switch {
		case p.mode == Down:
			w.reply <- answer{status: statusDown}
		case p.mode == Hanging || found.revision == w.known && p.now().Before(w.until):
			kept = append(kept, w)
		case !ok:
			w.reply <- answer{status: statusNotFound}
		default:
			w.reply <- answer{entry: found}
		}
	}
	p.waiting = kept
}

func (p *Platform) setMode(mode Mode) {
	if mode == Stale {
		p.stale = maps.Clone(p.keys)
	}
	p.mode = mode
	released := p.hanging
	p.hanging = nil
	for _, e := range released {
		p.answer(e)
	}
	p.wake()
}

func (p *Platform) put(key string, value []byte) {
	p.keys[key] = entry{value, p.keys[key].revision + 1}
	p.wake()
}

func (p *Platform) publish(note *wire.Note) {
	value, _ := json.Marshal(note)
	p.put(noteKey(note.Version), value)
	latest, _ := json.Marshal(wire.LatestVersion{Version: note.Version})
	p.put("release/latest", latest)
}

// list returns the instances whose changes are older than the lag.
func (p *Platform) list() wire.InstanceList {
	now := p.now()
	for len(p.changes) > 0 && !p.changes[0].visible.After(now) {
		c := p.changes[0]
		p.changes = p.changes[1:]
		if c.removed {
			delete(p.instances, c.instance.ID)
		} else {
			p.instances[c.instance.ID] = c.instance
		}
	}
	list := wire.InstanceList{Instances: []wire.Instance{}}
	for _, instance := range p.instances {
		list.Instances = append(list.Instances, instance)
	}
	return list
}

// ParseMode checks the name of a mode.
func ParseMode(name string) (Mode, error) {
	switch m := Mode(name); m {
	case Up, Down, Hanging, Stale:
		return m, nil
	}
	return "", merry.Errorf("mode %q: must be up, down, hanging or stale", name)
}
