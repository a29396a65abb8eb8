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

// fakeIndex is the index nodes: all know the same holders, and each has a behavior of its own.
type fakeIndex struct {
	mu           sync.Mutex
	behavior     map[string]string // by address: "" (responds), hangs, errors, cold
	called       []string
	keyCount     int
	batches      map[string][]*wire.CountRequest
	holders      map[prefix.Key]string
	resendWindow bool
	unblock      chan struct{}
}

func (i *fakeIndex) setBehavior(addr, behavior string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.behavior[addr] = behavior
}

type fakeNode struct {
	index *fakeIndex
	addr  string
}

func (n fakeNode) Lookup(ctx context.Context, request *wire.LookupRequest) (*wire.LookupResponse, error) {
	n.index.mu.Lock()
	n.index.called = append(n.index.called, n.addr)
	n.index.keyCount += len(request.Keys)
	behavior, unblock := n.index.behavior[n.addr], n.index.unblock
	n.index.mu.Unlock()
	if unblock != nil {
		<-unblock
	}
	switch behavior {
	case "hangs":
		<-ctx.Done()
		return nil, ctx.Err()
	case "errors":
		return nil, errors.New("down")
	}
	response := &wire.LookupResponse{Warm: behavior != "cold"}
	for _, k := range request.Keys {
		result := &wire.LookupResult{}
		if holder := n.index.holders[prefix.Key(k)]; holder != "" && behavior != "cold" {
			result.Holders = append(result.Holders, &wire.Holder{Worker: holder, State: promptindex.Confirmed})
		}
		response.Results = append(response.Results, result)
	}
	return response, nil
}

func (n fakeNode) Count(ctx context.Context, batch *wire.CountRequest) (*wire.CountResponse, error) {
	n.index.mu.Lock()
	defer n.index.mu.Unlock()
	if n.index.behavior[n.addr] == "errors" {
		return nil, errors.New("down")
	}
	n.index.batches[n.addr] = append(n.index.batches[n.addr], batch)
	again := n.index.resendWindow
	n.index.resendWindow = false
	return &wire.CountResponse{Sequence: batch.Sequence, ResendWindow: again}, nil
}

func (n fakeNode) Hottest(context.Context, *wire.HottestRequest) (*wire.HottestResponse, error) {
	return nil, nil
}

func newNodes() (nodes []*wire.Node) {
	for i, zone := range []string{"a", "b", "c", "d"} {
		nodes = append(nodes, &wire.Node{Name: "catalogue/core-" + zone, Role: clustermembership.RolePromptIndex, Zone: zone, Addr: fmt.Sprintf("10.0.0.%d:1", i)})
	}
	return nodes
}

func runClient(t *testing.T, index *fakeIndex, test func(client *Client, serving []*wire.Node)) {
	t.Helper()
	if index.behavior == nil {
		index.behavior = map[string]string{}
	}
	index.batches = map[string][]*wire.CountRequest{}
	synctest.Test(t, func(t *testing.T) {
		nodes := newNodes()
		serving := promptindex.ServingNodes(nodes)
		environment := daemon.Environment{Clock: clock.Synctest(), WallClock: time.Now, Seed: func() uint64 { return 1 }}
		process := daemon.NewIn(environment, "edge", settings.Process{Name: "edge-1", Zone: serving[1].Zone, Bounds: settings.DefaultBounds(), Options: []string{"log=off"}})
		client := start(process, func() []*wire.Node { return nodes }, func(addr string) wire.PromptIndex { return fakeNode{index, addr} })
		test(client, serving)
		process.Stop(time.Second)
		synctest.Wait()
	})
}

func advance(d time.Duration) {
	<-time.NewTimer(d).C
	synctest.Wait()
}

func newKey(i int) prefix.Key { return promptindex.PartKey("s", fmt.Sprint(i)) }

func newKeys(n int) (keys []prefix.Key) {
	for i := range n {
		keys = append(keys, newKey(i))
	}
	return keys
}

const lookupWait = 12 * time.Millisecond

// All keys of a lookup go in one call, to the serving node of this zone.
func TestOneCallForAllKeysOfALookup(t *testing.T) {
	index := &fakeIndex{holders: map[prefix.Key]string{newKey(3): "w"}}
	runClient(t, index, func(client *Client, serving []*wire.Node) {
		found := client.Lookup(context.Background(), newKeys(20), lookupWait)
		if len(found) != 20 || len(found[newKey(3)].Holders) != 1 || len(found[newKey(4)].Holders) != 0 {
			t.Errorf("found %v", found)
		}
		if !slices.Equal(index.called, []string{serving[1].Addr}) {
			t.Errorf("called %v, want %v alone", index.called, serving[1].Addr)
		}
		if found = client.Lookup(context.Background(), []prefix.Key{newKey(3)}, lookupWait); len(found) != 1 || len(index.called) != 1 {
			t.Errorf("called again at once: %v", index.called)
		}
		advance(client.bounds.Heal(cacheLifetimeRatio))
		if client.Lookup(context.Background(), []prefix.Key{newKey(3)}, lookupWait); len(index.called) != 2 {
			t.Errorf("an outdated answer was used: %v", index.called)
		}
		if client.Lookup(context.Background(), nil, lookupWait) != nil || len(index.called) != 2 {
			t.Errorf("called for no keys: %v", index.called)
		}
	})
}

