package callerproxy

import (
	"bytes"
	"context"
	"encoding/json"
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
	"pebbleloom/internal/data/prefix"
	"pebbleloom/internal/data/updatestream"
	"pebbleloom/internal/queue"
	"pebbleloom/internal/settings"
	"pebbleloom/internal/sim/loadgen"
	"pebbleloom/internal/wire"
)

// testProxy is one proxy with its real HTTP server, before workers that die at a chosen
// step. Nothing sleeps: the workers act on what they are asked.
type testProxy struct {
	proxy    *Proxy
	edge     *httptest.Server
	mu       sync.Mutex
	starts   map[string]int // attempts that reached a worker and began, by request
	granted  map[string]bool
	snapshot *updatestream.Snapshot
	clock    *clock.Manual
	started  func() // called when an attempt has begun; mu is held
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

// worker answers a start as its mode says.
func (b *testProxy) worker(name, mode string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var s contract.StartRequest
		if json.NewDecoder(r.Body).Decode(&s) != nil {
			return
		}
		die := func() { panic(http.ErrAbortHandler) }
		if mode == "refuse" {
			w.WriteHeader(409)
			fmt.Fprint(w, `{"not_run":true,"reason":"full"}`)
			return
		}
		if mode == "odd" {
			w.WriteHeader(500)
			fmt.Fprint(w, `oops`)
			return
		}
		b.mu.Lock()
		if b.starts[s.RequestID]++; b.started != nil {
			b.started()
		}
		b.mu.Unlock()
		if mode == "dies-before" {
			die()
		}
		seal, enc := contract.NewSeal(s.RequestID, name), json.NewEncoder(w)
		es := prefix.Chain(s.CacheDomain, s.Model, s.Weights, s.Parts)
		for n := range s.Chunks {
			p := contract.Chunk{RequestID: s.RequestID, Number: n, Text: contract.SyntheticText(es[len(es)-1].Key.String(), s.Weights, n)}
			seal.Add(n, p.Text)
			switch {
			case n == 2 && mode == "loses":
				continue
			case n == 2 && mode == "mixes":
				p.RequestID = "another"
			case n == 2 && mode == "long":
				p.Text = strings.Repeat("x", contract.MaxLineBytes)
			case n == 2 && mode == "dies-within":
				die()
			case n == 0 && mode == "hangs":
				<-r.Context().Done()
				return
			}
			if enc.Encode(p) != nil {
				return
			}
			if n == 2 && mode == "doubles" {
				_ = enc.Encode(p)
			}
			http.NewResponseController(w).Flush()
		}
		last := contract.Chunk{RequestID: s.RequestID, Number: s.Chunks, Seal: seal.Close(), Worker: name, Weights: s.Weights}
		switch mode {
		case "unsealed":
			return
		case "forges":
			last.Seal = strings.Repeat("0", 64)
		}
		_ = enc.Encode(last)
	}
}

func newTestProxy(t *testing.T, modes ...string) *testProxy {
	t.Helper()
	p := settings.Process{Name: "edge-1", Zone: "d", Listen: "127.0.0.1:1", Bounds: settings.DefaultBounds(), Options: []string{"log=off"}}
	l := daemon.New("dispatcher", p)
	b := &testProxy{starts: map[string]int{}, granted: map[string]bool{}, clock: &clock.Manual{Time: time.Hour}}
	b.snapshot = &updatestream.Snapshot{ConfigVersion: 1, ProofAt: time.Hour, Placements: map[string]*placement.Placement{}, Weights: map[string]updatestream.WeightsHistory{"m": {Version: 1}},
		Config: (&serviceconfig.Config{Tenants: map[string]serviceconfig.Tenant{"t": {Keys: []string{"key-of-t"}}}, Models: map[string]serviceconfig.Model{"m": {Weights: 1}},
			Services: map[string]serviceconfig.Service{"s": {Model: "m"}}, Routes: map[string]serviceconfig.Route{"m": {Service: "s"}}}).BuildIndex()}
	for i, m := range modes {
		n := fmt.Sprintf("w%d", i)
		addr := ""
		if m == "gone" {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			addr = ln.Addr().String()
			ln.Close()
		} else {
			s := httptest.NewServer(b.worker(n, m))
			t.Cleanup(s.Close)
			addr = s.Listener.Addr().String()
		}
		b.snapshot.Workers = append(b.snapshot.Workers, &wire.Worker{Name: n, Addr: addr, Service: "s", Kind: "lm", Weights: 1, Slots: 4, Model: "m"})
	}
	d := &Proxy{process: l, bounds: p.Bounds, clock: b.clock, backends: contract.NewBackends((&net.Dialer{}).DialContext), prefillCurve: placement.Default(), decisions: queue.NewRing[*wire.Decision](8), claims: fakeClaims{b}}
	d.traffic = queue.NewActor(newTrafficTable(), 64)
	d.traffic.Ask(func(g *trafficTable) {
		for range 100 / d.bounds.RetryPercent { // as after a few requests
			d.retryBudget(g, "s").Deposit(1)
		}
	})
	d.index = newPromptIndex(l, b.clock)
	d.follower = updatestream.NewFixedFollower(func() *updatestream.Snapshot { b.mu.Lock(); defer b.mu.Unlock(); return b.snapshot })
	srv, err := caller.NewServer(d, caller.WithErrorHandler(handleRequestError))
	if err != nil {
		t.Fatal(err)
	}
	b.proxy, b.edge = d, httptest.NewServer(http.MaxBytesHandler(flushEveryWrite(srv), 1<<20))
	t.Cleanup(func() { b.edge.Close(); l.Stop(time.Second); d.traffic.Stop() })
	return b
}

