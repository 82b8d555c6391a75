package settings

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const validSettings = `
[instance]
id = "halle-a-1"
zone = "halle-a"
[listen]
flows = "127.0.0.1:0"
peers = "127.0.0.1:0"
requests = "127.0.0.1:0"
operators = "127.0.0.1:0"
[platform]
url = "http://127.0.0.1:4000"
[[peer_keys]]
id = 12
secret = "0123456789abcdef0123456789abcdef"
`

// Guards against a key that stays at its zero value because its default is not
// applied when the file omits it.
func TestMissingKeysGetDefaults(t *testing.T) {
	s, err := Parse("a.toml", []byte(validSettings))
	require.NoError(t, err)
	require.Equal(t, 30*time.Second, s.Shutdown.Drain)
	require.Equal(t, 4096, s.Flows.QueuePackets)
	require.EqualValues(t, 256<<20, s.Requests.InFlightBytes)
	require.EqualValues(t, 12, s.PeerKeys[0].ID)
	require.Equal(t, "info", s.Log.Level)
}

// Guards against a default that overrides a value from the file, and against a
// number of milliseconds that is read in another unit.
func TestValuesOfTheFileReplaceDefaults(t *testing.T) {
	s, err := Parse("a.toml", []byte(validSettings+"[shutdown]\ndrain_ms = 1500\nnotice_ms = 5\n[flows]\nshards = 7\n"))
	require.NoError(t, err)
	require.Equal(t, 1500*time.Millisecond, s.Shutdown.Drain)
	require.Equal(t, 5*time.Millisecond, s.Shutdown.Notice)
	require.Equal(t, 7, s.Flows.Shards)
}

// Guards against a wrong value that is accepted, and against an error message
// without the file, the key and the allowed values.
func TestWrongValueNamesFileKeyAndRange(t *testing.T) {
	const secret = `secret = "0123456789abcdef0123456789abcdef"`
	cases := []struct{ name, old, new, key, allowed string }{
		{"id missing", `id = "halle-a-1"`, ``, "instance.id", "1 to 64 characters"},
		{"id upper case", `"halle-a-1"`, `"Halle A"`, "instance.id", "1 to 64 characters"},
		{"id number", `"halle-a-1"`, `17`, "instance.id", "1 to 64 characters"},
		{"zone empty", `zone = "halle-a"`, `zone = ""`, "instance.zone", "1 to 64 characters"},
		{"host name", `flows = "127.0.0.1:0"`, `flows = "localhost:0"`, "listen.flows", "an IP address and a port"},
		{"port too high", `peers = "127.0.0.1:0"`, `peers = "127.0.0.1:65536"`, "listen.peers", "port 0"},
		{"no port", `requests = "127.0.0.1:0"`, `requests = "127.0.0.1"`, "listen.requests", "an IP address and a port"},
		{"operators missing", `operators = "127.0.0.1:0"`, ``, "listen.operators", "an IP address and a port"},
		{"unreachable", `[platform]`, "[advertise]\npeers = \"0.0.0.0:1\"\n[platform]", "advertise.peers", "peers can reach"},
		{"unspecified", `peers = "127.0.0.1:0"`, `peers = "0.0.0.0:0"`, "advertise.peers", "required when listen.peers"},
		{"https", `http://127`, `https://127`, "platform.url", "an http URL"},
		{"url with path", `:4000"`, `:4000/v1"`, "platform.url", "without path"},
		{"url by name", `127.0.0.1:4000`, `platform.local:4000`, "platform.url", "IP address"},
		{"no peer key", "[[peer_keys]]\nid = 12\n" + secret, ``, "peer_keys", "1 or 2"},
		{"key id", `id = 12`, `id = 256`, "peer_keys[0].id", "1 to 255"},
		{"key id as text", `id = 12`, `id = "12"`, "peer_keys[0].id", "1 to 255"},
		{"short secret", secret, `secret = "0123"`, "peer_keys[0].secret", "32 to 128"},
		{"unknown in key", secret, secret + "\nuntil = 1", "peer_keys[0].until", "id and secret"},
		{"same key id", secret, secret + "\n[[peer_keys]]\nid = 12\n" + secret, "peer_keys[1].id", "different"},
		{"unknown key", `zone =`, "region = \"x\"\nzone =", "instance.region", "docs/OPERATIONS.md"},
		{"unknown table", `[platform]`, "[cache]\nsize = 1\n[platform]", "cache.size", "docs/OPERATIONS.md"},
		{"notice over drain", `[platform]`, "[shutdown]\nnotice_ms = 500\ndrain_ms = 400\n[platform]", "shutdown.notice_ms", "below"},
		{"tenant over instance", `[platform]`, "[requests]\ntenant_bytes = 2097152\nin_flight_bytes = 1048576\n[platform]", "requests.tenant_bytes", "at most"},
		{"level", `[platform]`, "[log]\nlevel = \"loud\"\n[platform]", "log.level", "one of debug, info, error"},
		{"table as a value", `[instance]`, "flows = 3\n[instance]", "flows", "docs/OPERATIONS.md"},
		{"syntax", `[platform]`, "[platform", "line", "TOML"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			text := strings.Replace(validSettings, c.old, c.new, 1)
			require.NotEqual(t, validSettings, text, "the test case does not change the settings")
			requireProblem(t, text, c.key, c.allowed)
		})
	}
}

