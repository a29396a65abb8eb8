package promptindex

import (
	"fmt"
	"testing"
	"time"

	"pebbleloom/internal/data/backend"
	"pebbleloom/internal/data/prefix"
	"pebbleloom/internal/settings"
	"pebbleloom/internal/wire"
)

func cacheChange(part string, tokens int) backend.CacheChange {
	return backend.CacheChange{Salt: "s", Part: part, Model: "m", Tokens: tokens}
}

func holdersOfPart(core *Core, part string, now time.Duration) string {
	text := ""
	for _, h := range core.Lookup([]prefix.Key{PartKey("s", part)}, now)[0].Holders {
		text += fmt.Sprintf("%s:%d ", h.Worker, h.State)
	}
	return text
}

func applyEvents(core *Core, events backend.CacheEvents, now time.Duration) {
	core.ApplyEvents(core.NextEvents("w", "llm"), events, now)
}

func presumeHolders(core *Core, part string, tokens uint32, sequence uint64, now time.Duration, holders ...string) {
	key := PartKey("s", part)
	core.RecordAccesses(&wire.CountRequest{Reporter: "e", Incarnation: 1, Sequence: sequence, Accesses: []*wire.Access{
		{Key: key[:], Count: 1, Tokens: tokens, Service: "llm", PresumedHolders: holders}}}, now)
}

// No salt and part have the key of another salt and part.
func TestKeysOfSaltsAndPartsDiffer(t *testing.T) {
	if PartKey("a", "bc") == PartKey("ab", "c") || PartKey("a", "b") == PartKey("a", "c") || PartKey("1", "x") == PartKey("2", "x") || StoreHealthKey("x") == PartKey("", "x") {
		t.Fatal("two keys are one")
	}
	long, same := string(make([]byte, 4*keyBuffer)), string(make([]byte, 4*keyBuffer))
	if PartKey(long, "a") == PartKey(long, "b") || PartKey(long, "a") != PartKey(same, "a") {
		t.Fatal("a long salt's key")
	}
}

func TestEventsFromTheStartAreComplete(t *testing.T) {
	core := NewCore(settings.DefaultBounds(), anyKey)
	applyEvents(core, backend.CacheEvents{BootID: 1, NextSequence: 3, Changes: []backend.CacheChange{cacheChange("a", 100), cacheChange("b", 50), cacheChange("a", 0)}}, 1)
	if holdersOfPart(core, "a", 2) != "" || holdersOfPart(core, "b", 2) != "w:2 " || !core.Warm() {
		t.Fatalf("a %q, b %q, warm %v", holdersOfPart(core, "a", 2), holdersOfPart(core, "b", 2), core.Warm())
	}
	if q := core.NextEvents("w", "llm"); q.After != 3 || q.Full {
		t.Fatalf("requests next %+v", q)
	}
}

func TestAnotherBootVoidsHoldings(t *testing.T) {
	core := NewCore(settings.DefaultBounds(), anyKey)
	applyEvents(core, backend.CacheEvents{BootID: 1, NextSequence: 3, Changes: []backend.CacheChange{cacheChange("a", 100)}}, 1)
	applyEvents(core, backend.CacheEvents{BootID: 2, NextSequence: 9, Changes: []backend.CacheChange{cacheChange("b", 100)}}, 2)
	if holdersOfPart(core, "a", 3)+holdersOfPart(core, "b", 3) != "" {
		t.Fatal("applied events with another boot's numbers")
	}
	if q := core.NextEvents("w", "llm"); q.After != 0 || q.Full || core.Warm() {
		t.Fatalf("requests next %+v, warm %v", q, core.Warm())
	}
	applyEvents(core, backend.CacheEvents{BootID: 2, NextSequence: 9, Changes: []backend.CacheChange{cacheChange("c", 100), cacheChange("b", 100)}}, 4)
	if holdersOfPart(core, "c", 5) != "w:2 " || holdersOfPart(core, "a", 5) != "" || !core.Warm() {
		t.Fatalf("c %q a %q", holdersOfPart(core, "c", 5), holdersOfPart(core, "a", 5))
	}
}

