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

// key returns the n-th of a sequence of different keys.
func key(n int) prefix.Key { return prefix.Chain("shared", "m", 1, []string{fmt.Sprint(n)})[0].Key }

// cachedPrefix returns the element of a cache report for key(n).
func cachedPrefix(n int) contract.CachedPrefix {
	return contract.CachedPrefix{Key: key(n).String(), Tokens: 10}
}

// holdersOf returns the valid holders of key(number), each formatted as "name:certainty ".
func holdersOf(core *Core, number int, now time.Duration) string {
	text := ""
	for _, h := range core.Lookup([]prefix.Key{key(number)}, now)[0].Holders {
		text += fmt.Sprintf("%s:%d ", h.Worker, h.State)
	}
	return text
}

// anyKey assigns all keys to the index node under test.
func anyKey(prefix.Key) bool { return true }

// applyReport applies reports as the response to the next request to "worker".
func applyReport(core *Core, reports contract.CacheReports, now time.Duration) {
	core.ApplyReport(core.NextReport("worker", "s"), reports, now)
}

// Applies every ordered subset of four numbered cache reports, so that reports are lost and arrive out of order. The
// index must then either know exactly what the worker caches, or request a full report.
func TestEveryOrderAndGapOfReports(t *testing.T) {
	reports := []contract.CacheReport{
		{Number: 1, Added: []contract.CachedPrefix{cachedPrefix(1), cachedPrefix(2)}},
		{Number: 2, Removed: []string{key(1).String()}, Added: []contract.CachedPrefix{cachedPrefix(3)}},
		{Number: 3, Added: []contract.CachedPrefix{cachedPrefix(1)}},
		{Number: 4, Removed: []string{key(2).String(), key(3).String()}},
	}
	// After all four reports the worker caches key 1 alone; want has the holders of key 1.
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
		// This response has no reports, but gives the number of the last report, 4.
		applyReport(core, contract.CacheReports{Incarnation: "i", Number: 4}, 3)
		if core.NextReport("worker", "s").Full {
			fullRequests++
			applyReport(core, contract.CacheReports{Incarnation: "i", Number: 4, Complete: true, Cached: []contract.CachedPrefix{cachedPrefix(1)}}, 4)
		}
		if of1, of2, of3 := holdersOf(core, 1, 5), holdersOf(core, 2, 5), holdersOf(core, 3, 5); of1 != want || of2+of3 != "" {
			t.Fatalf("holders after the reports %v: key 1 %q, key 2 %q, key 3 %q; want \"worker:2 \" (confirmed) for key 1 and none for the others", done, of1, of2, of3)
		}
		for i := range left {
			walk(append(append([]contract.CacheReport(nil), left[:i]...), left[i+1:]...), append(append([]contract.CacheReport(nil), done...), left[i]))
		}
	}
	walk(reports, nil)
	// Every sequence of reports except the complete, ascending one makes a full report necessary.
	if orders != 65 || fullRequests != 64 {
		t.Fatalf("tested %d report orders with %d full reports requested; want 65 orders with 64 full reports", orders, fullRequests)
	}
}

// Presumed holders expire unless a report confirms them. Confirmed holders expire when the worker stops reporting, and
// at once when it has a new incarnation.
func TestHoldingsLapseUnlessConfirmed(t *testing.T) {
	bounds := settings.DefaultBounds()
	accessed := key(1)
	recordPresumedHolder := func(core *Core, now time.Duration, sequence uint64) {
		core.RecordAccesses(&wire.CountRequest{Reporter: "d", Incarnation: 1, Sequence: sequence, Accesses: []*wire.Access{{Key: accessed[:], Count: 1, Service: "s", PresumedHolders: []string{"worker"}}}}, now)
	}
	core := NewCore(bounds, anyKey)
	applyReport(core, contract.CacheReports{Incarnation: "i", Complete: true}, 1)
	recordPresumedHolder(core, 1, 1)
	if got := holdersOf(core, 1, bounds.Heal(0.4)); got != "worker:1 " {
		t.Errorf("prefix presumed to be cached, after 0.4 of the recovery time bound without confirmation: got holders %q, want \"worker:1 \" (presumed)", got)
	}
	if got := holdersOf(core, 1, bounds.Heal(0.6)); got != "" {
		t.Errorf("prefix presumed to be cached, after 0.6 of the recovery time bound without confirmation: got holders %q, want none", got)
	}
	applyReport(core, contract.CacheReports{Incarnation: "i", Number: 1, Reports: []contract.CacheReport{{Number: 1, Added: []contract.CachedPrefix{cachedPrefix(1)}}}}, bounds.Heal(1))
	if got := holdersOf(core, 1, bounds.Heal(3)); got != "worker:2 " {
		t.Errorf("prefix reported as cached, after twice the recovery time bound without further reports: got holders %q, want \"worker:2 \" (confirmed)", got)
	}
	if got := holdersOf(core, 1, bounds.Heal(4)); got != "" {
		t.Errorf("prefix reported as cached, after 3 times the recovery time bound without further reports: got holders %q, want none", got)
	}
	applyReport(core, contract.CacheReports{Incarnation: "i", Complete: true, Number: 1, Cached: []contract.CachedPrefix{cachedPrefix(1)}}, bounds.Heal(4))
	applyReport(core, contract.CacheReports{Incarnation: "j"}, bounds.Heal(4))
	if got := holdersOf(core, 1, bounds.Heal(4)); got != "" {
		t.Errorf("prefix cached by the previous incarnation of a worker, after a report of the new incarnation: got holders %q, want none", got)
	}
	if !core.NextReport("worker", "s").Full {
		t.Error("the next request to a worker with a new incarnation does not ask for a full report")
	}
}

