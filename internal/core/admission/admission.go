// Package admission decides which new flows are admitted while the servers of a service cannot
// carry the requests of all of them.
//
// A zone is short of capacity if the view of the fleet's load shows more requests in progress
// than its servers need to be busy. Each instance then compares its own requests in progress
// with its share of a limit that depends on the priority of the flow. The own count reacts at
// once, while the view is up to about a second old, so a flow is refused only if both agree.
package admission

import (
	"math"
	"time"

	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/core/room"
)

const (
	// reliefRatio is the part of the shortage threshold below which a zone is no longer short.
	// Between the two a zone would change its state with each report.
	reliefRatio = 0.8
	// raisePerInterval is the largest relative increase of a limit in raiseInterval, which is the
	// interval of the reports while a service is busy.
	raisePerInterval = 0.1
	raiseInterval    = 250 * time.Millisecond
	// maxViewAge is the age at which a view is not used any more. Views are updated every 250 ms
	// while half of the slots are in use.
	maxViewAge = 1500 * time.Millisecond
	// resendDelay is the time after which callers retransmit a SYN.
	resendDelay = 200 * time.Millisecond
	// correctionRange is the relative deviation of the load of a zone from its limit at which the
	// shares of its instances are corrected fully, see share.
	correctionRange = 0.4
	// spillWeight is the weight of the newest count of own requests in another zone in the
	// average to which spare capacity is added. The view includes them some intervals late.
	spillWeight = 0.3
	// chanceWeight is the weight of one decision in the average that estimates the chance of a
	// retransmission. Flows are held only if it is at least minChance.
	chanceWeight = 0.1
	minChance    = 0.5
	// reserveTolerance is how far above their reserve the least urgent flows may be before
	// no more are admitted from it. Their number in one report varies by about a third.
	reserveTolerance = 1.5
	// maxReserveTokens limits the reserve that is left unused.
	maxReserveTokens = 2
)

// Settings configure a Controller.
type Settings struct {
	Enabled bool
	// Reserve is the part of the capacity that the least urgent flows keep, and of those to be
	// refused that is admitted from it.
	Reserve float64
}

// Copy says which transmission of a SYN a decision is about.
type Copy uint8

const (
	// First is a SYN that was not transmitted before.
	First Copy = iota
	// AfterHold is a retransmission of which this instance held all earlier copies.
	AfterHold
	// Other is a retransmission of which another copy may have reached a server.
	Other
)

// Flow is a flow that opens.
type Flow struct {
	Service string
	Terms   model.Terms
	// Classes are the terms of all routes of the service.
	Classes *Classes
	Copy    Copy
	// MayHold is set if the caller can remember the flow should it be held.
	MayHold bool
}

// State is what an instance knows when a flow opens.
type State struct {
	Zone model.Zone
	// Instances is the number of live instances of the zone.
	Instances int
	View      *room.View
	// Own are this instance's requests in progress at the service, by zone of the servers.
	Own map[model.Zone]int
	Now model.Time
	// Random is a random number from 0 to 1.
	Random float64
}

// Action is what to do with a flow.
type Action uint8

const (
	Admit Action = iota
	// Hold drops the SYN. The caller retransmits it.
	Hold
	// Refuse tells the caller that the flow will not open.
	Refuse
)

// Verdict is the decision about a flow.
type Verdict struct {
	Action Action
	// Reason is ReasonNone unless the zone is short.
	Reason model.Reason
	// Zone is the zone whose servers are preferred.
	Zone model.Zone
	// Inputs are set unless Reason is ReasonNone.
	Inputs Inputs
}

// Inputs are the figures on which a verdict is based: those of the own zone, or of all zones if the
// own one has no servers.
type Inputs struct {
	InProgress, CompletedPerSecond float64
	Slots                          int
	BaseLatency, ViewAge           time.Duration
	// Limit is the limit of the zone for the flow, Share the part of this instance, and Own the
	// number of its requests in progress.
	Limit, Share float64
	Own          int
}

// Controller decides about the flows of one instance. It is not safe for concurrent use.
type Controller struct {
	settings Settings
	services map[string]*service
}

// NewController returns a Controller that has not seen a view.
func NewController(s Settings) *Controller {
	return &Controller{settings: s, services: map[string]*service{}}
}

// Copy returns a Controller that decides as this one would, without changing it.
func (c *Controller) Copy() *Controller {
	out := NewController(c.settings)
	for name, k := range c.services {
		out.services[name] = k.copy()
	}
	return out
}

// Decide returns the verdict about a flow that opens.
func (c *Controller) Decide(f *Flow, s *State) Verdict {
	load := c.usable(f, s)
	if load == nil {
		delete(c.services, f.Service)
		return Verdict{Zone: s.Zone}
	}
	k := c.services[f.Service]
	if k == nil {
		c.expire(s.View)
		k = &service{zones: map[model.Zone]*zoneState{}, chances: map[uint8]float64{}}
		c.services[f.Service] = k
	}
	k.update(load, s)
	if !k.short(s.Zone) {
		return Verdict{Zone: s.Zone}
	}
	return c.decideShort(k, load, f, s)
}

// expire forgets the services that the view does not have.
func (c *Controller) expire(view *room.View) {
	for name := range c.services {
		if view.Services[name] == nil {
			delete(c.services, name)
		}
	}
}

// usable returns the load of the service of a flow, or nil if it is not known or the terms don't
// call for admission control.
func (c *Controller) usable(f *Flow, s *State) *room.Service {
	if !c.settings.Enabled || !f.Classes.Act() || s.View == nil || !s.View.Usable || s.Now.Sub(s.View.At) > maxViewAge {
		return nil
	}
	load := s.View.Services[f.Service]
	if load == nil || load.BaseLatency <= 0 {
		return nil
	}
	return load
}

// decideShort returns the verdict about a flow while the own zone is short.
func (c *Controller) decideShort(k *service, load *room.Service, f *Flow, s *State) Verdict {
	p := k.poolOf(load, f, s)
	v := Verdict{Zone: p.zone, Reason: model.ReasonAdmitted}
	v.Inputs = Inputs{BaseLatency: load.BaseLatency, ViewAge: s.Now.Sub(s.View.At), Own: p.own,
		InProgress: p.inProgress, CompletedPerSecond: p.completed, Slots: p.slots,
		Limit: p.limit, Share: share(p.limit, p.urgentPart()*p.inProgress, p.instances)}
	reserved := k.reserve(c.settings.Reserve, load, f, s)
	admitted := below(p.urgentPart()*float64(p.own), v.Inputs.Share, s.Random)
	if !admitted {
		zone, found, free := k.otherZone(load, f, s)
		switch {
		case found:
			admitted, v.Zone, v.Reason = true, zone, model.ReasonOtherZone
		case free || f.Copy == Other:
			admitted = true
		}
	}
	k.countChance(f.Terms.Priority, admitted)
	switch {
	case admitted:
	case reserved && k.takeReserve(c.settings.Reserve):
		v.Reason = model.ReasonReserve
	case f.Copy == First && f.MayHold && k.worthHolding(load, f, s):
		v.Action, v.Reason = Hold, model.ReasonHeld
	default:
		v.Action, v.Reason = Refuse, model.ReasonOverloaded
	}
	return v
}

// below reports whether a count is below a limit that is not a whole number: with the
// probability of its fraction, the limit is the next whole number. Shares are small, about 3 to
// 10, so rounding all of them down would leave a tenth of the capacity unused.
func below(count, limit, random float64) bool { return count < math.Floor(limit+random) }
