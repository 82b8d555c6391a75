package configservice

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/core/note"
	"github.com/savorytiller/savorytiller/internal/port"
)

const (
	lineService   = `{"id":17,"name":"line","host":"line.local","virtual_address":"10.80.0.17:4000"}`
	imagesService = `{"id":18,"name":"images","host":"images.local","virtual_address":"10.80.0.18:4000"}`
	firstServer   = `{"id":"s1","service":"line","zone":"a","weight":100,"slots":4,"connections":2000,"state":"active",` +
		`"flow_address":"127.0.0.1:5101","request_address":"127.0.0.1:5201"}`
	firstNote = `{"format":1,"version":1,"base":0,"added":{"services":[` + lineService + `,` + imagesService + `],"servers":[` + firstServer + `]}}`
)

// secondNote returns a note from version 1 to version 2 with the given lists.
func secondNote(lists string) string { return `{"format":1,"version":2,"base":1,` + lists + `}` }

// secondServer returns server s2 with the given replacements, in pairs of old and new
// text.
func secondServer(replacements ...string) string {
	s := strings.NewReplacer("s1", "s2", "5101", "5102", "5201", "5202").Replace(firstServer)
	return strings.NewReplacer(replacements...).Replace(s)
}

func decodeAndApply(t *testing.T, c *model.Configuration, raw string) (*model.Configuration, error) {
	t.Helper()
	n, err := Codec{}.DecodeNote([]byte(raw))
	if err != nil {
		return nil, err
	}
	return note.Apply(c, n)
}

// priorities returns a note that changes service images to two kinds of class c with the given fields.
func priorities(first, second string) string {
	return secondNote(`"changed":{"services":[` + strings.TrimSuffix(imagesService, "}") +
		`,"kinds":[{"name":"k0","class":"c",` + first + `},{"name":"k1","class":"c",` + second + `}]}]}`)
}

// Guards against a stated priority that is lost, and against one that a class gets without having stated
// it.
func TestPrioritiesAreDecoded(t *testing.T) {
	base, err := decodeAndApply(t, nil, firstNote)
	require.NoError(t, err)
	for _, c := range []struct {
		field string
		want  uint8
	}{{`"priority":0`, 0}, {`"priority":99`, 99}, {`"priority":null`, model.LowestPriority}, {`"method":"GET"`, model.LowestPriority}} {
		next, err := decodeAndApply(t, base, priorities(c.field, c.field))
		require.NoError(t, err)
		for _, k := range next.ServiceByHost("images.local").Kinds {
			require.Equal(t, c.want, k.Priority, c.field)
		}
	}
}

