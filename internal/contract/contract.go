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
	FetchFrom = "X-Kv-Fetch-From" // "index=address,…": where the worker may read each missing prefix
	SaveTo    = "X-Kv-Save-To"    // "address,…": whom the worker hands the prompt's prefixes to
	SaveUpto  = "X-Kv-Save-Upto"  // how many of the prompt's parts are worth saving
	FenceHead = "X-Fence"
)

// MaxLine bounds one line of a stream.
const MaxLine = 64 << 10

// Start is one go at a request.
type Start struct {
	RequestID string   `json:"request_id"`
	Tenant    string   `json:"tenant"`
	Domain    string   `json:"domain"`
	Model     string   `json:"model"`
	Weights   uint64   `json:"weights"`
	Parts     []string `json:"parts"`
	Pieces    int      `json:"pieces"`
	WaitMs    int      `json:"wait_ms"`
	Once      bool     `json:"once"`
	Adapter   string   `json:"adapter,omitempty"` // on the model; empty: the model alone
	Build     uint64   `json:"build,omitempty"`   // of the adapter
	// It may begin as long as this life's own clock is before this; zero: while it may wait.
	Incarnation string `json:"incarnation,omitempty"`
	BeginByUs   int64  `json:"begin_by_us,omitempty"`
}

// Late says why a start may not begin now in the life of a worker whose clock stands there,
// or "". A worker asks right before it begins.
//
// Example: if why := s.Late(myLife, clk.Now()); why != "" { deny(409, why) }
func (s *Start) Late(incarnation string, now time.Duration) string {
	switch {
	case s.Incarnation != "" && s.Incarnation != incarnation:
		return "incarnation"
	case s.BeginByUs > 0 && now.Microseconds() >= s.BeginByUs:
		return "late"
	}
	return ""
}

// Piece is one line of a stream. The last one carries the seal.
type Piece struct {
	R         string `json:"r"`
	N         int    `json:"n"`
	T         string `json:"t,omitempty"`
	Seal      string `json:"seal,omitempty"`
	Worker    string `json:"worker,omitempty"`
	Weights   uint64 `json:"weights,omitempty"`
	Hit       int    `json:"hit,omitempty"`
	Fetched   int    `json:"fetched,omitempty"`
	Prefilled int    `json:"prefilled,omitempty"`
	FetchUs   int64  `json:"fetch_us,omitempty"`
	PrefillUs int64  `json:"prefill_us,omitempty"`
	FetchAddr string `json:"fetch_addr,omitempty"`
	Model     string `json:"model,omitempty"`   // what answered, with the seal
	Adapter   string `json:"adapter,omitempty"` // and the adapter on it
	Build     uint64 `json:"build,omitempty"`
}

// Rejection is a worker's proof that a go never started. One without the request's id proves it only on a
// connection that served no other request: a surplus answer may stand in the slot of the next.
type Rejection struct {
	RequestID string `json:"request_id,omitempty"`
	NotRun    bool   `json:"not_run"`
	Reason    string `json:"reason"` // weights, draining, full, model, adapter, late, incarnation, bad; of an order: fence, stale, room, busy
	Fence     uint64 `json:"fence,omitempty"`
}

// State is what a worker says of itself.
type State struct {
	Name        string   `json:"name"`
	Incarnation string   `json:"incarnation"`
	Service     string   `json:"service"`
	Model       string   `json:"model"`
	Zone        string   `json:"district"`
	Weights     uint64   `json:"weights"`
	Slots       int      `json:"slots"`
	Busy        int      `json:"busy"`
	Queued      int      `json:"queued"`
	Draining    bool     `json:"draining"`
	Fence       uint64   `json:"fence"`
	ClockUs     int64    `json:"clock_us"` // a clock of its machine that counts sleep and never jumps
	KvTokens    int      `json:"kv_tokens"`
	KvRoom      int      `json:"kv_room"`
	Loaded      []Loaded `json:"loaded,omitempty"`  // none: the model and weights above are all it has
	Loading     string   `json:"loading,omitempty"` // what it is loading now
	Room        int      `json:"room,omitempty"`    // its memory for weights in MB; 0: it doesn't say
	Free        int      `json:"free,omitempty"`    // what is left of it
}

