// Package fleet defines the documents that the control state distributes to every node in addition to the routing plan:
// the workers, the target versions of model weights, and the placement of each service. They are JSON documents in shard
// 0 of the control state. A Snapshot combines all that a node needs for routing requests.
package fleet

import (
	"time"

	"pebbleloom/internal/control/routingconfig"
	"pebbleloom/internal/data/placement"
	"pebbleloom/internal/wire"
)

// Keys of the documents in shard 0 of the control state.
const (
	// WorkersKey is the key of the WorkerList document.
	WorkersKey = "workers"
	// WeightsKey is the key of the Weights document.
	WeightsKey = "weights"
	// PlacementKey is the key prefix of the placement of a service; the name of the service follows it.
	PlacementKey = "placement/"
)

// Worker is a running instance of a worker, as it appears in the platform's worker list.
type Worker struct {
	ID       string            `json:"id"` // ID of the running instance; a restarted worker has a new one
	Service  string            `json:"service"`
	Addr     string            `json:"addr"` // address of the worker as host:port
	Zone     string            `json:"district"`
	Slots    int               `json:"slots"` // number of requests that the worker executes concurrently
	Draining bool              `json:"draining,omitempty"`
	Weights  map[string]uint64 `json:"weights,omitempty"` // version of the weights that the worker has loaded, by model
}

// WorkerList is the document that lists all workers.
type WorkerList struct {
	Workers []Worker `json:"workers"`
}

// Weights is the document that holds, by model, the version of the weights that workers should load: the version that an
// operator set last.
type Weights struct {
	Versions map[string]uint64 `json:"named"`
}

// TargetVersion is a version of a model's weights that workers should load, and the time at which this process first
// received it.
type TargetVersion struct {
	Version uint64
	At      time.Duration // time at which this process first received Version, on its own clock
}

// Snapshot is the state that requests are routed by. It must not be changed once it is shared between goroutines.
type Snapshot struct {
	Plan    *routingconfig.Plan
	ProofAt time.Duration // time at which Plan was last verified to be the newest, on the clock of this process; 0: never

	Workers    []Worker
	Placements map[string]*placement.Placement // placement of prompt prefixes, by service

	TargetVersions map[string]uint64        // version of the weights that workers should load, by model
	TargetSetAt    map[string]time.Duration // time at which this process first received each target version, by model
	// EarlierVersions lists, by model and oldest first, superseded target versions of the weights. Within
	// Bounds.WeightsMs after one of them was received, requests stop starting on versions before it, even if another
	// target version has been set in the meantime.
	EarlierVersions map[string][]TargetVersion

	Nodes     []*wire.Node // members of the cluster, as the cluster membership reports them
	EdgeCount int          // number of edge machines, including those lost recently; at least 1
}

// HasFreshProof reports whether the control nodes attested less than maxAge before the given instant that the snapshot's
// routing plan is the newest.
//
// Example: if !snapshot.HasFreshProof(clock.Now(), bounds.KeyProof()) { reject() }
func (s *Snapshot) HasFreshProof(instant, maxAge time.Duration) bool {
	return s.ProofAt > 0 && instant-s.ProofAt < maxAge
}
