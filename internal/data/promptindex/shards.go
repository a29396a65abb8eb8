package promptindex

import (
	"context"
	"slices"
	"sort"
	"sync"
	"time"

	"pebbleloom/internal/data/prefix"
	"pebbleloom/internal/maputil"
	"pebbleloom/internal/rendezvous"
	"pebbleloom/internal/wire"
)

// shardCount is the number of shards into which the keys of prompt prefixes are divided. The first byte of a key is
// the number of its shard.
const shardCount = 256

// Shards assigns each key to two index nodes: the first one in the order of rendezvous hashing for the key's shard,
// and the next one in that order in another zone, or the second one if there is no other zone. It is immutable.
type Shards struct {
	// nodes has the names of the two index nodes of each shard, in the order in which lookups call them. A name is "" if
	// fewer than two index nodes are live.
	nodes [shardCount][2]string
	// addresses has the address of each live index node, by name.
	addresses map[string]string
}

// NewShards assigns each shard to two of the live index nodes in nodes, or to the only one.
//
// Example: s := promptindex.NewShards(snapshot.Nodes)
func NewShards(nodes []*wire.Node) *Shards {
	shards := &Shards{addresses: map[string]string{}}
	zones := map[string]string{}
	var names []string
	for _, node := range nodes {
		if isLive(node) {
			names = append(names, node.Name)
			shards.addresses[node.Name], zones[node.Name] = node.Addr, node.Zone
		}
	}
	sort.Strings(names)
	for shard := range shards.nodes {
		ranked := rendezvous.Order(string([]byte{byte(shard)}), names)
		if len(ranked) == 0 {
			continue
		}
		first, second := ranked[0], ""
		for _, name := range ranked[1:] {
			if second == "" || zones[second] == zones[first] && zones[name] != zones[first] {
				second = name
			}
		}
		shards.nodes[shard] = [2]string{first, second}
	}
	return shards
}

// NodesOf returns the names of the two index nodes that a key is assigned to. A name is "" if fewer than two index
// nodes are live.
//
// Example: first := s.NodesOf(key)[0]
func (s *Shards) NodesOf(key prefix.Key) [2]string { return s.nodes[key[0]] }

// IsAssigned reports whether a key is assigned to the index node with a name.
//
// Example: s.IsAssigned("catalogue/edge-1", key)
func (s *Shards) IsAssigned(name string, key prefix.Key) bool { return s.isAssigned(name, int(key[0])) }

func (s *Shards) isAssigned(name string, shard int) bool {
	nodes := s.nodes[shard]
	return nodes[0] == name || nodes[1] == name
}

// SameAssignment reports whether s and other assign the same shards to an index node. It returns false if other is
// nil.
//
// Example: if !old.SameAssignment(s, name) { core.Reshard() }
func (s *Shards) SameAssignment(other *Shards, name string) bool {
	if other == nil {
		return false
	}
	for shard := range s.nodes {
		if s.isAssigned(name, shard) != other.isAssigned(name, shard) {
			return false
		}
	}
	return true
}

// Addr returns the address of the index node with a name; "" if the node is not live.
//
// Example: addr := s.Addr("catalogue/edge-1")
func (s *Shards) Addr(name string) string { return s.addresses[name] }

// Lookup looks up keys with one concurrent call to each of their first index nodes. Keys whose first node does not
// respond in time, or responds that it is not warm (it does not have the reports of enough workers yet), are then
// looked up on their second node. Each of the two attempts takes at most wait. Keys that neither node responded to are
// missing from the result; this is not an error.
//
// Example: found := s.Lookup(ctx, keys, clients.PromptIndex, 20*time.Millisecond)
func (s *Shards) Lookup(ctx context.Context, keys []prefix.Key, connect func(addr string) wire.PromptIndex, wait time.Duration) map[prefix.Key]*wire.LookupResult {
	found := make(map[prefix.Key]*wire.LookupResult, len(keys))
	// isFinal has the keys for which an index node has responded that has the reports of enough workers
	// (LookupResponse.Warm).
	isFinal := make(map[prefix.Key]bool, len(keys))
	// mu guards found and isFinal, which the concurrent calls write.
	var mu sync.Mutex
	for attempt := range 2 {
		keysByNode := map[string][]prefix.Key{}
		for _, key := range keys {
			if node := s.NodesOf(key)[attempt]; !isFinal[key] && node != "" {
				keysByNode[node] = append(keysByNode[node], key)
			}
		}
		if len(keysByNode) == 0 {
			break
		}
		var calls sync.WaitGroup
		callCtx, cancel := context.WithTimeout(ctx, wait)
		for node, nodeKeys := range keysByNode {
			calls.Go(func() {
				response := callLookup(callCtx, connect(s.addresses[node]), nodeKeys)
				if response == nil {
					// If this is the first attempt, the second one looks up the keys of this failed call on their second nodes.
					return
				}
				mu.Lock()
				defer mu.Unlock()
				for i, key := range nodeKeys {
					found[key], isFinal[key] = MergeLookupResults(found[key], response.Results[i]), response.Warm
				}
			})
		}
		calls.Wait()
		cancel()
	}
	return found
}

// callLookup looks up keys on one index node. It returns nil if the call fails or the response does not have one
// result for each key.
func callLookup(ctx context.Context, client wire.PromptIndex, keys []prefix.Key) *wire.LookupResponse {
	request := &wire.LookupRequest{}
	for _, key := range keys {
		request.Keys = append(request.Keys, key[:])
	}
	response, err := client.Lookup(ctx, request)
	if err != nil || len(response.Results) != len(keys) {
		return nil
	}
	return response
}

// MergeLookupResults merges the lookup results a (may be nil) and b of two index nodes for the same key. For a worker or store
// that is a holder in both, the certainty (presumed or confirmed) in b is used.
//
// Example: found[key] = promptindex.MergeLookupResults(found[key], response.Results[i])
func MergeLookupResults(a, b *wire.LookupResult) *wire.LookupResult {
	if a == nil {
		return b
	}
	merged := &wire.LookupResult{Hotness: max(a.Hotness, b.Hotness), Holders: b.Holders}
	for _, holder := range a.Holders {
		if !slices.ContainsFunc(b.Holders, func(other *wire.Holder) bool { return other.Worker == holder.Worker }) {
			merged.Holders = append(merged.Holders, holder)
		}
	}
	return merged
}

// MergeHotPrefixes merges the hottest entries (those with the highest decayed number of accesses) that several index nodes
// report. Two nodes count the accesses to each entry; the higher hotness is used. The result is sorted by key.
//
// Example: hot := promptindex.MergeHotPrefixes(responses)
func MergeHotPrefixes(responses []*wire.HottestResponse) []*wire.HotPrefix {
	byKey := map[string]*wire.HotPrefix{}
	for _, response := range responses {
		for _, hot := range response.Prefixes {
			if known := byKey[string(hot.Key)]; known == nil || known.Hotness < hot.Hotness {
				byKey[string(hot.Key)] = hot
			}
		}
	}
	merged := make([]*wire.HotPrefix, 0, len(byKey))
	for _, key := range maputil.SortedKeys(byKey) {
		merged = append(merged, byKey[key])
	}
	return merged
}
