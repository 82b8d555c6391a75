package settings

import (
	"net/netip"
	"time"

	"github.com/savorytiller/savorytiller/internal/core/model"
)

// Steer holds the settings of an instance of savorysteer, which selects the server of
// a flow by the token in its packets.
type Steer struct {
	Instance Instance
	// LinkMbps is the bandwidth of the instance's link in Mbit/s; 0 if unknown.
	LinkMbps float64
	Listen   SteerAddresses
	// Seeds are the peer addresses of instances that this instance contacts first. It is
	// no error if some of them are out of date.
	Seeds    []netip.AddrPort
	Registry Registry
	Bounds   Bounds
	// LoadInterval is the shortest time between two load reports; 0 switches them off.
	LoadInterval time.Duration
	Admission    Admission
	Hedge        Hedge
	Log          Log
}

// Admission configures which new flows are admitted while a service is short of capacity.
type Admission struct {
	Enabled bool
	// Reserve is the part of the capacity that the least urgent flows keep.
	Reserve float64
}

// SteerAddresses are the endpoints of the instance.
type SteerAddresses struct {
	// Flows receives the packets of callers. Callers receive their packets on the same
	// port number.
	Flows netip.AddrPort
	// Readiness serves the readiness check.
	Readiness netip.AddrPort
	// Peers receives the messages of other instances.
	Peers netip.AddrPort
	// Metrics serves counters and histograms. It is optional.
	Metrics netip.AddrPort
}

// Registry locates the registry, where operators and backend servers publish
// their data.
type Registry struct {
	Address netip.AddrPort
}

// Bounds are the limits that the platform prescribes.
type Bounds struct {
	// FlowLifetime is the maximum time that a flow stays open.
	FlowLifetime time.Duration
	// ConfigApply is the time within which a new configuration must be in force.
	ConfigApply time.Duration
	// Drain is the time after which a draining or removed server must not get new flows.
	Drain time.Duration
	// Evacuation is the time after which a zone that operators took out of service must not
	// get new flows.
	Evacuation time.Duration
	// StopGrace is the time between SIGTERM and SIGKILL.
	StopGrace time.Duration
	// ColdMargin is the number of new flows per second that a cold server accepts
	// in addition to the rate of its service.
	ColdMargin float64
}

var steerFields = []field[Steer]{
	identifier("instance.id", func(s *Steer, v string) { s.Instance.ID = model.InstanceID(v) }),
	identifier("instance.zone", func(s *Steer, v string) { s.Instance.Zone = model.Zone(v) }),
	decimal("instance.link_mbps", 0, 0, 1_000_000, func(s *Steer) *float64 { return &s.LinkMbps }),
	address("listen.flows", true, func(s *Steer) *netip.AddrPort { return &s.Listen.Flows }),
	address("listen.readiness", true, func(s *Steer) *netip.AddrPort { return &s.Listen.Readiness }),
	address("listen.peers", true, func(s *Steer) *netip.AddrPort { return &s.Listen.Peers }),
	address("listen.metrics", false, func(s *Steer) *netip.AddrPort { return &s.Listen.Metrics }),
	{key: "peers.seeds", allowed: "a list of IP addresses with ports, for example [\"10.0.0.1:7000\"]", set: setSeeds},
	address("registry.address", true, func(s *Steer) *netip.AddrPort { return &s.Registry.Address }),
	duration("bounds.flow_lifetime_s", time.Second, 60, 1, 86_400, func(s *Steer) *time.Duration { return &s.Bounds.FlowLifetime }),
	duration("bounds.config_apply_ms", time.Millisecond, 3000, 300, 600_000, func(s *Steer) *time.Duration { return &s.Bounds.ConfigApply }),
	duration("bounds.drain_ms", time.Millisecond, 3000, 300, 600_000, func(s *Steer) *time.Duration { return &s.Bounds.Drain }),
	duration("bounds.evacuation_ms", time.Millisecond, 5000, 300, 600_000, func(s *Steer) *time.Duration { return &s.Bounds.Evacuation }),
	duration("bounds.stop_grace_s", time.Second, 6, 0.1, 600, func(s *Steer) *time.Duration { return &s.Bounds.StopGrace }),
	decimal("bounds.cold_margin", 5, 0, 1000, func(s *Steer) *float64 { return &s.Bounds.ColdMargin }),
	duration("load.interval_ms", time.Millisecond, 250, 0, 10_000, func(s *Steer) *time.Duration { return &s.LoadInterval }),
	boolean("admission.enabled", true, func(s *Steer) *bool { return &s.Admission.Enabled }),
	decimal("admission.reserve", 0.1, 0, 0.5, func(s *Steer) *float64 { return &s.Admission.Reserve }),
	hedgeLimit(func(s *Steer) *float64 { return &s.Hedge.Limit }),
	logLevel(func(s *Steer) *string { return &s.Log.Level }),
}

// duration returns a field whose value is a number of units, with or without a
// fraction.
func duration(key string, unit time.Duration, defaultValue, lo, hi float64, target func(s *Steer) *time.Duration) field[Steer] {
	var units float64
	f := decimal(key, defaultValue, lo, hi, func(*Steer) *float64 { return &units })
	setUnits := f.set
	f.set = func(s *Steer, v any) bool {
		ok := setUnits(s, v)
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

// ParseSteer decodes and checks the contents of a settings file. The file name is
// only used in messages. The error is an InvalidError.
func ParseSteer(file string, data []byte) (*Steer, error) {
	p, err := newParser(file, data, steerFields, "docs/OPERATIONS.md")
	if err != nil {
		return nil, err
	}
	p.readFields()
	return p.result()
}
