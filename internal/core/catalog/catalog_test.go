package catalog

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/core/steering"
)

const second = model.Time(time.Second)

func newCatalog() *Catalog {
	c := New(Settings{Lifetime: time.Minute, UnlistedGrace: 2 * time.Second, DefaultIdleTimeout: 15 * time.Second})
	c.SetContact(1, true)
	c.Apply(1, &Entry{Key: "config", Revision: 1, Config: &Configuration{Version: 3,
		Routes:   []Route{{Name: "r", Endpoint: steering.Endpoint{Address: 1, Port: 80}, Shares: []Share{{Service: "s", Weight: 1}}}},
		Services: []Service{{Name: "s", HealthPath: "/health"}}}})
	return c
}

func serverEntry(id string, started int64, change func(e *ServerEntry)) *ServerEntry {
	e := &ServerEntry{ID: model.ServerID(id), Number: 1, Address: netip.MustParseAddrPort("10.0.0.1:80"), Service: "s",
		Zone: "z", Slots: 4, Started: started}
	if change != nil {
		change(e)
	}
	return e
}

func (c *Catalog) put(now model.Time, revision uint64, e *ServerEntry) Effect {
	return c.Apply(now, &Entry{Key: "servers/" + string(e.ID), Revision: revision, Server: e})
}

func fill(c *Catalog, now model.Time) *steering.Snapshot {
	s := &steering.Snapshot{Zone: "z"}
	c.Fill(now, s, func(model.ServerID, model.Zone) bool { return true })
	return s
}

// eligible returns the servers that may get new flows.
func eligible(c *Catalog, now model.Time) []string {
	var ids []string
	for _, s := range fill(c, now).Services["s"].Servers {
		ids = append(ids, string(s.ID))
	}
	return ids
}

// departed returns the servers whose flows are to be reset.
func departed(c *Catalog, now model.Time) []string {
	var ids []string
	for _, s := range fill(c, now).Servers.Servers() {
		if s.Terminated {
			ids = append(ids, fmt.Sprintf("%s/%d", s.ID, s.Started))
		}
	}
	return ids
}

// Guards against a late or repeated answer of the registry that takes the belief
// back to an older state.
func TestNeverRevertsToOlderRevisions(t *testing.T) {
	c := newCatalog()
	require.Equal(t, ServerListed, c.put(1, 10, serverEntry("a", 1, nil)))
	require.Equal(t, Unchanged, c.put(2, 9, serverEntry("a", 1, func(e *ServerEntry) { e.State = model.ServerDraining })))
	require.Equal(t, Unchanged, c.Apply(2, &Entry{Key: "servers/a", Revision: 8, Removed: true}))
	require.Equal(t, []string{"a"}, eligible(c, 2))

	require.Equal(t, ServerRemoved, c.Apply(3, &Entry{Key: "servers/a", Revision: 11, Removed: true}))
	require.Equal(t, Unchanged, c.put(4, 10, serverEntry("a", 1, nil)), "an old page after the removal")

	require.Equal(t, Unchanged, c.Apply(5, &Entry{Key: "config", Revision: 20, Config: &Configuration{Version: 2}}))
	require.EqualValues(t, 3, c.Config().Version)
}

// Guards against new flows to a draining server and against the end of its open ones.
func TestLeavingServerGetsNoNewFlowsAndKeepsItsOwn(t *testing.T) {
	c := newCatalog()
	c.put(1, 10, serverEntry("a", 1, nil))
	c.put(2, 11, serverEntry("a", 1, func(e *ServerEntry) { e.State = model.ServerDraining }))
	require.Empty(t, eligible(c, 2))
	require.Empty(t, departed(c, 2))
	// Its removal without a return means that it has left.
	c.Apply(3*second, &Entry{Key: "servers/a", Revision: 12, Removed: true})
	require.Empty(t, eligible(c, 3*second))
	require.Empty(t, departed(c, 4*second))
	require.Equal(t, []string{"a/1"}, departed(c, 3*second+2*second))
}

// Guards against resets of a live server's flows after its entry expired while
// the registry was away, and against using it for longer than its entry may take.
func TestServersWhoseEntriesExpiredAreGoneOnlyAfterTheGrace(t *testing.T) {
	c := newCatalog()
	c.put(1, 10, serverEntry("a", 1, nil))
	c.put(1, 11, serverEntry("b", 1, nil))
	c.SetContact(5*second, false)
	c.SetContact(20*second, true)
	missing := c.Missing(&Changes{Revision: 30, Entries: []Entry{{Key: "config", Revision: 1}}})
	require.Len(t, missing, 2)
	for i := range missing {
		c.Apply(20*second, &missing[i])
	}
	require.Equal(t, []string{"a", "b"}, eligible(c, 21*second), "the entries may return")
	require.Empty(t, departed(c, 21*second))
	c.put(21*second, 31, serverEntry("a", 1, nil))
	require.Equal(t, []string{"a"}, eligible(c, 23*second))
	require.Empty(t, departed(c, 23*second), "it may live and be cut off from the registry")
	c.Probed(23*second, 23*second, "b", 1, Unreachable)
	require.Equal(t, []string{"b/1"}, departed(c, 23*second))
}

