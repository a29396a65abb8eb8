// Package placement decides which prompt prefixes every worker of a service holds (the replicated set)
// and which single worker holds each of the others (its shard worker). It implements the hot-replicated,
// cold-sharded placement of BAT; docs/design.md names the sources and our changes.
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

// Mode is how a service's prefixes are placed, as the service configuration names it.
type Mode string

// The modes. ModeHRCS is the regular one; the others exist to compare with it.
const (
	ModeHRCS          Mode = serviceconfig.PlacementHRCS          // hot prefixes replicated, cold ones sharded
	ModeAllSharded    Mode = serviceconfig.PlacementAllSharded    // no prefix is replicated
	ModeAllReplicated Mode = serviceconfig.PlacementAllReplicated // every prefix is replicated
	ModeNoIndex       Mode = serviceconfig.PlacementNoIndex       // proxies don't use the prompt index
)

// Placement is the placement controller's decision for one service. It is stored as a JSON document in
// the control state.
type Placement struct {
	Version          uint64   `json:"-"` // the document's version
	Service          string   `json:"service"`
	Mode             Mode     `json:"mode"`
	FencingToken     uint64   `json:"fence"` // of the lease under which it was written
	Workers          []string `json:"workers"`
	Replicated       []string `json:"replicated"`        // keys, hottest first
	Cordoned         []string `json:"rolling,omitempty"` // workers that get no new requests while they load other weights
	ReplicatedRatio  float64  `json:"ratio"`             // of the entries
	RMax             float64  `json:"r_max"`             // see the function RMax
	Entries          int      `json:"entries"`           // hot entries that it was computed from
	FetchBandwidth   float64  `json:"b"`                 // tokens per second between workers
	PrefillCurve     Curve    `json:"prefill"`
	MeanSharedTokens float64  `json:"mean_len"` // tokens of a request's shared part
	AdmissionFloor   float64  `json:"floor"`    // hotness of the coldest cached entry that no prompt begins with
	Reason           string   `json:"why"`

	replicated map[string]bool // the set of Replicated
}

// Read decodes a stored placement. The error is of the kind errs.BadInput.
//
// Example: p, err := placement.Read(document.Body, document.Version)
func Read(body []byte, version uint64) (*Placement, error) {
	p := &Placement{}
	if err := json.Unmarshal(body, p); err != nil {
		return nil, errs.WrapAs(err, errs.BadInput, "read placement")
	}
	p.Version = version
	p.replicated = make(map[string]bool, len(p.Replicated))
	for _, key := range p.Replicated {
		p.replicated[key] = true
	}
	return p, nil
}

// Tolerance of the admission floor: a smaller change isn't published.
const (
	floorToleranceRatio  = 0.25 // of the old floor
	floorToleranceOffset = 0.05 // added to it, in units of hotness
)

// Changed reports whether a computed placement differs enough from the old one to be published. A nil
// old placement stands for none.
//
// Example: if placement.Changed(old, next) { publish(next) }
func Changed(old, next *Placement) bool {
	return old == nil || !slices.Equal(next.Replicated, old.Replicated) || !slices.Equal(next.Workers, old.Workers) || next.Mode != old.Mode ||
		math.Abs(next.AdmissionFloor-old.AdmissionFloor) > floorToleranceRatio*old.AdmissionFloor+floorToleranceOffset
}

// IsReplicated reports whether every worker should hold a prefix. A nil placement replicates none.
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

// RankShardWorkers orders workers for a prefix that isn't replicated: the first is its shard worker. A
// worker that leaves moves only the prefixes that it was the shard worker of.
//
// Example: shardWorker := placement.RankShardWorkers(entry.Key, names)[0]
func RankShardWorkers(key prefix.Key, workers []string) []string {
	return rendezvous.Order(key.String(), workers)
}
