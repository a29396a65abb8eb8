package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"pebbleloom/internal/clock"
	"pebbleloom/internal/control/controllers"
	"pebbleloom/internal/control/controlstate"
	"pebbleloom/internal/control/routingconfig"
	"pebbleloom/internal/control/storage"
	"pebbleloom/internal/daemon"
	"pebbleloom/internal/data/agent"
	"pebbleloom/internal/data/backend"
	"pebbleloom/internal/data/indexclient"
	"pebbleloom/internal/data/proxy"
	"pebbleloom/internal/data/selection"
	"pebbleloom/internal/errs"
	"pebbleloom/internal/fleet"
	set "pebbleloom/internal/settings"
	"pebbleloom/internal/sim/memorydisk"
	"pebbleloom/internal/sim/pipes"
	"pebbleloom/internal/wire"
)

// testSite is a platform site in one synctest bubble: four core machines with a control-state and an index
// process each, and one edge machine. Connections are pipes, disks are in memory, and testSite itself
// implements the three workers.
type testSite struct {
	t              *testing.T
	mu             sync.Mutex
	network        *pipes.Network
	disks          map[string]*memorydisk.Disk
	processes      map[string]*daemon.Process // processes by role and machine number, such as "state3"
	workerWeights  map[string]uint64          // version of the weights that each worker serves, by worker ID
	ordersRejected bool                       // whether the workers reject orders to load weights
	seed           uint64
	http           *http.Transport
}

func newTestSite(t *testing.T) *testSite {
	site := &testSite{t: t, network: pipes.NewNetwork(), disks: map[string]*memorydisk.Disk{}, processes: map[string]*daemon.Process{},
		workerWeights: map[string]uint64{"w1": 1, "w2": 1, "w3": 1}}
	site.http = &http.Transport{DialContext: site.network.Dial}
	return site
}

func ip(i int) string { return fmt.Sprintf("10.0.0.%d", i) }

// operatorAt returns the operator address of a core machine.
func operatorAt(i int) string { return ip(i) + ":7362" }

func (site *testSite) newProcess(role string, i, offset int) *daemon.Process {
	site.seed++
	seed := site.seed
	at := fmt.Sprint(ip(i), ":", 7360+offset)
	siteSettings := &set.Site{FirstStart: true, ToleratedFailures: 1, IP: ip(i), AckTimeoutMs: 4000, GraceMs: 8000, HeartbeatMs: 300, LeaseMs: 3000,
		WorkerListRate: 47, MemoryLimitMB: 284, PortRange: [2]int{7360, 7375}, EnforceRevocation: true}
	settings := set.Process{Name: fmt.Sprint("m", i), Zone: fmt.Sprint("d", i), Listen: at, Data: "x", Bounds: set.DefaultBounds(),
		Seeds: []string{ip(1) + ":7360", ip(2) + ":7360", ip(3) + ":7360"}, Options: []string{"log=off"}, Site: siteSettings}
	environment := daemon.Environment{Clock: clock.Synctest(), WallClock: time.Now, Seed: func() uint64 { seed += 7919; return seed * 0x9e3779b97f4a7c15 },
		Disk: func(string) storage.Disk {
			if site.disks[at] == nil {
				site.disks[at] = &memorydisk.Disk{}
			}
			return site.disks[at]
		},
		Listen: site.network.Listen,
		Dial:   site.network.Dial, Journal: func(string) (io.Writer, error) { return io.Discard, nil }}
	process := daemon.NewIn(environment, role, settings)
	site.processes[fmt.Sprint(role, i)] = process
	return process
}

func (site *testSite) requireNoError(err error) {
	site.t.Helper()
	if err != nil {
		site.t.Fatal(err)
	}
}

func (site *testSite) startStateProcess(i int) {
	l := site.newProcess("state", i, set.PortState)
	l.Settings.Site.ControlPlaneListen, l.Settings.Operator = ip(i)+":8683", operatorAt(i)
	site.requireNoError(controlstate.StartGroup(l, testCodec{}, func(*controlstate.Node) http.Handler { return http.NotFoundHandler() }))
}

func (site *testSite) startIndexProcess(i int) {
	site.requireNoError(controllers.StartProcess(site.newProcess("index", i, set.PortIndex), testCodec{}, site))
}

func (site *testSite) startEdgeProcess(i int) {
	l := site.newProcess("edge", i, set.PortState)
	l.Settings.Public, l.Settings.Site.ReadinessListen = ip(i)+":8689", ip(i)+":8687"
	a, err := agent.Start(l, testCodec{}, "runner")
	site.requireNoError(err)
	mux := http.NewServeMux()
	mux.Handle(wire.MembershipPathPrefix, a.Handler())
	site.requireNoError(l.Serve(l.Settings.Listen, mux))
	s := indexclient.New(l, func() []*wire.Node { return a.Snapshot().Nodes })
	site.requireNoError(proxy.Start(l, proxy.Config{Headers: proxy.Headers{ID: "Go-Id"}, ReadyPath: "/ready", Snapshot: a.Snapshot, Selector: selection.New(l, s)}))
}

func (site *testSite) stop(name string) {
	site.processes[name].Stop(time.Second)
	delete(site.processes, name)
}

func (site *testSite) stopAll() {
	site.http.CloseIdleConnections()
	var all sync.WaitGroup
	for _, l := range site.processes {
		all.Go(func() { l.Stop(time.Second) })
	}
	all.Wait()
}

// runOn runs a command at the operator address of a core machine, with in as its standard input.
func (site *testSite) runOn(i int, in, args string) (code int, out, stderr string) {
	return site.runOnAddr(operatorAt(i), in, args)
}

