package registry

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"github.com/savorytiller/savorytiller/internal/core/catalog"
	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/core/peer"
	"github.com/savorytiller/savorytiller/internal/core/steering"
	"github.com/savorytiller/savorytiller/internal/port"
)

const (
	ms     = model.Time(time.Millisecond)
	second = 1000 * ms
)

// store is a simulated registry.
type store struct {
	revision uint64
	entries  map[string]catalog.Entry
	history  []catalog.Entry
	// fullHistory is the history of the current epoch, including what the copy held. It is
	// never compacted. Catalogs are compared with it, or with pastHistories of their epoch.
	fullHistory   []catalog.Entry
	pastHistories map[uint64][]catalog.Entry
	// compacted is the revision up to which the history was compacted.
	compacted uint64
	// epoch is the number of times that the store was restored from a copy, plus one.
	epoch uint64
	// down makes the calls of an instance fail. watchesBlocked keeps watches from
	// returning.
	down           func(node int) bool
	watchesBlocked bool
	// calls counts the calls by kind.
	calls map[string]int
}

func (s *store) put(e catalog.Entry) uint64 {
	s.revision++
	e.Revision = s.revision
	s.history, s.fullHistory = append(s.history, e), append(s.fullHistory, e)
	if e.Removed {
		delete(s.entries, e.Key)
	} else {
		s.entries[e.Key] = e
	}
	return s.revision
}

func (s *store) config(version uint64, routes int) uint64 {
	c := &catalog.Configuration{Version: version, Services: []catalog.Service{{Name: "s"}}}
	for i := range routes {
		c.Routes = append(c.Routes, catalog.Route{Name: fmt.Sprint(i), Endpoint: steering.Endpoint{Address: 1, Port: uint16(i)},
			Shares: []catalog.Share{{Service: "s", Weight: 1}}})
	}
	return s.put(catalog.Entry{Key: "config", Config: c})
}

func (s *store) server(id string) uint64 {
	return s.serverInState(id, model.ServerActive)
}

func (s *store) serverInState(id string, state model.ServerState) uint64 {
	return s.put(catalog.Entry{Key: "servers/" + id, Server: &catalog.ServerEntry{ID: model.ServerID(id), Number: 1,
		Address: netip.MustParseAddrPort("10.0.0.1:80"), Service: "s", Zone: "z0", Slots: 4, State: state}})
}

func (s *store) withdraw(zone model.Zone) uint64 {
	return s.put(catalog.Entry{Key: "zones/" + string(zone), Withdrawn: zone})
}

func (s *store) list() catalog.Changes {
	out := catalog.Changes{Revision: s.revision, Epoch: s.epoch}
	for _, e := range s.entries {
		out.Entries = append(out.Entries, e)
	}
	slices.SortFunc(out.Entries, func(a, b catalog.Entry) int { return cmp.Compare(a.Key, b.Key) })
	return out
}

func (s *store) since(after uint64) (catalog.Changes, error) {
	if after < s.compacted || after > s.revision {
		return catalog.Changes{}, port.ErrCompacted
	}
	out := catalog.Changes{Revision: s.revision, Epoch: s.epoch}
	for _, e := range s.history {
		if e.Revision > after {
			out.Entries = append(out.Entries, e)
		}
	}
	return out, nil
}

// delivery is an event that an instance gets at a given time. Here and below, node is the
// index of the instance.
type delivery struct {
	at   model.Time
	node int
	e    event
}

// watch is a watch in progress at the store.
type watch struct {
	node       int
	generation int
	after      uint64
	until      model.Time
}

// restore replaces the content by a copy from an earlier revision. Later revisions are given
// out again.
func (s *store) restore(copied uint64) {
	all := s.fullHistory
	s.pastHistories[s.epoch] = all
	s.epoch++
	s.revision, s.compacted = copied, min(s.compacted, copied)
	s.entries, s.history, s.fullHistory = map[string]catalog.Entry{}, nil, nil
	for _, e := range all {
		if e.Revision > copied {
			continue
		}
		s.fullHistory = append(s.fullHistory, e)
		if e.Revision > s.compacted {
			s.history = append(s.history, e)
		}
		if e.Removed {
			delete(s.entries, e.Key)
		} else {
			s.entries[e.Key] = e
		}
	}
}

