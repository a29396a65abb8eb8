package workersim

// maxLeases is the maximum number of leases for which a worker stores the highest fencing token.
const maxLeases = 64

// fencingTokens maps each lease to the highest fencing token that a worker has received under it. Tokens of different
// leases can't be compared: when the platform moves a worker to another service, its orders come under the lease of
// that service.
type fencingTokens map[string]uint64

// accept reports whether an order with a lease and fencing token may be executed, and stores the token if so.
func (t fencingTokens) accept(lease string, token uint64) bool {
	highest, known := t[lease]
	if token < highest || !known && len(t) >= maxLeases {
		return false
	}
	t[lease] = token
	return true
}

// highest returns the highest fencing token of all leases, which the worker reports in its state.
func (t fencingTokens) highest() (highest uint64) {
	for _, token := range t {
		highest = max(highest, token)
	}
	return highest
}
