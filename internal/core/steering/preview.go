package steering

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"

	"github.com/savorytiller/savorytiller/internal/core/admission"
	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/core/room"
)

// maxPreviewCandidates is the number of candidates that a Preview lists.
const maxPreviewCandidates = 10

// Preview is the decision that a SYN would get, and what it is based on.
type Preview struct {
	Decision Decision
	// Snapshot is the one that was used, At the time of the decision.
	Snapshot *Snapshot
	At       model.Time
	// Route is the route of the SYN and Service the one that its weights select; nil if there is
	// none.
	Route   *Route
	Service *Service
	// Candidates are the choice and the best of the servers that were considered, in the order of
	// preference. While the own zone has no free slot, the choice can be the first of class "far".
	// Considered is the number of all; a server of a large service, of which a sample is
	// considered, may count more than once.
	Candidates []Candidate
	Considered int
	// Verdict is that of admission control; nil if it was not asked, for example because the terms
	// of the service's routes don't call for it.
	Verdict *admission.Verdict
}

// Candidate is a server that was considered for a new flow.
type Candidate struct {
	Server *Server
	// Class is how the server is preferred. Score is the load of the server per slot or, with
	// Placement, the expected completion relative to the usual response time, squared in the
	// preferred zone; the server is then drawn with a probability proportional to 1/Score.
	Class string
	Score float64
	// Flows and Busy count the open flows through this instance and, of these, the ones with a
	// request in progress.
	Flows, Busy int
	// RespondedAt is when this instance last saw a response, and Timeouts the number of timeouts
	// since.
	RespondedAt model.Time
	Timeouts    int
	// Placement is what is known from the load of the fleet, or nil without a usable view.
	// MeasuredAt is when its answers were last observed or received.
	Placement   *Placement
	MeasuredAt  model.Time
	Restriction Restriction
	class       int
	order       float64
}

// preview is the part of a Steerer that exists only in a copy made for a preview. The decision
// changes the copy, so what it may change is copied before.
type preview struct {
	// origin is the Steerer that was copied, and targets and flows are the copies of its targets and
	// records.
	origin  *Steerer
	targets map[*target]*target
	flows   map[*flow]*flow
	// records is the number of flow records of origin that were not copied.
	records int
	// best are the best candidates so far, firsts the best ones of each class, and considered is the
	// number of all.
	best       []Candidate
	firsts     [classExcluded]Candidate
	considered int
	verdict    *admission.Verdict
}

// Preview returns the decision that Decide would return about a SYN, and what it is based on. It
// does not change the Steerer: all later decisions are the same as without it.
func (s *Steerer) Preview(snapshot *Snapshot, now model.Time, p *Packet) *Preview {
	out := &Preview{Snapshot: snapshot, At: now}
	if snapshot == nil || snapshot.Version == 0 {
		out.Decision = s.Decide(snapshot, now, p) // changes nothing without a configuration
		return out
	}
	if out.Route = snapshot.Routes[p.Key.Route]; out.Route != nil {
		out.Service = snapshot.Services[selectService(out.Route, p.Key)]
	}
	s.startPreview()
	defer s.endPreview()
	c := s.copyFor(snapshot, now, p)
	out.Decision = c.Decide(snapshot, now, p)
	out.Candidates, out.Considered = c.preview.list(out.Decision.Server), c.preview.considered
	out.Verdict = c.preview.verdict
	return out
}

