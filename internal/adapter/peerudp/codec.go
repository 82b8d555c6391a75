package peerudp

import (
	"net/netip"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/fxamacker/cbor/v2"

	"github.com/savorytiller/savorytiller/internal/core/catalog"
	"github.com/savorytiller/savorytiller/internal/core/member"
	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/core/peer"
	"github.com/savorytiller/savorytiller/internal/core/steering"
	"github.com/savorytiller/savorytiller/internal/port"
)

// formatVersion is the version of the message format, the first field of each message.
// Messages with another version are rejected.
const formatVersion = 5

// A message with an epoch is wrapped in a CBOR tag with the number epochTag + epoch. Instances
// of versions without epochs skip the tag, so they understand the message; one without a tag
// has no epoch.
const (
	epochTag = 0x5354_0000
	maxEpoch = 0xffff
)

// cborTagged is the major type of tagged items in the first three bits of their encoding.
const cborTagged = 6

// wireMessage is the encoding of peer.Message. The wire types are encoded as CBOR
// arrays, so the order of their fields is part of the format.
type wireMessage struct {
	_                  struct{} `cbor:",toarray"`
	Version            uint8
	Kind               uint8
	CallID             uint32
	From               wireMember
	Updates            []wireMember
	Join               bool
	Target             []byte
	Revision           uint64
	Confirmed          bool
	AgeMs              uint32
	CutOff             bool
	AfterRevision      uint64
	Entries            []wireEntry
	Compacted          bool
	Part               int
	Parts              int
	UnreachableServers []wireServerRun
	Tokens             []steering.Token
	Load               *wireLoad
	RecoveredServers   []wireServerRun
	EndedServers       []wireServerRun
}

type wireServerRun struct {
	_       struct{} `cbor:",toarray"`
	ID      string
	Started int64
}

type wireMember struct {
	_           struct{} `cbor:",toarray"`
	ID          string
	Zone        string
	Incarnation uint64
	Liveness    uint8
	Address     []byte
	Capacity    uint32
}

type wireEntry struct {
	_         struct{} `cbor:",toarray"`
	Key       string
	Revision  uint64
	Removed   bool
	Withdrawn string // the zone that the entry withdraws, or empty
	Config    *wireConfig
	Server    *wireServer
	// BaseVersion and RemovedRoutes are set if Config is a delta to the configuration with
	// version BaseVersion. It then holds only the routes that were added or changed, and
	// RemovedRoutes holds the names of the removed ones.
	BaseVersion   uint64
	RemovedRoutes []string
}

type wireConfig struct {
	_             struct{} `cbor:",toarray"`
	Version       uint64
	IdleTimeoutMs uint32
	Services      []wireService
	Routes        []wireRoute
}

type wireService struct {
	_             struct{} `cbor:",toarray"`
	Name          string
	HealthPath    string
	ColdPerSecond float64
	ColdTimeMs    uint32
}

type wireRoute struct {
	_          struct{} `cbor:",toarray"`
	Name       string
	Address    uint32
	Port       uint16
	Idempotent bool
	// Shares alternates between the index of a service in wireConfig.Services and its
	// weight.
	Shares []int
	// Priority, GoalMs and TimeoutMs are model.Terms.
	Priority          uint8
	GoalMs, TimeoutMs uint32
}

type wireServer struct {
	_         struct{} `cbor:",toarray"`
	ID        string
	Number    uint64
	Address   []byte
	Service   string
	Zone      string
	Slots     int
	Draining  bool
	Started   int64
	ColdForMs uint32
}

func addressBytes(a netip.AddrPort) []byte {
	if !a.IsValid() {
		return nil
	}
	b, _ := a.MarshalBinary() // never fails
	return b
}

func parseAddress(b []byte) (a netip.AddrPort, err error) {
	if len(b) > 0 {
		err = a.UnmarshalBinary(b)
	}
	return a, err
}

// decMode bounds the size and nesting of decoded messages, so that a forged message
// cannot allocate much memory.
var decMode, _ = cbor.DecOptions{MaxArrayElements: 65_536, MaxNestedLevels: 8}.DecMode()

// Encode returns the datagram for a message. The error is port.ErrMalformed.
func Encode(m *peer.Message) ([]byte, error) {
	w := wireMessage{Version: formatVersion, Kind: uint8(m.Kind), CallID: m.CallID, From: newWireMember(&m.From), Join: m.Join,
		Target: addressBytes(m.Target), Revision: m.Revision, Confirmed: m.Confirmed,
		AgeMs: uint32(max(0, m.Age.Milliseconds())), CutOff: m.CutOff, AfterRevision: m.AfterRevision, Compacted: m.Compacted, Part: m.Part, Parts: m.Parts,
		Tokens: m.Tokens}
	for i := range m.Updates {
		w.Updates = append(w.Updates, newWireMember(&m.Updates[i].Member))
	}
	w.UnreachableServers, w.RecoveredServers, w.EndedServers = newWireServerRuns(m.UnreachableServers), newWireServerRuns(m.RecoveredServers), newWireServerRuns(m.EndedServers)
	for i := range m.Entries {
		w.Entries = append(w.Entries, newWireEntry(&m.Entries[i]))
	}
	var err error
	if m.Load != nil {
		w.Load, err = newWireLoad(m.Load)
	}
	var b []byte
	if err == nil {
		b, err = cbor.Marshal(&w)
	}
	if err == nil && m.Epoch > maxEpoch {
		err = merry.Errorf("epoch %d is over %d", m.Epoch, maxEpoch)
	}
	if err == nil && m.Epoch != 0 {
		b, err = cbor.Marshal(cbor.RawTag{Number: epochTag + m.Epoch, Content: b})
	}
	if err != nil {
		return nil, merry.Wrap(port.ErrMalformed, merry.WithCause(err))
	}
	return b, nil
}

