package backend

import "time"

// Run is one execution of an operation.
type Run struct {
	// Operation is the Idempotency-Key, or the URI of a request without one.
	Operation string `json:"operation"`
	// At is the wall-clock start of the run in nanoseconds.
	At int64 `json:"at"`
}

// Unknown is a packet of a flow that the server does not know.
type Unknown struct {
	Source string `json:"source"`
	// At is the wall-clock time in nanoseconds.
	At int64 `json:"at"`
}

// FlowRecord is what the flow worker of a server has seen.
type FlowRecord struct {
	// Broken lists the packets of unknown flows, each answered with a reset.
	Broken       []Unknown `json:"broken"`
	Opened       int       `json:"opened"`
	Open         int       `json:"open"`
	MaxOpen      int       `json:"max_open"`
	CrossService int       `json:"cross_service"`
	Malformed    int       `json:"malformed"`
	// Excused counts packets of flows that the server itself lost in a crash.
	Excused int `json:"excused"`
	// OverConnections counts flows opened above the connection limit.
	OverConnections int `json:"over_connections"`
	// ColdExcess counts flows opened above what the server could carry in an
	// announced cold start, Surprised those after it turned cold without warning.
	ColdExcess int `json:"cold_excess"`
	Surprised  int `json:"surprised"`
	// LateNew counts flows opened later than Grace after the server began to leave.
	LateNew int `json:"late_new"`
	// LateZone counts packets later than Grace after the zone went out of service.
	LateZone int `json:"late_zone"`
}

// RequestRecord is what the request worker of a server has seen.
type RequestRecord struct {
	Started   int `json:"started"`
	Completed int `json:"completed"`
	Cancelled int `json:"cancelled"`
	Expired   int `json:"expired"`
	Shed      int `json:"shed"`
	// ColdExcess and Surprised count requests as in FlowRecord.
	ColdExcess int `json:"cold_excess"`
	Surprised  int `json:"surprised"`
	LateNew    int `json:"late_new"`
	LateZone   int `json:"late_zone"`
	// WrongHost counts requests for another service.
	WrongHost int   `json:"wrong_host"`
	Runs      []Run `json:"runs"`
}

// Record is the complete record of a server.
type Record struct {
	ID      string `json:"id"`
	Service string `json:"service"`
	Zone    string `json:"zone"`
	// Steady is true if the server was in ordinary service for the whole run,
	// so that its load can be compared with that of others.
	Steady bool `json:"steady"`
	// Excuses are times in ns from which the server's flows may end.
	Excuses  []int64       `json:"excuses"`
	Flows    FlowRecord    `json:"flows"`
	Requests RequestRecord `json:"requests"`
}

// Grace is the time after which a leaving server gets no new work and a
// withdrawn zone gets no packets ("a few seconds", promises 4 and 8).
const Grace = 6 * time.Second
