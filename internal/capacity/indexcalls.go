package capacity

import (
	"context"
	"net/http"
	"time"

	"pebbleloom/internal/control/routingconfig"
	"pebbleloom/internal/data/backend"
	"pebbleloom/internal/data/promptindex"
	"pebbleloom/internal/fleet"
	"pebbleloom/internal/wire"
)

// prefixCacheWorker is a backend.Client of a worker that reports many cached parts at once.
type prefixCacheWorker struct {
	backend.Client
	parts int
}

// CacheEvents implements backend.Client: the first call reports all parts, later ones report no change.
//
// Example: events, err := worker.CacheEvents(ctx, addr, 0, time.Second)
func (w *prefixCacheWorker) CacheEvents(_ context.Context, _ string, since uint64, _ time.Duration) (backend.CacheEvents, error) {
	e := backend.CacheEvents{BootID: 1, NextSequence: 2}
	if since == 0 {
		e.Changes = cacheChanges(0, w.parts, 800)
	}
	return e, nil
}

// CachedPrefixes implements backend.Client: it reports all parts.
//
// Example: events, err := worker.CachedPrefixes(ctx, addr)
func (w *prefixCacheWorker) CachedPrefixes(context.Context, string) (backend.CacheEvents, error) {
	return backend.CacheEvents{BootID: 1, NextSequence: 2, Changes: cacheChanges(0, w.parts, 800)}, nil
}

// measureCalls measures the proxies' calls to an index node over real connections, over the number of keys in a call: the
// base is the cost of a call, the slope the cost of a key.
func measureCalls(b *bench) error {
	parts, callCount := 50000, 4000.0
	if b.quick {
		parts, callCount = 100, 20
	}
	connections, err := newByteCounter()
	if err != nil {
		return err
	}
	process := newProcess("core-1", bounds(), connections)
	defer process.Stop(time.Second)
	snapshot := &fleet.Snapshot{Plan: (&routingconfig.Plan{Version: 1, Services: []routingconfig.Service{{Name: serviceName(0), Engine: engine()}}}).BuildIndex(), Workers: workerList(1, 1),
		Nodes: []*wire.Node{{Name: "catalogue/core-1", Role: "catalogue", Zone: zoneName(0), Addr: connections.addr()}}}
	node, err := promptindex.StartWithCacheEvents(process, &prefixCacheWorker{parts: parts}, func() *fleet.Snapshot { return snapshot })
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.Handle(wire.PromptIndexPathPrefix, node.Handler())
	if err := process.Serve(connections.addr(), mux); err != nil {
		return err
	}
	key := promptindex.PartKey(cacheText, partName(0))
	if err := until("the index has the worker's parts", func() bool {
		result, err := node.Lookup(process.Ctx, &wire.LookupRequest{Keys: [][]byte{key[:]}})
		return err == nil && len(result.Results[0].Holders) > 0
	}); err != nil {
		return err
	}
	for _, what := range []string{"seek", "count"} {
		if err := b.vary("calls", "keys", b.sizes(1, 4, 16, 64, 256), []kind{
			{what + "-server", "µs", "processor time of a " + what + " call at the index node"},
			{what + "-caller", "µs", "processor time of a " + what + " call at the edge, beside the choice"},
			{what + "-bytes", "B", "bytes of a " + what + " call on its connection, both ways"},
		}, func(keys float64) ([]float64, error) {
			hollow, err := startHollow(hollowTask{Kind: what, Addr: connections.addr(), Keys: int(keys), Calls: int(callCount), Parts: parts})
			if err != nil {
				return nil, err
			}
			defer hollow.end()
			cpuBefore, bytes := cpu(), connections.bytes.Load()
			result, err := hollow.run()
			if err != nil {
				return nil, err
			}
			return []float64{(cpu() - cpuBefore) / result.Calls, result.CPU / result.Calls, float64(connections.bytes.Load()-bytes) / result.Calls}, nil
		}); err != nil {
			return err
		}
	}
	return nil
}
