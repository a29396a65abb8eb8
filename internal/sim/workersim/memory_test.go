package workersim

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"pebbleloom/internal/clock"
	"pebbleloom/internal/contract"
	"pebbleloom/internal/daemon"
	"pebbleloom/internal/programs"
	"pebbleloom/internal/settings"
)

// inBubble runs a test with a worker in a bubble of virtual time. order sends an order and ask a request; both return the
// reason of the rejection, if any.
func inBubble(t *testing.T, options []string, test func(t *testing.T, worker *Worker, order func(contract.Order) string, ask func(model, adapter string, build uint64) string)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		environment := daemon.RealEnvironment(settings.Process{})
		environment.Clock, environment.WallClock = clock.Synctest(), time.Now
		process := daemon.NewIn(environment, programs.WorkerSim, settings.Process{Name: "worker-1", Bounds: settings.DefaultBounds(),
			Options: append([]string{"log=off", "model=m", "slots=4", "fixed_us=1000", "load_ms=400", "adapter_ms=100", "memory=100", "model_room=40", "adapter_room=5", "adapters=a@1"}, options...)})
		defer process.Stop(0)
		worker, err := openWorker(process)
		if err != nil {
			t.Fatal(err)
		}
		post := func(handler func(*httptest.ResponseRecorder, *bytes.Reader), v any) *httptest.ResponseRecorder {
			raw, _ := json.Marshal(v) // plain fields: can't fail
			recorder := httptest.NewRecorder()
			handler(recorder, bytes.NewReader(raw))
			return recorder
		}
		reason := func(recorder *httptest.ResponseRecorder) string {
			var d contract.Rejection
			_ = json.Unmarshal(recorder.Body.Bytes(), &d) // a stream isn't one
			return d.Reason
		}
		order := func(toSend contract.Order) string {
			return reason(post(func(environment *httptest.ResponseRecorder, b *bytes.Reader) {
				worker.serveOrder(environment, httptest.NewRequest("POST", "/", b))
			}, toSend))
		}
		count := 0
		ask := func(model, adapter string, build uint64) string {
			count++
			request := contract.StartRequest{RequestID: fmt.Sprint("r", count), Model: model, Weights: 1, Adapter: adapter, Build: build, Parts: []string{"p"}, Chunks: 1, WaitMs: 5000}
			recorder := post(func(environment *httptest.ResponseRecorder, b *bytes.Reader) {
				worker.serveStart(environment, httptest.NewRequest("POST", "/", b))
			}, request)
			if recorder.Code == 200 {
				lines := strings.Split(strings.TrimSpace(recorder.Body.String()), "\n")
				var last contract.Chunk
				if err := json.Unmarshal([]byte(lines[len(lines)-1]), &last); err != nil || last.Model != model || last.Adapter != adapter || last.Build != build {
					t.Errorf("requested %s %s@%d, sealed by %+v", model, adapter, build, last)
				}
				return ""
			}
			return reason(recorder)
		}
		test(t, worker, order, ask)
	})
}

