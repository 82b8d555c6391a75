package steerstatus

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/core/room"
	"github.com/savorytiller/savorytiller/internal/core/steering"
)

// maxEntries limits each list of the status. 1,000 servers with load take 225 kB.
const maxEntries = 1000

// Bounds of the gauges of failing and of slow servers. The first two are those of the restriction of
// new flows in docs/hard-load.md. Servers of the slowest usual machine type run at 0.6 times the usual
// speed, which is 1.7 times the usual response time.
const (
	minJudgedSamples = 10
	failingShare     = 0.3
	slowRatio        = 2
)

// Load is the load of the fleet as an instance knows it from the load reports.
type Load struct {
	// Usable is set if decisions use the load. Reason says why not.
	Usable bool   `json:"usable"`
	Reason string `json:"reason,omitempty"`
	// AgeMs is the time in milliseconds since the newest sum of all zones, or -1 if there was
	// none.
	AgeMs int64 `json:"age_ms"`
	// Instances is the number of instances by zone whose load is included, InstancesInZone that
	// of the own zone and LiveInZone the number of live ones there.
	Instances       map[string]int `json:"instances"`
	InstancesInZone int            `json:"instances_in_zone"`
	LiveInZone      int            `json:"live_in_zone"`
	// Zones is the load by service and zone of the servers, at most maxEntries of ZonesTotal.
	Zones      []ZoneLoad `json:"zones"`
	ZonesTotal int        `json:"zones_total"`
}

// ZoneLoad is the load of the servers of a service in one zone.
type ZoneLoad struct {
	Service string `json:"service"`
	Zone    string `json:"zone"`
	Slots   int    `json:"slots"`
	// InProgress is the number of requests and openings in progress.
	InProgress         float64        `json:"in_progress"`
	CompletedPerSecond float64        `json:"completed_per_s"`
	FailedPerSecond    float64        `json:"failed_per_s"`
	RefusedPerSecond   float64        `json:"refused_per_s"`
	Priorities         []PriorityLoad `json:"priorities"`
	// LatencyMs is the mean response time, BaselineMs that of the service in all zones without
	// queueing; 0 if not known.
	LatencyMs  float64 `json:"latency_ms"`
	BaselineMs float64 `json:"baseline_ms"`
}

// PriorityLoad is the load of the requests of one priority.
type PriorityLoad struct {
	Priority           uint8   `json:"priority"`
	InProgress         float64 `json:"in_progress"`
	CompletedPerSecond float64 `json:"completed_per_s"`
	RefusedPerSecond   float64 `json:"refused_per_s"`
}

// ServerLoad is what all instances observed of a server.
type ServerLoad struct {
	InProgress float64 `json:"in_progress"`
	// Samples is the number of answers, with a weight that decays with their age. FailedShare is
	// the share of much shorter ones than usual.
	Samples     float64 `json:"samples"`
	FailedShare float64 `json:"failed_share"`
	// RelativeLatency is the response time relative to the usual one of the same routes; 0 if not
	// known.
	RelativeLatency float64 `json:"relative_latency"`
	// AgeMs is the time in milliseconds since the last news of the server.
	AgeMs int64 `json:"age_ms"`
}

// Route is a route of the configuration with its terms.
type Route struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	// Priority is 0 for the most urgent requests and 255 if not stated; the times are 0 if not
	// stated.
	Priority  uint8 `json:"priority"`
	GoalMs    int64 `json:"goal_ms"`
	TimeoutMs int64 `json:"timeout_ms"`
	// Services is the weight of each service.
	Services map[string]int `json:"services"`
}

// Filter selects entries of the status. Empty fields select all.
type Filter struct{ Service, Zone string }

func (f Filter) matches(service, zone string) bool {
	return (f.Service == "" || f.Service == service) && (f.Zone == "" || f.Zone == zone)
}

func loadOf(v *steering.Snapshot, now model.Time, f Filter) Load {
	out := Load{AgeMs: -1, Reason: unusableReason(v), Instances: map[string]int{}, LiveInZone: v.InstancesInZone, Zones: []ZoneLoad{}}
	view := v.Room
	if view == nil {
		return out
	}
	out.Usable, out.InstancesInZone = view.Usable, view.Instances[v.Zone]
	if view.At != 0 {
		out.AgeMs = now.Sub(view.At).Milliseconds()
	}
	for zone, n := range view.Instances {
		out.Instances[string(zone)] = n
	}
	for _, name := range slices.Sorted(maps.Keys(view.Services)) {
		service := view.Services[name]
		for _, zone := range slices.Sorted(maps.Keys(service.Zones)) {
			if !f.matches(name, string(zone)) {
				continue
			}
			if out.ZonesTotal++; len(out.Zones) < maxEntries {
				out.Zones = append(out.Zones, zoneLoad(name, zone, service))
			}
		}
	}
	return out
}

