// Package workersim simulates a language-model worker: it simulates prefill and decoding, caches prompt prefixes up to
// a capacity, and publishes reports of cache changes, optionally late, with gaps or not at all.
package workersim

import (
	"container/list"
	"sync"
	"time"

	"pebbleloom/internal/contract"
)

// Cache is the LRU prefix cache of a worker. It collects its changes in numbered reports and is safe for concurrent
// use.
type Cache struct {
	mu            sync.Mutex
	capacity      int // maximum sum of the entries' tokens
	used          int
	order         *list.List
	entries       map[string]*list.Element
	number        uint64
	openReport    contract.CacheReport
	closedReports []contract.CacheReport
	closedAt      []time.Duration // time at which the report at the same index of closedReports was closed
}

type cachedEntry struct {
	key    string
	tokens int
}

// maxClosedReports is the number of closed cache reports that can be read; older ones are discarded.
const maxClosedReports = 64

// NewCache returns an empty prefix cache with a capacity in tokens.
//
// Example: cache := workersim.NewCache(40000)
func NewCache(capacity int) *Cache {
	return &Cache{capacity: capacity, order: list.New(), entries: map[string]*list.Element{}}
}

// Lookup returns the number of tokens of a cached prefix and marks it as most recently used.
//
// Example: tokens, ok := cache.Lookup(key)
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

// Store caches a prefix by its key and evicts the least recently used prefixes as necessary. A prefix with more tokens
// than the cache's capacity isn't cached.
//
// Example: cache.Store(key, 800)
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

// Clear removes all prefixes. Workers call it when their weights change.
//
// Example: cache.Clear()
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

// CloseReport closes the open report of cache changes, unless it is empty. If drop is true the report is discarded, so
// that readers see a gap in the report numbers.
//
// Example: cache.CloseReport(false, clock.Now())
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

// Reports returns the cache reports with numbers above after that were closed by the time until or, if complete is
// true, the whole content of the cache.
//
// Example: reports := cache.Reports(41, false, clock.Now())
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
			reports.Number = p.Number - 1 // number of the last report that readers may see
			break
		}
		if p.Number > after {
			reports.Reports = append(reports.Reports, p)
		}
	}
	return reports
}

// Used returns the number of cached tokens and the capacity in tokens.
//
// Example: used, capacity := cache.Used()
func (c *Cache) Used() (int, int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.used, c.capacity
}
