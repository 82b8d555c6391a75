package operatorcli

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"net/url"
	"slices"
	"strconv"
	"strings"

	"github.com/savorytiller/savorytiller/internal/adapter/steerstatus"
	"github.com/savorytiller/savorytiller/internal/core/model"
)

// statusFilter selects a part of the status, which lists at most 1,000 servers.
type statusFilter struct {
	Service string `help:"Show the servers of this service only."`
	Zone    string `help:"Show the servers of this availability zone only."`
}

func (f *statusFilter) query() url.Values {
	return url.Values{"service": {f.Service}, "zone": {f.Zone}}
}

// roomCommand shows the load of the fleet as a savorysteer instance knows it.
type roomCommand struct {
	statusFilter
	Limit int `help:"Number of servers to show as text, the slowest first." default:"20"`
}

// roomView is the output of room as JSON.
type roomView struct {
	Instance     string               `json:"instance"`
	Zone         string               `json:"zone"`
	Load         steerstatus.Load     `json:"load"`
	Routes       []steerstatus.Route  `json:"routes"`
	RoutesTotal  int                  `json:"routes_total"`
	Servers      []steerstatus.Server `json:"servers"`
	ServersTotal int                  `json:"servers_total"`
}

// Run shows the load. It returns errRefused if the load is not usable.
func (c *roomCommand) Run(r *commandEnv) error {
	var s steerstatus.Status
	if err := r.client.get(steerstatus.StatusPath, c.query(), &s); err != nil {
		return err
	}
	v := roomView{Instance: s.Instance, Zone: s.Zone, Load: s.Load, Routes: s.RouteTerms, RoutesTotal: s.Routes, Servers: s.Servers, ServersTotal: s.ServersTotal}
	slices.SortStableFunc(v.Servers, func(a, b steerstatus.Server) int {
		var none steerstatus.ServerLoad
		x, y := cmp.Or(a.Load, &none), cmp.Or(b.Load, &none)
		return cmp.Or(cmp.Compare(y.FailedShare, x.FailedShare), cmp.Compare(y.RelativeLatency, x.RelativeLatency))
	})
	err := r.print(&v, func(w io.Writer) { printRoom(w, &v, max(0, c.Limit)) })
	if err == nil && !v.Load.Usable {
		return errRefused
	}
	return err
}

func printRoom(w io.Writer, v *roomView, limit int) {
	usable := "usable"
	if !v.Load.Usable {
		usable = "NOT USABLE: " + v.Load.Reason
	}
	var others []string
	for _, zone := range slices.Sorted(maps.Keys(v.Load.Instances)) {
		if zone != v.Zone {
			others = append(others, fmt.Sprintf("%d of %s", v.Load.Instances[zone], zone))
		}
	}
	fmt.Fprintf(w, "load as instance %s knows it: %s\n", v.Instance, usable)
	fmt.Fprintf(w, "received %s; covers %d of %d live instances of %s", formatAgo(v.Load.AgeMs), v.Load.InstancesInZone, v.Load.LiveInZone, v.Zone)
	if len(others) > 0 {
		fmt.Fprintf(w, ", %s", strings.Join(others, ", "))
	}
	fmt.Fprint(w, "\n\n")

	t := newTable(w, "SERVICE", "ZONE", "SLOTS", "IN PROGRESS", "BY PRIORITY", "COMPLETED/S", "FAILED/S", "REFUSED/S", "RESPONSE MS", "BASELINE MS")
	for i := range v.Load.Zones {
		z := &v.Load.Zones[i]
		t.row(z.Service, z.Zone, z.Slots, formatTenth(z.InProgress), formatPriorities(z.Priorities), formatTenth(z.CompletedPerSecond),
			formatTenth(z.FailedPerSecond), formatTenth(z.RefusedPerSecond), formatKnown(z.LatencyMs), formatKnown(z.BaselineMs))
	}
	t.flush()
	printCut(w, "services and zones", len(v.Load.Zones), v.Load.ZonesTotal)
	fmt.Fprintln(w)

	t = newTable(w, "SERVER", "SERVICE", "ZONE", "STATE", "SLOTS", "IN PROGRESS", "RELATIVE TIME", "FAILED", "SAMPLES", "LOAD AGE", "FLOWS HERE", "RESTRICTION")
	shown := v.Servers[:min(len(v.Servers), limit)]
	for i := range shown {
		x := &shown[i]
		t.row(slices.Concat([]any{x.ID, x.Service, x.Zone, x.State, x.Slots}, loadColumns(x.Load), trafficColumns(x.Traffic))...)
	}
	t.flush()
	printCut(w, "servers", len(shown), v.ServersTotal)
	fmt.Fprintln(w)

	t = newTable(w, "ROUTE", "ADDRESS", "PRIORITY", "GOAL", "TIMEOUT", "SERVICES")
	for i := range v.Routes {
		x := &v.Routes[i]
		t.row(x.Name, x.Address, formatPriority(x.Priority), formatStated(x.GoalMs), formatStated(x.TimeoutMs), strings.Join(slices.Sorted(maps.Keys(x.Services)), ","))
	}
	t.flush()
	printCut(w, "routes", len(v.Routes), v.RoutesTotal)
}

// loadColumns returns the columns IN PROGRESS, RELATIVE TIME, FAILED, SAMPLES and LOAD AGE.
func loadColumns(l *steerstatus.ServerLoad) []any {
	if l == nil {
		return []any{"-", "-", "-", "-", "-"}
	}
	failed, relative := "-", "-"
	if l.Samples > 0 {
		failed = fmt.Sprintf("%.0f%%", 100*l.FailedShare)
	}
	if l.RelativeLatency > 0 {
		relative = fmt.Sprintf("%.2f", l.RelativeLatency)
	}
	return []any{formatTenth(l.InProgress), relative, failed, formatTenth(l.Samples), formatAge(l.AgeMs)}
}

// trafficColumns returns the columns FLOWS HERE and RESTRICTION.
func trafficColumns(x *steerstatus.ServerTraffic) []any {
	if x == nil {
		return []any{"-", "-"}
	}
	return []any{x.Flows, x.Restriction}
}

// formatAge formats an age in milliseconds; -1 means that it is not known.
func formatAge(milliseconds int64) string {
	if milliseconds < 0 {
		return "-"
	}
	return formatMillis(milliseconds)
}

// printCut states that a list does not hold all entries.
func printCut(w io.Writer, what string, shown, total int) {
	if shown < total {
		fmt.Fprintf(w, "%d of %d %s are shown\n", shown, total, what)
	}
}

func formatPriorities(all []steerstatus.PriorityLoad) string {
	var parts []string
	for _, p := range all {
		parts = append(parts, formatPriority(p.Priority)+": "+formatTenth(p.InProgress))
	}
	if len(parts) == 0 {
		return "-"
	}
	return strings.Join(parts, ", ")
}

func formatPriority(p uint8) string {
	if p == model.LowestPriority {
		return "none"
	}
	return strconv.Itoa(int(p))
}

// formatStated formats a time of the terms of a route.
func formatStated(milliseconds int64) string {
	if milliseconds == 0 {
		return "none"
	}
	return formatMillis(milliseconds)
}

// formatKnown formats a number for which 0 means that it is not known.
func formatKnown(x float64) string {
	if x == 0 {
		return "-"
	}
	return formatTenth(x)
}

func formatTenth(x float64) string { return strconv.FormatFloat(x, 'f', 1, 64) }
