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

// Apply returns the configuration after the note. The given configuration, nil
// before the first note, stays unchanged and shares the parts that the note
// does not touch. The error is a *Refusal; nothing of a refused note is used.
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
	w := newWork(old)
	for _, step := range []func(*Note) *Refusal{w.zones, w.removals, w.services, w.servers, w.unique} {
		if r := step(n); r != nil {
			return nil, r
		}
	}
	return w.finish(n.Version), nil
}

// work is a configuration under construction.
type work struct {
	list     []model.Service
	owned    []bool // services whose server slice is a copy of its own
	byName   map[string]int
	gone     []bool
	serverIn map[model.ServerID]int
	withdraw []model.Zone
	touched  map[model.ServerID]bool
}

func newWork(old *model.Configuration) *work {
	w := &work{
		list: slices.Clone(old.Services), owned: make([]bool, len(old.Services)), gone: make([]bool, len(old.Services)),
		byName: map[string]int{}, serverIn: map[model.ServerID]int{}, withdraw: slices.Clone(old.WithdrawnZones),
		touched: map[model.ServerID]bool{},
	}
	for i := range w.list {
		w.byName[w.list[i].Name] = i
	}
	return w
}

func (w *work) zones(n *Note) *Refusal {
	for _, z := range n.Added.Zones {
		i := slices.Index(w.withdraw, z)
		if i < 0 {
			return contradiction("zone %s returns but is not withdrawn", z)
		}
		w.withdraw = slices.Delete(w.withdraw, i, i+1)
	}
	for _, z := range n.Withdrawn.Zones {
		if slices.Contains(w.withdraw, z) {
			return contradiction("zone %s is withdrawn already", z)
		}
		w.withdraw = append(w.withdraw, z)
	}
	slices.Sort(w.withdraw)
	return nil
}

// locate finds the services of the servers that the note changes or withdraws.
func (w *work) locate(n *Note) {
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
	for i := range w.list {
		for j := range w.list[i].Servers {
			if id := w.list[i].Servers[j].ID; wanted[id] {
				w.serverIn[id] = i
			}
		}
	}
}

func (w *work) removals(n *Note) *Refusal {
	w.locate(n)
	for _, id := range n.Withdrawn.Servers {
		i, ok := w.serverIn[id]
		if !ok {
			return contradiction("withdrawn server %s does not exist", id)
		}
		w.remove(i, id)
	}
	for _, name := range n.Withdrawn.Services {
		i, ok := w.byName[name]
		if !ok {
			return contradiction("withdrawn service %s does not exist", name)
		}
		w.gone[i] = true
		delete(w.byName, name)
	}
	return nil
}

func (w *work) own(i int) *[]model.Server {
	if !w.owned[i] {
		w.list[i].Servers = slices.Clone(w.list[i].Servers)
		w.owned[i] = true
	}
	return &w.list[i].Servers
}

func (w *work) remove(i int, id model.ServerID) {
	list := w.own(i)
	if j, ok := findServer(*list, id); ok {
		*list = slices.Delete(*list, j, j+1)
	}
	delete(w.serverIn, id)
}

func findServer(list []model.Server, id model.ServerID) (int, bool) {
	return slices.BinarySearchFunc(list, id, func(s model.Server, id model.ServerID) int {
		return strings.Compare(string(s.ID), string(id))
	})
}

func (w *work) services(n *Note) *Refusal {
	for _, s := range n.Changed.Services {
		i, ok := w.byName[s.Name]
		if !ok {
			return contradiction("changed service %s does not exist", s.Name)
		}
		if s.ID != w.list[i].ID {
			return contradiction("changed service %s has id %d, in force is %d", s.Name, s.ID, w.list[i].ID)
		}
		s.Servers = w.list[i].Servers
		w.list[i] = s
	}
	for _, s := range n.Added.Services {
		if _, ok := w.byName[s.Name]; ok {
			return contradiction("added service %s exists already", s.Name)
		}
		s.Servers = nil
		w.byName[s.Name] = len(w.list)
		w.list = append(w.list, s)
		w.owned = append(w.owned, true)
		w.gone = append(w.gone, false)
	}
	return nil
}

