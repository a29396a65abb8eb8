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
	name := w.AnsweredBy(route)
	if w.Move != "" && int(queue.Hash("move/"+request)%100) < w.Moved {
		name = w.Move
	}
	return s.Resolve(name)
}

// AnsweredBy is the model or adapter that answers a route's requests, except those that were moved.
//
// Example: config.Routes["rare"].AnsweredBy("rare")
func (w Route) AnsweredBy(route string) string {
	if w.Use != "" {
		return w.Use
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
	return Target{Model: a.Base, Weights: s.Models[a.Base].Weights, Adapter: name, Build: a.Build}, ok
}

// Allows reports whether a tenant may name an adapter; models are open to all.
//
// Example: if !config.Allows("rare", tenant) { reject() }
func (s *Config) Allows(name, tenant string) bool {
	a, ok := s.Adapters[name]
	return !ok || len(a.Tenants) == 0 || slices.Contains(a.Tenants, tenant)
}

func (s *Config) checkAdapters(f faults) {
	for _, n := range queue.Keys(s.Models) {
		if s.Models[n].Room < 0 {
			f.add("models."+n+".room", "%d: give what it takes of a worker's memory in MB", s.Models[n].Room)
		}
	}
	for _, n := range queue.Keys(s.Adapters) {
		a, p := s.Adapters[n], "adapters."+n
		f.checkName(p, n)
		if _, ok := s.Models[n]; ok {
			f.add(p, "a model has the same name: give each its own")
		}
		if _, ok := s.Models[a.Base]; !ok {
			f.add(p+".base", "%q is not among models: add it there or name another", a.Base)
		}
		if a.Build == 0 {
			f.add(p+".build", "missing: name the build, from 1")
		}
		if a.Room < 0 {
			f.add(p+".room", "%d: give what it takes of a worker's memory in MB", a.Room)
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

// checkUse notes a route whose target doesn't exist or isn't loaded on the route's workers.
func (s *Config) checkUse(n string, f faults) {
	w, p := s.Routes[n], "ways."+n
	if _, ok := s.Resolve(n); !ok && w.Use == "" {
		f.add(p, "no such model: a route is named by the model it serves")
	}
	for _, x := range [][2]string{{".use", w.Use}, {".move", w.Move}} {
		if _, ok := s.Resolve(x[1]); x[1] != "" && !ok {
			f.add(p+x[0], "%q is neither among models nor among adapters: add it there or name another", x[1])
		}
	}
	for _, v := range []string{w.AnsweredBy(n), w.Move} {
		if a, ok := s.Adapters[v]; ok && !slices.Contains(a.Services, w.Service) {
			f.add(p, "adapter %s isn't held by service %s: add the service to adapters.%s.services", v, w.Service, v)
		}
	}
	if w.Moved < 0 || w.Moved > 100 || w.Moved > 0 && w.Move == "" {
		f.add(p+".moved", "%d: give a percent, and in move where to", w.Moved)
	}
	if w.Move != "" && w.Next != "" {
		f.add(p, "it is handed over and moved at once: end one first")
	}
}
