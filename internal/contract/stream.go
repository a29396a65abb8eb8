package contract

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
)

// MaxLineBytes bounds one line of a stream.
const MaxLineBytes = 64 << 10

// Chunk is one line of a response stream. The last one has the seal and the usage, and no text.
type Chunk struct {
	RequestID       string `json:"r"`
	Number          int    `json:"n"`
	Text            string `json:"t,omitempty"`
	Seal            string `json:"seal,omitempty"`
	Worker          string `json:"worker,omitempty"`
	Weights         uint64 `json:"weights,omitempty"`
	CachedTokens    int    `json:"hit,omitempty"` // of the prompt: found in the worker's own cache
	FetchedTokens   int    `json:"fetched,omitempty"`
	PrefilledTokens int    `json:"prefilled,omitempty"`
	FetchUs         int64  `json:"fetch_us,omitempty"`
	PrefillUs       int64  `json:"prefill_us,omitempty"`
	FetchAddr       string `json:"fetch_addr,omitempty"`
	Model           string `json:"model,omitempty"`   // which generated the response
	Adapter         string `json:"adapter,omitempty"` // on the model
	Build           uint64 `json:"build,omitempty"`   // of the adapter
}

// Seal is a chained checksum over the chunks of a stream: a reader can check that none is lost, repeated,
// reordered or of another stream.
type Seal struct{ sum [sha256.Size]byte }

// NewSeal starts the checksum of a request's stream from a worker.
//
// Example: seal := contract.NewSeal("req-1", "worker-3")
func NewSeal(requestID, worker string) *Seal {
	return &Seal{sha256.Sum256([]byte(requestID + "\x00" + worker))}
}

// Add adds the next chunk.
//
// Example: seal.Add(0, "La primera")
func (s *Seal) Add(number int, text string) {
	s.sum = sha256.Sum256(fmt.Appendf(s.sum[:], "%d\x00%s", number, text))
}

// Close returns the checksum over all chunks.
//
// Example: last.Seal = seal.Close()
func (s *Seal) Close() string { return hex.EncodeToString(s.sum[:]) }

// StreamVerifier checks a stream line by line.
type StreamVerifier struct {
	requestID string
	next      int // number of the next chunk
	seal      *Seal
	// Sealed is the last chunk, once it was received with the right seal.
	Sealed *Chunk
}

// NewStreamVerifier starts to check the stream of a request from a worker.
//
// Example: verifier := contract.NewStreamVerifier("req-1", "worker-3")
func NewStreamVerifier(requestID, worker string) *StreamVerifier {
	return &StreamVerifier{requestID: requestID, seal: NewSeal(requestID, worker)}
}

// Verify checks the next line. It returns what is wrong with the stream, or "".
//
// Example: if fault := verifier.Verify(line); fault != "" { abort(fault) }
func (v *StreamVerifier) Verify(line []byte) string {
	var chunk Chunk
	if err := json.Unmarshal(line, &chunk); err != nil {
		return "a line that isn't JSON"
	}
	switch {
	case v.Sealed != nil:
		return "a line after the seal"
	case chunk.RequestID != v.requestID:
		return "a piece of another answer"
	case chunk.Number != v.next:
		return fmt.Sprintf("piece %d where %d was due", chunk.Number, v.next)
	case chunk.Seal != "":
		if chunk.Seal != v.seal.Close() {
			return "a seal that doesn't fit the pieces"
		}
		v.Sealed = &chunk
	default:
		v.seal.Add(chunk.Number, chunk.Text)
		v.next++
	}
	return ""
}

// SyntheticText returns the text of a chunk of the response to a prompt, as simulated workers generate it
// and tests expect it.
//
// Example: text := contract.SyntheticText(lastKey, weights, 0)
func SyntheticText(key string, weights uint64, number int) string {
	sum := sha256.Sum256(fmt.Appendf(nil, "%s %d %d", key, weights, number))
	return hex.EncodeToString(sum[:12])
}
