// Package settings reads the static settings of an instance from a TOML file.
// All checks of settings are in this package. All problems of a file are reported
// together; each names the file, the key and the allowed values.
package settings

import (
	"net/netip"
	"time"

	"github.com/savorytiller/savorytiller/internal/core/model"
)

// Settings holds the settings of an instance of savorytillerd. They do not change
// while the process runs; what changes at run time comes in release notes.
type Settings struct {
	Instance  Instance
	Listen    Addresses
	Advertise Addresses
	Platform  Platform
	PeerKeys  []PeerKey
	Flows     Flows
	Requests  Requests
	Hedge     Hedge
	Shutdown  Shutdown
	Log       Log
	Metrics   Metrics
}

// Instance identifies the instance.
type Instance struct {
	ID   model.InstanceID
	Zone model.Zone
}

// Addresses are the endpoints of an instance. With port 0, the operating system
// chooses a port. In the advertised addresses, the zero value means the listening
// address.
type Addresses struct {
	Flows     netip.AddrPort
	Peers     netip.AddrPort
	Requests  netip.AddrPort
	Operators netip.AddrPort
}

// Platform locates the configuration service and the instance list.
type Platform struct {
	// URL has no path and no slash at the end.
	URL string
}

// PeerKey authenticates messages between instances. The first key of the list
// signs; every key of the list verifies.
type PeerKey struct {
	// ID is the number that identifies the key in messages.
	ID     uint8
	Secret []byte
}

// Flows bounds the data plane.
type Flows struct {
	// Shards is the number of flow workers.
	Shards int
	// TableEntries is the maximum number of flows in each shard.
	TableEntries int
	// QueuePackets is the maximum number of packets that wait for each worker.
	QueuePackets int
}

// Requests bounds the request front end.
type Requests struct {
	// MaxConnections is the maximum number of open connections of callers.
	MaxConnections int
	// InFlightBytes and TenantBytes bound the total size of the request bodies in
	// progress, in bytes, for the instance and for each tenant.
	InFlightBytes int64
	TenantBytes   int64
	// QueueWait is how long a request waits for a slot at most.
	QueueWait time.Duration
	// QueueLength is the maximum number of requests of a service that wait for a
	// slot.
	QueueLength int
	// DedupKeys is the maximum number of remembered idempotency keys.
	DedupKeys int
}

// Shutdown bounds a graceful shutdown.
type Shutdown struct {
	// Notice is the time between the announcement of the shutdown and the refusal
	// of new requests, in which peers and the network fabric can react.
	Notice time.Duration
	// Drain is the time limit for the whole shutdown.
	Drain time.Duration
}

// Hedge bounds the repetition of slow requests, or of slow openings of flows, at a second
// server.
type Hedge struct {
	// Limit is the largest number of repetitions for each request of a service; 0 for none.
	Limit float64
}

// Log selects what is logged.
type Log struct {
	// Level is debug, info or error.
	Level string
}

// Metrics bounds the metrics recorder.
type Metrics struct {
	// Decisions is the number of recent decisions that are kept in memory.
	Decisions int
}
