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

type question struct {
	keys   []prefix.Key
	result chan map[prefix.Key]*wire.LookupResult
}

// index asks the catalogue in batches and feeds it the accesses that this proxy has seen.
type index struct {
	ring   *queue.Ring[question]
	shards atomic.Pointer[promptindex.Shards]
	calls  *daemon.Clients
	b      settings.Bounds
	wait   time.Duration
	laid   string // the index nodes that the shards are laid out over
	counts *queue.Actor[counter]
	name   string
	inc    uint64
	clk    clock.Clock
	asked  atomic.Uint64 // look-up calls
	keys   atomic.Uint64 // keys looked up
}

// counter holds what was counted and not told yet, a holder at a time, and the window that
// is told again to a holder that has lost its memory.
type counter struct {
	to   map[string]*telling
	past map[prefix.Key]*wire.Access
	old  map[prefix.Key]*wire.Access
	turn time.Duration
}

type telling struct {
	number uint64
	next   map[prefix.Key]*wire.Access
	sent   *wire.CountRequest // not acknowledged yet: it is sent again under its number
	busy   bool
}

const maxCounts = 4096

func newIndex(l *daemon.Process, clk clock.Clock) *index {
	x := &index{ring: queue.NewRing[question](l.Place.Bounds.Waiting), calls: daemon.NewClients(l), b: l.Place.Bounds,
		wait: l.Place.Bounds.Heal(1.0 / 400), name: "dispatcher/" + l.Place.Name, inc: uint64(clk.Now()), clk: clk}
	x.counts = queue.NewActor(&counter{to: map[string]*telling{}, past: map[prefix.Key]*wire.Access{}, old: map[prefix.Key]*wire.Access{}}, 1024)
	l.OnStop(x.counts.Stop)
	l.Go(func() { x.run(l.Ctx) })
	l.Every(l.Place.Bounds.Heal(1.0/48), func() { x.flush(l.Ctx) })
	return x
}

// follow lays the shards out anew when the index nodes have changed.
func (x *index) follow(nodes []*wire.Node) {
	var now []string
	for _, n := range nodes {
		if n.Role == "catalogue" {
			now = append(now, fmt.Sprintf("%s %s %v", n.Name, n.Addr, n.State < clustermembership.Gone))
		}
	}
	if s := strings.Join(now, "\n"); s != x.laid {
		x.laid = s
		x.shards.Store(promptindex.NewShards(nodes))
	}
}

// seek looks keys up; nil is a miss on all of them.
func (x *index) seek(ctx context.Context, keys []prefix.Key) map[prefix.Key]*wire.LookupResult {
	q := question{keys, make(chan map[prefix.Key]*wire.LookupResult, 1)}
	if !x.ring.Offer(q) {
		return nil
	}
	select {
	case m := <-q.result:
		return m
	case <-ctx.Done():
		return nil
	}
}

// run joins what waits into one batch; a handful of batches may be under way at once.
func (x *index) run(ctx context.Context) {
	room := make(chan struct{}, 8)
	for {
		select {
		case <-ctx.Done():
			return
		case q := <-x.ring.Out():
			room <- struct{}{}
			qs := append([]question{q}, x.ring.Drain(63)...)
			go func() {
				defer func() { <-room }()
				x.batch(ctx, qs)
			}()
		}
	}
}

func (x *index) batch(ctx context.Context, qs []question) {
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
	if s := x.shards.Load(); s != nil {
		x.asked.Add(1)
		x.keys.Add(uint64(len(ks)))
		m = s.Lookup(ctx, ks, x.calls.PromptIndex, x.wait)
	}
	for _, q := range qs {
		q.result <- m
	}
}

// count notes a request's accesses: which entries, and who is presumed to hold them now.
func (x *index) count(service string, es []prefix.Entry, holder string, saved []string, upto int) {
	s := x.shards.Load()
	if s == nil {
		return
	}
	x.counts.TrySend(func(c *counter) {
		for i, e := range es {
			a := &wire.Access{Key: e.Key[:], Count: 1, Tokens: uint32(e.Tokens), Service: service, Head: i == 0, PresumedHolders: []string{holder}}
			if i < upto {
				a.PresumedHolders = append(a.PresumedHolders, saved...)
			}
			for _, h := range s.NodesOf(e.Key) {
				if h == "" {
					continue
				}
				t := c.to[h]
				if t == nil {
					t = &telling{next: map[prefix.Key]*wire.Access{}}
					c.to[h] = t
				}
				merge(t.next, e.Key, a)
			}
			merge(c.past, e.Key, a)
		}
		if now := x.clk.Now(); now-c.turn > x.b.Heal(1.25) { // half a window
			c.old, c.past, c.turn = c.past, map[prefix.Key]*wire.Access{}, now
		}
	})
}

func merge(m map[prefix.Key]*wire.Access, k prefix.Key, a *wire.Access) {
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

// flush reports each holder what was counted. A batch keeps its number until it is
// acknowledged, so a lost answer can't make it count twice.
func (x *index) flush(ctx context.Context) {
	s := x.shards.Load()
	if s == nil {
		return
	}
	x.counts.Ask(func(c *counter) {
		for h, t := range c.to {
			addr := s.Addr(h)
			if addr == "" {
				delete(c.to, h) // it has left; its shards have new holders
				continue
			}
			if t.busy || t.sent == nil && len(t.next) == 0 {
				continue
			}
			if t.sent == nil {
				t.number++
				t.sent = &wire.CountRequest{Reporter: x.name, Incarnation: x.inc, Sequence: t.number}
				for _, a := range t.next {
					t.sent.Accesses = append(t.sent.Accesses, a)
				}
				t.next = map[prefix.Key]*wire.Access{}
			}
			t.busy = true
			go x.send(ctx, h, addr, t.sent)
		}
	})
}

func (x *index) send(ctx context.Context, h, addr string, a *wire.CountRequest) {
	ctx, end := context.WithTimeout(ctx, x.b.Heal(1.0/24))
	defer end()
	r, err := x.calls.PromptIndex(addr).Count(ctx, a)
	x.counts.Ask(func(c *counter) {
		t := c.to[h]
		if t == nil {
			return
		}
		t.busy = false
		if err != nil {
			return
		}
		t.sent = nil
		if r.ResendWindow { // it has lost its memory: tell the window again
			for _, m := range []map[prefix.Key]*wire.Access{c.old, c.past} {
				for k, p := range m {
					if s := x.shards.Load(); s.NodesOf(k)[0] == h || s.NodesOf(k)[1] == h {
						merge(t.next, k, &wire.Access{Key: p.Key, Count: p.Count, Tokens: p.Tokens, Service: p.Service, Head: p.Head})
					}
				}
			}
		}
	})
}
