package catalog

import (
	"cmp"
	"slices"

	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/core/steering"
)

// Fill builds the parts of a snapshot that come from the registry, and returns
// when they change next without a new entry; 0 for never. The home function
// reports whether this instance is the one that may open flows on a cold server.
func (c *Catalog) Fill(now model.Time, s *steering.Snapshot, home func(model.ServerID, model.Zone) bool) model.Time {
	b := builder{catalog: c, now: now, home: home}
	s.IdleTimeout, s.Lifetime = c.settings.DefaultIdleTimeout, c.settings.Lifetime
	if c.config != nil {
		s.Version = c.config.Version
		s.Routes = c.routes
		if c.config.IdleTimeout > 0 {
			s.IdleTimeout = c.config.IdleTimeout
		}
	}
	s.Services = b.services()
	s.Servers = steering.NewTokenIndex(b.servers)
	return b.next
}

// builder collects the servers of one snapshot.
type builder struct {
	catalog *Catalog
	now     model.Time
	home    func(model.ServerID, model.Zone) bool
	next    model.Time
	servers []*steering.Server
}

// at notes a time in the future at which the snapshot changes.
func (b *builder) at(t model.Time) {
	if t.After(b.now) && (b.next == 0 || t.Before(b.next)) {
		b.next = t
	}
}

func (b *builder) services() map[string]*steering.Service {
	services := map[string]*steering.Service{}
	if b.catalog.config != nil {
		for i := range b.catalog.config.Services {
			s := &b.catalog.config.Services[i]
			services[s.Name] = &steering.Service{Name: s.Name, ColdPerSecond: s.ColdPerSecond}
		}
	}
	for _, s := range b.catalog.servers {
		server := b.server(s)
		b.servers = append(b.servers, server)
		if service := services[server.Service]; service != nil && b.takesFlows(s) {
			service.Servers = append(service.Servers, server)
		}
	}
	for _, s := range services {
		slices.SortFunc(s.Servers, func(a, b *steering.Server) int { return cmp.Compare(a.ID, b.ID) })
	}
	return services
}

// server returns what traffic needs of a run of a server.
func (b *builder) server(s *server) *steering.Server {
	e := &s.entry
	out := &steering.Server{ID: e.ID, Number: e.Number, Address: e.Address, Service: e.Service, Zone: e.Zone,
		Slots: e.Slots, State: e.State, Started: e.Started, ColdUntil: s.coldUntil,
		ProbeResult: s.reach, ProbeSentAt: s.reachAt, Probing: s.probing}
	if back, ok := b.catalog.returned[e.Zone]; ok {
		out.ColdUntil = max(out.ColdUntil, back.Add(ReturnWatch))
	}
	if out.ColdUntil.After(b.now) {
		b.at(out.ColdUntil)
		out.ColdHome = b.home(e.ID, e.Zone)
	} else {
		out.ColdUntil = 0
	}
	if s.unlisted != 0 {
		out.Terminated = b.departed(s)
		out.Unlisted = !out.Terminated && b.gone(s)
	}
	return out
}

// takesFlows reports whether a server may get new flows. A server that vanished
// without draining may, for a while, since its entry may return.
func (b *builder) takesFlows(s *server) bool {
	return s.entry.State == model.ServerActive && !b.catalog.withdrawn[s.entry.Zone] && !b.gone(s)
}

// departed reports whether a server that is not listed has ended. A missing entry alone
// does not show it: servers that are cut off from the registry go on serving. One
// that had announced its end has left.
func (b *builder) departed(s *server) bool {
	return s.replaced || s.reach == Ended ||
		b.gone(s) && (s.entry.State == model.ServerDraining || s.reach == Unreachable)
}

// gone reports whether a server has ended as far as new flows go.
func (b *builder) gone(s *server) bool {
	if s.replaced || s.reach == Ended {
		return true
	}
	if s.unlisted == 0 {
		return false
	}
	at, ok := b.catalog.vanishedAt(s)
	if ok {
		b.at(at)
	}
	return ok && !at.After(b.now)
}

// All returns what the registry holds as entries, in the order of their keys.
func (c *Catalog) All() []Entry {
	var all []Entry
	if c.config != nil {
		all = append(all, Entry{Key: c.configKey, Revision: c.revisions[c.configKey], Config: c.config})
	}
	for key, h := range c.listed {
		e := Entry{Key: key, Revision: c.revisions[key], Withdrawn: h.zone}
		if s := c.servers[h.run]; h.zone == "" && s != nil {
			entry := s.entry
			e.Server = &entry
		}
		all = append(all, e)
	}
	slices.SortFunc(all, func(a, b Entry) int { return cmp.Compare(a.Key, b.Key) })
	return all
}
