package model

import (
	"math"
	"time"
)

// LowestPriority is the priority of requests whose configuration states none.
const LowestPriority uint8 = math.MaxUint8

// Limits of the terms that a configuration may state.
const (
	// MaxStatedPriority is the largest number of a stated priority.
	MaxStatedPriority = 99
	// MaxStatedTime is the longest goal or timeout.
	MaxStatedTime = time.Hour
)

// Terms are what the operators state about the requests of a route or class.
type Terms struct {
	// Priority orders requests when capacity is short; 0 is the most urgent.
	Priority uint8
	// Goal is the time within which an answer has its full value; 0 if none is stated.
	Goal time.Duration
	// Timeout is the time after which an answer has no value; 0 if none is stated.
	Timeout time.Duration
}
