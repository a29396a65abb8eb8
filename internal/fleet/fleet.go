// Package fleet is what the control state tells every node beside the plan: which workers there
// are, which weights are named, and what was placed. Documents of part 0; JSON inside.
package fleet

import (
	"time"

	"pebbleloom/internal/control/routingconfig"
	"pebbleloom/internal/data/placement"
	"pebbleloom/internal/wire"
)

// The keys of the documents in part 0.
const (
	WorkersKey   = "workers"
	WeightsKey   = "weights"
	PlacementKey = "placement/" // and the service's name
)

// Worker is one life of a worker, as the platform lists it.
type Worker struct {
	ID       string            `json:"id"` // of this life: another start has another
	Service  string            `json:"service"`
	Addr     string            `json:"addr"`
	District string            `json:"district"`
	Slots    int               `json:"slots"`
	Draining bool              `json:"draining,omitempty"`
	Weights  map[string]uint64 `json:"weights,omitempty"` // by model: the version it serves
}

// Table is the document of workers.
type Table struct {
	Workers []Worker `json:"workers"`
}

// Weights is the document of named weights: the newest version of each model.
type Weights struct {
	Named map[string]uint64 `json:"named"`
}

// Snapshot is all that a request goes by. It never changes once it is shared.
type Snapshot struct {
	Plan       *routingconfig.Plan
	ProofAt    time.Duration // no newer plan had been acknowledged then; zero: no proof yet
	Workers    []Worker
	Named      map[string]uint64
	NamedAt    map[string]time.Duration // when this process first saw that version named
	Placements map[string]*placement.Placement
	Nodes      []*wire.Node // the roster's view
	Edges      int          // edge machines, those lately gone included; at least 1
}
