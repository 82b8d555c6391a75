package flow

import (
	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/core/placement"
	"github.com/savorytiller/savorytiller/internal/core/view"
)

// Explanation says where a view sends a flow that nobody knows yet.
type Explanation struct {
	// Reason is ReasonTableChoice, ReasonAlternative if the table's choice gets
	// no new work, ReasonUnknownService, ReasonNoCapacity or
	// ReasonNoConfiguration.
	Reason  model.Reason
	Service model.ServiceID
	Zone    model.Zone
	Owner   model.InstanceID
	// Choice is the table's choice. It is the flow's server unless Reason says
	// otherwise.
	Choice model.ServerID
	// Refused says why the choice gets no new work from this instance.
	Refused model.Reason
	// Exception is true if the choice differs under a retained generation.
	Exception bool
}

// Explain explains the placement of a flow under a view.
func Explain(v *view.View, key model.FlowKey) Explanation {
	if !v.Ready() {
		return Explanation{Reason: model.ReasonNoConfiguration}
	}
	hash := Fingerprint(key)
	for i := range v.Config.Services {
		c := &v.Config.Services[i]
		if c.VirtualAddress != key.Destination {
			continue
		}
		x := Explanation{Reason: model.ReasonNoCapacity, Service: c.ID}
		r := route{view: v, members: v.Members, history: v.Tables[c.ID]}
		owner, zone := r.owner(hash)
		if owner != nil {
			x.Owner = owner.ID
		}
		if zone == nil {
			return x
		}
		x.Zone = zone.Zone
		choice := zone.Table.Lookup(hash)
		if choice == nil {
			return x
		}
		x.Choice, x.Reason = choice.ID, model.ReasonTableChoice
		x.Exception = r.exception(hash, placement.ServerNumber(choice.ID))
		if server := v.Servers[choice.ID]; server == nil || !server.NewWork {
			x.Reason = model.ReasonAlternative
			if server != nil {
				x.Refused = server.Reason
			}
		}
		return x
	}
	return Explanation{Reason: model.ReasonUnknownService}
}
