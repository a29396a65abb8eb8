package retrybudget

import "sync"

// Shared is one node's share of a site-wide Budget. It is safe for concurrent use.
type Shared struct {
	allowance float64 // of the site
	mu        sync.Mutex
	budget    *Budget
}

// NewShared returns an empty budget that earns ratio tokens for each request, of which the nodes of the
// site together save up the allowance at most.
//
// Example: misdirected := retrybudget.NewShared(0.02, 10)
func NewShared(ratio, allowance float64) *Shared {
	return &Shared{allowance: allowance, budget: New(ratio)}
}

// Deposit counts a request's first attempt. Nodes is how many nodes share the allowance.
//
// Example: misdirected.Deposit(snapshot.Edges)
func (s *Shared) Deposit(nodes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budget.Deposit(PerNode(s.allowance, nodes))
}

// TryWithdraw reports whether the budget covers one more retry, and takes the token for it if so.
//
// Example: if misdirected.TryWithdraw(snapshot.Edges) { retry() }
func (s *Shared) TryWithdraw(nodes int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.budget.TryWithdraw(PerNode(s.allowance, nodes))
}

// ByService holds one node's retry budgets of all services. It is safe for concurrent use. Entries are
// never removed: services are those that the configuration names, which are few.
type ByService struct {
	ratio, allowance float64 // of each service; the allowance is the site's
	mu               sync.Mutex
	budgets          map[string]*Budget
}

// NewByService returns budgets that start empty. Each service earns ratio tokens for each request, of
// which the nodes of the site together save up the allowance at most.
//
// Example: budgets := retrybudget.NewByService(0.2, 20)
func NewByService(ratio, allowance float64) *ByService {
	return &ByService{ratio: ratio, allowance: allowance, budgets: map[string]*Budget{}}
}

// Deposit counts a request's first attempt at a service. Nodes is how many nodes share the allowance.
//
// Example: budgets.Deposit("chat", snapshot.Edges)
func (b *ByService) Deposit(service string, nodes int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.of(service).Deposit(PerNode(b.allowance, nodes))
}

// TryWithdraw reports whether the service's budget covers one more retry, and takes the token for it if so.
//
// Example: if budgets.TryWithdraw("chat", snapshot.Edges) { retry() }
func (b *ByService) TryWithdraw(service string, nodes int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.of(service).TryWithdraw(PerNode(b.allowance, nodes))
}

// of returns the service's budget, and makes it on first use. The caller holds mu.
func (b *ByService) of(service string) *Budget {
	budget := b.budgets[service]
	if budget == nil {
		budget = New(b.ratio)
		b.budgets[service] = budget
	}
	return budget
}
