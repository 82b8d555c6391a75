package app

import (
	"encoding/json"
	"net/netip"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against an instance that announces port 0 or an address that others
// cannot reach.
func TestAdvertisedAddress(t *testing.T) {
	for _, c := range []struct{ set, bound, expected string }{
		{"", "127.0.0.1:4101", "127.0.0.1:4101"},
		{"", "[::ffff:127.0.0.1]:4101", "127.0.0.1:4101"},
		{"10.0.0.7:0", "0.0.0.0:4101", "10.0.0.7:4101"},
		{"10.0.0.7:9", "0.0.0.0:4101", "10.0.0.7:9"},
	} {
		var set netip.AddrPort
		if c.set != "" {
			set = netip.MustParseAddrPort(c.set)
		}
		require.Equal(t, c.expected, advertisedAddress(set, netip.MustParseAddrPort(c.bound)).String())
	}
}

// Guards against an addresses file that scripts of other users cannot read, and
// against a temporary file that remains after a failed write.
func TestAddressesFile(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "addresses.json")
	a := Addresses{Flows: netip.MustParseAddrPort("127.0.0.1:4101")}
	require.NoError(t, a.Write(path))
	data, err := os.ReadFile(path)
	require.NoError(t, err)
	var read Addresses
	require.NoError(t, json.Unmarshal(data, &read))
	require.Equal(t, a.Flows, read.Flows)
	info, err := os.Stat(path)
	require.NoError(t, err)
	require.EqualValues(t, addressesFileMode, info.Mode().Perm())

	require.NoError(t, os.Mkdir(filepath.Join(dir, "directory"), 0o755))
	require.Error(t, a.Write(filepath.Join(dir, "directory")))
	entries, err := os.ReadDir(dir)
	require.NoError(t, err)
	require.Len(t, entries, 2)
}
