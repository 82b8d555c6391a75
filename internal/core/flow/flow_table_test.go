package flow

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against records that are lost, found twice or not removed when segments
// are split and merged and when a removal moves other records.
func TestFlowTableBehavesLikeMap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table, want := newFlowTable(), map[uint64]uint32{}
		var keys []uint64
		steps := rapid.IntRange(1, 3000).Draw(t, "steps")
		seed := rapid.Uint64().Draw(t, "seed")
		shrinking := rapid.IntRange(1, 9).Draw(t, "removals of 10")
		for i := range steps {
			x := hashFingerprint(seed + uint64(i))
			if len(keys) > 0 && i > steps/2 && int(x%10) < shrinking {
				k := keys[x%uint64(len(keys))]
				if _, ok := want[k]; ok {
					table.remove(k)
					delete(want, k)
				}
				table.merge(uint32(x % uint64(len(table.segments))))
				continue
			}
			if table.find(x) == nil {
				r := table.insert(x)
				r.server = uint32(i)
				r.setRole(roleOwned)
				want[x] = uint32(i)
				keys = append(keys, x)
			}
		}
		require.Equal(t, len(want), table.len)
		for _, k := range keys {
			server, ok := want[k]
			r := table.find(k)
			require.Equal(t, ok, r != nil)
			if ok {
				require.Equal(t, server, r.server)
			}
		}
		used := 0
		for _, s := range table.segments {
			if s != nil {
				used += int(s.used)
			}
		}
		require.Equal(t, len(want), used)
	})
}

// Guards against memory that is not freed after most flows have ended.
func TestFlowTableShrinks(t *testing.T) {
	table := newFlowTable()
	for i := range uint64(20000) {
		table.insert(hashFingerprint(i)).setRole(roleOwned)
	}
	full := table.bytes()
	for i := range uint64(19800) {
		table.remove(hashFingerprint(i))
	}
	for range 10 {
		for i := range table.segments {
			table.merge(uint32(i))
		}
	}
	require.Less(t, table.bytes(), full/10)
	require.Equal(t, 200, table.len)
}

// Guards against replayed messages that are accepted, and new messages that are
// rejected because they arrived out of order.
func TestReplayWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var w replayWindow
		seen, highest := map[uint64]bool{}, uint64(0)
		for range 300 {
			sequence := max(1, highest+uint64(rapid.IntRange(0, 70).Draw(t, "step"))) - min(highest, uint64(rapid.IntRange(0, 70).Draw(t, "back")))
			want := sequence > highest || !seen[sequence] && highest-sequence < 64
			require.Equal(t, want, w.accept(sequence), "%d after %d", sequence, highest)
			seen[sequence], highest = true, max(highest, sequence)
		}
	})
}
