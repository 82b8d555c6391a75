package control

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/core/note"
	"github.com/savorytiller/savorytiller/internal/port"
)

// setValue sets a key of the configuration service.
func (s *sim) setValue(key, value string) {
	s.configService.values[key] = []byte(value)
	s.configService.revision++
	s.notifyWatches()
}

// Guards against an invalid note that is applied in part, that blocks later valid
// notes, or whose refusal is not shown to operators.
func TestRefusedNoteChangesNothing(t *testing.T) {
	s := newSim(1)
	s.publish(initialBody(2, "a"))
	s.fleet(3, "a")
	s.run(5 * time.Second)
	s.publish(`"changed":{"servers":[` + serverJSON("a-s0", "line", "a", 5000, "draining") + `]},"withdrawn":{"servers":["a-s9"]}`)
	s.run(5 * time.Second)
	for _, n := range s.nodes {
		require.Equal(t, model.Version(1), n.m.version())
		require.Equal(t, model.ServerActive, n.view.Servers["a-s0"].State)
		require.True(t, n.view.Fresh(s.now))
	}
	refused := uint64(0)
	for _, n := range s.nodes {
		if n.m.count.Refused > 0 {
			refused += n.m.count.Refused
			require.Contains(t, n.m.status().LastRefusal, "note_contradictory: withdrawn server a-s9 does not exist")
		}
	}
	require.Positive(t, refused)
	// The operators publish a corrected note that is based on version 1.
	s.configService.values["release/3"] = []byte(`{"format":1,"version":3,"base":1,` + weightBody("a-s0", "a", 5000, 7) + `}`)
	s.setValue(keyLatest, `{"version":3}`)
	s.run(5 * time.Second)
	for _, n := range s.nodes {
		require.Equal(t, model.Version(3), n.m.version())
		require.Equal(t, uint16(7), n.view.Servers["a-s0"].Weight)
	}
}

// addCheckpoint stores a checkpoint of the given version with the given number of
// parts in the configuration service.
func (s *sim) addCheckpoint(version, parts int) {
	for p := range parts {
		services, servers := "", []string{}
		if p == 0 {
			services = `{"id":17,"name":"line","host":"line.local","virtual_address":"10.80.0.17:4000"}`
		}
		for i := range 3 {
			servers = append(servers, serverJSON(fmt.Sprintf("a-s%d", 3*p+i), "line", "a", 5000+3*p+i, "active"))
		}
		s.configService.values[fmt.Sprintf("checkpoint/%d/%d", version, p)] = []byte(fmt.Sprintf(
			`{"format":1,"version":%d,"base":0,"added":{"services":[%s],"servers":[%s]}}`, version, services, strings.Join(servers, ",")))
	}
	s.configService.values[keyCheckpoint] = []byte(fmt.Sprintf(`{"version":%d,"parts":%d}`, version, parts))
}

// Guards against an instance that cannot reach the newest version because the service
// no longer has the old notes, and against a checkpoint that is used before all of
// its parts have been read.
func TestCheckpointInParts(t *testing.T) {
	for _, start := range []string{"empty", "outdated"} {
		s := newSim(3)
		if start == "outdated" {
			s.publish(initialBody(2, "a"))
		}
		s.fleet(2, "a")
		s.run(4 * time.Second)
		delete(s.configService.values, "release/1")
		s.addCheckpoint(40, 3)
		s.configService.values["release/41"] = []byte(`{"format":1,"version":41,"base":40,` + weightBody("a-s8", "a", 5008, 7) + `}`)
		s.afterEvent = func(n *simNode) {
			if c := n.m.notes.config; c != nil && c.Version >= 40 {
				require.Len(t, c.Services[0].Servers, 9)
			}
		}
		s.setValue(keyLatest, `{"version":41}`)
		s.run(60 * time.Second)
		for id, n := range s.nodes {
			require.Equal(t, model.Version(41), n.m.version(), "%s %s", start, id)
		}
	}
}

// Guards against a second note with the same version that replaces the first, and
// against a conflict that is not reported.
func TestConflictingNoteIsRefusedWithAlarm(t *testing.T) {
	s := newSim(4)
	s.publish(initialBody(2, "a"))
	s.fleet(3, "a")
	s.run(4 * time.Second)
	n := s.nodes["a-1"]
	digest := n.m.notes.config.Digest
	answer := make(chan reply, 1)
	n.deliver(evRequest{"a-2", &heartbeat{Self: s.nodes["a-2"].m.members.Self(), Version: 1, Digest: digest + 1}, answer})
	require.Equal(t, digest, n.m.notes.config.Digest)
	require.Contains(t, n.m.status().Conflict, "a-2 has version 1 with digest")
	require.Equal(t, uint64(1), n.m.count.Conflicts)
	// The digest of the resulting configuration differs from the announced digest.
	s.configService.values["release/2"] = []byte(`{"format":1,"version":2,"base":1,` + weightBody("a-s0", "a", 5000, 7) + `}`)
	s.setValue(keyLatest, `{"version":2,"digest":"00000000000000ff"}`)
	s.run(5 * time.Second)
	for _, n := range s.nodes {
		require.Equal(t, model.Version(1), n.m.version())
	}
	require.Contains(t, n.m.status().LastRefusal+s.nodes["a-2"].m.status().LastRefusal+s.nodes["a-3"].m.status().LastRefusal,
		"note_conflict: version 2 gives digest")
}

