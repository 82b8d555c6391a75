package admission

import (
	"slices"

	"github.com/savorytiller/savorytiller/internal/core/model"
)

// Depths of the queue that admission control lets grow, in requests for each slot. Servers queue
// about four requests for each slot before they reject, and requests are spread unevenly over
// them. In the model of the tests, a depth of 0.5 for the least urgent flows leaves over a fifth of
// the credit at a load of 1.0 unearned, 1.5 about 6 %. Above 2 for the most urgent ones the
// servers reject more, for no gain.
const (
	leastUrgentDepth = 1.5
	mostUrgentDepth  = 2
)

// Classes are the terms that the routes of one service state.
type Classes struct {
	// priorities are the distinct priorities in ascending order, the most urgent first.
	priorities []uint8
	goal       bool
}

// Add includes the terms of a route.
func (c *Classes) Add(t model.Terms) {
	if at, found := slices.BinarySearch(c.priorities, t.Priority); !found {
		c.priorities = slices.Insert(c.priorities, at, t.Priority)
	}
	c.goal = c.goal || t.Goal > 0
}

// Act reports whether the terms call for admission control: they differ in priority, or one of
// them states a goal.
func (c *Classes) Act() bool { return c != nil && (len(c.priorities) > 1 || c.goal) }

// Priorities returns the distinct priorities in ascending order. The caller must not change them.
func (c *Classes) Priorities() []uint8 { return c.priorities }

// leastUrgent reports whether a priority is the lowest of several.
func (c *Classes) leastUrgent(priority uint8) bool {
	n := len(c.priorities)
	return n > 1 && priority >= c.priorities[n-1]
}

// depth returns how many requests for each slot may queue before a flow of the given priority is
// refused. Priorities between the most and the least urgent one are spaced evenly.
func (c *Classes) depth(priority uint8) float64 {
	last := len(c.priorities) - 1
	rank, _ := slices.BinarySearch(c.priorities, priority)
	if last < 1 || rank == 0 {
		return mostUrgentDepth
	}
	return mostUrgentDepth - (mostUrgentDepth-leastUrgentDepth)*float64(min(rank, last))/float64(last)
}
