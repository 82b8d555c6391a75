package peerudp

import (
	"bytes"
	"context"
	"fmt"
	"math"
	"net/netip"
	"reflect"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"github.com/savorytiller/savorytiller/internal/adapter/metrics"
	"github.com/savorytiller/savorytiller/internal/core/catalog"
	"github.com/savorytiller/savorytiller/internal/core/member"
	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/core/peer"
	"github.com/savorytiller/savorytiller/internal/core/room"
	"github.com/savorytiller/savorytiller/internal/core/steering"
	"github.com/savorytiller/savorytiller/internal/port"
)

func newFullMessage() *peer.Message {
	at := netip.MustParseAddrPort("10.1.0.10:8166")
	self := model.Member{ID: "n1", Zone: "z", Incarnation: 5, Liveness: model.Leaving, PeerAddress: at, Capacity: 200}
	config := &catalog.Configuration{Version: 9, IdleTimeout: 15 * time.Second,
		Services: []catalog.Service{{Name: "a", HealthPath: "/h", ColdPerSecond: 2.5, ColdTime: 2 * time.Second}, {Name: "b"}},
		Routes: []catalog.Route{{Name: "r", Endpoint: steering.Endpoint{Address: 1, Port: 2}, Idempotent: true,
			Terms:  model.Terms{Priority: 3, Goal: 500 * time.Millisecond, Timeout: 5 * time.Second},
			Shares: []catalog.Share{{Service: "a", Weight: 9}, {Service: "b", Weight: 1}}}}}
	return &peer.Message{Kind: peer.Changes, CallID: 7, From: self, Updates: []member.Update{{Member: model.Member{ID: "n2", Liveness: model.Dead}}},
		Join: true, Target: at, Epoch: 3, Revision: 40, Confirmed: true, CutOff: true, Age: 120 * time.Millisecond, AfterRevision: 38, Compacted: true, Part: 1, Parts: 3,
		UnreachableServers: []catalog.ServerRun{{ID: "i-1", Started: 5}}, RecoveredServers: []catalog.ServerRun{{ID: "i-2", Started: 6}}, EndedServers: []catalog.ServerRun{{ID: "i-3", Started: 7}}, Tokens: []steering.Token{1, 0xffff_ffff},
		Load: &peer.LoadReport{Scope: peer.FleetScope, Origin: room.Sender{ID: "n3", Incarnation: 6}, Report: &room.Report{Sequence: 9, Interval: 250 * time.Millisecond,
			Instances: 5, Zones: map[model.Zone]int{"z": 3, "y": 2},
			Classes: map[room.Class]room.Counters{
				{Service: "a", Zone: "z", Priority: 255}: {InProgress: 2.5, Arrivals: 3, Completed: 4, Failed: 5, Refused: 6, Latency: 200 * time.Millisecond},
				{Service: "b", Zone: "y", Priority: 1}:   {InProgress: 0.25, Completed: 1}},
			Servers: map[uint32]room.ServerLoad{0xffff_ffff: {Token: 0xffff_ffff, InProgress: 1.5, Samples: 8, Failed: 8}, 5: {Token: 5, Samples: 8, LogLatency: -4}}}},
		Entries: []catalog.Entry{
			{Key: "c", Revision: 39, Config: config},
			{Key: "c", Revision: 40, Delta: &catalog.Delta{Base: 9, Version: 12, IdleTimeout: time.Second,
				Services: config.Services, Routes: config.Routes, Removed: []string{"x"}}},
			{Key: "servers/a", Revision: 41, Server: &catalog.ServerEntry{ID: "a", Number: 77, Address: at, Service: "a", Zone: "z",
				Slots: 4, State: model.ServerDraining, Started: 99, ColdFor: 1500 * time.Millisecond}},
			{Key: "zone/z", Revision: 42, Withdrawn: "z"}, {Key: "servers/b", Revision: 43, Removed: true}}}
}

// Guards against a message field that is lost or changed in encoding or decoding.
func TestMessagesKeepAllFields(t *testing.T) {
	want := newFullMessage()
	b, err := Encode(want)
	require.NoError(t, err)
	got, err := Decode(b)
	require.NoError(t, err)
	require.Equal(t, want, got)
	fields := reflect.ValueOf(*want)
	for i := range fields.NumField() {
		require.False(t, fields.Field(i).IsZero(), "the test does not cover %s", fields.Type().Field(i).Name)
	}
}

