// Package fabric stands in for the network fabric: it receives the packets of
// callers and sends each packet to a random live instance, regardless of its flow.
package fabric

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/savorytiller/savorytiller/internal/standin/wire"
)

// instanceListInterval is the time between two reads of the instance list. It is short
// compared with the lag of the list itself, so that the lag determines the delay.
const instanceListInterval = 200 * time.Millisecond

// Options are the properties of the simulated network.
type Options struct {
	// Platform is the address of the platform stand-in.
	Platform string
	Seed     uint64
	// LossRatio is the fraction of packets that is dropped, from 0 to 1.
	LossRatio float64
	// Delay is the mean one-way delay; each packet is delayed by a random time below
	// twice this value.
	Delay time.Duration
}

// Fabric sends each packet to a random live instance. Run is its traffic goroutine,
// WatchInstances its control goroutine.
type Fabric struct {
	options Options
	conn    *net.UDPConn
	targets atomic.Pointer[[]netip.AddrPort]
	client  http.Client
}

// New opens the socket that receives the packets of callers.
func New(options Options) (*Fabric, error) {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, merry.Wrap(err)
	}
	_ = conn.SetReadBuffer(4 << 20)
	f := &Fabric{options: options, conn: conn, client: http.Client{Timeout: 2 * time.Second}}
	f.targets.Store(&[]netip.AddrPort{})
	return f, nil
}

// Address returns the address to which callers send their packets.
func (f *Fabric) Address() netip.AddrPort { return f.conn.LocalAddr().(*net.UDPAddr).AddrPort() }

// WatchInstances reads the instance list periodically until the context ends, then
// closes the socket. After a failed read the last list stays in use.
func (f *Fabric) WatchInstances(ctx context.Context) {
	ticker := time.NewTicker(instanceListInterval)
	defer ticker.Stop()
	for {
		if targets, err := f.fetchTargets(ctx); err == nil {
			f.targets.Store(&targets)
		}
		select {
		case <-ctx.Done():
			_ = f.conn.Close()
			return
		case <-ticker.C:
		}
	}
}

func (f *Fabric) fetchTargets(ctx context.Context) ([]netip.AddrPort, error) {
	list, err := FetchInstances(ctx, &f.client, f.options.Platform)
	if err != nil {
		return nil, err
	}
	var targets []netip.AddrPort
	for _, instance := range list.Instances {
		if address, err := netip.ParseAddrPort(instance.FlowAddress); err == nil && instance.State == "live" {
			targets = append(targets, address)
		}
	}
	return targets, nil
}

// FetchInstances reads the platform's instance list.
func FetchInstances(ctx context.Context, client *http.Client, platform string) (*wire.InstanceList, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+platform+"/v1/instances", nil)
	if err != nil {
		return nil, merry.Wrap(err)
	}
	response, err := client.Do(request)
	if err != nil {
		return nil, merry.Wrap(err)
	}
	defer response.Body.Close()
	var list wire.InstanceList
	if err := json.NewDecoder(response.Body).Decode(&list); err != nil {
		return nil, merry.Wrap(err)
	}
	return &list, nil
}

// Run forwards packets until the socket is closed and returns the error of the
// last read. Packets are dropped while no live instance is listed.
func (f *Fabric) Run() error {
	random := rand.New(rand.NewPCG(f.options.Seed, 1))
	buffer := make([]byte, wire.MaxPacketSize)
	for {
		n, _, err := f.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return merry.Wrap(err)
		}
		targets := *f.targets.Load()
		if len(targets) == 0 || random.Float64() < f.options.LossRatio {
			continue
		}
		packet, err := wire.EncodeGeneve(0, buffer[:n])
		if err != nil {
			continue
		}
		target := targets[random.IntN(len(targets))]
		if f.options.Delay == 0 {
			_, _ = f.conn.WriteToUDPAddrPort(packet, target)
			continue
		}
		time.AfterFunc(time.Duration(random.Int64N(int64(2*f.options.Delay))), func() {
			_, _ = f.conn.WriteToUDPAddrPort(packet, target)
		})
	}
}