// Guards against an integer setting whose type or limits are not checked.
func TestEveryNumberHasCheckedLimits(t *testing.T) {
	for _, f := range fields {
		if _, ok := f.defaultValue.(int64); !ok {
			continue
		}
		table, key, _ := strings.Cut(f.key, ".")
		for _, value := range []string{"-1", "99999999999999", `"10"`, "1.5", "true"} {
			requireProblem(t, validSettings+"["+table+"]\n"+key+" = "+value+"\n", f.key, f.allowed)
		}
	}
}

// requireProblem checks that the settings in text are refused with a problem that
// names the file, the key and the allowed values.
func requireProblem(t *testing.T, text, key, allowed string) {
	t.Helper()
	_, err := Parse("halle.toml", []byte(text))
	require.ErrorIs(t, err, ErrInvalid)
	var invalid *InvalidError
	require.ErrorAs(t, err, &invalid)
	for _, p := range invalid.Problems {
		if strings.HasPrefix(p.Key, key) && strings.Contains(p.Allowed, allowed) {
			require.Contains(t, err.Error(), "halle.toml: "+key)
			return
		}
	}
	t.Fatalf("no problem for %s (%s) in:\n%v", key, allowed, err)
}

// Guards against a check that stops at the first problem, so that operators have
// to correct and check a file once for each problem.
func TestAllProblemsAreReportedAtOnce(t *testing.T) {
	text := strings.NewReplacer(`"halle-a-1"`, `""`, `http://`, `ftp://`).Replace(validSettings) + "[flows]\nshards = 0\nrings = 1\n"
	_, err := Parse("halle.toml", []byte(text))
	require.Len(t, strings.Split(err.Error(), "\n"), 4)
}

// Guards against a secret in an error message, which would get it into logs.
func TestErrorsDoNotShowSecrets(t *testing.T) {
	_, err := Parse("a.toml", []byte(strings.Replace(validSettings, "0123456789abcdef0123456789abcdef", "top secret", 1)))
	require.ErrorIs(t, err, ErrInvalid)
	require.NotContains(t, err.Error(), "top secret")
}

// Guards against a missing file that is reported as invalid settings, or without
// its name.
func TestMissingFileIsUnreadable(t *testing.T) {
	_, err := Load(t.TempDir() + "/none.toml")
	require.True(t, errors.Is(err, ErrUnreadable))
	require.ErrorContains(t, err, "none.toml")
}

// Guards against a setting that the operators' page does not list, or lists with
// an outdated default.
func TestOperatorsPageListsEveryKeyAndDefault(t *testing.T) {
	page, err := os.ReadFile("../../../docs/OPERATIONS.md")
	require.NoError(t, err)
	for _, f := range fields {
		row := "\n| `" + f.key + "` | "
		switch {
		case f.required:
			row += "required |"
		case f.defaultValue != nil:
			row += fmt.Sprint(f.defaultValue) + " |"
		}
		require.Contains(t, string(page), row)
	}
}
