// Package retrybudget bounds the attempts that requests make beyond their first, so that retries
// can't multiply the load of workers that are in trouble.
package retrybudget

// Budget bounds the extra attempts at one service: each first attempt earns a share of an extra one,
// and no more than the allowance is ever saved up. So in any window, wherever it begins and ends,
// extra attempts are at most the share of its first ones plus the allowance. It begins empty, so
// that restarts add nothing.
type Budget struct {
	share  float64 // extra attempts over first ones
	tokens float64
}

// New makes an empty budget that earns a share of an extra attempt with each first one.
//
// Example: b := retrybudget.New(0.2)
func New(share float64) *Budget { return &Budget{share: share} }

// rounding makes up for shares that have no exact binary form: five fifths are a whole.
const rounding = 1e-9

// First counts a request's first attempt.
//
// Example: b.First(retrybudget.Share(20, machines))
func (b *Budget) First(allowance float64) { b.tokens = min(allowance, b.tokens+b.share) }

// Extra reports whether one more attempt fits, and spends it if so.
//
// Example: if !b.Extra(retrybudget.Share(20, machines)) { giveUp() }
func (b *Budget) Extra(allowance float64) bool {
	b.tokens = min(allowance, b.tokens) // the share of this machine may have become smaller
	if b.tokens < 1-rounding {
		return false
	}
	b.tokens--
	return true
}

// Share is one machine's share of what all may do together. More machines than there are whole
// shares get one each: less would be none.
//
// Example: allowance := retrybudget.Share(20, machines)
func Share(whole float64, machines int) float64 {
	if whole <= 0 {
		return 0
	}
	return max(1, whole/float64(max(1, machines)))
}
