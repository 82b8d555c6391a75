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
	story := explainFlow(c.Flow, lines)
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
	causeServerLeft      = "the server's entry was removed while the flow was open"
	causeNoRoute         = "the configuration in force has no route to this address"
	causeRouteRemoved    = "a configuration removed the route of the flow"
	causeUnknownToken    = "the instance did not know the server that the packets name"
	causeNoServer        = "no server of the service could get a new flow"
	causeNoConfiguration = "the instance had no configuration yet"
	causeRegistryLost    = "the instance had lost the registry and may have used an old view"
)

var causeOfReason = map[string]string{
	"server_failed": causeServerFailed, "server_removed": causeServerRemoved, "unknown_service": causeNoRoute,
	"route_removed": causeRouteRemoved, "unknown_token": causeUnknownToken, "no_capacity": causeNoServer,
	"no_configuration": causeNoConfiguration,
}

// near is how long after the last line of a flow events of its server and its
// instance may be the cause: a caller's deadline, and the time that a registry
// takes to notice a dead server.
const near = 6 * time.Second

// story is the explanation of a flow.
type story struct {
	Flow  string    `json:"flow"`
	Cause string    `json:"cause"`
	Lines []logLine `json:"lines"`
}

// explainFlow collects the lines about a flow and its server, and names the
// cause: the reason of its last reset or drop, else what befell its server.
func explainFlow(id string, lines []logLine) *story {
	s := &story{Flow: id, Cause: causeUnknown}
	var last *logLine
	for i := range lines {
		if lines[i].Caller == id {
			s.Lines = append(s.Lines, lines[i])
			last = &lines[i]
		}
	}
	if last == nil {
		return s
	}
	server := ""
	for i := range s.Lines {
		if s.Lines[i].Server != "" {
			server = s.Lines[i].Server
		}
	}
	s.Cause = causeServed
	if cause, ok := causeOfReason[last.Reason]; ok {
		s.Cause = cause
	}
	for i := range lines {
		l := &lines[i]
		if l.Caller != "" || l.At.Before(s.Lines[0].At.Add(-near)) || l.At.After(last.At.Add(near)) {
			continue
		}
		cause := causeAround(l, server, last)
		if cause == "" {
			continue
		}
		s.Lines = append(s.Lines, *l)
		if s.Cause == causeServed {
			s.Cause = cause
		}
	}
	return s
}

// causeAround returns what a line that is not about the flow says of it, or "".
func causeAround(l *logLine, server string, flow *logLine) string {
	sameInstance := l.Source == flow.Source
	switch {
	case server != "" && l.Server == server && (l.Reach == "unreachable" || l.Reach == "ended"):
		return causeServerSilent
	case server != "" && l.Message == "registry: server removed" && strings.HasSuffix(l.Key, "/"+server):
		return causeServerLeft
	case sameInstance && l.Message == "registry: registry lost":
		return causeRegistryLost
	default:
		return ""
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
