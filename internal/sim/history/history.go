// Package history records the operations of clients on versioned documents and checks the record for linearizability.
// Only simulators and tests use it.
//
// A document is modelled as a register with a version, compare-and-set by version, and reads. Attempts with the same
// idempotency token are retries of one change, which takes effect at most once.
package history

import "sync"

// Outcome is the result of one attempt at a change, as far as the client knows it.
type Outcome int

// Outcomes of an attempt at a change.
const (
	Unknown      Outcome = iota // no definite response: the change may take effect at any later time, or never
	Acknowledged                // the change took effect
	Rejected                    // not applied: the document has another version than the change's base
	Invalid                     // not applied: the content is invalid on any version
	NotExecuted                 // the server responded that it didn't execute this attempt; a retry may be applied
)

// String returns the outcome in words.
//
// Example: Acknowledged.String() // "acknowledged"
func (o Outcome) String() string {
	return [...]string{"unknown", "acknowledged", "rejected", "invalid", "not executed"}[o]
}

// Change is a change of a document that a client requests. Attempts with the same token are retries of one change.
type Change struct {
	Key         string
	Token       string // idempotency token; empty: each attempt is a separate change
	BaseVersion uint64 // version of the document that the change applies to
	AnyVersion  bool   // the change applies to any version; BaseVersion is ignored
	NewVersion  uint64 // version of the document after the change; 0: the current version plus one
	Body        string // content of the document after the change; empty: unknown, as with a patch
}

// observation is one attempt at a change, or one read. calledAt and returnedAt are readings of the logical clock of
// its History.
type observation struct {
	change     *Change // nil if the observation is a read
	key        string
	calledAt   int64
	returnedAt int64
	outcome    Outcome
	version    uint64
	body       string
}

// History records attempts at changes and reads, with the order of their calls and responses. It is safe for
// concurrent use. The zero value is an empty history.
type History struct {
	mu           sync.Mutex
	clock        int64 // logical clock: number of calls and responses so far
	observations []*observation
}

// Attempt is an attempt at a change that was sent; Complete records its response.
type Attempt struct {
	history     *History
	observation *observation
}

// Read is a read of a document that was sent; Complete records its response.
type Read struct {
	history     *History
	observation *observation
}

// BeginAttempt records that an attempt at a change is sent. Its outcome is Unknown until Complete is called.
//
// Example: attempt := h.BeginAttempt(history.Change{Key: "plan", Token: "t1", BaseVersion: 3, NewVersion: 4, Body: "x"})
func (h *History) BeginAttempt(change Change) *Attempt {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.clock++
	current := &observation{change: &change, key: change.Key, calledAt: h.clock}
	h.observations = append(h.observations, current)
	return &Attempt{h, current}
}

// Complete records the outcome of an attempt, and the document version in its response (0: the response has none).
//
// Example: attempt.Complete(history.Acknowledged, 4)
func (a *Attempt) Complete(outcome Outcome, version uint64) {
	a.history.mu.Lock()
	defer a.history.mu.Unlock()
	a.history.clock++
	a.observation.returnedAt, a.observation.outcome, a.observation.version = a.history.clock, outcome, version
}

// BeginRead records that a read of a document is sent. A read without a response isn't part of the history.
//
// Example: read := h.BeginRead("plan")
func (h *History) BeginRead(key string) *Read {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.clock++
	return &Read{h, &observation{key: key, calledAt: h.clock}}
}

// Complete records the version and content that a read returned; version 0 and an empty body mean that the document
// doesn't exist.
//
// Example: read.Complete(4, "x")
func (r *Read) Complete(version uint64, body string) {
	r.history.mu.Lock()
	defer r.history.mu.Unlock()
	r.history.clock++
	r.observation.returnedAt, r.observation.outcome, r.observation.version, r.observation.body = r.history.clock, Acknowledged, version, body
	r.history.observations = append(r.history.observations, r.observation)
}
