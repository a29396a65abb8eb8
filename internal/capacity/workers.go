package capacity

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"runtime"
	"time"

	"pebbleloom/internal/clock"
	"pebbleloom/internal/control/controllers"
	"pebbleloom/internal/control/routingconfig"
	"pebbleloom/internal/daemon"
	"pebbleloom/internal/data/backend"
	"pebbleloom/internal/data/indexclient"
	"pebbleloom/internal/data/promptindex"
	"pebbleloom/internal/data/selection"
	"pebbleloom/internal/errs"
	"pebbleloom/internal/fleet"
	"pebbleloom/internal/settings"
	"pebbleloom/internal/wire"
)

// modelCount is how many models, each with a service, the fleet serves.
const modelCount = 35

func modelName(i int) string   { return fmt.Sprintf("model-%02d-70000", i) }
func serviceName(i int) string { return fmt.Sprintf("service-%02d", i) }

// zoneName returns the zone of the node or worker with a number; there are five.
func zoneName(i int) string { return fmt.Sprintf("district-%d", i%5) }

// workerList returns workers that are spread over a number of services.
func workerList(count, services int) []fleet.Worker {
	workers, random := make([]fleet.Worker, count), rand.New(rand.NewPCG(3, 5))
	for i := range workers {
		service := i % services
		workers[i] = fleet.Worker{ID: fmt.Sprintf("i-%08x", random.Uint32()), Service: serviceName(service), Addr: fmt.Sprintf("10.%d.%d.%d:8080", 64+i%5, i/200, i%200),
			Zone: zoneName(i), Slots: 128, Weights: map[string]uint64{modelName(service): 3}}
	}
	return workers
}

// newProcess returns a program's process runtime in this process. Its listener is counter, if there is one.
func newProcess(name string, limits settings.Bounds, counter *byteCounter) *daemon.Process {
	configuration := settings.Process{Name: name, Zone: zoneName(0), Listen: "127.0.0.1:0", Bounds: limits, Options: []string{"log=off"},
		Site: &settings.Site{FirstStart: true, IP: "127.0.0.1", MemoryLimitMB: 4096, ReadinessListen: "127.0.0.1:0", HeartbeatMs: 1200, GraceMs: 100, LeaseMs: 3000, AckTimeoutMs: 60000, TransitMs: 1000}}
	environment := daemon.RealEnvironment(configuration)
	if counter != nil {
		environment.Listen, configuration.Listen = counter.listen, counter.addr()
		configuration.Seeds = []string{configuration.Listen}
		environment.Dial = (&settings.Process{Bounds: limits}).Dialer().DialContext
	}
	return daemon.NewIn(environment, name, configuration)
}

// engine returns the engine settings of a service.
func engine() *routingconfig.Engine {
	return &routingconfig.Engine{Slots: 128, CapacityTokens: 320000, TokenBytes: 18432, LinkMbps: 370000, MaxPolls: 4}
}

// measureWorkers measures what depends on the number of workers.
func measureWorkers(b *bench) error {
	if err := b.vary("workers", "workers", b.sizes(89, 178, 355, 710), []kind{
		{"table-bytes", "B", "the document of workers"},
		{"table-told", "B", "the same as it is told to nodes, packed"},
		{"table-read", "µs", "processor time to unpack and read that document, as every agent does at each of its changes"},
		{"table-take", "µs", "processor time to lay one whole reading of the list over the table and write the document anew"},
		{"table-memory", "B", "heap of the workers that a snapshot holds"},
	}, func(count float64) ([]float64, error) {
		workers := workerList(int(count), modelCount)
		table := controllers.NewWorkerList(fleet.WorkerList{Workers: workers})
		body, err := json.Marshal(table.Document())
		if err != nil {
			return nil, err
		}
		heapBefore := heap()
		loaded := &fleet.WorkerList{}
		if err := json.Unmarshal(body, loaded); err != nil {
			return nil, err
		}
		memory := heap() - heapBefore
		packed := fleet.Compress(&wire.Document{Key: fleet.WorkersKey, Body: body, Version: 1})
		read := b.spend(func() {
			var loaded fleet.WorkerList
			if decompressed, err := fleet.Decompress(packed); err == nil {
				_ = json.Unmarshal(decompressed.Body, &loaded)
			}
		})
		merge := b.spend(func() { table.Merge(workers, true); _, _ = json.Marshal(table.Document()) })
		runtime.KeepAlive(loaded)
		return []float64{float64(len(body)), float64(len(packed.Body)), read, merge, max(1, memory)}, nil
	}); err != nil {
		return err
	}
	if err := measureSelection(b); err != nil {
		return err
	}
	return measurePolls(b)
}

