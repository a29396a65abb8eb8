package workersim

import (
	"fmt"
	"strings"
	"time"

	"pebbleloom/internal/contract"
	"pebbleloom/internal/errs"
	"pebbleloom/internal/queue"
)

// memory is what a worker has room for: base models and the adapters on them. Its first base is
// the worker's model and weights; further ones stand in bases.
type memory struct {
	totalMB         int // MB; 0: without a bound
	bases           map[string]uint64
	adapters        map[string]map[string]uint64 // base -> adapter -> build
	sizesMB         map[string]int               // MB, of "base" and "base/adapter"
	busy            map[string]int               // requests that run or wait, by base
	loading         string
	latestSteps     map[string]uint64 // the latest step that was obeyed of each plan
	baseLoadTime    time.Duration
	adapterLoadTime time.Duration
	defaultBaseMB   int // MB of a base whose order told none
}

// loadInitialModels takes what the settings say is in memory at the start: "empty=yes" is nothing, "adapters=a@1,b@2"
// stand on the model.
func (w *Worker) loadInitialModels() error {
	process := w.process
	w.memory = memory{totalMB: int(numberOption(process, "memory", 0)), bases: map[string]uint64{}, adapters: map[string]map[string]uint64{}, sizesMB: map[string]int{},
		busy: map[string]int{}, latestSteps: map[string]uint64{}, defaultBaseMB: int(numberOption(process, "model_room", 0)),
		baseLoadTime: time.Duration(numberOption(process, "load_ms", 400)) * time.Millisecond, adapterLoadTime: time.Duration(numberOption(process, "adapter_ms", 100)) * time.Millisecond}
	if process.Settings.Option("empty", "") == "yes" {
		w.model, w.weights = "", 0
		return nil
	}
	w.sizesMB[w.model] = w.defaultBaseMB
	for _, option := range strings.Split(process.Settings.Option("adapters", ""), ",") {
		if option == "" {
			continue
		}
		name, buildText, ok := strings.Cut(option, "@")
		var build uint64
		if _, err := fmt.Sscan(buildText, &build); !ok || err != nil {
			return errs.New(errs.BadInput, "adapters: %q: give name@build", option)
		}
		w.addAdapter(w.model, name, build, int(numberOption(process, "adapter_room", 0)))
	}
	return nil
}

func (w *Worker) addAdapter(base, adapter string, build uint64, memoryMB int) {
	if w.adapters[base] == nil {
		w.adapters[base] = map[string]uint64{}
	}
	w.adapters[base][adapter], w.sizesMB[base+"/"+adapter] = build, memoryMB
}

// weightsOf tells a base's epoch in memory; 0: it isn't there.
func (w *Worker) weightsOf(base string) uint64 {
	if base == w.model && base != "" {
		return w.weights
	}
	return w.bases[base]
}

// missing says why a start can't run on what is in memory, or "".
func (w *Worker) missing(request *contract.StartRequest) string {
	weights := w.weightsOf(request.Model)
	switch {
	case weights == 0:
		return "model"
	case weights != request.Weights:
		return "weights"
	case request.Adapter != "" && (w.adapters[request.Model][request.Adapter] != request.Build || request.Build == 0):
		return "adapter"
	case request.Adapter != "" && w.plantedFault == "boasts": // it says it has loaded what it hasn't
		return "adapter"
	}
	return ""
}

// loadedModels tells what is in memory. It stays silent where there is the one model alone.
func (w *Worker) loadedModels() []contract.LoadedModel {
	if w.model == "" || len(w.bases) == 0 && len(w.adapters[w.model]) == 0 && len(w.latestSteps) == 0 {
		return nil
	}
	models := []contract.LoadedModel{}
	for _, base := range append([]string{w.model}, queue.Keys(w.bases)...) {
		loaded := contract.LoadedModel{Model: base, Weights: w.weightsOf(base), Busy: w.busy[base]}
		for adapter, build := range w.adapters[base] {
			if loaded.Adapters == nil {
				loaded.Adapters = map[string]uint64{}
			}
			loaded.Adapters[adapter] = build
		}
		models = append(models, loaded)
	}
	return models
}