// Lookups that arrive while others are in flight are joined into one call.
func TestWaitingLookupsAreJoined(t *testing.T) {
	index := &fakeIndex{}
	runClient(t, index, func(client *Client, _ []*wire.Node) {
		index.unblock = make(chan struct{})
		var wg sync.WaitGroup
		lookUp := func(i int) {
			wg.Go(func() { client.Lookup(context.Background(), []prefix.Key{newKey(i), newKey(0)}, client.bounds.Heal(1)) })
			synctest.Wait()
		}
		for i := range maxConcurrentBatches + 21 {
			lookUp(i)
		}
		if len(index.called) != maxConcurrentBatches {
			t.Errorf("%d calls in flight", len(index.called))
		}
		close(index.unblock)
		wg.Wait()
		// One lookup had left the ring already while the others waited in it.
		if len(index.called) != maxConcurrentBatches+1 || index.keyCount != 2*maxConcurrentBatches-1+22 {
			t.Errorf("%d calls with %d keys", len(index.called), index.keyCount)
		}
	})
}

func TestLateOrMissingResponseIsAMiss(t *testing.T) {
	index := &fakeIndex{behavior: map[string]string{}, holders: map[prefix.Key]string{newKey(1): "w"}}
	runClient(t, index, func(client *Client, serving []*wire.Node) {
		index.setBehavior(serving[0].Addr, "hangs")
		index.setBehavior(serving[1].Addr, "hangs")
		startedAt := client.clock.Now()
		if found := client.Lookup(context.Background(), newKeys(2), lookupWait); found != nil || client.clock.Now()-startedAt > lookupWait {
			t.Errorf("%v after %v", found, client.clock.Now()-startedAt)
		}
		index.setBehavior(serving[0].Addr, "")
		advance(time.Second)
		if found := client.Lookup(context.Background(), newKeys(2), lookupWait); len(found[newKey(1)].GetHolders()) != 1 {
			t.Errorf("the other node wasn't called in time: %v", found)
		}
		calls := len(index.called)
		if client.Lookup(context.Background(), newKeys(1), lookupWait); index.called[calls] != serving[0].Addr || len(index.called) != calls+1 {
			t.Errorf("the one that was late was called first: %v", index.called[calls:])
		}
	})
}

func TestOtherNodeIsAskedAfterAnErrorOrAColdResponse(t *testing.T) {
	for _, behavior := range []string{"errors", "cold"} {
		index := &fakeIndex{behavior: map[string]string{}, holders: map[prefix.Key]string{newKey(1): "w"}}
		runClient(t, index, func(client *Client, serving []*wire.Node) {
			index.setBehavior(serving[1].Addr, behavior)
			if m := client.Lookup(context.Background(), newKeys(2), lookupWait); len(m[newKey(1)].GetHolders()) != 1 || len(index.called) != 2 {
				t.Errorf("%s: %v, called %v", behavior, m, index.called)
			}
		})
	}
	runClient(t, &fakeIndex{}, func(client *Client, _ []*wire.Node) {
		client.nodes = func() []*wire.Node { return nil }
		if m := client.Lookup(context.Background(), newKeys(2), lookupWait); m != nil {
			t.Errorf("no index: %v", m)
		}
	})
}

func newPart(i int) []prefix.Entry { return []prefix.Entry{{Key: newKey(i), Tokens: 100}} }

// Accesses go to both nodes of a key in numbered batches; one that wasn't acknowledged is sent again as it was.
func TestAccessesAreSentInNumberedBatches(t *testing.T) {
	index := &fakeIndex{behavior: map[string]string{}}
	runClient(t, index, func(client *Client, serving []*wire.Node) {
		for range 3 {
			client.RecordAccesses("llm", newPart(1), "w1", "")
		}
		client.RecordAccesses("llm", newPart(1), "w2", "store")
		advance(client.bounds.Heal(flushRatio))
		for _, node := range serving {
			batches := index.batches[node.Addr]
			if len(batches) != 1 || len(batches[0].Accesses) != 1 || batches[0].Sequence != 1 || batches[0].Accesses[0].Count != 4 ||
				!slices.Equal(batches[0].Accesses[0].PresumedHolders, []string{"w1", "w2", "store"}) || !batches[0].Accesses[0].Head {
				t.Fatalf("%s was sent %v", node.Addr, batches)
			}
		}
		advance(client.bounds.Heal(3 * flushRatio))
		if len(index.batches[serving[0].Addr]) != 1 {
			t.Error("sent again without new accesses")
		}
		index.setBehavior(serving[0].Addr, "errors")
		client.RecordAccesses("llm", newPart(2), "w1", "")
		advance(client.bounds.Heal(flushRatio))
		client.RecordAccesses("llm", newPart(3), "w1", "")
		index.setBehavior(serving[0].Addr, "")
		advance(client.bounds.Heal(2 * flushRatio))
		batches := index.batches[serving[0].Addr][1:]
		if len(batches) != 2 || batches[0].Sequence != 2 || batches[1].Sequence != 3 || string(batches[0].Accesses[0].Key) != string(newPart(2)[0].Key[:]) {
			t.Errorf("after an error: %v", batches)
		}
	})
}

