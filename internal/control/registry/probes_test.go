package registry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/savorytiller/savorytiller/internal/core/catalog"
	"github.com/savorytiller/savorytiller/internal/core/steering"
)

// Guards against the failure of a probe that is that of the own link: it counts
// only if another instance answered meanwhile.
func TestFailedProbeCountsOnlyIfOthersAnswer(t *testing.T) {
	f := settled(t, 6, 2)
	m := f.nodes[0]
	reach := func() steering.Reach {
		s := &steering.Snapshot{}
		m.catalog.Fill(f.now, s, m.home)
		return s.Services["s"].Servers[0].Reach
	}
	fail := func() {
		f.step(0, evSuspect{"a", 0})
		sent := f.now
		f.run(300 * time.Millisecond)
		f.step(0, evProbed{server: catalog.ServerEntry{ID: "a"}, sentAt: sent, reach: steering.Unreachable})
	}
	f.cut = func(from, to int) bool { return from == 0 || to == 0 }
	fail()
	require.Equal(t, steering.ReachUnknown, reach())
	f.cut = nil
	f.run(time.Second)
	fail()
	require.Equal(t, steering.Unreachable, reach())
}

// Guards against an instance that knows no other, as one that has just started: its
// failed probes count only if the registry answered meanwhile.
func TestFailedProbeOfALoneInstanceCountsOnlyIfTheRegistryAnswers(t *testing.T) {
	f := settled(t, 1, 1)
	m := f.nodes[0]
	fail := func() catalog.Reach {
		f.step(0, evSuspect{"a", 0})
		sent := f.now
		f.run(300 * time.Millisecond)
		f.step(0, evProbed{server: catalog.ServerEntry{ID: "a"}, sentAt: sent, reach: steering.Unreachable})
		s := &steering.Snapshot{}
		m.catalog.Fill(f.now, s, m.home)
		return s.Services["s"].Servers[0].Reach
	}
	f.store.down = func(int) bool { return true }
	require.Equal(t, steering.ReachUnknown, fail())
	f.store.down = nil
	f.run(2 * time.Second)
	require.Equal(t, steering.Unreachable, fail())
}
