package callerproxy

import (
	"pebbleloom/api/caller"
	"pebbleloom/internal/control/serviceconfig"
	"pebbleloom/internal/data/prefix"
	"pebbleloom/internal/data/updatestream"
	"pebbleloom/internal/wire"
)

// targetFor returns the base model, adapter and adapter build that serve a request under a snapshot's configuration.
// Without a matching route, it is the model named in the request.
func targetFor(snapshot *updatestream.Snapshot, body *caller.Ask) serviceconfig.Target {
	if target, ok := snapshot.Config.Target(body.Model, body.RequestID); ok {
		return target
	}
	return serviceconfig.Target{Model: body.Model}
}

// workerForTarget returns a worker as it applies to a target: its model and weights are the loaded version of the
// target's base model. It returns nil if the worker cannot serve the target, because it has not loaded the base model
// or that build of the adapter.
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

// serves reports whether a loaded model, with its adapters, can serve the requests of a target.
func serves(loaded *wire.LoadedModel, target serviceconfig.Target) bool {
	if loaded.Model != target.Model {
		return false
	}
	return target.Adapter == "" || target.Build != 0 && loaded.Adapters[target.Adapter] == target.Build
}

// withLoadedModel returns a copy of a worker with one of its loaded models as its model. The original is shared and
// must not be changed.
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

// prefixChain returns a prompt's prefix entries, shortest first, for a tenant's cache domain, a target and one version
// of the target's weights.
func prefixChain(snapshot *updatestream.Snapshot, target serviceconfig.Target, tenant string, weights uint64, parts []string) []prefix.Entry {
	model := prefix.QualifiedModel(target.Model, target.Adapter, target.Build)
	return prefix.Chain(snapshot.Config.CacheDomain(tenant), model, weights, parts)
}

// prefixEntries returns the prompt's prefix entries by version of the weights, for every version on which an attempt
// may still start. The set of versions is determined anew by each call. Entries in reusable, computed earlier under
// the same configuration, are not computed again, because hashing a long prompt takes time.
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

// entryKeys returns the keys of the prefix entries of all versions of the weights.
func entryKeys(entries map[uint64][]prefix.Entry) (keys []prefix.Key) {
	for _, chain := range entries {
		for _, entry := range chain {
			keys = append(keys, entry.Key)
		}
	}
	return keys
}
