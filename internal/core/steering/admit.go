package steering

import (
	"time"

	"github.com/savorytiller/savorytiller/internal/core/admission"
	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/core/placement"
	"github.com/savorytiller/savorytiller/internal/core/room"
)

const (
	// heldRetention is how long a held SYN is remembered. Callers give up after 1.4 s.
	heldRetention = 2 * time.Second
	// maxHeld limits the held SYNs. Beyond it flows are refused instead of held. With 300 new
	// flows per second at one instance, 600 are remembered.
	maxHeld = 4096
	// shortageInterval is the least time between two reports of the same shortage.
	shortageInterval = time.Second
)

// admitter connects a Steerer to admission control.
type admitter struct {
	controller *admission.Controller
	// classes are the terms of the routes of each service in the snapshot classesOf.
	classes   map[string]*admission.Classes
	classesOf *Snapshot
	// held are the SYNs that were dropped, and heldOrder their keys in the order of their times.
	held      map[FlowKey]heldSYN
	heldOrder []heldKey
	shortages map[string]*shortage
	reports   []Shortage
}

// heldSYN is the first copy of a SYN that this instance dropped to decide on the next one.
type heldSYN struct {
	sequence uint32
	at       model.Time
}

type heldKey struct {
	key FlowKey
	at  model.Time
}

// shortage counts the verdicts about a service that is short.
type shortage struct {
	counts     map[model.Reason]int
	inputs     admission.Inputs
	reportedAt model.Time
}

// ShortageState says what a Shortage reports.
type ShortageState string

// States of a shortage.
const (
	ShortageBegins    ShortageState = "begins"
	ShortageContinues ShortageState = "continues"
	ShortageEnds      ShortageState = "ends"
)

// Shortage reports that a service is short of capacity in the zone of the instance.
type Shortage struct {
	Service string
	State   ShortageState
	// Counts are the new flows since the last report by verdict.
	Counts map[model.Reason]int
	// Inputs are those of the latest verdict.
	Inputs admission.Inputs
}

func newAdmitter(s admission.Settings) admitter {
	return admitter{controller: admission.NewController(s), held: map[FlowKey]heldSYN{}, shortages: map[string]*shortage{}}
}

// SetAdmission replaces the settings of admission control, which is off before.
func (s *Steerer) SetAdmission(settings admission.Settings) { s.admitter = newAdmitter(settings) }

// admit returns the verdict of admission control about a SYN, and for one that is not admitted the
// decision. Copies of SYNs that were sent to a server, and flows that could not be
// recorded, are admitted: a later copy of them could not be told from one that was held.
func (s *Steerer) admit(service *Service, route *Route, p *Packet, f *flow, now model.Time) (v admission.Verdict, dropped *Decision) {
	v.Zone = s.snapshot.Zone
	classes := s.classesOf(service.Name)
	if s.snapshot.Room == nil || !classes.Act() || f != nil || s.full() {
		return v, nil
	}
	a := &s.admitter
	a.expireHeld(now)
	copied := a.copyOf(p)
	if copied == admission.First && a.isHeld(p) {
		return v, &Decision{Reason: model.ReasonHeld, Route: route} // the network duplicated the packet
	}
	v = a.controller.Decide(&admission.Flow{Service: service.Name, Terms: route.Terms, Classes: classes, Copy: copied, MayHold: len(a.heldOrder) < maxHeld},
		&admission.State{Zone: s.snapshot.Zone, Instances: s.snapshot.InstancesInZone, View: s.snapshot.Room, Own: s.ownLoad(service.Name, classes),
			Now: now, Random: randomOf(p)})
	s.noteVerdict(&v)
	a.report(service.Name, &v, now)
	switch v.Action {
	case admission.Hold:
		a.held[p.Key] = heldSYN{p.Sequence, now}
		a.heldOrder = append(a.heldOrder, heldKey{p.Key, now})
		dropped = &Decision{Reason: v.Reason, Route: route, Admission: v.Reason}
	case admission.Refuse:
		dropped = &Decision{Action: Reset, Reason: v.Reason, Route: route, Admission: v.Reason}
	default:
		delete(a.held, p.Key)
		return v, nil
	}
	s.countRefused(service.Name, route)
	return v, dropped
}

