package configservice

import (
	"bytes"
	"encoding/json"
	"io"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/core/note"
	"github.com/savorytiller/savorytiller/internal/port"
)

// Codec decodes the values of the configuration service. It implements
// port.NoteCodec.
type Codec struct{}

var _ port.NoteCodec = Codec{}

// The JSON forms of request kinds, services, servers and notes.

type kindJSON struct {
	Name       string `json:"name"`
	Method     string `json:"method"`
	PathPrefix string `json:"path_prefix"`
	Idempotent bool   `json:"idempotent"`
	Class      string `json:"class"`
	Share      int    `json:"share_percent"`
	Priority   *int64 `json:"priority"`
}

type serviceJSON struct {
	ID             int64      `json:"id"`
	Name           string     `json:"name"`
	Tenant         string     `json:"tenant"`
	Host           string     `json:"host"`
	VirtualAddress string     `json:"virtual_address"`
	IdleTimeout    int64      `json:"idle_timeout_ms"`
	RequestTimeout int64      `json:"request_timeout_ms"`
	MaxBody        int64      `json:"max_body_bytes"`
	Kinds          []kindJSON `json:"kinds"`
}

type serverJSON struct {
	ID             string `json:"id"`
	Service        string `json:"service"`
	Zone           string `json:"zone"`
	Weight         int64  `json:"weight"`
	Slots          int64  `json:"slots"`
	Connections    int64  `json:"connections"`
	State          string `json:"state"`
	FlowAddress    string `json:"flow_address"`
	RequestAddress string `json:"request_address"`
}

type noteJSON struct {
	Format  int    `json:"format"`
	Version uint64 `json:"version"`
	Base    uint64 `json:"base"`
	Added   struct {
		Zones    []string      `json:"zones"`
		Services []serviceJSON `json:"services"`
		Servers  []serverJSON  `json:"servers"`
	} `json:"added"`
	Changed struct {
		Services []serviceJSON `json:"services"`
		Servers  []serverJSON  `json:"servers"`
	} `json:"changed"`
	Withdrawn struct {
		Zones    []string `json:"zones"`
		Services []string `json:"services"`
		Servers  []string `json:"servers"`
	} `json:"withdrawn"`
}

// malformed returns a refusal with the reason ReasonNoteMalformed.
func malformed(format string, args ...any) *note.Refusal {
	return note.Refuse(model.ReasonNoteMalformed, format, args...)
}

// decodeStrict decodes a JSON value into v. It returns an error for unknown and
// repeated fields and for trailing data, because each of them can mean that a value
// which the operators expect to be in force is ignored.
func decodeStrict(raw []byte, v any) error {
	if err := checkRepeatedFields(json.NewDecoder(bytes.NewReader(raw)), 0); err != nil {
		return err
	}
	d := json.NewDecoder(bytes.NewReader(raw))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return err
	}
	if _, err := d.Token(); err != io.EOF {
		return merry.New("unexpected data after the JSON value")
	}
	return nil
}

// maxDepth limits the nesting of a value; a note has a depth of 5.
const maxDepth = 16

// checkRepeatedFields reads one JSON value at the given nesting depth. It returns an
// error if an object in it has a field twice or if it is nested deeper than maxDepth.
func checkRepeatedFields(d *json.Decoder, depth int) error {
	token, err := d.Token()
	if err != nil {
		return err
	}
	open, ok := token.(json.Delim)
	if !ok {
		return nil
	}
	if depth == maxDepth {
		return merry.Errorf("nested deeper than %d", maxDepth)
	}
	seen := map[string]bool{}
	for d.More() {
		if open == '{' {
			name, err := d.Token()
			if err != nil {
				return err
			}
			// encoding/json matches field names without regard to case.
			folded := strings.ToLower(name.(string))
			if seen[folded] {
				return merry.Errorf("field %q is repeated", name)
			}
			seen[folded] = true
		}
		if err := checkRepeatedFields(d, depth+1); err != nil {
			return err
		}
	}
	_, err = d.Token()
	return err
}

