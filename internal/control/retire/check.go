package retire

import (
	"crypto/sha256"
	"fmt"
	"slices"

	"pebbleloom/internal/contract"
	"pebbleloom/internal/control/serviceconfig"
	"pebbleloom/internal/errs"
	"pebbleloom/internal/queue"
)

// AdapterBuild is one adapter of a set.
type AdapterBuild struct {
	Name     string
	Build    uint64
	MemoryMB int
}

// WeightSet is a base model with the adapters that a service's workers hold on it.
type WeightSet struct {
	Base     string
	Weights  uint64
	MemoryMB int
	Adapters []AdapterBuild // by name
}

// NewWeightSet returns the set of a base and some adapters, as the service configuration defines them.
//
// Example: set := retire.NewWeightSet(config, "lector-2", []string{"rare-2"})
func NewWeightSet(s *serviceconfig.Config, base string, adapters []string) WeightSet {
	x := WeightSet{Base: base, Weights: s.Models[base].Weights, MemoryMB: s.Models[base].MemoryMB}
	adapters = slices.Clone(adapters)
	slices.Sort(adapters)
	for _, n := range slices.Compact(adapters) {
		x.Adapters = append(x.Adapters, AdapterBuild{n, s.Adapters[n].Build, s.Adapters[n].MemoryMB})
	}
	return x
}

// TotalMemoryMB is the memory of a worker that a set takes, in MB.
//
// Example: mb := set.TotalMemoryMB()
func (x WeightSet) TotalMemoryMB() int {
	n := x.MemoryMB
	for _, a := range x.Adapters {
		n += a.MemoryMB
	}
	return n
}

// Fingerprint identifies a set: another version of the base or another build of an adapter is another
// set.
//
// Example: if proof.Set != set.Fingerprint() { proveAgain() }
func (x WeightSet) Fingerprint() string {
	h := sha256.New()
	fmt.Fprintf(h, "%q %d", x.Base, x.Weights)
	for _, a := range x.Adapters {
		fmt.Fprintf(h, " %q %d", a.Name, a.Build)
	}
	return fmt.Sprintf("%x", h.Sum(nil)[:8])
}

// loadedBase returns the set's base as a node has it loaded; nil if it has none or another version of
// it.
func (x WeightSet) loadedBase(l []contract.LoadedModel) *contract.LoadedModel {
	for i := range l {
		if l[i].Model == x.Base && l[i].Weights == x.Weights {
			return &l[i]
		}
	}
	return nil
}

// missingAdapter is the first adapter that a node lacks in the required build.
func (x WeightSet) missingAdapter(l *contract.LoadedModel) *AdapterBuild {
	for i, a := range x.Adapters {
		if l.Adapters[a.Name] != a.Build {
			return &x.Adapters[i]
		}
	}
	return nil
}

// dependentAdapters lists a service's adapters on a base.
func dependentAdapters(s *serviceconfig.Config, service, base string) []string {
	var l []string
	for _, n := range queue.Keys(s.Adapters) {
		if a := s.Adapters[n]; a.BaseModel == base && slices.Contains(a.Services, service) {
			l = append(l, n)
		}
	}
	return l
}

// oldAndNewSets are the sets before and after a retirement.
func (r *Retirement) oldAndNewSets(s *serviceconfig.Config) (was, next WeightSet) {
	var l []string
	for _, n := range r.Replacements {
		l = append(l, n)
	}
	return NewWeightSet(s, r.OldBase, dependentAdapters(s, r.Service, r.OldBase)), NewWeightSet(s, r.NewBase, l)
}

// routeMoves maps each of the service's routes on the old base to its new model or adapter.
func (r *Retirement) routeMoves(s *serviceconfig.Config) map[string]string {
	m := map[string]string{}
	for n, v := range s.Routes {
		if v.Service != r.Service {
			continue
		}
		use := v.DefaultTarget(n)
		if t, ok := s.Resolve(use); ok && t.Model == r.OldBase {
			if m[n] = r.NewBase; t.Adapter != "" {
				m[n] = r.Replacements[t.Adapter]
			}
		}
	}
	return m
}

// faultFunc notes a fault of a field.
type faultFunc func(field, format string, args ...any)

