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

// baseline is a fleet without flow owners: each instance maps flows to the active
// servers by a table. If stateful is set, an instance also keeps the servers of
// the flows whose packets reached it.
type baseline struct {
	rng       *rand.Rand
	build     func([]model.Server) func(uint64) model.ServerID
	stateful  bool
	instances []*baselineInstance
	config    *model.Configuration
}

type baselineInstance struct {
	choose func(uint64) model.ServerID
	known  map[uint64]model.ServerID
}

// rendezvous is consistent hashing without any flow state.
func rendezvous(servers []model.Server) func(uint64) model.ServerID {
	t := table.Build(servers)
	return func(h uint64) model.ServerID { return t.Lookup(h).ID }
}

// maglev fills a table as Eisenbud et al., "Maglev" (2016), section 3.4 describe.
// A server with a higher weight gets several turns per round.
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

// update applies the current configuration at an instance.
func (b *baseline) update(i *baselineInstance) {
	var servers []model.Server
	for _, s := range b.config.Services[0].Servers {
		if s.State == model.ServerActive && !b.config.Withdrawn(s.Zone) {
			servers = append(servers, s)
		}
	}
	i.choose = b.build(servers)
}

func (b *baseline) send(fingerprint uint64) model.ServerID {
	i := b.instances[b.rng.IntN(len(b.instances))]
	if server, ok := i.known[fingerprint]; ok {
		return server
	}
	server := i.choose(fingerprint)
	if b.stateful {
		i.known[fingerprint] = server
	}
	return server
}

// run opens flows and applies a change that reaches the instances one after the
// other while the flows send. It returns the number of flows that reached another
// server although theirs is still running, and the load before the change
// (maximum over mean).
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

// runFleet does the same as baseline.run with the shards of this package.
func runFleet(f *fleet, change string) (broken int, imbalance float64) {
	const flows = 1000
	for range flows {
		f.openFlow(0, time.Second)
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
		f.sendViews(f.maxViewDelay)
	}
	f.runOneMinute()
	return f.totalBroken(), imbalance
}

// Guards against planned changes and crashes that break flows. Compares the
// broken flows and the load with two designs whose instances share no flow state.
func TestPlannedChangeBreaksFewerFlowsThanBaselines(t *testing.T) {
	changes := append(changeNames("remove drained server", "replace instance", "zone back"), "crash instance")
	slices.Sort(changes)
	for _, change := range changes {
		fleetOf := func() *fleet { return newFleet(42, fourZones, someServers, 1) }
		own, load := runFleet(fleetOf(), change)
		hashing, hashLoad := (&baseline{rng: rand.New(rand.NewPCG(1, 2)), build: rendezvous}).run(fleetOf(), change)
		local, localLoad := (&baseline{rng: rand.New(rand.NewPCG(1, 2)), build: maglev, stateful: true}).run(fleetOf(), change)
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
