// Package registry runs the control goroutine of instances that steer flows by
// tokens. It follows the registry in which operators and backend servers
// publish, and publishes immutable snapshots for the traffic goroutines.
//
// The decisions are in machine, which is driven by events and returns effects,
// and in core/catalog. Control runs the effects in short-lived goroutines that
// own nothing and post their results as events.
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
	"github.com/savorytiller/savorytiller/internal/core/steering"
	"github.com/savorytiller/savorytiller/internal/port"
)

// eventQueue bounds the events that wait. Most of them are messages of other
// instances, which a burst of changes sends to every one.
const eventQueue = 1024

// Options configure a Control. All are required but Log.
type Options struct {
	// Self is this instance with its zone, peer address and incarnation.
	Self model.Member
	// Seeds are peer addresses of some instances, which may be stale.
	Seeds    []netip.AddrPort
	Peers    port.PeerSender
	Clock    port.Clock
	Registry port.Registry
	Prober   port.Prober
	Catalog  catalog.Settings
	// ConfigBound is the time within which a configuration has to be in force.
	ConfigBound time.Duration
	Log         logr.Logger
	// Seed starts the random pauses, so that instances do not call in step.
	Seed uint64
}

// Control follows the registry.
type Control struct {
	options  Options
	machine  *machine
	events   chan event
	snapshot atomic.Pointer[steering.Snapshot]
	counts   atomic.Pointer[Counts]
	stopped  chan struct{}
	// cancel ends the calls that run now.
	calls  context.Context
	cancel context.CancelFunc
}

// New checks the options and returns a Control that does not run yet.
func New(o Options) (*Control, error) {
	if o.Self.ID == "" || o.Self.Zone == "" || o.Peers == nil || o.Clock == nil || o.Registry == nil || o.Prober == nil || o.Catalog.Lifetime <= 0 || o.ConfigBound <= 0 {
		return nil, merry.New("registry: instance, peers, clock, registry, prober, the lifetime of flows and the bound of configurations are required")
	}
	if o.Log.GetSink() == nil {
		o.Log = logr.Discard()
	}
	return &Control{options: o, machine: newMachine(o), events: make(chan event, eventQueue),
		stopped: make(chan struct{})}, nil
}

// Snapshot returns the newest snapshot; nil before the first one.
func (c *Control) Snapshot() *steering.Snapshot { return c.snapshot.Load() }

// Suspect implements port.SuspectSink. A server that does not fit is suspected
// again by its next flow.
func (c *Control) Suspect(server *steering.Server) {
	c.offer(evSuspect{server.ID, server.Started})
}

// Receive takes a message of another instance; one that does not fit is lost
// like one that the network drops.
func (c *Control) Receive(m *peer.Message) { c.offer(evMessage{m}) }

// SetRegistry changes the client of the registry.
func (c *Control) SetRegistry(r port.Registry) { c.post(evRegistry{r}) }

// SetSeeds changes the peer addresses that are tried while no other instance is
// known.
func (c *Control) SetSeeds(seeds []netip.AddrPort) { c.post(evSeeds{seeds}) }

// post posts an event and waits for space; it gives up once Run has returned.
func (c *Control) post(e event) {
	select {
	case c.events <- e:
	case <-c.stopped:
	}
}

// Leave announces that this instance stops.
func (c *Control) Leave() { c.post(evLeave{}) }

// offer posts an event unless the queue is full.
func (c *Control) offer(e event) {
	select {
	case c.events <- e:
	default:
	}
}

// Counts returns the counters, at most a snapshot old; nil before the first.
func (c *Control) Counts() *Counts { return c.counts.Load() }

// Run executes the control goroutine until ctx ends. It may be called once.
func (c *Control) Run(ctx context.Context) error {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	defer close(c.stopped)
	c.calls, c.cancel = context.WithCancel(ctx)
	defer func() { c.cancel() }()
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
		timer.Reset(max(0, c.machine.next.Sub(now)))
	}
}

// execute runs an effect in its own goroutine, which posts the result.
func (c *Control) execute(ctx context.Context, f effect) {
	switch f.(type) {
	case effCancel:
		c.cancel()
		c.options.Registry.Reconnect()
		c.calls, c.cancel = context.WithCancel(ctx)
		return
	case effSend:
		f.run(ctx, &c.options) // does not block
		return
	}
	// A copy, because the options may change while the call runs.
	calls, options := c.calls, c.options
	go func() { c.post(f.run(calls, &options)) }()
}
