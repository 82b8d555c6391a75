// Package steerstatus serves the metrics of an instance that forwards flows by tokens
// as text, and its view of the configuration and of the backend servers, and where a new
// flow would go, as JSON.
package steerstatus

import (
	"cmp"
	"context"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/savorytiller/savorytiller/internal/adapter/metrics"
	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/core/steering"
	"github.com/savorytiller/savorytiller/internal/port"
)

// Paths of the endpoints.
const (
	MetricsPath = "/metrics"
	StatusPath  = "/status"
	WherePath   = "/where"
)

// Timeouts of the endpoints, so that a slow or broken client cannot occupy memory
// for long.
const (
	headerTimeout   = 2 * time.Second
	responseTimeout = 5 * time.Second
	// trafficTimeout limits the wait for the traffic goroutine. It answers between two packets
	// unless it has no processor time.
	trafficTimeout = time.Second
)

// Status is an instance's view of the configuration and of the backend servers.
type Status struct {
	Instance string `json:"instance"`
	Zone     string `json:"zone"`
	Ready    bool   `json:"ready"`
	// Version is the version of the configuration in force, or 0 if there is none.
	Version uint64 `json:"config_version"`
	Routes  int    `json:"routes"`
	// RouteTerms holds the routes, at most maxEntries of them.
	RouteTerms []Route `json:"route_terms"`
	// ConfirmedMsAgo is the time in milliseconds since this view was last confirmed to
	// match the registry.
	ConfirmedMsAgo int64 `json:"confirmed_ms_ago"`
	// RegistryEpoch and RegistryRevision are how far this view goes with the registry. The
	// epoch increases each time the registry is restored from a copy.
	RegistryEpoch    uint64 `json:"registry_epoch"`
	RegistryRevision uint64 `json:"registry_revision"`
	// RestoredMsAgo is the time in milliseconds since this view followed the last restore,
	// or -1 if there was none.
	RestoredMsAgo int64 `json:"restored_ms_ago"`
	// HeldZones is the number of zones out of service whose withdrawal the restored registry
	// lacks.
	HeldZones int `json:"held_zones"`
	// UnusableEntries are entries of the registry whose values are invalid, at most 64.
	UnusableEntries []UnusableEntry `json:"unusable_entries"`
	// CutOff is set while no messages arrive from instances of other zones.
	CutOff bool `json:"cut_off"`
	// InstancesInZone is the number of live instances in the zone, including this one.
	InstancesInZone int `json:"instances_in_zone"`
	// Flows is the number of flow records.
	Flows int64 `json:"flows"`
	// Load is the load of the fleet.
	Load Load `json:"load"`
	// Servers holds at most maxEntries of ServersTotal servers, with preference to those that
	// fail or are slow.
	Servers      []Server `json:"servers"`
	ServersTotal int      `json:"servers_total"`
}

// UnusableEntry is an entry of the registry whose value is invalid.
type UnusableEntry struct {
	Key      string `json:"key"`
	Revision uint64 `json:"revision"`
	Reason   string `json:"reason"`
	// SeenMsAgo is the time in milliseconds since this instance first saw it.
	SeenMsAgo int64 `json:"seen_ms_ago"`
}

// Server is an instance's view of a backend server.
type Server struct {
	ID      string `json:"id"`
	Service string `json:"service"`
	Zone    string `json:"zone"`
	Address string `json:"address"`
	// State is active, draining, cold, in_doubt, held, unlisted, unreachable or departed. A
	// departed server is one that has ended. A held one was seen to end and is still listed; it
	// gets no new flows until it writes an entry or has answered for some time. One in doubt may
	// have started again unnoticed and counts as cold.
	State string `json:"state"`
	// ProbedMsAgo is the time in milliseconds since the last probe was sent, or -1 if
	// there was none.
	ProbedMsAgo int64  `json:"probed_ms_ago"`
	Token       uint32 `json:"token"`
	Slots       int    `json:"slots"`
	// Load is nil if nothing is known of it.
	Load *ServerLoad `json:"load,omitempty"`
	// Traffic is nil if the traffic goroutine did not state it, which it does for up to 1,000
	// servers.
	Traffic *ServerTraffic `json:"traffic,omitempty"`
}