// DecodeNote implements port.NoteCodec.
func (Codec) DecodeNote(raw []byte) (*note.Note, error) {
	if len(raw) > note.MaxBytes {
		return nil, note.Refuse(model.ReasonNoteTooLarge, "%d bytes, allowed are %d", len(raw), note.MaxBytes)
	}
	// The format determines the meaning of the other fields, so it is checked first: a
	// note of another format is refused for its format, not for its unknown fields.
	var head struct {
		Format *int `json:"format"`
	}
	if err := json.Unmarshal(raw, &head); err != nil {
		return nil, malformed("%v", err)
	}
	if head.Format == nil {
		return nil, malformed("format is missing")
	}
	if *head.Format != note.Format {
		return nil, note.Refuse(model.ReasonNoteFormat, "format %d, supported is %d", *head.Format, note.Format)
	}
	var in noteJSON
	if err := decodeStrict(raw, &in); err != nil {
		return nil, malformed("%v", err)
	}
	if in.Version == 0 {
		return nil, malformed("version is 0 or missing")
	}
	return convertNote(&in)
}

func convertNote(in *noteJSON) (*note.Note, error) {
	n := &note.Note{Format: in.Format, Version: model.Version(in.Version), Base: model.Version(in.Base)}
	for _, set := range []struct {
		to       *note.Set
		services []serviceJSON
		servers  []serverJSON
	}{{&n.Added, in.Added.Services, in.Added.Servers}, {&n.Changed, in.Changed.Services, in.Changed.Servers}} {
		for i := range set.services {
			s, err := convertService(&set.services[i])
			if err != nil {
				return nil, err
			}
			set.to.Services = append(set.to.Services, s)
		}
		for i := range set.servers {
			s, err := convertServer(&set.servers[i])
			if err != nil {
				return nil, err
			}
			set.to.Servers = append(set.to.Servers, s)
		}
	}
	for _, z := range in.Added.Zones {
		n.Added.Zones = append(n.Added.Zones, model.Zone(z))
	}
	for _, z := range in.Withdrawn.Zones {
		n.Withdrawn.Zones = append(n.Withdrawn.Zones, model.Zone(z))
	}
	for _, s := range in.Withdrawn.Servers {
		n.Withdrawn.Servers = append(n.Withdrawn.Servers, model.ServerID(s))
	}
	n.Withdrawn.Services = in.Withdrawn.Services
	return n, nil
}

// parseAddress parses an IP address and port. An empty text gives the zero AddrPort.
func parseAddress(what, text string) (netip.AddrPort, error) {
	if text == "" {
		return netip.AddrPort{}, nil
	}
	a, err := netip.ParseAddrPort(text)
	if err != nil {
		return a, malformed("%s: %v", what, err)
	}
	return a, nil
}

// checkRange returns a refusal if v is negative or above the limit, so that a conversion
// to a smaller type cannot overflow. note.Apply checks the exact limits.
func checkRange(what string, v, limit int64) *note.Refusal {
	if v < 0 || v > limit {
		return note.Refuse(model.ReasonNoteContradictory, "%s is %d, allowed are up to %d", what, v, limit)
	}
	return nil
}

func convertService(in *serviceJSON) (model.Service, error) {
	s := model.Service{Name: in.Name, Tenant: in.Tenant, Host: in.Host, MaxBody: in.MaxBody}
	limit := note.MaxTimeout.Milliseconds()
	for _, r := range []*note.Refusal{
		checkRange("id of service "+in.Name, in.ID, int64(model.MaxServiceID)),
		checkRange("idle_timeout_ms of service "+in.Name, in.IdleTimeout, limit),
		checkRange("request_timeout_ms of service "+in.Name, in.RequestTimeout, limit),
	} {
		if r != nil {
			return s, r
		}
	}
	s.ID = model.ServiceID(in.ID)
	s.IdleTimeout = time.Duration(in.IdleTimeout) * time.Millisecond
	s.RequestTimeout = time.Duration(in.RequestTimeout) * time.Millisecond
	for _, k := range in.Kinds {
		if r := checkRange("share_percent of kind "+k.Name, int64(k.Share), 100); r != nil {
			return s, r
		}
		priority := model.LowestPriority
		if k.Priority != nil {
			if r := checkRange("priority of kind "+k.Name, *k.Priority, model.MaxStatedPriority); r != nil {
				return s, r
			}
			priority = uint8(*k.Priority)
		}
		s.Kinds = append(s.Kinds, model.RequestKind{Name: k.Name, Method: k.Method, PathPrefix: k.PathPrefix,
			Idempotent: k.Idempotent, Class: k.Class, Share: uint8(k.Share), Priority: priority})
	}
	var err error
	s.VirtualAddress, err = parseAddress("virtual_address of service "+in.Name, in.VirtualAddress)
	return s, err
}