// testingT is a test or a check of a property test, which can repeat its failures.
type testingT interface {
	require.TestingT
	Fatalf(format string, args ...any)
}

// fleet runs the machines of several instances with a simulated registry and network.
type fleet struct {
	t         testingT
	store     *store
	nodes     []*machine
	alive     []bool
	byAddr    map[netip.AddrPort]int
	queue     []delivery
	watches   []watch
	now       model.Time
	blocked   func(from, to int) bool // reports whether messages between two instances are lost
	random    *rand.Rand
	loss      float64
	snapshots []*steering.Snapshot
	messages  int
	// listings counts the messages that carry parts of complete listings, changes those
	// that carry changes.
	listings, changes int
	// onChanges is called for each message with changes that an instance sends; may be nil.
	onChanges func(from int)
	// onEffect performs the effects that concern servers; may be nil.
	onEffect func(node int, x effect)
	// deliveries returns after what times copies of a message arrive; may be nil.
	deliveries func(m *peer.Message) []time.Duration
	// paused is until when each instance stands still. Its events wait.
	paused []model.Time
}

// newFleet returns instances in zones z0, z1, ... that have the first instance as their
// seed.
func newFleet(t testingT, n, zones int) *fleet {
	f := &fleet{t: t, byAddr: map[netip.AddrPort]int{}, random: rand.New(rand.NewPCG(1, uint64(n))),
		store: &store{epoch: 1, pastHistories: map[uint64][]catalog.Entry{}, entries: map[string]catalog.Entry{}, calls: map[string]int{}},
		alive: make([]bool, n), paused: make([]model.Time, n), snapshots: make([]*steering.Snapshot, n), nodes: make([]*machine, n)}
	for i := range n {
		f.start(i, zones)
	}
	return f
}

func (f *fleet) start(i, zones int) { f.startWithIncarnation(i, zones, model.Incarnation(f.now+1)) }

func (f *fleet) startWithIncarnation(i, zones int, incarnation model.Incarnation) {
	at := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, byte(i)}), 7000)
	f.byAddr[at] = i
	f.nodes[i] = newMachine(Options{Seed: uint64(i + 1), Log: logr.Discard(), Catalog: catalog.Settings{Lifetime: time.Minute, UnlistedGrace: 2 * time.Second}, Bounds: Bounds{ConfigApply: 3 * time.Second, Drain: 3 * time.Second, Evacuation: 5 * time.Second},
		Seeds: []netip.AddrPort{netip.MustParseAddrPort("10.1.0.0:7000")},
		Self: model.Member{ID: model.InstanceID(fmt.Sprintf("n%02d", i)), Zone: model.Zone(fmt.Sprintf("z%d", i%zones)),
			Incarnation: incarnation, PeerAddress: at}})
	f.alive[i], f.snapshots[i] = true, nil
	f.post(f.now+model.Time(f.random.IntN(300))*ms, i, nil)
}

func (f *fleet) kill(i int) {
	f.alive[i] = false
	f.watches = slices.DeleteFunc(f.watches, func(w watch) bool { return w.node == i })
	f.queue = slices.DeleteFunc(f.queue, func(d delivery) bool { return d.node == i })
}

func (f *fleet) post(at model.Time, node int, e event) {
	f.queue = append(f.queue, delivery{at, node, e})
}

// run advances the simulated time by d and handles the events that are due.
func (f *fleet) run(d time.Duration) {
	end := f.now.Add(d)
	for {
		f.answerWatches()
		next := -1
		for i := range f.queue {
			if f.queue[i].at <= end && (next < 0 || f.queue[i].at < f.queue[next].at) {
				next = i
			}
		}
		if next < 0 {
			f.now = end
			return
		}
		e := f.queue[next]
		f.queue = slices.Delete(f.queue, next, next+1)
		f.now = max(f.now, e.at)
		if until := f.paused[e.node]; f.now.Before(until) {
			f.post(until, e.node, e.e)
			continue
		}
		if f.alive[e.node] {
			f.step(e.node, e.e)
		}
	}
}

