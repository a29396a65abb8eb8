package promptindex

import (
	"slices"
	"testing"
	"time"

	"pebbleloom/internal/settings"
	"pebbleloom/internal/wire"
)

func newLoads(list uint64, worker, inFlight, pending, succeeded, failed uint32) *wire.WorkerLoads {
	return &wire.WorkerLoads{WorkerListHash: list, WorkerIndexes: []uint32{worker}, InFlight: []uint32{inFlight}, PendingPrefill: []uint32{pending}, Successes: []uint32{succeeded}, Failures: []uint32{failed}}
}

// newWarmAggregator makes one that has had reports for long enough to pass them on.
func newWarmAggregator(now time.Duration) *LoadAggregator {
	aggregator := NewLoadAggregator(settings.DefaultBounds())
	aggregator.Record("before", newLoads(0, 0, 0, 0, 0, 0), now-aggregator.bounds.Heal(reportLifetimeRatio))
	return aggregator
}

// An index node that has just started, or had no report for a while, doesn't have all reports yet.
func TestIncompleteLoadsAreNotPassedOn(t *testing.T) {
	b := settings.DefaultBounds()
	aggregator, now := NewLoadAggregator(b), time.Hour
	for i := range 3 {
		at := now + time.Duration(i)*b.Heal(reportLifetimeRatio)/2
		aggregator.Record("a", newLoads(1, 7, 1, 10, 8, 0), at)
		if x := aggregator.Others("c", 1, at); (x.Reporters > 0) != (i == 2) {
			t.Errorf("%d: %d reporters", i, x.Reporters)
		}
	}
	at := now + 3*b.Heal(reportLifetimeRatio)
	aggregator.Record("a", newLoads(1, 7, 1, 10, 8, 0), at)
	if x := aggregator.Others("c", 1, at); x.Reporters > 0 {
		t.Errorf("after a break: %d reporters", x.Reporters)
	}
}

func TestLoadsAreAddedUpOverOtherReporters(t *testing.T) {
	aggregator, now := newWarmAggregator(time.Hour), time.Hour
	aggregator.Record("a", newLoads(1, 7, 1, 10, 8, 0), now)
	aggregator.Record("a", newLoads(1, 7, 2, 20, 8, 0), now) // only the last report counts
	aggregator.Record("b", newLoads(1, 7, 3, 30, 0, 8), now)
	aggregator.Record("b2", newLoads(1, 4, 1, 0, 16, 0), now)
	aggregator.Record("c", newLoads(1, 7, 50, 50, 0, 0), now) // the requester itself
	aggregator.Record("d", newLoads(2, 7, 50, 50, 0, 0), now) // of another list
	total := aggregator.Others("c", 1, now)
	if total.Reporters != 3 || total.WorkerListHash != 1 || !slices.Equal(total.WorkerIndexes, []uint32{4, 7}) || !slices.Equal(total.InFlight, []uint32{1, 5}) ||
		!slices.Equal(total.PendingPrefill, []uint32{0, 50}) || !slices.Equal(total.Successes, []uint32{16, 8}) || !slices.Equal(total.Failures, []uint32{0, 8}) {
		t.Fatalf("reported %v", total)
	}
}

func TestOutdatedReportIsIgnored(t *testing.T) {
	b := settings.DefaultBounds()
	aggregator, now := newWarmAggregator(time.Hour), time.Hour
	aggregator.Record("a", newLoads(1, 7, 1, 10, 8, 0), now)
	if x := aggregator.Others("b", 1, now+b.Heal(reportLifetimeRatio)); x.Reporters != 1 {
		t.Fatalf("reported %v", x)
	}
	if x := aggregator.Others("b", 1, now+b.Heal(reportLifetimeRatio)+1); x.Reporters != 0 || len(x.WorkerIndexes) != 0 {
		t.Fatalf("reported %v", x)
	}
}

func TestInvalidReportIsIgnored(t *testing.T) {
	aggregator, now := NewLoadAggregator(settings.DefaultBounds()), time.Hour
	aggregator.Record("a", &wire.WorkerLoads{WorkerListHash: 1, WorkerIndexes: []uint32{1, 2}, InFlight: []uint32{1}}, now)
	aggregator.Record("b", nil, now)
	if x := aggregator.Others("c", 1, now); x.Reporters != 0 {
		t.Fatalf("reported %v", x)
	}
}

// However many reporters there are, the memory for them is bounded, and recent reports count.
func TestReportersAreBounded(t *testing.T) {
	b := settings.DefaultBounds()
	aggregator, now := NewLoadAggregator(b), time.Hour
	for i := range 3 * maxReporters {
		aggregator.Record("x"+string(rune(i)), newLoads(1, 0, 1, 0, 0, 0), now)
	}
	if len(aggregator.reports) > maxReporters {
		t.Fatalf("%d reports kept", len(aggregator.reports))
	}
	later := now + 3*b.Heal(reportLifetimeRatio)
	aggregator.Record("old", newLoads(1, 0, 1, 0, 0, 0), later-b.Heal(reportLifetimeRatio))
	aggregator.Record("new", newLoads(1, 0, 1, 0, 0, 0), later)
	if x := aggregator.Others("c", 1, later); x.Reporters != 2 {
		t.Fatalf("%d reporters", x.Reporters)
	}
}
