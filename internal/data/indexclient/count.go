package indexclient

import (
	"context"
	"time"

	"pebbleloom/internal/data/prefix"
	"pebbleloom/internal/wire"
)

const (
	maxCounts   = 4096 // keys counted and not told yet, of one index node
	maxPresumed = 8    // holders of one key in one telling
)

// counter holds what was counted and not told yet, an index node at a time, and the window that
// is told again to one that has lost its memory.
type counter struct {
	to        map[string]*telling
	past, old map[prefix.Key]*wire.Access
	turn      time.Duration
}

type telling struct {
	number uint64
	next   map[prefix.Key]*wire.Access
	sent   *wire.CountAsk // not acknowledged yet: it is sent again under its number
	busy   bool
}

func newCounter() counter {
	return counter{to: map[string]*telling{}, past: map[prefix.Key]*wire.Access{}, old: map[prefix.Key]*wire.Access{}}
}

// Count notes a request's accesses: its parts, who is presumed to hold them from now on, and the
// store that they were handed to ("": none).
//
// Example: s.Count("lectores", parts, worker.ID, "")
func (s *Seeker) Count(service string, parts []prefix.Entry, holder, saved string) {
	if len(parts) == 0 {
		return
	}
	s.desk.TrySend(func(t *table) {
		sh := t.lay()
		for i, e := range parts {
			a := &wire.Access{Count: 1, Tokens: uint32(e.Tokens), Service: service, Head: i == 0, Presumed: []string{holder}}
			if saved != "" {
				a.Presumed = append(a.Presumed, saved)
			}
			h := sh.Holders(e.Key)
			for j, n := range h {
				if n == "" || j == 1 && n == h[0] {
					continue
				}
				x := t.to[n]
				if x == nil {
					x = &telling{next: map[prefix.Key]*wire.Access{}}
					t.to[n] = x
				}
				merge(x.next, e.Key, a)
			}
			merge(t.past, e.Key, a)
		}
		if now := s.clk.Now(); now-t.turn > s.b.Heal(pastPart) {
			t.old, t.past, t.turn = t.past, map[prefix.Key]*wire.Access{}, now
		}
	})
}

// flush tells each index node what was counted. A batch keeps its number until it is
// acknowledged, so a lost answer can't make it count twice.
func (s *Seeker) flush() {
	loads := s.loads()
	s.desk.Ask(func(t *table) {
		sh := t.lay()
		for n, x := range t.to {
			addr := sh.Addr(n)
			if addr == "" {
				x.next, x.sent = map[prefix.Key]*wire.Access{}, nil // it serves no more; its number stays its own
				continue
			}
			if x.busy || x.sent == nil && len(x.next) == 0 && len(loads.GetAt()) == 0 {
				continue
			}
			if x.sent == nil {
				x.number++
				x.sent = &wire.CountAsk{Teller: s.name, Incarnation: s.inc, Number: x.number}
				for _, a := range x.next {
					x.sent.Accesses = append(x.sent.Accesses, a)
				}
				x.next = map[prefix.Key]*wire.Access{}
			}
			x.busy, x.sent.Loads = true, loads // the newest word, also with a batch that is sent again
			go s.tell(n, addr, x, x.sent)
		}
	})
}

func (s *Seeker) tell(n, addr string, x *telling, a *wire.CountAsk) {
	ctx, end := context.WithTimeout(s.ctx, s.b.Heal(landPart))
	defer end()
	r, err := s.call(addr).Count(ctx, a)
	s.desk.Ask(func(t *table) {
		x.busy = false
		if err != nil || x.sent != a {
			return
		}
		x.sent = nil
		if !r.Again {
			return
		}
		for _, m := range []map[prefix.Key]*wire.Access{t.old, t.past} { // it has lost its memory
			for k, p := range m {
				if h := t.lay().Holders(k); h[0] == n || h[1] == n {
					merge(x.next, k, &wire.Access{Count: p.Count, Tokens: p.Tokens, Service: p.Service, Head: p.Head})
				}
			}
		}
	})
}
