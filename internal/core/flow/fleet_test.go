package flow

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/core/placement"
	"github.com/savorytiller/savorytiller/internal/core/table"
	"github.com/savorytiller/savorytiller/internal/core/view"
)

// fleet drives several shards in memory: the views that reach them late, and
// the packets that any of them may get. It stands for fabric, control, callers
// and backend servers.
type fleet struct {
	rng     *rand.Rand
	now     model.Time
	config  *model.Configuration
	notes   []*model.Configuration // all configurations so far
	members []model.Member         // crashed ones stay until they are noticed
	round   int                    // counts the sets of members that were spread
	engines map[netip.AddrPort]*engine
	order   []netip.AddrPort
	next    int
	built   map[[2]uint64]*table.Generation
	flows   []*caller
	cold    map[model.ServerID]bool
	lag     time.Duration // longest delay of a view

	// removed holds servers that no longer run.
	removed   map[model.ServerID]bool
	withdrawn map[model.Zone]model.Time
	draining  map[model.ServerID]model.Time
	// zoneChanged is when a zone left or returned last.
	zoneChanged model.Time

	broken map[model.Reason]int // established flows that reached another server
	// brokenTrace says what happened to the packets of broken flows.
	brokenTrace []string
	resets      int // flows that broke before they were established
	drops       map[model.Reason]int
	relayed     int
	// late lists deliveries that came too late after a change.
	late []string
	// crossed lists packets that another service's server accepted.
	crossed   []string
	confirmed int // successes told to the homes of cold servers
	newFlows  map[model.ServerID]int
	bytes     int // of exceptions
	delivered int
}

// engine is an instance: one shard and the view that it has.
type engine struct {
	member  model.Member
	shard   *Shard
	history map[model.ServiceID]*table.History
	version model.Version
	round   int
	view    *view.View
	updates []update
	dead    bool
	gone    model.Time // when a leaving instance exits
	out     Output
	seq     uint64
}

// update is a view on its way to an instance.
type update struct {
	at      model.Time
	round   int
	config  *model.Configuration
	members []model.Member
}

// caller is one flow.
type caller struct {
	key         model.FlowKey
	service     model.ServiceID
	print       uint64
	server      model.ServerID // server that accepted the SYN
	established bool
	closing     bool // sends a FIN
	ended       bool
	gap         time.Duration
	due         model.Time
	lost        int
	trace       []string
}

func newFleet(seed uint64, instances map[model.Zone]int, servers map[model.Zone]int, services int) *fleet {
	f := &fleet{
		rng: rand.New(rand.NewPCG(seed, 7)), now: model.Time(time.Hour), engines: map[netip.AddrPort]*engine{}, built: map[[2]uint64]*table.Generation{},
		cold: map[model.ServerID]bool{}, lag: 2 * time.Second, removed: map[model.ServerID]bool{},
		withdrawn: map[model.Zone]model.Time{}, draining: map[model.ServerID]model.Time{},
		broken: map[model.Reason]int{}, drops: map[model.Reason]int{}, newFlows: map[model.ServerID]int{},
	}
	f.config = &model.Configuration{Version: 1}
	for i := range services {
		s := model.Service{ID: model.ServiceID(17 + i), IdleTimeout: 15 * time.Minute,
			VirtualAddress: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 80, 0, byte(17 + i)}), 4000)}
		for _, zone := range sortedZones(servers) {
			for range servers[zone] {
				s.Servers = append(s.Servers, f.newServer(zone))
			}
		}
		f.config.Services = append(f.config.Services, s)
	}
	f.notes = []*model.Configuration{f.config}
	for _, zone := range sortedZones(instances) {
		for range instances[zone] {
			f.join(zone)
		}
	}
	f.spread(0)
	f.step(0) // all views arrive before the first packet
	return f
}

func sortedZones(m map[model.Zone]int) []model.Zone {
	var zones []model.Zone
	for z := range m {
		zones = append(zones, z)
	}
	slices.Sort(zones)
	return zones
}