// A worker holds several base models and adapters within its memory. It loads one at a time, and rejects requests for
// what isn't loaded.
func TestSeveralModelsInMemory(t *testing.T) {
	inBubble(t, nil, func(t *testing.T, worker *Worker, order func(contract.Order) string, ask func(string, string, uint64) string) {
		expect := func(what, got, want string) {
			t.Helper()
			if got != want {
				t.Errorf("%s: %q, want %q", what, got, want)
			}
		}
		expect("its model", ask("m", "", 0), "")
		expect("its adapter", ask("m", "a", 1), "")
		expect("another build", ask("m", "a", 2), "adapter")
		expect("another base", ask("m2", "", 0), "model")
		expect("an adapter of a base model that isn't loaded", order(contract.Order{Kind: "load", Model: "m2", Weights: 1, Adapter: "a2", Build: 1, WeightMemoryMB: 5}), "busy")
		expect("more than the free memory", order(contract.Order{Kind: "load", Model: "m2", Weights: 1, WeightMemoryMB: 56}), "room")
		expect("a second base", order(contract.Order{Kind: "load", Model: "m2", Weights: 1, WeightMemoryMB: 40}), "")
		expect("a third while it loads", order(contract.Order{Kind: "load", Model: "m3", Weights: 1, WeightMemoryMB: 1}), "busy")
		expect("before it is loaded", ask("m2", "", 0), "model")
		if state := worker.workerState(); state.Loading != "m2" || state.FreeWeightMemoryMB != 15 || state.Model != "m" {
			t.Errorf("%+v", state)
		}
		time.Sleep(400 * time.Millisecond) // virtual
		synctest.Wait()
		expect("once it is loaded", ask("m2", "", 0), "")
		expect("an adapter on it", order(contract.Order{Kind: "load", Model: "m2", Weights: 1, Adapter: "a2", Build: 3, WeightMemoryMB: 5}), "")
		time.Sleep(100 * time.Millisecond)
		synctest.Wait()
		expect("with the adapter", ask("m2", "a2", 3), "")
		if loaded := worker.workerState().LoadedModels(); len(loaded) != 2 || loaded[0].Model != "m" || loaded[0].Adapters["a"] != 1 || loaded[1].Adapters["a2"] != 3 {
			t.Errorf("%+v", loaded)
		}
		expect("the first base is unloaded", order(contract.Order{Kind: "unload", Model: "m"}), "")
		expect("and rejects requests", ask("m", "a", 1), "model")
		expect("the second stays", ask("m2", "a2", 3), "")
		if state := worker.workerState(); state.Model != "m2" || state.Weights != 1 || state.FreeWeightMemoryMB != 55 || len(state.LoadedModels()) != 1 {
			t.Errorf("%+v", state)
		}
		expect("the last is unloaded", order(contract.Order{Kind: "unload", Model: "m2"}), "")
		if state := worker.workerState(); state.Model != "" || len(state.LoadedModels()) != 0 || state.FreeWeightMemoryMB != 100 {
			t.Errorf("%+v", state)
		}
	})
}

// A base model in use isn't unloaded; an order for another incarnation, or one that a later step of its plan superseded, is
// rejected; an unload cancels a load that is under way.
func TestOrdersThatComeLate(t *testing.T) {
	inBubble(t, []string{"piece_us=1000000"}, func(t *testing.T, worker *Worker, order func(contract.Order) string, ask func(string, string, uint64) string) {
		done := make(chan string, 1)
		go func() { done <- ask("m", "", 0) }()
		synctest.Wait()
		if reason := order(contract.Order{Kind: "unload", Model: "m", Plan: "p", Step: 3}); reason != "busy" {
			t.Errorf("unloaded under a request: %q", reason)
		}
		if reason := <-done; reason != "" {
			t.Errorf("the request: %q", reason)
		}
		load := contract.Order{Kind: "load", Model: "m2", Weights: 1, WeightMemoryMB: 5, Plan: "p", Step: 2}
		if reason := order(load); reason != "stale" {
			t.Errorf("a superseded order: %q", reason)
		}
		if load.Plan = "other"; order(load) != "" {
			t.Error("another plan's order is rejected")
		}
		if reason := order(contract.Order{Kind: "unload", Model: "m2", Plan: "other", Step: 4}); reason != "" {
			t.Errorf("%q", reason)
		}
		time.Sleep(time.Second) // virtual
		synctest.Wait()
		if loaded := worker.workerState().LoadedModels(); len(loaded) != 1 || worker.workerState().FreeWeightMemoryMB != 55 || worker.workerState().Loading != "" {
			t.Errorf("it was loaded though the load was cancelled: %+v", worker.workerState())
		}
		if reason := order(contract.Order{Kind: "load", Model: "m2", Weights: 1, Incarnation: "worker-1/before"}); reason != "incarnation" {
			t.Errorf("an order for another incarnation: %q", reason)
		}
	})
}

// A worker may start without a model. With the planted fault "boasts" it reports an adapter and rejects requests for it.
func TestEmptyAndBoasting(t *testing.T) {
	inBubble(t, []string{"empty=yes"}, func(t *testing.T, c *Worker, _ func(contract.Order) string, ask func(string, string, uint64) string) {
		if s := c.workerState(); s.Model != "" || len(s.LoadedModels()) != 0 || ask("m", "", 0) != "model" {
			t.Errorf("%+v", s)
		}
	})
	inBubble(t, []string{"lie=boasts"}, func(t *testing.T, c *Worker, _ func(contract.Order) string, ask func(string, string, uint64) string) {
		if l := c.workerState().LoadedModels(); len(l) != 1 || l[0].Adapters["a"] != 1 || ask("m", "a", 1) != "adapter" || ask("m", "", 0) != "" {
			t.Errorf("%+v", l)
		}
	})
}