// measureSelection measures the selection of a worker, and the first one after a change of the worker list.
func measureSelection(b *bench) error {
	return b.vary("workers", "workers", b.sizes(20, 89, 178, 355, 710), []kind{
		{"pick-cpu", "µs", "processor time of one choice among so many workers of one service, noted as sent and as ended"},
		{"pick-table", "µs", "the same where the table of workers has just changed"},
	}, func(count float64) ([]float64, error) {
		process := newProcess("edge-1", bounds(), nil)
		defer process.Stop(time.Second)
		plan := &routingconfig.Plan{Version: 1, Services: []routingconfig.Service{{Name: serviceName(0), MaxConns: 630, Engine: engine()}},
			Routes: []routingconfig.Route{{Name: "r", Host: "h", Prefix: "/", Kind: routingconfig.EventStream, Timeout: 8 * time.Second, LatencyTarget: time.Second, CarriesPromptPartIDs: true, MaxAttempts: 2, Split: []routingconfig.WeightedService{{Service: serviceName(0), Weight: 1}}}}}
		snapshot := &fleet.Snapshot{Plan: plan.BuildIndex(), ProofAt: process.Clock.Now(), Workers: workerList(int(count), 1), EdgeCount: 340}
		selector := selection.New(process, indexclient.New(process, func() []*wire.Node { return nil }))
		i, random := 0, rand.New(rand.NewPCG(1, 2))
		zone := zoneName(0) // not formatted in the measured part
		selectOne := func(snapshot *fleet.Snapshot) {
			i++
			request := &selection.Request{ID: fmt.Sprintf("%016x", i), Service: serviceName(0), Route: &plan.Routes[0], Zone: zone, Model: modelName(0), PromptTokens: 17000, MaxOutputTokens: 450,
				Parts: []selection.PromptPart{{ID: fmt.Sprintf("%08x", random.IntN(8)), Tokens: 2500}, {ID: fmt.Sprintf("%08x", 100+random.IntN(290)), Tokens: 11000}, {ID: fmt.Sprintf("%08x", 1000+i), Tokens: 3500}}}
			if choice, ok := selector.Select(snapshot, request, nil, map[string]bool{}); ok {
				selector.RecordSent(request, choice)
				selector.RecordOutcome(request, choice, selection.Completed, &selection.Load{Running: 40, Slots: 128}, 300*time.Millisecond)
			}
		}
		steady := b.spend(func() { selectOne(snapshot) })
		fresh := b.spend(func() { changed := *snapshot; selectOne(&changed) })
		return []float64{steady, fresh}, nil
	})
}

// idleWorkerClient is a backend.Client of workers without cache changes.
type idleWorkerClient struct {
	backend.Client
	calls chan struct{}
}

// CacheEvents implements backend.Client: it reports no changes, and the call on the channel.
//
// Example: events, err := client.CacheEvents(ctx, addr, 1, time.Second)
func (c *idleWorkerClient) CacheEvents(ctx context.Context, _ string, since uint64, wait time.Duration) (backend.CacheEvents, error) {
	c.calls <- struct{}{}
	return backend.CacheEvents{BootID: 1, NextSequence: since + 1}, nil
}

// CachedPrefixes implements backend.Client: it reports an empty cache.
//
// Example: events, err := client.CachedPrefixes(ctx, addr)
func (c *idleWorkerClient) CachedPrefixes(context.Context, string) (backend.CacheEvents, error) {
	return backend.CacheEvents{BootID: 1, NextSequence: 1}, nil
}

// measurePolls measures an index node's round over all workers, without the calls themselves: its bounds
// are so short that it asks all the time.
func measurePolls(b *bench) error {
	return b.vary("workers", "workers", b.sizes(89, 178, 355, 710), []kind{
		{"round-cpu", "µs", "processor time at an index node for each question to a worker, beside the call itself and the events in it"},
	}, func(workers float64) ([]float64, error) {
		short := bounds()
		short.RecoveryMs = 1200
		if b.quick {
			short.RecoveryMs = 240
		}
		process := newProcess("core-1", short, nil)
		snapshot := &fleet.Snapshot{Plan: (&routingconfig.Plan{Version: 1, Services: []routingconfig.Service{{Name: serviceName(0), Engine: engine()}}}).BuildIndex(), Workers: workerList(int(workers), 1),
			Nodes: []*wire.Node{{Name: "catalogue/core-1", Role: "catalogue", Zone: zoneName(0), Addr: "127.0.0.1:1"}}}
		client := &idleWorkerClient{calls: make(chan struct{}, 1<<16)}
		if _, err := promptindex.StartWithCacheEvents(process, client, func() *fleet.Snapshot { return snapshot }); err != nil {
			return nil, err
		}
		defer process.Stop(time.Second)
		awaitCalls := func(count int) {
			for range count {
				<-client.calls
			}
		}
		rounds := 10
		if b.quick {
			rounds = 1
		}
		awaitCalls(2 * int(workers))
		cpuBefore := cpu()
		awaitCalls(rounds * int(workers))
		return []float64{(cpu() - cpuBefore) / float64(rounds) / workers}, nil
	})
}

// patience is the time-out of until.
const patience = time.Minute

// until polls a condition until it holds; it fails with errs.Internal after patience.
func until(what string, condition func() bool) error {
	bootClock, ctx := clock.BootTime(), context.Background()
	for end := bootClock.Now() + patience; !condition(); clock.Sleep(ctx, time.Millisecond) {
		if bootClock.Now() > end {
			return errs.New(errs.Internal, "%s: not within %v", what, patience)
		}
	}
	return nil
}
