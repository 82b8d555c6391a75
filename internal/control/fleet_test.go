package control

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/savorytiller/savorytiller/internal/core/model"
)

// Guards against a note that is not in force on all instances within seconds of its
// publication.
func TestNoteReachesAllInstances(t *testing.T) {
	s := newSim(1)
	s.publish(initialBody(4, "a", "b", "c"))
	s.fleet(3, "a", "b", "c")
	s.run(5 * time.Second)
	for _, v := range s.versions() {
		require.Equal(t, model.Version(1), v)
	}
	s.publish(weightBody("a-s0", "a", 5000, 50))
	s.run(time.Second)
	for i, v := range s.versions() {
		require.Equal(t, model.Version(2), v, fmt.Sprint(s.ids[i]))
	}
	for _, id := range s.ids {
		n := s.nodes[id]
		require.True(t, n.view.Fresh(s.now))
		require.Len(t, n.view.Members.All(), 9)
		require.Empty(t, n.m.status().Conflict)
	}
}

// requireNoRevert fails the test if the version of an instance decreases between two
// starts, or if a view has an older configuration than the previous view.
func requireNoRevert(t require.TestingT, s *sim) {
	type seen struct {
		run  *machine
		v    model.Version
		view model.Version
	}
	last := map[model.InstanceID]seen{}
	s.afterEvent = func(n *simNode) {
		before, now := last[n.self.ID], seen{run: n.m, v: n.m.version()}
		if n.view != nil && n.view.Config != nil {
			now.view = n.view.Config.Version
		}
		if before.run == n.m {
			require.GreaterOrEqual(t, now.v, before.v, "version in force at %s", n.self.ID)
			require.GreaterOrEqual(t, now.view, before.view, "version in the view of %s", n.self.ID)
		}
		last[n.self.ID] = now
	}
}

// Guards against an instance that returns to an older configuration while notes
// arrive late, repeatedly or out of order, the service serves old values, instances
// restart and pause, links lose messages and zones are partitioned.
func TestNeverRevertsUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(rapid.Uint64().Draw(t, "seed"))
		requireNoRevert(t, s)
		s.publish(initialBody(2, "a", "b"))
		s.fleet(3, "a", "b")
		s.run(4 * time.Second)
		old := s.configService.snapshot()
		for range rapid.IntRange(5, 25).Draw(t, "steps") {
			n := s.nodes[rapid.SampledFrom(s.ids).Draw(t, "node")]
			switch rapid.IntRange(0, 8).Draw(t, "step") {
			case 0, 1:
				s.publish(weightBody("a-s0", "a", 5000, rapid.IntRange(1, 1000).Draw(t, "weight")))
			case 2:
				s.configService.stale = old
				s.notifyWatches()
			case 3:
				s.configService.down = !s.configService.down
				s.notifyWatches()
			case 4:
				n.crash()
				s.schedule(time.Duration(rapid.IntRange(10, 5000).Draw(t, "down"))*time.Millisecond, func() {
					if !n.up {
						n.start()
					}
				})
			case 5:
				n.pause(time.Duration(rapid.IntRange(100, 6000).Draw(t, "pause")) * time.Millisecond)
			case 6:
				s.cut = func(a, b model.InstanceID) bool { return a[0] != b[0] }
			case 7:
				s.loss = rapid.SampledFrom([]float64{0, 0.05, 0.2}).Draw(t, "loss")
			case 8:
				// A repeated offer of the first version.
				if c := n.m.notes.config; c != nil {
					answer := make(chan reply, 1)
					n.deliver(evRequest{s.ids[0], &offer{Version: 1, Digest: 1, Note: RawNote(old["release/1"])}, answer})
				}
			}
			s.run(time.Duration(rapid.IntRange(0, 4000).Draw(t, "wait")) * time.Millisecond)
		}
		s.loss, s.cut, s.configService.stale, s.configService.down = 0, nil, nil, false
		s.notifyWatches()
		s.run(40 * time.Second)
		for i, v := range s.versions() {
			require.Equal(t, model.Version(s.configService.revision), v, "%s after the end of the faults", s.ids[i])
		}
	})
}

