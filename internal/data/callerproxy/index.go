package callerproxy

import (
	"context"
	"fmt"
	"strings"
	"sync/atomic"
	"time"

	"pebbleloom/internal/clock"
	"pebbleloom/internal/control/clustermembership"
	"pebbleloom/internal/daemon"
	"pebbleloom/internal/data/prefix"
	"pebbleloom/internal/data/promptindex"
	"pebbleloom/internal/queue"
	"pebbleloom/internal/settings"
	"pebbleloom/internal/wire"
)

type lookup struct {
	keys   []prefix.Key
	result chan map[prefix.Key]*wire.LookupResult
}

// promptIndex asks the catalogue in batches and feeds it the accesses that this proxy has seen.
type promptIndex struct {
	lookups       *queue.Ring[lookup]
	shards        atomic.Pointer[promptindex.Shards]
	clients       *daemon.Clients
	bounds        settings.Bounds
	lookupTimeout time.Duration
	layout        string // the index nodes that the shards are laid out over
	counter       *queue.Actor[accessCounter]
	name          string
	incarnation   uint64
	clock         clock.Clock
	lookupBatches atomic.Uint64 // look-up calls
	lookupKeys    atomic.Uint64 // keys looked up
}

// accessCounter holds what was counted and not told yet, a holder at a time, and the window that
// is told again to a holder that has lost its memory.
type accessCounter struct {
	nodes       map[string]*nodeBatches
	window      map[prefix.Key]*wire.Access
	lastWindow  map[prefix.Key]*wire.Access
	windowStart time.Duration
}

type nodeBatches struct {
	number   uint64
	pending  map[prefix.Key]*wire.Access
	inFlight *wire.CountRequest // not acknowledged yet: it is sent again under its number
	sending  bool
}

const maxCounts = 4096

func newPromptIndex(l *daemon.Process, clk clock.Clock) *promptIndex {
	x := &promptIndex{lookups: queue.NewRing[lookup](l.Settings.Bounds.MaxConcurrentRequests), clients: daemon.NewClients(l), bounds: l.Settings.Bounds,
		lookupTimeout: l.Settings.Bounds.Heal(1.0 / 400), name: "dispatcher/" + l.Settings.Name, incarnation: uint64(clk.Now()), clock: clk}
	x.counter = queue.NewActor(&accessCounter{nodes: map[string]*nodeBatches{}, window: map[prefix.Key]*wire.Access{}, lastWindow: map[prefix.Key]*wire.Access{}}, 1024)
	l.OnStop(x.counter.Stop)
	l.Go(func() { x.runLookups(l.Ctx) })
	l.Every(l.Settings.Bounds.Heal(1.0/48), func() { x.flushCounts(l.Ctx) })
	return x
}

// updateShards lays the shards out anew when the index nodes have changed.
func (i *promptIndex) updateShards(nodes []*wire.Node) {
	var now []string
	for _, n := range nodes {
		if n.Role == "catalogue" {
			now = append(now, fmt.Sprintf("%s %s %v", n.Name, n.Addr, n.State < clustermembership.Dead))
		}
	}
	if s := strings.Join(now, "\n"); s != i.layout {
		i.layout = s
		i.shards.Store(promptindex.NewShards(nodes))
	}
}

// lookUp looks keys up; nil is a miss on all of them.
func (i *promptIndex) lookUp(ctx context.Context, keys []prefix.Key) map[prefix.Key]*wire.LookupResult {
	q := lookup{keys, make(chan map[prefix.Key]*wire.LookupResult, 1)}
	if !i.lookups.Offer(q) {
		return nil
	}
	select {
	case m := <-q.result:
		return m
	case <-ctx.Done():
		return nil
	}
}

// runLookups joins what waits into one batch; a handful of batches may be under way at once.
func (i *promptIndex) runLookups(ctx context.Context) {
	room := make(chan struct{}, 8)
	for {
		select {
		case <-ctx.Done():
			return
		case q := <-i.lookups.Out():
			room <- struct{}{}
			qs := append([]lookup{q}, i.lookups.Drain(63)...)
			go func() {
				defer func() { <-room }()
				i.lookUpBatch(ctx, qs)
			}()
		}
	}
}

