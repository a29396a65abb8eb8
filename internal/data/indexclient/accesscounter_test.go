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

// addAccess counts an access to a key that is assigned to the test's node alone.
func addAccess(counter *AccessCounter, number int) {
	access := &wire.Access{Count: 1, Service: "llm", PresumedHolders: []string{"w"}}
	counter.Add(newKey(number), [2]string{testNode, testNode}, access)
}

func anyKey(prefix.Key) bool { return true }

// keysOf lists the numbers of a batch's keys, of those below ten.
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
		t.Fatalf("first batch: %v", first)
	}
	addAccess(counter, 2)
	if batch := counter.NextBatch(testNode, nil); batch != nil {
		t.Errorf("a batch while another is being sent: %v", batch)
	}
	counter.RecordFailure(testNode)
	if batch := counter.NextBatch(testNode, nil); batch != first || !slices.Equal(keysOf(batch), []int{1}) {
		t.Errorf("after a failure: %v", batch)
	}
	counter.Acknowledge(testNode, first, &wire.CountResponse{Sequence: 1}, anyKey)
	if batch := counter.NextBatch(testNode, nil); batch.GetSequence() != 2 || !slices.Equal(keysOf(batch), []int{2}) {
		t.Errorf("after the acknowledgement: %v", batch)
	}
}

func TestLoadsAreSentWithoutAccesses(t *testing.T) {
	counter := newTestCounter()
	addAccess(counter, 1)
	counter.Acknowledge(testNode, counter.NextBatch(testNode, nil), &wire.CountResponse{Sequence: 1}, anyKey)
	if batch := counter.NextBatch(testNode, &wire.WorkerLoads{}); batch != nil {
		t.Errorf("a batch without accesses and loads: %v", batch)
	}
	loads := &wire.WorkerLoads{WorkerIndexes: []uint32{3}}
	if batch := counter.NextBatch(testNode, loads); batch.GetLoads() != loads || len(batch.Accesses) != 0 {
		t.Errorf("loads alone: %v", batch)
	}
}

// A node stops serving while a batch is in flight: a late response to that batch doesn't acknowledge the
// next one, and the numbers continue.
func TestDroppedBatchIsNotAcknowledged(t *testing.T) {
	counter := newTestCounter()
	addAccess(counter, 1)
	dropped := counter.NextBatch(testNode, nil)
	counter.DropPending(testNode)
	addAccess(counter, 2)
	counter.Acknowledge(testNode, dropped, &wire.CountResponse{Sequence: 1, ResendWindow: true}, anyKey)
	next := counter.NextBatch(testNode, nil)
	if next.GetSequence() != 2 || !slices.Equal(keysOf(next), []int{2}) {
		t.Errorf("next batch: %v", next)
	}
}

// A node that lost its memory gets the accesses of two half windows again, but for keys that aren't assigned
// to it, and without presumed holders.
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
		t.Errorf("the window: %v", batch)
	}
}
