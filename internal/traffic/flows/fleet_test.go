package flows_test

import (
	"context"
	"encoding/json"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/savorytiller/savorytiller/internal/adapter/geneve"
	"github.com/savorytiller/savorytiller/internal/core/flow"
	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/core/placement"
	"github.com/savorytiller/savorytiller/internal/port"
	"github.com/savorytiller/savorytiller/internal/traffic/flows"
)

// testInstance is an instance with its real socket and codec.
type testInstance struct {
	socket   *geneve.Socket
	pool     *flows.Pool
	recorder *countingRecorder
	member   model.Member
}

// directCaller calls the pools of other instances in the same process. Parameters
// and results are encoded as JSON, as they are between processes.
type directCaller map[model.InstanceID]*testInstance

func (d directCaller) Call(ctx context.Context, to model.Member, method string, params, result any) error {
	n := d[to.ID]
	if n == nil || method != flows.MethodRecords {
		return port.ErrUnavailable
	}
	b, err := json.Marshal(params)
	if err != nil {
		return err
	}
	answer, err := n.pool.HandleRecords(ctx, "sender", func(v any) error { return json.Unmarshal(b, v) })
	if err != nil {
		return err
	}
	if b, err = json.Marshal(answer); err != nil {
		return err
	}
	return json.Unmarshal(b, result)
}

// Guards against a broken exchange between instances over their sockets: packets
// that reach an instance which does not own their flow must be relayed, the
// owner's hints must be used, and records must arrive at the other instance's
// shards.
func TestInstancesExchangeRelaysHintsAndRecords(t *testing.T) {
	server := listenLoopback(t)
	virtual := netip.MustParseAddrPort("10.80.0.17:4000")
	key := geneve.Key{ID: 3, Secret: []byte("secret of the test")}
	instances, peers := []*testInstance{}, directCaller{}
	var members []model.Member
	for _, id := range []model.InstanceID{"halle-a-1", "halle-a-2"} {
		s := listenLoopback(t)
		n := &testInstance{socket: s, recorder: &countingRecorder{byReason: map[model.Reason]int{}},
			member: model.Member{ID: id, Zone: "halle-a", FlowAddress: s.Address()}}
		instances, members = append(instances, n), append(members, n.member)
		peers[id] = n
	}
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	for _, n := range instances {
		v := singleInstanceView(n.socket.Address(), server.Address(), virtual)
		v.Self, v.Members = n.member, placement.NewMembers(members)
		n.pool = flows.New(flows.Options{
			Shards: 2, QueueLength: 64, MaxFlows: 100, Self: n.socket.Address(), Incarnation: 1, Peers: peers,
			Views: fixedView{v}, Clock: fixedClock(time.Hour), Sender: n.socket, Recorder: n.recorder,
			NewCodec: func() port.FlowCodec {
				return geneve.NewCodec(geneve.Options{Self: n.socket.Address(), Keys: []geneve.Key{key}})
			},
		})
		go n.pool.Run(ctx)
		go func() { _ = n.socket.Serve(ctx, n.pool.NewReader().Receive) }()
	}
	arrived := make(chan int, 16)
	go func() { _ = server.Serve(ctx, func(b []byte) { arrived <- len(b) }) }()

	fingerprint := flow.Fingerprint(model.FlowKey{Protocol: flow.ProtocolTCP, Destination: virtual,
		Source: netip.MustParseAddrPort("127.0.0.1:50123")})
	notOwner := instances[0]
	if placement.NewMembers(members).Owner("halle-a", fingerprint).ID == notOwner.member.ID {
		notOwner = instances[1]
	}
	fabric, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(notOwner.socket.Address()))
	require.NoError(t, err)
	defer fabric.Close()
	for i := range 8 {
		_, err = fabric.Write(fabricPacket(t, virtual, i == 0))
		require.NoError(t, err)
		<-arrived // one at a time, so that the owner sees them in order
	}
	require.Eventually(t, func() bool { return notOwner.recorder.countOf(model.ReasonHint) > 0 }, time.Minute, time.Millisecond)
	require.Positive(t, notOwner.recorder.countOf(model.ReasonRelayToOwner))
	require.Zero(t, notOwner.recorder.countOf(model.ReasonForged))

	codec := geneve.NewCodec(geneve.Options{})
	packed := codec.EncodeRecords(nil, []flow.Record{{Fingerprint: 1, Service: 17, Server: placement.ServerNumber("line-01")},
		{Fingerprint: 1 << 63, Service: 17, Server: placement.ServerNumber("line-01")}})
	var result flows.RecordsResult
	require.NoError(t, peers.Call(ctx, notOwner.member, flows.MethodRecords, flows.RecordsParams{Packed: packed}, &result))
	require.Equal(t, 2, result.Taken)
	require.Eventually(t, func() bool { return notOwner.pool.Stats().Records >= 3 }, time.Minute, time.Millisecond)
	require.Error(t, peers.Call(ctx, notOwner.member, flows.MethodRecords, flows.RecordsParams{Packed: packed[1:]}, &result))
}
