// Package capacity limits the load that requests put on backend servers and on
// this instance: it divides the request slots that the instance holds among the
// classes of requests, and limits the retries of each service and the body bytes
// in flight of each tenant.
package capacity

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/core/view"
)

// DemandWindow is the length of the windows in which the peak demand of a class is
// recorded. Free slots are reserved for a class only up to its peak demand in the
// current and the last window, so that slots guaranteed to a class with little
// demand do not stay idle.
const DemandWindow = time.Second

// holdTimeWeight is the weight of the newest sample in the exponential moving
// average of the time for which a slot is in use.
const holdTimeWeight = 0.1

// Allocation is a slot in use by one request.
type Allocation struct {
	Service model.ServiceID
	Class   string
	Server  model.ServerID
	Slot    uint16
	// Since is when the slot was acquired.
	Since model.Time
}

// Pool tracks the slots in use through this instance. A slot that is assigned to
// another instance while it is in use stays counted until it is released.
type Pool struct {
	rng       *rand.Rand
	queueWait time.Duration
	view      *view.View
	services  map[model.ServiceID]*servicePool
	servers   map[model.ServerID]*serverUsage
}

type serverUsage struct{ slotsInUse []uint16 }

// usableServer is a server of the current view that may get requests, with its
// slots in use.
type usableServer struct {
	*view.Server
	usage *serverUsage
}

type servicePool struct {
	view   *view.View
	usable []usableServer
	// unavailableReason is why no instance can use any server of the service.
	unavailableReason model.Reason
	totalSlots        int // slots that this instance may use under the current view
	// meanHold is the moving average of the time for which a slot is in use, in
	// nanoseconds; 0 before the first sample.
	meanHold   float64
	classes    map[string]*classUsage
	classNames []string // sorted, so that results do not depend on map order
	// prioritized is set if two kinds of the service differ in their priority.
	prioritized bool
	grants      uint64 // slots that were acquired so far
}

type classUsage struct {
	share int // guaranteed share of the slots, in percent
	// priority is that of the kinds of the class; 0 is the most urgent.
	priority uint8
	// lastGrant is the value of servicePool.grants when the class last acquired a slot.
	lastGrant uint64
	inUse     int // slots in use by requests of the class
	waiting   int // requests of the class that wait for a slot
	// peak and previousPeak are the highest numbers of slots in use plus waiting
	// requests in the current and in the last window.
	peak, previousPeak int
	window             int64 // number of the current window, counted from time 0
}

// NewPool returns an empty pool. rng breaks ties between servers; queueWait is the
// maximum time for which a request waits for a slot.
func NewPool(rng *rand.Rand, queueWait time.Duration) *Pool {
	return &Pool{rng: rng, queueWait: queueWait, services: map[model.ServiceID]*servicePool{}, servers: map[model.ServerID]*serverUsage{}}
}

// SetView replaces the view and removes the servers that it does not list and that
// have no slot in use.
func (p *Pool) SetView(v *view.View) {
	p.view = v
	for id, usage := range p.servers {
		if len(usage.slotsInUse) == 0 && (v == nil || v.Servers[id] == nil) {
			delete(p.servers, id)
		}
	}
}

func (p *Pool) usage(id model.ServerID) *serverUsage {
	u := p.servers[id]
	if u == nil {
		u = &serverUsage{}
		p.servers[id] = u
	}
	return u
}

// UnavailableReason returns why no server of a service can take a request, no matter
// which instance holds its slots, or ReasonNone.
func (p *Pool) UnavailableReason(service model.ServiceID) model.Reason {
	return p.service(service).unavailableReason
}

// InUse returns the number of slots of a server in use through this instance.
func (p *Pool) InUse(server model.ServerID) int {
	if u := p.servers[server]; u != nil {
		return len(u.slotsInUse)
	}
	return 0
}

// AddWaiting adds delta to the number of requests of a class that wait for a slot.
func (p *Pool) AddWaiting(now model.Time, service model.ServiceID, class string, delta int) {
	c := p.service(service).class(class)
	c.waiting += delta
	c.updatePeak(now)
}

