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

// keeper is one worker that keeps many parts, told at once.
type keeper struct {
	backend.Client
	parts int
}

func (k *keeper) CacheEvents(_ context.Context, _ string, since uint64, _ time.Duration) (backend.CacheEvents, error) {
	e := backend.CacheEvents{BootID: 1, NextSequence: 2}
	if since == 0 {
		e.Changes = changes(0, k.parts, 800)
	}
	return e, nil
}

func (k *keeper) CachedPrefixes(context.Context, string) (backend.CacheEvents, error) {
	return backend.CacheEvents{BootID: 1, NextSequence: 2, Changes: changes(0, k.parts, 800)}, nil
}

// calls measures the edges' calls to an index node over real connections, by how many keys a call
// holds: what a call costs at either end is the base, what a key costs is the slope.
func calls(b *bench) error {
	parts, n := 50000, 4000.0
	if b.quick {
		parts, n = 100, 20
	}
	t, err := newTap()
	if err != nil {
		return err
	}
	l := newProcess("core-1", bounds(), t)
	defer l.Stop(time.Second)
	s := &fleet.Snapshot{Plan: (&routingconfig.Plan{Version: 1, Services: []routingconfig.Service{{Name: serviceName(0), Engine: engine()}}}).BuildIndex(), Workers: roll(1, 1),
		Nodes: []*wire.Node{{Name: "catalogue/core-1", Role: "catalogue", Zone: "district-0", Addr: t.addr()}}}
	node, err := promptindex.StartSite(l, &keeper{parts: parts}, func() *fleet.Snapshot { return s })
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.Handle(wire.PromptIndexPathPrefix, node.Handler())
	if err := l.Serve(t.addr(), mux); err != nil {
		return err
	}
	k := promptindex.PartKey(cacheText, partName(0))
	if err := until("the index has the worker's parts", func() bool {
		x, err := node.Lookup(l.Ctx, &wire.LookupRequest{Keys: [][]byte{k[:]}})
		return err == nil && len(x.Results[0].Holders) > 0
	}); err != nil {
		return err
	}
	for _, what := range []string{"seek", "count"} {
		if err := b.vary("calls", "keys", b.sizes(1, 4, 16, 64, 256), []kind{
			{what + "-server", "µs", "processor time of a " + what + " call at the index node"},
			{what + "-caller", "µs", "processor time of a " + what + " call at the edge, beside the choice"},
			{what + "-bytes", "B", "bytes of a " + what + " call on its connection, both ways"},
		}, func(keys float64) ([]float64, error) {
			f, err := start(task{Kind: what, Addr: t.addr(), Keys: int(keys), Calls: int(n), Parts: parts})
			if err != nil {
				return nil, err
			}
			defer f.end()
			at, bytes := cpu(), t.bytes.Load()
			x, err := f.run()
			if err != nil {
				return nil, err
			}
			return []float64{(cpu() - at) / x.Calls, x.CPU / x.Calls, float64(t.bytes.Load()-bytes) / x.Calls}, nil
		}); err != nil {
			return err
		}
	}
	return nil
}
