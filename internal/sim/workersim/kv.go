// Package workersim is the stand-in for a language-model worker: it prefills, decodes, keeps
// whatever it reads in a bounded cache, and reports late, with gaps or not at all.
package workersim

import (
	"container/list"
	"sync"
	"time"

	"pebbleloom/internal/contract"
)

// KV is a worker's cache of kept prefixes: the longest unused goes first.
type KV struct {
	mu     sync.Mutex
	room   int // tokens
	used   int
	order  *list.List
	at     map[string]*list.Element
	number uint64
	now    contract.CacheReport
	past   []contract.CacheReport
	turned []time.Duration // when each of the past was closed
}

type held struct {
	key    string
	tokens int
}

const pastReports = 64

// NewKV makes a cache with room for so many tokens.
//
// Example: kv := cab.NewKV(40000)
func NewKV(room int) *KV { return &KV{room: room, order: list.New(), at: map[string]*list.Element{}} }

// Has tells whether a key is held, and counts it as used.
//
// Example: n, ok := kv.Has(key)
func (k *KV) Has(key string) (int, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	e, ok := k.at[key]
	if !ok {
		return 0, false
	}
	k.order.MoveToFront(e)
	return e.Value.(held).tokens, true
}

// Keep holds a key; the longest unused make room for it.
//
// Example: kv.Keep(key, 800)
func (k *KV) Keep(key string, tokens int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if e, ok := k.at[key]; ok {
		k.order.MoveToFront(e)
		return
	}
	if tokens > k.room {
		return
	}
	for k.used+tokens > k.room {
		e := k.order.Back()
		h := e.Value.(held)
		k.order.Remove(e)
		delete(k.at, h.key)
		k.used -= h.tokens
		k.now.Removed = append(k.now.Removed, h.key)
	}
	k.at[key] = k.order.PushFront(held{key, tokens})
	k.used += tokens
	k.now.Added = append(k.now.Added, contract.CachedPrefix{Key: key, Tokens: tokens})
}

// Clear forgets everything, as new weights or an emptied store do.
//
// Example: kv.Clear()
func (k *KV) Clear() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for key := range k.at {
		k.now.Removed = append(k.now.Removed, key)
	}
	k.order.Init()
	clear(k.at)
	k.used = 0
}

// Turn closes the report in hand; drop loses it on the way, so that its number is a gap.
//
// Example: kv.Turn(false, clk.Now())
func (k *KV) Turn(drop bool, now time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(k.now.Added)+len(k.now.Removed) == 0 {
		return
	}
	k.number++
	k.now.Number = k.number
	if !drop {
		k.past, k.turned = append(k.past, k.now), append(k.turned, now)
		if len(k.past) > pastReports {
			k.past, k.turned = k.past[1:], k.turned[1:]
		}
	}
	k.now = contract.CacheReport{}
}

// Reports answers what came after a number, or all that is held. Reports that were closed after
// an instant aren't shown yet.
//
// Example: r := kv.Reports(41, false, clk.Now())
func (k *KV) Reports(after uint64, whole bool, until time.Duration) contract.CacheReports {
	k.mu.Lock()
	defer k.mu.Unlock()
	r := contract.CacheReports{Number: k.number, Complete: whole}
	if whole {
		for e := k.order.Front(); e != nil; e = e.Next() {
			h := e.Value.(held)
			r.Cached = append(r.Cached, contract.CachedPrefix{Key: h.key, Tokens: h.tokens})
		}
		return r
	}
	for i, p := range k.past {
		if k.turned[i] > until {
			r.Number = p.Number - 1 // as far as is shown
			break
		}
		if p.Number > after {
			r.Reports = append(r.Reports, p)
		}
	}
	return r
}

// Used tells how many tokens are held, and how many could be.
//
// Example: used, room := kv.Used()
func (k *KV) Used() (int, int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.used, k.room
}
