// Package steering forwards flows whose packets carry a token of their backend
// server. An instance selects the server of a new flow; all later packets name the
// server by its token, so any instance can forward them and instances share no flow
// state. The scheme is that of Cheetah (Barbette et al., "A High-Speed Load-Balancer
// Design with Guaranteed Per-Connection-Consistency", NSDI 2020).
package steering

import (
	"net/netip"
	"slices"
	"time"

	"github.com/savorytiller/savorytiller/internal/core/belief"
	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/core/room"
)

// Endpoint is an IPv4 address and a port.
type Endpoint struct {
	Address uint32
	Port    uint16
}

// EndpointOf converts a netip.AddrPort. ok is false unless its address is an IPv4 or an
// IPv4-mapped IPv6 address.
func EndpointOf(a netip.AddrPort) (e Endpoint, ok bool) {
	addr := a.Addr().Unmap()
	if !addr.Is4() {
		return Endpoint{}, false
	}
	b := addr.As4()
	return Endpoint{uint32(b[0])<<24 | uint32(b[1])<<16 | uint32(b[2])<<8 | uint32(b[3]), a.Port()}, true
}

// AddrPort converts the endpoint to a netip.AddrPort.
func (e Endpoint) AddrPort() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{byte(e.Address >> 24), byte(e.Address >> 16),
		byte(e.Address >> 8), byte(e.Address)}), e.Port)
}

// FlowKey identifies a flow by the endpoints of the caller and of the route.
type FlowKey struct {
	Caller, Route Endpoint
}

// Flags are the TCP control bits of a packet.
type Flags uint8

// TCP control bits. Their values are not those of the TCP header.
const (
	SYN Flags = 1 << iota
	ACK
	FIN
	RST
)

// Packet holds the fields of a caller's packet that a decision needs.
type Packet struct {
	Key   FlowKey
	Flags Flags
	// Token is 0 in a SYN.
	Token Token
	// Retransmissions is how many times the caller has sent this SYN before; 0 for the
	// first transmission.
	Retransmissions uint32
	// Sequence and Acknowledged are the TCP sequence and acknowledgment numbers.
	Sequence, Acknowledged uint32
	// Length is the number of data bytes.
	Length int
}

// IsSYN reports whether the packet is a SYN without ACK, which opens a flow.
func (p *Packet) IsSYN() bool { return p.Flags&(SYN|ACK) == SYN }

// Server is a backend server as the registry describes it.
type Server struct {
	ID model.ServerID
	// Number identifies the server in the packets that instances send to it, so that
	// another server that reuses its address ignores them.
	Number  uint64
	Address netip.AddrPort
	Service string
	Zone    model.Zone
	// Slots is the number of requests that the server can run concurrently.
	Slots int
	// Started is the start time that the server reports, in milliseconds since 1970. It
	// distinguishes the runs of a server and is only compared, never used as a time.
	Started int64
	// Evidence is what the control goroutine has seen of the run. Its ColdUntil is 0 for a
	// warm server; during its cold start a server can take only a few new flows per second.
	belief.Evidence
	// InDoubt is set while the server counts as cold because it may have started again unnoticed.
	InDoubt bool
	// ColdHome is set on the one instance that may send new flows to the server during
	// its cold start.
	ColdHome bool
	// Token is set by NewTokenIndex. It is 0 if all candidate tokens of the server are
	// shared with others; such a server gets no new flows.
	Token Token
}

// Share is the share of a route's new flows that a service gets.
type Share struct {
	Service string
	Weight  int
}

// Route distributes the flows to one endpoint over services.
type Route struct {
	Name     string
	Endpoint Endpoint
	Shares   []Share
	// Idempotent is set if callers can safely repeat the requests of the route.
	Idempotent bool
	// Terms hold for the flows that open while they are in force.
	Terms model.Terms
}