// Guards against resets of the flows of a server that lives but is cut off from the
// registry, as when packets pass one way only between two zones: its entry expires, and
// new flows must not go there, but those that are open work.
func TestFlowsOfALiveServerWithoutEntryGoOn(t *testing.T) {
	c := newCatalog()
	c.put(1, 10, serverEntry("a", 1, nil))
	c.put(1, 11, serverEntry("leaving", 1, func(e *ServerEntry) { e.State = model.ServerDraining }))
	c.Apply(2*second, &Entry{Key: "servers/a", Revision: 12, Removed: true})
	c.Apply(2*second, &Entry{Key: "servers/leaving", Revision: 13, Removed: true})
	require.Empty(t, eligible(c, 5*second))
	require.Equal(t, []string{"leaving/1"}, departed(c, 5*second), "a server that drained has left")
	unlisted := func(now model.Time) bool {
		return slices.ContainsFunc(fill(c, now).Servers.Servers(), func(s *steering.Server) bool { return s.ID == "a" && s.Unlisted })
	}
	require.False(t, unlisted(3*second), "the entry may return")
	require.True(t, unlisted(5*second))
	c.Probed(5*second, 5*second, "a", 1, Reachable)
	require.Empty(t, eligible(c, 6*second))
	require.Equal(t, []string{"leaving/1"}, departed(c, 6*second))
	require.True(t, unlisted(6*second))
	c.Probed(7*second, 7*second, "a", 1, Ended)
	require.Equal(t, []string{"a/1", "leaving/1"}, departed(c, 7*second))
}

// Guards against a server that gets no flows for good after a partition that answered
// connections with resets: a probe had taken its missing entry and the closed port
// for its end.
func TestServerThatIsListedAgainTakesFlows(t *testing.T) {
	c := newCatalog()
	c.put(1, 10, serverEntry("a", 1, nil))
	c.Apply(2*second, &Entry{Key: "servers/a", Revision: 12, Removed: true})
	c.Probed(3*second, 3*second, "a", 1, Ended)
	require.Empty(t, eligible(c, 3*second))
	c.put(4*second, 13, serverEntry("a", 1, nil))
	require.Equal(t, []string{"a"}, eligible(c, 4*second))
	require.Empty(t, departed(c, 4*second))
}

// Guards against a server that counts as gone because the registry went away
// again before its entry could return.
func TestNothingIsGoneWhileTheRegistryIsAway(t *testing.T) {
	c := newCatalog()
	c.put(1, 10, serverEntry("a", 1, nil))
	c.Apply(2*second, &Entry{Key: "servers/a", Revision: 12, Removed: true})
	c.SetContact(3*second, false)
	require.Equal(t, []string{"a"}, eligible(c, 30*second))
	c.SetContact(30*second, true)
	require.Equal(t, []string{"a"}, eligible(c, 31*second))
	require.Empty(t, eligible(c, 33*second))
}

// Guards against flows that wait for a run of a server that is over.
func TestServerThatRestartedUnderItsNameHasNewToken(t *testing.T) {
	c := newCatalog()
	c.put(1, 10, serverEntry("a", 1, nil))
	before := fill(c, 2).Services["s"].Servers[0].Token
	c.put(3, 11, serverEntry("a", 2, nil))
	s := fill(c, 4)
	require.Equal(t, []string{"a/1"}, departed(c, 4))
	require.NotEqual(t, before, s.Services["s"].Servers[0].Token)
	require.True(t, s.Servers.Find(before).Terminated)
}

// Guards against flows to a zone that operators took out, and against full load
// on its servers when it returns: they may be cold before their entries say so.
func TestZoneWithdrawnGetsNothingAndReturnsCold(t *testing.T) {
	c := newCatalog()
	c.put(1, 10, serverEntry("a", 1, nil))
	c.put(1, 11, serverEntry("b", 1, func(e *ServerEntry) { e.Zone = "y" }))
	c.Apply(2, &Entry{Key: "zone/z", Revision: 12, Withdrawn: "z"})
	require.Equal(t, []string{"b"}, eligible(c, 3))
	require.Empty(t, departed(c, 3), "open flows go on")
	require.Equal(t, ZoneReturned, c.Apply(5*second, &Entry{Key: "zone/z", Revision: 13, Removed: true}))
	require.Equal(t, []string{"a", "b"}, eligible(c, 5*second))
	cold := fill(c, 6*second).Services["s"].Servers[0]
	require.NotZero(t, cold.ColdUntil)
	require.Zero(t, fill(c, 9*second).Services["s"].Servers[0].ColdUntil)
}