// Acquire allocates a free slot of a service to a class, on the least loaded server
// that is not in exclude. It reports false if the class must not take another slot now
// or if no such server has a free slot.
func (p *Pool) Acquire(now model.Time, service model.ServiceID, class string, exclude []model.ServerID) (Allocation, bool) {
	s := p.service(service)
	c := s.class(class)
	if !s.canAcquire(now, p.queueWait, c) {
		return Allocation{}, false
	}
	best := p.leastLoaded(s, exclude)
	if best == nil {
		return Allocation{}, false
	}
	slot, _ := best.freeSlot()
	best.usage.slotsInUse = append(best.usage.slotsInUse, slot)
	c.inUse++
	s.grants++
	c.lastGrant = s.grants
	c.updatePeak(now)
	return Allocation{Service: service, Class: class, Server: best.ID, Slot: slot, Since: now}, true
}

// Release returns a slot to the pool. It ignores an allocation that is not in use.
func (p *Pool) Release(now model.Time, a Allocation) {
	usage := p.servers[a.Server]
	if usage == nil {
		return
	}
	i := slices.Index(usage.slotsInUse, a.Slot)
	if i < 0 {
		return
	}
	usage.slotsInUse = slices.Delete(usage.slotsInUse, i, i+1)
	s := p.service(a.Service)
	s.class(a.Class).inUse--
	if held := float64(now.Sub(a.Since)); s.meanHold == 0 {
		s.meanHold = held
	} else {
		s.meanHold += holdTimeWeight * (held - s.meanHold)
	}
}

// NextClass returns the class whose waiting requests are served next: the one with
// the fewest slots in use relative to its share. If priorities differ, a class with a claim by
// its share comes first, and then the most urgent one. Classes for which skip returns
// true are left out. It reports false if no class remains.
func (p *Pool) NextClass(service model.ServiceID, skip func(class string) bool) (string, bool) {
	s := p.service(service)
	best, bestRank := "", rank{}
	for _, name := range s.classNames {
		c := s.classes[name]
		if c.waiting <= 0 || skip(name) {
			continue
		}
		if r := s.rank(c); best == "" || r.before(bestRank) {
			best, bestRank = name, r
		}
	}
	return best, best != ""
}

// leastLoaded returns the server outside exclude with a free slot that has the smallest
// fraction of its slots in use, or nil. Among equal servers it chooses at random.
func (p *Pool) leastLoaded(s *servicePool, exclude []model.ServerID) *usableServer {
	var best *usableServer
	bestLoad, ties := 0.0, 0
	for i := range s.usable {
		u := &s.usable[i]
		used := len(u.usage.slotsInUse)
		if used >= u.SlotLimit || slices.Contains(exclude, u.ID) {
			continue
		}
		load := float64(used) / float64(u.SlotLimit)
		if best != nil && load > bestLoad {
			continue
		}
		if _, ok := u.freeSlot(); !ok {
			continue
		}
		if best == nil || load < bestLoad {
			best, bestLoad, ties = u, load, 1
		} else if ties++; p.rng.IntN(ties) == 0 {
			best = u
		}
	}
	return best
}

// freeSlot returns a slot of the server that this instance holds and that is not in
// use.
func (u *usableServer) freeSlot() (uint16, bool) {
	for _, slot := range u.Slots {
		if !slices.Contains(u.usage.slotsInUse, slot) {
			return slot, true
		}
	}
	return 0, false
}

