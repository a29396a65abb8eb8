package workersim

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"pebbleloom/internal/contract"
	"pebbleloom/internal/daemon"
	"pebbleloom/internal/data/prefix"
	"pebbleloom/internal/programs"
	"pebbleloom/internal/settings"
)

// workerTest is a test that sends requests to a simulated worker over HTTP.
type workerTest struct {
	*testing.T
	backends *contract.Backends
	addr     string
}

// startWorker starts a simulated worker with weights 1 and a cache capacity of 100 tokens.
func startWorker(t *testing.T) *workerTest {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := listener.Addr().String()
	listener.Close()
	process := daemon.New(programs.WorkerSim, settings.Process{Name: "worker-1", Zone: "d", Listen: "127.0.0.1:1", Public: addr, Bounds: settings.DefaultBounds(),
		Options: []string{"log=off", "model=m", "service=s", "kv=100", "token_us=1", "piece_us=1", "fixed_us=1"}})
	if err := Start(process); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { process.Stop(time.Second) })
	return &workerTest{T: t, backends: contract.NewBackends((&net.Dialer{}).DialContext), addr: addr}
}

// send sends a request whose prompt is text, repeated to 40 tokens, and a question of two tokens. It verifies the
// response stream and returns its last line, or nil if the stream has none or the request was rejected.
func (w *workerTest) send(id string, weights uint64, domain, text string) (contract.Attempt, *contract.Chunk) {
	w.Helper()
	attempt := w.backends.Start(context.Background(), w.addr, contract.StartRequest{RequestID: id, CacheDomain: domain, Model: "m", Weights: weights,
		Parts: []string{strings.Repeat(text, 160), "question"}, Chunks: 3, WaitMs: 2000}, nil)
	verifier := contract.NewStreamVerifier(id, "worker-1")
	if attempt.Body == nil {
		return attempt, nil
	}
	defer attempt.Body.Close()
	var body bytes.Buffer
	if _, err := body.ReadFrom(attempt.Body); err != nil {
		w.Fatal(err)
	}
	for _, line := range bytes.Split(bytes.TrimSpace(body.Bytes()), []byte("\n")) {
		if violation := verifier.Verify(line); violation != "" {
			w.Fatalf("response stream of request %s: %s", id, violation)
		}
	}
	return attempt, verifier.Sealed
}

// order sends an order to load a weights version, and returns an error if the worker rejects it.
func (w *workerTest) order(fencingToken, weights uint64) error {
	return w.backends.Order(context.Background(), w.addr, contract.Order{FencingToken: fencingToken, Kind: "weights", Weights: weights})
}

