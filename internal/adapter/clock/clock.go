// Package clock reads the system's monotonic clock.
package clock

import (
	"time"

	"github.com/savorytiller/savorytiller/internal/core/model"
)

// System is the monotonic clock of this process. Its origin is one second before
// its creation, so that no reading equals the zero value of model.Time. It keeps
// running while the process is suspended, so that a resumed process finds its
// leases expired.
type System struct {
	origin time.Time
}

// NewSystem returns a clock that starts now.
func NewSystem() *System { return &System{origin: time.Now().Add(-time.Second)} }

// Now returns the time since the clock's origin.
func (c *System) Now() model.Time { return model.Time(time.Since(c.origin)) }

// Incarnation returns the wall-clock time of the clock's origin in nanoseconds
// since the Unix epoch, which distinguishes this run of the instance from earlier
// ones.
func (c *System) Incarnation() model.Incarnation { return model.Incarnation(c.origin.UnixNano()) }
