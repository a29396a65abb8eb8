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

// cacheChange returns the cache event which states how many tokens of a prompt part are now cached; 0 tokens mean that
// the part was evicted.
func cacheChange(part string, tokens int) backend.CacheChange {
	return backend.CacheChange{Salt: "s", Part: part, Model: "m", Tokens: tokens}
}

// holdersOfPart returns the workers and stores that the index lists as holders of a prompt part, each formatted as
// "name:certainty ", with certainty 1 for presumed and 2 for confirmed.
func holdersOfPart(core *Core, part string, now time.Duration) string {
	text := ""
	for _, h := range core.Lookup([]prefix.Key{PartKey("s", part)}, now)[0].Holders {
		text += fmt.Sprintf("%s:%d ", h.Worker, h.State)
	}
	return text
}

// applyEvents makes the next request for cache events to the worker named w and applies events as its response.
func applyEvents(core *Core, events backend.CacheEvents, now time.Duration) {
	core.ApplyEvents(core.NextEvents("w", "llm"), events, now)
}

// presumeHolders records one access to a prompt part, with the workers and stores that are presumed to cache the part
// afterwards.
func presumeHolders(core *Core, part string, tokens uint32, sequence uint64, now time.Duration, holders ...string) {
	key := PartKey("s", part)
	core.RecordAccesses(&wire.CountRequest{Reporter: "e", Incarnation: 1, Sequence: sequence, Accesses: []*wire.Access{
		{Key: key[:], Count: 1, Tokens: tokens, Service: "llm", PresumedHolders: holders}}}, now)
}

// Different pairs of salt and part ID have different index keys, also if their concatenations are equal or the salt is
// longer than the buffer of PartKey.
func TestKeysOfSaltsAndPartsDiffer(t *testing.T) {
	if PartKey("a", "bc") == PartKey("ab", "c") || PartKey("a", "b") == PartKey("a", "c") || PartKey("1", "x") == PartKey("2", "x") || StoreHealthKey("x") == PartKey("", "x") {
		t.Fatal("index keys of two different pairs of salt and part ID: got equal keys, want different ones")
	}
	long, same := string(make([]byte, 4*keyBufferSize)), string(make([]byte, 4*keyBufferSize))
	if PartKey(long, "a") == PartKey(long, "b") || PartKey(long, "a") != PartKey(same, "a") {
		t.Fatal("index keys of parts under a salt longer than the buffer of PartKey: want equal keys for equal parts and different keys for different parts")
	}
}

func TestEventsFromTheStartAreComplete(t *testing.T) {
	core := NewCore(settings.DefaultBounds(), anyKey)
	applyEvents(core, backend.CacheEvents{BootID: 1, NextSequence: 3, Changes: []backend.CacheChange{cacheChange("a", 100), cacheChange("b", 50), cacheChange("a", 0)}}, 1)
	if holdersOfPart(core, "a", 2) != "" || holdersOfPart(core, "b", 2) != "w:2 " || !core.Warm() {
		t.Fatalf("after the worker cached parts a and b and evicted a: got holders of part a %q, of part b %q, warm index %v; want none, \"w:2 \" (confirmed), true", holdersOfPart(core, "a", 2), holdersOfPart(core, "b", 2), core.Warm())
	}
	if request := core.NextEvents("w", "llm"); request.After != 3 || request.Full {
		t.Fatalf("next request to the worker after cache events with NextSequence 3: got %+v, want After 3 and Full false", request)
	}
}

