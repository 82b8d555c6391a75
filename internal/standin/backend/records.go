package backend

import "time"

// Run is one execution of an operation.
type Run struct {
	// Operation is the Idempotency-Key, or the URI of a request without one.
	Operation string `json:"operation"`
	// At is the wall-clock start of the run in nanoseconds.
	At int64 `json:"at"`
}

// UnknownFlowPacket is a packet of a flow that is not in the server's flow table.
type UnknownFlowPacket struct {
	Source string `json:"source"`
	// At is the wall-clock time of its arrival in nanoseconds.
	At int64 `json:"at"`
}

// FlowRecord holds the counts of a server's flow worker.
type FlowRecord struct {
	// Broken lists the packets of unknown flows, each answered with a reset.
	Broken  []UnknownFlowPacket `json:"broken"`
	Opened  int                 `json:"opened"`
	Open    int                 `json:"open"`
	MaxOpen int                 `json:"max_open"`
	// CrossService counts packets with the VNI of another service.
	CrossService int `json:"cross_service"`
	Malformed    int `json:"malformed"`
	// Excused counts packets of flows that a crash of the server itself has ended.
	Excused int `json:"excused"`
	// OverConnections counts flows opened above the connection limit.
	OverConnections int `json:"over_connections"`
	// ColdExcess counts flows opened above the capacity of the server during an
	// announced cold start, UnannouncedExcess those after it became cold without warning.
	ColdExcess        int `json:"cold_excess"`
	UnannouncedExcess int `json:"surprised"`
	// LateNew counts flows opened later than GracePeriod after the server began to drain.
	LateNew int `json:"late_new"`
	// LateZone counts packets later than GracePeriod after the zone was withdrawn.
	LateZone int `json:"late_zone"`
}

// RequestRecord holds the counts and runs of a server's request worker.
type RequestRecord struct {
	Started   int `json:"started"`
	Completed int `json:"completed"`
	Cancelled int `json:"cancelled"`
	Expired   int `json:"expired"`
	Shed      int `json:"shed"`
	// ColdExcess, UnannouncedExcess, LateNew and LateZone count requests as in FlowRecord.
	ColdExcess        int `json:"cold_excess"`
	UnannouncedExcess int `json:"surprised"`
	LateNew           int `json:"late_new"`
	LateZone          int `json:"late_zone"`
	// WrongHost counts requests for another service.
	WrongHost int   `json:"wrong_host"`
	Runs      []Run `json:"runs"`
}

// Record is the complete record of a server.
type Record struct {
	ID      string `json:"id"`
	Service string `json:"service"`
	Zone    string `json:"zone"`
	// Undisturbed is true if no command changed the server's capacity or role during
	// the run, so that its load can be compared with that of other servers.
	Undisturbed bool `json:"steady"`
	// OutageStarts are the wall-clock times in nanoseconds of the server's crashes
	// and the withdrawals of its zone. Its flows may end from then on.
	OutageStarts []int64       `json:"excuses"`
	Flows        FlowRecord    `json:"flows"`
	Requests     RequestRecord `json:"requests"`
}

// GracePeriod is the time after which a draining server must get no new flows or
// requests and a withdrawn zone no packets ("a few seconds", promises 4 and 8
// of design section 2).
const GracePeriod = 6 * time.Second