func TestRestartedIndexNodeGetsTheWindow(t *testing.T) {
	index := &fakeIndex{}
	runClient(t, index, func(client *Client, serving []*wire.Node) {
		client.RecordAccesses("llm", newPart(1), "w1", "")
		advance(client.bounds.Heal(flushRatio))
		index.mu.Lock()
		index.resendWindow = true
		index.mu.Unlock()
		client.RecordAccesses("llm", newPart(2), "w1", "")
		advance(client.bounds.Heal(2 * flushRatio))
		resent := 0
		for _, batches := range index.batches {
			if len(batches) == 3 {
				resent++
				if len(batches[2].Accesses) != 2 || len(batches[2].Accesses[0].PresumedHolders) != 0 {
					t.Errorf("the window: %v", batches[2])
				}
			}
		}
		if resent != 1 {
			t.Errorf("%d nodes were sent the window", resent)
		}
	})
}

// A node that stops serving and then serves again knows this edge machine's batch numbers: they continue.
func TestBatchNumbersContinueWhenANodeReturns(t *testing.T) {
	index := &fakeIndex{}
	runClient(t, index, func(client *Client, serving []*wire.Node) {
		all := client.nodes()
		client.RecordAccesses("llm", newPart(1), "w1", "")
		advance(client.bounds.Heal(flushRatio))
		without := slices.DeleteFunc(slices.Clone(all), func(n *wire.Node) bool { return n.Name == serving[0].Name })
		setNodes := func(batches []*wire.Node) {
			client.actor.Ask(func(*table) { client.nodes = func() []*wire.Node { return batches } })
		}
		setNodes(without)
		client.RecordAccesses("llm", newPart(2), "w1", "")
		advance(client.bounds.Heal(2 * flushRatio))
		setNodes(all)
		client.RecordAccesses("llm", newPart(3), "w1", "")
		advance(client.bounds.Heal(2 * flushRatio))
		batches := index.batches[serving[0].Addr]
		if len(batches) != 2 || batches[1].Sequence != 2 {
			t.Errorf("sent %v", batches)
		}
	})
}

// While all index nodes are silent, requests don't wait for them one after another: one call now and then
// probes whether they respond again.
func TestSilentNodesAreProbed(t *testing.T) {
	index := &fakeIndex{behavior: map[string]string{}}
	runClient(t, index, func(client *Client, serving []*wire.Node) {
		for _, calls := range serving {
			index.setBehavior(calls.Addr, "hangs")
		}
		for range 3 {
			client.Lookup(context.Background(), newKeys(1), lookupWait)
		}
		calls, startedAt := len(index.called), client.clock.Now()
		for range 20 {
			client.Lookup(context.Background(), newKeys(1), lookupWait)
		}
		if len(index.called) > calls+len(serving) || client.clock.Now()-startedAt > 2*lookupWait {
			t.Errorf("%d calls in %v", len(index.called)-calls, client.clock.Now()-startedAt)
		}
		for _, calls := range serving {
			index.setBehavior(calls.Addr, "")
		}
		advance(client.bounds.Heal(lateProbeRatio))
		if client.Lookup(context.Background(), newKeys(1), lookupWait) == nil {
			t.Error("they respond again and aren't called")
		}
	})
}

// Index nodes that have just started can't know that no worker caches a part: that is a miss, not an answer.
func TestColdIndexCannotRuleOutHolders(t *testing.T) {
	index := &fakeIndex{holders: map[prefix.Key]string{newKey(3): "w"}}
	runClient(t, index, func(client *Client, serving []*wire.Node) {
		for _, n := range serving {
			index.setBehavior(n.Addr, "cold")
		}
		if found := client.Lookup(context.Background(), newKeys(5), lookupWait); len(found) != 0 {
			t.Errorf("%d answers from nodes that aren't warm", len(found))
		}
		for _, n := range serving {
			index.setBehavior(n.Addr, "")
		}
		advance(client.bounds.Heal(lateNodeRatio))
		if found := client.Lookup(context.Background(), newKeys(5), lookupWait); len(found) != 5 || len(found[newKey(3)].GetHolders()) != 1 {
			t.Errorf("warm again: %d answers", len(found))
		}
	})
}
