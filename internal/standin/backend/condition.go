package backend

import (
	"slices"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
)

// Condition is the state that operators or faults have put a server into. It is
// immutable; the control goroutine publishes a new one for each change.
type Condition struct {
	// Draining, ZoneOut are the times since when; zero if not.
	Draining, ZoneOut time.Time
	// Cold is the time at which the server last turned cold. Announced is true if
	// the system could know it: a new or restarted server, or one of a zone that
	// returns. Only then is too much load a broken promise.
	Cold      time.Time
	Announced bool
	// Crashed is the time at which the server last lost its flows; Down is true
	// until the restart.
	Crashed time.Time
	Down    bool
	// SilentBefore makes connections accepted before it permanently silent.
	SilentBefore time.Time
	Shedding     bool
	Truncating   bool
	// LyingHealth makes the health endpoint report a warm, idle server.
	LyingHealth bool
	// Excuses are the times from which flows of the server may end: its crashes
	// and the withdrawals of its zone.
	Excuses []int64
	// Steady is false once a command has changed the server's capacity or role.
	Steady bool
}

// apply returns the condition after a command.
func (c Condition) apply(command string, now time.Time) (Condition, error) {
	switch command {
	case "drain":
		c.Draining, c.Steady = now, false
	case "cold":
		c.Cold, c.Announced, c.Steady = now, false, false
	case "silent":
		c.SilentBefore = now
	case "shed":
		c.Shedding, c.Steady = true, false
	case "truncate":
		c.Truncating = true
	case "lie":
		c.LyingHealth = true
	case "crash":
		c.Crashed, c.Down, c.Steady = now, true, false
		c.Excuses = append(slices.Clone(c.Excuses), now.UnixNano())
	case "restart":
		c.Down, c.Cold, c.Announced, c.Draining = false, now, true, time.Time{}
	case "zone-out":
		c.ZoneOut, c.Steady = now, false
		c.Excuses = append(slices.Clone(c.Excuses), now.UnixNano())
	case "zone-in":
		// The servers of a zone that returns have restarted and know no flows.
		c.ZoneOut, c.Cold, c.Announced, c.Crashed = time.Time{}, now, true, now
	case "normal":
		c.Draining, c.ZoneOut, c.Shedding, c.Truncating, c.LyingHealth = time.Time{}, time.Time{}, false, false, false
	default:
		return c, merry.Errorf("command %q: must be drain, cold, silent, shed, truncate, lie, crash, restart, "+
			"zone-out, zone-in or normal", command)
	}
	return c, nil
}

func overdue(since, now time.Time) bool { return !since.IsZero() && now.Sub(since) > Grace }

// conditions is the published condition of one server.
type conditions struct{ current atomic.Pointer[Condition] }

func (c *conditions) load() *Condition { return c.current.Load() }
