// Package rendezvous assigns keys to nodes by highest random weight hashing, so that nodes that know the same names agree
// without talking to each other.
package rendezvous

import (
	"hash/fnv"
	"sort"
)

// Hash returns a hash of a string that is evenly distributed over 64 bits. Nodes of different releases must agree
// on it: it never changes.
//
// Example: rendezvous.Hash("edge-1")
func Hash(s string) uint64 {
	fnvHash := fnv.New64a()
	fnvHash.Write([]byte(s))
	// FNV leaves the hashes of short names close together: the finalizer of MurmurHash3 spreads them.
	hash := fnvHash.Sum64()
	hash ^= hash >> 33
	hash *= 0xff51afd7ed558ccd
	hash ^= hash >> 33
	hash *= 0xc4ceb9fe1a85ec53
	return hash ^ hash>>33
}

// Order returns names in the order of their weights for a key, the highest first (highest random weight hashing,
// Thaler and Ravishankar 1998): when a name is removed, only the keys that it was first for move.
//
// Example: rendezvous.Order("key", []string{"a", "b"})[0]
func Order(key string, names []string) []string {
	ordered := append([]string(nil), names...)
	weights := make(map[string]uint64, len(ordered))
	for _, name := range ordered {
		weights[name] = Hash(name + "\x00" + key)
	}
	sort.Slice(ordered, func(i, j int) bool {
		if weights[ordered[i]] != weights[ordered[j]] {
			return weights[ordered[i]] > weights[ordered[j]]
		}
		return ordered[i] < ordered[j]
	})
	return ordered
}
