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

const models = 35

func modelName(i int) string   { return fmt.Sprintf("model-%02d-70000", i) }
func serviceName(i int) string { return fmt.Sprintf("service-%02d", i) }

// workerList lists workers, spread over so many services.
func workerList(n, services int) []fleet.Worker {
	l, d := make([]fleet.Worker, n), rand.New(rand.NewPCG(3, 5))
	for i := range l {
		s := i % services
		l[i] = fleet.Worker{ID: fmt.Sprintf("i-%08x", d.Uint32()), Service: serviceName(s), Addr: fmt.Sprintf("10.%d.%d.%d:8080", 64+i%5, i/200, i%200),
			Zone: fmt.Sprintf("district-%d", i%5), Slots: 128, Weights: map[string]uint64{modelName(s): 3}}
	}
	return l
}

// newProcess makes a program's process runtime in this process; listen, if any, is where its connections are counted.
func newProcess(name string, b settings.Bounds, tap *byteCounter) *daemon.Process {
	p := settings.Process{Name: name, Zone: "district-0", Listen: "127.0.0.1:0", Bounds: b, Options: []string{"log=off"},
		Site: &settings.Site{FirstStart: true, IP: "127.0.0.1", MemoryLimitMB: 4096, ReadinessListen: "127.0.0.1:0", HeartbeatMs: 1200, GraceMs: 100, LeaseMs: 3000, AckTimeoutMs: 60000, TransitMs: 1000}}
	w := daemon.RealEnvironment(p)
	if tap != nil {
		w.Listen, p.Listen = tap.listen, tap.addr()
		p.Seeds = []string{p.Listen}
		w.Dial = (&settings.Process{Bounds: b}).Dialer().DialContext
	}
	return daemon.NewIn(w, name, p)
}

func engine() *routingconfig.Engine {
	return &routingconfig.Engine{Slots: 128, CapacityTokens: 320000, TokenBytes: 18432, LinkMbps: 370000, MaxPolls: 4}
}

// measureWorkers measures what grows with how many workers there are.
func measureWorkers(b *bench) error {
	if err := b.vary("workers", "workers", b.sizes(89, 178, 355, 710), []kind{
		{"table-bytes", "B", "the document of workers"},
		{"table-told", "B", "the same as it is told to nodes, packed"},
		{"table-read", "µs", "processor time to unpack and read that document, as every agent does at each of its changes"},
		{"table-take", "µs", "processor time to lay one whole reading of the list over the table and write the document anew"},
		{"table-memory", "B", "heap of the workers that a snapshot holds"},
	}, func(n float64) ([]float64, error) {
		l := workerList(int(n), models)
		t := controllers.NewWorkerList(fleet.WorkerList{Workers: l})
		body, err := json.Marshal(t.Document())
		if err != nil {
			return nil, err
		}
		was := heap()
		x := &fleet.WorkerList{}
		if err := json.Unmarshal(body, x); err != nil {
			return nil, err
		}
		memory := heap() - was
		packed := fleet.Compress(&wire.Document{Key: fleet.WorkersKey, Body: body, Version: 1})
		read := b.spend(func() {
			var x fleet.WorkerList
			if d, err := fleet.Decompress(packed); err == nil {
				_ = json.Unmarshal(d.Body, &x)
			}
		})
		took := b.spend(func() { t.Merge(l, true); _, _ = json.Marshal(t.Document()) })
		runtime.KeepAlive(x)
		return []float64{float64(len(body)), float64(len(packed.Body)), read, took, max(1, memory)}, nil
	}); err != nil {
		return err
	}
	if err := measureSelection(b); err != nil {
		return err
	}
	return measurePolls(b)
}

