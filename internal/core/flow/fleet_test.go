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

// fleet simulates several instances in memory, to which views arrive late and
// whose packets may arrive at any of them. It stands in for the fabric, the
// control plane, the callers and the backend servers.
type fleet struct {
	rng          *rand.Rand
	now          model.Time
	config       *model.Configuration
	configs      []*model.Configuration // all configurations so far
	members      []model.Member         // crashed ones stay until the crash is detected
	round        int                    // counts the calls of sendViews
	instances    map[netip.AddrPort]*instance
	addresses    []netip.AddrPort
	nextID       int
	generations  map[[2]uint64]*table.Generation
	flows        []*caller
	coldServers  map[model.ServerID]bool
	maxViewDelay time.Duration // longest delay of a view

	// removed holds servers that are no longer running.
	removed   map[model.ServerID]bool
	withdrawn map[model.Zone]model.Time
	draining  map[model.ServerID]model.Time
	// zoneChanged is when a zone was last withdrawn or came back.
	zoneChanged model.Time

	broken map[model.Reason]int // established flows that reached another server
	// brokenTrace lists the decisions about the packets of broken flows.
	brokenTrace []string
	resets      int // flows that broke before they were established
	drops       map[model.Reason]int
	relayed     int
	// lateDeliveries lists deliveries that came more than maxViewDelay after a
	// change that forbids them.
	lateDeliveries []string
	// crossService lists packets that a server of another service accepted.
	crossService   []string
	confirmations  int // established flows that homes of cold servers were notified of
	newFlows       map[model.ServerID]int
	exceptionBytes int // size of all exception batches
	delivered      int
}

// instance is a simulated instance: one shard and its current view.
type instance struct {
	member   model.Member
	shard    *Shard
	history  map[model.ServiceID]*table.History
	version  model.Version
	round    int
	view     *view.View
	updates  []update
	dead     bool
	exitAt   model.Time // when a leaving instance exits
	out      Output
	sequence uint64
}

// update is a view that has not arrived at its instance yet.
type update struct {
	arrivesAt model.Time
	round     int
	config    *model.Configuration
	members   []model.Member
}

// caller is a simulated caller with a single flow.
type caller struct {
	key         model.FlowKey
	service     model.ServiceID
	fingerprint uint64
	server      model.ServerID // server that accepted the SYN
	established bool
	closing     bool // its packets have the FIN flag
	ended       bool
	interval    time.Duration
	nextSend    model.Time
	lostInARow  int
	trace       []string
}

func newFleet(seed uint64, instancesPerZone map[model.Zone]int, servers map[model.Zone]int, services int) *fleet {
	f := &fleet{
		rng: rand.New(rand.NewPCG(seed, 7)), now: model.Time(time.Hour), instances: map[netip.AddrPort]*instance{}, generations: map[[2]uint64]*table.Generation{},
		coldServers: map[model.ServerID]bool{}, maxViewDelay: 2 * time.Second, removed: map[model.ServerID]bool{},
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
	f.configs = []*model.Configuration{f.config}
	for _, zone := range sortedZones(instancesPerZone) {
		for range instancesPerZone[zone] {
			f.join(zone)
		}
	}
	f.sendViews(0)
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

func (f *fleet) newAddress() netip.AddrPort {
	f.nextID++
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, byte(f.nextID >> 8), byte(f.nextID)}), 4100)
}

func (f *fleet) newServer(zone model.Zone) model.Server {
	a := f.newAddress()
	return model.Server{ID: model.ServerID(fmt.Sprintf("server-%03d", f.nextID)), Zone: zone, FlowAddress: a, Weight: 100, Connections: 2000}
}

// join starts an instance, which gets the newest configuration only.
func (f *fleet) join(zone model.Zone) *instance {
	a := f.newAddress()
	m := model.Member{ID: model.InstanceID(fmt.Sprintf("%s-%03d", zone, f.nextID)), Zone: zone, FlowAddress: a, Incarnation: model.Incarnation(f.now)}
	inst := &instance{member: m, history: map[model.ServiceID]*table.History{}}
	settings := DefaultSettings(1, 100000)
	inst.shard = NewShard(settings)
	f.instances[a], f.addresses = inst, append(f.addresses, a)
	f.members = append(f.members, m)
	inst.apply(f, update{f.now, 0, f.config, slices.Clone(f.members)})
	return inst
}

// apply puts the configurations and members of an update in force, unless newer
// ones are.
func (inst *instance) apply(f *fleet, u update) {
	config, members := f.config, placement.NewMembers(u.members)
	if inst.view != nil {
		config = inst.view.Config
		if u.round < inst.round {
			members = inst.view.Members
		}
	}
	inst.round = max(inst.round, u.round)
	for _, c := range f.missingConfigs(inst, u) {
		config, inst.version = c, c.Version
		for i := range c.Services {
			s := &c.Services[i]
			inst.history[s.ID] = inst.history[s.ID].Push(f.generation(c, s), f.now)
		}
	}
	inst.view = f.buildView(inst, config, members)
}

