package note

import (
	"encoding/binary"
	"net/netip"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/core/placement"
)

// Apply returns the configuration that results from applying the note to old,
// which is nil before the first note. It does not modify old; the result shares
// the parts that the note does not change. The error is a *Refusal; no part of a
// refused note is applied.
func Apply(old *model.Configuration, n *Note) (*model.Configuration, error) {
	if n.Format != Format {
		return nil, Refuse(model.ReasonNoteFormat, "format %d, supported is %d", n.Format, Format)
	}
	if old == nil {
		old = &model.Configuration{}
	}
	if n.Version == 0 {
		return nil, Refuse(model.ReasonNoteMalformed, "version is 0")
	}
	if n.Version <= old.Version {
		return nil, Refuse(model.ReasonNoteOld, "version %d, in force is %d", n.Version, old.Version)
	}
	if n.Base != 0 && n.Base != old.Version {
		return nil, Refuse(model.ReasonNoteGap, "base %d, in force is %d", n.Base, old.Version)
	}
	if r := n.checkLists(); r != nil {
		return nil, r
	}
	if n.Base == 0 {
		if len(n.Added.Zones) > 0 || len(n.Changed.Services)+len(n.Changed.Servers) > 0 ||
			len(n.Withdrawn.Services)+len(n.Withdrawn.Servers) > 0 {
			return nil, contradiction("a complete configuration changes or withdraws something")
		}
		old = &model.Configuration{}
	}
	b := newBuilder(old)
	for _, step := range []func(*Note) *Refusal{b.applyZones, b.applyRemovals, b.applyServices, b.applyServers, b.checkUnique} {
		if r := step(n); r != nil {
			return nil, r
		}
	}
	return b.build(n.Version), nil
}

// builder constructs a new configuration. copied and removed have one entry for each
// service; byName and serviceOf hold indexes of services.
type builder struct {
	services       []model.Service
	copied         []bool // services whose server slice is not shared with the old configuration
	byName         map[string]int
	removed        []bool                 // services that the note withdraws
	serviceOf      map[model.ServerID]int // of the servers that the note names
	withdrawnZones []model.Zone
	changedServers map[model.ServerID]bool // added or changed by the note
}

func newBuilder(old *model.Configuration) *builder {
	b := &builder{
		services: slices.Clone(old.Services), copied: make([]bool, len(old.Services)), removed: make([]bool, len(old.Services)),
		byName: map[string]int{}, serviceOf: map[model.ServerID]int{}, withdrawnZones: slices.Clone(old.WithdrawnZones),
		changedServers: map[model.ServerID]bool{},
	}
	for i := range b.services {
		b.byName[b.services[i].Name] = i
	}
	return b
}

func (b *builder) applyZones(n *Note) *Refusal {
	for _, z := range n.Added.Zones {
		i := slices.Index(b.withdrawnZones, z)
		if i < 0 {
			return contradiction("zone %s returns but is not withdrawn", z)
		}
		b.withdrawnZones = slices.Delete(b.withdrawnZones, i, i+1)
	}
	for _, z := range n.Withdrawn.Zones {
		if slices.Contains(b.withdrawnZones, z) {
			return contradiction("zone %s is withdrawn already", z)
		}
		b.withdrawnZones = append(b.withdrawnZones, z)
	}
	slices.Sort(b.withdrawnZones)
	return nil
}

// locateServers fills serviceOf with the servers that the note names.
func (b *builder) locateServers(n *Note) {
	wanted := make(map[model.ServerID]bool, len(n.Withdrawn.Servers)+len(n.Changed.Servers)+len(n.Added.Servers))
	for _, id := range n.Withdrawn.Servers {
		wanted[id] = true
	}
	for i := range n.Changed.Servers {
		wanted[n.Changed.Servers[i].ID] = true
	}
	for i := range n.Added.Servers {
		wanted[n.Added.Servers[i].ID] = true
	}
	if len(wanted) == 0 {
		return
	}
	for i := range b.services {
		for j := range b.services[i].Servers {
			if id := b.services[i].Servers[j].ID; wanted[id] {
				b.serviceOf[id] = i
			}
		}
	}
}

func (b *builder) applyRemovals(n *Note) *Refusal {
	b.locateServers(n)
	for _, id := range n.Withdrawn.Servers {
		i, ok := b.serviceOf[id]
		if !ok {
			return contradiction("withdrawn server %s does not exist", id)
		}
		b.removeServer(i, id)
	}
	for _, name := range n.Withdrawn.Services {
		i, ok := b.byName[name]
		if !ok {
			return contradiction("withdrawn service %s does not exist", name)
		}
		b.removed[i] = true
		delete(b.byName, name)
	}
	return nil
}

