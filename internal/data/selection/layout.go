package selection

import (
	"slices"

	"pebbleloom/internal/control/routingconfig"
	"pebbleloom/internal/fleet"
	"pebbleloom/internal/rendezvous"
)

// candidate is one worker of a service, with what this edge machine knows of it.
type candidate struct {
	worker *fleet.Worker
	stats  *workerStats
	hash   uint64 // of its ID
	index  uint32 // in the list of all workers
}

// slots is how many requests the worker executes at once.
func (c *candidate) slots() float64 { return float64(max(1, c.worker.Slots)) }

// storeCandidate is one store, with what this edge machine knows of its link.
type storeCandidate struct {
	service *routingconfig.Service
	stats   *workerStats
}

// serviceGroup is a service's workers, and the stores that cache parts.
type serviceGroup struct {
	service    *routingconfig.Service
	candidates []candidate
	index      map[string]int // in candidates, by the worker's ID
	stores     []storeCandidate
	models     map[string]*modelVersions
	cordoned   []bool // by candidate: to be avoided during a rollout of weights
}

// layout is a snapshot laid out by service.
type layout struct {
	snapshot       *fleet.Snapshot
	workerListHash uint64
	groups         map[string]*serviceGroup
	sizeClasses    int // of prompts, within one of the plan's priorities
}

const (
	priorityLevels = 10 // that a worker distinguishes: 0 to 9, 0 first
	maxSizeClasses = 3
)

// urgency is a request's priority, 0 to 9, 0 first: a tenant's overrides the route's.
func urgency(request *Request) int {
	priority := 0
	if request.Route != nil {
		priority = request.Route.Priority
	}
	if request.Tenant != nil && request.Tenant.Priority >= 0 {
		priority = request.Tenant.Priority
	}
	return min(max(priority, 0), priorityLevels-1)
}

// priorityLevel is 0 to 9, 0 first: by the plan's priority, and within it by size class, as far as the
// plan's priorities leave levels. The shorter prompt goes first, so that most meet their target when not
// all can.
func (l *layout) priorityLevel(urgency, sizeClass int) int {
	return min(urgency*l.sizeClasses+min(sizeClass, l.sizeClasses-1), priorityLevels-1)
}

// sizeClassesOf is into how many size classes each of the plan's priorities can be divided.
func sizeClassesOf(plan *routingconfig.Plan) int {
	lowest := 0
	if plan != nil {
		for i := range plan.Routes {
			lowest = max(lowest, plan.Routes[i].Priority)
		}
		for i := range plan.Tenants {
			lowest = max(lowest, plan.Tenants[i].Priority)
		}
	}
	return min(max(priorityLevels/(lowest+1), 1), maxSizeClasses)
}

// layoutFor lays a snapshot out by service. What is known of workers and services is carried over by ID
// and name; that of others is forgotten.
func (t *table) layoutFor(snapshot *fleet.Snapshot) *layout {
	if t.layout != nil && t.layout.snapshot == snapshot {
		return t.layout
	}
	built := &layout{
		snapshot:       snapshot,
		workerListHash: t.workerListHash(snapshot.Workers),
		groups:         map[string]*serviceGroup{},
		sizeClasses:    sizeClassesOf(snapshot.Plan),
	}
	carried := &carriedStats{from: t, workers: make(map[string]*workerStats, len(snapshot.Workers)), services: map[string]*serviceStats{}}
	stores := built.addServices(carried)
	for i := range snapshot.Workers {
		worker := &snapshot.Workers[i]
		if group := built.groups[worker.Service]; group != nil {
			group.index[worker.ID] = len(group.candidates)
			group.candidates = append(group.candidates, candidate{worker, carried.stats(worker.ID, worker.Service), rendezvous.Hash(worker.ID), uint32(i)})
		}
	}
	for _, group := range built.groups {
		group.stores = stores
		group.cordoned = make([]bool, len(group.candidates))
		if placement := snapshot.Placements[group.service.Name]; placement != nil {
			for i, candidate := range group.candidates {
				group.cordoned[i] = slices.Contains(placement.Cordoned, candidate.worker.ID)
			}
		}
	}
	t.workers, t.services, t.layout = carried.workers, carried.services, built
	return built
}

// addServices makes a group for each of the plan's services with workers, and returns its stores.
func (l *layout) addServices(carried *carriedStats) (stores []storeCandidate) {
	if l.snapshot.Plan == nil {
		return nil
	}
	for i := range l.snapshot.Plan.Services {
		service := &l.snapshot.Plan.Services[i]
		if service.Store != nil {
			stores = append(stores, storeCandidate{service, carried.stats(service.Name, service.Name)})
		} else {
			l.groups[service.Name] = &serviceGroup{service: service, index: map[string]int{}, models: map[string]*modelVersions{}}
		}
	}
	return stores
}

// carriedStats are the statistics that a new layout takes over from a table.
type carriedStats struct {
	from     *table
	workers  map[string]*workerStats
	services map[string]*serviceStats
}

// stats returns a worker's statistics: those known already, or new ones.
func (c *carriedStats) stats(id, service string) *workerStats {
	worker := c.from.workers[id]
	if worker == nil {
		worker = &workerStats{}
	}
	if c.services[service] == nil {
		if c.services[service] = c.from.services[service]; c.services[service] == nil {
			c.services[service] = newServiceStats(c.from.bounds)
		}
	}
	worker.service = c.services[service]
	c.workers[id] = worker
	return worker
}
