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

// kept is an answer that is gone by for a moment.
type kept struct {
	found *wire.Found
	at    time.Duration
}

// leg is one call to one index node.
type leg struct {
	node, addr string
	keys       []prefix.Key
}

// table is a Seeker's memory: how the index is laid out, who was late, answers, counts.
type table struct {
	s      *Seeker
	seen   []*wire.Node // that the layout was made of
	laid   string
	shards *promptindex.Shards
	near   map[string]bool          // index nodes of this district
	late   map[string]time.Duration // until then
	probe  map[string]time.Duration // a late one isn't asked before
	kept   map[prefix.Key]kept
	counter
}

func newTable(s *Seeker) *table {
	return &table{s: s, near: map[string]bool{}, late: map[string]time.Duration{}, probe: map[string]time.Duration{}, kept: map[prefix.Key]kept{}, counter: newCounter()}
}

// lay lays the shards out anew when the index nodes have changed.
func (t *table) lay() *promptindex.Shards {
	nodes := t.s.nodes()
	if t.shards != nil && len(nodes) == len(t.seen) && (len(nodes) == 0 || &nodes[0] == &t.seen[0]) {
		return t.shards
	}
	t.seen = nodes
	serving := promptindex.Serving(nodes)
	var now strings.Builder
	for _, n := range serving {
		fmt.Fprintf(&now, "%s %s\n", n.Name, n.Addr)
	}
	if t.shards != nil && now.String() == t.laid {
		return t.shards
	}
	t.laid, t.shards = now.String(), promptindex.NewShards(serving)
	clear(t.near)
	clear(t.late)
	clear(t.probe)
	for _, n := range serving {
		t.near[n.Name] = n.District == t.s.home
	}
	return t.shards
}

// legs lays keys out over the fewest index nodes: one that was late is asked last and not each
// time, one of this district first.
func (t *table) legs(keys []prefix.Key, asked map[string]bool, now time.Duration) (l []leg) {
	sh := t.lay()
	for len(keys) > 0 {
		by := map[string]int{}
		for _, k := range keys {
			h := sh.Holders(k)
			for i, n := range h {
				if n != "" && !asked[n] && (i == 0 || n != h[0]) && (t.late[n] <= now || t.probe[n] <= now) {
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
		if t.late[best] > now {
			t.probe[best] = now + t.s.b.Heal(probePart)
		}
		x := leg{node: best, addr: sh.Addr(best)}
		var rest []prefix.Key
		for _, k := range keys {
			if h := sh.Holders(k); h[0] == best || h[1] == best {
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
	if x, y := t.late[a] > now, t.late[b] > now; x != y {
		return y
	}
	if by[a] != by[b] {
		return by[a] > by[b]
	}
	if t.near[a] != t.near[b] {
		return t.near[a]
	}
	return queue.Hash(t.s.name+a) > queue.Hash(t.s.name+b)
}

func (t *table) mark(node string, good bool, now time.Duration) {
	if good {
		delete(t.late, node)
	} else {
		t.late[node] = now + t.s.b.Heal(latePart)
	}
}

// recall gives the answers that are still gone by.
func (t *table) recall(keys []prefix.Key, now time.Duration) map[prefix.Key]*wire.Found {
	var m map[prefix.Key]*wire.Found
	for _, k := range keys {
		if x, ok := t.kept[k]; ok && now-x.at < t.s.b.Heal(keepPart) {
			if m == nil {
				m = make(map[prefix.Key]*wire.Found, len(keys))
			}
			m[k] = x.found
		}
	}
	return m
}

// keep remembers who holds what; that nobody does is asked anew.
func (t *table) keep(got map[prefix.Key]*wire.Found, now time.Duration) {
	if len(t.kept)+len(got) > maxKept {
		for k, x := range t.kept {
			if now-x.at >= t.s.b.Heal(keepPart) {
				delete(t.kept, k)
			}
		}
		if len(t.kept)+len(got) > maxKept {
			clear(t.kept)
		}
	}
	for k, f := range got {
		if len(f.Holders) > 0 {
			t.kept[k] = kept{f, now}
		}
	}
}

// merge adds an access to what is to be told.
func merge(m map[prefix.Key]*wire.Access, k prefix.Key, a *wire.Access) {
	o := m[k]
	if o == nil {
		if len(m) < maxCounts {
			m[k] = &wire.Access{Key: k[:], Count: a.Count, Tokens: a.Tokens, Service: a.Service, Head: a.Head, Presumed: slices.Clone(a.Presumed)}
		}
		return
	}
	o.Count += a.Count
	for _, p := range a.Presumed {
		if !slices.Contains(o.Presumed, p) && len(o.Presumed) < maxPresumed {
			o.Presumed = append(o.Presumed, p)
		}
	}
}