func convertServer(in *serverJSON) (note.Server, error) {
	s := note.Server{Service: in.Service, Server: model.Server{ID: model.ServerID(in.ID), Zone: model.Zone(in.Zone)}}
	for _, r := range []*note.Refusal{
		checkRange("weight of server "+in.ID, in.Weight, model.MaxWeight),
		checkRange("slots of server "+in.ID, in.Slots, model.MaxSlots),
		checkRange("connections of server "+in.ID, in.Connections, model.MaxConnections),
	} {
		if r != nil {
			return s, r
		}
	}
	s.Weight, s.Slots, s.Connections = uint16(in.Weight), uint16(in.Slots), uint32(in.Connections)
	switch in.State {
	case "", model.ServerActive.String():
	case model.ServerDraining.String():
		s.State = model.ServerDraining
	default:
		return s, malformed("state of server %s is %q, allowed are active and draining", in.ID, in.State)
	}
	var err error
	if s.FlowAddress, err = parseAddress("flow_address of server "+in.ID, in.FlowAddress); err != nil {
		return s, err
	}
	s.RequestAddress, err = parseAddress("request_address of server "+in.ID, in.RequestAddress)
	return s, err
}

// DecodeLatest implements port.NoteCodec.
func (Codec) DecodeLatest(raw []byte) (note.Latest, error) {
	var in struct {
		Version uint64 `json:"version"`
		Digest  string `json:"digest"`
	}
	if err := json.Unmarshal(raw, &in); err != nil {
		return note.Latest{}, malformed("release/latest: %v", err)
	}
	latest := note.Latest{Version: model.Version(in.Version)}
	if in.Digest != "" {
		d, err := strconv.ParseUint(in.Digest, 16, 64)
		if err != nil || len(in.Digest) != 16 {
			return note.Latest{}, malformed("release/latest: digest %q, expected 16 hexadecimal digits", in.Digest)
		}
		latest.Digest, latest.HasDigest = d, true
	}
	return latest, nil
}

// DecodeCheckpoint implements port.NoteCodec.
func (Codec) DecodeCheckpoint(raw []byte) (note.Checkpoint, error) {
	var in struct {
		Version uint64 `json:"version"`
		Parts   int    `json:"parts"`
	}
	if err := json.Unmarshal(raw, &in); err != nil {
		return note.Checkpoint{}, malformed("checkpoint/latest: %v", err)
	}
	if in.Version == 0 || in.Parts < 1 || in.Parts > note.MaxParts {
		return note.Checkpoint{}, malformed("checkpoint/latest: version %d, parts %d", in.Version, in.Parts)
	}
	return note.Checkpoint{Version: model.Version(in.Version), Parts: in.Parts}, nil
}

// decodeInstances decodes the instance list. It skips entries without an ID, a zone or
// a peer address and entries with an invalid address. Instances in any state other
// than "leaving" are listed as live.
func decodeInstances(raw []byte) ([]model.Member, error) {
	var in struct {
		Instances []struct {
			ID             string `json:"id"`
			Zone           string `json:"zone"`
			State          string `json:"state"`
			FlowAddress    string `json:"flow_address"`
			PeerAddress    string `json:"peer_address"`
			RequestAddress string `json:"request_address"`
		} `json:"instances"`
	}
	if err := json.Unmarshal(raw, &in); err != nil {
		return nil, merry.Wrap(port.ErrUnavailable, merry.AppendMessagef("platform: instance list: %v", err))
	}
	members := make([]model.Member, 0, len(in.Instances))
	for _, i := range in.Instances {
		m := model.Member{ID: model.InstanceID(i.ID), Zone: model.Zone(i.Zone)}
		if i.State == model.Leaving.String() {
			m.Liveness = model.Leaving
		}
		var err error
		for _, a := range []struct {
			to   *netip.AddrPort
			text string
		}{{&m.FlowAddress, i.FlowAddress}, {&m.PeerAddress, i.PeerAddress}, {&m.RequestAddress, i.RequestAddress}} {
			if *a.to, err = parseAddress("address of instance "+i.ID, a.text); err != nil {
				break
			}
		}
		if err != nil || m.ID == "" || m.Zone == "" || !m.PeerAddress.IsValid() {
			continue // an invalid entry must not hide the other instances
		}
		members = append(members, m)
	}
	return members, nil
}