// service returns the state of a service. It rebuilds the state if the view has
// changed.
func (p *Pool) service(id model.ServiceID) *servicePool {
	s := p.services[id]
	if s == nil {
		s = &servicePool{classes: map[string]*classUsage{}}
		p.services[id] = s
	}
	if s.view == p.view || p.view == nil || p.view.Config == nil {
		return s
	}
	s.view, s.usable, s.totalSlots = p.view, s.usable[:0], 0
	svc := p.view.Config.Service(id)
	s.unavailableReason = model.ReasonNoCapacity
	if svc == nil {
		return s
	}
	for i := range svc.Servers {
		server := p.view.Servers[svc.Servers[i].ID]
		switch {
		case server != nil && server.State == model.ServerActive && server.Warmth != view.Failed:
			s.unavailableReason = model.ReasonNone
		case s.unavailableReason != model.ReasonNone && p.view.Config.Withdrawn(svc.Servers[i].Zone):
			s.unavailableReason = model.ReasonZoneWithdrawn
		}
		if server != nil && server.NewWork && server.SlotLimit > 0 && len(server.Slots) > 0 {
			s.usable = append(s.usable, usableServer{server, p.usage(server.ID)})
			s.totalSlots += min(server.SlotLimit, len(server.Slots))
		}
	}
	s.prioritized = false
	for _, c := range s.classes {
		c.share, c.priority = 0, model.LowestPriority
	}
	for i := range svc.Kinds {
		c := s.class(svc.Kinds[i].Class)
		c.share, c.priority = max(c.share, int(svc.Kinds[i].Share)), svc.Kinds[i].Priority
		s.prioritized = s.prioritized || c.priority != svc.Kinds[0].Priority
	}
	return s
}

func (s *servicePool) class(name string) *classUsage {
	c := s.classes[name]
	if c == nil {
		c = &classUsage{priority: model.LowestPriority}
		s.classes[name] = c
		i, _ := slices.BinarySearch(s.classNames, name)
		s.classNames = slices.Insert(s.classNames, i, name)
	}
	return c
}

// canAcquire reports whether a class may take a free slot. A class may always take
// slots up to its guarantee. Beyond it, the guarantees of the other classes must stay
// available:
//   - If slots are released fast, the other classes get theirs within the time that
//     requests wait for a slot, because the queue serves them first.
//   - If slots are in use for long, free slots are reserved for the recent demand of
//     the other classes.
//
// Reserving in both cases left 22 % of the capacity idle when a class with little
// demand ran beside an overloaded one.
func (s *servicePool) canAcquire(now model.Time, queueWait time.Duration, c *classUsage) bool {
	free := s.totalSlots
	for i := range s.usable {
		u := &s.usable[i]
		free -= min(len(u.usage.slotsInUse), u.SlotLimit, len(u.Slots))
	}
	if free <= 0 {
		return false
	}
	if c.inUse < s.guarantee(c) || s.slotExpectedSoon(queueWait, s.totalSlots-free) {
		return true
	}
	for _, name := range s.classNames {
		other := s.classes[name]
		if other == c {
			continue
		}
		reserved := min(s.guarantee(other), other.recentDemand(now))
		free -= max(0, reserved-other.inUse)
	}
	return free > 0
}

// slotExpectedSoon reports whether, with the given number of slots in use, one is
// released on average well within the time that a request waits for a slot: a quarter
// of it.
func (s *servicePool) slotExpectedSoon(queueWait time.Duration, inUse int) bool {
	return s.meanHold > 0 && s.meanHold/float64(max(inUse, 1)) <= float64(queueWait)/4
}

// guarantee returns the number of slots that a class gets by its share in percent.
func (s *servicePool) guarantee(c *classUsage) int { return s.totalSlots * c.share / 100 }

// updatePeak updates the peak demand of the current window.
func (c *classUsage) updatePeak(now model.Time) {
	c.advanceWindow(now)
	c.peak = max(c.peak, c.inUse+max(c.waiting, 0))
}

// recentDemand returns the peak demand of the current and the last window.
func (c *classUsage) recentDemand(now model.Time) int {
	c.advanceWindow(now)
	return max(c.peak, c.previousPeak)
}

// advanceWindow starts a new window if the current one has ended.
func (c *classUsage) advanceWindow(now model.Time) {
	window := int64(now) / int64(DemandWindow)
	switch {
	case window == c.window:
		return
	case window == c.window+1:
		c.previousPeak = c.peak
	default:
		c.previousPeak = 0
	}
	c.window, c.peak = window, c.inUse+max(c.waiting, 0)
}
