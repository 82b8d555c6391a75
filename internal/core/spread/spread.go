// Package spread selects the instances to which an instance announces a new
// release note. Three strategies share one interface: hybrid push, plain random
// push and anti-entropy alone. Anti-entropy runs in the background with each of
// them.
package spread

import "math/rand/v2"

// Outcome is the result of one call about a version.
type Outcome uint8

const (
	// NewlyInformed means that the called instance did not know the version.
	NewlyInformed Outcome = iota
	// AlreadyInformed means that the called instance knew the version or a newer one.
	AlreadyInformed
	// Lost means that the call or its answer did not arrive.
	Lost
)

// Push selects the calls of one instance about one version. Instances are
// numbered in an order that is the same on all of them, here by sorted
// identifier.
type Push interface {
	// Start begins to push a new version. origin is set if the note came from the
	// configuration service and not from another instance.
	Start(origin bool)
	// Next returns the number of the instance to call, for the instance with number
	// self of n instances; ok is false once the push has ended.
	Next(self, n int) (target int, ok bool)
	// Result records the outcome of the call to the target that Next returned last.
	Result(o Outcome)
}

// Strategy is a way to push a new version.
type Strategy uint8

const (
	// Hybrid is the hybrid protocol of Doerr and Fouz.
	Hybrid Strategy = iota
	// Random calls random instances.
	Random
	// None never pushes and relies on anti-entropy.
	None
)

// String returns the name of the strategy in tables of results.
func (s Strategy) String() string {
	switch s {
	case Hybrid:
		return "hybrid push"
	case Random:
		return "random push"
	default:
		return "anti-entropy alone"
	}
}

// New returns a push with the given strategy; restarts is the number of restarts
// (Hybrid) or of calls to already informed instances (Random) after which it ends.
func New(s Strategy, restarts int, rng *rand.Rand) Push {
	switch s {
	case Hybrid:
		return &hybrid{rng: rng, restarts: restarts}
	case Random:
		return &random{rng: rng, restarts: restarts}
	default:
		return none{}
	}
}

// maxConsecutiveLosses is the number of lost calls in a row after which a push
// stops following the order: the next instances in the order are probably in the
// same unreachable zone.
const maxConsecutiveLosses = 3

// hybrid is the protocol of B. Doerr and M. Fouz, "Asymptotically Optimal
// Randomized Rumor Spreading" (ICALP 2011): a newly informed instance calls a
// random one and then the successors of that one in the cyclic order, until it
// calls an instance that is already informed. It then restarts at a random one;
// after a number of restarts it stops. The origin begins with its own successor.
// The paper does not cover lost calls. Here, a lost call counts as a call to an
// instance that was not informed, but maxConsecutiveLosses of them in a row count as
// one call to an instance that is already informed.
type hybrid struct {
	rng               *rand.Rand
	restarts          int
	restartsLeft      int
	lastTarget        int // -1 to restart at a random instance
	consecutiveLosses int
	startAtSuccessor  bool // the next call goes to the successor of this instance
}

// Start implements Push.
func (h *hybrid) Start(origin bool) {
	h.restartsLeft, h.lastTarget, h.consecutiveLosses, h.startAtSuccessor = h.restarts, -1, 0, origin
}

// Next implements Push.
func (h *hybrid) Next(self, n int) (int, bool) {
	if n < 2 || h.restartsLeft < 0 {
		return 0, false
	}
	switch {
	case h.startAtSuccessor:
		h.startAtSuccessor, h.lastTarget = false, (self+1)%n
	case h.lastTarget < 0 || h.lastTarget >= n:
		h.lastTarget = randomOther(h.rng, self, n)
	default:
		if h.lastTarget = (h.lastTarget + 1) % n; h.lastTarget == self {
			h.lastTarget = (h.lastTarget + 1) % n
		}
	}
	return h.lastTarget, true
}

// Result implements Push.
func (h *hybrid) Result(o Outcome) {
	switch o {
	case NewlyInformed:
		h.consecutiveLosses = 0
		return
	case Lost:
		if h.consecutiveLosses++; h.consecutiveLosses < maxConsecutiveLosses {
			return
		}
	}
	h.restartsLeft--
	h.lastTarget, h.consecutiveLosses = -1, 0
}

// random calls random instances until enough of them were already informed.
type random struct {
	rng               *rand.Rand
	restarts          int
	restartsLeft      int
	consecutiveLosses int
}

// Start implements Push.
func (r *random) Start(bool) { r.restartsLeft, r.consecutiveLosses = r.restarts, 0 }

// Next implements Push.
func (r *random) Next(self, n int) (int, bool) {
	if n < 2 || r.restartsLeft < 0 {
		return 0, false
	}
	return randomOther(r.rng, self, n), true
}

// Result implements Push.
func (r *random) Result(o Outcome) {
	switch o {
	case NewlyInformed:
		r.consecutiveLosses = 0
		return
	case Lost:
		if r.consecutiveLosses++; r.consecutiveLosses < maxConsecutiveLosses {
			return
		}
	}
	r.restartsLeft--
	r.consecutiveLosses = 0
}

// none never pushes.
type none struct{}

// Start implements Push.
func (none) Start(bool) {}

// Next implements Push.
func (none) Next(int, int) (int, bool) { return 0, false }

// Result implements Push.
func (none) Result(Outcome) {}

// randomOther returns a random number below n that is not self.
func randomOther(rng *rand.Rand, self, n int) int {
	v := rng.IntN(n - 1)
	if v >= self {
		v++
	}
	return v
}
