package control

import (
	"context"
	"time"

	"github.com/savorytiller/savorytiller/internal/core/health"
	"github.com/savorytiller/savorytiller/internal/core/model"
)

// event is an input of the control goroutine: one of the ev types below.
type event any

type (
	evTimer       struct{}
	evLeave       struct{}
	evObservation struct{ health.Observation }
	// evRequest is a call from another instance; answer has a buffer for one reply.
	evRequest struct {
		from   model.InstanceID
		params any
		answer chan<- reply
	}
	// evCalled is the result of a call to a peer.
	evCalled struct {
		call *effCall
		err  error
	}
	evRead struct {
		key   string
		value []byte
		err   error
	}
	evWatched struct {
		value    []byte
		revision uint64
		err      error
	}
	evInstances struct {
		members []model.Member
		err     error
	}
	evHealth struct {
		server model.ServerID
		report health.Report
		err    error
	}
)

type reply struct {
	result any
	err    error
}

// effect is an operation, such as a call or a read, that the control goroutine
// starts and whose result returns as an event.
type effect interface {
	run(ctx context.Context, o *Options) event
	// failed returns the result event of an effect that could not be run.
	failed(err error) event
	timeLimit() time.Duration
}

// effCall calls a method of a peer.
type effCall struct {
	to      model.Member
	method  string
	params  any
	result  any
	timeout time.Duration
	// pauses is the number of pauses of this process before the call. If a call fails
	// after another pause, the pause can be the cause, so the failure does not count
	// against the peer.
	pauses int
	// done is called in the control goroutine with the result.
	done func(m *machine, err error)
}

func (f *effCall) timeLimit() time.Duration { return f.timeout }

func (f *effCall) failed(err error) event { return evCalled{f, err} }

func (f *effCall) run(ctx context.Context, o *Options) event {
	return evCalled{f, o.Peers.Call(ctx, f.to, f.method, f.params, f.result)}
}

// effRead reads a key of the configuration service.
type effRead struct{ key string }

func (f effRead) timeLimit() time.Duration { return readTimeout }

func (f effRead) failed(err error) event { return evRead{f.key, nil, err} }

func (f effRead) run(ctx context.Context, o *Options) event {
	value, err := o.Config.Read(ctx, f.key)
	return evRead{f.key, value, err}
}

// effWatch waits until the revision of release/latest differs from known.
type effWatch struct{ known uint64 }

func (f effWatch) timeLimit() time.Duration { return watchTimeout }

func (f effWatch) failed(err error) event { return evWatched{nil, 0, err} }

func (f effWatch) run(ctx context.Context, o *Options) event {
	value, revision, err := o.Config.Watch(ctx, keyLatest, f.known)
	return evWatched{value, revision, err}
}

// effInstances reads the platform's instance list.
type effInstances struct{}

func (effInstances) timeLimit() time.Duration { return readTimeout }

func (effInstances) failed(err error) event { return evInstances{nil, err} }

func (effInstances) run(ctx context.Context, o *Options) event {
	members, err := o.Instances.Instances(ctx)
	return evInstances{members, err}
}

// effHealth reads the health endpoint of a server.
type effHealth struct{ server model.Server }

func (f effHealth) timeLimit() time.Duration { return healthTimeout }

func (f effHealth) failed(err error) event { return evHealth{f.server.ID, health.Report{}, err} }

func (f effHealth) run(ctx context.Context, o *Options) event {
	report, err := o.Health.Health(ctx, f.server)
	return evHealth{f.server.ID, report, err}
}

// Timeouts of effects.
const (
	readTimeout   = 2 * time.Second
	watchTimeout  = 35 * time.Second // longer than the 30 s after which the service answers without a change
	healthTimeout = time.Second
)
