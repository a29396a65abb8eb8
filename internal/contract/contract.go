// Package contract is the one place that knows what back ends and pebbleloom have agreed
// on: how a go is started, streamed, sealed and refused, what a worker reports of the parts
// it keeps, and how it is ordered about. docs/contract.md says it in words.
package contract

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// The headers by which a placement takes effect.
const (
	FetchFrom   = "X-Kv-Fetch-From" // "index=address,…": where the worker may read each missing prefix
	SaveTo      = "X-Kv-Save-To"    // "address,…": whom the worker hands the prompt's prefixes to
	SaveUpTo    = "X-Kv-Save-Upto"  // how many of the prompt's parts are worth saving
	FenceHeader = "X-Fence"
)

// MaxLineBytes bounds one line of a stream.
const MaxLineBytes = 64 << 10

// StartRequest is one go at a request.
type StartRequest struct {
	RequestID   string   `json:"request_id"`
	Tenant      string   `json:"tenant"`
	CacheDomain string   `json:"domain"`
	Model       string   `json:"model"`
	Weights     uint64   `json:"weights"`
	Parts       []string `json:"parts"`
	Chunks      int      `json:"pieces"`
	WaitMs      int      `json:"wait_ms"`
	AtMostOnce  bool     `json:"once"`
	Adapter     string   `json:"adapter,omitempty"` // on the model; empty: the model alone
	Build       uint64   `json:"build,omitempty"`   // of the adapter
	// It may begin as long as this life's own clock is before this; zero: while it may wait.
	Incarnation string `json:"incarnation,omitempty"`
	BeginByUs   int64  `json:"begin_by_us,omitempty"`
}

// Refusal says why a start may not begin now in the life of a worker whose clock stands there,
// or "". A worker asks right before it begins.
//
// Example: if why := s.Late(myLife, clk.Now()); why != "" { deny(409, why) }
func (s *StartRequest) Refusal(incarnation string, now time.Duration) string {
	switch {
	case s.Incarnation != "" && s.Incarnation != incarnation:
		return "incarnation"
	case s.BeginByUs > 0 && now.Microseconds() >= s.BeginByUs:
		return "late"
	}
	return ""
}

// Chunk is one line of a stream. The last one carries the seal.
type Chunk struct {
	RequestID       string `json:"r"`
	Number          int    `json:"n"`
	Text            string `json:"t,omitempty"`
	Seal            string `json:"seal,omitempty"`
	Worker          string `json:"worker,omitempty"`
	Weights         uint64 `json:"weights,omitempty"`
	CachedTokens    int    `json:"hit,omitempty"`
	FetchedTokens   int    `json:"fetched,omitempty"`
	PrefilledTokens int    `json:"prefilled,omitempty"`
	FetchUs         int64  `json:"fetch_us,omitempty"`
	PrefillUs       int64  `json:"prefill_us,omitempty"`
	FetchAddr       string `json:"fetch_addr,omitempty"`
	Model           string `json:"model,omitempty"`   // what answered, with the seal
	Adapter         string `json:"adapter,omitempty"` // and the adapter on it
	Build           uint64 `json:"build,omitempty"`
}

// Rejection is a worker's proof that a go never started. One without the request's id proves it only on a
// connection that served no other request: a surplus answer may stand in the slot of the next.
type Rejection struct {
	RequestID    string `json:"request_id,omitempty"`
	NotExecuted  bool   `json:"not_run"`
	Reason       string `json:"reason"` // weights, draining, full, model, adapter, late, incarnation, bad; of an order: fence, stale, room, busy
	FencingToken uint64 `json:"fence,omitempty"`
}

// WorkerState is what a worker says of itself.
type WorkerState struct {
	Name               string        `json:"name"`
	Incarnation        string        `json:"incarnation"`
	Service            string        `json:"service"`
	Model              string        `json:"model"`
	Zone               string        `json:"district"`
	Weights            uint64        `json:"weights"`
	Slots              int           `json:"slots"`
	Busy               int           `json:"busy"`
	Queued             int           `json:"queued"`
	Draining           bool          `json:"draining"`
	FencingToken       uint64        `json:"fence"`
	ClockUs            int64         `json:"clock_us"` // a clock of its machine that counts sleep and never jumps
	KVTokens           int           `json:"kv_tokens"`
	KVCapacity         int           `json:"kv_room"`
	Loaded             []LoadedModel `json:"loaded,omitempty"`  // none: the model and weights above are all it has
	Loading            string        `json:"loading,omitempty"` // what it is loading now
	WeightMemoryMB     int           `json:"room,omitempty"`    // its memory for weights in MB; 0: it doesn't say
	FreeWeightMemoryMB int           `json:"free,omitempty"`    // what is left of it
}

// LoadedModel is a base model that a worker has in memory, with the adapters on it.
type LoadedModel struct {
	Model    string            `json:"model"`
	Weights  uint64            `json:"weights"`
	Adapters map[string]uint64 `json:"adapters,omitempty"` // name -> build
	Busy     int               `json:"busy,omitempty"`     // requests that run or wait under it
}