// Guards against a forged sender: a heartbeat that names another instance than the
// authenticated sender must have no effect.
func TestHeartbeatOfAnotherInstanceIsRefused(t *testing.T) {
	s := newSim(4)
	s.fleet(3, "a")
	s.run(4 * time.Second)
	n := s.nodes["a-1"]
	claimed := s.nodes["a-3"].m.members.Self()
	claimed.Liveness, claimed.Incarnation = model.Leaving, claimed.Incarnation+9
	answer := make(chan reply, 1)
	n.deliver(evRequest{"a-2", &heartbeat{Self: claimed}, answer})
	require.ErrorIs(t, (<-answer).err, port.ErrForged)
	m, _ := n.view.Members.Get("a-3")
	require.Equal(t, model.Live, m.Liveness)
}

// Guards against a note of 1 MB that cannot be transferred, and against a new instance
// that cannot get the complete configuration from its peers.
func TestLargeNoteAndNewInstanceWithoutService(t *testing.T) {
	s := newSim(5)
	s.publish(initialBody(2, "a"))
	s.fleet(4, "a", "b")
	s.run(4 * time.Second)
	var servers []string
	for i := range 5800 {
		servers = append(servers, serverJSON(fmt.Sprintf("large-%05d", i), "line", "b", 10000+i, "active"))
	}
	body := `"added":{"servers":[` + strings.Join(servers, ",") + `]}`
	require.Greater(t, len(body), note.MaxBytes*9/10)
	require.Less(t, len(body), note.MaxBytes-100)
	s.publish(body)
	s.run(3 * time.Second)
	for _, v := range s.versions() {
		require.Equal(t, model.Version(2), v)
	}
	for w := range 3 {
		s.publish(weightBody("a-s0", "a", 5000, 1+w))
		s.run(time.Second)
	}
	s.configService.down = true
	s.notifyWatches()
	n := s.add("b-9", "b")
	s.run(5 * time.Second)
	require.Equal(t, model.Version(5), n.m.version())
	require.Equal(t, s.nodes["a-1"].m.notes.config.Digest, n.m.notes.config.Digest)
	require.Zero(t, n.m.count.Refused)
}

// Guards against a burst of calls when the service returns after an outage, because all
// instances then read at the same time, and against instances that do not detect the
// end of the outage.
func TestNoCallBurstAfterOutage(t *testing.T) {
	s := newSim(6)
	s.configService.down = true
	s.fleet(20, "a", "b", "c")
	s.run(90 * time.Second)
	require.Zero(t, s.nodes["a-1"].m.version())
	s.configService.down = false
	s.publish(initialBody(2, "a", "b", "c"))
	s.run(40 * time.Second)
	for _, v := range s.versions() {
		require.Equal(t, model.Version(1), v)
	}
	for second, calls := range s.configService.callsPerSecond {
		require.Less(t, calls, 2*len(s.ids), "calls in second %d", second)
	}
}

// Guards against a watch that waits for a change that it cannot see: after a restore from a
// copy the service gives out revisions again, so that the known one may belong to another note.
func TestNoteOfARestoredServiceIsInForce(t *testing.T) {
	s := newSim(6)
	s.publish(initialBody(2, "a", "b"))
	s.fleet(3, "a", "b")
	s.run(3 * time.Second)
	for w := 1; w <= 5; w++ {
		s.publish(weightBody("a-s0", "a", 5000, w))
		s.run(time.Second)
	}
	s.configService.down = true
	s.notifyWatches()
	s.run(2 * time.Second)
	s.publish(weightBody("a-s0", "a", 5000, 7))
	s.configService.revision-- // the revision that version 6 had before the restore
	s.configService.down = false
	s.run(6 * time.Second)
	for id, n := range s.nodes {
		require.Equal(t, model.Version(7), n.m.version(), id)
	}
}

// Guards against a note that operators publish with a version that a restored service gives out
// again: instances cannot use it, and operators must be able to see why.
func TestNeverRevertsToARestoredServiceAndShowsIt(t *testing.T) {
	s := newSim(6)
	s.publish(initialBody(2, "a"))
	s.fleet(3, "a")
	copied := s.configService.snapshot()
	for w := 1; w <= 3; w++ {
		s.publish(weightBody("a-s0", "a", 5000, w))
		s.run(time.Second)
	}
	s.configService.values, s.configService.revision = copied, 1
	s.notifyWatches()
	s.run(5 * time.Second)
	behind := 0
	for id, n := range s.nodes {
		require.Equal(t, model.Version(4), n.m.version(), id)
		if n.m.notes.serviceBehind {
			behind++
		}
	}
	require.Positive(t, behind, "the watchers see it")
	s.configService.revision = 4
	s.publish(weightBody("a-s0", "a", 5000, 9))
	s.run(5 * time.Second)
	for id, n := range s.nodes {
		require.Equal(t, model.Version(5), n.m.version(), id)
		require.False(t, n.m.notes.serviceBehind, id)
	}
}