func TestAnotherBootVoidsHoldings(t *testing.T) {
	core := NewCore(settings.DefaultBounds(), anyKey)
	applyEvents(core, backend.CacheEvents{BootID: 1, NextSequence: 3, Changes: []backend.CacheChange{cacheChange("a", 100)}}, 1)
	applyEvents(core, backend.CacheEvents{BootID: 2, NextSequence: 9, Changes: []backend.CacheChange{cacheChange("b", 100)}}, 2)
	if holdersOfPart(core, "a", 3)+holdersOfPart(core, "b", 3) != "" {
		t.Fatal("after a response with a new boot ID to a request with a sequence number of the old process: a part that the old or new process reported has holders, want none")
	}
	if request := core.NextEvents("w", "llm"); request.After != 0 || request.Full || core.Warm() {
		t.Fatalf("next request to a worker after it restarted: got %+v, warm index %v; want After 0, Full false, and an index that is not warm", request, core.Warm())
	}
	applyEvents(core, backend.CacheEvents{BootID: 2, NextSequence: 9, Changes: []backend.CacheChange{cacheChange("c", 100), cacheChange("b", 100)}}, 4)
	if holdersOfPart(core, "c", 5) != "w:2 " || holdersOfPart(core, "a", 5) != "" || !core.Warm() {
		t.Fatalf("after all events of the restarted worker, which caches parts b and c: got holders of part c %q, of part a %q; want \"w:2 \" (confirmed), none, and a warm index", holdersOfPart(core, "c", 5), holdersOfPart(core, "a", 5))
	}
}

func TestFullListIsRequestedAfterAGap(t *testing.T) {
	core := NewCore(settings.DefaultBounds(), anyKey)
	applyEvents(core, backend.CacheEvents{BootID: 1, NextSequence: 1, Changes: []backend.CacheChange{cacheChange("a", 100)}}, 1)
	applyEvents(core, backend.CacheEvents{BootID: 1, NextSequence: 90, Gap: true, Changes: []backend.CacheChange{cacheChange("b", 100)}}, 2)
	request := core.NextEvents("w", "llm")
	if !request.Full || holdersOfPart(core, "a", 3) != "w:2 " || holdersOfPart(core, "b", 3) != "w:2 " || !core.Warm() {
		t.Fatalf("after a response with a gap in the cache events: got next request %+v, holders of part a %q, of part b %q; want Full true, \"w:2 \" (confirmed) for both, and a warm index", request, holdersOfPart(core, "a", 3), holdersOfPart(core, "b", 3))
	}
	// While the complete cache is needed but may not be requested again yet, requests ask for cache changes, and these
	// are applied.
	request.Full = false
	core.ApplyEvents(request, backend.CacheEvents{BootID: 1, NextSequence: 91, Changes: []backend.CacheChange{cacheChange("b", 0)}}, 4)
	if request = core.NextEvents("w", "llm"); !request.Full || request.After != 91 || holdersOfPart(core, "b", 4) != "" {
		t.Fatalf("after part b was evicted while the complete cache has yet to be requested: got next request %+v, holders of part b %q; want Full true, After 91, no holders", request, holdersOfPart(core, "b", 4))
	}
	core.ApplyEvents(request, backend.CacheEvents{BootID: 1, NextSequence: 95, Changes: []backend.CacheChange{cacheChange("c", 100)}}, 5)
	if request = core.NextEvents("w", "llm"); request.Full || holdersOfPart(core, "a", 6) != "" || holdersOfPart(core, "c", 6) != "w:2 " {
		t.Fatalf("after a response with the complete cache, which has only part c: got next request %+v, holders of part a %q, of part c %q; want Full false, none, \"w:2 \" (confirmed)", request, holdersOfPart(core, "a", 6), holdersOfPart(core, "c", 6))
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
			t.Errorf("holders of a part of 1000 tokens, %d of them cached: got %q, want %q", test.cached, got, test.want)
		}
	}
	// A worker caches complete blocks of 16 tokens only, so that it can cache no more than 16 tokens of a part of 20.
	presumeHolders(core, "b", 20, 2, 1)
	applyEvents(core, backend.CacheEvents{BootID: 1, NextSequence: 1, Changes: []backend.CacheChange{cacheChange("b", 16)}}, 2)
	if holdersOfPart(core, "b", 2) != "w:2 " {
		t.Error("a worker that caches 16 of a part's 20 tokens, all but an incomplete block, is not listed as a holder")
	}
	// A request with part a is routed to worker w, which will compute the whole part and cache it completely.
	presumeHolders(core, "a", 1000, 3, 3, "w")
	if got := holdersOfPart(core, "a", 3); got != "w:1 " {
		t.Errorf("holders of a part after a request with it was routed to a worker that had cached 16 of its 1000 tokens: got %q, want \"w:1 \" (presumed)", got)
	}
}

