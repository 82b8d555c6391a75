package lease

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/savorytiller/savorytiller/internal/core/model"
)

func instanceList(perZone ...int) []model.Member {
	var out []model.Member
	for z, n := range perZone {
		for i := range n {
			out = append(out, model.Member{ID: model.InstanceID(fmt.Sprintf("%c-%d", 'a'+z, i)), Zone: model.Zone(rune('a' + z))})
		}
	}
	return out
}

// Guards against a zone in which the crash of one instance blocks every cold
// start, and against witnesses that the only instance of a zone cannot reach.
func TestWitnessesByZoneSize(t *testing.T) {
	for n, expected := range map[int]int{1: 1, 2: 3, 3: 3, 50: 3} {
		w := Witnesses("s1", "a", instanceList(n, 4))
		require.Len(t, w, expected, "%d instances", n)
		require.Equal(t, w, Witnesses("s1", "a", instanceList(n, 4)))
	}
	require.Len(t, Witnesses("s1", "a", instanceList(2)), 2)
	require.Empty(t, Witnesses("s1", "c", instanceList(2, 2)))
}

// Guards against two valid holders of one lease at the same time when answers are
// lost or witnesses restart or pause.
func TestAtMostOneHolder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := instanceList(rapid.IntRange(1, 5).Draw(t, "instances"), 2)
		ids := Witnesses("s1", "a", members)
		now := model.Time(time.Hour)
		witnesses := map[model.InstanceID]*Witness{}
		for _, w := range ids {
			witnesses[w] = NewWitness(now.Add(-Duration))
		}
		holders := []*Holder{NewHolder(ids), NewHolder(ids), NewHolder(ids)}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			i := rapid.IntRange(0, len(holders)-1).Draw(t, "holder")
			requestedAt := now
			for _, w := range ids {
				now = now.Add(time.Duration(rapid.IntRange(0, 800).Draw(t, "delay")) * time.Millisecond)
				if rapid.IntRange(0, 5).Draw(t, "restart") == 0 {
					witnesses[w] = NewWitness(now)
				}
				if rapid.IntRange(0, 3).Draw(t, "lost") > 0 &&
					witnesses[w].Grant(now, "s1", model.InstanceID(fmt.Sprint(i)), 1, false) {
					holders[i].AddGrant(w, requestedAt)
				}
			}
			valid := 0
			for _, h := range holders {
				if now.Before(h.ValidUntil()) {
					valid++
				}
			}
			if valid > 1 {
				t.Fatalf("%d holders at a time", valid)
			}
			now = now.Add(time.Duration(rapid.IntRange(0, 6000).Draw(t, "pause")) * time.Millisecond)
		}
	})
}
