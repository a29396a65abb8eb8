// Package retrybudget bounds the attempts that requests make beyond their first one, so that retries
// can't multiply the load on workers that are already failing. It is a token bucket that is filled by
// requests instead of by time, as in Finagle's RetryBudget.
package retrybudget

// Budget bounds the retries of one stream of requests: each request deposits a fraction of a token,
// each retry withdraws one, and no more than the allowance is ever saved up. In any window, wherever
// it begins and ends, there are at most ratio × requests + allowance retries. A Budget starts empty,
// so that a restart grants nothing. It isn't safe for concurrent use: see Shared and ByService.
type Budget struct {
	ratio  float64 // tokens that a request deposits
	tokens float64
}

// New returns an empty budget. The ratio is how many retries a request pays for, from 0 to 1.
//
// Example: b := retrybudget.New(0.2)
func New(ratio float64) *Budget { return &Budget{ratio: ratio} }

// roundingSlack makes up for ratios that have no exact binary form: five deposits of a fifth have to
// pay for one retry.
const roundingSlack = 1e-9

// Deposit counts a request's first attempt. The allowance is the most tokens that may be saved up.
//
// Example: b.Deposit(retrybudget.PerNode(20, nodes))
func (b *Budget) Deposit(allowance float64) { b.tokens = min(allowance, b.tokens+b.ratio) }

// TryWithdraw reports whether the budget covers one more retry, and takes the token for it if so.
//
// Example: if !b.TryWithdraw(retrybudget.PerNode(20, nodes)) { return errNoRetry }
func (b *Budget) TryWithdraw(allowance float64) bool {
	b.tokens = min(allowance, b.tokens) // this node's share may have become smaller
	if b.tokens < 1-roundingSlack {
		return false
	}
	b.tokens--
	return true
}

// PerNode returns one node's share of an allowance that the nodes of a site have together. It is never
// below one token, because no retry at all could be paid from less; so with more nodes than tokens the
// site's sum exceeds the total. A total of 0 or less gives 0. Nodes below 1 count as one.
//
// Example: allowance := retrybudget.PerNode(20, nodes)
func PerNode(total float64, nodes int) float64 {
	if total <= 0 {
		return 0
	}
	return max(1, total/float64(max(1, nodes)))
}
