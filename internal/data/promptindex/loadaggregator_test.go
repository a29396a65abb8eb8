package promptindex

import (
	"slices"
	"testing"
	"time"

	"pebbleloom/internal/settings"
	"pebbleloom/internal/wire"
)

// newLoads returns a proxy's report of the load of one worker, which is given by its index in the worker list with the
// hash list.
func newLoads(list uint64, worker, inFlight, pending, succeeded, failed uint32) *wire.WorkerLoads {
	return &wire.WorkerLoads{WorkerListHash: list, WorkerIndexes: []uint32{worker}, InFlight: []uint32{inFlight}, PendingPrefill: []uint32{pending}, Successes: []uint32{succeeded}, Failures: []uint32{failed}}
}

// newWarmAggregator returns an aggregator that returns sums of worker loads from the time now on, when its first
// report is one report lifetime old.
func newWarmAggregator(now time.Duration) *LoadAggregator {
	aggregator := NewLoadAggregator(settings.DefaultBounds())
	aggregator.Record("before", newLoads(0, 0, 0, 0, 0, 0), now-aggregator.bounds.Recovery(loadReportLifetimeRatio))
	return aggregator
}

// An index node that has just started, or has received no load reports for a while, may not have the reports of all
// proxies yet. It must not return partial sums of worker loads.
func TestIncompleteLoadsAreNotPassedOn(t *testing.T) {
	b := settings.DefaultBounds()
	aggregator, now := NewLoadAggregator(b), time.Hour
	for i := range 3 {
		at := now + time.Duration(i)*b.Recovery(loadReportLifetimeRatio)/2
		aggregator.Record("a", newLoads(1, 7, 1, 10, 8, 0), at)
		if total := aggregator.Others("c", 1, at); (total.Reporters > 0) != (i == 2) {
			t.Errorf("number of proxies whose reports are in the sum of worker loads, %d half report lifetimes after the first report: got %d, want 0 before 2 half lifetimes and at least 1 from then on", i, total.Reporters)
		}
	}
	at := now + 3*b.Recovery(loadReportLifetimeRatio)
	aggregator.Record("a", newLoads(1, 7, 1, 10, 8, 0), at)
	if total := aggregator.Others("c", 1, at); total.Reporters > 0 {
		t.Errorf("number of proxies whose reports are in the sum of worker loads, after 2 report lifetimes without reports: got %d, want 0", total.Reporters)
	}
}

func TestLoadsAreAddedUpOverOtherReporters(t *testing.T) {
	aggregator, now := newWarmAggregator(time.Hour), time.Hour
	aggregator.Record("a", newLoads(1, 7, 1, 10, 8, 0), now)
	// This load report of proxy a replaces the first one.
	aggregator.Record("a", newLoads(1, 7, 2, 20, 8, 0), now)
	aggregator.Record("b", newLoads(1, 7, 3, 30, 0, 8), now)
	aggregator.Record("b2", newLoads(1, 4, 1, 0, 16, 0), now)
	// The load report of proxy c is excluded from the sum that c gets.
	aggregator.Record("c", newLoads(1, 7, 50, 50, 0, 0), now)
	// The load report of proxy d is excluded from the sum because it refers to a different worker list.
	aggregator.Record("d", newLoads(2, 7, 50, 50, 0, 0), now)
	total := aggregator.Others("c", 1, now)
	if total.Reporters != 3 || total.WorkerListHash != 1 || !slices.Equal(total.WorkerIndexes, []uint32{4, 7}) || !slices.Equal(total.InFlight, []uint32{1, 5}) ||
		!slices.Equal(total.PendingPrefill, []uint32{0, 50}) || !slices.Equal(total.Successes, []uint32{16, 8}) || !slices.Equal(total.Failures, []uint32{0, 8}) {
		t.Fatalf("sum of the worker loads reported by proxies other than proxy c: got %v, want 3 reporters and, for workers 4 and 7, in_flight 1 and 5, pending_prefill 0 and 50, successes 16 and 8, failures 0 and 8", total)
	}
}

func TestOutdatedReportIsIgnored(t *testing.T) {
	b := settings.DefaultBounds()
	aggregator, now := newWarmAggregator(time.Hour), time.Hour
	aggregator.Record("a", newLoads(1, 7, 1, 10, 8, 0), now)
	if total := aggregator.Others("b", 1, now+b.Recovery(loadReportLifetimeRatio)); total.Reporters != 1 {
		t.Fatalf("sum of the worker loads exactly one report lifetime after the report of a proxy: got %v, want 1 reporter", total)
	}
	if total := aggregator.Others("b", 1, now+b.Recovery(loadReportLifetimeRatio)+1); total.Reporters != 0 || len(total.WorkerIndexes) != 0 {
		t.Fatalf("sum of the worker loads more than one report lifetime after the report of a proxy: got %v, want no reporters and no workers", total)
	}
}

func TestInvalidReportIsIgnored(t *testing.T) {
	aggregator, now := NewLoadAggregator(settings.DefaultBounds()), time.Hour
	aggregator.Record("a", &wire.WorkerLoads{WorkerListHash: 1, WorkerIndexes: []uint32{1, 2}, InFlight: []uint32{1}}, now)
	aggregator.Record("b", nil, now)
	if total := aggregator.Others("c", 1, now); total.Reporters != 0 {
		t.Fatalf("sum of the worker loads after a report with arrays of different lengths and a nil report: got %v, want no reporters", total)
	}
}

// The number of stored load reports is limited, however many proxies report. When the limit is reached, new reports
// replace expired ones.
func TestReportersAreBounded(t *testing.T) {
	b := settings.DefaultBounds()
	aggregator, now := NewLoadAggregator(b), time.Hour
	for i := range 3 * maxReporters {
		aggregator.Record("x"+string(rune(i)), newLoads(1, 0, 1, 0, 0, 0), now)
	}
	if len(aggregator.reports) > maxReporters {
		t.Fatalf("number of stored load reports after reports of 3072 proxies: got %d, want at most 1024", len(aggregator.reports))
	}
	later := now + 3*b.Recovery(loadReportLifetimeRatio)
	aggregator.Record("old", newLoads(1, 0, 1, 0, 0, 0), later-b.Recovery(loadReportLifetimeRatio))
	aggregator.Record("new", newLoads(1, 0, 1, 0, 0, 0), later)
	if total := aggregator.Others("c", 1, later); total.Reporters != 2 {
		t.Fatalf("number of proxies whose reports are in the sum of worker loads, after 2 new reports and 1024 expired ones: got %d, want 2", total.Reporters)
	}
}
