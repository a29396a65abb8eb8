package promptindex

import (
	"context"
	"slices"
	"sort"
	"sync"
	"time"

	"pebbleloom/internal/data/prefix"
	"pebbleloom/internal/queue"
	"pebbleloom/internal/wire"
)

const slots = 256

// Shards says which two index nodes hold each key: the nearest by weight, and the next
// that stands in another district.
type Shards struct {
	at    [slots][2]string
	addrs map[string]string
}

// NewShards lays the slots out over the living index nodes.
//
// Example: s := catalogue.NewShards(snapshot.Nodes)
func NewShards(nodes []*wire.Node) *Shards {
	s := &Shards{addrs: map[string]string{}}
	dist := map[string]string{}
	var names []string
	for _, n := range nodes {
		if n.Role == "catalogue" && n.State < 2 {
			names = append(names, n.Name)
			s.addrs[n.Name], dist[n.Name] = n.Addr, n.District
		}
	}
	sort.Strings(names)
	for i := range s.at {
		l := queue.Rendezvous(string([]byte{byte(i)}), names)
		if len(l) == 0 {
			continue
		}
		s.at[i][0] = l[0]
		for _, n := range l[1:] {
			if s.at[i][1] == "" || dist[s.at[i][1]] == dist[l[0]] && dist[n] != dist[l[0]] {
				s.at[i][1] = n
			}
		}
	}
	return s
}

// Holders names the index nodes of a key.
//
// Example: s.Holders(k)[0]
func (s *Shards) Holders(k prefix.Key) [2]string { return s.at[k[0]] }

// Mine tells whether a node holds a key.
//
// Example: s.Mine("catalogue/edge-1", k)
func (s *Shards) Mine(name string, k prefix.Key) bool {
	h := s.at[k[0]]
	return h[0] == name || h[1] == name
}

// Same tells whether two layouts are the same for a node.
//
// Example: if !old.Same(s, name) { core.Reshard() }
func (s *Shards) Same(o *Shards, name string) bool {
	if o == nil {
		return false
	}
	for i := range s.at {
		a := s.at[i][0] == name || s.at[i][1] == name
		b := o.at[i][0] == name || o.at[i][1] == name
		if a != b {
			return false
		}
	}
	return true
}

// Seek looks keys up, one call a node, all at once. A holder that doesn't answer within the
// time, or that isn't warm yet, is made up for by the other; a missing shard never fails a
// request.
//
// Example: found := s.Seek(ctx, keys, calls.Catalogue, 20*time.Millisecond)
func (s *Shards) Seek(ctx context.Context, keys []prefix.Key, call func(string) wire.Catalogue, wait time.Duration) map[prefix.Key]*wire.Found {
	got := make(map[prefix.Key]*wire.Found, len(keys))
	sure := make(map[prefix.Key]bool, len(keys))
	var mu sync.Mutex
	for try := range 2 {
		by := map[string][]prefix.Key{}
		for _, k := range keys {
			if h := s.at[k[0]][try]; !sure[k] && h != "" {
				by[h] = append(by[h], k)
			}
		}
		if len(by) == 0 {
			break
		}
		var wg sync.WaitGroup
		one, end := context.WithTimeout(ctx, wait)
		for n, ks := range by {
			wg.Go(func() {
				a := &wire.LookAsk{}
				for _, k := range ks {
					a.Keys = append(a.Keys, k[:])
				}
				t, err := call(s.addrs[n]).Seek(one, a)
				if err != nil || len(t.Found) != len(ks) {
					return // a miss
				}
				mu.Lock()
				defer mu.Unlock()
				for i, k := range ks {
					got[k], sure[k] = join(got[k], t.Found[i]), t.Warm
				}
			})
		}
		wg.Wait()
		end()
	}
	return got
}

// join makes one finding of two holders' findings.
func join(a, b *wire.Found) *wire.Found {
	if a == nil {
		return b
	}
	f := &wire.Found{Hotness: max(a.Hotness, b.Hotness), Holders: b.Holders}
	for _, h := range a.Holders {
		if !slices.ContainsFunc(b.Holders, func(x *wire.Holding) bool { return x.Worker == h.Worker }) {
			f.Holders = append(f.Holders, h)
		}
	}
	return f
}

// Addr is where an index node listens.
//
// Example: addr := s.Addr("catalogue/edge-1")
func (s *Shards) Addr(name string) string { return s.addrs[name] }
