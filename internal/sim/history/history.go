// Package history records what operators and readers saw of versioned documents, and judges it
// for linearizability. Simulators and tests use it; no product code does.
package history

import "sync"

// Outcome is what an operator was told of one attempt at an order.
type Outcome int

// Outcomes of an attempt.
const (
	Unknown      Outcome = iota // no clear answer: it may take effect at any later time, or never
	Acknowledged                // it was acknowledged
	Rejected                    // another version is current
	Invalid                     // the content is refused, whatever the version
	NotExecuted                 // the node said that this attempt never ran
)

// Change is a change that an operator wants. Attempts with the same token are the same order.
type Change struct {
	Key         string
	Token       string // empty: each attempt is an order by itself
	BaseVersion uint64 // the version that it builds on
	AnyVersion  bool   // it builds on whatever is current
	NewVersion  uint64 // the version that it brings; 0: the next one
	Body        string // empty: what it leads to isn't known beforehand
}

// observation is one attempt at an order, or one read.
type observation struct {
	change     *Change // nil: a read
	key        string
	calledAt   int64
	returnedAt int64
	outcome    Outcome
	version    uint64
	body       string
}

// History is a record of attempts and reads in the order in which they began and were answered.
type History struct {
	mu           sync.Mutex
	clock        int64 // counts beginnings and answers
	observations []*observation
}

// Attempt is an order under way.
type Attempt struct {
	history     *History
	observation *observation
}

// Read is a read under way.
type Read struct {
	history     *History
	observation *observation
}

// BeginAttempt notes that an attempt at an order begins. Until it is answered its outcome is unknown.
//
// Example: a := h.Send(history.Change{Key: "plan", Token: "t1", Base: 3, Number: 4, Body: "x"})
func (h *History) BeginAttempt(o Change) *Attempt {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.clock++
	x := &observation{change: &o, key: o.Key, calledAt: h.clock}
	h.observations = append(h.observations, x)
	return &Attempt{h, x}
}

// Complete notes how an attempt was answered, and the version that the answer named (0: none).
//
// Example: a.Answer(history.Acknowledged, 4)
func (a *Attempt) Complete(o Outcome, version uint64) {
	a.history.mu.Lock()
	defer a.history.mu.Unlock()
	a.history.clock++
	a.observation.returnedAt, a.observation.outcome, a.observation.version = a.history.clock, o, version
}

// BeginRead notes that a read begins. One that is never answered counts for nothing.
//
// Example: q := h.Ask("plan")
func (h *History) BeginRead(key string) *Read {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.clock++
	return &Read{h, &observation{key: key, calledAt: h.clock}}
}

// Complete notes what a read gave; version 0 with no body: there is no such document.
//
// Example: q.Value(4, "x")
func (q *Read) Complete(version uint64, body string) {
	q.history.mu.Lock()
	defer q.history.mu.Unlock()
	q.history.clock++
	q.observation.returnedAt, q.observation.outcome, q.observation.version, q.observation.body = q.history.clock, Acknowledged, version, body
	q.history.observations = append(q.history.observations, q.observation)
}