func (f *fleet) address() netip.AddrPort {
	f.next++
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, byte(f.next >> 8), byte(f.next)}), 4100)
}

func (f *fleet) newServer(zone model.Zone) model.Server {
	a := f.address()
	return model.Server{ID: model.ServerID(fmt.Sprintf("server-%03d", f.next)), Zone: zone, FlowAddress: a, Weight: 100, Connections: 2000}
}

// join starts an instance. It has the newest configuration only.
func (f *fleet) join(zone model.Zone) *engine {
	a := f.address()
	m := model.Member{ID: model.InstanceID(fmt.Sprintf("%s-%03d", zone, f.next)), Zone: zone, FlowAddress: a, Incarnation: model.Incarnation(f.now)}
	e := &engine{member: m, history: map[model.ServiceID]*table.History{}}
	settings := DefaultSettings(1, 100000)
	e.shard = NewShard(settings)
	f.engines[a], f.order = e, append(f.order, a)
	f.members = append(f.members, m)
	e.apply(f, update{f.now, 0, f.config, slices.Clone(f.members)})
	return e
}

// apply brings configurations in force, and members, unless newer ones are.
func (e *engine) apply(f *fleet, u update) {
	config, members := f.config, placement.NewMembers(u.members)
	if e.view != nil {
		config = e.view.Config
		if u.round < e.round {
			members = e.view.Members
		}
	}
	e.round = max(e.round, u.round)
	for _, c := range f.missing(e, u) {
		config, e.version = c, c.Version
		for i := range c.Services {
			s := &c.Services[i]
			e.history[s.ID] = e.history[s.ID].Push(f.generation(c, s), f.now)
		}
	}
	e.view = f.buildView(e, config, members)
}

// missing returns the configurations that an update brings: a new instance gets
// the newest one only, others get those in between in order.
func (f *fleet) missing(e *engine, u update) []*model.Configuration {
	if u.config == nil || u.config.Version <= e.version {
		return nil // views come twice and out of order
	}
	if e.version == 0 {
		return []*model.Configuration{u.config}
	}
	return f.notes[e.version:u.config.Version]
}

// generation returns the tables of a service. They do not depend on the
// instance, so they are built once.
func (f *fleet) generation(c *model.Configuration, s *model.Service) *table.Generation {
	key := [2]uint64{uint64(c.Version), uint64(s.ID)}
	if f.built[key] == nil {
		f.built[key] = table.NewGeneration(c, s)
	}
	return f.built[key]
}

func (f *fleet) buildView(e *engine, c *model.Configuration, members *placement.Members) *view.View {
	v := &view.View{Sequence: 1, FreshUntil: f.now.Add(time.Hour), Self: e.member, Config: c, Members: members,
		Tables: map[model.ServiceID]*table.History{}, Servers: map[model.ServerID]*view.Server{}, ByNumber: map[view.ServerRef]*view.Server{}}
	if m, ok := members.Get(e.member.ID); ok {
		v.Self = *m
	}
	for i := range c.Services {
		s := &c.Services[i]
		v.Tables[s.ID] = e.history[s.ID]
		for _, server := range s.Servers {
			if c.Withdrawn(server.Zone) {
				continue
			}
			x := &view.Server{Server: server, Service: s.ID, Number: placement.ServerNumber(server.ID), Warmth: view.Warm}
			if server.Zone == v.Self.Zone {
				x.ConnectionLimit = max(1, server.Connections/uint32(max(1, members.LiveCountIn(server.Zone))))
				x.NewWork = server.State == model.ServerActive
				if f.cold[server.ID] {
					x.Warmth, x.ConnectionLimit, x.FlowsHomeOnly = view.Cold, server.Connections/64, true
					home := members.Home(server.ID, server.Zone)
					x.NewWork = x.NewWork && home != nil && home.ID == v.Self.ID
				}
			}
			v.Servers[server.ID], v.ByNumber[view.ServerRef{Service: s.ID, Number: x.Number}] = x, x
		}
	}
	return v
}