// Guards against an invalid note that is applied in whole or in part, and against a
// refusal whose reason or detail does not say what is wrong with the note.
func TestInvalidNotesAreRefused(t *testing.T) {
	base, err := decodeAndApply(t, nil, firstNote)
	require.NoError(t, err)
	added := func(s string) string { return secondNote(`"added":{"servers":[` + s + `]}`) }
	for _, c := range []struct {
		raw    string
		reason model.Reason
		detail string
	}{
		{``, model.ReasonNoteMalformed, "unexpected end"},
		{`{}`, model.ReasonNoteMalformed, "format is missing"},
		{`[]`, model.ReasonNoteMalformed, "cannot unmarshal"},
		{`{"format":2,"version":2,"base":1,"anything":true}`, model.ReasonNoteFormat, "format 2, supported is 1"},
		{`{"format":1,"base":1}`, model.ReasonNoteMalformed, "version is 0 or missing"},
		{`{"format":1,"version":-1,"base":1}`, model.ReasonNoteMalformed, "cannot unmarshal number -1"},
		{`{"format":1,"version":2,"base":1} {}`, model.ReasonNoteMalformed, "after top-level value"},
		{`{"format":1,"version":2,"version":3,"base":1}`, model.ReasonNoteMalformed, `field "version" is repeated`},
		{`{"format":1,"version":2,"Version":3,"base":1}`, model.ReasonNoteMalformed, `field "Version" is repeated`},
		{`{"format":1,"version":2,"base":1,"aded":{}}`, model.ReasonNoteMalformed, `unknown field "aded"`},
		{`{"format":1,"version":1,"base":0}`, model.ReasonNoteOld, "version 1, in force is 1"},
		{`{"format":1,"version":3,"base":2}`, model.ReasonNoteGap, "base 2, in force is 1"},
		{`{"format":1,"version":2,"base":0,"withdrawn":{"servers":["s1"]}}`, model.ReasonNoteContradictory, "complete configuration changes"},
		{strings.Repeat(" ", note.MaxBytes) + firstNote, model.ReasonNoteTooLarge, "allowed are 1048576"},
		{secondNote(`"withdrawn":{"servers":["s9"]}`), model.ReasonNoteContradictory, "withdrawn server s9 does not exist"},
		{secondNote(`"withdrawn":{"services":["none"]}`), model.ReasonNoteContradictory, "withdrawn service none does not exist"},
		{secondNote(`"withdrawn":{"zones":["a","a"]}`), model.ReasonNoteContradictory, "zone a is named twice"},
		{secondNote(`"added":{"zones":["a"]}`), model.ReasonNoteContradictory, "zone a returns but is not withdrawn"},
		{secondNote(`"changed":{"servers":[` + secondServer() + `]}`), model.ReasonNoteContradictory, "changed server s2 does not exist"},
		{secondNote(`"changed":{"services":[` + strings.Replace(lineService, "17", "19", 1) + `]}`), model.ReasonNoteContradictory, "has id 19, in force is 17"},
		{added(firstServer), model.ReasonNoteContradictory, "added server s1 exists already"},
		{added(secondServer() + "," + secondServer()), model.ReasonNoteContradictory, "server s2 is named twice"},
		{added(secondServer(`"line"`, `"none"`)), model.ReasonNoteContradictory, `unknown service "none"`},
		{added(secondServer("5102", "5101")), model.ReasonNoteContradictory, "same flow address 127.0.0.1:5101"},
		{added(secondServer("5202", "5201", `"line"`, `"images"`)), model.ReasonNoteContradictory, "same request address 127.0.0.1:5201"},
		{added(secondServer(`"weight":100`, `"weight":0`)), model.ReasonNoteContradictory, "weight 0, allowed are 1 to 1000"},
		{added(secondServer(`"weight":100`, `"weight":1001`)), model.ReasonNoteContradictory, "weight"},
		{added(secondServer(`"slots":4`, `"slots":0`)), model.ReasonNoteContradictory, "0 slots, allowed are 1 to 1024"},
		{added(secondServer(`"slots":4`, `"slots":65540`)), model.ReasonNoteContradictory, "slots of server s2 is 65540"},
		{added(secondServer(`"connections":2000`, `"connections":1000001`)), model.ReasonNoteContradictory, "connections"},
		{added(secondServer(`"active"`, `"gone"`)), model.ReasonNoteMalformed, `state of server s2 is "gone"`},
		{added(secondServer(`127.0.0.1:5102`, `nowhere`)), model.ReasonNoteMalformed, "flow_address of server s2"},
		{added(secondServer(`"zone":"a"`, `"zone":""`)), model.ReasonNoteMalformed, "zone of server s2"},
		{priorities(`"priority":0`, `"priority":1`), model.ReasonNoteContradictory, `class "c" two priorities, 0 and 1`},
		{priorities(`"priority":0`, `"idempotent":true`), model.ReasonNoteContradictory, `class "c" two priorities, 0 and 255 (255: none stated)`},
		{priorities(`"priority":100`, `"priority":100`), model.ReasonNoteContradictory, "priority of kind k0 is 100, allowed are up to 99"},
		{priorities(`"priority":-1`, `"priority":-1`), model.ReasonNoteContradictory, "priority of kind k0 is -1"},
		{secondNote(`"added":{"services":[` + strings.Replace(lineService, `"line"`, `"line2"`, 1) + `]}`), model.ReasonNoteContradictory, "same id 17"},
		{secondNote(`"added":{"services":[` + strings.NewReplacer("17", "19", `"line"`, `"l2"`, "line.local", "l2").Replace(
			strings.Replace(lineService, "10.80.0.17", "10.80.0.18", 1)) + `]}`), model.ReasonNoteContradictory, "same virtual address 10.80.0.18:4000"},
	} {
		next, err := decodeAndApply(t, base, c.raw)
		require.Nil(t, next)
		var refusal *note.Refusal
		require.ErrorAs(t, err, &refusal, c.raw[:min(len(c.raw), 200)])
		require.Equal(t, c.reason.String(), refusal.Reason.String(), "%.200s: %v", c.raw, err)
		require.Contains(t, refusal.Detail, c.detail, "%.200s", c.raw)
	}
	require.Len(t, base.Services[0].Servers, 1, "a refused note changed the configuration in force")
}

