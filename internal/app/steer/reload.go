package steer

import (
	"bytes"
	"context"
	"os"
	"time"

	"github.com/savorytiller/savorytiller/internal/adapter/settings"
)

// reloadEvery is the time between two looks at the settings file, which may
// change without a signal.
const reloadEvery = 2 * time.Second

// Reloader takes changes of the settings file into force while the instance runs.
type Reloader struct {
	// Path is the settings file.
	Path string
	// Hangup asks for a look at once.
	Hangup <-chan os.Signal
}

// reload looks at the settings file until ctx ends.
func (i *Instance) reload(ctx context.Context, r Reloader) error {
	known, err := os.ReadFile(r.Path)
	if err != nil {
		i.log.Error(err, "settings can't be read")
	}
	ticker := time.NewTicker(reloadEvery)
	defer ticker.Stop()
	for {
		asked := false
		select {
		case <-ctx.Done():
			return nil
		case <-r.Hangup:
			asked = true
		case <-ticker.C:
		}
		data, err := os.ReadFile(r.Path)
		switch {
		case err != nil:
			i.log.Error(err, "settings can't be read, the present ones hold")
		case !bytes.Equal(data, known):
			known = data
			i.takeSettings(r.Path, data)
		case asked:
			i.log.Info("settings reloaded", "changed", false)
		}
	}
}

// boundsOfStart returns the bounds that only a start takes into force.
func boundsOfStart(s *settings.Steer) settings.Bounds {
	b := s.Bounds
	b.StopGrace = 0
	return b
}

// takeSettings takes new settings into force if they are valid. Addresses of the
// own sockets and the instance's name hold until the next start.
func (i *Instance) takeSettings(path string, data []byte) {
	next, err := settings.ParseSteer(path, data)
	if err != nil {
		i.log.Error(err, "settings are not valid, the present ones hold")
		return
	}
	now := i.settings.Load()
	restart := next.Instance != now.Instance || next.Listen != now.Listen || next.LinkMbps != now.LinkMbps ||
		next.Log != now.Log || boundsOfStart(next) != boundsOfStart(now)
	if next.Registry != now.Registry {
		i.control.SetRegistry(i.platform.Registry(next))
	}
	i.control.SetSeeds(next.Seeds)
	i.settings.Store(next)
	i.log.Info("settings reloaded", "changed", true, "registry", next.Registry.Address.String(),
		"seeds", len(next.Seeds), "needs_restart", restart)
}
