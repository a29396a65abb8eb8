package indexclient

import (
	"context"
	"time"

	"pebbleloom/internal/data/prefix"
	"pebbleloom/internal/wire"
)

const (
	maxCounts          = 4096 // counted keys pending for one index node
	maxPresumedHolders = 8    // holders of one key in one batch
)

// AccessCounter holds the counted accesses by index node until they are sent and acknowledged, and the
// recent window that is sent again to a node that lost its memory.
type AccessCounter struct {
	nodes              map[string]*nodeQueue
	window, lastWindow map[prefix.Key]*wire.Access
	windowStart        time.Duration
}

type nodeQueue struct {
	number   uint64
	pending  map[prefix.Key]*wire.Access
	inFlight *wire.CountRequest // not acknowledged yet: it is sent again under the same number
	sending  bool
}

func NewAccessCounter() AccessCounter {
	return AccessCounter{nodes: map[string]*nodeQueue{}, window: map[prefix.Key]*wire.Access{}, lastWindow: map[prefix.Key]*wire.Access{}}
}

// RecordAccesses records a request's accesses: its parts, the worker that is presumed to hold them from now on,
// and the store that they were handed to ("" if none).
//
// Example: s.Count("lectores", parts, worker.ID, "")
func (s *Client) RecordAccesses(service string, parts []prefix.Entry, holder, saved string) {
	if len(parts) == 0 {
		return
	}
	s.actor.TrySend(func(t *table) {
		sh := t.currentShards()
		for i, e := range parts {
			a := &wire.Access{Count: 1, Tokens: uint32(e.Tokens), Service: service, Head: i == 0, PresumedHolders: []string{holder}}
			if saved != "" {
				a.PresumedHolders = append(a.PresumedHolders, saved)
			}
			h := sh.NodesOf(e.Key)
			for j, n := range h {
				if n == "" || j == 1 && n == h[0] {
					continue
				}
				x := t.nodes[n]
				if x == nil {
					x = &nodeQueue{pending: map[prefix.Key]*wire.Access{}}
					t.nodes[n] = x
				}
				mergeAccess(x.pending, e.Key, a)
			}
			mergeAccess(t.window, e.Key, a)
		}
		if now := s.clock.Now(); now-t.windowStart > s.bounds.Heal(resendWindowRatio) {
			t.lastWindow, t.window, t.windowStart = t.window, map[prefix.Key]*wire.Access{}, now
		}
	})
}

// flush sends each index node its counts. A batch keeps its number until it is acknowledged, so a lost
// response can't make it count twice.
func (s *Client) flush() {
	loads := s.loads()
	s.actor.Ask(func(t *table) {
		sh := t.currentShards()
		for n, x := range t.nodes {
			addr := sh.Addr(n)
			if addr == "" {
				x.pending, x.inFlight = map[prefix.Key]*wire.Access{}, nil // it no longer serves; its batch numbers continue later
				continue
			}
			if x.sending || x.inFlight == nil && len(x.pending) == 0 && len(loads.GetWorkerIndexes()) == 0 {
				continue
			}
			if x.inFlight == nil {
				x.number++
				x.inFlight = &wire.CountRequest{Reporter: s.name, Incarnation: s.incarnation, Sequence: x.number}
				for _, a := range x.pending {
					x.inFlight.Accesses = append(x.inFlight.Accesses, a)
				}
				x.pending = map[prefix.Key]*wire.Access{}
			}
			x.sending, x.inFlight.Loads = true, loads // the newest loads, also with a batch that is sent again
			go s.sendBatch(n, addr, x, x.inFlight)
		}
	})
}

func (s *Client) sendBatch(n, addr string, x *nodeQueue, a *wire.CountRequest) {
	ctx, end := context.WithTimeout(s.ctx, s.bounds.Heal(flushTimeoutRatio))
	defer end()
	r, err := s.client(addr).Count(ctx, a)
	s.actor.Ask(func(t *table) {
		x.sending = false
		if err != nil || x.inFlight != a {
			return
		}
		x.inFlight = nil
		if !r.ResendWindow {
			return
		}
		for _, m := range []map[prefix.Key]*wire.Access{t.lastWindow, t.window} { // it has lost its memory
			for k, p := range m {
				if h := t.currentShards().NodesOf(k); h[0] == n || h[1] == n {
					mergeAccess(x.pending, k, &wire.Access{Count: p.Count, Tokens: p.Tokens, Service: p.Service, Head: p.Head})
				}
			}
		}
	})
}
