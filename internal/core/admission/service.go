package admission

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/core/room"
)

// service is the state of admission control for one service.
type service struct {
	view  *room.View
	at    model.Time // of the view
	zones map[model.Zone]*zoneState
	// reserveTokens is the number of flows that may be admitted from the reserve, as of reserveAt.
	// unserved is the number of flows that would have been refused, times the reserve.
	reserveTokens, unserved float64
	reserveAt               model.Time
	// chances estimates for each priority the part of the flows that is admitted.
	chances map[uint8]float64
}

// zoneState is the state of one zone.
type zoneState struct {
	short bool
	// limit is the limit for the least urgent flows, whose increase is bounded; scale is its
	// ratio to the limit that the view alone gives.
	limit, scale float64
	// own is the average of the own requests in progress at the newest views.
	own float64
}

func (k *service) copy() *service {
	out := *k
	out.chances = maps.Clone(k.chances)
	out.zones = make(map[model.Zone]*zoneState, len(k.zones))
	for name, z := range k.zones {
		zone := *z
		out.zones[name] = &zone
	}
	return &out
}

// update evaluates a new view.
func (k *service) update(load *room.Service, s *State) {
	if k.view == s.View {
		return
	}
	elapsed := s.View.At.Sub(k.at)
	k.view, k.at = s.View, s.View.At
	for name := range k.zones {
		if load.Zones[name] == nil {
			delete(k.zones, name)
		}
	}
	for name, z := range load.Zones {
		state := k.zones[name]
		if state == nil {
			state = &zoneState{own: float64(s.Own[name])}
			k.zones[name] = state
		}
		state.update(z, load.BaseLatency, elapsed)
		state.own += spillWeight * (float64(s.Own[name]) - state.own)
	}
}

// update evaluates the load of a zone in a new view.
func (z *zoneState) update(load *room.Zone, base, elapsed time.Duration) {
	if load.Slots == 0 {
		// No server accepts flows. Those that are open still complete requests, but that is no
		// capacity, and without any the flow is handled as one to a service without servers.
		z.short, z.limit, z.scale = false, 0, 0
		return
	}
	inProgress, threshold := load.Total.InProgress, load.ShortageThreshold(base)
	switch {
	case inProgress <= float64(load.Slots), inProgress < reliefRatio*threshold:
		z.short = false
	case inProgress > threshold:
		z.short = true
	}
	limit := limit(load, base, leastUrgentDepth, z.short)
	if z.limit == 0 {
		z.limit = limit
	}
	raise := raisePerInterval * min(1, elapsed.Seconds()/raiseInterval.Seconds())
	z.limit = min(limit, z.limit*(1+raise))
	z.scale = 1
	if limit > 0 {
		z.scale = z.limit / limit
	}
}

// limit returns the number of requests that may be in progress in a zone: those that keep its
// servers busy, and depth queued ones for each slot. Servers are busy with the requests that they
// complete in the base latency, which includes the way to the caller, but at least with one for
// each slot. Slots of servers that do not respond complete nothing, so in a short zone no more slots
// are assumed than requests are completed, but at least half of them: a zone that completed
// little for another reason would otherwise stay limited to little.
func limit(z *room.Zone, base time.Duration, depth float64, short bool) float64 {
	busy, slots := z.Total.Completed*base.Seconds(), float64(z.Slots)
	if short {
		slots = min(slots, max(busy, slots/2))
	}
	return max(busy, slots) + slots*depth
}

// depthOf returns the depth of the queue for a flow in a zone. It is bounded by the requests that
// are completed in the time that the goal leaves.
func depthOf(z *room.Zone, base time.Duration, f *Flow) float64 {
	depth := f.Classes.depth(f.Terms.Priority)
	if f.Terms.Goal > 0 && z.Slots > 0 {
		depth = min(depth, max(0, (f.Terms.Goal-base).Seconds()*z.Total.Completed/float64(z.Slots)))
	}
	return depth
}

// short reports whether a zone is short, or, if it has no servers, whether all other zones are.
func (k *service) short(zone model.Zone) bool {
	if z := k.zones[zone]; z != nil && z.limit > 0 {
		return z.short
	}
	short := false
	for _, z := range k.zones {
		if z.limit > 0 && !z.short {
			return false
		}
		short = short || z.limit > 0
	}
	return short
}

// limitOf returns the limit of a zone for a flow.
func (k *service) limitOf(load *room.Service, zone model.Zone, f *Flow) float64 {
	z := load.Zones[zone]
	if z == nil || z.Slots == 0 {
		return 0
	}
	state := k.zones[zone]
	return limit(z, load.BaseLatency, depthOf(z, load.BaseLatency, f), state.short) * state.scale
}

// share returns this instance's part of a limit for a class of flows that has the given number of
// requests in progress in the zone. The number of an instance varies around its mean by about the
// square root, so fixed parts would refuse flows at some instances while others are below their
// parts. The part is therefore increased by up to the square root while the zone is below the
// limit. It is decreased while the zone is above, because flows from other zones or open flows
// then use a part of the limit.
func share(limit, inProgress float64, instances int) float64 {
	if limit == 0 {
		return 0
	}
	part := limit / float64(max(instances, 1))
	correction := max(-1, min(1, (limit-inProgress)/(correctionRange*limit)))
	return max(part/2, part+correction*math.Sqrt(part))
}

