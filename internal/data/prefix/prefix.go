// Package prefix names the entries of the index: the kept state of a prompt's opening
// parts, in order, under one wall domain, model and weights epoch.
package prefix

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"strconv"
)

// Key names one entry. Wall domain, model and weights epoch are hashed into it, so an
// entry of another wall or epoch can't be named by accident.
type Key [16]byte

// Entry is one prefix of a prompt.
type Entry struct {
	Key              Key
	Tokens           int // of the last part alone
	CumulativeTokens int // of all parts up to it
}

// String is the key in hex.
//
// Example: fmt.Println(e.Key.String())
func (k Key) String() string { return hex.EncodeToString(k[:]) }

// Parse reads a key in hex.
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

// EstimateTokens counts a part's tokens: about four bytes each.
//
// Example: prefix.Tokens("una primera edición") == 5
func EstimateTokens(part string) int { return (len(part) + 3) / 4 }

// QualifiedModel is the model's name in the keys: what one base or adapter, or another build of it, has
// made is nobody else's.
//
// Example: es := prefix.Chain("shared", prefix.Under("lector", "rare", 2), 3, parts)
func QualifiedModel(model, adapter string, build uint64) string {
	if adapter == "" {
		return model
	}
	return model + "\x00" + adapter + "\x00" + strconv.FormatUint(build, 10)
}

// Chain names every prefix of a prompt, the shortest first.
//
// Example: es := prefix.Chain("shared", "lector", 3, parts)
func Chain(domain, model string, weights uint64, parts []string) []Entry {
	h := sha256.New()
	var n [8]byte
	put := func(s string) {
		binary.LittleEndian.PutUint64(n[:], uint64(len(s)))
		h.Write(n[:])
		h.Write([]byte(s))
	}
	put(domain)
	put(model)
	binary.LittleEndian.PutUint64(n[:], weights)
	h.Write(n[:])
	sum := h.Sum(nil)
	es := make([]Entry, 0, len(parts))
	upto := 0
	for _, p := range parts {
		h.Reset()
		h.Write(sum)
		put(p)
		sum = h.Sum(nil)
		e := Entry{Tokens: EstimateTokens(p)}
		upto += e.Tokens
		e.CumulativeTokens = upto
		copy(e.Key[:], sum)
		es = append(es, e)
	}
	return es
}