// timer is the wake-up of an instance. Only the last one that was set counts.
type timer struct{}

// step lets an instance handle an event, performs the resulting effects, and checks that its
// configuration did not revert and that its catalog is complete.
func (f *fleet) step(node int, e event) {
	m := f.nodes[node]
	if _, ok := e.(timer); ok {
		e = nil
	}
	before := m.feed.revision
	m.handle(f.now, e)
	for _, x := range m.takeEffects() {
		f.perform(node, x)
	}
	if s := m.takeSnapshot(); s != nil {
		if old := f.snapshots[node]; old != nil {
			require.GreaterOrEqual(f.t, s.Version, old.Version, "configuration of instance %d reverted", node)
		}
		f.snapshots[node] = s
	}
	if before != m.feed.revision {
		f.verifyCatalog(node)
	}
	f.queue = slices.DeleteFunc(f.queue, func(d delivery) bool {
		_, ok := d.e.(timer)
		return ok && d.node == node
	})
	f.post(m.nextWake, node, timer{})
}

// verifyCatalog checks that an instance holds what the registry held at the revision up to
// which its catalog is said to be complete, or newer entries.
func (f *fleet) verifyCatalog(node int) {
	m := f.nodes[node]
	if !m.feed.listed {
		return
	}
	held := map[string]catalog.Entry{}
	newer := map[string]bool{}
	history, past := f.store.pastHistories[m.feed.epoch]
	if !past {
		history = f.store.fullHistory
	}
	for _, e := range history {
		if e.Revision > m.feed.revision {
			newer[e.Key] = true
		} else if e.Removed {
			delete(held, e.Key)
		} else {
			held[e.Key] = e
		}
	}
	for _, e := range m.catalog.Entries() {
		_, ok := held[e.Key]
		lapsing := e.Withdrawn != "" && m.catalog.HeldZones() > 0 // unless it is written again
		require.True(f.t, ok || newer[e.Key] || lapsing, "instance %d holds %s at revision %d", node, e.Key, m.feed.revision)
		if want := held[e.Key].Config; want != nil {
			require.GreaterOrEqual(f.t, e.Config.Version, want.Version, "instance %d at revision %d", node, m.feed.revision)
		}
		delete(held, e.Key)
	}
	for key := range held {
		require.True(f.t, newer[key], "instance %d lacks %s at revision %d", node, key, m.feed.revision)
	}
}

// perform performs an effect with the simulated registry and network.
func (f *fleet) perform(node int, x effect) {
	down := f.store.down != nil && f.store.down(node)
	if f.onEffect != nil {
		f.onEffect(node, x)
	}
	switch x := x.(type) {
	case effList:
		f.store.calls["list"]++
		e := evChanges{generation: x.generation, listing: true, changes: f.store.list()}
		if down {
			e = evChanges{generation: x.generation, listing: true, err: port.ErrUnavailable}
		}
		f.post(f.now+5*ms, node, e)
	case effCheck:
		f.store.calls["check"]++
		e := evChecked{position: catalog.Position{Epoch: f.store.epoch, Revision: f.store.revision}}
		if down {
			e = evChecked{err: port.ErrUnavailable}
		}
		f.post(f.now+5*ms, node, e)
	case effWatch:
		f.store.calls["watch"]++
		if down {
			f.post(f.now+5*ms, node, evChanges{generation: x.generation, err: port.ErrUnavailable})
			return
		}
		f.watches = append(f.watches, watch{node, x.generation, x.after, f.now.Add(x.wait)})
		f.post(f.now.Add(x.wait), node, nil)
	case effCancel:
		f.watches = slices.DeleteFunc(f.watches, func(w watch) bool { return w.node == node })
	case effSend:
		f.messages++
		if x.message.Kind == peer.Changes && x.message.AfterRevision == 0 {
			f.listings++
		} else if x.message.Kind == peer.Changes {
			f.changes++
			if f.onChanges != nil {
				f.onChanges(node)
			}
		}
		to, ok := f.byAddr[x.to.PeerAddress]
		if !ok || f.blocked != nil && f.blocked(node, to) || f.random.Float64() < f.loss {
			return
		}
		copied := *x.message
		copied.Entries = slices.Clone(x.message.Entries)
		for i := range copied.Entries {
			if copied.Entries[i].Delta != nil {
				copied.Entries[i].Config = nil // as after encoding and decoding
			}
		}
		delays := []time.Duration{0}
		if f.deliveries != nil {
			delays = f.deliveries(&copied)
		}
		for _, delay := range delays {
			f.post(f.now.Add(delay)+ms+model.Time(f.random.IntN(4))*ms, to, evMessage{&copied})
		}
	}
}

