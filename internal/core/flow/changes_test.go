package flow

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/savorytiller/savorytiller/internal/core/model"
)

var (
	fourZones   = map[model.Zone]int{"halle-a": 2, "halle-b": 2, "halle-c": 2, "qs-labor": 1}
	someServers = map[model.Zone]int{"halle-a": 4, "halle-b": 4, "halle-c": 4, "qs-labor": 3}
)

// drainPeriod is how long a leaving instance keeps running.
const drainPeriod = 30 * time.Second

// pickServer returns a random server of the first service that satisfies a condition.
func (f *fleet) pickServer(cond func(model.Server) bool) *model.Server {
	var all []model.Server
	for _, s := range f.config.Services[0].Servers {
		if cond(s) {
			all = append(all, s)
		}
	}
	if len(all) == 0 {
		return nil
	}
	return &all[f.rng.IntN(len(all))]
}

func (f *fleet) editServer(id model.ServerID, edit func(*model.Server)) {
	f.changeConfig(func(c *model.Configuration) {
		for i := range c.Services[0].Servers {
			if c.Services[0].Servers[i].ID == id {
				edit(&c.Services[0].Servers[i])
			}
		}
	})
}

func active(s model.Server) bool { return s.State == model.ServerActive }

// plannedChanges are the changes that operators make. Each does nothing if it
// does not apply.
var plannedChanges = map[string]func(f *fleet){
	"add server": func(f *fleet) {
		zone := sortedZones(someServers)[f.rng.IntN(4)]
		f.changeConfig(func(c *model.Configuration) {
			c.Services[0].Servers = append(c.Services[0].Servers, f.newServer(zone))
		})
	},
	"drain server": func(f *fleet) {
		if s := f.pickServer(active); s != nil && len(f.config.Services[0].Servers)-len(f.draining) > 8 {
			f.editServer(s.ID, func(s *model.Server) { s.State = model.ServerDraining })
			f.draining[s.ID] = f.now
		}
	},
	"remove drained server": func(f *fleet) {
		s := f.pickServer(func(s model.Server) bool { return !active(s) })
		if s == nil {
			return
		}
		f.endFlowsOf(func(x model.Server) bool { return x.ID == s.ID })
		delete(f.draining, s.ID)
		f.changeConfig(func(c *model.Configuration) {
			c.Services[0].Servers = slices.DeleteFunc(c.Services[0].Servers, func(x model.Server) bool { return x.ID == s.ID })
		})
	},
	"change weight": func(f *fleet) {
		if s := f.pickServer(active); s != nil {
			f.editServer(s.ID, func(s *model.Server) { s.Weight = uint16(20 + f.rng.IntN(300)) })
		}
	},
	"add instance": func(f *fleet) {
		if len(f.members) < 12 {
			f.join(sortedZones(fourZones)[f.rng.IntN(4)])
		}
	},
	"drain instance": func(f *fleet) { f.startLeaving() },
	"replace instance": func(f *fleet) {
		if m := f.startLeaving(); m != nil {
			f.join(m.Zone)
		}
	},
	"zone out": func(f *fleet) {
		zone := sortedZones(fourZones)[f.rng.IntN(4)]
		if len(f.config.WithdrawnZones) > 0 || f.now.Sub(f.zoneChanged) <= f.maxViewDelay {
			return // operators wait until the previous change is in force everywhere
		}
		f.zoneChanged = f.now
		f.endFlowsOf(func(s model.Server) bool { return s.Zone == zone })
		f.withdrawn[zone] = f.now
		f.changeConfig(func(c *model.Configuration) { c.WithdrawnZones = []model.Zone{zone} })
	},
	"zone back": func(f *fleet) {
		if len(f.config.WithdrawnZones) == 0 || f.now.Sub(f.zoneChanged) <= f.maxViewDelay {
			return
		}
		f.zoneChanged = f.now
		clear(f.withdrawn)
		f.changeConfig(func(c *model.Configuration) { c.WithdrawnZones = nil })
	},
}

// startLeaving marks a random instance as leaving, unless it is the last live one
// of its zone. It returns nil if it did nothing.
func (f *fleet) startLeaving() *model.Member {
	m := &f.members[f.rng.IntN(len(f.members))]
	others := 0
	for i := range f.members {
		if f.members[i].Zone == m.Zone && f.members[i].Liveness == model.Live && f.members[i].ID != m.ID {
			others++
		}
	}
	if m.Liveness != model.Live || others == 0 {
		return nil
	}
	m.Liveness = model.Leaving
	inst := f.instances[m.FlowAddress]
	inst.exitAt = f.now.Add(drainPeriod)
	inst.apply(f, update{f.now, f.round, nil, slices.Clone(f.members)}) // the leaving instance has its own state at once
	return m
}

func changeNames(without ...string) []string {
	var names []string
	for name := range plannedChanges {
		if !slices.Contains(without, name) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// run applies random changes, up to three at a time, while flows open and send.
func (f *fleet) run(t *rapid.T, names []string, rounds int) {
	for range 60 {
		f.openFlow(0, time.Duration(200+f.rng.IntN(20000))*time.Millisecond)
	}
	for range 10 {
		f.step(200 * time.Millisecond)
	}
	for range rounds {
		for range rapid.IntRange(1, 3).Draw(t, "at once") {
			plannedChanges[rapid.SampledFrom(names).Draw(t, "change")](f)
		}
		f.sendViews(f.maxViewDelay)
		for i := range rapid.IntRange(2, 60).Draw(t, "steps") {
			f.step(200 * time.Millisecond)
			if i%4 == 0 {
				f.openFlow(0, time.Duration(200+f.rng.IntN(20000))*time.Millisecond)
			}
		}
	}
	for range 200 { // idle flows send at least once more
		f.step(200 * time.Millisecond)
	}
}

// Guards against established flows that reach another server while servers and
// instances are added, drained and replaced, several at once. The instances get
// views late, at different times, twice and out of order.
func TestPlannedChangeBreaksNoFlow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.Uint64().Draw(t, "seed"), fourZones, someServers, 1)
		f.run(t, changeNames("zone out", "zone back"), 6)
		require.Zero(t, f.totalBroken(), "broken by reason: %v\n%s", f.broken, strings.Join(f.brokenTrace, "\n"))
		require.Positive(t, f.delivered)
	})
}

// Guards against packets to a withdrawn availability zone after all instances
// have the release note, and against flows in other zones that break when a zone
// is withdrawn or comes back.
func TestZoneWithdrawnGetsNoPackets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.Uint64().Draw(t, "seed"), fourZones, someServers, 1)
		f.run(t, []string{"zone out", "zone back"}, 6)
		require.Empty(t, f.lateDeliveries)
		require.Zero(t, f.totalBroken(), "broken by reason: %v\n%s", f.broken, strings.Join(f.brokenTrace, "\n"))
	})
}

// Guards against new flows on a draining server after all instances have the
// release note.
func TestLeavingServerGetsNoNewFlow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.Uint64().Draw(t, "seed"), fourZones, someServers, 1)
		f.run(t, changeNames(), 6)
		require.Empty(t, f.lateDeliveries)
	})
}
