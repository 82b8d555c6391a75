// Package clock reads the system's clock of elapsed time.
package clock

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"github.com/savorytiller/savorytiller/internal/core/model"
)

// syncInterval is the time between two readings of the boot-time clock. Such a reading is a
// system call.
const syncInterval = 5 * time.Millisecond

// System is the clock of this process. Its origin is one second before its creation, so that
// no reading equals the zero value of model.Time. It includes the time for which the machine
// was suspended, so that a process that resumes finds its view and its leases expired. The
// monotonic clock does not include that time.
type System struct {
	origin     time.Time
	bootOrigin time.Duration // reading of the boot-time clock at origin
	// bootTime reads the boot-time clock. It is replaced in tests.
	bootTime func() time.Duration
	// suspended is the time for which the machine was suspended, in nanoseconds, as of the
	// monotonic time syncedAt.
	suspended, syncedAt atomic.Int64
}

// NewSystem returns a clock that starts now.
func NewSystem() *System { return newSystem(bootTime) }

func newSystem(boot func() time.Duration) *System {
	return &System{origin: time.Now().Add(-time.Second), bootOrigin: boot() - time.Second, bootTime: boot}
}

// bootTime reads the clock that includes the time for which the machine was suspended. The
// result is 0 if there is none.
func bootTime() time.Duration {
	var t unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &t) != nil {
		return 0
	}
	return time.Duration(t.Nano())
}

// Now returns the time since the clock's origin. It is safe for concurrent use.
func (c *System) Now() model.Time {
	running := time.Since(c.origin)
	if synced := c.syncedAt.Load(); int64(running)-synced >= int64(syncInterval) && c.syncedAt.CompareAndSwap(synced, int64(running)) {
		c.sync()
	}
	return model.Time(running) + model.Time(c.suspended.Load())
}

// sync updates the time for which the machine was suspended. The monotonic clock is read last,
// so that a pause of this thread between the readings does not count as a suspension.
func (c *System) sync() {
	boot := c.bootTime()
	suspended := boot - c.bootOrigin - time.Since(c.origin)
	if suspended-time.Duration(c.suspended.Load()) > syncInterval {
		c.suspended.Store(int64(suspended))
	}
}

// Incarnation returns the wall-clock time of the clock's origin in nanoseconds
// since the Unix epoch, which distinguishes this run of the instance from earlier
// ones.
func (c *System) Incarnation() model.Incarnation { return model.Incarnation(c.origin.UnixNano()) }