// untag returns the message in a datagram without its tag, and the epoch that the tag states.
func untag(datagram []byte) (message []byte, epoch uint64, err error) {
	if len(datagram) == 0 || datagram[0]>>5 != cborTagged {
		return datagram, 0, nil
	}
	var tag cbor.RawTag
	if err := decMode.Unmarshal(datagram, &tag); err != nil {
		return nil, 0, err
	}
	if tag.Number <= epochTag || tag.Number > epochTag+maxEpoch {
		return nil, 0, merry.Errorf("message with tag %d", tag.Number)
	}
	return tag.Content, tag.Number - epochTag, nil
}

func newWireMember(m *model.Member) wireMember {
	return wireMember{ID: string(m.ID), Zone: string(m.Zone), Incarnation: uint64(m.Incarnation),
		Liveness: uint8(m.Liveness), Address: addressBytes(m.PeerAddress), Capacity: m.Capacity}
}

func newWireServerRuns(runs []catalog.ServerRun) (all []wireServerRun) {
	for _, r := range runs {
		all = append(all, wireServerRun{ID: string(r.ID), Started: r.Started})
	}
	return all
}

func serverRuns(runs []wireServerRun) (all []catalog.ServerRun) {
	for _, r := range runs {
		all = append(all, catalog.ServerRun{ID: model.ServerID(r.ID), Started: r.Started})
	}
	return all
}

func newWireEntry(e *catalog.Entry) wireEntry {
	w := wireEntry{Key: e.Key, Revision: e.Revision, Removed: e.Removed, Withdrawn: string(e.Withdrawn)}
	switch {
	case e.Delta != nil:
		d := e.Delta
		w.BaseVersion, w.RemovedRoutes = d.Base, d.Removed
		w.Config = newWireConfig(&catalog.Configuration{Version: d.Version, IdleTimeout: d.IdleTimeout, Services: d.Services, Routes: d.Routes})
	case e.Config != nil:
		w.Config = newWireConfig(e.Config)
	}
	if s := e.Server; s != nil {
		w.Server = &wireServer{ID: string(s.ID), Number: s.Number, Address: addressBytes(s.Address), Service: s.Service,
			Zone: string(s.Zone), Slots: s.Slots, Draining: s.State == model.ServerDraining, Started: s.Started,
			ColdForMs: uint32(s.ColdFor.Milliseconds())}
	}
	return w
}

func newWireConfig(c *catalog.Configuration) *wireConfig {
	w := &wireConfig{Version: c.Version, IdleTimeoutMs: uint32(c.IdleTimeout.Milliseconds())}
	serviceIndexes := map[string]int{}
	for _, s := range c.Services {
		serviceIndexes[s.Name] = len(w.Services)
		w.Services = append(w.Services, wireService{Name: s.Name, HealthPath: s.HealthPath,
			ColdPerSecond: s.ColdPerSecond, ColdTimeMs: uint32(s.ColdTime.Milliseconds())})
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		route := wireRoute{Name: r.Name, Address: r.Endpoint.Address, Port: r.Endpoint.Port, Idempotent: r.Idempotent,
			Priority: r.Terms.Priority, GoalMs: uint32(r.Terms.Goal.Milliseconds()), TimeoutMs: uint32(r.Terms.Timeout.Milliseconds())}
		for _, s := range r.Shares {
			if index, ok := serviceIndexes[s.Service]; ok {
				route.Shares = append(route.Shares, index, s.Weight)
			}
		}
		w.Routes = append(w.Routes, route)
	}
	return w
}

