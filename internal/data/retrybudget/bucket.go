package retrybudget

// bucket bounds the retries of one stream of requests: each request deposits a fraction of a token, each
// retry withdraws one, and no more than the allowance is ever saved up. In any window, wherever it begins and
// ends, there are at most ratio × requests + allowance retries. A bucket starts empty, so that a restart grants
// nothing. It isn't safe for concurrent use.
type bucket struct {
	ratio  float64 // tokens that a request deposits
	tokens float64
}

func newBucket(ratio float64) *bucket { return &bucket{ratio: ratio} }

// roundingSlack makes up for ratios that have no exact binary form: five deposits of a fifth have to pay for
// one retry.
const roundingSlack = 1e-9

// deposit counts a request's first attempt. The allowance is the most tokens that may be saved up.
func (b *bucket) deposit(allowance float64) { b.tokens = min(allowance, b.tokens+b.ratio) }

// tryWithdraw reports whether the bucket covers one more retry, and takes the token for it if so.
func (b *bucket) tryWithdraw(allowance float64) bool {
	b.tokens = min(allowance, b.tokens) // this node's share may have become smaller
	if b.tokens < 1-roundingSlack {
		return false
	}
	b.tokens--
	return true
}
