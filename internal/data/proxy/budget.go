package proxy

import (
	"sync"

	"pebbleloom/internal/data/retrybudget"
)

// After a worker that was another's (its address was used again) the next attempt may go to one more of
// these: both arrive at a service that the request isn't for, beyond its own requests' retries. So attempts
// after such an answer have a budget of their own beside the service's, for all services together.
const (
	misdirectedShare     = 0.1 // of the share of extra attempts
	misdirectedAllowance = 0.5 // of the allowance
	anyService           = ""
)

// budgets are the retry budgets of all services. Services are those of plans, so they are few.
type budgets struct {
	share, whole float64
	mu           sync.Mutex
	by           map[string]*retrybudget.Budget
}

func newBudgets(share, whole float64) *budgets {
	return &budgets{share: share, whole: whole, by: map[string]*retrybudget.Budget{}}
}

func (b *budgets) of(service string) *retrybudget.Budget {
	t := b.by[service]
	if t == nil {
		t = retrybudget.New(b.share)
		b.by[service] = t
	}
	return t
}

// first counts a request's first attempt at a service.
func (b *budgets) first(service string, edges int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.of(service).Deposit(retrybudget.PerNode(b.whole, edges))
}

// extra reports whether one more attempt fits, and spends it if so.
func (b *budgets) extra(service string, edges int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.of(service).TryWithdraw(retrybudget.PerNode(b.whole, edges))
}
