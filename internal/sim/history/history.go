// Package history records what operators and readers saw of versioned documents, and judges it
// for linearizability. Simulators and tests use it; no product code does.
package history

import "sync"

// Outcome is what an operator was told of one attempt at an order.
type Outcome int

// Outcomes of an attempt.
const (
	Unknown  Outcome = iota // no clear answer: it may take effect at any later time, or never
	Done                    // it was acknowledged
	Refused                 // another version is current
	Invalid                 // the content is refused, whatever the version
	NotTaken                // the node said that this attempt never ran
)

// Order is a change that an operator wants. Attempts with the same token are the same order.
type Order struct {
	Key        string
	Token      string // empty: each attempt is an order by itself
	Base       uint64 // the version that it builds on
	AnyVersion bool   // it builds on whatever is current
	Number     uint64 // the version that it brings; 0: the next one
	Body       string // empty: what it leads to isn't known beforehand
}

// observation is one attempt at an order, or one read.
type observation struct {
	order   *Order // nil: a read
	key     string
	call    int64
	answer  int64
	outcome Outcome
	version uint64
	body    string
}

// History is a record of attempts and reads in the order in which they began and were answered.
type History struct {
	mu    sync.Mutex
	clock int64 // counts beginnings and answers
	list  []*observation
}

// Attempt is an order under way.
type Attempt struct {
	h *History
	o *observation
}

// Query is a read under way.
type Query struct {
	h *History
	o *observation
}

// Send notes that an attempt at an order begins. Until it is answered its outcome is unknown.
//
// Example: a := h.Send(history.Order{Key: "plan", Token: "t1", Base: 3, Number: 4, Body: "x"})
func (h *History) Send(o Order) *Attempt {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.clock++
	x := &observation{order: &o, key: o.Key, call: h.clock}
	h.list = append(h.list, x)
	return &Attempt{h, x}
}

// Answer notes how an attempt was answered, and the version that the answer named (0: none).
//
// Example: a.Answer(history.Done, 4)
func (a *Attempt) Answer(o Outcome, version uint64) {
	a.h.mu.Lock()
	defer a.h.mu.Unlock()
	a.h.clock++
	a.o.answer, a.o.outcome, a.o.version = a.h.clock, o, version
}

// Ask notes that a read begins. One that is never answered counts for nothing.
//
// Example: q := h.Ask("plan")
func (h *History) Ask(key string) *Query {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.clock++
	return &Query{h, &observation{key: key, call: h.clock}}
}

// Value notes what a read gave; version 0 with no body: there is no such document.
//
// Example: q.Value(4, "x")
func (q *Query) Value(version uint64, body string) {
	q.h.mu.Lock()
	defer q.h.mu.Unlock()
	q.h.clock++
	q.o.answer, q.o.outcome, q.o.version, q.o.body = q.h.clock, Done, version, body
	q.h.list = append(q.h.list, q.o)
}
