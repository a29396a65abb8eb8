package callerproxy

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"pebbleloom/api/caller"
	"pebbleloom/internal/clock"
	"pebbleloom/internal/contract"
	"pebbleloom/internal/control/serviceconfig"
	"pebbleloom/internal/daemon"
	"pebbleloom/internal/data/placement"
	"pebbleloom/internal/data/updatestream"
	"pebbleloom/internal/queue"
	"pebbleloom/internal/settings"
	"pebbleloom/internal/sim/loadgen"
	"pebbleloom/internal/wire"
)

// testProxy is a proxy with its real HTTP server, and workers that fail at a chosen step. Nothing sleeps: the
// workers act on the requests that they get.
type testProxy struct {
	proxy    *Proxy
	edge     *httptest.Server
	mu       sync.Mutex
	starts   map[string]int // attempts that a worker has started, by request
	granted  map[string]bool
	snapshot *updatestream.Snapshot
	clock    *clock.Manual
	started  func() // called when a worker has started an attempt; mu is held
}

type fakeClaims struct{ testProxy *testProxy }

func (f fakeClaims) acquire(_ context.Context, id []byte) (uint64, bool, error) {
	f.testProxy.mu.Lock()
	defer f.testProxy.mu.Unlock()
	if f.testProxy.granted[string(id)] {
		return 1, false, nil
	}
	f.testProxy.granted[string(id)] = true
	return 1, true, nil
}

func (f fakeClaims) release(id []byte, _ uint64) {
	f.testProxy.mu.Lock()
	defer f.testProxy.mu.Unlock()
	delete(f.testProxy.granted, string(id))
}

func newTestProxy(t *testing.T, modes ...string) *testProxy {
	t.Helper()
	processSettings := settings.Process{Name: "edge-1", Zone: "d", Listen: "127.0.0.1:1", Bounds: settings.DefaultBounds(), Options: []string{"log=off"}}
	process := daemon.New("dispatcher", processSettings)
	test := &testProxy{starts: map[string]int{}, granted: map[string]bool{}, clock: &clock.Manual{Time: time.Hour}}
	test.snapshot = &updatestream.Snapshot{ConfigVersion: 1, ProofAt: time.Hour, Placements: map[string]*placement.Placement{}, Weights: map[string]updatestream.WeightsHistory{"m": {Version: 1}},
		Config: (&serviceconfig.Config{Tenants: map[string]serviceconfig.Tenant{"t": {Keys: []string{"key-of-t"}}}, Models: map[string]serviceconfig.Model{"m": {Weights: 1}},
			Services: map[string]serviceconfig.Service{"s": {Model: "m"}}, Routes: map[string]serviceconfig.Route{"m": {Service: "s"}}}).BuildIndex()}
	for i, mode := range modes {
		name := fmt.Sprintf("w%d", i)
		addr := ""
		if mode == "gone" {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			addr = listener.Addr().String()
			listener.Close()
		} else {
			worker := httptest.NewServer(test.worker(name, mode))
			t.Cleanup(worker.Close)
			addr = worker.Listener.Addr().String()
		}
		test.snapshot.Workers = append(test.snapshot.Workers, &wire.Worker{Name: name, Addr: addr, Service: "s", Kind: "lm", Weights: 1, Slots: 4, Model: "m"})
	}
	proxy := &Proxy{process: process, bounds: processSettings.Bounds, clock: test.clock, backends: contract.NewBackends((&net.Dialer{}).DialContext), prefillCurve: placement.Default(), decisions: queue.NewRing[*wire.Decision](8), claims: fakeClaims{test}}
	proxy.traffic = queue.NewActor(newTrafficTable(processSettings.Bounds), 64)
	proxy.traffic.Ask(func(table *trafficTable) {
		for range 100 / proxy.bounds.RetryPercent { // as after a few requests
			table.retryBudgets.Deposit("s", 1)
		}
	})
	proxy.index = newPromptIndex(process, test.clock)
	proxy.follower = updatestream.NewFixedFollower(func() *updatestream.Snapshot { test.mu.Lock(); defer test.mu.Unlock(); return test.snapshot })
	apiServer, err := caller.NewServer(proxy, caller.WithErrorHandler(handleRequestError))
	if err != nil {
		t.Fatal(err)
	}
	test.proxy, test.edge = proxy, httptest.NewServer(http.MaxBytesHandler(flushEveryWrite(apiServer), 1<<20))
	t.Cleanup(func() { test.edge.Close(); process.Stop(time.Second); proxy.traffic.Stop() })
	return test
}

func (test *testProxy) attemptsStarted(id string) int {
	test.mu.Lock()
	defer test.mu.Unlock()
	return test.starts[id]
}

func (test *testProxy) ask(id string, once bool) loadgen.Outcome {
	request := loadgen.Request{ID: id, Tenant: "t", Key: "key-of-t", Domain: "shared", Model: "m", Parts: []string{"opening", "question"}, Chunks: 5, WaitMs: 5000, Once: once}
	return loadgen.NewClient([]string{test.edge.Listener.Addr().String()}).Send(context.Background(), 0, request)
}

