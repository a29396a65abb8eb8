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
type proxyFixture struct {
	proxy            *Proxy
	server           *httptest.Server
	mu               sync.Mutex
	startedAttempts  map[string]int // attempts that a worker has started, by request
	claimedKeys      map[string]bool
	snapshot         *updatestream.Snapshot
	clock            *clock.Manual
	onAttemptStarted func() // called when a worker has started an attempt; mu is held
}

type fakeClaims struct{ proxyFixture *proxyFixture }

func (f fakeClaims) acquire(_ context.Context, key []byte) (uint64, bool, error) {
	f.proxyFixture.mu.Lock()
	defer f.proxyFixture.mu.Unlock()
	if f.proxyFixture.claimedKeys[string(key)] {
		return 1, false, nil
	}
	f.proxyFixture.claimedKeys[string(key)] = true
	return 1, true, nil
}

func (f fakeClaims) release(key []byte, _ uint64) {
	f.proxyFixture.mu.Lock()
	defer f.proxyFixture.mu.Unlock()
	delete(f.proxyFixture.claimedKeys, string(key))
}

func newProxyFixture(t *testing.T, failureModes ...string) *proxyFixture {
	t.Helper()
	processSettings := settings.Process{Name: "edge-1", Zone: "d", Listen: "127.0.0.1:1", Bounds: settings.DefaultBounds(), Options: []string{"log=off"}}
	process := daemon.New("dispatcher", processSettings)
	fixture := &proxyFixture{startedAttempts: map[string]int{}, claimedKeys: map[string]bool{}, clock: &clock.Manual{Time: time.Hour}}
	fixture.snapshot = &updatestream.Snapshot{ConfigVersion: 1, ProofAt: time.Hour, Placements: map[string]*placement.Placement{}, Weights: map[string]updatestream.WeightsHistory{"m": {Version: 1}},
		Config: (&serviceconfig.Config{Tenants: map[string]serviceconfig.Tenant{"t": {Keys: []string{"key-of-t"}}}, Models: map[string]serviceconfig.Model{"m": {Weights: 1}},
			Services: map[string]serviceconfig.Service{"s": {Model: "m"}}, Routes: map[string]serviceconfig.Route{"m": {Service: "s"}}}).BuildIndex()}
	for i, failureMode := range failureModes {
		name := fmt.Sprintf("w%d", i)
		addr := ""
		if failureMode == "gone" {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			addr = listener.Addr().String()
			listener.Close()
		} else {
			worker := httptest.NewServer(fixture.worker(name, failureMode))
			t.Cleanup(worker.Close)
			addr = worker.Listener.Addr().String()
		}
		fixture.snapshot.Workers = append(fixture.snapshot.Workers, &wire.Worker{Name: name, Addr: addr, Service: "s", Kind: "lm", Weights: 1, Slots: 4, Model: "m"})
	}
	proxy := &Proxy{process: process, bounds: processSettings.Bounds, clock: fixture.clock, backends: contract.NewBackends((&net.Dialer{}).DialContext), prefillCurve: placement.Default(), decisions: queue.NewRing[*wire.Decision](8), claims: fakeClaims{fixture}}
	proxy.traffic = queue.NewActor(newTrafficTable(processSettings.Bounds), 64)
	proxy.traffic.Ask(func(table *trafficTable) {
		for range 100 / proxy.bounds.RetryPercent { // as after a few requests
			table.retryBudgets.Deposit("s", 1)
		}
	})
	proxy.index = newPromptIndex(process, fixture.clock)
	proxy.follower = updatestream.NewFixedFollower(func() *updatestream.Snapshot { fixture.mu.Lock(); defer fixture.mu.Unlock(); return fixture.snapshot })
	apiServer, err := caller.NewServer(proxy, caller.WithErrorHandler(handleRequestError))
	if err != nil {
		t.Fatal(err)
	}
	fixture.proxy, fixture.server = proxy, httptest.NewServer(http.MaxBytesHandler(flushEveryWrite(apiServer), 1<<20))
	t.Cleanup(func() { fixture.server.Close(); process.Stop(time.Second); proxy.traffic.Stop() })
	return fixture
}

func (fixture *proxyFixture) attemptsStarted(id string) int {
	fixture.mu.Lock()
	defer fixture.mu.Unlock()
	return fixture.startedAttempts[id]
}

func (fixture *proxyFixture) send(id string, atMostOnce bool) loadgen.Outcome {
	request := loadgen.Request{ID: id, Tenant: "t", Key: "key-of-t", Domain: "shared", Model: "m", Parts: []string{"opening", "question"}, Chunks: 5, WaitMs: 5000, Once: atMostOnce}
	return loadgen.NewClient([]string{fixture.server.Listener.Addr().String()}).Send(context.Background(), 0, request)
}