// unusableReason returns why the load is not usable, or "" if it is.
func unusableReason(v *steering.Snapshot) string {
	view := v.Room
	switch {
	case view == nil:
		return "no load reports yet, or they are switched off (load.interval_ms)"
	case view.Usable:
		return ""
	case len(view.Instances) == 0:
		return "no recent load reports: there is no traffic, or they do not arrive"
	case 2*view.Instances[v.Zone] < v.InstancesInZone:
		return fmt.Sprintf("it covers %d of %d live instances of the zone, less than half", view.Instances[v.Zone], v.InstancesInZone)
	default:
		return "the instance knows no others, or has just started"
	}
}

func zoneLoad(name string, zone model.Zone, service *room.Service) ZoneLoad {
	z := service.Zones[zone]
	out := ZoneLoad{Service: name, Zone: string(zone), Slots: z.Slots, InProgress: round(z.Total.InProgress),
		CompletedPerSecond: round(z.Total.Completed), FailedPerSecond: round(z.Total.Failed), RefusedPerSecond: round(z.Total.Refused),
		LatencyMs: milliseconds(z.Total.MeanLatency()), BaselineMs: milliseconds(service.BaseLatency), Priorities: []PriorityLoad{}}
	for _, priority := range slices.Sorted(maps.Keys(z.ByPriority)) {
		c := z.ByPriority[priority]
		out.Priorities = append(out.Priorities, PriorityLoad{Priority: priority, InProgress: round(c.InProgress),
			CompletedPerSecond: round(c.Completed), RefusedPerSecond: round(c.Refused)})
	}
	return out
}

// serverLoad returns the load of a server, or nil if nothing is known of it.
func serverLoad(s *steering.Server, v *steering.Snapshot, now model.Time) *ServerLoad {
	if v.Room == nil || s.Token == 0 {
		return nil
	}
	load, ok := v.Room.Servers[uint32(s.Token)]
	if !ok {
		return nil
	}
	out := &ServerLoad{InProgress: round(load.InProgress), Samples: round(load.Samples), AgeMs: now.Sub(load.UpdatedAt).Milliseconds()}
	if load.Samples > 0 {
		out.FailedShare = round(load.Failed / load.Samples)
	}
	if answered := load.Samples - load.Failed; answered > 0 {
		out.RelativeLatency = round(math.Exp(load.LogLatency / answered))
	}
	return out
}

// limitServers returns at most maxEntries servers in their order. It keeps those with the largest
// share of failed answers and then the slowest ones, because operators look for them.
func limitServers(servers []Server) []Server {
	if len(servers) <= maxEntries {
		return servers
	}
	concern := func(s *Server) (failed, slow float64) {
		if s.Load == nil {
			return 0, 0
		}
		return s.Load.FailedShare, s.Load.RelativeLatency
	}
	order := make([]int, len(servers))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int {
		failedA, slowA := concern(&servers[a])
		failedB, slowB := concern(&servers[b])
		return cmp.Or(cmp.Compare(failedB, failedA), cmp.Compare(slowB, slowA))
	})
	order = order[:maxEntries]
	slices.Sort(order)
	kept := make([]Server, 0, maxEntries)
	for _, i := range order {
		kept = append(kept, servers[i])
	}
	return kept
}

// routesOf returns the routes in the order of their addresses, at most maxEntries.
func routesOf(v *steering.Snapshot) []Route {
	sorted := slices.SortedFunc(maps.Values(v.Routes), func(a, b *steering.Route) int {
		return cmp.Or(cmp.Compare(a.Endpoint.Address, b.Endpoint.Address), cmp.Compare(a.Endpoint.Port, b.Endpoint.Port))
	})
	out := []Route{}
	for _, r := range sorted[:min(len(sorted), maxEntries)] {
		out = append(out, routeOf(r))
	}
	return out
}

func routeOf(r *steering.Route) Route {
	out := Route{Name: r.Name, Address: r.Endpoint.AddrPort().String(), Priority: r.Terms.Priority, GoalMs: r.Terms.Goal.Milliseconds(),
		TimeoutMs: r.Terms.Timeout.Milliseconds(), Services: map[string]int{}}
	for _, share := range r.Shares {
		out.Services[share.Service] = share.Weight
	}
	return out
}

// round rounds to three decimal places, which keeps the output short.
func round(x float64) float64 { return math.Round(x*1000) / 1000 }

func milliseconds(d time.Duration) float64 { return round(float64(d) / float64(time.Millisecond)) }