// A batch of accesses that is sent several times is counted once. An index node that restarted and no longer knows the
// reporter asks it to resend its window of batches.
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
		t.Errorf("hotness after two batches of 5 accesses, the first sent 4 times: got %v, want 10", h)
	}
	if got := core.RecordAccesses(newRequest(2, 1), 1); got.ResendWindow || got.Sequence != 1 {
		t.Errorf("response to the first batch of a reporter's new incarnation: got %v, want sequence 1 without resend_window", got)
	}
	if got := NewCore(settings.DefaultBounds(), anyKey).RecordAccesses(newRequest(1, 7), 1); !got.ResendWindow {
		t.Error("a new index did not ask an unknown reporter, whose batch has number 7, to resend its window")
	}
	if h := core.Lookup([]prefix.Key{accessed}, 1+30*time.Second)[0].Hotness; h > 6 || h < 5 {
		t.Errorf("hotness after 15 accesses have decayed for 30 s: got %v, want 5 to 6", h)
	}
}

// Late batches from a reporter's previous incarnation are not counted as batches of the current one. When the reporter
// table is full, resent batches of further reporters are not counted twice.
func TestLateAndEvictedReportersAreNotCountedTwice(t *testing.T) {
	bounds, accessed := settings.DefaultBounds(), key(1)
	newRequest := func(reporter string, incarnation, sequence uint64) *wire.CountRequest {
		return &wire.CountRequest{Reporter: reporter, Incarnation: incarnation, Sequence: sequence, Accesses: []*wire.Access{{Key: accessed[:], Count: 1, Service: "s"}}}
	}
	hotness := func(core *Core) float64 { return core.Lookup([]prefix.Key{accessed}, 1)[0].Hotness }
	core := NewCore(bounds, anyKey)
	// The batches are pairs of incarnation and sequence number. The later incarnation has the smaller number, as is possible
	// after a reboot.
	for _, batch := range [][2]uint64{{9, 1}, {4, 1}, {9, 1}, {9, 2}, {4, 1}, {4, 2}} {
		core.RecordAccesses(newRequest("d", batch[0], batch[1]), 1)
	}
	if h := hotness(core); h != 3 {
		t.Errorf("hotness after 3 different batches of 1 access, some sent again: got %v, want 3", h)
	}
	core = NewCore(bounds, anyKey)
	for range 2 {
		for i := range maxReporters + 50 {
			core.RecordAccesses(newRequest(fmt.Sprint("d", i), 1, 1), 1)
		}
	}
	if h := hotness(core); h != maxReporters || len(core.reporters) != maxReporters {
		t.Errorf("after 1074 reporters sent the same batch twice: got hotness %v and %d remembered reporters, want 1024 of each", h, len(core.reporters))
	}
	if core.RecordAccesses(newRequest("new", 1, 1), bounds.Heal(2)); core.reporters["new"] == nil || len(core.reporters) != maxReporters {
		t.Error("a new reporter did not replace one of the 1024 known reporters, which had sent no batch for twice the recovery time bound")
	}
}

// A worker is removed and returns under the same name with a new incarnation, while responses from both incarnations
// are in flight. In every order of events, the holder records of the old incarnation must be invalid after the removal,
// and those of the new incarnation must be known after its report.
func TestEveryOrderOfAWorkerReturning(t *testing.T) {
	old := contract.CacheReports{Incarnation: "a", Number: 3, Complete: true, Cached: []contract.CachedPrefix{cachedPrefix(1)}}
	next := contract.CacheReports{Incarnation: "b", Number: 1, Complete: true, Cached: []contract.CachedPrefix{cachedPrefix(2)}}
	events := []string{"request to old", "report from old", "removal", "request to new", "report from new"}
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
				case "removal":
					core.RemoveWorker("worker")
					hasLeft = true
				case "report from old":
					core.ApplyReport(requests["request to old"], old, 1)
				case "report from new":
					core.ApplyReport(requests["request to new"], next, 1)
				default:
					requests[event] = core.NextReport("worker", "s")
				}
				if hasLeft && holdersOf(core, 1, 1) != "" {
					t.Fatalf("event order %q: after %q the removed incarnation is still a holder of its prefix", done, event)
				}
			}
			if got := holdersOf(core, 2, 1); got != "worker:2 " {
				t.Fatalf("event order %q: holders of the prefix reported by the new incarnation: got %q, want \"worker:2 \" (confirmed)", done, got)
			}
			return
		}
		for _, event := range events {
			isDone := func(x string) bool { return slices.Contains(done, x) }
			if isDone(event) || event == "report from old" && !isDone("request to old") || event == "report from new" && !isDone("request to new") || event == "request to new" && !isDone("removal") || event == "removal" && !isDone("request to old") {
				continue
			}
			walk(append(slices.Clone(done), event))
		}
	}
	if walk(nil); orders != 4 {
		t.Fatalf("tested %d event orders, want 4", orders)
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
			t.Fatalf("index nodes of a key: got %q, want two nodes in different zones (the zone of c-N is N modulo 4)", assigned)
		}
		if assigned[0] != "c-8" && assignedWithout[0] != assigned[0] {
			t.Fatalf("first index node of a key after the removal of c-8: got %[2]s, want %[1]s as before", assigned[0], assignedWithout[0])
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
		t.Errorf("a full index has %d entries and takes %.1f MB; want MaxIndexEntries entries and at most 60 MB", len(core.entries), megabytes)
	}
	runtime.KeepAlive(core)
}
