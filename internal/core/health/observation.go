// Package health decides the state of each backend server: cold, warming, warm,
// draining or failed. It is based on observations of traffic, which take
// precedence over the server's own health endpoint.
//
// Each server has one instance of its availability zone as its home. While a
// server is cold, only its home instance sends it new work, within an allowance of
// slots and connections that doubles as work succeeds. The allowance is the limit of
// the server over all instances; package view has the limits of this instance.
// Instances of a zone exchange the state of their servers as records.
package health

import (
	"time"

	"github.com/savorytiller/savorytiller/internal/core/model"
)

// Result is the result of a request or flow on a backend server.
type Result uint8

const (
	// Success means that the server completed the request or answered on the flow.
	Success Result = iota
	// Failure means that the connection failed, or that the server's answer was invalid
	// or had status 502, 503 or 504.
	Failure
	// Timeout means that the server did not answer in time.
	Timeout
	// Shed means that the server refused the request without running it.
	Shed
	// Unresponsive means that an open connection stopped answering.
	Unresponsive
)

// Unit is the unit of work that an observation refers to. Slots and connections
// have separate allowances.
type Unit uint8

const (
	// Request is one HTTP request; it uses one slot.
	Request Unit = iota
	// Connection is one flow. It succeeds when the caller sends a packet after
	// the handshake, which shows that the server has answered.
	Connection
)

// Observation is the result of work that traffic sent to a backend server.
type Observation struct {
	Server model.ServerID
	Result Result
	Unit   Unit
	// Latency is the time to the answer; 0 if unknown.
	Latency time.Duration
	// Count is the number of equal observations; 0 means 1. Traffic may
	// combine the successes of up to 100 ms into one observation.
	Count uint32
}

// EndpointState is the state that a server's own health endpoint reports.
type EndpointState uint8

// States that a health endpoint reports. They may be outdated or wrong.
const (
	EndpointUnknown EndpointState = iota
	EndpointCold
	EndpointWarm
	EndpointDraining
)

// Report is an answer of a server's health endpoint.
type Report struct {
	State EndpointState
	// Load is the load that the server reports, from 0 to 1.
	Load float64
}