// Decode returns the message in a datagram. The error is port.ErrMalformed.
func Decode(datagram []byte) (*peer.Message, error) {
	var w wireMessage
	content, epoch, err := untag(datagram)
	if err == nil {
		err = decMode.Unmarshal(content, &w)
	}
	if err != nil {
		return nil, merry.Wrap(port.ErrMalformed, merry.WithCause(err))
	}
	if w.Version != formatVersion || !peer.Kind(w.Kind).Valid() {
		return nil, merry.Wrap(port.ErrMalformed, merry.AppendMessagef("message with version %d and kind %d", w.Version, w.Kind))
	}
	m := &peer.Message{Kind: peer.Kind(w.Kind), CallID: w.CallID, Join: w.Join, Epoch: epoch, Revision: w.Revision, Confirmed: w.Confirmed,
		Age: time.Duration(w.AgeMs) * time.Millisecond, CutOff: w.CutOff, AfterRevision: w.AfterRevision, Compacted: w.Compacted, Part: w.Part, Parts: w.Parts,
		Tokens: w.Tokens}
	if m.From, err = w.From.member(); err == nil {
		m.Target, err = parseAddress(w.Target)
	}
	for i := 0; err == nil && i < len(w.Updates); i++ {
		var u member.Update
		u.Member, err = w.Updates[i].member()
		m.Updates = append(m.Updates, u)
	}
	m.UnreachableServers, m.RecoveredServers, m.EndedServers = serverRuns(w.UnreachableServers), serverRuns(w.RecoveredServers), serverRuns(w.EndedServers)
	for i := 0; err == nil && i < len(w.Entries); i++ {
		var e catalog.Entry
		e, err = w.Entries[i].entry()
		m.Entries = append(m.Entries, e)
	}
	if err == nil && w.Load != nil {
		m.Load, err = w.Load.report()
	}
	if err == nil && m.Kind == peer.Load && m.Load == nil {
		err = merry.Errorf("load message without a report")
	}
	if err != nil {
		return nil, merry.Wrap(port.ErrMalformed, merry.WithCause(err))
	}
	return m, nil
}

func (w *wireMember) member() (model.Member, error) {
	address, err := parseAddress(w.Address)
	if err == nil && (w.ID == "" || w.Liveness > uint8(model.Dead)) {
		err = merry.Errorf("member %q has invalid liveness %d", w.ID, w.Liveness)
	}
	return model.Member{ID: model.InstanceID(w.ID), Zone: model.Zone(w.Zone), Incarnation: model.Incarnation(w.Incarnation),
		Liveness: model.Liveness(w.Liveness), PeerAddress: address, Capacity: w.Capacity}, err
}

func (w *wireEntry) entry() (catalog.Entry, error) {
	e := catalog.Entry{Key: w.Key, Revision: w.Revision, Removed: w.Removed, Withdrawn: model.Zone(w.Withdrawn)}
	if w.Config != nil {
		c, err := w.Config.configuration()
		if err != nil {
			return e, err
		}
		if w.BaseVersion == 0 {
			e.Config, err = c, c.Check()
		} else {
			e.Delta = &catalog.Delta{Base: w.BaseVersion, Version: c.Version, IdleTimeout: c.IdleTimeout, Services: c.Services,
				Routes: c.Routes, Removed: w.RemovedRoutes}
			err = e.Delta.Check()
		}
		if err != nil {
			return e, err
		}
	}
	if s := w.Server; s != nil {
		address, err := parseAddress(s.Address)
		if err != nil {
			return e, err
		}
		e.Server = &catalog.ServerEntry{ID: model.ServerID(s.ID), Number: s.Number, Address: address, Service: s.Service,
			Zone: model.Zone(s.Zone), Slots: s.Slots, Started: s.Started, ColdFor: time.Duration(s.ColdForMs) * time.Millisecond}
		if s.Draining {
			e.Server.State = model.ServerDraining
		}
		if err := e.Server.Check(); err != nil {
			// An earlier version of the sender may take the entry for that of a server.
			e.Server, e.Err = nil, merry.Wrap(port.ErrMalformed, merry.WithCause(err))
			return e, nil
		}
	}
	if !e.Removed && w.Config == nil && e.Server == nil && e.Withdrawn == "" {
		e.Err = port.ErrMalformed // the sender could not decode the value either
	}
	return e, nil
}

func (w *wireConfig) configuration() (*catalog.Configuration, error) {
	c := &catalog.Configuration{Version: w.Version, IdleTimeout: time.Duration(w.IdleTimeoutMs) * time.Millisecond}
	for _, s := range w.Services {
		c.Services = append(c.Services, catalog.Service{Name: s.Name, HealthPath: s.HealthPath,
			ColdPerSecond: s.ColdPerSecond, ColdTime: time.Duration(s.ColdTimeMs) * time.Millisecond})
	}
	for _, r := range w.Routes {
		route := catalog.Route{Name: r.Name, Endpoint: steering.Endpoint{Address: r.Address, Port: r.Port}, Idempotent: r.Idempotent,
			Terms: model.Terms{Priority: r.Priority, Goal: time.Duration(r.GoalMs) * time.Millisecond, Timeout: time.Duration(r.TimeoutMs) * time.Millisecond}}
		if len(r.Shares)%2 != 0 {
			return nil, merry.Errorf("route %q has shares with an odd number of values: %d", r.Name, len(r.Shares))
		}
		for i := 0; i < len(r.Shares); i += 2 {
			index, weight := r.Shares[i], r.Shares[i+1]
			if index < 0 || index >= len(w.Services) || weight <= 0 {
				return nil, merry.Errorf("route %q has a share with service index %d and weight %d", r.Name, index, weight)
			}
			route.Shares = append(route.Shares, catalog.Share{Service: w.Services[index].Name, Weight: weight})
		}
		c.Routes = append(c.Routes, route)
	}
	return c, nil
}
