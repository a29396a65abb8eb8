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

func kept(n int) contract.CachedPrefix {
	return contract.CachedPrefix{Key: key(n).String(), Tokens: 10}
}

func holders(c *Core, n int, now time.Duration) string {
	s := ""
	for _, h := range c.Lookup([]prefix.Key{key(n)}, now)[0].Holders {
		s += fmt.Sprintf("%s:%d ", h.Worker, h.State)
	}
	return s
}

func all(prefix.Key) bool { return true }

func applyReport(c *Core, r contract.CacheReports, now time.Duration) {
	c.ApplyReport(c.NextReport("worker", "s"), r, now)
}

// Four numbered reports come in every order, and each may be lost: the index either knows
// exactly what the worker holds, or knows that it must ask for the whole.
func TestEveryOrderAndGapOfReports(t *testing.T) {
	rs := []contract.CacheReport{
		{Number: 1, Added: []contract.CachedPrefix{kept(1), kept(2)}},
		{Number: 2, Removed: []string{key(1).String()}, Added: []contract.CachedPrefix{kept(3)}},
		{Number: 3, Added: []contract.CachedPrefix{kept(1)}},
		{Number: 4, Removed: []string{key(2).String(), key(3).String()}},
	}
	truth := "worker:2 " // after all four: key 1 alone
	orders, asked := 0, 0
	var walk func(left []contract.CacheReport, c []contract.CacheReport)
	walk = func(left, done []contract.CacheReport) {
		orders++
		c := NewCore(settings.DefaultBounds(), all)
		applyReport(c, contract.CacheReports{Incarnation: "i", Complete: true}, 1)
		for _, r := range done {
			applyReport(c, contract.CacheReports{Incarnation: "i", Number: r.Number, Reports: []contract.CacheReport{r}}, 2)
		}
		applyReport(c, contract.CacheReports{Incarnation: "i", Number: 4}, 3) // nothing new: it stands at 4
		if c.NextReport("worker", "s").Full {
			asked++
			applyReport(c, contract.CacheReports{Incarnation: "i", Number: 4, Complete: true, Cached: []contract.CachedPrefix{kept(1)}}, 4)
		}
		if a, b, d := holders(c, 1, 5), holders(c, 2, 5), holders(c, 3, 5); a != truth || b+d != "" {
			t.Fatalf("after %v: key 1 %q, key 2 %q, key 3 %q", done, a, b, d)
		}
		for i := range left {
			walk(append(append([]contract.CacheReport(nil), left[:i]...), left[i+1:]...), append(append([]contract.CacheReport(nil), done...), left[i]))
		}
	}
	walk(rs, nil)
	if orders != 65 || asked != 64 { // all but the one right order need the whole
		t.Fatalf("%d orders, whole asked for %d times", orders, asked)
	}
}

// What the index believes of a holder, and for how long.
func TestHoldersLapseUnlessConfirmed(t *testing.T) {
	b := settings.DefaultBounds()
	k := key(1)
	presume := func(c *Core, now time.Duration, n uint64) {
		c.RecordAccesses(&wire.CountRequest{Reporter: "d", Incarnation: 1, Sequence: n, Accesses: []*wire.Access{{Key: k[:], Count: 1, Service: "s", PresumedHolders: []string{"worker"}}}}, now)
	}
	c := NewCore(b, all)
	applyReport(c, contract.CacheReports{Incarnation: "i", Complete: true}, 1)
	presume(c, 1, 1)
	if got := holders(c, 1, b.Heal(0.4)); got != "worker:1 " {
		t.Errorf("presumed: %q", got)
	}
	if got := holders(c, 1, b.Heal(0.6)); got != "" {
		t.Errorf("presumed and never confirmed: %q", got)
	}
	applyReport(c, contract.CacheReports{Incarnation: "i", Number: 1, Reports: []contract.CacheReport{{Number: 1, Added: []contract.CachedPrefix{kept(1)}}}}, b.Heal(1))
	if got := holders(c, 1, b.Heal(3)); got != "worker:2 " {
		t.Errorf("confirmed: %q", got)
	}
	if got := holders(c, 1, b.Heal(4)); got != "" {
		t.Errorf("confirmed, and the worker fell silent long ago: %q", got)
	}
	applyReport(c, contract.CacheReports{Incarnation: "i", Complete: true, Number: 1, Cached: []contract.CachedPrefix{kept(1)}}, b.Heal(4))
	applyReport(c, contract.CacheReports{Incarnation: "j"}, b.Heal(4))
	if got := holders(c, 1, b.Heal(4)); got != "" {
		t.Errorf("another incarnation holds what the last one held: %q", got)
	}
	if !c.NextReport("worker", "s").Full {
		t.Error("another incarnation isn't asked for the whole")
	}
}

