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

// cacheChanges returns changes by which a worker added count parts to its cache, or removed them if tokens is 0.
func cacheChanges(from, count, tokens int) []backend.CacheChange {
	changes := make([]backend.CacheChange, count)
	for i := range changes {
		changes[i] = backend.CacheChange{Salt: cacheText, Part: partName(from + i), Model: modelName(0), Tokens: tokens}
	}
	return changes
}

// newIndex returns an index with a number of parts, each cached by one of the workers.
func newIndex(parts, workers int, now time.Duration) *promptindex.Core {
	core := emptyIndex()
	partsPerWorker := (parts + workers - 1) / workers
	for worker := range workers {
		applyEvents(core, worker, 1, cacheChanges(worker*partsPerWorker, max(0, min(partsPerWorker, parts-worker*partsPerWorker)), 800), now)
	}
	return core
}

// emptyIndex returns an index that evicts nothing.
func emptyIndex() *promptindex.Core {
	limits := bounds()
	limits.MaxIndexEntries = 1 << 30 // no evictions
	return promptindex.NewCore(limits, func(prefix.Key) bool { return true })
}

// applyEvents applies the changes of a worker, by its number, to an index.
func applyEvents(core *promptindex.Core, worker int, next uint64, changes []backend.CacheChange, now time.Duration) {
	cursor := core.NextEvents(fmt.Sprintf("i-%08x", worker*40503), serviceName(0))
	core.ApplyEvents(cursor, backend.CacheEvents{BootID: 7, NextSequence: next, Changes: changes}, now)
}

// measureIndex measures the index over the number of cached parts, of workers that cache each, and of changes in one
// response of a worker.
func measureIndex(b *bench) error {
	if err := measureParts(b); err != nil {
		return err
	}
	if err := measureHolders(b); err != nil {
		return err
	}
	return measureEvents(b)
}

// measureParts measures an index node over the number of its parts.
func measureParts(b *bench) error {
	return b.vary("kept", "parts", b.sizes(60000, 120000, 240000, 480000, 960000), []kind{
		{"part-memory", "B", "heap of an index node with so many parts, each kept by one worker"},
		{"part-seek", "µs", "processor time of one key's look-up there, keys drawn evenly"},
		{"part-hottest", "µs", "processor time to list a service's hottest parts there: all parts are walked"},
		{"part-sweep", "µs", "processor time of one sweep over it"},
	}, func(parts float64) ([]float64, error) {
		now := time.Hour
		heapBefore := heap()
		core := newIndex(int(parts), 16, now)
		memory := heap() - heapBefore
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

// measureHolders measures the memory of a part over the number of workers that cache it.
func measureHolders(b *bench) error {
	return b.vary("kept", "holders", b.sizes(1, 2, 4, 8), []kind{
		{"holder-memory", "B", "heap of one part that so many workers keep"},
	}, func(holders float64) ([]float64, error) {
		parts := 60000
		if b.quick {
			parts = 500
		}
		heapBefore := heap()
		core := emptyIndex()
		for worker := range int(holders) {
			applyEvents(core, worker, 1, cacheChanges(0, parts, 800), time.Hour)
		}
		memory := (heap() - heapBefore) / float64(parts)
		runtime.KeepAlive(core)
		return []float64{max(1, memory)}, nil
	})
}

// measureEvents measures the decoding of workers' responses with a number of changes, half of them removals, and their
// application to an index of 240,000 parts.
func measureEvents(b *bench) error {
	parts := 240000
	if b.quick {
		parts = 1000
	}
	return b.vary("kept", "changes", b.sizes(10, 100, 1000, 10000), []kind{
		{"events-table", "µs", "processor time to lay one answer with so many changes over the table"},
		{"events-read", "µs", "processor time to read such an answer"},
		{"events-bytes", "B", "such an answer, without the head"},
		{"count-table", "µs", "processor time to add so many accesses that an edge counted"},
	}, func(changes float64) ([]float64, error) {
		now, next := time.Hour, uint64(1)
		core := newIndex(parts, 16, now)
		additions := cacheChanges(parts, int(changes)/2, 800)
		removals := cacheChanges(parts, int(changes)/2, 0)
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
			key := promptindex.PartKey(cacheText, partName(i*31%parts))
			counts.Accesses = append(counts.Accesses, &wire.Access{Key: key[:], Count: 2, Tokens: 800, Service: serviceName(0), PresumedHolders: []string{"i-00000000"}})
		}
		count := b.spend(func() { counts.Sequence++; core.RecordAccesses(counts, now) })
		return []float64{table, read, float64(len(body)), count}, nil
	})
}