func (b *testProxy) attemptsStarted(id string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.starts[id]
}

func (b *testProxy) ask(id string, once bool) loadgen.Outcome {
	q := loadgen.Request{ID: id, Tenant: "t", Key: "key-of-t", Domain: "shared", Model: "m", Parts: []string{"opening", "question"}, Chunks: 5, WaitMs: 5000, Once: once}
	return loadgen.NewClient([]string{b.edge.Listener.Addr().String()}).Send(context.Background(), 0, q)
}

// A worker dies, refuses or misbehaves at every step of an attempt, and the other worker is well
// or as bad. What the caller learns, and how often the request began, is said for each.
func TestEveryStepOfAnAttempt(t *testing.T) {
	for _, c := range []struct {
		mode         string
		once         string // sealed, broken, or the rejection's kind
		many         string
		starts, more int // that began: once-only, repeatable
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
		for _, once := range []bool{true, false} {
			b := newTestProxy(t, c.mode, c.mode)
			o := b.ask("r", once)
			want, starts := c.many, c.more
			if once {
				want, starts = c.once, c.starts
			}
			got := o.Rejected
			if o.Sealed {
				got = "sealed"
			} else if o.Interrupted != "" {
				got = "broken"
			}
			if got != want || b.attemptsStarted("r") != starts || len(o.Faults) > 0 {
				t.Errorf("%s, once %v: %s after %d starts, want %s after %d; faults %v, %s", c.mode, once, got, b.attemptsStarted("r"), want, starts, o.Faults, o.Message)
			}
			if strings.HasPrefix(got, "not") && o.RetryAfterMs <= 0 {
				t.Errorf("%s, once %v: no time to come back", c.mode, once)
			}
		}
	}
}

// A once-only go is made again on proof alone, and then runs once.
func TestProofAllowsARetryOfAOnceOnlyRequest(t *testing.T) {
	for _, mode := range []string{"gone", "refuse"} {
		for i := range 6 { // whichever of the two is asked first
			b := newTestProxy(t, mode, "well")
			id := fmt.Sprint("r", i)
			if o := b.ask(id, true); !o.Sealed || b.attemptsStarted(id) != 1 {
				t.Errorf("%s: %+v after %d starts", mode, o, b.attemptsStarted(id))
			}
		}
	}
}

// The same once-only id again: refused while it may have run, let in when it is proved not to have.
func TestOnceOnlyIdsAgain(t *testing.T) {
	b := newTestProxy(t, "well")
	if o := b.ask("r", true); !o.Sealed {
		t.Fatalf("%+v", o)
	}
	if o := b.ask("r", true); o.Rejected != "may-have-run" || b.attemptsStarted("r") != 1 {
		t.Errorf("%+v after %d starts", o, b.attemptsStarted("r"))
	}
	b = newTestProxy(t, "refuse")
	for range 2 {
		if o := b.ask("r", true); o.Rejected != "not-run" {
			t.Errorf("%+v", o)
		}
	}
}

