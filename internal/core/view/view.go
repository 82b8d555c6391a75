// Package view holds the immutable snapshot that the control goroutine
// publishes and the traffic goroutines read.
package view

import (
	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/core/placement"
	"github.com/savorytiller/savorytiller/internal/core/table"
)

// Warmth is the state of a backend server as this instance sees it.
type Warmth uint8

const (
	// Cold servers take work from their home instance only, within Allowance.
	Cold Warmth = iota
	// Warm servers take work from every instance within its share.
	Warm
	// Failed servers take no new work until they answer again.
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

// Server is a backend server together with what this instance may do with it.
type Server struct {
	model.Server
	Service model.ServiceID
	// Number stands for the server in flow records.
	Number uint32
	Warmth Warmth
	// Reason says why the server has its warmth or takes no new work.
	Reason model.Reason
	// NewWork is false for a server that must get nothing new from this
	// instance: draining, failed, quarantined, or cold with another home.
	NewWork bool
	// Slots are the slots that this instance holds now.
	Slots []uint16
	// SlotLimit bounds the slots in use at a time. It is below len(Slots)
	// while the server is cold.
	SlotLimit int
	// FlowsAtHome is set while the server is cold for flows: only its home
	// instance opens flows on it.
	FlowsAtHome bool
	// ConnectionLimit bounds the flows that this instance may have on it.
	ConnectionLimit uint32
}

// View is one snapshot. Nothing in it changes after publication.
type View struct {
	// Sequence grows with each published view.
	Sequence uint64
	// FreshUntil is the end of the view's lease. Traffic sends nothing on an
	// older view, because the process may have been paused.
	FreshUntil model.Time
	Self       model.Member
	Config     *model.Configuration
	// Members holds the live and the leaving instances, Self included.
	Members *placement.Members
	// Tables holds the lookup tables of each service.
	Tables map[model.ServiceID]*table.History
	// Servers holds every server of Config whose zone is in service.
	Servers map[model.ServerID]*Server
	// ByNumber finds a server of a service by its number.
	ByNumber map[ServerRef]*Server
	// ShuttingDown is true once this instance leaves.
	ShuttingDown bool
}

// ServerRef names a server by service and number, as flow records do.
type ServerRef struct {
	Service model.ServiceID
	Number  uint32
}

// Fresh reports whether traffic may act on the view at the given time.
func (v *View) Fresh(now model.Time) bool {
	return v != nil && now.Before(v.FreshUntil)
}

// Ready reports whether a configuration is in force.
func (v *View) Ready() bool { return v != nil && v.Config != nil && v.Config.Version > 0 }
