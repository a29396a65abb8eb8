package indexclient

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
	"pebbleloom/internal/daemon"
	"pebbleloom/internal/data/prefix"
	"pebbleloom/internal/data/promptindex"
	"pebbleloom/internal/settings"
	"pebbleloom/internal/wire"
)

// index stands in for the index nodes: each a real core of its own behind a mood.
type index struct {
	mu     sync.Mutex
	mood   map[string]string // by address: "", hangs, errors, cold
	asked  []string
	keys   int
	counts map[string][]*wire.CountRequest
	held   map[prefix.Key]string
	again  bool
	gate   chan struct{}
}

func (x *index) set(addr, mood string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.mood[addr] = mood
}

type node struct {
	x    *index
	addr string
}

func (n node) Lookup(ctx context.Context, a *wire.LookupRequest) (*wire.LookupResponse, error) {
	n.x.mu.Lock()
	n.x.asked = append(n.x.asked, n.addr)
	n.x.keys += len(a.Keys)
	mood, gate := n.x.mood[n.addr], n.x.gate
	n.x.mu.Unlock()
	if gate != nil {
		<-gate
	}
	switch mood {
	case "hangs":
		<-ctx.Done()
		return nil, ctx.Err()
	case "errors":
		return nil, errors.New("down")
	}
	t := &wire.LookupResponse{Warm: mood != "cold"}
	for _, k := range a.Keys {
		f := &wire.LookupResult{}
		if h := n.x.held[prefix.Key(k)]; h != "" && mood != "cold" {
			f.Holders = append(f.Holders, &wire.Holder{Worker: h, State: promptindex.Confirmed})
		}
		t.Results = append(t.Results, f)
	}
	return t, nil
}

func (n node) Count(ctx context.Context, a *wire.CountRequest) (*wire.CountResponse, error) {
	n.x.mu.Lock()
	defer n.x.mu.Unlock()
	if n.x.mood[n.addr] == "errors" {
		return nil, errors.New("down")
	}
	n.x.counts[n.addr] = append(n.x.counts[n.addr], a)
	again := n.x.again
	n.x.again = false
	return &wire.CountResponse{Sequence: a.Sequence, ResendWindow: again}, nil
}

func (n node) Hottest(context.Context, *wire.HottestRequest) (*wire.HottestResponse, error) {
	return nil, nil
}

func nodes() (l []*wire.Node) {
	for i, d := range []string{"a", "b", "c", "d"} {
		l = append(l, &wire.Node{Name: "catalogue/core-" + d, Role: clustermembership.RolePromptIndex, Zone: d, Addr: fmt.Sprintf("10.0.0.%d:1", i)})
	}
	return l
}

func run(t *testing.T, x *index, f func(s *Client, serving []*wire.Node)) {
	t.Helper()
	if x.mood == nil {
		x.mood = map[string]string{}
	}
	x.counts = map[string][]*wire.CountRequest{}
	synctest.Test(t, func(t *testing.T) {
		ns := nodes()
		serving := promptindex.ServingNodes(ns)
		w := daemon.Environment{Clock: clock.Synctest(), WallClock: time.Now, Seed: func() uint64 { return 1 }}
		l := daemon.NewIn(w, "edge", settings.Process{Name: "edge-1", Zone: serving[1].Zone, Bounds: settings.DefaultBounds(), Options: []string{"log=off"}})
		s := start(l, func() []*wire.Node { return ns }, func(addr string) wire.PromptIndex { return node{x, addr} })
		f(s, serving)
		l.Stop(time.Second)
		synctest.Wait()
	})
}

func pass(d time.Duration) {
	<-time.NewTimer(d).C
	synctest.Wait()
}

func key(i int) prefix.Key { return promptindex.PartKey("s", fmt.Sprint(i)) }

func keys(n int) (l []prefix.Key) {
	for i := range n {
		l = append(l, key(i))
	}
	return l
}

const wait = 12 * time.Millisecond

