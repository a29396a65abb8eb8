package promptindex

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pebbleloom/internal/clock"
	"pebbleloom/internal/control/clustermembership"
	"pebbleloom/internal/control/routingconfig"
	"pebbleloom/internal/daemon"
	"pebbleloom/internal/data/backend"
	"pebbleloom/internal/data/prefix"
	"pebbleloom/internal/fleet"
	"pebbleloom/internal/settings"
	"pebbleloom/internal/wire"
)

func plus(part string, tokens int) backend.CacheChange {
	return backend.CacheChange{Salt: "s", Part: part, Model: "m", Tokens: tokens}
}

func who(c *Core, part string, now time.Duration) string {
	s := ""
	for _, h := range c.Lookup([]prefix.Key{PartKey("s", part)}, now)[0].Holders {
		s += fmt.Sprintf("%s:%d ", h.Worker, h.State)
	}
	return s
}

func changed(c *Core, e backend.CacheEvents, now time.Duration) {
	c.ApplyEvents(c.NextEvents("w", "llm"), e, now)
}

func use(c *Core, part string, tokens uint32, n uint64, now time.Duration, holders ...string) {
	k := PartKey("s", part)
	c.RecordAccesses(&wire.CountRequest{Reporter: "e", Incarnation: 1, Sequence: n, Accesses: []*wire.Access{
		{Key: k[:], Count: 1, Tokens: tokens, Service: "llm", PresumedHolders: holders}}}, now)
}

// Text and part can't be shifted into each other.
func TestKeysOfTextsAndPartsDiffer(t *testing.T) {
	if PartKey("a", "bc") == PartKey("ab", "c") || PartKey("a", "b") == PartKey("a", "c") || PartKey("1", "x") == PartKey("2", "x") || StoreHealthKey("x") == PartKey("", "x") {
		t.Fatal("two keys are one")
	}
	long, same := string(make([]byte, 4*keyBuffer)), string(make([]byte, 4*keyBuffer))
	if PartKey(long, "a") == PartKey(long, "b") || PartKey(long, "a") != PartKey(same, "a") {
		t.Fatal("a long text's key")
	}
}

func TestChangesSinceTheBeginningAreAll(t *testing.T) {
	c := NewCore(settings.DefaultBounds(), all)
	changed(c, backend.CacheEvents{BootID: 1, NextSequence: 3, Changes: []backend.CacheChange{plus("a", 100), plus("b", 50), plus("a", 0)}}, 1)
	if who(c, "a", 2) != "" || who(c, "b", 2) != "w:2 " || !c.Warm() {
		t.Fatalf("a %q, b %q, warm %v", who(c, "a", 2), who(c, "b", 2), c.Warm())
	}
	if q := c.NextEvents("w", "llm"); q.After != 3 || q.Full {
		t.Fatalf("asks next for %+v", q)
	}
}

func TestAnotherBootHasDroppedAll(t *testing.T) {
	c := NewCore(settings.DefaultBounds(), all)
	changed(c, backend.CacheEvents{BootID: 1, NextSequence: 3, Changes: []backend.CacheChange{plus("a", 100)}}, 1)
	changed(c, backend.CacheEvents{BootID: 2, NextSequence: 9, Changes: []backend.CacheChange{plus("b", 100)}}, 2)
	if who(c, "a", 3)+who(c, "b", 3) != "" {
		t.Fatal("goes by numbers of another boot")
	}
	if q := c.NextEvents("w", "llm"); q.After != 0 || q.Full || c.Warm() {
		t.Fatalf("asks next for %+v, warm %v", q, c.Warm())
	}
	changed(c, backend.CacheEvents{BootID: 2, NextSequence: 9, Changes: []backend.CacheChange{plus("c", 100), plus("b", 100)}}, 4)
	if who(c, "c", 5) != "w:2 " || who(c, "a", 5) != "" || !c.Warm() {
		t.Fatalf("c %q a %q", who(c, "c", 5), who(c, "a", 5))
	}
}

func TestAfterAGapAllIsAskedFor(t *testing.T) {
	c := NewCore(settings.DefaultBounds(), all)
	changed(c, backend.CacheEvents{BootID: 1, NextSequence: 1, Changes: []backend.CacheChange{plus("a", 100)}}, 1)
	changed(c, backend.CacheEvents{BootID: 1, NextSequence: 90, Gap: true, Changes: []backend.CacheChange{plus("b", 100)}}, 2)
	q := c.NextEvents("w", "llm")
	if !q.Full || who(c, "a", 3) != "w:2 " || who(c, "b", 3) != "w:2 " || !c.Warm() {
		t.Fatalf("%+v: a %q b %q", q, who(c, "a", 3), who(c, "b", 3))
	}
	// Until the list is asked for, changes are taken as they come.
	q.Full = false
	c.ApplyEvents(q, backend.CacheEvents{BootID: 1, NextSequence: 91, Changes: []backend.CacheChange{plus("b", 0)}}, 4)
	if q = c.NextEvents("w", "llm"); !q.Full || q.After != 91 || who(c, "b", 4) != "" {
		t.Fatalf("%+v: b %q", q, who(c, "b", 4))
	}
	c.ApplyEvents(q, backend.CacheEvents{BootID: 1, NextSequence: 95, Changes: []backend.CacheChange{plus("c", 100)}}, 5)
	if q = c.NextEvents("w", "llm"); q.Full || who(c, "a", 6) != "" || who(c, "c", 6) != "w:2 " {
		t.Fatalf("%+v: a %q c %q", q, who(c, "a", 6), who(c, "c", 6))
	}
}

