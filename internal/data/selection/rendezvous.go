package selection

import (
	"encoding/binary"

	"pebbleloom/internal/data/prefix"
)

// rendezvousWeight returns the rendezvous hashing weight of a member for a prompt part. part is the hash of the
// part's key, and member the hash of a worker's ID or a store's name. The member with the highest weight is the
// home of the part, so that adding or removing a member changes only the home of parts whose home it is.
func rendezvousWeight(part, member uint64) uint64 { return mix(part ^ member) }

// keyHash returns the first 8 bytes of a prompt index key as its hash; such keys are themselves hashes.
func keyHash(key prefix.Key) uint64 { return binary.BigEndian.Uint64(key[:]) }

// mix returns a hash of x in which each bit depends on all bits of x. Source: the 64-bit finalizer of
// MurmurHash3.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