// A response to a request for cache events is ignored if it arrives for the second time, after the response to a later
// request, or after the worker was removed.
func TestLateAndDuplicateResponsesAreIgnored(t *testing.T) {
	core := NewCore(settings.DefaultBounds(), anyKey)
	request := core.NextEvents("w", "llm")
	events := backend.CacheEvents{BootID: 1, NextSequence: 1, Changes: []backend.CacheChange{cacheChange("a", 100)}}
	core.ApplyEvents(request, events, 1)
	applyEvents(core, backend.CacheEvents{BootID: 1, NextSequence: 2, Changes: []backend.CacheChange{cacheChange("a", 0)}}, 2)
	core.ApplyEvents(request, events, 3)
	if holdersOfPart(core, "a", 3) != "" || core.NextEvents("w", "llm").After != 2 {
		t.Fatal("duplicate of an earlier response, after which part a was evicted: the response was applied; want no holders of part a, and After 2 in the next request")
	}
	request = core.NextEvents("w", "llm")
	core.RemoveWorker("w")
	core.ApplyEvents(request, events, 4)
	if holdersOfPart(core, "a", 4) != "" {
		t.Fatal("late response to a request from before the removal of the worker: the response was applied; want no holders of part a")
	}
	applyEvents(core, backend.CacheEvents{Throttled: true}, 5)
	if request := core.NextEvents("w", "llm"); request.After != 0 || core.Warm() {
		t.Fatal("throttled response, which has no cache events: the response was applied as a report; want After 0 in the next request, and the index not warm")
	}
}

// Three cache changes of one prompt part arrive in one to three responses, split in every possible way, and one
// response may report a gap. The last change must determine the holders of the part.
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
				t.Errorf("three cache changes of a part, with a new response after change i if bit i-1 of %b is set, and with a gap in the response that ends with change %d (0: no gap): got holders %q, want \"w:2 \" (confirmed)", cuts, gapAt, got)
			}
		}
	}
}

func TestPresumedHoldersCountBeforeTheFirstResponse(t *testing.T) {
	b := settings.DefaultBounds()
	core := NewCore(b, anyKey)
	presumeHolders(core, "a", 100, 1, 1, "w", "store")
	if got := holdersOfPart(core, "a", 2); got != "store:1 w:1 " {
		t.Fatalf("presumed holders of a part before the first response of the worker: got %q, want \"store:1 w:1 \" (both presumed)", got)
	}
	applyEvents(core, backend.CacheEvents{BootID: 1, NextSequence: 0}, 3)
	if got := holdersOfPart(core, "a", 4); got != "store:1 w:1 " {
		t.Fatalf("presumed holders of a part after the first response of the worker, which has no events: got %q, want \"store:1 w:1 \" (both presumed)", got)
	}
	if got := holdersOfPart(core, "a", b.Recovery(0.6)); got != "" {
		t.Fatalf("presumed holders of a part after 0.6 of the recovery time bound without confirmation: got %q, want none", got)
	}
}

func TestStoreHealth(t *testing.T) {
	b := settings.DefaultBounds()
	core := NewCore(b, anyKey)
	isUp := func(now time.Duration) bool {
		return len(core.Lookup([]prefix.Key{StoreHealthKey("d")}, now)[0].Holders) > 0
	}
	if core.RecordStoreUp("d", 1); !isUp(2) {
		t.Error("a store that responded to a poll is listed as down, want up")
	}
	if core.RecordStoreDown("d"); isUp(3) {
		t.Error("a store that did not respond to a poll is listed as up, want down")
	}
	if core.RecordStoreUp("d", 4); isUp(b.Recovery(0.6)) {
		t.Error("a store that last responded 0.6 of the recovery time bound ago is listed as up, want down")
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
		t.Fatalf("number of index entries after a sweep before any entry has expired: got %d, want 3", len(core.entries))
	}
	late := b.Recovery(20)
	applyEvents(core, backend.CacheEvents{BootID: 1, NextSequence: 1}, late)
	core.Sweep(map[string]bool{"w": true}, late)
	if len(core.entries) != 1 || len(core.workers) != 1 {
		t.Fatalf("index after a sweep that should leave one prefix with a confirmed holder: got %d entries and %d workers, want 1 and 1", len(core.entries), len(core.workers))
	}
}