// answerWatches answers the watches that have changes or have expired.
func (f *fleet) answerWatches() {
	f.watches = slices.DeleteFunc(f.watches, func(w watch) bool {
		changes, err := f.store.since(w.after)
		expired := !f.now.Before(w.until)
		if f.store.watchesBlocked || err == nil && len(changes.Entries) == 0 && !expired {
			return false
		}
		f.post(f.now+5*ms, w.node, evChanges{generation: w.generation, changes: changes, err: err})
		return true
	})
}

// restoreStore makes the store unreachable for a time, after which it is back from a copy from
// an earlier revision. It returns the latest entries of the keys that changed since the copy.
func (f *fleet) restoreStore(copied uint64, away time.Duration) (lost []catalog.Entry) {
	latest := map[string]catalog.Entry{}
	for _, e := range f.store.fullHistory {
		if e.Revision > copied {
			latest[e.Key] = e
		}
	}
	f.store.down = func(int) bool { return true }
	for _, w := range f.watches {
		f.post(f.now+5*ms, w.node, evChanges{generation: w.generation, err: port.ErrUnavailable})
	}
	f.watches = nil
	f.run(away)
	f.store.restore(copied)
	f.store.down = nil
	for _, e := range latest {
		lost = append(lost, e)
	}
	slices.SortFunc(lost, func(a, b catalog.Entry) int { return cmp.Compare(a.Revision, b.Revision) })
	return lost
}

// rewrite writes entries again, as operators and servers do after a restore.
func (f *fleet) rewrite(lost []catalog.Entry) {
	for _, e := range lost {
		e.Delta, e.Restored = nil, false
		f.store.put(e)
	}
}

// versions returns the number of live instances for each configuration version in force.
// Instances without a snapshot count as version 0.
func (f *fleet) versions() map[uint64]int {
	out := map[uint64]int{}
	for i, s := range f.snapshots {
		if f.alive[i] {
			if s == nil {
				out[0]++
			} else {
				out[s.Version]++
			}
		}
	}
	return out
}

// timeUntilInForce returns how long it takes until a version is in force on all live
// instances. It fails the test after the limit.
func (f *fleet) timeUntilInForce(version uint64, limit time.Duration) time.Duration {
	start := f.now
	for f.now.Sub(start) < limit {
		f.run(10 * time.Millisecond)
		if v := f.versions(); len(v) == 1 && v[version] > 0 {
			return f.now.Sub(start)
		}
	}
	f.t.Fatalf("version %d is not in force after %v: %v", version, limit, f.versions())
	return 0
}

// newRunningFleet returns a fleet that has run for 10 s with configuration 3 and server a.
func newRunningFleet(t testingT, n, zones int) *fleet {
	f := newFleet(t, n, zones)
	f.store.config(3, 20)
	f.store.server("a")
	f.run(10 * time.Second)
	require.Equal(t, map[uint64]int{3: n}, f.versions())
	return f
}

// pulls returns the total number of pulls.
func (f *fleet) pulls() (n uint64) {
	for _, m := range f.nodes {
		n += m.counts.Pulls
	}
	return n
}
