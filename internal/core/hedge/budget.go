// Package hedge decides when a request, or the opening of a flow, that takes longer than usual
// is repeated at a second server. Load condition addressed: a few requests or servers that are
// much slower than the others, while there is capacity left.
//
// Delay says what "longer than usual" is, Budget limits the extra work. Both are local to an
// instance and pure: time is an argument, and an observation does not allocate.
package hedge

import (
	"time"

	"github.com/savorytiller/savorytiller/internal/core/model"
)

// Lifetime is how long a request counts for the hedges that it allows.
const Lifetime = 10 * time.Second

// budgetSlots is the number of time slots that Lifetime is divided into. With 20, at most a
// twentieth of the allowed hedges is lost to the rounding of times.
const budgetSlots = 20

const slotLength = model.Time(Lifetime / budgetSlots)

// Budget limits the hedges of one service at one instance to a share of its requests: in the
// last Lifetime there were at most limit hedges for each request. It is empty at the start,
// and what is not used within Lifetime is lost. So each hedge is paid for by requests of the
// Lifetime before it, none of them twice, and the budgets of any number of instances together
// stay within the share of their joint requests without exchanging messages.
//
// It takes 184 bytes. The zero value allows no hedge.
type Budget struct {
	limit float64
	// newest is the number of the newest slot, counted from time 0.
	newest int64
	// requests and hedges are counted by slot. There is one slot more than Lifetime needs: a
	// hedge must not be forgotten before the requests that paid for it.
	requests, hedges [budgetSlots + 1]uint32
}

// NewBudget returns an empty budget. limit is the number of hedges for each request.
func NewBudget(limit float64) *Budget { return &Budget{limit: limit} }

// AddRequest records a request.
func (b *Budget) AddRequest(now model.Time) {
	b.advance(now)
	b.requests[b.newest%(budgetSlots+1)]++
}

// Take records a hedge if the budget allows one, and reports whether it does.
func (b *Budget) Take(now model.Time) bool {
	if !b.Allows(now) {
		return false
	}
	b.hedges[b.newest%(budgetSlots+1)]++
	return true
}

// Allows reports whether the budget allows a hedge.
func (b *Budget) Allows(now model.Time) bool {
	b.advance(now)
	oldest := (b.newest + 1) % (budgetSlots + 1)
	var requests, hedges uint32
	for i := range b.requests {
		hedges += b.hedges[i]
		if int64(i) != oldest {
			requests += b.requests[i]
		}
	}
	// The tolerance covers products such as 0.05*60, which can be slightly less than 3.
	return float64(hedges)+1 <= b.limit*float64(requests)+1e-9
}

// advance clears the slots that have ended since the last call.
func (b *Budget) advance(now model.Time) {
	slot := int64(now / slotLength)
	for n := max(b.newest+1, slot-budgetSlots); n <= slot; n++ {
		b.requests[n%(budgetSlots+1)], b.hedges[n%(budgetSlots+1)] = 0, 0
	}
	b.newest = max(b.newest, slot)
}
