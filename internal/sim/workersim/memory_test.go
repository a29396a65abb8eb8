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

// inBubble runs test with a simulated worker in a testing/synctest bubble. order sends an order and ask sends a start
// request; both return the reason of the rejection, or "".
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
			raw, _ := json.Marshal(v) // can't fail: orders and requests have only JSON-encodable fields
			recorder := httptest.NewRecorder()
			handler(recorder, bytes.NewReader(raw))
			return recorder
		}
		reason := func(recorder *httptest.ResponseRecorder) string {
			var d contract.Rejection
			_ = json.Unmarshal(recorder.Body.Bytes(), &d) // d stays empty if the response isn't a rejection
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
					t.Errorf("request for model %q, adapter %q, build %d: last line of the response is %+v (decoding error: %v), want that model, adapter and build", model, adapter, build, last, err)
				}
				return ""
			}
			return reason(recorder)
		}
		test(t, worker, order, ask)
	})
}

// A worker can load several base models and adapters within its weight memory. It loads one at a time, and rejects
// requests for models and adapters that aren't loaded.
func TestSeveralModelsInMemory(t *testing.T) {
	inBubble(t, nil, func(t *testing.T, worker *Worker, order func(contract.Order) string, ask func(string, string, uint64) string) {
		expect := func(what, got, want string) {
			t.Helper()
			if got != want {
				t.Errorf("%s: rejection reason %q, want %q (empty: accepted)", what, got, want)
			}
		}
		expect("request for the initial base model", ask("m", "", 0), "")
		expect("request for the initial adapter", ask("m", "a", 1), "")
		expect("request for a build of the adapter that isn't loaded", ask("m", "a", 2), "adapter")
		expect("request for a base model that isn't loaded", ask("m2", "", 0), "model")
		expect("load of an adapter on a base model that isn't loaded", order(contract.Order{Kind: "load", Model: "m2", Weights: 1, Adapter: "a2", Build: 1, WeightMemoryMB: 5}), "busy")
		expect("load of a base model larger than the free memory", order(contract.Order{Kind: "load", Model: "m2", Weights: 1, WeightMemoryMB: 56}), "room")
		expect("load of a second base model", order(contract.Order{Kind: "load", Model: "m2", Weights: 1, WeightMemoryMB: 40}), "")
		expect("load of a third base model while the second is loading", order(contract.Order{Kind: "load", Model: "m3", Weights: 1, WeightMemoryMB: 1}), "busy")
		expect("request for the second base model while it is loading", ask("m2", "", 0), "model")
		if state := worker.workerState(); state.Loading != "m2" || state.FreeWeightMemoryMB != 15 || state.Model != "m" {
			t.Errorf("state during the load of m2 is %+v, want loading m2, 15 MB free, model m", state)
		}
		time.Sleep(400 * time.Millisecond) // virtual time; a load takes 400 ms
		synctest.Wait()
		expect("request for the second base model after its load", ask("m2", "", 0), "")
		expect("load of an adapter on the second base model", order(contract.Order{Kind: "load", Model: "m2", Weights: 1, Adapter: "a2", Build: 3, WeightMemoryMB: 5}), "")
		time.Sleep(100 * time.Millisecond)
		synctest.Wait()
		expect("request for the adapter on the second base model", ask("m2", "a2", 3), "")
		if loaded := worker.workerState().LoadedModels(); len(loaded) != 2 || loaded[0].Model != "m" || loaded[0].Adapters["a"] != 1 || loaded[1].Adapters["a2"] != 3 {
			t.Errorf("loaded models are %+v, want m with adapter a@1 and m2 with adapter a2@3", loaded)
		}
		expect("unload of the first base model", order(contract.Order{Kind: "unload", Model: "m"}), "")
		expect("request for the first base model after its unload", ask("m", "a", 1), "model")
		expect("request for the second base model after the unload of the first", ask("m2", "a2", 3), "")
		if state := worker.workerState(); state.Model != "m2" || state.Weights != 1 || state.FreeWeightMemoryMB != 55 || len(state.LoadedModels()) != 1 {
			t.Errorf("state after the unload of m is %+v, want model m2 with weights 1 alone and 55 MB free", state)
		}
		expect("unload of the last base model", order(contract.Order{Kind: "unload", Model: "m2"}), "")
		if state := worker.workerState(); state.Model != "" || len(state.LoadedModels()) != 0 || state.FreeWeightMemoryMB != 100 {
			t.Errorf("state after the unload of all models is %+v, want no model and 100 MB free", state)
		}
	})
}

