// Package model defines the basic types that the other packages share:
// identifiers, availability zones, services, backend servers, instances,
// flow keys, reason codes and time. Their methods only look up, compare and format
// values.
//
// In all packages, the fleet is the set of all instances of the load balancer, and a
// peer of an instance is another instance.
package model

import (
	"net/netip"
	"time"
)

// Time is a point on a monotonic clock in nanoseconds. The process that runs the
// core chooses the origin, so values of different processes cannot be compared.
type Time int64

// Add returns the time d after t.
func (t Time) Add(d time.Duration) Time { return t + Time(d) }

// Sub returns the duration from u to t.
func (t Time) Sub(u Time) time.Duration { return time.Duration(t - u) }

// Before reports whether t is earlier than u.
func (t Time) Before(u Time) bool { return t < u }

// After reports whether t is later than u.
func (t Time) After(u Time) bool { return t > u }

// Version is the number of a release note, which is one update of the
// configuration. It grows by one with each note; 0 means that no note is in force.
type Version uint64

// Zone names an availability zone.
type Zone string

// InstanceID names an instance of the load balancer. It stays the same across
// restarts.
type InstanceID string

// Incarnation distinguishes the runs of one instance: the wall-clock start time
// of the process in nanoseconds. A restarted instance has a higher incarnation.
type Incarnation uint64

// ServiceID is the number of a service, 1 to MaxServiceID. It is also the Geneve
// VNI of the service's packets.
type ServiceID uint32

// MaxServiceID is the largest VNI that 24 bits can hold (RFC 8926, section 3.4).
const MaxServiceID ServiceID = 1<<24 - 1

// ServerID names a backend server. It is unique across all services.
type ServerID string

// ServerState is the state of a backend server as set by the release note.
type ServerState uint8

const (
	// ServerActive means that the server may get new work.
	ServerActive ServerState = iota
	// ServerDraining means that the server keeps its flows and requests in
	// progress but gets no new work.
	ServerDraining
)

// String returns the name used in release notes.
func (s ServerState) String() string {
	if s == ServerDraining {
		return "draining"
	}
	return "active"
}

// Server is a backend server of one service.
type Server struct {
	ID   ServerID
	Zone Zone
	// FlowAddress is the Geneve tunnel endpoint of the server.
	FlowAddress netip.AddrPort
	// RequestAddress is the HTTP endpoint of the server.
	RequestAddress netip.AddrPort
	// Weight is the server's share of new work relative to the other servers,
	// 1 to MaxWeight.
	Weight uint16
	// Slots is the number of requests that the server can run concurrently.
	Slots uint16
	// Connections is the number of flows that the server can hold concurrently.
	Connections uint32
	State       ServerState
}

// Limits of the values in a release note.
const (
	MaxWeight      = 1000
	MaxSlots       = 1024
	MaxConnections = 1_000_000
)

// RequestKind describes one kind of request of a service. The first kind whose
// method and path prefix match applies.
type RequestKind struct {
	Name       string
	Method     string
	PathPrefix string
	// Idempotent reports whether requests of the kind can be repeated safely. Others
	// must run at most once.
	Idempotent bool
	// Class groups the kinds that share a guaranteed part of the service's slots.
	Class string
	// Share is the part of the service's slots that is guaranteed to Class, in
	// percent. It is the same for all kinds of a class.
	Share uint8
	// Priority orders the classes of a service while its slots are short; 0 is the most urgent,
	// LowestPriority means that none is stated. It is the same for all kinds of a class.
	Priority uint8
}

// Service is a set of backend servers behind one virtual address and host name.
type Service struct {
	ID     ServiceID
	Name   string
	Tenant string
	// Host is the HTTP host name that selects the service for requests.
	Host string
	// VirtualAddress is the destination of the service's flows.
	VirtualAddress netip.AddrPort
	// IdleTimeout is the time without packets after which a flow ends.
	IdleTimeout time.Duration
	// RequestTimeout is both the default and the upper limit of the time for a request.
	RequestTimeout time.Duration
	// MaxBody is the largest request body in bytes.
	MaxBody int64
	Kinds   []RequestKind
	// Servers are sorted by ID.
	Servers []Server
}

// Configuration is the complete state that the release notes up to Version
// describe. It is immutable once published.
type Configuration struct {
	Version Version
	// Digest is a hash over the whole configuration. Two configurations with
	// the same version but different digests result from conflicting notes.
	Digest uint64
	// Services are sorted by ID.
	Services []Service
	// WithdrawnZones are the availability zones that are out of service, sorted.
	WithdrawnZones []Zone
}

// Service returns the service with the given number, or nil.
func (c *Configuration) Service(id ServiceID) *Service {
	lo, hi := 0, len(c.Services)
	for lo < hi {
		mid := int(uint(lo+hi) >> 1)
		if c.Services[mid].ID < id {
			lo = mid + 1
		} else {
			hi = mid
		}
	}
	if lo < len(c.Services) && c.Services[lo].ID == id {
		return &c.Services[lo]
	}
	return nil
}

// ServiceByHost returns the service with the given HTTP host name, or nil.
func (c *Configuration) ServiceByHost(host string) *Service {
	for i := range c.Services {
		if c.Services[i].Host == host {
			return &c.Services[i]
		}
	}
	return nil
}

// Withdrawn reports whether the availability zone is out of service.
func (c *Configuration) Withdrawn(zone Zone) bool {
	for _, z := range c.WithdrawnZones {
		if z == zone {
			return true
		}
	}
	return false
}

// Liveness is the state of an instance as another instance sees it.
type Liveness uint8

const (
	// Live means that the instance responds and accepts new work.
	Live Liveness = iota
	// Leaving means that the instance responds but accepts no new work.
	Leaving
	// Dead means that the instance does not respond.
	Dead
)

// String returns the name shown to operators.
func (l Liveness) String() string {
	switch l {
	case Live:
		return "live"
	case Leaving:
		return "leaving"
	default:
		return "dead"
	}
}

// Member describes an instance of the load balancer as another instance sees it.
type Member struct {
	ID          InstanceID
	Incarnation Incarnation
	Zone        Zone
	// FlowAddress is the Geneve endpoint of the instance.
	FlowAddress netip.AddrPort
	// PeerAddress is the endpoint for messages between instances.
	PeerAddress netip.AddrPort
	// RequestAddress is the HTTP endpoint for callers.
	RequestAddress netip.AddrPort
	Liveness       Liveness
	// Capacity is the bandwidth of the instance's link in Mbit/s, or 0 if
	// unknown. Instances with a larger capacity are preferred for the tasks that
	// one instance does for its whole zone.
	Capacity uint32
}

// FlowKey identifies a flow across all services.
type FlowKey struct {
	Service  ServiceID
	Protocol uint8 // IP protocol number: 6 for TCP, 17 for UDP
	Source   netip.AddrPort
	// Destination is the service's virtual address.
	Destination netip.AddrPort
}
