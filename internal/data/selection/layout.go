package selection

import (
	"slices"

	"pebbleloom/internal/control/routingconfig"
	"pebbleloom/internal/fleet"
	"pebbleloom/internal/rendezvous"
)

// candidate is one worker of a service, any of which may be selected, with the statistics that this edge
// machine has of it.
type candidate struct {
	worker *fleet.Worker
	stats  *workerStats
	// Hash of the worker's ID.
	hash uint64
	// Position of the worker in the snapshot's list of all workers.
	index uint32
}

// slots returns how many requests the worker executes concurrently, at least 1.
func (c *candidate) slots() float64 { return float64(max(1, c.worker.Slots)) }

// storeCandidate is one store, with the statistics that this edge machine has of its network link.
type storeCandidate struct {
	service *routingconfig.Service
	stats   *workerStats
}

// serviceGroup contains the workers of one service and all stores that cache prompt parts.
type serviceGroup struct {
	service    *routingconfig.Service
	candidates []candidate
	// By worker ID: index of the worker in candidates.
	index  map[string]int
	stores []storeCandidate
	// By model: versions of the model's weights that the candidates serve.
	models map[string]*modelVersions
	// By candidate: whether the cache placement excludes the worker from new requests while it loads other
	// weights.
	cordoned []bool
}

// layout is a snapshot of the fleet, indexed by service.
type layout struct {
	snapshot *fleet.Snapshot
	// Hash of the snapshot's list of workers, see table.workerListHash.
	workerListHash uint64
	// By service name: the workers of the service, and all stores.
	groups map[string]*serviceGroup
	// Number of prompt size classes into which each priority of the routing plan is divided.
	sizeClasses int
}

const (
	// Number of priority levels that workers distinguish: 0 (highest) to 9.
	priorityLevels = 10
	// Maximum number of prompt size classes into which each priority of the routing plan is divided.
	maxSizeClasses = 3
)

// urgency returns the priority of a request, from 0 (highest) to 9. A tenant's priority overrides the route's.
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

// priorityLevel maps a priority of the routing plan and a prompt size class to one of the priority levels that
// workers distinguish, 0 (highest) to 9. If the plan uses fewer priorities than there are levels, each priority
// is divided into levels by size class. Shorter prompts go first, so that more requests meet their latency
// target when not all can.
func (l *layout) priorityLevel(urgency, sizeClass int) int {
	return min(urgency*l.sizeClasses+min(sizeClass, l.sizeClasses-1), priorityLevels-1)
}

// sizeClassesOf returns into how many prompt size classes each priority of the routing plan can be divided, so
// that all of them fit into the priority levels of workers.
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

// layoutFor returns the layout of a snapshot of the fleet, and builds it if the snapshot isn't the one used
// last. Statistics of workers and services that the snapshot still contains are carried over; others are
// discarded.
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

// addServices adds a service group to the layout for each service of the routing plan that isn't a store, and
// returns the plan's stores.
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

// carriedStats are the worker and service statistics that a new layout takes over from the table.
type carriedStats struct {
	from     *table
	workers  map[string]*workerStats
	services map[string]*serviceStats
}

// stats returns the statistics of a worker or store of a service: those of the table, or new ones if the table
// has none.
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
