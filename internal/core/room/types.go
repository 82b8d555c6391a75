// Package room sums the load that instances observe, so that each of them knows how much
// capacity the backend servers of a service have left in each zone.
//
// An instance reports its own load as a Report. Reports are added up along the tree of a zone,
// and the sums of all zones become a View, which the traffic goroutine reads.
package room

import (
	"time"

	"github.com/savorytiller/savorytiller/internal/core/model"
)

// Counters are what one or more instances observed of some requests during one interval.
type Counters struct {
	// InProgress is the mean number of requests and openings in progress.
	InProgress float64
	// Arrivals counts new flows, Completed and Failed requests that were answered. An answer that
	// is much shorter than the usual ones of its route counts as failed.
	Arrivals, Completed, Failed float64
	// Refused counts new flows that admission control refused or delayed.
	Refused float64
	// Latency is the sum of the response times of the completed requests.
	Latency time.Duration
}

// Add adds the counters of another instance.
func (c *Counters) Add(o *Counters) {
	c.InProgress += o.InProgress
	c.Arrivals += o.Arrivals
	c.Completed += o.Completed
	c.Failed += o.Failed
	c.Refused += o.Refused
	c.Latency += o.Latency
}

// MeanLatency returns the mean response time of the completed requests, or 0 if there are none.
func (c *Counters) MeanLatency() time.Duration {
	if c.Completed == 0 {
		return 0
	}
	return time.Duration(float64(c.Latency) / c.Completed)
}

// Class identifies the requests of one priority at the servers of a service in one zone.
type Class struct {
	Service string
	// Zone is the zone of the servers.
	Zone     model.Zone
	Priority uint8
}

// ServerLoad is what was observed of one server.
type ServerLoad struct {
	// Token identifies the run of the server; it is that of steering.Server.
	Token uint32
	// InProgress is the mean number of requests in progress.
	InProgress float64
	// Samples is the number of answers, Failed those that were much shorter than usual.
	Samples, Failed float64
	// LogLatency is the sum, over the samples that did not fail, of the logarithm of the response
	// time relative to the usual one of the same route. Both are without the time on the network.
	LogLatency float64
	// UpdatedAt is when the load was last observed or received.
	UpdatedAt model.Time
}

// Report is the load that one instance, or the instances of a subtree, observed. It is not changed
// once it was handed over or sent.
type Report struct {
	// Sequence increases with each report of the same sender and incarnation.
	Sequence uint64
	// Interval is the time that the counters cover. The next report follows after about that time.
	Interval time.Duration
	// Instances is the number of instances whose load is included.
	Instances int
	// Zones is the number of these instances by their zone; nil in a report of one instance.
	Zones   map[model.Zone]int
	Classes map[Class]Counters
	// Servers holds the load of servers by token. In a sum, the samples are those of the last
	// seconds and not of the interval, and only some of the servers are included.
	Servers map[uint32]ServerLoad
}

// View is the load of the fleet as an instance knows it. It is immutable.
type View struct {
	// At is when the view was last updated.
	At model.Time
	// Usable is false while the view holds less than half of the live instances of the own zone,
	// or is too old. Decisions are then made without it.
	Usable bool
	// Instances is the number of instances whose load is included, by their zone.
	Instances map[model.Zone]int
	Services  map[string]*Service
	// Servers holds the load of servers by token.
	Servers map[uint32]ServerLoad
}

// Service is the load of one service.
type Service struct {
	Zones map[model.Zone]*Zone
	// BaseLatency is the usual response time without queueing: the least mean of a short window
	// in the last minute; 0 before the first one.
	BaseLatency time.Duration
}

// Zone is the load of the servers of a service in one zone.
type Zone struct {
	// Slots is the number of requests that the servers that accept flows run concurrently.
	Slots int
	// Instances is the number of instances in the zone whose load is included.
	Instances int
	// Total is the load of all priorities, per second except for InProgress; ByPriority is that
	// of each.
	Total      Counters
	ByPriority map[uint8]Counters
}

// queuedPerSlot is the number of queued requests for each slot above which a zone is short.
const queuedPerSlot = 0.5

// ShortageThreshold returns the number of requests in progress above which the servers of the zone
// are short of capacity: those that they complete in the baseline response time, which keep
// them busy, and a short queue; at least one for each slot.
func (z *Zone) ShortageThreshold(baseline time.Duration) float64 {
	slots := float64(z.Slots)
	return max(slots, z.Total.Completed*baseline.Seconds()+queuedPerSlot*slots)
}
