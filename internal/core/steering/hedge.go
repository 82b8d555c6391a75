package steering

import (
	"slices"
	"time"

	"github.com/savorytiller/savorytiller/internal/core/hedge"
	"github.com/savorytiller/savorytiller/internal/core/model"
)

const (
	// minOpeningDelay is the least age of a SYN that is repeated at a second server. Delayed
	// packets of the caller alone can make an opening take that long.
	minOpeningDelay = 20 * time.Millisecond
	// maxSYN is the size in bytes of the largest SYN that is kept. One without data has 32.
	maxSYN = 32
)

// Hedge is a SYN to send to a second server, or an event to count.
type Hedge struct {
	// Reason is model.ReasonHedged if the SYN is to be sent. Otherwise it says how a hedged
	// opening ended, or why an opening was not hedged.
	Reason model.Reason
	Key    FlowKey
	// Server is the second server, or nil if nothing is to be sent.
	Server *Server
	syn    [maxSYN]byte
	length int
}

// SYN returns the bytes of the caller's SYN.
func (h *Hedge) SYN() []byte { return h.syn[:h.length] }

// hedging is the state of hedged openings. It is nil while they are off.
type hedging struct {
	limit    float64
	services map[string]*serviceHedging
	// waiting holds the SYNs that may be repeated, in ascending order of dueAt.
	waiting []waitingSYN
	// copies holds the SYNs at second servers whose flows have not opened yet. Each is a
	// flow record of its own, so that it counts for the load of its server.
	copies map[FlowKey]*flow
	// unanswered holds the SYNs that are checked after ResponseTimeout, besides
	// Steerer.pendingSYNs.
	unanswered []unansweredSYN
	events     []Hedge
}

// serviceHedging holds the limit and the usual opening time of one service.
type serviceHedging struct {
	budget hedge.Budget
	delay  hedge.Delay
}

// waitingSYN is a SYN that is repeated at a second server unless its flow opens before dueAt.
type waitingSYN struct {
	dueAt, sentAt model.Time
	hedge         Hedge
}

// unansweredSYN is a SYN sent to a second server, or to the first server of a flow that opened
// at the second one. copied is nil in the latter case.
type unansweredSYN struct {
	key    FlowKey
	target *target
	copied *flow
	sentAt model.Time
}

// SetHedgeLimit permits hedged openings. limit is their number for each opening of a service;
// 0 means none. It must be called before the first packet.
func (s *Steerer) SetHedgeLimit(limit float64) {
	s.hedging = nil
	if limit > 0 {
		s.hedging = &hedging{limit: limit, services: map[string]*serviceHedging{}, copies: map[FlowKey]*flow{}}
	}
}

func (g *hedging) service(name string) *serviceHedging {
	m := g.services[name]
	if m == nil {
		m = &serviceHedging{budget: *hedge.NewBudget(g.limit)}
		g.services[name] = m
	}
	return m
}

// KeepSYN records the opening of a flow for which Decide has just selected a server. It keeps
// the packet's bytes if callers can repeat the requests of the route: the checksum of a packet
// is keyed, so only the same bytes can be sent to a second server.
func (s *Steerer) KeepSYN(p *Packet, datagram []byte, now model.Time) {
	g := s.hedging
	if g == nil {
		return
	}
	f := s.flows[p.Key]
	if f == nil || f.openedAt != now || p.Retransmissions > 0 {
		return // a server may have an earlier copy, so this one may already be the second
	}
	m := g.service(f.target.server.Service)
	m.budget.AddRequest(now)
	delay, known := m.delay.Usual(now)
	delay = max(delay, minOpeningDelay)
	if route := s.snapshot.Routes[p.Key.Route]; !known || delay >= ResponseTimeout || route == nil || !route.Idempotent || len(datagram) > maxSYN {
		return
	}
	w := waitingSYN{dueAt: now.Add(delay), sentAt: now, hedge: Hedge{Key: p.Key}}
	w.hedge.length = copy(w.hedge.syn[:], datagram)
	at, _ := slices.BinarySearchFunc(g.waiting, w.dueAt, func(o waitingSYN, due model.Time) int {
		if o.dueAt > due {
			return 1
		}
		return -1
	})
	g.waiting = slices.Insert(g.waiting, at, w)
}

// TakeHedge returns the next SYN to send to a second server or event to count. ok is false if
// there is none now. It is called after each packet, because there is no timer.
func (s *Steerer) TakeHedge(now model.Time) (h Hedge, ok bool) {
	g := s.hedging
	if g == nil {
		return Hedge{}, false
	}
	s.expireUnanswered(now)
	for len(g.waiting) > 0 && !g.waiting[0].dueAt.After(now) {
		w := &g.waiting[0]
		g.waiting = g.waiting[1:]
		s.hedgeOpening(w, now)
	}
	n := len(g.events)
	if n == 0 {
		return Hedge{}, false
	}
	h, g.events = g.events[n-1], g.events[:n-1]
	return h, true
}

