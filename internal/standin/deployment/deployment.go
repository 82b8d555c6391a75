// Package deployment describes the two deployments of design section 1 for the
// stand-ins and the load tool: zones, services, servers and traffic. A feed is
// a flow on which a backend server sends a message at a fixed interval.
package deployment

import (
	"fmt"
	"time"

	"github.com/savorytiller/savorytiller/internal/standin/wire"
)

// RequestKind is a request kind with its traffic.
type RequestKind struct {
	wire.RequestKind
	// Rate is the mean number of operations started per second.
	Rate float64
	// BodySize is the size of the request body in bytes.
	BodySize int
	// ResponsePadding is the size of the padding in the response body in bytes.
	ResponsePadding int
	// ProcessingTime is the mean time that a warm server needs for a request.
	ProcessingTime time.Duration
}

// Service is a service with its traffic.
type Service struct {
	wire.Service
	// ServerPrefix is the first part of the servers' identifiers.
	ServerPrefix string
	ServerCount  int
	// LongFeeds is the number of feeds that stay open for the whole run.
	LongFeeds int
	// ShortFeedRate is the mean number of short feeds opened per second.
	ShortFeedRate float64
	// MessageInterval is the time between two messages of a feed.
	MessageInterval time.Duration
	Kinds           []RequestKind
}

// Deployment is one installation of the system with its traffic.
type Deployment struct {
	Name  string
	Zones []string
	// Slots and Connections are the limits of concurrent requests and flows of
	// each server.
	Slots       int
	Connections int
	Services    []Service
}

// Get returns the deployment with the given name, factory or market. Any other name is
// an error.
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
	line := newService(17, "line-control", "factory", "line", 15)
	line.LongFeeds, line.ShortFeedRate, line.MessageInterval = 300, 20, 200*time.Millisecond
	line.Kinds = []RequestKind{
		newRequestKind("machine-status", "GET", "/status", true, "reads", 50, 150, 0, 512, 10*time.Millisecond),
		newRequestKind("check", "POST", "/checks", false, "writes", 50, 40, 2048, 256, 20*time.Millisecond),
	}
	images := newService(18, "inspection", "factory", "image", 4)
	images.Kinds = []RequestKind{newRequestKind("image", "PUT", "/images", true, "uploads", 100, 12, 300<<10, 256, 60*time.Millisecond)}
	return &Deployment{Name: "factory", Zones: []string{"halle-a", "halle-b", "halle-c", "qs-labor"},
		Slots: 4, Connections: 2000, Services: []Service{line, images}}
}

func market() *Deployment {
	price := newService(33, "price", "market", "price", 15)
	price.LongFeeds, price.ShortFeedRate, price.MessageInterval = 400, 20, 250*time.Millisecond
	price.Kinds = []RequestKind{newRequestKind("rate-query", "GET", "/rates", true, "reads", 100, 200, 0, 1024, 10*time.Millisecond)}
	tally := newService(34, "tally-intake", "market", "tally", 4)
	tally.Kinds = []RequestKind{newRequestKind("tally", "POST", "/tallies", false, "uploads", 100, 8, 200<<10, 256, 60*time.Millisecond)}
	return &Deployment{Name: "market", Zones: []string{"pkc-a", "pkc-b", "pkc-c"},
		Slots: 2, Connections: 2000, Services: []Service{price, tally}}
}

func newService(id uint32, name, tenant, prefix string, servers int) Service {
	return Service{ServerPrefix: prefix, ServerCount: servers, Service: wire.Service{ID: id, Name: name, Tenant: tenant,
		Host: name + ".local", VirtualAddress: fmt.Sprintf("10.80.0.%d:4000", id), IdleTimeoutMs: 900_000,
		RequestTimeoutMs: 5000, MaxBodyBytes: 4 << 20}}
}

func newRequestKind(name, method, path string, idempotent bool, class string, share int, rate float64,
	bodySize, responsePadding int, processingTime time.Duration) RequestKind {
	return RequestKind{RequestKind: wire.RequestKind{Name: name, Method: method, PathPrefix: path, Idempotent: idempotent,
		Class: class, SharePercent: share}, Rate: rate, BodySize: bodySize, ResponsePadding: responsePadding, ProcessingTime: processingTime}
}

// ServiceDocument returns the service in the form of a release note.
func (s *Service) ServiceDocument() wire.Service {
	document := s.Service
	document.Kinds = nil
	for i := range s.Kinds {
		document.Kinds = append(document.Kinds, s.Kinds[i].RequestKind)
	}
	return document
}

// ServerDocuments returns the servers of a service in the form of a release note,
// spread evenly over the zones. Their addresses are empty.
func (d *Deployment) ServerDocuments(s *Service) []wire.Server {
	var servers []wire.Server
	for i := range s.ServerCount {
		servers = append(servers, d.ServerDocument(s, i))
	}
	return servers
}

// ServerDocument returns the server with the given index, counted from 0, in the form
// of a release note. Its addresses are empty.
func (d *Deployment) ServerDocument(s *Service, index int) wire.Server {
	return wire.Server{ID: fmt.Sprintf("%s-%02d", s.ServerPrefix, index+1), Service: s.Name,
		Zone: d.Zones[index%len(d.Zones)], Weight: 100, Slots: d.Slots, Connections: d.Connections, State: "active"}
}
