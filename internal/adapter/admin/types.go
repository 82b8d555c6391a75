// Package admin serves the operators' HTTP endpoints: /ready, /status, /metrics
// and /explain. It reads snapshots and never blocks on the control or traffic
// threads.
package admin

import (
	"github.com/savorytiller/savorytiller/internal/adapter/metrics"
)

// Status is the response of /status.
type Status struct {
	Instance Instance `json:"instance"`
	// Ready is false while callers must use other instances; ReadyReason is the
	// reason code.
	Ready       bool   `json:"ready"`
	ReadyReason string `json:"ready_reason,omitempty"`
	View        View   `json:"view"`
	Note        Note   `json:"note"`
	// WithdrawnZones are the availability zones that are out of service.
	WithdrawnZones []string  `json:"withdrawn_zones"`
	Members        []Member  `json:"members"`
	Servers        []Server  `json:"servers"`
	Services       []Service `json:"services"`
}

// Instance identifies the responding instance.
type Instance struct {
	ID          string `json:"id"`
	Zone        string `json:"zone"`
	Incarnation uint64 `json:"incarnation"`
	UptimeMs    int64  `json:"uptime_ms"`
}

// View describes the snapshot that the traffic threads use.
type View struct {
	// Sequence grows with each snapshot.
	Sequence uint64 `json:"sequence"`
	// FreshForMs is the time until the view expires; at 0 traffic stops.
	FreshForMs int64 `json:"fresh_for_ms"`
}

// Note describes the release note in force.
type Note struct {
	Version uint64 `json:"version"`
	Digest  string `json:"digest"`
	// Wanted is the highest version that a peer or the configuration service has
	// announced to the instance.
	Wanted uint64 `json:"wanted"`
	// AgeMs is the time since the configuration service or a peer last
	// answered; -1 if the control thread has not started yet.
	AgeMs int64 `json:"age_ms"`
	// SourceAgeMs is the time since any instance is known to have read the
	// configuration service; -1 if the control thread has not started yet.
	SourceAgeMs int64 `json:"source_age_ms"`
	// ListAgeMs is the time since the platform's instance list was read; -1 if the
	// control thread has not started yet.
	ListAgeMs int64 `json:"list_age_ms"`
	// Watcher is true if this instance watches the configuration service.
	Watcher bool `json:"watcher"`
	// LastRefusal gives the reason and detail of the last refused note.
	LastRefusal string `json:"last_refusal,omitempty"`
	// Alarm is set when two different notes have the same version.
	Alarm string `json:"alarm,omitempty"`
}

// Member is the state of an instance as this instance sees it, and why.
type Member struct {
	ID             string `json:"id"`
	Zone           string `json:"zone"`
	Incarnation    uint64 `json:"incarnation"`
	Liveness       string `json:"liveness"`
	Why            string `json:"why"`
	FlowAddress    string `json:"flow_address"`
	PeerAddress    string `json:"peer_address"`
	RequestAddress string `json:"request_address"`
}

// Server is the state of a backend server and this instance's share of it.
type Server struct {
	ID      string `json:"id"`
	Service string `json:"service"`
	Zone    string `json:"zone"`
	// State is the state in the release note, Warmth the observed state.
	State  string `json:"state"`
	Warmth string `json:"warmth"`
	Reason string `json:"reason"`
	// NewWork is true if this instance may send new flows and requests to the server.
	NewWork bool `json:"new_work"`
	// SlotsHeld is the number of slots that this instance holds, SlotLimit how many
	// of them it may use now; ConnectionLimit bounds its flows.
	SlotsHeld       int    `json:"slots_held"`
	SlotLimit       int    `json:"slot_limit"`
	ConnectionLimit uint32 `json:"connection_limit"`
	// Home is the only instance that may use the server while the server is cold.
	Home string `json:"home,omitempty"`
}

// Service describes a service; Generations are the versions of its lookup tables.
type Service struct {
	ID             uint32   `json:"id"`
	Name           string   `json:"name"`
	VirtualAddress string   `json:"virtual_address"`
	Host           string   `json:"host"`
	Generations    []uint64 `json:"generations"`
}

// Metrics is the response of /metrics.
type Metrics struct {
	metrics.Snapshot
	// Gauges are the current values and totals of the parts by name, for example
	// "flow.records" or "peer.bytes_sent".
	Gauges map[string]int64 `json:"gauges"`
}

// Explanation is the response of /explain. Flow is set if the query names a flow,
// otherwise Decisions is.
type Explanation struct {
	Decisions []Decision `json:"decisions,omitempty"`
	Flow      *Flow      `json:"flow,omitempty"`
}

// Decision is a recent decision.
type Decision struct {
	AgeMs   int64  `json:"age_ms"`
	Part    string `json:"part"`
	Reason  string `json:"reason"`
	Subject string `json:"subject"`
	Detail  string `json:"detail,omitempty"`
}

// Flow explains where the first packet of a new flow is sent.
type Flow struct {
	Service     string `json:"service"`
	Protocol    string `json:"protocol"`
	Source      string `json:"source"`
	Destination string `json:"destination"`
	// Fingerprint is the flow's hash in hexadecimal digits.
	Fingerprint string `json:"fingerprint"`
	// Zone is the availability zone whose lookup table applies. Owner is the instance
	// that is responsible for the flow.
	Zone  string `json:"zone,omitempty"`
	Owner string `json:"owner,omitempty"`
	// TableChoice is the server from the lookup table; Server is the one that gets
	// the flow.
	TableChoice string   `json:"table_choice,omitempty"`
	Server      string   `json:"server,omitempty"`
	Reason      string   `json:"reason"`
	Steps       []string `json:"steps"`
}

// Problem is the body of every response with an error status.
type Problem struct {
	Error string `json:"error"`
}
