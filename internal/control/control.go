// Package control runs the single control goroutine of an instance. The goroutine
// owns the configuration, the membership, the distribution of release notes and
// the health of the backend servers, and publishes immutable views for the
// traffic goroutines.
//
// The decisions are in machine, which is driven by events and returns effects,
// and in the packages under internal/core. Control runs the effects in
// short-lived goroutines that share no state with it and post their results as
// events, so a slow peer or service never delays the control goroutine.
package control

import (
	"context"
	"runtime"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/go-logr/logr"

	"github.com/savorytiller/savorytiller/internal/core/health"
	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/core/request"
	"github.com/savorytiller/savorytiller/internal/core/view"
	"github.com/savorytiller/savorytiller/internal/port"
)

// Options configure a Control. Fields without a default are required.
type Options struct {
	// Self is this instance with its addresses, availability zone and incarnation.
	Self      model.Member
	Clock     port.Clock
	Config    port.ConfigSource
	Instances port.InstanceList
	Codec     port.NoteCodec
	Peers     port.PeerCaller
	// Health reads the health endpoints of backend servers; if nil, they are not read.
	Health port.ServerHealth
	// Recorder receives decisions and their counts; optional.
	Recorder port.Recorder
	Log      logr.Logger
	// Seed seeds the random choices. Two instances must not have the same seed.
	Seed uint64
	// Seeds are peers to contact before the first instance list is read; optional.
	Seeds []model.Member
	// SlotTakeoverDelay is how long a slot that this instance takes over stays
	// unused; 0 means DefaultSlotTakeoverDelay.
	SlotTakeoverDelay time.Duration
	// AssumeWarm makes every new server warm instead of cold. Only tests and trials
	// without a ramp-up set it.
	AssumeWarm bool
}

// Limits and intervals of the control goroutine.
const (
	eventQueueSize = 4096
	// maxRunningEffects is the maximum number of effects that run at a time. Calls
	// to slow peers time out, so the limit is reached only if dozens are slow.
	maxRunningEffects = 64
	// statusInterval is the time between updates of the status for operators.
	statusInterval = 500 * time.Millisecond
)

// errBusy is the error of an effect that was not run because too many others were
// running. It does not mean that the peer, service or server has failed.
var errBusy = merry.Wrap(port.ErrUnavailable, merry.AppendMessage("too many calls are running"))

// Control is the control plane of one instance. It implements port.ViewReader
// and port.ObservationSink.
type Control struct {
	options        Options
	machine        *machine
	events         chan event
	runningEffects atomic.Int32
	view           atomic.Pointer[view.View]
	status         atomic.Pointer[Status]
	droppedEvents  atomic.Uint64
	stopped        chan struct{}
}

// New checks the options and returns a Control that does not run yet.
func New(o Options) (*Control, error) {
	switch {
	case o.Self.ID == "" || o.Self.Zone == "" || o.Self.Incarnation == 0:
		return nil, merry.New("control: the instance needs an identifier, a zone and an incarnation")
	case o.Clock == nil || o.Config == nil || o.Instances == nil || o.Codec == nil || o.Peers == nil:
		return nil, merry.New("control: clock, configuration, instance list, codec and peers are required")
	}
	if o.Log.GetSink() == nil {
		o.Log = logr.Discard()
	}
	if o.Recorder == nil {
		o.Recorder = noRecorder{}
	}
	c := &Control{options: o, events: make(chan event, eventQueueSize), stopped: make(chan struct{})}
	c.machine = newMachine(o)
	return c, nil
}

// View implements port.ViewReader. It returns nil before the first view.
func (c *Control) View() *view.View { return c.view.Load() }

// Observe implements port.ObservationSink. It drops the observation if the event
// queue is full.
func (c *Control) Observe(o health.Observation) {
	if !c.tryPost(evObservation{o}) {
		c.options.Recorder.Count("control", model.ReasonQueueFull)
	}
}

// ObserveServer implements port.HealthObserver for requests.
func (c *Control) ObserveServer(o request.Observation) {
	results := map[request.HealthSignal]health.Result{request.Success: health.Success, request.Failure: health.Failure,
		request.Timeout: health.Timeout, request.Shed: health.Shed}
	if result, ok := results[o.Result]; ok {
		c.Observe(health.Observation{Server: o.Server, Result: result, Latency: o.Latency})
	}
}

// Leave marks this instance as leaving. From then on, views have ShuttingDown set;
// peers receive this state with the next heartbeats.
func (c *Control) Leave() { c.post(evLeave{}) }

// Register registers the methods that other instances call.
func (c *Control) Register(r port.PeerRegistry) {
	for method, decode := range decoders {
		r.Handle(method, func(ctx context.Context, from model.InstanceID, fill func(any) error) (any, error) {
			params := decode()
			if err := fill(params); err != nil {
				return nil, merry.Prepend(err, method)
			}
			answer := make(chan reply, 1)
			if !c.tryPost(evRequest{from, params, answer}) {
				return nil, merry.Wrap(port.ErrUnavailable, merry.AppendMessage("control queue is full"))
			}
			select {
			case r := <-answer:
				return r.result, r.err
			case <-ctx.Done():
				return nil, ctx.Err()
			case <-c.stopped:
				return nil, port.ErrUnavailable
			}
		})
	}
}

// tryPost posts an event unless the queue is full.
func (c *Control) tryPost(e event) bool {
	select {
	case c.events <- e:
		return true
	default:
		c.droppedEvents.Add(1)
		return false
	}
}

// post posts an event and blocks while the queue is full, unless Run has returned.
func (c *Control) post(e event) {
	select {
	case c.events <- e:
	case <-c.stopped:
	}
}

// Run runs the control goroutine, on an OS thread of its own, until ctx is done. It
// must be called only once.
func (c *Control) Run(ctx context.Context) error {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	defer close(c.stopped)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timer := time.NewTimer(0)
	defer timer.Stop()
	var statusAt model.Time
	for {
		var e event
		select {
		case <-ctx.Done():
			return nil
		case e = <-c.events:
		case <-timer.C:
			e = evTimer{}
		}
		now := c.options.Clock.Now()
		c.machine.handle(now, e)
		for _, f := range c.machine.takeEffects() {
			c.execute(ctx, f)
		}
		if v := c.machine.takeView(); v != nil {
			c.view.Store(v)
		}
		if !now.Before(statusAt) {
			c.status.Store(c.machine.status())
			statusAt = now.Add(statusInterval)
		}
		timer.Reset(max(0, c.machine.nextWake.Sub(now)))
	}
}

// execute runs an effect in its own goroutine, which posts the result.
func (c *Control) execute(ctx context.Context, f effect) {
	if c.runningEffects.Load() >= maxRunningEffects {
		c.options.Recorder.Count("control", model.ReasonQueueFull)
		go c.post(f.failed(errBusy))
		return
	}
	c.runningEffects.Add(1)
	go func() {
		defer c.runningEffects.Add(-1)
		ctx, cancel := context.WithTimeout(ctx, f.timeLimit())
		defer cancel()
		c.post(f.run(ctx, &c.options))
	}()
}

// Status returns the latest status for operators; nil before Run.
func (c *Control) Status() *Status { return c.status.Load() }

var (
	_ port.ViewReader      = (*Control)(nil)
	_ port.ObservationSink = (*Control)(nil)
	_ port.HealthObserver  = (*Control)(nil)
)

// noRecorder discards everything.
type noRecorder struct{}

func (noRecorder) Count(string, model.Reason)                    {}
func (noRecorder) Observe(string, string, string, time.Duration) {}
func (noRecorder) Decision(port.Decision)                        {}
