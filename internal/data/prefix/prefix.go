// Package prefix names the entries of the prompt index. An entry stands for the KV cache of a prompt's first
// parts, in order, under one cache domain (the isolation boundary between tenants), model and version of its
// weights.
package prefix

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"strconv"
)

// Key names one entry. Cache domain, model and version of the weights are hashed into it, so that an entry
// of another domain or version can't be named by accident.
type Key [16]byte

// Entry is one prefix of a prompt.
type Entry struct {
	Key              Key
	Tokens           int // of the last part alone
	CumulativeTokens int // of all parts up to the last
}

// String returns the key in hex.
//
// Example: fmt.Println(e.Key.String())
func (k Key) String() string { return hex.EncodeToString(k[:]) }

// Parse reads a key in hex; ok is false if the text isn't one.
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

// bytesPerToken is a rough average: the estimate only ranks prefixes by size.
const bytesPerToken = 4

// EstimateTokens estimates a part's tokens by its length.
//
// Example: prefix.EstimateTokens("una primera edición") == 5
func EstimateTokens(part string) int { return (len(part) + bytesPerToken - 1) / bytesPerToken }

// QualifiedModel returns the model's name in the keys. What one base model, or one build of an adapter on
// it, has computed is of no use to another; adapter "" is the base model itself.
//
// Example: entries := prefix.Chain("shared", prefix.QualifiedModel("lector", "rare", 2), 3, parts)
func QualifiedModel(model, adapter string, build uint64) string {
	if adapter == "" {
		return model
	}
	return model + "\x00" + adapter + "\x00" + strconv.FormatUint(build, 10)
}

// Chain returns the entries of all prefixes of a prompt, the shortest first. Each key is the hash of the key
// before it and one more part. Lengths are hashed before the texts, so that no two splits share a key.
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
