package promptindex

import (
	"fmt"
	"runtime"
	"slices"
	"testing"
	"time"

	"pebbleloom/internal/contract"
	"pebbleloom/internal/control/clustermembership"
	"pebbleloom/internal/data/prefix"
	"pebbleloom/internal/settings"
	"pebbleloom/internal/wire"
)

// key returns the n-th of a sequence of different prefix keys.
func key(n int) prefix.Key { return prefix.Chain("shared", "m", 1, []string{fmt.Sprint(n)})[0].Key }

// cachedPrefix returns the element of a cache report which states that a worker caches the prefix with key(n).
func cachedPrefix(n int) contract.CachedPrefix {
	return contract.CachedPrefix{Key: key(n).String(), Tokens: 10}
}

// holdersOf returns the workers and stores that the index lists as holders of key(number), each formatted as
// "name:certainty ", with certainty 1 for presumed and 2 for confirmed.
func holdersOf(core *Core, number int, now time.Duration) string {
	text := ""
	for _, h := range core.Lookup([]prefix.Key{key(number)}, now)[0].Holders {
		text += fmt.Sprintf("%s:%d ", h.Worker, h.State)
	}
	return text
}

// anyKey is an assignment function for NewCore that assigns all keys to the index node under test.
func anyKey(prefix.Key) bool { return true }

// applyReport makes the next request for cache reports to the worker named "worker" and applies reports as its
// response.
func applyReport(core *Core, reports contract.CacheReports, now time.Duration) {
	core.ApplyReport(core.NextReport("worker", "s"), reports, now)
}

// Applies every ordered subset of four numbered cache reports, as if the other reports were lost and these arrived in
// that order. The index must then either know exactly what the worker caches, or request a full report.
func TestEveryOrderAndGapOfReports(t *testing.T) {
	reports := []contract.CacheReport{
		{Number: 1, Added: []contract.CachedPrefix{cachedPrefix(1), cachedPrefix(2)}},
		{Number: 2, Removed: []string{key(1).String()}, Added: []contract.CachedPrefix{cachedPrefix(3)}},
		{Number: 3, Added: []contract.CachedPrefix{cachedPrefix(1)}},
		{Number: 4, Removed: []string{key(2).String(), key(3).String()}},
	}
	// want has the holders of key 1 after all four reports, when the worker caches only key 1: it is a confirmed holder
	// (certainty 2).
	want := "worker:2 "
	orders, fullRequests := 0, 0
	var walk func(left []contract.CacheReport, applied []contract.CacheReport)
	walk = func(left, done []contract.CacheReport) {
		orders++
		core := NewCore(settings.DefaultBounds(), anyKey)
		applyReport(core, contract.CacheReports{Incarnation: "i", Complete: true}, 1)
		for _, report := range done {
			applyReport(core, contract.CacheReports{Incarnation: "i", Number: report.Number, Reports: []contract.CacheReport{report}}, 2)
		}
		// This response of the worker has no reports, but states that the number of its last report is 4.
		applyReport(core, contract.CacheReports{Incarnation: "i", Number: 4}, 3)
		if core.NextReport("worker", "s").Full {
			fullRequests++
			applyReport(core, contract.CacheReports{Incarnation: "i", Number: 4, Complete: true, Cached: []contract.CachedPrefix{cachedPrefix(1)}}, 4)
		}
		if of1, of2, of3 := holdersOf(core, 1, 5), holdersOf(core, 2, 5), holdersOf(core, 3, 5); of1 != want || of2+of3 != "" {
			t.Fatalf("holders after the cache reports %v: got for key 1 %q, key 2 %q, key 3 %q; want \"worker:2 \" (confirmed) for key 1 and none for the others", done, of1, of2, of3)
		}
		for i := range left {
			walk(append(append([]contract.CacheReport(nil), left[:i]...), left[i+1:]...), append(append([]contract.CacheReport(nil), done...), left[i]))
		}
	}
	walk(reports, nil)
	// Four reports have 65 ordered subsets. Only the one with all four in ascending order makes no full report
	// necessary: in all others, even the empty one and those like 1, 2, a report is missing or out of order, because the
	// worker's last response states that the number of its last report is 4.
	if orders != 65 || fullRequests != 64 {
		t.Fatalf("got %d tested orders of cache reports, %d of which led to a request for a full report; want 65 orders and 64 requests", orders, fullRequests)
	}
}

