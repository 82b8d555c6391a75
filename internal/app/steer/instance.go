// Package steer assembles an instance that steers flows by the tokens in their
// packets, and runs it from its start to its graceful end.
package steer

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/go-logr/logr"

	"github.com/savorytiller/savorytiller/internal/adapter/clock"
	"github.com/savorytiller/savorytiller/internal/adapter/httpserve"
	"github.com/savorytiller/savorytiller/internal/adapter/logging"
	"github.com/savorytiller/savorytiller/internal/adapter/metrics"
	"github.com/savorytiller/savorytiller/internal/adapter/peerudp"
	"github.com/savorytiller/savorytiller/internal/adapter/readiness"
	"github.com/savorytiller/savorytiller/internal/adapter/settings"
	"github.com/savorytiller/savorytiller/internal/adapter/steerstatus"
	"github.com/savorytiller/savorytiller/internal/adapter/udp"
	"github.com/savorytiller/savorytiller/internal/app/parts"
	"github.com/savorytiller/savorytiller/internal/control/registry"
	"github.com/savorytiller/savorytiller/internal/core/catalog"
	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/core/steering"
	"github.com/savorytiller/savorytiller/internal/port"
	"github.com/savorytiller/savorytiller/internal/traffic/packets"
)

// Times of an instance.
const (
	// defaultIdleTimeout holds until a configuration is known.
	defaultIdleTimeout = 15 * time.Second
	// entryReturn is the time within which entries return that expired while the
	// registry was away.
	entryReturn = 2 * time.Second
	// stopMargin is the part of the grace that is left unused, for timers that
	// fire late.
	stopMargin = 600 * time.Millisecond
	// stopLeast is how long the instance serves at least after it was told to
	// stop: two missed readiness checks, half a second apart, turn traffic away.
	stopLeast = 1500 * time.Millisecond
	// stopQuiet is the time without packets that shows that traffic has moved.
	stopQuiet = 500 * time.Millisecond
	// stopPoll is the time between two looks at the traffic.
	stopPoll = 100 * time.Millisecond
	// endLimit bounds the wait for the parts after everything was closed.
	endLimit = 300 * time.Millisecond
)

// decisionsKept is the number of decisions in memory for each part.
const decisionsKept = 256

// Platform makes the adapters of the platform that an instance runs on.
type Platform struct {
	Codec func(*settings.Steer) port.PacketCodec
	// Registry returns the client of the registry at the settings' address.
	Registry func(*settings.Steer) port.Registry
	Prober   port.Prober
}

// Instance is an assembled instance that is not running yet.
type Instance struct {
	settings atomic.Pointer[settings.Steer]
	platform Platform
	log      logr.Logger
	clock    *clock.System
	recorder *metrics.Recorder
	control  *registry.Control
	peers    *peerudp.Socket
	worker   *packets.Worker
	listener net.Listener
	ready    *http.Server
	leaving  atomic.Bool
	// status serves the endpoints for operators; nil without an address for them.
	status         *http.Server
	statusListener net.Listener
	leftOut        func() uint64
}

// New opens the sockets and assembles the instance. leftOut returns the number of
// log lines that were left out.
func New(s *settings.Steer, p Platform, logs *logging.Logs, leftOut func() uint64) (*Instance, error) {
	i := &Instance{platform: p, leftOut: leftOut, log: logs.Part("instance"), clock: clock.NewSystem(), recorder: metrics.New(decisionsKept)}
	i.settings.Store(s)
	seed := rand.Uint64() // instances must not choose in step
	var err error
	if i.peers, err = peerudp.Listen(s.Listen.Peers, i.recorder); err != nil {
		return nil, merry.Prepend(err, "listen.peers")
	}
	self := model.Member{ID: s.Instance.ID, Zone: s.Instance.Zone, Incarnation: i.clock.Incarnation(), PeerAddress: s.Listen.Peers,
		Capacity: uint32(s.LinkMbps)}
	i.control, err = registry.New(registry.Options{Self: self, Seeds: s.Seeds, Peers: i.peers, Clock: i.clock, Registry: p.Registry(s), Prober: p.Prober,
		Catalog: catalog.Settings{Lifetime: s.Bounds.FlowLifetime, UnlistedGrace: min(entryReturn, s.Bounds.Drain*2/3),
			DefaultIdleTimeout: defaultIdleTimeout},
		ConfigBound: s.Bounds.ConfigApply, Log: logs.Part("registry"), Seed: seed})
	if err != nil {
		return nil, err
	}
	socket, err := udp.Listen(s.Listen.Flows)
	if err != nil {
		return nil, merry.Prepend(err, "listen.flows")
	}
	if i.listener, err = net.Listen("tcp4", s.Listen.Readiness.String()); err != nil {
		_ = socket.Close() // the error of the listener is the one to report
		return nil, merry.Prepend(err, "listen.readiness")
	}
	i.worker = packets.New(packets.Options{Socket: socket, Codec: p.Codec(s), Snapshots: i.control, Suspects: i.control, Clock: i.clock,
		Recorder: i.recorder, Log: logs.Part("flow"),
		Steerer: steering.NewSteerer(rand.New(rand.NewPCG(seed, 1)), s.Bounds.ColdMargin)})
	i.ready = readiness.NewServer(i.Ready)
	return i, i.newStatus()
}

