package member

import (
	"fmt"
	"slices"
	"time"

	"github.com/savorytiller/savorytiller/internal/core/model"
)

// Status is the state of a member with a reason, for operators.
type Status struct {
	Member model.Member
	Reason string
}

// Statuses returns the members of the own zone and the dead or leaving members of other
// zones, sorted by ID. Live members of other zones are omitted, because a large fleet
// has thousands of them.
func (t *Table) Statuses(now model.Time) []Status {
	out := []Status{{Member: t.self, Reason: "this instance"}}
	for _, p := range t.peers {
		if p.member.Zone == t.self.Zone || p.member.Liveness != model.Live {
			out = append(out, Status{Member: p.member, Reason: p.reason(now)})
		}
	}
	slices.SortFunc(out, func(a, b Status) int {
		if a.Member.ID < b.Member.ID {
			return -1
		}
		return 1
	})
	return out
}

// reason explains the liveness of a peer.
func (p *peer) reason(now model.Time) string {
	switch {
	case p.member.Liveness == model.Leaving:
		return "it announced that it is leaving, or the instance list says so"
	case p.member.Liveness == model.Dead:
		return fmt.Sprintf("no response to probes of this instance or others for %v", now.Sub(p.changedAt).Round(100*time.Millisecond))
	case p.failedProbes > 0:
		return fmt.Sprintf("%d probes without a response, too few to exclude it", p.failedProbes)
	case p.contacted:
		return fmt.Sprintf("it responded %v ago", now.Sub(p.lastContact).Round(100*time.Millisecond))
	case p.listed:
		return "it is in the instance list; no direct contact yet"
	default:
		return "other members report it"
	}
}
