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

// Worker states in API responses of platform sites.
const (
	workerUp       = "up"
	workerDraining = "draining"
	workerRolling  = "rolling" // excluded from new requests while new weights are rolled out
	workerOutdated = "behind"  // serves an older version of weights than the target
)

// workerDocuments holds the documents of the control state that concern workers.
type workerDocuments struct {
	workers       []fleet.Worker
	version       uint64            // version of the worker list; 0 if no list has been stored yet
	targetWeights map[string]uint64 // target versions of weights, by model
	cordoned      map[string]bool   // IDs of the workers that a placement excludes during a rollout of weights
	leases        []*wire.Lease
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
	return &workerDocuments{workers: list.Workers, version: version, targetWeights: weights.Versions, cordoned: cordoned, leases: placements.Leases}, nil
}

// outdatedModel returns the first model, by name, whose weights on the worker are older than the target; "" if
// there is none.
func (s *workerDocuments) outdatedModel(worker fleet.Worker) string {
	for _, model := range maputil.SortedKeys(worker.Weights) {
		if worker.Weights[model] < s.targetWeights[model] {
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

// weightsInUse returns the target version of a model's weights or, if none is set, the newest version that any
// worker serves.
func (s *workerDocuments) weightsInUse(model string) uint64 {
	if target := s.targetWeights[model]; target != 0 {
		return target
	}
	newest := uint64(0)
	for _, worker := range s.workers {
		newest = max(newest, worker.Weights[model])
	}
	return newest
}

// ListWorkers lists the workers in the control state, read from a majority of the group's members. A worker's
// weights are those of its first outdated model, or of its first model if none is outdated.
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
	if len(state.targetWeights) > 0 {
		targets := operator.WorkerListNamed{}
		for model, version := range state.targetWeights {
			targets[model] = int64(version)
		}
		list.Named = operator.NewOptWorkerListNamed(targets)
	}
	return list, nil
}
