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

func key(n int) prefix.Key { return prefix.Chain("shared", "m", 1, []string{fmt.Sprint(n)})[0].Key }

func cachedPrefix(n int) contract.CachedPrefix {
	return contract.CachedPrefix{Key: key(n).String(), Tokens: 10}
}

func holdersOf(core *Core, number int, now time.Duration) string {
	text := ""
	for _, h := range core.Lookup([]prefix.Key{key(number)}, now)[0].Holders {
		text += fmt.Sprintf("%s:%d ", h.Worker, h.State)
	}
	return text
}

func anyKey(prefix.Key) bool { return true }

func applyReport(core *Core, reports contract.CacheReports, now time.Duration) {
	core.ApplyReport(core.NextReport("worker", "s"), reports, now)
}

// Four numbered reports arrive in every order, and each may be lost: the index either knows exactly what the
// worker caches, or requests a full report.
func TestEveryOrderAndGapOfReports(t *testing.T) {
	reports := []contract.CacheReport{
		{Number: 1, Added: []contract.CachedPrefix{cachedPrefix(1), cachedPrefix(2)}},
		{Number: 2, Removed: []string{key(1).String()}, Added: []contract.CachedPrefix{cachedPrefix(3)}},
		{Number: 3, Added: []contract.CachedPrefix{cachedPrefix(1)}},
		{Number: 4, Removed: []string{key(2).String(), key(3).String()}},
	}
	truth := "worker:2 " // after all four: key 1 alone
	orders, fullRequests := 0, 0
	var walk func(left []contract.CacheReport, c []contract.CacheReport)
	walk = func(left, done []contract.CacheReport) {
		orders++
		core := NewCore(settings.DefaultBounds(), anyKey)
		applyReport(core, contract.CacheReports{Incarnation: "i", Complete: true}, 1)
		for _, report := range done {
			applyReport(core, contract.CacheReports{Incarnation: "i", Number: report.Number, Reports: []contract.CacheReport{report}}, 2)
		}
		applyReport(core, contract.CacheReports{Incarnation: "i", Number: 4}, 3) // nothing new: the last number is 4
		if core.NextReport("worker", "s").Full {
			fullRequests++
			applyReport(core, contract.CacheReports{Incarnation: "i", Number: 4, Complete: true, Cached: []contract.CachedPrefix{cachedPrefix(1)}}, 4)
		}
		if a, b, d := holdersOf(core, 1, 5), holdersOf(core, 2, 5), holdersOf(core, 3, 5); a != truth || b+d != "" {
			t.Fatalf("after %v: key 1 %q, key 2 %q, key 3 %q", done, a, b, d)
		}
		for i := range left {
			walk(append(append([]contract.CacheReport(nil), left[:i]...), left[i+1:]...), append(append([]contract.CacheReport(nil), done...), left[i]))
		}
	}
	walk(reports, nil)
	if orders != 65 || fullRequests != 64 { // all but the one right order need a full report
		t.Fatalf("%d orders, %d requests for a full report", orders, fullRequests)
	}
}

// How long presumed and confirmed holdings count.
func TestHoldingsLapseUnlessConfirmed(t *testing.T) {
	bounds := settings.DefaultBounds()
	k := key(1)
	presume := func(core *Core, now time.Duration, sequence uint64) {
		core.RecordAccesses(&wire.CountRequest{Reporter: "d", Incarnation: 1, Sequence: sequence, Accesses: []*wire.Access{{Key: k[:], Count: 1, Service: "s", PresumedHolders: []string{"worker"}}}}, now)
	}
	core := NewCore(bounds, anyKey)
	applyReport(core, contract.CacheReports{Incarnation: "i", Complete: true}, 1)
	presume(core, 1, 1)
	if got := holdersOf(core, 1, bounds.Heal(0.4)); got != "worker:1 " {
		t.Errorf("presumed: %q", got)
	}
	if got := holdersOf(core, 1, bounds.Heal(0.6)); got != "" {
		t.Errorf("presumed and never confirmed: %q", got)
	}
	applyReport(core, contract.CacheReports{Incarnation: "i", Number: 1, Reports: []contract.CacheReport{{Number: 1, Added: []contract.CachedPrefix{cachedPrefix(1)}}}}, bounds.Heal(1))
	if got := holdersOf(core, 1, bounds.Heal(3)); got != "worker:2 " {
		t.Errorf("confirmed: %q", got)
	}
	if got := holdersOf(core, 1, bounds.Heal(4)); got != "" {
		t.Errorf("confirmed, and the worker fell silent long ago: %q", got)
	}
	applyReport(core, contract.CacheReports{Incarnation: "i", Complete: true, Number: 1, Cached: []contract.CachedPrefix{cachedPrefix(1)}}, bounds.Heal(4))
	applyReport(core, contract.CacheReports{Incarnation: "j"}, bounds.Heal(4))
	if got := holdersOf(core, 1, bounds.Heal(4)); got != "" {
		t.Errorf("another incarnation has the holdings of the last one: %q", got)
	}
	if !core.NextReport("worker", "s").Full {
		t.Error("no full report is requested of another incarnation")
	}
}