// A base model with a running request isn't unloaded. An order for another incarnation, or with a lower step than an
// accepted order of its plan, is rejected. An unload order cancels a load in progress.
func TestOrdersThatComeLate(t *testing.T) {
	inBubble(t, []string{"piece_us=1000000"}, func(t *testing.T, worker *Worker, order func(contract.Order) string, ask func(string, string, uint64) string) {
		done := make(chan string, 1)
		go func() { done <- ask("m", "", 0) }()
		synctest.Wait()
		if reason := order(contract.Order{Kind: "unload", Model: "m", Plan: "p", Step: 3}); reason != "busy" {
			t.Errorf("unload of a base model with a running request: rejection reason %q, want \"busy\"", reason)
		}
		if reason := <-done; reason != "" {
			t.Errorf("request that ran during the unload order: rejection reason %q, want none", reason)
		}
		load := contract.Order{Kind: "load", Model: "m2", Weights: 1, WeightMemoryMB: 5, Plan: "p", Step: 2}
		if reason := order(load); reason != "stale" {
			t.Errorf("load order with a lower step than an accepted order of its plan: rejection reason %q, want \"stale\"", reason)
		}
		if load.Plan = "other"; order(load) != "" {
			t.Error("load order with a lower step than an accepted order of another plan was rejected, want accepted")
		}
		if reason := order(contract.Order{Kind: "unload", Model: "m2", Plan: "other", Step: 4}); reason != "" {
			t.Errorf("unload of a base model that is loading: rejection reason %q, want none", reason)
		}
		time.Sleep(time.Second) // virtual time; an uncancelled load would have ended
		synctest.Wait()
		if loaded := worker.workerState().LoadedModels(); len(loaded) != 1 || worker.workerState().FreeWeightMemoryMB != 55 || worker.workerState().Loading != "" {
			t.Errorf("state after a cancelled load is %+v, want only model m, 55 MB free, nothing loading", worker.workerState())
		}
		if reason := order(contract.Order{Kind: "load", Model: "m2", Weights: 1, Incarnation: "worker-1/before"}); reason != "incarnation" {
			t.Errorf("load order for another incarnation: rejection reason %q, want \"incarnation\"", reason)
		}
	})
}

// With the option empty=yes a worker starts without a model. With the injected fault "boasts" it reports an adapter as
// loaded and rejects requests for it.
func TestEmptyAndBoasting(t *testing.T) {
	inBubble(t, []string{"empty=yes"}, func(t *testing.T, c *Worker, _ func(contract.Order) string, ask func(string, string, uint64) string) {
		if s := c.workerState(); s.Model != "" || len(s.LoadedModels()) != 0 || ask("m", "", 0) != "model" {
			t.Errorf("worker with option empty=yes has state %+v, want no models and requests rejected with reason \"model\"", s)
		}
	})
	inBubble(t, []string{"lie=boasts"}, func(t *testing.T, c *Worker, _ func(contract.Order) string, ask func(string, string, uint64) string) {
		if l := c.workerState().LoadedModels(); len(l) != 1 || l[0].Adapters["a"] != 1 || ask("m", "a", 1) != "adapter" || ask("m", "", 0) != "" {
			t.Errorf("worker with fault boasts reports %+v, want adapter a@1, requests for it rejected with reason \"adapter\", requests for m accepted", l)
		}
	})
}
