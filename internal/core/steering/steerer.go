package steering

import (
	"math/rand/v2"
	"time"

	"github.com/savorytiller/savorytiller/internal/core/model"
)

// Verb says what to do with a packet.
type Verb uint8

const (
	// Drop ends the packet.
	Drop Verb = iota
	// Deliver sends the packet to Verdict.Server.
	Deliver
	// Reset answers the caller with a reset of the flow.
	Reset
)

// Verdict is the decision about one packet.
type Verdict struct {
	Verb   Verb
	Reason model.Reason
	// Server is the server of the flow; nil if none was found.
	Server *Server
	// Opened is set if the packet was placed as the first one of a flow.
	Opened bool
	// Route is the route of the flow, if the configuration has it.
	Route *Route
	// Handshake is the time from a SYN to the caller's next packet, and Answer that
	// from a request to the acknowledgement of its answer; 0 if the packet ends neither.
	Handshake, Answer time.Duration
	// Load is the server's requests in progress by way of this instance before
	// the flow was placed.
	Load int
}

// Steerer decides about the packets of one traffic goroutine and keeps what it
// observes. It has one owner.
type Steerer struct {
	// coldMargin is the number of new flows a second that a cold server bears
	// beside its rate.
	coldMargin float64
	snapshot   *Snapshot
	random     *rand.Rand
	flows      map[FlowKey]*flow
	targets    map[Token]*target
	loads      map[string]*serviceLoad
	pending    []pendingOpen
	// lastAt is when the last packet arrived.
	lastAt   model.Time
	suspects []*target
	sweepAt  model.Time
}

// NewSteerer returns a Steerer without flows. A cold server bears coldMargin new
// flows a second beside its rate.
func NewSteerer(random *rand.Rand, coldMargin float64) *Steerer {
	return &Steerer{coldMargin: coldMargin, random: random, flows: map[FlowKey]*flow{}, targets: map[Token]*target{},
		loads: map[string]*serviceLoad{}}
}

// Flows returns the number of records. Only the owner may call it.
func (s *Steerer) Flows() int { return len(s.flows) }

// Packet decides about a packet of a caller. It allocates nothing for a flow
// that has a record.
func (s *Steerer) Packet(snapshot *Snapshot, now model.Time, p *Packet) Verdict {
	if snapshot == nil || snapshot.Version == 0 {
		return Verdict{Reason: model.ReasonNoConfiguration}
	}
	s.use(snapshot, now)
	s.checkOpens(now)
	s.sweep(now)
	if p.Opens() {
		return s.first(p, now)
	}
	return s.later(p, now)
}

// use prepares for a snapshot.
func (s *Steerer) use(snapshot *Snapshot, now model.Time) {
	if s.snapshot == snapshot {
		return
	}
	s.snapshot = snapshot
	for token, t := range s.targets {
		if server := snapshot.Servers.Find(token); server != nil {
			t.renew(server)
			if since := snapshot.Silent[server.Zone]; since != 0 && t.flows > 0 && server.ReachAt.Before(since) && t.answeredAt.Before(since) {
				// Its next flow or request would find out by its own silence only.
				s.confirm(t, now)
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
		if t.report {
			t.report = false
			return t.server
		}
	}
	return nil
}

// unanswered notes that something sent to a target at the given time got no
// answer.
func (s *Steerer) unanswered(t *target, now, sentAt model.Time) {
	if t.unanswered(now, sentAt) {
		s.report(t)
	}
}

// report asks for a probe of a target unless that is asked for already.
func (s *Steerer) report(t *target) {
	if !t.report {
		t.report = true
		s.suspects = append(s.suspects, t)
	}
}

// confirm asks for a probe of a server of which nothing shows whether it lives.
func (s *Steerer) confirm(t *target, now model.Time) {
	if now.Before(t.confirmAt) || t.report {
		return
	}
	t.confirmAt = now.Add(confirmEvery)
	s.report(t)
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

// first decides about the first packet of a flow or a repetition of it.
func (s *Steerer) first(p *Packet, now model.Time) Verdict {
	route := s.snapshot.Routes[p.Key.Route]
	if route == nil {
		return s.noRoute(now)
	}
	f := s.flows[p.Key]
	if f != nil && f.first != p.Sequence {
		s.forget(p.Key, f)
		f = nil
	}
	if f != nil && (f.stage != opening || now.Sub(f.sentAt) < answerTime) {
		// A second server would answer too, and the caller could mix the two up.
		return Verdict{Verb: Deliver, Reason: model.ReasonKnownFlow, Server: f.target.server}
	}
	service := s.snapshot.Services[serviceOf(route, p.Key)]
	if service == nil {
		return Verdict{Reason: model.ReasonUnknownService}
	}
	var avoid *target
	reason := model.ReasonLeastLoad
	if f != nil {
		avoid, reason = f.target, model.ReasonAlternative
		s.unanswered(f.target, now, f.sentAt)
		s.uncount(f)
	}
	t := s.place(service, avoid, now)
	if t == nil {
		return Verdict{Reason: model.ReasonNoCapacity}
	}
	load := t.busy
	s.open(p, f, t, now)
	return Verdict{Verb: Deliver, Reason: reason, Server: t.server, Opened: true, Route: route, Load: load}
}

// open records a flow that begins at a server.
func (s *Steerer) open(p *Packet, f *flow, t *target, now model.Time) {
	if f == nil {
		if len(s.flows) >= maxFlows {
			return
		}
		f = &flow{openedAt: now, first: p.Sequence}
		s.flows[p.Key] = f
	}
	f.target, f.seenAt, f.sentAt = t, now, now
	s.count(f)
	s.setBusy(f, true)
	s.pending = append(s.pending, pendingOpen{p.Key, p.Sequence, now})
}

// noRoute decides about a flow to an endpoint without a route. While the view of
// the registry is old, the route may have been added meanwhile.
func (s *Steerer) noRoute(now model.Time) Verdict {
	if s.snapshot.fresh(now) {
		return Verdict{Verb: Reset, Reason: model.ReasonUnknownService}
	}
	return Verdict{Reason: model.ReasonUnknownService}
}

// later decides about a packet of an open flow.
func (s *Steerer) later(p *Packet, now model.Time) Verdict {
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
		return s.end(p, f, t, model.ReasonRouteRemoved)
	}
	if t.server.Departed && p.Flags&RST == 0 {
		return s.end(p, f, t, model.ReasonServerRemoved)
	}
	if t.unreachable() && route != nil && route.Idempotent && s.alternative(t) {
		return s.end(p, f, t, model.ReasonServerFailed)
	}
	if t.server.Unlisted && t.server.Reach == ReachUnknown {
		s.confirm(t, now)
	}
	if f != nil && f.target != t {
		// The caller's token is that of the server that answered it.
		s.uncount(f)
		f.target = t
		s.count(f)
	}
	if f == nil && p.Flags&(FIN|RST) == 0 {
		f = s.record(p, t, now)
	}
	v := Verdict{Verb: Deliver, Reason: model.ReasonKnownFlow, Server: t.server, Route: route}
	if f != nil {
		s.follow(f, p, now, &v)
	}
	return v
}

// alternative reports whether another server of the service may be reachable.
// If none is, this instance is probably cut off itself.
func (s *Steerer) alternative(t *target) bool {
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

// end resets a flow that has no server any more.
func (s *Steerer) end(p *Packet, f *flow, t *target, reason model.Reason) Verdict {
	if f != nil {
		s.forget(p.Key, f)
	}
	return Verdict{Verb: Reset, Reason: reason, Server: t.server}
}
