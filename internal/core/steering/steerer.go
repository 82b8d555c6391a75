package steering

import (
	"math/rand/v2"
	"time"

	"github.com/savorytiller/savorytiller/internal/core/admission"
	"github.com/savorytiller/savorytiller/internal/core/belief"
	"github.com/savorytiller/savorytiller/internal/core/model"
)

// Action is what to do with a packet.
type Action uint8

const (
	// Drop discards the packet.
	Drop Action = iota
	// Deliver sends the packet to Decision.Server.
	Deliver
	// Reset sends the caller a reset of the flow.
	Reset
)

// Decision states what to do with one packet, and why.
type Decision struct {
	Action Action
	Reason model.Reason
	// Server is the server of the flow; nil if none was found.
	Server *Server
	// NewFlow is set if a server was selected for a new flow, or again for a
	// retransmitted SYN.
	NewFlow bool
	// Route is the route of the flow, if the configuration has it.
	Route *Route
	// HandshakeTime is the time from a SYN to the caller's next packet. ResponseTime is
	// the time from a request to the acknowledgement of its response. Each is 0 if
	// the packet does not complete it.
	HandshakeTime, ResponseTime time.Duration
	// AnswerFailed is set with ResponseTime if the answer is so short that the server probably
	// rejected or failed the request.
	AnswerFailed bool
	// Admission is the verdict of admission control about a new flow; ReasonNone if the service is
	// not short of capacity.
	Admission model.Reason
	// Load is the number of the server's requests in progress through this instance
	// before the new flow was added.
	Load int
	// Placement is what is known of the server of a new flow; nil if it was selected without a
	// usable view of the fleet's load.
	Placement *Placement
}

// Steerer decides where the packets of one traffic goroutine go. It owns the flow
// records and the observed load and health of servers. It is not safe for concurrent
// use.
type Steerer struct {
	// coldMargin is the number of new flows per second that a cold server can take in
	// addition to its service's ColdPerSecond.
	coldMargin float64
	snapshot   *Snapshot
	random     *rand.Rand
	// ahead is what random draws from after a preview; nil if no numbers were drawn ahead.
	ahead       *numbersAhead
	flows       map[FlowKey]*flow
	targets     map[Token]*target
	loads       map[string]*serviceLoad
	pendingSYNs []pendingSYN // in ascending order of sentAt
	// lastPacketAt is when the previous packet of any flow arrived. A long gap shows that
	// the process may have been paused.
	lastPacketAt model.Time
	suspects     []*target // targets for which a probe is requested
	nextSweepAt  model.Time
	lost         lostFlows
	// routes holds what is usual for the requests of each route, and paths the time on the network
	// to the servers of each zone and back.
	routes map[routeOfService]*routeMeasure
	paths  map[model.Zone]*pathTime
	// viewNumber counts the views of the fleet's load that were seen.
	viewNumber uint64
	// candidates, answers and failing are buffers of selectByCompletion.
	candidates []candidate
	answers    []belief.Answers
	failing    belief.FailingServers
	load       loadTally
	admitter   admitter
	hedging    *hedging
	// preview is nil except in the copy that a preview makes.
	preview *preview
}

// NewSteerer returns a Steerer without flows. coldMargin is the number of new flows per
// second that a cold server can take in addition to its service's ColdPerSecond.
func NewSteerer(random *rand.Rand, coldMargin float64) *Steerer {
	return &Steerer{coldMargin: coldMargin, random: random, flows: map[FlowKey]*flow{}, targets: map[Token]*target{},
		loads: map[string]*serviceLoad{}, lost: newLostFlows(), routes: map[routeOfService]*routeMeasure{}, paths: map[model.Zone]*pathTime{}, load: newLoadTally(),
		admitter: newAdmitter(admission.Settings{})}
}

// Flows returns the number of flow records.
func (s *Steerer) Flows() int { return len(s.flows) }

