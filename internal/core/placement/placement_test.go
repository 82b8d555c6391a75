package placement

import (
	"fmt"
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/savorytiller/savorytiller/internal/core/model"
)

func members(n int) []model.Member {
	all := make([]model.Member, n)
	for i := range all {
		all[i] = model.Member{ID: model.InstanceID(fmt.Sprintf("i%03d", i)), Zone: "a"}
	}
	return all
}

// Guards against a membership change that moves keys between unchanged
// instances, which would move their flows needlessly.
func TestOwnerMovesOnlyKeysOfTheChangedInstance(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 40).Draw(t, "n")
		gone := rapid.IntRange(0, n-1).Draw(t, "gone")
		key := rapid.Uint64().Draw(t, "key")
		all := members(n)
		before := NewMembers(all).Owner("a", key)
		all[gone].Liveness = model.Dead
		after := NewMembers(all).Owner("a", key)
		if before.ID != all[gone].ID {
			require.Equal(t, before.ID, after.ID)
		} else {
			ranked := NewMembers(members(n)).Rank(nil, "a", key, 2, false)
			require.Equal(t, ranked[1].ID, after.ID, "the key moves to the instance that ranked second")
		}
	})
}

// Guards against a slot that does not have exactly one live holder in a view, for
// example because a leaving instance still holds it.
func TestEverySlotHasOneLiveHolder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := members(rapid.IntRange(1, 10).Draw(t, "n"))
		all[0].Liveness = model.Leaving
		m := NewMembers(all)
		holder := m.SlotHolder("s1", "a", rapid.IntRange(0, 64).Draw(t, "slot"))
		if m.LiveCountIn("a") == 0 {
			require.Nil(t, holder)
			return
		}
		require.Equal(t, model.Live, holder.Liveness)
	})
}

// Guards against scores that select candidates for shares of the keys which are not
// proportional to the weights, so that servers get more or less than their share.
func TestScoreSharesFollowWeights(t *testing.T) {
	const keys = 200_000
	wins := 0
	for k := uint64(0); k < keys; k++ {
		if Score(Mix(k, 1), 11, 3) > Score(Mix(k, 1), 22, 1) {
			wins++
		}
	}
	require.InDelta(t, 0.75, float64(wins)/keys, 0.01)
}

// Guards against a flow hash that ignores a part of the flow key: flows that differ
// only in this part would get the same hash.
func TestHashFlowCoversEveryField(t *testing.T) {
	base := model.FlowKey{Service: 1, Protocol: 6,
		Source: netip.MustParseAddrPort("10.0.0.1:1000"), Destination: netip.MustParseAddrPort("10.0.0.2:80")}
	changes := map[string]func(*model.FlowKey){
		"service":             func(k *model.FlowKey) { k.Service = 2 },
		"protocol":            func(k *model.FlowKey) { k.Protocol = 17 },
		"source address":      func(k *model.FlowKey) { k.Source = netip.MustParseAddrPort("10.0.0.3:1000") },
		"source port":         func(k *model.FlowKey) { k.Source = netip.MustParseAddrPort("10.0.0.1:1001") },
		"destination address": func(k *model.FlowKey) { k.Destination = netip.MustParseAddrPort("10.0.0.3:80") },
		"destination port":    func(k *model.FlowKey) { k.Destination = netip.MustParseAddrPort("10.0.0.2:81") },
	}
	for name, change := range changes {
		changed := base
		change(&changed)
		require.NotEqual(t, HashFlow(base), HashFlow(changed), name)
	}
}
