package catalog

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/savorytiller/savorytiller/internal/core/belief"
	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/core/steering"
)

const second = model.Time(time.Second)

func newCatalog() *Catalog {
	c := New(Settings{Lifetime: time.Minute, UnlistedGrace: 2 * time.Second, NewFlowLimit: 2500 * time.Millisecond, DefaultIdleTimeout: 15 * time.Second})
	c.SetRegistryReachable(1, true)
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

// ended returns the servers whose flows are reset.
func ended(c *Catalog, now model.Time) []string {
	var ids []string
	snapshot := fill(c, now)
	for _, s := range snapshot.Servers.Sorted() {
		if s.HasEnded(now, &snapshot.Availability) {
			ids = append(ids, fmt.Sprintf("%s/%d", s.ID, s.Started))
		}
	}
	return ids
}

// Guards against a late or repeated response of the registry that reverts the catalog to an
// older state.
func TestNeverRevertsToOlderRevisions(t *testing.T) {
	c := newCatalog()
	require.Equal(t, ServerListed, c.put(1, 10, serverEntry("a", 1, nil)))
	require.Equal(t, Unchanged, c.put(2, 9, serverEntry("a", 1, func(e *ServerEntry) { e.State = model.ServerDraining })))
	require.Equal(t, Unchanged, c.Apply(2, &Entry{Key: "servers/a", Revision: 8, Removed: true}))
	require.Equal(t, []string{"a"}, eligible(c, 2))

	require.Equal(t, ServerRemoved, c.Apply(3, &Entry{Key: "servers/a", Revision: 11, Removed: true}))
	require.Equal(t, Unchanged, c.put(4, 10, serverEntry("a", 1, nil)), "a page of a listing from before the removal")

	require.Equal(t, Unchanged, c.Apply(5, &Entry{Key: "config", Revision: 20, Config: &Configuration{Version: 2}}))
	require.EqualValues(t, 3, c.Config().Version)
}

// Guards against new flows to a draining server, and against resets of its open flows.
func TestLeavingServerGetsNoNewFlowsAndKeepsItsOwn(t *testing.T) {
	c := newCatalog()
	c.put(1, 10, serverEntry("a", 1, nil))
	c.put(2, 11, serverEntry("a", 1, func(e *ServerEntry) { e.State = model.ServerDraining }))
	require.Empty(t, eligible(c, 2))
	require.Empty(t, ended(c, 2))
	// If the entry of a draining server is not restored, the server has ended.
	c.Apply(3*second, &Entry{Key: "servers/a", Revision: 12, Removed: true})
	require.Empty(t, eligible(c, 3*second))
	require.Empty(t, ended(c, 4*second))
	require.Equal(t, []string{"a/1"}, ended(c, 3*second+2*second))
}

// Guards against resets of a live server's flows after its entry expired during an outage
// of the registry, and against new flows to it after the grace time.
func TestServersWithExpiredEntriesAreUsedDuringTheGrace(t *testing.T) {
	c := newCatalog()
	c.put(1, 10, serverEntry("a", 1, nil))
	c.put(1, 11, serverEntry("b", 1, nil))
	c.SetRegistryReachable(5*second, false)
	c.SetRegistryReachable(20*second, true)
	removals := c.ImpliedRemovals(&Changes{Revision: 30, Entries: []Entry{{Key: "config", Revision: 1}}})
	require.Len(t, removals, 2)
	for i := range removals {
		c.Apply(20*second, &removals[i])
	}
	require.Equal(t, []string{"a", "b"}, eligible(c, 21*second), "the entries may return")
	require.Empty(t, ended(c, 21*second))
	c.put(21*second, 31, serverEntry("a", 1, nil))
	require.Equal(t, []string{"a"}, eligible(c, 23*second))
	require.Empty(t, ended(c, 23*second), "it may be alive and disconnected from the registry")
	c.RecordProbe(23*second, 23*second, ServerRun{"b", 1}, belief.Unreachable)
	require.Empty(t, ended(c, 23*second), "it may be disconnected from this instance too")
	c.RecordProbe(24*second, 24*second, ServerRun{"b", 1}, belief.Ended)
	require.Equal(t, []string{"b/1"}, ended(c, 24*second))
}

// Guards against resets of the flows of a live server that is disconnected from the
// registry, for example by a one-way partition between zones. Its entry expires, so it
// must get no new flows, but its open flows still work.
func TestOpenFlowsOfALiveUnlistedServerContinue(t *testing.T) {
	c := newCatalog()
	c.put(1, 10, serverEntry("a", 1, nil))
	c.put(1, 11, serverEntry("leaving", 1, func(e *ServerEntry) { e.State = model.ServerDraining }))
	c.Apply(2*second, &Entry{Key: "servers/a", Revision: 12, Removed: true})
	c.Apply(2*second, &Entry{Key: "servers/leaving", Revision: 13, Removed: true})
	require.Empty(t, eligible(c, 5*second))
	require.Equal(t, []string{"leaving/1"}, ended(c, 5*second), "a draining server has ended")
	unlisted := func(now model.Time) bool {
		return slices.ContainsFunc(fill(c, now).Servers.Sorted(), func(s *steering.Server) bool { return s.ID == "a" && s.Departed(now, &c.registry) })
	}
	require.False(t, unlisted(3*second), "the entry may return")
	require.True(t, unlisted(5*second))
	c.RecordProbe(5*second, 5*second, ServerRun{"a", 1}, belief.Reachable)
	require.Empty(t, eligible(c, 6*second))
	require.Equal(t, []string{"leaving/1"}, ended(c, 6*second))
	require.True(t, unlisted(6*second))
	c.RecordProbe(7*second, 7*second, ServerRun{"a", 1}, belief.Ended)
	require.Equal(t, []string{"a/1", "leaving/1"}, ended(c, 7*second))
}

// Guards against a server that never gets flows again after a partition that answered
// connections with resets: with its entry missing, a probe took the closed port for the
// end of the server.
func TestServerThatIsListedAgainGetsNewFlows(t *testing.T) {
	c := newCatalog()
	c.put(1, 10, serverEntry("a", 1, nil))
	c.Apply(2*second, &Entry{Key: "servers/a", Revision: 12, Removed: true})
	c.RecordProbe(3*second, 3*second, ServerRun{"a", 1}, belief.Ended)
	require.Empty(t, eligible(c, 3*second))
	c.put(4*second, 13, serverEntry("a", 1, nil))
	require.Equal(t, []string{"a"}, eligible(c, 4*second))
	require.Empty(t, ended(c, 4*second))
}

// Guards against a server that counts as ended because the registry became unreachable
// again before the server's entry could be restored.
func TestNoServerIsDroppedWhileTheRegistryIsUnreachable(t *testing.T) {
	c := newCatalog()
	c.put(1, 10, serverEntry("a", 1, nil))
	c.Apply(2*second, &Entry{Key: "servers/a", Revision: 12, Removed: true})
	c.SetRegistryReachable(3*second, false)
	require.Equal(t, []string{"a"}, eligible(c, 30*second))
	c.SetRegistryReachable(30*second, true)
	require.Equal(t, []string{"a"}, eligible(c, 31*second))
	require.Empty(t, eligible(c, 33*second))
}

// Guards against packets that do not reach the later run of a server, whichever way an instance
// learned of its runs. Flows that opened there before the instance knew of it would be reset, and
// callers of the former run would wait, as only the server tells them that it lacks their flow.
func TestPacketsReachTheLatestRunOfAServer(t *testing.T) {
	first, second := serverEntry("a", 1, nil), serverEntry("a", 2, nil)
	before := newCatalog()
	before.put(1, 10, first)
	token := fill(before, 2).Services["s"].Servers[0].Token
	for name, learn := range map[string]func(c *Catalog){
		"listed after the first run":    func(c *Catalog) { c.put(1, 10, first); c.put(3, 11, second) },
		"only run that is known":        func(c *Catalog) { c.put(3, 11, second) },
		"named by another instance":     func(c *Catalog) { c.AddUnlisted(3, second) },
		"first run is named afterwards": func(c *Catalog) { c.put(1, 11, second); c.AddUnlisted(3, first) },
		"both named":                    func(c *Catalog) { c.AddUnlisted(2, second); c.AddUnlisted(3, first) },
		"both named, the later one last": func(c *Catalog) {
			c.AddUnlisted(2, first)
			c.AddUnlisted(3, second)
		},
		"listed after a removal": func(c *Catalog) {
			c.put(1, 10, first)
			c.Apply(2, &Entry{Key: "servers/a", Revision: 11, Removed: true})
			c.put(3, 12, second)
		},
		"removed, and the first run is named": func(c *Catalog) {
			c.put(1, 11, second)
			c.Apply(2, &Entry{Key: "servers/a", Revision: 12, Removed: true})
			c.AddUnlisted(3, first)
		},
		"an entry of the first run is corrected": func(c *Catalog) {
			c.put(1, 10, second)
			c.put(2, 11, first)
			c.put(3, 12, second)
		},
	} {
		c := newCatalog()
		learn(c)
		s := fill(c, 4)
		require.Len(t, s.Servers.Sorted(), 1, name)
		server := s.Servers.Find(token)
		require.NotNil(t, server, name)
		require.EqualValues(t, 2, server.Started, name)
		require.False(t, server.HasEnded(4, &s.Availability), name)
	}
}

// Guards against flows at full load to a cold server through its former run, whose entry had been
// removed before the server restarted and could still return.
func TestColdStartOfAServerWhoseEntryWasRemoved(t *testing.T) {
	c := newCatalog()
	c.put(1, 10, serverEntry("a", 1, nil))
	c.Apply(2*second, &Entry{Key: "servers/a", Revision: 11, Removed: true})
	require.Equal(t, []string{"a"}, eligible(c, 2*second))
	c.put(3*second, 12, serverEntry("a", 2, func(e *ServerEntry) { e.ColdFor = 2 * time.Second }))
	servers := fill(c, 3*second).Services["s"].Servers
	require.Len(t, servers, 1)
	require.EqualValues(t, 2, servers[0].Started)
	require.Len(t, fill(c, 3*second).Servers.Sorted(), 1)
}

// Guards against new flows to a zone that operators took out of service, and against full
// load on its servers when it returns: they may be cold before their entries say so.
func TestZoneWithdrawnGetsNothingAndReturnsCold(t *testing.T) {
	c := newCatalog()
	c.put(1, 10, serverEntry("a", 1, nil))
	c.put(1, 11, serverEntry("b", 1, func(e *ServerEntry) { e.Zone = "y" }))
	c.Apply(2, &Entry{Key: "zone/z", Revision: 12, Withdrawn: "z"})
	require.Equal(t, []string{"b"}, eligible(c, 3))
	require.Empty(t, ended(c, 3), "open flows continue")
	require.Equal(t, ZoneReturned, c.Apply(5*second, &Entry{Key: "zone/z", Revision: 13, Removed: true}))
	require.Equal(t, []string{"a", "b"}, eligible(c, 5*second))
	cold := fill(c, 6*second).Services["s"].Servers[0]
	require.NotZero(t, cold.ColdUntil)
	require.Zero(t, fill(c, 9*second).Services["s"].Servers[0].ColdUntil)
}

// Guards against flows of a removed route that go on because the removal is forgotten, and
// against resets of those of a route that was added again.
func TestRemovedRoutesAreKnownForTheLifetimeOfFlows(t *testing.T) {
	c := newCatalog()
	removed := steering.Endpoint{Address: 1, Port: 80}
	config := func(now model.Time, version uint64, routes ...Route) {
		c.Apply(now, &Entry{Key: "config", Revision: 100 + version, Config: &Configuration{Version: version, Routes: routes}})
	}
	config(10*second, 4)
	require.Equal(t, map[steering.Endpoint]model.Time{removed: 10 * second}, fill(c, 11*second).RemovedRoutes)
	config(20*second, 5, Route{Name: "other", Endpoint: steering.Endpoint{Address: 2, Port: 80}})
	require.Contains(t, fill(c, 21*second).RemovedRoutes, removed)
	config(30*second, 6, Route{Name: "again", Endpoint: removed})
	require.NotContains(t, fill(c, 31*second).RemovedRoutes, removed)
	config(40*second, 7)
	config(40*second+model.Time(c.settings.Lifetime)+1, 8)
	require.Empty(t, fill(c, 200*second).RemovedRoutes)
}

// Guards against a cold start that ends earlier than the server's entry states, and against
// a missed rebuild of the snapshot at its end.
func TestColdStartLastsAsLongAsTheEntryStates(t *testing.T) {
	c := newCatalog()
	c.put(10*second, 10, serverEntry("a", 1, func(e *ServerEntry) { e.ColdFor = 2 * time.Second }))
	s := &steering.Snapshot{}
	next := c.Fill(10*second, s, func(model.ServerID, model.Zone) bool { return false })
	require.Equal(t, 12*second, next)
	require.Equal(t, 12*second, s.Services["s"].Servers[0].ColdUntil)
	require.False(t, s.Services["s"].Servers[0].ColdHome)
}

// Guards against an invalid entry, for example one that another program wrote, that
// replaces a valid one.
func TestInvalidEntryKeepsTheLastValidOne(t *testing.T) {
	c := newCatalog()
	c.put(1, 10, serverEntry("a", 1, nil))
	require.Equal(t, Ignored, c.Apply(2, &Entry{Key: "servers/a", Revision: 11, Err: fmt.Errorf("bad")}))
	require.Equal(t, []string{"a"}, eligible(c, 3))
}

// Guards against probes of servers that no flow suspects, and against missing or too
// frequent probes of servers that do not respond.
func TestOnlySuspectServersAreProbed(t *testing.T) {
	c := newCatalog()
	c.put(1, 10, serverEntry("a", 1, nil))
	reachable := func(model.Zone) bool { return true }
	due, _ := c.DueProbes(second, 8, reachable)
	require.Empty(t, due)
	c.MarkSuspect(second, ServerRun{"a", 1})
	due, _ = c.DueProbes(second, 8, reachable)
	require.Len(t, due, 1)
	require.Equal(t, "/health", due[0].HealthPath)
	due, _ = c.DueProbes(second, 8, reachable)
	require.Empty(t, due, "one probe at a time")
	require.True(t, c.RecordProbe(second, 2*second, ServerRun{"a", 1}, belief.Unreachable))
	require.Equal(t, belief.Unreachable, fill(c, 2*second).Services["s"].Servers[0].ProbeResult)
	due, next := c.DueProbes(2*second, 8, reachable)
	require.Empty(t, due)
	require.Equal(t, 2*second+model.Time(minUnreachableInterval), next)
	due, _ = c.DueProbes(3*second, 8, func(model.Zone) bool { return false })
	require.Empty(t, due, "the zone is unreachable")
	due, _ = c.DueProbes(3*second, 8, reachable)
	require.Len(t, due, 1)
	// A closed port of a listed server may belong to its next run.
	c.RecordProbe(3*second, 3*second, ServerRun{"a", 1}, belief.Ended)
	require.Empty(t, ended(c, 3*second))
}

// Guards against a flow that waits for the next periodic probe of an unreachable server: a
// requested probe waits neither for that nor for a message from the server's zone.
func TestRequestedProbeOfAnUnreachableServerIsSoon(t *testing.T) {
	c := newCatalog()
	c.put(1, 10, serverEntry("a", 1, nil))
	silent := func(model.Zone) bool { return false }
	at := second
	for range 5 { // the periodic probes are up to maxUnreachableInterval apart by now
		c.MarkSuspect(at, ServerRun{"a", 1})
		c.DueProbes(at, 8, silent)
		c.RecordProbe(at, at, ServerRun{"a", 1}, belief.Unreachable)
		at = at.Add(minProbeInterval)
	}
	due, _ := c.DueProbes(at, 8, silent)
	require.Empty(t, due)
	c.MarkSuspect(at, ServerRun{"a", 1})
	due, _ = c.DueProbes(at, 8, silent)
	require.Len(t, due, 1)
}

// Guards against a delta that results in a different configuration than the one it was
// made from, and against a delta that is applied to another version than its base.
func TestDeltasResultInTheSameConfiguration(t *testing.T) {
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
	require.Equal(t, MissingBase, c.Apply(2, &Entry{Key: "config", Revision: 50, Delta: delta}))
	require.EqualValues(t, 3, c.Config().Version)
}

// Guards against a complete listing for other instances that lacks part of the registry's
// content.
func TestEntriesGiveAnEqualCatalog(t *testing.T) {
	c := newCatalog()
	c.put(1, 10, serverEntry("a", 1, nil))
	c.put(1, 11, serverEntry("b", 1, func(e *ServerEntry) { e.State = model.ServerDraining }))
	c.Apply(2, &Entry{Key: "zone/y", Revision: 12, Withdrawn: "y"})
	other := New(c.settings)
	for _, e := range c.Entries() {
		other.Apply(3, &e)
	}
	require.Equal(t, eligible(c, 4), eligible(other, 4))
	require.Equal(t, c.revisions, other.revisions)
	require.Equal(t, c.withdrawnZones, other.withdrawnZones)
	require.Equal(t, c.Config(), other.Config())
}

// Guards against full load on a server that lost power and started again while the registry was out of
// reach: nothing but its absence shows that. Also guards against a cold start of one that was only
// cut off, once its entry is known to hold.
func TestColdStartOfAServerThatWasUnreachable(t *testing.T) {
	const reachable, unreachable, unknown = belief.Reachable, belief.Unreachable, belief.ProbeUnknown
	for name, c := range map[string]struct {
		probes   []belief.ProbeResult // one a second from 2 s on
		coldTime time.Duration        // as configured; 0 for not
		returned model.Time           // when it answered again; 0 for never
		want     model.Time           // the end of its cold start
	}{
		"never lost":               {[]belief.ProbeResult{reachable}, 3 * time.Second, 0, 0},
		"lost":                     {[]belief.ProbeResult{unreachable}, 3 * time.Second, 0, 0},
		"lost and back":            {[]belief.ProbeResult{unreachable, reachable}, 3 * time.Second, 3 * second, 6 * second},
		"back for some time":       {[]belief.ProbeResult{unreachable, reachable, reachable}, 3 * time.Second, 3 * second, 6 * second},
		"an inconclusive probe":    {[]belief.ProbeResult{unreachable, unknown, reachable}, 3 * time.Second, 4 * second, 7 * second},
		"lost twice":               {[]belief.ProbeResult{unreachable, reachable, unreachable, reachable}, 3 * time.Second, 5 * second, 8 * second},
		"no configured cold start": {[]belief.ProbeResult{unreachable, reachable}, 0, 3 * second, 9 * second},
	} {
		catalog := newCatalog()
		catalog.config.Services[0].ColdTime = c.coldTime
		catalog.put(second, 10, serverEntry("a", 1, nil))
		now := second
		for _, result := range c.probes {
			now += second
			catalog.RecordProbe(now, now, ServerRun{"a", 1}, result)
		}
		coldUntil := func(at model.Time) model.Time { return fill(catalog, at).Services["s"].Servers[0].ColdUntil }
		require.Equal(t, c.want, coldUntil(now), name)
		require.Zero(t, coldUntil(60*second), name)
		if c.returned != 0 {
			catalog.SetConfirmed(c.returned + model.Time(EntryDelay) - 1)
			require.Equal(t, c.want, coldUntil(now), "%s: the entry of a new run may be on its way", name)
			catalog.TakeChanged()
			catalog.SetConfirmed(c.returned + model.Time(EntryDelay))
			require.True(t, catalog.TakeChanged(), name)
		}
		require.Zero(t, coldUntil(now), name)
	}
}
