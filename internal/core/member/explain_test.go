package member

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/savorytiller/savorytiller/internal/core/model"
)

// Guards against an operators' list that hides a dead member or gives no reason.
func TestBeliefsNameEveryExcludedMember(t *testing.T) {
	table := newTable(9, 3)
	now := model.Time(5 * time.Second)
	other := instance(4, 3) // in another zone
	for range 10 {
		if next, _ := table.Failed(now, other.ID); next == Ask {
			table.Asked(now, other.ID, false)
		}
	}
	near := instance(3, 3)
	table.Heard(now, near)
	why := map[model.InstanceID]string{}
	for _, b := range table.Beliefs(now.Add(time.Second)) {
		why[b.Member.ID] = b.Member.Liveness.String() + ": " + b.Why
	}
	require.Equal(t, "dead: no answer to probes of this instance or others for 1s", why[other.ID])
	require.Equal(t, "live: it answered 1s ago", why[near.ID])
	require.Len(t, why, 4, "three members of the own zone and the dead one")
}
