package operatorcli

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"time"
)

// whyCommand explains a flow from the logs of the instances.
type whyCommand struct {
	Flow string `arg:"" help:"Caller's address and port of the flow (ip:port)."`
	File string `arg:"" optional:"" help:"Log file of one or more instances; standard input by default." type:"existingfile"`
	// At is needed for long flows, whose last log line may be much older than the
	// failure.
	At time.Time `help:"Time of the failure (RFC 3339); by default the time of the last line about the flow." placeholder:"TIME"`
}

// Run reads the log and prints what happened to the flow, with the lines that show
// it. It returns errRefused if no line is about the flow.
func (c *whyCommand) Run(r *commandEnv) error {
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
	result := explainFlow(c.Flow, c.At, lines)
	if printErr := r.print(result, result.writeText); printErr != nil {
		return printErr
	}
	if result.Cause == causeUnknown || result.Cause == causeMaybeRefused {
		return errRefused
	}
	return nil
}

// logLine holds the fields of a log line that explanations use.
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
	Epoch    uint64    `json:"epoch,omitempty"`
	// Service, Held and Overloaded are those of a line about a shortage of capacity.
	Service    string `json:"service,omitempty"`
	Held       int    `json:"held,omitempty"`
	Overloaded int    `json:"overloaded,omitempty"`
	// Source is the last word before the JSON object of a line. In collected logs
	// that is the instance's name.
	Source string `json:"source,omitempty"`
}

// maxLineBytes bounds the length of a log line in bytes.
const maxLineBytes = 1 << 20

// readLog returns the lines that contain a JSON log entry, with or without other
// text before it.
func readLog(in io.Reader) ([]logLine, error) {
	var all []logLine
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		raw := scanner.Bytes()
		start := bytes.IndexByte(raw, '{')
		if start < 0 {
			continue
		}
		var line logLine
		if json.Unmarshal(raw[start:], &line) != nil || line.Message == "" {
			continue // not a log line of an instance
		}
		if words := bytes.Fields(raw[:start]); len(words) > 0 {
			line.Source = string(words[len(words)-1])
		}
		all = append(all, line)
	}
	return all, scanner.Err()
}

// writeText prints the cause and, below it, the lines that show it.
func (e *explanation) writeText(w io.Writer) {
	fmt.Fprintf(w, "flow %s: %s\n", e.Flow, e.Cause)
	for i := range e.Lines {
		l := &e.Lines[i]
		fmt.Fprintf(w, "  %s %s %s", l.At.Format("15:04:05.000"), l.Source, l.Message)
		for _, f := range []struct{ name, value string }{{"route", l.Route}, {"reason", l.Reason}, {"server", l.Server},
			{"key", l.Key}, {"reach", l.Reach}, {"state", l.State}} {
			if f.value != "" {
				fmt.Fprintf(w, " %s=%s", f.name, f.value)
			}
		}
		if l.isRefusal() {
			fmt.Fprintf(w, " service=%s held=%d overloaded=%d", l.Service, l.Held, l.Overloaded)
		}
		if l.Epoch != 0 {
			fmt.Fprintf(w, " epoch=%d revision=%d", l.Epoch, l.Revision)
		}
		fmt.Fprintln(w)
	}
}
