package registry

import (
	"context"
	"net/netip"
	"time"

	"github.com/savorytiller/savorytiller/internal/core/belief"
	"github.com/savorytiller/savorytiller/internal/core/catalog"
	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/core/peer"
	"github.com/savorytiller/savorytiller/internal/core/room"
	"github.com/savorytiller/savorytiller/internal/core/steering"
	"github.com/savorytiller/savorytiller/internal/port"
)

// event is an input of the machine. Control handles evRegistry itself.
type event any

// evChanges is the result of a listing or of a watch.
type evChanges struct {
	generation int  // feed.generation when the call started
	listing    bool // set for a listing
	changes    catalog.Changes
	err        error
}

// evChecked is the result of a check.
type evChecked struct {
	position catalog.Position
	err      error
}

// evSuspect names a run of a server that did not respond to flows.
type evSuspect struct {
	run catalog.ServerRun
	at  model.Time // when the last of them did not respond
}

// evUnknownToken is a token in packets of a flow that no known server has.
type evUnknownToken struct{ token steering.Token }

// evMessage is a message from another instance.
type evMessage struct{ message *peer.Message }

// evLoad is the load that the traffic goroutine observed.
type evLoad struct{ report *room.Report }

// evRegistry replaces the registry client.
type evRegistry struct{ registry port.Registry }

// evSeeds replaces the seeds.
type evSeeds struct{ seeds []netip.AddrPort }

// evLeave means that this instance is shutting down.
type evLeave struct{}

// evProbed is the result of a probe of a server.
type evProbed struct {
	server  catalog.ServerEntry
	sentAt  model.Time
	result  belief.ProbeResult
	elapsed time.Duration
	// repeated is catalog.Probe.Repeated.
	repeated bool
}

// effect is an action that Control executes for the machine, such as a call or a message.
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

// effWatch waits for changes of the registry after a revision.
type effWatch struct {
	generation int
	after      uint64
	wait       time.Duration
}

func (f effWatch) run(ctx context.Context, o *Options) event {
	changes, err := o.Registry.Watch(ctx, f.after, f.wait)
	return evChanges{f.generation, false, changes, err}
}

// effCheck reads the current position of the registry.
type effCheck struct{}

func (effCheck) run(ctx context.Context, o *Options) event {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	position, err := o.Registry.Position(ctx)
	return evChecked{position, err}
}

// effProbe probes a server.
type effProbe struct {
	probe  catalog.Probe
	sentAt model.Time
}

func (f effProbe) run(ctx context.Context, o *Options) event {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	s, probe := f.probe.Server, o.Prober.Probe
	if f.probe.Repeated {
		probe = o.Prober.Reprobe
	}
	result := probe(ctx, s.ID, s.Address, f.probe.HealthPath)
	return evProbed{s, f.sentAt, result, o.Clock.Now().Sub(f.sentAt), f.probe.Repeated}
}

// effSend sends a message to another instance.
type effSend struct {
	to      model.Member
	message *peer.Message
}

func (f effSend) run(_ context.Context, o *Options) event {
	o.Peers.Send(f.to, f.message)
	return nil
}

// effCancel cancels all registry calls and server probes in progress and closes the
// connections to the registry.
type effCancel struct{}

func (effCancel) run(context.Context, *Options) event { return nil }
