// Package steer assembles an instance that forwards flows by the tokens in their packets,
// and runs it until its graceful shutdown.
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
	"github.com/savorytiller/savorytiller/internal/core/admission"
	"github.com/savorytiller/savorytiller/internal/core/catalog"
	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/core/steering"
	"github.com/savorytiller/savorytiller/internal/port"
	"github.com/savorytiller/savorytiller/internal/traffic/packets"
)

// Times of an instance.
const (
	// defaultIdleTimeout is the idle timeout of flows if the configuration has none.
	defaultIdleTimeout = 15 * time.Second
	// maxUnlistedGrace limits the time for which a server counts as listed after its entry
	// disappeared from the registry. Entries that expired while the registry was
	// unreachable are restored within this time.
	maxUnlistedGrace = 2 * time.Second
	// stopMargin is subtracted from the stop grace, because timers may fire late.
	stopMargin = 600 * time.Millisecond
	// minStopTime is the minimum time for which the instance serves after it was asked to
	// stop. The platform moves traffic away after two failed readiness checks, which are
	// half a second apart.
	minStopTime = 1500 * time.Millisecond
	// stopIdleTime is the time without packets after which traffic counts as moved.
	stopIdleTime = 500 * time.Millisecond
	// stopPollInterval is the time between two checks for traffic.
	stopPollInterval = 100 * time.Millisecond
	// closeTimeout limits the wait for the parts to end after everything was closed.
	closeTimeout = 300 * time.Millisecond
)

// maxDecisions is the number of recent decisions that are kept in memory for each part.
const maxDecisions = 256

// Platform holds the adapters to the platform on which an instance runs, or functions that
// return them.
type Platform struct {
	Codec func(*settings.Steer) port.PacketCodec
	// Registry returns the client of the registry at the settings' address.
	Registry func(*settings.Steer) port.Registry
	Prober   port.Prober
}

// Instance holds the parts and the open sockets of an instance.
type Instance struct {
	settings          atomic.Pointer[settings.Steer]
	platform          Platform
	log               logr.Logger
	clock             *clock.System
	recorder          *metrics.Recorder
	control           *registry.Control
	peers             *peerudp.Socket
	worker            *packets.Worker
	readinessListener net.Listener
	readinessServer   *http.Server
	leaving           atomic.Bool
	// statusServer serves the operators' endpoints. It is nil without listen.metrics.
	statusServer   *http.Server
	statusListener net.Listener
	linesLeftOut   func() uint64
}

// New opens the sockets and assembles the instance, which is not running yet. linesLeftOut
// returns the number of log lines that were left out.
func New(s *settings.Steer, p Platform, logs *logging.Logs, linesLeftOut func() uint64) (*Instance, error) {
	i := &Instance{platform: p, linesLeftOut: linesLeftOut, log: logs.Part("instance"), clock: clock.NewSystem(), recorder: metrics.New(maxDecisions)}
	i.settings.Store(s)
	seed := rand.Uint64() // random choices must differ between instances
	var err error
	if i.peers, err = peerudp.Listen(s.Listen.Peers, s.Instance.Zone, i.recorder); err != nil {
		return nil, merry.Prepend(err, "listen.peers")
	}
	self := model.Member{ID: s.Instance.ID, Zone: s.Instance.Zone, Incarnation: i.clock.Incarnation(), PeerAddress: s.Listen.Peers,
		Capacity: uint32(s.LinkMbps)}
	i.control, err = registry.New(registry.Options{Self: self, Seeds: s.Seeds, Peers: i.peers, Clock: i.clock, Registry: p.Registry(s), Prober: p.Prober,
		Catalog: catalog.Settings{Lifetime: s.Bounds.FlowLifetime, UnlistedGrace: min(maxUnlistedGrace, s.Bounds.Drain*2/3),
			DefaultIdleTimeout: defaultIdleTimeout},
		Bounds: registryBounds(s), LoadInterval: s.LoadInterval, Log: logs.Part("registry"), Seed: seed})
	if err != nil {
		return nil, err
	}
	socket, err := udp.Listen(s.Listen.Flows)
	if err != nil {
		return nil, merry.Prepend(err, "listen.flows")
	}
	if i.readinessListener, err = net.Listen("tcp4", s.Listen.Readiness.String()); err != nil {
		_ = socket.Close() // the listener's error is returned
		return nil, merry.Prepend(err, "listen.readiness")
	}
	steerer := steering.NewSteerer(rand.New(rand.NewPCG(seed, 1)), s.Bounds.ColdMargin)
	steerer.SetReportInterval(s.LoadInterval)
	steerer.SetAdmission(admission.Settings{Enabled: s.Admission.Enabled, Reserve: s.Admission.Reserve})
	steerer.SetHedgeLimit(s.Hedge.Limit)
	i.worker = packets.New(packets.Options{Socket: socket, Codec: p.Codec(s), Snapshots: i.control, Faults: i.control, Loads: i.control,
		Clock: i.clock, Recorder: i.recorder, Log: logs.Part("flow"), Steerer: steerer})
	i.readinessServer = readiness.NewServer(i.Ready)
	return i, i.openStatus()
}

