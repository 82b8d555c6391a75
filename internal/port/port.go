// Package port defines the interfaces between the adapters on one side and the core
// and the goroutines that run it on the other.
package port

import (
	"context"
	"net/netip"
	"time"

	"github.com/savorytiller/savorytiller/internal/core/health"
	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/core/note"
	"github.com/savorytiller/savorytiller/internal/core/view"
)

// Clock returns the monotonic time.
type Clock interface {
	Now() model.Time
}

// ViewReader returns the newest published view, or nil before the first one.
type ViewReader interface {
	View() *view.View
}

// PacketSender sends encapsulated packets.
type PacketSender interface {
	// SendPacket sends one packet. It must not keep the slice.
	SendPacket(to netip.AddrPort, packet []byte) error
}

// Recorder counts decisions and measures durations. Its methods are safe for
// concurrent use and never block.
type Recorder interface {
	// Count increments the counter of a reason within a part of the system, for
	// example "flow" or "request".
	Count(part string, reason model.Reason)
	// Observe adds a duration to the histogram of a metric for a tenant and class.
	Observe(metric, tenant, class string, d time.Duration)
	// Decision adds a decision to the list of recent decisions.
	Decision(d Decision)
}

// Decision is an entry of the bounded list of recent decisions, which operators
// can inspect.
type Decision struct {
	At      model.Time
	Part    string
	Reason  model.Reason
	Subject string
	Detail  string
}

// ConfigSource reads the platform's configuration service.
type ConfigSource interface {
	// Read returns the value of a key. The error is ErrNotFound for a key that
	// does not exist and ErrUnavailable if the service does not answer.
	Read(ctx context.Context, key string) ([]byte, error)
	// Watch returns the value of a key as soon as its revision differs from known,
	// or with the unchanged revision after the service's own time limit.
	Watch(ctx context.Context, key string, known uint64) (value []byte, revision uint64, err error)
}

// InstanceList reads the platform's list of instances, which lags behind the real
// state.
type InstanceList interface {
	Instances(ctx context.Context) ([]model.Member, error)
}

// PeerCaller calls a method of another instance. Params and result are typed
// messages that the adapter encodes.
type PeerCaller interface {
	// Call returns ErrUnavailable if the instance did not respond and ErrRemote if
	// its handler returned an error.
	Call(ctx context.Context, to model.Member, method string, params, result any) error
}

// PeerHandler answers calls of one method by other instances. The decode function
// decodes the parameters into a typed message.
type PeerHandler func(ctx context.Context, from model.InstanceID, decode func(any) error) (any, error)

// PeerRegistry registers the handlers of the methods that other instances call.
// All handlers must be registered before the first call arrives.
type PeerRegistry interface {
	Handle(method string, h PeerHandler)
}

// ObservationSink receives the observations of backend servers by traffic. It never
// blocks; if its queue is full, an observation is dropped and counted.
type ObservationSink interface {
	Observe(o health.Observation)
}

// NoteCodec decodes the values of the configuration service. Its errors are of
// type *note.Refusal.
type NoteCodec interface {
	DecodeNote(raw []byte) (*note.Note, error)
	DecodeLatest(raw []byte) (note.Latest, error)
	DecodeCheckpoint(raw []byte) (note.Checkpoint, error)
}

// ServerHealth reads the health endpoint of a backend server.
type ServerHealth interface {
	Health(ctx context.Context, server model.Server) (health.Report, error)
}
