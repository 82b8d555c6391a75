package room

import (
	"cmp"
	"slices"
	"time"
)

// Limits of the entries of one report.
const (
	// MaxClasses is the largest number of classes. Those with the least load are left out.
	MaxClasses = 64
	// serversPerSecond is the number of servers whose load an instance sends per second, in
	// rotation.
	serversPerSecond = 64
)

// Rotation selects the servers of consecutive reports in turn.
type Rotation struct{ last uint32 }

// Select returns the part of a report that is sent: the classes with the most load, and some of
// the servers. With an interval of 250 ms these are 16 servers.
func (s *Rotation) Select(r *Report) *Report {
	out := *r
	if len(r.Classes) > MaxClasses {
		out.Classes = busiest(r.Classes)
	}
	n := min(max(1, int(serversPerSecond*r.Interval/time.Second)), serversPerSecond)
	if len(r.Servers) <= n {
		return &out
	}
	tokens := make([]uint32, 0, len(r.Servers))
	for token := range r.Servers {
		tokens = append(tokens, token)
	}
	slices.Sort(tokens)
	first, found := slices.BinarySearch(tokens, s.last)
	if found {
		first++
	}
	out.Servers = make(map[uint32]ServerLoad, n)
	for i := range n {
		s.last = tokens[(first+i)%len(tokens)]
		out.Servers[s.last] = r.Servers[s.last]
	}
	return &out
}

// busiest returns the MaxClasses classes with the most load.
func busiest(classes map[Class]Counters) map[Class]Counters {
	type entry struct {
		Class
		load float64
	}
	var all []entry
	for class, c := range classes {
		all = append(all, entry{class, c.InProgress + c.Arrivals + c.Completed + c.Refused})
	}
	slices.SortFunc(all, func(a, b entry) int {
		return cmp.Or(cmp.Compare(b.load, a.load), cmp.Compare(a.Service, b.Service), cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Priority, b.Priority))
	})
	out := make(map[Class]Counters, MaxClasses)
	for _, e := range all[:MaxClasses] {
		out[e.Class] = classes[e.Class]
	}
	return out
}
