package operatorcli

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"time"
)

// whyCommand explains a flow from the logs of the instances.
type whyCommand struct {
	Flow string `arg:"" help:"Caller's address and port of the flow (ip:port)."`
	File string `arg:"" optional:"" help:"Log lines of one or more instances; standard input if left out." type:"existingfile"`
	// At is given for long flows, whose last line is far before the failure.
	At time.Time `help:"Time of the failure (RFC 3339); the time of the last line about the flow if left out." placeholder:"TIME"`
}

// Run reads the log and prints the flow's decisions and its cause.
func (c *whyCommand) Run(r *run) error {
	in := io.Reader(os.Stdin)
	if c.File != "" {
		file, err := os.Open(c.File)
		if err != nil {
			return err
		}
		defer func() { _ = file.Close() }()
		in = file
	}
	lines, err := readLog(in)
	if err != nil {
		return err
	}
	story := explainFlow(c.Flow, c.At, lines)
	if printErr := r.print(story, story.write); printErr != nil {
		return printErr
	}
	if story.Cause == causeUnknown {
		return errRefused
	}
	return nil
}

// logLine holds the fields of a log line that an explanation uses.
type logLine struct {
	At       time.Time `json:"ts"`
	Message  string    `json:"msg"`
	Caller   string    `json:"caller,omitempty"`
	Route    string    `json:"route,omitempty"`
	Reason   string    `json:"reason,omitempty"`
	Server   string    `json:"server,omitempty"`
	Key      string    `json:"key,omitempty"`
	Reach    string    `json:"reach,omitempty"`
	State    string    `json:"state,omitempty"`
	Started  int64     `json:"started,omitempty"`
	CutOff   bool      `json:"cut_off,omitempty"`
	Version  uint64    `json:"version,omitempty"`
	Revision uint64    `json:"revision,omitempty"`
	// Source is the last word before the JSON of a line: where logs are collected,
	// the instance's name.
	Source string `json:"source,omitempty"`
}

// maxLine bounds the length of a log line in bytes.
const maxLine = 1 << 20

// readLog returns the lines that hold JSON, also behind other text.
func readLog(in io.Reader) ([]logLine, error) {
	var all []logLine
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		raw := scanner.Bytes()
		start := bytes.IndexByte(raw, '{')
		if start < 0 {
			continue
		}
		var line logLine
		if json.Unmarshal(raw[start:], &line) != nil || line.Message == "" {
			continue // the line of another program
		}
		if words := bytes.Fields(raw[:start]); len(words) > 0 {
			line.Source = string(words[len(words)-1])
		}
		all = append(all, line)
	}
	return all, scanner.Err()
}

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

func (s *story) write(w io.Writer) {
	fmt.Fprintf(w, "flow %s: %s\n", s.Flow, s.Cause)
	for i := range s.Lines {
		l := &s.Lines[i]
		fmt.Fprintf(w, "  %s %s %s", l.At.Format("15:04:05.000"), l.Source, l.Message)
		for _, f := range []struct{ name, value string }{{"route", l.Route}, {"reason", l.Reason}, {"server", l.Server},
			{"key", l.Key}, {"reach", l.Reach}, {"state", l.State}} {
			if f.value != "" {
				fmt.Fprintf(w, " %s=%s", f.name, f.value)
			}
		}
		fmt.Fprintln(w)
	}
}
