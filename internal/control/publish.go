package control

import (
	"slices"
	"time"

	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/core/placement"
	"github.com/savorytiller/savorytiller/internal/core/table"
	"github.com/savorytiller/savorytiller/internal/core/view"
)

// ViewLifetime is how long traffic may use a view. The view is renewed every
// viewRenewInterval, so a late timer does not stop traffic. ViewLifetime is shorter
// than note.AddressQuarantine, so no outdated view outlives a quarantine.
const (
	ViewLifetime      = 3 * time.Second
	viewRenewInterval = time.Second
)

// viewPublisher builds the views. Views share the parts that did not change, because
// the maps of 30,000 servers take megabytes.
type viewPublisher struct {
	sequence uint64
	servers  map[model.ServerID]*view.Server
	byNumber map[view.ServerRef]*view.Server
	tables   map[model.ServiceID]*table.History
	members  *placement.Members
	self     model.Member
	config   *model.Configuration
}

// setConfig sets the configuration and builds the lookup tables of the services
// that changed.
func (p *viewPublisher) setConfig(c *model.Configuration, now model.Time) {
	old := p.config
	sameZones := old != nil && slices.Equal(old.WithdrawnZones, c.WithdrawnZones)
	tables := make(map[model.ServiceID]*table.History, len(c.Services))
	for i := range c.Services {
		s := &c.Services[i]
		history := p.tables[s.ID]
		var oldService *model.Service
		if old != nil {
			oldService = old.Service(s.ID)
		}
		if history != nil && sameZones && oldService != nil && sameServers(oldService.Servers, s.Servers) {
			tables[s.ID] = history
			continue
		}
		tables[s.ID] = history.Push(table.NewGeneration(c, s), now)
	}
	p.tables, p.config = tables, c
}

// sameServers reports whether two lists are the same slice. When a note is applied,
// the new configuration shares the lists that did not change.
func sameServers(a, b []model.Server) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// fillServer sets the fields of a server that depend on its health and on this
// instance: its warmth, whether it gets new work, and how much.
type fillServer func(s *view.Server)

// build returns the next view. If rebuild is false, it keeps the servers of the
// previous view.
func (p *viewPublisher) build(now model.Time, rebuild, leaving bool, fill fillServer) *view.View {
	p.sequence++
	if rebuild && p.config != nil {
		p.rebuild(fill)
	}
	return &view.View{
		Sequence: p.sequence, FreshUntil: now.Add(ViewLifetime), Self: p.self, Config: p.config, Members: p.members,
		Tables: p.tables, Servers: p.servers, ByNumber: p.byNumber, ShuttingDown: leaving,
	}
}

func (p *viewPublisher) rebuild(fill fillServer) {
	count := 0
	for i := range p.config.Services {
		count += len(p.config.Services[i].Servers)
	}
	servers := make(map[model.ServerID]*view.Server, count)
	byNumber := make(map[view.ServerRef]*view.Server, count)
	withdrawn := map[model.Zone]bool{}
	for _, z := range p.config.WithdrawnZones {
		withdrawn[z] = true
	}
	for i := range p.config.Services {
		service := &p.config.Services[i]
		for j := range service.Servers {
			if withdrawn[service.Servers[j].Zone] {
				continue
			}
			next := view.Server{Server: service.Servers[j], Service: service.ID,
				Number: placement.ServerNumber(service.Servers[j].ID)}
			fill(&next)
			kept := p.servers[next.ID]
			if kept == nil || !equalServer(kept, &next) {
				kept = &view.Server{}
				*kept = next
			}
			servers[next.ID] = kept
			byNumber[view.ServerRef{Service: service.ID, Number: next.Number}] = kept
		}
	}
	p.servers, p.byNumber = servers, byNumber
}

func equalServer(a, b *view.Server) bool {
	return a.Server == b.Server && a.Service == b.Service && a.Number == b.Number && a.Warmth == b.Warmth &&
		a.Reason == b.Reason && a.NewWork == b.NewWork && a.SlotLimit == b.SlotLimit &&
		a.FlowsHomeOnly == b.FlowsHomeOnly && a.ConnectionLimit == b.ConnectionLimit && slices.Equal(a.Slots, b.Slots)
}

// connectionShare returns this instance's share of a server's connections, given the
// number of live instances in its zone.
func connectionShare(connections uint32, live int) uint32 {
	if live <= 0 {
		return 0
	}
	return connections / uint32(live)
}
