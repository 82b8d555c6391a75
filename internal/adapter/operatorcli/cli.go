// Package operatorcli is the operators' command line: it reads the endpoints of
// adapter/admin and checks files before they are published or installed.
package operatorcli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/alecthomas/kong"

	"github.com/savorytiller/savorytiller/internal/adapter/settings"
)

// Exit codes. Scripts rely on them, so their meaning does not change.
const (
	ExitOK = 0
	// ExitRefused means that the answer is no: a file is not valid, or the
	// instance is not ready.
	ExitRefused = 1
	// ExitUsage means wrong arguments or an unreadable file.
	ExitUsage = 2
	// ExitUnreachable means that the instance did not answer.
	ExitUnreachable = 3
)

type commands struct {
	Address string        `help:"Operators' address of an instance (ip:port)." short:"a" env:"SAVORY_ADDRESS" default:"127.0.0.1:4104" placeholder:"IP:PORT"`
	JSON    bool          `name:"json" help:"Print JSON instead of text."`
	Timeout time.Duration `help:"Time limit for the instance's answer." default:"5s"`

	Status      statusCommand      `cmd:"" help:"Show readiness, view, release note and the number of members and servers. Exit code 1 if the instance is not ready."`
	Members     membersCommand     `cmd:"" help:"Show the instances that this instance knows, and why it holds each live or dead."`
	Servers     serversCommand     `cmd:"" help:"Show backend servers with state, reason and this instance's share."`
	Metrics     metricsCommand     `cmd:"" help:"Show counters per part and reason, and histograms per tenant and class."`
	Explain     explainCommand     `cmd:"" help:"Show recent decisions, or with --service and --source why a flow goes to its server."`
	Beliefs     beliefsCommand     `cmd:"" help:"Show what an instance of savorysteer believes: configuration, servers with state and age. Exit code 1 if it is not ready."`
	Why         whyCommand         `cmd:"" help:"Explain from log lines of savorysteer what happened to a flow. Exit code 1 if the log says nothing of it."`
	CheckNote   checkNoteCommand   `cmd:"" help:"Check a release note without publishing it. Exit code 1 if it would be refused."`
	CheckConfig checkConfigCommand `cmd:"" help:"Check a settings file of savorytillerd. Exit code 1 if it is not valid."`
}

// run is what every command gets.
type run struct {
	out    io.Writer
	client client
	json   bool
}

// errRefused means that the command printed why the answer is no.
var errRefused = errors.New("refused")

// errExit stops the parser after --help.
type errExit int

func (e errExit) Error() string { return "exit" }

// Run executes the command line and returns the exit code.
func Run(ctx context.Context, args []string, out, errOut io.Writer) (code int) {
	var c commands
	defer func() {
		// kong ends --help through its exit function and expects no return.
		if stopped := recover(); stopped != nil {
			exit, ok := stopped.(errExit)
			if !ok {
				panic(stopped)
			}
			code = int(exit)
		}
	}()
	parser, err := kong.New(&c, kong.Name("savoryctl"), kong.Writers(out, errOut), kong.UsageOnError(),
		kong.Exit(func(code int) { panic(errExit(code)) }),
		kong.Description("Operators' command line of the savorytiller load balancer. "+
			"Exit codes: 0 done, 1 refused or not ready, 2 wrong usage or unreadable file, 3 instance unreachable."))
	if err != nil {
		panic(err) // the tags of the commands are wrong, which any test shows
	}
	parsed, err := parser.Parse(args)
	if err != nil {
		fmt.Fprintln(errOut, "savoryctl:", err)
		return ExitUsage
	}
	r := &run{out: out, json: c.JSON, client: client{address: c.Address, timeout: c.Timeout, ctx: ctx}}
	err = parsed.Run(r)
	if err == nil {
		return ExitOK
	}
	if !errors.Is(err, errRefused) {
		fmt.Fprintln(errOut, "savoryctl:", err)
	}
	switch {
	case errors.Is(err, errRefused), errors.Is(err, settings.ErrInvalid):
		return ExitRefused
	case errors.Is(err, errUnreachable):
		return ExitUnreachable
	default:
		return ExitUsage
	}
}

// print writes the value as JSON, or calls text.
func (r *run) print(value any, text func(w io.Writer)) error {
	if !r.json {
		text(r.out)
		return nil
	}
	encoder := json.NewEncoder(r.out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

type checkConfigCommand struct {
	File string `arg:"" help:"Settings file (TOML)."`
}

// Run checks the file.
func (c *checkConfigCommand) Run(r *run) error {
	s, err := settings.Load(c.File)
	var invalid *settings.InvalidError
	if err != nil && !errors.As(err, &invalid) {
		return err
	}
	result := struct {
		Valid    bool               `json:"valid"`
		Instance string             `json:"instance,omitempty"`
		Problems []settings.Problem `json:"problems"`
	}{Valid: err == nil, Problems: []settings.Problem{}}
	if invalid != nil {
		result.Problems = invalid.Problems
	} else {
		result.Instance = string(s.Instance.ID)
	}
	printErr := r.print(result, func(w io.Writer) {
		for _, p := range result.Problems {
			fmt.Fprintln(w, p)
		}
		if result.Valid {
			fmt.Fprintf(w, "%s: settings of instance %s are valid\n", c.File, result.Instance)
		}
	})
	if printErr == nil && !result.Valid {
		return errRefused
	}
	return printErr
}
