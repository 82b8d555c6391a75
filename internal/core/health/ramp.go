package health

import (
	"time"

	"github.com/savorytiller/savorytiller/internal/core/model"
)

// ramp is the growing allowance of a cold server for one unit of work. Slots
// and connections have a ramp each, because successful requests do not show
// how many flows the server can carry.
type ramp struct {
	level      uint8      // number of doublings
	progress   float64    // towards the next doubling, from 0 to 1
	announceAt model.Time // when the home instance announces the server as warm; 0 while the ramp is not finished
}

// slots returns the allowance of slots at this level.
func (r *ramp) slots(c *model.Server) int { return min(int(c.Slots), 1<<r.level) }

// connections returns the allowance of flows at this level.
func (r *ramp) connections(c *model.Server) uint32 {
	if r.level >= connectionLevels {
		return c.Connections
	}
	return max(1, c.Connections>>(connectionLevels-r.level))
}

// allowance returns the present allowance of a unit, and whether it is the full
// capacity of the server.
func (r *ramp) allowance(unit Unit, c *model.Server) (allowance float64, whole bool) {
	if unit == Connection {
		return float64(r.connections(c)), r.level >= connectionLevels
	}
	slots := r.slots(c)
	return float64(slots), slots == int(c.Slots)
}

// succeeded counts successes. After as many as the present allowance, the
// allowance doubles once; at full capacity the ramp finishes instead, but not
// before homeOnlyUntil. It reports whether the ramp changed.
func (r *ramp) succeeded(now model.Time, unit Unit, count uint32, c *model.Server, homeOnlyUntil model.Time) bool {
	allowance, whole := r.allowance(unit, c)
	r.progress += float64(count) / allowance
	if r.progress < 1 {
		return false
	}
	r.progress = 0
	switch {
	case !whole:
		r.level++
	case now.Before(homeOnlyUntil):
		return false
	default:
		r.announceAt = now.Add(WarmAnnounceDelay)
	}
	return true
}

// failed halves the allowance. It reports whether the ramp changed.
func (r *ramp) failed() bool {
	changed := r.level > 0 || r.announceAt != 0
	r.announceAt, r.progress = 0, 0
	if r.level > 0 {
		r.level--
	}
	return changed
}

// announceDue reports whether WarmAnnounceDelay has passed since the ramp
// finished. It returns true once.
func (r *ramp) announceDue(now model.Time) bool {
	if r.announceAt == 0 || now.Before(r.announceAt) {
		return false
	}
	r.announceAt = 0
	return true
}

// WarmAnnounceDelay is the time between the end of a ramp and the announcement that
// the server is warm. In this time the home instance already limits itself to its
// own share; otherwise its full load and the shares of the others would add up.
const WarmAnnounceDelay = time.Second

// warm reports whether the server is warm for a unit.
func (r *Record) warm(unit Unit) bool {
	if unit == Connection {
		return r.WarmFlows
	}
	return r.Warm
}

// anyWarm reports whether the server is warm for at least one unit, so that
// instances other than its home use it.
func (r *Record) anyWarm() bool { return r.Warm || r.WarmFlows }

// withWarm returns the record of the next epoch, in which the server is also warm
// for the given unit.
func (r Record) withWarm(unit Unit) Record {
	r.Epoch++
	if unit == Connection {
		r.WarmFlows = true
	} else {
		r.Warm = true
	}
	return r
}

// mergeWith combines two records of the same epoch: the server is warm only if
// both say so, and draining if one of them does.
func (r Record) mergeWith(o Record) Record {
	r.Warm = r.Warm && o.Warm
	r.WarmFlows = r.WarmFlows && o.WarmFlows
	r.Draining = r.Draining || o.Draining
	return r
}