// Both workers crash, reject or misbehave at a step of an attempt: what the caller learns, and how often the
// request was started.
func TestEveryStepOfAnAttempt(t *testing.T) {
	for _, attempt := range []struct {
		mode                         string
		once                         string // a once-only request: sealed, broken, or the rejection's kind
		idempotent                   string
		onceStarts, idempotentStarts int // attempts that were started
	}{
		{"well", "sealed", "sealed", 1, 1},
		{"gone", "not-run", "not-run", 0, 0},
		{"refuse", "not-run", "not-run", 0, 0},
		{"odd", "may-have-run", "may-have-run", 0, 0},
		{"dies-before", "may-have-run", "may-have-run", 1, 2},
		{"dies-within", "broken", "broken", 1, 1},
		{"loses", "broken", "broken", 1, 1},
		{"doubles", "broken", "broken", 1, 1},
		{"mixes", "broken", "broken", 1, 1},
		{"long", "broken", "broken", 1, 1},
		{"unsealed", "broken", "broken", 1, 1},
		{"forges", "broken", "broken", 1, 1},
	} {
		t.Run(attempt.mode+"/once", func(t *testing.T) { checkOutcome(t, attempt.mode, true, attempt.once, attempt.onceStarts) })
		t.Run(attempt.mode+"/idempotent", func(t *testing.T) { checkOutcome(t, attempt.mode, false, attempt.idempotent, attempt.idempotentStarts) })
	}
}

// checkOutcome sends a request to two workers that fail in the same way.
func checkOutcome(t *testing.T, mode string, once bool, want string, wantStarts int) {
	t.Helper()
	test := newTestProxy(t, mode, mode)
	outcome := test.ask("r", once)
	got := outcome.Rejected
	if outcome.Sealed {
		got = "sealed"
	} else if outcome.Interrupted != "" {
		got = "broken"
	}
	if starts := test.attemptsStarted("r"); got != want || starts != wantStarts || len(outcome.Faults) > 0 {
		t.Errorf("%s after %d starts, want %s after %d; faults %v, %s", got, starts, want, wantStarts, outcome.Faults, outcome.Message)
	}
	if strings.HasPrefix(got, "not") && outcome.RetryAfterMs <= 0 {
		t.Error("no Retry-After")
	}
}

// A once-only request is retried only with proof that the first attempt wasn't started, and runs once.
func TestProofAllowsARetryOfAOnceOnlyRequest(t *testing.T) {
	for _, mode := range []string{"gone", "refuse"} {
		for i := range 6 { // whichever of the two is selected first
			test := newTestProxy(t, mode, "well")
			id := fmt.Sprint("r", i)
			if outcome := test.ask(id, true); !outcome.Sealed || test.attemptsStarted(id) != 1 {
				t.Errorf("%s: %+v after %d starts", mode, outcome, test.attemptsStarted(id))
			}
		}
	}
}

// A once-only ID that comes again is rejected if the first request may have been executed, and accepted if it
// is proven that it wasn't.
func TestOnceOnlyIdsAgain(t *testing.T) {
	test := newTestProxy(t, "well")
	if outcome := test.ask("r", true); !outcome.Sealed {
		t.Fatalf("%+v", outcome)
	}
	if outcome := test.ask("r", true); outcome.Rejected != "may-have-run" || test.attemptsStarted("r") != 1 {
		t.Errorf("%+v after %d starts", outcome, test.attemptsStarted("r"))
	}
	test = newTestProxy(t, "refuse")
	for range 2 {
		if outcome := test.ask("r", true); outcome.Rejected != "not-run" {
			t.Errorf("%+v", outcome)
		}
	}
}

// Without proof that the configuration is the newest nothing starts, nor with a key or a route that was
// removed. The rejection doesn't wait.
func TestWhatIsRejectedBeforeAnAttempt(t *testing.T) {
	for name, rejected := range map[string]struct {
		do   func(*testProxy)
		kind string
	}{
		"the proof is too old":      {func(test *testProxy) { test.clock.Time += settings.DefaultBounds().Config(0.81) }, "not-run"},
		"there is no configuration": {func(test *testProxy) { test.snapshot = &updatestream.Snapshot{} }, "not-run"},
		"the key is unknown":        {func(test *testProxy) { test.snapshot.Config.Tenants = nil; test.snapshot.Config.BuildIndex() }, "bad-key"},
		"no way leads there":        {func(test *testProxy) { test.snapshot.Config.Routes = nil }, "no-such-model"},
		"all workers are leaving":   {func(test *testProxy) { test.snapshot.Workers[0].State = updatestream.WorkerDraining }, "not-run"},
		"older weights alone": {func(test *testProxy) {
			test.snapshot.Weights = map[string]updatestream.WeightsHistory{"m": {Version: 2}}
		}, "not-run"},
	} {
		test := newTestProxy(t, "well")
		rejected.do(test)
		if outcome := test.ask("r", true); outcome.Rejected != rejected.kind || test.attemptsStarted("r") > 0 {
			t.Errorf("%s: %+v after %d starts", name, outcome, test.attemptsStarted("r"))
		}
	}
	test := newTestProxy(t, "well")
	test.snapshot.Weights = map[string]updatestream.WeightsHistory{"m": {Version: 2, Past: []updatestream.WeightsHistory{{Version: 1, ProvenNewestUntil: time.Hour - time.Second}}}}
	if outcome := test.ask("r", true); !outcome.Sealed {
		t.Errorf("older weights within their bound: %+v", outcome)
	}
}

