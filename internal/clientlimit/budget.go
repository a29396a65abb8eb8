package clientlimit

import (
	"container/list"
	"sync"
	"sync/atomic"
	"time"

	"pebbleloom/internal/clock"
	"pebbleloom/internal/errs"
)

// Constants of a Budget.
const (
	// bulkNumerator and bulkDenominator give the part of the budget that requests may take beyond their first
	// smallRequestBytes. The rest stays free for small requests, so that large ones can't displace all others.
	bulkNumerator     = 7
	bulkDenominator   = 8
	smallRequestBytes = 96 << 10

	// A client whose request is being read stalls if it has sent nothing for stallTime, or less than minBytesPerSecond on
	// average since it last kept up. Stalled requests give way if the budget is used up.
	stallTime         = time.Second
	minBytesPerSecond = 64 << 10
)

// Budget is the memory that the requests of all clients may take together. Each request reserves what it is going to take
// before that is read from its connection. If the budget is used up, requests whose clients stall are aborted, longest
// stalled first; if there are none, the reservation fails. Budget is safe for concurrent use.
type Budget struct {
	clock   clock.Clock
	refused atomic.Int64 // number of reservations that failed
	aborted atomic.Int64 // number of requests that were aborted because their clients stalled

	mu       sync.Mutex
	changed  *sync.Cond // broadcast when memory is released or a request is aborted
	limit    int64      // bytes that may be reserved
	reserved int64      // bytes that are reserved
	aborting int64      // part of reserved that belongs to aborted requests and is about to be released
	reading  list.List  // *Reservation of each request that is being read, longest read first
}

// NewBudget returns a budget of a number of bytes.
//
// Example: budget := clientlimit.NewBudget(process.Clock, memoryLimit/3)
func NewBudget(processClock clock.Clock, limit int64) *Budget {
	b := &Budget{clock: processClock, limit: limit}
	b.changed = sync.NewCond(&b.mu)
	return b
}

// BudgetFor returns the limit of a budget in which a number of requests with bodies of a size fit at the same time, if
// TrackBodies serves them.
//
// Example: budget := clientlimit.NewBudget(process.Clock, clientlimit.BudgetFor(256, 512<<10))
func BudgetFor(requests int, bodyBytes int64) int64 {
	return int64(requests) * bodyBytes * bodyByteCost / bulkNumerator * bulkDenominator
}

// SetLimit changes the number of bytes that may be reserved. Reservations above a lowered limit stay until their release.
//
// Example: budget.SetLimit(16 << 20)
func (b *Budget) SetLimit(limit int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limit = limit
}

// Reserved returns the number of bytes that are reserved.
//
// Example: meter.Gauge(name, help, func() float64 { return float64(budget.Reserved()) })
func (b *Budget) Reserved() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.reserved
}

// Refused returns how often a reservation has failed.
//
// Example: meter.Counter(name, help, func() float64 { return float64(budget.Refused()) })
func (b *Budget) Refused() int64 { return b.refused.Load() }

// Aborted returns how many requests were aborted because their clients stalled while the budget was used up.
//
// Example: meter.Counter(name, help, func() float64 { return float64(budget.Aborted()) })
func (b *Budget) Aborted() int64 { return b.aborted.Load() }

// Reservation is the memory that one request has reserved. Its methods are safe for concurrent use.
type Reservation struct {
	budget *Budget
	abort  func() // ends the reading of the request; it must not block

	// The fields below are guarded by budget.mu.
	bytes       int64
	position    *list.Element // position in budget.reading; nil if the request isn't being read
	keepsUpTill time.Duration // time from which on the client stalls, unless it sends more
	aborted     bool
}

// NewReservation returns an empty reservation. The budget calls abort if the request is to give way to others; its reading
// then has to fail soon, and Release to be called.
//
// Example: reservation := budget.NewReservation(conn.abort)
func (b *Budget) NewReservation(abort func()) *Reservation {
	return &Reservation{budget: b, abort: abort}
}

// StartReading marks the request as being read. From then on it may be aborted while its client stalls.
//
// Example: reservation.StartReading()
func (r *Reservation) StartReading() {
	b := r.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if r.position == nil {
		r.position = b.reading.PushBack(r)
	}
	r.keepsUpTill = b.clock.Now() + stallTime
}