// mutableServers returns the servers of service i for modification. On first use it
// copies the slice, because the old configuration shares it.
func (b *builder) mutableServers(i int) *[]model.Server {
	if !b.copied[i] {
		b.services[i].Servers = slices.Clone(b.services[i].Servers)
		b.copied[i] = true
	}
	return &b.services[i].Servers
}

func (b *builder) removeServer(i int, id model.ServerID) {
	list := b.mutableServers(i)
	if j, ok := findServer(*list, id); ok {
		*list = slices.Delete(*list, j, j+1)
	}
	delete(b.serviceOf, id)
}

// findServer returns the index of a server in a list that is sorted by ID.
func findServer(list []model.Server, id model.ServerID) (int, bool) {
	return slices.BinarySearchFunc(list, id, func(s model.Server, id model.ServerID) int {
		return strings.Compare(string(s.ID), string(id))
	})
}

func (b *builder) applyServices(n *Note) *Refusal {
	for _, s := range n.Changed.Services {
		i, ok := b.byName[s.Name]
		if !ok {
			return contradiction("changed service %s does not exist", s.Name)
		}
		if s.ID != b.services[i].ID {
			return contradiction("changed service %s has id %d, in force is %d", s.Name, s.ID, b.services[i].ID)
		}
		s.Servers = b.services[i].Servers
		b.services[i] = s
	}
	for _, s := range n.Added.Services {
		if _, ok := b.byName[s.Name]; ok {
			return contradiction("added service %s exists already", s.Name)
		}
		s.Servers = nil
		b.byName[s.Name] = len(b.services)
		b.services = append(b.services, s)
		b.copied = append(b.copied, true)
		b.removed = append(b.removed, false)
	}
	return nil
}

func (b *builder) applyServers(n *Note) *Refusal {
	// All changed servers are removed before any is added again, because removeServer
	// searches a sorted list and addServer appends to it.
	for i := range n.Changed.Servers {
		id := n.Changed.Servers[i].ID
		from, ok := b.serviceOf[id]
		if !ok || b.removed[from] {
			return contradiction("changed server %s does not exist", id)
		}
		b.removeServer(from, id)
	}
	for i := range n.Changed.Servers {
		if r := b.addServer(&n.Changed.Servers[i]); r != nil {
			return r
		}
	}
	for i := range n.Added.Servers {
		s := &n.Added.Servers[i]
		if from, ok := b.serviceOf[s.ID]; ok && !b.removed[from] {
			return contradiction("added server %s exists already", s.ID)
		}
		if r := b.addServer(s); r != nil {
			return r
		}
	}
	for i := range b.services {
		if b.copied[i] {
			b.services[i].Servers = slices.Clone(b.services[i].Servers) // drops the spare capacity of append
			slices.SortFunc(b.services[i].Servers, func(a, b model.Server) int {
				return strings.Compare(string(a.ID), string(b.ID))
			})
		}
	}
	return nil
}

func (b *builder) addServer(s *Server) *Refusal {
	i, ok := b.byName[s.Service]
	if !ok {
		return contradiction("server %s belongs to unknown service %q", s.ID, s.Service)
	}
	list := b.mutableServers(i)
	*list = append(*list, s.Server)
	b.changedServers[s.ID] = true
	return nil
}

// checkUnique checks the values that must be unique in the whole configuration.
// Server addresses are collected only for servers that the note adds or changes,
// so the memory for them depends on the size of the note and not on that of the
// configuration.
func (b *builder) checkUnique(*Note) *Refusal {
	ids, hosts, virtual := map[model.ServiceID]string{}, map[string]string{}, map[netip.AddrPort]string{}
	flows := map[netip.AddrPort]model.ServerID{}
	requests := map[netip.AddrPort]model.ServerID{}
	for i := range b.services {
		if b.removed[i] {
			continue
		}
		s := &b.services[i]
		if other, dup := ids[s.ID]; dup {
			return contradiction("services %s and %s have the same id %d", other, s.Name, s.ID)
		}
		if other, dup := hosts[s.Host]; dup {
			return contradiction("services %s and %s have the same host %s", other, s.Name, s.Host)
		}
		if other, dup := virtual[s.VirtualAddress]; dup {
			return contradiction("services %s and %s have the same virtual address %s", other, s.Name, s.VirtualAddress)
		}
		ids[s.ID], hosts[s.Host], virtual[s.VirtualAddress] = s.Name, s.Name, s.Name
		if !b.copied[i] {
			continue
		}
		numbers := make(map[uint32]model.ServerID, len(s.Servers))
		for j := range s.Servers {
			v := &s.Servers[j]
			number := placement.ServerNumber(v.ID)
			if other, dup := numbers[number]; dup {
				return contradiction("servers %s and %s of service %s have the same number %08x", other, v.ID, s.Name, number)
			}
			numbers[number] = v.ID
			if !b.changedServers[v.ID] {
				continue
			}
			if other, dup := flows[v.FlowAddress]; dup && v.FlowAddress.IsValid() {
				return contradiction("servers %s and %s have the same flow address %s", other, v.ID, v.FlowAddress)
			}
			if other, dup := requests[v.RequestAddress]; dup && v.RequestAddress.IsValid() {
				return contradiction("servers %s and %s have the same request address %s", other, v.ID, v.RequestAddress)
			}
			flows[v.FlowAddress], requests[v.RequestAddress] = v.ID, v.ID
		}
	}
	return b.checkUniqueAddresses(flows, requests)
}