// Both workers crash, reject or misbehave at a step of an attempt: what the caller learns, and how often the
// request was started.
func TestEveryStepOfAnAttempt(t *testing.T) {
	for _, test := range []struct {
		failureMode                          string
		wantOnce                             string // a once-only request: sealed, broken, or the rejection's kind
		wantIdempotent                       string
		wantOnceStarts, wantIdempotentStarts int // attempts that were started
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
		t.Run(test.failureMode+"/once", func(t *testing.T) { checkOutcome(t, test.failureMode, true, test.wantOnce, test.wantOnceStarts) })
		t.Run(test.failureMode+"/idempotent", func(t *testing.T) {
			checkOutcome(t, test.failureMode, false, test.wantIdempotent, test.wantIdempotentStarts)
		})
	}
}

// checkOutcome sends a request to two workers that fail in the same way.
func checkOutcome(t *testing.T, failureMode string, atMostOnce bool, want string, wantStarts int) {
	t.Helper()
	fixture := newProxyFixture(t, failureMode, failureMode)
	outcome := fixture.send("r", atMostOnce)
	got := outcome.Rejected
	if outcome.Sealed {
		got = "sealed"
	} else if outcome.Interrupted != "" {
		got = "broken"
	}
	if starts := fixture.attemptsStarted("r"); got != want || starts != wantStarts || len(outcome.Faults) > 0 {
		t.Errorf("%s after %d starts, want %s after %d; faults %v, %s", got, starts, want, wantStarts, outcome.Faults, outcome.Message)
	}
	if strings.HasPrefix(got, "not") && outcome.RetryAfterMs <= 0 {
		t.Error("no Retry-After")
	}
}

// A once-only request is retried only with proof that the first attempt wasn't started, and runs once.
func TestProofAllowsARetryOfAOnceOnlyRequest(t *testing.T) {
	for _, failureMode := range []string{"gone", "refuse"} {
		for i := range 6 { // whichever of the two is selected first
			fixture := newProxyFixture(t, failureMode, "well")
			id := fmt.Sprint("r", i)
			if outcome := fixture.send(id, true); !outcome.Sealed || fixture.attemptsStarted(id) != 1 {
				t.Errorf("%s: %+v after %d starts", failureMode, outcome, fixture.attemptsStarted(id))
			}
		}
	}
}

// A once-only ID that comes again is rejected if the first request may have been executed, and accepted if it
// is proven that it wasn't.
func TestOnceOnlyIdsAgain(t *testing.T) {
	fixture := newProxyFixture(t, "well")
	if outcome := fixture.send("r", true); !outcome.Sealed {
		t.Fatalf("%+v", outcome)
	}
	if outcome := fixture.send("r", true); outcome.Rejected != "may-have-run" || fixture.attemptsStarted("r") != 1 {
		t.Errorf("%+v after %d starts", outcome, fixture.attemptsStarted("r"))
	}
	fixture = newProxyFixture(t, "refuse")
	for range 2 {
		if outcome := fixture.send("r", true); outcome.Rejected != "not-run" {
			t.Errorf("%+v", outcome)
		}
	}
}

// Without proof that the configuration is the newest nothing starts, nor with a key or a route that was
// removed. The rejection doesn't wait.
func TestWhatIsRejectedBeforeAnAttempt(t *testing.T) {
	for name, test := range map[string]struct {
		prepare func(*proxyFixture)
		kind    string
	}{
		"the proof is too old":      {func(fixture *proxyFixture) { fixture.clock.Time += settings.DefaultBounds().Config(0.81) }, "not-run"},
		"there is no configuration": {func(fixture *proxyFixture) { fixture.snapshot = &updatestream.Snapshot{} }, "not-run"},
		"the key is unknown": {func(fixture *proxyFixture) {
			fixture.snapshot.Config.Tenants = nil
			fixture.snapshot.Config.BuildIndex()
		}, "bad-key"},
		"no way leads there":      {func(fixture *proxyFixture) { fixture.snapshot.Config.Routes = nil }, "no-such-model"},
		"all workers are leaving": {func(fixture *proxyFixture) { fixture.snapshot.Workers[0].State = updatestream.WorkerDraining }, "not-run"},
		"older weights alone": {func(fixture *proxyFixture) {
			fixture.snapshot.Weights = map[string]updatestream.WeightsHistory{"m": {Version: 2}}
		}, "not-run"},
	} {
		fixture := newProxyFixture(t, "well")
		test.prepare(fixture)
		if outcome := fixture.send("r", true); outcome.Rejected != test.kind || fixture.attemptsStarted("r") > 0 {
			t.Errorf("%s: %+v after %d starts", name, outcome, fixture.attemptsStarted("r"))
		}
	}
	fixture := newProxyFixture(t, "well")
	fixture.snapshot.Weights = map[string]updatestream.WeightsHistory{"m": {Version: 2, Past: []updatestream.WeightsHistory{{Version: 1, ProvenNewestUntil: time.Hour - time.Second}}}}
	if outcome := fixture.send("r", true); !outcome.Sealed {
		t.Errorf("older weights within their bound: %+v", outcome)
	}
}

