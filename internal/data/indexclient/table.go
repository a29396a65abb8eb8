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

// table is a Client's memory: the layout of the index, late nodes, cached answers and counted accesses.
// The actor guards it.
type table struct {
	client     *Client
	membership []*wire.Node // that the shards were last checked against
	layout     string       // names and addresses of the index nodes that the shards are assigned to
	shards     *promptindex.Shards
	sameZone   map[string]bool          // index nodes of this zone
	lateUntil  map[string]time.Duration // by index node: until then it is asked last
	probeAt    map[string]time.Duration // by late index node: it isn't asked before
	cached     map[prefix.Key]cachedAnswer
	accesses   *AccessCounter
}

// cachedAnswer is an answer that is reused for a short time.
type cachedAnswer struct {
	found *wire.LookupResult
	at    time.Duration
}

// nodeCall is one call to one index node.
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
		accesses:  NewAccessCounter(client.name, incarnation, client.bounds.Heal(resendWindowRatio)),
	}
}

// currentShards is the assignment of keys to index nodes. It is computed again if the index nodes have
// changed; a slice of nodes is never changed once it is published, so the same slice has the same nodes.
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

// planCalls distributes keys over the fewest index nodes that haven't been asked yet. Index nodes that
// were late come last, and only if their next probe is due; those of this zone come first.
func (t *table) planCalls(keys []prefix.Key, asked map[string]bool, now time.Duration) (calls []nodeCall) {
	shards := t.currentShards()
	for len(keys) > 0 {
		node := t.bestNode(t.keysByNode(keys, asked, now), now)
		if node == "" {
			return calls
		}
		if t.lateUntil[node] > now {
			t.probeAt[node] = now + t.client.bounds.Heal(lateProbeRatio)
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

// keysByNode counts, for each index node that may be asked now, the keys that it holds.
func (t *table) keysByNode(keys []prefix.Key, asked map[string]bool, now time.Duration) map[string]int {
	counts := map[string]int{}
	for _, key := range keys {
		holders := t.shards.NodesOf(key)
		for i, node := range holders {
			if node == "" || asked[node] || i > 0 && node == holders[0] {
				continue
			}
			if t.lateUntil[node] <= now || t.probeAt[node] <= now {
				counts[node]++
			}
		}
	}
	return counts
}

// bestNode is the index node to ask next; "" if there is none.
func (t *table) bestNode(keyCounts map[string]int, now time.Duration) (best string) {
	for _, node := range maputil.SortedKeys(keyCounts) {
		if best == "" || t.isPreferred(node, best, keyCounts, now) {
			best = node
		}
	}
	return best
}

// isPreferred reports whether index node a is asked before b: one that isn't late, that holds more of
// the keys, that is in this zone; a hash decides between equals, so that edge machines don't all ask the
// same one.
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

// recordResult records whether an index node responded in time, with all answers, and warm.
func (t *table) recordResult(node string, succeeded bool, now time.Duration) {
	if succeeded {
		delete(t.lateUntil, node)
	} else {
		t.lateUntil[node] = now + t.client.bounds.Heal(lateNodeRatio)
	}
}

// cachedAnswers returns the cached answers that are still valid; nil if there are none.
func (t *table) cachedAnswers(keys []prefix.Key, now time.Duration) map[prefix.Key]*wire.LookupResult {
	var answers map[prefix.Key]*wire.LookupResult
	for _, key := range keys {
		if answer, ok := t.cached[key]; ok && now-answer.at < t.client.bounds.Heal(cacheLifetimeRatio) {
			if answers == nil {
				answers = make(map[prefix.Key]*wire.LookupResult, len(keys))
			}
			answers[key] = answer.found
		}
	}
	return answers
}

// cacheAnswers caches the holders that were found; that a key has no holder isn't cached. A full cache
// drops the answers that are no longer valid, or else all.
func (t *table) cacheAnswers(found map[prefix.Key]*wire.LookupResult, now time.Duration) {
	if len(t.cached)+len(found) > maxCachedAnswers {
		for key, answer := range t.cached {
			if now-answer.at >= t.client.bounds.Heal(cacheLifetimeRatio) {
				delete(t.cached, key)
			}
		}
		if len(t.cached)+len(found) > maxCachedAnswers {
			clear(t.cached)
		}
	}
	for key, f := range found {
		if len(f.Holders) > 0 {
			t.cached[key] = cachedAnswer{f, now}
		}
	}
}
