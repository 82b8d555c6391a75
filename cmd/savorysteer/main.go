// Command savorysteer runs an instance of the load balancer on platforms whose packets
// carry a token that identifies their backend server.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/savorytiller/savorytiller/internal/adapter/logging"
	"github.com/savorytiller/savorytiller/internal/adapter/settings"
	"github.com/savorytiller/savorytiller/internal/app/command"
	"github.com/savorytiller/savorytiller/internal/app/steer"
	"github.com/savorytiller/savorytiller/internal/port"
	"github.com/savorytiller/savorytiller/platform"
)

// connectTimeout bounds each attempt to connect to the registry.
const connectTimeout = 700 * time.Millisecond

// flushTimeout bounds the time for writing the remaining log lines before the process
// exits.
const flushTimeout = 100 * time.Millisecond

type flags struct {
	Config string `help:"Settings file (TOML)." env:"SAVORYTILLER_BOOT" required:"" placeholder:"FILE"`
	Check  bool   `help:"Check the settings, print every problem and exit without opening a socket."`
}

func main() {
	var f flags
	command.Parse(&f, "savorysteer", "Instance of the savorytiller load balancer for packets with tokens. SIGTERM starts a "+
		"graceful shutdown. Exit codes: 0 done, 1 failed, 2 wrong flags or settings.")
	os.Exit(run(f))
}

func run(f flags) int {
	s, err := settings.LoadSteer(f.Config)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return command.ExitUsage
	}
	if f.Check {
		fmt.Printf("%s: settings of instance %s are valid\n", f.Config, s.Instance.ID)
		return 0
	}
	out := logging.NewBoundedWriter(os.Stdout, logging.DefaultBudget)
	defer out.Close(flushTimeout)
	logs, err := logging.New(out, s.Log.Level)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return command.ExitUsage
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	instance, err := steer.New(s, steer.Platform{
		Codec: func(s *settings.Steer) port.PacketCodec {
			return platform.PacketCodec{CallerPort: s.Listen.Flows.Port()}
		},
		Registry: func(s *settings.Steer) port.Registry { return platform.NewStore(s.Registry.Address, connectTimeout) },
		Prober:   platform.NewProber(),
	}, logs, out.LeftOut)
	if err == nil {
		err = instance.Run(ctx, steer.Reloader{Path: f.Config, Hangup: hangup})
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return command.ExitFailed
	}
	return 0
}
