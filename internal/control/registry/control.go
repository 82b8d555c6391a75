// Package registry runs the control goroutine of instances that forward flows by tokens.
// It follows the registry to which operators and backend servers publish, exchanges
// registry changes and membership with the other instances, and publishes immutable
// snapshots for the traffic goroutines.
//
// Each instance lists the registry when it starts. Until the registry has responded, it also
// requests the listing from other instances. In each zone one instance is the relay, and one
// of the relays is the watcher. The watcher follows the registry by watches and, because a
// watch can miss changes, by checks of the current revision. It sends changes to its own
// zone and to the other relays, which forward them to their zones. An instance that lacks
// changes pulls them from another one. Instances other than the watcher read the registry
// again only if no confirmation of their revision arrives for too long, or if they cannot
// apply changes that they received.
//
// The decisions are made by machine, which takes events and returns effects, and by
// core/catalog. Control runs most effects in short-lived goroutines that own no state and
// post their results as events.
package registry

import (
	"context"
	"net/netip"
	"runtime"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/go-logr/logr"

	"github.com/savorytiller/savorytiller/internal/core/catalog"
	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/core/peer"
	"github.com/savorytiller/savorytiller/internal/core/room"
	"github.com/savorytiller/savorytiller/internal/core/steering"
	"github.com/savorytiller/savorytiller/internal/port"
)

// eventQueueSize limits the number of queued events. Most of them are messages from other
// instances, which arrive in bursts when many registry entries change.
const eventQueueSize = 1024

// maxQueuedBytes limits the memory of the registry entries in queued messages, which can have a
// whole configuration each.
const maxQueuedBytes = 8 << 20

// Options configure a Control. All are required except Seeds, LoadInterval, Log and
// Seed.
type Options struct {
	// Self describes this instance: ID, zone, peer address, incarnation and capacity.
	Self model.Member
	// Seeds are the peer addresses of some instances, through which this one finds the
	// others. They may be outdated.
	Seeds    []netip.AddrPort
	Peers    port.PeerSender
	Clock    port.Clock
	Registry port.Registry
	Prober   port.Prober
	// Catalog has the settings of the catalog; NewFlowLimit is derived from the Bounds.
	Catalog catalog.Settings
	Bounds  Bounds
	// LoadInterval is the time between two load reports while more than half of the slots of a
	// service are in use; 0 for no reports.
	LoadInterval time.Duration
	Log          logr.Logger
	// Seed initializes the random delays. It must differ between instances, so that their
	// calls do not coincide.
	Seed uint64
}

// Control runs the control goroutine.
type Control struct {
	options Options
	machine *machine
	events  chan event
	// queuedBytes is the memory of the registry entries in queued messages.
	queuedBytes atomic.Int64
	snapshot    atomic.Pointer[steering.Snapshot]
	counts      atomic.Pointer[Counts]
	done        chan struct{}
	// cancelCalls cancels callContext, the context of the calls in progress.
	callContext context.Context
	cancelCalls context.CancelFunc
	// monitors holds what stops the monitor of each server.
	monitors map[catalog.ServerRun]context.CancelFunc
}

// New checks the options and returns a Control that is not running yet.
func New(o Options) (*Control, error) {
	if o.Self.ID == "" || o.Self.Zone == "" || o.Peers == nil || o.Clock == nil || o.Registry == nil || o.Prober == nil || o.Catalog.Lifetime <= 0 || min(o.Bounds.ConfigApply, o.Bounds.Drain, o.Bounds.Evacuation) <= 0 {
		return nil, merry.New("registry: Self, Peers, Clock, Registry, Prober, Catalog.Lifetime and Bounds are required")
	}
	if o.Log.GetSink() == nil {
		o.Log = logr.Discard()
	}
	return &Control{options: o, machine: newMachine(o), monitors: map[catalog.ServerRun]context.CancelFunc{}, events: make(chan event, eventQueueSize),
		done: make(chan struct{})}, nil
}

// Snapshot returns the latest snapshot, or nil before the first one.
func (c *Control) Snapshot() *steering.Snapshot { return c.snapshot.Load() }

