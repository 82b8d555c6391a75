// Package catalog maintains an instance's copy of the registry: the configuration, the
// backend servers and the zones that operators took out of service. It merges listings
// and changes that may arrive late, repeatedly or out of order, and builds the
// snapshots for the traffic goroutines.
package catalog

import (
	"net/netip"
	"time"

	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/core/steering"
)

// Route and Share are the types that the traffic goroutines use.
type (
	Route = steering.Route
	Share = steering.Share
)

// Service is the configuration of a service.
type Service struct {
	Name string
	// HealthPath is the path of the servers' health endpoint.
	HealthPath string
	// ColdPerSecond is the number of new flows per second that a cold server can handle
	// according to the operators. Instances allow a margin in addition, see
	// steering.Service.
	ColdPerSecond float64
	// ColdTime is how long the cold start of a server lasts.
	ColdTime time.Duration
}

// Configuration is one complete version of what operators configure.
type Configuration struct {
	// Version increases with each configuration, not necessarily by one.
	Version  uint64
	Routes   []Route
	Services []Service
	// IdleTimeout is the time without packets after which a flow ends; 0 means the default
	// of the Settings.
	IdleTimeout time.Duration
}

// ServerEntry is the registry entry that a backend server writes about itself. The fields
// without a comment are those of steering.Server.
type ServerEntry struct {
	ID      model.ServerID
	Number  uint64
	Address netip.AddrPort
	Service string
	Zone    model.Zone
	Slots   int
	State   model.ServerState
	// Started is the server's start time in milliseconds since 1970. It is only compared.
	Started int64
	// ColdFor is how long the server's cold start lasts after it wrote the entry.
	ColdFor time.Duration
}

// Run returns the run of the server that wrote the entry.
func (e *ServerEntry) Run() ServerRun { return ServerRun{e.ID, e.Started} }

// ServerRun identifies one run of a backend server, from its start to its end.
type ServerRun struct {
	ID      model.ServerID
	Started int64
}

// Entry is a key of the registry with its decoded value. Exactly one of Config, Server,
// Withdrawn and Err is set, unless the key was removed or the entry has only Delta.
type Entry struct {
	Key string
	// Revision is the revision of the registry that last changed the key.
	Revision uint64
	Removed  bool

	Config *Configuration
	// Delta is the difference to Config from the version before it, if that is known.
	// An entry from another instance may have Delta without Config.
	Delta     *Delta
	Server    *ServerEntry
	Withdrawn model.Zone
	// Err is why the value is invalid.
	Err error
	// Restored is set if the entry is from the first listing after a restore of the
	// registry, so that it may be older than what is known of its key.
	Restored bool
}

// Changes are entries in ascending order of their revisions, complete up to Revision.
type Changes struct {
	Entries  []Entry
	Revision uint64
	// Epoch is the epoch of Revision and of the entries' revisions.
	Epoch uint64
}

// Position returns how far the changes go.
func (c *Changes) Position() Position { return Position{c.Epoch, c.Revision} }

// Position is how far a view of the registry goes. Epoch increases each time the registry is
// restored from a copy; it is 0 if the registry does not say. The registry then continues
// from the revision of the copy and gives out later revisions again, so revisions can be
// compared only within an epoch.
type Position struct{ Epoch, Revision uint64 }

// After reports whether p is later than other.
func (p Position) After(other Position) bool {
	return p.Epoch > other.Epoch || p.Epoch == other.Epoch && p.Revision > other.Revision
}
