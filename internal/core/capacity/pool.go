// Package capacity divides the capacity of backend servers: the slots that this
// instance holds between classes of requests, the retry budget of each service
// and the bytes in flight of each tenant.
package capacity

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/core/view"
)

// DemandWindow is the time for which the demand of a class is remembered. A
// class keeps free slots reserved for its recent demand only, so that slots
// guaranteed to a quiet class do not lie idle.
const DemandWindow = time.Second

// holdWeight is the weight of the newest sample in the mean time for which a
// slot is held.
const holdWeight = 0.1

// Holding is a slot in use.
type Holding struct {
	Service model.ServiceID
	Class   string
	Server  model.ServerID
	Slot    uint16
	Since   model.Time
}

// Pool counts the slots in use. A slot that moved to another holder while in
// use stays counted until it is freed.
type Pool struct {
	rng      *rand.Rand
	wait     time.Duration
	view     *view.View
	services map[model.ServiceID]*servicePool
	servers  map[model.ServerID]*serverUse
}

type serverUse struct{ slots []uint16 }

// usable is a server of the present view with its slots in use.
type usable struct {
	*view.Server
	use *serverUse
}

type servicePool struct {
	view   *view.View
	usable []usable
	// unavailable is why no server of the service can be used by anyone.
	unavailable model.Reason
	total       int // slots that may be used under the present view
	// hold is the mean time for which a slot is held; 0 while it is not known.
	hold    float64
	classes map[string]*classUse
	names   []string // sorted, so that results do not depend on map order
}

type classUse struct {
	share   int
	inUse   int
	waiting int
	// now and before are the highest demand in the present and the last window.
	now, before int
	window      int64
}

// NewPool returns an empty pool. The source breaks ties between servers; wait is
// the time for which a request waits for a slot.
func NewPool(rng *rand.Rand, wait time.Duration) *Pool {
	return &Pool{rng: rng, wait: wait, services: map[model.ServiceID]*servicePool{}, servers: map[model.ServerID]*serverUse{}}
}

// SetView makes the pool use a new view.
func (p *Pool) SetView(v *view.View) {
	p.view = v
	for id, use := range p.servers {
		if len(use.slots) == 0 && (v == nil || v.Servers[id] == nil) {
			delete(p.servers, id)
		}
	}
}

func (p *Pool) use(id model.ServerID) *serverUse {
	u := p.servers[id]
	if u == nil {
		u = &serverUse{}
		p.servers[id] = u
	}
	return u
}

// Total returns the number of slots of a service that this instance may use.
func (p *Pool) Total(service model.ServiceID) int { return p.service(service).total }

// Unavailable returns why no server of a service can take a request, whichever
// instance holds its slots, or ReasonNone.
func (p *Pool) Unavailable(service model.ServiceID) model.Reason {
	return p.service(service).unavailable
}

// InUse returns the number of slots of a server in use through this instance.
func (p *Pool) InUse(server model.ServerID) int {
	if u := p.servers[server]; u != nil {
		return len(u.slots)
	}
	return 0
}

// Wait adds delta to the number of requests of a class that wait for a slot.
func (p *Pool) Wait(now model.Time, service model.ServiceID, class string, delta int) {
	c := p.service(service).class(class)
	c.waiting += delta
	c.demand(now)
}

// Take takes a free slot of a service for a class. Servers in exclude are not
// chosen.
func (p *Pool) Take(now model.Time, service model.ServiceID, class string, exclude []model.ServerID) (Holding, bool) {
	s := p.service(service)
	c := s.class(class)
	if !s.allows(now, p.wait, c) {
		return Holding{}, false
	}
	best := p.choose(s, exclude)
	if best == nil {
		return Holding{}, false
	}
	slot, _ := best.free()
	best.use.slots = append(best.use.slots, slot)
	c.inUse++
	c.demand(now)
	return Holding{Service: service, Class: class, Server: best.ID, Slot: slot, Since: now}, true
}

// Free returns a slot.
func (p *Pool) Free(now model.Time, h Holding) {
	use := p.servers[h.Server]
	if use == nil {
		return
	}
	i := slices.Index(use.slots, h.Slot)
	if i < 0 {
		return
	}
	use.slots = slices.Delete(use.slots, i, i+1)
	s := p.service(h.Service)
	s.class(h.Class).inUse--
	if held := float64(now.Sub(h.Since)); s.hold == 0 {
		s.hold = held
	} else {
		s.hold += holdWeight * (held - s.hold)
	}
}

// NextClass returns the waiting class that is served next: the one with the
// fewest slots in use for its share.
func (p *Pool) NextClass(service model.ServiceID, skip func(class string) bool) (string, bool) {
	s := p.service(service)
	best, bestScore := "", 0.0
	for _, name := range s.names {
		c := s.classes[name]
		if c.waiting <= 0 || skip(name) {
			continue
		}
		score := float64(c.inUse+1) / float64(max(c.share, 1))
		if best == "" || score < bestScore {
			best, bestScore = name, score
		}
	}
	return best, best != ""
}

