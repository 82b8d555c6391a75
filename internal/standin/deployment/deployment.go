// Package deployment describes the two deployments of design section 1 to the
// stand-ins and the load tool: zones, services, servers and traffic.
package deployment

import (
	"fmt"
	"time"

	"github.com/savorytiller/savorytiller/internal/standin/wire"
)

// Kind is a kind of request together with its traffic.
type Kind struct {
	wire.RequestKind
	// Rate is the number of operations a second.
	Rate float64
	// Body is the size of the request body in bytes.
	Body int
	// Answer is the size of the answer's padding in bytes.
	Answer int
	// Work is the mean time that a warm server needs.
	Work time.Duration
}

// Service is a service together with its traffic.
type Service struct {
	wire.Service
	// Prefix starts the identifiers of the servers.
	Prefix  string
	Servers int
	// Feeds is the number of feeds that stay open.
	Feeds int
	// ShortFeeds is the number of feeds opened and closed again each second.
	ShortFeeds float64
	// Interval is the time between two messages of a feed.
	Interval time.Duration
	Kinds    []Kind
}

// Deployment is one user of the system.
type Deployment struct {
	Name        string
	Zones       []string
	Slots       int
	Connections int
	// ClientDelay is the one-way delay between callers and the fabric.
	ClientDelay time.Duration
	Services    []Service
}

// Get returns the deployment with the given name.
func Get(name string) (*Deployment, error) {
	switch name {
	case "factory":
		return factory(), nil
	case "market":
		return market(), nil
	}
	return nil, fmt.Errorf("deployment %q: must be factory or market", name)
}

func factory() *Deployment {
	line := service(17, "line-control", "factory", "line", 15)
	line.Feeds, line.ShortFeeds, line.Interval = 300, 20, 200*time.Millisecond
	line.Kinds = []Kind{
		kind("machine-status", "GET", "/status", true, "reads", 50, 150, 0, 512, 10*time.Millisecond),
		kind("check", "POST", "/checks", false, "writes", 50, 40, 2048, 256, 20*time.Millisecond),
	}
	images := service(18, "inspection", "factory", "image", 4)
	images.Kinds = []Kind{kind("image", "PUT", "/images", true, "uploads", 100, 12, 300<<10, 256, 60*time.Millisecond)}
	return &Deployment{Name: "factory", Zones: []string{"halle-a", "halle-b", "halle-c", "qs-labor"},
		Slots: 4, Connections: 2000, ClientDelay: time.Millisecond, Services: []Service{line, images}}
}

func market() *Deployment {
	price := service(33, "price", "market", "price", 15)
	price.Feeds, price.ShortFeeds, price.Interval = 400, 20, 250*time.Millisecond
	price.Kinds = []Kind{kind("rate-query", "GET", "/rates", true, "reads", 100, 200, 0, 1024, 10*time.Millisecond)}
	tally := service(34, "tally-intake", "market", "tally", 4)
	tally.Kinds = []Kind{kind("tally", "POST", "/tallies", false, "uploads", 100, 8, 200<<10, 256, 60*time.Millisecond)}
	return &Deployment{Name: "market", Zones: []string{"pkc-a", "pkc-b", "pkc-c"},
		Slots: 2, Connections: 2000, ClientDelay: 3 * time.Millisecond, Services: []Service{price, tally}}
}

func service(id uint32, name, tenant, prefix string, servers int) Service {
	return Service{Prefix: prefix, Servers: servers, Service: wire.Service{ID: id, Name: name, Tenant: tenant,
		Host: name + ".local", VirtualAddress: fmt.Sprintf("10.80.0.%d:4000", id), IdleTimeoutMs: 900_000,
		RequestTimeoutMs: 5000, MaxBodyBytes: 4 << 20}}
}

func kind(name, method, path string, idempotent bool, class string, share int, rate float64, body, answer int, work time.Duration) Kind {
	return Kind{RequestKind: wire.RequestKind{Name: name, Method: method, PathPrefix: path, Idempotent: idempotent, Class: class,
		SharePercent: share}, Rate: rate, Body: body, Answer: answer, Work: work}
}

// ServiceDocument returns the service as a release note lists it.
func (s *Service) ServiceDocument() wire.Service {
	document := s.Service
	document.Kinds = nil
	for i := range s.Kinds {
		document.Kinds = append(document.Kinds, s.Kinds[i].RequestKind)
	}
	return document
}

// ServerDocuments returns the servers of a service without their addresses,
// spread evenly over the zones.
func (d *Deployment) ServerDocuments(s *Service) []wire.Server {
	var servers []wire.Server
	for i := range s.Servers {
		servers = append(servers, d.Server(s, i))
	}
	return servers
}

// Server returns the server with the given index without its addresses.
func (d *Deployment) Server(s *Service, index int) wire.Server {
	return wire.Server{ID: fmt.Sprintf("%s-%02d", s.Prefix, index+1), Service: s.Name,
		Zone: d.Zones[index%len(d.Zones)], Weight: 100, Slots: d.Slots, Connections: d.Connections, State: "active"}
}