// Presumed holders of a prefix expire unless a cache report confirms them. Confirmed holders expire when the worker
// stops responding to polls, and at once when a new incarnation of the worker responds.
func TestHoldingsLapseUnlessConfirmed(t *testing.T) {
	bounds := settings.DefaultBounds()
	accessed := key(1)
	recordPresumedHolder := func(core *Core, now time.Duration, sequence uint64) {
		core.RecordAccesses(&wire.CountRequest{Reporter: "d", Incarnation: 1, Sequence: sequence, Accesses: []*wire.Access{{Key: accessed[:], Count: 1, Service: "s", PresumedHolders: []string{"worker"}}}}, now)
	}
	core := NewCore(bounds, anyKey)
	applyReport(core, contract.CacheReports{Incarnation: "i", Complete: true}, 1)
	recordPresumedHolder(core, 1, 1)
	if got := holdersOf(core, 1, bounds.Recovery(0.4)); got != "worker:1 " {
		t.Errorf("holders of a prefix that a worker is presumed to cache, after 0.4 of the recovery time bound without confirmation: got %q, want \"worker:1 \" (presumed)", got)
	}
	if got := holdersOf(core, 1, bounds.Recovery(0.6)); got != "" {
		t.Errorf("holders of a prefix that a worker is presumed to cache, after 0.6 of the recovery time bound without confirmation: got %q, want none", got)
	}
	applyReport(core, contract.CacheReports{Incarnation: "i", Number: 1, Reports: []contract.CacheReport{{Number: 1, Added: []contract.CachedPrefix{cachedPrefix(1)}}}}, bounds.Recovery(1))
	if got := holdersOf(core, 1, bounds.Recovery(3)); got != "worker:2 " {
		t.Errorf("holders of a prefix that a worker reported as cached, after twice the recovery time bound without further reports: got %q, want \"worker:2 \" (confirmed)", got)
	}
	if got := holdersOf(core, 1, bounds.Recovery(4)); got != "" {
		t.Errorf("holders of a prefix that a worker reported as cached, after 3 times the recovery time bound without further reports: got %q, want none", got)
	}
	applyReport(core, contract.CacheReports{Incarnation: "i", Complete: true, Number: 1, Cached: []contract.CachedPrefix{cachedPrefix(1)}}, bounds.Recovery(4))
	applyReport(core, contract.CacheReports{Incarnation: "j"}, bounds.Recovery(4))
	if got := holdersOf(core, 1, bounds.Recovery(4)); got != "" {
		t.Errorf("holders of a prefix that the previous incarnation of a worker cached, after a response of the new incarnation: got %q, want none", got)
	}
	if !core.NextReport("worker", "s").Full {
		t.Error("next request to a worker after a response of its new incarnation: got Full false, want true")
	}
}

// A batch of accesses that is sent several times is counted once. An index node that has restarted, and has no
// deduplication state for the sender, asks it to resend its recent batches.
func TestBatchIsCountedOnce(t *testing.T) {
	accessed := key(1)
	newRequest := func(incarnation, sequence uint64) *wire.CountRequest {
		return &wire.CountRequest{Reporter: "d", Incarnation: incarnation, Sequence: sequence, Accesses: []*wire.Access{{Key: accessed[:], Count: 5, Service: "s"}}}
	}
	core := NewCore(settings.DefaultBounds(), anyKey)
	for range 3 {
		core.RecordAccesses(newRequest(1, 1), 1)
	}
	core.RecordAccesses(newRequest(1, 2), 1)
	core.RecordAccesses(newRequest(1, 1), 1)
	if h := core.Lookup([]prefix.Key{accessed}, 1)[0].Hotness; h != 10 {
		t.Errorf("hotness of a key after two batches of 5 accesses to it, the first sent 4 times: got %v, want 10", h)
	}
	if got := core.RecordAccesses(newRequest(2, 1), 1); got.ResendWindow || got.Sequence != 1 {
		t.Errorf("response to batch 1 of a sender's new incarnation: got %v, want sequence 1 and resend_window false", got)
	}
	if got := NewCore(settings.DefaultBounds(), anyKey).RecordAccesses(newRequest(1, 7), 1); !got.ResendWindow {
		t.Error("response of a new index to batch 7 of the access counts of an unknown sender: got ResendWindow false, want true, which asks the sender to resend its recent batches")
	}
	if h := core.Lookup([]prefix.Key{accessed}, 1+30*time.Second)[0].Hotness; h > 6 || h < 5 {
		t.Errorf("hotness of a key 30 s after 15 accesses to it, with a decay time constant of 30 s: got %v, want 5 to 6", h)
	}
}

