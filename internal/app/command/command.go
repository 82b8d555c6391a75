// Package command parses the command line of the instance programs and defines
// their exit codes.
package command

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"
)

// Exit codes besides 0.
const (
	// ExitFailed means that the instance could not start, a part failed or the
	// shutdown was interrupted.
	ExitFailed = 1
	// ExitUsage means wrong flags or settings.
	ExitUsage = 2
)

// Parse sets flags from the command line. If the command line is invalid, it prints
// the error to stderr and ends the process with ExitUsage.
func Parse(flags any, name, description string) {
	parser := kong.Must(flags, kong.Name(name), kong.Description(description))
	if _, err := parser.Parse(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, name+":", err)
		os.Exit(ExitUsage)
	}
}