// measureSelection measures one choice of a worker, and the first one under a new table.
func measureSelection(b *bench) error {
	return b.vary("workers", "workers", b.sizes(20, 89, 178, 355, 710), []kind{
		{"pick-cpu", "µs", "processor time of one choice among so many workers of one service, noted as sent and as ended"},
		{"pick-table", "µs", "the same where the table of workers has just changed"},
	}, func(n float64) ([]float64, error) {
		l := newProcess("edge-1", bounds(), nil)
		defer l.Stop(time.Second)
		x := &routingconfig.Plan{Version: 1, Services: []routingconfig.Service{{Name: serviceName(0), MaxConns: 630, Engine: engine()}},
			Routes: []routingconfig.Route{{Name: "r", Host: "h", Prefix: "/", Kind: routingconfig.EventStream, Timeout: 8 * time.Second, LatencyTarget: time.Second, NamesPromptParts: true, MaxAttempts: 2, Split: []routingconfig.WeightedService{{Service: serviceName(0), Weight: 1}}}}}
		s := &fleet.Snapshot{Plan: x.BuildIndex(), ProofAt: l.Clock.Now(), Workers: workerList(int(n), 1), EdgeCount: 340}
		p := selection.New(l, indexclient.New(l, func() []*wire.Node { return nil }))
		i, d := 0, rand.New(rand.NewPCG(1, 2))
		one := func(s *fleet.Snapshot) {
			i++
			q := &selection.Request{ID: fmt.Sprintf("%016x", i), Service: serviceName(0), Route: &x.Routes[0], Zone: "district-0", Model: modelName(0), PromptTokens: 17000, MaxOutputTokens: 450,
				Parts: []selection.PromptPart{{ID: fmt.Sprintf("%08x", d.IntN(8)), Tokens: 2500}, {ID: fmt.Sprintf("%08x", 100+d.IntN(290)), Tokens: 11000}, {ID: fmt.Sprintf("%08x", 1000+i), Tokens: 3500}}}
			if c, ok := p.Select(s, q, nil, map[string]bool{}); ok {
				p.RecordSent(q, c)
				p.RecordOutcome(q, c, selection.Completed, &selection.Load{Running: 40, Slots: 128}, 300*time.Millisecond)
			}
		}
		steady := b.spend(func() { one(s) })
		fresh := b.spend(func() { c := *s; one(&c) })
		return []float64{steady, fresh}, nil
	})
}

// idleWorkerClient answers as workers do that have nothing new to tell.
type idleWorkerClient struct {
	backend.Client
	asked chan struct{}
}

func (c *idleWorkerClient) CacheEvents(ctx context.Context, _ string, since uint64, wait time.Duration) (backend.CacheEvents, error) {
	c.asked <- struct{}{}
	return backend.CacheEvents{BootID: 1, NextSequence: since + 1}, nil
}

func (c *idleWorkerClient) CachedPrefixes(context.Context, string) (backend.CacheEvents, error) {
	return backend.CacheEvents{BootID: 1, NextSequence: 1}, nil
}

// measurePolls measures an index node's round over all workers, without the calls themselves: its bounds
// are so short that it asks all the time.
func measurePolls(b *bench) error {
	return b.vary("workers", "workers", b.sizes(89, 178, 355, 710), []kind{
		{"round-cpu", "µs", "processor time at an index node for each question to a worker, beside the call itself and the events in it"},
	}, func(n float64) ([]float64, error) {
		short := bounds()
		short.HealMs = 1200
		if b.quick {
			short.HealMs = 240
		}
		l := newProcess("core-1", short, nil)
		s := &fleet.Snapshot{Plan: (&routingconfig.Plan{Version: 1, Services: []routingconfig.Service{{Name: serviceName(0), Engine: engine()}}}).BuildIndex(), Workers: workerList(int(n), 1),
			Nodes: []*wire.Node{{Name: "catalogue/core-1", Role: "catalogue", Zone: "district-0", Addr: "127.0.0.1:1"}}}
		c := &idleWorkerClient{asked: make(chan struct{}, 1<<16)}
		if _, err := promptindex.StartSite(l, c, func() *fleet.Snapshot { return s }); err != nil {
			return nil, err
		}
		defer l.Stop(time.Second)
		take := func(k int) {
			for range k {
				<-c.asked
			}
		}
		rounds := 10
		if b.quick {
			rounds = 1
		}
		take(2 * int(n))
		at := cpu()
		take(rounds * int(n))
		return []float64{(cpu() - at) / float64(rounds) / n}, nil
	})
}

// patience is how long anything that should come soon is waited for.
const patience = time.Minute

// until waits for something that comes soon.
func until(what string, f func() bool) error {
	clk, ctx := clock.BootTime(), context.Background()
	for end := clk.Now() + patience; !f(); clock.Sleep(ctx, time.Millisecond) {
		if clk.Now() > end {
			return errs.New(errs.Internal, "%s: not within %v", what, patience)
		}
	}
	return nil
}
