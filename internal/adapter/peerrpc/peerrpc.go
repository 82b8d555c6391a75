// Package peerrpc implements the calls between instances: JSON-RPC 2.0 over TCP
// in authenticated frames. Messages that are forged, replayed, too large or above
// the rate limit are counted, and their connection is closed.
package peerrpc

import (
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/port"
)

// Identity identifies one run of an instance.
type Identity struct {
	ID          model.InstanceID
	Incarnation model.Incarnation
}

// Key is a shared secret with the key identifier that frames contain.
type Key struct {
	ID     uint8
	Secret []byte
}

// MinSecretBytes is the minimum length of a secret in bytes.
const MinSecretBytes = 16

// Options configure a Node.
type Options struct {
	Self Identity
	// Keys holds one or two keys. Outgoing messages are signed with the first;
	// incoming messages may be signed with either, so that a key can be replaced
	// while the fleet runs.
	Keys []Key
	// MaxConnections is the maximum number of open connections in each direction.
	MaxConnections int
	// IdleTimeout is how long an unused outgoing connection stays open. Incoming
	// connections are closed after twice this time without messages.
	IdleTimeout time.Duration
	// DialTimeout is the timeout for opening a connection and, separately, for its
	// handshake.
	DialTimeout time.Duration
	// RatePerPeer is the maximum number of incoming messages per second on one
	// connection.
	RatePerPeer float64
	// MaxConcurrent is the maximum number of calls of one connection that are
	// handled concurrently.
	MaxConcurrent int
}

// Defaults of Options.
const (
	DefaultMaxConnections = 256
	DefaultIdleTimeout    = time.Minute
	DefaultDialTimeout    = time.Second
	DefaultRatePerPeer    = 500
	DefaultMaxConcurrent  = 64
)

// Stats are the counters of a Node since its start. Limited counts messages and
// connections that were refused because of a limit; SilentConnections counts
// outgoing connections that were closed because nothing was received during a call.
type Stats struct {
	Forged, Replayed, TooLarge, Limited uint64
	BytesSent, BytesReceived            uint64
	Dials, SilentConnections            uint64
}

type counters struct {
	forged, replayed, tooLarge, limited, sent, received, dials, silent atomic.Uint64
}

// Node sends and receives the calls between instances. It implements
// port.PeerCaller and port.PeerRegistry.
type Node struct {
	options  Options
	keys     *keyring
	handlers map[string]port.PeerHandler
	counters counters
	pool     pool
	server   server
}

type keyring struct{ keys []Key }

// current returns the key that signs outgoing messages.
func (k *keyring) current() (uint8, []byte) { return k.keys[0].ID, k.keys[0].Secret }

func (k *keyring) find(id uint8) ([]byte, bool) {
	for i := range k.keys {
		if k.keys[i].ID == id {
			return k.keys[i].Secret, true
		}
	}
	return nil, false
}

// New returns a node that is not yet listening.
func New(o Options) (*Node, error) {
	if o.Self.ID == "" || len(o.Self.ID) > 255 {
		return nil, merry.Errorf("instance identifier has %d bytes, allowed are 1 to 255", len(o.Self.ID))
	}
	if len(o.Keys) < 1 || len(o.Keys) > 2 {
		return nil, merry.Errorf("%d keys, allowed are 1 or 2", len(o.Keys))
	}
	for _, k := range o.Keys {
		if len(k.Secret) < MinSecretBytes {
			return nil, merry.Errorf("key %d has %d bytes, at least %d are needed", k.ID, len(k.Secret), MinSecretBytes)
		}
	}
	if len(o.Keys) == 2 && o.Keys[0].ID == o.Keys[1].ID {
		return nil, merry.Errorf("both keys have the identifier %d", o.Keys[0].ID)
	}
	setDefault(&o.MaxConnections, DefaultMaxConnections)
	setDefault(&o.IdleTimeout, DefaultIdleTimeout)
	setDefault(&o.DialTimeout, DefaultDialTimeout)
	setDefault(&o.RatePerPeer, DefaultRatePerPeer)
	setDefault(&o.MaxConcurrent, DefaultMaxConcurrent)
	n := &Node{options: o, keys: &keyring{o.Keys}, handlers: map[string]port.PeerHandler{}}
	n.pool.conns = map[string]*pooledConn{}
	n.server.streams = map[*stream]bool{}
	return n, nil
}

func setDefault[T int | float64 | time.Duration](v *T, d T) {
	if *v <= 0 {
		*v = d
	}
}

// Handle registers the handler of a method. It must be called before Serve.
func (n *Node) Handle(method string, h port.PeerHandler) { n.handlers[method] = h }

// Stats returns the counters.
func (n *Node) Stats() Stats {
	c := &n.counters
	return Stats{
		Forged: c.forged.Load(), Replayed: c.replayed.Load(), TooLarge: c.tooLarge.Load(), Limited: c.limited.Load(),
		BytesSent: c.sent.Load(), BytesReceived: c.received.Load(), Dials: c.dials.Load(),
		SilentConnections: c.silent.Load(),
	}
}

// Close closes all connections and the listener.
func (n *Node) Close() error {
	n.pool.close()
	return n.server.close()
}

var (
	_ port.PeerCaller   = (*Node)(nil)
	_ port.PeerRegistry = (*Node)(nil)
)