// randomOf returns a number from 0 to 1 that differs between the copies of SYNs. It does not use the
// Steerer's generator, so that decisions stay as they are while admission control does not act.
func randomOf(p *Packet) float64 {
	h := placement.Mix(uint64(p.Key.Caller.Address)<<32|uint64(p.Key.Caller.Port)<<16|uint64(p.Key.Route.Port), uint64(p.Sequence)<<32|uint64(p.Retransmissions))
	return float64(h>>11) / (1 << 53)
}

// countRefused counts a new flow that was held or refused in the load of the own zone.
func (s *Steerer) countRefused(service string, route *Route) {
	s.load.refused(service, s.snapshot.Zone, route.Terms.Priority)
}

// classesOf returns the terms of the routes of a service, or nil if none has it.
func (s *Steerer) classesOf(service string) *admission.Classes {
	a := &s.admitter
	if a.classesOf != s.snapshot {
		a.classesOf, a.classes = s.snapshot, map[string]*admission.Classes{}
		for _, route := range s.snapshot.Routes {
			for _, share := range route.Shares {
				if a.classes[share.Service] == nil {
					a.classes[share.Service] = &admission.Classes{}
				}
				a.classes[share.Service].Add(route.Terms)
			}
		}
	}
	return a.classes[service]
}

// ownLoad returns the requests in progress of this instance at a service by zone.
func (s *Steerer) ownLoad(service string, classes *admission.Classes) map[model.Zone]int {
	load := s.snapshot.Room.Services[service]
	if load == nil {
		return nil
	}
	own := make(map[model.Zone]int, len(load.Zones))
	for zone := range load.Zones {
		for _, priority := range classes.Priorities() {
			if c := s.load.classes[room.Class{Service: service, Zone: zone, Priority: priority}]; c != nil {
				own[zone] += c.count
			}
		}
	}
	return own
}

// copyOf returns which copy of a SYN a packet is.
func (a *admitter) copyOf(p *Packet) admission.Copy {
	switch {
	case p.Retransmissions == 0:
		return admission.First
	case p.Retransmissions == 1 && a.isHeld(p):
		return admission.AfterHold
	default:
		return admission.Other
	}
}

// isHeld reports whether the first copy of a SYN was held.
func (a *admitter) isHeld(p *Packet) bool {
	h, ok := a.held[p.Key]
	return ok && h.sequence == p.Sequence
}

// expireHeld forgets the SYNs whose callers have given up.
func (a *admitter) expireHeld(now model.Time) {
	for len(a.heldOrder) > 0 && now.Sub(a.heldOrder[0].at) >= heldRetention {
		first := a.heldOrder[0]
		a.heldOrder = a.heldOrder[1:]
		if a.held[first.key].at == first.at {
			delete(a.held, first.key)
		}
	}
}

// report counts a verdict and queues a report when a shortage begins, at most once in
// shortageInterval while it continues, and when it has ended.
func (a *admitter) report(service string, v *admission.Verdict, now model.Time) {
	k := a.shortages[service]
	short := v.Reason != model.ReasonNone
	switch {
	case k == nil && !short:
		return
	case k == nil:
		k = &shortage{counts: map[model.Reason]int{}}
		a.shortages[service] = k
	}
	state := ShortageContinues
	if short {
		k.counts[v.Reason]++
		k.inputs = v.Inputs
	} else {
		state = ShortageEnds
	}
	if k.reportedAt == 0 {
		state = ShortageBegins
	} else if now.Sub(k.reportedAt) < shortageInterval {
		return
	}
	k.reportedAt = now
	a.reports = append(a.reports, Shortage{Service: service, State: state, Counts: k.counts, Inputs: k.inputs})
	k.counts = map[model.Reason]int{}
	if state == ShortageEnds {
		delete(a.shortages, service)
	}
}

// TakeShortage removes a report of a shortage from the queue. ok is false if the queue is empty.
func (s *Steerer) TakeShortage() (r Shortage, ok bool) {
	reports := s.admitter.reports
	if len(reports) == 0 {
		return Shortage{}, false
	}
	r = reports[0]
	s.admitter.reports = reports[1:]
	return r, true
}
