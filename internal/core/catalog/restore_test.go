package catalog

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/savorytiller/savorytiller/internal/core/model"
)

// restore applies the first listing after a restore of the registry.
func (c *Catalog) restore(now model.Time, entries ...Entry) {
	c.EnterEpoch(now)
	listing := Changes{Entries: entries, Revision: 5, Epoch: 2}
	for _, e := range c.ImpliedRemovals(&listing) {
		c.Apply(now, &e)
	}
	for i := range entries {
		c.Apply(now, &entries[i])
	}
}

// Guards against a change that is left out because its revision was given out before.
func TestRevisionsAreGivenOutAgainAfterARestore(t *testing.T) {
	c := newCatalog()
	c.put(1, 10, serverEntry("a", 1, nil))
	c.restore(second)
	require.Equal(t, ServerListed, c.Apply(second, &Entry{Key: "servers/a", Revision: 6, Server: serverEntry("a", 1, nil)}))
	require.Equal(t, Unchanged, c.Apply(second, &Entry{Key: "servers/a", Revision: 6, Removed: true}), "revisions order the new epoch")
}

// Guards against the configuration of a copy that replaces a later version.
func TestConfigurationNeverRevertsToThatOfACopy(t *testing.T) {
	c := newCatalog()
	require.Equal(t, ConfigurationInForce, c.Apply(1, &Entry{Key: "config", Revision: 9, Config: &Configuration{Version: 12}}))
	c.restore(second, Entry{Key: "config", Revision: 3, Config: &Configuration{Version: 5}})
	require.EqualValues(t, 12, c.ConfigVersion())
	require.Equal(t, ConfigurationInForce, c.Apply(second, &Entry{Key: "config", Revision: 6, Config: &Configuration{Version: 15}}))
}

// Guards against a server that counts as ended because its entry is missing right after a
// restore, and whose open flows are then reset.
func TestServersMayReturnAfterARestore(t *testing.T) {
	c := newCatalog()
	c.SetRegistryReachable(1, true)
	c.put(1, 10, serverEntry("a", 1, nil))
	require.True(t, c.Settled(9*second))
	c.restore(9 * second)
	require.False(t, c.Settled(10*second))
	require.Equal(t, []string{"a"}, eligible(c, 10*second))
	require.True(t, c.Settled(12*second))
	require.Empty(t, eligible(c, 12*second))
}