// All keys of a question go in one call, to the serving node of this zone.
func TestOneCallAQuestion(t *testing.T) {
	x := &index{held: map[prefix.Key]string{key(3): "w"}}
	run(t, x, func(s *Client, serving []*wire.Node) {
		m := s.Lookup(context.Background(), keys(20), wait)
		if len(m) != 20 || len(m[key(3)].Holders) != 1 || len(m[key(4)].Holders) != 0 {
			t.Errorf("found %v", m)
		}
		if !slices.Equal(x.asked, []string{serving[1].Addr}) {
			t.Errorf("asked %v, want %v alone", x.asked, serving[1].Addr)
		}
		if m = s.Lookup(context.Background(), []prefix.Key{key(3)}, wait); len(m) != 1 || len(x.asked) != 1 {
			t.Errorf("asked again at once: %v", x.asked)
		}
		pass(s.bounds.Heal(cacheLifetimeRatio))
		if s.Lookup(context.Background(), []prefix.Key{key(3)}, wait); len(x.asked) != 2 {
			t.Errorf("an old answer was gone by: %v", x.asked)
		}
		if s.Lookup(context.Background(), nil, wait) != nil || len(x.asked) != 2 {
			t.Errorf("asked for nothing: %v", x.asked)
		}
	})
}

// Questions that come while others are under way are joined into one call.
func TestWaitingQuestionsAreJoined(t *testing.T) {
	x := &index{}
	run(t, x, func(s *Client, _ []*wire.Node) {
		x.gate = make(chan struct{})
		var wg sync.WaitGroup
		ask := func(i int) {
			wg.Go(func() { s.Lookup(context.Background(), []prefix.Key{key(i), key(0)}, s.bounds.Heal(1)) })
			synctest.Wait()
		}
		for i := range maxConcurrentBatches + 21 {
			ask(i)
		}
		if len(x.asked) != maxConcurrentBatches {
			t.Errorf("%d calls under way", len(x.asked))
		}
		close(x.gate)
		wg.Wait()
		// One question had been taken out of the ring already while the others waited in it.
		if len(x.asked) != maxConcurrentBatches+1 || x.keys != 2*maxConcurrentBatches-1+22 {
			t.Errorf("%d calls with %d keys", len(x.asked), x.keys)
		}
	})
}

func TestALateOrMissingAnswerIsAMiss(t *testing.T) {
	x := &index{mood: map[string]string{}, held: map[prefix.Key]string{key(1): "w"}}
	run(t, x, func(s *Client, serving []*wire.Node) {
		x.set(serving[0].Addr, "hangs")
		x.set(serving[1].Addr, "hangs")
		from := s.clock.Now()
		if m := s.Lookup(context.Background(), keys(2), wait); m != nil || s.clock.Now()-from > wait {
			t.Errorf("%v after %v", m, s.clock.Now()-from)
		}
		x.set(serving[0].Addr, "")
		pass(time.Second)
		if m := s.Lookup(context.Background(), keys(2), wait); len(m[key(1)].GetHolders()) != 1 {
			t.Errorf("the other holder wasn't asked in time: %v", m)
		}
		n := len(x.asked)
		if s.Lookup(context.Background(), keys(1), wait); x.asked[n] != serving[0].Addr || len(x.asked) != n+1 {
			t.Errorf("the one that was late was asked first: %v", x.asked[n:])
		}
	})
}

func TestAnErrorOrAColdIndexIsMadeUpForByTheOther(t *testing.T) {
	for _, mood := range []string{"errors", "cold"} {
		x := &index{mood: map[string]string{}, held: map[prefix.Key]string{key(1): "w"}}
		run(t, x, func(s *Client, serving []*wire.Node) {
			x.set(serving[1].Addr, mood)
			if m := s.Lookup(context.Background(), keys(2), wait); len(m[key(1)].GetHolders()) != 1 || len(x.asked) != 2 {
				t.Errorf("%s: %v, asked %v", mood, m, x.asked)
			}
		})
	}
	run(t, &index{}, func(s *Client, _ []*wire.Node) {
		s.nodes = func() []*wire.Node { return nil }
		if m := s.Lookup(context.Background(), keys(2), wait); m != nil {
			t.Errorf("no index: %v", m)
		}
	})
}

func part(i int) []prefix.Entry { return []prefix.Entry{{Key: key(i), Tokens: 100}} }

