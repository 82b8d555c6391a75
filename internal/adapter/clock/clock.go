// Package clock reads the monotonic clock of the machine.
package clock

import (
	"time"

	"github.com/savorytiller/savorytiller/internal/core/model"
)

// System is the monotonic clock of this process. Its zero is one second before
// its creation, so that no reading equals the zero value of model.Time. It keeps running while the
// process is stopped, so a paused process finds its leases expired.
type System struct {
	start time.Time
}

// NewSystem returns a clock that starts now.
func NewSystem() *System { return &System{start: time.Now().Add(-time.Second)} }

// Now returns the time since the clock's zero.
func (c *System) Now() model.Time { return model.Time(time.Since(c.start)) }

// Incarnation returns the wall-clock start time in nanoseconds, which
// distinguishes this run of the instance from earlier ones.
func (c *System) Incarnation() model.Incarnation { return model.Incarnation(c.start.UnixNano()) }
