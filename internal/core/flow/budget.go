package flow

import "github.com/savorytiller/savorytiller/internal/core/model"

// budget is a token bucket.
type budget struct {
	tokens float64
	at     model.Time
}

// refill adds the tokens for the time since the last call, up to the given
// number of seconds' worth.
func (b *budget) refill(now model.Time, perSecond, seconds int) {
	if now > b.at {
		b.tokens = min(b.tokens+now.Sub(b.at).Seconds()*float64(perSecond), float64(perSecond*seconds))
		b.at = now
	}
}

// take uses tokens if there are enough.
func (b *budget) take(now model.Time, perSecond, cost int) bool {
	b.refill(now, perSecond, 1)
	if b.tokens < float64(cost) {
		return false
	}
	b.tokens -= float64(cost)
	return true
}
