package steer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/savorytiller/savorytiller/internal/adapter/peerudp"
	"github.com/savorytiller/savorytiller/internal/core/peer"
)

// Guards against an instance that ends while the platform still sends packets to it, and
// against one that outlives its grace because packets keep arriving.
func TestGracefulShutdownEndsWithinTheGraceUnderAnyTraffic(t *testing.T) {
	const grace = 6 * time.Second
	stopAfter := func(idle func(elapsed time.Duration) time.Duration) time.Duration {
		for elapsed := time.Duration(0); ; elapsed += stopPollInterval {
			if mayStop(elapsed, idle(elapsed), grace) {
				return elapsed
			}
		}
	}
	for name, c := range map[string]struct {
		idle     func(elapsed time.Duration) time.Duration
		min, max time.Duration
	}{
		"no traffic":              {func(e time.Duration) time.Duration { return e }, minStopTime, minStopTime},
		"traffic for two seconds": {func(e time.Duration) time.Duration { return max(0, e-2*time.Second) }, 2*time.Second + stopIdleTime, 2*time.Second + stopIdleTime + stopPollInterval},
		"traffic without end":     {func(time.Duration) time.Duration { return 0 }, minStopTime, grace - stopMargin + stopPollInterval},
	} {
		stopped := stopAfter(c.idle)
		require.GreaterOrEqual(t, stopped, c.min, name)
		require.LessOrEqual(t, stopped, c.max, name)
		require.Less(t, stopped+closeTimeout, grace, name)
	}
}

// Guards against log lines that attribute bytes to another cause or direction.
func TestPeerTrafficValuesAreDifferences(t *testing.T) {
	previous := []peerudp.Traffic{{Cause: peer.CauseProbe, Sent: peerudp.Total{Bytes: 10}}, {Cause: peer.CauseProbe, OwnZone: true}, {Cause: peer.CausePull}}
	current := []peerudp.Traffic{{Cause: peer.CauseProbe, Sent: peerudp.Total{Bytes: 15}, Received: peerudp.Total{Bytes: 2}},
		{Cause: peer.CauseProbe, OwnZone: true, Received: peerudp.Total{Bytes: 7}}, {Cause: peer.CausePull}}
	require.Equal(t, []any{"probe", []uint64{0, 7, 5, 2}}, peerTrafficValues(previous, current))
}
