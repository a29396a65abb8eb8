// Package rendezvous assigns keys to nodes by rendezvous (highest random weight) hashing. Nodes that know the same
// set of names compute the same assignment without communicating.
package rendezvous

import (
	"hash/fnv"
	"sort"
)

// Hash returns a 64-bit hash of a string with a uniform distribution. The algorithm must never change, because
// nodes that run different releases must compute the same hash.
//
// Example: rendezvous.Hash("edge-1")
func Hash(s string) uint64 {
	fnvHash := fnv.New64a()
	fnvHash.Write([]byte(s))
	// FNV hashes of short strings are close together. The finalizer of MurmurHash3 distributes them evenly.
	hash := fnvHash.Sum64()
	hash ^= hash >> 33
	hash *= 0xff51afd7ed558ccd
	hash ^= hash >> 33
	hash *= 0xc4ceb9fe1a85ec53
	return hash ^ hash>>33
}

// Order returns names in descending order of their weights for a key (highest random weight hashing, Thaler and
// Ravishankar 1998). When a name is removed, only the keys that had this name first are assigned to another one.
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