// missingConfigs returns the configurations that an update adds, in order. A new
// instance gets the newest one only.
func (f *fleet) missingConfigs(inst *instance, u update) []*model.Configuration {
	if u.config == nil || u.config.Version <= inst.version {
		return nil // views may arrive twice and out of order
	}
	if inst.version == 0 {
		return []*model.Configuration{u.config}
	}
	return f.configs[inst.version:u.config.Version]
}

// generation returns the tables of a service. All instances share them, because
// they do not depend on the instance.
func (f *fleet) generation(c *model.Configuration, s *model.Service) *table.Generation {
	key := [2]uint64{uint64(c.Version), uint64(s.ID)}
	if f.generations[key] == nil {
		f.generations[key] = table.NewGeneration(c, s)
	}
	return f.generations[key]
}

func (f *fleet) buildView(inst *instance, c *model.Configuration, members *placement.Members) *view.View {
	v := &view.View{Sequence: 1, FreshUntil: f.now.Add(time.Hour), Self: inst.member, Config: c, Members: members,
		Tables: map[model.ServiceID]*table.History{}, Servers: map[model.ServerID]*view.Server{}, ByNumber: map[view.ServerRef]*view.Server{}}
	if m, ok := members.Get(inst.member.ID); ok {
		v.Self = *m
	}
	for i := range c.Services {
		s := &c.Services[i]
		v.Tables[s.ID] = inst.history[s.ID]
		for _, server := range s.Servers {
			if c.Withdrawn(server.Zone) {
				continue
			}
			x := &view.Server{Server: server, Service: s.ID, Number: placement.ServerNumber(server.ID), Warmth: view.Warm}
			if server.Zone == v.Self.Zone {
				x.ConnectionLimit = max(1, server.Connections/uint32(max(1, members.LiveCountIn(server.Zone))))
				x.NewWork = server.State == model.ServerActive
				if f.coldServers[server.ID] {
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

// sendViews sends the current configuration and members to all instances, each
// with its own delay, sometimes twice or before an older view.
func (f *fleet) sendViews(maxDelay time.Duration) {
	f.round++
	for _, a := range f.addresses {
		for range 1 + f.rng.IntN(2) {
			delay := time.Duration(0)
			if maxDelay > 0 {
				delay = time.Duration(f.rng.Int64N(int64(maxDelay)))
			}
			inst := f.instances[a]
			inst.updates = append(inst.updates, update{f.now.Add(delay), f.round, f.config, slices.Clone(f.members)})
		}
	}
}

// changeConfig edits a copy of the current configuration and makes it the newest
// one.
func (f *fleet) changeConfig(edit func(c *model.Configuration)) {
	c := *f.config
	c.Version++
	c.WithdrawnZones = slices.Clone(c.WithdrawnZones)
	c.Services = slices.Clone(c.Services)
	for i := range c.Services {
		c.Services[i].Servers = slices.Clone(c.Services[i].Servers)
	}
	edit(&c)
	f.config = &c
	f.configs = append(f.configs, f.config)
}

// step advances the time: views arrive, instances tick and callers send.
func (f *fleet) step(d time.Duration) {
	f.now = f.now.Add(d)
	for _, a := range f.addresses {
		inst := f.instances[a]
		if inst.dead {
			continue
		}
		inst.updates = slices.DeleteFunc(inst.updates, func(u update) bool {
			if u.arrivesAt > f.now {
				return false
			}
			inst.apply(f, u)
			return true
		})
		if inst.exitAt != 0 && f.now > inst.exitAt {
			inst.dead = true
			f.removeMember(inst.member.ID)
			continue
		}
		inst.shard.Tick(inst.view, f.now, &inst.out)
		for _, b := range inst.out.Batches {
			f.exceptionBytes += batchBytes + recordBytes*len(b.Records)
			if to := f.instances[b.To.FlowAddress]; to != nil && !to.dead {
				to.shard.StoreRecords(to.view, f.now, b.Records)
			} else {
				inst.shard.BatchFailed(&b)
			}
		}
	}
	for _, c := range f.flows {
		if !c.ended && f.now >= c.nextSend {
			c.nextSend = f.now.Add(c.interval/2 + time.Duration(f.rng.Int64N(int64(c.interval))))
			f.sendPacket(c)
		}
	}
}

// removeMember removes an instance from the members and sends new views.
func (f *fleet) removeMember(id model.InstanceID) {
	f.members = slices.DeleteFunc(f.members, func(m model.Member) bool { return m.ID == id })
	f.sendViews(f.maxViewDelay)
}

// openFlow starts a flow to a service.
func (f *fleet) openFlow(service int, interval time.Duration) *caller {
	f.nextID++
	c := &caller{service: f.config.Services[service].ID, interval: interval, key: model.FlowKey{Protocol: ProtocolTCP,
		Source:      netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 2, byte(f.nextID >> 16), byte(f.nextID >> 8)}), uint16(f.nextID)),
		Destination: f.config.Services[service].VirtualAddress}}
	c.fingerprint = Fingerprint(c.key)
	f.flows = append(f.flows, c)
	f.sendPacket(c)
	return c
}

// sendPacket sends a packet of a caller to a random instance and follows it until
// it is delivered or lost.
func (f *fleet) sendPacket(c *caller) {
	m := Message{Key: c.key, Fingerprint: c.fingerprint, Flags: FlagACK, Ack: uint32(f.now >> 20)}
	if c.server == "" {
		m.Flags = FlagSYN
	}
	if c.closing {
		m.Flags |= FlagFIN
	}
	var at netip.AddrPort
	for at = f.addresses[f.rng.IntN(len(f.addresses))]; f.instances[at].dead; at = f.addresses[f.rng.IntN(len(f.addresses))] {
	}
	for range 32 {
		inst := f.instances[at]
		if inst == nil || inst.dead {
			f.recordLoss(c, model.ReasonPeerUnreachable)
			return
		}
		var d Decision
		version := inst.version
		inst.shard.HandlePacket(inst.view, f.now, &m, &d)
		c.trace = append(c.trace, fmt.Sprintf("%v %s version %d of %d, message %d hops %d: action %d %s to %v", time.Duration(f.now), inst.member.ID, version, f.config.Version, m.Kind, m.Hops, d.Action, d.Reason, d.To))
		if d.Notify {
			f.deliverNotification(inst, &m, &d)
		}
		switch d.Action {
		case Drop:
			f.recordLoss(c, d.Reason)
			return
		case Deliver:
			f.deliverToServer(c, &d, inst)
			return
		}
		f.relayed++
		m.Kind, m.Service, m.Sender, m.Hops, m.Attempt, m.Server = d.ForwardHeader.Kind, d.Service, inst.member.FlowAddress, d.ForwardHeader.Hops, d.ForwardHeader.Attempt, d.ForwardHeader.Server
		if d.ForwardHeader.Sender.IsValid() {
			m.Sender = d.ForwardHeader.Sender
		}
		at = d.To
	}
	f.recordLoss(c, model.ReasonTooManyHops)
}

func (f *fleet) deliverNotification(inst *instance, m *Message, d *Decision) {
	to := f.instances[d.NotifyTo]
	if to == nil || to.dead {
		return
	}
	inst.sequence++
	notification := &Message{Kind: d.NotifyHeader.Kind, Service: d.Service, Fingerprint: m.Fingerprint, Sender: inst.member.FlowAddress,
		Sequence: inst.sequence, Attempt: d.NotifyHeader.Attempt, Server: d.NotifyHeader.Server, Validity: d.NotifyHeader.Validity}
	if notification.Kind < KindEstablished {
		to.shard.LearnServer(to.view, f.now, notification)
		return
	}
	if _, observed := to.shard.HandleFlowState(to.view, f.now, notification); observed.Kind == ObservedEstablished {
		f.confirmations++
	}
}

// recordLoss counts a lost packet. A caller gives up after ten lost packets in a
// row.
func (f *fleet) recordLoss(c *caller, reason model.Reason) {
	f.drops[reason]++
	if c.lostInARow++; c.lostInARow >= 10 && c.established {
		f.broken[reason]++
		c.ended = true
	}
}

// deliverToServer simulates the backend server that gets a packet.
func (f *fleet) deliverToServer(c *caller, d *Decision, inst *instance) {
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
		f.recordLoss(c, model.ReasonServerRemoved) // the server's tunnel endpoint drops packets with another VNI
		return
	}
	f.delivered++
	c.lostInARow = 0
	if c.service != service {
		f.crossService = append(f.crossService, fmt.Sprintf("%s got a packet for service %d", server.ID, c.service))
	}
	if since, ok := f.withdrawn[server.Zone]; ok && f.now.Sub(since) > f.maxViewDelay {
		f.lateDeliveries = append(f.lateDeliveries, fmt.Sprintf("%s in withdrawn %s got a packet from %s", server.ID, server.Zone, inst.member.ID))
	}
	if c.server == "" {
		if since, ok := f.draining[server.ID]; ok && f.now.Sub(since) > f.maxViewDelay {
			f.lateDeliveries = append(f.lateDeliveries, fmt.Sprintf("draining %s got a new flow from %s", server.ID, inst.member.ID))
		}
		c.server = server.ID
		f.newFlows[server.ID]++
		// A flow that was opened under an outdated view in a withdrawn zone ends
		// here.
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

// endFlowsOf ends the flows whose servers satisfy a condition, because the
// operators' change ends them on purpose.
func (f *fleet) endFlowsOf(cond func(model.Server) bool) {
	matches := map[model.ServerID]bool{}
	for i := range f.config.Services {
		for _, s := range f.config.Services[i].Servers {
			matches[s.ID] = cond(s)
		}
	}
	for _, c := range f.flows {
		if matches[c.server] {
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
