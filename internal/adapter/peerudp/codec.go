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

// version is the first field of each message. Messages of other versions are refused.
const version = 2

type wireMessage struct {
	_         struct{} `cbor:",toarray"`
	Version   uint8
	Kind      uint8
	Call      uint32
	From      wireMember
	Updates   []wireMember
	Join      bool
	Target    []byte
	Revision  uint64
	Confirmed bool
	AgeMs     uint32
	CutOff    bool
	After     uint64
	Entries   []wireEntry
	Leaps     bool
	Part      int
	Parts     int
	Suspects  []wireSuspect
}

type wireSuspect struct {
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
	Withdrawn string
	Config    *wireConfig
	Server    *wireServer
	// Base and Without are set if Config is the difference from version Base:
	// its routes are new or changed, and those named in Without are gone.
	Base    uint64
	Without []string
}

type wireConfig struct {
	_        struct{} `cbor:",toarray"`
	Version  uint64
	IdleMs   uint32
	Services []wireService
	Routes   []wireRoute
}

type wireService struct {
	_             struct{} `cbor:",toarray"`
	Name          string
	HealthPath    string
	ColdPerSecond float64
}

type wireRoute struct {
	_          struct{} `cbor:",toarray"`
	Name       string
	Address    uint32
	Port       uint16
	Idempotent bool
	// Shares holds the place of a service in wireConfig.Services and its weight by turns.
	Shares []int
}

type wireServer struct {
	_        struct{} `cbor:",toarray"`
	ID       string
	Number   uint64
	Address  []byte
	Service  string
	Zone     string
	Slots    int
	Draining bool
	Started  int64
	ColdMs   uint32
}

func addressBytes(a netip.AddrPort) []byte {
	if !a.IsValid() {
		return nil
	}
	b, _ := a.MarshalBinary() // never fails
	return b
}

func addressOf(b []byte) (a netip.AddrPort, err error) {
	if len(b) > 0 {
		err = a.UnmarshalBinary(b)
	}
	return a, err
}

// limits bounds what a message may hold, so that a forged one takes little memory.
var limits, _ = cbor.DecOptions{MaxArrayElements: 65_536, MaxNestedLevels: 8}.DecMode()

func encode(m *peer.Message) ([]byte, error) {
	w := wireMessage{Version: version, Kind: uint8(m.Kind), Call: m.CallID, From: memberOf(&m.From), Join: m.Join,
		Target: addressBytes(m.Target), Revision: m.Revision, Confirmed: m.Confirmed,
		AgeMs: uint32(max(0, m.Age.Milliseconds())), CutOff: m.CutOff, After: m.AfterRevision, Leaps: m.Compacted, Part: m.Part, Parts: m.Parts}
	for i := range m.Updates {
		w.Updates = append(w.Updates, memberOf(&m.Updates[i].Member))
	}
	for _, s := range m.UnreachableServers {
		w.Suspects = append(w.Suspects, wireSuspect{ID: string(s.ID), Started: s.Started})
	}
	for i := range m.Entries {
		w.Entries = append(w.Entries, entryOf(&m.Entries[i]))
	}
	b, err := cbor.Marshal(&w)
	if err != nil {
		return nil, merry.Wrap(port.ErrMalformed, merry.WithCause(err))
	}
	return b, nil
}

func memberOf(m *model.Member) wireMember {
	return wireMember{ID: string(m.ID), Zone: string(m.Zone), Incarnation: uint64(m.Incarnation),
		Liveness: uint8(m.Liveness), Address: addressBytes(m.PeerAddress), Capacity: m.Capacity}
}

func entryOf(e *catalog.Entry) wireEntry {
	w := wireEntry{Key: e.Key, Revision: e.Revision, Removed: e.Removed, Withdrawn: string(e.Withdrawn)}
	switch {
	case e.Delta != nil:
		d := e.Delta
		w.Base, w.Without = d.Base, d.Removed
		w.Config = configOf(&catalog.Configuration{Version: d.Version, IdleTimeout: d.IdleTimeout, Services: d.Services, Routes: d.Routes})
	case e.Config != nil:
		w.Config = configOf(e.Config)
	}
	if s := e.Server; s != nil {
		w.Server = &wireServer{ID: string(s.ID), Number: s.Number, Address: addressBytes(s.Address), Service: s.Service,
			Zone: string(s.Zone), Slots: s.Slots, Draining: s.State == model.ServerDraining, Started: s.Started,
			ColdMs: uint32(s.ColdFor.Milliseconds())}
	}
	return w
}

