// Package settings reads the static settings of an entry instance from a TOML
// file. All checks are in this package; every error is reported at once and
// names the file, the key and the allowed range.
package settings

import (
	"net/netip"
	"time"

	"github.com/savorytiller/savorytiller/internal/core/model"
)

// Settings are fixed for the life of a process. What changes while it runs
// comes in release notes.
type Settings struct {
	Instance  Instance
	Listen    Addresses
	Advertise Addresses
	Platform  Platform
	PeerKeys  []PeerKey
	Flows     Flows
	Requests  Requests
	Shutdown  Shutdown
	Log       Log
	Metrics   Metrics
}

// Instance says which instance this is.
type Instance struct {
	ID   model.InstanceID
	Zone model.Zone
}

// Addresses are the endpoints of an instance. Port 0 lets the system choose.
// In the advertised addresses, the zero value means the listening address.
type Addresses struct {
	Flows     netip.AddrPort
	Peers     netip.AddrPort
	Requests  netip.AddrPort
	Operators netip.AddrPort
}

// Platform says where the configuration service and the instance list are.
type Platform struct {
	URL string
}

// PeerKey authenticates messages between instances. The first key of the list
// signs; every key of the list verifies.
type PeerKey struct {
	// ID is the number by which messages name the key.
	ID     uint8
	Secret []byte
}

// Flows bounds the data plane.
type Flows struct {
	// Shards is the number of flow workers.
	Shards int
	// TableEntries is the number of flows that each shard holds.
	TableEntries int
	// QueuePackets is the number of packets that wait for each worker.
	QueuePackets int
}

// Requests bounds the request front end.
type Requests struct {
	// MaxConnections is the number of open connections of callers.
	MaxConnections int
	// InFlightBytes and TenantBytes bound the bodies in progress, in bytes.
	InFlightBytes int64
	TenantBytes   int64
	// QueueWait is how long a request waits for a slot.
	QueueWait time.Duration
	// QueueLength is the number of requests of a service that wait for a slot.
	QueueLength int
	// DedupKeys is the number of remembered idempotency keys.
	DedupKeys int
}

// Shutdown bounds a graceful shutdown.
type Shutdown struct {
	// Notice is how long peers and fabric have to notice the announcement
	// before new requests are refused.
	Notice time.Duration
	// Drain is the time limit for the whole shutdown.
	Drain time.Duration
}

// Log selects what is logged.
type Log struct {
	Level string
}

// Metrics bounds the recorder.
type Metrics struct {
	// Decisions is the number of recent decisions that are kept.
	Decisions int
}