// Decide returns the decision about a packet of a caller. It drops the packet if snapshot
// is nil or has no configuration. It does not allocate for flows that have a record.
func (s *Steerer) Decide(snapshot *Snapshot, now model.Time, p *Packet) Decision {
	if snapshot == nil || snapshot.Version == 0 {
		return Decision{Reason: model.ReasonNoConfiguration}
	}
	s.load.now = now
	s.load.expireRequests()
	s.setSnapshot(snapshot, now)
	s.expirePendingSYNs(now)
	s.sweep(now)
	if p.IsSYN() {
		return s.decideSYN(p, now)
	}
	return s.decideOpenFlow(p, now)
}

// setSnapshot updates the targets if the snapshot is new, and requests probes of those
// with open flows in unresponsive zones.
func (s *Steerer) setSnapshot(snapshot *Snapshot, now model.Time) {
	if s.snapshot == snapshot {
		return
	}
	if s.snapshot == nil || s.snapshot.Room != snapshot.Room {
		s.viewNumber++
	}
	s.snapshot = snapshot
	var lost, restarted []*target
	for token, t := range s.targets {
		if server := snapshot.Servers.Find(token); server != nil {
			if server.Started != t.server.Started {
				restarted = append(restarted, t)
				continue
			}
			t.update(server)
			if l := s.loss(t, now); t.flows > 0 && l != (loss{}) && l != t.resetFor {
				lost = append(lost, t)
			}
			if since := snapshot.UnresponsiveSince[server.Zone]; since != 0 && t.flows > 0 && server.ProbeSentAt.Before(since) && t.RespondedAt.Before(since) {
				// Without a probe, each flow would notice an outage only by its own timeout.
				s.requestProbeThrottled(t, now)
			}
		} else if t.flows == 0 {
			s.load.forget(t)
			delete(s.targets, token)
		}
	}
	if len(restarted) > 0 {
		s.replaceRestarted(restarted)
	}
	if len(lost) > 0 {
		s.queueResets(lost, now)
	}
}

// replaceRestarted replaces the targets of servers that have started again. Their flow records stay
// without load, because each flow may be one of the former run, which are lost, or one that opened
// at the later run before this instance knew of it. Only the server can tell: it resets those that
// it does not hold.
func (s *Steerer) replaceRestarted(restarted []*target) {
	for _, t := range restarted {
		t.replaced = true
		delete(s.targets, t.server.Token)
	}
	for _, f := range s.flows {
		if f.target.replaced {
			s.removeLoad(f)
		}
	}
	for _, f := range s.hedgedCopies() {
		if f.target.replaced {
			s.removeLoad(f)
		}
	}
	for _, t := range restarted {
		s.load.forget(t)
	}
}

// TakeSuspect removes a server from the queue of servers to probe and returns it with the time
// as of which it did not respond. The server is nil if the queue is empty.
func (s *Steerer) TakeSuspect() (server *Server, at model.Time) {
	for len(s.suspects) > 0 {
		t := s.suspects[len(s.suspects)-1]
		s.suspects = s.suspects[:len(s.suspects)-1]
		if at := t.probeRequestedAt; at != 0 {
			t.probeRequestedAt = 0
			return t.server, at
		}
	}
	return nil, 0
}

// recordTimeout records that a packet sent to a target at sentAt got no response in
// time, and requests a probe of the target. Unreachable targets are probed periodically.
func (s *Steerer) recordTimeout(t *target, now, sentAt model.Time) {
	if t.SeeTimeout(now, sentAt) && !t.unreachable() {
		s.requestProbe(t, now)
	}
}

// requestProbe requests a probe of a target unless it is queued for one already.
func (s *Steerer) requestProbe(t *target, now model.Time) {
	if t.probeRequestedAt == 0 {
		t.probeRequestedAt = now
		s.suspects = append(s.suspects, t)
	}
}

// requestProbeThrottled requests a probe of a target that may be down, at most once in
// probeRequestInterval.
func (s *Steerer) requestProbeThrottled(t *target, now model.Time) {
	if now.Before(t.nextProbeRequestAt) || t.probeRequestedAt != 0 {
		return
	}
	t.nextProbeRequestAt = now.Add(probeRequestInterval)
	s.requestProbe(t, now)
}