func (w *work) servers(n *Note) *Refusal {
	for i := range n.Changed.Servers {
		s := &n.Changed.Servers[i]
		from, ok := w.serverIn[s.ID]
		if !ok || w.gone[from] {
			return contradiction("changed server %s does not exist", s.ID)
		}
		w.remove(from, s.ID)
		if r := w.place(s); r != nil {
			return r
		}
	}
	for i := range n.Added.Servers {
		s := &n.Added.Servers[i]
		if from, ok := w.serverIn[s.ID]; ok && !w.gone[from] {
			return contradiction("added server %s exists already", s.ID)
		}
		if r := w.place(s); r != nil {
			return r
		}
	}
	for i := range w.list {
		if w.owned[i] {
			w.list[i].Servers = slices.Clone(w.list[i].Servers) // without the spare room of append
			slices.SortFunc(w.list[i].Servers, func(a, b model.Server) int {
				return strings.Compare(string(a.ID), string(b.ID))
			})
		}
	}
	return nil
}

func (w *work) place(s *Server) *Refusal {
	i, ok := w.byName[s.Service]
	if !ok {
		return contradiction("server %s belongs to unknown service %q", s.ID, s.Service)
	}
	list := w.own(i)
	*list = append(*list, s.Server)
	w.touched[s.ID] = true
	return nil
}

// unique checks the values that may exist once in the whole configuration. It
// compares only against what the note touches, so its memory follows the size
// of the note and not of the configuration.
func (w *work) unique(*Note) *Refusal {
	ids, hosts, virtual := map[model.ServiceID]string{}, map[string]string{}, map[netip.AddrPort]string{}
	flows := map[netip.AddrPort]model.ServerID{}
	requests := map[netip.AddrPort]model.ServerID{}
	for i := range w.list {
		if w.gone[i] {
			continue
		}
		s := &w.list[i]
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
		if !w.owned[i] {
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
			if !w.touched[v.ID] {
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
	return w.uniqueAddresses(flows, requests)
}

func (w *work) uniqueAddresses(flows, requests map[netip.AddrPort]model.ServerID) *Refusal {
	if len(w.touched) == 0 {
		return nil
	}
	for i := range w.list {
		if w.gone[i] {
			continue
		}
		for j := range w.list[i].Servers {
			v := &w.list[i].Servers[j]
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

func (w *work) finish(version model.Version) *model.Configuration {
	c := &model.Configuration{Version: version, WithdrawnZones: w.withdraw}
	for i := range w.list {
		if !w.gone[i] {
			c.Services = append(c.Services, w.list[i])
		}
	}
	slices.SortFunc(c.Services, func(a, b model.Service) int { return int(a.ID) - int(b.ID) })
	c.Digest = Digest(c)
	return c
}

// Digest returns the hash over a whole configuration. It depends on the
// contents only, not on the notes that led to them.
func Digest(c *model.Configuration) uint64 {
	h := digest{xxhash.New(), nil}
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

// digest collects the canonical binary form of a configuration.
type digest struct {
	d   *xxhash.Digest
	buf []byte
}

func (h *digest) number(v uint64) { h.buf = binary.LittleEndian.AppendUint64(h.buf, v) }

func (h *digest) text(s string) {
	h.number(uint64(len(s)))
	h.buf = append(h.buf, s...)
}

func (h *digest) address(a netip.AddrPort) {
	b := a.Addr().As16()
	if !a.IsValid() {
		b = [16]byte{}
	}
	h.buf = append(h.buf, b[:]...)
	h.number(uint64(a.Port()))
}

func (h *digest) flush() {
	_, _ = h.d.Write(h.buf) // never fails
	h.buf = h.buf[:0]
}
