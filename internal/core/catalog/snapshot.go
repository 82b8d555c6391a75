package catalog

import (
	"cmp"
	"slices"

	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/core/steering"
)

// Fill sets the parts of a snapshot that come from the registry. It returns when they next
// change without a new entry; 0 for never. The home function reports whether this
// instance is the one that may send new flows to a cold server.
func (c *Catalog) Fill(now model.Time, s *steering.Snapshot, home func(model.ServerID, model.Zone) bool) model.Time {
	b := builder{catalog: c, now: now, home: home}
	s.IdleTimeout, s.Lifetime, s.Settled = c.settings.DefaultIdleTimeout, c.settings.Lifetime, c.Settled(now)
	s.Availability = c.registry
	inDoubt, until := c.ZoneInDoubt(now, s.Zone)
	s.ZoneInDoubt = inDoubt && c.registry.ReachableSince == 0
	b.noteChangeAt(until)
	if at, ok := c.registry.GraceEndsAt(0); ok {
		b.noteChangeAt(at + 1) // Settled changes
	}
	if c.config != nil {
		s.Version = c.config.Version
		s.Routes, s.RemovedRoutes = c.routes, c.removedRoutes
		if c.config.IdleTimeout > 0 {
			s.IdleTimeout = c.config.IdleTimeout
		}
	}
	s.Services = b.services()
	s.Servers = steering.NewTokenIndex(b.servers)
	return b.nextChange
}

// builder collects the servers of one snapshot.
type builder struct {
	catalog    *Catalog
	now        model.Time
	home       func(model.ServerID, model.Zone) bool
	nextChange model.Time
	servers    []*steering.Server
}

// noteChangeAt records that the snapshot changes at t. nextChange is the earliest such
// time after now.
func (b *builder) noteChangeAt(t model.Time) {
	if t.After(b.now) && (b.nextChange == 0 || t.Before(b.nextChange)) {
		b.nextChange = t
	}
}

// services returns the configured services by name, with the servers that may get new
// flows. It also collects all servers in b.servers.
func (b *builder) services() map[string]*steering.Service {
	services := map[string]*steering.Service{}
	if b.catalog.config != nil {
		for i := range b.catalog.config.Services {
			s := &b.catalog.config.Services[i]
			services[s.Name] = &steering.Service{Name: s.Name, ColdPerSecond: s.ColdPerSecond}
		}
	}
	for _, s := range b.catalog.servers {
		if s.SupersededAt != 0 {
			continue // the packets of its flows are for the later run, see steering.Token
		}
		server := b.server(s)
		b.servers = append(b.servers, server)
		if service := services[server.Service]; service != nil && b.acceptsNewFlows(s) {
			service.Servers = append(service.Servers, server)
		}
	}
	for _, s := range services {
		slices.SortFunc(s.Servers, func(a, b *steering.Server) int { return cmp.Compare(a.ID, b.ID) })
	}
	return services
}

// server converts a run of a server for the snapshot.
func (b *builder) server(s *server) *steering.Server {
	e := &s.entry
	out := &steering.Server{ID: e.ID, Number: e.Number, Address: e.Address, Service: e.Service, Zone: e.Zone,
		Slots: e.Slots, Started: e.Started, Evidence: s.Evidence}
	out.ColdUntil, out.InDoubt = b.catalog.coldUntil(s)
	if out.ColdUntil.After(b.now) {
		b.noteChangeAt(out.ColdUntil)
		out.ColdHome = b.home(e.ID, e.Zone)
	} else {
		out.ColdUntil, out.InDoubt = 0, false
	}
	b.noteChangeAt(s.NextPhaseAt(b.now, &b.catalog.registry))
	return out
}

// acceptsNewFlows reports whether a server may get new flows.
func (b *builder) acceptsNewFlows(s *server) bool {
	accepts, next := s.AcceptsNewFlows(b.now, &b.catalog.registry)
	b.noteChangeAt(next)
	return accepts && !b.catalog.withdrawnZones[s.entry.Zone]
}

// Entries returns the known content of the registry as entries, sorted by key. It includes
// the unusable entries that are kept.
func (c *Catalog) Entries() []Entry {
	var all []Entry
	if c.config != nil {
		all = append(all, Entry{Key: c.configKey, Revision: c.revisions[c.configKey], Config: c.config})
	}
	for key, item := range c.listed {
		e := Entry{Key: key, Revision: c.revisions[key], Withdrawn: item.zone}
		if s := c.servers[item.run]; item.zone == "" && s != nil {
			entry := s.entry
			e.Server = &entry
		}
		all = append(all, e)
	}
	for key, e := range c.unusable {
		if _, ok := c.listed[key]; !ok && key != c.configKey {
			all = append(all, Entry{Key: key, Revision: e.Revision, Err: errUnusable})
		}
	}
	slices.SortFunc(all, func(a, b Entry) int { return cmp.Compare(a.Key, b.Key) })
	return all
}
