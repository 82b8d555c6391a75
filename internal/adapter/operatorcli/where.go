package operatorcli

import (
	"fmt"
	"io"
	"maps"
	"net/url"
	"slices"
	"strings"

	"github.com/savorytiller/savorytiller/internal/adapter/steerstatus"
	"github.com/savorytiller/savorytiller/internal/core/model"
)

// whereCommand asks a savorysteer instance where a new flow would go now. It sends nothing to a
// server and changes no state.
type whereCommand struct {
	Route  string `arg:"" help:"Address and port of the route (ip:port), or its name."`
	Caller string `help:"Caller's address and port (ip:port), which decides between the services of a route with weights. Default: 0.0.0.0:0."`
}

// Run shows the answer. It returns errRefused if no server would get the flow, or if the instance is
// not ready, so that routers use others.
func (c *whereCommand) Run(r *commandEnv) error {
	query := url.Values{"route": {c.Route}}
	if c.Caller != "" {
		query.Set("caller", c.Caller)
	}
	var a steerstatus.Where
	if err := r.client.get(steerstatus.WherePath, query, &a); err != nil {
		return err
	}
	err := r.print(&a, func(w io.Writer) { printWhere(w, c.Route, &a) })
	if err == nil && (a.Action != "deliver" || !a.Ready) {
		return errRefused
	}
	return err
}

func printWhere(w io.Writer, asked string, a *steerstatus.Where) {
	fmt.Fprintf(w, "result     %s\n", whereResult(asked, a))
	ready := "ready"
	if !a.Ready {
		ready = "NOT READY, so routers use other instances"
	}
	fmt.Fprintf(w, "instance   %s in %s, %s, configuration %d, confirmed %s\n", a.Instance, a.Zone, ready, a.Version, formatAgo(a.ConfirmedMsAgo))
	if a.Route == nil {
		return
	}
	var weights []string
	for _, name := range slices.Sorted(maps.Keys(a.Route.Services)) {
		weights = append(weights, fmt.Sprintf("%s %d", name, a.Route.Services[name]))
	}
	fmt.Fprintf(w, "route      %s, %s: priority %s, goal %s, timeout %s, weights: %s\n", a.Route.Name, a.Route.Address, formatPriority(a.Route.Priority),
		formatStated(a.Route.GoalMs), formatStated(a.Route.TimeoutMs), strings.Join(weights, ", "))
	fmt.Fprintf(w, "service    %s for caller %s; %d servers accept flows (by state: %s)\n", a.Service, a.Caller, a.Accepting,
		formatCounts(a.ServerStates, slices.Sorted(maps.Keys(a.ServerStates))...))
	load := "used"
	if !a.LoadUsable {
		load = "not used: " + a.LoadReason
	}
	fmt.Fprintf(w, "load       of the fleet is %s\n", load)
	fmt.Fprintf(w, "admission  %s\n", admissionResult(a.Admission))
	if v := a.Admission; v != nil && v.Reason != model.ReasonNone.String() {
		fmt.Fprintf(w, "           zone: %s in progress, limit for this priority %s, %d slots, %s completed/s, baseline %s ms, %s old\n", formatTenth(v.InProgress),
			formatTenth(v.Limit), v.Slots, formatTenth(v.CompletedPerSecond), formatTenth(v.BaselineMs), formatMillis(v.LoadAgeMs))
		fmt.Fprintf(w, "           this instance: %d in progress, share of the limit %s\n", v.Own, formatTenth(v.Share))
	}
	if len(a.Candidates) == 0 {
		return
	}
	fmt.Fprintln(w)
	t := newTable(w, "", "SERVER", "ZONE", "STATE", "CLASS", "SCORE", "FLOWS", "BUSY", "SLOTS", "PROBE", "RESPONSE SEEN", "TIMEOUTS",
		"IN PROGRESS", "RELATIVE TIME", "FAILED", "SAMPLES", "LOAD AGE", "RESTRICTION")
	for i := range a.Candidates {
		x := &a.Candidates[i]
		mark := ""
		switch x.ID {
		case a.Choice:
			mark = "*"
		case a.RunnerUp:
			mark = "2"
		}
		probe := "never"
		if x.ProbedMsAgo >= 0 {
			probe = x.Probe + " " + formatAgo(x.ProbedMsAgo)
		}
		t.row(slices.Concat([]any{mark, x.ID, x.Zone, x.State, x.Class, fmt.Sprintf("%.3f", x.Score), x.Flows, x.Busy, x.Slots, probe,
			formatAgo(x.RespondedMsAgo), x.Timeouts}, loadColumns(x.Load), []any{x.Restriction})...)
	}
	t.flush()
	printCut(w, "considered servers", len(a.Candidates), a.Considered)
}

// whereResult returns what would happen to the flow, in a sentence.
func whereResult(asked string, a *steerstatus.Where) string {
	switch {
	case a.Reason == model.ReasonNoConfiguration.String():
		return "dropped: the instance has no configuration yet"
	case a.Action == "none":
		return fmt.Sprintf("unknown: the configuration in force has no route named %q", asked)
	case a.Route == nil && a.Action == "reset":
		return "refused: " + causeNoRoute
	case a.Route == nil:
		return "dropped: " + causeNoRoute + ", which may be outdated"
	case a.Action == "deliver" && a.RunnerUp == "":
		return fmt.Sprintf("server %s (%s); there is no other candidate", a.Choice, a.Reason)
	case a.Action == "deliver":
		return fmt.Sprintf("server %s (%s), then %s", a.Choice, a.Reason, a.RunnerUp)
	case a.Reason == model.ReasonHeld.String():
		return "held: the first packet is dropped, and the caller's retransmission is decided anew"
	case a.Reason == model.ReasonOverloaded.String():
		return "refused: the service is short of capacity"
	case a.Service == "" || a.Accepting == 0:
		return a.Action + ": the service has no server that accepts flows"
	default:
		return a.Action + ": no server of the service may get a flow from this instance now (" + a.Reason + ")"
	}
}

// admissionResult returns the verdict of admission control in a few words.
func admissionResult(v *steerstatus.Admission) string {
	switch {
	case v == nil:
		return "not applied: the terms of the routes, the settings or the load don't call for it"
	case v.Reason == model.ReasonNone.String():
		return "admitted: no shortage of capacity is known"
	case v.Reason == model.ReasonOtherZone.String():
		return "admitted in zone " + v.Zone + ": the own zone is short of capacity"
	default:
		return v.Reason + ": the service is short of capacity"
	}
}
