package capacity

// RetryRatio is the share of a service's requests that may be retried. With a
// higher ratio, retries alone can keep overloaded servers overloaded.
const RetryRatio = 0.1

// RetryBurst is the maximum number of unused retries that a service accumulates.
const RetryBurst = 10

// RetryBudget is a token bucket that limits the retries of one service: each
// request adds RetryRatio tokens, and each retry takes one.
type RetryBudget struct{ tokens float64 }

// NewRetryBudget returns a full budget.
func NewRetryBudget() *RetryBudget { return &RetryBudget{tokens: RetryBurst} }

// AddRequest adds the tokens of one request.
func (b *RetryBudget) AddRequest() { b.tokens = min(b.tokens+RetryRatio, RetryBurst) }

// TakeRetry takes the token of one retry. It reports false if none is left.
func (b *RetryBudget) TakeRetry() bool {
	// In floating point, ten additions of RetryRatio give slightly less than 1.
	if b.tokens < 1-1e-9 {
		return false
	}
	b.tokens--
	return true
}

// ByteLimiter limits the request body bytes in flight, for each tenant and for the
// whole instance.
type ByteLimiter struct {
	tenantLimit, totalLimit int64
	totalUsed               int64
	usedByTenant            map[string]int64
}

// NewByteLimiter returns a limiter; both limits are in bytes.
func NewByteLimiter(tenantLimit, totalLimit int64) *ByteLimiter {
	return &ByteLimiter{tenantLimit: tenantLimit, totalLimit: totalLimit, usedByTenant: map[string]int64{}}
}

// Reserve reserves n bytes for a tenant. It reports false and reserves nothing if
// that would exceed a limit.
func (b *ByteLimiter) Reserve(tenant string, n int64) bool {
	if b.usedByTenant[tenant]+n > b.tenantLimit || b.totalUsed+n > b.totalLimit {
		return false
	}
	b.usedByTenant[tenant] += n
	b.totalUsed += n
	return true
}

// Release returns n reserved bytes of a tenant.
func (b *ByteLimiter) Release(tenant string, n int64) {
	b.totalUsed -= n
	if remaining := b.usedByTenant[tenant] - n; remaining > 0 {
		b.usedByTenant[tenant] = remaining
	} else {
		delete(b.usedByTenant, tenant)
	}
}