// ServerTraffic is what the traffic goroutine of the instance knows of a server.
type ServerTraffic struct {
	// Flows and Busy count the open flows through this instance and, of these, the ones with a
	// request in progress.
	Flows int `json:"flows"`
	Busy  int `json:"busy"`
	// RelativeTime is the expected response time relative to the usual one, as decisions use it: 1
	// with too few samples. Samples is the number of answers of the last 30 s, with a weight that
	// decays with their age, and FailedShare the share of failed ones.
	RelativeTime float64 `json:"relative_time"`
	Samples      float64 `json:"samples"`
	FailedShare  float64 `json:"failed_share"`
	// Restriction is why the server gets no new flows or few; none otherwise.
	Restriction string `json:"restriction"`
}

// Source provides the data of the endpoints. Its functions must be safe for concurrent
// use.
type Source struct {
	Instance  string
	Clock     port.Clock
	Snapshots port.SnapshotReader
	Ready     func() bool
	Flows     func() int64
	Metrics   func() metrics.Snapshot
	// Gauges returns additional gauges by name. It must return a new map each time,
	// because the endpoint adds its own gauges to it.
	Gauges func() map[string]float64
	// ServerStatus returns what the traffic goroutine knows of the servers. It is optional.
	ServerStatus func(context.Context) ([]steering.ServerStatus, error)
	// Preview returns the decision that a SYN would get now.
	Preview func(context.Context, *steering.Packet) (*steering.Preview, error)
}

// Server returns the HTTP server of the endpoints.
func (s *Source) Server() *http.Server {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+MetricsPath, func(w http.ResponseWriter, _ *http.Request) { s.writeMetrics(w) })
	mux.HandleFunc("GET "+StatusPath, func(w http.ResponseWriter, r *http.Request) {
		query := r.URL.Query()
		status := s.status(Filter{Service: query.Get("service"), Zone: query.Get("zone")})
		status.Servers = limitServers(status.Servers)
		s.addTraffic(r.Context(), status.Servers)
		respond(w, http.StatusOK, status)
	})
	mux.HandleFunc("GET "+WherePath, s.serveWhere)
	return &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout, WriteTimeout: responseTimeout, IdleTimeout: responseTimeout}
}

// status returns the status with all servers that the filter selects.
func (s *Source) status(f Filter) Status {
	out := Status{Instance: s.Instance, Ready: s.Ready(), Flows: s.Flows(), RestoredMsAgo: -1, UnusableEntries: []UnusableEntry{}, Servers: []Server{},
		RouteTerms: []Route{}, Load: Load{AgeMs: -1, Reason: "no configuration yet", Instances: map[string]int{}, Zones: []ZoneLoad{}}}
	v, now := s.Snapshots.Snapshot(), s.Clock.Now()
	if v == nil {
		return out
	}
	out.Zone, out.Version, out.Routes = string(v.Zone), v.Version, len(v.Routes)
	out.ConfirmedMsAgo, out.CutOff, out.InstancesInZone = now.Sub(v.ConfirmedAt).Milliseconds(), v.CutOff, v.InstancesInZone
	out.RegistryEpoch, out.RegistryRevision, out.HeldZones = v.Registry.Epoch, v.Registry.Revision, v.Registry.HeldZones
	if v.Registry.RestoredAt != 0 {
		out.RestoredMsAgo = now.Sub(v.Registry.RestoredAt).Milliseconds()
	}
	for _, e := range v.Registry.UnusableEntries {
		out.UnusableEntries = append(out.UnusableEntries, UnusableEntry{e.Key, e.Revision, e.Reason, now.Sub(e.Since).Milliseconds()})
	}
	out.RouteTerms, out.Load = routesOf(v), loadOf(v, now, f)
	for _, server := range v.Servers.Sorted() {
		if !f.matches(server.Service, string(server.Zone)) {
			continue
		}
		out.Servers = append(out.Servers, Server{ID: string(server.ID), Service: server.Service, Zone: string(server.Zone),
			Address: server.Address.String(), State: serverState(server, v, now), ProbedMsAgo: millisecondsAgo(server.ProbeSentAt, now), Token: uint32(server.Token),
			Slots: server.Slots, Load: serverLoad(server, v, now)})
	}
	out.ServersTotal = len(out.Servers)
	return out
}

