package steer

import (
	"context"
	"time"

	"github.com/savorytiller/savorytiller/internal/adapter/peerudp"
)

// peerTrafficInterval is the time between two log lines about the messages to and from
// other instances.
const peerTrafficInterval = 10 * time.Second

// reportPeerTraffic logs the bytes that were sent to and received from other instances in
// each interval, by cause, until ctx ends.
func (i *Instance) reportPeerTraffic(ctx context.Context) error {
	ticker := time.NewTicker(peerTrafficInterval)
	defer ticker.Stop()
	previous := i.peers.Traffic()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		current := i.peers.Traffic()
		if values := peerTrafficValues(previous, current); len(values) > 0 {
			i.log.Info("messages between instances", values...)
		}
		previous = current
	}
}

// peerTrafficValues returns the bytes between two readings as log values. For each cause they
// are the bytes sent and received within the zone, and those sent to and received from
// other zones. Causes without messages are left out.
func peerTrafficValues(previous, current []peerudp.Traffic) []any {
	bytes := map[string][]uint64{}
	var causes []string
	for n, t := range current {
		name := t.Cause.String()
		if _, ok := bytes[name]; !ok {
			causes = append(causes, name)
			bytes[name] = make([]uint64, 4)
		}
		at := 2
		if t.OwnZone {
			at = 0
		}
		bytes[name][at] = t.Sent.Bytes - previous[n].Sent.Bytes
		bytes[name][at+1] = t.Received.Bytes - previous[n].Received.Bytes
	}
	var values []any
	for _, name := range causes {
		if b := bytes[name]; b[0]+b[1]+b[2]+b[3] > 0 {
			values = append(values, name, b)
		}
	}
	return values
}
