// Package catalog keeps what an instance believes of the registry: the
// configuration, the backend servers and the zones that operators took out of
// service. It merges listings and changes that may arrive late, twice or out of
// order, and builds the snapshots for traffic.
package catalog

import (
	"net/netip"
	"time"

	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/core/steering"
)

// Route and Share are as traffic uses them.
type (
	Route = steering.Route
	Share = steering.Share
)

// Service holds what operators say of a service.
type Service struct {
	Name string
	// HealthPath is the path of the servers' health endpoint.
	HealthPath string
	// ColdPerSecond is how many new flows a second a cold server can handle.
	ColdPerSecond float64
}

// Configuration is one version of what operators configure, always whole.
type Configuration struct {
	// Version grows with each configuration, in uneven steps.
	Version     uint64
	Routes      []Route
	Services    []Service
	IdleTimeout time.Duration
}

// ServerEntry is what a backend server says of itself.
type ServerEntry struct {
	ID      model.ServerID
	Number  uint64
	Address netip.AddrPort
	Service string
	Zone    model.Zone
	Slots   int
	State   model.ServerState
	// Started is the server's start in milliseconds since 1970; it is only compared.
	Started int64
	// ColdFor is how long the server stays cold after it wrote the entry.
	ColdFor time.Duration
}

// Run returns which run of the server wrote the entry.
func (e *ServerEntry) Run() Run { return Run{e.ID, e.Started} }

// Run identifies one run of a backend server.
type Run struct {
	ID      model.ServerID
	Started int64
}

// Entry is a key of the registry with its decoded value. Exactly one of Config,
// Server, Withdrawn and Problem is set unless the entry is removed.
type Entry struct {
	Key      string
	Revision uint64
	Removed  bool

	Config *Configuration
	// Delta leads to Config from the version before it, if that is known. An
	// entry of another instance may have Delta only.
	Delta     *Delta
	Server    *ServerEntry
	Withdrawn model.Zone
	// Problem says why the value can't be used.
	Problem error
}

// Changes are entries in the order of their revisions, complete up to Revision.
type Changes struct {
	Entries  []Entry
	Revision uint64
}
