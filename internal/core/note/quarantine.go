package note

import (
	"net/netip"
	"time"

	"github.com/savorytiller/savorytiller/internal/core/model"
)

// AddressQuarantine is how long an endpoint that moves from one service to another
// gets no new work for the new service. It is longer than the lifetime of a view
// (control.ViewLifetime), so an outdated view that uses the endpoint for the old
// service has expired by then.
const AddressQuarantine = 10 * time.Second

// endpoint is an address with its transport protocol: flow addresses are UDP,
// request addresses are TCP.
type endpoint struct {
	request bool
	address netip.AddrPort
}

// releasedEndpoint is the quarantine of an endpoint that a service no longer uses.
type releasedEndpoint struct {
	service model.ServiceID // last service that used the endpoint
	until   model.Time      // end of the quarantine for other services
}

// Quarantine records which service last used each released endpoint.
type Quarantine struct {
	released map[endpoint]releasedEndpoint
}

// Track records the endpoints that are released by a change of the configuration,
// and deletes expired quarantines. It skips services whose server slice is the same
// in both configurations: Apply shares the slice as long as no server changes.
func (q *Quarantine) Track(old, next *model.Configuration, now model.Time) {
	if q.released == nil {
		q.released = map[endpoint]releasedEndpoint{}
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
					q.released[e] = releasedEndpoint{before.ID, now.Add(AddressQuarantine)}
				}
			}
		}
	}
}

// Until returns when the quarantine of a server's endpoints ends for the given
// service; 0 if they are not quarantined.
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