// pool is the capacity that the instances of a zone share.
type pool struct {
	// zone is where the next flow goes.
	zone                         model.Zone
	limit, inProgress, completed float64
	// known are the requests in progress whose priority is known, and urgent those of them that are
	// at least as urgent as the flow.
	known, urgent    float64
	slots, instances int
	// own is the number of this instance's requests in progress.
	own int
}

// add adds a zone to the pool.
func (p *pool) add(limit float64, z *room.Zone, priority uint8, own int) {
	p.limit += limit
	p.inProgress += z.Total.InProgress
	p.completed += z.Total.Completed
	p.slots += z.Slots
	p.own += own
	for other, c := range z.ByPriority {
		p.known += c.InProgress
		if other <= priority {
			p.urgent += c.InProgress
		}
	}
}

// urgentPart returns the part of the requests in progress that is at least as urgent as the flow.
func (p *pool) urgentPart() float64 {
	if p.known <= 0 {
		return 1
	}
	return p.urgent / p.known
}

// poolOf returns the pool of a flow: the own zone, or all zones if the own one has no servers. Then
// each instance of the fleet has the same part of it, because the callers of a zone that is out of
// service would otherwise only get what those of the other zones leave.
func (k *service) poolOf(load *room.Service, f *Flow, s *State) pool {
	p := pool{zone: s.Zone, instances: s.Instances}
	if z := load.Zones[s.Zone]; z != nil && z.Slots > 0 {
		p.add(k.limitOf(load, s.Zone, f), z, f.Terms.Priority, s.Own[s.Zone])
		return p
	}
	zones := slices.Sorted(maps.Keys(load.Zones))
	for _, name := range zones {
		z := load.Zones[name]
		p.add(k.limitOf(load, name, f), z, f.Terms.Priority, s.Own[name])
		if name != s.Zone {
			p.instances += z.Instances
		}
	}
	// The flows spread over the zones in proportion to their limits.
	point := s.Random * p.limit
	for _, name := range zones {
		if l := k.limitOf(load, name, f); l > 0 {
			p.zone = name
			if point -= l; point < 0 {
				break
			}
		}
	}
	return p
}

// otherZone returns the zone with the most spare capacity of which this instance's part is not
// used. free reports whether any zone has a free slot.
func (k *service) otherZone(load *room.Service, f *Flow, s *State) (zone model.Zone, found, free bool) {
	instances := 0
	for name, z := range load.Zones {
		if name != s.Zone {
			instances += z.Instances
		}
	}
	instances += max(s.Instances, 1)
	best := 0.0
	for name, z := range load.Zones {
		if name == s.Zone || z.Slots == 0 {
			continue
		}
		free = free || z.Total.InProgress < float64(z.Slots)
		l := k.limitOf(load, name, f)
		if k.zones[name].short || z.Total.InProgress >= reliefRatio*l {
			continue
		}
		spare := l - z.Total.InProgress
		part := spare / float64(max(instances-z.Instances, 1))
		if below(float64(s.Own[name]), k.zones[name].own+part, s.Random) && (!found || spare > best || spare == best && name < zone) {
			zone, found, best = name, true, spare
		}
	}
	return zone, found, free
}

// reserve reports whether a flow may be admitted from the reserve, after adding the tokens for
// the time since the last call: the reserved part of the requests that the zone completes for each
// instance. The least urgent flows that are open may use their part already, since a flow can
// carry many requests.
func (k *service) reserve(part float64, load *room.Service, f *Flow, s *State) bool {
	z := load.Zones[s.Zone]
	if z == nil || z.Slots == 0 || !f.Classes.leastUrgent(f.Terms.Priority) {
		return false
	}
	instances := float64(max(s.Instances, 1))
	k.reserveTokens = min(maxReserveTokens, k.reserveTokens+part*z.Total.Completed/instances*s.Now.Sub(k.reserveAt).Seconds())
	k.reserveAt = s.Now
	return z.ByPriority[f.Terms.Priority].Completed < reserveTolerance*part*z.Total.Completed
}

// takeReserve reports whether a flow that would be refused is admitted from the reserve.
func (k *service) takeReserve(part float64) bool {
	k.unserved = min(k.unserved+part, 1)
	if k.unserved < 1 || k.reserveTokens < 1 {
		return false
	}
	k.unserved--
	k.reserveTokens--
	return true
}

// countChance adds a decision to the estimated chance of a priority.
func (k *service) countChance(priority uint8, admitted bool) {
	chance, known := k.chances[priority]
	if !known {
		chance = 1
	}
	if admitted {
		chance += chanceWeight * (1 - chance)
	} else {
		chance -= chanceWeight * chance
	}
	k.chances[priority] = chance
}

// worthHolding reports whether a retransmission will probably be admitted and can still meet the
// goal of the flow.
func (k *service) worthHolding(load *room.Service, f *Flow, s *State) bool {
	z := load.Zones[s.Zone]
	if z == nil || f.Terms.Goal == 0 || k.chances[f.Terms.Priority] < minChance || z.Total.Completed == 0 {
		return false
	}
	queued := float64(z.Slots) * depthOf(z, load.BaseLatency, f) / z.Total.Completed
	return (resendDelay+load.BaseLatency).Seconds()+queued <= f.Terms.Goal.Seconds()
}