// Guards against instances of a version that does not know epochs and cannot decode the
// messages of later ones, or whose messages later ones cannot decode.
func TestMessagesWithoutAnEpochAreUnderstood(t *testing.T) {
	want := newFullMessage()
	b, err := Encode(want)
	require.NoError(t, err)
	var earlier wireMessage
	require.NoError(t, decMode.Unmarshal(b, &earlier), "a decoder that does not know the tag")
	require.EqualValues(t, 40, earlier.Revision)

	b, err = cbor.Marshal(&earlier)
	require.NoError(t, err)
	got, err := Decode(b)
	require.NoError(t, err)
	want.Epoch = 0
	require.Equal(t, want, got)
	want.Epoch = maxEpoch + 1
	_, err = Encode(want)
	require.ErrorIs(t, err, port.ErrMalformed)
}

// Guards against instances that never get a configuration because it is larger than a datagram: they
// pulled it again and again, and while the registry was away they had none.
func TestLargeMessagesArriveInFragments(t *testing.T) {
	want := newFullMessage()
	config := *want.Entries[0].Config
	for i := range 7000 {
		r := config.Routes[0]
		r.Name, r.Endpoint.Address = fmt.Sprintf("r-%07d", i), uint32(i)
		config.Routes = append(config.Routes, r)
	}
	want.Entries[0].Config = &config
	message, err := Encode(want)
	require.NoError(t, err)
	datagrams, err := split(message)
	require.NoError(t, err)
	require.Greater(t, len(datagrams), 3)
	var a assembler
	for round := range 3 {
		for i := len(datagrams) - 1; i >= 0; i-- { // reordered
			require.LessOrEqual(t, len(datagrams[i]), maxDatagram)
			f, err := fragmentOf(datagrams[i])
			require.NoError(t, err)
			if round == 0 && i == 0 {
				continue // lost; the next copy of the message has an ID of its own
			}
			got := a.add(time.Unix(int64(round), 0), f)
			if i > 0 {
				require.Nil(t, got)
				continue
			}
			m, err := Decode(got)
			require.NoError(t, err)
			require.Equal(t, want, m)
		}
		datagrams, err = split(message)
		require.NoError(t, err)
	}
	for id := range uint64(100) {
		require.Nil(t, a.add(time.Unix(9, 0), &wireFragment{MessageID: id, Count: 2, Content: []byte("x")}))
	}
	require.Len(t, a.assemblies, maxAssemblies)
	_, err = Decode(datagrams[0])
	require.ErrorIs(t, err, port.ErrMalformed, "earlier versions ignore fragments")
	_, err = split(make([]byte, maxFragments*maxFragmentBytes+1))
	require.ErrorIs(t, err, port.ErrTooLarge)
}

// Guards against an entry that is invalid at the sender but treated as valid by the
// receiver.
func TestInvalidEntriesStayInvalid(t *testing.T) {
	m := newFullMessage()
	m.Entries = []catalog.Entry{{Key: "servers/a", Revision: 1, Err: port.ErrMalformed}}
	b, err := Encode(m)
	require.NoError(t, err)
	got, err := Decode(b)
	require.NoError(t, err)
	require.ErrorIs(t, got.Entries[0].Err, port.ErrMalformed)
}

// Guards against a message that is dropped as a whole because an instance of an earlier version
// took an odd entry for that of a server, and against a configuration out of range.
func TestEntriesOutOfRangeDoNotHideTheOthers(t *testing.T) {
	m := newFullMessage()
	odd := *m.Entries[2].Server
	odd.Address = netip.MustParseAddrPort("10.1.0.10:0")
	m.Entries = []catalog.Entry{{Key: "servers/odd", Revision: 40, Server: &odd}, m.Entries[2]}
	b, err := Encode(m)
	require.NoError(t, err)
	got, err := Decode(b)
	require.NoError(t, err)
	require.Len(t, got.Entries, 2)
	require.Nil(t, got.Entries[0].Server)
	require.ErrorIs(t, got.Entries[0].Err, port.ErrMalformed)
	require.Equal(t, m.Entries[1], got.Entries[1])

	m = newFullMessage()
	m.Entries[0].Config.Services[0].ColdPerSecond = -1
	b, err = Encode(m)
	require.NoError(t, err)
	_, err = Decode(b)
	require.ErrorIs(t, err, port.ErrMalformed)
}

