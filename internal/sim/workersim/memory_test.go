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
	"pebbleloom/internal/settings"
)

// inBubble runs a test with a worker in a bubble of virtual time. order sends an order and ask a request; both return the
// reason of the rejection, if any.
func inBubble(t *testing.T, words []string, do func(t *testing.T, c *Worker, order func(contract.Order) string, ask func(model, adapter string, build uint64) string)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := daemon.RealEnvironment(settings.Process{})
		w.Clock, w.WallClock = clock.Synctest(), time.Now
		l := daemon.NewIn(w, "cab", settings.Process{Name: "cab-1", Bounds: settings.DefaultBounds(),
			Options: append([]string{"log=off", "model=m", "slots=4", "fixed_us=1000", "load_ms=400", "adapter_ms=100", "memory=100", "model_room=40", "adapter_room=5", "adapters=a@1"}, words...)})
		defer l.Stop(0)
		c, err := openWorker(l)
		if err != nil {
			t.Fatal(err)
		}
		post := func(h func(*httptest.ResponseRecorder, *bytes.Reader), v any) *httptest.ResponseRecorder {
			raw, _ := json.Marshal(v) // plain fields: can't fail
			r := httptest.NewRecorder()
			h(r, bytes.NewReader(raw))
			return r
		}
		reason := func(r *httptest.ResponseRecorder) string {
			var d contract.Rejection
			_ = json.Unmarshal(r.Body.Bytes(), &d) // a stream isn't one
			return d.Reason
		}
		order := func(o contract.Order) string {
			return reason(post(func(w *httptest.ResponseRecorder, b *bytes.Reader) {
				c.serveOrder(w, httptest.NewRequest("POST", "/", b))
			}, o))
		}
		n := 0
		ask := func(model, adapter string, build uint64) string {
			n++
			s := contract.StartRequest{RequestID: fmt.Sprint("r", n), Model: model, Weights: 1, Adapter: adapter, Build: build, Parts: []string{"p"}, Chunks: 1, WaitMs: 5000}
			r := post(func(w *httptest.ResponseRecorder, b *bytes.Reader) {
				c.serveStart(w, httptest.NewRequest("POST", "/", b))
			}, s)
			if r.Code == 200 {
				lines := strings.Split(strings.TrimSpace(r.Body.String()), "\n")
				var last contract.Chunk
				if err := json.Unmarshal([]byte(lines[len(lines)-1]), &last); err != nil || last.Model != model || last.Adapter != adapter || last.Build != build {
					t.Errorf("requested %s %s@%d, sealed by %+v", model, adapter, build, last)
				}
				return ""
			}
			return reason(r)
		}
		do(t, c, order, ask)
	})
}

// A worker holds several base models and adapters within its memory. It loads one at a time, and rejects requests for
// what isn't loaded.
func TestSeveralModelsInMemory(t *testing.T) {
	inBubble(t, nil, func(t *testing.T, c *Worker, order func(contract.Order) string, ask func(string, string, uint64) string) {
		is := func(what, got, want string) {
			t.Helper()
			if got != want {
				t.Errorf("%s: %q, want %q", what, got, want)
			}
		}
		is("its model", ask("m", "", 0), "")
		is("its adapter", ask("m", "a", 1), "")
		is("another build", ask("m", "a", 2), "adapter")
		is("another base", ask("m2", "", 0), "model")
		is("an adapter of a base model that isn't loaded", order(contract.Order{Kind: "load", Model: "m2", Weights: 1, Adapter: "a2", Build: 1, WeightMemoryMB: 5}), "busy")
		is("more than the free memory", order(contract.Order{Kind: "load", Model: "m2", Weights: 1, WeightMemoryMB: 56}), "room")
		is("a second base", order(contract.Order{Kind: "load", Model: "m2", Weights: 1, WeightMemoryMB: 40}), "")
		is("a third while it loads", order(contract.Order{Kind: "load", Model: "m3", Weights: 1, WeightMemoryMB: 1}), "busy")
		is("before it is loaded", ask("m2", "", 0), "model")
		if s := c.workerState(); s.Loading != "m2" || s.FreeWeightMemoryMB != 15 || s.Model != "m" {
			t.Errorf("%+v", s)
		}
		time.Sleep(400 * time.Millisecond) // virtual
		synctest.Wait()
		is("once it is loaded", ask("m2", "", 0), "")
		is("an adapter on it", order(contract.Order{Kind: "load", Model: "m2", Weights: 1, Adapter: "a2", Build: 3, WeightMemoryMB: 5}), "")
		time.Sleep(100 * time.Millisecond)
		synctest.Wait()
		is("with the adapter", ask("m2", "a2", 3), "")
		if l := c.workerState().LoadedModels(); len(l) != 2 || l[0].Model != "m" || l[0].Adapters["a"] != 1 || l[1].Adapters["a2"] != 3 {
			t.Errorf("%+v", l)
		}
		is("the first base is unloaded", order(contract.Order{Kind: "unload", Model: "m"}), "")
		is("and rejects requests", ask("m", "a", 1), "model")
		is("the second stays", ask("m2", "a2", 3), "")
		if s := c.workerState(); s.Model != "m2" || s.Weights != 1 || s.FreeWeightMemoryMB != 55 || len(s.LoadedModels()) != 1 {
			t.Errorf("%+v", s)
		}
		is("the last is unloaded", order(contract.Order{Kind: "unload", Model: "m2"}), "")
		if s := c.workerState(); s.Model != "" || len(s.LoadedModels()) != 0 || s.FreeWeightMemoryMB != 100 {
			t.Errorf("%+v", s)
		}
	})
}

// A base model in use isn't unloaded; an order for another incarnation, or one that a later step of its plan superseded, is
// rejected; an unload cancels a load that is under way.
func TestOrdersThatComeLate(t *testing.T) {
	inBubble(t, []string{"piece_us=1000000"}, func(t *testing.T, c *Worker, order func(contract.Order) string, ask func(string, string, uint64) string) {
		done := make(chan string, 1)
		go func() { done <- ask("m", "", 0) }()
		synctest.Wait()
		if w := order(contract.Order{Kind: "unload", Model: "m", Plan: "p", Step: 3}); w != "busy" {
			t.Errorf("unloaded under a request: %q", w)
		}
		if w := <-done; w != "" {
			t.Errorf("the request: %q", w)
		}
		load := contract.Order{Kind: "load", Model: "m2", Weights: 1, WeightMemoryMB: 5, Plan: "p", Step: 2}
		if w := order(load); w != "stale" {
			t.Errorf("a superseded order: %q", w)
		}
		if load.Plan = "other"; order(load) != "" {
			t.Error("another plan's order is rejected")
		}
		if w := order(contract.Order{Kind: "unload", Model: "m2", Plan: "other", Step: 4}); w != "" {
			t.Errorf("%q", w)
		}
		time.Sleep(time.Second) // virtual
		synctest.Wait()
		if l := c.workerState().LoadedModels(); len(l) != 1 || c.workerState().FreeWeightMemoryMB != 55 || c.workerState().Loading != "" {
			t.Errorf("it was loaded though the load was cancelled: %+v", c.workerState())
		}
		if w := order(contract.Order{Kind: "load", Model: "m2", Weights: 1, Incarnation: "cab-1/before"}); w != "incarnation" {
			t.Errorf("an order for another incarnation: %q", w)
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