// Accesses are counted once, however often their number arrives; a reporter that is unknown after a restart
// is asked for its window.
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
		t.Errorf("hotness %v after two batches of 5", h)
	}
	if got := core.RecordAccesses(newRequest(2, 1), 1); got.ResendWindow || got.Sequence != 1 {
		t.Errorf("a reporter's new incarnation: %v", got)
	}
	if got := NewCore(settings.DefaultBounds(), anyKey).RecordAccesses(newRequest(1, 7), 1); !got.ResendWindow {
		t.Error("an index without memory didn't ask for the window")
	}
	if h := core.Lookup([]prefix.Key{accessed}, 1+30*time.Second)[0].Hotness; h > 6 || h < 5 {
		t.Errorf("hotness %v a window later, from 15", h)
	}
}

// A reporter's late batches, of its previous incarnation, are never counted among those of the next; and a
// table full of reporters makes none of them count twice.
func TestLateAndEvictedReportersAreNotCountedTwice(t *testing.T) {
	b, k := settings.DefaultBounds(), key(1)
	newRequest := func(reporter string, incarnation, sequence uint64) *wire.CountRequest {
		return &wire.CountRequest{Reporter: reporter, Incarnation: incarnation, Sequence: sequence, Accesses: []*wire.Access{{Key: k[:], Count: 1, Service: "s"}}}
	}
	hotness := func(core *Core) float64 { return core.Lookup([]prefix.Key{k}, 1)[0].Hotness }
	core := NewCore(b, anyKey)
	for _, x := range [][2]uint64{{9, 1}, {4, 1}, {9, 1}, {9, 2}, {4, 1}, {4, 2}} { // a reboot may have made its incarnation number smaller
		core.RecordAccesses(newRequest("d", x[0], x[1]), 1)
	}
	if h := hotness(core); h != 3 {
		t.Errorf("hotness %v after three batches", h)
	}
	core = NewCore(b, anyKey)
	for range 2 {
		for i := range maxReporters + 50 {
			core.RecordAccesses(newRequest(fmt.Sprint("d", i), 1, 1), 1)
		}
	}
	if h := hotness(core); h != maxReporters || len(core.reporters) != maxReporters {
		t.Errorf("hotness %v, %d reporters", h, len(core.reporters))
	}
	if core.RecordAccesses(newRequest("new", 1, 1), b.Heal(2)); core.reporters["new"] == nil || len(core.reporters) != maxReporters {
		t.Error("a reporter that was silent for long wasn't dropped")
	}
}

// A worker leaves and returns under its name at another address, while responses of both incarnations are in
// flight: in every order, the old incarnation's holdings are void once it was seen to leave, and those of the
// new one are known once they were reported.
func TestEveryOrderOfAWorkerReturning(t *testing.T) {
	old := contract.CacheReports{Incarnation: "a", Number: 3, Complete: true, Cached: []contract.CachedPrefix{cachedPrefix(1)}}
	next := contract.CacheReports{Incarnation: "b", Number: 1, Complete: true, Cached: []contract.CachedPrefix{cachedPrefix(2)}}
	events := []string{"ask old", "report old", "leave", "ask new", "report new"}
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
				case "leave":
					core.RemoveWorker("worker")
					hasLeft = true
				case "report old":
					core.ApplyReport(requests["ask old"], old, 1)
				case "report new":
					core.ApplyReport(requests["ask new"], next, 1)
				default:
					requests[event] = core.NextReport("worker", "s")
				}
				if hasLeft && holdersOf(core, 1, 1) != "" {
					t.Fatalf("%v: after %s the old incarnation's part counts", done, event)
				}
			}
			if got := holdersOf(core, 2, 1); got != "worker:2 " {
				t.Fatalf("%v: the new incarnation's holdings: %q", done, got)
			}
			return
		}
		for _, event := range events {
			isDone := func(x string) bool { return slices.Contains(done, x) }
			if isDone(event) || event == "report old" && !isDone("ask old") || event == "report new" && !isDone("ask new") || event == "ask new" && !isDone("leave") || event == "leave" && !isDone("ask old") {
				continue
			}
			walk(append(slices.Clone(done), event))
		}
	}
	if walk(nil); orders != 4 {
		t.Fatalf("%d orders", orders)
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
		t.Errorf("%d entries, %d evicted", len(core.entries), core.Stats.Evicted)
	}
}

// Every key is assigned to two nodes in different zones, and a node that leaves moves no other node's keys.
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
			t.Fatalf("nodes %v", assigned)
		}
		if assigned[0] != "c-8" && assignedWithout[0] != assigned[0] {
			t.Fatalf("the first node moved from %s to %s though only c-8 left", assigned[0], assignedWithout[0])
		}
		keysByNode[assigned[0]]++
	}
	for w, x := range keysByNode {
		if x < 90 || x > 380 {
			t.Errorf("%s is the first node of %d of 2000", w, x)
		}
	}
}

// A full table with three holders an entry fits into a small machine's memory beside the other programs.
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
	t.Logf("%d entries with 3 holders: %.1f MB", len(core.entries), megabytes)
	if len(core.entries) != bounds.MaxIndexEntries || megabytes > 60 {
		t.Errorf("%d entries take %.1f MB", len(core.entries), megabytes)
	}
	runtime.KeepAlive(core)
}