// Late batches of access counts from the previous incarnation of a sender are not counted as batches of the current
// one. While the index has deduplication state for its maximum number of senders, resent batches of further senders
// are not counted twice.
func TestLateAndEvictedReportersAreNotCountedTwice(t *testing.T) {
	bounds, accessed := settings.DefaultBounds(), key(1)
	newRequest := func(reporter string, incarnation, sequence uint64) *wire.CountRequest {
		return &wire.CountRequest{Reporter: reporter, Incarnation: incarnation, Sequence: sequence, Accesses: []*wire.Access{{Key: accessed[:], Count: 1, Service: "s"}}}
	}
	hotness := func(core *Core) float64 { return core.Lookup([]prefix.Key{accessed}, 1)[0].Hotness }
	core := NewCore(bounds, anyKey)
	// Each batch is a pair of the sender's incarnation and the batch's sequence number. Incarnation 4 follows incarnation
	// 9: the numbers may decrease after a reboot of the sender's machine.
	for _, batch := range [][2]uint64{{9, 1}, {4, 1}, {9, 1}, {9, 2}, {4, 1}, {4, 2}} {
		core.RecordAccesses(newRequest("d", batch[0], batch[1]), 1)
	}
	if h := hotness(core); h != 3 {
		t.Errorf("hotness of a key after 3 different batches of 1 access to it, some sent again: got %v, want 3", h)
	}
	core = NewCore(bounds, anyKey)
	for range 2 {
		for i := range maxReporters + 50 {
			core.RecordAccesses(newRequest(fmt.Sprint("d", i), 1, 1), 1)
		}
	}
	if h := hotness(core); h != maxReporters || len(core.reporters) != maxReporters {
		t.Errorf("after each of 1074 senders sent a batch of 1 access to the same key twice: got hotness %v and deduplication state of %d senders, want 1024 of each (the maximum number of senders)", h, len(core.reporters))
	}
	if core.RecordAccesses(newRequest("new", 1, 1), bounds.Recovery(2)); core.reporters["new"] == nil || len(core.reporters) != maxReporters {
		t.Error("a new sender of access counts did not replace one of the 1024 known senders, which had sent no batch for twice the recovery time bound")
	}
}

// A worker is removed and returns under the same name with a new incarnation, while responses from both incarnations
// are in flight. In every order of events, the holder records of the old incarnation must be invalid after the removal,
// and those of the new incarnation must be known after its report.
func TestEveryOrderOfAWorkerReturning(t *testing.T) {
	old := contract.CacheReports{Incarnation: "a", Number: 3, Complete: true, Cached: []contract.CachedPrefix{cachedPrefix(1)}}
	next := contract.CacheReports{Incarnation: "b", Number: 1, Complete: true, Cached: []contract.CachedPrefix{cachedPrefix(2)}}
	events := []string{"request to the old incarnation", "report from the old incarnation", "removal of the worker", "request to the new incarnation", "report from the new incarnation"}
	orders := 0
	var walk func(done []string)
	walk = func(done []string) {
		if len(done) == len(events) {
			orders++
			core := NewCore(settings.DefaultBounds(), anyKey)
			requests := map[string]ReportRequest{}
			hasLeft := false
			for _, event := range done {
				switch event {
				case "removal of the worker":
					core.RemoveWorker("worker")
					hasLeft = true
				case "report from the old incarnation":
					core.ApplyReport(requests["request to the old incarnation"], old, 1)
				case "report from the new incarnation":
					core.ApplyReport(requests["request to the new incarnation"], next, 1)
				default:
					requests[event] = core.NextReport("worker", "s")
				}
				if hasLeft && holdersOf(core, 1, 1) != "" {
					t.Fatalf("order of events %q: after event %q the worker is still listed as a holder of the prefix that its removed incarnation reported; want no holders", done, event)
				}
			}
			if got := holdersOf(core, 2, 1); got != "worker:2 " {
				t.Fatalf("order of events %q: holders of the prefix that the new incarnation of the worker reported: got %q, want \"worker:2 \" (confirmed)", done, got)
			}
			return
		}
		for _, event := range events {
			isDone := func(x string) bool { return slices.Contains(done, x) }
			if isDone(event) || event == "report from the old incarnation" && !isDone("request to the old incarnation") || event == "report from the new incarnation" && !isDone("request to the new incarnation") || event == "request to the new incarnation" && !isDone("removal of the worker") || event == "removal of the worker" && !isDone("request to the old incarnation") {
				continue
			}
			walk(append(slices.Clone(done), event))
		}
	}
	if walk(nil); orders != 4 {
		t.Fatalf("number of tested orders of the requests, reports and removal of a worker: got %d, want 4", orders)
	}
}