func TestFullListIsRequestedAfterAGap(t *testing.T) {
	core := NewCore(settings.DefaultBounds(), anyKey)
	applyEvents(core, backend.CacheEvents{BootID: 1, NextSequence: 1, Changes: []backend.CacheChange{cacheChange("a", 100)}}, 1)
	applyEvents(core, backend.CacheEvents{BootID: 1, NextSequence: 90, Gap: true, Changes: []backend.CacheChange{cacheChange("b", 100)}}, 2)
	q := core.NextEvents("w", "llm")
	if !q.Full || holdersOfPart(core, "a", 3) != "w:2 " || holdersOfPart(core, "b", 3) != "w:2 " || !core.Warm() {
		t.Fatalf("%+v: a %q b %q", q, holdersOfPart(core, "a", 3), holdersOfPart(core, "b", 3))
	}
	// Until the full list is requested, changes are applied as they come.
	q.Full = false
	core.ApplyEvents(q, backend.CacheEvents{BootID: 1, NextSequence: 91, Changes: []backend.CacheChange{cacheChange("b", 0)}}, 4)
	if q = core.NextEvents("w", "llm"); !q.Full || q.After != 91 || holdersOfPart(core, "b", 4) != "" {
		t.Fatalf("%+v: b %q", q, holdersOfPart(core, "b", 4))
	}
	core.ApplyEvents(q, backend.CacheEvents{BootID: 1, NextSequence: 95, Changes: []backend.CacheChange{cacheChange("c", 100)}}, 5)
	if q = core.NextEvents("w", "llm"); q.Full || holdersOfPart(core, "a", 6) != "" || holdersOfPart(core, "c", 6) != "w:2 " {
		t.Fatalf("%+v: a %q c %q", q, holdersOfPart(core, "a", 6), holdersOfPart(core, "c", 6))
	}
}

func TestPartialHolderDoesNotCount(t *testing.T) {
	core := NewCore(settings.DefaultBounds(), anyKey)
	presumeHolders(core, "a", 1000, 1, 1)
	for _, test := range []struct {
		cached int
		want   string
	}{{1000, "w:2 "}, {992, "w:2 "}, {900, "w:2 "}, {880, ""}, {16, ""}} {
		applyEvents(core, backend.CacheEvents{BootID: 1, NextSequence: 1, Changes: []backend.CacheChange{cacheChange("a", test.cached)}}, 2)
		if got := holdersOfPart(core, "a", 2); got != test.want {
			t.Errorf("%d of 1000 cached: %q, want %q", test.cached, got, test.want)
		}
	}
	presumeHolders(core, "b", 20, 2, 1) // only whole blocks of 16 are cached
	applyEvents(core, backend.CacheEvents{BootID: 1, NextSequence: 1, Changes: []backend.CacheChange{cacheChange("b", 16)}}, 2)
	if holdersOfPart(core, "b", 2) != "w:2 " {
		t.Error("a short part that is cached but for its last block has no holder")
	}
	presumeHolders(core, "a", 1000, 3, 3, "w") // the part will be prefilled there, and cached completely
	if got := holdersOfPart(core, "a", 3); got != "w:1 " {
		t.Errorf("sent to a partial holder: %q", got)
	}
}

// A response that arrives twice, or after a later one, changes nothing.
func TestLateAndDuplicateResponsesAreIgnored(t *testing.T) {
	core := NewCore(settings.DefaultBounds(), anyKey)
	q := core.NextEvents("w", "llm")
	e := backend.CacheEvents{BootID: 1, NextSequence: 1, Changes: []backend.CacheChange{cacheChange("a", 100)}}
	core.ApplyEvents(q, e, 1)
	applyEvents(core, backend.CacheEvents{BootID: 1, NextSequence: 2, Changes: []backend.CacheChange{cacheChange("a", 0)}}, 2)
	core.ApplyEvents(q, e, 3)
	if holdersOfPart(core, "a", 3) != "" || core.NextEvents("w", "llm").After != 2 {
		t.Fatal("a response counted twice")
	}
	q = core.NextEvents("w", "llm")
	core.RemoveWorker("w")
	core.ApplyEvents(q, e, 4)
	if holdersOfPart(core, "a", 4) != "" {
		t.Fatal("a response from before the worker left counted")
	}
	applyEvents(core, backend.CacheEvents{Throttled: true}, 5)
	if q := core.NextEvents("w", "llm"); q.After != 0 || core.Warm() {
		t.Fatal("a throttled response counted as a report")
	}
}