func configOf(c *catalog.Configuration) *wireConfig {
	w := &wireConfig{Version: c.Version, IdleMs: uint32(c.IdleTimeout.Milliseconds())}
	places := map[string]int{}
	for _, s := range c.Services {
		places[s.Name] = len(w.Services)
		w.Services = append(w.Services, wireService{Name: s.Name, HealthPath: s.HealthPath,
			ColdPerSecond: s.ColdPerSecond})
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		route := wireRoute{Name: r.Name, Address: r.Endpoint.Address, Port: r.Endpoint.Port, Idempotent: r.Idempotent}
		for _, s := range r.Shares {
			if place, ok := places[s.Service]; ok {
				route.Shares = append(route.Shares, place, s.Weight)
			}
		}
		w.Routes = append(w.Routes, route)
	}
	return w
}

// decode returns the message in a datagram. The error is port.ErrMalformed.
func decode(datagram []byte) (*peer.Message, error) {
	var w wireMessage
	if err := limits.Unmarshal(datagram, &w); err != nil {
		return nil, merry.Wrap(port.ErrMalformed, merry.WithCause(err))
	}
	if w.Version != version || !peer.Kind(w.Kind).Valid() {
		return nil, merry.Wrap(port.ErrMalformed, merry.AppendMessagef("version %d, kind %d", w.Version, w.Kind))
	}
	m := &peer.Message{Kind: peer.Kind(w.Kind), CallID: w.Call, Join: w.Join, Revision: w.Revision, Confirmed: w.Confirmed,
		Age: time.Duration(w.AgeMs) * time.Millisecond, CutOff: w.CutOff, AfterRevision: w.After, Compacted: w.Leaps, Part: w.Part, Parts: w.Parts}
	var err error
	if m.From, err = w.From.member(); err == nil {
		m.Target, err = addressOf(w.Target)
	}
	for i := 0; err == nil && i < len(w.Updates); i++ {
		var u member.Update
		u.Member, err = w.Updates[i].member()
		m.Updates = append(m.Updates, u)
	}
	for _, s := range w.Suspects {
		m.UnreachableServers = append(m.UnreachableServers, catalog.ServerRun{ID: model.ServerID(s.ID), Started: s.Started})
	}
	for i := 0; err == nil && i < len(w.Entries); i++ {
		var e catalog.Entry
		e, err = w.Entries[i].entry()
		m.Entries = append(m.Entries, e)
	}
	if err != nil {
		return nil, merry.Wrap(port.ErrMalformed, merry.WithCause(err))
	}
	return m, nil
}

func (w *wireMember) member() (model.Member, error) {
	address, err := addressOf(w.Address)
	if err == nil && (w.ID == "" || w.Liveness > uint8(model.Dead)) {
		err = merry.Errorf("member %q with liveness %d", w.ID, w.Liveness)
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
		if w.Base == 0 {
			e.Config = c
		} else {
			e.Delta = &catalog.Delta{Base: w.Base, Version: c.Version, IdleTimeout: c.IdleTimeout, Services: c.Services,
				Routes: c.Routes, Removed: w.Without}
		}
	}
	if s := w.Server; s != nil {
		address, err := addressOf(s.Address)
		if err != nil {
			return e, err
		}
		e.Server = &catalog.ServerEntry{ID: model.ServerID(s.ID), Number: s.Number, Address: address, Service: s.Service,
			Zone: model.Zone(s.Zone), Slots: s.Slots, Started: s.Started, ColdFor: time.Duration(s.ColdMs) * time.Millisecond}
		if s.Draining {
			e.Server.State = model.ServerDraining
		}
		if s.Slots < 1 {
			return e, merry.Errorf("server %q with %d slots", s.ID, s.Slots)
		}
	}
	if !e.Removed && w.Config == nil && e.Server == nil && e.Withdrawn == "" {
		e.Err = port.ErrMalformed // the sender could not use the value either
	}
	return e, nil
}

func (w *wireConfig) configuration() (*catalog.Configuration, error) {
	c := &catalog.Configuration{Version: w.Version, IdleTimeout: time.Duration(w.IdleMs) * time.Millisecond}
	for _, s := range w.Services {
		c.Services = append(c.Services, catalog.Service{Name: s.Name, HealthPath: s.HealthPath,
			ColdPerSecond: s.ColdPerSecond})
	}
	for _, r := range w.Routes {
		route := catalog.Route{Name: r.Name, Endpoint: steering.Endpoint{Address: r.Address, Port: r.Port}, Idempotent: r.Idempotent}
		if len(r.Shares)%2 != 0 {
			return nil, merry.Errorf("route %q with %d shares", r.Name, len(r.Shares))
		}
		for i := 0; i < len(r.Shares); i += 2 {
			place, weight := r.Shares[i], r.Shares[i+1]
			if place < 0 || place >= len(w.Services) || weight <= 0 {
				return nil, merry.Errorf("route %q to service %d with weight %d", r.Name, place, weight)
			}
			route.Shares = append(route.Shares, catalog.Share{Service: w.Services[place].Name, Weight: weight})
		}
		c.Routes = append(c.Routes, route)
	}
	return c, nil
}
