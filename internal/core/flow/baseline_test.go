package flow

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/core/placement"
	"github.com/savorytiller/savorytiller/internal/core/table"
)

// baseline is a fleet without owners: each instance maps a flow with a table of
// the active servers. With state set, it also remembers the flows that it has
// seen itself.
type baseline struct {
	rng       *rand.Rand
	build     func([]model.Server) func(uint64) model.ServerID
	state     bool
	instances []*baselineInstance
	config    *model.Configuration
}

type baselineInstance struct {
	choose func(uint64) model.ServerID
	known  map[uint64]model.ServerID
}

// rendezvous is plain consistent hashing.
func rendezvous(servers []model.Server) func(uint64) model.ServerID {
	t := table.Build(servers)
	return func(h uint64) model.ServerID { return t.Lookup(h).ID }
}

// maglev fills a table after Eisenbud et al., "Maglev" (2016), section 3.4.
// Weights repeat a server's turn.
func maglev(servers []model.Server) func(uint64) model.ServerID {
	const size = 65537
	entries := make([]model.ServerID, size)
	next := make([]uint64, len(servers))
	for filled := 0; ; {
		for i, s := range servers {
			h := placement.HashString(string(s.ID))
			offset, skip := h>>32%size, h&0xffffffff%(size-1)+1
			for range max(1, s.Weight/50) {
				c := (offset + next[i]*skip) % size
				for ; entries[c] != ""; c = (offset + next[i]*skip) % size {
					next[i]++
				}
				entries[c] = s.ID
				if filled++; filled == size {
					return func(h uint64) model.ServerID { return entries[h%size] }
				}
			}
		}
	}
}

func (b *baseline) join() {
	i := &baselineInstance{known: map[uint64]model.ServerID{}}
	b.instances = append(b.instances, i)
	b.update(i)
}

// update brings the present configuration in force at an instance.
func (b *baseline) update(i *baselineInstance) {
	var servers []model.Server
	for _, s := range b.config.Services[0].Servers {
		if s.State == model.ServerActive && !b.config.Withdrawn(s.Zone) {
			servers = append(servers, s)
		}
	}
	i.choose = b.build(servers)
}

func (b *baseline) send(print uint64) model.ServerID {
	i := b.instances[b.rng.IntN(len(b.instances))]
	if server, ok := i.known[print]; ok {
		return server
	}
	server := i.choose(print)
	if b.state {
		i.known[print] = server
	}
	return server
}

// run opens flows, applies a change that reaches the instances one after the
// other while the flows send, and returns the flows that reached another server
// although theirs still runs, and the load before the change (maximum over mean).
func (b *baseline) run(f *fleet, change string) (broken int, imbalance float64) {
	const flows = 1000
	b.config = f.config
	for range 7 {
		b.join()
	}
	server := make([]model.ServerID, flows)
	load := map[model.ServerID]int{}
	for i := range server {
		server[i] = b.send(placement.Mix(uint64(i), 9))
		load[server[i]]++
	}
	for _, n := range load {
		imbalance = max(imbalance, float64(n)*float64(len(f.config.Services[0].Servers))/flows)
	}
	switch change {
	case "add instance":
		b.join()
	case "drain instance", "crash instance":
		b.instances = b.instances[1:]
	default:
		plannedChanges[change](f)
		b.config = f.config
	}
	gone := map[model.ServerID]bool{}
	for _, s := range f.config.Services[0].Servers {
		gone[s.ID] = f.config.Withdrawn(s.Zone)
	}
	lost := map[int]bool{}
	for _, instance := range b.instances {
		b.update(instance)
		for i := range server {
			if !gone[server[i]] && b.send(placement.Mix(uint64(i), 9)) != server[i] {
				lost[i] = true
			}
		}
	}
	return len(lost), imbalance
}

// ours does the same as baseline.run with the shards of this package.
func ours(f *fleet, change string) (broken int, imbalance float64) {
	const flows = 1000
	for range flows {
		f.open(0, time.Second)
	}
	for _, n := range f.newFlows {
		imbalance = max(imbalance, float64(n)*float64(len(f.config.Services[0].Servers))/flows)
	}
	for range 10 {
		f.step(500 * time.Millisecond)
	}
	if change == "crash instance" {
		f.crash()
	} else {
		plannedChanges[change](f)
		f.spread(f.lag)
	}
	f.after()
	return f.totalBroken(), imbalance
}

// Compares broken flows and load with two designs that share nothing between
// instances, and guards against a change that breaks more flows here than there.
func TestPlannedChangeBreaksFewerFlowsThanBaselines(t *testing.T) {
	changes := append(changeNames("remove drained server", "replace instance", "zone back"), "crash instance")
	slices.Sort(changes)
	for _, change := range changes {
		fleetOf := func() *fleet { return newFleet(42, fourZones, someServer, 1) }
		own, load := ours(fleetOf(), change)
		hashing, hashLoad := (&baseline{rng: rand.New(rand.NewPCG(1, 2)), build: rendezvous}).run(fleetOf(), change)
		local, localLoad := (&baseline{rng: rand.New(rand.NewPCG(1, 2)), build: maglev, state: true}).run(fleetOf(), change)
		t.Logf("%-15s broken of 1000: own %d, consistent hashing %d, Maglev with local state %d; load %.2f, %.2f, %.2f",
			change, own, hashing, local, load, hashLoad, localLoad)
		require.Zero(t, own, change)
		require.GreaterOrEqual(t, hashing+local, own)
		if change == "add server" || change == "drain server" || change == "change weight" {
			require.Positive(t, hashing, change)
			require.Positive(t, local, change)
		}
	}
}
