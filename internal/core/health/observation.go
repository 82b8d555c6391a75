// Package health decides the state of each backend server: cold, warming, warm,
// draining or failed. Its evidence are typed observations of traffic, which
// take precedence over the server's own endpoints.
package health

import (
	"time"

	"github.com/savorytiller/savorytiller/internal/core/model"
)

// Kind is the result of one piece of work on a backend server.
type Kind uint8

const (
	// Success means that the server completed the work.
	Success Kind = iota
	// Failure means that the connection failed or the server answered with an error of its own.
	Failure
	// Timeout means that the server had the work but did not answer in time.
	Timeout
	// Shed means that the server refused the work without running it.
	Shed
	// Silent means that an open connection stopped answering.
	Silent
)

// Unit says what the work was, because slots and connections have separate allowances.
type Unit uint8

const (
	// Request is one HTTP request; it uses one slot.
	Request Unit = iota
	// Connection is one flow. Its success is a packet of the caller that
	// follows the first ones, so the server must have answered.
	Connection
)

// Observation is what traffic saw of a backend server.
type Observation struct {
	Server model.ServerID
	Kind   Kind
	Unit   Unit
	// Latency is the time to the answer; 0 if unknown.
	Latency time.Duration
	// Count is the number of equal observations; 0 means 1. Traffic may
	// combine successes of up to 100 ms.
	Count uint32
}

// Endpoint is the state that a server's own health endpoint reports.
type Endpoint uint8

// States of the health endpoint. The endpoint may be late or wrong.
const (
	EndpointUnknown Endpoint = iota
	EndpointCold
	EndpointWarm
	EndpointDraining
)

// Report is an answer of a server's health endpoint.
type Report struct {
	State Endpoint
	// Load is between 0 and 1.
	Load float64
}
