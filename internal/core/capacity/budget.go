package capacity

// RetryRatio is the share of a service's requests that may be retried. With
// more, retries alone can keep overloaded servers overloaded.
const RetryRatio = 0.1

// RetryBurst is the number of retries that a service may save up.
const RetryBurst = 10

// Budget is the retry budget of one service.
type Budget struct{ tokens float64 }

// NewBudget returns a budget that is full.
func NewBudget() *Budget { return &Budget{tokens: RetryBurst} }

// Request adds the share of one request.
func (b *Budget) Request() { b.tokens = min(b.tokens+RetryRatio, RetryBurst) }

// Retry takes one retry and reports whether the budget allows it.
func (b *Budget) Retry() bool {
	// Ten shares of a tenth add up to slightly less than one.
	if b.tokens < 1-1e-9 {
		return false
	}
	b.tokens--
	return true
}

// Bytes limits the bytes in flight of each tenant and of the instance.
type Bytes struct {
	perTenant, total int64
	used             int64
	tenants          map[string]int64
}

// NewBytes returns limits in bytes.
func NewBytes(perTenant, total int64) *Bytes {
	return &Bytes{perTenant: perTenant, total: total, tenants: map[string]int64{}}
}

// Take reserves n bytes for a tenant and reports whether there was room.
func (b *Bytes) Take(tenant string, n int64) bool {
	if b.tenants[tenant]+n > b.perTenant || b.used+n > b.total {
		return false
	}
	b.tenants[tenant] += n
	b.used += n
	return true
}

// Free returns n bytes of a tenant.
func (b *Bytes) Free(tenant string, n int64) {
	b.used -= n
	if left := b.tenants[tenant] - n; left > 0 {
		b.tenants[tenant] = left
	} else {
		delete(b.tenants, tenant)
	}
}
