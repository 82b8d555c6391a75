package control

import (
	"context"
	"fmt"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/savorytiller/savorytiller/internal/adapter/configservice"
	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/port"
)

type wallClock struct{ start time.Time }

func (c wallClock) Now() model.Time { return model.Time(time.Since(c.start)) }

// singleNotePlatform serves an instance list and a single release note. Its calls to
// peers fail.
type singleNotePlatform struct{ watches atomic.Int32 }

func (*singleNotePlatform) Read(_ context.Context, key string) ([]byte, error) {
	if key != "release/1" {
		return nil, port.ErrNotFound
	}
	return []byte(firstNote), nil
}

func (p *singleNotePlatform) Watch(ctx context.Context, _ string, known uint64) ([]byte, uint64, error) {
	p.watches.Add(1)
	if known == 1 {
		<-ctx.Done()
		return nil, 0, port.ErrUnavailable
	}
	return []byte(`{"version":1,"digest":""}`), 1, nil
}

func (*singleNotePlatform) Instances(context.Context) ([]model.Member, error) {
	return []model.Member{testMember("a-1", "a")}, nil
}

func (*singleNotePlatform) Call(context.Context, model.Member, string, any, any) error {
	return port.ErrUnavailable
}

const firstNote = `{"format":1,"version":1,"base":0,"added":{"services":[{"id":17,"name":"line","host":"line.local",
"virtual_address":"10.80.0.17:4000"}],"servers":[{"id":"line-1","service":"line","zone":"a","weight":100,"slots":4,
"connections":2000,"flow_address":"127.0.0.1:5101","request_address":"127.0.0.1:5201"}]}}`

func testMember(id, zone string) model.Member {
	return model.Member{ID: model.InstanceID(id), Zone: model.Zone(zone), Incarnation: 1,
		PeerAddress: netip.MustParseAddrPort("127.0.0.1:4102")}
}

// Guards against a control goroutine that reads its configuration from the platform
// but never publishes a view with it.
func TestRunPublishesTheConfiguration(t *testing.T) {
	p := &singleNotePlatform{}
	c, err := New(Options{Self: testMember("a-1", "a"), Clock: wallClock{time.Now()}, Config: p, Instances: p,
		Codec: configservice.Codec{}, Peers: p, AssumeWarm: true, Seed: 1})
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error)
	go func() { done <- c.Run(ctx) }()
	require.Eventually(t, func() bool {
		v := c.View()
		return v.Ready() && v.Servers["line-1"].NewWork && v.Servers["line-1"].SlotLimit == 4 && v.Tables[17].Current() != nil
	}, 30*time.Second, time.Millisecond, "view: %v", fmt.Sprint(c.View()))
	cancel()
	require.NoError(t, <-done)
}
