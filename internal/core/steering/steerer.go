package steering

import (
	"math/rand/v2"
	"time"

	"github.com/savorytiller/savorytiller/internal/core/model"
)

// Action says what to do with a packet.
type Action uint8

const (
	// Drop ends the packet.
	Drop Action = iota
	// Deliver sends the packet to Verdict.Server.
	Deliver
	// Reset answers the caller with a reset of the flow.
	Reset
)

// Verdict is the decision about one packet.
type Verdict struct {
	Action Action
	Reason model.Reason
	// Server is the server of the flow; nil if none was found.
	Server *Server
	// NewFlow is set if the packet was placed as the first one of a flow.
	NewFlow bool
	// Route is the route of the flow, if the configuration has it.
	Route *Route
	// HandshakeTime is the time from a SYN to the caller's next packet, and ResponseTime that
	// from a request to the acknowledgement of its answer; 0 if the packet ends neither.
	HandshakeTime, ResponseTime time.Duration
	// Load is the server's requests in progress by way of this instance before
	// the flow was placed.
	Load int
}

// Steerer decides about the packets of one traffic goroutine and keeps what it
// observes. It has one owner.
type Steerer struct {
	// coldMargin is the number of new flows a second that a cold server bears
	// beside its rate.
	coldMargin  float64
	snapshot    *Snapshot
	random      *rand.Rand
	flows       map[FlowKey]*flow
	targets     map[Token]*target
	loads       map[string]*serviceLoad
	pendingSYNs []pendingSYN
	// lastPacketAt is when the last packet arrived.
	lastPacketAt model.Time
	suspects     []*target
	nextSweepAt  model.Time
}

// NewSteerer returns a Steerer without flows. A cold server bears coldMargin new
// flows a second beside its rate.
func NewSteerer(random *rand.Rand, coldMargin float64) *Steerer {
	return &Steerer{coldMargin: coldMargin, random: random, flows: map[FlowKey]*flow{}, targets: map[Token]*target{},
		loads: map[string]*serviceLoad{}}
}

// Flows returns the number of records. Only the owner may call it.
func (s *Steerer) Flows() int { return len(s.flows) }

// Decide decides about a packet of a caller. It allocates nothing for a flow
// that has a record.
func (s *Steerer) Decide(snapshot *Snapshot, now model.Time, p *Packet) Verdict {
	if snapshot == nil || snapshot.Version == 0 {
		return Verdict{Reason: model.ReasonNoConfiguration}
	}
	s.setSnapshot(snapshot, now)
	s.expirePendingSYNs(now)
	s.sweep(now)
	if p.IsSYN() {
		return s.decideSYN(p, now)
	}
	return s.decideOpenFlow(p, now)
}

// setSnapshot prepares for a snapshot.
func (s *Steerer) setSnapshot(snapshot *Snapshot, now model.Time) {
	if s.snapshot == snapshot {
		return
	}
	s.snapshot = snapshot
	for token, t := range s.targets {
		if server := snapshot.Servers.Find(token); server != nil {
			t.update(server)
			if since := snapshot.UnresponsiveSince[server.Zone]; since != 0 && t.flows > 0 && server.ProbeSentAt.Before(since) && t.lastResponseAt.Before(since) {
				// Its next flow or request would find out by its own silence only.
				s.requestProbeThrottled(t, now)
			}
		} else if t.flows == 0 {
			delete(s.targets, token)
		}
	}
}

// TakeSuspect returns a server that should be probed, or nil.
func (s *Steerer) TakeSuspect() *Server {
	for len(s.suspects) > 0 {
		t := s.suspects[len(s.suspects)-1]
		s.suspects = s.suspects[:len(s.suspects)-1]
		if t.probeRequested {
			t.probeRequested = false
			return t.server
		}
	}
	return nil
}

// recordTimeout notes that something sent to a target at the given time got no
// answer.
func (s *Steerer) recordTimeout(t *target, now, sentAt model.Time) {
	if t.recordTimeout(now, sentAt) {
		s.requestProbe(t)
	}
}

// requestProbe asks for a probe of a target unless that is asked for already.
func (s *Steerer) requestProbe(t *target) {
	if !t.probeRequested {
		t.probeRequested = true
		s.suspects = append(s.suspects, t)
	}
}

// requestProbeThrottled asks for a probe of a server of which nothing shows whether it lives.
func (s *Steerer) requestProbeThrottled(t *target, now model.Time) {
	if now.Before(t.nextProbeRequestAt) || t.probeRequested {
		return
	}
	t.nextProbeRequestAt = now.Add(probeRequestInterval)
	s.requestProbe(t)
}

// targetOf returns what is known of a server of the snapshot.
func (s *Steerer) targetOf(server *Server) *target {
	t := s.targets[server.Token]
	if t == nil {
		t = &target{server: server}
		s.targets[server.Token] = t
	}
	return t
}

