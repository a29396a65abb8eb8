package serviceconfig

import (
	"slices"

	"pebbleloom/internal/queue"
)

// Target is the set of weights that answers one request.
type Target struct {
	Model   string // the base model
	Weights uint64 // their version in force
	Adapter string // empty: the base alone
	Build   uint64
}

// Target returns the set of weights for one request by the name of its route. A request ID always gets
// the same one under one configuration.
//
// Example: t, ok := s.Target("rare", "r-17")
func (s *Config) Target(route, request string) (Target, bool) {
	w, ok := s.Routes[route]
	if !ok {
		return Target{}, false
	}
	name := w.DefaultTarget(route)
	if w.MoveTo != "" && int(queue.Hash("move/"+request)%100) < w.MovedPercent {
		name = w.MoveTo
	}
	return s.Resolve(name)
}

// DefaultTarget is the model or adapter that answers a route's requests, except those that were moved.
//
// Example: config.Routes["rare"].DefaultTarget("rare")
func (w Route) DefaultTarget(route string) string {
	if w.ServedBy != "" {
		return w.ServedBy
	}
	return route
}

// Resolve returns the set of weights that the name of a model or an adapter stands for.
//
// Example: target, ok := config.Resolve("rare")
func (s *Config) Resolve(name string) (Target, bool) {
	if m, ok := s.Models[name]; ok {
		return Target{Model: name, Weights: m.Weights}, true
	}
	a, ok := s.Adapters[name]
	return Target{Model: a.BaseModel, Weights: s.Models[a.BaseModel].Weights, Adapter: name, Build: a.Build}, ok
}

// Allows reports whether a tenant may name an adapter; models are open to all.
//
// Example: if !config.Allows("rare", tenant) { reject() }
func (s *Config) Allows(name, tenant string) bool {
	a, ok := s.Adapters[name]
	return !ok || len(a.Tenants) == 0 || slices.Contains(a.Tenants, tenant)
}

func (s *Config) checkAdapters(f faultRecorder) {
	for _, n := range queue.Keys(s.Models) {
		if s.Models[n].MemoryMB < 0 {
			f.add("models."+n+".room", "%d: give what it takes of a worker's memory in MB", s.Models[n].MemoryMB)
		}
	}
	for _, n := range queue.Keys(s.Adapters) {
		a, p := s.Adapters[n], "adapters."+n
		f.checkName(p, n)
		if _, ok := s.Models[n]; ok {
			f.add(p, "a model has the same name: give each its own")
		}
		if _, ok := s.Models[a.BaseModel]; !ok {
			f.add(p+".base", "%q is not among models: add it there or name another", a.BaseModel)
		}
		if a.Build == 0 {
			f.add(p+".build", "missing: name the build, from 1")
		}
		if a.MemoryMB < 0 {
			f.add(p+".room", "%d: give what it takes of a worker's memory in MB", a.MemoryMB)
		}
		for i, v := range a.Services {
			if _, ok := s.Services[v]; !ok {
				f.add(p+".services", "%q is not among services: add it there or name another", v)
			}
			if slices.Contains(a.Services[:i], v) {
				f.add(p+".services", "%q is named twice", v)
			}
		}
		for _, v := range a.Tenants {
			if _, ok := s.Tenants[v]; !ok {
				f.add(p+".tenants", "%q is not among tenants: add it there or name another", v)
			}
		}
	}
}

// checkTargets notes a route whose target doesn't exist or isn't loaded on the route's workers.
func (s *Config) checkTargets(n string, f faultRecorder) {
	w, p := s.Routes[n], "ways."+n
	if _, ok := s.Resolve(n); !ok && w.ServedBy == "" {
		f.add(p, "no such model: a route is named by the model it serves")
	}
	for _, x := range [][2]string{{".use", w.ServedBy}, {".move", w.MoveTo}} {
		if _, ok := s.Resolve(x[1]); x[1] != "" && !ok {
			f.add(p+x[0], "%q is neither among models nor among adapters: add it there or name another", x[1])
		}
	}
	for _, v := range []string{w.DefaultTarget(n), w.MoveTo} {
		if a, ok := s.Adapters[v]; ok && !slices.Contains(a.Services, w.Service) {
			f.add(p, "adapter %s isn't held by service %s: add the service to adapters.%s.services", v, w.Service, v)
		}
	}
	if w.MovedPercent < 0 || w.MovedPercent > 100 || w.MovedPercent > 0 && w.MoveTo == "" {
		f.add(p+".moved", "%d: give a percent, and in move where to", w.MovedPercent)
	}
	if w.MoveTo != "" && w.HandoverTo != "" {
		f.add(p, "it is handed over and moved at once: end one first")
	}
}