// Accesses are counted once, however often their number comes; a teller unknown after a
// restart is asked for its window.
func TestCountsComeOnce(t *testing.T) {
	k := key(1)
	ask := func(inc, n uint64) *wire.CountRequest {
		return &wire.CountRequest{Reporter: "d", Incarnation: inc, Sequence: n, Accesses: []*wire.Access{{Key: k[:], Count: 5, Service: "s"}}}
	}
	c := NewCore(settings.DefaultBounds(), all)
	for range 3 {
		c.RecordAccesses(ask(1, 1), 1)
	}
	c.RecordAccesses(ask(1, 2), 1)
	c.RecordAccesses(ask(1, 1), 1)
	if h := c.Lookup([]prefix.Key{k}, 1)[0].Hotness; h != 10 {
		t.Errorf("hotness %v after two batches of 5", h)
	}
	if got := c.RecordAccesses(ask(2, 1), 1); got.ResendWindow || got.Sequence != 1 {
		t.Errorf("a teller's new incarnation: %v", got)
	}
	if got := NewCore(settings.DefaultBounds(), all).RecordAccesses(ask(1, 7), 1); !got.ResendWindow {
		t.Error("an index without memory didn't ask for the window")
	}
	if h := c.Lookup([]prefix.Key{k}, 1+30*time.Second)[0].Hotness; h > 6 || h < 5 {
		t.Errorf("hotness %v a window later, from 15", h)
	}
}

// A teller's late batches, of its previous incarnation, are never counted among those of the next; and a
// table full of tellers makes none of them count twice.
func TestNoBatchCountsTwice(t *testing.T) {
	b, k := settings.DefaultBounds(), key(1)
	ask := func(who string, inc, n uint64) *wire.CountRequest {
		return &wire.CountRequest{Reporter: who, Incarnation: inc, Sequence: n, Accesses: []*wire.Access{{Key: k[:], Count: 1, Service: "s"}}}
	}
	hot := func(c *Core) float64 { return c.Lookup([]prefix.Key{k}, 1)[0].Hotness }
	c := NewCore(b, all)
	for _, x := range [][2]uint64{{9, 1}, {4, 1}, {9, 1}, {9, 2}, {4, 1}, {4, 2}} { // a reboot may have made its incarnation number smaller
		c.RecordAccesses(ask("d", x[0], x[1]), 1)
	}
	if h := hot(c); h != 3 {
		t.Errorf("hotness %v after three batches", h)
	}
	c = NewCore(b, all)
	for range 2 {
		for i := range maxReporters + 50 {
			c.RecordAccesses(ask(fmt.Sprint("d", i), 1, 1), 1)
		}
	}
	if h := hot(c); h != maxReporters || len(c.reporters) != maxReporters {
		t.Errorf("hotness %v, %d tellers", h, len(c.reporters))
	}
	if c.RecordAccesses(ask("new", 1, 1), b.Heal(2)); c.reporters["new"] == nil || len(c.reporters) != maxReporters {
		t.Error("who was silent for long made no room")
	}
}