// decideSYN decides about the decideSYN packet of a flow or a repetition of it.
func (s *Steerer) decideSYN(p *Packet, now model.Time) Verdict {
	route := s.snapshot.Routes[p.Key.Route]
	if route == nil {
		return s.decideWithoutRoute(now)
	}
	f := s.flows[p.Key]
	if f != nil && f.synSequence != p.Sequence {
		s.removeRecord(p.Key, f)
		f = nil
	}
	if f != nil && (f.stage != opening || now.Sub(f.sentAt) < responseTimeout) {
		// A second server would answer too, and the caller could mix the two up.
		return Verdict{Action: Deliver, Reason: model.ReasonKnownFlow, Server: f.target.server}
	}
	service := s.snapshot.Services[selectService(route, p.Key)]
	if service == nil {
		return Verdict{Reason: model.ReasonUnknownService}
	}
	var avoid *target
	reason := model.ReasonLeastLoad
	if f != nil {
		avoid, reason = f.target, model.ReasonAlternative
		s.recordTimeout(f.target, now, f.sentAt)
		s.removeLoad(f)
	}
	t := s.selectServer(service, avoid, now)
	if t == nil {
		return Verdict{Reason: model.ReasonNoCapacity}
	}
	load := t.busy
	s.addFlow(p, f, t, now)
	return Verdict{Action: Deliver, Reason: reason, Server: t.server, NewFlow: true, Route: route, Load: load}
}

// addFlow records a flow that begins at a server.
func (s *Steerer) addFlow(p *Packet, f *flow, t *target, now model.Time) {
	if f == nil {
		if len(s.flows) >= maxRecords {
			return
		}
		f = &flow{openedAt: now, synSequence: p.Sequence}
		s.flows[p.Key] = f
	}
	f.target, f.lastPacketAt, f.sentAt = t, now, now
	s.addLoad(f)
	s.setBusy(f, true)
	s.pendingSYNs = append(s.pendingSYNs, pendingSYN{p.Key, p.Sequence, now})
}

// decideWithoutRoute decides about a flow to an endpoint without a route. While the view of
// the registry is old, the route may have been added meanwhile.
func (s *Steerer) decideWithoutRoute(now model.Time) Verdict {
	if s.snapshot.fresh(now) {
		return Verdict{Action: Reset, Reason: model.ReasonUnknownService}
	}
	return Verdict{Reason: model.ReasonUnknownService}
}

// decideOpenFlow decides about a packet of an open flow.
func (s *Steerer) decideOpenFlow(p *Packet, now model.Time) Verdict {
	f := s.flows[p.Key]
	t := s.targets[p.Token]
	if t == nil {
		if server := s.snapshot.Servers.Find(p.Token); server != nil {
			t = s.targetOf(server)
		}
	}
	if t == nil {
		return Verdict{Reason: model.ReasonUnknownToken}
	}
	route := s.snapshot.Routes[p.Key.Route]
	if route == nil && s.snapshot.fresh(now) {
		return s.resetFlow(p, f, t, model.ReasonRouteRemoved)
	}
	if t.server.Terminated && p.Flags&RST == 0 {
		return s.resetFlow(p, f, t, model.ReasonServerRemoved)
	}
	if t.unreachable() && route != nil && route.Idempotent && s.hasAlternative(t) {
		return s.resetFlow(p, f, t, model.ReasonServerFailed)
	}
	if t.server.Unlisted && t.server.ProbeResult == ProbeUnknown {
		s.requestProbeThrottled(t, now)
	}
	if f != nil && f.target != t {
		// The caller's token is that of the server that answered it.
		s.removeLoad(f)
		f.target = t
		s.addLoad(f)
	}
	if f == nil && p.Flags&(FIN|RST) == 0 {
		f = s.ensureRecord(p, t, now)
	}
	v := Verdict{Action: Deliver, Reason: model.ReasonKnownFlow, Server: t.server, Route: route}
	if f != nil {
		s.updateRecord(f, p, now, &v)
	}
	return v
}

// hasAlternative reports whether another server of the service may be reachable.
// If none is, this instance is probably cut off itself.
func (s *Steerer) hasAlternative(t *target) bool {
	service := s.snapshot.Services[t.server.Service]
	if service == nil {
		return false
	}
	for _, server := range service.Servers {
		if other := s.targetOf(server); other != t && !other.unreachable() {
			return true
		}
	}
	return false
}

// resetFlow resets a flow that has no server any more.
func (s *Steerer) resetFlow(p *Packet, f *flow, t *target, reason model.Reason) Verdict {
	if f != nil {
		s.removeRecord(p.Key, f)
	}
	return Verdict{Action: Reset, Reason: reason, Server: t.server}
}
