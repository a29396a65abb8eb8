// Package retrybudget limits retries to a fraction of the requests, so that retries can't multiply the load on
// workers that are already failing. It uses a token bucket that is filled by requests rather than by time, as in
// Finagle's RetryBudget.
package retrybudget

import "sync"

// Budget is one node's share of a site-wide retry budget. Each request adds a fraction of a retry to it, and the
// nodes of the site together accumulate at most an allowance of unused retries. It is safe for concurrent use.
type Budget struct {
	allowance float64 // maximum number of unused retries of all nodes of the site together
	mu        sync.Mutex
	bucket    *bucket
}

// New returns an empty budget. ratio, from 0 to 1, is the fraction of a retry that each request adds; allowance is
// the maximum number of unused retries that all nodes of the site accumulate together.
//
// Example: misdirected := retrybudget.New(0.02, 10)
func New(ratio, allowance float64) *Budget {
	return &Budget{allowance: allowance, bucket: newBucket(ratio)}
}

// Deposit adds the fraction of a retry that a request's first attempt earns. nodes is the number of nodes that share
// the allowance.
//
// Example: misdirected.Deposit(snapshot.Edges)
func (b *Budget) Deposit(nodes int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bucket.deposit(PerNode(b.allowance, nodes))
}

// TryWithdraw reports whether the budget allows one more retry, and if so deducts it. nodes is the number of nodes
// that share the allowance.
//
// Example: if misdirected.TryWithdraw(snapshot.Edges) { retry() }
func (b *Budget) TryWithdraw(nodes int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.bucket.tryWithdraw(PerNode(b.allowance, nodes))
}

// ByService holds one node's share of a separate retry budget for each service. It is safe for concurrent use.
// Budgets are never removed, because only the few services in the configuration get one.
type ByService struct {
	ratio, allowance float64 // for each service: retries added per request, and maximum unused retries of all nodes of the site together
	mu               sync.Mutex
	buckets          map[string]*bucket
}

// NewByService returns budgets that start empty. ratio and allowance apply to each service and have the same
// meaning as in New.
//
// Example: budgets := retrybudget.NewByService(0.2, 20)
func NewByService(ratio, allowance float64) *ByService {
	return &ByService{ratio: ratio, allowance: allowance, buckets: map[string]*bucket{}}
}

// Deposit adds the fraction of a retry that the first attempt of a request to a service earns. nodes is the number of
// nodes that share the allowance.
//
// Example: budgets.Deposit("chat", snapshot.Edges)
func (b *ByService) Deposit(service string, nodes int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bucketOf(service).deposit(PerNode(b.allowance, nodes))
}

// TryWithdraw reports whether the service's budget allows one more retry, and if so deducts it. nodes is the number
// of nodes that share the allowance.
//
// Example: if budgets.TryWithdraw("chat", snapshot.Edges) { retry() }
func (b *ByService) TryWithdraw(service string, nodes int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.bucketOf(service).tryWithdraw(PerNode(b.allowance, nodes))
}

// bucketOf returns the service's bucket, which it creates on first use. The caller must hold mu.
func (b *ByService) bucketOf(service string) *bucket {
	found := b.buckets[service]
	if found == nil {
		found = newBucket(b.ratio)
		b.buckets[service] = found
	}
	return found
}

// PerNode returns one node's share of an allowance that all nodes of a site have together. The share is at least 1,
// because a smaller one would never allow a retry; with more nodes than tokens, the shares therefore add up to more
// than total. If total is 0 or less, the share is 0. A number of nodes below 1 counts as 1.
//
// Example: allowance := retrybudget.PerNode(20, nodes)
func PerNode(total float64, nodes int) float64 {
	if total <= 0 {
		return 0
	}
	return max(1, total/float64(max(1, nodes)))
}