// copyFor returns a copy for a decision about a SYN. Of the flow records it has those that the
// decision may read or that are due to change before it; targets are copied when they are used.
func (s *Steerer) copyFor(snapshot *Snapshot, now model.Time, p *Packet) *Steerer {
	c := *s
	c.preview = &preview{origin: s, targets: map[*target]*target{}, flows: map[*flow]*flow{}}
	c.targets, c.flows = map[Token]*target{}, map[FlowKey]*flow{}
	c.loads = make(map[string]*serviceLoad, len(s.loads))
	for name, load := range s.loads {
		copied := *load
		c.loads[name] = &copied
	}
	c.pendingSYNs, c.suspects = slices.Clip(s.pendingSYNs), nil
	c.lost, c.paths = newLostFlows(), maps.Clone(s.paths) // a SYN changes no path
	c.routes = make(map[routeOfService]*routeMeasure, len(s.routes))
	for key, r := range s.routes {
		copied := *r
		c.routes[key] = &copied
	}
	c.load = s.load.copy()
	c.admitter = s.admitter.copy(p.Key)
	newSnapshot := s.snapshot != snapshot
	if newSnapshot {
		for token, t := range s.targets {
			c.targets[token] = c.targetCopy(t)
		}
	}
	c.copyFlow(p.Key)
	for _, w := range s.load.waiting {
		if now.Sub(w.countedAt) < stalledAfter {
			break
		}
		c.load.waiting = append(c.load.waiting, waitingRequest{c.copyRecord(w.flow), w.countedAt})
	}
	for _, pending := range s.pendingSYNs {
		if now.Sub(pending.sentAt) < ResponseTimeout {
			break
		}
		c.copyFlow(pending.key)
	}
	if sweeps := !now.Before(s.nextSweepAt); sweeps || newSnapshot {
		copies := s.hedgedCopies()
		for key, f := range s.flows {
			if sweeps && (snapshot.expired(f, now) || f.waitsInVain(now)) || newSnapshot && (snapshot.mayLose(f, now) || snapshot.mayLose(copies[key], now)) {
				c.copyFlow(key)
			}
		}
	}
	c.preview.records = len(s.flows) - len(c.flows)
	c.copyHedges()
	return &c
}

// mayLose reports whether the snapshot may show that the server of a flow cannot continue it, or has
// started again. The flow may be nil.
func (s *Snapshot) mayLose(f *flow, now model.Time) bool {
	if f == nil {
		return false
	}
	server := s.Servers.Find(f.target.server.Token)
	return server != nil && (server.ProbeFailed() || server.HasEnded(now, &s.Availability) || server.Started != f.target.server.Started)
}

// copyFlow copies the record of a flow, if there is one.
func (s *Steerer) copyFlow(key FlowKey) {
	if f := s.preview.origin.flows[key]; f != nil {
		s.flows[key] = s.copyRecord(f)
	}
}

// copyRecord returns the copy of a record of the original Steerer, with its target.
func (s *Steerer) copyRecord(f *flow) *flow {
	if c := s.preview.flows[f]; c != nil {
		return c
	}
	c := *f
	c.target = s.targetCopy(f.target)
	s.preview.flows[f] = &c
	return &c
}

// copyHedges copies the SYNs at second servers of the flows whose records were copied. Decide reads
// and changes nothing else of hedged openings.
func (s *Steerer) copyHedges() {
	if s.hedging == nil {
		return
	}
	copies := map[FlowKey]*flow{}
	for key := range s.flows {
		if f := s.hedging.copies[key]; f != nil {
			copies[key] = s.copyRecord(f)
		}
	}
	s.hedging = &hedging{limit: s.hedging.limit, services: map[string]*serviceHedging{}, copies: copies}
}

// targetCopy returns the copy of a target of the original Steerer.
func (s *Steerer) targetCopy(t *target) *target {
	if c := s.preview.targets[t]; c != nil {
		return c
	}
	c := *t
	c.load.classes = slices.Clone(t.load.classes)
	for i, class := range c.load.classes {
		c.load.classes[i] = s.load.class(class.class)
	}
	s.preview.targets[t] = &c
	return &c
}

// copyOf returns the copy of the target with a token, or nil if the original Steerer has none or its
// server has started again.
func (s *Steerer) copyOf(token Token) *target {
	if s.preview == nil {
		return nil
	}
	t := s.preview.origin.targets[token]
	if t == nil {
		return nil
	}
	if t = s.targetCopy(t); t.replaced {
		return nil
	}
	return t
}

// copy returns a copy of the tally, without the targets.
func (l *loadTally) copy() loadTally {
	c := *l
	c.active, c.waiting = nil, nil
	c.classes = make(map[room.Class]*classLoad, len(l.classes))
	for class, load := range l.classes {
		copied := *load
		c.classes[class] = &copied
	}
	return c
}

// copy returns a copy of the admitter for a decision about one flow, without the reports.
func (a *admitter) copy(key FlowKey) admitter {
	c := *a
	c.controller, c.shortages, c.reports = a.controller.Copy(), map[string]*shortage{}, nil
	c.held, c.heldOrder = map[FlowKey]heldSYN{}, slices.Clip(a.heldOrder)
	if held, ok := a.held[key]; ok {
		c.held[key] = held
	}
	return c
}