// checkUniqueAddresses compares the addresses of the added and changed servers
// with those of all servers.
func (b *builder) checkUniqueAddresses(flows, requests map[netip.AddrPort]model.ServerID) *Refusal {
	if len(b.changedServers) == 0 {
		return nil
	}
	for i := range b.services {
		if b.removed[i] {
			continue
		}
		for j := range b.services[i].Servers {
			v := &b.services[i].Servers[j]
			if other, ok := flows[v.FlowAddress]; ok && other != v.ID && v.FlowAddress.IsValid() {
				return contradiction("servers %s and %s have the same flow address %s", other, v.ID, v.FlowAddress)
			}
			if other, ok := requests[v.RequestAddress]; ok && other != v.ID && v.RequestAddress.IsValid() {
				return contradiction("servers %s and %s have the same request address %s", other, v.ID, v.RequestAddress)
			}
		}
	}
	return nil
}

func (b *builder) build(version model.Version) *model.Configuration {
	c := &model.Configuration{Version: version, WithdrawnZones: b.withdrawnZones}
	for i := range b.services {
		if !b.removed[i] {
			c.Services = append(c.Services, b.services[i])
		}
	}
	slices.SortFunc(c.Services, func(a, b model.Service) int { return int(a.ID) - int(b.ID) })
	c.Digest = Digest(c)
	return c
}

// Digest returns a hash of the whole configuration. It depends only on the
// contents and not on the notes from which they result.
func Digest(c *model.Configuration) uint64 {
	h := hasher{xxhash.New(), nil}
	h.number(uint64(c.Version))
	for _, z := range c.WithdrawnZones {
		h.text(string(z))
	}
	for i := range c.Services {
		s := &c.Services[i]
		h.number(uint64(s.ID))
		for _, t := range []string{s.Name, s.Tenant, s.Host} {
			h.text(t)
		}
		h.address(s.VirtualAddress)
		h.number(uint64(s.IdleTimeout))
		h.number(uint64(s.RequestTimeout))
		h.number(uint64(s.MaxBody))
		h.number(uint64(len(s.Kinds)))
		for _, k := range s.Kinds {
			for _, t := range []string{k.Name, k.Method, k.PathPrefix, k.Class} {
				h.text(t)
			}
			h.number(uint64(k.Share))
			if k.Priority != model.LowestPriority {
				// Left out otherwise, so that instances of versions without priorities agree.
				h.number(uint64(k.Priority) + 2)
			}
			if k.Idempotent {
				h.number(1)
			} else {
				h.number(0)
			}
		}
		h.number(uint64(len(s.Servers)))
		for j := range s.Servers {
			v := &s.Servers[j]
			h.text(string(v.ID))
			h.text(string(v.Zone))
			h.address(v.FlowAddress)
			h.address(v.RequestAddress)
			h.number(uint64(v.Weight)<<48 | uint64(v.Slots)<<32 | uint64(v.Connections))
			h.number(uint64(v.State))
		}
		h.flush()
	}
	h.flush()
	return h.d.Sum64()
}

// hasher hashes the canonical binary form of a configuration, which it buffers.
type hasher struct {
	d   *xxhash.Digest
	buf []byte
}

func (h *hasher) number(v uint64) { h.buf = binary.LittleEndian.AppendUint64(h.buf, v) }

func (h *hasher) text(s string) {
	h.number(uint64(len(s)))
	h.buf = append(h.buf, s...)
}

func (h *hasher) address(a netip.AddrPort) {
	b := a.Addr().As16()
	if !a.IsValid() {
		b = [16]byte{}
	}
	h.buf = append(h.buf, b[:]...)
	h.number(uint64(a.Port()))
}

func (h *hasher) flush() {
	_, _ = h.d.Write(h.buf) // never fails
	h.buf = h.buf[:0]
}
