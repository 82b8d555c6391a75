package steering

import (
	"flag"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/savorytiller/savorytiller/internal/core/admission"
	"github.com/savorytiller/savorytiller/internal/core/belief"
	"github.com/savorytiller/savorytiller/internal/core/model"
)

// recordReplay writes testdata/decisions.txt anew. It was last set on the code before admission
// control, commit e957e99.
var recordReplay = flag.Bool("record-replay", false, "record the decisions of the replay test")

// replay sends a scripted sequence of packets to a Steerer and returns a line for each 100
// decisions: how many of each kind, and a digest of all of them. Callers open flows, send requests
// and close; some answers are missing, so SYNs and requests are retransmitted; servers drain and
// fail. prepare may change each snapshot.
func replay(t *testing.T, prepare func(*Snapshot)) string {
	r := newRig(t)
	r.steerer.SetAdmission(admission.Settings{Enabled: true, Reserve: 0.1})
	script := rand.New(rand.NewPCG(11, 12))
	type caller struct {
		key                FlowKey
		token              Token
		copies             uint32
		sequence, answered uint32
		resendAt           model.Time
	}
	var callers []*caller
	var lines strings.Builder
	digest, counts, total := fnv.New64a(), map[string]int{}, 0
	record := func(d Decision) {
		kind := fmt.Sprintf("%d/%s", d.Action, d.Reason)
		counts[kind]++
		fmt.Fprintf(digest, "%s %v %d;", kind, d.NewFlow, d.Load)
		if d.Server != nil {
			fmt.Fprint(digest, d.Server.ID)
		}
		if total++; total%100 == 0 {
			fmt.Fprintf(&lines, "%d %v %016x\n", total, counts, digest.Sum64())
			clear(counts)
		}
	}
	for step := range 3000 {
		if step%100 == 0 {
			a, b := append(servers("a", "z", 4), servers("a", "y", 3)...), servers("b", "z", 3)
			a[step/100%7].State = model.ServerDraining
			if step%300 == 0 {
				a[(step/100+2)%7].ProbeResult, a[(step/100+2)%7].ProbeSentAt = belief.Unreachable, r.now
			}
			r.publish(a, b)
			r.snapshot.InstancesInZone = 4
			if prepare != nil {
				prepare(r.snapshot)
			}
		}
		r.now += model.Time(script.IntN(8)) * millisecond
		for range script.IntN(3) {
			route := routeA
			if script.IntN(3) == 0 {
				route = routeB
			}
			callers = append(callers, &caller{key: FlowKey{Endpoint{9, uint16(step*3 + len(callers)%3)}, route}, sequence: 100, resendAt: r.now})
		}
		kept := callers[:0]
		for _, c := range callers {
			action := script.IntN(100)
			switch {
			case c.token == 0 && !r.now.Before(c.resendAt):
				d := r.send(Packet{Key: c.key, Flags: SYN, Sequence: c.sequence, Retransmissions: c.copies})
				record(d)
				c.copies, c.resendAt = c.copies+1, r.now+200*millisecond
				if d.Action == Deliver && action < 90 {
					c.token = d.Server.Token
				} else if d.Action == Reset || c.copies > 3 {
					continue
				}
			case c.token != 0 && action < 15:
				c.answered += uint32(script.IntN(900))
				record(r.send(Packet{Key: c.key, Flags: ACK, Token: c.token, Sequence: c.sequence, Acknowledged: c.answered, Length: 50}))
				if action < 11 {
					c.sequence += 50
				}
			case c.token != 0 && action > 96:
				record(r.send(Packet{Key: c.key, Flags: FIN | ACK, Token: c.token, Sequence: c.sequence, Acknowledged: c.answered}))
				continue
			}
			kept = append(kept, c)
		}
		callers = kept
	}
	return lines.String()
}

// Guards against other decisions than before admission control where nothing calls for it: the
// routes of a service have one priority and no goal, or the load of the fleet is not known.
func TestDecisionsWithoutTermsOrViewAreAsBefore(t *testing.T) {
	path := filepath.Join("testdata", "decisions.txt")
	if *recordReplay {
		require.NoError(t, os.WriteFile(path, []byte(replay(t, nil)), 0o644))
	}
	recorded, err := os.ReadFile(path)
	require.NoError(t, err)
	require.Equal(t, string(recorded), replay(t, nil))
}
