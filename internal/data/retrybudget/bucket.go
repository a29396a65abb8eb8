package retrybudget

// bucket is a token bucket that limits the retries of one stream of requests: each request deposits a fraction of
// a token, each retry withdraws one token, and the bucket never holds more tokens than the allowance. In any
// interval of time there are therefore at most ratio × requests + allowance retries. A bucket starts empty, so
// that a restart grants no additional retries. It isn't safe for concurrent use.
type bucket struct {
	ratio  float64 // tokens that each request deposits
	tokens float64
}

func newBucket(ratio float64) *bucket { return &bucket{ratio: ratio} }

// roundingSlack compensates for rounding errors of ratios without an exact binary representation. For example,
// five deposits of 0.2 tokens must suffice for one retry.
const roundingSlack = 1e-9

// deposit adds the tokens for a request's first attempt. The allowance is the capacity of the bucket in tokens.
func (b *bucket) deposit(allowance float64) { b.tokens = min(allowance, b.tokens+b.ratio) }

// tryWithdraw takes the token for one retry and reports whether the bucket held one.
func (b *bucket) tryWithdraw(allowance float64) bool {
	b.tokens = min(allowance, b.tokens) // the allowance may have decreased since the last call, because nodes were added
	if b.tokens < 1-roundingSlack {
		return false
	}
	b.tokens--
	return true
}
