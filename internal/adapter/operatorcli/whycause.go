package operatorcli

import (
	"slices"
	"strings"
	"time"
)

// Causes of what happened to a flow, as printed to operators.
const (
	causeUnknown          = "unknown: the log has no line about this flow"
	causeMaybeRefused     = "unknown: the log has no line about this flow; a service was short of capacity then, and flows that are held or refused for that have no line of their own"
	causeServed           = "none: the flow was placed, and the log shows no failure of its server or instance"
	causeServerFailed     = "the server could not be reached; the flow was reset so that the caller can retry"
	causeServerRemoved    = "the server ended or was removed from the registry; its flows were reset"
	causeServerSilent     = "the server did not answer a probe while the flow was open"
	causeServerEnded      = "the server had ended: its port was closed, or another server used its address"
	causeServerRestarted  = "the server ended and started again"
	causeServerLeft       = "the server's entry was removed while the flow was open"
	causeNoRoute          = "the configuration in force has no route to this address"
	causeRouteRemoved     = "a configuration removed the route of the flow"
	causeUnknownToken     = "the instance did not know the server whose token the packets carry"
	causeNoServer         = "no server of the service could accept a new flow"
	causeOverloaded       = "the service was short of capacity, and the limit for the priority of the route was reached; the flow was refused before it opened, so no request ran"
	causeHeld             = "the service was short of capacity; the first packet was dropped so that the caller's retransmission is decided anew"
	causeNoConfiguration  = "the instance had no configuration yet"
	causeRegistryLost     = "the instance had lost contact with the registry and may have used an outdated view"
	causeRegistryRestored = "the registry had been restored from a copy that lacked its latest changes"
	causeInstanceKilled   = "the instance that carried the flow ended without a planned stop and started again"
	causeInstanceStopped  = "the instance that carried the flow had been asked to stop and was shutting down"
	causeZoneCut          = "the zone of the instance was cut off from the others"
	causeInstancePaused   = "the process of the instance that carried the flow was paused"
	causeAfterOutage      = "the instance had just started: the callers that had waited connected all at once, and servers may have been full"
)

var causeOfReason = map[string]string{
	"server_failed": causeServerFailed, "server_removed": causeServerRemoved, "unknown_service": causeNoRoute,
	"route_removed": causeRouteRemoved, "unknown_token": causeUnknownToken, "no_capacity": causeNoServer,
	"no_configuration": causeNoConfiguration, "overloaded": causeOverloaded, "held": causeHeld,
}

// viewWasBehind reports whether a flow was reset for lack of a route by an older configuration
// than one that some instance had in force before.
func viewWasBehind(reset *logLine, lines []logLine) bool {
	return (reset.Reason == "unknown_service" || reset.Reason == "route_removed") && slices.ContainsFunc(lines, func(l logLine) bool {
		return l.Message == "registry: configuration in force" && l.At.Before(reset.At) && l.Version > reset.Version
	})
}

// causeWindow is the longest time between the failure and an event that counts as
// its cause. It covers a caller's deadline and the time that a registry takes to
// notice a dead server.
const causeWindow = 6 * time.Second

// startupBacklog is how long after the start of an instance the servers can be full
// because of the callers that waited for it.
const startupBacklog = 3 * time.Second

// explanation is the output of why: the cause and the lines about the flow, then
// those about its server and instance.
type explanation struct {
	Flow  string    `json:"flow"`
	Cause string    `json:"cause"`
	Lines []logLine `json:"lines"`
}

// flowHistory holds what the log shows about a flow, its server and its instance up
// to a line.
type flowHistory struct {
	// server and instance are the last ones that the flow's lines name.
	server, instance string
	// openedAt and failedAt bound the time in which the cause lies, give or take
	// causeWindow.
	openedAt, failedAt time.Time
	// stopRequested is set from the planned stop of the instance until its next start.
	// serverRun is the start time in the server's last listing, which identifies the
	// run of its process; 0 for none.
	stopRequested bool
	serverRun     int64
}

// explainFlow collects the lines about a flow, its server and its instance, and
// determines the cause: the reason of the flow's last reset or drop, otherwise a
// failure of its instance, otherwise one of its server. at is the time of the
// failure; if zero, that of the flow's last line.
func explainFlow(id string, at time.Time, lines []logLine) *explanation {
	e := &explanation{Flow: id, Cause: causeUnknown}
	var last *logLine
	h := flowHistory{failedAt: at}
	for i := range lines {
		l := &lines[i]
		if l.Caller != id || !at.IsZero() && l.At.After(at.Add(causeWindow)) {
			continue
		}
		e.Lines = append(e.Lines, *l)
		last, h.instance = l, l.Source
		if l.Server != "" {
			h.server = l.Server
		}
	}
	if last == nil {
		e.addRefusals(at, lines)
		return e
	}
	if h.openedAt = e.Lines[0].At; at.IsZero() {
		h.failedAt = last.At
	}
	e.Cause = causeServed
	if cause, ok := causeOfReason[last.Reason]; ok {
		e.Cause = cause
	}
	weight := 0
	for i := range lines {
		l := &lines[i]
		event := h.update(l)
		if l.Caller != "" || l.At.Before(h.openedAt.Add(-causeWindow)) || l.At.Before(h.failedAt.Add(-causeWindow)) || l.At.After(h.failedAt.Add(causeWindow)) {
			continue
		}
		cause, causeWeight := h.cause(l, event)
		if cause == "" {
			continue
		}
		e.Lines = append(e.Lines, *l)
		if causeWeight > weight && (e.Cause == causeServed || weight > 0 || cause == causeRegistryRestored && viewWasBehind(last, lines)) {
			e.Cause, weight = cause, causeWeight
		}
	}
	return e
}

