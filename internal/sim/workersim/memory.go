package workersim

import (
	"fmt"
	"strings"
	"time"

	"pebbleloom/internal/contract"
	"pebbleloom/internal/errs"
	"pebbleloom/internal/maputil"
)

// memory describes the accelerator memory for weights: the loaded base models and their adapters. The first base model
// is in Worker.model and Worker.weights, further ones are in bases. Worker.mu protects all fields.
type memory struct {
	totalMB         int                          // size of the weight memory; 0: unlimited
	bases           map[string]uint64            // weights version of each loaded base model but the first, by model name
	adapters        map[string]map[string]uint64 // build number by base model and adapter
	sizesMB         map[string]int               // memory use in MB by model name, "base" or "base/adapter"
	busy            map[string]int               // number of running and queued requests by base model
	loading         string                       // key in sizesMB of the load in progress; empty: none
	latestSteps     map[string]uint64            // highest step of an accepted order, by plan
	baseLoadTime    time.Duration
	adapterLoadTime time.Duration
	defaultBaseMB   int // memory use, in MB, of the base model that is loaded at the start of the worker
}

// loadInitialModels sets the models in memory at the start of the worker. With the option "empty=yes" there are none;
// "adapters=a@1,b@2" lists adapters of the base model with their builds. It fails with errs.BadInput if the option
// adapters is malformed.
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
			return errs.New(errs.BadInput, "option adapters: %q isn't of the form name@build", option)
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

// weightsOf returns the weights version of a base model; 0 if the model isn't loaded.
func (w *Worker) weightsOf(base string) uint64 {
	if base == w.model && base != "" {
		return w.weights
	}
	return w.bases[base]
}

// missing returns the reason why a request can't run with the loaded models and adapters, or "" if it can.
func (w *Worker) missing(request *contract.StartRequest) string {
	weights := w.weightsOf(request.Model)
	switch {
	case weights == 0:
		return "model"
	case weights != request.Weights:
		return "weights"
	case request.Adapter != "" && (w.adapters[request.Model][request.Adapter] != request.Build || request.Build == 0):
		return "adapter"
	case request.Adapter != "" && w.injectedFault == faultReportsUnloaded: // the worker reports the adapter as loaded but rejects requests for it
		return "adapter"
	}
	return ""
}

// loadedModels returns the loaded base models and adapters. It returns nil if no model is loaded, or if there is only
// the first base model without adapters and the worker has accepted no load or unload orders.
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

// freeMemoryMB returns the free memory for weights; 0 if the memory is unlimited.
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

// rejectStale returns the reason to reject a load or unload order that is for another incarnation of the worker, or
// that has a lower step than an accepted order of its plan. It returns "" for any other order; if that is a load or
// unload order, it records the step as the plan's highest.
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

// executeOrder executes a load or unload order, or returns the reason why it can't be executed. Only one load runs at
// a time, and a base model with running or queued requests isn't unloaded. Orders are idempotent.
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
		delete(w.sizesMB, w.loading) // cancel the load in progress
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
	for _, next := range maputil.SortedKeys(w.bases) { // the first of the other base models becomes the worker's model
		w.model, w.weights = next, w.bases[next]
		delete(w.bases, next)
		break
	}
	w.process.Log.Info("weights unloaded", "model", base)
}

// load starts loading a base model or an adapter in the background.
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
		case !current: // an unload order cancelled the load
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
