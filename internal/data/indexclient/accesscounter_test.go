package indexclient

import (
	"slices"
	"testing"
	"time"

	"pebbleloom/internal/data/prefix"
	"pebbleloom/internal/wire"
)

const (
	testHalfWindow = time.Minute
	testNode       = "catalogue/a"
)

func newTestCounter() *AccessCounter { return NewAccessCounter("edge/e", 1, testHalfWindow) }

// addAccess counts an access to a key that is assigned to testNode alone.
func addAccess(counter *AccessCounter, number int) {
	access := &wire.Access{Count: 1, Service: "llm", PresumedHolders: []string{"w"}}
	counter.Add(newKey(number), [2]string{testNode, testNode}, access)
}

func isAlwaysAssigned(prefix.Key) bool { return true }

// keysOf returns the numbers n below ten for which a batch contains an access to newKey(n).
func keysOf(batch *wire.CountRequest) (numbers []int) {
	for number := range 10 {
		key := newKey(number)
		if slices.ContainsFunc(batch.GetAccesses(), func(access *wire.Access) bool { return string(access.Key) == string(key[:]) }) {
			numbers = append(numbers, number)
		}
	}
	return numbers
}

func TestBatchKeepsItsNumberUntilAcknowledged(t *testing.T) {
	counter := newTestCounter()
	addAccess(counter, 1)
	first := counter.NextBatch(testNode, nil)
	if first.GetSequence() != 1 || !slices.Equal(keysOf(first), []int{1}) || first.Accesses[0].Count != 1 {
		t.Fatalf("NextBatch after one access: got %v, want sequence 1 with one access to key 1", first)
	}
	addAccess(counter, 2)
	if batch := counter.NextBatch(testNode, nil); batch != nil {
		t.Errorf("NextBatch while the first batch is being sent: got %v, want nil", batch)
	}
	counter.RecordFailure(testNode)
	if batch := counter.NextBatch(testNode, nil); batch != first || !slices.Equal(keysOf(batch), []int{1}) {
		t.Errorf("NextBatch after a failed call: got %v, want the first batch unchanged: %v", batch, first)
	}
	counter.Acknowledge(testNode, first, &wire.CountResponse{Sequence: 1}, isAlwaysAssigned)
	if batch := counter.NextBatch(testNode, nil); batch.GetSequence() != 2 || !slices.Equal(keysOf(batch), []int{2}) {
		t.Errorf("NextBatch after the acknowledgement of the first batch: got %v, want sequence 2 with an access to key 2", batch)
	}
}

func TestLoadsAreSentWithoutAccesses(t *testing.T) {
	counter := newTestCounter()
	addAccess(counter, 1)
	counter.Acknowledge(testNode, counter.NextBatch(testNode, nil), &wire.CountResponse{Sequence: 1}, isAlwaysAssigned)
	if batch := counter.NextBatch(testNode, &wire.WorkerLoads{}); batch != nil {
		t.Errorf("NextBatch with neither counted accesses nor loads of workers: got %v, want nil", batch)
	}
	loads := &wire.WorkerLoads{WorkerIndexes: []uint32{3}}
	if batch := counter.NextBatch(testNode, loads); batch.GetLoads() != loads || len(batch.Accesses) != 0 {
		t.Errorf("NextBatch with loads of workers but no counted accesses: got %v, want a batch with the loads %v and no accesses", batch, loads)
	}
}

// An index node stops serving while a batch to it is in flight. A late response to that batch must not acknowledge the
// next one, and sequence numbers continue.
func TestDroppedBatchIsNotAcknowledged(t *testing.T) {
	counter := newTestCounter()
	addAccess(counter, 1)
	dropped := counter.NextBatch(testNode, nil)
	counter.DropPending(testNode)
	addAccess(counter, 2)
	counter.Acknowledge(testNode, dropped, &wire.CountResponse{Sequence: 1, ResendWindow: true}, isAlwaysAssigned)
	next := counter.NextBatch(testNode, nil)
	if next.GetSequence() != 2 || !slices.Equal(keysOf(next), []int{2}) {
		t.Errorf("NextBatch after DropPending dropped a batch in flight: got %v, want sequence 2 with an access to key 2", next)
	}
}

// An index node that lost its state gets the accesses that are kept for resending again, without the workers presumed
// to cache the keys' parts. It doesn't get accesses to keys that aren't assigned to it, nor those older than two half
// windows (halves of the time for which accesses are kept).
func TestWindowIsSentAgain(t *testing.T) {
	counter := newTestCounter()
	now := time.Hour
	for number := 1; number <= 4; number++ {
		counter.RotateWindow(now)
		now += testHalfWindow + 1
		addAccess(counter, number)
	}
	isAssigned := func(key prefix.Key) bool { return key != newKey(4) }
	counter.Acknowledge(testNode, counter.NextBatch(testNode, nil), &wire.CountResponse{Sequence: 1, ResendWindow: true}, isAssigned)
	batch := counter.NextBatch(testNode, nil)
	if batch.GetSequence() != 2 || !slices.Equal(keysOf(batch), []int{3}) || len(batch.Accesses[0].PresumedHolders) != 0 {
		t.Errorf("batch resent to an index node that lost its state: got %v, want sequence 2 with an access to key 3 and no workers presumed to cache its part", batch)
	}
}
