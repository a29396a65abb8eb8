// Package placement is BAT's hot-replicated cold-sharded choice: which prefixes every
// worker shall hold, and where each of the others has its home. (Sources and changes:
// docs/design.md.)
package placement

import (
	"encoding/json"
	"math"
	"sort"

	"pebbleloom/internal/data/prefix"
	"pebbleloom/internal/errs"
	"pebbleloom/internal/queue"
)

// Placement is the placement controller's decision for one service.
type Placement struct {
	Epoch            uint64   `json:"-"`
	Service          string   `json:"service"`
	Mode             string   `json:"mode"` // hrcs, or a switch to compare with
	FencingToken     uint64   `json:"fence"`
	Workers          []string `json:"workers"`
	Replicated       []string `json:"replicated"`        // keys, hottest first
	Cordoned         []string `json:"rolling,omitempty"` // set aside while they are brought to newer weights
	ReplicatedRatio  float64  `json:"ratio"`
	RMax             float64  `json:"r_max"`
	Entries          int      `json:"entries"`
	FetchBandwidth   float64  `json:"b"`        // tokens a second between workers
	PrefillCurve     Curve    `json:"prefill"`  // how long a prefill takes
	MeanSharedTokens float64  `json:"mean_len"` // tokens of a request's shared part
	AdmissionFloor   float64  `json:"floor"`    // hotness of the coldest cached entry that no prompt begins with
	Reason           string   `json:"why"`

	replicated map[string]bool
}

// Read decodes a placement that the control state holds.
//
// Example: p, err := placement.Read(doc.Body, doc.Epoch)
func Read(body []byte, epoch uint64) (*Placement, error) {
	p := &Placement{}
	if err := json.Unmarshal(body, p); err != nil {
		return nil, errs.WrapAs(err, errs.BadInput, "read placement")
	}
	p.Epoch = epoch
	p.replicated = make(map[string]bool, len(p.Replicated))
	for _, k := range p.Replicated {
		p.replicated[k] = true
	}
	return p, nil
}

// IsReplicated reports whether every worker should hold a prefix.
//
// Example: p.Hot(e.Key)
func (p *Placement) IsReplicated(k prefix.Key) bool {
	switch {
	case p == nil || p.Mode == "all-sharded":
		return false
	case p.Mode == "all-replicated":
		return true
	}
	return p.replicated[k.String()]
}

// RankShardWorkers orders workers for a prefix of the long tail: the first is its shard worker.
//
// Example: p.Home(e.Key, names)[0]
func RankShardWorkers(k prefix.Key, workers []string) []string {
	return queue.Rendezvous(k.String(), workers)
}

// Curve is a polynomial fitted offline: microseconds for n tokens.
type Curve struct {
	Coefficients   []float64 `json:"c"`                 // C[0] + C[1]·n + C[2]·n² …
	Samples        int       `json:"samples,omitempty"` // it was fitted on
	RMSErrorMicros float64   `json:"rms_us,omitempty"`  // of its residuals
	MaxErrorMicros float64   `json:"worst_us,omitempty"`
}

// At evaluates the curve; it never goes below zero.
//
// Example: t := curve.At(4000)
func (c Curve) At(tokens float64) float64 {
	v := 0.0
	for i := len(c.Coefficients) - 1; i >= 0; i-- {
		v = v*tokens + c.Coefficients[i]
	}
	return math.Max(0, v)
}

// RMax is the largest share of tokens that may come over the links:
// α·t·B·(N−1) / (c·S_item·N), cut to 0…1. shared is c·S_item, the tokens of a request's
// shared part; t is in seconds and b in tokens a second.
//
// Example: placement.RMax(1, 0.1, 20000, 1000, 4) == 1
func RMax(alpha, t, b, shared float64, n int) float64 {
	if n < 2 || shared <= 0 || t <= 0 || b <= 0 || alpha <= 0 {
		return 0 // one worker has nobody to fetch from
	}
	return math.Min(1, alpha*t*b*float64(n-1)/(shared*float64(n)))
}

// EntryFrequency is one entry's share in the accesses of the past period.
type EntryFrequency struct {
	Key       string
	Frequency float64
	Tokens    int
}

// SelectReplicated is the paper's CDF scan: entries by descending frequency are summed until
// 1 − R_max is reached. It gives how many entries are replicated; frequencies need not be
// normalised. Ties go by key, so that every scan of the same counts gives the same set.
//
// Example: sorted, n := placement.Scan(fs, 0.3)
func SelectReplicated(fs []EntryFrequency, rMax float64) ([]EntryFrequency, int) {
	l := append([]EntryFrequency(nil), fs...)
	sort.Slice(l, func(i, j int) bool {
		if l[i].Frequency != l[j].Frequency {
			return l[i].Frequency > l[j].Frequency
		}
		return l[i].Key < l[j].Key
	})
	total := 0.0
	for _, f := range l {
		total += f.Frequency
	}
	if total <= 0 {
		return l, 0 // nothing was accessed: nothing is hot
	}
	cdf := 0.0
	for i, f := range l {
		cdf += f.Frequency / total
		if cdf >= 1-rMax-1e-12 {
			return l, i + 1
		}
	}
	return l, len(l)
}