// Guards against an instance that keeps an old version although its peers have a newer one:
// the backoff after failed reads of the service delayed the transfers from peers as well.
func TestServiceBackoffDoesNotDelayTransfersFromPeers(t *testing.T) {
	s := newSim(5)
	s.publish(initialBody(2, "a", "b"))
	s.fleet(2, "a", "b")
	s.run(4 * time.Second)
	n := s.nodes["b-2"]
	s.cut = func(a, b model.InstanceID) bool { return a == "b-2" || b == "b-2" }
	for range 6 {
		n.m.scheduler.BackOff(s.now)
	}
	n.m.handleLatest([]byte(`{"version":2,"digest":""}`)) // announced just before the outage
	n.deliver(evTimer{})
	for w := range 3 {
		s.publish(weightBody("a-s0", "a", 5000, w+1))
	}
	s.run(2 * time.Second)
	require.EqualValues(t, 1, n.m.version())
	s.cut, s.configService.down = nil, true
	s.run(8 * time.Second)
	require.EqualValues(t, s.configService.revision, n.m.version())
}

// Guards against a new instance that takes an old configuration from a stale service,
// or none from an unreachable one, although its peers have the newest version.
func TestNewInstanceNeverRevertsToStaleService(t *testing.T) {
	for _, service := range []string{"down", "stale"} {
		s := newSim(7)
		s.publish(initialBody(2, "a", "b"))
		old := s.configService.snapshot()
		s.fleet(2, "a", "b")
		s.run(3 * time.Second)
		for w := 1; w <= 5; w++ {
			s.publish(weightBody("a-s0", "a", 5000, w))
			s.run(time.Second)
		}
		if s.configService.down = service == "down"; !s.configService.down {
			s.configService.stale = old
		}
		s.notifyWatches()
		n := s.add("b-9", "b")
		first := model.Version(0)
		s.afterEvent = func(at *simNode) {
			if v := at.m.version(); at == n && first == 0 {
				first = v
			}
		}
		s.run(3 * time.Second)
		require.Equal(t, model.Version(6), n.m.version(), service)
		require.Equal(t, model.Version(6), first, "the first version in force, service %s", service)
		require.True(t, n.view.Ready())
	}
}

// Guards against a crashed instance that stays a member, and therefore an owner of
// flows, and against a restarted instance that stays excluded.
func TestMembershipAfterCrashAndRestart(t *testing.T) {
	for _, perZone := range []int{2, 10} {
		s := newSim(3)
		s.fleet(perZone, "a", "b", "c")
		s.run(5 * time.Second)
		crashed := s.nodes["b-2"]
		crashed.crash()
		s.run(5 * time.Second)
		for _, id := range s.ids {
			if s.nodes[id].up {
				m, _ := s.nodes[id].view.Members.Get("b-2")
				require.Nil(t, m, "%s still uses the crashed instance", id)
				require.Len(t, s.nodes[id].view.Members.All(), 3*perZone-1)
			}
		}
		crashed.start()
		s.run(6 * time.Second)
		for _, id := range s.ids {
			m, _ := s.nodes[id].view.Members.Get("b-2")
			require.NotNil(t, m, "%s misses the restarted instance", id)
			require.Equal(t, crashed.self.Incarnation, m.Incarnation)
		}
	}
}

