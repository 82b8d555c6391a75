// Package steering decides about flows whose packets carry a token of their
// backend server. Any instance can send any packet of an open flow to its
// server, so instances share no flow state: an instance decides where a new
// flow begins, and later packets name the server themselves. The idea is that
// of Cheetah (Barbette et al., "A High-Speed Load-Balancer Design with
// Guaranteed Per-Connection-Consistency", NSDI 2020).
package steering

import (
	"net/netip"
	"slices"
	"time"

	"github.com/savorytiller/savorytiller/internal/core/model"
)

// Endpoint is an IPv4 address and a port.
type Endpoint struct {
	Address uint32
	Port    uint16
}

// EndpointOf converts an address; ok is false unless it is IPv4.
func EndpointOf(a netip.AddrPort) (e Endpoint, ok bool) {
	addr := a.Addr().Unmap()
	if !addr.Is4() {
		return Endpoint{}, false
	}
	b := addr.As4()
	return Endpoint{uint32(b[0])<<24 | uint32(b[1])<<16 | uint32(b[2])<<8 | uint32(b[3]), a.Port()}, true
}

// AddrPort returns the endpoint in the form of the standard library.
func (e Endpoint) AddrPort() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{byte(e.Address >> 24), byte(e.Address >> 16),
		byte(e.Address >> 8), byte(e.Address)}), e.Port)
}

// FlowKey identifies a flow: the caller's endpoint and that of the route.
type FlowKey struct {
	Caller, Route Endpoint
}

// Flags are the control bits of a packet.
type Flags uint8

// Control bits.
const (
	SYN Flags = 1 << iota
	ACK
	FIN
	RST
)

// Packet holds what a decision needs of a caller's packet.
type Packet struct {
	Key   FlowKey
	Flags Flags
	// Token is 0 in the first packet of a flow.
	Token Token
	// Retransmission numbers the repetitions of a SYN; 0 is the first transmission.
	Retransmission uint32
	// Sequence and Acknowledged are byte positions in the flow.
	Sequence, Acknowledged uint32
	// Length is the number of data bytes.
	Length int
}

// IsSYN reports whether the packet is the first one of a flow.
func (p *Packet) IsSYN() bool { return p.Flags&(SYN|ACK) == SYN }

// Server is a backend server as the registry describes it.
type Server struct {
	ID model.ServerID
	// Number is how packets address the server, so that another server that got
	// its address ignores them.
	Number  uint64
	Address netip.AddrPort
	Service string
	Zone    model.Zone
	// Slots is the number of requests that the server runs at a time.
	Slots int
	State model.ServerState
	// Started distinguishes the runs of a server, in milliseconds since 1970 as
	// the server states it. It is only compared, never used as a time.
	Started int64
	// ColdUntil is the end of the server's cold start; 0 for a warm server.
	ColdUntil model.Time
	// ColdHome is set on the one instance that may open flows on the server while
	// it is cold.
	ColdHome bool
	// Terminated is set once it is certain that the server has ended. Its flows
	// are reset, so that callers learn it at once.
	Terminated bool
	// Unlisted is set if the registry has not listed the server for longer than its
	// entry may take to return, and nothing shows that the server has ended. It gets no
	// new flows; those that are open go on.
	Unlisted bool
	// ProbeResult is the result of the last probe, which was sent at ReachAt.
	ProbeResult ProbeResult
	ProbeSentAt model.Time
	// Probing is set while a probe runs because the server is suspected.
	Probing bool
	Token   Token
}

// ProbeResult is what a probe of a server shows.
type ProbeResult uint8

const (
	// ProbeUnknown means that there was no probe, or no clear result.
	ProbeUnknown ProbeResult = iota
	// Reachable means that the server answered.
	Reachable
	// Unreachable means that nothing answers at the server's address.
	Unreachable
	// Ended means that the run of the server is over: its port is closed, or
	// another server has its address.
	Ended
)

// Share is a service's part of a route's new flows.
type Share struct {
	Service string
	Weight  int
}

// Route leads the flows of one endpoint to services.
type Route struct {
	Name     string
	Endpoint Endpoint
	Shares   []Share
	// Idempotent is set if callers may repeat the requests of the route.
	Idempotent bool
}

// Service is the set of servers that may get new flows.
type Service struct {
	Name string
	// ColdPerSecond bounds the new flows of a cold server over all instances; 0
	// means that only the fixed allowance holds.
	ColdPerSecond float64
	Servers       []*Server
}

// fresh reports whether a route that the snapshot lacks does not exist.
func (s *Snapshot) fresh(now model.Time) bool { return now.Sub(s.ConfirmedAt) < s.FreshFor }

// AllServicesReachable reports whether every service that has servers has one that this
// instance can probably reach. While it has none, other instances serve the
// callers of the zone better.
func (s *Snapshot) AllServicesReachable() bool {
	for _, service := range s.Services {
		if len(service.Servers) > 0 && !slices.ContainsFunc(service.Servers, s.probablyReachable) {
			return false
		}
	}
	return true
}

func (s *Snapshot) probablyReachable(server *Server) bool {
	return server.ProbeResult != Unreachable && (server.Zone == s.Zone || !s.CutOff)
}

// Snapshot is the immutable state that the control goroutine publishes and the
// traffic goroutines read.
type Snapshot struct {
	// Sequence grows with each snapshot.
	Sequence uint64
	// Version is the version of the configuration; 0 if none is in force.
	Version  uint64
	Routes   map[Endpoint]*Route
	Services map[string]*Service
	// Servers holds listed servers and, for the lifetime of their flows, departed ones.
	Servers *TokenIndex
	Zone    model.Zone
	// InstancesInZone is the number of live instances in the zone, at least 1.
	InstancesInZone int
	// CutOff is set while no instance of another zone can be heard.
	CutOff bool
	// UnresponsiveSince is since when the instances of other zones do not answer.
	UnresponsiveSince map[model.Zone]model.Time
	// ConfirmedAt is when the registry was last known to hold nothing newer.
	ConfirmedAt model.Time
	// FreshFor is the age of the confirmation up to which a missing route counts as
	// removed or never added. It is below the time within which a configuration has
	// to be in force.
	FreshFor time.Duration
	// IdleTimeout and Lifetime bound the flows.
	IdleTimeout, Lifetime time.Duration
}

// String returns the name for logs.
func (p ProbeResult) String() string {
	return [...]string{"unknown", "reachable", "unreachable", "ended"}[p]
}