// putPrefix stores a prefix of 40 tokens in the worker's cache, as another worker does.
func (w *workerTest) putPrefix(key string) {
	w.Helper()
	request, err := http.NewRequest(http.MethodPut, "http://"+w.addr+"/kv/"+key, strings.NewReader(`{"k":"`+key+`","n":40}`))
	if err != nil {
		w.Fatal(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		w.Fatal(err)
	}
	defer response.Body.Close()
	if response.StatusCode != 200 {
		w.Fatalf("PUT of prefix %s: status %d, want 200", key, response.StatusCode)
	}
}

// The simulated worker keeps the guarantees of the worker contract on cache domains, fencing tokens, weights, and the
// capacity of the cache.
func TestTheContract(t *testing.T) {
	w := startWorker(t)
	w.checkCacheDomains()
	w.checkWeights()
	w.checkPrefixOfOlderWeights()
	state, err := w.backends.State(context.Background(), w.addr)
	if err != nil || state.KVTokens > 100 || state.Weights != 2 || state.FencingToken != 5 {
		t.Errorf("worker state is %+v, error %v; want at most 100 cached tokens, weights 2, fencing token 5", state, err)
	}
}

// Fencing tokens of different leases aren't compared: a worker that is moved to another service accepts orders under
// the lease of that service, and still rejects lower tokens of the first lease.
func TestFencingTokensOfTwoLeases(t *testing.T) {
	w := startWorker(t)
	for _, sent := range []struct {
		lease          string
		token, weights uint64
		accepted       bool
	}{{"main", 5, 2, true}, {"two", 1, 3, true}, {"main", 4, 4, false}, {"two", 1, 5, true}, {"two", 0, 6, false}, {"main", 5, 6, true}} {
		order := contract.Order{FencingToken: sent.token, Lease: sent.lease, Kind: "weights", Weights: sent.weights}
		if err := w.backends.Order(context.Background(), w.addr, order); (err == nil) != sent.accepted {
			t.Errorf("order under lease %q with fencing token %d: error %v, want accepted = %v", sent.lease, sent.token, err, sent.accepted)
		}
	}
}

// checkCacheDomains checks that a cached prompt is used only by requests of the same cache domain.
func (w *workerTest) checkCacheDomains() {
	w.Helper()
	if _, final := w.send("a", 1, "shared", "o"); final == nil || final.PrefilledTokens != 42 {
		w.Fatalf("first request with a prompt: last line of the response is %+v, want 42 prefilled tokens", final)
	}
	if _, final := w.send("b", 1, "shared", "o"); final == nil || final.CachedTokens != 42 {
		w.Errorf("second request with the same prompt: last line of the response is %+v, want 42 cached tokens", final)
	}
	if _, final := w.send("c", 1, "t:walled", "o"); final == nil || final.CachedTokens != 0 {
		w.Errorf("request with the same prompt in another cache domain: last line of the response is %+v, want 0 cached tokens", final)
	}
}

// checkWeights checks that an order with a lower fencing token is rejected, and that requests for older weights are
// rejected as not executed.
func (w *workerTest) checkWeights() {
	w.Helper()
	if err := w.order(5, 2); err != nil {
		w.Fatal(err)
	}
	if err := w.order(4, 3); err == nil {
		w.Error("order with fencing token 4 after one with token 5 was accepted, want rejected")
	}
	if attempt, _ := w.send("d", 1, "shared", "o"); !attempt.NotExecuted() || attempt.Rejected.Reason != "weights" {
		w.Errorf("request for weights 1 on a worker with weights 2: %+v, want rejected as not executed with reason \"weights\"", attempt)
	}
	if _, final := w.send("e", 2, "shared", "o"); final == nil || final.CachedTokens != 0 || final.Weights != 2 {
		w.Errorf("request with the same prompt after the change to weights 2: last line of the response is %+v, want weights 2 and 0 cached tokens", final)
	}
}

// checkPrefixOfOlderWeights checks that no request uses a prefix of older weights that another worker has copied to
// the cache after the change of weights.
func (w *workerTest) checkPrefixOfOlderWeights() {
	w.Helper()
	w.putPrefix(prefix.Chain("shared", "m", 1, []string{strings.Repeat("p", 160)})[0].Key.String())
	if _, final := w.send("f", 2, "shared", "p"); final == nil || final.CachedTokens != 0 || final.PrefilledTokens != 42 {
		w.Errorf("request whose prefix is cached for older weights only: last line of the response is %+v, want 0 cached and 42 prefilled tokens", final)
	}
}

// The cache evicts the least recently used prefix first. Its reports are numbered, and a discarded report leaves a gap
// in the numbers.
func TestCacheAndReports(t *testing.T) {
	cache := NewCache(100)
	cache.Store("a", 40)
	cache.Store("b", 40)
	cache.Lookup("a")
	cache.CloseReport(false, 1)
	cache.Store("c", 40) // evicts prefix b, the least recently used: prefix a was looked up after b was stored
	cache.CloseReport(true, 1)
	cache.Store("d", 20)
	cache.CloseReport(false, 1)
	if _, ok := cache.Lookup("b"); ok {
		t.Error("least recently used prefix b is still cached, want evicted")
	}
	if _, ok := cache.Lookup("a"); !ok {
		t.Error("prefix a, which was used after b, was evicted, want cached")
	}
	r := cache.Reports(0, false, 1)
	if r.Number != 3 || len(r.Reports) != 2 || r.Reports[0].Number != 1 || r.Reports[1].Number != 3 {
		t.Errorf("cache reports after report 2 was discarded are %+v, want reports 1 and 3, and 3 as the number of the latest report", r)
	}
	if l := cache.Reports(0, false, 0); len(l.Reports) != 0 || l.Number != 0 {
		t.Errorf("cache reports closed by time 0 are %+v, want none: all were closed at time 1", l)
	}
	if w := cache.Reports(0, true, 1); !w.Complete || len(w.Cached) != 3 {
		t.Errorf("complete cache report is %+v, want 3 prefixes", w)
	}
	cache.Store("huge", 101)
	if used, capacity := cache.Used(); used != 100 || capacity != 100 {
		t.Errorf("cache has %d of %d tokens in use, want 100 of 100", used, capacity)
	}
}