// Without proof that the configuration is the newest nothing starts; nor with a key or a route that
// was taken out of force. All of it is said at once.
func TestWhatIsRejectedBeforeAnAttempt(t *testing.T) {
	for name, c := range map[string]struct {
		do   func(*testProxy)
		kind string
	}{
		"the proof is too old":    {func(b *testProxy) { b.clock.Time += settings.DefaultBounds().Config(0.81) }, "not-run"},
		"there is no setup":       {func(b *testProxy) { b.snapshot = &updatestream.Snapshot{} }, "not-run"},
		"the key is unknown":      {func(b *testProxy) { b.snapshot.Config.Tenants = nil; b.snapshot.Config.BuildIndex() }, "bad-key"},
		"no way leads there":      {func(b *testProxy) { b.snapshot.Config.Routes = nil }, "no-such-model"},
		"all workers are leaving": {func(b *testProxy) { b.snapshot.Workers[0].State = updatestream.WorkerDraining }, "not-run"},
		"older weights alone": {func(b *testProxy) {
			b.snapshot.Weights = map[string]updatestream.WeightsHistory{"m": {Version: 2}}
		}, "not-run"},
	} {
		b := newTestProxy(t, "well")
		c.do(b)
		if o := b.ask("r", true); o.Rejected != c.kind || b.attemptsStarted("r") > 0 {
			t.Errorf("%s: %+v after %d starts", name, o, b.attemptsStarted("r"))
		}
	}
	b := newTestProxy(t, "well")
	b.snapshot.Weights = map[string]updatestream.WeightsHistory{"m": {Version: 2, Past: []updatestream.WeightsHistory{{Version: 1, ProvenNewestUntil: time.Hour - time.Second}}}}
	if o := b.ask("r", true); !o.Sealed {
		t.Errorf("older weights within their bound: %+v", o)
	}
}

// An attempt that may have run is followed by a rejection for another reason: the caller still has to
// hear that it may have run, and not a kind that says it didn't.
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
		b := newTestProxy(t, "dies-before", "dies-before")
		b.started = func() {
			s := *b.snapshot
			s.ConfigVersion++
			change(&s)
			b.snapshot = &s
		}
		if o := b.ask("r", false); o.Rejected != "may-have-run" || b.attemptsStarted("r") != 1 {
			t.Errorf("%s: %s (%s) after %d starts", name, o.Rejected, o.Message, b.attemptsStarted("r"))
		}
	}
}

// A caller that hangs up ends the worker's side, and its place at the gate is free again.
func TestCallerDisconnectReachesTheWorker(t *testing.T) {
	b := newTestProxy(t, "hangs")
	ctx, hangUp := context.WithCancel(context.Background())
	raw := `{"request_id":"r","model":"m","parts":["x"],"wait_ms":60000}`
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, b.edge.URL+"/v1/answers", strings.NewReader(raw))
	if err != nil {
		t.Fatal(err)
	}
	q.Header.Set("X-Tenant-Key", "key-of-t")
	q.Header.Set("Content-Type", "application/json")
	done := make(chan error, 1)
	go func() { _, err := http.DefaultClient.Do(q); done <- err }()
	for b.attemptsStarted("r") == 0 {
		runtime.Gosched()
	}
	hangUp()
	if err := <-done; err == nil {
		t.Fatal("the call went on")
	}
	// The worker's handler waits for its own caller's end; closing the edge waits for it.
	b.edge.Close()
	left := -1
	b.proxy.traffic.Ask(func(g *trafficTable) { left = g.inFlight })
	if left != 0 {
		t.Errorf("%d still under way at the gate", left)
	}
}

// A caller that reads nothing holds up neither the others nor the memory: its stream waits
// in the connection, line by line.
func TestSlowCallerDelaysNobody(t *testing.T) {
	b := newTestProxy(t, "well")
	b.snapshot.Workers[0].Slots = 64
	c, err := net.Dial("tcp", b.edge.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	body := `{"request_id":"slow","model":"m","parts":["x"],"wait_ms":60000,"pieces":512}`
	fmt.Fprintf(c, "POST /v1/answers HTTP/1.1\r\nHost: x\r\nX-Tenant-Key: key-of-t\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	for b.attemptsStarted("slow") == 0 {
		runtime.Gosched()
	}
	for i := range 20 {
		if o := b.ask(fmt.Sprint("r", i), true); !o.Sealed {
			t.Fatalf("beside a slow caller: %+v", o)
		}
	}
}

func TestBadRequestsAreTyped(t *testing.T) {
	b := newTestProxy(t, "well")
	for body, kind := range map[string]string{
		`{`: "bad-input", `{}`: "bad-input", `{"request_id":"r","model":"m","parts":[],"wait_ms":1}`: "bad-input",
		`{"request_id":"r r","model":"m","parts":["x"],"wait_ms":1}`: "bad-input", `{"request_id":"r","model":"m","parts":["x"],"wait_ms":1,"odd":1}`: "bad-input",
		`{"request_id":"r","model":"m","wait_ms":1,"parts":["` + strings.Repeat("x", 2<<20) + `"]}`: "too-big",
	} {
		q, err := http.NewRequest(http.MethodPost, b.edge.URL+"/v1/answers", bytes.NewReader([]byte(body)))
		if err != nil {
			t.Fatal(err)
		}
		q.Header.Set("X-Tenant-Key", "key-of-t")
		q.Header.Set("Content-Type", "application/json")
		r, err := http.DefaultClient.Do(q)
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