// addTraffic adds what the traffic goroutine knows of the servers, if it answers in time.
func (s *Source) addTraffic(ctx context.Context, servers []Server) {
	if s.ServerStatus == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, trafficTimeout)
	defer cancel()
	all, err := s.ServerStatus(ctx)
	if err != nil {
		return // the status without it is useful, especially then
	}
	byToken := make(map[steering.Token]*steering.ServerStatus, len(all))
	for i := range all {
		byToken[all[i].Token] = &all[i]
	}
	for i := range servers {
		if x := byToken[steering.Token(servers[i].Token)]; x != nil && string(x.ID) == servers[i].ID {
			servers[i].Traffic = &ServerTraffic{Flows: x.Flows, Busy: x.Busy, RelativeTime: round(x.RelativeTime), Samples: round(x.Samples),
				FailedShare: round(x.FailedShare), Restriction: x.Restriction.String()}
		}
	}
}

func serverState(s *steering.Server, v *steering.Snapshot, now model.Time) string {
	held, _ := s.Held(now)
	switch {
	case s.HasEnded(now, &v.Availability):
		return "departed"
	case s.State == model.ServerActive && held:
		return "held"
	case s.ProbeFailed():
		return "unreachable"
	case s.Departed(now, &v.Availability):
		return "unlisted"
	case s.State == model.ServerDraining:
		return "draining"
	case s.InDoubt:
		return "in_doubt"
	case s.ColdUntil != 0:
		return "cold"
	default:
		return "active"
	}
}

// writeMetrics writes one line for each value: counters, then histograms, then gauges,
// each kind in sorted order.
func (s *Source) writeMetrics(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	m := s.Metrics()
	for _, c := range m.Counters {
		fmt.Fprintf(w, "count{part=%q,reason=%q} %d\n", c.Part, c.Reason, c.Count)
	}
	for _, h := range m.Histograms {
		labels := fmt.Sprintf("metric=%q,tenant=%q,class=%q", h.Metric, h.Tenant, h.Class)
		fmt.Fprintf(w, "latency_count{%s} %d\n", labels, h.Count)
		fmt.Fprintf(w, "latency_ms{%s,quantile=\"0.5\"} %.1f\n", labels, h.P50Ms)
		fmt.Fprintf(w, "latency_ms{%s,quantile=\"0.95\"} %.1f\n", labels, h.P95Ms)
		fmt.Fprintf(w, "latency_ms{%s,quantile=\"0.99\"} %.1f\n", labels, h.P99Ms)
		fmt.Fprintf(w, "latency_ms{%s,quantile=\"1\"} %.1f\n", labels, h.MaxMs)
	}
	status := s.status(Filter{})
	gauges := s.Gauges()
	gauges["flows"] = float64(status.Flows)
	gauges["config_version"] = float64(status.Version)
	gauges["confirmed_age_ms"] = float64(status.ConfirmedMsAgo)
	gauges["registry_epoch"], gauges["registry_revision"] = float64(status.RegistryEpoch), float64(status.RegistryRevision)
	gauges["held_zones"] = float64(status.HeldZones)
	gauges["registry_unusable_keys"] = float64(len(status.UnusableEntries))
	gauges["instances_in_zone"] = float64(status.InstancesInZone)
	states := map[string]int{}
	gauges["servers_failing"], gauges["servers_slow"] = 0, 0
	for i := range status.Servers {
		states[status.Servers[i].State]++
		switch load := status.Servers[i].Load; {
		case load == nil || load.Samples < minJudgedSamples:
		case load.FailedShare > failingShare:
			gauges["servers_failing"]++
		case load.RelativeLatency > slowRatio:
			gauges["servers_slow"]++
		}
	}
	for state, n := range states {
		gauges["servers_"+state] = float64(n)
	}
	names := make([]string, 0, len(gauges))
	for name := range gauges {
		names = append(names, name)
	}
	slices.SortFunc(names, cmp.Compare)
	for _, name := range names {
		fmt.Fprintf(w, "%s %g\n", name, gauges[name])
	}
}
