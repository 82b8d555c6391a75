// Command savorytillerd runs an entry instance of the load balancer.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/savorytiller/savorytiller/internal/adapter/settings"
	"github.com/savorytiller/savorytiller/internal/app"
	"github.com/savorytiller/savorytiller/internal/app/command"
)

type flags struct {
	Config        string `help:"Settings file (TOML)." required:"" type:"existingfile" placeholder:"FILE"`
	Check         bool   `help:"Check the settings, print every problem and exit without opening a socket."`
	AddressesFile string `help:"Write the listening addresses as JSON to this file once the sockets are open." placeholder:"FILE"`
}

func main() {
	var f flags
	command.Parse(&f, "savorytillerd", "Entry instance of the savorytiller layer-4 load balancer. "+
		"SIGTERM starts a graceful shutdown; a second one ends the process at once. "+
		"Exit codes: 0 done, 1 failed or interrupted, 2 wrong flags or settings.")
	os.Exit(run(f))
}

func run(f flags) int {
	s, err := settings.Load(f.Config)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return command.ExitUsage
	}
	if f.Check {
		fmt.Printf("%s: settings of instance %s are valid\n", f.Config, s.Instance.ID)
		return 0
	}
	instance, err := app.New(s, os.Stderr)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return command.ExitFailed
	}
	if f.AddressesFile != "" {
		if err := instance.Addresses().Write(f.AddressesFile); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return command.ExitFailed
		}
	}
	leave, stop := shutdownContexts()
	if err := instance.Run(leave, stop); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return command.ExitFailed
	}
	return 0
}

// shutdownContexts returns a context that is cancelled by the first SIGTERM or SIGINT,
// and one that is cancelled by the second.
func shutdownContexts() (leave, stop context.Context) {
	leave, cancelLeave := context.WithCancel(context.Background())
	stop, cancelStop := context.WithCancel(context.Background())
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		cancelLeave()
		<-signals
		cancelStop()
	}()
	return leave, stop
}