func TestEntriesAreBounded(t *testing.T) {
	bounds := settings.DefaultBounds()
	bounds.MaxIndexEntries = 100
	core := NewCore(bounds, anyKey)
	for i := range 1000 {
		k := key(i)
		core.RecordAccesses(&wire.CountRequest{Reporter: "d", Incarnation: 1, Sequence: uint64(i + 1), Accesses: []*wire.Access{{Key: k[:], Count: 1}}}, time.Duration(i))
	}
	if len(core.entries) > 100 || core.Stats.Evicted != 900 {
		t.Errorf("after accesses to 1000 keys in an index of at most 100 entries: got %d entries and %d evictions, want at most 100 entries and exactly 900 evictions", len(core.entries), core.Stats.Evicted)
	}
}

// Every key is assigned to two index nodes in different zones. When an index node is removed, only the keys for which it
// was the first node get another first node.
func TestShardsHaveTwoNodesInTwoZones(t *testing.T) {
	var nodes []*wire.Node
	for i := range 9 {
		nodes = append(nodes, &wire.Node{Name: fmt.Sprintf("c-%d", i), Role: clustermembership.RolePromptIndex, Zone: fmt.Sprint(i % 4), Addr: "x"})
	}
	shards, without := NewShards(nodes), NewShards(nodes[:8])
	keysByNode := map[string]int{}
	for i := range 2000 {
		k := key(i)
		assigned, assignedWithout := shards.NodesOf(k), without.NodesOf(k)
		if assigned[0] == "" || assigned[1] == "" || assigned[0][2:] == assigned[1][2:] || (assigned[0][2]-'0')%4 == (assigned[1][2]-'0')%4 {
			t.Fatalf("assigned index nodes of a key: got %q, want two nodes in different zones (the zone of c-N is N modulo 4)", assigned)
		}
		if assigned[0] != "c-8" && assignedWithout[0] != assigned[0] {
			t.Fatalf("first index node of a key, which was not c-8, after the removal of index node c-8: got %[2]s, want %[1]s as before", assigned[0], assignedWithout[0])
		}
		keysByNode[assigned[0]]++
	}
	for node, count := range keysByNode {
		if count < 90 || count > 380 {
			t.Errorf("number of keys, of 2000, whose first index node is %s: got %d, want 90 to 380", node, count)
		}
	}
}

// A full index with three holders for each entry takes at most 60 MB, so that it fits into the memory of a small machine
// together with the other programs there.
func TestFullIndexFitsItsMemory(t *testing.T) {
	bounds := settings.DefaultBounds()
	heap := func() float64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		return float64(m.HeapAlloc) / (1 << 20)
	}
	before := heap()
	core := NewCore(bounds, anyKey)
	for w := range 3 {
		core.ApplyReport(core.NextReport(fmt.Sprint("worker-", w), "s"), contract.CacheReports{Incarnation: "i", Complete: true}, 1)
	}
	for i := range bounds.MaxIndexEntries {
		k := key(i)
		core.RecordAccesses(&wire.CountRequest{Reporter: "d", Incarnation: 1, Sequence: uint64(i + 1), Accesses: []*wire.Access{{Key: k[:], Count: 1, Tokens: 900, Service: "s",
			PresumedHolders: []string{"worker-0", "worker-1", "worker-2"}}}}, time.Duration(i))
	}
	megabytes := heap() - before
	t.Logf("memory of an index with %d entries of 3 holders each: %.1f MB", len(core.entries), megabytes)
	if len(core.entries) != bounds.MaxIndexEntries || megabytes > 60 {
		t.Errorf("full index with 3 holders for each entry: got %d entries in %.1f MB, want MaxIndexEntries entries in at most 60 MB", len(core.entries), megabytes)
	}
	runtime.KeepAlive(core)
}
