package note

import (
	"net/netip"
	"time"

	"github.com/savorytiller/savorytiller/internal/core/model"
)

// AddressQuarantine is how long an endpoint that moves from one service to
// another gets nothing for the new service. It is longer than the lease of any
// outdated view, so no instance uses the endpoint for both.
const AddressQuarantine = 10 * time.Second

// endpoint is an address together with its transport: flow addresses are UDP,
// request addresses TCP.
type endpoint struct {
	request bool
	address netip.AddrPort
}

type lastUse struct {
	service model.ServiceID
	until   model.Time // end of the quarantine for other services
}

// Quarantine remembers which service last used each released endpoint.
type Quarantine struct {
	released map[endpoint]lastUse
}

// Track takes a change of the configuration. Only services whose servers
// changed are looked at.
func (q *Quarantine) Track(old, next *model.Configuration, now model.Time) {
	if q.released == nil {
		q.released = map[endpoint]lastUse{}
	}
	for e, u := range q.released {
		if !now.Before(u.until) {
			delete(q.released, e)
		}
	}
	if old == nil {
		return
	}
	for i := range old.Services {
		before := &old.Services[i]
		after := next.Service(before.ID)
		if after != nil && len(after.Servers) == len(before.Servers) &&
			(len(after.Servers) == 0 || &after.Servers[0] == &before.Servers[0]) {
			continue
		}
		kept := map[endpoint]bool{}
		if after != nil {
			for j := range after.Servers {
				kept[endpoint{false, after.Servers[j].FlowAddress}] = true
				kept[endpoint{true, after.Servers[j].RequestAddress}] = true
			}
		}
		for j := range before.Servers {
			for _, e := range []endpoint{{false, before.Servers[j].FlowAddress}, {true, before.Servers[j].RequestAddress}} {
				if e.address.IsValid() && !kept[e] {
					q.released[e] = lastUse{before.ID, now.Add(AddressQuarantine)}
				}
			}
		}
	}
}

// Until returns the end of the quarantine of a server's endpoints for a
// service; 0 if there is none.
func (q *Quarantine) Until(service model.ServiceID, s *model.Server) model.Time {
	var until model.Time
	if len(q.released) == 0 {
		return until
	}
	for _, e := range []endpoint{{false, s.FlowAddress}, {true, s.RequestAddress}} {
		if u, ok := q.released[e]; ok && u.service != service {
			until = max(until, u.until)
		}
	}
	return until
}