// choose returns the server with the smallest part of its slots in use.
func (p *Pool) choose(s *servicePool, exclude []model.ServerID) *usable {
	var best *usable
	bestLoad, ties := 0.0, 0
	for i := range s.usable {
		u := &s.usable[i]
		used := len(u.use.slots)
		if used >= u.SlotLimit || slices.Contains(exclude, u.ID) {
			continue
		}
		load := float64(used) / float64(u.SlotLimit)
		if best != nil && load > bestLoad {
			continue
		}
		if _, ok := u.free(); !ok {
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

// free returns a slot that this instance holds and that is not in use.
func (u *usable) free() (uint16, bool) {
	for _, slot := range u.Slots {
		if !slices.Contains(u.use.slots, slot) {
			return slot, true
		}
	}
	return 0, false
}

// service returns the state of a service, rebuilt for the present view.
func (p *Pool) service(id model.ServiceID) *servicePool {
	s := p.services[id]
	if s == nil {
		s = &servicePool{classes: map[string]*classUse{}}
		p.services[id] = s
	}
	if s.view == p.view || p.view == nil || p.view.Config == nil {
		return s
	}
	s.view, s.usable, s.total = p.view, s.usable[:0], 0
	svc := p.view.Config.Service(id)
	s.unavailable = model.ReasonNoCapacity
	if svc == nil {
		return s
	}
	for i := range svc.Servers {
		server := p.view.Servers[svc.Servers[i].ID]
		switch {
		case server != nil && server.State == model.ServerActive && server.Warmth != view.Failed:
			s.unavailable = model.ReasonNone
		case s.unavailable != model.ReasonNone && p.view.Config.Withdrawn(svc.Servers[i].Zone):
			s.unavailable = model.ReasonZoneWithdrawn
		}
		if server != nil && server.NewWork && server.SlotLimit > 0 && len(server.Slots) > 0 {
			s.usable = append(s.usable, usable{server, p.use(server.ID)})
			s.total += min(server.SlotLimit, len(server.Slots))
		}
	}
	for _, c := range s.classes {
		c.share = 0
	}
	for i := range svc.Kinds {
		c := s.class(svc.Kinds[i].Class)
		c.share = max(c.share, int(svc.Kinds[i].Share))
	}
	return s
}

func (s *servicePool) class(name string) *classUse {
	c := s.classes[name]
	if c == nil {
		c = &classUse{}
		s.classes[name] = c
		i, _ := slices.BinarySearch(s.names, name)
		s.names = slices.Insert(s.names, i, name)
	}
	return c
}

// allows reports whether a class may take a slot: always up to its guarantee,
// and beyond it as long as the guarantees of the other classes stay available.
// Where slots are freed fast enough, a class finds its guarantee within the wait
// that every request has, because the queue serves it first. Where they are held
// for long, slots for its recent demand stay free. Without the distinction, a
// class with little demand beside an overloaded one left 22 % of the capacity
// idle.
func (s *servicePool) allows(now model.Time, wait time.Duration, c *classUse) bool {
	free := s.total
	for i := range s.usable {
		u := &s.usable[i]
		free -= min(len(u.use.slots), u.SlotLimit, len(u.Slots))
	}
	if free <= 0 {
		return false
	}
	if c.inUse < s.guarantee(c) || s.freedSoon(wait, s.total-free) {
		return true
	}
	for _, name := range s.names {
		other := s.classes[name]
		if other == c {
			continue
		}
		wanted := min(s.guarantee(other), other.recent(now))
		free -= max(0, wanted-other.inUse)
	}
	return free > 0
}

// freedSoon reports whether a slot becomes free well within the wait of a
// request, with the given number of slots in use.
func (s *servicePool) freedSoon(wait time.Duration, inUse int) bool {
	return s.hold > 0 && s.hold/float64(max(inUse, 1)) <= float64(wait)/4
}

func (s *servicePool) guarantee(c *classUse) int { return s.total * c.share / 100 }

func (c *classUse) demand(now model.Time) {
	c.roll(now)
	c.now = max(c.now, c.inUse+max(c.waiting, 0))
}

func (c *classUse) recent(now model.Time) int {
	c.roll(now)
	return max(c.now, c.before)
}

func (c *classUse) roll(now model.Time) {
	window := int64(now) / int64(DemandWindow)
	switch {
	case window == c.window:
		return
	case window == c.window+1:
		c.before = c.now
	default:
		c.before = 0
	}
	c.window, c.now = window, c.inUse+max(c.waiting, 0)
}
