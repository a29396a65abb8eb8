package retire

import (
	"crypto/sha256"
	"fmt"
	"slices"

	"pebbleloom/internal/contract"
	"pebbleloom/internal/control/serviceconfig"
	"pebbleloom/internal/maputil"
)

// fingerprintBytes is the length of WeightSet.Fingerprint in bytes, before hex encoding.
const fingerprintBytes = 8

// AdapterBuild is one build of an adapter in a WeightSet.
type AdapterBuild struct {
	Name     string
	Build    uint64
	MemoryMB int
}

// WeightSet is a base model together with the adapters that the workers of a service load on it.
type WeightSet struct {
	Base     string
	Weights  uint64         // version of the base model's weights
	MemoryMB int            // memory of the base model alone, without adapters, in MB
	Adapters []AdapterBuild // adapters of the set, sorted by name
}

// NewWeightSet returns the weight set of a base model and the named adapters. Versions, builds and memory
// sizes are those of the service configuration.
//
// Example: set := retire.NewWeightSet(config, "lector-2", []string{"rare-2"})
func NewWeightSet(config *serviceconfig.Config, base string, adapters []string) WeightSet {
	set := WeightSet{Base: base, Weights: config.Models[base].Weights, MemoryMB: config.Models[base].MemoryMB}
	adapters = slices.Clone(adapters)
	slices.Sort(adapters)
	for _, name := range slices.Compact(adapters) {
		adapter := config.Adapters[name]
		set.Adapters = append(set.Adapters, AdapterBuild{Name: name, Build: adapter.Build, MemoryMB: adapter.MemoryMB})
	}
	return set
}

// TotalMemoryMB returns the memory that the base model and all adapters of the set take on a worker, in MB.
//
// Example: megabytes := set.TotalMemoryMB()
func (w WeightSet) TotalMemoryMB() int {
	total := w.MemoryMB
	for _, adapter := range w.Adapters {
		total += adapter.MemoryMB
	}
	return total
}

// Fingerprint returns a hash that identifies the set: it changes with the version of the base model and
// with the build of any adapter.
//
// Example: if proof.Set != set.Fingerprint() { proveAgain() }
func (w WeightSet) Fingerprint() string {
	hash := sha256.New()
	fmt.Fprintf(hash, "%q %d", w.Base, w.Weights)
	for _, adapter := range w.Adapters {
		fmt.Fprintf(hash, " %q %d", adapter.Name, adapter.Build)
	}
	return fmt.Sprintf("%x", hash.Sum(nil)[:fingerprintBytes])
}

// loadedBase returns the entry of the set's base model among a node's loaded models, or nil if the node
// does not have it loaded in the set's version.
func (w WeightSet) loadedBase(loaded []contract.LoadedModel) *contract.LoadedModel {
	for i := range loaded {
		if loaded[i].Model == w.Base && loaded[i].Weights == w.Weights {
			return &loaded[i]
		}
	}
	return nil
}

// missingAdapter returns the first adapter of the set that is not loaded on a base model in the required
// build, or nil if all are.
func (w WeightSet) missingAdapter(base *contract.LoadedModel) *AdapterBuild {
	for i, adapter := range w.Adapters {
		if base.Adapters[adapter.Name] != adapter.Build {
			return &w.Adapters[i]
		}
	}
	return nil
}

// dependentAdapters returns the names of the adapters on a base model that a service's workers load,
// sorted.
func dependentAdapters(config *serviceconfig.Config, service, base string) []string {
	var names []string
	for _, name := range maputil.SortedKeys(config.Adapters) {
		if adapter := config.Adapters[name]; adapter.BaseModel == base && slices.Contains(adapter.Services, service) {
			names = append(names, name)
		}
	}
	return names
}

// oldAndNewSets returns the weight sets that the service's workers have before and after the retirement.
func (r *Retirement) oldAndNewSets(config *serviceconfig.Config) (oldSet, newSet WeightSet) {
	var replacements []string
	for _, adapter := range r.Replacements {
		replacements = append(replacements, adapter)
	}
	oldAdapters := dependentAdapters(config, r.Service, r.OldBase)
	return NewWeightSet(config, r.OldBase, oldAdapters), NewWeightSet(config, r.NewBase, replacements)
}

// routeMoves returns the routes of the service whose target is the old base model or an adapter on it,
// each with its new target; the new target is empty if the adapter has no replacement.
func (r *Retirement) routeMoves(config *serviceconfig.Config) map[string]string {
	moves := map[string]string{}
	for name, route := range config.Routes {
		if route.Service != r.Service {
			continue
		}
		target, ok := config.Resolve(route.DefaultTarget(name))
		if !ok || target.Model != r.OldBase {
			continue
		}
		moves[name] = r.NewBase
		if target.Adapter != "" {
			moves[name] = r.Replacements[target.Adapter]
		}
	}
	return moves
}
