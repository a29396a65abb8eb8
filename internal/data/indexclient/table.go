package indexclient

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"pebbleloom/internal/data/prefix"
	"pebbleloom/internal/data/promptindex"
	"pebbleloom/internal/queue"
	"pebbleloom/internal/wire"
)

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

// table is a Client's memory: the layout of the index, late nodes, cached answers, counts.
type table struct {
	client     *Client
	membership []*wire.Node // that the shards were laid out from
	layout     string
	shards     *promptindex.Shards
	sameZone   map[string]bool          // index nodes of this zone
	lateUntil  map[string]time.Duration // until then
	probeAt    map[string]time.Duration // a late node isn't tried before
	cached     map[prefix.Key]cachedAnswer
	AccessCounter
}

func newTable(s *Client) *table {
	return &table{client: s, sameZone: map[string]bool{}, lateUntil: map[string]time.Duration{}, probeAt: map[string]time.Duration{}, cached: map[prefix.Key]cachedAnswer{}, AccessCounter: NewAccessCounter()}
}

// currentShards lays the shards out again if the index nodes have changed.
func (t *table) currentShards() *promptindex.Shards {
	nodes := t.client.nodes()
	if t.shards != nil && len(nodes) == len(t.membership) && (len(nodes) == 0 || &nodes[0] == &t.membership[0]) {
		return t.shards
	}
	t.membership = nodes
	serving := promptindex.ServingNodes(nodes)
	var now strings.Builder
	for _, n := range serving {
		fmt.Fprintf(&now, "%s %s\n", n.Name, n.Addr)
	}
	if t.shards != nil && now.String() == t.layout {
		return t.shards
	}
	t.layout, t.shards = now.String(), promptindex.NewShards(serving)
	clear(t.sameZone)
	clear(t.lateUntil)
	clear(t.probeAt)
	for _, n := range serving {
		t.sameZone[n.Name] = n.Zone == t.client.zone
	}
	return t.shards
}

// planCalls distributes keys over the fewest index nodes: a node that was late is tried last and not
// each time, one of this zone first.
func (t *table) planCalls(keys []prefix.Key, asked map[string]bool, now time.Duration) (l []nodeCall) {
	sh := t.currentShards()
	for len(keys) > 0 {
		by := map[string]int{}
		for _, k := range keys {
			h := sh.NodesOf(k)
			for i, n := range h {
				if n != "" && !asked[n] && (i == 0 || n != h[0]) && (t.lateUntil[n] <= now || t.probeAt[n] <= now) {
					by[n]++
				}
			}
		}
		best := ""
		for _, n := range queue.Keys(by) {
			if best == "" || t.better(n, best, by, now) {
				best = n
			}
		}
		if best == "" {
			return l
		}
		if t.lateUntil[best] > now {
			t.probeAt[best] = now + t.client.bounds.Heal(lateProbeRatio)
		}
		x := nodeCall{node: best, addr: sh.Addr(best)}
		var rest []prefix.Key
		for _, k := range keys {
			if h := sh.NodesOf(k); h[0] == best || h[1] == best {
				x.keys = append(x.keys, k)
			} else {
				rest = append(rest, k)
			}
		}
		l, keys = append(l, x), rest
	}
	return l
}

func (t *table) better(a, b string, by map[string]int, now time.Duration) bool {
	if x, y := t.lateUntil[a] > now, t.lateUntil[b] > now; x != y {
		return y
	}
	if by[a] != by[b] {
		return by[a] > by[b]
	}
	if t.sameZone[a] != t.sameZone[b] {
		return t.sameZone[a]
	}
	return queue.Hash(t.client.name+a) > queue.Hash(t.client.name+b)
}

func (t *table) recordResult(node string, good bool, now time.Duration) {
	if good {
		delete(t.lateUntil, node)
	} else {
		t.lateUntil[node] = now + t.client.bounds.Heal(lateNodeRatio)
	}
}

// lookUpCache returns the cached answers that are still valid.
func (t *table) lookUpCache(keys []prefix.Key, now time.Duration) map[prefix.Key]*wire.LookupResult {
	var m map[prefix.Key]*wire.LookupResult
	for _, k := range keys {
		if x, ok := t.cached[k]; ok && now-x.at < t.client.bounds.Heal(cacheLifetimeRatio) {
			if m == nil {
				m = make(map[prefix.Key]*wire.LookupResult, len(keys))
			}
			m[k] = x.found
		}
	}
	return m
}

// cache stores found holders; that nobody holds a key isn't cached.
func (t *table) cache(got map[prefix.Key]*wire.LookupResult, now time.Duration) {
	if len(t.cached)+len(got) > maxCachedAnswers {
		for k, x := range t.cached {
			if now-x.at >= t.client.bounds.Heal(cacheLifetimeRatio) {
				delete(t.cached, k)
			}
		}
		if len(t.cached)+len(got) > maxCachedAnswers {
			clear(t.cached)
		}
	}
	for k, f := range got {
		if len(f.Holders) > 0 {
			t.cached[k] = cachedAnswer{f, now}
		}
	}
}

// mergeAccess merges an access into the pending counts.
func mergeAccess(m map[prefix.Key]*wire.Access, k prefix.Key, a *wire.Access) {
	o := m[k]
	if o == nil {
		if len(m) < maxCounts {
			m[k] = &wire.Access{Key: k[:], Count: a.Count, Tokens: a.Tokens, Service: a.Service, Head: a.Head, PresumedHolders: slices.Clone(a.PresumedHolders)}
		}
		return
	}
	o.Count += a.Count
	for _, p := range a.PresumedHolders {
		if !slices.Contains(o.PresumedHolders, p) && len(o.PresumedHolders) < maxPresumedHolders {
			o.PresumedHolders = append(o.PresumedHolders, p)
		}
	}
}
