// Package retrybudget bounds the attempts that requests make beyond their first one, so that retries can't
// multiply the load on workers that are already failing. It is a token bucket that is filled by requests
// instead of by time, as in Finagle's RetryBudget.
package retrybudget

import "sync"

// Budget is one node's share of a site-wide retry budget: each request pays for a fraction of a retry, and
// the nodes of the site together save up an allowance at most. It starts empty. It is safe for concurrent use.
type Budget struct {
	allowance float64 // of the site
	mu        sync.Mutex
	bucket    *bucket
}

// New returns an empty budget. The ratio, from 0 to 1, is how many retries a request pays for; the allowance
// is how many the site saves up at most.
//
// Example: misdirected := retrybudget.New(0.02, 10)
func New(ratio, allowance float64) *Budget {
	return &Budget{allowance: allowance, bucket: newBucket(ratio)}
}

// Deposit counts a request's first attempt. Nodes is how many nodes share the allowance.
//
// Example: misdirected.Deposit(snapshot.Edges)
func (b *Budget) Deposit(nodes int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bucket.deposit(PerNode(b.allowance, nodes))
}

// TryWithdraw reports whether the budget covers one more retry, and takes the token for it if so.
//
// Example: if misdirected.TryWithdraw(snapshot.Edges) { retry() }
func (b *Budget) TryWithdraw(nodes int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.bucket.tryWithdraw(PerNode(b.allowance, nodes))
}

// ByService holds one node's retry budgets of all services, as Budget does for one. It is safe for concurrent
// use. Entries are never removed: services are those that the configuration names, which are few.
type ByService struct {
	ratio, allowance float64 // of each service; the allowance is the site's
	mu               sync.Mutex
	buckets          map[string]*bucket
}

// NewByService returns budgets that start empty, each with the ratio and allowance of New.
//
// Example: budgets := retrybudget.NewByService(0.2, 20)
func NewByService(ratio, allowance float64) *ByService {
	return &ByService{ratio: ratio, allowance: allowance, buckets: map[string]*bucket{}}
}

// Deposit counts a request's first attempt at a service. Nodes is how many nodes share the allowance.
//
// Example: budgets.Deposit("chat", snapshot.Edges)
func (b *ByService) Deposit(service string, nodes int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.of(service).deposit(PerNode(b.allowance, nodes))
}

// TryWithdraw reports whether the service's budget covers one more retry, and takes the token for it if so.
//
// Example: if budgets.TryWithdraw("chat", snapshot.Edges) { retry() }
func (b *ByService) TryWithdraw(service string, nodes int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.of(service).tryWithdraw(PerNode(b.allowance, nodes))
}

// of returns the service's bucket, and makes it on first use. The caller holds mu.
func (b *ByService) of(service string) *bucket {
	found := b.buckets[service]
	if found == nil {
		found = newBucket(b.ratio)
		b.buckets[service] = found
	}
	return found
}

// PerNode returns one node's share of an allowance that the nodes of a site have together. It is never below
// 1, because no retry at all could be paid from less; so with more nodes than tokens the site's sum exceeds
// the total. A total of 0 or less gives 0. Nodes below 1 count as one.
//
// Example: allowance := retrybudget.PerNode(20, nodes)
func PerNode(total float64, nodes int) float64 {
	if total <= 0 {
		return 0
	}
	return max(1, total/float64(max(1, nodes)))
}