// newStatus opens the endpoints for operators, if the settings have an address.
func (i *Instance) newStatus() (err error) {
	s := i.settings.Load()
	at := s.Listen.Metrics
	if !at.IsValid() {
		return nil
	}
	if i.statusListener, err = net.Listen("tcp4", at.String()); err != nil {
		return merry.Prepend(err, "listen.metrics")
	}
	source := &steerstatus.Source{Instance: string(s.Instance.ID), Clock: i.clock, Snapshots: i.control,
		Ready: i.Ready, Flows: i.worker.Flows, Metrics: i.recorder.Snapshot, Gauges: i.gauges}
	i.status = source.Server()
	return nil
}

// gauges returns the counters of the control goroutine.
func (i *Instance) gauges() map[string]float64 {
	out := map[string]float64{"log_lines_left_out": float64(i.leftOut())}
	if c := i.control.Counts(); c != nil {
		for name, n := range map[string]uint64{"lists": c.Lists, "watches": c.Watches, "checks": c.Checks,
			"failures": c.Failures, "compactions": c.Compactions, "missed_changes": c.MissedChanges,
			"unusable_entries": c.UnusableEntries, "probes": c.Probes, "pulls": c.Pulls} {
			out["registry_"+name] = float64(n)
		}
	}
	return out
}

// Ready reports whether the instance takes new flows.
func (i *Instance) Ready() bool {
	s := i.control.Snapshot()
	return !i.leaving.Load() && s != nil && s.AllServicesReachable()
}

// Run serves until leave ends, then shuts down gracefully and returns nil.
func (i *Instance) Run(leave context.Context, r Reloader) error {
	ctx, cancel := context.WithCancel(context.WithoutCancel(leave))
	all := []parts.Part{
		{Name: "control", Run: i.control.Run},
		{Name: "peers", Run: func(ctx context.Context) error { return i.peers.Serve(ctx, i.control.Receive) }},
		{Name: "settings", Run: func(ctx context.Context) error { return i.reload(ctx, r) }},
		{Name: "traffic", Run: i.worker.Run},
		{Name: "readiness", Run: func(context.Context) error { return httpserve.Serve(i.ready, i.listener) }},
	}
	if i.status != nil {
		all = append(all, parts.Part{Name: "status", Run: func(context.Context) error { return httpserve.Serve(i.status, i.statusListener) }})
	}
	var group sync.WaitGroup
	ended := parts.Start(ctx, &group, all, func() bool { return true })
	s := i.settings.Load()
	i.log.Info("started", "id", s.Instance.ID, "zone", s.Instance.Zone,
		"flows", s.Listen.Flows.String(), "registry", s.Registry.Address.String(), "metrics", s.Listen.Metrics.String(),
		"seeds", len(s.Seeds), "link_mbps", s.LinkMbps, "config_apply_ms", s.Bounds.ConfigApply.Milliseconds(),
		"drain_ms", s.Bounds.Drain.Milliseconds(), "stop_grace_ms", s.Bounds.StopGrace.Milliseconds(),
		"flow_lifetime_ms", s.Bounds.FlowLifetime.Milliseconds(), "cold_margin", s.Bounds.ColdMargin)
	var err error
	select {
	case err = <-ended:
		i.log.Error(err, "stops")
	case <-leave.Done():
		err = i.shutDown(ended)
	}
	cancel()
	// The process ends, so errors have no consequence.
	_ = i.ready.Close()
	if i.status != nil {
		_ = i.status.Close()
	}
	if !parts.WaitFor(&group, endLimit) {
		i.log.Info("a part has not ended, leaving it behind")
	}
	i.log.Info("stopped")
	return err
}

// shutDown turns new traffic away and serves what still arrives, until traffic
// has moved to other instances or the grace ends.
func (i *Instance) shutDown(ended <-chan error) error {
	i.leaving.Store(true)
	i.control.Leave()
	begun := i.clock.Now()
	i.log.Info("told to stop, serving until traffic has moved")
	ticker := time.NewTicker(stopPoll)
	defer ticker.Stop()
	for {
		select {
		case err := <-ended:
			return err
		case <-ticker.C:
		}
		now := i.clock.Now()
		since := now.Sub(begun)
		quiet := now.Sub(max(i.worker.LastPacket(), begun))
		if since >= i.settings.Load().Bounds.StopGrace-stopMargin || since >= stopLeast && quiet >= stopQuiet {
			i.log.Info("traffic has ended", "after_ms", since.Milliseconds(), "quiet_ms", quiet.Milliseconds())
			return nil
		}
	}
}
