package callerproxy

import (
	"pebbleloom/api/caller"
	"pebbleloom/internal/control/serviceconfig"
	"pebbleloom/internal/data/prefix"
	"pebbleloom/internal/data/updatestream"
	"pebbleloom/internal/wire"
)

// weightsFor returns the model, adapter and build that answer a request under a configuration. If no route
// leads there, it is the model that the request names.
func targetFor(snapshot *updatestream.Snapshot, body *caller.Ask) serviceconfig.Target {
	if target, ok := snapshot.Config.Target(body.Model, body.RequestID); ok {
		return target
	}
	return serviceconfig.Target{Model: body.Model}
}

// viewForTarget returns a worker with the version of the target's base model that it has loaded. It is nil if
// the worker hasn't loaded the base model, or not that build of the adapter, and so can't serve the target.
func workerForTarget(worker *wire.Worker, target serviceconfig.Target) *wire.Worker {
	if len(worker.LoadedModels) == 0 {
		if target.Adapter != "" || worker.Model != "" && worker.Model != target.Model {
			return nil
		}
		return worker
	}
	for _, loaded := range worker.LoadedModels {
		if !serves(loaded, target) {
			continue
		}
		if loaded.Model == worker.Model && loaded.Weights == worker.Weights {
			return worker
		}
		return withLoadedModel(worker, loaded)
	}
	return nil
}

// serves reports whether a loaded model answers the requests of a target.
func serves(loaded *wire.LoadedModel, target serviceconfig.Target) bool {
	if loaded.Model != target.Model {
		return false
	}
	return target.Adapter == "" || target.Build != 0 && loaded.Adapters[target.Adapter] == target.Build
}

// withLoadedModel copies a worker, since others share it, with one of its loaded models as its model.
func withLoadedModel(worker *wire.Worker, loaded *wire.LoadedModel) *wire.Worker {
	return &wire.Worker{
		Name:         worker.Name,
		Addr:         worker.Addr,
		Service:      worker.Service,
		Model:        loaded.Model,
		Zone:         worker.Zone,
		Incarnation:  worker.Incarnation,
		State:        worker.State,
		Weights:      loaded.Weights,
		Slots:        worker.Slots,
		Busy:         worker.Busy,
		Queued:       worker.Queued,
		Kind:         worker.Kind,
		KvCapacity:   worker.KvCapacity,
		Successes:    worker.Successes,
		Failures:     worker.Failures,
		ClockNs:      worker.ClockNs,
		ClockReadAt:  worker.ClockReadAt,
		LoadedModels: worker.LoadedModels,
	}
}

// prefixChain returns the entries of a prompt under one version of a target's weights.
func prefixChain(snapshot *updatestream.Snapshot, target serviceconfig.Target, tenant string, weights uint64, parts []string) []prefix.Entry {
	model := prefix.QualifiedModel(target.Model, target.Adapter, target.Build)
	return prefix.Chain(snapshot.Config.CacheDomain(tenant), model, weights, parts)
}

// prefixEntries returns the prompt's entries under each version of the weights on which an attempt may still
// start, by version. Which versions those are is decided anew every time. Entries that were computed under
// the same configuration (known) are used again, because hashing a long prompt takes time.
func (req *request) prefixEntries(reusable map[uint64][]prefix.Entry) map[uint64][]prefix.Entry {
	snapshot, body := req.snapshot, req.body
	entries := map[uint64][]prefix.Entry{}
	target := targetFor(snapshot, body)
	history := snapshot.Weights[target.Model]
	service := snapshot.Config.Routes[body.Model].ServiceFor(body.RequestID)
	for _, worker := range snapshot.Workers {
		if worker.Service != service || worker.State == updatestream.WorkerGone {
			continue
		}
		workerView := workerForTarget(worker, target)
		if workerView == nil {
			continue
		}
		weights := workerView.Weights
		if _, done := entries[weights]; done {
			continue
		}
		if weights != history.Version && req.proxy.supersededTimeLeft(history, weights) <= 0 {
			continue
		}
		if chain, ok := reusable[weights]; ok {
			entries[weights] = chain
			continue
		}
		entries[weights] = prefixChain(snapshot, target, req.tenant, weights, body.Parts)
	}
	return entries
}

func entryKeys(entries map[uint64][]prefix.Entry) (keys []prefix.Key) {
	for _, chain := range entries {
		for _, entry := range chain {
			keys = append(keys, entry.Key)
		}
	}
	return keys
}
