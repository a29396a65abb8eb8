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

// proxyFixture is a proxy behind a real HTTP server, with fake workers that fail at a chosen step of an attempt. It uses
// no sleeps: the workers act only on the requests that they receive.
type proxyFixture struct {
	proxy            *Proxy
	server           *httptest.Server
	mu               sync.Mutex
	startedAttempts  map[string]int  // number of attempts that workers have started, by request ID
	claimedKeys      map[string]bool // claim keys of the IDs claimed by at-most-once requests
	snapshot         *updatestream.Snapshot
	clock            *clock.Manual
	onAttemptStarted func() // called with mu held when a worker has started an attempt; may be nil
}

// fakeClaims is an in-memory idClaims that grants each ID to one request at a time.
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

// newProxyFixture starts a proxy with one fake worker for each failure mode. The proxy's clock starts at one hour and
// advances only when the test advances it.
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
		if failureMode == "unreachable" {
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
		for range 100 / proxy.bounds.RetryPercent { // deposit what this many earlier requests earn in the service's retry budget: one retry
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

// attemptsStarted returns how many attempts workers have started for a request ID.
func (fixture *proxyFixture) attemptsStarted(id string) int {
	fixture.mu.Lock()
	defer fixture.mu.Unlock()
	return fixture.startedAttempts[id]
}

// send sends a request to the proxy and returns its outcome.
func (fixture *proxyFixture) send(id string, atMostOnce bool) loadgen.Outcome {
	request := loadgen.Request{ID: id, Tenant: "t", Key: "key-of-t", Domain: "shared", Model: "m", Parts: []string{"opening", "question"}, Chunks: 5, WaitMs: 5000, Once: atMostOnce}
	return loadgen.NewClient([]string{fixture.server.Listener.Addr().String()}).Send(context.Background(), 0, request)
}

// Both workers of a proxy fail in the same way at one step of an attempt. The test checks the outcome that the client
// receives and how many attempts were started: for an at-most-once request, never more than one.
func TestEveryStepOfAnAttempt(t *testing.T) {
	for _, test := range []struct {
		failureMode                          string
		wantOnce                             string // expected outcome of an at-most-once request: sealed, interrupted, or the kind of the rejection
		wantIdempotent                       string // expected outcome of a request that may be executed repeatedly
		wantOnceStarts, wantIdempotentStarts int    // expected numbers of attempts that workers have started
	}{
		{"healthy", "sealed", "sealed", 1, 1},
		{"unreachable", "not-run", "not-run", 0, 0},
		{"rejects", "not-run", "not-run", 0, 0},
		{"untyped-error", "may-have-run", "may-have-run", 0, 0},
		{"aborts-before-response", "may-have-run", "may-have-run", 1, 2},
		{"aborts-mid-stream", "interrupted", "interrupted", 1, 1},
		{"drops-chunk", "interrupted", "interrupted", 1, 1},
		{"repeats-chunk", "interrupted", "interrupted", 1, 1},
		{"wrong-request-id", "interrupted", "interrupted", 1, 1},
		{"oversized-line", "interrupted", "interrupted", 1, 1},
		{"omits-seal", "interrupted", "interrupted", 1, 1},
		{"forged-seal", "interrupted", "interrupted", 1, 1},
	} {
		t.Run(test.failureMode+"/at-most-once", func(t *testing.T) {
			checkOutcome(t, test.failureMode, true, test.wantOnce, test.wantOnceStarts)
		})
		t.Run(test.failureMode+"/idempotent", func(t *testing.T) {
			checkOutcome(t, test.failureMode, false, test.wantIdempotent, test.wantIdempotentStarts)
		})
	}
}

// checkOutcome sends a request to a proxy whose two workers fail in the same way, and checks the outcome and the number
// of started attempts.
func checkOutcome(t *testing.T, failureMode string, atMostOnce bool, want string, wantStarts int) {
	t.Helper()
	fixture := newProxyFixture(t, failureMode, failureMode)
	outcome := fixture.send("r", atMostOnce)
	got := outcome.Rejected
	if outcome.Sealed {
		got = "sealed"
	} else if outcome.Interrupted != "" {
		got = "interrupted"
	}
	if starts := fixture.attemptsStarted("r"); got != want || starts != wantStarts || len(outcome.Faults) > 0 {
		t.Errorf("outcome %s after %d started attempts, want %s after %d; contract violations %v, rejection message %q", got, starts, want, wantStarts, outcome.Faults, outcome.Message)
	}
	if strings.HasPrefix(got, "not") && outcome.RetryAfterMs <= 0 {
		t.Errorf("request rejected as %s with a Retry-After of %v ms, want more than 0", got, outcome.RetryAfterMs)
	}
}

// An at-most-once request is retried at the second worker only if the first worker is proven not to have executed it;
// then it must be executed exactly once.
func TestProofAllowsARetryOfAOnceOnlyRequest(t *testing.T) {
	for _, failureMode := range []string{"unreachable", "rejects"} {
		for i := range 6 { // several IDs, because the request ID decides which of the equal workers is selected first
			fixture := newProxyFixture(t, failureMode, "healthy")
			id := fmt.Sprint("r", i)
			if outcome := fixture.send(id, true); !outcome.Sealed || fixture.attemptsStarted(id) != 1 {
				t.Errorf("first worker has failure mode %s: outcome %+v after %d started attempts, want a sealed response after 1", failureMode, outcome, fixture.attemptsStarted(id))
			}
		}
	}
}

// An at-most-once ID that is sent again is rejected if the first request may have been executed. If the first request
// is proven not to have been executed, the ID can be used again.
func TestOnceOnlyIdsAgain(t *testing.T) {
	fixture := newProxyFixture(t, "healthy")
	if outcome := fixture.send("r", true); !outcome.Sealed {
		t.Fatalf("first request with ID r: outcome %+v, want a sealed response", outcome)
	}
	if outcome := fixture.send("r", true); outcome.Rejected != "may-have-run" || fixture.attemptsStarted("r") != 1 {
		t.Errorf("second request with ID r: outcome %+v after %d started attempts, want rejection may-have-run after 1", outcome, fixture.attemptsStarted("r"))
	}
	fixture = newProxyFixture(t, "rejects")
	for range 2 {
		if outcome := fixture.send("r", true); outcome.Rejected != "not-run" {
			t.Errorf("request with ID r to a worker that rejects everything: outcome %+v, want rejection not-run", outcome)
		}
	}
}

// A request is rejected before any attempt starts if there is no recent proof that the configuration is the latest, the
// tenant key is unknown, the model has no route, or no worker is usable. Attempts on superseded model weights start
// only within the time limit for such weights.
func TestWhatIsRejectedBeforeAnAttempt(t *testing.T) {
	for name, test := range map[string]struct {
		prepare func(*proxyFixture)
		kind    string
	}{
		"proof that the configuration is the latest is too old": {func(fixture *proxyFixture) { fixture.clock.Time += settings.DefaultBounds().Config(0.81) }, "not-run"},
		"no configuration": {func(fixture *proxyFixture) { fixture.snapshot = &updatestream.Snapshot{} }, "not-run"},
		"unknown tenant key": {func(fixture *proxyFixture) {
			fixture.snapshot.Config.Tenants = nil
			fixture.snapshot.Config.BuildIndex()
		}, "bad-key"},
		"no route for the model": {func(fixture *proxyFixture) { fixture.snapshot.Config.Routes = nil }, "no-such-model"},
		"all workers draining":   {func(fixture *proxyFixture) { fixture.snapshot.Workers[0].State = updatestream.WorkerDraining }, "not-run"},
		"only workers with weights that were superseded at an unknown time": {func(fixture *proxyFixture) {
			fixture.snapshot.Weights = map[string]updatestream.WeightsHistory{"m": {Version: 2}}
		}, "not-run"},
	} {
		fixture := newProxyFixture(t, "healthy")
		test.prepare(fixture)
		if outcome := fixture.send("r", true); outcome.Rejected != test.kind || fixture.attemptsStarted("r") > 0 {
			t.Errorf("%s: outcome %+v after %d started attempts, want rejection %s and no started attempt", name, outcome, fixture.attemptsStarted("r"), test.kind)
		}
	}
	fixture := newProxyFixture(t, "healthy")
	fixture.snapshot.Weights = map[string]updatestream.WeightsHistory{"m": {Version: 2, Past: []updatestream.WeightsHistory{{Version: 1, ProvenNewestUntil: time.Hour - time.Second}}}}
	if outcome := fixture.send("r", true); !outcome.Sealed {
		t.Errorf("superseded weights within their time limit: outcome %+v, want a sealed response", outcome)
	}
}

// Once an attempt may have been executed, the request must never be rejected as not executed, even if it finally fails
// for an unrelated reason, such as a configuration change during the attempt.
func TestWhatMayHaveRunIsNeverRejectedAsNotRun(t *testing.T) {
	for name, change := range map[string]func(*updatestream.Snapshot){
		"tenant key removed": func(updated *updatestream.Snapshot) { updated.Config = (&serviceconfig.Config{}).BuildIndex() },
		"route removed": func(updated *updatestream.Snapshot) {
			config := *updated.Config
			config.Routes = nil
			updated.Config = config.BuildIndex()
		},
		"proof that the configuration is the latest is too old": func(updated *updatestream.Snapshot) { updated.ProofAt = time.Minute },
		"all workers removed": func(updated *updatestream.Snapshot) { updated.Workers = nil },
	} {
		fixture := newProxyFixture(t, "aborts-before-response", "aborts-before-response")
		fixture.onAttemptStarted = func() {
			updated := *fixture.snapshot
			updated.ConfigVersion++
			change(&updated)
			fixture.snapshot = &updated
		}
		if outcome := fixture.send("r", false); outcome.Rejected != "may-have-run" || fixture.attemptsStarted("r") != 1 {
			t.Errorf("%s: rejected as %q (%s) after %d started attempts, want may-have-run after 1", name, outcome.Rejected, outcome.Message, fixture.attemptsStarted("r"))
		}
	}
}

// When the client disconnects during a response, the call to the worker is canceled and the request no longer counts as
// in flight.
func TestCallerDisconnectReachesTheWorker(t *testing.T) {
	fixture := newProxyFixture(t, "stalls")
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
		t.Fatal("the client's request returned no error after it was canceled")
	}
	// The stalled worker's handler returns only when its request is canceled, and closing the proxy's server waits for
	// the proxy's handler.
	fixture.server.Close()
	remaining := -1
	fixture.proxy.traffic.Ask(func(table *trafficTable) { remaining = table.inFlight })
	if remaining != 0 {
		t.Errorf("%d requests in flight after the client has disconnected, want 0", remaining)
	}
}

// A client that does not read its response must not delay other requests. The proxy reads the worker's response line by
// line, so that the slow client's stream blocks in its own connection instead of filling memory.
func TestSlowCallerDelaysNobody(t *testing.T) {
	fixture := newProxyFixture(t, "healthy")
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
			t.Fatalf("request beside a client that does not read its response: outcome %+v, want a sealed response", outcome)
		}
	}
}

// Invalid requests are rejected with the kind of the error and a remedy.
func TestBadRequestsAreTyped(t *testing.T) {
	fixture := newProxyFixture(t, "healthy")
	for body, kind := range map[string]string{
		`{`: "bad-input", `{}`: "bad-input", `{"request_id":"r","model":"m","parts":[],"wait_ms":1}`: "bad-input",
		`{"request_id":"r r","model":"m","parts":["x"],"wait_ms":1}`: "bad-input", `{"request_id":"r","model":"m","parts":["x"],"wait_ms":1,"unknown":1}`: "bad-input",
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
			t.Errorf("request body %.60s: response %d %s, want kind %s and a remedy", body, response.StatusCode, raw, kind)
		}
	}
}
