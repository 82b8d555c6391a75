// Package app assembles an entry instance from its parts and runs it.
package app

import (
	"context"
	"io"

	"github.com/go-logr/logr"

	"github.com/savorytiller/savorytiller/internal/adapter/clock"
	"github.com/savorytiller/savorytiller/internal/adapter/logging"
	"github.com/savorytiller/savorytiller/internal/adapter/metrics"
	"github.com/savorytiller/savorytiller/internal/adapter/settings"
)

// Instance is an entry instance with its open sockets.
type Instance struct {
	settings *settings.Settings
	log      logr.Logger
	clock    *clock.System
	recorder *metrics.Recorder
	sockets  *sockets
}

// New opens the sockets of an instance. Logs go to w.
func New(s *settings.Settings, w io.Writer) (*Instance, error) {
	logs, err := logging.New(w, s.Log.Level)
	if err != nil {
		return nil, err
	}
	opened, err := openSockets(s)
	if err != nil {
		return nil, err
	}
	return &Instance{
		settings: s,
		log:      logs.Part("entry"),
		clock:    clock.NewSystem(),
		recorder: metrics.New(s.Metrics.Decisions),
		sockets:  opened,
	}, nil
}

// Addresses returns the endpoints with the ports that the system chose.
func (i *Instance) Addresses() Addresses { return i.sockets.addresses }

// Run serves until the context ends.
func (i *Instance) Run(ctx context.Context) error {
	i.log.Info("instance is listening", "id", i.settings.Instance.ID, "zone", i.settings.Instance.Zone,
		"addresses", i.Addresses())
	<-ctx.Done()
	i.sockets.close()
	i.log.Info("instance has stopped")
	return nil
}
