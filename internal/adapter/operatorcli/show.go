package operatorcli

import (
	"errors"
	"fmt"
	"io"
	"maps"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/savorytiller/savorytiller/internal/adapter/admin"
)

type statusCommand struct{}

// Run shows the summary. It returns errRefused if the instance is not ready.
func (*statusCommand) Run(r *commandEnv) error {
	var s admin.Status
	if err := r.client.get("/status", nil, &s); err != nil {
		return err
	}
	err := r.print(s, func(w io.Writer) { printStatus(w, &s) })
	if err == nil && !s.Ready {
		return errRefused
	}
	return err
}

func printStatus(w io.Writer, s *admin.Status) {
	ready := "ready"
	if !s.Ready {
		ready = "not ready: " + s.ReadyReason
	}
	fmt.Fprintf(w, "instance   %s in %s, %s, up %s\n", s.Instance.ID, s.Instance.Zone, ready, formatMillis(s.Instance.UptimeMs))
	fmt.Fprintf(w, "view       sequence %d, fresh for %s\n", s.View.Sequence, formatMillis(s.View.FreshForMs))
	fmt.Fprintf(w, "note       version %d, digest %s, newest known version %d\n", s.Note.Version, s.Note.Digest, s.Note.Wanted)
	fmt.Fprintf(w, "contact    platform or peer %s, platform by any instance %s, instance list %s\n",
		formatAgo(s.Note.AgeMs), formatAgo(s.Note.SourceAgeMs), formatAgo(s.Note.ListAgeMs))
	if s.Note.LastRefusal != "" {
		fmt.Fprintf(w, "refused    %s\n", s.Note.LastRefusal)
	}
	if s.Note.Alarm != "" {
		fmt.Fprintf(w, "ALARM      %s\n", s.Note.Alarm)
	}
	if len(s.WithdrawnZones) > 0 {
		fmt.Fprintf(w, "withdrawn  %s\n", strings.Join(s.WithdrawnZones, ", "))
	}
	liveness, warmth := map[string]int{}, map[string]int{}
	for _, m := range s.Members {
		liveness[m.Liveness]++
	}
	for _, server := range s.Servers {
		warmth[serverState(&server)]++
	}
	fmt.Fprintf(w, "members    %s\n", formatCounts(liveness, "live", "leaving", "dead"))
	fmt.Fprintf(w, "servers    %s\n", formatCounts(warmth, "warm", "cold", "failed", "draining", "out of service"))
}

// formatCounts lists the counters in the given order, without those that are zero.
func formatCounts(n map[string]int, order ...string) string {
	var parts []string
	for _, name := range order {
		if n[name] > 0 {
			parts = append(parts, fmt.Sprintf("%d %s", n[name], name))
		}
	}
	if len(parts) == 0 {
		return "none"
	}
	return strings.Join(parts, ", ")
}

// serverState returns the state to display: the observed one, unless the release
// note takes the server out of service or drains it.
func serverState(s *admin.Server) string {
	switch {
	case s.Warmth == "":
		return "out of service"
	case s.State == "draining":
		return "draining"
	default:
		return s.Warmth
	}
}

// formatAgo formats a time in milliseconds since an event; -1 means never.
func formatAgo(n int64) string {
	if n < 0 {
		return "never"
	}
	return formatMillis(n) + " ago"
}

func formatMillis(n int64) string { return (time.Duration(n) * time.Millisecond).String() }

type membersCommand struct{}

// Run shows the members of the fleet as this instance sees them.
func (*membersCommand) Run(r *commandEnv) error {
	var s admin.Status
	if err := r.client.get("/status", nil, &s); err != nil {
		return err
	}
	return r.print(s.Members, func(w io.Writer) {
		t := newTable(w, "INSTANCE", "ZONE", "STATE", "FLOWS", "WHY")
		for _, m := range s.Members {
			t.row(m.ID, m.Zone, m.Liveness, m.FlowAddress, m.Why)
		}
		t.flush()
	})
}

type serversCommand struct {
	Service string `help:"Show the servers of this service only."`
	Zone    string `help:"Show the servers of this availability zone only."`
}

