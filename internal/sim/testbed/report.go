package testbed

import "pebbleloom/internal/sim/loadgen"

// Report is the result of a scenario.
type Report struct {
	Scenario            string          `json:"scenario"`
	Site                string          `json:"site"`
	Seed                uint64          `json:"seed"`
	Sum                 loadgen.Summary `json:"sum"`
	Steps               []string        `json:"steps"`
	SealedAfterRecovery float64         `json:"sealed_share_after_healing"`
	SealedDuring        float64         `json:"sealed_share_during"`
	ExtraRuns           int             `json:"extra_runs"`
	// Share of prompt tokens that were cache hits: before the first step, until the recovery bound after the last
	// step, and from then on.
	HitShares  [3]float64 `json:"hit_shares"`
	RMax       float64    `json:"r_max"` // of the placement at the end
	Replicated int        `json:"replicated"`
	// Operations on the configuration that were checked for linearizability, and those of unknown outcome.
	Judged  int      `json:"operations_judged"`
	Unclear int      `json:"unclear_attempts"`
	Faults  []string `json:"faults"`
}
