package operatorapi

import (
	"context"

	"pebbleloom/api/operator"
	"pebbleloom/internal/data/placement"
	"pebbleloom/internal/errs"
	"pebbleloom/internal/fleet"
	"pebbleloom/internal/maputil"
	"pebbleloom/internal/wire"
)

// The states of a worker on a site with a group, as the API names them.
const (
	workerUp       = "up"
	workerDraining = "draining"
	workerRolling  = "rolling" // cordoned during a rollout
	workerOutdated = "behind"  // serves older weights than are named
)

// workerDocuments is what the control state holds about the workers.
type workerDocuments struct {
	workers  []fleet.Worker
	version  uint64            // of the list of workers; 0: there is none yet
	named    map[string]uint64 // weights by model
	cordoned map[string]bool   // workers that a placement excludes during a rollout, by ID
	leases   []*wire.Lease
}

func (s *groupServer) readWorkers(ctx context.Context) (*workerDocuments, error) {
	var list fleet.WorkerList
	version, err := s.readJSON(ctx, fleet.WorkersKey, &list)
	if err != nil {
		return nil, err
	}
	var weights fleet.Weights
	if _, err := s.readJSON(ctx, fleet.WeightsKey, &weights); err != nil {
		return nil, err
	}
	placements, err := s.control.Read(ctx, &wire.ReadRequest{Key: fleet.PlacementKey, Prefix: true})
	if err != nil {
		return nil, errs.Wrap(err, "read placements")
	}
	cordoned := map[string]bool{}
	for _, document := range placements.Documents {
		decoded, err := placement.Read(document.Body, document.Version)
		if err != nil {
			return nil, errs.Wrap(err, document.Key)
		}
		for _, id := range decoded.Cordoned {
			cordoned[id] = true
		}
	}
	return &workerDocuments{workers: list.Workers, version: version, named: weights.Versions, cordoned: cordoned, leases: placements.Leases}, nil
}

// outdatedModel returns a model of which a worker serves older weights than are named; "" if none.
func (s *workerDocuments) outdatedModel(worker fleet.Worker) string {
	for _, model := range maputil.SortedKeys(worker.Weights) {
		if worker.Weights[model] < s.named[model] {
			return model
		}
	}
	return ""
}

func (s *workerDocuments) state(worker fleet.Worker) string {
	switch {
	case worker.Draining:
		return workerDraining
	case s.cordoned[worker.ID]:
		return workerRolling
	case s.outdatedModel(worker) != "":
		return workerOutdated
	}
	return workerUp
}

// weightsInUse is the named version of a model's weights; the newest that a worker serves if none is.
func (s *workerDocuments) weightsInUse(model string) uint64 {
	if named := s.named[model]; named != 0 {
		return named
	}
	newest := uint64(0)
	for _, worker := range s.workers {
		newest = max(newest, worker.Weights[model])
	}
	return newest
}

// ListWorkers lists the workers that the control state holds, by majority. A worker's weights are
// those of the first of its models that is outdated, or else of its first model.
//
// Example: GET /v1/workers
func (s *groupServer) ListWorkers(ctx context.Context) (*operator.WorkerList, error) {
	state, err := s.readWorkers(ctx)
	if err != nil {
		return nil, err
	}
	list := &operator.WorkerList{SeenBy: "the control state", Workers: []operator.WorkerListWorkersItem{}}
	for _, worker := range state.workers {
		model := state.outdatedModel(worker)
		if models := maputil.SortedKeys(worker.Weights); model == "" && len(models) > 0 {
			model = models[0]
		}
		list.Workers = append(list.Workers, operator.WorkerListWorkersItem{Name: worker.ID, Addr: worker.Addr, Service: worker.Service, District: worker.Zone,
			State: state.state(worker), Incarnation: operator.NewOptString(worker.ID), Slots: worker.Slots, Weights: int64(worker.Weights[model])})
	}
	if len(state.named) > 0 {
		named := operator.WorkerListNamed{}
		for model, version := range state.named {
			named[model] = int64(version)
		}
		list.Named = operator.NewOptWorkerListNamed(named)
	}
	return list, nil
}
