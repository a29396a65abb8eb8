package contract

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
)

// MaxLineBytes is the maximum length in bytes of one line of a response stream.
const MaxLineBytes = 64 << 10

// Chunk is one line of a response stream. The last line has no text; it carries the checksum over the stream
// (Seal) and the usage figures.
type Chunk struct {
	RequestID       string `json:"r"`
	Number          int    `json:"n"`
	Text            string `json:"t,omitempty"`
	Seal            string `json:"seal,omitempty"`
	Worker          string `json:"worker,omitempty"`
	Weights         uint64 `json:"weights,omitempty"`
	CachedTokens    int    `json:"hit,omitempty"` // prompt tokens that were found in the worker's own cache
	FetchedTokens   int    `json:"fetched,omitempty"`
	PrefilledTokens int    `json:"prefilled,omitempty"`
	FetchUs         int64  `json:"fetch_us,omitempty"`
	PrefillUs       int64  `json:"prefill_us,omitempty"`
	FetchAddr       string `json:"fetch_addr,omitempty"`
	Model           string `json:"model,omitempty"`   // base model that generated the response
	Adapter         string `json:"adapter,omitempty"` // adapter on the base model; empty: none
	Build           uint64 `json:"build,omitempty"`   // build number of the adapter
}

// Seal computes a chained checksum over the chunks of a response stream. It lets a reader detect chunks that
// were lost, repeated, reordered or taken from another stream.
type Seal struct{ sum [sha256.Size]byte }

// NewSeal starts the checksum of the response stream from a worker to a request.
//
// Example: seal := contract.NewSeal("req-1", "worker-3")
func NewSeal(requestID, worker string) *Seal {
	return &Seal{sha256.Sum256([]byte(requestID + "\x00" + worker))}
}

// Add adds the number and the text of the next chunk to the checksum.
//
// Example: seal.Add(0, "La primera")
func (s *Seal) Add(number int, text string) {
	s.sum = sha256.Sum256(fmt.Appendf(s.sum[:], "%d\x00%s", number, text))
}

// Close returns the checksum over all chunks that were added, in hexadecimal.
//
// Example: last.Seal = seal.Close()
func (s *Seal) Close() string { return hex.EncodeToString(s.sum[:]) }

// StreamVerifier checks a response stream line by line: request id, chunk numbers and final checksum.
type StreamVerifier struct {
	requestID string
	next      int // number that the next chunk must have
	seal      *Seal
	// Sealed is the last chunk, set once it was received with the correct checksum.
	Sealed *Chunk
}

// NewStreamVerifier returns a verifier for the response stream from a worker to a request.
//
// Example: verifier := contract.NewStreamVerifier("req-1", "worker-3")
func NewStreamVerifier(requestID, worker string) *StreamVerifier {
	return &StreamVerifier{requestID: requestID, seal: NewSeal(requestID, worker)}
}

// Verify checks the next line of the stream. It returns a description of the first fault in it, or "".
//
// Example: if fault := verifier.Verify(line); fault != "" { abort(fault) }
func (v *StreamVerifier) Verify(line []byte) string {
	var chunk Chunk
	if err := json.Unmarshal(line, &chunk); err != nil {
		return fmt.Sprintf("response stream: line of %d bytes is not a JSON chunk: %v", len(line), err)
	}
	switch {
	case v.Sealed != nil:
		return "response stream: a line follows the last chunk, which has the checksum"
	case chunk.RequestID != v.requestID:
		return fmt.Sprintf("response stream: chunk belongs to another request, want request %q", v.requestID)
	case chunk.Number != v.next:
		return fmt.Sprintf("response stream: chunk number %d, want %d", chunk.Number, v.next)
	case chunk.Seal != "":
		if chunk.Seal != v.seal.Close() {
			return "response stream: checksum (seal) of the last chunk does not match the received chunks"
		}
		v.Sealed = &chunk
	default:
		v.seal.Add(chunk.Number, chunk.Text)
		v.next++
	}
	return ""
}

// SyntheticText returns the text of the chunk with the given number in a simulated worker's response. It depends
// only on the key of the prompt's last prefix, the version of the weights and the number, so tests can predict it.
//
// Example: text := contract.SyntheticText(lastKey, weights, 0)
func SyntheticText(key string, weights uint64, number int) string {
	sum := sha256.Sum256(fmt.Appendf(nil, "%s %d %d", key, weights, number))
	return hex.EncodeToString(sum[:12])
}