func (w *Worker) freeMemoryMB() int {
	if w.totalMB == 0 {
		return 0
	}
	free := w.totalMB
	for _, size := range w.sizesMB {
		free -= size
	}
	return free
}

// rejectStale denies an order for another life, and one thought out before one that was obeyed.
func (w *Worker) rejectStale(order *contract.Order) string {
	switch {
	case order.Kind != "load" && order.Kind != "unload":
		return ""
	case order.Incarnation != "" && order.Incarnation != w.incarnation:
		return "incarnation"
	case order.Step < w.latestSteps[order.Plan]:
		return "stale"
	}
	w.latestSteps[order.Plan] = order.Step
	return ""
}

// executeOrder obeys an order that loads or unloads, or says why it can't. Loading takes its time and is
// done one at a time; what is in use isn't unloaded.
func (w *Worker) executeOrder(order *contract.Order) string {
	key := order.Model
	if order.Adapter != "" {
		key += "/" + order.Adapter
	}
	have := w.weightsOf(order.Model)
	if order.Adapter != "" && have != 0 {
		have = w.adapters[order.Model][order.Adapter]
	}
	if order.Kind == "unload" && w.loading != "" && (w.loading == key || order.Adapter == "" && strings.HasPrefix(w.loading, order.Model+"/")) {
		delete(w.sizesMB, w.loading) // what was being loaded isn't any more
		w.loading = ""
	}
	switch {
	case order.Kind == "unload" && order.Adapter == "" && have != 0:
		if w.busy[order.Model] > 0 {
			return "busy"
		}
		w.unload(order.Model)
	case order.Kind == "unload" && have != 0:
		if w.busy[order.Model] > 0 {
			return "busy"
		}
		delete(w.adapters[order.Model], order.Adapter)
		delete(w.sizesMB, key)
	case order.Kind == "load" && (order.Adapter == "" && have != order.Weights || order.Adapter != "" && have != order.Build):
		if w.loading != "" || order.Adapter != "" && w.weightsOf(order.Model) == 0 {
			return "busy"
		}
		if w.totalMB > 0 && w.freeMemoryMB() < order.WeightMemoryMB-w.sizesMB[key] {
			return "room"
		}
		w.load(*order, key)
	}
	return ""
}

func (w *Worker) unload(base string) {
	for adapter := range w.adapters[base] {
		delete(w.sizesMB, base+"/"+adapter)
	}
	delete(w.adapters, base)
	delete(w.sizesMB, base)
	if base != w.model {
		delete(w.bases, base)
		return
	}
	w.model, w.weights = "", 0
	for _, next := range queue.Keys(w.bases) { // the next one takes its place
		w.model, w.weights = next, w.bases[next]
		delete(w.bases, next)
		break
	}
	w.process.Log.Info("weights unloaded", "model", base)
}

func (w *Worker) load(order contract.Order, key string) {
	duration := w.baseLoadTime
	if order.Adapter != "" {
		duration = w.adapterLoadTime
	}
	w.loading, w.sizesMB[key] = key, order.WeightMemoryMB
	done := func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		current := w.loading == key
		if current {
			w.loading = ""
		}
		switch {
		case !current: // it was taken back meanwhile
			return
		case order.Adapter != "" && w.weightsOf(order.Model) == 0:
			delete(w.sizesMB, key)
			return
		case order.Adapter != "":
			w.addAdapter(order.Model, order.Adapter, order.Build, order.WeightMemoryMB)
		case w.model == "" || w.model == order.Model:
			w.model, w.weights = order.Model, order.Weights
		default:
			w.bases[order.Model] = order.Weights
		}
		w.process.Log.Info("weights loaded", "model", order.Model, "weights", order.Weights, "adapter", order.Adapter, "build", order.Build)
	}
	w.process.Go(func() {
		timer := time.NewTimer(duration)
		defer timer.Stop()
		select {
		case <-timer.C:
			done()
		case <-w.process.Ctx.Done():
		}
	})
}
