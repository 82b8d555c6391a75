package operatorcli

import (
	"strings"
	"time"
)

// Causes of what happened to a flow.
const (
	causeUnknown         = "unknown: the log has no line about this flow"
	causeServed          = "none: the flow was placed, and nothing in the log speaks against its server"
	causeServerFailed    = "the server could not be reached; the flow was reset so that the caller can repeat"
	causeServerRemoved   = "the server ended or left the registry; its flows were reset"
	causeServerSilent    = "the server did not answer a probe while the flow was open"
	causeServerEnded     = "the server had ended: its port was closed, or another server had its address"
	causeServerRestarted = "the server ended and started again"
	causeServerLeft      = "the server's entry was removed while the flow was open"
	causeNoRoute         = "the configuration in force has no route to this address"
	causeRouteRemoved    = "a configuration removed the route of the flow"
	causeUnknownToken    = "the instance did not know the server that the packets name"
	causeNoServer        = "no server of the service could get a new flow"
	causeNoConfiguration = "the instance had no configuration yet"
	causeRegistryLost    = "the instance had lost the registry and may have used an old view"
	causeInstanceKilled  = "the instance that carried the flow ended without notice and started again"
	causeInstanceStopped = "the instance that carried the flow was told to stop"
	causeZoneCut         = "the zone of the instance was cut off from the others"
	causeInstancePaused  = "the process of the instance that carried the flow stood still"
	causeAfterOutage     = "the instance had just started: callers that had waited came at once, and servers may have been full"
)

var causeOfReason = map[string]string{
	"server_failed": causeServerFailed, "server_removed": causeServerRemoved, "unknown_service": causeNoRoute,
	"route_removed": causeRouteRemoved, "unknown_token": causeUnknownToken, "no_capacity": causeNoServer,
	"no_configuration": causeNoConfiguration,
}

// near is how far from the failure events of the server and the instance may be its
// cause: a caller's deadline, and the time that a registry takes to notice a dead
// server.
const near = 6 * time.Second

// backlog is how long after a start the callers that waited for it fill the servers.
const backlog = 3 * time.Second

// story is the explanation of a flow.
type story struct {
	Flow  string    `json:"flow"`
	Cause string    `json:"cause"`
	Lines []logLine `json:"lines"`
}

// suspicion is a flow with what is known of it when its failure is explained.
type suspicion struct {
	// server and instance are those of the flow's last line.
	server, instance string
	// opened and failedAt bound the time in which the cause lies, with margins.
	opened, failedAt time.Time
	// told is set once the instance was told to stop; run is the server's run that was
	// listed last.
	told bool
	run  int64
}

// explainFlow collects the lines about a flow, its server and its instance, and
// names the cause: the reason of its last reset or drop, else what befell its
// instance, else its server. A zero time at stands for that of the flow's last line.
func explainFlow(id string, at time.Time, lines []logLine) *story {
	s := &story{Flow: id, Cause: causeUnknown}
	var last *logLine
	f := suspicion{failedAt: at}
	for i := range lines {
		l := &lines[i]
		if l.Caller != id || !at.IsZero() && l.At.After(at.Add(near)) {
			continue
		}
		s.Lines = append(s.Lines, *l)
		last, f.instance = l, l.Source
		if l.Server != "" {
			f.server = l.Server
		}
	}
	if last == nil {
		return s
	}
	if f.opened = s.Lines[0].At; at.IsZero() {
		f.failedAt = last.At
	}
	s.Cause = causeServed
	if cause, ok := causeOfReason[last.Reason]; ok {
		s.Cause = cause
	}
	weight := 0
	for i := range lines {
		l := &lines[i]
		event := f.follow(l)
		if l.Caller != "" || l.At.Before(f.opened.Add(-near)) || l.At.Before(f.failedAt.Add(-near)) || l.At.After(f.failedAt.Add(near)) {
			continue
		}
		cause, w := f.cause(l, event)
		if cause == "" {
			continue
		}
		s.Lines = append(s.Lines, *l)
		if w > weight && (s.Cause == causeServed || weight > 0) {
			s.Cause, weight = cause, w
		}
	}
	return s
}

// Weights of evidence: that of the flow's own instance outweighs what other instances
// found of its server, because they may be cut off themselves.
const (
	weakEvidence = iota + 1
	serverEvidence
	instanceEvidence
)

// Messages of an instance that begin and end its time.
const (
	messageStarted = "instance: started"
	messageTold    = "instance: told to stop, serving until traffic has moved"
)

// event is what a line means together with the lines before it.
type event uint8

const (
	eventNone event = iota
	// eventPlannedStart is a start after a planned stop.
	eventPlannedStart
	// eventNewRun is the entry of another run of the flow's server.
	eventNewRun
)

// follow keeps the state of the flow's instance and server. Lines come in order of
// time.
func (f *suspicion) follow(l *logLine) event {
	switch {
	case l.Source == f.instance && l.Message == messageTold:
		f.told = true
	case l.Source == f.instance && l.Message == messageStarted:
		told := f.told
		f.told = false
		if told {
			return eventPlannedStart
		}
	case f.server != "" && l.Server == f.server && l.Started != 0:
		before := f.run
		f.run = l.Started
		if before != 0 && before != l.Started {
			return eventNewRun
		}
	}
	return eventNone
}

// cause returns what a line that is not about the flow says of it and how much that
// weighs, or "".
func (f *suspicion) cause(l *logLine, e event) (cause string, weight int) {
	own := l.Source == f.instance
	switch {
	case e == eventPlannedStart:
		return "", 0
	case e == eventNewRun && l.At.After(f.opened):
		return causeServerRestarted, serverEvidence
	case own && l.Message == messageTold:
		return causeInstanceStopped, weakEvidence // it serves on until its traffic has moved
	case own && l.Message == messageStarted && l.At.After(f.opened):
		return causeInstanceKilled, instanceEvidence
	case own && l.Message == messageStarted && f.failedAt.Sub(l.At) < backlog:
		return causeAfterOutage, weakEvidence
	case own && l.Message == "registry: the process stood still":
		return causeInstancePaused, instanceEvidence
	case own && l.Message == "registry: zone cut off" && l.CutOff:
		return causeZoneCut, instanceEvidence
	case f.server != "" && l.Server == f.server && l.Reach == "ended":
		return causeServerEnded, serverEvidence
	case f.server != "" && l.Server == f.server && l.Reach == "unreachable":
		return causeServerSilent, serverEvidence
	case f.server != "" && l.Message == "registry: server removed" && strings.HasSuffix(l.Key, "/"+f.server):
		return causeServerLeft, serverEvidence
	case own && l.Message == "registry: registry lost":
		return causeRegistryLost, weakEvidence
	default:
		return "", 0
	}
}
