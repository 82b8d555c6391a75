package backend

import (
	"slices"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
)

// Condition is the state into which operators or injected faults have put a
// server. It is immutable; the control goroutine publishes a new one for each change.
type Condition struct {
	// DrainingSince and ZoneOutSince are the times at which the server began to
	// drain and its zone was withdrawn; zero if that is not the case.
	DrainingSince, ZoneOutSince time.Time
	// ColdSince is the time at which the server last became cold. ColdAnnounced is
	// true if the system could know that: for a new or restarted server, or a server
	// of a zone that returned to service. Only then does too much load break a promise.
	ColdSince     time.Time
	ColdAnnounced bool
	// CrashedAt is the time at which the server last lost its flows. Down is true
	// from a crash to the restart.
	CrashedAt time.Time
	Down      bool
	// SilentBefore is the time of the fault that leaves requests unanswered: it
	// affects the connections accepted before, and never ends.
	SilentBefore       time.Time
	Shedding           bool
	TruncatesResponses bool
	// ReportsHealthy makes the health endpoint report a warm, idle server.
	ReportsHealthy bool
	// OutageStarts are the wall-clock times in nanoseconds at which the server
	// crashed or its zone was withdrawn. Its flows may end from then on.
	OutageStarts []int64
	// Undisturbed is false after a command that changed the server's capacity or role.
	Undisturbed bool
}

// apply returns the condition after a command. Unknown commands are an error.
func (c Condition) apply(command string, now time.Time) (Condition, error) {
	switch command {
	case "drain":
		c.DrainingSince, c.Undisturbed = now, false
	case "cold":
		c.ColdSince, c.ColdAnnounced, c.Undisturbed = now, false, false
	case "silent":
		c.SilentBefore = now
	case "shed":
		c.Shedding, c.Undisturbed = true, false
	case "truncate":
		c.TruncatesResponses = true
	case "lie":
		c.ReportsHealthy = true
	case "crash":
		c.CrashedAt, c.Down, c.Undisturbed = now, true, false
		c.OutageStarts = append(slices.Clone(c.OutageStarts), now.UnixNano())
	case "restart":
		c.Down, c.ColdSince, c.ColdAnnounced, c.DrainingSince = false, now, true, time.Time{}
	case "zone-out":
		c.ZoneOutSince, c.Undisturbed = now, false
		c.OutageStarts = append(slices.Clone(c.OutageStarts), now.UnixNano())
	case "zone-in":
		// The servers of a zone that returns to service have restarted and have no flows.
		c.ZoneOutSince, c.ColdSince, c.ColdAnnounced, c.CrashedAt = time.Time{}, now, true, now
	case "normal":
		c.DrainingSince, c.ZoneOutSince, c.Shedding, c.TruncatesResponses, c.ReportsHealthy = time.Time{}, time.Time{}, false, false, false
	default:
		return c, merry.Errorf("command %q: must be drain, cold, silent, shed, truncate, lie, crash, restart, "+
			"zone-out, zone-in or normal", command)
	}
	return c, nil
}

// graceExpired reports whether since is set and more than GracePeriod ago.
func graceExpired(since, now time.Time) bool { return !since.IsZero() && now.Sub(since) > GracePeriod }

// publishedCondition holds the current condition of one server for its workers.
type publishedCondition struct{ current atomic.Pointer[Condition] }

func (c *publishedCondition) load() *Condition { return c.current.Load() }