func TestTooLittleOfAPartIsNotHolding(t *testing.T) {
	c := NewCore(settings.DefaultBounds(), all)
	use(c, "a", 1000, 1, 1)
	for _, x := range []struct {
		kept int
		want string
	}{{1000, "w:2 "}, {992, "w:2 "}, {900, "w:2 "}, {880, ""}, {16, ""}} {
		changed(c, backend.CacheEvents{BootID: 1, NextSequence: 1, Changes: []backend.CacheChange{plus("a", x.kept)}}, 2)
		if got := who(c, "a", 2); got != x.want {
			t.Errorf("%d of 1000 kept: %q, want %q", x.kept, got, x.want)
		}
	}
	use(c, "b", 20, 2, 1) // whole blocks of 16 are all that is kept of it
	changed(c, backend.CacheEvents{BootID: 1, NextSequence: 1, Changes: []backend.CacheChange{plus("b", 16)}}, 2)
	if who(c, "b", 2) != "w:2 " {
		t.Error("a short part kept but for its last block isn't held")
	}
	use(c, "a", 1000, 3, 3, "w") // what is read there again will be kept whole
	if got := who(c, "a", 3); got != "w:1 " {
		t.Errorf("sent to one that keeps a piece: %q", got)
	}
}

// An answer that comes twice, or after a later one, changes nothing.
func TestLateAndDoubledAnswers(t *testing.T) {
	c := NewCore(settings.DefaultBounds(), all)
	q := c.NextEvents("w", "llm")
	e := backend.CacheEvents{BootID: 1, NextSequence: 1, Changes: []backend.CacheChange{plus("a", 100)}}
	c.ApplyEvents(q, e, 1)
	changed(c, backend.CacheEvents{BootID: 1, NextSequence: 2, Changes: []backend.CacheChange{plus("a", 0)}}, 2)
	c.ApplyEvents(q, e, 3)
	if who(c, "a", 3) != "" || c.NextEvents("w", "llm").After != 2 {
		t.Fatal("an answer counted twice")
	}
	q = c.NextEvents("w", "llm")
	c.RemoveWorker("w")
	c.ApplyEvents(q, e, 4)
	if who(c, "a", 4) != "" {
		t.Fatal("an answer from before the worker left counted")
	}
	changed(c, backend.CacheEvents{Throttled: true}, 5)
	if q := c.NextEvents("w", "llm"); q.After != 0 || c.Warm() {
		t.Fatal("a worker that turned the call away reported something")
	}
}

// Three changes of one part come in one to three answers, split in every manner, one of which may be
// marked as a gap: the last change is what counts.
func TestEverySplitOfChanges(t *testing.T) {
	l := []backend.CacheChange{plus("a", 100), plus("a", 0), plus("a", 200)}
	for cuts := range 4 {
		for lost := range 4 {
			c := NewCore(settings.DefaultBounds(), all)
			from := 0
			for i := 1; i <= len(l); i++ {
				if i == len(l) || cuts>>(i-1)&1 == 1 {
					changed(c, backend.CacheEvents{BootID: 7, NextSequence: uint64(i), Gap: lost == i, Changes: l[from:i]}, time.Duration(i))
					from = i
				}
			}
			if got := who(c, "a", 4); got != "w:2 " {
				t.Errorf("cuts %b, gap at %d: %q", cuts, lost, got)
			}
		}
	}
}

func TestPresumedBeforeTheFirstAnswer(t *testing.T) {
	b := settings.DefaultBounds()
	c := NewCore(b, all)
	use(c, "a", 100, 1, 1, "w", "store")
	if got := who(c, "a", 2); got != "store:1 w:1 " {
		t.Fatalf("presumed: %q", got)
	}
	changed(c, backend.CacheEvents{BootID: 1, NextSequence: 0}, 3)
	if got := who(c, "a", 4); got != "store:1 w:1 " {
		t.Fatalf("the first answer dropped what was presumed: %q", got)
	}
	if got := who(c, "a", b.Heal(0.6)); got != "" {
		t.Fatalf("never confirmed: %q", got)
	}
}

