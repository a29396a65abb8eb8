// Package workersim is the stand-in for a language-model worker: it prefills, decodes, keeps
// whatever it reads in a bounded cache, and reports late, with gaps or not at all.
package workersim

import (
	"container/list"
	"sync"
	"time"

	"pebbleloom/internal/contract"
)

// Cache is a worker's cache of kept prefixes: the longest unused goes first.
type Cache struct {
	mu            sync.Mutex
	capacity      int // tokens
	used          int
	order         *list.List
	entries       map[string]*list.Element
	number        uint64
	openReport    contract.CacheReport
	closedReports []contract.CacheReport
	closedAt      []time.Duration // when each of the past was closed
}

type cachedEntry struct {
	key    string
	tokens int
}

const maxClosedReports = 64

// NewCache makes a cache with room for so many tokens.
//
// Example: kv := cab.NewCache(40000)
func NewCache(capacity int) *Cache {
	return &Cache{capacity: capacity, order: list.New(), entries: map[string]*list.Element{}}
}

// Lookup tells whether a key is held, and counts it as used.
//
// Example: n, ok := kv.Has(key)
func (c *Cache) Lookup(key string) (int, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e, ok := c.entries[key]
	if !ok {
		return 0, false
	}
	c.order.MoveToFront(e)
	return e.Value.(cachedEntry).tokens, true
}

// Store holds a key; the longest unused make room for it.
//
// Example: kv.Keep(key, 800)
func (c *Cache) Store(key string, tokens int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e, ok := c.entries[key]; ok {
		c.order.MoveToFront(e)
		return
	}
	if tokens > c.capacity {
		return
	}
	for c.used+tokens > c.capacity {
		e := c.order.Back()
		h := e.Value.(cachedEntry)
		c.order.Remove(e)
		delete(c.entries, h.key)
		c.used -= h.tokens
		c.openReport.Removed = append(c.openReport.Removed, h.key)
	}
	c.entries[key] = c.order.PushFront(cachedEntry{key, tokens})
	c.used += tokens
	c.openReport.Added = append(c.openReport.Added, contract.CachedPrefix{Key: key, Tokens: tokens})
}

// Clear forgets everything, as new weights or an emptied store do.
//
// Example: kv.Clear()
func (c *Cache) Clear() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for key := range c.entries {
		c.openReport.Removed = append(c.openReport.Removed, key)
	}
	c.order.Init()
	clear(c.entries)
	c.used = 0
}

// CloseReport closes the report in hand; drop loses it on the way, so that its number is a gap.
//
// Example: kv.Turn(false, clk.Now())
func (c *Cache) CloseReport(drop bool, now time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.openReport.Added)+len(c.openReport.Removed) == 0 {
		return
	}
	c.number++
	c.openReport.Number = c.number
	if !drop {
		c.closedReports, c.closedAt = append(c.closedReports, c.openReport), append(c.closedAt, now)
		if len(c.closedReports) > maxClosedReports {
			c.closedReports, c.closedAt = c.closedReports[1:], c.closedAt[1:]
		}
	}
	c.openReport = contract.CacheReport{}
}

// Reports answers what came after a number, or all that is held. Reports that were closed after
// an instant aren't shown yet.
//
// Example: r := kv.Reports(41, false, clk.Now())
func (c *Cache) Reports(after uint64, complete bool, until time.Duration) contract.CacheReports {
	c.mu.Lock()
	defer c.mu.Unlock()
	reports := contract.CacheReports{Number: c.number, Complete: complete}
	if complete {
		for e := c.order.Front(); e != nil; e = e.Next() {
			h := e.Value.(cachedEntry)
			reports.Cached = append(reports.Cached, contract.CachedPrefix{Key: h.key, Tokens: h.tokens})
		}
		return reports
	}
	for i, p := range c.closedReports {
		if c.closedAt[i] > until {
			reports.Number = p.Number - 1 // as far as is shown
			break
		}
		if p.Number > after {
			reports.Reports = append(reports.Reports, p)
		}
	}
	return reports
}

// Used tells how many tokens are held, and how many could be.
//
// Example: used, room := kv.Used()
func (c *Cache) Used() (int, int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.used, c.capacity
}