// hedgeOpening queues a SYN for a second server unless its flow has opened or failed, the
// service is short of capacity or slow as a whole, or the budget allows none.
func (s *Steerer) hedgeOpening(w *waitingSYN, now model.Time) {
	g, h := s.hedging, w.hedge
	f := s.flows[h.Key]
	if f == nil || f.stage != opening || f.sentAt != w.sentAt || now.Sub(f.sentAt) >= ResponseTimeout {
		return
	}
	service, route := s.snapshot.Services[f.target.server.Service], s.snapshot.Routes[h.Key.Route]
	if service == nil || route == nil || !route.Idempotent {
		return
	}
	m := g.service(service.Name)
	second := s.secondServer(service, h.Key.Route, f.target, now)
	switch {
	case second == nil || m.delay.Slow(now):
		h.Reason = model.ReasonHedgeDeniedCapacity
	case !m.budget.Take(now):
		h.Reason = model.ReasonHedgeDeniedLimit
	default:
		h.Reason, h.Server = model.ReasonHedged, second.server
		copied := &flow{target: second, sentAt: now}
		s.addLoad(copied)
		s.setBusy(copied, true)
		g.copies[h.Key] = copied
		g.unanswered = append(g.unanswered, unansweredSYN{h.Key, second, copied, now})
	}
	g.events = append(g.events, h)
}

// secondServer returns the best server for a copy of a SYN besides the first one, or nil if none
// may get it. Cold and avoided servers get none, and neither do the servers of a zone with more
// requests in progress than slots. While the load of the fleet is not known, a server needs a
// free slot by this instance's own estimate.
func (s *Steerer) secondServer(service *Service, route Endpoint, first *target, now model.Time) *target {
	b := s.bestServer(&request{service, route, s.snapshot.Zone, first}, now)
	if b.target == nil || b.class > classFar || b.failing {
		return nil
	}
	if view := s.snapshot.Room; view != nil && view.Usable {
		if load := view.Services[service.Name]; load != nil {
			if zone := load.Zones[b.target.server.Zone]; zone != nil && zone.Total.InProgress <= float64(zone.Slots) {
				return b.target
			}
		}
		return nil
	}
	if b.class != classReady {
		return nil
	}
	return b.target
}

// seeOpened records that a flow, if it was opening, has opened at a server: how long that took,
// and whether a copy of its SYN is no longer needed.
func (s *Steerer) seeOpened(key FlowKey, f *flow, t *target, now model.Time) {
	g := s.hedging
	if g == nil || f == nil || f.stage != opening {
		return
	}
	if f.openedAt == f.sentAt {
		g.service(t.server.Service).delay.Observe(now, now.Sub(f.sentAt))
	}
	copied := g.copies[key]
	if copied == nil || copied.target != t {
		s.dropCopy(key, model.ReasonHedgeCancelled)
		return
	}
	s.dropCopy(key, model.ReasonHedgeWon)
	// Otherwise a server that never answers would not be noticed while second servers do.
	g.unanswered = append(g.unanswered, unansweredSYN{key: key, target: f.target, sentAt: f.sentAt})
}

// hedgedCopies returns the SYNs at second servers by flow, nil if openings are not hedged.
func (s *Steerer) hedgedCopies() map[FlowKey]*flow {
	if s.hedging == nil {
		return nil
	}
	return s.hedging.copies
}

// dropCopy removes the copy of a flow's SYN, if there is one, and its load.
func (s *Steerer) dropCopy(key FlowKey, reason model.Reason) {
	g := s.hedging
	if g == nil {
		return
	}
	if copied := g.copies[key]; copied != nil {
		s.removeLoad(copied)
		delete(g.copies, key)
		g.events = append(g.events, Hedge{Reason: reason, Key: key})
	}
}

// copyTarget returns the second server of a flow while it may still answer the copy of the SYN.
// Until then, retransmissions don't go to a third one.
func (s *Steerer) copyTarget(key FlowKey, now model.Time) *target {
	if s.hedging == nil {
		return nil
	}
	if copied := s.hedging.copies[key]; copied != nil && now.Sub(copied.sentAt) < ResponseTimeout {
		return copied.target
	}
	return nil
}

// expireUnanswered records a timeout for each copy of a SYN that no packet of its flow followed
// within ResponseTimeout, and for each first server that has not responded to anything since it
// got a SYN whose flow then opened at the second server.
func (s *Steerer) expireUnanswered(now model.Time) {
	g := s.hedging
	for len(g.unanswered) > 0 && now.Sub(g.unanswered[0].sentAt) >= ResponseTimeout {
		u := g.unanswered[0]
		g.unanswered = g.unanswered[1:]
		if u.copied != nil {
			if g.copies[u.key] != u.copied {
				continue
			}
			s.setBusy(u.copied, false)
		}
		if now.Sub(u.sentAt) <= pauseThreshold {
			s.recordTimeout(u.target, now, u.sentAt)
		}
	}
}
