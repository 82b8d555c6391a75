package peer

import (
	"unsafe"

	"github.com/savorytiller/savorytiller/internal/core/catalog"
)

// retainedBytes returns about how much memory an entry takes.
func retainedBytes(e *catalog.Entry) int {
	n := int(unsafe.Sizeof(*e)) + len(e.Key)
	if c := e.Config; c != nil {
		n += int(unsafe.Sizeof(*c)) + retainedServices(c.Services) + retainedRoutes(c.Routes)
	}
	if d := e.Delta; d != nil {
		n += int(unsafe.Sizeof(*d)) + retainedServices(d.Services) + retainedRoutes(d.Routes)
		for _, name := range d.Removed {
			n += int(unsafe.Sizeof(name)) + len(name)
		}
	}
	if s := e.Server; s != nil {
		n += int(unsafe.Sizeof(*s)) + len(s.ID) + len(s.Service) + len(s.Zone)
	}
	return n
}

func retainedServices(services []catalog.Service) (n int) {
	for i := range services {
		n += int(unsafe.Sizeof(services[i])) + len(services[i].Name) + len(services[i].HealthPath)
	}
	return n
}

func retainedRoutes(routes []catalog.Route) (n int) {
	for i := range routes {
		n += int(unsafe.Sizeof(routes[i])) + len(routes[i].Name)
		for _, share := range routes[i].Shares {
			n += int(unsafe.Sizeof(share)) + len(share.Service)
		}
	}
	return n
}

// RetainedBytes returns about how much memory the entries of a message take.
func (m *Message) RetainedBytes() (n int) {
	for i := range m.Entries {
		n += retainedBytes(&m.Entries[i])
	}
	return n
}
