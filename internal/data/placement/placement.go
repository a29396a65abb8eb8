// Package placement decides which prompt prefixes are cached by every worker of a service (the replicated set)
// and which single worker caches each of the others (its shard worker). It implements the hot-replicated,
// cold-sharded (HRCS) placement of the BAT paper; docs/design.md cites the sources and describes the
// differences.
package placement

import (
	"encoding/json"
	"math"
	"slices"

	"pebbleloom/internal/control/serviceconfig"
	"pebbleloom/internal/data/prefix"
	"pebbleloom/internal/errs"
	"pebbleloom/internal/rendezvous"
)

// Mode determines how a service's prefixes are placed. Its values are those of the service configuration.
type Mode string

// The placement modes. ModeHRCS is meant for production; the others serve as baselines for comparison.
const (
	ModeHRCS          Mode = serviceconfig.PlacementHRCS          // frequently accessed prefixes are replicated, the others sharded
	ModeAllSharded    Mode = serviceconfig.PlacementAllSharded    // no prefix is replicated
	ModeAllReplicated Mode = serviceconfig.PlacementAllReplicated // every prefix is replicated
	ModeNoIndex       Mode = serviceconfig.PlacementNoIndex       // proxies don't use the prompt index
)

// Placement is the placement controller's decision for one service. It is stored as a JSON document in
// the control state.
type Placement struct {
	Version          uint64   `json:"-"` // version of the document in the control state
	Service          string   `json:"service"`
	Mode             Mode     `json:"mode"`
	FencingToken     uint64   `json:"fence"` // fencing token of the lease under which the document was written
	Workers          []string `json:"workers"`
	Replicated       []string `json:"replicated"`        // keys of the replicated prefixes, most frequently accessed first
	Cordoned         []string `json:"rolling,omitempty"` // workers that get no new requests while they load other weights
	ReplicatedRatio  float64  `json:"ratio"`             // fraction of the entries counted in Entries that is replicated
	RMax             float64  `json:"r_max"`             // largest fraction of a request's tokens to fetch from other workers, as computed by the function RMax
	Entries          int      `json:"entries"`           // number of frequently accessed prompt index entries that the placement was computed from
	FetchBandwidth   float64  `json:"b"`                 // bandwidth of KV cache transfers between workers, in tokens per second
	PrefillCurve     Curve    `json:"prefill"`
	MeanSharedTokens float64  `json:"mean_len"` // mean number of tokens in the shared part of a request
	AdmissionFloor   float64  `json:"floor"`    // access frequency of the least used cached entry that is not the first part of a prompt
	Reason           string   `json:"why"`      // explanation of the placement for operators

	replicated map[string]bool // set of the keys in Replicated
}

// Read decodes a stored placement document of the given version. Its errors are of kind errs.BadInput.
//
// Example: p, err := placement.Read(document.Body, document.Version)
func Read(body []byte, version uint64) (*Placement, error) {
	p := &Placement{}
	if err := json.Unmarshal(body, p); err != nil {
		return nil, errs.WrapAs(err, errs.BadInput, "decode placement document")
	}
	p.Version = version
	p.replicated = make(map[string]bool, len(p.Replicated))
	for _, key := range p.Replicated {
		p.replicated[key] = true
	}
	return p, nil
}

// Tolerances for changes of Placement.AdmissionFloor: a change within them is not by itself a reason to publish the
// placement.
const (
	floorToleranceRatio  = 0.25 // tolerated change as a fraction of the old admission floor
	floorToleranceOffset = 0.05 // tolerated change in addition to that by floorToleranceRatio, in the unit of the admission floor
)

// Changed reports whether a newly computed placement differs enough from the old one to be published. If old is
// nil, there is no placement yet and next counts as changed.
//
// Example: if placement.Changed(old, next) { publish(next) }
func Changed(old, next *Placement) bool {
	return old == nil || !slices.Equal(next.Replicated, old.Replicated) || !slices.Equal(next.Workers, old.Workers) || next.Mode != old.Mode ||
		math.Abs(next.AdmissionFloor-old.AdmissionFloor) > floorToleranceRatio*old.AdmissionFloor+floorToleranceOffset
}

// IsReplicated reports whether every worker should cache a prefix. A nil placement replicates no prefix.
//
// Example: if p.IsReplicated(entry.Key) { … }
func (p *Placement) IsReplicated(key prefix.Key) bool {
	switch {
	case p == nil || p.Mode == ModeAllSharded:
		return false
	case p.Mode == ModeAllReplicated:
		return true
	}
	return p.replicated[key.String()]
}

// RankShardWorkers orders workers by preference for a prefix that isn't replicated; the first one is its shard
// worker. When a worker leaves, only the prefixes of which it was the shard worker move to another worker.
//
// Example: shardWorker := placement.RankShardWorkers(entry.Key, names)[0]
func RankShardWorkers(key prefix.Key, workers []string) []string {
	return rendezvous.Order(key.String(), workers)
}
