// Package fleet defines the documents that the control state distributes to every node in addition to the
// routing plan: the workers, the named versions of weights, and the placement of each service. They are JSON
// documents of shard 0. Snapshot combines them to what a node routes requests by.
package fleet

import (
	"time"

	"pebbleloom/internal/control/routingconfig"
	"pebbleloom/internal/data/placement"
	"pebbleloom/internal/wire"
)

// Keys of the documents in shard 0.
const (
	// WorkersKey is the key of the WorkerList.
	WorkersKey = "workers"
	// WeightsKey is the key of the Weights.
	WeightsKey = "weights"
	// PlacementKey is the prefix of the key of a service's placement; the service's name follows.
	PlacementKey = "placement/"
)

// Worker is one incarnation of a worker, as the platform lists it.
type Worker struct {
	ID       string            `json:"id"` // of this incarnation: a restarted worker has another one
	Service  string            `json:"service"`
	Addr     string            `json:"addr"` // host:port
	Zone     string            `json:"district"`
	Slots    int               `json:"slots"` // requests that it executes concurrently
	Draining bool              `json:"draining,omitempty"`
	Weights  map[string]uint64 `json:"weights,omitempty"` // by model: the version that it serves
}

// WorkerList is the document of all workers.
type WorkerList struct {
	Workers []Worker `json:"workers"`
}

// Weights is the document of named weights: by model, the newest version that was named.
type Weights struct {
	Versions map[string]uint64 `json:"named"`
}

// NamedVersion is a version of a model's weights, and when this process first saw it named.
type NamedVersion struct {
	Version uint64
	At      time.Duration // on the process's clock
}

// Snapshot is everything that a request is routed by. It is never changed once it is shared between goroutines.
type Snapshot struct {
	Plan    *routingconfig.Plan
	ProofAt time.Duration // when Plan was last proved to be the newest, on the process's clock; 0: not yet

	Workers    []Worker
	Placements map[string]*placement.Placement // by service

	NamedVersions map[string]uint64        // by model: the named version
	NamedAt       map[string]time.Duration // by model: when this process first saw that version named
	// Superseding holds by model, oldest first, the versions that were named before the current one and still
	// bound for how long versions older than them may be used: naming a newer version must not extend that.
	EarlierVersions map[string][]NamedVersion

	Nodes     []*wire.Node // the cluster membership
	EdgeCount int          // number of edge machines, recently lost ones included; at least 1
}
