package promptindex

import (
	"crypto/sha256"
	"strconv"

	"pebbleloom/internal/data/prefix"
)

// keyBuffer is the size in bytes of a salt and part that are hashed without an allocation.
const keyBuffer = 256

// PartKey is the key of one part as it is cached under a salt. A part's ID stands for the whole prefix up
// to it; the salt for isolation, model and version. The salt's length is hashed too, so that no two pairs
// have the same text.
//
// Example: key := promptindex.PartKey("1.2.m0", "5c1e07a2")
func PartKey(salt, part string) (key prefix.Key) {
	var buffer [keyBuffer]byte
	text := strconv.AppendInt(buffer[:0], int64(len(salt)), 10)
	text = append(append(append(text, ' '), salt...), part...)
	sum := sha256.Sum256(text)
	copy(key[:], sum[:])
	return key
}

// StoreHealthKey is the key that a store is a holder of for as long as it responds.
//
// Example: isUp := len(found[promptindex.StoreHealthKey("cartons")].GetHolders()) > 0
func StoreHealthKey(store string) prefix.Key { return PartKey("\x00up", store) }
