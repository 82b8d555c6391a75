package operatorcli

import (
	"bytes"
	"encoding/json"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/savorytiller/savorytiller/internal/adapter/admin"
	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/core/view"
	"github.com/savorytiller/savorytiller/internal/port"
)

func runCommand(t *testing.T, args ...string) (code int, out, errOut string) {
	t.Helper()
	var o, e bytes.Buffer
	code = Run(t.Context(), args, &o, &e)
	return code, o.String(), e.String()
}

func writeTempFile(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "file")
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

const completeNote = `{"format": 1, "version": 1, "base": 0, "added": {"services": [{"id": 17, "name": "line", "tenant": "d",
	"host": "line.local", "virtual_address": "10.80.0.17:4000", "idle_timeout_ms": 900000, "request_timeout_ms": 5000,
	"max_body_bytes": 1000, "kinds": []}], "servers": [{"id": "line-1", "service": "line", "zone": "a", "weight": 100, "slots": 4,
	"connections": 2000, "state": "active", "flow_address": "127.0.0.1:5101", "request_address": "127.0.0.1:5201"}]}}`

const deltaNote = `{"format": 1, "version": 2, "base": 1, "withdrawn": {"zones": ["a"]}}`

// Guards against wrong exit codes, with which a script would publish a note that
// the instances refuse, or take an unreadable file for a refused note.
func TestCheckNoteExitCodes(t *testing.T) {
	complete := writeTempFile(t, completeNote)
	cases := []struct {
		name, text string
		after      bool
		code       int
		wantOutput string
	}{
		{"complete", completeNote, false, ExitOK, "accepted: version 1"},
		{"delta", deltaNote, true, ExitOK, "out of service: [a]"},
		{"delta without its base", deltaNote, false, ExitRefused, "note_gap"},
		{"not JSON", "{", false, ExitRefused, "note_malformed"},
		{"unknown format", strings.Replace(completeNote, `"format": 1`, `"format": 9`, 1), false, ExitRefused, "note_format"},
		{"old version", completeNote, true, ExitRefused, "note_old"},
		{"unknown server", `{"format":1,"version":2,"base":1,"withdrawn":{"servers":["line-9"]}}`, true, ExitRefused, "note_contradictory"},
		{"too large", completeNote + strings.Repeat(" ", 1<<20), false, ExitRefused, "note_too_large"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			args := []string{"check-note", writeTempFile(t, c.text)}
			if c.after {
				args = append(args, "--after", complete)
			}
			code, out, errOut := runCommand(t, args...)
			require.Equal(t, c.code, code, out+errOut)
			require.Contains(t, out, c.wantOutput)

			code, out, _ = runCommand(t, append(args, "--json")...)
			require.Equal(t, c.code, code)
			var result noteResult
			require.NoError(t, json.Unmarshal([]byte(out), &result))
			require.Equal(t, c.code == ExitOK, result.Accepted)
		})
	}
	code, _, errOut := runCommand(t, "check-note", filepath.Join(t.TempDir(), "none"))
	require.Equal(t, ExitUsage, code)
	require.Contains(t, errOut, "none")
}

// Guards against failures of different kinds that share an exit code, so that
// scripts cannot tell them apart.
func TestExitCodes(t *testing.T) {
	code, _, errOut := runCommand(t, "check-config", writeTempFile(t, "[instance]\nid = 3\n"))
	require.Equal(t, ExitRefused, code, errOut)
	code, out, _ := runCommand(t, "--help")
	require.Equal(t, ExitOK, code)
	require.Contains(t, out, "check-note")
	code, _, _ = runCommand(t, "no-such-command")
	require.Equal(t, ExitUsage, code)
	code, _, _ = runCommand(t, "explain", "--service", "line")
	require.Equal(t, ExitUsage, code)
	stopped := httptest.NewServer(nil)
	stopped.Close()
	code, _, _ = runCommand(t, "status", "--address", strings.TrimPrefix(stopped.URL, "http://"))
	require.Equal(t, ExitUnreachable, code)
}

type fixedState struct{ view *view.View }

func (f fixedState) View() *view.View { return f.view }
func (f fixedState) Now() model.Time  { return 1000 }

// Guards against commands that cannot decode the endpoints' responses, and against
// a status command whose exit code does not show that the instance is not ready.
func TestCommandsReadTheEndpoints(t *testing.T) {
	f := fixedState{&view.View{FreshUntil: 2000, Config: &model.Configuration{Version: 7}, ShuttingDown: true}}
	server := httptest.NewServer(admin.Source{
		Clock: f, Views: f,
		Metrics: func() admin.Metrics { return admin.Metrics{} },
		Decisions: func() []port.Decision {
			return []port.Decision{{Part: "flow", Reason: model.ReasonIdle, Subject: "a"}, {Part: "request", Subject: "b"}}
		},
		Status: func() admin.Status {
			return admin.Status{Members: []admin.Member{{ID: "halle-a-1", Liveness: "dead", Why: "three probes without answer"}}}
		},
	}.Server().Handler)
	defer server.Close()
	address := "--address=" + strings.TrimPrefix(server.URL, "http://")
	for command, wantOutput := range map[string]string{
		"status":  "not ready: shutting_down",
		"members": "three probes without answer",
		"servers": "SERVER",
		"metrics": "PART",
		"explain": "idle",
	} {
		code, out, errOut := runCommand(t, command, address)
		require.Contains(t, out, wantOutput, errOut)
		require.Equal(t, map[bool]int{true: ExitRefused, false: ExitOK}[command == "status"], code)
		_, out, _ = runCommand(t, command, address, "--json")
		require.True(t, json.Valid([]byte(out)), out)
	}
	_, out, _ := runCommand(t, "explain", address, "--part", "request")
	require.NotContains(t, out, "idle")
	code, _, errOut := runCommand(t, "explain", address, "--service", "unknown", "--source", "10.0.0.1:5")
	require.Equal(t, ExitUsage, code)
	require.Contains(t, errOut, "not in release note 7")
}