// LoadedModels is what a worker has in memory, also where it tells of one model alone.
//
// Example: for _, l := range s.Holds() { fmt.Println(l.Model) }
func (s WorkerState) LoadedModels() []LoadedModel {
	if len(s.Loaded) > 0 || s.Model == "" {
		return s.Loaded
	}
	return []LoadedModel{{Model: s.Model, Weights: s.Weights, Busy: s.Busy + s.Queued}}
}

// CachedPrefix is one prefix that a worker holds.
type CachedPrefix struct {
	Key    string `json:"k"`
	Tokens int    `json:"n"`
}

// CacheReport is one numbered change of what a worker keeps.
type CacheReport struct {
	Number  uint64         `json:"number"`
	Added   []CachedPrefix `json:"added,omitempty"`
	Removed []string       `json:"gone,omitempty"`
}

// CacheReports is the answer to "what came after number N"; Whole when all was asked for.
type CacheReports struct {
	Incarnation string         `json:"incarnation"`
	Number      uint64         `json:"number"`
	Complete    bool           `json:"whole"`
	Cached      []CachedPrefix `json:"held,omitempty"`
	Reports     []CacheReport  `json:"list,omitempty"`
}

// Order is a command to a worker; it carries the lease's fence.
type Order struct {
	FencingToken uint64 `json:"fence"`
	Holder       string `json:"holder,omitempty"` // who holds the lease; for whoever looks into it later
	Kind         string `json:"kind"`             // weights, load, unload
	Weights      uint64 `json:"weights,omitempty"`
	// Of load and unload: a base model, or an adapter on it. An order for another life, or one that was
	// thought out before one that was obeyed already (plan, step), is denied.
	Model          string `json:"model,omitempty"`
	Adapter        string `json:"adapter,omitempty"`
	Build          uint64 `json:"build,omitempty"`
	WeightMemoryMB int    `json:"room,omitempty"`
	Incarnation    string `json:"incarnation,omitempty"`
	Plan           string `json:"plan,omitempty"`
	Step           uint64 `json:"step,omitempty"`
}

// ListedWorker is one back end in the platform's list.
type ListedWorker struct {
	Name     string `json:"name"`
	Addr     string `json:"addr"`
	Kind     string `json:"kind"` // lm, app, store
	Service  string `json:"service"`
	Zone     string `json:"district"`
	Draining bool   `json:"draining"`
}

// Seal adds up a stream: whoever reads the pieces can check that none is lost, doubled,
// swapped or another's.
type Seal struct{ sum [32]byte }

// NewSeal begins a stream of one request under one worker.
//
// Example: s := contract.NewSeal("req-1", "cab-3")
func NewSeal(requestID, worker string) *Seal {
	return &Seal{sha256.Sum256([]byte(requestID + "\x00" + worker))}
}

// Add takes the next piece.
//
// Example: s.Add(0, "La primera")
func (s *Seal) Add(n int, text string) {
	s.sum = sha256.Sum256(fmt.Appendf(s.sum[:], "%d\x00%s", n, text))
}

// Close gives the seal over all pieces.
//
// Example: line.Seal = s.Close()
func (s *Seal) Close() string { return hex.EncodeToString(s.sum[:]) }

// StreamVerifier follows a stream line by line.
type StreamVerifier struct {
	requestID string
	next      int
	seal      *Seal
	Sealed    *Chunk // the sealed line, once it came and fits
}

// NewStreamVerifier begins to check the stream of a request from a worker.
//
// Example: c := contract.NewStreamVerifier("req-1", "cab-3")
func NewStreamVerifier(requestID, worker string) *StreamVerifier {
	return &StreamVerifier{requestID: requestID, seal: NewSeal(requestID, worker)}
}

// Verify takes the next line; what it says is wrong with the stream, or "".
//
// Example: if w := c.Line(raw); w != "" { abort(w) }
func (v *StreamVerifier) Verify(raw []byte) string {
	var p Chunk
	if err := json.Unmarshal(raw, &p); err != nil {
		return "a line that isn't JSON"
	}
	switch {
	case v.Sealed != nil:
		return "a line after the seal"
	case p.RequestID != v.requestID:
		return "a piece of another answer"
	case p.Number != v.next:
		return fmt.Sprintf("piece %d where %d was due", p.Number, v.next)
	case p.Seal != "":
		if p.Seal != v.seal.Close() {
			return "a seal that doesn't fit the pieces"
		}
		v.Sealed = &p
	default:
		v.seal.Add(p.Number, p.Text)
		v.next++
	}
	return ""
}

// SyntheticText is piece n of the answer to a prompt: the stand-in's model, known to those who check.
//
// Example: contract.Text(lastKey, 3, 0)
func SyntheticText(key string, weights uint64, n int) string {
	h := sha256.Sum256(fmt.Appendf(nil, "%s %d %d", key, weights, n))
	return hex.EncodeToString(h[:12])
}

// WriteJSON answers a call with JSON.
//
// Example: contract.WriteJSON(w, 200, state)
func WriteJSON(w http.ResponseWriter, code int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_ = json.NewEncoder(w).Encode(v) // a caller that hung up can't be told anything
}
