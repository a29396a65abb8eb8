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

// workerTest sends requests to a worker over HTTP.
type workerTest struct {
	*testing.T
	backends *contract.Backends
	addr     string
}

// startWorker starts a worker with a cache of 100 tokens and weights 1.
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

// send sends a request for a prompt of text, which is repeated to 40 tokens, and a question of two tokens. It verifies
// the stream and returns the last line of it, nil if there is none.
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
			w.Fatalf("%s: %s", id, violation)
		}
	}
	return attempt, verifier.Sealed
}

// order sends an order for weights.
func (w *workerTest) order(fencingToken, weights uint64) error {
	return w.backends.Order(context.Background(), w.addr, contract.Order{FencingToken: fencingToken, Kind: "weights", Weights: weights})
}

// putPrefix stores a prefix in the worker's cache, as a peer does.
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
		w.Fatalf("%v", response)
	}
}

// The worker keeps the contract: cache domains, fencing tokens, weights, and the capacity of the cache.
func TestTheContract(t *testing.T) {
	w := startWorker(t)
	w.checkCacheDomains()
	w.checkWeights()
	w.checkPrefixOfOlderWeights()
	state, err := w.backends.State(context.Background(), w.addr)
	if err != nil || state.KVTokens > 100 || state.Weights != 2 || state.FencingToken != 5 {
		t.Errorf("%+v, %v", state, err)
	}
}

// Tokens of different leases aren't compared: a worker that is moved to another service obeys its lease, and still rejects
// lower tokens of the first one.
func TestFencingTokensOfTwoLeases(t *testing.T) {
	w := startWorker(t)
	for _, sent := range []struct {
		lease          string
		token, weights uint64
		accepted       bool
	}{{"main", 5, 2, true}, {"two", 1, 3, true}, {"main", 4, 4, false}, {"two", 1, 5, true}, {"two", 0, 6, false}, {"main", 5, 6, true}} {
		order := contract.Order{FencingToken: sent.token, Lease: sent.lease, Kind: "weights", Weights: sent.weights}
		if err := w.backends.Order(context.Background(), w.addr, order); (err == nil) != sent.accepted {
			t.Errorf("%+v: %v", sent, err)
		}
	}
}

// checkCacheDomains checks that a prompt is cached for its cache domain only.
func (w *workerTest) checkCacheDomains() {
	w.Helper()
	if _, final := w.send("a", 1, "shared", "o"); final == nil || final.PrefilledTokens != 42 {
		w.Fatalf("the first request: %+v", final)
	}
	if _, final := w.send("b", 1, "shared", "o"); final == nil || final.CachedTokens != 42 {
		w.Errorf("the same prompt again: %+v", final)
	}
	if _, final := w.send("c", 1, "t:walled", "o"); final == nil || final.CachedTokens != 0 {
		w.Errorf("the same prompt in another cache domain: %+v", final)
	}
}

// checkWeights checks that an order with a lower fencing token is rejected, and that nothing runs on older weights.
func (w *workerTest) checkWeights() {
	w.Helper()
	if err := w.order(5, 2); err != nil {
		w.Fatal(err)
	}
	if err := w.order(4, 3); err == nil {
		w.Error("an order with a lower fencing token was executed")
	}
	if attempt, _ := w.send("d", 1, "shared", "o"); !attempt.NotExecuted() || attempt.Rejected.Reason != "weights" {
		w.Errorf("a request for older weights: %+v", attempt)
	}
	if _, final := w.send("e", 2, "shared", "o"); final == nil || final.CachedTokens != 0 || final.Weights != 2 {
		w.Errorf("the same prompt on newer weights: %+v", final)
	}
}

// checkPrefixOfOlderWeights checks that a prefix of older weights, stored late by a peer that is behind, is cached but no
// request hits it.
func (w *workerTest) checkPrefixOfOlderWeights() {
	w.Helper()
	w.putPrefix(prefix.Chain("shared", "m", 1, []string{strings.Repeat("p", 160)})[0].Key.String())
	if _, final := w.send("f", 2, "shared", "p"); final == nil || final.CachedTokens != 0 || final.PrefilledTokens != 42 {
		w.Errorf("a prompt whose prefix is cached for older weights: %+v", final)
	}
}

// The least recently used entry is evicted first, reports are numbered, and a lost one is a gap.
func TestCacheAndReports(t *testing.T) {
	cache := NewCache(100)
	cache.Store("a", 40)
	cache.Store("b", 40)
	cache.Lookup("a")
	cache.CloseReport(false, 1)
	cache.Store("c", 40) // evicts b
	cache.CloseReport(true, 1)
	cache.Store("d", 20)
	cache.CloseReport(false, 1)
	if _, ok := cache.Lookup("b"); ok {
		t.Error("b was used least recently, and is still cached")
	}
	if _, ok := cache.Lookup("a"); !ok {
		t.Error("a was used after b, and was evicted")
	}
	r := cache.Reports(0, false, 1)
	if r.Number != 3 || len(r.Reports) != 2 || r.Reports[0].Number != 1 || r.Reports[1].Number != 3 {
		t.Errorf("%+v", r)
	}
	if l := cache.Reports(0, false, 0); len(l.Reports) != 0 || l.Number != 0 {
		t.Errorf("visible too early: %+v", l)
	}
	if w := cache.Reports(0, true, 1); !w.Complete || len(w.Cached) != 3 {
		t.Errorf("%+v", w)
	}
	cache.Store("huge", 101)
	if used, capacity := cache.Used(); used != 100 || capacity != 100 {
		t.Errorf("%d of %d", used, capacity)
	}
}
