// Command savoryload sends the traffic of a deployment and checks that the system
// broke no promise, a guarantee that it gives to callers and operators. The exit
// status is 0 only if the check passed.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/ansel1/merry/v2"

	"github.com/savorytiller/savorytiller/internal/standin"
	"github.com/savorytiller/savorytiller/internal/standin/load"
)

type commandLine struct {
	Deployment string        `required:"" enum:"factory,market" help:"Deployment whose traffic is sent."`
	Fabric     string        `required:"" help:"Address of the fabric stand-in."`
	Platform   string        `required:"" help:"Address of the platform stand-in."`
	Backend    string        `required:"" help:"Control address of the backend stand-in."`
	Duration   time.Duration `default:"25s" help:"Time during which feeds and requests are started."`
	WarmUp     time.Duration `default:"5s" help:"Time before the first feed opens."`
	Seed       uint64        `default:"1" help:"Seed for all random choices."`
	Scale      float64       `default:"1" help:"Factor by which the request rates are multiplied."`
	MinService float64       `default:"0.9" help:"Smallest accepted share of completed operations and of opened feeds, from 0 to 1."`
	Unplanned  bool          `help:"The run contains crashes: broken flows and interrupted requests are reported but accepted."`
	JSON       string        `help:"File to which the report is written as JSON."`
	Check      bool          `help:"Check the flags and exit without sending anything."`
}

// Validate checks the flags; kong calls it after parsing. Errors name the flag and
// the allowed range.
func (c *commandLine) Validate() error {
	for flag, address := range map[string]string{"fabric": c.Fabric, "platform": c.Platform, "backend": c.Backend} {
		if err := standin.CheckLoopback(flag, address); err != nil {
			return err
		}
	}
	switch {
	case c.Duration <= 0:
		return merry.Errorf("--duration %v: must be above 0", c.Duration)
	case c.WarmUp < 0 || c.WarmUp > c.Duration:
		return merry.Errorf("--warm-up %v: must be 0 to the duration", c.WarmUp)
	case c.Scale <= 0:
		return merry.Errorf("--scale %v: must be above 0", c.Scale)
	case c.MinService < 0 || c.MinService > 1:
		return merry.Errorf("--min-service %v: must be 0 to 1", c.MinService)
	}
	return nil
}

func main() {
	var c commandLine
	parser := kong.Parse(&c, kong.Description("Load generator and checker."))
	if c.Check {
		fmt.Println("savoryload: flags are valid")
		return
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	report, err := load.Run(ctx, load.Options{Deployment: c.Deployment, Fabric: c.Fabric, Platform: c.Platform,
		Backend: c.Backend, Duration: c.Duration, WarmUp: c.WarmUp, Seed: c.Seed, Scale: c.Scale, Unplanned: c.Unplanned, MinService: c.MinService})
	parser.FatalIfErrorf(err)
	if c.JSON != "" {
		encoded, err := json.MarshalIndent(report, "", "  ")
		parser.FatalIfErrorf(err)
		parser.FatalIfErrorf(os.WriteFile(c.JSON, encoded, 0o644))
	}
	report.Write(os.Stdout)
	if !report.Passed {
		os.Exit(1)
	}
}
