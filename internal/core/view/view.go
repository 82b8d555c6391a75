// Package view defines the immutable snapshot of the control state that the control
// goroutine publishes and the traffic goroutines read.
package view

import (
	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/core/placement"
	"github.com/savorytiller/savorytiller/internal/core/table"
)

// Warmth is the state of a backend server as this instance sees it.
type Warmth uint8

const (
	// Cold servers get new work from their home instance only, within SlotLimit
	// and ConnectionLimit. They include the servers in state health.Warming.
	Cold Warmth = iota
	// Warm servers get new work from every instance, within the instance's share.
	Warm
	// Failed servers get no new work until they respond again.
	Failed
)

// String returns the name shown to operators.
func (w Warmth) String() string {
	switch w {
	case Warm:
		return "warm"
	case Failed:
		return "failed"
	default:
		return "cold"
	}
}

// Server is a backend server with the limits of its use by this instance.
type Server struct {
	model.Server
	Service model.ServiceID
	// Number identifies the server in flow records (placement.ServerNumber).
	Number uint32
	Warmth Warmth
	// Reason explains the warmth of the server, or why it gets no new work.
	Reason model.Reason
	// NewWork reports whether this instance may give the server new work. It is
	// false if the server is in another zone, draining, failed, quarantined or in
	// hold-down (health.ColdHoldDown), or cold for requests and flows unless this
	// instance is its home and holds its lease (package lease), and while this
	// instance shuts down.
	NewWork bool
	// Slots are the request slots of the server that this instance holds.
	Slots []uint16
	// SlotLimit is the maximum number of slots that this instance may use at a time.
	// While the server is cold for requests, it is the server's allowance (package
	// health) at the home instance that holds its lease and 0 elsewhere, otherwise
	// len(Slots).
	SlotLimit int
	// FlowsHomeOnly is set while the server is cold for flows: only its home
	// instance may open flows to it.
	FlowsHomeOnly bool
	// ConnectionLimit is the maximum number of flows that this instance may have
	// on the server: the allowance in the same way while the server is cold for
	// flows, otherwise this instance's share of the server's connections. It is 0 for
	// servers of other zones.
	ConnectionLimit uint32
}

// View is a snapshot of the control state. It does not change after publication.
type View struct {
	// Sequence grows with each published view.
	Sequence uint64
	// FreshUntil is when the view expires. Traffic sends nothing based on an
	// expired view, because the process may have been paused.
	FreshUntil model.Time
	Self       model.Member
	Config     *model.Configuration
	// Members holds the live and the leaving instances, Self included.
	Members *placement.Members
	// Tables holds the lookup tables of each service.
	Tables map[model.ServiceID]*table.History
	// Servers holds every server of Config whose zone is in service.
	Servers map[model.ServerID]*Server
	// ByNumber holds the same servers by service and number.
	ByNumber map[ServerRef]*Server
	// ShuttingDown is true once this instance has begun to shut down.
	ShuttingDown bool
}

// ServerRef identifies a server by service and number, as flow records do.
type ServerRef struct {
	Service model.ServiceID
	Number  uint32
}

// Fresh reports whether the view has not expired at the given time, so that
// traffic may use it.
func (v *View) Fresh(now model.Time) bool {
	return v != nil && now.Before(v.FreshUntil)
}

// Ready reports whether a configuration is in force.
func (v *View) Ready() bool { return v != nil && v.Config != nil && v.Config.Version > 0 }
