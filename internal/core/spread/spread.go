// Package spread decides whom an instance tells about a new release note. Three
// strategies share one interface: hybrid push, plain random push and
// anti-entropy alone. Anti-entropy always runs behind whichever is chosen.
package spread

import "math/rand/v2"

// Outcome is the result of one call about a version.
type Outcome uint8

const (
	// Informed means that the called instance did not know the version.
	Informed Outcome = iota
	// Knew means that the called instance knew the version or a newer one.
	Knew
	// Lost means that the call or its answer did not arrive.
	Lost
)

// Push decides the calls of one instance about one version. Instances are
// numbered in an order that all share, here the sorted identifiers.
type Push interface {
	// Start begins to push. With origin set, the note came from the
	// configuration service and not from another instance.
	Start(origin bool)
	// Next returns the instance to call; ok is false once the push has ended.
	Next(self, n int) (target int, ok bool)
	// Result takes the outcome of the call that Next returned last.
	Result(o Outcome)
}

// Kind names a strategy.
type Kind uint8

const (
	// Hybrid is the push of Doerr and Fouz.
	Hybrid Kind = iota
	// Random calls random instances.
	Random
	// None leaves everything to anti-entropy.
	None
)

// String returns the name used in measurements.
func (k Kind) String() string {
	switch k {
	case Hybrid:
		return "hybrid push"
	case Random:
		return "random push"
	default:
		return "anti-entropy alone"
	}
}

// New returns the push of the given kind; restarts is the number of restarts
// (hybrid) or of calls to informed instances (random) after which it ends.
func New(k Kind, restarts int, rng *rand.Rand) Push {
	switch k {
	case Hybrid:
		return &hybrid{rng: rng, restarts: restarts}
	case Random:
		return &random{rng: rng, restarts: restarts}
	default:
		return none{}
	}
}

// maxLost ends a run along the order after consecutive losses: the instances
// there are probably in a zone that cannot be reached.
const maxLost = 3

// hybrid is the protocol of B. Doerr and M. Fouz, "Asymptotically Optimal
// Randomized Rumor Spreading" (ICALP 2011): a newly informed instance calls a
// random one and, while the called ones were not informed, goes on with their
// successors in the cyclic order. When it calls an informed instance, it
// restarts at a random one; after a number of restarts it stops. The instance
// where the note enters begins with its own successor. A lost call is not in
// the paper: it counts as not informed, up to maxLost in a row.
type hybrid struct {
	rng      *rand.Rand
	restarts int
	left     int
	last     int // the instance called last; -1 to start at a random one
	lost     int
	own      bool // the next call goes to the own successor
}

// Start implements Push.
func (h *hybrid) Start(origin bool) {
	h.left, h.last, h.lost, h.own = h.restarts, -1, 0, origin
}

// Next implements Push.
func (h *hybrid) Next(self, n int) (int, bool) {
	if n < 2 || h.left < 0 {
		return 0, false
	}
	switch {
	case h.own:
		h.own, h.last = false, (self+1)%n
	case h.last < 0 || h.last >= n:
		h.last = other(h.rng, self, n)
	default:
		if h.last = (h.last + 1) % n; h.last == self {
			h.last = (h.last + 1) % n
		}
	}
	return h.last, true
}

// Result implements Push.
func (h *hybrid) Result(o Outcome) {
	switch o {
	case Informed:
		h.lost = 0
		return
	case Lost:
		if h.lost++; h.lost < maxLost {
			return
		}
	}
	h.left--
	h.last, h.lost = -1, 0
}

// random calls random instances until it met enough informed ones.
type random struct {
	rng      *rand.Rand
	restarts int
	left     int
	lost     int
}

// Start implements Push.
func (r *random) Start(bool) { r.left, r.lost = r.restarts, 0 }

// Next implements Push.
func (r *random) Next(self, n int) (int, bool) {
	if n < 2 || r.left < 0 {
		return 0, false
	}
	return other(r.rng, self, n), true
}

// Result implements Push.
func (r *random) Result(o Outcome) {
	switch o {
	case Informed:
		r.lost = 0
		return
	case Lost:
		if r.lost++; r.lost < maxLost {
			return
		}
	}
	r.left--
	r.lost = 0
}

// none never pushes.
type none struct{}

// Start implements Push.
func (none) Start(bool) {}

// Next implements Push.
func (none) Next(int, int) (int, bool) { return 0, false }

// Result implements Push.
func (none) Result(Outcome) {}

// other returns a random number below n other than self.
func other(rng *rand.Rand, self, n int) int {
	v := rng.IntN(n - 1)
	if v >= self {
		v++
	}
	return v
}
