package indexclient

import (
	"fmt"
	"strings"
	"time"

	"pebbleloom/internal/data/prefix"
	"pebbleloom/internal/data/promptindex"
	"pebbleloom/internal/maputil"
	"pebbleloom/internal/rendezvous"
	"pebbleloom/internal/wire"
)

// table is the mutable state of a Client: the assignment of keys to index nodes, late nodes, cached lookup results and
// counted accesses. Only the goroutine of Client.actor accesses it.
type table struct {
	client     *Client
	membership []*wire.Node // cluster membership for which shards was last computed, or found unchanged
	layout     string       // names and addresses of the index nodes that shards was computed from
	shards     *promptindex.Shards
	sameZone   map[string]bool          // by name of the index node: whether it is in the client's zone
	lateUntil  map[string]time.Duration // by name of the index node: until when it is only called as a last resort
	probeAt    map[string]time.Duration // by name of a late index node: the earliest time of its next call
	cached     map[prefix.Key]cachedAnswer
	accesses   *AccessCounter
}

// cachedAnswer is a lookup result that is reused for cacheLifetimeRatio times the recovery time bound (the time within which
// service is restored after a failure).
type cachedAnswer struct {
	found *wire.LookupResult
	at    time.Duration
}

// nodeCall is a planned lookup call to one index node.
type nodeCall struct {
	node, addr string
	keys       []prefix.Key
}

func newTable(client *Client, incarnation uint64) *table {
	return &table{
		client:    client,
		sameZone:  map[string]bool{},
		lateUntil: map[string]time.Duration{},
		probeAt:   map[string]time.Duration{},
		cached:    map[prefix.Key]cachedAnswer{},
		accesses:  NewAccessCounter(client.name, incarnation, client.bounds.Recovery(resendWindowRatio)),
	}
}

// currentShards returns the assignment of keys to index nodes, which it recomputes if the index nodes have
// changed. A published membership slice is never modified, so an unchanged slice means unchanged nodes.
func (t *table) currentShards() *promptindex.Shards {
	nodes := t.client.nodes()
	if t.shards != nil && len(nodes) == len(t.membership) && (len(nodes) == 0 || &nodes[0] == &t.membership[0]) {
		return t.shards
	}
	t.membership = nodes
	serving := promptindex.ServingNodes(nodes)
	var layout strings.Builder
	for _, node := range serving {
		fmt.Fprintf(&layout, "%s %s\n", node.Name, node.Addr)
	}
	if t.shards != nil && layout.String() == t.layout {
		return t.shards
	}
	t.layout, t.shards = layout.String(), promptindex.NewShards(serving)
	clear(t.sameZone)
	clear(t.lateUntil)
	clear(t.probeAt)
	for _, node := range serving {
		t.sameZone[node.Name] = node.Zone == t.client.zone
	}
	return t.shards
}

// planCalls distributes keys over as few index nodes as possible, excluding those already asked. Late nodes (whose last
// response came too late, or before they had collected the contents of the workers' caches) are used only if their next
// probe is due and no other node is left; see isPreferred for the order.
func (t *table) planCalls(keys []prefix.Key, asked map[string]bool, now time.Duration) (calls []nodeCall) {
	shards := t.currentShards()
	for len(keys) > 0 {
		node := t.bestNode(t.keysByNode(keys, asked, now), now)
		if node == "" {
			return calls
		}
		if t.lateUntil[node] > now {
			t.probeAt[node] = now + t.client.bounds.Recovery(lateProbeRatio)
		}
		call := nodeCall{node: node, addr: shards.Addr(node)}
		var rest []prefix.Key
		for _, key := range keys {
			if shards.IsAssigned(node, key) {
				call.keys = append(call.keys, key)
			} else {
				rest = append(rest, key)
			}
		}
		calls, keys = append(calls, call), rest
	}
	return calls
}

// keysByNode returns, for each index node that may be called now, how many of the keys are assigned to it.
func (t *table) keysByNode(keys []prefix.Key, asked map[string]bool, now time.Duration) map[string]int {
	counts := map[string]int{}
	for _, key := range keys {
		assigned := t.shards.NodesOf(key)
		for i, node := range assigned {
			if node == "" || asked[node] || i > 0 && node == assigned[0] {
				continue
			}
			if t.lateUntil[node] <= now || t.probeAt[node] <= now {
				counts[node]++
			}
		}
	}
	return counts
}

// bestNode returns the preferred index node among the keys of keyCounts; "" if there is none.
func (t *table) bestNode(keyCounts map[string]int, now time.Duration) (best string) {
	for _, node := range maputil.SortedKeys(keyCounts) {
		if best == "" || t.isPreferred(node, best, keyCounts, now) {
			best = node
		}
	}
	return best
}

// isPreferred reports whether planCalls calls index node a rather than b. In order of precedence, a node is preferred
// if it isn't late, if more of the keys are assigned to it, and if it is in the client's zone. Ties are broken by a
// hash that includes the client's name, so that edge machines don't all call the same node.
func (t *table) isPreferred(a, b string, keyCounts map[string]int, now time.Duration) bool {
	if aIsLate, bIsLate := t.lateUntil[a] > now, t.lateUntil[b] > now; aIsLate != bIsLate {
		return bIsLate
	}
	if keyCounts[a] != keyCounts[b] {
		return keyCounts[a] > keyCounts[b]
	}
	if t.sameZone[a] != t.sameZone[b] {
		return t.sameZone[a]
	}
	return rendezvous.Hash(t.client.name+a) > rendezvous.Hash(t.client.name+b)
}

// recordResult records whether a call to an index node succeeded: the node responded in time with a result for every
// key, and had collected the contents of the workers' caches. Otherwise the node counts as late for lateNodeRatio times
// the recovery time bound (the time within which service is restored after a failure).
func (t *table) recordResult(node string, succeeded bool, now time.Duration) {
	if succeeded {
		delete(t.lateUntil, node)
	} else {
		t.lateUntil[node] = now + t.client.bounds.Recovery(lateNodeRatio)
	}
}

// cachedAnswers returns the cached lookup results of keys that have not expired; nil if there are none.
func (t *table) cachedAnswers(keys []prefix.Key, now time.Duration) map[prefix.Key]*wire.LookupResult {
	var answers map[prefix.Key]*wire.LookupResult
	for _, key := range keys {
		if answer, ok := t.cached[key]; ok && now-answer.at < t.client.bounds.Recovery(cacheLifetimeRatio) {
			if answers == nil {
				answers = make(map[prefix.Key]*wire.LookupResult, len(keys))
			}
			answers[key] = answer.found
		}
	}
	return answers
}

// cacheAnswers caches the lookup results that have a holder; results without one are not cached. If the cache
// would become too large, expired results are dropped, and if that isn't enough, all results.
func (t *table) cacheAnswers(found map[prefix.Key]*wire.LookupResult, now time.Duration) {
	if len(t.cached)+len(found) > maxCachedAnswers {
		for key, answer := range t.cached {
			if now-answer.at >= t.client.bounds.Recovery(cacheLifetimeRatio) {
				delete(t.cached, key)
			}
		}
		if len(t.cached)+len(found) > maxCachedAnswers {
			clear(t.cached)
		}
	}
	for key, result := range found {
		if len(result.Holders) > 0 {
			t.cached[key] = cachedAnswer{result, now}
		}
	}
}
