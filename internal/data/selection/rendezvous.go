package selection

import (
	"encoding/binary"

	"pebbleloom/internal/data/prefix"
)

// rendezvousWeight is the weight of a worker or store, by the hash of its name, for a part: the one with
// the greatest weight is the part's home. A member that joins or leaves moves no other member's parts.
func rendezvousWeight(part, member uint64) uint64 { return mix(part ^ member) }

// keyHash is a key's first bytes: keys are hashes already.
func keyHash(key prefix.Key) uint64 { return binary.BigEndian.Uint64(key[:]) }

// mix makes each bit of the result depend on all of x. Source: the 64-bit finalizer of MurmurHash3.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
