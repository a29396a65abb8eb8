package proxy

import (
	"fmt"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"pebbleloom/internal/clock"
	"pebbleloom/internal/control/routingconfig"
	"pebbleloom/internal/daemon"
	"pebbleloom/internal/data/retrybudget"
	"pebbleloom/internal/data/selection"
	"pebbleloom/internal/fleet"
	"pebbleloom/internal/settings"
)

// testHeaders uses header field names that no platform uses, because the proxy must not depend on the names.
func testHeaders() Headers {
	return Headers{ID: "Go-Id", TimeRemaining: "Go-Left", Tenant: "Go-Tenant", ExpectedInstance: "Go-Instance", ExpectedVersion: "Go-Version",
		Priority: "Go-Urgency", CacheSalt: "Go-Salt", FetchFrom: "Go-Fetch", SaveTo: "Go-Save", Model: "Go-Model", TokenUsage: "Go-Usage",
		PromptParts: "Go-Parts", LastEventID: "Last-Event-Id", NotExecuted: "Go-Not-Run", Seal: "Go-Seal", Load: "Go-Load",
		WeightVersions: "Go-Weights", AuthScheme: "Bearer",
		ParseTimeRemaining: func(v string) (time.Duration, bool) {
			n, err := strconv.Atoi(v)
			return time.Duration(n) * time.Millisecond, err == nil
		},
		FormatTimeRemaining: func(d time.Duration) string { return strconv.FormatInt(d.Milliseconds(), 10) },
		ParseTokenUsage:     func(v string) (in, out int) { _, _ = fmt.Sscanf(v, "%d/%d", &in, &out); return },
		ParsePromptParts: func(v string) (l []selection.PromptPart) {
			for _, s := range strings.Fields(v) {
				l = append(l, selection.PromptPart{ID: s, Tokens: len(s)})
			}
			return l
		},
		ParseLoad: func(v string) (l selection.Load, ok bool) {
			n, _ := fmt.Sscanf(v, "%d/%d/%d", &l.Running, &l.Waiting, &l.Slots)
			return l, n == 3
		}}
}

// testSite is an edge node with its workers and clients inside a synctest bubble.
type testSite struct {
	t        *testing.T
	network  *pipeNetwork
	process  *daemon.Process
	server   *server
	selector *fakeSelector
	once     sync.Once
	snapshot atomic.Pointer[fleet.Snapshot]
	workers  []*testWorker
}

const clientAddr, readinessAddr, testHost = "10.0.0.1:80", "10.0.0.1:81", "any.example"

func testPlan() *routingconfig.Plan {
	newRoute := func(name string, kind routingconfig.Kind, resumable bool) routingconfig.Route {
		return routingconfig.Route{Name: name, Host: testHost, Prefix: "/" + name + "/", Kind: kind, Resumable: resumable, MaxAttempts: 3, Public: true,
			Timeout: 8 * time.Second, LatencyTarget: 400 * time.Millisecond, Split: []routingconfig.WeightedService{{Service: "s", Weight: 1}}}
	}
	private := newRoute("private", routingconfig.AtMostOnce, false)
	private.Public = false
	return (&routingconfig.Plan{Version: 1, Services: []routingconfig.Service{{Name: "s", MaxConns: 100}},
		Routes:  []routingconfig.Route{newRoute("repeat", routingconfig.Idempotent, false), newRoute("once", routingconfig.AtMostOnce, false), newRoute("stream", routingconfig.EventStream, false), newRoute("resume", routingconfig.EventStream, true), private},
		Tenants: []routingconfig.Tenant{{Name: "ten", Keys: []string{"good"}, Priority: -1}},
		Limits:  routingconfig.Limits{HeaderBytes: 16 << 10, BodyBytes: 100 << 10, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}}).BuildIndex()
}

// withSite starts an edge node that enforces key revocation and one worker per script, and calls run in the same
// synctest bubble.
func withSite(t *testing.T, scripts []workerScript, run func(s *testSite)) {
	t.Helper()
	withRevocation(t, true, scripts, run)
}

// withRevocation is like withSite, but enforced selects whether the edge node enforces key revocation.
func withRevocation(t *testing.T, enforced bool, scripts []workerScript, run func(s *testSite)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		site := &testSite{t: t, network: newPipeNetwork(), selector: &fakeSelector{}}
		bounds := settings.DefaultBounds()
		bounds.RetryPercent, bounds.RetryAllowance = 100, 100
		processSettings := settings.Process{Name: "e1", Zone: "d", Listen: "10.0.0.1:7000", Public: clientAddr, Bounds: bounds, Options: []string{"log=off"},
			Site: &settings.Site{ReadinessListen: readinessAddr, MemoryLimitMB: 256, GraceMs: 8000, TransitMs: 120, EnforceRevocation: enforced}}
		clk := clock.Synctest()
		site.process = daemon.NewIn(daemon.Environment{Clock: clk, Listen: site.network.Listen, Dial: site.network.Dial}, "edge", processSettings)
		snap := &fleet.Snapshot{Plan: testPlan(), ProofAt: clk.Now(), EdgeCount: 1}
		for i, script := range scripts {
			worker := &testWorker{script: script}
			worker.Worker = fleet.Worker{ID: "w" + strconv.Itoa(i), Service: "s", Addr: "10.0.1." + strconv.Itoa(i) + ":8080", Slots: 8}
			snap.Workers = append(snap.Workers, worker.Worker)
			site.workers = append(site.workers, worker)
			if script != nil { // a worker without a script doesn't listen on its address
				listener, _ := site.network.Listen(worker.Addr)
				go worker.serve(listener)
				defer listener.Close()
			}
		}
		site.snapshot.Store(snap)
		site.server = newServer(site.process, Config{Headers: testHeaders(), ReadyPath: "/up", Snapshot: site.snapshot.Load, Selector: site.selector})
		if err := site.server.start(); err != nil {
			t.Fatalf("start the proxy on in-memory connections: %v", err)
		}
		defer func() {
			site.stop()
			synctest.Wait()
			site.selector.mu.Lock()
			defer site.selector.mu.Unlock()
			if site.selector.openAttempts != 0 {
				t.Errorf("attempts that were reported to the selector as sent, but without an outcome: got %d, want 0", site.selector.openAttempts)
			}
		}()
		site.server.misdirectedBudget = retrybudget.New(1, 100) // large enough to permit every retry after a 421, unless a test replaces this budget
		run(site)
	})
}

// set replaces the current snapshot by a copy that f has modified.
func (s *testSite) set(f func(*fleet.Snapshot)) {
	n := *s.snapshot.Load()
	f(&n)
	s.snapshot.Store(&n)
}

// stop shuts the edge node down gracefully. Later calls do nothing.
func (s *testSite) stop() { s.once.Do(func() { s.process.Stop(7200 * time.Millisecond) }) }
