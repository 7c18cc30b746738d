package entry

import (
	"sync"

	"github.com/ragwortdoor/ragwortdoor/internal/retry"
)

const (
	// retryShareFactor keeps part of the retry budget in reserve.
	retryShareFactor = 0.75
	// fleetSavedRetries and fleetRetriesPerSecond are the retries of a service, over all
	// routers, that are saved and that are allowed on top of the share of its requests.
	fleetSavedRetries     = 24
	fleetRetriesPerSecond = 1.2
	// A router saves at most maxSavedRetries and has at most maxRetriesPerSecond on top. Beyond
	// maxFloorRouters no router has any: each could send one at the same moment.
	maxSavedRetries     = 10
	maxRetriesPerSecond = 0.3
	maxFloorRouters     = 16
	// assumedRouters is the number of routers until a scheduler tells it.
	assumedRouters = 4
)

// retryBudgets has the retry budget of each service. What all routers save is bounded, so the
// part of each gets smaller as their number grows. It is safe for concurrent use.
type retryBudgets struct {
	mu        sync.Mutex
	share     float64
	routers   int
	byService map[string]*retry.Budget
}

// newRetryBudgets returns budgets of share retries per request of a service.
func newRetryBudgets(share float64) *retryBudgets {
	return &retryBudgets{share: share * retryShareFactor, routers: assumedRouters, byService: make(map[string]*retry.Budget)}
}

// of returns the budget of a service.
func (b *retryBudgets) of(service string) *retry.Budget {
	b.mu.Lock()
	defer b.mu.Unlock()
	budget := b.byService[service]
	if budget == nil {
		saved, perSecond := b.bounds()
		budget = retry.NewBudget(b.share, perSecond)
		budget.SetBounds(saved, perSecond)
		b.byService[service] = budget
	}
	return budget
}

// setShare changes the number of retries per request.
func (b *retryBudgets) setShare(share float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.share = share * retryShareFactor
	for _, budget := range b.byService {
		budget.SetShare(b.share)
	}
}

// setRouters adapts the budgets to the number of routers, 0 if that is not known.
func (b *retryBudgets) setRouters(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if n <= 0 || n == b.routers {
		return
	}
	b.routers = n
	for _, budget := range b.byService {
		budget.SetBounds(b.bounds())
	}
}

// bounds returns this router's part of what all routers save and have on top.
func (b *retryBudgets) bounds() (saved int, perSecond float64) {
	saved = max(1, min(maxSavedRetries, fleetSavedRetries/b.routers))
	if b.routers > maxFloorRouters {
		return saved, 0
	}
	return saved, min(maxRetriesPerSecond, fleetRetriesPerSecond/float64(b.routers))
}
