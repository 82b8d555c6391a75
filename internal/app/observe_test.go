package app

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/savorytiller/savorytiller/internal/core/flow"
	"github.com/savorytiller/savorytiller/internal/core/health"
)

// observations is a sink that keeps what it gets.
type observations []health.Observation

func (o *observations) Observe(h health.Observation) { *o = append(*o, h) }

// Guards against a server that fails because a single caller behind a broken path
// retransmits: only one retransmission of each SYN counts as a timeout.
func TestOneRetransmissionOfASYNCountsAsATimeout(t *testing.T) {
	var got observations
	observe := newFlowObserver(&got)
	for n := uint8(1); n <= 6; n++ {
		observe(flow.Observation{Server: "a", Kind: flow.ObservedSYNRetransmission, Retransmissions: n})
	}
	observe(flow.Observation{Server: "a", Kind: flow.ObservedProgress})
	require.Equal(t, observations{{Server: "a", Unit: health.Connection, Result: health.Timeout},
		{Server: "a", Unit: health.Connection, Result: health.Success}}, got)
}