// ValidateConfig notes every fault of a retirement against the service configuration; each names the item
// and the remedy, before anything moves.
//
// Example: r.ValidateConfig(config, &b)
func (r *Retirement) ValidateConfig(s *serviceconfig.Config, b *errs.Batch) {
	bad := func(f, format string, a ...any) { b.Addf(errs.BadInput, "%s: %s", f, fmt.Sprintf(format, a...)) }
	v, ok := s.Services[r.Service]
	if !ok {
		bad("service", "%q is not among services: name one that is", r.Service)
		return
	}
	for _, x := range [][2]string{{"from", r.OldBase}, {"to", r.NewBase}} {
		if _, ok := s.Models[x[1]]; !ok {
			bad(x[0], "%q is not among models: add it there or name another", x[1])
		}
	}
	if v.Model != r.OldBase {
		bad("from", "service %s has base model %s: name that one", r.Service, v.Model)
	}
	for _, n := range queue.Keys(s.Services) {
		if x := s.Services[n]; n != r.Service && (x.Model == r.OldBase || x.Model == r.NewBase) {
			bad("service", "service %s has base model %s as well: hand it over first, so that one retirement holds for all its nodes", n, x.Model)
		}
	}
	r.validateReplacements(s, bad)
	r.validateRoutes(s, bad)
	r.validateMemory(s, bad)
}

// validateReplacements notes every adapter on the old base without a fitting replacement on the new one.
func (r *Retirement) validateReplacements(s *serviceconfig.Config, bad faultFunc) {
	for _, n := range dependentAdapters(s, r.Service, r.OldBase) {
		if r.Replacements[n] == "" {
			bad("replace."+n, "adapter %s stands on %s and has no replacement: name the adapter that was built for %s", n, r.OldBase, r.NewBase)
		}
	}
	for _, n := range queue.Keys(s.Adapters) {
		if a := s.Adapters[n]; a.BaseModel == r.OldBase && !slices.Contains(a.Services, r.Service) {
			bad("replace."+n, "adapter %s stands on %s and is held by no worker of %s: add the service to adapters.%s.services, or take the adapter out", n, r.OldBase, r.Service, n)
		}
	}
	taken := map[string]string{}
	for _, n := range queue.Keys(r.Replacements) {
		f := "replace." + n
		old, ok := s.Adapters[n]
		if !ok || old.BaseModel != r.OldBase {
			bad(f, "%s is no adapter on %s: leave it out", n, r.OldBase)
		}
		x, ok := s.Adapters[r.Replacements[n]]
		switch {
		case r.Replacements[n] == "":
		case !ok:
			bad(f, "%q is not among adapters: add it there or name another", r.Replacements[n])
		case x.BaseModel != r.NewBase:
			bad(f, "%s was built for %s: name one that was built for %s", r.Replacements[n], x.BaseModel, r.NewBase)
		case !slices.Contains(x.Services, r.Service):
			bad(f, "%s isn't held by service %s: add it to adapters.%s.services", r.Replacements[n], r.Service, r.Replacements[n])
		case taken[r.Replacements[n]] != "":
			bad(f, "%s replaces %s already: name one for each", r.Replacements[n], taken[r.Replacements[n]])
		}
		for _, t := range queue.Keys(s.Tenants) {
			if ok && s.Allows(n, t) && !s.Allows(r.Replacements[n], t) {
				bad(f, "%s isn't for tenant %s, which %s is for: add the tenant to adapters.%s.tenants", r.Replacements[n], t, n, r.Replacements[n])
			}
		}
		taken[r.Replacements[n]] = n
	}
}

// validateMemory notes missing memory sizes, and workers without room for both sets.
func (r *Retirement) validateMemory(s *serviceconfig.Config, bad faultFunc) {
	was, next := r.oldAndNewSets(s)
	for _, x := range []WeightSet{was, next} {
		if x.MemoryMB == 0 {
			bad("models."+x.Base+".room", "missing: say what it takes of a worker's memory, in MB")
		}
		for _, a := range x.Adapters {
			if a.MemoryMB == 0 && a.Name != "" {
				bad("adapters."+a.Name+".room", "missing: say what it takes of a worker's memory, in MB")
			}
		}
	}
	if need, have := was.TotalMemoryMB()+next.TotalMemoryMB(), s.Services[r.Service].WorkerMemoryMB; have < need {
		bad("services."+r.Service+".room", "%d MB a worker, and both sets take %d: give workers with that room, then say so there", have, need)
	}
}

// validateRoutes notes every route that would be left without a model, including those of other services.
func (r *Retirement) validateRoutes(s *serviceconfig.Config, bad faultFunc) {
	m := r.routeMoves(s)
	for _, n := range queue.Keys(s.Routes) {
		v := s.Routes[n]
		if to, ok := m[n]; ok && to == "" {
			bad("ways."+n, "it would be left with no model: %s answers it and has no replacement", v.DefaultTarget(n))
		}
		t, ok := s.Resolve(v.DefaultTarget(n))
		if ok && t.Model == r.OldBase && v.Service != r.Service {
			bad("ways."+n, "it is answered by %s at service %s: lead it elsewhere first", v.DefaultTarget(n), v.Service)
		}
		if _, mine := m[n]; mine && v.HandoverTo != "" {
			bad("ways."+n, "it is being handed over to service %s: let that end first", v.HandoverTo)
		}
	}
}
