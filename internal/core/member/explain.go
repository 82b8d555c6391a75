package member

import (
	"fmt"
	"slices"
	"time"

	"github.com/savorytiller/savorytiller/internal/core/model"
)

// Belief is what an instance believes about a member, and why.
type Belief struct {
	Member model.Member
	Why    string
}

// Beliefs returns the members of the own zone and those of other zones that are
// not live, sorted by ID. Live members of other zones are left out, because a
// large fleet has thousands of them.
func (t *Table) Beliefs(now model.Time) []Belief {
	out := []Belief{{Member: t.self, Why: "this instance"}}
	for _, p := range t.peers {
		if p.member.Zone == t.self.Zone || p.member.Liveness != model.Live {
			out = append(out, Belief{Member: p.member, Why: p.why(now)})
		}
	}
	slices.SortFunc(out, func(a, b Belief) int {
		if a.Member.ID < b.Member.ID {
			return -1
		}
		return 1
	})
	return out
}

// why explains the liveness of a peer to operators.
func (p *peer) why(now model.Time) string {
	switch {
	case p.member.Liveness == model.Leaving:
		return "it announced that it leaves, or the instance list says so"
	case p.member.Liveness == model.Dead:
		return fmt.Sprintf("no answer to probes of this instance or others for %v", now.Sub(p.changed).Round(100*time.Millisecond))
	case p.failed > 0:
		return fmt.Sprintf("%d probes without an answer, not enough to exclude it", p.failed)
	case p.contact:
		return fmt.Sprintf("it answered %v ago", now.Sub(p.heard).Round(100*time.Millisecond))
	case p.listed:
		return "the instance list names it; not heard directly"
	default:
		return "other members report it"
	}
}
