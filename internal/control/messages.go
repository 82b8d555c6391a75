package control

import (
	"github.com/savorytiller/savorytiller/internal/core/health"
	"github.com/savorytiller/savorytiller/internal/core/member"
	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/core/note"
)

// Methods that instances call on each other.
const (
	methodHeartbeat = "peer.heartbeat"
	methodProbe     = "peer.probe"
	methodOffer     = "note.offer"
	methodFetch     = "note.fetch"
	methodHealth    = "health.fetch"
	methodLease     = "claim.request"
)

// decoders maps each method to a function that returns an empty parameter message.
var decoders = map[string]func() any{
	methodHeartbeat: func() any { return &heartbeat{} },
	methodProbe:     func() any { return &probeRequest{} },
	methodOffer:     func() any { return &offer{} },
	methodFetch:     func() any { return &fetch{} },
	methodHealth:    func() any { return &healthFetch{} },
	methodLease:     func() any { return &leaseRequest{} },
}

// RawNote is an encoded release note that is forwarded unchanged.
type RawNote []byte

// MarshalJSON returns the encoded note.
func (r RawNote) MarshalJSON() ([]byte, error) { return r, nil }

// UnmarshalJSON stores a copy of the encoded note.
func (r *RawNote) UnmarshalJSON(b []byte) error {
	*r = append((*r)[:0], b...)
	return nil
}

// heartbeat is the content of both a heartbeat and the answer to it.
type heartbeat struct {
	Self    model.Member    `json:"s"`
	Version model.Version   `json:"v,omitempty"`
	Digest  uint64          `json:"d,omitempty"`
	Age     int64           `json:"a,omitempty"` // ms since the last known read of the configuration service by any instance
	Updates []member.Update `json:"u,omitempty"`
	Records []health.Record `json:"r,omitempty"`
	// Health is a hash of the health records of the sender's zone. It and Records
	// are set only for receivers in that zone.
	Health uint64 `json:"h,omitempty"`
	// Claims are the cold servers for which the sender holds a lease.
	Claims []model.ServerID `json:"c,omitempty"`
	// Join is set by an instance that has just started. The answer then contains
	// the dead and leaving members.
	Join bool `json:"j,omitempty"`
}

// probeRequest asks the receiver to probe another member (indirect probe).
type probeRequest struct {
	Member model.Member `json:"m"`
}

type probeAnswer struct {
	Reached bool `json:"r"`
}

// offer announces the version in force and contains the note if it is small.
type offer struct {
	Version model.Version `json:"v"`
	Digest  uint64        `json:"d"`
	Age     int64         `json:"a,omitempty"`
	Note    RawNote       `json:"n,omitempty"`
}

type offerAnswer struct {
	// Knew is set if the receiver had this version or a newer one, or was already
	// fetching it.
	Knew    bool          `json:"k"`
	Version model.Version `json:"v"`
}

// fetch requests the notes after the version Have or, if Full is set, one part of
// the complete configuration of version Version.
type fetch struct {
	Have    model.Version `json:"h"`
	Full    bool          `json:"f,omitempty"`
	Version model.Version `json:"v,omitempty"`
	Part    int           `json:"p,omitempty"`
}

type fetchAnswer struct {
	Version model.Version `json:"v"`
	Digest  uint64        `json:"d"`
	// Notes are the notes after Have, in order. They are empty if the peer no longer
	// has them; then the complete configuration must be fetched.
	Notes []RawNote  `json:"n,omitempty"`
	Part  *note.Note `json:"part,omitempty"`
	Parts int        `json:"parts,omitempty"`
}

type healthFetch struct{}

type healthAnswer struct {
	Records []health.Record `json:"r"`
}

// leaseRequest requests leases on cold servers from a witness.
type leaseRequest struct {
	Incarnation model.Incarnation  `json:"i"`
	Servers     []leaseRequestItem `json:"s"`
}

type leaseRequestItem struct {
	Server model.ServerID `json:"s"`
	Zone   model.Zone     `json:"z"`
	// Witnesses is a hash of the server's witnesses according to the sender's
	// instance list.
	Witnesses uint64 `json:"w"`
}

type leaseAnswer struct {
	Granted []bool `json:"g"`
	// Differs is set if the witness derives other witnesses from its instance list.
	Differs bool `json:"d,omitempty"`
}
