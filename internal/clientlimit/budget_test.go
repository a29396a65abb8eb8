package clientlimit

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"pebbleloom/internal/clock"
	"pebbleloom/internal/errs"
)

const testLimit = 8 * smallRequestBytes

func requireReserved(t *testing.T, budget *Budget, want int64) {
	t.Helper()
	if got := budget.Reserved(); got != want {
		t.Errorf("reserved bytes: %d, want %d", got, want)
	}
}

func requireOverloaded(t *testing.T, err error) {
	t.Helper()
	if errs.KindOf(err) != errs.Overloaded || err == nil {
		t.Errorf("reservation over the limit: error %v, want kind %s", err, errs.Overloaded.Name)
	}
}

// All requests together may reserve the limit and no more. Released memory can be reserved again.
func TestReservationsStayWithinTheLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		budget := NewBudget(clock.Synctest(), testLimit)
		var requests []*Reservation
		for range testLimit / smallRequestBytes {
			request := budget.NewReservation(func() { t.Error("a request that isn't being read was aborted") })
			if err := request.Grow(smallRequestBytes); err != nil {
				t.Fatalf("reserve within the limit: %v", err)
			}
			requests = append(requests, request)
		}
		next := budget.NewReservation(nil)
		requireOverloaded(t, next.Grow(smallRequestBytes))
		requests[0].Release()
		if err := next.Grow(smallRequestBytes); err != nil {
			t.Errorf("reserve what was released: %v", err)
		}
		requests = append(requests, next)
		for _, request := range requests {
			request.Release()
		}
		requireReserved(t, budget, 0)
	})
}

// Large requests leave a part of the budget to small ones, and a length that can't be read is known before it is read.
func TestLargeRequestsLeaveMemoryForSmallOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		budget := NewBudget(clock.Synctest(), testLimit)
		large := budget.NewReservation(nil)
		if err := large.Grow(testLimit * bulkNumerator / bulkDenominator); err != nil {
			t.Fatalf("reserve the part for large requests: %v", err)
		}
		requireOverloaded(t, large.Grow(1))
		other := budget.NewReservation(nil)
		if other.Admits(smallRequestBytes + 1) {
			t.Error("a large body is admitted although the part for large requests is used up")
		}
		if !other.Admits(smallRequestBytes) {
			t.Error("a small body isn't admitted although memory for it is left")
		}
		if err := other.Grow(smallRequestBytes); err != nil {
			t.Errorf("reserve memory of a small request beside large ones: %v", err)
		}
		if refused := budget.Refused(); refused != 2 {
			t.Errorf("refused reservations: %d, want 2", refused)
		}
	})
}

// If memory is short, the request that has been read longest among those whose clients stall gives way. Those whose clients
// keep sending, and those that were read completely, don't.
func TestStalledRequestsAreAborted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		budget := NewBudget(clock.Synctest(), 4*smallRequestBytes)
		var aborted [4]atomic.Bool
		var requests [4]*Reservation
		for i := range requests {
			requests[i] = budget.NewReservation(func() {
				aborted[i].Store(true)
				go requests[i].Release()
			})
			requests[i].StartReading()
			if err := requests[i].Grow(smallRequestBytes); err != nil {
				t.Fatal(err)
			}
		}
		if !requests[0].FinishReading() {
			t.Error("a request that wasn't aborted can't finish")
		}
		time.Sleep(stallTime) // fake time of the synctest bubble
		requests[1].Received(minBytesPerSecond)
		next := budget.NewReservation(nil)
		if err := next.Grow(smallRequestBytes); err != nil {
			t.Errorf("reserve memory while clients stall: %v", err)
		}
		for i, want := range [4]bool{2: true} {
			if got := aborted[i].Load(); got != want {
				t.Errorf("request %d: aborted %t, want %t", i, got, want)
			}
		}
		if count := budget.Aborted(); count != 1 {
			t.Errorf("aborted requests: %d, want 1", count)
		}
	})
}

// An aborted request can't reserve more, and doesn't count as read. After its release the reservation is as new.
func TestAbortedRequestsEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		budget := NewBudget(clock.Synctest(), testLimit)
		stalled := budget.NewReservation(func() {})
		stalled.StartReading()
		if err := stalled.Grow(testLimit * bulkNumerator / bulkDenominator); err != nil {
			t.Fatal(err)
		}
		time.Sleep(stallTime)
		other := budget.NewReservation(nil)
		waited := time.Now()
		requireOverloaded(t, other.Grow(smallRequestBytes+1)) // the stalled request isn't released
		if duration := time.Since(waited); duration != stallTime {
			t.Errorf("waited %v for an aborted request, want %v", duration, stallTime)
		}
		requireOverloaded(t, stalled.Grow(1))
		if stalled.FinishReading() {
			t.Error("an aborted request was read completely")
		}
		stalled.Release()
		requireReserved(t, budget, 0)
		if err := stalled.Grow(1); err != nil || !stalled.FinishReading() {
			t.Errorf("next request of the connection: error %v", err)
		}
	})
}