// Run shows the servers that match the flags.
func (c *serversCommand) Run(r *commandEnv) error {
	var s admin.Status
	if err := r.client.get("/status", nil, &s); err != nil {
		return err
	}
	selected := []admin.Server{}
	for _, server := range s.Servers {
		if (c.Service == "" || server.Service == c.Service) && (c.Zone == "" || server.Zone == c.Zone) {
			selected = append(selected, server)
		}
	}
	return r.print(selected, func(w io.Writer) {
		t := newTable(w, "SERVER", "SERVICE", "ZONE", "STATE", "REASON", "NEW WORK", "SLOTS", "CONNECTIONS", "HOME")
		for _, server := range selected {
			t.row(server.ID, server.Service, server.Zone, serverState(&server), server.Reason, yesNo(server.NewWork),
				fmt.Sprintf("%d of %d", server.SlotLimit, server.SlotsHeld), server.ConnectionLimit, server.Home)
		}
		t.flush()
	})
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

type metricsCommand struct {
	Part string `help:"Show the counters and gauges of this part only."`
}

// Run shows counters, gauges and histograms.
func (c *metricsCommand) Run(r *commandEnv) error {
	var m admin.Metrics
	if err := r.client.get("/metrics", nil, &m); err != nil {
		return err
	}
	if c.Part != "" {
		kept := m.Counters[:0]
		for _, counter := range m.Counters {
			if counter.Part == c.Part {
				kept = append(kept, counter)
			}
		}
		m.Counters = kept
	}
	return r.print(m, func(w io.Writer) {
		t := newTable(w, "PART", "REASON", "COUNT")
		for _, counter := range m.Counters {
			t.row(counter.Part, counter.Reason, counter.Count)
		}
		t.flush()
		fmt.Fprintln(w)
		t = newTable(w, "GAUGE", "VALUE")
		for _, name := range slices.Sorted(maps.Keys(m.Gauges)) {
			if strings.HasPrefix(name, c.Part) {
				t.row(name, m.Gauges[name])
			}
		}
		t.flush()
		fmt.Fprintln(w)
		t = newTable(w, "METRIC", "TENANT", "CLASS", "COUNT", "MEAN MS", "P50", "P95", "P99", "MAX")
		for _, h := range m.Histograms {
			t.row(h.Metric, h.Tenant, h.Class, h.Count, formatFloat(h.MeanMs), formatFloat(h.P50Ms), formatFloat(h.P95Ms), formatFloat(h.P99Ms), formatFloat(h.MaxMs))
		}
		t.flush()
	})
}

func formatFloat(milliseconds float64) string { return strconv.FormatFloat(milliseconds, 'f', 2, 64) }

type explainCommand struct {
	Service  string `help:"Service of the flow: name, number or virtual address."`
	Source   string `help:"Caller's address of the flow (ip:port)."`
	Protocol string `help:"Protocol of the flow: tcp or udp." default:"tcp" enum:"tcp,udp"`
	Part     string `help:"Show recent decisions of this part only."`
	Reason   string `help:"Show recent decisions with this reason code only."`
	Subject  string `help:"Show recent decisions about this subject only."`
	Limit    int    `help:"Number of recent decisions." default:"100"`
}

// Run shows recent decisions, or explains a flow if --service and --source are set.
func (c *explainCommand) Run(r *commandEnv) error {
	if (c.Service == "") != (c.Source == "") {
		return errors.New("explain: --service and --source must be given together")
	}
	query := url.Values{}
	if c.Source != "" {
		query.Set("service", c.Service)
		query.Set("source", c.Source)
		query.Set("protocol", c.Protocol)
	} else {
		query.Set("part", c.Part)
		query.Set("reason", c.Reason)
		query.Set("subject", c.Subject)
		query.Set("limit", strconv.Itoa(c.Limit))
	}
	var e admin.Explanation
	if err := r.client.get("/explain", query, &e); err != nil {
		return err
	}
	return r.print(e, func(w io.Writer) {
		if e.Flow != nil {
			printFlow(w, e.Flow)
			return
		}
		t := newTable(w, "AGE", "PART", "REASON", "SUBJECT", "DETAIL")
		for _, d := range e.Decisions {
			t.row(formatMillis(d.AgeMs), d.Part, d.Reason, d.Subject, d.Detail)
		}
		t.flush()
	})
}

func printFlow(w io.Writer, f *admin.Flow) {
	fmt.Fprintf(w, "flow    %s %s -> %s (%s), fingerprint %s\n", f.Protocol, f.Source, f.Destination, f.Service, f.Fingerprint)
	for i, step := range f.Steps {
		fmt.Fprintf(w, "%4d    %s\n", i+1, step)
	}
	server := f.Server
	if server == "" {
		server = "none"
	}
	fmt.Fprintf(w, "server  %s (%s)\n", server, f.Reason)
}

// table writes rows with aligned columns.
type table struct{ w *tabwriter.Writer }

func newTable(w io.Writer, columns ...any) table {
	t := table{tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)}
	t.row(columns...)
	return t
}

func (t table) row(values ...any) {
	for i, v := range values {
		if i > 0 {
			fmt.Fprint(t.w, "\t")
		}
		fmt.Fprint(t.w, v)
	}
	fmt.Fprintln(t.w)
}

func (t table) flush() { _ = t.w.Flush() }