func TestStoreThatAnswers(t *testing.T) {
	b := settings.DefaultBounds()
	c := NewCore(b, all)
	up := func(now time.Duration) bool {
		return len(c.Lookup([]prefix.Key{StoreHealthKey("d")}, now)[0].Holders) > 0
	}
	if c.StoreUp("d", 1); !up(2) {
		t.Error("a store that answered is down")
	}
	if c.StoreDown("d"); up(3) {
		t.Error("a store that didn't answer is up")
	}
	if c.StoreUp("d", 4); up(b.Heal(0.6)) {
		t.Error("a store that nobody asked for long is up")
	}
}

func TestSweepLeavesWhatCounts(t *testing.T) {
	b := settings.DefaultBounds()
	c := NewCore(b, all)
	use(c, "hot", 10, 1, 0)
	changed(c, backend.CacheEvents{BootID: 1, NextSequence: 1, Changes: []backend.CacheChange{plus("kept", 10)}}, 1)
	use(c, "lapsed", 10, 2, 0, "x")
	c.Sweep(map[string]bool{"w": true}, 2)
	if len(c.entries) != 3 {
		t.Fatalf("%d entries, want 3", len(c.entries))
	}
	late := b.Heal(20)
	changed(c, backend.CacheEvents{BootID: 1, NextSequence: 1}, late)
	c.Sweep(map[string]bool{"w": true}, late)
	if len(c.entries) != 1 || len(c.workers) != 1 {
		t.Fatalf("%d entries and %d workers, want one of each", len(c.entries), len(c.workers))
	}
}

func indexNodes(zones ...string) (l []*wire.Node) {
	for i, d := range zones {
		l = append(l, &wire.Node{Name: fmt.Sprintf("catalogue/core-%d", i), Role: clustermembership.RolePromptIndex, Zone: d, Addr: fmt.Sprintf("10.0.0.%d:1", i)})
	}
	return l
}

func TestHalfOfTheIndexNodesServe(t *testing.T) {
	four := indexNodes("a", "a", "b", "b")
	l := ServingNodes(append(four, &wire.Node{Name: "edge/1", Role: "edge"}))
	if len(l) != 2 || l[0].Zone == l[1].Zone {
		t.Fatalf("serving: %v", l)
	}
	back := slices.Clone(four)
	slices.Reverse(back)
	if m := ServingNodes(back); m[0].Name != l[0].Name || m[1].Name != l[1].Name {
		t.Fatal("another order of nodes, others serve")
	}
	l[0].State = 2
	m := ServingNodes(four)
	if len(m) != 2 || m[0] != l[1] && m[1] != l[1] || m[0] == l[0] || m[1] == l[0] {
		t.Fatal("when one is gone the other stays and a third steps in")
	}
	if n := len(ServingNodes(indexNodes("a", "a", "a", "a", "b", "b", "b", "b"))); n != 4 {
		t.Fatalf("%d of 8 serve", n)
	}
	if n := len(ServingNodes(indexNodes("a"))); n != 1 {
		t.Fatalf("%d of 1 serve", n)
	}
}

// platform stands in for the workers' side of the calls.
type platform struct {
	backend.Client
	mu     sync.Mutex
	events map[string]int
	lists  map[string]int
	lost   bool
	dead   map[string]bool
	waits  []time.Duration
	under  map[string]int
	most   int
	full   bool
}

func (p *platform) enter(addr string, m map[string]int) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	m[addr]++
	p.under[addr]++
	p.most = max(p.most, p.under[addr])
	if p.dead[addr] {
		return errors.New("dead")
	}
	return nil
}

func (p *platform) leave(addr string) { p.mu.Lock(); p.under[addr]--; p.mu.Unlock() }

func (p *platform) CacheEvents(_ context.Context, addr string, since uint64, wait time.Duration) (backend.CacheEvents, error) {
	defer p.leave(addr)
	if err := p.enter(addr, p.events); err != nil {
		return backend.CacheEvents{}, err
	}
	p.mu.Lock()
	p.waits = append(p.waits, wait)
	p.mu.Unlock()
	return backend.CacheEvents{BootID: 1, NextSequence: 5, Gap: p.lost && since == 0, Throttled: p.full, Changes: []backend.CacheChange{plus("a", 10)}}, nil
}

func (p *platform) CachedPrefixes(_ context.Context, addr string) (backend.CacheEvents, error) {
	defer p.leave(addr)
	if err := p.enter(addr, p.lists); err != nil {
		return backend.CacheEvents{}, err
	}
	return backend.CacheEvents{BootID: 1, NextSequence: 6, Changes: []backend.CacheChange{plus("a", 10), plus("b", 10)}}, nil
}