// full reports whether no record of another flow can be added.
func (s *Steerer) full() bool {
	n := len(s.flows)
	if s.preview != nil {
		n += s.preview.records
	}
	return n >= maxRecords
}

// noteVerdict records the verdict of admission control if this is a preview.
func (s *Steerer) noteVerdict(v *admission.Verdict) {
	if s.preview != nil {
		verdict := *v
		s.preview.verdict = &verdict
	}
}

// noteCandidate records a target that is considered in a preview. The least order of a class is
// preferred.
func (s *Steerer) noteCandidate(t *target, class int, score, order float64, placement *Placement, now model.Time) {
	c := Candidate{Server: t.server, Class: classNames[class], Score: score, Flows: t.flows, Busy: t.busy, Placement: placement,
		RespondedAt: t.RespondedAt, Timeouts: t.Timeouts(now), Restriction: s.restriction(t, s.snapshot.Services[t.server.Service], now), class: class, order: order}
	if placement != nil {
		if c.MeasuredAt = t.measured.lastAt; t.fleet.Samples >= t.measured.sum(now).count {
			c.MeasuredAt = t.fleet.UpdatedAt
		}
	}
	s.preview.consider(c)
}

// restartPreview forgets the candidates if this is a preview, because the selection does.
func (s *Steerer) restartPreview() {
	if s.preview != nil {
		s.preview.best, s.preview.firsts, s.preview.considered = nil, [classExcluded]Candidate{}, 0
	}
}

// consider records a candidate. Of several records of a server the best counts, because the
// selection compares all.
func (p *preview) consider(c Candidate) {
	p.considered++
	if first := &p.firsts[c.class]; first.Server == nil || c.compare(first) < 0 {
		*first = c
	}
	if i := slices.IndexFunc(p.best, func(old Candidate) bool { return old.Server == c.Server }); i >= 0 {
		if c.compare(&p.best[i]) >= 0 {
			return
		}
		p.best = slices.Delete(p.best, i, i+1)
	}
	at, _ := slices.BinarySearchFunc(p.best, c, func(a, b Candidate) int { return a.compare(&b) })
	if at < maxPreviewCandidates {
		p.best = slices.Insert(p.best, at, c)
		p.best = p.best[:min(len(p.best), maxPreviewCandidates)]
	}
}

// list returns the best candidates. A choice that is the best of its class only, for example of the
// servers of other zones, takes the last place.
func (p *preview) list(choice *Server) []Candidate {
	listed := func(c Candidate) bool { return c.Server == choice }
	if i := slices.IndexFunc(p.firsts[:], listed); choice != nil && i >= 0 && !slices.ContainsFunc(p.best, listed) {
		p.best[len(p.best)-1] = p.firsts[i]
	}
	return p.best
}

// compare orders candidates by preference.
func (c *Candidate) compare(o *Candidate) int {
	return cmp.Or(cmp.Compare(c.class, o.class), cmp.Compare(c.order, o.order))
}

// numbersAhead is a source of random numbers that gives a preview those that the next decisions will
// get.
type numbersAhead struct {
	from *rand.Rand
	// numbers were drawn for previews only. next is the position of the preview in them, or -1 if
	// there is none.
	numbers []uint64
	next    int
}

// Uint64 implements rand.Source.
func (a *numbersAhead) Uint64() uint64 {
	if a.next < 0 {
		if len(a.numbers) == 0 {
			return a.from.Uint64()
		}
		number := a.numbers[0]
		a.numbers = a.numbers[1:]
		return number
	}
	if a.next == len(a.numbers) {
		a.numbers = append(a.numbers, a.from.Uint64())
	}
	a.next++
	return a.numbers[a.next-1]
}

// startPreview has random draw ahead until endPreview.
func (s *Steerer) startPreview() {
	if s.ahead == nil {
		s.ahead = &numbersAhead{from: s.random}
		s.random = rand.New(s.ahead)
	}
	s.ahead.next = 0
}

func (s *Steerer) endPreview() { s.ahead.next = -1 }

// restoreRandom has random draw as before the last preview, once the numbers that were drawn ahead
// are used up.
func (s *Steerer) restoreRandom() {
	if s.ahead != nil && s.ahead.next < 0 && len(s.ahead.numbers) == 0 {
		s.random, s.ahead = s.ahead.from, nil
	}
}