func (site *testSite) runOnAddr(node, in, args string) (code int, out, stderr string) {
	var o, b bytes.Buffer
	code = Run(append([]string{"--node", node}, strings.Fields(args)...), strings.NewReader(in), &o, &b, site.http)
	return code, o.String(), b.String()
}

func (site *testSite) waitUntil(what string, within time.Duration, condition func() bool) {
	site.t.Helper()
	for from := time.Now(); !condition(); clock.Sleep(context.Background(), 100*time.Millisecond) {
		if time.Since(from) > within {
			_, out, stderr := site.runOn(1, "", "status")
			site.t.Fatalf("timed out after %v waiting for: %s; the status is now:\n%s%s", within, what, out, stderr)
		}
	}
}

// scrape reads /metrics at an address and returns the names of the metrics and the number of series.
func (site *testSite) scrape(addr string) (names map[string]bool, series int) {
	r, err := (&http.Client{Transport: site.http}).Get("http://" + addr + "/metrics")
	site.requireNoError(err)
	defer r.Body.Close()
	b, err := io.ReadAll(r.Body)
	site.requireNoError(err)
	names = map[string]bool{}
	for s := range strings.Lines(string(b)) {
		if strings.HasPrefix(s, "pebbleloom_") {
			n, _, _ := strings.Cut(strings.ReplaceAll(s, "{", " "), " ")
			names[n] = true
			series++
		}
	}
	return names, series
}

// The methods of testSite from here on implement backend.Client, through which processes reach the workers.

func (site *testSite) ListWorkers(context.Context, string) (l []fleet.Worker, next string, err error) {
	site.mu.Lock()
	defer site.mu.Unlock()
	for i := 1; i <= len(site.workerWeights); i++ {
		id := fmt.Sprint("w", i)
		l = append(l, fleet.Worker{ID: id, Service: "reading", Addr: "10.9.0." + fmt.Sprint(i) + ":1", Zone: "d1", Slots: 8, Draining: i == 3,
			Weights: map[string]uint64{"daka": site.workerWeights[id]}})
	}
	return l, "", nil
}

func workerID(addr string) string {
	return "w" + strings.TrimSuffix(strings.TrimPrefix(addr, "10.9.0."), ":1")
}

func (site *testSite) Report(_ context.Context, addr string) (backend.Report, error) {
	site.mu.Lock()
	defer site.mu.Unlock()
	return backend.Report{Weights: map[string]uint64{"daka": site.workerWeights[workerID(addr)]}}, nil
}

func (site *testSite) Order(_ context.Context, addr string, o backend.Order) (backend.Outcome, error) {
	site.mu.Lock()
	defer site.mu.Unlock()
	if site.ordersRejected {
		return backend.OutcomeRejected, nil
	}
	site.workerWeights[workerID(addr)] = o.Version
	return backend.OutcomeStarted, nil
}

// CacheEvents reports that every worker caches prompt part p1 for the weights that it serves, and no later
// changes.
func (site *testSite) CacheEvents(ctx context.Context, addr string, since uint64, wait time.Duration) (backend.CacheEvents, error) {
	if since == 0 {
		return site.CachedPrefixes(ctx, addr)
	}
	clock.Sleep(ctx, wait)
	return backend.CacheEvents{BootID: 1, NextSequence: since}, ctx.Err()
}

func (site *testSite) CachedPrefixes(_ context.Context, addr string) (backend.CacheEvents, error) {
	site.mu.Lock()
	defer site.mu.Unlock()
	salt := selection.CacheSalt("daka", site.workerWeights[workerID(addr)], "")
	return backend.CacheEvents{BootID: 1, NextSequence: 1, Changes: []backend.CacheChange{{Salt: salt, Part: "p1", Model: "daka", Tokens: 320}}}, nil
}

// testCodec decodes routing plans of the form {"version": 7, "routes": [{"name": "a", "to": "reading"}]}.
type testCodec struct{}

type testPlan struct {
	Version uint64           `json:"version"`
	Routes  []map[string]any `json:"routes,omitempty"`
}

func (testCodec) Read(b []byte) (*routingconfig.Plan, error) {
	v := testPlan{}
	err := json.Unmarshal(b, &v)
	x := &routingconfig.Plan{Version: v.Version, Tenants: []routingconfig.Tenant{{Name: "t", Priority: -1}, {Name: "walled", Priority: -1, Isolated: true}}, Services: []routingconfig.Service{{Name: "reading", MaxConns: 100,
		Engine: &routingconfig.Engine{Slots: 8, CapacityTokens: 10000, TokenBytes: 18432, LinkMbps: 370000, MaxPolls: 4, Models: []string{"daka"}}}}}
	return x.BuildIndex(), err
}

func (c testCodec) Tenants(body []byte) ([]routingconfig.Tenant, error) {
	plan, err := c.Read(body)
	return plan.Tenants, err
}

func (testCodec) Merge(old, sent []byte, isPatch bool) ([]byte, uint64, error) {
	var inForce, plan testPlan
	if err := json.Unmarshal(sent, &plan); err != nil {
		return nil, 0, err
	}
	if plan.Version == 0 {
		return nil, 0, errs.New(errs.BadInput, "version: missing: give a version above that in force")
	}
	if !isPatch {
		return sent, plan.Version, nil
	}
	if len(old) > 0 {
		if err := json.Unmarshal(old, &inForce); err != nil {
			return nil, 0, err
		}
	}
	plan.Routes = append(inForce.Routes, plan.Routes...)
	b, err := json.Marshal(plan)
	return b, plan.Version, err
}