// openStatus opens the operators' endpoints if listen.metrics is set.
func (i *Instance) openStatus() (err error) {
	s := i.settings.Load()
	address := s.Listen.Metrics
	if !address.IsValid() {
		return nil
	}
	if i.statusListener, err = net.Listen("tcp4", address.String()); err != nil {
		return merry.Prepend(err, "listen.metrics")
	}
	source := &steerstatus.Source{Instance: string(s.Instance.ID), Clock: i.clock, Snapshots: i.control,
		Ready: i.Ready, Flows: i.worker.Flows, Metrics: i.recorder.Snapshot, Gauges: i.gauges, Preview: i.worker.Preview, ServerStatus: i.worker.ServerStatus}
	i.statusServer = source.Server()
	return nil
}

// registryBounds returns the bounds for following the registry.
func registryBounds(s *settings.Steer) registry.Bounds {
	return registry.Bounds{ConfigApply: s.Bounds.ConfigApply, Drain: s.Bounds.Drain, Evacuation: s.Bounds.Evacuation}
}

// gauges returns the number of log lines that were left out, the counters of the control
// goroutine, the load of the fleet and the traffic with other instances.
func (i *Instance) gauges() map[string]float64 {
	out := map[string]float64{"log_lines_left_out": float64(i.linesLeftOut())}
	if c := i.control.Counts(); c != nil {
		for name, n := range map[string]uint64{"lists": c.Lists, "watches": c.Watches, "checks": c.Checks,
			"failures": c.Failures, "compactions": c.Compactions, "restores": c.Restores, "missed_changes": c.MissedChanges,
			"unusable_entries": c.UnusableEntries, "probes": c.Probes, "repeated_probes": c.RepeatedProbes, "late_probes": c.LateProbes, "pulls": c.Pulls} {
			out["registry_"+name] = float64(n)
		}
		out["control_lag_ms"] = float64(c.LagMs)
	}
	if s := i.control.Snapshot(); s != nil {
		addLoadGauges(out, s.Room)
	}
	connections := i.platform.Prober.Connections()
	out["connections_probes"], out["connections_repeated_probes"] = float64(connections.Probes), float64(connections.Reprobes)
	out["connections_monitors"] = float64(connections.Monitors)
	for _, t := range i.peers.Traffic() {
		scope := "other_zones"
		if t.OwnZone {
			scope = "own_zone"
		}
		name := t.Cause.String() + "_" + scope
		out["peer_sent_bytes_"+name], out["peer_sent_messages_"+name] = float64(t.Sent.Bytes), float64(t.Sent.Messages)
		out["peer_received_bytes_"+name], out["peer_received_messages_"+name] = float64(t.Received.Bytes), float64(t.Received.Messages)
	}
	return out
}

// Ready reports whether the instance accepts new flows. It does not before it has a
// snapshot, while it shuts down, while it can reach no server of some service, and while
// it cannot tell which servers of its zone are cold.
func (i *Instance) Ready() bool {
	s := i.control.Snapshot()
	return !i.leaving.Load() && s != nil && !s.ZoneInDoubt && s.AllServicesReachable()
}