// What is counted goes to both holders in numbered batches; one that wasn't acknowledged is sent
// again as it was.
func TestCountsAreSentInNumberedBatches(t *testing.T) {
	x := &index{mood: map[string]string{}}
	run(t, x, func(s *Client, serving []*wire.Node) {
		for range 3 {
			s.RecordAccesses("llm", part(1), "w1", "")
		}
		s.RecordAccesses("llm", part(1), "w2", "store")
		pass(s.bounds.Heal(flushRatio))
		for _, n := range serving {
			l := x.counts[n.Addr]
			if len(l) != 1 || len(l[0].Accesses) != 1 || l[0].Sequence != 1 || l[0].Accesses[0].Count != 4 ||
				!slices.Equal(l[0].Accesses[0].PresumedHolders, []string{"w1", "w2", "store"}) || !l[0].Accesses[0].Head {
				t.Fatalf("%s was reported %v", n.Addr, l)
			}
		}
		pass(s.bounds.Heal(3 * flushRatio))
		if len(x.counts[serving[0].Addr]) != 1 {
			t.Error("reported again though there was no news")
		}
		x.set(serving[0].Addr, "errors")
		s.RecordAccesses("llm", part(2), "w1", "")
		pass(s.bounds.Heal(flushRatio))
		s.RecordAccesses("llm", part(3), "w1", "")
		x.set(serving[0].Addr, "")
		pass(s.bounds.Heal(2 * flushRatio))
		l := x.counts[serving[0].Addr][1:]
		if len(l) != 2 || l[0].Sequence != 2 || l[1].Sequence != 3 || string(l[0].Accesses[0].Key) != string(part(2)[0].Key[:]) {
			t.Errorf("after an error: %v", l)
		}
	})
}

func TestRestartedIndexNodeGetsTheWindow(t *testing.T) {
	x := &index{}
	run(t, x, func(s *Client, serving []*wire.Node) {
		s.RecordAccesses("llm", part(1), "w1", "")
		pass(s.bounds.Heal(flushRatio))
		x.mu.Lock()
		x.again = true
		x.mu.Unlock()
		s.RecordAccesses("llm", part(2), "w1", "")
		pass(s.bounds.Heal(2 * flushRatio))
		n := 0
		for _, l := range x.counts {
			if len(l) == 3 {
				n++
				if len(l[2].Accesses) != 2 || len(l[2].Accesses[0].PresumedHolders) != 0 {
					t.Errorf("the window: %v", l[2])
				}
			}
		}
		if n != 1 {
			t.Errorf("%d nodes were reported the window", n)
		}
	})
}

// A node that serves no more and then serves again knows this edge's numbers: they go on.
func TestNumbersGoOnWhenANodeComesBack(t *testing.T) {
	x := &index{}
	run(t, x, func(s *Client, serving []*wire.Node) {
		all := s.nodes()
		s.RecordAccesses("llm", part(1), "w1", "")
		pass(s.bounds.Heal(flushRatio))
		without := slices.DeleteFunc(slices.Clone(all), func(n *wire.Node) bool { return n.Name == serving[0].Name })
		swap := func(l []*wire.Node) { s.actor.Ask(func(*table) { s.nodes = func() []*wire.Node { return l } }) }
		swap(without)
		s.RecordAccesses("llm", part(2), "w1", "")
		pass(s.bounds.Heal(2 * flushRatio))
		swap(all)
		s.RecordAccesses("llm", part(3), "w1", "")
		pass(s.bounds.Heal(2 * flushRatio))
		l := x.counts[serving[0].Addr]
		if len(l) != 2 || l[1].Sequence != 2 {
			t.Errorf("reported %v", l)
		}
	})
}

// While all index nodes are silent, requests don't wait for them one after another: now and then one
// finds out whether they are back.
func TestSilentNodesAreProbedNowAndThen(t *testing.T) {
	x := &index{mood: map[string]string{}}
	run(t, x, func(s *Client, serving []*wire.Node) {
		for _, n := range serving {
			x.set(n.Addr, "hangs")
		}
		for range 3 {
			s.Lookup(context.Background(), keys(1), wait)
		}
		n, from := len(x.asked), s.clock.Now()
		for range 20 {
			s.Lookup(context.Background(), keys(1), wait)
		}
		if len(x.asked) > n+len(serving) || s.clock.Now()-from > 2*wait {
			t.Errorf("%d calls in %v", len(x.asked)-n, s.clock.Now()-from)
		}
		for _, n := range serving {
			x.set(n.Addr, "")
		}
		pass(s.bounds.Heal(lateProbeRatio))
		if s.Lookup(context.Background(), keys(1), wait) == nil {
			t.Error("they are back and aren't asked")
		}
	})
}