func (i *promptIndex) lookUpBatch(ctx context.Context, qs []lookup) {
	seen := map[prefix.Key]bool{}
	var ks []prefix.Key
	for _, q := range qs {
		for _, k := range q.keys {
			if !seen[k] {
				seen[k] = true
				ks = append(ks, k)
			}
		}
	}
	var m map[prefix.Key]*wire.LookupResult
	if s := i.shards.Load(); s != nil {
		i.lookupBatches.Add(1)
		i.lookupKeys.Add(uint64(len(ks)))
		m = s.Lookup(ctx, ks, i.clients.PromptIndex, i.lookupTimeout)
	}
	for _, q := range qs {
		q.result <- m
	}
}

// recordAccesses notes a request's accesses: which entries, and who is presumed to hold them now.
func (i *promptIndex) recordAccesses(service string, es []prefix.Entry, holder string, saved []string, upto int) {
	s := i.shards.Load()
	if s == nil {
		return
	}
	i.counter.TrySend(func(c *accessCounter) {
		for i, e := range es {
			a := &wire.Access{Key: e.Key[:], Count: 1, Tokens: uint32(e.Tokens), Service: service, Head: i == 0, PresumedHolders: []string{holder}}
			if i < upto {
				a.PresumedHolders = append(a.PresumedHolders, saved...)
			}
			for _, h := range s.NodesOf(e.Key) {
				if h == "" {
					continue
				}
				t := c.nodes[h]
				if t == nil {
					t = &nodeBatches{pending: map[prefix.Key]*wire.Access{}}
					c.nodes[h] = t
				}
				addAccess(t.pending, e.Key, a)
			}
			addAccess(c.window, e.Key, a)
		}
		if now := i.clock.Now(); now-c.windowStart > i.bounds.Heal(1.25) { // half a window
			c.lastWindow, c.window, c.windowStart = c.window, map[prefix.Key]*wire.Access{}, now
		}
	})
}

func addAccess(m map[prefix.Key]*wire.Access, k prefix.Key, a *wire.Access) {
	o := m[k]
	if o == nil {
		if len(m) < maxCounts {
			m[k] = &wire.Access{Key: a.Key, Count: a.Count, Tokens: a.Tokens, Service: a.Service, Head: a.Head, PresumedHolders: append([]string(nil), a.PresumedHolders...)}
		}
		return
	}
	o.Count += a.Count
	for _, p := range a.PresumedHolders {
		has := false
		for _, q := range o.PresumedHolders {
			has = has || p == q
		}
		if !has && len(o.PresumedHolders) < 8 {
			o.PresumedHolders = append(o.PresumedHolders, p)
		}
	}
}

// flushCounts reports each holder what was counted. A batch keeps its number until it is
// acknowledged, so a lost answer can't make it count twice.
func (i *promptIndex) flushCounts(ctx context.Context) {
	s := i.shards.Load()
	if s == nil {
		return
	}
	i.counter.Ask(func(c *accessCounter) {
		for h, t := range c.nodes {
			addr := s.Addr(h)
			if addr == "" {
				delete(c.nodes, h) // it has left; its shards have new holders
				continue
			}
			if t.sending || t.inFlight == nil && len(t.pending) == 0 {
				continue
			}
			if t.inFlight == nil {
				t.number++
				t.inFlight = &wire.CountRequest{Reporter: i.name, Incarnation: i.incarnation, Sequence: t.number}
				for _, a := range t.pending {
					t.inFlight.Accesses = append(t.inFlight.Accesses, a)
				}
				t.pending = map[prefix.Key]*wire.Access{}
			}
			t.sending = true
			go i.sendBatch(ctx, h, addr, t.inFlight)
		}
	})
}

func (i *promptIndex) sendBatch(ctx context.Context, h, addr string, a *wire.CountRequest) {
	ctx, end := context.WithTimeout(ctx, i.bounds.Heal(1.0/24))
	defer end()
	r, err := i.clients.PromptIndex(addr).Count(ctx, a)
	i.counter.Ask(func(c *accessCounter) {
		t := c.nodes[h]
		if t == nil {
			return
		}
		t.sending = false
		if err != nil {
			return
		}
		t.inFlight = nil
		if r.ResendWindow { // it has lost its memory: tell the window again
			for _, m := range []map[prefix.Key]*wire.Access{c.lastWindow, c.window} {
				for k, p := range m {
					if s := i.shards.Load(); s.NodesOf(k)[0] == h || s.NodesOf(k)[1] == h {
						addAccess(t.pending, k, &wire.Access{Key: p.Key, Count: p.Count, Tokens: p.Tokens, Service: p.Service, Head: p.Head})
					}
				}
			}
		}
	})
}