// spread sends the present configuration and members to all instances, each
// with its own delay, sometimes twice or before an older one.
func (f *fleet) spread(lag time.Duration) {
	f.round++
	for _, a := range f.order {
		for range 1 + f.rng.IntN(2) {
			delay := time.Duration(0)
			if lag > 0 {
				delay = time.Duration(f.rng.Int64N(int64(lag)))
			}
			e := f.engines[a]
			e.updates = append(e.updates, update{f.now.Add(delay), f.round, f.config, slices.Clone(f.members)})
		}
	}
}

// change publishes a new configuration made from a copy of the present one.
func (f *fleet) change(edit func(c *model.Configuration)) {
	c := *f.config
	c.Version++
	c.WithdrawnZones = slices.Clone(c.WithdrawnZones)
	c.Services = slices.Clone(c.Services)
	for i := range c.Services {
		c.Services[i].Servers = slices.Clone(c.Services[i].Servers)
	}
	edit(&c)
	f.config = &c
	f.notes = append(f.notes, f.config)
}

// step advances the time: views arrive, instances tick, callers send.
func (f *fleet) step(d time.Duration) {
	f.now = f.now.Add(d)
	for _, a := range f.order {
		e := f.engines[a]
		if e.dead {
			continue
		}
		e.updates = slices.DeleteFunc(e.updates, func(u update) bool {
			if u.at > f.now {
				return false
			}
			e.apply(f, u)
			return true
		})
		if e.gone != 0 && f.now > e.gone {
			e.dead = true
			f.forget(e.member.ID)
			continue
		}
		e.shard.Tick(e.view, f.now, &e.out)
		for _, b := range e.out.Batches {
			f.bytes += batchCost + recordCost*len(b.Records)
			if to := f.engines[b.To.FlowAddress]; to != nil && !to.dead {
				to.shard.LearnRecords(to.view, f.now, b.Records)
			} else {
				e.shard.Failed(&b)
			}
		}
	}
	for _, c := range f.flows {
		if !c.ended && f.now >= c.due {
			c.due = f.now.Add(c.gap/2 + time.Duration(f.rng.Int64N(int64(c.gap))))
			f.send(c)
		}
	}
}

// forget removes an instance from the members that are spread.
func (f *fleet) forget(id model.InstanceID) {
	f.members = slices.DeleteFunc(f.members, func(m model.Member) bool { return m.ID == id })
	f.spread(f.lag)
}

// open starts a flow to a service.
func (f *fleet) open(service int, gap time.Duration) *caller {
	f.next++
	c := &caller{service: f.config.Services[service].ID, gap: gap, key: model.FlowKey{Protocol: ProtocolTCP,
		Source:      netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 2, byte(f.next >> 16), byte(f.next >> 8)}), uint16(f.next)),
		Destination: f.config.Services[service].VirtualAddress}}
	c.print = Fingerprint(c.key)
	f.flows = append(f.flows, c)
	f.send(c)
	return c
}

// send passes a packet of a caller through the fleet until a server has it.
func (f *fleet) send(c *caller) {
	m := Message{Key: c.key, Fingerprint: c.print, Flags: FlagACK, Ack: uint32(f.now >> 20)}
	if c.server == "" {
		m.Flags = FlagSYN
	}
	if c.closing {
		m.Flags |= FlagFIN
	}
	var at netip.AddrPort
	for at = f.order[f.rng.IntN(len(f.order))]; f.engines[at].dead; at = f.order[f.rng.IntN(len(f.order))] {
	}
	for range 32 {
		e := f.engines[at]
		if e == nil || e.dead {
			f.lose(c, model.ReasonPeerUnreachable)
			return
		}
		var d Decision
		version := e.version
		e.shard.Packet(e.view, f.now, &m, &d)
		c.trace = append(c.trace, fmt.Sprintf("%v %s version %d of %d, message %d hops %d: verb %d %s to %v", time.Duration(f.now), e.member.ID, version, f.config.Version, m.Kind, m.Hops, d.Verb, d.Reason, d.To))
		if d.Tell {
			f.tell(e, &m, &d)
		}
		switch d.Verb {
		case Drop:
			f.lose(c, d.Reason)
			return
		case Deliver:
			f.arrive(c, &d, e)
			return
		}
		f.relayed++
		m.Kind, m.Service, m.Sender, m.Hops, m.Attempt, m.Server = d.Out.Kind, d.Service, e.member.FlowAddress, d.Out.Hops, d.Out.Attempt, d.Out.Server
		if d.Out.Sender.IsValid() {
			m.Sender = d.Out.Sender
		}
		at = d.To
	}
	f.lose(c, model.ReasonTooManyHops)
}