// Received records that bytes of the request have come.
//
// Example: reservation.Received(n)
func (r *Reservation) Received(bytes int) {
	b := r.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	gained := time.Duration(bytes) * time.Second / minBytesPerSecond
	r.keepsUpTill = min(r.keepsUpTill+gained, b.clock.Now()+stallTime)
}

// FinishReading marks the request as read completely. It isn't aborted any more. If it was aborted before, the result is
// false.
//
// Example: if !reservation.FinishReading() { return errAborted }
func (r *Reservation) FinishReading() bool {
	b := r.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	r.stopReading()
	return !r.aborted
}

// stopReading removes the request from those that are being read. Budget.mu must be locked.
func (r *Reservation) stopReading() {
	if r.position != nil {
		r.budget.reading.Remove(r.position)
		r.position = nil
	}
}

// Grow reserves further bytes. It waits, for at most stallTime, while other requests that were aborted for it end. If there is
// no memory, or the request was aborted itself, the result is an error of kind errs.Overloaded.
//
// Example: if err := reservation.Grow(segmentBytes); err != nil { return err }
func (r *Reservation) Grow(bytes int64) error {
	b := r.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	waitsTill := b.clock.Now() + stallTime
	for !r.aborted && b.reserved+bytes > b.limitFor(r, bytes) {
		if !b.abortStalled(r, bytes, waitsTill) {
			b.refused.Add(1)
			return errs.New(errs.Overloaded, "reserve %d bytes for a request: %d of %d bytes are reserved", bytes, b.reserved, b.limit)
		}
	}
	if r.aborted {
		return errs.New(errs.Overloaded, "the request was aborted because its client stalled while memory was short")
	}
	b.reserved += bytes
	r.bytes += bytes
	return nil
}

// Admits reports whether a request with a body of this length could be read at present, if it came at once. It reserves
// nothing.
//
// Example: if !reservation.Admits(request.ContentLength) { reject() }
func (r *Reservation) Admits(length int64) bool {
	b := r.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.reserved-b.aborting+length <= b.limitFor(r, length) || b.stalled(r) != nil {
		return true
	}
	b.refused.Add(1)
	return false
}

// Release returns all memory of the request to the budget and ends its reading. The reservation can be used again for the
// next request.
//
// Example: defer reservation.Release()
func (r *Reservation) Release() {
	b := r.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	r.stopReading()
	b.reserved -= r.bytes
	if r.aborted {
		b.aborting -= r.bytes
	}
	r.bytes, r.aborted = 0, false
	b.changed.Broadcast()
}

// limitFor returns the limit on the reserved bytes of all requests if a request grows by a number of bytes.
func (b *Budget) limitFor(r *Reservation, bytes int64) int64 {
	if r.bytes+bytes > smallRequestBytes {
		return b.limit / bulkDenominator * bulkNumerator
	}
	return b.limit
}

// abortStalled aborts one stalled request if the memory of those aborted before isn't enough; else it waits for a change. It
// returns false if nothing can be aborted, or the time to wait is over.
func (b *Budget) abortStalled(r *Reservation, bytes int64, waitsTill time.Duration) bool {
	if b.reserved-b.aborting+bytes <= b.limitFor(r, bytes) {
		return b.wait(waitsTill)
	}
	victim := b.stalled(r)
	if victim == nil {
		return false
	}
	victim.aborted = true
	b.aborting += victim.bytes
	b.aborted.Add(1)
	b.changed.Broadcast()
	b.mu.Unlock()
	victim.abort()
	b.mu.Lock()
	return true
}

// wait waits until memory is released or a request is aborted. It returns false if the given time has come.
func (b *Budget) wait(till time.Duration) bool {
	remaining := till - b.clock.Now()
	if remaining <= 0 {
		return false
	}
	timer := time.AfterFunc(remaining, b.changed.Broadcast)
	defer timer.Stop()
	b.changed.Wait()
	return true
}

// stalled returns the longest read request with reserved memory whose client stalls, other than the given one; nil if there
// is none.
func (b *Budget) stalled(other *Reservation) *Reservation {
	now := b.clock.Now()
	for position := b.reading.Front(); position != nil; position = position.Next() {
		candidate := position.Value.(*Reservation)
		if candidate != other && !candidate.aborted && candidate.bytes > 0 && now >= candidate.keepsUpTill {
			return candidate
		}
	}
	return nil
}
