// Package fleet holds the documents that the control state distributes to every node beside the
// routing plan: which workers there are, which weights are named, and each service's placement. They
// are JSON documents of shard 0.
package fleet

import (
	"time"

	"pebbleloom/internal/control/routingconfig"
	"pebbleloom/internal/data/placement"
	"pebbleloom/internal/wire"
)

// The keys of the documents in shard 0.
const (
	WorkersKey   = "workers"
	WeightsKey   = "weights"
	PlacementKey = "placement/" // and the service's name
)

// Worker is one incarnation of a worker, as the platform lists it.
type Worker struct {
	ID       string            `json:"id"` // of this incarnation: another start has another
	Service  string            `json:"service"`
	Addr     string            `json:"addr"`
	Zone     string            `json:"district"`
	Slots    int               `json:"slots"`
	Draining bool              `json:"draining,omitempty"`
	Weights  map[string]uint64 `json:"weights,omitempty"` // by model: the version it serves
}

// WorkerList is the document with the list of workers.
type WorkerList struct {
	Workers []Worker `json:"workers"`
}

// Weights is the document of named weights: the newest version of each model.
type Weights struct {
	Versions map[string]uint64 `json:"named"`
}

// NamedVersion is a version of a model's weights, and when this process first saw it named.
type NamedVersion struct {
	Version uint64
	At      time.Duration
}

// Snapshot is everything that a request is routed by. It never changes once it is shared.
type Snapshot struct {
	Plan          *routingconfig.Plan
	ProofAt       time.Duration // the plan was proved to be the newest then; zero: no proof yet
	Workers       []Worker
	NamedVersions map[string]uint64
	NamedAt       map[string]time.Duration // when this process first saw that version named
	// Superseding lists by model, oldest first, the versions before the named one that still bound how
	// long versions older than them may be used: naming another doesn't extend that.
	EarlierVersions map[string][]NamedVersion
	Placements      map[string]*placement.Placement
	Nodes           []*wire.Node // the cluster membership
	EdgeCount       int          // edge machines, recently lost ones included; at least 1
}
