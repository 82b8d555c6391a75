package clock

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a clock that runs backwards, or whose first reading equals the
// zero value of model.Time, which several records use for "never".
func TestReadingsArePositiveAndMonotonic(t *testing.T) {
	c := NewSystem()
	last := c.Now()
	require.Positive(t, last)
	for range 1000 {
		now := c.Now()
		require.GreaterOrEqual(t, now, last)
		last = now
	}
	require.Positive(t, c.Incarnation())
}