func (f *fleet) tell(e *engine, m *Message, d *Decision) {
	to := f.engines[d.TellTo]
	if to == nil || to.dead {
		return
	}
	e.seq++
	told := &Message{Kind: d.Note.Kind, Service: d.Service, Fingerprint: m.Fingerprint, Sender: e.member.FlowAddress,
		Sequence: e.seq, Attempt: d.Note.Attempt, Server: d.Note.Server, Validity: d.Note.Validity}
	if told.Kind < KindEstablished {
		to.shard.Learn(to.view, f.now, told)
		return
	}
	if _, seen := to.shard.Confirm(to.view, f.now, told); seen.Kind == ObservedEstablished {
		f.confirmed++
	}
}

// lose counts a lost packet. A caller gives up after ten in a row.
func (f *fleet) lose(c *caller, reason model.Reason) {
	f.drops[reason]++
	if c.lost++; c.lost >= 10 && c.established {
		f.broken[reason]++
		c.ended = true
	}
}

// arrive is the backend server's side of a packet.
func (f *fleet) arrive(c *caller, d *Decision, e *engine) {
	var server *model.Server
	var service model.ServiceID
	for i := range f.config.Services {
		for j := range f.config.Services[i].Servers {
			if f.config.Services[i].Servers[j].FlowAddress == d.To {
				server, service = &f.config.Services[i].Servers[j], f.config.Services[i].ID
			}
		}
	}
	if server == nil || service != d.Service {
		f.lose(c, model.ReasonServerRemoved) // the tunnel endpoint drops another VNI
		return
	}
	f.delivered++
	c.lost = 0
	if c.service != service {
		f.crossed = append(f.crossed, fmt.Sprintf("%s got a packet for service %d", server.ID, c.service))
	}
	if since, ok := f.withdrawn[server.Zone]; ok && f.now.Sub(since) > f.lag {
		f.late = append(f.late, fmt.Sprintf("%s in withdrawn %s got a packet from %s", server.ID, server.Zone, e.member.ID))
	}
	if c.server == "" {
		if since, ok := f.draining[server.ID]; ok && f.now.Sub(since) > f.lag {
			f.late = append(f.late, fmt.Sprintf("draining %s got a new flow from %s", server.ID, e.member.ID))
		}
		c.server = server.ID
		f.newFlows[server.ID]++
		// A flow that an outdated view let start in a zone out of service ends there.
		_, c.ended = f.withdrawn[server.Zone]
		return
	}
	switch {
	case c.server == server.ID:
		c.established = true
	case !c.established:
		f.resets++
		c.ended = true
	default:
		f.broken[d.Reason]++
		f.brokenTrace = append(f.brokenTrace, c.trace...)
		c.ended = true
	}
}

// excuse ends the flows whose servers satisfy a condition: their end is what
// the operators asked for.
func (f *fleet) excuse(cond func(model.Server) bool) {
	lookup := map[model.ServerID]bool{}
	for i := range f.config.Services {
		for _, s := range f.config.Services[i].Servers {
			lookup[s.ID] = cond(s)
		}
	}
	for _, c := range f.flows {
		if lookup[c.server] {
			c.ended = true
		}
	}
}

func (f *fleet) totalBroken() int {
	n := 0
	for _, x := range f.broken {
		n += x
	}
	return n
}
