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

// fakeIndex simulates the index nodes. All know the same holders; the behavior of each can be set separately.
type fakeIndex struct {
	mu           sync.Mutex
	behavior     map[string]string // by address of the node: "" (responds), hangs, errors, cold (responds, but doesn't know the workers' caches yet)
	called       []string          // addresses of the nodes that got a Lookup call, in order of the calls
	keyCount     int               // total number of keys in all Lookup calls
	batches      map[string][]*wire.CountRequest
	holders      map[prefix.Key]string
	resendWindow bool          // whether the next Count call is answered as by an index node that lost its state
	unblock      chan struct{} // if not nil, Lookup calls block until this channel is closed
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
	resendWindow := n.index.resendWindow
	n.index.resendWindow = false
	return &wire.CountResponse{Sequence: batch.Sequence, ResendWindow: resendWindow}, nil
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

// runClient runs a test in a synctest bubble with a client of a fake index; serving are the index nodes to which keys
// are assigned.
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

// advance lets d pass on the bubble's fake clock and waits until all goroutines block.
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

// All keys of a lookup are sent in one call, to the serving node in the client's zone.
func TestOneCallForAllKeysOfALookup(t *testing.T) {
	index := &fakeIndex{holders: map[prefix.Key]string{newKey(3): "w"}}
	runClient(t, index, func(client *Client, serving []*wire.Node) {
		found := client.Lookup(context.Background(), newKeys(20), lookupWait)
		if len(found) != 20 || len(found[newKey(3)].Holders) != 1 || len(found[newKey(4)].Holders) != 0 {
			t.Errorf("lookup of 20 keys: got %v, want 20 results with a holder of key 3 and none of key 4", found)
		}
		if !slices.Equal(index.called, []string{serving[1].Addr}) {
			t.Errorf("index nodes called for one lookup: got %v, want only %v, which is in the client's zone", index.called, serving[1].Addr)
		}
		if found = client.Lookup(context.Background(), []prefix.Key{newKey(3)}, lookupWait); len(found) != 1 || len(index.called) != 1 {
			t.Errorf("second lookup of a key: got %d results after calls of %v, want one cached result and no second call", len(found), index.called)
		}
		advance(client.bounds.Recovery(cacheLifetimeRatio))
		if client.Lookup(context.Background(), []prefix.Key{newKey(3)}, lookupWait); len(index.called) != 2 {
			t.Errorf("lookup after the cached result expired: index nodes called so far %v, want two calls", index.called)
		}
		if client.Lookup(context.Background(), nil, lookupWait) != nil || len(index.called) != 2 {
			t.Errorf("lookup without keys: index nodes called so far %v, want a nil result and no further call after the first two", index.called)
		}
	})
}

// Lookups that arrive while the maximum number of batches is in flight are combined into one call.
func TestWaitingLookupsAreJoined(t *testing.T) {
	index := &fakeIndex{}
	runClient(t, index, func(client *Client, _ []*wire.Node) {
		index.unblock = make(chan struct{})
		var wg sync.WaitGroup
		lookUp := func(i int) {
			wg.Go(func() {
				client.Lookup(context.Background(), []prefix.Key{newKey(i), newKey(0)}, client.bounds.Recovery(1))
			})
			synctest.Wait()
		}
		for i := range maxConcurrentBatches + 21 {
			lookUp(i)
		}
		if len(index.called) != maxConcurrentBatches {
			t.Errorf("lookup calls in flight at the same time: got %d, want %d", len(index.called), maxConcurrentBatches)
		}
		close(index.unblock)
		wg.Wait()
		// Client.run had already taken one lookup from its queue while the other 20 waited there; all 21 form one
		// batch.
		if len(index.called) != maxConcurrentBatches+1 || index.keyCount != 2*maxConcurrentBatches-1+22 {
			t.Errorf("25 concurrent lookups of two keys each: got %d calls with %d keys, want %d calls with %d keys", len(index.called), index.keyCount, maxConcurrentBatches+1, 2*maxConcurrentBatches-1+22)
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
			t.Errorf("lookup while both index nodes hang: got %v after %v, want nil after at most %v", found, client.clock.Now()-startedAt, lookupWait)
		}
		index.setBehavior(serving[0].Addr, "")
		advance(time.Second)
		if found := client.Lookup(context.Background(), newKeys(2), lookupWait); len(found[newKey(1)].GetHolders()) != 1 {
			t.Errorf("lookup while one index node hangs: got %v, want the holder of key 1 from the other node", found)
		}
		calls := len(index.called)
		if client.Lookup(context.Background(), newKeys(1), lookupWait); index.called[calls] != serving[0].Addr || len(index.called) != calls+1 {
			t.Errorf("index nodes called while %s counts as late: got %v, want only %s", serving[1].Addr, index.called[calls:], serving[0].Addr)
		}
	})
}

func TestOtherNodeIsAskedAfterAnErrorOrAColdResponse(t *testing.T) {
	for _, behavior := range []string{"errors", "cold"} {
		index := &fakeIndex{behavior: map[string]string{}, holders: map[prefix.Key]string{newKey(1): "w"}}
		runClient(t, index, func(client *Client, serving []*wire.Node) {
			index.setBehavior(serving[1].Addr, behavior)
			if found := client.Lookup(context.Background(), newKeys(2), lookupWait); len(found[newKey(1)].GetHolders()) != 1 || len(index.called) != 2 {
				t.Errorf("lookup while the first index node called has behavior %q: got %v after calls of %v, want the holder of key 1 after calls of two nodes", behavior, found, index.called)
			}
		})
	}
	runClient(t, &fakeIndex{}, func(client *Client, _ []*wire.Node) {
		client.nodes = func() []*wire.Node { return nil }
		if found := client.Lookup(context.Background(), newKeys(2), lookupWait); found != nil {
			t.Errorf("lookup without index nodes: got %v, want nil", found)
		}
	})
}

func newPart(i int) []prefix.Entry { return []prefix.Entry{{Key: newKey(i), Tokens: 100}} }

// Accesses are sent to both index nodes of a key in batches with sequence numbers. An unacknowledged batch is sent
// again unchanged.
func TestAccessesAreSentInNumberedBatches(t *testing.T) {
	index := &fakeIndex{behavior: map[string]string{}}
	runClient(t, index, func(client *Client, serving []*wire.Node) {
		for range 3 {
			client.RecordAccesses("llm", newPart(1), "w1", "")
		}
		client.RecordAccesses("llm", newPart(1), "w2", "store")
		advance(client.bounds.Recovery(flushRatio))
		for _, node := range serving {
			batches := index.batches[node.Addr]
			if len(batches) != 1 || len(batches[0].Accesses) != 1 || batches[0].Sequence != 1 || batches[0].Accesses[0].Count != 4 ||
				!slices.Equal(batches[0].Accesses[0].PresumedHolders, []string{"w1", "w2", "store"}) || !batches[0].Accesses[0].Head {
				t.Fatalf("batches sent to index node %s: got %v, want one with sequence 1 and four accesses to one key, presumably held by w1, w2 and store", node.Addr, batches)
			}
		}
		advance(client.bounds.Recovery(3 * flushRatio))
		if len(index.batches[serving[0].Addr]) != 1 {
			t.Errorf("batches sent to index node %s after flushes without new accesses: got %d in total, want still 1", serving[0].Addr, len(index.batches[serving[0].Addr]))
		}
		index.setBehavior(serving[0].Addr, "errors")
		client.RecordAccesses("llm", newPart(2), "w1", "")
		advance(client.bounds.Recovery(flushRatio))
		client.RecordAccesses("llm", newPart(3), "w1", "")
		index.setBehavior(serving[0].Addr, "")
		advance(client.bounds.Recovery(2 * flushRatio))
		batches := index.batches[serving[0].Addr][1:]
		if len(batches) != 2 || batches[0].Sequence != 2 || batches[1].Sequence != 3 || string(batches[0].Accesses[0].Key) != string(newPart(2)[0].Key[:]) {
			t.Errorf("batches acknowledged after a failed call: got %v, want sequence 2 with the access to key 2, then sequence 3", batches)
		}
	})
}

// An index node that lost its state is sent again the accesses that are still kept for resending.
func TestRestartedIndexNodeGetsTheWindow(t *testing.T) {
	index := &fakeIndex{}
	runClient(t, index, func(client *Client, serving []*wire.Node) {
		client.RecordAccesses("llm", newPart(1), "w1", "")
		advance(client.bounds.Recovery(flushRatio))
		index.mu.Lock()
		index.resendWindow = true
		index.mu.Unlock()
		client.RecordAccesses("llm", newPart(2), "w1", "")
		advance(client.bounds.Recovery(2 * flushRatio))
		resent := 0
		for _, batches := range index.batches {
			if len(batches) == 3 {
				resent++
				if len(batches[2].Accesses) != 2 || len(batches[2].Accesses[0].PresumedHolders) != 0 {
					t.Errorf("batch resent to an index node that lost its state: got %v, want two accesses and no workers presumed to cache the parts", batches[2])
				}
			}
		}
		if resent != 1 {
			t.Errorf("index nodes that were sent the kept accesses again: got %d, want only the one that lost its state", resent)
		}
	})
}

// An index node that stops serving and then serves again remembers the sequence numbers of this edge machine's
// batches, so they must continue rather than restart.
func TestBatchNumbersContinueWhenANodeReturns(t *testing.T) {
	index := &fakeIndex{}
	runClient(t, index, func(client *Client, serving []*wire.Node) {
		all := client.nodes()
		client.RecordAccesses("llm", newPart(1), "w1", "")
		advance(client.bounds.Recovery(flushRatio))
		without := slices.DeleteFunc(slices.Clone(all), func(n *wire.Node) bool { return n.Name == serving[0].Name })
		setNodes := func(nodes []*wire.Node) {
			client.actor.Ask(func(*table) { client.nodes = func() []*wire.Node { return nodes } })
		}
		setNodes(without)
		client.RecordAccesses("llm", newPart(2), "w1", "")
		advance(client.bounds.Recovery(2 * flushRatio))
		setNodes(all)
		client.RecordAccesses("llm", newPart(3), "w1", "")
		advance(client.bounds.Recovery(2 * flushRatio))
		batches := index.batches[serving[0].Addr]
		if len(batches) != 2 || batches[1].Sequence != 2 {
			t.Errorf("batches sent to an index node that left and returned: got %v, want two with sequences 1 and 2", batches)
		}
	})
}

// While no index node responds, lookups return immediately instead of each waiting for a timeout. Occasional
// calls probe whether a node responds again.
func TestSilentNodesAreProbed(t *testing.T) {
	index := &fakeIndex{behavior: map[string]string{}}
	runClient(t, index, func(client *Client, serving []*wire.Node) {
		for _, node := range serving {
			index.setBehavior(node.Addr, "hangs")
		}
		for range 3 {
			client.Lookup(context.Background(), newKeys(1), lookupWait)
		}
		calls, startedAt := len(index.called), client.clock.Now()
		for range 20 {
			client.Lookup(context.Background(), newKeys(1), lookupWait)
		}
		if len(index.called) > calls+len(serving) || client.clock.Now()-startedAt > 2*lookupWait {
			t.Errorf("20 lookups while all index nodes hang: got %d calls in %v, want at most %d calls in %v", len(index.called)-calls, client.clock.Now()-startedAt, len(serving), 2*lookupWait)
		}
		for _, node := range serving {
			index.setBehavior(node.Addr, "")
		}
		advance(client.bounds.Recovery(lateProbeRatio))
		if client.Lookup(context.Background(), newKeys(1), lookupWait) == nil {
			t.Errorf("lookup after the index nodes, whose calls had timed out, recovered: got nil, want a result, as the client calls such a node again after %v", client.bounds.Recovery(lateProbeRatio))
		}
	})
}

// Index nodes that have just started and don't know the contents of the workers' caches yet can't know that no worker
// caches a prompt part. Their results without a holder must be ignored.
func TestColdIndexCannotRuleOutHolders(t *testing.T) {
	index := &fakeIndex{holders: map[prefix.Key]string{newKey(3): "w"}}
	runClient(t, index, func(client *Client, serving []*wire.Node) {
		for _, n := range serving {
			index.setBehavior(n.Addr, "cold")
		}
		if found := client.Lookup(context.Background(), newKeys(5), lookupWait); len(found) != 0 {
			t.Errorf("lookup while no index node knows the workers' caches yet: got %d results, want none", len(found))
		}
		for _, n := range serving {
			index.setBehavior(n.Addr, "")
		}
		advance(client.bounds.Recovery(lateNodeRatio))
		if found := client.Lookup(context.Background(), newKeys(5), lookupWait); len(found) != 5 || len(found[newKey(3)].GetHolders()) != 1 {
			t.Errorf("lookup after the index nodes learned the workers' caches: got %d results, %d holders of key 3; want 5 results and one holder", len(found), len(found[newKey(3)].GetHolders()))
		}
	})
}