// Run serves until stop ends, then shuts down gracefully and returns nil. If a part of the
// instance ends unexpectedly, Run returns its error.
func (i *Instance) Run(stop context.Context, r Reloader) error {
	ctx, cancel := context.WithCancel(context.WithoutCancel(stop))
	all := []parts.Part{
		{Name: "control", Run: i.control.Run},
		{Name: "peers", Run: func(ctx context.Context) error { return i.peers.Serve(ctx, i.control.Receive) }},
		{Name: "settings", Run: func(ctx context.Context) error { return i.reload(ctx, r) }},
		{Name: "traffic", Run: i.worker.Run},
		{Name: "traffic report", Run: i.reportPeerTraffic},
		{Name: "readiness", Run: func(context.Context) error { return httpserve.Serve(i.readinessServer, i.readinessListener) }},
	}
	if i.statusServer != nil {
		all = append(all, parts.Part{Name: "status", Run: func(context.Context) error { return httpserve.Serve(i.statusServer, i.statusListener) }})
	}
	var group sync.WaitGroup
	failed := parts.Start(ctx, &group, all, func() bool { return true })
	s := i.settings.Load()
	i.log.Info("started", "id", s.Instance.ID, "zone", s.Instance.Zone,
		"flows", s.Listen.Flows.String(), "registry", s.Registry.Address.String(), "metrics", s.Listen.Metrics.String(),
		"seeds", len(s.Seeds), "link_mbps", s.LinkMbps, "config_apply_ms", s.Bounds.ConfigApply.Milliseconds(),
		"drain_ms", s.Bounds.Drain.Milliseconds(), "evacuation_ms", s.Bounds.Evacuation.Milliseconds(),
		"follow_ms", registryBounds(s).FollowTime().Milliseconds(), "stop_grace_ms", s.Bounds.StopGrace.Milliseconds(),
		"flow_lifetime_ms", s.Bounds.FlowLifetime.Milliseconds(), "cold_margin", s.Bounds.ColdMargin,
		"load_interval_ms", s.LoadInterval.Milliseconds(), "admission", s.Admission.Enabled, "admission_reserve", s.Admission.Reserve,
		"hedge_limit", s.Hedge.Limit)
	var err error
	select {
	case err = <-failed:
		i.log.Error(err, "a part failed; stopping")
	case <-stop.Done():
		err = i.shutDown(failed)
	}
	cancel()
	// Errors don't matter, because the process exits.
	_ = i.readinessServer.Close()
	if i.statusServer != nil {
		_ = i.statusServer.Close()
	}
	if !parts.WaitFor(&group, closeTimeout) {
		i.log.Info("a part did not end in time; exiting without it")
	}
	i.log.Info("stopped")
	return err
}

// mayStop reports whether an instance that was asked to stop some time ago and has received no
// packets for the idle time may end. Whatever the traffic, it does so within the grace.
func mayStop(elapsed, idle, grace time.Duration) bool {
	return elapsed >= grace-stopMargin || elapsed >= minStopTime && idle >= stopIdleTime
}

// shutDown makes the instance not ready and continues to serve until traffic has moved to
// other instances or the stop grace has passed.
func (i *Instance) shutDown(failed <-chan error) error {
	i.leaving.Store(true)
	i.control.Leave()
	start := i.clock.Now()
	i.log.Info("told to stop, serving until traffic has moved")
	ticker := time.NewTicker(stopPollInterval)
	defer ticker.Stop()
	for {
		select {
		case err := <-failed:
			return err
		case <-ticker.C:
		}
		now := i.clock.Now()
		elapsed := now.Sub(start)
		idle := now.Sub(max(i.worker.LastPacket(), start))
		if mayStop(elapsed, idle, i.settings.Load().Bounds.StopGrace) {
			i.log.Info("traffic has moved or the stop grace has passed", "after_ms", elapsed.Milliseconds(), "quiet_ms", idle.Milliseconds())
			return nil
		}
	}
}