// Three changes of one part arrive in one to three responses, split in every manner, one of which may be
// marked as a gap: the last change counts.
func TestEverySplitOfChanges(t *testing.T) {
	changes := []backend.CacheChange{cacheChange("a", 100), cacheChange("a", 0), cacheChange("a", 200)}
	for cuts := range 4 {
		for gapAt := range 4 {
			core := NewCore(settings.DefaultBounds(), anyKey)
			from := 0
			for i := 1; i <= len(changes); i++ {
				if i == len(changes) || cuts>>(i-1)&1 == 1 {
					applyEvents(core, backend.CacheEvents{BootID: 7, NextSequence: uint64(i), Gap: gapAt == i, Changes: changes[from:i]}, time.Duration(i))
					from = i
				}
			}
			if got := holdersOfPart(core, "a", 4); got != "w:2 " {
				t.Errorf("cuts %b, gap at %d: %q", cuts, gapAt, got)
			}
		}
	}
}

func TestPresumedHoldersCountBeforeTheFirstResponse(t *testing.T) {
	b := settings.DefaultBounds()
	core := NewCore(b, anyKey)
	presumeHolders(core, "a", 100, 1, 1, "w", "store")
	if got := holdersOfPart(core, "a", 2); got != "store:1 w:1 " {
		t.Fatalf("presumed: %q", got)
	}
	applyEvents(core, backend.CacheEvents{BootID: 1, NextSequence: 0}, 3)
	if got := holdersOfPart(core, "a", 4); got != "store:1 w:1 " {
		t.Fatalf("the first response dropped what was presumed: %q", got)
	}
	if got := holdersOfPart(core, "a", b.Heal(0.6)); got != "" {
		t.Fatalf("never confirmed: %q", got)
	}
}

func TestStoreHealth(t *testing.T) {
	b := settings.DefaultBounds()
	core := NewCore(b, anyKey)
	up := func(now time.Duration) bool {
		return len(core.Lookup([]prefix.Key{StoreHealthKey("d")}, now)[0].Holders) > 0
	}
	if core.StoreUp("d", 1); !up(2) {
		t.Error("a store that responded is down")
	}
	if core.StoreDown("d"); up(3) {
		t.Error("a store that didn't respond is up")
	}
	if core.StoreUp("d", 4); up(b.Heal(0.6)) {
		t.Error("a store that wasn't polled for long is up")
	}
}

func TestSweepKeepsValidEntries(t *testing.T) {
	b := settings.DefaultBounds()
	core := NewCore(b, anyKey)
	presumeHolders(core, "hot", 10, 1, 0)
	applyEvents(core, backend.CacheEvents{BootID: 1, NextSequence: 1, Changes: []backend.CacheChange{cacheChange("kept", 10)}}, 1)
	presumeHolders(core, "lapsed", 10, 2, 0, "x")
	core.Sweep(map[string]bool{"w": true}, 2)
	if len(core.entries) != 3 {
		t.Fatalf("%d entries, want 3", len(core.entries))
	}
	late := b.Heal(20)
	applyEvents(core, backend.CacheEvents{BootID: 1, NextSequence: 1}, late)
	core.Sweep(map[string]bool{"w": true}, late)
	if len(core.entries) != 1 || len(core.workers) != 1 {
		t.Fatalf("%d entries and %d workers, want one of each", len(core.entries), len(core.workers))
	}
}