// maxRefusalLines limits the lines about shortages that an explanation has. Each instance writes
// one per second and service.
const maxRefusalLines = 10

// addRefusals adds lines about shortages of capacity around the time of the failure to the
// explanation of a flow without any line.
func (e *explanation) addRefusals(at time.Time, lines []logLine) {
	for i := range lines {
		l := &lines[i]
		if l.isRefusal() && l.At.After(at.Add(-causeWindow)) && l.At.Before(at.Add(causeWindow)) && len(e.Lines) < maxRefusalLines {
			e.Cause = causeMaybeRefused
			e.Lines = append(e.Lines, *l)
		}
	}
}

// isRefusal reports whether the line states that new flows were held or refused.
func (l *logLine) isRefusal() bool {
	return strings.HasPrefix(l.Message, messageShortage) && l.Held+l.Overloaded > 0
}

// Weights of evidence. What the flow's own instance logged about itself outweighs
// what other instances logged about the server, because those may be cut off.
const (
	weakEvidence = iota + 1
	serverEvidence
	instanceEvidence
)

// Log messages at the start and at the planned stop of an instance, and during a shortage. The command
// also reads logs of older builds, so these texts must not change.
const (
	messageStarted       = "instance: started"
	messageStopRequested = "instance: told to stop, serving until traffic has moved"
	messageShortage      = "flow: capacity shortage " // followed by begins, continues or ends
)

// event is a change that shows only in a line together with earlier lines.
type event uint8

const (
	eventNone event = iota
	// eventPlannedStart is a start after a planned stop.
	eventPlannedStart
	// eventNewServerRun is a listing of the flow's server with another start time.
	eventNewServerRun
)

// update records what a line shows about the flow's instance and server, and returns
// the event. Lines must come in order of time.
func (h *flowHistory) update(l *logLine) event {
	switch {
	case l.Source == h.instance && l.Message == messageStopRequested:
		h.stopRequested = true
	case l.Source == h.instance && l.Message == messageStarted:
		stopRequested := h.stopRequested
		h.stopRequested = false
		if stopRequested {
			return eventPlannedStart
		}
	case h.server != "" && l.Server == h.server && l.Started != 0:
		previous := h.serverRun
		h.serverRun = l.Started
		if previous != 0 && previous != l.Started {
			return eventNewServerRun
		}
	}
	return eventNone
}

// cause returns the cause that a line about the flow's server or instance suggests,
// and the weight of this evidence; "" if it suggests none. ev is the result of update
// for the line.
func (h *flowHistory) cause(l *logLine, ev event) (cause string, weight int) {
	own := l.Source == h.instance
	switch {
	case ev == eventPlannedStart:
		return "", 0
	case ev == eventNewServerRun && l.At.After(h.openedAt):
		return causeServerRestarted, serverEvidence
	case own && l.Message == messageStopRequested:
		return causeInstanceStopped, weakEvidence // it continues to serve until its traffic has moved
	case own && l.Message == messageStarted && l.At.After(h.openedAt):
		return causeInstanceKilled, instanceEvidence
	case own && l.Message == messageStarted && h.failedAt.Sub(l.At) < startupBacklog:
		return causeAfterOutage, weakEvidence
	case own && l.Message == "registry: the process stood still":
		return causeInstancePaused, instanceEvidence
	case own && l.Message == "registry: zone cut off" && l.CutOff:
		return causeZoneCut, instanceEvidence
	case h.server != "" && l.Server == h.server && l.Reach == "ended":
		return causeServerEnded, serverEvidence
	case h.server != "" && l.Server == h.server && l.Reach == "unreachable":
		return causeServerSilent, serverEvidence
	case h.server != "" && l.Message == "registry: server removed" && strings.HasSuffix(l.Key, "/"+h.server):
		return causeServerLeft, serverEvidence
	case l.Message == "registry: registry restored from a copy" && l.At.Before(h.failedAt):
		return causeRegistryRestored, weakEvidence
	case own && l.Message == "registry: registry lost":
		return causeRegistryLost, weakEvidence
	default:
		return "", 0
	}
}
