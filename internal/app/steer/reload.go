package steer

import (
	"bytes"
	"context"
	"os"
	"time"

	"github.com/savorytiller/savorytiller/internal/adapter/settings"
)

// reloadInterval is the time between reads of the settings file, which may change without
// a signal.
const reloadInterval = 2 * time.Second

// Reloader holds the settings file, which is read again while the instance runs, and the
// signal to do so immediately.
type Reloader struct {
	// Path is the settings file.
	Path string
	// Hangup delivers the signals (SIGHUP) that request an immediate reload.
	Hangup <-chan os.Signal
}

// reload reads the settings file periodically and on request until ctx ends, and applies
// changes.
func (i *Instance) reload(ctx context.Context, r Reloader) error {
	known, err := os.ReadFile(r.Path)
	if err != nil {
		i.log.Error(err, "cannot read settings")
	}
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	for {
		requested := false
		select {
		case <-ctx.Done():
			return nil
		case <-r.Hangup:
			requested = true
		case <-ticker.C:
		}
		data, err := os.ReadFile(r.Path)
		switch {
		case err != nil:
			i.log.Error(err, "cannot read settings, keeping the current ones")
		case !bytes.Equal(data, known):
			known = data
			i.applySettings(r.Path, data)
		case requested:
			i.log.Info("settings reloaded", "changed", false)
		}
	}
}

// boundsFixedAtStart returns the bounds that take effect only at a start.
func boundsFixedAtStart(s *settings.Steer) settings.Bounds {
	b := s.Bounds
	b.StopGrace = 0
	return b
}

// applySettings applies new settings if they are valid. Some of them, such as the listen
// addresses and the instance's ID, take effect only at the next start.
func (i *Instance) applySettings(path string, data []byte) {
	next, err := settings.ParseSteer(path, data)
	if err != nil {
		i.log.Error(err, "invalid settings, keeping the current ones")
		return
	}
	current := i.settings.Load()
	restart := next.Instance != current.Instance || next.Listen != current.Listen || next.LinkMbps != current.LinkMbps ||
		next.Log != current.Log || next.Admission != current.Admission || next.Hedge != current.Hedge ||
		next.LoadInterval != current.LoadInterval || boundsFixedAtStart(next) != boundsFixedAtStart(current)
	if next.Registry != current.Registry {
		i.control.SetRegistry(i.platform.Registry(next))
	}
	i.control.SetSeeds(next.Seeds)
	i.settings.Store(next)
	i.log.Info("settings reloaded", "changed", true, "registry", next.Registry.Address.String(),
		"seeds", len(next.Seeds), "needs_restart", restart)
}