// Suspect implements port.FaultSink. If the queue is full, the report is dropped; the next
// flow to the server that gets no answer causes another one.
func (c *Control) Suspect(server *steering.Server, at model.Time) {
	c.tryPost(evSuspect{catalog.RunOf(server), at})
}

// UnknownToken implements port.FaultSink. A dropped report is repeated with the caller's
// next packet.
func (c *Control) UnknownToken(token steering.Token) { c.tryPost(evUnknownToken{token}) }

// ReportLoad implements port.LoadSink. A dropped report is missing in the sums; the next one
// follows after the report interval.
func (c *Control) ReportLoad(report *room.Report) { c.tryPost(evLoad{report}) }

// Receive queues a message from another instance. If the queue is full, the message is
// dropped, as if the network had lost it.
func (c *Control) Receive(m *peer.Message) {
	bytes := int64(m.RetainedBytes())
	if c.queuedBytes.Add(bytes) > maxQueuedBytes || !c.tryPost(evMessage{m}) {
		c.queuedBytes.Add(-bytes)
	}
}

// SetRegistry replaces the registry client. Calls in progress still use the former one.
func (c *Control) SetRegistry(r port.Registry) { c.post(evRegistry{r}) }

// SetSeeds replaces Options.Seeds.
func (c *Control) SetSeeds(seeds []netip.AddrPort) { c.post(evSeeds{seeds}) }

// post queues an event. While the queue is full it blocks, but not after Run has returned.
func (c *Control) post(e event) {
	select {
	case c.events <- e:
	case <-c.done:
	}
}

// Leave announces to the other instances that this one is shutting down.
func (c *Control) Leave() { c.post(evLeave{}) }

// tryPost queues an event unless the queue is full. It reports whether it did.
func (c *Control) tryPost(e event) bool {
	select {
	case c.events <- e:
		return true
	default:
		return false
	}
}

// Counts returns the counters as of the latest snapshot, or nil before the first one.
func (c *Control) Counts() *Counts { return c.counts.Load() }

// Run runs the control goroutine, on an OS thread of its own, until ctx ends, and returns
// nil. It must not be called more than once.
func (c *Control) Run(ctx context.Context) error {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	defer close(c.done)
	c.callContext, c.cancelCalls = context.WithCancel(ctx)
	defer func() { c.cancelCalls() }()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		var e event
		select {
		case <-ctx.Done():
			return nil
		case e = <-c.events:
		case <-timer.C:
		}
		now := c.options.Clock.Now()
		if received, ok := e.(evMessage); ok {
			c.queuedBytes.Add(-int64(received.message.RetainedBytes()))
		}
		if r, ok := e.(evRegistry); ok {
			c.options.Registry = r.registry
			e = nil
		}
		c.machine.handle(now, e)
		for _, f := range c.machine.takeEffects() {
			c.execute(ctx, f)
		}
		if s := c.machine.takeSnapshot(); s != nil {
			c.snapshot.Store(s)
			counts := c.machine.counts
			c.counts.Store(&counts)
		}
		timer.Reset(max(0, c.machine.nextWake.Sub(now)))
	}
}

// execute runs an effect. Effects that may block run in their own goroutine, which posts
// the result.
func (c *Control) execute(ctx context.Context, f effect) {
	calls := c.callContext
	switch f := f.(type) {
	case effCancel:
		c.cancelCalls()
		c.options.Registry.Reconnect()
		c.callContext, c.cancelCalls = context.WithCancel(ctx)
		return
	case effSend:
		f.run(ctx, &c.options) // never blocks
		return
	case effStopMonitor:
		c.stopMonitor(f.server)
		return
	case effMonitor:
		c.stopMonitor(f.server.Run()) // it has ended already
		calls, c.monitors[f.server.Run()] = context.WithCancel(ctx)
	}
	options := c.options // a copy, because the options may change during the call
	go func() { c.post(f.run(calls, &options)) }()
}

func (c *Control) stopMonitor(server catalog.ServerRun) {
	if cancel := c.monitors[server]; cancel != nil {
		cancel()
		delete(c.monitors, server)
	}
}
