// Package prefix computes the keys of entries in the prompt index. An entry represents the KV cache of the first
// parts of a prompt, in order, for one cache domain (the isolation boundary between tenants), one model and one
// version of its weights.
package prefix

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"strconv"
)

// Key identifies an entry. It is a hash that includes the cache domain, the model and the version of the weights,
// so that entries of different domains, models or versions can't be mistaken for each other.
type Key [16]byte

// Entry describes one prefix of a prompt, which consists of the prompt's first parts.
type Entry struct {
	Key              Key
	Tokens           int // estimated tokens of the prefix's last part alone
	CumulativeTokens int // estimated tokens of all parts of the prefix
}

// String returns the key in hexadecimal.
//
// Example: fmt.Println(e.Key.String())
func (k Key) String() string { return hex.EncodeToString(k[:]) }

// Parse decodes the hex form of a key; ok is false if s is not a valid key.
//
// Example: k, ok := prefix.Parse("0f…")
func Parse(s string) (k Key, ok bool) {
	b, err := hex.DecodeString(s)
	if err != nil || len(b) != len(k) {
		return k, false
	}
	copy(k[:], b)
	return k, true
}

// bytesPerToken is a rough average, which suffices because the estimates only rank prefixes by size.
const bytesPerToken = 4

// EstimateTokens estimates the number of tokens in a prompt part from its length in bytes.
//
// Example: prefix.EstimateTokens("una primera edición") == 5
func EstimateTokens(part string) int { return (len(part) + bytesPerToken - 1) / bytesPerToken }

// QualifiedModel returns the model name that is hashed into keys. It is different for each base model and for each
// build of an adapter on it, because they can't share KV caches. An empty adapter stands for the base model itself.
//
// Example: entries := prefix.Chain("shared", prefix.QualifiedModel("lector", "rare", 2), 3, parts)
func QualifiedModel(model, adapter string, build uint64) string {
	if adapter == "" {
		return model
	}
	return model + "\x00" + adapter + "\x00" + strconv.FormatUint(build, 10)
}

// Chain returns the entries of all prefixes of a prompt, the shortest first. Each key is derived from the hash of
// the previous prefix and the next part. The length of each string is hashed before the string itself, so that
// prompts with the same text but different part boundaries have different keys.
//
// Example: entries := prefix.Chain("shared", "lector", 3, parts)
func Chain(domain, model string, weights uint64, parts []string) []Entry {
	hash := sha256.New()
	var number [8]byte
	writeNumber := func(n uint64) {
		binary.LittleEndian.PutUint64(number[:], n)
		hash.Write(number[:])
	}
	writeText := func(text string) {
		writeNumber(uint64(len(text)))
		hash.Write([]byte(text))
	}
	writeText(domain)
	writeText(model)
	writeNumber(weights)
	sum := hash.Sum(nil)
	entries := make([]Entry, 0, len(parts))
	cumulative := 0
	for _, part := range parts {
		hash.Reset()
		hash.Write(sum)
		writeText(part)
		sum = hash.Sum(nil)
		entry := Entry{Tokens: EstimateTokens(part)}
		cumulative += entry.Tokens
		entry.CumulativeTokens = cumulative
		copy(entry.Key[:], sum)
		entries = append(entries, entry)
	}
	return entries
}
