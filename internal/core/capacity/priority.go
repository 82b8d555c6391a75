package capacity

import "github.com/savorytiller/savorytiller/internal/core/model"

// Load condition addressed: for seconds, more requests than the slots of a service can serve. Then
// freed slots go to the most urgent waiting class, apart from what the shares guarantee to the
// others.

// minGrantPercent is the share of the freed slots that a waiting class gets at least, so that no
// class starves beside more urgent ones.
const minGrantPercent = 5

// rank is the place of a class among those that wait for a slot.
type rank struct {
	claim    bool // the class has a claim to the next slot by its share
	priority uint8
	score    float64 // slots in use relative to the share
}

// rank returns the rank of a class. Only the scores differ if the service has no different
// priorities.
func (s *servicePool) rank(c *classUsage) rank {
	r := rank{score: float64(c.inUse+1) / float64(max(c.share, 1))}
	if s.prioritized {
		r.claim, r.priority = s.hasClaim(c), c.priority
	}
	return r
}

// hasClaim reports whether a class has fewer slots in use than its share guarantees. For the
// fraction of a slot by which the guarantee is rounded down, it has a claim to its share of the
// freed slots.
func (s *servicePool) hasClaim(c *classUsage) bool {
	if c.inUse < s.guarantee(c) {
		return true
	}
	share := max(c.share, minGrantPercent)
	return c.inUse*100 < s.totalSlots*share && (s.grants-c.lastGrant)*uint64(share) >= 100
}

// before reports whether a class of rank r is served before one of another rank.
func (r rank) before(other rank) bool {
	switch {
	case r.claim != other.claim:
		return r.claim
	case r.priority != other.priority:
		return r.priority < other.priority
	default:
		return r.score < other.score
	}
}

// Prioritized reports whether the classes of a service have different priorities.
func (p *Pool) Prioritized(service model.ServiceID) bool { return p.service(service).prioritized }

// HasLessUrgent reports whether a service has a class that is less urgent than the given one.
func (p *Pool) HasLessUrgent(service model.ServiceID, class string) bool {
	s := p.service(service)
	priority := s.class(class).priority
	for _, c := range s.classes {
		if c.priority > priority {
			return true
		}
	}
	return false
}

// Priority returns the priority of a class.
func (p *Pool) Priority(service model.ServiceID, class string) uint8 {
	return p.service(service).class(class).priority
}
