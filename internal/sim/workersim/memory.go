package workersim

import (
	"fmt"
	"strings"
	"time"

	"pebbleloom/internal/contract"
	"pebbleloom/internal/errs"
	"pebbleloom/internal/maputil"
)

// memory is a worker's weight memory: base models and the adapters on them. The first base model is the worker's model
// and weights; further ones are in bases. The worker's lock protects it.
type memory struct {
	totalMB         int                          // 0: unlimited
	bases           map[string]uint64            // weights of the further base models
	adapters        map[string]map[string]uint64 // base -> adapter -> build
	sizesMB         map[string]int               // of "base" and "base/adapter"
	busy            map[string]int               // running and queued requests, by base
	loading         string                       // key of sizesMB that is being loaded; empty: none
	latestSteps     map[string]uint64            // latest step of each plan whose order was accepted
	baseLoadTime    time.Duration
	adapterLoadTime time.Duration
	defaultBaseMB   int // size of the initial base model
}

// loadInitialModels sets what is in memory at the start by the options: "empty=yes" is nothing, "adapters=a@1,b@2" are
// adapters on the model. It fails with errs.BadInput for a malformed option.
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

// weightsOf returns the weights of a base model in memory; 0: it isn't loaded.
func (w *Worker) weightsOf(base string) uint64 {
	if base == w.model && base != "" {
		return w.weights
	}
	return w.bases[base]
}

// missing returns the reason why a request can't run with what is in memory, or "".
func (w *Worker) missing(request *contract.StartRequest) string {
	weights := w.weightsOf(request.Model)
	switch {
	case weights == 0:
		return "model"
	case weights != request.Weights:
		return "weights"
	case request.Adapter != "" && (w.adapters[request.Model][request.Adapter] != request.Build || request.Build == 0):
		return "adapter"
	case request.Adapter != "" && w.plantedFault == faultReportsUnloaded: // it reports adapters that it hasn't loaded
		return "adapter"
	}
	return ""
}

// loadedModels returns what is in memory. It returns nil if that is the one model only.
func (w *Worker) loadedModels() []contract.LoadedModel {
	if w.model == "" || len(w.bases) == 0 && len(w.adapters[w.model]) == 0 && len(w.latestSteps) == 0 {
		return nil
	}
	models := []contract.LoadedModel{}
	for _, base := range append([]string{w.model}, maputil.SortedKeys(w.bases)...) {
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

// freeMemoryMB returns the free weight memory; 0 if it is unlimited.
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

// rejectStale returns the reason to reject an order for another incarnation, or one that was superseded by an accepted
// order of its plan; otherwise "".
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

// executeOrder executes an order to load or unload, or returns the reason why it can't. One load runs at a time; a base
// model in use isn't unloaded. Orders are idempotent.
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
		delete(w.sizesMB, w.loading) // the load is cancelled
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
	for _, next := range maputil.SortedKeys(w.bases) { // the next base model becomes the worker's model
		w.model, w.weights = next, w.bases[next]
		delete(w.bases, next)
		break
	}
	w.process.Log.Info("weights unloaded", "model", base)
}

// load loads a base model or an adapter in the background.
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
		case !current: // it was cancelled meanwhile
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