// A worker goes and returns under its name at another address, while answers of both incarnations are
// under way: in every order, what the old incarnation held counts for nothing once it was seen to go,
// and what the new one holds is known once it was reported.
func TestEveryOrderOfAWorkerReturning(t *testing.T) {
	old := contract.CacheReports{Incarnation: "a", Number: 3, Complete: true, Cached: []contract.CachedPrefix{kept(1)}}
	next := contract.CacheReports{Incarnation: "b", Number: 1, Complete: true, Cached: []contract.CachedPrefix{kept(2)}}
	events := []string{"ask old", "report old", "leave", "ask new", "report new"}
	n := 0
	var walk func(done []string)
	walk = func(done []string) {
		if len(done) == len(events) {
			n++
			c := NewCore(settings.DefaultBounds(), all)
			qs := map[string]ReportRequest{}
			left := false
			for _, e := range done {
				switch e {
				case "leave":
					c.RemoveWorker("worker")
					left = true
				case "report old":
					c.ApplyReport(qs["ask old"], old, 1)
				case "report new":
					c.ApplyReport(qs["ask new"], next, 1)
				default:
					qs[e] = c.NextReport("worker", "s")
				}
				if left && holders(c, 1, 1) != "" {
					t.Fatalf("%v: after %s the old incarnation's part counts", done, e)
				}
			}
			if got := holders(c, 2, 1); got != "worker:2 " {
				t.Fatalf("%v: what the new incarnation holds: %q", done, got)
			}
			return
		}
		for _, e := range events {
			at := func(x string) bool { return slices.Contains(done, x) }
			if at(e) || e == "report old" && !at("ask old") || e == "report new" && !at("ask new") || e == "ask new" && !at("leave") || e == "leave" && !at("ask old") {
				continue
			}
			walk(append(slices.Clone(done), e))
		}
	}
	if walk(nil); n != 4 {
		t.Fatalf("%d orders", n)
	}
}

func TestTheTableIsBounded(t *testing.T) {
	b := settings.DefaultBounds()
	b.MaxIndexEntries = 100
	c := NewCore(b, all)
	for i := range 1000 {
		k := key(i)
		c.RecordAccesses(&wire.CountRequest{Reporter: "d", Incarnation: 1, Sequence: uint64(i + 1), Accesses: []*wire.Access{{Key: k[:], Count: 1}}}, time.Duration(i))
	}
	if len(c.entries) > 100 || c.Stats.Evicted != 900 {
		t.Errorf("%d entries, %d evicted", len(c.entries), c.Stats.Evicted)
	}
}

// Two holders in different zones hold every key, and a node that leaves takes no
// other node's keys along.
func TestShardsHaveTwoHoldersInTwoZones(t *testing.T) {
	var ns []*wire.Node
	for i := range 9 {
		ns = append(ns, &wire.Node{Name: fmt.Sprintf("c-%d", i), Role: clustermembership.RolePromptIndex, Zone: fmt.Sprint(i % 4), Addr: "x"})
	}
	s, less := NewShards(ns), NewShards(ns[:8])
	n := map[string]int{}
	for i := range 2000 {
		k := key(i)
		h, l := s.NodesOf(k), less.NodesOf(k)
		if h[0] == "" || h[1] == "" || h[0][2:] == h[1][2:] || (h[0][2]-'0')%4 == (h[1][2]-'0')%4 {
			t.Fatalf("holders %v", h)
		}
		if h[0] != "c-8" && l[0] != h[0] {
			t.Fatalf("first holder moved from %s to %s though only c-8 left", h[0], l[0])
		}
		n[h[0]]++
	}
	for w, x := range n {
		if x < 90 || x > 380 {
			t.Errorf("%s is first holder of %d of 2000", w, x)
		}
	}
}

// A full table with three holders an entry fits into a small machine's memory beside the
// other programs.
func TestAFullIndexFitsItsMachine(t *testing.T) {
	b := settings.DefaultBounds()
	heap := func() float64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		return float64(m.HeapAlloc) / (1 << 20)
	}
	before := heap()
	c := NewCore(b, all)
	for w := range 3 {
		c.ApplyReport(c.NextReport(fmt.Sprint("worker-", w), "s"), contract.CacheReports{Incarnation: "i", Complete: true}, 1)
	}
	for i := range b.MaxIndexEntries {
		k := key(i)
		c.RecordAccesses(&wire.CountRequest{Reporter: "d", Incarnation: 1, Sequence: uint64(i + 1), Accesses: []*wire.Access{{Key: k[:], Count: 1, Tokens: 900, Service: "s",
			PresumedHolders: []string{"worker-0", "worker-1", "worker-2"}}}}, time.Duration(i))
	}
	mb := heap() - before
	t.Logf("%d entries with 3 holders: %.1f MB", len(c.entries), mb)
	if len(c.entries) != b.MaxIndexEntries || mb > 60 {
		t.Errorf("%d entries take %.1f MB", len(c.entries), mb)
	}
	runtime.KeepAlive(c)
}