// Service is a service with those of its servers that may get new flows.
type Service struct {
	Name string
	// ColdPerSecond is the number of new flows per second over all instances that a cold
	// server can take in addition to the coldMargin of the Steerer; 0 means only the
	// coldMargin.
	ColdPerSecond float64
	Servers       []*Server
}

// fresh reports whether the snapshot is recent enough to conclude that a route it lacks
// does not exist.
func (s *Snapshot) fresh(now model.Time) bool {
	return s.ConfirmedAt != 0 && now.Sub(s.ConfirmedAt) < s.FreshFor
}

// AllServicesReachable reports whether this instance can probably reach at least one
// server of every service that has servers. If not, other instances should serve the
// callers of the zone.
func (s *Snapshot) AllServicesReachable() bool {
	for _, service := range s.Services {
		if len(service.Servers) > 0 && !slices.ContainsFunc(service.Servers, s.probablyReachable) {
			return false
		}
	}
	return true
}

func (s *Snapshot) probablyReachable(server *Server) bool {
	return !server.ProbeFailed() && (server.Zone == s.Zone || !s.CutOff)
}

// Snapshot is the immutable state that the control goroutine publishes for the traffic
// goroutines.
type Snapshot struct {
	// Sequence increases by one with each snapshot.
	Sequence uint64
	// Version is the version of the configuration; 0 if none is in force.
	Version uint64
	Routes  map[Endpoint]*Route
	// RemovedRoutes holds when each route was removed that this instance knew, for the
	// lifetime of its flows.
	RemovedRoutes map[Endpoint]model.Time
	Services      map[string]*Service
	// Settled is set if entries of servers that are missing in the registry are not expected
	// to return, so a service without servers has none.
	Settled bool
	// Servers holds the listed servers and, for the lifetime of their flows, ended and
	// unlisted ones. Of each server it has the latest run.
	Servers *TokenIndex
	Zone    model.Zone
	// ZoneInDoubt is set while the servers of the zone may have started again, cold, and the registry,
	// whose entries say so, is unreachable.
	ZoneInDoubt bool
	// InstancesInZone is the number of live instances in the zone, at least 1.
	InstancesInZone int
	// CutOff is set while no messages arrive from instances of other zones.
	CutOff bool
	// UnresponsiveSince holds the zones whose instances do not respond, with the start of
	// each outage.
	UnresponsiveSince map[model.Zone]model.Time
	// ConfirmedAt is the latest time at which the snapshot was known to be up to date
	// with the registry.
	ConfirmedAt model.Time
	// Availability is what is known of the registry's availability. It decides about servers
	// without an entry.
	Availability belief.Registry
	// Registry is how far the snapshot goes, for operators.
	Registry RegistryView
	// FreshFor is the time after ConfirmedAt for which a missing route is taken as
	// removed or never added. It is shorter than the time within which a new
	// configuration must be in force.
	FreshFor time.Duration
	// EndedTokens holds tokens of servers that are not in Servers because they ended before
	// this instance knew them. Their flows are reset.
	EndedTokens map[Token]bool
	// Room is the load of the fleet; nil until it is known. See room.View.Usable.
	Room *room.View
	// IdleTimeout and Lifetime limit the idle time and the total duration of flows.
	IdleTimeout, Lifetime time.Duration
}

// RegistryView is how far a snapshot goes with the registry. Epoch increases each time the
// registry is restored from a copy, and revisions count within an epoch.
type RegistryView struct {
	Epoch, Revision uint64
	// RestoredAt is when this instance followed the last restore; 0 for never.
	RestoredAt model.Time
	// HeldZones is the number of zones that stay out of service because the restored
	// registry lacks their withdrawal and operators may still write it again.
	HeldZones int
	// UnusableEntries are entries whose values are invalid, sorted by key.
	UnusableEntries []UnusableEntry
}

// UnusableEntry is an entry of the registry whose value is invalid. Reason says why in a few
// words. Since is when this instance first saw it.
type UnusableEntry struct {
	Key, Reason string
	Revision    uint64
	Since       model.Time
}
