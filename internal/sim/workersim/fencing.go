package workersim

// maxLeases bounds the leases whose tokens a worker remembers.
const maxLeases = 64

// fencingTokens are the highest fencing tokens that a worker has received, by lease. Tokens of different leases
// can't be compared: a worker that the platform moves to another service gets its orders under that one's lease.
type fencingTokens map[string]uint64

// accept reports whether an order under a token of a lease may be executed, and remembers the token.
func (t fencingTokens) accept(lease string, token uint64) bool {
	highest, known := t[lease]
	if token < highest || !known && len(t) >= maxLeases {
		return false
	}
	t[lease] = token
	return true
}

// highest returns the highest token of all leases, which the worker's state shows.
func (t fencingTokens) highest() (highest uint64) {
	for _, token := range t {
		highest = max(highest, token)
	}
	return highest
}