// Loaded is a base model that a worker has in memory, with the adapters on it.
type Loaded struct {
	Model    string            `json:"model"`
	Weights  uint64            `json:"weights"`
	Adapters map[string]uint64 `json:"adapters,omitempty"` // name -> build
	Busy     int               `json:"busy,omitempty"`     // requests that run or wait under it
}

// Holds is what a worker has in memory, also where it tells of one model alone.
//
// Example: for _, l := range s.Holds() { fmt.Println(l.Model) }
func (s State) Holds() []Loaded {
	if len(s.Loaded) > 0 || s.Model == "" {
		return s.Loaded
	}
	return []Loaded{{Model: s.Model, Weights: s.Weights, Busy: s.Busy + s.Queued}}
}

// Kept is one prefix that a worker holds.
type Kept struct {
	Key    string `json:"k"`
	Tokens int    `json:"n"`
}

// Report is one numbered change of what a worker keeps.
type Report struct {
	Number uint64   `json:"number"`
	Added  []Kept   `json:"added,omitempty"`
	Gone   []string `json:"gone,omitempty"`
}

// Reports is the answer to "what came after number N"; Whole when all was asked for.
type Reports struct {
	Incarnation string   `json:"incarnation"`
	Number      uint64   `json:"number"`
	Whole       bool     `json:"whole"`
	Held        []Kept   `json:"held,omitempty"`
	List        []Report `json:"list,omitempty"`
}

// Order is a command to a worker; it carries the lease's fence.
type Order struct {
	Fence   uint64 `json:"fence"`
	Holder  string `json:"holder,omitempty"` // who holds the lease; for whoever looks into it later
	Kind    string `json:"kind"`             // weights, load, unload
	Weights uint64 `json:"weights,omitempty"`
	// Of load and unload: a base model, or an adapter on it. An order for another life, or one that was
	// thought out before one that was obeyed already (plan, step), is denied.
	Model       string `json:"model,omitempty"`
	Adapter     string `json:"adapter,omitempty"`
	Build       uint64 `json:"build,omitempty"`
	Room        int    `json:"room,omitempty"`
	Incarnation string `json:"incarnation,omitempty"`
	Plan        string `json:"plan,omitempty"`
	Step        uint64 `json:"step,omitempty"`
}

// Listed is one back end in the platform's list.
type Listed struct {
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

// Check follows a stream line by line.
type Check struct {
	id   string
	next int
	seal *Seal
	Last *Piece // the sealed line, once it came and fits
}

// NewCheck begins to check the stream of a request from a worker.
//
// Example: c := contract.NewCheck("req-1", "cab-3")
func NewCheck(requestID, worker string) *Check {
	return &Check{id: requestID, seal: NewSeal(requestID, worker)}
}

// Line takes the next line; what it says is wrong with the stream, or "".
//
// Example: if w := c.Line(raw); w != "" { abort(w) }
func (c *Check) Line(raw []byte) string {
	var p Piece
	if err := json.Unmarshal(raw, &p); err != nil {
		return "a line that isn't JSON"
	}
	switch {
	case c.Last != nil:
		return "a line after the seal"
	case p.R != c.id:
		return "a piece of another answer"
	case p.N != c.next:
		return fmt.Sprintf("piece %d where %d was due", p.N, c.next)
	case p.Seal != "":
		if p.Seal != c.seal.Close() {
			return "a seal that doesn't fit the pieces"
		}
		c.Last = &p
	default:
		c.seal.Add(p.N, p.T)
		c.next++
	}
	return ""
}

// Text is piece n of the answer to a prompt: the stand-in's model, known to those who check.
//
// Example: contract.Text(lastKey, 3, 0)
func Text(key string, weights uint64, n int) string {
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
