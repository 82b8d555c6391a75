package flow

import "github.com/savorytiller/savorytiller/internal/core/model"

// tokenBucket is a rate limiter.
type tokenBucket struct {
	tokens    float64
	updatedAt model.Time
}

// refill adds the tokens for the time since the last refill, up to the given
// number of seconds' worth.
func (b *tokenBucket) refill(now model.Time, perSecond, seconds int) {
	if now > b.updatedAt {
		b.tokens = min(b.tokens+now.Sub(b.updatedAt).Seconds()*float64(perSecond), float64(perSecond*seconds))
		b.updatedAt = now
	}
}

// consume takes the cost from the bucket, which holds up to one second's worth.
// It reports false and takes nothing if there are too few tokens.
func (b *tokenBucket) consume(now model.Time, perSecond, cost int) bool {
	b.refill(now, perSecond, 1)
	if b.tokens < float64(cost) {
		return false
	}
	b.tokens -= float64(cost)
	return true
}
