package registry

import (
	"context"
	"net/netip"
	"time"

	"github.com/savorytiller/savorytiller/internal/core/catalog"
	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/core/peer"
	"github.com/savorytiller/savorytiller/internal/port"
)

// event is a result that the control goroutine takes.
type event any

// evChanges is the result of a listing or a watch.
type evChanges struct {
	generation int
	whole      bool // a listing
	changes    catalog.Changes
	err        error
}

// evChecked is the result of reading the revision.
type evChecked struct {
	revision uint64
	err      error
}

// evSuspect is a server that flows got no answer from.
type evSuspect struct {
	server  model.ServerID
	started int64
}

// evMessage is a message of another instance.
type evMessage struct{ message *peer.Message }

// evRegistry brings another client of the registry.
type evRegistry struct{ registry port.Registry }

// evSeeds brings other seeds.
type evSeeds struct{ seeds []netip.AddrPort }

// evLeave says that this instance is told to stop.
type evLeave struct{}

// evProbed is the result of a probe.
type evProbed struct {
	server  catalog.ServerEntry
	sentAt  model.Time
	reach   catalog.ProbeResult
	elapsed time.Duration
}

// effect is a call that runs outside the control goroutine.
type effect interface {
	run(ctx context.Context, o *Options) event
}

// effList lists the registry.
type effList struct {
	generation int
}

func (f effList) run(ctx context.Context, o *Options) event {
	changes, err := o.Registry.List(ctx)
	return evChanges{f.generation, true, changes, err}
}

// effWatch waits for changes.
type effWatch struct {
	generation int
	after      uint64
	wait       time.Duration
}

func (f effWatch) run(ctx context.Context, o *Options) event {
	changes, err := o.Registry.Watch(ctx, f.after, f.wait)
	return evChanges{f.generation, false, changes, err}
}

// effCheck reads the revision.
type effCheck struct{}

func (effCheck) run(ctx context.Context, o *Options) event {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	revision, err := o.Registry.Revision(ctx)
	return evChecked{revision, err}
}

// effProbe asks a server for a sign of life.
type effProbe struct {
	probe  catalog.Probe
	sentAt model.Time
}

func (f effProbe) run(ctx context.Context, o *Options) event {
	ctx, cancel := context.WithTimeout(ctx, probeLimit)
	defer cancel()
	s := f.probe.Server
	reach := o.Prober.Probe(ctx, s.ID, s.Address, f.probe.HealthPath)
	return evProbed{s, f.sentAt, reach, o.Clock.Now().Sub(f.sentAt)}
}

// effSend sends a message to another instance.
type effSend struct {
	to      netip.AddrPort
	message *peer.Message
}

func (f effSend) run(_ context.Context, o *Options) event {
	o.Peers.Send(f.to, f.message)
	return nil
}

// effCancel ends all calls and connections.
type effCancel struct{}

func (effCancel) run(context.Context, *Options) event { return nil }