// After an attempt that may have been executed, a rejection for another reason still says that the request may
// have been executed.
func TestWhatMayHaveRunIsNeverRejectedAsNotRun(t *testing.T) {
	for name, change := range map[string]func(*updatestream.Snapshot){
		"the key is taken out of force": func(updated *updatestream.Snapshot) { updated.Config = (&serviceconfig.Config{}).BuildIndex() },
		"the way is taken away": func(updated *updatestream.Snapshot) {
			config := *updated.Config
			config.Routes = nil
			updated.Config = config.BuildIndex()
		},
		"the proof gets too old": func(updated *updatestream.Snapshot) { updated.ProofAt = time.Minute },
		"the workers leave":      func(updated *updatestream.Snapshot) { updated.Workers = nil },
	} {
		fixture := newProxyFixture(t, "dies-before", "dies-before")
		fixture.onAttemptStarted = func() {
			updated := *fixture.snapshot
			updated.ConfigVersion++
			change(&updated)
			fixture.snapshot = &updated
		}
		if outcome := fixture.send("r", false); outcome.Rejected != "may-have-run" || fixture.attemptsStarted("r") != 1 {
			t.Errorf("%s: %s (%s) after %d starts", name, outcome.Rejected, outcome.Message, fixture.attemptsStarted("r"))
		}
	}
}

// When the caller disconnects, the worker's side is canceled, and the request is no longer in flight.
func TestCallerDisconnectReachesTheWorker(t *testing.T) {
	fixture := newProxyFixture(t, "hangs")
	ctx, disconnect := context.WithCancel(context.Background())
	body := `{"request_id":"r","model":"m","parts":["x"],"wait_ms":60000}`
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, fixture.server.URL+"/v1/answers", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("X-Tenant-Key", "key-of-t")
	request.Header.Set("Content-Type", "application/json")
	done := make(chan error, 1)
	go func() { _, err := http.DefaultClient.Do(request); done <- err }()
	for fixture.attemptsStarted("r") == 0 {
		runtime.Gosched()
	}
	disconnect()
	if err := <-done; err == nil {
		t.Fatal("the call went on")
	}
	// The worker's handler waits until its request is canceled; closing the edge server waits for it.
	fixture.server.Close()
	remaining := -1
	fixture.proxy.traffic.Ask(func(table *trafficTable) { remaining = table.inFlight })
	if remaining != 0 {
		t.Errorf("%d requests are still in flight", remaining)
	}
}

// A caller that reads nothing neither delays others nor takes memory: its stream waits in the connection, line
// by line.
func TestSlowCallerDelaysNobody(t *testing.T) {
	fixture := newProxyFixture(t, "well")
	fixture.snapshot.Workers[0].Slots = 64
	conn, err := net.Dial("tcp", fixture.server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	body := `{"request_id":"slow","model":"m","parts":["x"],"wait_ms":60000,"pieces":512}`
	fmt.Fprintf(conn, "POST /v1/answers HTTP/1.1\r\nHost: x\r\nX-Tenant-Key: key-of-t\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	for fixture.attemptsStarted("slow") == 0 {
		runtime.Gosched()
	}
	for i := range 20 {
		if outcome := fixture.send(fmt.Sprint("r", i), true); !outcome.Sealed {
			t.Fatalf("beside a slow caller: %+v", outcome)
		}
	}
}

func TestBadRequestsAreTyped(t *testing.T) {
	fixture := newProxyFixture(t, "well")
	for body, kind := range map[string]string{
		`{`: "bad-input", `{}`: "bad-input", `{"request_id":"r","model":"m","parts":[],"wait_ms":1}`: "bad-input",
		`{"request_id":"r r","model":"m","parts":["x"],"wait_ms":1}`: "bad-input", `{"request_id":"r","model":"m","parts":["x"],"wait_ms":1,"odd":1}`: "bad-input",
		`{"request_id":"r","model":"m","wait_ms":1,"parts":["` + strings.Repeat("x", 2<<20) + `"]}`: "too-big",
	} {
		request, err := http.NewRequest(http.MethodPost, fixture.server.URL+"/v1/answers", bytes.NewReader([]byte(body)))
		if err != nil {
			t.Fatal(err)
		}
		request.Header.Set("X-Tenant-Key", "key-of-t")
		request.Header.Set("Content-Type", "application/json")
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			t.Fatal(err)
		}
		raw, _ := io.ReadAll(response.Body)
		response.Body.Close()
		if !strings.Contains(string(raw), `"kind":"`+kind+`"`) || !strings.Contains(string(raw), `"remedy"`) {
			t.Errorf("%.60s: %d %s", body, response.StatusCode, raw)
		}
	}
}
