// Package retrybudget bounds the attempts that requests make beyond their first, so that retries
// can't multiply the load of workers that are in trouble.
package retrybudget

// Budget bounds the extra attempts at one service: each first attempt earns a share of an extra one,
// and no more than the allowance is ever saved up. So in any window, wherever it begins and ends,
// extra attempts are at most the share of its first ones plus the allowance. It begins empty, so
// that restarts add nothing.
type Budget struct {
	ratio  float64 // extra attempts over first ones
	tokens float64
}

// New makes an empty budget that earns a share of an extra attempt with each first one.
//
// Example: b := retrybudget.New(0.2)
func New(ratio float64) *Budget { return &Budget{ratio: ratio} }

// roundingSlack makes up for shares that have no exact binary form: five fifths are a whole.
const roundingSlack = 1e-9

// Deposit counts a request's first attempt.
//
// Example: b.First(retrybudget.Share(20, machines))
func (b *Budget) Deposit(allowance float64) { b.tokens = min(allowance, b.tokens+b.ratio) }

// TryWithdraw reports whether one more attempt fits, and spends it if so.
//
// Example: if !b.Extra(retrybudget.Share(20, machines)) { giveUp() }
func (b *Budget) TryWithdraw(allowance float64) bool {
	b.tokens = min(allowance, b.tokens) // the share of this machine may have become smaller
	if b.tokens < 1-roundingSlack {
		return false
	}
	b.tokens--
	return true
}

// PerNode is one machine's share of what all may do together. More machines than there are whole
// shares get one each: less would be none.
//
// Example: allowance := retrybudget.Share(20, machines)
func PerNode(total float64, nodes int) float64 {
	if total <= 0 {
		return 0
	}
	return max(1, total/float64(max(1, nodes)))
}
