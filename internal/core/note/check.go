package note

import (
	"net/netip"
	"time"

	"github.com/savorytiller/savorytiller/internal/core/model"
)

// Limits of values in a note.
const (
	MaxName  = 128 // bytes
	MaxKinds = 64  // request kinds of one service
	// MaxTimeout ensures that calculations with durations cannot overflow.
	MaxTimeout = 24 * time.Hour
	MaxBody    = 1 << 40 // bytes
)

// Defaults for values that are 0 in a note.
const (
	DefaultIdleTimeout    = 15 * time.Minute
	DefaultRequestTimeout = 5 * time.Second
	DefaultMaxBody        = 4 << 20 // bytes
)

func contradiction(format string, args ...any) *Refusal {
	return Refuse(model.ReasonNoteContradictory, format, args...)
}

func checkName(what, name string) *Refusal {
	if name == "" || len(name) > MaxName {
		return Refuse(model.ReasonNoteMalformed, "%s has %d bytes, allowed are 1 to %d", what, len(name), MaxName)
	}
	return nil
}

// checkService validates a service and sets defaults.
func checkService(s *model.Service) *Refusal {
	if r := checkName("service name", s.Name); r != nil {
		return r
	}
	if r := checkName("host of service "+s.Name, s.Host); r != nil {
		return r
	}
	if s.ID < 1 || s.ID > model.MaxServiceID {
		return contradiction("service %s has id %d, allowed are 1 to %d", s.Name, s.ID, model.MaxServiceID)
	}
	if !s.VirtualAddress.IsValid() || !s.VirtualAddress.Addr().Is4() || s.VirtualAddress.Port() == 0 {
		return Refuse(model.ReasonNoteMalformed, "service %s has virtual address %s, expected an IPv4 address and port",
			s.Name, s.VirtualAddress)
	}
	for _, d := range []time.Duration{s.IdleTimeout, s.RequestTimeout} {
		if d < 0 || d > MaxTimeout {
			return contradiction("service %s has timeout %s, allowed are 0 to %s", s.Name, d, MaxTimeout)
		}
	}
	if s.MaxBody < 0 || s.MaxBody > MaxBody {
		return contradiction("service %s has max_body_bytes %d", s.Name, s.MaxBody)
	}
	if s.IdleTimeout == 0 {
		s.IdleTimeout = DefaultIdleTimeout
	}
	if s.RequestTimeout == 0 {
		s.RequestTimeout = DefaultRequestTimeout
	}
	if s.MaxBody == 0 {
		s.MaxBody = DefaultMaxBody
	}
	return checkKinds(s)
}

func checkKinds(s *model.Service) *Refusal {
	if len(s.Kinds) > MaxKinds {
		return contradiction("service %s has %d kinds, allowed are %d", s.Name, len(s.Kinds), MaxKinds)
	}
	names, shares, priorities, sum := map[string]bool{}, map[string]uint8{}, map[string]uint8{}, 0
	for _, k := range s.Kinds {
		if r := checkName("kind name of service "+s.Name, k.Name); r != nil {
			return r
		}
		if names[k.Name] {
			return contradiction("service %s has kind %s twice", s.Name, k.Name)
		}
		names[k.Name] = true
		if share, seen := shares[k.Class]; seen && share != k.Share {
			return contradiction("service %s gives class %q two shares, %d and %d", s.Name, k.Class, share, k.Share)
		} else if !seen {
			shares[k.Class] = k.Share
			sum += int(k.Share)
		}
		if k.Priority > model.MaxStatedPriority && k.Priority != model.LowestPriority {
			return contradiction("service %s has kind %s with priority %d, allowed are 0 to %d", s.Name, k.Name, k.Priority, model.MaxStatedPriority)
		}
		if priority, seen := priorities[k.Class]; seen && priority != k.Priority {
			return contradiction("service %s gives class %q two priorities, %d and %d (%d: none stated)", s.Name, k.Class, priority, k.Priority, model.LowestPriority)
		}
		priorities[k.Class] = k.Priority
	}
	if sum > 100 {
		return contradiction("service %s guarantees %d percent of its slots", s.Name, sum)
	}
	return nil
}

// checkServer validates a server.
func checkServer(s *Server) *Refusal {
	if r := checkName("server id", string(s.ID)); r != nil {
		return r
	}
	if r := checkName("zone of server "+string(s.ID), string(s.Zone)); r != nil {
		return r
	}
	if s.Weight < 1 || s.Weight > model.MaxWeight {
		return contradiction("server %s has weight %d, allowed are 1 to %d", s.ID, s.Weight, model.MaxWeight)
	}
	if s.Slots < 1 || s.Slots > model.MaxSlots {
		return contradiction("server %s has %d slots, allowed are 1 to %d", s.ID, s.Slots, model.MaxSlots)
	}
	if s.Connections < 1 || s.Connections > model.MaxConnections {
		return contradiction("server %s has %d connections, allowed are 1 to %d", s.ID, s.Connections, model.MaxConnections)
	}
	if !s.FlowAddress.IsValid() && !s.RequestAddress.IsValid() {
		return Refuse(model.ReasonNoteMalformed, "server %s has neither a flow address nor a request address", s.ID)
	}
	for _, a := range []netip.AddrPort{s.FlowAddress, s.RequestAddress} {
		if a != (netip.AddrPort{}) && (!a.IsValid() || a.Port() == 0 || a.Addr().IsUnspecified()) {
			return Refuse(model.ReasonNoteMalformed, "server %s has address %s", s.ID, a)
		}
	}
	return nil
}

// checkLists validates all entries of a note. It refuses a note that names a zone,
// service or server more than once.
func (n *Note) checkLists() *Refusal {
	seen := map[string]bool{}
	checkOnce := func(kind, name string) *Refusal {
		if seen[kind+name] {
			return contradiction("%s %s is named twice", kind, name)
		}
		seen[kind+name] = true
		return nil
	}
	var r *Refusal
	keepFirst := func(next *Refusal) {
		if r == nil {
			r = next
		}
	}
	for _, set := range []*Set{&n.Added, &n.Changed} {
		for _, z := range set.Zones {
			keepFirst(checkOnce("zone", string(z)))
		}
		for i := range set.Services {
			keepFirst(checkOnce("service", set.Services[i].Name))
			keepFirst(checkService(&set.Services[i]))
		}
		for i := range set.Servers {
			keepFirst(checkOnce("server", string(set.Servers[i].ID)))
			keepFirst(checkServer(&set.Servers[i]))
		}
	}
	for _, z := range n.Withdrawn.Zones {
		keepFirst(checkName("zone", string(z)))
		keepFirst(checkOnce("zone", string(z)))
	}
	for _, s := range n.Withdrawn.Services {
		keepFirst(checkOnce("service", s))
	}
	for _, s := range n.Withdrawn.Servers {
		keepFirst(checkOnce("server", string(s)))
	}
	return r
}
