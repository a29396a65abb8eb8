// Package history records what operators and readers see of versioned documents, and checks the record
// for linearizability. Simulators and tests use it; no program of the product does.
//
// A document is modelled as a register with a version, compare-and-set by version, and reads. A change
// that is retried under its token is the same change: it takes effect once at the most.
package history

import "sync"

// Outcome is the answer that an operator got to one attempt at a change.
type Outcome int

// Outcomes of an attempt.
const (
	Unknown      Outcome = iota // no definite answer: it may take effect at any later time, or never
	Acknowledged                // it took effect
	Rejected                    // another version is current
	Invalid                     // the content is rejected, whatever the version
	NotExecuted                 // the node answered that this attempt was not executed
)

// String is the outcome in words, for messages.
//
// Example: Acknowledged.String() // "acknowledged"
func (o Outcome) String() string {
	return [...]string{"unknown", "acknowledged", "rejected", "invalid", "not executed"}[o]
}

// Change is a change that an operator wants to make. Attempts with the same token are the same change.
type Change struct {
	Key         string
	Token       string // empty: each attempt is a change by itself
	BaseVersion uint64 // the version that it builds on
	AnyVersion  bool   // it builds on whatever version is current
	NewVersion  uint64 // the version that it makes; 0: the next one
	Body        string // the content that it makes; empty: unknown, as of a patch
}

// observation is one attempt at a change, or one read. Its times count the calls and answers of a History.
type observation struct {
	change     *Change // nil: a read
	key        string
	calledAt   int64
	returnedAt int64
	outcome    Outcome
	version    uint64
	body       string
}

// History is a record of attempts and reads, in the order in which they were called and answered. It may
// be used by several goroutines. The zero value is an empty history.
type History struct {
	mu           sync.Mutex
	clock        int64 // counts calls and answers
	observations []*observation
}

// Attempt is an attempt at a change that isn't answered yet.
type Attempt struct {
	history     *History
	observation *observation
}

// Read is a read that isn't answered yet.
type Read struct {
	history     *History
	observation *observation
}

// BeginAttempt records that an attempt at a change is sent. Until it is answered its outcome is Unknown.
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

// Complete records how an attempt was answered, and the version that the answer named (0: none).
//
// Example: attempt.Complete(history.Acknowledged, 4)
func (a *Attempt) Complete(outcome Outcome, version uint64) {
	a.history.mu.Lock()
	defer a.history.mu.Unlock()
	a.history.clock++
	a.observation.returnedAt, a.observation.outcome, a.observation.version = a.history.clock, outcome, version
}

// BeginRead records that a read is sent. One that is never answered isn't part of the history.
//
// Example: read := h.BeginRead("plan")
func (h *History) BeginRead(key string) *Read {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.clock++
	return &Read{h, &observation{key: key, calledAt: h.clock}}
}

// Complete records what a read returned; version 0 with no body: there is no such document.
//
// Example: read.Complete(4, "x")
func (r *Read) Complete(version uint64, body string) {
	r.history.mu.Lock()
	defer r.history.mu.Unlock()
	r.history.clock++
	r.observation.returnedAt, r.observation.outcome, r.observation.version, r.observation.body = r.history.clock, Acknowledged, version, body
	r.history.observations = append(r.history.observations, r.observation)
}
