package router

import "sync/atomic"

const (
	budgetUnit    = 1000 // of one retry
	budgetInitial = 20 * budgetUnit
	budgetMax     = 200 * budgetUnit
)

// retryBudget allows retries as a share of requests, so that a failing upstream
// is not hit harder than a healthy one. A reserve serves a quiet router.
type retryBudget struct {
	share int64 // units that each request adds
	units atomic.Int64
}

func newRetryBudget(share float64) *retryBudget {
	b := &retryBudget{share: int64(share * budgetUnit)}
	b.units.Store(budgetInitial)
	return b
}

// request adds the share of one request. Two requests at once may add past the
// bound by one share each, which does no harm.
func (b *retryBudget) request() {
	if b.units.Load() < budgetMax {
		b.units.Add(b.share)
	}
}

// retry takes one retry. It reports false when the budget is spent.
func (b *retryBudget) retry() bool {
	for {
		units := b.units.Load()
		if units < budgetUnit {
			return false
		}
		if b.units.CompareAndSwap(units, units-budgetUnit) {
			return true
		}
	}
}
