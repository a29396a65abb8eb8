// Package workersim simulates a language-model worker: it prefills, decodes, keeps prefixes in a bounded cache, and
// publishes cache reports, optionally late, with gaps or not at all.
package workersim

import (
	"container/list"
	"sync"
	"time"

	"pebbleloom/internal/contract"
)

// Cache is a worker's LRU prefix cache. Changes are collected in numbered reports. It is safe for concurrent use.
type Cache struct {
	mu            sync.Mutex
	capacity      int // tokens
	used          int
	order         *list.List
	entries       map[string]*list.Element
	number        uint64
	openReport    contract.CacheReport
	closedReports []contract.CacheReport
	closedAt      []time.Duration // when each of closedReports was closed
}

type cachedEntry struct {
	key    string
	tokens int
}

// maxClosedReports is how many closed reports are kept; older ones are lost to readers.
const maxClosedReports = 64

// NewCache returns a cache with a capacity in tokens.
//
// Example: cache := workersim.NewCache(40000)
func NewCache(capacity int) *Cache {
	return &Cache{capacity: capacity, order: list.New(), entries: map[string]*list.Element{}}
}

// Lookup returns the tokens of a cached key and marks it as used.
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

// Store caches a key and evicts the least recently used ones as necessary. A key above the capacity isn't cached.
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

// Clear removes all keys, as a change of weights does.
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

// CloseReport closes the open report, unless it is empty. With drop the report is lost, so that its number is a gap.
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

// Reports returns the reports with higher numbers than after that were closed by the time until, or the complete
// content of the cache.
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
			reports.Number = p.Number - 1 // the last one that is visible
			break
		}
		if p.Number > after {
			reports.Reports = append(reports.Reports, p)
		}
	}
	return reports
}

// Used returns the cached tokens and the capacity.
//
// Example: used, capacity := cache.Used()
func (c *Cache) Used() (int, int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.used, c.capacity
}
