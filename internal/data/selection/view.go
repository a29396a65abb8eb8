package selection

import (
	"slices"
	"time"

	"pebbleloom/internal/control/routingconfig"
	"pebbleloom/internal/fleet"
	"pebbleloom/internal/queue"
)

// seat is one worker of a service, with what this edge knows of it.
type seat struct {
	w     *fleet.Worker
	st    *stat
	hash  uint64
	index uint32 // in the list of all workers
}

// group is a service's workers and the stores that keep parts.
type group struct {
	svc     *routingconfig.Service
	seats   []seat
	at      map[string]int // by the worker's ID
	stores  []store
	models  map[string]*serving
	rolling []bool // set aside while they are brought to newer weights
}

type store struct {
	svc *routingconfig.Service
	st  *stat
}

// serving says which version of a model each seat serves; 0: none.
type serving struct {
	by     []uint64
	all    []uint64 // the versions, newest first
	listed bool     // some worker tells its versions
}

// view is a snapshot laid out by service.
type view struct {
	snap   *fleet.Snapshot
	list   uint64 // the number of its list of workers
	groups map[string]*group
	sizes  int // of prompts, that a rank is parted into
}

const (
	ranks     = 10 // that a worker tells apart
	mostSizes = 3
)

// rank is 0 to 9, 0 first: by the plan's rank, and within it the shorter prompt first, as far as
// the plan's ranks leave room for it. So most are in time where not all can be.
func (v *view) rank(urgency, size int) int {
	return min(urgency*v.sizes+min(size, v.sizes-1), ranks-1)
}

// partRanks finds how far each of the plan's ranks can be parted.
func partRanks(p *routingconfig.Plan) int {
	top := 0
	if p != nil {
		for i := range p.Routes {
			top = max(top, p.Routes[i].Priority)
		}
		for i := range p.Tenants {
			top = max(top, p.Tenants[i].Priority)
		}
	}
	return min(max(ranks/(top+1), 1), mostSizes)
}

const maxModels = 64 // downstreams name models as they like

// lay lays a snapshot out; what is known of workers goes on under their IDs.
func (t *table) lay(s *fleet.Snapshot) *view {
	if t.v != nil && t.v.snap == s {
		return t.v
	}
	v := &view{snap: s, list: t.listOf(s.Workers), groups: map[string]*group{}, sizes: partRanks(s.Plan)}
	stats := make(map[string]*stat, len(s.Workers))
	habits := map[string]*habit{}
	stat := func(id, service string) *stat {
		x := t.stats[id]
		if x == nil {
			x = &stat{}
		}
		if habits[service] == nil {
			if habits[service] = t.habits[service]; habits[service] == nil {
				habits[service] = newHabit(t.b)
			}
		}
		x.h = habits[service]
		stats[id] = x
		return x
	}
	var stores []store
	if s.Plan != nil {
		for i := range s.Plan.Services {
			x := &s.Plan.Services[i]
			if x.Store != nil {
				stores = append(stores, store{x, stat(x.Name, x.Name)})
			} else {
				v.groups[x.Name] = &group{svc: x, at: map[string]int{}, models: map[string]*serving{}}
			}
		}
	}
	for i := range s.Workers {
		w := &s.Workers[i]
		if g := v.groups[w.Service]; g != nil {
			g.at[w.ID] = len(g.seats)
			g.seats = append(g.seats, seat{w, stat(w.ID, w.Service), queue.Hash(w.ID), uint32(i)})
		}
	}
	for _, g := range v.groups {
		g.stores = stores
		g.rolling = make([]bool, len(g.seats))
		if p := s.Placements[g.svc.Name]; p != nil {
			for i, x := range g.seats {
				g.rolling[i] = slices.Contains(p.Rolling, x.w.ID)
			}
		}
	}
	t.stats, t.habits, t.v = stats, habits, v
	return v
}

// model is the one that a request means: where it names none and the service has one, that.
func (g *group) model(r *Request) string {
	if e := g.svc.Engine; r.Model == "" && e != nil && len(e.Models) == 1 {
		return e.Models[0]
	}
	return r.Model
}

// serve lists which version of a model each worker serves.
func (g *group) serve(model string) *serving {
	if x := g.models[model]; x != nil {
		return x
	}
	x := &serving{by: make([]uint64, len(g.seats))}
	for i, s := range g.seats {
		n, ok := s.w.Weights[model]
		x.by[i] = n
		x.listed = x.listed || ok
		if !slices.Contains(x.all, n) {
			x.all = append(x.all, n)
		}
	}
	slices.SortFunc(x.all, func(a, b uint64) int { return -cmpU(a, b) })
	if len(g.models) < maxModels {
		g.models[model] = x
	}
	return x
}

func cmpU(a, b uint64) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// olderAllowed tells whether a request may still begin on weights older than the named ones. Who
// has just begun isn't in touch yet, and the bound doesn't bind it. After that a version that was
// named before this process began has its bound running already, half of it by the agent's word:
// then the older one is picked only while nobody serves the newer.
func (t *table) olderAllowed(s *fleet.Snapshot, model string, m *serving, now time.Duration) bool {
	named := s.Named[model]
	if named == 0 {
		return true
	}
	at, ok := s.NamedAt[model]
	if !ok || now < t.free {
		return true
	}
	if at-t.born < t.b.Heal(inheritPart) {
		if slices.ContainsFunc(m.all, func(v uint64) bool { return v >= named }) {
			return false
		}
	}
	return now-at < t.b.Weights(olderPart)
}
