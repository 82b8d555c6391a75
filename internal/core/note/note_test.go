package note

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/savorytiller/savorytiller/internal/core/model"
)

func testService(id int) model.Service {
	return model.Service{ID: model.ServiceID(id), Name: fmt.Sprintf("svc%d", id), Host: fmt.Sprintf("svc%d.local", id),
		VirtualAddress: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 80, 0, byte(id)}), 4000)}
}

func testServer(i, svc, weight int) Server {
	a := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 5000)
	return Server{fmt.Sprintf("svc%d", svc), model.Server{ID: model.ServerID(fmt.Sprintf("s%d", i)), Zone: model.Zone(fmt.Sprintf("z%d", i%3)),
		FlowAddress: a, RequestAddress: a, Weight: uint16(weight), Slots: 4, Connections: 2000}}
}

// drawNote returns a random note, which may be invalid.
func drawNote(t *rapid.T, c *model.Configuration) *Note {
	var current model.Version
	if c != nil {
		current = c.Version
	}
	n := &Note{Format: Format, Version: model.Version(rapid.IntRange(0, int(current)+3).Draw(t, "version")),
		Base: model.Version(rapid.IntRange(0, int(current)+1).Draw(t, "base"))}
	if rapid.Bool().Draw(t, "next") {
		n.Version, n.Base = current+1, current
	}
	servers := func(label string) (out []Server) {
		for range rapid.IntRange(0, 3).Draw(t, label) {
			out = append(out, testServer(rapid.IntRange(1, 8).Draw(t, "server"), rapid.IntRange(1, 3).Draw(t, "of"),
				rapid.IntRange(0, 1001).Draw(t, "weight")))
		}
		return out
	}
	for range rapid.IntRange(0, 2).Draw(t, "services") {
		n.Added.Services = append(n.Added.Services, testService(rapid.IntRange(1, 3).Draw(t, "service")))
	}
	n.Added.Servers, n.Changed.Servers = servers("added"), servers("changed")
	for _, s := range servers("withdrawn") {
		n.Withdrawn.Servers = append(n.Withdrawn.Servers, s.ID)
	}
	if rapid.IntRange(0, 3).Draw(t, "zone") == 0 {
		n.Withdrawn.Zones = []model.Zone{"z1"}
	}
	return n
}

// Guards against a version that decreases when notes arrive out of order, against a
// refused note that changes the configuration, and against a digest that depends on
// the notes from which a configuration results: instances that loaded a checkpoint
// would then disagree with those that applied every note.
func TestNeverRevertsInAnyNoteOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var c *model.Configuration
		for range rapid.IntRange(1, 30).Draw(t, "notes") {
			var version model.Version
			var digest uint64
			if c != nil {
				version, digest = c.Version, c.Digest
			}
			n := drawNote(t, c)
			next, err := Apply(c, n)
			if c != nil && (c.Version != version || Digest(c) != digest) {
				t.Fatalf("Apply modified the old configuration")
			}
			if err != nil {
				if _, ok := err.(*Refusal); !ok || next != nil {
					t.Fatalf("error %v", err)
				}
				continue
			}
			if next.Version <= version || n.Base != 0 && n.Base != version {
				t.Fatalf("version %d base %d replaced %d", n.Version, n.Base, version)
			}
			c = next
			whole, err := JoinParts(c.Version, SplitParts(c, 2, 2))
			if err != nil {
				t.Fatal(err)
			}
			rebuilt, err := Apply(nil, whole)
			if err != nil || rebuilt.Digest != c.Digest {
				t.Fatalf("checkpoint of version %d gives another configuration: %v", c.Version, err)
			}
		}
	})
}

// Guards against parts of different checkpoints that are combined into one.
func TestJoinRefusesPartsOfOtherCheckpoints(t *testing.T) {
	part := func(v, base model.Version) *Note { return &Note{Format: Format, Version: v, Base: base} }
	for _, parts := range [][]*Note{{part(7, 0), part(8, 0)}, {part(7, 6)}, {{Format: 2, Version: 7}},
		{{Format: Format, Version: 7, Changed: Set{Servers: []Server{testServer(1, 1, 1)}}}}} {
		_, err := JoinParts(7, parts)
		require.Error(t, err)
	}
}

// Guards against an endpoint that gets work for its new service while an instance with
// an outdated view can still use it for the old one, also if no service used it in
// between.
func TestQuarantineOfMovedEndpoints(t *testing.T) {
	first, err := Apply(nil, &Note{Format: Format, Version: 1, Added: Set{Services: []model.Service{testService(1), testService(2)},
		Servers: []Server{testServer(1, 1, 10), testServer(2, 1, 10)}}})
	require.NoError(t, err)
	var q Quarantine
	q.Track(nil, first, 0)
	second, err := Apply(first, &Note{Format: Format, Version: 2, Base: 1, Withdrawn: Removal{Servers: []model.ServerID{"s1"}}})
	require.NoError(t, err)
	at := model.Time(time.Minute)
	q.Track(first, second, at)
	moved := testServer(1, 2, 10)
	third, err := Apply(second, &Note{Format: Format, Version: 3, Base: 2, Added: Set{Servers: []Server{moved}}})
	require.NoError(t, err)
	q.Track(second, third, at.Add(time.Second))
	require.Equal(t, at.Add(AddressQuarantine), q.Until(2, &moved.Server))
	require.Zero(t, q.Until(1, &moved.Server), "the old service may use it again")
	other := testServer(2, 1, 10)
	require.Zero(t, q.Until(1, &other.Server))
	q.Track(third, third, at.Add(AddressQuarantine))
	require.Zero(t, q.Until(2, &moved.Server))
}

// Guards against a valid note that is refused because of the order in which it names the
// servers: a changed server that was appended left the list unsorted for the next search.
func TestChangedServersMayBeNamedInAnyOrder(t *testing.T) {
	first, err := Apply(nil, &Note{Format: Format, Version: 1, Added: Set{Services: []model.Service{testService(1), testService(2)},
		Servers: []Server{testServer(1, 1, 10), testServer(2, 1, 10), testServer(3, 1, 10), testServer(4, 2, 10)}}})
	require.NoError(t, err)
	for _, order := range [][]int{{1, 2, 3}, {3, 2, 1}, {2, 3, 1}, {4, 1, 3, 2}} {
		n := &Note{Format: Format, Version: 2, Base: 1}
		for _, i := range order {
			n.Changed.Servers = append(n.Changed.Servers, testServer(i, 1, 20))
		}
		changed, err := Apply(first, n)
		require.NoError(t, err, "order %v", order)
		for _, i := range order {
			j, ok := findServer(changed.Services[0].Servers, model.ServerID(fmt.Sprintf("s%d", i)))
			require.True(t, ok, "order %v", order)
			require.EqualValues(t, 20, changed.Services[0].Servers[j].Weight)
		}
	}
}
