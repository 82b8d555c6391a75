// Command savorystub runs one of the stand-ins for the external systems (platform,
// network fabric, backend servers) on loopback.
package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/ansel1/merry/v2"

	"github.com/savorytiller/savorytiller/internal/standin"
	"github.com/savorytiller/savorytiller/internal/standin/fabric"
)

type commandLine struct {
	Check bool `help:"Check the flags and exit without opening a socket."`

	Platform platformCommand `cmd:"" help:"Configuration service and instance list."`
	Fabric   fabricCommand   `cmd:"" help:"Network that sends each packet to a random live instance."`
	Backend  backendCommand  `cmd:"" help:"Backend servers of a deployment."`
	Call     callCommand     `cmd:"" help:"Send a request to a stand-in and print the response."`
}

type platformCommand struct {
	Lag    time.Duration `default:"1s" help:"Time after which a change appears in the instance list."`
	Report string        `help:"File to which the address is written; standard output by default."`
}

func (c *platformCommand) Run(ctx context.Context) error {
	return standin.RunPlatform(ctx, c.Lag, c.Report)
}

// Validate checks the flags; kong calls it after parsing.
func (c *platformCommand) Validate() error {
	if c.Lag < 0 {
		return merry.Errorf("--lag %v: must not be negative", c.Lag)
	}
	return nil
}

type fabricCommand struct {
	Platform string        `required:"" help:"Address of the platform stand-in."`
	Seed     uint64        `default:"1" help:"Seed for the choice of instances, losses and delays."`
	Loss     float64       `help:"Share of packets that are dropped, from 0 to 1."`
	Delay    time.Duration `help:"Mean one-way delay of packets."`
	Report   string        `help:"File to which the address is written; standard output by default."`
}

func (c *fabricCommand) Run(ctx context.Context) error {
	return standin.RunFabric(ctx, fabric.Options{Platform: c.Platform, Seed: c.Seed, LossRatio: c.Loss, Delay: c.Delay}, c.Report)
}

// Validate checks the flags; kong calls it after parsing.
func (c *fabricCommand) Validate() error {
	if err := standin.CheckLoopback("platform", c.Platform); err != nil {
		return err
	}
	if c.Loss < 0 || c.Loss > 1 {
		return merry.Errorf("--loss %v: must be 0 to 1", c.Loss)
	}
	if c.Delay < 0 {
		return merry.Errorf("--delay %v: must not be negative", c.Delay)
	}
	return nil
}

type backendCommand struct {
	Deployment string `required:"" enum:"factory,market" help:"Deployment whose servers to run."`
	Seed       uint64 `default:"1" help:"Seed for the processing times of requests."`
	Note       string `help:"File to which the first release note is written; standard output by default."`
	Report     string `help:"File to which the control address is written; standard output by default."`
}

func (c *backendCommand) Run(ctx context.Context) error {
	return standin.RunBackend(ctx, c.Deployment, c.Seed, c.Note, c.Report)
}

type callCommand struct {
	Method string `arg:""`
	URL    string `arg:""`
	Data   string `help:"File that contains the request body." xor:"body"`
	Body   string `help:"Request body as text." xor:"body"`
}

// Run sends one HTTP request and prints the response body, so that scripts do not
// depend on an installed HTTP client. A status of 300 or above is an error.
func (c *callCommand) Run(ctx context.Context) error {
	var body io.Reader = strings.NewReader(c.Body)
	if c.Data != "" {
		file, err := os.Open(c.Data)
		if err != nil {
			return merry.Wrap(err)
		}
		defer file.Close()
		body = file
	}
	request, err := http.NewRequestWithContext(ctx, c.Method, c.URL, body)
	if err != nil {
		return merry.Wrap(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return merry.Wrap(err)
	}
	defer response.Body.Close()
	if _, err := io.Copy(os.Stdout, response.Body); err != nil {
		return merry.Wrap(err)
	}
	if response.StatusCode >= 300 {
		return merry.Errorf("%s %s: %s", c.Method, c.URL, response.Status)
	}
	return nil
}

func main() {
	var c commandLine
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	parser := kong.Parse(&c, kong.Description("Stand-ins for the external systems."),
		kong.BindTo(ctx, (*context.Context)(nil)))
	if c.Check {
		fmt.Println("savorystub: flags are valid")
		return
	}
	parser.FatalIfErrorf(parser.Run())
}
