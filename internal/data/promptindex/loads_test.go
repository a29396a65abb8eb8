package promptindex

import (
	"slices"
	"testing"
	"time"

	"pebbleloom/internal/settings"
	"pebbleloom/internal/wire"
)

func newLoads(list uint64, at, active, unread, ok, bad uint32) *wire.WorkerLoads {
	return &wire.WorkerLoads{WorkerListHash: list, WorkerIndexes: []uint32{at}, InFlight: []uint32{active}, PendingPrefill: []uint32{unread}, Successes: []uint32{ok}, Failures: []uint32{bad}}
}

// warmLoads has had reports for long enough to pass them on.
func warmLoads(now time.Duration) *LoadAggregator {
	l := NewLoadAggregator(settings.DefaultBounds())
	l.Record("before", newLoads(0, 0, 0, 0, 0, 0), now-l.bounds.Heal(reportLifetimeRatio))
	return l
}

// An index node that has just started, or had no report for a while, doesn't have all reports yet.
func TestPartialLoadIsNotReported(t *testing.T) {
	b := settings.DefaultBounds()
	l, now := NewLoadAggregator(b), time.Hour
	for i := range 3 {
		at := now + time.Duration(i)*b.Heal(reportLifetimeRatio)/2
		l.Record("a", newLoads(1, 7, 1, 10, 8, 0), at)
		if x := l.Others("c", 1, at); (x.Reporters > 0) != (i == 2) {
			t.Errorf("%d: %d tellers", i, x.Reporters)
		}
	}
	at := now + 3*b.Heal(reportLifetimeRatio)
	l.Record("a", newLoads(1, 7, 1, 10, 8, 0), at)
	if x := l.Others("c", 1, at); x.Reporters > 0 {
		t.Errorf("after a break: %d tellers", x.Reporters)
	}
}

func TestLoadsAreAddedUpOverAllOthers(t *testing.T) {
	l, now := warmLoads(time.Hour), time.Hour
	l.Record("a", newLoads(1, 7, 1, 10, 8, 0), now)
	l.Record("a", newLoads(1, 7, 2, 20, 8, 0), now) // the last word counts alone
	l.Record("b", newLoads(1, 7, 3, 30, 0, 8), now)
	l.Record("b2", newLoads(1, 4, 1, 0, 16, 0), now)
	l.Record("c", newLoads(1, 7, 50, 50, 0, 0), now) // the asker itself
	l.Record("d", newLoads(2, 7, 50, 50, 0, 0), now) // of another list
	x := l.Others("c", 1, now)
	if x.Reporters != 3 || x.WorkerListHash != 1 || !slices.Equal(x.WorkerIndexes, []uint32{4, 7}) || !slices.Equal(x.InFlight, []uint32{1, 5}) ||
		!slices.Equal(x.PendingPrefill, []uint32{0, 50}) || !slices.Equal(x.Successes, []uint32{16, 8}) || !slices.Equal(x.Failures, []uint32{0, 8}) {
		t.Fatalf("reported %v", x)
	}
}

func TestAnOldWordOnLoadCountsNoMore(t *testing.T) {
	b := settings.DefaultBounds()
	l, now := warmLoads(time.Hour), time.Hour
	l.Record("a", newLoads(1, 7, 1, 10, 8, 0), now)
	if x := l.Others("b", 1, now+b.Heal(reportLifetimeRatio)); x.Reporters != 1 {
		t.Fatalf("reported %v", x)
	}
	if x := l.Others("b", 1, now+b.Heal(reportLifetimeRatio)+1); x.Reporters != 0 || len(x.WorkerIndexes) != 0 {
		t.Fatalf("reported %v", x)
	}
}

func TestABrokenWordOnLoadIsNone(t *testing.T) {
	l, now := NewLoadAggregator(settings.DefaultBounds()), time.Hour
	l.Record("a", &wire.WorkerLoads{WorkerListHash: 1, WorkerIndexes: []uint32{1, 2}, InFlight: []uint32{1}}, now)
	l.Record("b", nil, now)
	if x := l.Others("c", 1, now); x.Reporters != 0 {
		t.Fatalf("reported %v", x)
	}
}

// However many names call, the memory for them is bounded, and those that still talk are heard.
func TestLoadsOfManyNamesAreBounded(t *testing.T) {
	b := settings.DefaultBounds()
	l, now := NewLoadAggregator(b), time.Hour
	for i := range 3 * maxReporters {
		l.Record("x"+string(rune(i)), newLoads(1, 0, 1, 0, 0, 0), now)
	}
	if len(l.reports) > maxReporters {
		t.Fatalf("%d words kept", len(l.reports))
	}
	later := now + 3*b.Heal(reportLifetimeRatio)
	l.Record("old", newLoads(1, 0, 1, 0, 0, 0), later-b.Heal(reportLifetimeRatio))
	l.Record("new", newLoads(1, 0, 1, 0, 0, 0), later)
	if x := l.Others("c", 1, later); x.Reporters != 2 {
		t.Fatalf("%d tellers", x.Reporters)
	}
}
