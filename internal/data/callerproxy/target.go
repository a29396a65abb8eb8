package callerproxy

import (
	"pebbleloom/api/caller"
	"pebbleloom/internal/control/serviceconfig"
	"pebbleloom/internal/data/prefix"
	"pebbleloom/internal/data/updatestream"
	"pebbleloom/internal/wire"
)

// weightsFor is the set of weights that answers a request under a configuration; where no route leads there,
// what was asked for.
func weightsFor(s *updatestream.Snapshot, q *caller.Ask) serviceconfig.Target {
	if t, ok := s.Config.Target(q.Model, q.RequestID); ok {
		return t
	}
	return serviceconfig.Target{Model: q.Model}
}

// viewForTarget shows a worker as it stands to a set of weights: with the version that it has of the base.
// Nil: it hasn't the base, or not that build of the adapter, so it gets no such request.
func viewForTarget(w *wire.Worker, t serviceconfig.Target) *wire.Worker {
	if len(w.LoadedModels) == 0 {
		if t.Adapter != "" || w.Model != "" && w.Model != t.Model {
			return nil
		}
		return w
	}
	for _, l := range w.LoadedModels {
		if l.Model != t.Model || t.Adapter != "" && (t.Build == 0 || l.Adapters[t.Adapter] != t.Build) {
			continue
		}
		if l.Model == w.Model && l.Weights == w.Weights {
			return w
		}
		return &wire.Worker{Name: w.Name, Addr: w.Addr, Service: w.Service, Model: l.Model, Zone: w.Zone, Incarnation: w.Incarnation,
			State: w.State, Weights: l.Weights, Slots: w.Slots, Busy: w.Busy, Queued: w.Queued, Kind: w.Kind, KvCapacity: w.KvCapacity, Successes: w.Successes, Failures: w.Failures,
			ClockNs: w.ClockNs, ClockReadAt: w.ClockReadAt, LoadedModels: w.LoadedModels}
	}
	return nil
}

// prefixChain names a prompt's prefixes under one set of weights.
func prefixChain(s *updatestream.Snapshot, t serviceconfig.Target, tenant string, weights uint64, parts []string) []prefix.Entry {
	return prefix.Chain(s.Config.CacheDomain(tenant), prefix.QualifiedModel(t.Model, t.Adapter, t.Build), weights, parts)
}
