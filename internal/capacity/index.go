package capacity

import (
	"fmt"
	"runtime"
	"strings"
	"time"

	"pebbleloom/internal/data/backend"
	"pebbleloom/internal/data/prefix"
	"pebbleloom/internal/data/promptindex"
	"pebbleloom/internal/wire"
)

const cacheText = "3.model-00-70000.w0"

func partName(i int) string { return fmt.Sprintf("%08x", uint32(i*2654435761)) }

// cacheChanges are so many parts that a worker began to keep, from one on; each kind of removal is the
// same with no tokens.
func cacheChanges(from, n, tokens int) []backend.CacheChange {
	l := make([]backend.CacheChange, n)
	for i := range l {
		l[i] = backend.CacheChange{Salt: cacheText, Part: partName(from + i), Model: modelName(0), Tokens: tokens}
	}
	return l
}

// newIndex is an index node's table with so many parts, each kept by one worker of some.
func newIndex(parts, workers int, now time.Duration) *promptindex.Core {
	core := emptyIndex()
	per := (parts + workers - 1) / workers
	for w := range workers {
		applyEvents(core, w, 1, cacheChanges(w*per, max(0, min(per, parts-w*per)), 800), now)
	}
	return core
}

func emptyIndex() *promptindex.Core {
	b := bounds()
	b.MaxIndexEntries = 1 << 30 // as if nothing had to give way
	return promptindex.NewCore(b, func(prefix.Key) bool { return true })
}

func applyEvents(c *promptindex.Core, w int, next uint64, l []backend.CacheChange, now time.Duration) {
	q := c.NextEvents(fmt.Sprintf("i-%08x", w*40503), serviceName(0))
	c.ApplyEvents(q, backend.CacheEvents{BootID: 7, NextSequence: next, Changes: l}, now)
}

// measureIndex measures the index: by how many parts are kept, how many workers keep each, and how many
// changes one answer of a worker tells.
func measureIndex(b *bench) error {
	if err := measureParts(b); err != nil {
		return err
	}
	if err := measureHolders(b); err != nil {
		return err
	}
	return measureEvents(b)
}

func measureParts(b *bench) error {
	return b.vary("kept", "parts", b.sizes(60000, 120000, 240000, 480000, 960000), []kind{
		{"part-memory", "B", "heap of an index node with so many parts, each kept by one worker"},
		{"part-seek", "µs", "processor time of one key's look-up there, keys drawn evenly"},
		{"part-hottest", "µs", "processor time to list a service's hottest parts there: all parts are walked"},
		{"part-sweep", "µs", "processor time of one sweep over it"},
	}, func(parts float64) ([]float64, error) {
		now := time.Hour
		was := heap()
		core := newIndex(int(parts), 16, now)
		memory := heap() - was
		i := 0
		keys := make([]prefix.Key, 8)
		seek := b.spend(func() {
			for j := range keys {
				i++
				keys[j] = promptindex.PartKey(cacheText, partName(i*7919%int(parts)))
			}
			core.Lookup(keys, now)
		}) / float64(len(keys))
		hottest := b.spend(func() { core.Hottest(serviceName(0), 1000, now) })
		sweep := b.spend(func() { core.Sweep(map[string]bool{}, now) })
		runtime.KeepAlive(core)
		return []float64{max(1, memory), seek, hottest, sweep}, nil
	})
}

func measureHolders(b *bench) error {
	return b.vary("kept", "holders", b.sizes(1, 2, 4, 8), []kind{
		{"holder-memory", "B", "heap of one part that so many workers keep"},
	}, func(n float64) ([]float64, error) {
		parts := 60000
		if b.quick {
			parts = 500
		}
		was := heap()
		core := emptyIndex()
		for w := range int(n) {
			applyEvents(core, w, 1, cacheChanges(0, parts, 800), time.Hour)
		}
		memory := (heap() - was) / float64(parts)
		runtime.KeepAlive(core)
		return []float64{max(1, memory)}, nil
	})
}

// measureEvents measures answers of workers that tell so many changes, half of them removals, at an
// index of 240,000 parts: reading the answer, and laying it over the table.
func measureEvents(b *bench) error {
	have := 240000
	if b.quick {
		have = 1000
	}
	return b.vary("kept", "changes", b.sizes(10, 100, 1000, 10000), []kind{
		{"events-table", "µs", "processor time to lay one answer with so many changes over the table"},
		{"events-read", "µs", "processor time to read such an answer"},
		{"events-bytes", "B", "such an answer, without the head"},
		{"count-table", "µs", "processor time to add so many accesses that an edge counted"},
	}, func(changes float64) ([]float64, error) {
		now, next := time.Hour, uint64(1)
		core := newIndex(have, 16, now)
		additions := cacheChanges(have, int(changes)/2, 800)
		removals := cacheChanges(have, int(changes)/2, 0)
		table := b.spend(func() {
			next++
			applyEvents(core, 0, next, additions, now)
			next++
			applyEvents(core, 0, next, removals, now)
		})
		var text strings.Builder
		for i, change := range additions {
			fmt.Fprintf(&text, `,[%d,"+","%s","%s",%d,"%s"],[%d,"-","%s","%s",0,"%s"]`, i, change.Salt, change.Part, change.Tokens, change.Model, i, change.Salt, change.Part, change.Model)
		}
		body := []byte("[" + strings.TrimPrefix(text.String(), ",") + "]")
		read := b.spend(func() { _, _ = readChanges(body) })
		counts := &wire.CountRequest{Reporter: "edge/edge-1", Incarnation: 1}
		for i := range int(changes) {
			k := promptindex.PartKey(cacheText, partName(i*31%have))
			counts.Accesses = append(counts.Accesses, &wire.Access{Key: k[:], Count: 2, Tokens: 800, Service: serviceName(0), PresumedHolders: []string{"i-00000000"}})
		}
		count := b.spend(func() { counts.Sequence++; core.RecordAccesses(counts, now) })
		return []float64{table, read, float64(len(body)), count}, nil
	})
}