func running(t *testing.T, p *platform, s *fleet.Snapshot, f func(n *Node)) {
	t.Helper()
	p.events, p.lists, p.under = map[string]int{}, map[string]int{}, map[string]int{}
	if p.dead == nil {
		p.dead = map[string]bool{}
	}
	synctest.Test(t, func(t *testing.T) {
		w := daemon.Environment{Clock: clock.Synctest(), WallClock: time.Now, Seed: func() uint64 { return 1 }}
		l := daemon.NewIn(w, "index", settings.Process{Name: "core-0", Bounds: settings.DefaultBounds(), Options: []string{"log=off"}})
		n, err := StartSite(l, p, func() *fleet.Snapshot { return s })
		if err != nil {
			t.Fatal(err)
		}
		f(n)
		l.Stop(time.Second)
		synctest.Wait()
	})
}

func pass(d time.Duration) {
	<-time.NewTimer(d).C
	synctest.Wait()
}

func snapshot(nodes []*wire.Node) *fleet.Snapshot {
	return &fleet.Snapshot{Nodes: nodes, Workers: []fleet.Worker{{ID: "w1", Service: "llm", Addr: "1:1"}, {ID: "w2", Service: "llm", Addr: "1:2"}, {ID: "p", Service: "app", Addr: "1:9"}},
		Plan: &routingconfig.Plan{Services: []routingconfig.Service{{Name: "llm", Engine: &routingconfig.Engine{MaxPolls: 12}}, {Name: "app"}, {Name: "d", Store: &routingconfig.Store{Addr: "2:1"}}}}}
}

// Each call has its price: one a worker and pace, none to plain workers, none by a node that only
// stands by.
func TestWorkersAreAskedAtASlowPace(t *testing.T) {
	b := settings.DefaultBounds()
	p := &platform{}
	running(t, p, snapshot(indexNodes("a")), func(n *Node) {
		pass(10 * b.Heal(pollRatio))
		for _, a := range []string{"1:1", "1:2", "2:1"} {
			if p.events[a] < 9 || p.events[a] > 11 {
				t.Errorf("%s was asked %d times in ten paces", a, p.events[a])
			}
		}
		if p.events["1:9"] != 0 || len(p.lists) != 0 || p.most != 1 {
			t.Errorf("plain worker %d, whole lists %v, at once %d", p.events["1:9"], p.lists, p.most)
		}
		k, up := PartKey("s", "a"), StoreHealthKey("d")
		a, err := n.Lookup(context.Background(), &wire.LookupRequest{Keys: [][]byte{k[:], up[:]}})
		if err != nil || len(a.Results) != 2 || !a.Warm || len(a.Results[0].Holders) != 3 || len(a.Results[1].Holders) != 1 {
			t.Errorf("%v, %v", a, err)
		}
	})
	p = &platform{}
	nodes := indexNodes("a", "b", "c")
	serves := func() bool {
		return slices.ContainsFunc(ServingNodes(nodes), func(x *wire.Node) bool { return x.Name == "catalogue/core-0" })
	}
	for i := 0; serves(); i++ {
		nodes[1].Name, nodes[2].Name = fmt.Sprintf("catalogue/b-%d", i), fmt.Sprintf("catalogue/c-%d", i)
	}
	running(t, p, snapshot(nodes), func(*Node) { pass(b.Heal(1)) })
	if len(p.events) != 0 {
		t.Errorf("a node that stands by asked %v", p.events)
	}
}

func TestWholeListsArePaced(t *testing.T) {
	b := settings.DefaultBounds()
	p := &platform{lost: true}
	running(t, p, snapshot(indexNodes("a")), func(n *Node) {
		pass(b.Heal(0.9))
		if p.lists["1:1"] != 1 || p.lists["1:2"] != 1 || p.lists["2:1"] != 1 {
			t.Errorf("whole lists: %v", p.lists)
		}
	})
}

func TestStoreThatIsDown(t *testing.T) {
	b := settings.DefaultBounds()
	p := &platform{dead: map[string]bool{"2:1": true}}
	running(t, p, snapshot(indexNodes("a")), func(n *Node) {
		up := StoreHealthKey("d")
		stands := func() bool {
			a, _ := n.Lookup(context.Background(), &wire.LookupRequest{Keys: [][]byte{up[:]}})
			return len(a.Results[0].Holders) > 0
		}
		if pass(b.Heal(0.4)); stands() {
			t.Error("a dead store is up")
		}
		p.mu.Lock()
		p.dead["2:1"] = false
		p.mu.Unlock()
		if pass(b.Heal(0.4)); !stands() {
			t.Error("a store that came back is down")
		}
		p.mu.Lock()
		p.dead["2:1"] = true
		p.mu.Unlock()
		if pass(b.Heal(0.2)); stands() {
			t.Error("a store that died is up")
		}
	})
}