// Guards against datagrams of other programs that cause a panic or are accepted without
// a sender.
func FuzzDecodeMessage(f *testing.F) {
	b, err := Encode(newFullMessage())
	require.NoError(f, err)
	f.Add(b)
	f.Add([]byte{0x80})
	f.Add(bytes.Repeat([]byte{0x81}, 1000))              // nested arrays
	f.Add([]byte{0x9b, 0, 0, 0, 0xff, 0xff, 0xff, 0xff}) // an array of 2^32 items
	f.Add([]byte{0xda, 0x53, 0x54, 0, 3, 0x80})          // a tag with an epoch
	f.Fuzz(func(t *testing.T, datagram []byte) {
		m, err := Decode(datagram)
		if err != nil {
			require.ErrorIs(t, err, port.ErrMalformed)
			return
		}
		require.True(t, m.Kind.Valid())
		require.NotEmpty(t, m.From.ID)
		for _, e := range m.Entries {
			require.False(t, e.Config != nil && e.Delta != nil)
			if e.Server != nil {
				require.NoError(t, e.Server.Check())
			}
			if e.Config != nil {
				require.NoError(t, e.Config.Check())
			}
		}
	})
}

// Guards against a message with a large configuration that does not fit into a datagram,
// and against a socket that stops at a datagram it cannot decode.
func TestSocketsCarryLargeMessagesAndSkipInvalidOnes(t *testing.T) {
	recorder := metrics.New(16)
	listen := func() *Socket {
		s, err := Listen(netip.MustParseAddrPort("127.0.0.1:0"), "halle-a", recorder)
		require.NoError(t, err)
		return s
	}
	from, to := listen(), listen()
	ctx, cancel := context.WithCancel(t.Context())
	got := make(chan *peer.Message, 1)
	done := make(chan error, 1)
	go func() { done <- to.Serve(ctx, func(m *peer.Message) { got <- m }) }()
	require.NoError(t, from.socket.SendPacket(to.socket.Address(), []byte("not a message")))
	m := newFullMessage()
	for range 1500 {
		m.Entries[0].Config.Routes = append(m.Entries[0].Config.Routes, m.Entries[0].Config.Routes[0])
	}
	from.Send(model.Member{PeerAddress: to.socket.Address(), Zone: "halle-a"}, m)
	require.Len(t, (<-got).Entries[0].Config.Routes, 1501)
	cancel()
	require.ErrorIs(t, <-done, context.Canceled)

	// Guards against bytes that are counted for another cause or zone.
	for i, sent := range from.Traffic() {
		received := to.Traffic()[i].Received
		if sent.Cause == m.Cause() && sent.OwnZone {
			require.EqualValues(t, 1, sent.Sent.Messages)
			require.Greater(t, sent.Sent.Bytes, uint64(10_000))
		} else {
			require.Zero(t, sent.Sent)
		}
		if received.Messages > 0 {
			require.Equal(t, m.Cause(), sent.Cause)
			require.Equal(t, m.From.Zone == "halle-a", sent.OwnZone)
		}
	}
}

// Guards against loads of thousands of instances that add up to too little, because each is rounded
// to 0, and against numbers that wrap around.
func TestAmountsKeepTheirPrecision(t *testing.T) {
	for v := 1e-4; v < 4e6; v *= 1.37 {
		require.InEpsilon(t, v, amount(appendAmount(nil, v)), 0.01)
	}
	for v, want := range map[float64]float64{0: 0, -1: 0, math.NaN(): 0, 2047.9: 2048, 1e12: 2047 << 11, math.Inf(1): 2047 << 11} {
		require.EqualValues(t, want, amount(appendAmount(nil, v)), "%v", v)
	}
}
