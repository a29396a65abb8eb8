package promptindex

import (
	"crypto/sha256"
	"strconv"

	"pebbleloom/internal/data/prefix"
)

// keyBufferSize is the size in bytes of the stack buffer in which PartKey puts together the text to hash. Only a
// longer text takes a heap allocation.
const keyBufferSize = 256

// PartKey returns the index key of a prompt part that is cached under a salt. The ID of a part identifies the complete
// prompt prefix up to and including the part; the salt stands for the isolation domain, the model and the version of
// the model's weights. The length of the salt is hashed too, so that two different pairs of salt and part ID never
// hash the same text.
//
// Example: key := promptindex.PartKey("1.2.m0", "5c1e07a2")
func PartKey(salt, part string) (key prefix.Key) {
	var buffer [keyBufferSize]byte
	text := strconv.AppendInt(buffer[:0], int64(len(salt)), 10)
	text = append(append(append(text, ' '), salt...), part...)
	sum := sha256.Sum256(text)
	copy(key[:], sum[:])
	return key
}

// StoreHealthKey returns the key that indicates the health of a store: a lookup of the key lists the store as the
// holder while the store responds to polls.
//
// Example: isUp := len(found[promptindex.StoreHealthKey("cartons")].GetHolders()) > 0
func StoreHealthKey(store string) prefix.Key { return PartKey("\x00up", store) }