// Guards against a cold server that counts as warm before its time, and against
// a wake-up that is missed.
func TestColdStartEndsByTheEntry(t *testing.T) {
	c := newCatalog()
	c.put(10*second, 10, serverEntry("a", 1, func(e *ServerEntry) { e.ColdFor = 2 * time.Second }))
	s := &steering.Snapshot{}
	next := c.Fill(10*second, s, func(model.ServerID, model.Zone) bool { return false })
	require.Equal(t, 12*second, next)
	require.Equal(t, 12*second, s.Services["s"].Servers[0].ColdUntil)
	require.False(t, s.Services["s"].Servers[0].ColdHome)
}

// Guards against an entry of another writer that takes the place of a good one.
func TestUnusableEntryLeavesTheLastGoodOne(t *testing.T) {
	c := newCatalog()
	c.put(1, 10, serverEntry("a", 1, nil))
	require.Equal(t, Ignored, c.Apply(2, &Entry{Key: "servers/a", Revision: 11, Problem: fmt.Errorf("bad")}))
	require.Equal(t, []string{"a"}, eligible(c, 3))
}

// Guards against probes of a server that answers, and against none of one that
// does not.
func TestProbesOfSuspectedServers(t *testing.T) {
	c := newCatalog()
	c.put(1, 10, serverEntry("a", 1, nil))
	heard := func(model.Zone) bool { return true }
	due, _ := c.DueProbes(second, 8, heard)
	require.Empty(t, due)
	c.Suspect("a", 1)
	due, _ = c.DueProbes(second, 8, heard)
	require.Len(t, due, 1)
	require.Equal(t, "/health", due[0].HealthPath)
	due, _ = c.DueProbes(second, 8, heard)
	require.Empty(t, due, "one at a time")
	require.True(t, c.Probed(second, 2*second, "a", 1, Unreachable))
	require.Equal(t, steering.Unreachable, fill(c, 2*second).Services["s"].Servers[0].ProbeResult)
	due, next := c.DueProbes(2*second, 8, heard)
	require.Empty(t, due)
	require.Equal(t, 2*second+model.Time(unreachableAgain), next)
	due, _ = c.DueProbes(3*second, 8, func(model.Zone) bool { return false })
	require.Empty(t, due, "the zone is cut off")
	due, _ = c.DueProbes(3*second, 8, heard)
	require.Len(t, due, 1)
	// A closed port of a listed server may belong to its next run.
	c.Probed(3*second, 3*second, "a", 1, Ended)
	require.Empty(t, departed(c, 3*second))
}

// Guards against a difference that leads to another configuration than the one
// it was made of, and against one that is applied to another version.
func TestDifferencesLeadToTheSameConfiguration(t *testing.T) {
	routes := rapid.Custom(func(t *rapid.T) []Route {
		var all []Route
		for i := range 8 {
			if rapid.Bool().Draw(t, "listed") {
				all = append(all, Route{Name: fmt.Sprint(i), Endpoint: steering.Endpoint{Address: 1, Port: uint16(i)},
					Idempotent: rapid.Bool().Draw(t, "idempotent"),
					Shares:     []Share{{Service: "s", Weight: rapid.IntRange(1, 2).Draw(t, "weight")}}})
			}
		}
		return all
	})
	rapid.Check(t, func(t *rapid.T) {
		from := &Configuration{Version: 3, Routes: routes.Draw(t, "from")}
		to := &Configuration{Version: 5, Routes: routes.Draw(t, "to"), IdleTimeout: time.Second}
		got := Diff(from, to).Apply(from)
		byName := func(a, b Route) int { return int(a.Endpoint.Port) - int(b.Endpoint.Port) }
		slices.SortFunc(got.Routes, byName)
		if len(got.Routes) != len(to.Routes) || len(to.Routes) > 0 && !slices.EqualFunc(got.Routes, to.Routes,
			func(a, b Route) bool { return a.Name == b.Name && sameRoute(&a, &b) }) {
			t.Fatalf("got %v, want %v", got.Routes, to.Routes)
		}
	})
	c := newCatalog()
	delta := &Delta{Base: 99, Version: 100}
	require.Equal(t, Incomplete, c.Apply(2, &Entry{Key: "config", Revision: 50, Delta: delta}))
	require.EqualValues(t, 3, c.Config().Version)
}

// Guards against a complete listing that other instances get without something
// that the registry holds.
func TestAllGivesAnEqualCatalog(t *testing.T) {
	c := newCatalog()
	c.put(1, 10, serverEntry("a", 1, nil))
	c.put(1, 11, serverEntry("b", 1, func(e *ServerEntry) { e.State = model.ServerDraining }))
	c.Apply(2, &Entry{Key: "zone/y", Revision: 12, Withdrawn: "y"})
	other := New(c.settings)
	for _, e := range c.All() {
		other.Apply(3, &e)
	}
	require.Equal(t, eligible(c, 4), eligible(other, 4))
	require.Equal(t, c.revisions, other.revisions)
	require.Equal(t, c.withdrawn, other.withdrawn)
	require.Equal(t, c.Config(), other.Config())
}
