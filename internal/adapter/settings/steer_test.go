package settings

import (
	"net/netip"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const steerExample = `
[instance]
id = "edge-halle-a-1"
zone = "halle-a"
link_mbps = 10
[listen]
flows = "10.1.0.10:8172"
readiness = "10.1.0.10:8167"
peers = "10.1.0.10:8166"
metrics = "10.1.0.10:7720"
[peers]
seeds = ["10.1.0.10:8166", "10.2.0.40:8166"]
[registry]
address = "10.200.1.7:8169"
[bounds]
flow_lifetime_s = 60
stop_grace_s = 6.5
config_apply_ms = 2500.5
cold_margin = 5
`

// Guards against values that are stored in the wrong field or unit, and against
// defaults and fractions that are lost.
func TestSteerSettingsAreParsed(t *testing.T) {
	s, err := ParseSteer("f", []byte(steerExample))
	require.NoError(t, err)
	require.Equal(t, netip.MustParseAddrPort("10.1.0.10:8166"), s.Listen.Peers)
	require.Len(t, s.Seeds, 2)
	require.Equal(t, time.Minute, s.Bounds.FlowLifetime)
	require.Equal(t, 6500*time.Millisecond, s.Bounds.StopGrace, "a fraction")
	require.Equal(t, 2500500*time.Microsecond, s.Bounds.ConfigApply)
	require.Equal(t, 3*time.Second, s.Bounds.Drain, "default")
	require.Equal(t, "info", s.Log.Level)
	require.EqualValues(t, 10, s.LinkMbps)
	require.Equal(t, Admission{Enabled: true, Reserve: 0.1}, s.Admission, "defaults")
	off, err := ParseSteer("f", []byte(steerExample+"[admission]\nenabled = false\nreserve = 0.5\n"))
	require.NoError(t, err)
	require.Equal(t, Admission{Reserve: 0.5}, off.Admission)
	withDecimalPoint, err := ParseSteer("f", []byte(strings.Replace(steerExample, "link_mbps = 10", "link_mbps = 1000.0", 1)))
	require.NoError(t, err)
	require.EqualValues(t, 1000, withDecimalPoint.LinkMbps)
}

// Guards against a start with invalid settings, and against an error message
// without the key and the allowed values.
func TestWrongSteerValueNamesKeyAndRange(t *testing.T) {
	for name, c := range map[string]struct{ old, new, key, allowed string }{
		"missing":       {`zone = "halle-a"`, ``, "instance.zone", "characters"},
		"address":       {`"10.1.0.10:8172"`, `"halle:8172"`, "listen.flows", "IP address"},
		"seeds":         {`"10.2.0.40:8166"]`, `"x"]`, "peers.seeds", "list of IP addresses"},
		"seeds no list": {`["10.1.0.10:8166", "10.2.0.40:8166"]`, `"10.1.0.10:8166"`, "peers.seeds", "list"},
		"range":         {`stop_grace_s = 6.5`, `stop_grace_s = 0.01`, "bounds.stop_grace_s", "from 0.1 to 600"},
		"type":          {`cold_margin = 5`, `cold_margin = "5"`, "bounds.cold_margin", "from 0 to 1000"},
		"link":          {`link_mbps = 10`, `link_mbps = -1`, "instance.link_mbps", "from 0"},
		"boolean":       {`[bounds]`, "[admission]\nenabled = 1\n[bounds]", "admission.enabled", "true or false"},
		"reserve":       {`[bounds]`, "[admission]\nreserve = 0.6\n[bounds]", "admission.reserve", "from 0 to 0.5"},
		"hedge limit":   {`[bounds]`, "[hedge]\nlimit = 0.3\n[bounds]", "hedge.limit", "from 0 to 0.2"},
		"unknown":       {`cold_margin = 5`, `warm_margin = 5`, "bounds.warm_margin", "docs/OPERATIONS.md"},
	} {
		_, err := ParseSteer("f", []byte(strings.Replace(steerExample, c.old, c.new, 1)))
		var invalid *InvalidError
		require.ErrorAs(t, err, &invalid, name)
		require.Equal(t, c.key, invalid.Problems[0].Key, name)
		require.Contains(t, invalid.Problems[0].Allowed, c.allowed, name)
	}
}

// Guards against a setting that the operators' page does not list.
func TestOperatorsPageListsEverySteerKey(t *testing.T) {
	page, err := os.ReadFile("../../../docs/OPERATIONS.md")
	require.NoError(t, err)
	for _, f := range steerFields {
		require.Contains(t, string(page), "| `"+f.key+"` |")
	}
}
