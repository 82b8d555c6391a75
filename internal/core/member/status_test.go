package member

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/savorytiller/savorytiller/internal/core/model"
)

// Guards against a status list that omits a dead member or gives no reason for it.
func TestStatusesIncludeEveryExcludedMember(t *testing.T) {
	table := newTable(9, 3)
	now := model.Time(5 * time.Second)
	other := instance(4, 3) // in another zone
	for range 10 {
		if next, _ := table.ProbeFailed(now, other.ID); next == ProbeIndirectly {
			table.IndirectProbesDone(now, other.ID, false)
		}
	}
	neighbour := instance(3, 3)
	table.RecordContact(now, neighbour)
	why := map[model.InstanceID]string{}
	for _, s := range table.Statuses(now.Add(time.Second)) {
		why[s.Member.ID] = s.Member.Liveness.String() + ": " + s.Reason
	}
	require.Equal(t, "dead: no response to probes of this instance or others for 1s", why[other.ID])
	require.Equal(t, "live: it responded 1s ago", why[neighbour.ID])
	require.Len(t, why, 4, "three members of the own zone and the dead one")
}