// targetOf returns the target of a server of the snapshot and creates it if necessary.
func (s *Steerer) targetOf(server *Server) *target {
	t := s.targets[server.Token]
	if t == nil {
		if t = s.copyOf(server.Token); t == nil {
			t = &target{server: server, path: s.pathTo(server.Zone)}
		}
		s.targets[server.Token] = t
	}
	return t
}

// decideSYN returns the decision about a SYN or a retransmission of it.
func (s *Steerer) decideSYN(p *Packet, now model.Time) Decision {
	route := s.snapshot.Routes[p.Key.Route]
	if route == nil {
		return s.decideWithoutRoute(now)
	}
	f := s.flows[p.Key]
	if f != nil && (f.synSequence != p.Sequence || f.resetQueued) {
		s.removeRecord(p.Key, f)
		f = nil
	}
	if f != nil && (f.stage != opening || now.Sub(f.sentAt) < ResponseTimeout) {
		// The first server may have answered or still answer. If a second one answered
		// as well, the caller could confuse the two.
		return Decision{Action: Deliver, Reason: model.ReasonKnownFlow, Server: f.target.server}
	}
	if t := s.copyTarget(p.Key, now); t != nil {
		return Decision{Action: Deliver, Reason: model.ReasonKnownFlow, Server: t.server}
	}
	service := s.snapshot.Services[selectService(route, p.Key)]
	if service == nil {
		return Decision{Reason: model.ReasonUnknownService}
	}
	var avoid *target
	reason := model.ReasonLeastLoad
	if f != nil {
		avoid, reason = f.target, model.ReasonAlternative
		s.recordTimeout(f.target, now, f.sentAt)
		s.removeLoad(f)
	}
	verdict, dropped := s.admit(service, route, p, f, now)
	if dropped != nil {
		return *dropped
	}
	t, placement := s.selectServer(request{service, p.Key.Route, verdict.Zone, avoid}, now)
	if t == nil {
		return s.decideWithoutServer(service, p, f == nil, now)
	}
	load := t.busy
	s.addFlow(p, f, t, now)
	return Decision{Action: Deliver, Reason: reason, Server: t.server, NewFlow: true, Route: route, Admission: verdict.Reason, Load: load, Placement: placement}
}

// addFlow records a new flow to a server. f is the flow's record if the SYN was
// retransmitted, or nil.
func (s *Steerer) addFlow(p *Packet, f *flow, t *target, now model.Time) {
	if f == nil {
		if s.full() {
			return
		}
		f = &flow{target: t, openedAt: now, synSequence: p.Sequence, priority: s.priorityOf(p.Key.Route)}
		s.flows[p.Key] = f
		s.load.arrived(f)
		s.seeFlow(f, p.Key.Route)
	}
	f.target, f.lastPacketAt, f.sentAt = t, now, now
	s.addLoad(f)
	s.setBusy(f, true)
	s.pendingSYNs = append(s.pendingSYNs, pendingSYN{p.Key, p.Sequence, now})
}

// decideWithoutRoute returns the decision about a new flow to an endpoint without a route.
// If the snapshot is stale, the route may have been added since, so the SYN is
// dropped rather than reset.
func (s *Steerer) decideWithoutRoute(now model.Time) Decision {
	if s.snapshot.fresh(now) {
		return Decision{Action: Reset, Reason: model.ReasonUnknownService}
	}
	return Decision{Reason: model.ReasonUnknownService}
}

// decideWithoutServer returns the decision about a SYN for which no server was selected. If the
// service has no server that accepts flows, the caller is told at once. If it has some, the
// next retransmission may find one with capacity. A retransmission is not refused, because
// a server may have answered an earlier copy.
func (s *Steerer) decideWithoutServer(service *Service, p *Packet, first bool, now model.Time) Decision {
	if len(service.Servers) == 0 && first && p.Retransmissions == 0 && s.snapshot.Settled && s.snapshot.fresh(now) {
		return Decision{Action: Reset, Reason: model.ReasonNoCapacity}
	}
	return Decision{Reason: model.ReasonNoCapacity}
}

