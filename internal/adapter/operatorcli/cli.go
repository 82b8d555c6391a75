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
	// ExitRefused means a negative result: a file is not valid, the instance is not
	// ready, its load is not usable, no server would get the flow, or the log has no line about
	// the flow.
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
	Members     membersCommand     `cmd:"" help:"Show the instances that this instance knows, and why it considers each live or dead."`
	Servers     serversCommand     `cmd:"" help:"Show backend servers with state, reason, and the slots and connections that this instance may use."`
	Metrics     metricsCommand     `cmd:"" help:"Show counters per part and reason, gauges, and histograms per tenant and class."`
	Explain     explainCommand     `cmd:"" help:"Show recent decisions, or with --service and --source why a flow goes to its server."`
	Beliefs     beliefsCommand     `cmd:"" help:"Show the view of a savorysteer instance: configuration, and servers with state, age of the last probe and load. Exit code 1 if it is not ready."`
	Room        roomCommand        `cmd:"" help:"Show the load of the fleet as a savorysteer instance knows it: services by zone, servers with their speed, and the terms of the routes. Exit code 1 if the load is not usable."`
	Where       whereCommand       `cmd:"" help:"Show where a new flow would go now at a savorysteer instance, and why. Exit code 1 if no server would get it, or the instance is not ready."`
	Why         whyCommand         `cmd:"" help:"Explain from log lines of savorysteer what happened to a flow. Exit code 1 if no line is about the flow."`
	CheckNote   checkNoteCommand   `cmd:"" help:"Check a release note without publishing it. Exit code 1 if it would be refused."`
	CheckConfig checkConfigCommand `cmd:"" help:"Check a settings file of savorytillerd. Exit code 1 if it is not valid."`
}

// commandEnv holds what the commands share: the output, its format and the client.
type commandEnv struct {
	out    io.Writer
	client client
	json   bool
}

// errRefused makes Run return ExitRefused without printing an error, because the
// command has already printed the reason.
var errRefused = errors.New("refused")

// exitRequest is the panic value that ends the parser after --help; its value is
// the exit code.
type exitRequest int

func (e exitRequest) Error() string { return "exit" }

// Run executes the command line and returns the exit code.
func Run(ctx context.Context, args []string, out, errOut io.Writer) (code int) {
	var c commands
	defer func() {
		// After --help, kong calls its exit function, which must not return.
		if recovered := recover(); recovered != nil {
			exit, ok := recovered.(exitRequest)
			if !ok {
				panic(recovered)
			}
			code = int(exit)
		}
	}()
	parser, err := kong.New(&c, kong.Name("savoryctl"), kong.Writers(out, errOut), kong.UsageOnError(),
		kong.Exit(func(code int) { panic(exitRequest(code)) }),
		kong.Description("Operators' command line of the savorytiller load balancer. "+
			"Exit codes: 0 done, 1 refused or not ready, 2 wrong usage or unreadable file, 3 instance unreachable."))
	if err != nil {
		panic(err) // the struct tags of the commands are invalid; every test of Run fails then
	}
	parsed, err := parser.Parse(args)
	if err != nil {
		fmt.Fprintln(errOut, "savoryctl:", err)
		return ExitUsage
	}
	env := &commandEnv{out: out, json: c.JSON, client: client{address: c.Address, timeout: c.Timeout, ctx: ctx}}
	err = parsed.Run(env)
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

// print writes the value as indented JSON if --json is set, and calls text
// otherwise.
func (r *commandEnv) print(value any, text func(w io.Writer)) error {
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

// Run checks the settings file and prints its problems.
func (c *checkConfigCommand) Run(r *commandEnv) error {
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
