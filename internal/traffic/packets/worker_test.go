package packets

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/savorytiller/savorytiller/internal/core/belief"
	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/core/steering"
)

// Guards against connections of flows that are counted under another cause: a copy of a SYN may
// arrive at an instance that has not seen the first one.
func TestOpeningsAreCountedByCause(t *testing.T) {
	unreachable := belief.Evidence{ProbeResult: belief.Unreachable}
	for _, c := range []struct {
		evidence        belief.Evidence
		reason          model.Reason
		retransmissions uint32
		want            model.Reason
	}{
		{reason: model.ReasonLeastLoad, want: model.ReasonLeastLoad},
		{reason: model.ReasonAlternative, retransmissions: 1, want: model.ReasonAlternative},
		{reason: model.ReasonLeastLoad, retransmissions: 1, want: model.ReasonAlternative},
		{reason: model.ReasonLeastLoad, evidence: unreachable, want: model.ReasonTrial},
		{reason: model.ReasonAlternative, retransmissions: 1, evidence: belief.Evidence{ProbingSince: 1}, want: model.ReasonTrial},
	} {
		decision := steering.Decision{NewFlow: true, Reason: c.reason, Server: &steering.Server{Evidence: c.evidence}}
		require.Equal(t, c.want, openingCause(&decision, &steering.Packet{Retransmissions: c.retransmissions}))
	}
}