// decideOpenFlow returns the decision about a packet that is not a SYN.
func (s *Steerer) decideOpenFlow(p *Packet, now model.Time) Decision {
	f := s.flows[p.Key]
	if f != nil && f.resetQueued {
		// This packet decides about the flow.
		s.removeRecord(p.Key, f)
		f = nil
	}
	t := s.targets[p.Token]
	if t == nil {
		if server := s.snapshot.Servers.Find(p.Token); server != nil {
			t = s.targetOf(server)
		}
	}
	if t == nil {
		return s.decideUnknownToken(p, f, now)
	}
	route := s.snapshot.Routes[p.Key.Route]
	if reason, reset := s.resetReason(p, t, route, now); reset {
		return s.resetFlow(p, f, t, reason)
	}
	if f != nil && f.target != t && f.target.replaced && !f.showsAnswer(p) {
		return s.forwardUnconfirmed(p, f, t, route, now)
	}
	s.seeOpened(p.Key, f, t, now)
	if f != nil && f.target != t {
		// The token is authoritative: it names the server that answered the caller.
		s.removeLoad(f)
		f.target = t
		s.addLoad(f)
	}
	if f == nil && p.Flags&(FIN|RST) == 0 {
		f = s.ensureRecord(p, t, now)
	}
	decision := Decision{Action: Deliver, Reason: model.ReasonKnownFlow, Server: t.server, Route: route}
	if f != nil {
		s.updateRecord(f, p, now, &decision)
	}
	return decision
}

// forwardUnconfirmed returns the decision about a packet of a flow of which nothing shows yet that its
// server, which has started again, holds it.
func (s *Steerer) forwardUnconfirmed(p *Packet, f *flow, t *target, route *Route, now model.Time) Decision {
	f.lastPacketAt = now
	if p.Flags&(FIN|RST) != 0 {
		f.stage = closed
	}
	return Decision{Action: Deliver, Reason: model.ReasonKnownFlow, Server: t.server, Route: route}
}

// resetReason reports whether an open flow has to be reset, and why: its route was removed, its
// server has ended, or a recent probe did not reach the server and either the callers can
// repeat their requests elsewhere or the server's entry is gone too. If only an old probe
// or none shows that, it requests a new one.
func (s *Steerer) resetReason(p *Packet, t *target, route *Route, now model.Time) (reason model.Reason, reset bool) {
	if route == nil && s.snapshot.RemovedRoutes[p.Key.Route] != 0 {
		// A route that this instance never knew may be newer than its view, however fresh that
		// is: another instance opened the flow.
		return model.ReasonRouteRemoved, true
	}
	if p.Flags&RST == 0 && s.hasEnded(t, now) {
		return model.ReasonServerRemoved, true
	}
	departed := s.departed(t, now)
	if t.unreachable() && (departed || route != nil && route.Idempotent && s.hasAlternative(t)) {
		if t.server.RecentlyUnreachable(now, &t.Traffic) {
			return model.ReasonServerFailed, true
		}
		s.requestProbeThrottled(t, now)
	}
	if departed && t.server.ProbeResult == belief.ProbeUnknown {
		s.requestProbeThrottled(t, now)
	}
	return 0, false
}

// hasAlternative reports whether another server of the service may be reachable.
// If none is, this instance is probably disconnected itself, and a new flow
// would fail as well.
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

// resetFlow removes the record of a flow that cannot continue and returns the decision to
// reset it.
func (s *Steerer) resetFlow(p *Packet, f *flow, t *target, reason model.Reason) Decision {
	if f != nil {
		s.removeRecord(p.Key, f)
	}
	return Decision{Action: Reset, Reason: reason, Server: t.server}
}
