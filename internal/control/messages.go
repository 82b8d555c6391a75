package control

import (
	"github.com/savorytiller/savorytiller/internal/core/health"
	"github.com/savorytiller/savorytiller/internal/core/member"
	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/core/note"
)

// Methods between the control planes of instances.
const (
	methodHeartbeat = "peer.heartbeat"
	methodProbe     = "peer.probe"
	methodOffer     = "note.offer"
	methodFetch     = "note.fetch"
	methodHealth    = "health.fetch"
	methodLease     = "claim.request"
)

// decoders gives an empty message for the parameters of each method.
var decoders = map[string]func() any{
	methodHeartbeat: func() any { return &heartbeat{} },
	methodProbe:     func() any { return &probeRequest{} },
	methodOffer:     func() any { return &offer{} },
	methodFetch:     func() any { return &fetch{} },
	methodHealth:    func() any { return &healthFetch{} },
	methodLease:     func() any { return &leaseRequest{} },
}

// RawNote is an encoded release note that is passed on as it is.
type RawNote []byte

// MarshalJSON returns the note itself.
func (r RawNote) MarshalJSON() ([]byte, error) { return r, nil }

// UnmarshalJSON keeps a copy of the note.
func (r *RawNote) UnmarshalJSON(b []byte) error {
	*r = append((*r)[:0], b...)
	return nil
}

// heartbeat is sent and answered with the same content.
type heartbeat struct {
	Self    model.Member    `json:"s"`
	Version model.Version   `json:"v,omitempty"`
	Digest  uint64          `json:"d,omitempty"`
	Age     int64           `json:"a,omitempty"` // ms since any instance read the configuration service
	Updates []member.Update `json:"u,omitempty"`
	Records []health.Record `json:"r,omitempty"`
	// Health summarises the records of the sender's zone.
	Health uint64 `json:"h,omitempty"`
	// Claims are the cold servers that the sender uses alone.
	Claims []model.ServerID `json:"c,omitempty"`
	// Join is set by an instance that has just started.
	Join bool `json:"j,omitempty"`
}

// probeRequest asks to probeRequest another member.
type probeRequest struct {
	Member model.Member `json:"m"`
}

type probeAnswer struct {
	Reached bool `json:"r"`
}

// offer announces the version in force, with the note itself if it is small.
type offer struct {
	Version model.Version `json:"v"`
	Digest  uint64        `json:"d"`
	Age     int64         `json:"a,omitempty"`
	Note    RawNote           `json:"n,omitempty"`
}

type offerAnswer struct {
	// Knew is set if the receiver had this version or a newer one.
	Knew    bool          `json:"k"`
	Version model.Version `json:"v"`
}

// fetch asks for what follows the version Have, or for one part of the
// complete configuration of version Version.
type fetch struct {
	Have    model.Version `json:"h"`
	Full    bool          `json:"f,omitempty"`
	Version model.Version `json:"v,omitempty"`
	Part    int           `json:"p,omitempty"`
}

type fetchAnswer struct {
	Version model.Version `json:"v"`
	Digest  uint64        `json:"d"`
	// Notes follow Have in order. They are empty if the peer no longer has
	// them; the complete configuration must be asked for instead.
	Notes []RawNote      `json:"n,omitempty"`
	Part  *note.Note `json:"part,omitempty"`
	Parts int        `json:"parts,omitempty"`
}

type healthFetch struct{}

type healthAnswer struct {
	Records []health.Record `json:"r"`
}

// leaseRequest asks a witness for leases on cold servers.
type leaseRequest struct {
	Incarnation model.Incarnation `json:"i"`
	Servers     []leaseRequestItem       `json:"s"`
}

type leaseRequestItem struct {
	Server model.ServerID `json:"s"`
	Zone   model.Zone     `json:"z"`
	// Witnesses is the hash of the server's witnesses as the sender sees them.
	Witnesses uint64 `json:"w"`
}

type leaseAnswer struct {
	Granted []bool `json:"g"`
	// Differs is set if the witness has another instance list.
	Differs bool `json:"d,omitempty"`
}