// Guards against a process that uses its old view after a pause or renews it before
// drainTime is over, that marks its peers as dead because of its own pause, or that
// stays excluded after the pause.
func TestPausedProcessRevalidates(t *testing.T) {
	s := newSim(5)
	s.publish(initialBody(2, "a", "b"))
	s.fleet(3, "a", "b")
	s.run(5 * time.Second)
	n := s.nodes["a-1"]
	s.schedule(0, func() { n.pause(20 * time.Second) })
	s.run(10 * time.Second)
	m, _ := s.nodes["b-1"].view.Members.Get("a-1")
	require.Nil(t, m, "a paused instance is still a member")
	require.False(t, n.view.Fresh(s.now))
	s.publish(weightBody("a-s0", "a", 5000, 9))
	resumes := s.now.Add(10 * time.Second)
	s.afterEvent = func(at *simNode) {
		if at == n && n.view.Fresh(s.now) {
			require.Equal(t, model.Version(2), n.view.Config.Version, "view after the pause")
			require.GreaterOrEqual(t, s.now.Sub(resumes), drainTime, "packets queued during the pause are dropped")
		}
	}
	s.run(12 * time.Second)
	require.True(t, n.view.Fresh(s.now))
	require.Len(t, n.view.Members.All(), 6)
	require.Equal(t, uint64(1), n.m.count.Pauses)
	s.run(5 * time.Second)
	m, _ = s.nodes["b-1"].view.Members.Get("a-1")
	require.NotNil(t, m)
	for _, id := range s.ids {
		require.Len(t, s.nodes[id].view.Members.All(), 6, "%s", id)
	}
}

// Guards against a process that waits indefinitely after a pause because neither a
// peer nor the service answers.
func TestPausedProcessContinuesWithoutPeersAfterOneSecond(t *testing.T) {
	s := newSim(5)
	s.publish(initialBody(2, "a"))
	s.fleet(3, "a")
	s.run(5 * time.Second)
	n := s.nodes["a-1"]
	s.schedule(0, func() { n.pause(4 * time.Second) })
	s.run(3 * time.Second)
	s.configService.down = true
	s.cut = func(a, b model.InstanceID) bool { return a == "a-1" || b == "a-1" }
	s.run(1900 * time.Millisecond)
	require.False(t, n.view.Fresh(s.now), "the view is valid before the wait has ended")
	s.run(400 * time.Millisecond)
	require.True(t, n.view.Fresh(s.now))
}

// Guards against instances that disagree after the end of a partition, and against a
// side that stops serving during the partition.
func TestPartitionContinuesAndHeals(t *testing.T) {
	s := newSim(11)
	s.publish(initialBody(2, "a", "b"))
	s.fleet(4, "a", "b")
	s.run(5 * time.Second)
	s.cut = func(a, b model.InstanceID) bool { return a[0] != b[0] }
	s.configService.down = true
	s.notifyWatches()
	s.run(30 * time.Second)
	for _, id := range s.ids {
		v := s.nodes[id].view
		require.True(t, v.Fresh(s.now) && v.Ready(), "%s stopped", id)
		require.Equal(t, 4, len(v.Members.All()), "%s", id)
	}
	s.cut, s.configService.down = nil, false
	s.publish(weightBody("a-s0", "a", 5000, 9))
	s.run(15 * time.Second)
	for _, id := range s.ids {
		require.Len(t, s.nodes[id].view.Members.All(), 8, "%s", id)
		require.Equal(t, model.Version(2), s.nodes[id].m.version())
	}
}

// Guards against a leaving instance that still gets new work, or that is removed from
// the membership before it has exited.
func TestLeavingInstanceIsAnnounced(t *testing.T) {
	s := newSim(2)
	s.publish(initialBody(2, "a"))
	s.fleet(4, "a", "b")
	s.run(5 * time.Second)
	s.nodes["a-2"].deliver(evLeave{})
	require.True(t, s.nodes["a-2"].view.ShuttingDown)
	for _, server := range s.nodes["a-2"].view.Servers {
		require.False(t, server.NewWork)
	}
	s.run(3 * time.Second)
	for _, id := range s.ids {
		m, ok := s.nodes[id].view.Members.Get("a-2")
		require.True(t, ok)
		require.Equal(t, model.Leaving, m.Liveness, "%s", id)
		require.Equal(t, 3, s.nodes[id].view.Members.LiveCountIn("a"))
	}
}
