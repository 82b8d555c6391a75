package health

import (
	"time"

	"github.com/savorytiller/savorytiller/internal/core/model"
)

// ramp is the growing allowance of a cold server for one unit of work. Slots
// and connections have a ramp each: requests that succeed say nothing about
// how many flows the server carries.
type ramp struct {
	level    uint8
	progress float64
	settle   model.Time // when the home instance announces it as warm; 0 for not yet
}

// slots returns the slots that a server of this level carries.
func (r *ramp) slots(c *model.Server) int { return min(int(c.Slots), 1<<r.level) }

// connections returns the flows that a server of this level carries.
func (r *ramp) connections(c *model.Server) uint32 {
	if r.level >= connectionLevels {
		return c.Connections
	}
	return max(1, c.Connections>>(connectionLevels-r.level))
}

// allowance returns the present allowance of a unit, and whether it is whole.
func (r *ramp) allowance(unit Unit, c *model.Server) (allowance float64, whole bool) {
	if unit == Connection {
		return float64(r.connections(c)), r.level >= connectionLevels
	}
	slots := r.slots(c)
	return float64(slots), slots == int(c.Slots)
}

// succeeded counts successes: the allowance doubles after as many as the
// present one, by one doubling at a time. It reports whether the ramp changed.
// A whole allowance settles, but not before aloneUntil.
func (r *ramp) succeeded(now model.Time, unit Unit, count uint32, c *model.Server, aloneUntil model.Time) bool {
	allowance, whole := r.allowance(unit, c)
	r.progress += float64(count) / allowance
	if r.progress < 1 {
		return false
	}
	r.progress = 0
	switch {
	case !whole:
		r.level++
	case now.Before(aloneUntil):
		return false
	default:
		r.settle = now.Add(Settle)
	}
	return true
}

// failed halves the allowance. It reports whether the ramp changed.
func (r *ramp) failed() bool {
	changed := r.level > 0 || r.settle != 0
	r.settle, r.progress = 0, 0
	if r.level > 0 {
		r.level--
	}
	return changed
}

// settled reports, once, that the home instance has used only its share of the
// unit for the time Settle.
func (r *ramp) settled(now model.Time) bool {
	if r.settle == 0 || now.Before(r.settle) {
		return false
	}
	r.settle = 0
	return true
}

// Settle is the time between the home instance's step back to its share and its
// announcement that the server is warm, so that the two do not add up.
const Settle = time.Second

// warm reports whether a record says that the server carries its whole load of
// a unit.
func (r *Record) warm(unit Unit) bool {
	if unit == Connection {
		return r.WarmFlows
	}
	return r.Warm
}

// partlyWarm reports whether instances other than the home use the server.
func (r *Record) partlyWarm() bool { return r.Warm || r.WarmFlows }

// warmed returns the next record of a server that is warm for a unit as well.
func (r Record) warmed(unit Unit) Record {
	r.Epoch++
	if unit == Connection {
		r.WarmFlows = true
	} else {
		r.Warm = true
	}
	return r
}

// joined returns what two records of one epoch say together: warm only if both
// say so.
func (r Record) joined(o Record) Record {
	r.Warm = r.Warm && o.Warm
	r.WarmFlows = r.WarmFlows && o.WarmFlows
	r.Draining = r.Draining || o.Draining
	return r
}
