package selection

import (
	"cmp"
	"slices"
	"time"

	"pebbleloom/internal/control/routingconfig"
	"pebbleloom/internal/fleet"
	"pebbleloom/internal/queue"
)

// candidate is one worker of a service, with what this edge machine knows of it.
type candidate struct {
	worker *fleet.Worker
	stats  *workerStats
	hash   uint64
	index  uint32 // in the list of all workers
}

// serviceGroup is a service's workers and the stores that cache parts.
type serviceGroup struct {
	service    *routingconfig.Service
	candidates []candidate
	index      map[string]int // by the worker's ID
	stores     []storeCandidate
	models     map[string]*modelVersions
	rolling    []bool // set aside during a rollout of weights
}

type storeCandidate struct {
	service *routingconfig.Service
	stats   *workerStats
}

// modelVersions holds which version of a model each candidate serves; 0: none.
type modelVersions struct {
	versions []uint64
	distinct []uint64 // the versions, newest first
	reported bool     // some worker reports its versions
}

// layout is a snapshot laid out by service.
type layout struct {
	snapshot       *fleet.Snapshot
	workerListHash uint64 // the number of its list of workers
	groups         map[string]*serviceGroup
	sizeClasses    int // classes of prompt size per rank
}

const (
	maxPriorityLevels = 10 // that a worker distinguishes
	maxSizeClasses    = 3
)

// priorityLevel is 0 to 9, 0 first: by the plan's priority, and within it the shorter prompt first, as far as
// the plan's priorities leave room. So most are in time when not all can be.
func (v *layout) priorityLevel(urgency, size int) int {
	return min(urgency*v.sizeClasses+min(size, v.sizeClasses-1), maxPriorityLevels-1)
}

// sizeClassesOf is into how many classes each of the plan's priorities can be divided.
func sizeClassesOf(p *routingconfig.Plan) int {
	top := 0
	if p != nil {
		for i := range p.Routes {
			top = max(top, p.Routes[i].Priority)
		}
		for i := range p.Tenants {
			top = max(top, p.Tenants[i].Priority)
		}
	}
	return min(max(maxPriorityLevels/(top+1), 1), maxSizeClasses)
}

const maxModels = 64 // clients may name any model

// layoutFor lays a snapshot out by service; statistics of workers are kept by ID.
func (t *table) layoutFor(s *fleet.Snapshot) *layout {
	if t.layout != nil && t.layout.snapshot == s {
		return t.layout
	}
	v := &layout{snapshot: s, workerListHash: t.workerListHash(s.Workers), groups: map[string]*serviceGroup{}, sizeClasses: sizeClassesOf(s.Plan)}
	stats := make(map[string]*workerStats, len(s.Workers))
	habits := map[string]*serviceStats{}
	stat := func(id, service string) *workerStats {
		x := t.workers[id]
		if x == nil {
			x = &workerStats{}
		}
		if habits[service] == nil {
			if habits[service] = t.services[service]; habits[service] == nil {
				habits[service] = newServiceStats(t.bounds)
			}
		}
		x.service = habits[service]
		stats[id] = x
		return x
	}
	var stores []storeCandidate
	if s.Plan != nil {
		for i := range s.Plan.Services {
			x := &s.Plan.Services[i]
			if x.Store != nil {
				stores = append(stores, storeCandidate{x, stat(x.Name, x.Name)})
			} else {
				v.groups[x.Name] = &serviceGroup{service: x, index: map[string]int{}, models: map[string]*modelVersions{}}
			}
		}
	}
	for i := range s.Workers {
		w := &s.Workers[i]
		if g := v.groups[w.Service]; g != nil {
			g.index[w.ID] = len(g.candidates)
			g.candidates = append(g.candidates, candidate{w, stat(w.ID, w.Service), queue.Hash(w.ID), uint32(i)})
		}
	}
	for _, g := range v.groups {
		g.stores = stores
		g.rolling = make([]bool, len(g.candidates))
		if p := s.Placements[g.service.Name]; p != nil {
			for i, x := range g.candidates {
				g.rolling[i] = slices.Contains(p.Cordoned, x.worker.ID)
			}
		}
	}
	t.workers, t.services, t.layout = stats, habits, v
	return v
}

// modelOf is the model of a request: the service's only one if the request names none.
func (g *serviceGroup) modelOf(r *Request) string {
	if e := g.service.Engine; r.Model == "" && e != nil && len(e.Models) == 1 {
		return e.Models[0]
	}
	return r.Model
}

// versionsOf lists which version of a model each worker serves.
func (g *serviceGroup) versionsOf(model string) *modelVersions {
	if x := g.models[model]; x != nil {
		return x
	}
	x := &modelVersions{versions: make([]uint64, len(g.candidates))}
	for i, s := range g.candidates {
		n, ok := s.worker.Weights[model]
		x.versions[i] = n
		x.reported = x.reported || ok
		if !slices.Contains(x.distinct, n) {
			x.distinct = append(x.distinct, n)
		}
	}
	slices.SortFunc(x.distinct, func(a, b uint64) int { return cmp.Compare(b, a) }) // newest first
	if len(g.models) < maxModels {
		g.models[model] = x
	}
	return x
}

// oldestAllowed is the oldest version on which a request may still start. Each version that was named
// ends the use of those before it once its bound has run out, also where another was named meanwhile.
func (t *table) oldestAllowed(s *fleet.Snapshot, model string, m *modelVersions, now time.Duration) (oldest uint64) {
	if !t.olderAllowed(s, model, m, now) {
		return s.Named[model]
	}
	for _, v := range s.Superseding[model] {
		if now >= t.unboundUntil && now-v.At >= t.bounds.Weights(olderPart) {
			oldest = max(oldest, v.Version)
		}
	}
	return oldest
}

// olderAllowed reports whether a request may still start on weights older than the named ones. A
// process that has just started isn't in contact yet, and the bound doesn't apply to it. After that,
// the bound of a version that was named before this process started is running already, half of it as
// the agent assumes: then the older version is selected only while no worker serves the newer one.
func (t *table) olderAllowed(s *fleet.Snapshot, model string, m *modelVersions, now time.Duration) bool {
	named := s.Named[model]
	if named == 0 {
		return true
	}
	at, ok := s.NamedAt[model]
	if !ok || now < t.unboundUntil {
		return true
	}
	if at-t.startedAt < t.bounds.Heal(inheritPart) {
		if slices.ContainsFunc(m.distinct, func(v uint64) bool { return v >= named }) {
			return false
		}
	}
	return now-at < t.bounds.Weights(olderPart)
}
