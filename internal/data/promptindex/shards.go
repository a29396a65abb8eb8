package promptindex

import (
	"context"
	"slices"
	"sort"
	"sync"
	"time"

	"pebbleloom/internal/control/clustermembership"
	"pebbleloom/internal/data/prefix"
	"pebbleloom/internal/queue"
	"pebbleloom/internal/wire"
)

const shardCount = 256

// Shards maps each key to the two index nodes that hold it: the first by rendezvous hashing, and the
// next one in another zone.
type Shards struct {
	nodes     [shardCount][2]string
	addresses map[string]string
}

// NewShards assigns the slots to the live index nodes.
//
// Example: s := promptindex.NewShards(snapshot.Nodes)
func NewShards(nodes []*wire.Node) *Shards {
	s := &Shards{addresses: map[string]string{}}
	dist := map[string]string{}
	var names []string
	for _, n := range nodes {
		if n.Role == clustermembership.RolePromptIndex && n.State < 2 {
			names = append(names, n.Name)
			s.addresses[n.Name], dist[n.Name] = n.Addr, n.Zone
		}
	}
	sort.Strings(names)
	for i := range s.nodes {
		l := queue.Rendezvous(string([]byte{byte(i)}), names)
		if len(l) == 0 {
			continue
		}
		s.nodes[i][0] = l[0]
		for _, n := range l[1:] {
			if s.nodes[i][1] == "" || dist[s.nodes[i][1]] == dist[l[0]] && dist[n] != dist[l[0]] {
				s.nodes[i][1] = n
			}
		}
	}
	return s
}

// NodesOf returns the index nodes of a key.
//
// Example: s.Holders(k)[0]
func (s *Shards) NodesOf(k prefix.Key) [2]string { return s.nodes[k[0]] }

// IsAssigned reports whether a node holds a key.
//
// Example: s.Holds("catalogue/edge-1", k)
func (s *Shards) IsAssigned(name string, k prefix.Key) bool {
	h := s.nodes[k[0]]
	return h[0] == name || h[1] == name
}

// SameAssignment reports whether two layouts are the same for a node.
//
// Example: if !old.SameAssignment(s, name) { core.Reshard() }
func (s *Shards) SameAssignment(o *Shards, name string) bool {
	if o == nil {
		return false
	}
	for i := range s.nodes {
		a := s.nodes[i][0] == name || s.nodes[i][1] == name
		b := o.nodes[i][0] == name || o.nodes[i][1] == name
		if a != b {
			return false
		}
	}
	return true
}

// Lookup looks keys up, one call per node, all at once. If a holder doesn't answer in time, or isn't
// warm yet, the other one is asked; a missing shard never fails a request.
//
// Example: found := s.Lookup(ctx, keys, clients.PromptIndex, 20*time.Millisecond)
func (s *Shards) Lookup(ctx context.Context, keys []prefix.Key, call func(string) wire.PromptIndex, wait time.Duration) map[prefix.Key]*wire.LookupResult {
	got := make(map[prefix.Key]*wire.LookupResult, len(keys))
	sure := make(map[prefix.Key]bool, len(keys))
	var mu sync.Mutex
	for try := range 2 {
		by := map[string][]prefix.Key{}
		for _, k := range keys {
			if h := s.nodes[k[0]][try]; !sure[k] && h != "" {
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
				a := &wire.LookupRequest{}
				for _, k := range ks {
					a.Keys = append(a.Keys, k[:])
				}
				t, err := call(s.addresses[n]).Lookup(one, a)
				if err != nil || len(t.Results) != len(ks) {
					return // a miss
				}
				mu.Lock()
				defer mu.Unlock()
				for i, k := range ks {
					got[k], sure[k] = MergeFound(got[k], t.Results[i]), t.Warm
				}
			})
		}
		wg.Wait()
		end()
	}
	return got
}

// MergeFound combines the findings of two index nodes; either may be nil.
//
// Example: got[k] = promptindex.MergeFound(got[k], response.Found[i])
func MergeFound(a, b *wire.LookupResult) *wire.LookupResult {
	if a == nil {
		return b
	}
	f := &wire.LookupResult{Hotness: max(a.Hotness, b.Hotness), Holders: b.Holders}
	for _, h := range a.Holders {
		if !slices.ContainsFunc(b.Holders, func(x *wire.Holder) bool { return x.Worker == h.Worker }) {
			f.Holders = append(f.Holders, h)
		}
	}
	return f
}

// Addr returns the address of an index node.
//
// Example: addr := s.Addr("catalogue/edge-1")
func (s *Shards) Addr(name string) string { return s.addresses[name] }

// MergeHot combines the hot entries that index nodes report. Two nodes hold each entry: the higher
// count is taken. The result is sorted by key.
//
// Example: hot := promptindex.MergeHot(responses)
func MergeHot(responses []*wire.HottestResponse) []*wire.HotPrefix {
	byKey := map[string]*wire.HotPrefix{}
	for _, r := range responses {
		for _, h := range r.Prefixes {
			if old := byKey[string(h.Key)]; old == nil || old.Hotness < h.Hotness {
				byKey[string(h.Key)] = h
			}
		}
	}
	hot := make([]*wire.HotPrefix, 0, len(byKey))
	for _, k := range queue.Keys(byKey) {
		hot = append(hot, byKey[k])
	}
	return hot
}
