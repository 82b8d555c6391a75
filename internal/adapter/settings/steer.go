package settings

import (
	"net/netip"
	"time"

	"github.com/savorytiller/savorytiller/internal/core/model"
)

// Steer are the settings of an instance that steers flows by the tokens in
// their packets.
type Steer struct {
	Instance Instance
	// LinkMbps is the bandwidth of the instance's link; 0 if it is not stated.
	LinkMbps float64
	Listen   SteerAddresses
	// Seeds are peer addresses of some instances; they may be stale.
	Seeds    []netip.AddrPort
	Registry Registry
	Bounds   Bounds
	Log      Log
}

// SteerAddresses are the endpoints of the instance.
type SteerAddresses struct {
	// Flows gets the callers' packets; callers get packets at the same port.
	Flows netip.AddrPort
	// Readiness answers whether the instance takes new flows.
	Readiness netip.AddrPort
	// Peers gets the messages of other instances.
	Peers netip.AddrPort
	// Metrics serves counters and histograms; optional.
	Metrics netip.AddrPort
}

// Registry says where operators and backend servers publish.
type Registry struct {
	Address netip.AddrPort
}

// Bounds are the times that the platform prescribes.
type Bounds struct {
	// FlowLifetime is how long a flow may stay open.
	FlowLifetime time.Duration
	// ConfigApply is the time within which a configuration has to be in force.
	ConfigApply time.Duration
	// Drain is the time within which a leaving server gets no more new flows.
	Drain time.Duration
	// StopGrace is the time from SIGTERM to SIGKILL.
	StopGrace time.Duration
	// ColdMargin is the number of new flows a second that a cold server bears
	// beside its rate.
	ColdMargin float64
}

var steerFields = []field[Steer]{
	name("instance.id", func(s *Steer, v string) { s.Instance.ID = model.InstanceID(v) }),
	name("instance.zone", func(s *Steer, v string) { s.Instance.Zone = model.Zone(v) }),
	decimal("instance.link_mbps", 0, 0, 1_000_000, func(s *Steer) *float64 { return &s.LinkMbps }),
	address("listen.flows", true, func(s *Steer) *netip.AddrPort { return &s.Listen.Flows }),
	address("listen.readiness", true, func(s *Steer) *netip.AddrPort { return &s.Listen.Readiness }),
	address("listen.peers", true, func(s *Steer) *netip.AddrPort { return &s.Listen.Peers }),
	address("listen.metrics", false, func(s *Steer) *netip.AddrPort { return &s.Listen.Metrics }),
	{key: "peers.seeds", allowed: "a list of IP numbers with ports, for example [\"10.0.0.1:7000\"]", set: setSeeds},
	address("registry.address", true, func(s *Steer) *netip.AddrPort { return &s.Registry.Address }),
	duration("bounds.flow_lifetime_s", time.Second, 60, 1, 86_400, func(s *Steer) *time.Duration { return &s.Bounds.FlowLifetime }),
	duration("bounds.config_apply_ms", time.Millisecond, 3000, 300, 600_000, func(s *Steer) *time.Duration { return &s.Bounds.ConfigApply }),
	duration("bounds.drain_ms", time.Millisecond, 3000, 300, 600_000, func(s *Steer) *time.Duration { return &s.Bounds.Drain }),
	duration("bounds.stop_grace_s", time.Second, 6, 0.1, 600, func(s *Steer) *time.Duration { return &s.Bounds.StopGrace }),
	decimal("bounds.cold_margin", 5, 0, 1000, func(s *Steer) *float64 { return &s.Bounds.ColdMargin }),
	logLevel(func(s *Steer) *string { return &s.Log.Level }),
}

// duration is a number of units that may have a fraction.
func duration(key string, unit time.Duration, byDefault, lo, hi float64, target func(s *Steer) *time.Duration) field[Steer] {
	var units float64
	f := decimal(key, byDefault, lo, hi, func(*Steer) *float64 { return &units })
	inner := f.set
	f.set = func(s *Steer, v any) bool {
		ok := inner(s, v)
		*target(s) = time.Duration(units * float64(unit))
		return ok
	}
	return f
}

func setSeeds(s *Steer, v any) bool {
	list, ok := v.([]any)
	for _, e := range list {
		text, _ := e.(string)
		seed, err := netip.ParseAddrPort(text)
		s.Seeds = append(s.Seeds, seed)
		ok = ok && err == nil
	}
	return ok
}

// LoadSteer reads and checks the settings file of a steering instance. The error
// is ErrUnreadable, or an InvalidError with every problem of the file.
func LoadSteer(path string) (*Steer, error) { return load(path, ParseSteer) }

// ParseSteer checks the contents of a settings file. The file name is used in
// messages only.
func ParseSteer(file string, data []byte) (*Steer, error) {
	p, err := newParser(file, data, steerFields, "docs/OPERATIONS.md")
	if err != nil {
		return nil, err
	}
	p.fields()
	return p.result()
}
