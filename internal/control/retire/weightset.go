package retire

import (
	"crypto/sha256"
	"fmt"
	"slices"

	"pebbleloom/internal/contract"
	"pebbleloom/internal/control/serviceconfig"
	"pebbleloom/internal/maputil"
)

// fingerprintBytes is how many bytes of the hash a set's fingerprint keeps.
const fingerprintBytes = 8

// AdapterBuild is one adapter of a set.
type AdapterBuild struct {
	Name     string
	Build    uint64
	MemoryMB int
}

// WeightSet is a base model with the adapters that a service's workers have loaded on it.
type WeightSet struct {
	Base     string
	Weights  uint64         // version of the base model's weights
	MemoryMB int            // of the base model
	Adapters []AdapterBuild // sorted by name
}

// NewWeightSet returns the set of a base and some adapters, as the service configuration defines them.
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

// TotalMemoryMB is the memory of a worker that the set uses, in MB.
//
// Example: megabytes := set.TotalMemoryMB()
func (w WeightSet) TotalMemoryMB() int {
	total := w.MemoryMB
	for _, adapter := range w.Adapters {
		total += adapter.MemoryMB
	}
	return total
}

// Fingerprint identifies a set: another version of the base or another build of an adapter is another
// set.
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

// loadedBase returns the set's base as a node has it loaded; nil if it has none or another version of
// it.
func (w WeightSet) loadedBase(loaded []contract.LoadedModel) *contract.LoadedModel {
	for i := range loaded {
		if loaded[i].Model == w.Base && loaded[i].Weights == w.Weights {
			return &loaded[i]
		}
	}
	return nil
}

// missingAdapter is the first adapter that a node lacks in the required build; nil if it has all.
func (w WeightSet) missingAdapter(base *contract.LoadedModel) *AdapterBuild {
	for i, adapter := range w.Adapters {
		if base.Adapters[adapter.Name] != adapter.Build {
			return &w.Adapters[i]
		}
	}
	return nil
}

// dependentAdapters lists a service's adapters on a base, sorted by name.
func dependentAdapters(config *serviceconfig.Config, service, base string) []string {
	var names []string
	for _, name := range maputil.SortedKeys(config.Adapters) {
		if adapter := config.Adapters[name]; adapter.BaseModel == base && slices.Contains(adapter.Services, service) {
			names = append(names, name)
		}
	}
	return names
}

// oldAndNewSets are the sets before and after a retirement.
func (r *Retirement) oldAndNewSets(config *serviceconfig.Config) (oldSet, newSet WeightSet) {
	var replacements []string
	for _, adapter := range r.Replacements {
		replacements = append(replacements, adapter)
	}
	oldAdapters := dependentAdapters(config, r.Service, r.OldBase)
	return NewWeightSet(config, r.OldBase, oldAdapters), NewWeightSet(config, r.NewBase, replacements)
}

// routeMoves maps each of the service's routes on the old base to its new model or adapter.
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