// Guards against a decoder or a check that accepts a contradictory configuration, or
// that panics or returns an error other than a Refusal on arbitrary input.
func FuzzDecodeNote(f *testing.F) {
	f.Add(firstNote)
	f.Add(secondNote(`"withdrawn":{"zones":["a"],"services":["images"],"servers":["s1"]}`))
	f.Add(secondNote(`"added":{"servers":[` + secondServer() + `]},"changed":{"servers":[` + firstServer + `]}`))
	f.Add(`{"format":1,"version":18446744073709551615,"base":1,"added":{"services":[null],"servers":[{}]}}`)
	f.Add(strings.Repeat(`{"added":`, 40))
	base, err := note.Apply(nil, mustDecode(firstNote))
	require.NoError(f, err)
	f.Fuzz(func(t *testing.T, raw string) {
		n, err := Codec{}.DecodeNote([]byte(raw))
		if err != nil {
			var refusal *note.Refusal
			require.ErrorAs(t, err, &refusal)
			return
		}
		for _, before := range []*model.Configuration{nil, base} {
			next, err := note.Apply(before, n)
			if err != nil {
				continue
			}
			require.Greater(t, next.Version, model.Version(0))
			require.Equal(t, next.Digest, note.Digest(next))
			seen := map[string]bool{}
			for i := range next.Services {
				require.LessOrEqual(t, next.Services[i].ID, model.MaxServiceID)
				for _, s := range next.Services[i].Servers {
					for _, key := range []string{"id " + string(s.ID), "flow " + s.FlowAddress.String(), "request " + s.RequestAddress.String()} {
						valid := !strings.HasSuffix(key, "invalid AddrPort")
						require.False(t, valid && seen[key], "%s twice", key)
						seen[key] = true
					}
				}
			}
		}
	})
}

func mustDecode(raw string) *note.Note {
	n, err := Codec{}.DecodeNote([]byte(raw))
	if err != nil {
		panic(err)
	}
	return n
}

// Guards against errors that do not distinguish a missing key, an unavailable service
// and a value above the size limit, and against an invalid entry of the instance list
// that hides the other instances.
func TestClientErrorsAndInvalidEntries(t *testing.T) {
	mux := http.NewServeMux()
	mux.HandleFunc("/v1/keys/release/latest", func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Revision", "7")
		fmt.Fprintf(w, `{"version":3,"digest":"00000000000000ff"}%s`, strings.Repeat(" ", len(r.FormValue("watch"))))
	})
	mux.HandleFunc("/v1/keys/down", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) })
	mux.HandleFunc("/v1/keys/large", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(make([]byte, maxValueBytes+1)) })
	mux.HandleFunc("/v1/instances", func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprint(w, `{"instances":[{"id":"a-1","zone":"a","state":"leaving","peer_address":"127.0.0.1:1"},`+
			`{"id":"a-2","zone":"a","state":"live","peer_address":"nowhere"}]}`)
	})
	s := httptest.NewServer(mux)
	defer s.Close()
	c, err := New(Options{ConfigURL: s.URL, InstancesURL: s.URL})
	require.NoError(t, err)
	ctx := context.Background()
	value, revision, err := c.Watch(ctx, "release/latest", 6)
	require.NoError(t, err)
	require.Equal(t, uint64(7), revision)
	latest, err := Codec{}.DecodeLatest(value)
	require.NoError(t, err)
	require.Equal(t, note.Latest{Version: 3, Digest: 255, HasDigest: true}, latest)
	for key, expected := range map[string]error{"none": port.ErrNotFound, "down": port.ErrUnavailable, "large": port.ErrTooLarge} {
		_, err = c.Read(ctx, key)
		require.ErrorIs(t, err, expected, key)
	}
	members, err := c.Instances(ctx)
	require.NoError(t, err)
	require.Len(t, members, 1)
	require.Equal(t, model.Leaving, members[0].Liveness)
	s.Close()
	_, err = c.Read(ctx, "release/latest")
	require.ErrorIs(t, err, port.ErrUnavailable)
}