// After an attempt that may have been executed, a rejection for another reason still says that the request may
// have been executed.
func TestWhatMayHaveRunIsNeverRejectedAsNotRun(t *testing.T) {
	for name, change := range map[string]func(*updatestream.Snapshot){
		"the key is taken out of force": func(s *updatestream.Snapshot) { s.Config = (&serviceconfig.Config{}).BuildIndex() },
		"the way is taken away": func(s *updatestream.Snapshot) {
			c := *s.Config
			c.Routes = nil
			s.Config = c.BuildIndex()
		},
		"the proof gets too old": func(s *updatestream.Snapshot) { s.ProofAt = time.Minute },
		"the workers leave":      func(s *updatestream.Snapshot) { s.Workers = nil },
	} {
		test := newTestProxy(t, "dies-before", "dies-before")
		test.started = func() {
			s := *test.snapshot
			s.ConfigVersion++
			change(&s)
			test.snapshot = &s
		}
		if outcome := test.ask("r", false); outcome.Rejected != "may-have-run" || test.attemptsStarted("r") != 1 {
			t.Errorf("%s: %s (%s) after %d starts", name, outcome.Rejected, outcome.Message, test.attemptsStarted("r"))
		}
	}
}

// When the caller disconnects, the worker's side is canceled, and the request is no longer in flight.
func TestCallerDisconnectReachesTheWorker(t *testing.T) {
	test := newTestProxy(t, "hangs")
	ctx, hangUp := context.WithCancel(context.Background())
	raw := `{"request_id":"r","model":"m","parts":["x"],"wait_ms":60000}`
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, test.edge.URL+"/v1/answers", strings.NewReader(raw))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("X-Tenant-Key", "key-of-t")
	request.Header.Set("Content-Type", "application/json")
	done := make(chan error, 1)
	go func() { _, err := http.DefaultClient.Do(request); done <- err }()
	for test.attemptsStarted("r") == 0 {
		runtime.Gosched()
	}
	hangUp()
	if err := <-done; err == nil {
		t.Fatal("the call went on")
	}
	// The worker's handler waits until its request is canceled; closing the edge server waits for it.
	test.edge.Close()
	left := -1
	test.proxy.traffic.Ask(func(table *trafficTable) { left = table.inFlight })
	if left != 0 {
		t.Errorf("%d requests are still in flight", left)
	}
}

// A caller that reads nothing neither delays others nor takes memory: its stream waits in the connection, line
// by line.
func TestSlowCallerDelaysNobody(t *testing.T) {
	test := newTestProxy(t, "well")
	test.snapshot.Workers[0].Slots = 64
	conn, err := net.Dial("tcp", test.edge.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	body := `{"request_id":"slow","model":"m","parts":["x"],"wait_ms":60000,"pieces":512}`
	fmt.Fprintf(conn, "POST /v1/answers HTTP/1.1\r\nHost: x\r\nX-Tenant-Key: key-of-t\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	for test.attemptsStarted("slow") == 0 {
		runtime.Gosched()
	}
	for i := range 20 {
		if outcome := test.ask(fmt.Sprint("r", i), true); !outcome.Sealed {
			t.Fatalf("beside a slow caller: %+v", outcome)
		}
	}
}

func TestBadRequestsAreTyped(t *testing.T) {
	test := newTestProxy(t, "well")
	for body, kind := range map[string]string{
		`{`: "bad-input", `{}`: "bad-input", `{"request_id":"r","model":"m","parts":[],"wait_ms":1}`: "bad-input",
		`{"request_id":"r r","model":"m","parts":["x"],"wait_ms":1}`: "bad-input", `{"request_id":"r","model":"m","parts":["x"],"wait_ms":1,"odd":1}`: "bad-input",
		`{"request_id":"r","model":"m","wait_ms":1,"parts":["` + strings.Repeat("x", 2<<20) + `"]}`: "too-big",
	} {
		request, err := http.NewRequest(http.MethodPost, test.edge.URL+"/v1/answers", bytes.NewReader([]byte(body)))
		if err != nil {
			t.Fatal(err)
		}
		request.Header.Set("X-Tenant-Key", "key-of-t")
		request.Header.Set("Content-Type", "application/json")
		r, err := http.DefaultClient.Do(request)
		if err != nil {
			t.Fatal(err)
		}
		raw, _ := io.ReadAll(r.Body)
		r.Body.Close()
		if !strings.Contains(string(raw), `"kind":"`+kind+`"`) || !strings.Contains(string(raw), `"remedy"`) {
			t.Errorf("%.60s: %d %s", body, r.StatusCode, raw)
		}
	}
}
